#include "state.h"

#include <algorithm>
#include <xxhash.h>

namespace limpet {

namespace {

    // Exceeds by far the time for which token requests and their records refer to a team.
    constexpr duration removedTeamRetention = std::chrono::minutes(1);
    constexpr duration minRetryAfter = std::chrono::milliseconds(50);
    // Up to this many requests of a team may wait regardless of the rate at which tokens are spent.
    constexpr unsigned minQueueLimit = 8;

}

quota::quota(quota_settings settings, std::uint64_t seed)
    : m_state(std::make_unique<state>(std::move(settings), seed))
{
    state& own = *m_state;
    own.settings.shards = std::clamp(own.settings.shards, 1U, 1024U);
    for (unsigned shard = 0; shard < own.settings.shards; ++shard)
        own.shards.emplace_back(own.settings, static_cast<std::uint16_t>(shard), own.random.next());
    own.members.push_back({ own.settings.self, own.settings.region, own.settings.availabilityZone, own.settings.run });
    own.rankMembers();
}
quota::~quota() = default;
quota::quota(quota&&) noexcept = default;
quota& quota::operator=(quota&&) noexcept = default;

void quota::state::configureTeam(const team_rule& rule, time_point now)
{
    auto [found, created] = teams.try_emplace(rule.team);
    if (created)
        found->second = std::make_unique<team_state>();
    team_state& team = *found->second;
    team.id = XXH3_64bits(rule.team.data(), rule.team.size());
    team.rule = rule;
    team.hash = ruleHash(rule, regions);
    team.shard = static_cast<std::uint16_t>(team.id % settings.shards);
    team.removedAt.reset();
    team.share.set(shareOf(rule, regions, settings.region), now, settings.shareIncreaseDelay);
    byId[team.id] = &team;
    byHash[team.hash] = &team;
}

void quota::configure(revision number, std::span<const team_rule> teams, std::span<const std::string> regions,
    time_point now, std::vector<quota_action>& actions)
{
    state& own = *m_state;
    if (number < own.number)
        return;
    own.number = number;
    own.regions.assign(regions.begin(), regions.end());
    own.byHash.clear();
    for (const team_rule& rule : teams) {
        const auto known = own.teams.find(rule.team);
        const bool same = known != own.teams.end() && !known->second->removedAt
            && known->second->hash == ruleHash(rule, own.regions);
        if (same)
            own.byHash[known->second->hash] = known->second.get();
        else
            own.configureTeam(rule, now);
    }
    for (auto& [name, team] : own.teams) {
        if (own.byHash.contains(team->hash) || team->removedAt)
            continue;
        team->removedAt = now;
        team->share.set({}, now, own.settings.shareIncreaseDelay);
    }
    own.runDueWork(now, actions);
}

void quota::setMembers(std::span<const quota_member> members, time_point now, std::vector<quota_action>& actions)
{
    state& own = *m_state;
    std::vector<quota_member> sorted(members.begin(), members.end());
    const quota_settings& settings = own.settings;
    std::erase_if(sorted, [&](const quota_member& member) { return member.node == settings.self; });
    sorted.push_back({ settings.self, settings.region, settings.availabilityZone, settings.run });
    std::ranges::sort(sorted);
    if (sorted == own.members)
        return;
    own.members = std::move(sorted);
    own.rankMembers();
    own.runDueWork(now, actions);
}

/// Whether a request that starts to wait now would probably not get a token by its deadline, judged by the last denial
/// and by the rate at which tokens were spent.
bool quota::state::isQueueTooLong(const team_state& team, time_point deadline, time_point now) const
{
    if (now < team.blockedUntil && deadline <= team.blockedUntil)
        return true;
    if (team.waiters.size() < minQueueLimit || now > team.lastDenied + std::chrono::seconds(1))
        return false;
    const double seconds = std::chrono::duration<double>(deadline - now).count();
    return static_cast<double>(team.waiters.size()) > minQueueLimit + (team.spendRate * seconds);
}

quota_decision quota::state::acquire(team_state& team, std::uint64_t handle, time_point deadline, time_point now)
{
    ++team.demand;
    deadline = std::min(deadline, now + settings.maxWait);
    if (team.urgentTokens() == 0 && spendToken(team, now)) {
        if (team.dueAt > now)
            prefetch(team, now);
        schedule(team, now);
        return { .outcome = quota_outcome::granted };
    }
    if (deadline <= now || isQueueTooLong(team, deadline, now)) {
        ++stats.refused;
        return { .outcome = quota_outcome::refused, .retryAfter = std::max(minRetryAfter, retryAfter(team, now)) };
    }
    team.waiters.push_back({ handle, deadline });
    waitingHandles[handle] = &team;
    requestUpstream(team, now);
    schedule(team, now);
    return { .outcome = quota_outcome::waiting };
}

quota_decision quota::acquire(std::string_view team, std::uint64_t handle, time_point deadline, time_point now,
    std::vector<quota_action>& actions)
{
    state& own = *m_state;
    const auto found = own.teams.find(team);
    if (found == own.teams.end() || found->second->removedAt) {
        ++own.stats.refused;
        return { .outcome = quota_outcome::refused, .retryAfter = std::chrono::seconds(1) };
    }
    const quota_decision decision = own.acquire(*found->second, handle, deadline, now);
    own.flush(actions);
    return decision;
}

void quota::cancel(std::uint64_t handle, time_point /*now*/) { m_state->waitingHandles.erase(handle); }

void quota::state::receive(
    node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions)
{
    expireAuthority(now);
    incarnation& known = runs[from];
    if (message.fromRun < known || (message.toRun != 0 && message.toRun != settings.run)) {
        ++stats.ignored;
        return;
    }
    known = message.fromRun;
    suspectedUntil.erase(from);
    expireRecords(now);
    for (const quota_holder_hint& hint : message.holderHints)
        learnHint(hint);
    for (const quota_promise& request : message.promiseRequests) {
        if (request.shard >= shards.size())
            continue;
        if (const auto promise = shards[request.shard].handlePromiseRequest(from, request, now)) {
            outboxOf(from).promises.push_back(*promise);
            learnHint({ settings.region, request.shard, from, request.epoch });
        }
    }
    for (const quota_promise& promise : message.promises) {
        if (promise.shard < shards.size())
            shards[promise.shard].handlePromise(from, promise);
    }
    std::set<std::uint64_t> touched;
    for (const quota_report& report : message.reports) {
        receiveReport(from, message.fromRun, report, now);
        const auto record = requestRecords.find({ from, message.fromRun, report.requestId });
        if (record != requestRecords.end() && record->second.team != nullptr)
            touched.insert(record->second.team->id);
    }
    for (const quota_request& request : message.requests) {
        receiveRequest(from, message.fromRun, request, now);
        if (const auto team = byHash.find(request.ruleHash); team != byHash.end())
            touched.insert(team->second->id);
    }
    for (const quota_grant& grant : message.grants) {
        const auto sent = sentRequests.find(grant.requestId);
        const team_state* team = sent == sentRequests.end() ? nullptr : sent->second.first;
        receiveGrant(from, grant, now);
        if (team != nullptr)
            touched.insert(team->id);
    }
    for (const std::uint64_t id : touched)
        serve(*byId.at(id), now, actions);
}

void quota::receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions)
{
    m_state->receive(from, message, now, actions);
    m_state->flush(actions);
}

void quota::storeResult(const store_result& result, time_point now, std::vector<quota_action>& actions)
{
    m_state->expireAuthority(now);
    m_state->handleStoreResult(result, now);
    m_state->runDueWork(now, actions);
}

void quota::observeStoreEra(store_era era, time_point now, std::vector<quota_action>& actions)
{
    if (m_state->observeStoreEra(era, now) == era_change::risen)
        m_state->runDueWork(now, actions);
}

/// Does all work that is due.
void quota::state::runDueWork(time_point now, std::vector<quota_action>& actions)
{
    expireAuthority(now);
    if (settings.policy == quota_policy::grants) {
        timeOutCalls(now);
        tickAuthority(now, actions);
    }
    expireRecords(now);
    while (!dueTeams.empty() && dueTeams.begin()->first <= now) {
        team_state& team = *byId.at(dueTeams.begin()->second);
        dueTeams.erase(dueTeams.begin());
        team.dueAt = time_point::max();
        serve(team, now, actions);
    }
    if (nextRound <= now) {
        startRound(now);
        purgeRemovedTeams(now);
    }
    flush(actions);
}

void quota::tick(time_point now, std::vector<quota_action>& actions) { m_state->runDueWork(now, actions); }

void quota::state::purgeRemovedTeams(time_point now)
{
    std::erase_if(teams, [&](auto& item) {
        team_state& team = *item.second;
        if (!team.removedAt || now < *team.removedAt + removedTeamRetention || !team.waiters.empty())
            return false;
        dueTeams.erase({ team.dueAt, team.id });
        byId.erase(team.id);
        return true;
    });
}

void quota::state::flush(std::vector<quota_action>& actions)
{
    for (auto& [node, message] : outbox) {
        message.fromRun = settings.run;
        actions.emplace_back(quota_send { .to = node, .message = std::move(message) });
    }
    outbox.clear();
}

time_point quota::state::nextTimer() const
{
    time_point at = nextRound;
    if (!dueTeams.empty())
        at = std::min(at, dueTeams.begin()->first);
    if (!recordExpiries.empty())
        at = std::min(at, recordExpiries.begin()->first);
    if (settings.policy == quota_policy::staticShares)
        return at;
    bool leaseNeeded = false;
    for (const shard_authority& shard : shards) {
        at = std::min(at, shard.nextTimer());
        leaseNeeded |= shard.mayNeedLease();
    }
    if (leaseNeeded && !leaseCallPending)
        at = std::min(at, nextLeaseCall);
    for (const auto& [token, call] : calls)
        at = std::min(at, call.sentAt + std::chrono::seconds(3)); // callTimeout in store_calls.cpp
    return at;
}

time_point quota::nextTimer() const { return m_state->nextTimer(); }

quota_stats quota::stats(time_point now) const
{
    m_state->expireAuthority(now);
    quota_stats stats = m_state->stats;
    for (shard_authority& shard : m_state->shards)
        stats.shardsHeld += shard.holds(now, m_state->lease) ? 1 : 0;
    return stats;
}

} // namespace limpet
