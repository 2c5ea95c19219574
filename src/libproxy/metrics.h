#pragma once

// Metrics of one daemon in the Prometheus text exposition format, and the test for hop-by-hop headers.

#include <limpetcroft/proxy.h>

namespace limpet::proxy {

/// Counts responses to clients by status and keeps a histogram of their latencies.
class node_metrics {
public:
    void requestStarted(std::uint64_t exchange, time_point now) { m_startTimes[exchange] = now; }
    void clientDisconnected(std::uint64_t exchange) { m_startTimes.erase(exchange); }
    void countResponse(std::uint64_t exchange, int status, time_point now);
    void countStoreCall() { ++m_storeCalls; }
    void countUnreadResponse() { ++m_unreadResponses; }
    void setStoreEra(store_era era, std::uint64_t restores)
    {
        m_storeEra = era;
        m_storeRestores = restores;
    }
    std::string format(const mesh::node_statistics& statistics) const;

private:
    static constexpr std::size_t bucketCount = 12;

    std::unordered_map<std::uint64_t, time_point> m_startTimes;
    std::map<int, std::uint64_t> m_byStatus;
    std::array<std::uint64_t, bucketCount + 1> m_buckets {};
    double m_latencySum = 0;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_unreadResponses = 0; ///< whose connections were closed
    store_era m_storeEra = 0;
    std::uint64_t m_storeRestores = 0; ///< noticed by this process
};

/// Returns whether a header applies to one connection only (RFC 9110, section 7.6.1) or is generated anew on each hop,
/// like Host and Content-Length. The value of the Connection header lists further names.
bool isHopByHop(const std::string& name, const std::string& connectionHeader);

} // namespace limpet::proxy
