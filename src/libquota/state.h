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
    node_id from;
    time_point expiry;
    time_point closing; ///< when unused tokens go back
    unsigned count = 0;
    unsigned spent = 0; ///< spent here, or reported as spent by those they were issued to
    unsigned lent = 0; ///< issued further and not settled
    unsigned returned = 0;
    bool returning = false; ///< closing has passed
    bool dirty = false; ///< used or returned has grown since the last report
    unsigned free() const { return count - spent - lent - returned; }
    /// Gives back what is free once its time has come. What comes free later goes along with the next report.
    bool giveBack(time_point due)
    {
        if (closing > due && !returning)
            return false;
        returning = true;
        const unsigned rest = free();
        returned += rest;
        dirty |= rest > 0;
        return rest > 0;
    }
};

/// An ask of this node that has not been answered.
struct open_ask {
    node_id to;
    time_point timeout;
    duration maxWait { 0 };
    unsigned tokens = 0;
    unsigned urgentTokens = 0;
    std::string lender; ///< region, for an ask of that level
};

struct ask_key {
    node_id from;
    incarnation run = 0;
    std::uint32_t id = 0;
    auto operator<=>(const ask_key&) const = default;
};

struct team_state;

/// An ask of another node, kept for as long as its grant may live, so that a repeated or late frame finds it.
struct ask_record {
    team_state* team = nullptr;
    std::uint32_t batch = 0; ///< ask of the batch that the tokens are from; 0: the bucket
    std::uint64_t epoch = 0; ///< of the bucket
    unsigned count = 0; ///< tokens issued and not settled
    unsigned spent = 0;
    unsigned returned = 0;
    bool closed = false;
    time_point received;
};

/// An urgent ask of another node that waits for tokens.
struct queued_ask {
    ask_key key;
    quota_request ask;
    time_point until;
};

struct waiting_request {
    std::uint64_t token = 0;
    time_point deadline;
};

/// Everything this node knows about one team.
struct team_state {
    team_rule rule;
    std::uint64_t id = 0; ///< hash of the name
    time_point due = time_point::max();
    std::uint64_t hash = 0; ///< of the rule and the regions
    std::uint16_t shard = 0;
    share_in_force share;
    std::optional<time_point> removedAt;

    std::optional<grant_bucket> bucket; ///< while this node holds the shard
    std::uint64_t bucketEpoch = 0;
    std::map<std::uint32_t, token_batch> batches;
    std::deque<waiting_request> waiters;
    std::deque<queued_ask> queue;
    std::map<std::uint32_t, open_ask> asks;

    double demandRate = 0; ///< requests per second, smoothed over rounds
    double grantRate = 0;
    unsigned demand = 0; ///< of the present round
    unsigned granted = 0;
    bool scarce = false;
    time_point nextAsk;
    time_point nextPrefetch;
    time_point blockedUntil; ///< asking again before has no chance
    time_point lastDenied;
    std::optional<time_point> reportAt;
    std::map<std::string, time_point> denied; ///< lending region to the time before which it has nothing
    std::string lender; ///< region that lent last

    unsigned stock(time_point now) const; ///< tokens that can be spent or issued further
    time_point lastDeadline() const; ///< of those who wait
    unsigned urgentTokens() const; ///< tokens for which someone waits
};

/// Longest time that an ask may wait at its receiver.
constexpr duration longestPatience = std::chrono::seconds(1);

struct held_call {
    std::optional<std::uint16_t> shard; ///< nothing: a call on the lease
    bool keepAlive = false;
    time_point sent;
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
    std::unordered_map<std::uint64_t, team_state*> waitingTokens;

    std::vector<quota_member> members;
    std::unordered_map<node_id, std::string> regionOf;
    /// Best nodes of each region and shard, best first; all nodes of the own region.
    std::map<std::pair<std::string, std::uint16_t>, std::vector<ranked_node>> ranking;
    std::map<std::pair<std::string, std::uint16_t>, quota_holder_hint> hints;
    std::vector<std::vector<node_id>> aggregators; ///< of the own region by shard, in the order of this node's choice
    std::unordered_map<node_id, time_point> suspects; ///< did not answer; until when it is avoided
    std::map<std::pair<node_id, std::uint16_t>, time_point> notHolder;
    std::unordered_map<node_id, incarnation> runs;

    std::vector<shard_authority> shards; ///< of the own region
    node_lease lease;
    time_point nextLeaseCall;
    bool leaseCallOpen = false;
    std::map<std::uint64_t, held_call> calls;
    std::uint64_t nextCall = 1;

    std::unordered_map<std::uint32_t, std::pair<team_state*, time_point>> asked; ///< open asks and their sending time
    std::map<ask_key, ask_record> records;
    std::multimap<time_point, ask_key> expiries;
    std::uint32_t nextAskId = 1;
    time_point nextRound;
    time_point roundStart;
    std::map<node_id, quota_message> outbox;
    std::set<std::pair<time_point, std::uint64_t>> due; ///< teams by time of their next duty

    state(quota_settings given, std::uint64_t seed)
        : settings(std::move(given))
        , random(seed)
    {
    }

    // authority and store
    void checkAuthority(time_point now);
    void runAuthority(time_point now, std::vector<quota_action>& actions);
    void runLease(time_point now, bool needed, std::vector<quota_action>& actions);
    void callStore(std::optional<std::uint16_t> shard, store_operation operation, time_point now,
        std::vector<quota_action>& actions);
    void timeOutCalls(time_point now);
    void storeReplied(const store_result& result, time_point now);
    grant_bucket* bucketOf(team_state& team, time_point now);

    // routing
    struct target {
        node_id node;
        quota_level level = quota_level::node;
        std::string lender;
    };
    bool usable(node_id node, time_point now) const;
    std::optional<node_id> holderOf(const std::string& region, std::uint16_t shard, time_point now) const;
    std::size_t lenders(const team_state& team) const;
    std::vector<target> lendersFor(team_state& team, time_point now) const;
    std::vector<target> upstreamOf(team_state& team, time_point now);
    void askEach(team_state& team, std::vector<target> targets, unsigned tokens, unsigned urgentTokens, time_point now);
    double demandPerSecond(const team_state& team, time_point now) const;
    void rankMembers();
    void rankShard(std::uint16_t shard);
    void chooseAggregators(std::uint16_t shard);
    void learnHint(const quota_holder_hint& hint);

    // issuing
    void receiveAsk(node_id from, incarnation run, const quota_request& ask, time_point now);
    void receiveReport(node_id from, incarnation run, const quota_report& report, time_point now);
    unsigned issue(team_state& team, const ask_key& key, const quota_request& ask, time_point now);
    unsigned issueFromBatch(
        team_state& team, ask_record& record, const quota_request& ask, time_point now, duration& lifetime);
    unsigned issueFromBucket(
        team_state& team, ask_record& record, const quota_request& ask, time_point now, duration& lifetime);
    void deny(const ask_key& key, duration retryAfter);
    bool hopeless(team_state& team, const quota_request& ask, time_point now);
    void serveQueue(team_state& team, time_point now);
    void settleRecord(ask_record& record, unsigned spent, unsigned returned, time_point now);
    void expireRecords(time_point now);

    // asking and spending
    bool take(team_state& team, time_point now);
    void serveWaiters(team_state& team, time_point now, std::vector<quota_action>& actions);
    void serve(team_state& team, time_point now, std::vector<quota_action>& actions);
    void askUpstream(team_state& team, time_point now);
    void sendAsk(team_state& team, const target& to, unsigned tokens, unsigned urgentTokens, time_point now);
    void prefetch(team_state& team, time_point now);
    bool refill(team_state& team, double part, time_point now);
    void joinFrame(const team_state& first, time_point now);
    void receiveGrant(node_id from, const quota_grant& grant, time_point now);
    void timeOutAsks(team_state& team, time_point now);
    void denied(team_state& team, const open_ask& ask, duration retryAfter, time_point now);
    void closeBatches(team_state& team, time_point closing, time_point now);
    void reportBatches(team_state& team, time_point now);
    void round(time_point now);
    duration cover(const team_state& team) const;
    duration idleLife(const team_state& team) const;
    duration reportDelay(const team_state& team) const;
    double wantedStock(team_state& team, time_point now);
    duration returnMargin(team_state& team, time_point now);
    duration retryAfter(team_state& team, time_point now);
    quota_message& outboxOf(node_id node) { return outbox[node]; }

    void schedule(team_state& team, time_point now);
    quota_decision acquire(team_state& team, std::uint64_t token, time_point deadline, time_point now);
    bool crowded(const team_state& team, time_point deadline, time_point now) const;
    void configureTeam(const team_rule& rule, time_point now);
    void receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions);
    void run(time_point now, std::vector<quota_action>& actions);
    void flush(std::vector<quota_action>& actions);
    void forgetTeams(time_point now);
    time_point next() const;
};

} // namespace limpet
