#pragma once

#include "authority.h"
#include "bucket.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace limpet {

/// Tokens granted for one token request of this node. Until they expire they may be spent here or issued to other
/// nodes.
struct token_batch {
    node_id issuer;
    time_point expiry;
    time_point returnAt; ///< when unspent tokens are returned to the issuer
    unsigned count = 0;
    unsigned spent = 0; ///< spent here, or reported as spent by the nodes they were issued to
    unsigned delegated = 0; ///< issued to other nodes and not reported as spent or returned
    unsigned returned = 0;
    bool returning = false; ///< returnFree has started to give tokens back
    bool dirty = false; ///< spent or returned has increased since the last report
    unsigned free() const { return count - spent - delegated - returned; }
    /// Gives the free tokens back to the issuer if returnAt is at most returnUntil. Tokens that become free later are
    /// given back by the next call, regardless of returnUntil. Returns whether any were given back.
    bool returnFree(time_point returnUntil)
    {
        if (returnAt > returnUntil && !returning)
            return false;
        returning = true;
        const unsigned rest = free();
        returned += rest;
        dirty |= rest > 0;
        return rest > 0;
    }
};

/// A token request of this node that has been neither granted nor denied.
struct pending_token_request {
    node_id to;
    time_point timeout;
    duration maxWait { 0 };
    unsigned tokens = 0;
    unsigned urgentTokens = 0;
    std::string lender; ///< region of the receiver, if it is another one
};

struct token_request_key {
    node_id from;
    incarnation run = 0;
    std::uint32_t id = 0;
    auto operator<=>(const token_request_key&) const = default;
};

struct team_state;

/// A token request received from another node. It is kept until its grant must have expired, to detect duplicate and
/// late frames.
struct token_request_record {
    team_state* team = nullptr;
    std::uint32_t batchId = 0; ///< request id of the batch that the tokens come from; 0: the bucket
    std::uint64_t bucketEpoch = 0; ///< epoch of the bucket that the tokens come from
    unsigned outstanding = 0; ///< tokens issued and not reported as spent or returned
    unsigned spent = 0;
    unsigned returned = 0;
    bool closed = false;
    time_point receivedAt;
};

/// An urgent token request of another node that waits for tokens.
struct queued_token_request {
    token_request_key key;
    quota_request request;
    time_point deadline;
};

/// A request on this node that waits for a token.
struct waiting_request {
    std::uint64_t handle = 0;
    time_point deadline;
};

/// State of this node for one team.
struct team_state {
    team_rule rule;
    std::uint64_t id = 0; ///< hash of the name
    time_point dueAt = time_point::max(); ///< when the team is to be served next
    std::uint64_t hash = 0; ///< see ruleHash
    std::uint16_t shard = 0;
    effective_share share;
    std::optional<time_point> removedAt;

    std::optional<grant_bucket> bucket; ///< present while this node holds the shard, always with static shares
    std::uint64_t bucketEpoch = 0;
    std::map<std::uint32_t, token_batch> batches;
    std::deque<waiting_request> waiters;
    std::deque<queued_token_request> queue;
    std::map<std::uint32_t, pending_token_request> pendingRequests;

    double demandRate = 0; ///< requested tokens per second, smoothed over rounds
    double spendRate = 0; ///< tokens spent here per second, smoothed over rounds
    unsigned demand = 0; ///< requested tokens in the current round
    unsigned spent = 0; ///< tokens spent here in the current round
    bool scarce = false; ///< according to the last answer to a token request
    time_point nextRequestAt;
    time_point nextPrefetch;
    time_point blockedUntil; ///< waiting requests cause no token requests before this time, because one was denied
    time_point lastDenied;
    std::optional<time_point> reportAt;
    std::map<std::string, time_point> deniedUntil; ///< by lending region: when it may have tokens again
    std::string lender; ///< region that granted the last borrowed tokens

    unsigned heldTokens(time_point now) const; ///< tokens that can be spent or issued to other nodes
    time_point lastDeadline() const; ///< of all waiting and queued requests
    unsigned urgentTokens() const; ///< tokens for which a request is waiting or queued
};

/// Longest time for which a receiver keeps a token request in its queue.
constexpr duration maxRequestWait = std::chrono::seconds(1);

struct pending_call {
    std::optional<std::uint16_t> shard; ///< not set for a call on the lease
    bool keepAlive = false;
    time_point sentAt;
};

struct quota::state {
    quota_settings settings;
    random_source random;
    quota_stats stats;

    revision number = 0; ///< of the current rules
    std::vector<std::string> regions;
    std::map<std::string, std::unique_ptr<team_state>, std::less<>> teams;
    std::unordered_map<std::uint64_t, team_state*> byId;
    std::unordered_map<std::uint64_t, team_state*> byHash; ///< by ruleHash, without removed teams
    std::unordered_map<std::uint64_t, team_state*> waitingHandles; ///< of waiting requests that are not canceled

    std::vector<quota_member> members;
    std::unordered_map<node_id, std::string> regionOf;
    /// Nodes by region and shard in rendezvous order: all nodes of this node's region, the first few of other regions.
    std::map<std::pair<std::string, std::uint16_t>, std::vector<ranked_node>> ranking;
    std::map<std::pair<std::string, std::uint16_t>, quota_holder_hint> hints;
    /// Of this node's region, by shard, in order of preference. Empty if this node sends its requests directly to the
    /// holder.
    std::vector<std::vector<node_id>> aggregators;
    std::unordered_map<node_id, time_point> suspectedUntil; ///< nodes that did not answer are avoided until this time
    /// By node and shard: until when the node is not asked as the holder, because it answered that it is not.
    std::map<std::pair<node_id, std::uint16_t>, time_point> notHolderUntil;
    std::unordered_map<node_id, incarnation> runs; ///< latest known run of each node

    std::vector<shard_authority> shards; ///< of this node's region
    store_era_tracker storeEra { era_order::firstSeen };
    node_lease lease;
    time_point nextLeaseCall;
    bool leaseCallPending = false;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t nextCall = 1;

    /// Unanswered token requests of this node by id, with the time they were sent.
    std::unordered_map<std::uint32_t, std::pair<team_state*, time_point>> sentRequests;
    std::map<token_request_key, token_request_record> requestRecords;
    std::multimap<time_point, token_request_key> recordExpiries;
    std::uint32_t nextRequestId = 1;
    time_point nextRound; ///< a round is an interval of about half of grantLifetime in which demand is counted
    time_point roundStart;
    std::map<node_id, quota_message> outbox;
    std::set<std::pair<time_point, std::uint64_t>> dueTeams; ///< teams by the time at which they need to be served

    state(quota_settings given, std::uint64_t seed)
        : settings(std::move(given))
        , random(seed)
    {
    }

    // Authority and calls to the store.
    void expireAuthority(time_point now);
    void tickAuthority(time_point now, std::vector<quota_action>& actions);
    void renewLease(time_point now, bool needed, std::vector<quota_action>& actions);
    void callStore(std::optional<std::uint16_t> shard, store_operation operation, time_point now,
        std::vector<quota_action>& actions);
    void timeOutCalls(time_point now);
    void handleStoreResult(const store_result& result, time_point now);
    era_change observeStoreEra(store_era era, time_point now);
    grant_bucket* bucketOf(team_state& team, time_point now);

    // Choice of receivers for token requests.
    struct target {
        node_id node;
        quota_level level = quota_level::toAggregator;
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

    // Issuing tokens to other nodes.
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

    // Requesting and spending tokens.
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
    void returnUnused(team_state& team, time_point returnUntil, time_point now);
    void reportBatches(team_state& team, time_point now);
    void startRound(time_point now);
    duration prefetchHorizon(const team_state& team) const;
    duration maxIdleTime(const team_state& team) const;
    duration reportDelay(const team_state& team) const;
    double desiredTokens(team_state& team, time_point now);
    duration returnMargin(team_state& team, time_point now);
    duration retryAfter(team_state& team, time_point now);
    quota_message& outboxOf(node_id node) { return outbox[node]; }

    void schedule(team_state& team, time_point now);
    quota_decision acquire(team_state& team, std::uint64_t handle, time_point deadline, time_point now);
    bool isQueueTooLong(const team_state& team, time_point deadline, time_point now) const;
    void configureTeam(const team_rule& rule, time_point now);
    void receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions);
    void runDueWork(time_point now, std::vector<quota_action>& actions);
    void flush(std::vector<quota_action>& actions);
    void purgeRemovedTeams(time_point now);
    time_point nextTimer() const;
};

} // namespace limpet
