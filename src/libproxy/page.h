#pragma once

// Figures of one daemon in the text exposition format, and the rule on headers of one connection.

#include <limpetcroft/proxy.h>

namespace limpet::proxy {

/// Counts answers by status with a histogram of their latencies.
class node_page {
public:
    void begin(std::uint64_t exchange, time_point now) { m_begun[exchange] = now; }
    void forget(std::uint64_t exchange) { m_begun.erase(exchange); }
    void countAnswer(std::uint64_t exchange, int status, time_point now);
    void countStoreCall() { ++m_storeCalls; }
    std::string text(const mesh::node_statistics& figures) const;

private:
    static constexpr std::size_t bucketCount = 12;

    std::unordered_map<std::uint64_t, time_point> m_begun;
    std::map<int, std::uint64_t> m_byStatus;
    std::array<std::uint64_t, bucketCount + 1> m_buckets {};
    double m_latencySum = 0;
    std::uint64_t m_storeCalls = 0;
};

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1), or is stated anew on each hop. The value of
/// Connection names more of them.
bool isHopByHop(const std::string& name, const std::string& connectionHeader);

} // namespace limpet::proxy
