#include "page.h"
#include <algorithm>
#include <sstream>
#include <strings.h>

namespace limpet::proxy {
namespace {

    // Upper bounds of the latency histogram, in seconds.
    constexpr std::array<double, 12> bucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10 };

    constexpr std::array<const char*, 10> hopByHopHeaders { "Connection", "Content-Length", "Host", "Keep-Alive",
        "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Transfer-Encoding", "Upgrade" };

    void printCounter(std::ostream& page, const char* name, std::uint64_t value)
    {
        page << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    }

    void printGauge(std::ostream& page, const char* name, std::uint64_t value)
    {
        page << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }

} // namespace

bool isHopByHop(const std::string& name, const std::string& connectionHeader)
{
    const auto same = [&](const char* each) { return strcasecmp(each, name.c_str()) == 0; };
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), same))
        return true;
    std::istringstream listed(connectionHeader);
    for (std::string each; std::getline(listed, each, ',');) {
        const auto first = each.find_first_not_of(' ');
        if (first != std::string::npos && same(each.substr(first, each.find_last_not_of(' ') - first + 1).c_str()))
            return true;
    }
    return false;
}

void node_page::countAnswer(std::uint64_t exchange, int status, time_point now)
{
    ++m_byStatus[status];
    const auto found = m_begun.find(exchange);
    if (found == m_begun.end())
        return;
    const double seconds = std::chrono::duration<double>(now - found->second).count();
    m_begun.erase(found);
    m_latencySum += seconds;
    const auto bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
    ++m_buckets.at(static_cast<std::size_t>(bound - bucketBounds.begin()));
}

std::string node_page::text(const mesh::node_statistics& figures) const
{
    std::ostringstream page;
    page << "# TYPE limpet_answers_total counter\n";
    for (const auto& [status, count] : m_byStatus)
        page << "limpet_answers_total{status=\"" << status << "\"} " << count << '\n';
    page << "# TYPE limpet_answer_seconds histogram\n";
    std::uint64_t all = 0;
    for (std::size_t index = 0; index < bucketBounds.size(); ++index) {
        all += m_buckets.at(index);
        page << "limpet_answer_seconds_bucket{le=\"" << bucketBounds.at(index) << "\"} " << all << '\n';
    }
    all += m_buckets.back();
    page << "limpet_answer_seconds_bucket{le=\"+Inf\"} " << all << '\n';
    page << "limpet_answer_seconds_sum " << m_latencySum << "\nlimpet_answer_seconds_count " << all << '\n';
    printCounter(page, "limpet_backend_answers_total", figures.answered);
    printCounter(page, "limpet_refusals_total", figures.refused);
    printCounter(page, "limpet_failures_total", figures.failed);
    printCounter(page, "limpet_clients_gone_total", figures.cancelled);
    printCounter(page, "limpet_repeats_total", figures.retries);
    printCounter(page, "limpet_store_calls_total", m_storeCalls);
    printGauge(page, "limpet_requests_in_flight", figures.callsInFlight);
    printGauge(page, "limpet_backend_running", figures.running);
    printGauge(page, "limpet_backend_queued", figures.queued);
    printGauge(page, "limpet_peers", figures.peers);
    printGauge(page, "limpet_peers_fresh", figures.livePeers);
    printGauge(page, "limpet_configuration_version", figures.configurationVersion);
    return page.str();
}

} // namespace limpet::proxy
