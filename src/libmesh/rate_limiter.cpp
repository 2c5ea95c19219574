#include "rate_limiter.h"
#include <algorithm>
#include <cmath>
#include <xxhash.h>

// All nodes together may admit burst + rate * t in a window of length t. Their share tokens keep this bound: together
// they accumulate at most the burst and refill at most at the rate, and admission from a well filled replica (free
// admission) consumes them as well. Only requests that are admitted freely before the nodes receive each other's
// reports exceed it. They are at most the demand of one report interval and are compensated later, since a node whose
// replica is too far in debt admits nothing.

namespace limpet::mesh {
namespace {

    // Fraction of the burst that free admission leaves in the replica, in addition to what other nodes are expected to
    // have admitted since their last report.
    constexpr double reservedFraction = 0.1;
    // Demand that is added to that of the fleet, as a fraction of the rate, in equal parts for all nodes, so that a
    // node without recent demand of a team still holds a small share.
    constexpr double baselineDemandFraction = 0.1;
    // Demand as a multiple of the rate from which only shares are admitted: a replica that lags behind by one report
    // would be emptied by all nodes at once, again and again.
    constexpr double overloadFactor = 1.3;
    // After the start of the process other nodes need this time to report their demand.
    constexpr duration startTime = std::chrono::milliseconds(1500);
    // Part of the other nodes that must have reported earlier for this node to trust what it knows, and how much longer
    // than this node they must have run.
    constexpr double sufficientPeers = 0.7;
    constexpr std::uint64_t minOlderMicroseconds = 2'000'000;
    // Fleet size assumed until the store lists the nodes.
    constexpr double assumedNodes = 100;
    // Debt, as a fraction of the burst, at which a node stops admitting. Not zero, since reports arrive in batches.
    constexpr double maxDebtFraction = 0.1;
    // Additional debt in requests: with a small burst, single requests reported by several nodes exceed the fraction.
    constexpr double extraDebtRequests = 4;
    constexpr std::chrono::duration<double> demandWindow { 1.0 };
    // A surge is detected locally, before other nodes report theirs, and is assumed to be equal at all nodes.
    constexpr std::chrono::duration<double> shortWindow { 0.25 };
    constexpr double surgeThreshold = 3; ///< multiple of the usual demand
    constexpr double surgeMargin = 3; ///< requests above the threshold that count as random variation
    constexpr double minExpectedRequests = 0.2; ///< in the short windows; with fewer, one node is not representative
    constexpr double maxSurge = 10;
    // A window whose count exceeds surgeFactor times the estimate by minSurgeRequests is used before it ends.
    constexpr double surgeFactor = 1.5;
    constexpr double minSurgeRequests = 4;
    // The burst is at least the rate times this: with a smaller one, two simultaneous requests would exceed it.
    constexpr std::chrono::duration<double> minBurstTime { 0.2 };
    // Admissions since the last report, as a fraction of the rate, that make the next report due early.
    constexpr double earlyReportFraction = 0.1;
    constexpr double minEarlyReportRequests = 4;
    // Reports include a team for this long after its last request, so that a lost report is compensated.
    constexpr duration reportRetention = std::chrono::seconds(2);
    constexpr duration maxRetryAfter = std::chrono::seconds(2);

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

void distributed_rate_limiter::demand_estimator::add(time_point now)
{
    estimate(now);
    count += 1;
    rollShortWindow(now);
    shortWindowCount += 1;
}

void distributed_rate_limiter::demand_estimator::rollShortWindow(time_point now)
{
    const double elapsed = seconds(now - shortWindowStart);
    if (elapsed < shortWindow.count())
        return;
    previousShortWindowCount = elapsed < 2 * shortWindow.count() ? shortWindowCount : 0;
    shortWindowCount = 0;
    shortWindowStart = now;
}

double distributed_rate_limiter::demand_estimator::surge(double usual, time_point now)
{
    rollShortWindow(now);
    const double expected = std::max(perSecond, usual) * (shortWindow.count() + seconds(now - shortWindowStart));
    const double seen = previousShortWindowCount + shortWindowCount;
    if (expected < minExpectedRequests || seen < surgeThreshold * expected + surgeMargin)
        return 1;
    return std::min(seen / expected, maxSurge);
}

double distributed_rate_limiter::demand_estimator::estimate(time_point now)
{
    const double elapsed = seconds(now - windowStart);
    if (elapsed >= demandWindow.count()) {
        // After a gap of more than three windows, the earlier demand no longer counts.
        const double mean = count / elapsed;
        const double before = perSecond == 0 ? mean : perSecond;
        perSecond = elapsed > 3 * demandWindow.count() ? 0 : 0.5 * before + 0.5 * mean;
        count = 0;
        windowStart = now;
    }
    // Report a surge before the window ends, but not the usual variation.
    const double counted = count / demandWindow.count();
    return counted > surgeFactor * perSecond + minSurgeRequests ? counted : perSecond;
}

std::uint32_t teamHash(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

distributed_rate_limiter::distributed_rate_limiter(duration reportTimeout, std::uint64_t run)
    : m_reportTimeout(reportTimeout)
    , m_run(run)
{
}

void distributed_rate_limiter::configure(const std::vector<team>& teams, time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    std::map<std::string, bucket> kept;
    for (const auto& each : teams) {
        if (each.ratePerSecond <= 0)
            continue;
        const auto found = m_buckets.find(each.name);
        bucket next;
        if (found != m_buckets.end()) {
            refill(found->second, now);
            next = found->second;
        } else {
            // Nothing is known of what other nodes admitted just before, so that the bucket starts empty. Each node may
            // admit one request at the start, or a restart of the fleet would refuse every team for seconds.
            next.shareTokens = *m_startedAt == now ? 1 : 0;
            next.lastRefill = now;
            next.demand.windowStart = now;
            next.teamHash = teamHash(each.name);
        }
        next.rate = each.ratePerSecond;
        next.burst = std::max({ each.burst, each.ratePerSecond * minBurstTime.count(), 1.0 });
        next.tokens = std::min(next.tokens, next.burst);
        kept.emplace(each.name, next);
    }
    m_buckets = std::move(kept);
    m_teamByHash.clear();
    for (const auto& [name, each] : m_buckets)
        m_teamByHash.emplace(each.teamHash, name);
}

/// Returns the demand that is added for each node, in requests per second.
double distributed_rate_limiter::baselineDemand(const bucket& each) const
{
    return baselineDemandFraction * each.rate / static_cast<double>(m_peers.size() + 1);
}

/// Whether this node just started and has not heard enough nodes that ran before it: the demand that they report is
/// that of the fleet, while nodes that started together know nothing yet.
bool distributed_rate_limiter::isStarting(time_point now) const
{
    if (!m_startedAt || now - *m_startedAt >= startTime || m_listedNodes == 1)
        return false;
    return m_listedNodes == 0
        || static_cast<double>(m_olderPeers) < sufficientPeers * static_cast<double>(m_listedNodes - 1);
}

/// Returns the share that this node claims while it does not know the demand of the others. After a restart of the
/// whole fleet, each node would otherwise take itself for the only one.
double distributed_rate_limiter::startingShare() const
{
    return 1 / (m_listedNodes > 0 ? static_cast<double>(m_listedNodes) : assumedNodes);
}

/// Returns this node's demand as the other nodes know it. If all nodes compared their newest demand with older reports
/// of the others, they would all overestimate their shares when the demand rises.
double distributed_rate_limiter::ownDemand(bucket& each, time_point now) const
{
    return m_peers.empty() ? each.demand.estimate(now) : each.reportedDemand;
}

/// Returns the newest local demand as a multiple of the usual local demand, or of the mean per node if that is higher.
double distributed_rate_limiter::demandSurge(bucket& each, time_point now) const
{
    return each.demand.surge(each.fleetDemand / static_cast<double>(m_peers.size() + 1), now);
}

/// Returns the rate at which another node is expected to admit: its demand, or its share if demand exceeds the rate.
double distributed_rate_limiter::expectedRate(const bucket& each, const peer_usage& use)
{
    return use.demand * std::min(1.0, each.rate / std::max(each.fleetDemand, each.rate));
}

/// Refills the replica. Nodes past the report timeout are assumed to keep using their share of the rate and burst, so
/// that this replica gets only the remainder.
void distributed_rate_limiter::refill(bucket& each, time_point now)
{
    const double elapsed = seconds(now - each.lastRefill);
    if (elapsed <= 0)
        return;
    each.lastRefill = now;
    double unreachableDemand = 0;
    each.expectedUnreported = 0;
    const double baseline = baselineDemand(each);
    const double own = ownDemand(each, now) + baseline;
    double demand = own;
    const double surge = demandSurge(each, now);
    for (auto& [name, other] : m_peers) {
        const auto found = other.teams.find(each.teamHash);
        const double theirs = baseline + (found == other.teams.end() ? 0 : found->second.demand);
        demand += theirs;
        const auto silent = now - other.lastSeen;
        if (silent > m_reportTimeout)
            unreachableDemand += theirs;
        if (found == other.teams.end())
            continue;
        auto& use = found->second;
        if (silent <= m_reportTimeout)
            each.expectedUnreported += (surge > 1 ? surge * use.demand : expectedRate(each, use)) * seconds(silent);
        else if (!use.silenceCharged) {
            use.silenceCharged = true;
            each.tokens -= expectedRate(each, use) * seconds(m_reportTimeout);
        }
    }
    const double reachableFraction = 1 - unreachableDemand / demand;
    each.tokens += each.rate * reachableFraction * elapsed;
    each.fleetDemand = demand;
    each.share = isStarting(now) ? startingShare() : own / demand;
    // The cap is raised by the tokens that other nodes consumed but have not reported, which the replica still holds.
    each.tokens = std::min(each.burst * reachableFraction + each.expectedUnreported, each.tokens);
    // Shares saved by all nodes during a debt would be admitted at once at its end, and cause the next debt.
    if (isInDebt(each)) {
        each.shareTokens = 0;
        return;
    }
    const double maxShareTokens = std::max(1.0, each.burst * each.share);
    each.shareTokens = std::min(maxShareTokens, each.shareTokens + each.rate * each.share * elapsed);
}

/// Whether the replica is so far in debt that this node admits nothing.
bool distributed_rate_limiter::isInDebt(const bucket& each)
{
    return each.tokens - each.expectedUnreported <= -maxDebtFraction * each.burst - extraDebtRequests;
}

/// Whether the replica is filled well enough to admit a request beyond this node's share.
bool distributed_rate_limiter::allowsFreeAdmission(const bucket& each, time_point now) const
{
    if (isStarting(now) || each.fleetDemand > overloadFactor * each.rate)
        return false;
    return each.tokens - each.expectedUnreported - 1 >= reservedFraction * each.burst;
}

bool distributed_rate_limiter::admit(const std::string& team, time_point now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return true;
    auto& each = found->second;
    refill(each, now);
    each.demand.add(now);
    each.lastRequest = now;
    const bool byShare = each.shareTokens >= 1 && !isInDebt(each);
    if (!byShare && !allowsFreeAdmission(each, now))
        return false;
    each.shareTokens = std::max(0.0, each.shareTokens - 1);
    each.tokens -= 1;
    each.admitted += 1;
    const auto unreported = static_cast<double>(each.admitted - each.reported);
    const bool many = unreported >= std::max(minEarlyReportRequests, earlyReportFraction * each.rate);
    const bool surging = unreported >= surgeMargin && demandSurge(each, now) > 1;
    m_reportDue = m_reportDue || many || surging;
    return true;
}

void distributed_rate_limiter::refund(const std::string& team)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return;
    // The reported total must be monotonic, since other nodes use its differences. Only the local replica is corrected;
    // the others stay conservative until the bucket is full again.
    found->second.tokens = std::min(found->second.burst, found->second.tokens + 1);
}

duration distributed_rate_limiter::retryAfter(const std::string& team) const
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return duration(0);
    const auto& each = found->second;
    const double ownRate = std::max(each.rate * each.share, 0.01);
    const double debt = std::max(0.0, -each.tokens) / each.rate;
    const double wait = debt + std::max(0.0, 1 - each.shareTokens) / ownRate;
    return std::min(duration(std::llround(wait * 1e6)), maxRetryAfter);
}

std::vector<std::pair<std::string, std::string>> distributed_rate_limiter::decisionInputs(
    const std::string& team, time_point now) const
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return {};
    const auto& each = found->second;
    duration oldest { 0 };
    for (const auto& [name, other] : m_peers)
        oldest = std::max(oldest, now - other.lastSeen);
    const auto text = [](double value) { return std::to_string(std::llround(value * 100) / 100.0).substr(0, 7); };
    return { { "rate", text(each.rate) }, { "burst", text(each.burst) }, { "level", text(each.tokens) },
        { "share_saved", text(each.shareTokens) }, { "all_demand", text(each.fleetDemand) },
        { "unseen", text(each.expectedUnreported) }, { "oldest_report_ms", std::to_string(oldest.count() / 1000) } };
}

void distributed_rate_limiter::mergeReports(
    const std::string& node, std::uint64_t run, const std::vector<team_report>& reports, time_point now)
{
    auto& known = m_peers[node];
    // Admissions before the first report of a node are not deducted from this replica.
    const bool firstReport = known.run == 0;
    if (run != known.run)
        known.teams.clear();
    const auto silent = now - known.lastSeen;
    if (firstReport && run + minOlderMicroseconds <= m_run) {
        known.isOlder = true;
        ++m_olderPeers;
    }
    known.run = run;
    known.lastSeen = now;
    for (const auto& each : reports) {
        auto& last = known.teams[each.team];
        const auto named = m_teamByHash.find(each.team);
        if (!firstReport && named != m_teamByHash.end())
            charge(m_buckets.at(named->second), last, each, silent, now);
        last.admitted = std::max(last.admitted, each.admitted);
        last.demand = each.demand;
        last.reported = now;
    }
    for (auto& [hash, each] : known.teams) {
        each.silenceCharged = false;
        if (each.reported != now)
            each.demand = 0;
    }
}

/// Deducts the newly reported admissions from the replica, less the estimate already deducted for the node's silence.
void distributed_rate_limiter::charge(
    bucket& each, const peer_usage& last, const team_report& report, duration silent, time_point now)
{
    if (report.admitted <= last.admitted)
        return;
    refill(each, now);
    auto newlyAdmitted = static_cast<double>(report.admitted - last.admitted);
    if (last.silenceCharged)
        newlyAdmitted = std::max(0.0, newlyAdmitted - expectedRate(each, last) * seconds(silent));
    each.tokens = std::max(each.tokens - newlyAdmitted, -each.burst - each.rate);
}

void distributed_rate_limiter::removeNode(const std::string& node)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    m_olderPeers -= found->second.isOlder ? 1 : 0;
    m_peers.erase(found);
}

std::vector<team_report> distributed_rate_limiter::buildReports(time_point now)
{
    m_reportDue = false;
    std::vector<team_report> reports;
    for (auto& [name, each] : m_buckets) {
        if (now - each.lastRequest > reportRetention)
            continue;
        each.reported = each.admitted;
        each.reportedDemand = each.demand.estimate(now);
        reports.push_back({ each.teamHash, each.admitted, each.reportedDemand });
    }
    return reports;
}

} // namespace limpet::mesh
