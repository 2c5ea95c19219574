#include <limpetcroft/ledger.h>

namespace limpet {

attempt_table::attempt_table(attempt_settings settings)
    : m_settings(settings)
{
}

// An attempt is at most maxDeadline old when its frame is sent, and its frame is in transit for less than maxTransit.
// So a frame that passes the checks belongs to an attempt younger than the retention, whose entry still exists if the
// id was seen before. A frame that could be older is not executed, because the entry may have been evicted.
attempt_start_result attempt_table::start(
    const request_id& attempt, duration remaining, duration transit, time_point now)
{
    evictExpired(now);
    if (const auto found = m_entries.find(attempt); found != m_entries.end()) {
        switch (found->second.state) {
        case entry_state::running:
            return attempt_start_result::duplicateRunning;
        case entry_state::finished:
            return attempt_start_result::duplicateFinished;
        case entry_state::blocked:
            return attempt_start_result::blocked;
        }
    }
    if (remaining <= duration::zero() || remaining > m_settings.maxDeadline)
        return attempt_start_result::expired;
    if (transit < duration::zero() || transit >= m_settings.maxTransit)
        return attempt_start_result::expired;
    if (m_entries.size() >= m_settings.capacity)
        return attempt_start_result::full;
    setState(attempt, entry_state::running, now);
    return attempt_start_result::execute;
}

void attempt_table::finish(const request_id& attempt, time_point now)
{
    const auto found = m_entries.find(attempt);
    if (found != m_entries.end() && found->second.state == entry_state::running)
        setState(attempt, entry_state::finished, now);
    evictExpired(now);
}

attempt_state attempt_table::query(const request_id& attempt, time_point now)
{
    evictExpired(now);
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_settings.capacity)
            return attempt_state::unknown;
        setState(attempt, entry_state::blocked, now);
        return attempt_state::notExecuted;
    }
    switch (found->second.state) {
    case entry_state::running:
        return attempt_state::running;
    case entry_state::finished:
        return attempt_state::finished;
    case entry_state::blocked:
        return attempt_state::notExecuted;
    }
    return attempt_state::unknown;
}

void attempt_table::setState(const request_id& attempt, entry_state state, time_point now)
{
    m_entries[attempt] = { state, now };
    m_updates.emplace_back(now, attempt);
}

void attempt_table::evictExpired(time_point now)
{
    while (!m_updates.empty() && m_updates.front().first + retention() < now) {
        const auto [updated, attempt] = m_updates.front();
        m_updates.pop_front();
        const auto found = m_entries.find(attempt);
        if (found == m_entries.end() || found->second.lastUpdate != updated)
            continue;
        // A running attempt is kept however long it takes, so that a repeated frame doesn't execute it again.
        if (found->second.state == entry_state::running)
            setState(attempt, entry_state::running, now);
        else
            m_entries.erase(found);
    }
}

} // namespace limpet
