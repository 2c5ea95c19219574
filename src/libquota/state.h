#pragma once

#include "authority.h"
#include "bucket.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace limpet {

/// Tokens received for one ask. They may be spent here or issued further, until they expire.
struct token_batch {
    node_id issuer;
    time_point expiry;
    time_point returnAt; ///< when unused tokens go back
    unsigned count = 0;
    unsigned spent = 0; ///< spent here, or reported as spent by those they were issued to
    unsigned delegated = 0; ///< issued further and not settled
    unsigned returned = 0;
    bool returning = false; ///< closing has passed
    bool dirty = false; ///< used or returned has grown since the last report
    unsigned free() const { return count - spent - delegated - returned; }
    /// Gives back what is free once its time has come. What comes free later goes along with the next report.
    bool returnFree(time_point due)
    {
        if (returnAt > due && !returning)
            return false;
        returning = true;
        const unsigned rest = free();
        returned += rest;
        dirty |= rest > 0;
        return rest > 0;
    }
};

/// An ask of this node that has not been answered.
struct pending_token_request {
    node_id to;
    time_point timeout;
    duration maxWait { 0 };
    unsigned tokens = 0;
    unsigned urgentTokens = 0;
    std::string lender; ///< region, for an ask of that level
};

struct token_request_key {
    node_id from;
    incarnation run = 0;
    std::uint32_t id = 0;
    auto operator<=>(const token_request_key&) const = default;
};

struct team_state;

/// An ask of another node, kept for as long as its grant may live, so that a repeated or late frame finds it.
struct token_request_record {
    team_state* team = nullptr;
    std::uint32_t batchId = 0; ///< ask of the batch that the tokens are from; 0: the bucket
    std::uint64_t bucketEpoch = 0; ///< of the bucket
    unsigned outstanding = 0; ///< tokens issued and not settled
    unsigned spent = 0;
    unsigned returned = 0;
    bool closed = false;
    time_point receivedAt;
};

/// An urgent ask of another node that waits for tokens.
struct queued_token_request {
    token_request_key key;
    quota_request request;
    time_point deadline;
};

struct waiting_request {
    std::uint64_t handle = 0;
    time_point deadline;
};

/// Everything this node knows about one team.
struct team_state {
    team_rule rule;
    std::uint64_t id = 0; ///< hash of the name
    time_point dueAt = time_point::max();
    std::uint64_t hash = 0; ///< of the rule and the regions
    std::uint16_t shard = 0;
    effective_share share;
    std::optional<time_point> removedAt;

    std::optional<grant_bucket> bucket; ///< while this node holds the shard
    std::uint64_t bucketEpoch = 0;
    std::map<std::uint32_t, token_batch> batches;
    std::deque<waiting_request> waiters;
    std::deque<queued_token_request> queue;
    std::map<std::uint32_t, pending_token_request> pendingRequests;

    double demandRate = 0; ///< requests per second, smoothed over rounds
    double grantRate = 0;
    unsigned demand = 0; ///< of the present round
    unsigned granted = 0;
    bool scarce = false;
    time_point nextRequestAt;
    time_point nextPrefetch;
    time_point blockedUntil; ///< asking again before has no chance
    time_point lastDenied;
    std::optional<time_point> reportAt;
    std::map<std::string, time_point> deniedUntil; ///< lending region to the time before which it has nothing
    std::string lender; ///< region that lent last

    unsigned heldTokens(time_point now) const; ///< tokens that can be spent or issued further
    time_point lastDeadline() const; ///< of those who wait
    unsigned urgentTokens() const; ///< tokens for which someone waits
};

/// Longest time that an ask may wait at its receiver.
constexpr duration maxRequestWait = std::chrono::seconds(1);

struct pending_call {
    std::optional<std::uint16_t> shard; ///< nothing: a call on the lease
    bool keepAlive = false;
    time_point sentAt;
};

struct quota::state {
    quota_settings settings;
    random_source random;
    quota_stats stats;

    revision number = 0;
    std::vector<std::string> regions;
    std::map<std::string, std::unique_ptr<team_state>, std::less<>> teams;
    std::unordered_map<std::uint64_t, team_state*> byId;
    std::unordered_map<std::uint64_t, team_state*> byHash;
    std::unordered_map<std::uint64_t, team_state*> waitingHandles;

    std::vector<quota_member> members;
    std::unordered_map<node_id, std::string> regionOf;
    /// Best nodes of each region and shard, best first; all nodes of the own region.
    std::map<std::pair<std::string, std::uint16_t>, std::vector<ranked_node>> ranking;
    std::map<std::pair<std::string, std::uint16_t>, quota_holder_hint> hints;
    std::vector<std::vector<node_id>> aggregators; ///< of the own region by shard, in the order of this node's choice
    std::unordered_map<node_id, time_point> suspectedUntil; ///< did not answer; until when it is avoided
    std::map<std::pair<node_id, std::uint16_t>, time_point> notHolderUntil;
    std::unordered_map<node_id, incarnation> runs;

    std::vector<shard_authority> shards; ///< of the own region
    node_lease lease;
    time_point nextLeaseCall;
    bool leaseCallPending = false;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t nextCall = 1;

    std::unordered_map<std::uint32_t, std::pair<team_state*, time_point>>
        sentRequests; ///< open asks and their sending time
    std::map<token_request_key, token_request_record> requestRecords;
    std::multimap<time_point, token_request_key> recordExpiries;
    std::uint32_t nextRequestId = 1;
    time_point nextRound;
    time_point roundStart;
    std::map<node_id, quota_message> outbox;
    std::set<std::pair<time_point, std::uint64_t>> dueTeams; ///< teams by time of their next duty

    state(quota_settings given, std::uint64_t seed)
        : settings(std::move(given))
        , random(seed)
    {
    }

    // authority and store
    void expireAuthority(time_point now);
    void tickAuthority(time_point now, std::vector<quota_action>& actions);
    void renewLease(time_point now, bool needed, std::vector<quota_action>& actions);
    void callStore(std::optional<std::uint16_t> shard, store_operation operation, time_point now,
        std::vector<quota_action>& actions);
    void timeOutCalls(time_point now);
    void handleStoreResult(const store_result& result, time_point now);
    grant_bucket* bucketOf(team_state& team, time_point now);

    // routing
    struct target {
        node_id node;
        quota_level level = quota_level::node;
        std::string lender;
    };
    bool usable(node_id node, time_point now) const;
    std::optional<node_id> holderOf(const std::string& region, std::uint16_t shard, time_point now) const;
    std::size_t lenderCount(const team_state& team) const;
    std::vector<target> lenderTargets(team_state& team, time_point now) const;
    std::vector<target> upstreamTargets(team_state& team, time_point now);
    void requestFromEach(
        team_state& team, std::vector<target> targets, unsigned tokens, unsigned urgentTokens, time_point now);
    double demandPerSecond(const team_state& team, time_point now) const;
    void rankMembers();
    void rankShard(std::uint16_t shard);
    void chooseAggregators(std::uint16_t shard);
    void learnHint(const quota_holder_hint& hint);

    // issuing
    void receiveRequest(node_id from, incarnation run, const quota_request& request, time_point now);
    void receiveReport(node_id from, incarnation run, const quota_report& report, time_point now);
    unsigned issue(team_state& team, const token_request_key& key, const quota_request& request, time_point now);
    unsigned issueFromBatch(team_state& team, token_request_record& record, const quota_request& request,
        time_point now, duration& lifetime);
    unsigned issueFromBucket(team_state& team, token_request_record& record, const quota_request& request,
        time_point now, duration& lifetime);
    void deny(const token_request_key& key, duration retryAfter);
    bool isUnservable(team_state& team, const quota_request& request, time_point now);
    void serveQueue(team_state& team, time_point now);
    void settleRecord(token_request_record& record, unsigned spent, unsigned returned, time_point now);
    void expireRecords(time_point now);

    // asking and spending
    bool spendToken(team_state& team, time_point now);
    void serveWaiters(team_state& team, time_point now, std::vector<quota_action>& actions);
    void serve(team_state& team, time_point now, std::vector<quota_action>& actions);
    void requestUpstream(team_state& team, time_point now);
    void sendRequest(team_state& team, const target& to, unsigned tokens, unsigned urgentTokens, time_point now);
    void prefetch(team_state& team, time_point now);
    bool replenish(team_state& team, double threshold, time_point now);
    void piggybackShard(const team_state& first, time_point now);
    void receiveGrant(node_id from, const quota_grant& grant, time_point now);
    void timeOutRequests(team_state& team, time_point now);
    void onDenied(team_state& team, const pending_token_request& request, duration retryDelay, time_point now);
    void returnUnused(team_state& team, time_point returnBefore, time_point now);
    void reportBatches(team_state& team, time_point now);
    void startRound(time_point now);
    duration prefetchHorizon(const team_state& team) const;
    duration maxIdleTime(const team_state& team) const;
    duration reportDelay(const team_state& team) const;
    double targetTokens(team_state& team, time_point now);
    duration returnMargin(team_state& team, time_point now);
    duration retryAfter(team_state& team, time_point now);
    quota_message& outboxOf(node_id node) { return outbox[node]; }

    void schedule(team_state& team, time_point now);
    quota_decision acquire(team_state& team, std::uint64_t handle, time_point deadline, time_point now);
    bool isQueueTooLong(const team_state& team, time_point deadline, time_point now) const;
    void configureTeam(const team_rule& rule, time_point now);
    void receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions);
    void run(time_point now, std::vector<quota_action>& actions);
    void flush(std::vector<quota_action>& actions);
    void purgeRemovedTeams(time_point now);
    time_point nextTimer() const;
};

} // namespace limpet
