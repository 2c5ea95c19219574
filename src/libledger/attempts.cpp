#include <limpetcroft/ledger.h>

namespace limpet {

attempt_table::attempt_table(attempt_settings settings)
    : m_settings(settings)
{
}

// An attempt is at most longestDeadline old when its frame is sent, and at most longestTransit older when it arrives.
// So a frame that passes the checks belongs to an attempt younger than the retention, whose entry still exists if the
// id was seen before. A frame that could be older is not run.
attempt_start_result attempt_table::start(
    const request_id& attempt, duration remaining, duration transit, time_point now)
{
    forget(now);
    if (const auto found = m_entries.find(attempt); found != m_entries.end()) {
        switch (found->second.state) {
        case phase::running:
            return attempt_start_result::duplicateRunning;
        case phase::finished:
            return attempt_start_result::duplicateFinished;
        case phase::blocked:
            return attempt_start_result::blocked;
        }
    }
    if (remaining <= duration::zero() || remaining > m_settings.maxDeadline)
        return attempt_start_result::expired;
    if (transit < duration::zero() || transit >= m_settings.maxTransit)
        return attempt_start_result::expired;
    if (m_entries.size() >= m_settings.capacity)
        return attempt_start_result::full;
    remember(attempt, phase::running, now);
    return attempt_start_result::execute;
}

void attempt_table::finish(const request_id& attempt, time_point now)
{
    const auto found = m_entries.find(attempt);
    if (found != m_entries.end() && found->second.state == phase::running)
        remember(attempt, phase::finished, now);
    forget(now);
}

attempt_state attempt_table::query(const request_id& attempt, time_point now)
{
    forget(now);
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_settings.capacity)
            return attempt_state::unknown;
        remember(attempt, phase::blocked, now);
        return attempt_state::notExecuted;
    }
    switch (found->second.state) {
    case phase::running:
        return attempt_state::running;
    case phase::finished:
        return attempt_state::finished;
    case phase::blocked:
        return attempt_state::notExecuted;
    }
    return attempt_state::unknown;
}

void attempt_table::remember(const request_id& attempt, phase state, time_point now)
{
    m_entries[attempt] = { state, now };
    m_order.emplace_back(now, attempt);
}

void attempt_table::forget(time_point now)
{
    while (!m_order.empty() && m_order.front().first + retention() < now) {
        const auto [used, attempt] = m_order.front();
        m_order.pop_front();
        const auto found = m_entries.find(attempt);
        if (found == m_entries.end() || found->second.touched != used)
            continue;
        // An attempt that still runs is kept, however long it takes.
        if (found->second.state == phase::running)
            remember(attempt, phase::running, now);
        else
            m_entries.erase(found);
    }
}

} // namespace limpet
