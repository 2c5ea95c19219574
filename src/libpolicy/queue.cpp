#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

// The admission queue (start-time fair queueing between the teams of each priority) and the counts for the shed level.

namespace limpet {

namespace {

    /// Number of requests by which a team may be served early for each level of call depth. Refusing a deeper call
    /// wastes more finished work, but an unbounded preference would let one team with deep calls starve the others.
    constexpr double depthCredit = 1;
    /// Refused fraction below which a priority counts as fully admitted, and started fraction below which it counts as
    /// fully refused.
    constexpr double negligibleFraction = 0.02;
    /// A priority whose decayed count of requests is below this is ignored in the shed level.
    constexpr double minRequests = 0.5;
    /// The counts of a team are removed when they decay below this.
    constexpr double minCount = 0.05;
    /// Counts decay at most once in this interval, so that most requests do not iterate over all teams.
    constexpr duration decayInterval = std::chrono::milliseconds(20);

} // namespace

const admission::team_queue* admission::findTeamQueue(std::string_view team, priority importance) const
{
    const auto& teams = m_levels[importance].teams;
    const auto found = std::find_if(teams.begin(), teams.end(), [&](const auto& queue) { return queue.team == team; });
    return found == teams.end() ? nullptr : &*found;
}

admission::team_queue& admission::teamQueueOf(const std::string& team, priority importance)
{
    auto& level = m_levels[importance];
    const auto found
        = std::find_if(level.teams.begin(), level.teams.end(), [&](const auto& known) { return known.team == team; });
    if (found != level.teams.end())
        return *found;
    level.teams.push_back({ team, level.virtualTime, {} });
    return level.teams.back();
}

void admission::insert(queued_request request)
{
    auto& level = m_levels[request.importance];
    auto& queue = teamQueueOf(request.team, request.importance);
    if (queue.requests.empty())
        queue.startTag = std::max(queue.startTag, level.virtualTime);
    m_deadlines.emplace(request.deadline, request.id);
    m_queued.emplace(request.id, request);
    queue.requests.insert(std::move(request));
    ++level.size;
}

admission::queued_request admission::removeQueued(
    team_queue& queue, priority importance, request_set::iterator position)
{
    auto request = std::move(queue.requests.extract(position).value());
    m_deadlines.erase({ request.deadline, request.id });
    m_queued.erase(request.id);
    auto& level = m_levels[importance];
    --level.size;
    if (level.size == 0) {
        level = {};
        return request;
    }
    // The empty queue of a team is kept only while its start tag shows that the team was served ahead of its turn.
    if (queue.requests.empty() && queue.startTag <= level.virtualTime)
        level.teams.erase(level.teams.begin() + (&queue - level.teams.data()));
    return request;
}

admission::queued_request admission::dequeueNext()
{
    std::size_t importance = highestPriority;
    while (m_levels[importance].size == 0)
        --importance;
    auto& level = m_levels[importance];
    team_queue* best = nullptr;
    double bestKey = 0;
    for (auto& candidate : level.teams) {
        if (candidate.requests.empty())
            continue;
        const auto& head = *candidate.requests.begin();
        const double key = m_options.order == queue_order::fifo ? static_cast<double>(head.sequence)
                                                                : candidate.startTag - depthCredit * head.depth;
        if (best == nullptr || key < bestKey) {
            best = &candidate;
            bestKey = key;
        }
    }
    level.virtualTime = std::max(level.virtualTime, best->startTag);
    best->startTag += 1;
    const auto tag = best->startTag;
    auto request = removeQueued(*best, static_cast<priority>(importance), best->requests.begin());
    std::erase_if(level.teams, [&](const auto& idle) { return idle.requests.empty() && idle.startTag < tag; });
    return request;
}

/// If the queue is full, evicts the last request of the team with the most queued requests within the lowest queued
/// priority. Returns false if the incoming request is to be refused instead: it is less important, or of that priority
/// and neither of a team with fewer queued requests nor a deeper call of the same team.
bool admission::makeRoom(const queued_request& incoming, admission_actions& actions, time_point now)
{
    if (m_queued.size() < queueCapacity())
        return true;
    if (m_options.order == queue_order::fifo)
        return false;
    std::size_t lowest = 0;
    while (m_levels[lowest].size == 0)
        ++lowest;
    if (lowest > incoming.importance)
        return false;
    auto& teams = m_levels[lowest].teams;
    const auto longest = std::max_element(teams.begin(), teams.end(),
        [](const auto& left, const auto& right) { return left.requests.size() < right.requests.size(); });
    if (lowest == incoming.importance) {
        const auto* ownQueue = findTeamQueue(incoming.team, incoming.importance);
        const std::size_t ownQueued = ownQueue != nullptr ? ownQueue->requests.size() : 0;
        const auto& last = *longest->requests.rbegin();
        const bool fewerQueued = ownQueued + 1 < longest->requests.size();
        const bool deeperOfSameTeam = ownQueue == &*longest && incoming.depth > last.depth;
        if (!fewerQueued && !deeperOfSameTeam)
            return false;
    }
    const auto importance = static_cast<priority>(lowest);
    const auto evicted = removeQueued(*longest, importance, std::prev(longest->requests.end()));
    countRefused(evicted.team, importance, now);
    actions.refused.push_back({ evicted.id, refusal_reason::overloaded, retryAfter(importance) });
    return true;
}

void admission::decayCounts(time_point now)
{
    if (now - m_lastDecay < decayInterval)
        return;
    const auto elapsed = std::chrono::duration<double>(now - m_lastDecay).count();
    const double factor = std::exp(-elapsed / std::chrono::duration<double>(m_options.shedTimeConstant).count());
    m_lastDecay = now;
    for (std::size_t importance = 0; importance < m_counts.size(); ++importance) {
        m_totals[importance].started *= factor;
        m_totals[importance].refused *= factor;
        for (auto& [team, counts] : m_counts[importance]) {
            counts.started *= factor;
            counts.refused *= factor;
        }
        std::erase_if(m_counts[importance],
            [](const auto& entry) { return entry.second.started + entry.second.refused < minCount; });
    }
}

void admission::countStarted(const std::string& team, priority importance, time_point now)
{
    decayCounts(now);
    m_totals[importance].started += 1;
    m_counts[importance][team].started += 1;
}

void admission::countRefused(const std::string& team, priority importance, time_point now)
{
    decayCounts(now);
    m_totals[importance].refused += 1;
    m_counts[importance][team].refused += 1;
}

shed_level admission::shedLevel(std::string_view team, time_point now)
{
    decayCounts(now);
    shed_level level;
    for (std::size_t importance = 0; importance < m_totals.size(); ++importance) {
        const auto& total = m_totals[importance];
        const double offered = total.started + total.refused;
        if (offered < minRequests)
            continue;
        const bool refusing = total.refused > negligibleFraction * offered;
        if (!refusing && level.lowestAdmitted == lowestPriority && level.admittedFraction == 1)
            return level; // no lower priority is refused either
        level.lowestAdmitted = static_cast<priority>(importance);
        level.admittedFraction = refusing ? admittedFractionOf(team, level.lowestAdmitted) : 1;
        if (total.started > negligibleFraction * offered)
            return level;
    }
    return level;
}

double admission::admittedFractionOf(std::string_view team, priority importance) const
{
    const auto own = m_counts[importance].find(team);
    if (own == m_counts[importance].end())
        return 1;
    const double offered = own->second.started + own->second.refused;
    return offered > 0 ? own->second.started / offered : 1;
}

} // namespace limpet
