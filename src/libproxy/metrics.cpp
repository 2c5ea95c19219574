#include "metrics.h"
#include <algorithm>
#include <sstream>
#include <strings.h>

namespace limpet::proxy {
namespace {

    // Upper bounds of the latency histogram, in seconds.
    constexpr std::array<double, 12> bucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10 };

    constexpr std::array<const char*, 10> hopByHopHeaders { "Connection", "Content-Length", "Host", "Keep-Alive",
        "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Transfer-Encoding", "Upgrade" };

    void printCounter(std::ostream& out, const char* name, std::uint64_t value)
    {
        out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    }

    void printGauge(std::ostream& out, const char* name, std::uint64_t value)
    {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }

    void printFrameDelays(std::ostream& out, const mesh::node_statistics& statistics)
    {
        out << "# TYPE limpet_link_delay_seconds histogram\n";
        std::uint64_t cumulative = 0;
        for (std::size_t index = 0; index < mesh::frameDelayBounds.size(); ++index) {
            cumulative += statistics.framesByDelay.at(index);
            out << "limpet_link_delay_seconds_bucket{le=\""
                << std::chrono::duration<double>(mesh::frameDelayBounds.at(index)).count() << "\"} " << cumulative
                << '\n';
        }
        cumulative += statistics.framesByDelay.back();
        out << "limpet_link_delay_seconds_bucket{le=\"+Inf\"} " << cumulative << "\nlimpet_link_delay_seconds_count "
            << cumulative << '\n';
    }

} // namespace

bool isHopByHop(const std::string& name, const std::string& connectionHeader)
{
    const auto equalsName = [&](const char* token) { return strcasecmp(token, name.c_str()) == 0; };
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), equalsName))
        return true;
    std::istringstream listed(connectionHeader);
    for (std::string token; std::getline(listed, token, ',');) {
        const auto start = token.find_first_not_of(' ');
        if (start != std::string::npos
            && equalsName(token.substr(start, token.find_last_not_of(' ') - start + 1).c_str()))
            return true;
    }
    return false;
}

void node_metrics::countResponse(std::uint64_t exchange, int status, time_point now)
{
    ++m_byStatus[status];
    const auto found = m_startTimes.find(exchange);
    if (found == m_startTimes.end())
        return;
    const double seconds = std::chrono::duration<double>(now - found->second).count();
    m_startTimes.erase(found);
    m_latencySum += seconds;
    const auto bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
    ++m_buckets.at(static_cast<std::size_t>(bound - bucketBounds.begin()));
}

std::string node_metrics::format(const mesh::node_statistics& statistics) const
{
    std::ostringstream out;
    out << "# TYPE limpet_answers_total counter\n";
    for (const auto& [status, count] : m_byStatus)
        out << "limpet_answers_total{status=\"" << status << "\"} " << count << '\n';
    out << "# TYPE limpet_answer_seconds histogram\n";
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < bucketBounds.size(); ++index) {
        cumulative += m_buckets.at(index);
        out << "limpet_answer_seconds_bucket{le=\"" << bucketBounds.at(index) << "\"} " << cumulative << '\n';
    }
    cumulative += m_buckets.back();
    out << "limpet_answer_seconds_bucket{le=\"+Inf\"} " << cumulative << '\n';
    out << "limpet_answer_seconds_sum " << m_latencySum << "\nlimpet_answer_seconds_count " << cumulative << '\n';
    printFrameDelays(out, statistics);
    printCounter(out, "limpet_backend_answers_total", statistics.answered);
    printCounter(out, "limpet_refusals_total", statistics.refused);
    printCounter(out, "limpet_failures_total", statistics.failed);
    printCounter(out, "limpet_clients_gone_total", statistics.cancelled);
    printCounter(out, "limpet_repeats_total", statistics.retries);
    printCounter(out, "limpet_checked_calls_total", statistics.checkedCalls);
    printCounter(out, "limpet_unconfirmed_calls_total", statistics.unconfirmedCalls);
    printCounter(out, "limpet_store_calls_total", m_storeCalls);
    printCounter(out, "limpet_unread_responses_total", m_unreadResponses);
    printCounter(out, "limpet_store_restores_total", m_storeRestores);
    printGauge(out, "limpet_store_era", m_storeEra);
    printGauge(out, "limpet_requests_in_flight", statistics.callsInFlight);
    printGauge(out, "limpet_backend_running", statistics.running);
    printGauge(out, "limpet_backend_queued", statistics.queued);
    printGauge(out, "limpet_peers", statistics.peers);
    printGauge(out, "limpet_peers_fresh", statistics.livePeers);
    printGauge(out, "limpet_configuration_version", statistics.configurationVersion);
    return out.str();
}

} // namespace limpet::proxy
