#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

// The queue of admission: lanes of teams within each priority, and the counts behind the shed level.

namespace limpet {

namespace {

    /// A team may be served this many requests early for each level of depth. Deeper calls carry more finished work,
    /// but an unbounded preference would let one team with deep calls starve the others.
    constexpr double depthLead = 1;
    /// Refused part of a priority below which it counts as fully admitted.
    constexpr double negligible = 0.02;
    /// With fewer requests than this in memory a priority says nothing about what is shed.
    constexpr double fewRequests = 0.5;
    /// Counts below this are forgotten.
    constexpr double forgotten = 0.05;
    /// Counts are decayed in steps, so that not every request pays for it.
    constexpr duration decayStep = std::chrono::milliseconds(20);

} // namespace

const admission::team_lane* admission::findLane(std::string_view team, priority importance) const
{
    const auto& teams = m_lanes[importance].teams;
    const auto found = std::find_if(teams.begin(), teams.end(), [&](const auto& lane) { return lane.team == team; });
    return found == teams.end() ? nullptr : &*found;
}

admission::team_lane& admission::laneOf(const std::string& team, priority importance)
{
    auto& lane = m_lanes[importance];
    const auto found
        = std::find_if(lane.teams.begin(), lane.teams.end(), [&](const auto& known) { return known.team == team; });
    if (found != lane.teams.end())
        return *found;
    lane.teams.push_back({ team, lane.virtualTime, {} });
    return lane.teams.back();
}

void admission::insert(queued_request request)
{
    auto& lane = m_lanes[request.importance];
    auto& own = laneOf(request.team, request.importance);
    if (own.requests.empty())
        own.startTag = std::max(own.startTag, lane.virtualTime);
    m_deadlines.emplace(request.deadline, request.id);
    m_queued.emplace(request.id, request);
    own.requests.insert(std::move(request));
    ++lane.size;
}

admission::queued_request admission::take(team_lane& lane, priority importance, request_set::iterator position)
{
    auto request = std::move(lane.requests.extract(position).value());
    m_deadlines.erase({ request.deadline, request.id });
    m_queued.erase(request.id);
    auto& owner = m_lanes[importance];
    --owner.size;
    if (owner.size == 0) {
        owner = {};
        return request;
    }
    // The lane of an idle team is kept only while its start tag says that it was served ahead of its turn.
    if (lane.requests.empty() && lane.startTag <= owner.virtualTime)
        owner.teams.erase(owner.teams.begin() + (&lane - owner.teams.data()));
    return request;
}

admission::queued_request admission::takeNext()
{
    std::size_t importance = highestPriority;
    while (m_lanes[importance].size == 0)
        --importance;
    auto& lane = m_lanes[importance];
    team_lane* best = nullptr;
    double bestKey = 0;
    for (auto& candidate : lane.teams) {
        if (candidate.requests.empty())
            continue;
        const auto& head = *candidate.requests.begin();
        const double key = m_options.order == queue_order::fifo ? static_cast<double>(head.arrival)
                                                                : candidate.startTag - depthLead * head.depth;
        if (best == nullptr || key < bestKey) {
            best = &candidate;
            bestKey = key;
        }
    }
    lane.virtualTime = std::max(lane.virtualTime, best->startTag);
    best->startTag += 1;
    const auto tag = best->startTag;
    auto request = take(*best, static_cast<priority>(importance), best->requests.begin());
    std::erase_if(lane.teams, [&](const auto& idle) { return idle.requests.empty() && idle.startTag < tag; });
    return request;
}

/// Evicts a less important request, or one of the team with the most queued requests, if the queue is full. Returns
/// false if the newcomer itself is the one to lose.
bool admission::makeRoom(const queued_request& newcomer, admission_actions& actions, time_point now)
{
    if (m_queued.size() < queueCapacity())
        return true;
    if (m_options.order == queue_order::fifo)
        return false;
    std::size_t lowest = 0;
    while (m_lanes[lowest].size == 0)
        ++lowest;
    if (lowest > newcomer.importance)
        return false;
    auto& teams = m_lanes[lowest].teams;
    const auto longest = std::max_element(teams.begin(), teams.end(),
        [](const auto& left, const auto& right) { return left.requests.size() < right.requests.size(); });
    if (lowest == newcomer.importance) {
        const auto* own = findLane(newcomer.team, newcomer.importance);
        const std::size_t ownQueued = own != nullptr ? own->requests.size() : 0;
        const auto& last = *longest->requests.rbegin();
        const bool fewerQueued = ownQueued + 1 < longest->requests.size();
        const bool deeperOfSameTeam = own == &*longest && newcomer.depth > last.depth;
        if (!fewerQueued && !deeperOfSameTeam)
            return false;
    }
    const auto importance = static_cast<priority>(lowest);
    const auto victim = take(*longest, importance, std::prev(longest->requests.end()));
    countRefused(victim.team, importance, now);
    actions.refused.push_back({ victim.id, refusal_reason::overloaded, retryAfter(importance) });
    return true;
}

void admission::decayCounts(time_point now)
{
    if (now - m_countsDecayed < decayStep)
        return;
    const auto elapsed = std::chrono::duration<double>(now - m_countsDecayed).count();
    const double factor = std::exp(-elapsed / std::chrono::duration<double>(m_options.shedTimeConstant).count());
    m_countsDecayed = now;
    for (std::size_t importance = 0; importance < m_counts.size(); ++importance) {
        m_totals[importance].started *= factor;
        m_totals[importance].refused *= factor;
        for (auto& [team, counts] : m_counts[importance]) {
            counts.started *= factor;
            counts.refused *= factor;
        }
        std::erase_if(m_counts[importance],
            [](const auto& entry) { return entry.second.started + entry.second.refused < forgotten; });
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
        if (offered < fewRequests)
            continue;
        const bool refusing = total.refused > negligible * offered;
        if (!refusing && level.lowestAdmitted == lowestPriority && level.admittedFraction == 1)
            return level; // nothing below is refused either
        level.lowestAdmitted = static_cast<priority>(importance);
        level.admittedFraction = refusing ? fractionOf(team, level.lowestAdmitted) : 1;
        if (total.started > negligible * offered)
            return level;
    }
    return level;
}

double admission::fractionOf(std::string_view team, priority importance) const
{
    const auto own = m_counts[importance].find(team);
    if (own == m_counts[importance].end())
        return 1;
    const double offered = own->second.started + own->second.refused;
    return offered > 0 ? own->second.started / offered : 1;
}

} // namespace limpet
