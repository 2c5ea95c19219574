#include <algorithm>
#include <cmath>
#include <limpetcroft/mesh.h>

// Why the window bound holds. Over a window of length t with true level of the one bucket L <= burst, the admissions of
// all nodes are at most burst + rate * t, plus what the nodes admit before they hear of each other. That excess is at
// most the demand of one report interval, and it is paid back: while a copy of the bucket is in debt its node admits
// nothing.

namespace limpet::mesh {
namespace {

    // Part of the burst that is kept back from free admission, for admissions elsewhere that are not reported yet.
    constexpr double guardPart = 0.35;
    // Demand that every node is taken to have, in requests per second, so that a node without recent demand of a team
    // holds a small share.
    constexpr double floorDemand = 0.2;
    // Longest saving of a node's own share.
    constexpr std::chrono::duration<double> shareSaving { 0.25 };
    constexpr std::chrono::duration<double> demandWindow { 1.0 };
    // A bucket holds at least what the rate gives in this time: with less, two requests at once would exceed it.
    constexpr std::chrono::duration<double> leastBurst { 0.2 };
    // Admissions since the last report, as a part of the rate, that are reported before the usual time.
    constexpr double earlyReportPart = 0.1;
    constexpr double earlyReportLeast = 4;
    // A team stays in the reports for this long after its last request, so that a lost report is made up for.
    constexpr duration reportFor = std::chrono::seconds(5);
    constexpr duration longestRetryAfter = std::chrono::seconds(2);

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

void rate_sharing::demand_meter::add(time_point now)
{
    read(now);
    count += 1;
}

double rate_sharing::demand_meter::read(time_point now)
{
    const double elapsed = seconds(now - since);
    if (elapsed >= demandWindow.count()) {
        // A long gap counts as one window with the counted requests, followed by empty ones.
        perSecond = elapsed > 3 * demandWindow.count() ? 0 : 0.5 * perSecond + 0.5 * count / elapsed;
        count = 0;
        since = now;
    }
    return std::max(perSecond, count / demandWindow.count());
}

rate_sharing::rate_sharing(duration silence)
    : m_silence(silence)
{
}

void rate_sharing::configure(const std::vector<team>& teams, time_point now)
{
    std::map<std::string, bucket> kept;
    for (const auto& each : teams) {
        if (each.ratePerSecond <= 0)
            continue;
        const auto found = m_buckets.find(each.name);
        bucket next;
        if (found != m_buckets.end()) {
            refill(each.name, found->second, now);
            next = found->second;
        } else {
            // Nothing is known of what other nodes admitted just before, so that the bucket starts empty.
            next.refilled = now;
            next.demand.since = now;
        }
        next.rate = each.ratePerSecond;
        next.burst = std::max({ each.burst, each.ratePerSecond * leastBurst.count(), 1.0 });
        next.level = std::min(next.level, next.burst);
        kept.emplace(each.name, next);
    }
    m_buckets = std::move(kept);
}

double rate_sharing::share(const std::string& team, bucket& each, time_point now)
{
    const double own = each.demand.read(now) + floorDemand;
    double all = own;
    for (auto& [name, other] : m_peers) {
        const auto found = other.teams.find(team);
        all += floorDemand + (found == other.teams.end() ? 0 : found->second.demand);
    }
    return own / all;
}

void rate_sharing::refill(const std::string& team, bucket& each, time_point now)
{
    const double elapsed = seconds(now - each.refilled);
    if (elapsed <= 0)
        return;
    each.refilled = now;
    // A node that is not heard from goes on admitting up to its share.
    double unheard = 0;
    double demand = each.demand.read(now) + floorDemand;
    for (const auto& [name, other] : m_peers) {
        const auto found = other.teams.find(team);
        const double theirs = floorDemand + (found == other.teams.end() ? 0 : found->second.demand);
        demand += theirs;
        if (now - other.heard > m_silence)
            unheard += theirs;
    }
    const double part = 1 - unheard / demand;
    each.level = std::min(each.burst, each.level + each.rate * part * elapsed);
    const double ownRate = each.rate * share(team, each, now);
    each.own = std::min(std::max(1.0, ownRate * shareSaving.count()), each.own + ownRate * elapsed);
}

bool rate_sharing::admit(const std::string& team, time_point now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return true;
    auto& each = found->second;
    refill(team, each, now);
    each.demand.add(now);
    each.lastRequest = now;
    const bool free = each.level - 1 >= guardPart * each.burst;
    const bool byShare = each.level > 0 && each.own >= 1;
    if (!free && !byShare)
        return false;
    if (!free)
        each.own -= 1;
    each.level -= 1;
    each.admitted += 1;
    const auto unreported = static_cast<double>(each.admitted - each.reported);
    if (unreported >= std::max(earlyReportLeast, earlyReportPart * each.rate))
        m_reportDue = true;
    return true;
}

void rate_sharing::giveBack(const std::string& team)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return;
    // The total only grows, since other nodes take differences of it. The copy here is corrected, which is enough: the
    // others are on the safe side until the bucket is full again.
    found->second.level = std::min(found->second.burst, found->second.level + 1);
}

duration rate_sharing::retryAfter(const std::string& team, time_point now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return duration(0);
    auto& each = found->second;
    const double ownRate = std::max(each.rate * share(team, each, now), 0.01);
    const double debt = std::max(0.0, -each.level) / each.rate;
    const double wait = debt + std::max(0.0, 1 - each.own) / ownRate;
    return std::min(duration(std::llround(wait * 1e6)), longestRetryAfter);
}

void rate_sharing::learn(
    const std::string& node, std::uint64_t run, const std::vector<team_report>& reports, time_point now)
{
    auto& known = m_peers[node];
    if (run < known.run)
        return;
    // What a node admitted before it was heard of for the first time has no place in this copy of the bucket.
    const bool firstHeard = known.run == 0;
    if (run > known.run)
        known.teams.clear();
    known.run = run;
    known.heard = now;
    for (auto& [name, each] : known.teams)
        each.demand = 0;
    for (const auto& each : reports) {
        auto& last = known.teams[each.team];
        const auto bucketFound = m_buckets.find(each.team);
        if (!firstHeard && each.admitted > last.admitted && bucketFound != m_buckets.end()) {
            refill(each.team, bucketFound->second, now);
            const auto fresh = static_cast<double>(each.admitted - last.admitted);
            auto& level = bucketFound->second.level;
            level = std::max(level - fresh, -bucketFound->second.burst - bucketFound->second.rate);
        }
        last.team = each.team;
        last.admitted = std::max(last.admitted, each.admitted);
        last.demand = each.demand;
    }
}

void rate_sharing::forget(const std::string& node) { m_peers.erase(node); }

std::vector<team_report> rate_sharing::report(time_point now)
{
    m_reportDue = false;
    std::vector<team_report> reports;
    for (auto& [name, each] : m_buckets) {
        if (now - each.lastRequest > reportFor)
            continue;
        each.reported = each.admitted;
        reports.push_back({ name, each.admitted, each.demand.read(now) });
    }
    return reports;
}

} // namespace limpet::mesh
