#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>
#include <xxhash.h>

namespace limpet {

namespace {

    /// Part of the exact correction that is made in one interval. The reported level averages over several intervals,
    /// so that the whole correction would overshoot.
    constexpr double correction = 0.2;
    /// Growth in one interval while nothing is refused.
    constexpr double growthFactor = 1.5;
    constexpr double growthStep = 0.1;
    /// Fraction with which the next lower priority is tried again.
    constexpr double firstFraction = 0.3;
    /// Part of the reports that must agree before the marginal priority moves.
    constexpr double agreement = 0.8;
    /// A priority without requests for this long is passed over when the marginal priority moves.
    constexpr duration seenRecently = std::chrono::seconds(10);
    /// After this long without use a team's fraction no longer holds up a move of the marginal priority.
    constexpr duration usedRecently = std::chrono::seconds(1);
    constexpr std::int64_t longestDecay = 200; ///< intervals
    constexpr duration shortestRetryAfter = std::chrono::milliseconds(100);
    constexpr duration longestRetryAfter = std::chrono::seconds(2);

    /// Returns the same number in [0, 1) for a root request at every node.
    double drawOf(const request_id& root)
    {
        const auto hash = XXH3_64bits(&root, sizeof root);
        return static_cast<double>(hash >> 11U) * 0x1.0p-53;
    }

} // namespace

shed_level stricter(const shed_level& left, const shed_level& right)
{
    if (left.lowestAdmitted != right.lowestAdmitted)
        return left.lowestAdmitted > right.lowestAdmitted ? left : right;
    return left.admittedFraction < right.admittedFraction ? left : right;
}

shed_thresholds::shed_thresholds(threshold_options options)
    : m_options(options)
{
}

shed_thresholds::service_state& shed_thresholds::stateOf(std::string_view service, time_point now)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.used = now;
        return found->second;
    }
    if (m_services.size() >= m_options.maxServices) {
        const auto oldest = std::min_element(m_services.begin(), m_services.end(),
            [](const auto& left, const auto& right) { return left.second.used < right.second.used; });
        m_services.erase(oldest);
    }
    auto& added = m_services[std::string(service)];
    added.used = now;
    return added;
}

shed_thresholds::team_fraction& shed_thresholds::fractionOf(cursor& cursor, std::string_view team, time_point now) const
{
    const auto found = cursor.teams.find(team);
    if (found != cursor.teams.end()) {
        found->second.used = now;
        return found->second;
    }
    if (cursor.teams.size() >= m_options.maxTeamsPerService) {
        const auto oldest = std::min_element(cursor.teams.begin(), cursor.teams.end(),
            [](const auto& left, const auto& right) { return left.second.used < right.second.used; });
        cursor.teams.erase(oldest);
    }
    auto& added = cursor.teams[std::string(team)];
    added.admittedFraction = cursor.startFraction;
    added.changed = now;
    added.used = now;
    return added;
}

void shed_thresholds::recordLevels(
    std::string_view service, std::string_view team, const shed_level& own, const shed_level& deeper, time_point now)
{
    if (!m_options.enabled)
        return;
    auto& state = stateOf(service, now);
    report(state, state.own, team, own, now);
    report(state, state.deeper, team, deeper, now);
}

void shed_thresholds::report(
    service_state& state, cursor& cursor, std::string_view team, const shed_level& level, time_point now)
{
    decay(state, cursor, now);
    cursor.lastReport = now;
    ++cursor.reports;
    double admittedFraction = level.admittedFraction;
    if (level.lowestAdmitted > cursor.marginal) {
        ++cursor.reportsAbove;
        admittedFraction = 0;
    } else if (level.lowestAdmitted < cursor.marginal || level == shed_level {}) {
        ++cursor.reportsBelow;
        admittedFraction = 1;
    }
    auto& own = fractionOf(cursor, team, now);
    own.reportedSum += admittedFraction;
    ++own.reports;
    if (now - own.changed >= m_options.adjustmentInterval) {
        adjust(own, own.reportedSum / own.reports);
        own.reportedSum = 0;
        own.reports = 0;
        own.changed = now;
    }
    if (now - cursor.changed >= m_options.adjustmentInterval)
        moveMarginal(state, cursor, now);
}

void shed_thresholds::adjust(team_fraction& team, double reported) const
{
    team.reported = reported;
    const double refused = 1 - reported;
    if (refused > m_options.toleratedRefusedFraction)
        team.admittedFraction
            *= std::pow(std::max(reported, 0.01) / (1 - m_options.toleratedRefusedFraction), correction);
    else
        team.admittedFraction = team.admittedFraction * growthFactor + growthStep;
    team.admittedFraction = std::clamp(team.admittedFraction, m_options.probeFraction, 1.0);
}

void shed_thresholds::moveMarginal(service_state& state, cursor& cursor, time_point now) const
{
    cursor.changed = now;
    if (cursor.reportsAbove > agreement * cursor.reports)
        raise(state, cursor, now);
    else if (cursor.reportsBelow > agreement * cursor.reports)
        lower(state, cursor, now);
    cursor.reports = 0;
    cursor.reportsAbove = 0;
    cursor.reportsBelow = 0;
}

void shed_thresholds::raise(const service_state& state, cursor& cursor, time_point now) const
{
    for (std::size_t next = cursor.marginal + std::size_t { 1 }; next < state.seen.size(); ++next) {
        if (!state.seen[next] || now - *state.seen[next] > seenRecently)
            continue;
        cursor.marginal = static_cast<priority>(next);
        cursor.teams.clear();
        cursor.startFraction = 1;
        return;
    }
}

void shed_thresholds::lower(const service_state& state, cursor& cursor, time_point now) const
{
    const bool recovering = std::any_of(cursor.teams.begin(), cursor.teams.end(),
        [&](const auto& entry) { return entry.second.admittedFraction < 1 && now - entry.second.used < usedRecently; });
    if (cursor.startFraction < 1)
        cursor.startFraction = std::min(1.0, cursor.startFraction * growthFactor + growthStep);
    if (recovering || cursor.startFraction < 1)
        return;
    cursor.teams.clear();
    cursor.startFraction = 1;
    for (std::size_t next = cursor.marginal; next-- > lowestPriority;) {
        if (!state.seen[next] || now - *state.seen[next] > seenRecently)
            continue;
        cursor.marginal = static_cast<priority>(next);
        cursor.startFraction = firstFraction;
        return;
    }
    cursor.marginal = lowestPriority;
}

/// Without replies there is nothing to learn from. The levels then decay as if nothing were refused.
void shed_thresholds::decay(service_state& state, cursor& cursor, time_point now) const
{
    const auto since = std::max(cursor.lastReport, cursor.changed);
    if (now - cursor.lastReport < m_options.reportTimeout || now - since < m_options.adjustmentInterval)
        return;
    const auto intervals = std::min((now - since) / m_options.adjustmentInterval, longestDecay);
    for (std::int64_t step = 0; step < intervals; ++step) {
        if (cursor.marginal == lowestPriority && cursor.teams.empty() && cursor.startFraction >= 1)
            break;
        for (auto& [team, admittedFraction] : cursor.teams)
            adjust(admittedFraction, 1);
        lower(state, cursor, now);
    }
    cursor.changed = now;
}

bool shed_thresholds::admits(std::string_view service, const request_context& context, time_point now)
{
    if (!m_options.enabled)
        return true;
    auto& state = stateOf(service, now);
    const auto importance = std::min(context.importance, highestPriority);
    state.seen[importance] = now;
    decay(state, state.own, now);
    decay(state, state.deeper, now);
    return admits(state.own, context) && admits(state.deeper, context);
}

bool shed_thresholds::admits(const cursor& cursor, const request_context& context) const
{
    if (context.importance != cursor.marginal)
        return context.importance > cursor.marginal;
    const auto own = cursor.teams.find(context.team);
    const double admittedFraction = own != cursor.teams.end() ? own->second.admittedFraction : cursor.startFraction;
    return admittedFraction >= 1 || drawOf(context.rootId) < admittedFraction;
}

shed_level shed_thresholds::levelOf(const cursor& cursor, std::string_view team) const
{
    const auto own = cursor.teams.find(team);
    if (own == cursor.teams.end())
        return { cursor.marginal, cursor.startFraction };
    return { cursor.marginal, own->second.admittedFraction * own->second.reported };
}

shed_level shed_thresholds::level(std::string_view service, std::string_view team, time_point now)
{
    if (!m_options.enabled)
        return {};
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return {};
    auto& state = found->second;
    decay(state, state.own, now);
    decay(state, state.deeper, now);
    return stricter(levelOf(state.own, team), levelOf(state.deeper, team));
}

duration shed_thresholds::retryAfter(std::string_view service, std::string_view team, time_point now)
{
    const double admittedFraction = std::max(level(service, team, now).admittedFraction, m_options.probeFraction);
    const double wait = static_cast<double>(shortestRetryAfter.count()) / admittedFraction;
    return std::clamp(duration(std::llround(wait)), shortestRetryAfter, longestRetryAfter);
}

} // namespace limpet
