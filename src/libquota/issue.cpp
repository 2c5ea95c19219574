// Issues tokens to other nodes, from the bucket if this node is the holder, or from batches granted to this node.

#include "state.h"

#include <algorithm>
#include <cmath>

namespace limpet {

namespace {

    // A grant that expires sooner is of no use to the receiver.
    constexpr duration minGrantLifetime = std::chrono::milliseconds(30);
    // Part of the burst that is kept for requests that wait, and below which tokens are reported as scarce.
    constexpr double reservedBurstFraction = 0.25;
    constexpr duration minDenialRetryAfter = std::chrono::milliseconds(20);

    unsigned wholeTokens(double value) { return value < 1 ? 0 : static_cast<unsigned>(value); }

} // namespace

unsigned quota::state::issueFromBatch(
    team_state& team, token_request_record& record, const quota_request& request, time_point now, duration& lifetime)
{
    // With a short lifetime, tokens for which no request waits would be returned unused.
    const auto usable = [&](const token_batch& batch) {
        const duration left = batch.expiry - now;
        if (left < minGrantLifetime)
            return 0U;
        return std::min<unsigned>(
            batch.free(), left < settings.grantLifetime / 2 ? request.urgentTokens : request.tokens);
    };
    auto best = team.batches.end();
    unsigned count = 0;
    for (auto batch = team.batches.begin(); batch != team.batches.end(); ++batch) {
        if (usable(batch->second) <= count)
            continue;
        best = batch;
        count = usable(batch->second);
    }
    if (count == 0)
        return 0;
    best->second.delegated += count;
    record.batchId = best->first;
    // The grant expires with the batch, so what this node owes its own issuer does not depend on the receiver.
    lifetime = best->second.expiry - record.receivedAt;
    return count;
}

unsigned quota::state::issueFromBucket(
    team_state& team, token_request_record& record, const quota_request& request, time_point now, duration& lifetime)
{
    grant_bucket* bucket = bucketOf(team, now);
    if (bucket == nullptr)
        return 0;
    const double available = bucket->available(now);
    unsigned count = std::min<unsigned>(request.urgentTokens, wholeTokens(available));
    // Tokens for which no request waits are issued only beyond the part of the burst reserved for later requests.
    const double spare = (available - count - (bucket->share().burst * reservedBurstFraction)) / 2;
    if (count == request.urgentTokens)
        count += std::min<unsigned>(request.tokens - request.urgentTokens, wholeTokens(spare));
    bucket->issue(count);
    record.bucketEpoch = team.bucketEpoch;
    lifetime = settings.grantLifetime + (now - record.receivedAt);
    return count;
}

/// Issues the available tokens, up to the requested number, and answers the request unless there are none. Returns the
/// number issued.
unsigned quota::state::issue(
    team_state& team, const token_request_key& key, const quota_request& request, time_point now)
{
    token_request_record& record = requestRecords[key];
    duration lifetime { 0 };
    unsigned count = 0;
    if (request.level != quota_level::toOtherRegion)
        count = issueFromBatch(team, record, request, now, lifetime);
    if (count == 0)
        count = issueFromBucket(team, record, request, now, lifetime);
    if (count == 0)
        return 0;
    record.outstanding = count;
    team.demand += count;
    const bool scarce = record.batchId != 0
        ? team.scarce
        : team.bucket->available(now) < team.bucket->share().burst * reservedBurstFraction;
    quota_message& message = outboxOf(key.from);
    message.toRun = key.run;
    message.grants.push_back({ .requestId = request.id,
        .tokens = static_cast<std::uint16_t>(count),
        .lifetime = lifetime,
        .scarce = scarce });
    return count;
}

void quota::state::deny(const token_request_key& key, duration retryAfter)
{
    quota_message& message = outboxOf(key.from);
    message.toRun = key.run;
    message.grants.push_back({ .requestId = key.id, .retryAfter = retryAfter });
}

/// Whether a token request cannot be served within its maxWait even if all outstanding tokens are returned unspent.
bool quota::state::isUnservable(team_state& team, const quota_request& request, time_point now)
{
    grant_bucket* bucket = bucketOf(team, now);
    if (bucket == nullptr)
        return now + request.maxWait <= team.blockedUntil;
    if (request.level != quota_level::toOtherRegion && !lenderTargets(team, now).empty())
        return false;
    const double seconds = std::chrono::duration<double>(request.maxWait).count();
    return team.urgentTokens() + 1.0 > bucket->level(now) + (bucket->share().rate * seconds);
}

void quota::state::receiveRequest(node_id from, incarnation run, const quota_request& request, time_point now)
{
    const token_request_key key { from, run, request.id };
    if (requestRecords.contains(key)) {
        ++stats.ignored;
        return;
    }
    // Covers a grant that is issued at the end of maxWait, with a margin for clocks of two nodes that run at slightly
    // different speeds.
    const duration maxWait = std::min(request.maxWait, maxRequestWait);
    const duration maxLifetime = maxWait + settings.grantLifetime;
    const time_point expiry = now + maxLifetime + (maxLifetime / 64);
    token_request_record& record = requestRecords[key];
    record.receivedAt = now;
    recordExpiries.emplace(expiry, key);
    const auto found = byHash.find(request.ruleHash);
    const bool otherRegion = !regionOf.contains(from) || regionOf[from] != settings.region;
    if (found == byHash.end() || (otherRegion && request.level != quota_level::toOtherRegion)) {
        // The two nodes know different rules, as during a configuration change; the sender repeats the request later.
        deny(key, std::chrono::milliseconds(100));
        return;
    }
    team_state& team = *found->second;
    record.team = &team;
    if (request.level != quota_level::toAggregator && bucketOf(team, now) == nullptr) {
        deny(key, duration::zero());
        const shard_authority& shard = shards[team.shard];
        if (shard.holder() != node_id {} && shard.holder() != settings.self)
            outboxOf(from).holderHints.push_back(
                { .region = settings.region, .shard = team.shard, .holder = shard.holder(), .epoch = shard.epoch() });
        return;
    }
    // Requests are served in the order of arrival.
    const bool behind = !team.queue.empty();
    if (!behind && issue(team, key, request, now) > 0)
        return;
    if (request.urgentTokens > 0 && !isUnservable(team, request, now)) {
        team.queue.push_back({ key, request, now + maxWait });
        // Tells the sender that this node is alive and has queued the request, which need not be repeated.
        outboxOf(from).toRun = run;
        outboxOf(from).grants.push_back({ .requestId = request.id, .lifetime = maxWait });
        requestUpstream(team, now);
        return;
    }
    team.demand += request.urgentTokens;
    deny(key, std::max(minDenialRetryAfter, retryAfter(team, now)));
}

void quota::state::serveQueue(team_state& team, time_point now)
{
    // The deadlines differ, so any request in the queue may time out before the first one.
    std::erase_if(team.queue, [&](const queued_token_request& queued) {
        const auto record = requestRecords.find(queued.key);
        if (record == requestRecords.end() || record->second.closed)
            return true;
        if (now < queued.deadline)
            return false;
        deny(queued.key, std::max(minDenialRetryAfter, retryAfter(team, now)));
        return true;
    });
    while (!team.queue.empty()) {
        const queued_token_request& first = team.queue.front();
        if (issue(team, first.key, first.request, now) == 0)
            return;
        team.queue.pop_front();
    }
}

/// Applies reported counts to the bucket or batch that the tokens came from.
void quota::state::settleRecord(token_request_record& record, unsigned spent, unsigned returned, time_point now)
{
    if (record.team == nullptr)
        return;
    team_state& team = *record.team;
    const unsigned newlySpent = std::min(record.outstanding, spent > record.spent ? spent - record.spent : 0);
    const unsigned newlyReturned
        = std::min(record.outstanding - newlySpent, returned > record.returned ? returned - record.returned : 0);
    record.spent += newlySpent;
    record.returned += newlyReturned;
    record.outstanding -= newlySpent + newlyReturned;
    team.demand -= std::min(team.demand, newlyReturned);
    if (record.batchId != 0) {
        const auto batch = team.batches.find(record.batchId);
        if (batch == team.batches.end())
            return;
        batch->second.delegated -= newlySpent + newlyReturned;
        batch->second.spent += newlySpent;
        batch->second.dirty |= newlySpent > 0;
        // Tokens that have become free after their batch was returned are returned with the next report.
        const bool late = batch->second.returning && batch->second.free() > 0;
        if ((newlySpent > 0 || late) && !team.reportAt)
            team.reportAt = now + reportDelay(team);
        return;
    }
    if (bucketOf(team, now) == nullptr || team.bucketEpoch != record.bucketEpoch)
        return;
    team.bucket->confirmSpent(newlySpent, now);
    team.bucket->reclaim(newlyReturned);
}

void quota::state::receiveReport(node_id from, incarnation run, const quota_report& report, time_point now)
{
    const token_request_key key { from, run, report.requestId };
    const auto [found, created] = requestRecords.try_emplace(key);
    token_request_record& record = found->second;
    if (created) {
        // A report may arrive before its request. The request must not be served any more when it arrives.
        recordExpiries.emplace(now + (settings.grantLifetime * 2), key);
        record.closed = report.closed;
        return;
    }
    if (record.closed)
        return;
    record.closed = report.closed;
    const unsigned issued = record.spent + record.returned + record.outstanding;
    settleRecord(record, report.spent, report.closed ? issued : report.returned, now);
}

void quota::state::expireRecords(time_point now)
{
    while (!recordExpiries.empty() && recordExpiries.begin()->first <= now) {
        const token_request_key key = recordExpiries.begin()->second;
        recordExpiries.erase(recordExpiries.begin());
        const auto found = requestRecords.find(key);
        if (found == requestRecords.end())
            continue;
        // Tokens that were not reported may have been spent, but can no longer be spent.
        settleRecord(found->second, found->second.spent + found->second.outstanding, 0, now);
        requestRecords.erase(found);
    }
}

} // namespace limpet
