#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>
#include <xxhash.h>

namespace limpet {

namespace {

    /// Exponent of the correction in one interval; 1 would be the exact correction. The reported level is an average
    /// over several intervals, so that the exact correction would overshoot.
    constexpr double correctionExponent = 0.2;
    /// Growth of a fraction in one interval in which no more than the tolerated fraction is refused.
    constexpr double growthFactor = 1.5;
    constexpr double growthStep = 0.1;
    /// Admitted fraction of the next lower priority when it becomes the lowest admitted priority.
    constexpr double readmittedFraction = 0.3;
    /// Fraction of the reports in an interval that must agree before the lowest admitted priority changes.
    constexpr double requiredAgreement = 0.8;
    /// A priority without requests for this long is skipped when the lowest admitted priority changes.
    constexpr duration priorityTimeout = std::chrono::seconds(10);
    /// After this long without reports, the fraction of a team no longer keeps the lowest admitted priority from being
    /// lowered.
    constexpr duration teamTimeout = std::chrono::seconds(1);
    /// Bounds the work of decay() after a long time without reports.
    constexpr std::int64_t maxDecayIntervals = 200;
    constexpr duration minRetryAfter = std::chrono::milliseconds(100);
    constexpr duration maxRetryAfter = std::chrono::seconds(2);

    /// Maps the id of a root request to [0, 1), with the same result at every node.
    double uniformHash(const request_id& root)
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

shed_thresholds::service_state& shed_thresholds::serviceStateOf(std::string_view service, time_point now)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.lastUse = now;
        return found->second;
    }
    if (m_services.size() >= m_options.maxServices) {
        const auto oldest = std::min_element(m_services.begin(), m_services.end(),
            [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; });
        m_services.erase(oldest);
    }
    auto& added = m_services[std::string(service)];
    added.lastUse = now;
    return added;
}

shed_thresholds::team_state& shed_thresholds::teamStateOf(
    threshold& threshold, std::string_view team, time_point now) const
{
    const auto found = threshold.teams.find(team);
    if (found != threshold.teams.end()) {
        found->second.lastUse = now;
        return found->second;
    }
    if (threshold.teams.size() >= m_options.maxTeamsPerService) {
        const auto oldest = std::min_element(threshold.teams.begin(), threshold.teams.end(),
            [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; });
        threshold.teams.erase(oldest);
    }
    auto& added = threshold.teams[std::string(team)];
    added.admittedFraction = threshold.initialFraction;
    added.lastChange = now;
    added.lastUse = now;
    return added;
}

void shed_thresholds::recordLevels(std::string_view service, std::string_view team, const shed_level& own,
    const shed_level& downstream, time_point now)
{
    if (!m_options.enabled)
        return;
    auto& state = serviceStateOf(service, now);
    applyReport(state, state.own, team, own, now);
    applyReport(state, state.downstream, team, downstream, now);
}

void shed_thresholds::applyReport(
    service_state& state, threshold& threshold, std::string_view team, const shed_level& level, time_point now)
{
    decay(state, threshold, now);
    threshold.lastReport = now;
    ++threshold.reports;
    double admittedFraction = level.admittedFraction;
    if (level.lowestAdmitted > threshold.lowestAdmitted) {
        ++threshold.reportsAbove;
        admittedFraction = 0;
    } else if (level.lowestAdmitted < threshold.lowestAdmitted || level == shed_level {}) {
        ++threshold.reportsBelow;
        admittedFraction = 1;
    }
    auto& teamState = teamStateOf(threshold, team, now);
    teamState.reportedFractionSum += admittedFraction;
    ++teamState.reports;
    if (now - teamState.lastChange >= m_options.adjustmentInterval) {
        adjustFraction(teamState, teamState.reportedFractionSum / teamState.reports);
        teamState.reportedFractionSum = 0;
        teamState.reports = 0;
        teamState.lastChange = now;
    }
    if (now - threshold.lastChange >= m_options.adjustmentInterval)
        updateThreshold(state, threshold, now);
}

void shed_thresholds::adjustFraction(team_state& team, double reportedFraction) const
{
    team.reportedFraction = reportedFraction;
    const double refused = 1 - reportedFraction;
    if (refused > m_options.toleratedRefusedFraction)
        team.admittedFraction *= std::pow(
            std::max(reportedFraction, 0.01) / (1 - m_options.toleratedRefusedFraction), correctionExponent);
    else
        team.admittedFraction = team.admittedFraction * growthFactor + growthStep;
    team.admittedFraction = std::clamp(team.admittedFraction, m_options.probeFraction, 1.0);
}

void shed_thresholds::updateThreshold(service_state& state, threshold& threshold, time_point now) const
{
    threshold.lastChange = now;
    if (threshold.reportsAbove > requiredAgreement * threshold.reports)
        raiseThreshold(state, threshold, now);
    else if (threshold.reportsBelow > requiredAgreement * threshold.reports)
        lowerThreshold(state, threshold, now);
    threshold.reports = 0;
    threshold.reportsAbove = 0;
    threshold.reportsBelow = 0;
}

void shed_thresholds::raiseThreshold(const service_state& state, threshold& threshold, time_point now) const
{
    for (std::size_t next = threshold.lowestAdmitted + std::size_t { 1 }; next < state.lastRequest.size(); ++next) {
        if (!state.lastRequest[next] || now - *state.lastRequest[next] > priorityTimeout)
            continue;
        threshold.lowestAdmitted = static_cast<priority>(next);
        threshold.teams.clear();
        threshold.initialFraction = 1;
        return;
    }
}

void shed_thresholds::lowerThreshold(const service_state& state, threshold& threshold, time_point now) const
{
    const bool recovering = std::any_of(threshold.teams.begin(), threshold.teams.end(), [&](const auto& entry) {
        return entry.second.admittedFraction < 1 && now - entry.second.lastUse < teamTimeout;
    });
    if (threshold.initialFraction < 1)
        threshold.initialFraction = std::min(1.0, threshold.initialFraction * growthFactor + growthStep);
    if (recovering || threshold.initialFraction < 1)
        return;
    threshold.teams.clear();
    threshold.initialFraction = 1;
    for (std::size_t next = threshold.lowestAdmitted; next-- > lowestPriority;) {
        if (!state.lastRequest[next] || now - *state.lastRequest[next] > priorityTimeout)
            continue;
        threshold.lowestAdmitted = static_cast<priority>(next);
        threshold.initialFraction = readmittedFraction;
        return;
    }
    threshold.lowestAdmitted = lowestPriority;
}

/// Lowers a threshold without reports for reportTimeout as if nothing were refused.
void shed_thresholds::decay(service_state& state, threshold& threshold, time_point now) const
{
    const auto since = std::max(threshold.lastReport, threshold.lastChange);
    if (now - threshold.lastReport < m_options.reportTimeout || now - since < m_options.adjustmentInterval)
        return;
    const auto intervals = std::min((now - since) / m_options.adjustmentInterval, maxDecayIntervals);
    for (std::int64_t step = 0; step < intervals; ++step) {
        if (threshold.lowestAdmitted == lowestPriority && threshold.teams.empty() && threshold.initialFraction >= 1)
            break;
        for (auto& [team, teamState] : threshold.teams)
            adjustFraction(teamState, 1);
        lowerThreshold(state, threshold, now);
    }
    threshold.lastChange = now;
}

bool shed_thresholds::admits(std::string_view service, const request_context& context, time_point now)
{
    if (!m_options.enabled)
        return true;
    auto& state = serviceStateOf(service, now);
    const auto importance = std::min(context.importance, highestPriority);
    state.lastRequest[importance] = now;
    decay(state, state.own, now);
    decay(state, state.downstream, now);
    return admits(state.own, context) && admits(state.downstream, context);
}

bool shed_thresholds::admits(const threshold& threshold, const request_context& context) const
{
    if (context.importance != threshold.lowestAdmitted)
        return context.importance > threshold.lowestAdmitted;
    const auto found = threshold.teams.find(context.team);
    const double admittedFraction
        = found != threshold.teams.end() ? found->second.admittedFraction : threshold.initialFraction;
    return admittedFraction >= 1 || uniformHash(context.rootId) < admittedFraction;
}

shed_level shed_thresholds::levelOf(const threshold& threshold, std::string_view team) const
{
    const auto found = threshold.teams.find(team);
    if (found == threshold.teams.end())
        return { threshold.lowestAdmitted, threshold.initialFraction };
    return { threshold.lowestAdmitted, found->second.admittedFraction * found->second.reportedFraction };
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
    decay(state, state.downstream, now);
    return stricter(levelOf(state.own, team), levelOf(state.downstream, team));
}

duration shed_thresholds::retryAfter(std::string_view service, std::string_view team, time_point now)
{
    const double admittedFraction = std::max(level(service, team, now).admittedFraction, m_options.probeFraction);
    const double wait = static_cast<double>(minRetryAfter.count()) / admittedFraction;
    return std::clamp(duration(std::llround(wait)), minRetryAfter, maxRetryAfter);
}

} // namespace limpet
