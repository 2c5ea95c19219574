#include <algorithm>
#include <cmath>
#include <limpetcroft/mesh.h>
#include <xxhash.h>

// Why the window bound holds. The shares of all nodes together save at most the burst and earn at most the rate, and
// free admission uses them up too: burst + rate * t over a window of length t. What nodes admit freely before they hear
// of each other is on top of that. It is at most the demand of one report interval, and it is paid back: with a copy of
// the bucket too far in debt its node admits nothing.

namespace limpet::mesh {
namespace {

    // Part of the burst that is kept back from free admission, besides what other nodes are expected to have admitted
    // since their last report.
    constexpr double guardPart = 0.1;
    // Part of the rate that all nodes together are taken to ask for besides their demand, so that a node without recent
    // demand of a team holds a small share.
    constexpr double floorPart = 0.1;
    // Part of the burst that a copy of the bucket may be in debt before its node stops. Reports arrive in lumps.
    constexpr double debtPart = 0.1;
    // Requests of debt that are allowed besides: the reports of several nodes about a small team come as whole
    // requests.
    constexpr double debtLeast = 4;
    constexpr std::chrono::duration<double> demandWindow { 1.0 };
    // A surge shows at one node before others report theirs. It is taken to be the same at all nodes.
    constexpr std::chrono::duration<double> shortWindow { 0.25 };
    constexpr double clearSurge = 3; ///< times the usual
    constexpr double surgeMargin = 3; ///< requests above that which are still chance
    constexpr double leastExpected = 0.2; ///< requests in the short windows; with fewer, a node says nothing of others
    constexpr double mostSurge = 10;
    constexpr double surgeFactor = 1.5;
    constexpr double surgeLeast = 4;
    // A bucket holds at least what the rate gives in this time: with less, two requests at once would exceed it.
    constexpr std::chrono::duration<double> leastBurst { 0.2 };
    // Admissions since the last report, as a part of the rate, that are reported before the usual time.
    constexpr double earlyReportPart = 0.1;
    constexpr double earlyReportLeast = 4;
    // A team stays in the reports for this long after its last request, so that a lost report is made up for.
    constexpr duration reportFor = std::chrono::seconds(2);
    constexpr duration longestRetryAfter = std::chrono::seconds(2);

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

void distributed_rate_limiter::demand_meter::add(time_point now)
{
    read(now);
    count += 1;
    turnShortWindow(now);
    latest += 1;
}

void distributed_rate_limiter::demand_meter::turnShortWindow(time_point now)
{
    const double elapsed = seconds(now - latestSince);
    if (elapsed < shortWindow.count())
        return;
    before = elapsed < 2 * shortWindow.count() ? latest : 0;
    latest = 0;
    latestSince = now;
}

double distributed_rate_limiter::demand_meter::surge(double usual, time_point now)
{
    turnShortWindow(now);
    const double expected = std::max(perSecond, usual) * (shortWindow.count() + seconds(now - latestSince));
    const double seen = before + latest;
    if (expected < leastExpected || seen < clearSurge * expected + surgeMargin)
        return 1;
    return std::min(seen / expected, mostSurge);
}

double distributed_rate_limiter::demand_meter::read(time_point now)
{
    const double elapsed = seconds(now - since);
    if (elapsed >= demandWindow.count()) {
        // A long gap counts as one window with the counted requests, followed by empty ones.
        const double mean = count / elapsed;
        const double before = perSecond == 0 ? mean : perSecond;
        perSecond = elapsed > 3 * demandWindow.count() ? 0 : 0.5 * before + 0.5 * mean;
        count = 0;
        since = now;
    }
    // A surge shows before the window ends; the usual variation does not count as one.
    const double counted = count / demandWindow.count();
    return counted > surgeFactor * perSecond + surgeLeast ? counted : perSecond;
}

std::uint32_t teamHash(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

distributed_rate_limiter::distributed_rate_limiter(duration silence)
    : m_silence(silence)
{
}

void distributed_rate_limiter::configure(const std::vector<team>& teams, time_point now)
{
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
            // Nothing is known of what other nodes admitted just before, so that the bucket starts empty.
            next.refilled = now;
            next.demand.since = now;
            next.number = teamHash(each.name);
        }
        next.rate = each.ratePerSecond;
        next.burst = std::max({ each.burst, each.ratePerSecond * leastBurst.count(), 1.0 });
        next.level = std::min(next.level, next.burst);
        kept.emplace(each.name, next);
    }
    m_buckets = std::move(kept);
    m_names.clear();
    for (const auto& [name, each] : m_buckets)
        m_names.emplace(each.number, name);
}

/// Demand that is added for each node, in requests per second.
double distributed_rate_limiter::floorDemand(const bucket& each) const
{
    return floorPart * each.rate / static_cast<double>(m_peers.size() + 1);
}

double distributed_rate_limiter::share(bucket& each, time_point now)
{
    const double least = floorDemand(each);
    const double own = each.demand.read(now) + least;
    double all = own;
    for (auto& [name, other] : m_peers) {
        const auto found = other.teams.find(each.number);
        all += least + (found == other.teams.end() ? 0 : found->second.demand);
    }
    return own / all;
}

/// The newest demand here as a multiple of what is usual here, or at the mean of all nodes if that is more.
double distributed_rate_limiter::surgeOf(bucket& each, time_point now) const
{
    return each.demand.surge(each.allDemand / static_cast<double>(m_peers.size() + 1), now);
}

/// What another node is expected to admit. With more demand than the rate, it admits no more than its share.
double distributed_rate_limiter::expectedRate(const bucket& each, const known_use& use)
{
    return use.demand * std::min(1.0, each.rate / std::max(each.allDemand, each.rate));
}

/// A node that is silent for long is taken to go on with its share of the rate and of the burst: the rest is what this
/// copy of the bucket holds.
void distributed_rate_limiter::refill(bucket& each, time_point now)
{
    const double elapsed = seconds(now - each.refilled);
    if (elapsed <= 0)
        return;
    each.refilled = now;
    double unheard = 0;
    each.unseen = 0;
    const double least = floorDemand(each);
    double demand = each.demand.read(now) + least;
    const double surge = surgeOf(each, now);
    for (auto& [name, other] : m_peers) {
        const auto found = other.teams.find(each.number);
        const double theirs = least + (found == other.teams.end() ? 0 : found->second.demand);
        demand += theirs;
        const auto silent = now - other.heard;
        if (silent > m_silence)
            unheard += theirs;
        if (found == other.teams.end())
            continue;
        auto& use = found->second;
        if (silent <= m_silence)
            each.unseen += (surge > 1 ? surge * use.demand : expectedRate(each, use)) * seconds(silent);
        else if (!use.charged) {
            use.charged = true;
            each.level -= expectedRate(each, use) * seconds(m_silence);
        }
    }
    const double part = 1 - unheard / demand;
    each.level += each.rate * part * elapsed;
    each.allDemand = demand;
    const double ownPart = (each.demand.read(now) + least) / demand;
    // What others have taken but not reported is still in this copy, so that a full bucket shows as more than its size.
    each.level = std::min(each.burst * part + each.unseen, each.level);
    const double saving = std::max(1.0, each.burst * ownPart);
    each.own = std::min(saving, each.own + each.rate * ownPart * elapsed);
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
    const bool byShare = each.level - each.unseen > -debtPart * each.burst - debtLeast && each.own >= 1;
    const bool free = each.level - each.unseen - 1 >= guardPart * each.burst;
    if (!free && !byShare)
        return false;
    each.own = std::max(0.0, each.own - 1);
    each.level -= 1;
    each.admitted += 1;
    const auto unreported = static_cast<double>(each.admitted - each.reported);
    const bool many = unreported >= std::max(earlyReportLeast, earlyReportPart * each.rate);
    const bool surging = unreported >= surgeMargin && surgeOf(each, now) > 1;
    m_reportDue = m_reportDue || many || surging;
    return true;
}

void distributed_rate_limiter::refund(const std::string& team)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return;
    // The total only grows, since other nodes take differences of it. The copy here is corrected, which is enough: the
    // others are on the safe side until the bucket is full again.
    found->second.level = std::min(found->second.burst, found->second.level + 1);
}

duration distributed_rate_limiter::retryAfter(const std::string& team, time_point now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return duration(0);
    auto& each = found->second;
    const double ownRate = std::max(each.rate * share(each, now), 0.01);
    const double debt = std::max(0.0, -each.level) / each.rate;
    const double wait = debt + std::max(0.0, 1 - each.own) / ownRate;
    return std::min(duration(std::llround(wait * 1e6)), longestRetryAfter);
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
        oldest = std::max(oldest, now - other.heard);
    const auto text = [](double value) { return std::to_string(std::llround(value * 100) / 100.0).substr(0, 7); };
    return { { "rate", text(each.rate) }, { "burst", text(each.burst) }, { "level", text(each.level) },
        { "share_saved", text(each.own) }, { "all_demand", text(each.allDemand) }, { "unseen", text(each.unseen) },
        { "oldest_report_ms", std::to_string(oldest.count() / 1000) } };
}

void distributed_rate_limiter::mergeReports(
    const std::string& node, std::uint64_t run, const std::vector<team_report>& reports, time_point now)
{
    auto& known = m_peers[node];
    // What a node admitted before it was heard of for the first time has no place in this copy of the bucket.
    const bool firstHeard = known.run == 0;
    if (run != known.run)
        known.teams.clear();
    const auto silent = now - known.heard;
    known.run = run;
    known.heard = now;
    for (const auto& each : reports) {
        auto& last = known.teams[each.team];
        const auto named = m_names.find(each.team);
        if (!firstHeard && named != m_names.end())
            charge(m_buckets.at(named->second), last, each, silent, now);
        last.admitted = std::max(last.admitted, each.admitted);
        last.demand = each.demand;
        last.reported = now;
    }
    for (auto& [number, each] : known.teams) {
        each.charged = false;
        if (each.reported != now)
            each.demand = 0;
    }
}

/// Takes what the report names from the copy of the bucket, less what was taken for the silence before it.
void distributed_rate_limiter::charge(
    bucket& taken, const known_use& last, const team_report& report, duration silent, time_point now)
{
    if (report.admitted <= last.admitted)
        return;
    refill(taken, now);
    auto fresh = static_cast<double>(report.admitted - last.admitted);
    if (last.charged)
        fresh = std::max(0.0, fresh - expectedRate(taken, last) * seconds(silent));
    taken.level = std::max(taken.level - fresh, -taken.burst - taken.rate);
}

void distributed_rate_limiter::removeNode(const std::string& node) { m_peers.erase(node); }

std::vector<team_report> distributed_rate_limiter::buildReports(time_point now)
{
    m_reportDue = false;
    std::vector<team_report> reports;
    for (auto& [name, each] : m_buckets) {
        if (now - each.lastRequest > reportFor)
            continue;
        each.reported = each.admitted;
        reports.push_back({ each.number, each.admitted, each.demand.read(now) });
    }
    return reports;
}

} // namespace limpet::mesh
