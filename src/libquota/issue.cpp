// Tokens for other nodes: out of the bucket of a holder, or out of the batches that this node was granted.

#include "state.h"

#include <algorithm>
#include <cmath>

namespace limpet {

namespace {

    // A grant that expires sooner is of no use to its receiver.
    constexpr duration shortestLife = std::chrono::milliseconds(30);
    constexpr double keptPart = 0.25;
    constexpr duration shortestRetry = std::chrono::milliseconds(20);

    unsigned wholeTokens(double value) { return value < 1 ? 0 : static_cast<unsigned>(value); }

} // namespace

unsigned quota::state::issueFromBatch(
    team_state& team, ask_record& record, const quota_request& ask, time_point now, duration& lifetime)
{
    // Tokens that nobody waits for would go back unused if their life was short.
    const auto usable = [&](const token_batch& batch) {
        const duration left = batch.expiry - now;
        if (left < shortestLife)
            return 0U;
        return std::min<unsigned>(batch.free(), left < settings.grantLifetime / 2 ? ask.urgentTokens : ask.tokens);
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
    best->second.lent += count;
    record.batch = best->first;
    // The life is inherited, so what this node owes its issuer does not depend on the receiver.
    lifetime = best->second.expiry - record.received;
    return count;
}

unsigned quota::state::issueFromBucket(
    team_state& team, ask_record& record, const quota_request& ask, time_point now, duration& lifetime)
{
    grant_bucket* bucket = bucketOf(team, now);
    if (bucket == nullptr)
        return 0;
    const double available = bucket->available(now);
    unsigned count = std::min<unsigned>(ask.urgentTokens, wholeTokens(available));
    // What nobody waits for is issued only while a part of the burst stays for those who will.
    const double spare = (available - count - (bucket->share().burst * keptPart)) / 2;
    if (count == ask.urgentTokens)
        count += std::min<unsigned>(ask.tokens - ask.urgentTokens, wholeTokens(spare));
    bucket->issue(count);
    record.epoch = team.bucketEpoch;
    lifetime = settings.grantLifetime + (now - record.received);
    return count;
}

/// Issues what can be issued and answers the ask. Returns the number of tokens.
unsigned quota::state::issue(team_state& team, const ask_key& key, const quota_request& ask, time_point now)
{
    ask_record& record = records[key];
    duration lifetime { 0 };
    unsigned count = 0;
    if (ask.level != quota_level::region)
        count = issueFromBatch(team, record, ask, now, lifetime);
    if (count == 0)
        count = issueFromBucket(team, record, ask, now, lifetime);
    if (count == 0)
        return 0;
    record.count = count;
    team.demand += count;
    const bool scarce
        = record.batch != 0 ? team.scarce : team.bucket->available(now) < team.bucket->share().burst * keptPart;
    quota_message& message = outboxOf(key.from);
    message.toRun = key.run;
    message.grants.push_back(
        { .requestId = ask.id, .tokens = static_cast<std::uint16_t>(count), .lifetime = lifetime, .scarce = scarce });
    return count;
}

void quota::state::deny(const ask_key& key, duration retryAfter)
{
    quota_message& message = outboxOf(key.from);
    message.toRun = key.run;
    message.grants.push_back({ .requestId = key.id, .retryAfter = retryAfter });
}

/// Whether an ask can not be served within its patience even if every outstanding token came back unspent.
bool quota::state::hopeless(team_state& team, const quota_request& ask, time_point now)
{
    grant_bucket* bucket = bucketOf(team, now);
    if (bucket == nullptr)
        return now + ask.maxWait <= team.blockedUntil;
    if (ask.level != quota_level::region && !lendersFor(team, now).empty())
        return false;
    const double seconds = std::chrono::duration<double>(ask.maxWait).count();
    return team.urgentTokens() + 1.0 > bucket->level(now) + (bucket->share().rate * seconds);
}

void quota::state::receiveAsk(node_id from, incarnation run, const quota_request& ask, time_point now)
{
    const ask_key key { from, run, ask.id };
    if (records.contains(key)) {
        ++stats.ignored;
        return;
    }
    // Covers a grant that is made when the patience ends. Clocks of two nodes may run at slightly different speeds.
    const duration maxWait = std::min(ask.maxWait, longestPatience);
    const duration longestLife = maxWait + settings.grantLifetime;
    const time_point expiry = now + longestLife + (longestLife / 64);
    ask_record& record = records[key];
    record.received = now;
    expiries.emplace(expiry, key);
    const auto found = byHash.find(ask.ruleHash);
    const bool otherRegion = !regionOf.contains(from) || regionOf[from] != settings.region;
    if (found == byHash.end() || (otherRegion && ask.level != quota_level::region)) {
        // The rule changes somewhere between the two nodes; the asker repeats when both know it.
        deny(key, std::chrono::milliseconds(100));
        return;
    }
    team_state& team = *found->second;
    record.team = &team;
    if (ask.level != quota_level::node && bucketOf(team, now) == nullptr) {
        deny(key, duration::zero());
        const shard_authority& shard = shards[team.shard];
        if (shard.holder() != node_id {} && shard.holder() != settings.self)
            outboxOf(from).holderHints.push_back(
                { .region = settings.region, .shard = team.shard, .holder = shard.holder(), .epoch = shard.epoch() });
        return;
    }
    // Asks that came first are served first.
    const bool behind = !team.queue.empty();
    if (!behind && issue(team, key, ask, now) > 0)
        return;
    if (ask.urgentTokens > 0 && !hopeless(team, ask, now)) {
        team.queue.push_back({ key, ask, now + maxWait });
        // Tells the asker that this node lives and that the ask need not be repeated.
        outboxOf(from).toRun = run;
        outboxOf(from).grants.push_back({ .requestId = ask.id, .lifetime = maxWait });
        askUpstream(team, now);
        return;
    }
    team.demand += ask.urgentTokens;
    deny(key, std::max(shortestRetry, retryAfter(team, now)));
}

void quota::state::serveQueue(team_state& team, time_point now)
{
    // The patience of asks differs, so one behind the first may have to leave before it.
    std::erase_if(team.queue, [&](const queued_ask& queued) {
        const auto record = records.find(queued.key);
        if (record == records.end() || record->second.closed)
            return true;
        if (now < queued.until)
            return false;
        deny(queued.key, std::max(shortestRetry, retryAfter(team, now)));
        return true;
    });
    while (!team.queue.empty()) {
        const queued_ask& first = team.queue.front();
        if (issue(team, first.key, first.ask, now) == 0)
            return;
        team.queue.pop_front();
    }
}

/// Hands the outcome of issued tokens to the bucket or batch that they are from.
void quota::state::settleRecord(ask_record& record, unsigned spent, unsigned returned, time_point now)
{
    if (record.team == nullptr)
        return;
    team_state& team = *record.team;
    const unsigned newlySpent = std::min(record.count, spent > record.spent ? spent - record.spent : 0);
    const unsigned newlyReturned
        = std::min(record.count - newlySpent, returned > record.returned ? returned - record.returned : 0);
    record.spent += newlySpent;
    record.returned += newlyReturned;
    record.count -= newlySpent + newlyReturned;
    team.demand -= std::min(team.demand, newlyReturned);
    if (record.batch != 0) {
        const auto batch = team.batches.find(record.batch);
        if (batch == team.batches.end())
            return;
        batch->second.lent -= newlySpent + newlyReturned;
        batch->second.spent += newlySpent;
        batch->second.dirty |= newlySpent > 0;
        const bool late = batch->second.returning && batch->second.free() > 0;
        if ((newlySpent > 0 || late) && !team.reportAt)
            team.reportAt = now + reportDelay(team);
        return;
    }
    if (bucketOf(team, now) == nullptr || team.bucketEpoch != record.epoch)
        return;
    team.bucket->settle(newlySpent, now);
    team.bucket->takeBack(newlyReturned);
}

void quota::state::receiveReport(node_id from, incarnation run, const quota_report& report, time_point now)
{
    const ask_key key { from, run, report.requestId };
    const auto [found, created] = records.try_emplace(key);
    ask_record& record = found->second;
    if (created) {
        // A report may overtake its ask, which must not be served any more then.
        expiries.emplace(now + (settings.grantLifetime * 2), key);
        record.closed = report.closed;
        return;
    }
    if (record.closed)
        return;
    record.closed = report.closed;
    const unsigned rest = record.spent + record.returned + record.count;
    settleRecord(record, report.spent, report.closed ? rest : report.returned, now);
}

void quota::state::expireRecords(time_point now)
{
    while (!expiries.empty() && expiries.begin()->first <= now) {
        const ask_key key = expiries.begin()->second;
        expiries.erase(expiries.begin());
        const auto found = records.find(key);
        if (found == records.end())
            continue;
        // What was not reported may have been spent; it can not be spent any more.
        settleRecord(found->second, found->second.spent + found->second.count, 0, now);
        records.erase(found);
    }
}

} // namespace limpet
