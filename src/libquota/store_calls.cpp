// Authority of this node for shards of its region, and its calls to the store.

#include "state.h"

#include <algorithm>

namespace limpet {

namespace {
    // After this time the outcome of a call counts as unknown, and a later result is ignored.
    constexpr duration callTimeout = std::chrono::seconds(3);
    constexpr duration leaseRetryDelay = std::chrono::milliseconds(500);
}

void quota::state::expireAuthority(time_point now)
{
    for (shard_authority& shard : shards)
        shard.holds(now, lease);
}

/// Returns the bucket of a team, or nullptr if this node may not issue the team's tokens now.
grant_bucket* quota::state::bucketOf(team_state& team, time_point now)
{
    if (settings.policy == quota_policy::staticShares) {
        const double nodes = std::max<double>(1, static_cast<double>(members.size()));
        const quota_share share { team.rule.ratePerSecond / nodes, team.rule.burst / nodes };
        if (!team.bucket)
            team.bucket.emplace(now, share);
        else if (team.bucket->share() != share)
            team.bucket->setShare(share, now);
        return &*team.bucket;
    }
    shard_authority& shard = shards[team.shard];
    if (!shard.holds(now, lease)) {
        team.bucket.reset();
        return nullptr;
    }
    const quota_share& share = team.share.at(now);
    if (!team.bucket || team.bucketEpoch != shard.epoch()) {
        team.bucket.emplace(shard.issueStart(), share);
        team.bucketEpoch = shard.epoch();
    } else if (team.bucket->share() != share) {
        team.bucket->setShare(share, now);
    }
    return &*team.bucket;
}

void quota::state::callStore(
    std::optional<std::uint16_t> shard, store_operation operation, time_point now, std::vector<quota_action>& actions)
{
    const std::uint64_t token = nextCall++;
    calls[token]
        = { .shard = shard, .keepAlive = std::holds_alternative<store_lease_keep_alive>(operation), .sentAt = now };
    ++stats.storeCalls;
    actions.emplace_back(store_call { .token = token, .operation = std::move(operation) });
}

void quota::state::tickAuthority(time_point now, std::vector<quota_action>& actions)
{
    bool leaseNeeded = false;
    for (std::size_t index = 0; index < shards.size(); ++index) {
        shard_authority& shard = shards[index];
        shard_authority::output out;
        if (shard.nextTimer() <= now)
            shard.tick(now, lease, out);
        for (const auto& [node, request] : out.promiseRequests)
            outboxOf(node).promiseRequests.push_back(request);
        if (out.call)
            callStore(static_cast<std::uint16_t>(index), std::move(*out.call), now, actions);
        leaseNeeded |= out.needsLease || shard.mayNeedLease();
    }
    renewLease(now, leaseNeeded, actions);
}

void quota::state::renewLease(time_point now, bool needed, std::vector<quota_action>& actions)
{
    if (!needed || leaseCallPending || now < nextLeaseCall)
        return;
    leaseCallPending = true;
    nextLeaseCall = now + (settings.leaseTime / 3);
    if (lease.id == 0)
        callStore(std::nullopt, store_lease_grant { settings.leaseTime }, now, actions);
    else
        callStore(std::nullopt, store_lease_keep_alive { lease.id }, now, actions);
}

/// When the store was restored from a copy, the number of the lease may be that of another node, and the records that
/// were read or written since the copy are gone.
era_change quota::state::observeStoreEra(store_era era, time_point now)
{
    const auto change = storeEra.observe(era);
    if (change == era_change::risen) {
        calls.clear();
        for (shard_authority& shard : shards)
            shard.storeRestored(now, lease);
        lease = {};
        leaseCallPending = false;
        nextLeaseCall = now;
    }
    for (shard_authority& shard : shards)
        shard.setStoreEra(storeEra.current());
    return change;
}

void quota::state::handleStoreResult(const store_result& result, time_point now)
{
    if (observeStoreEra(result.era, now) == era_change::outdated) {
        ++stats.ignored;
        return;
    }
    const auto found = calls.find(result.token);
    if (found == calls.end()) {
        ++stats.ignored;
        return;
    }
    const pending_call call = found->second;
    calls.erase(found);
    if (call.shard) {
        shards[*call.shard].storeResult(result.reply, now, lease);
        return;
    }
    leaseCallPending = false;
    const auto* reply = result.reply ? std::get_if<store_lease_reply>(&*result.reply) : nullptr;
    if (reply != nullptr && reply->timeToLive.count() > 0) {
        lease.id = reply->lease;
        lease.end = call.sentAt + std::min(reply->timeToLive, settings.leaseTime);
        lease.lastContact = call.sentAt;
        return;
    }
    // The lease has expired or was not granted.
    const bool unknownLease = !result.reply && result.reply.error().kind == error_kind::notFound;
    if (call.keepAlive && (reply != nullptr || unknownLease))
        lease = {};
    nextLeaseCall = now + leaseRetryDelay;
}

void quota::state::timeOutCalls(time_point now)
{
    while (!calls.empty() && calls.begin()->second.sentAt + callTimeout <= now)
        handleStoreResult({ .token = calls.begin()->first,
                              .reply = fail(error_kind::unknownOutcome, "the store did not answer in time") },
            now);
}

} // namespace limpet
