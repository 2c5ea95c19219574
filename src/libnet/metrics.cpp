// GCC 12 warns inside Boost.Accumulators 1.74, in extended_p_square_quantile.hpp.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// Boost.Accumulators 1.74 uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <limpetcroft/net.h>
#include <map>

namespace limpet {
namespace {

    namespace statistics = boost::accumulators;

    constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.99, 0.999 };

    /// Latencies in milliseconds with estimated quantiles (extended P-square), in constant memory.
    using latency_set = statistics::accumulator_set<double,
        statistics::stats<statistics::tag::count, statistics::tag::sum, statistics::tag::extended_p_square_quantile>>;

    latency_set makeLatencySet() { return latency_set(statistics::extended_p_square_probabilities = quantiles); }

    double milliseconds(duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

    void printLatencies(std::ostream& page, const std::string& name, const latency_set& latencies)
    {
        page << "# TYPE " << name << " summary\n";
        for (const auto quantile : quantiles) {
            const double value = statistics::count(latencies) == 0
                ? 0
                : statistics::quantile(latencies, statistics::quantile_probability = quantile);
            page << name << "{quantile=\"" << quantile << "\"} " << value << '\n';
        }
        page << name << "_sum " << statistics::sum(latencies) << '\n';
        page << name << "_count " << statistics::count(latencies) << '\n';
    }

    template <typename Value> void printGauge(std::ostream& page, const std::string& name, Value value)
    {
        page << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }

} // namespace

struct metrics::state {
    latency_set answers = makeLatencySet();
    latency_set refusals = makeLatencySet();
    std::map<int, std::uint64_t> byStatus;
    std::array<std::uint64_t, refusalReasonCount> byReason {};
    std::map<std::string, std::uint64_t> tokensByTeam;
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::countAnswer(int status, duration latency)
{
    ++m_state->byStatus[status];
    m_state->answers(milliseconds(latency));
}

void metrics::countRefusal(refusal_reason reason, duration latency)
{
    ++m_state->byReason.at(static_cast<std::size_t>(reason));
    m_state->refusals(milliseconds(latency));
}

void metrics::countToken(const std::string& team)
{
    constexpr std::size_t labelledTeams = 200;
    const bool hasLabel = m_state->tokensByTeam.size() < labelledTeams || m_state->tokensByTeam.count(team) != 0;
    ++m_state->tokensByTeam[hasLabel ? team : "other"];
}

std::string metrics::page(const node_statistics& figures) const
{
    std::ostringstream page;
    page << "# TYPE limpet_answers_total counter\n";
    for (const auto& [status, count] : m_state->byStatus)
        page << "limpet_answers_total{status=\"" << status << "\"} " << count << '\n';
    page << "# TYPE limpet_refusals_total counter\n";
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        if (m_state->byReason.at(index) > 0)
            page << "limpet_refusals_total{reason=\"" << name(static_cast<refusal_reason>(index)) << "\"} "
                 << m_state->byReason.at(index) << '\n';
    }
    page << "# TYPE limpet_rate_tokens_total counter\n";
    for (const auto& [team, count] : m_state->tokensByTeam)
        page << "limpet_rate_tokens_total{team=\"" << team << "\"} " << count << '\n';
    printLatencies(page, "limpet_answer_milliseconds", m_state->answers);
    printLatencies(page, "limpet_refusal_milliseconds", m_state->refusals);
    printGauge(page, "limpet_calls_in_flight", figures.callsInFlight);
    printGauge(page, "limpet_backend_in_flight", figures.backendInFlight);
    printGauge(page, "limpet_backend_queue", figures.queued);
    printGauge(page, "limpet_concurrency_limit", figures.concurrencyLimit);
    printGauge(page, "limpet_first_attempts", figures.firstAttempts);
    printGauge(page, "limpet_extra_attempts", figures.extraAttempts);
    printGauge(page, "limpet_ignored_messages", figures.ignoredMessages);
    printGauge(page, "limpet_draining", figures.draining ? 1 : 0);
    return page.str();
}

} // namespace limpet
