#include "summary.h"
#include <algorithm>
#include <iomanip>
#include <sstream>

namespace limpet {
namespace {

    /// Returns the latency that the given share of answers does not exceed, in milliseconds.
    double quantile(std::vector<duration> latencies, double share)
    {
        if (latencies.empty())
            return 0;
        const auto place = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
        std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(place));
        return static_cast<double>(latencies[place].count()) / 1000;
    }

    std::string reasonOf(const request_answered& answer)
    {
        if (answer.status == 0)
            return answer.failure;
        std::string text = answer.reason.empty() ? "status " + std::to_string(answer.status) : answer.reason;
        if (answer.run)
            text += *answer.run == execution_state::notExecuted ? " (not run)" : " (run unknown)";
        return text;
    }

} // namespace

load_summary::load_summary(const load_plan& plan)
    : m_plan(plan)
    , m_streams(plan.streams.size())
{
}

void load_summary::add(const request_outcome& outcome)
{
    auto& counts = m_streams[outcome.stream];
    const auto& answer = outcome.answer;
    ++counts.sent;
    counts.repeats += outcome.repeat ? 1 : 0;
    if (answer.status < 200 || answer.status >= 300) {
        ++counts.refused[reasonOf(answer)];
    } else if (!answer.checksumValid || answer.answeredRequest != answer.request) {
        ++counts.wrong;
    } else {
        counts.latencies.push_back(answer.latency);
        ++(outcome.inTime ? counts.whole : counts.late);
    }
}

std::size_t load_summary::wrong() const
{
    std::size_t sum = 0;
    for (const auto& counts : m_streams)
        sum += counts.wrong;
    return sum;
}

std::string load_summary::print(std::size_t dropped) const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "stream               priority     sent  repeats    whole     late    wrong   p50 ms   p99 ms\n";
    std::size_t whole = 0;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        const auto& counts = m_streams[index];
        whole += counts.whole;
        out << std::left << std::setw(20) << m_plan.streams[index].name << std::right << std::setw(9)
            << static_cast<int>(m_plan.streams[index].importance) << std::setw(9) << counts.sent << std::setw(9)
            << counts.repeats << std::setw(9) << counts.whole << std::setw(9) << counts.late << std::setw(9)
            << counts.wrong << std::setw(9) << quantile(counts.latencies, 0.5) << std::setw(9)
            << quantile(counts.latencies, 0.99) << '\n';
        for (const auto& [reason, count] : counts.refused)
            out << std::setw(38) << count << "  " << reason << '\n';
    }
    const double seconds = std::chrono::duration<double>(m_plan.length).count();
    out << "whole answers per second: " << static_cast<double>(whole) / seconds << '\n';
    if (dropped > 0)
        out << "not sent because too many requests were in flight: " << dropped << '\n';
    return out.str();
}

} // namespace limpet
