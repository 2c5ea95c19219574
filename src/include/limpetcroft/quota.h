#pragma once

/// \file quota.h
/// Fleet-wide rate limits of teams: token buckets with a rate and a burst that all nodes share. libcheck checks them as
/// invariant I6. Teams are divided into shards by the hash of their name. For each region and shard, one node, the
/// holder, keeps the buckets and grants tokens to other nodes on request. A node may also be an aggregator, which
/// passes tokens on from the holder, and a candidate, which may take over from a holder.

#include <limpetcroft/core.h>

namespace limpet {

/// Where the tokens that a node spends come from.
enum class quota_policy : std::uint8_t {
    grants, ///< holders grant tokens to the nodes that request them
    staticShares, ///< baseline: every node has an equal share of the rate and burst
};

struct quota_settings {
    node_id self;
    incarnation run = 0; ///< of this node; increases with every restart
    std::string region;
    std::string availabilityZone;
    quota_policy policy = quota_policy::grants;
    unsigned shards = 1; ///< in each region; must be equal on all nodes
    /// Time for which granted tokens are valid, from the time the token request was sent. The time for which the
    /// request waited in the queue of the issuer is added.
    duration grantLifetime = std::chrono::seconds(2);
    duration maxWait = std::chrono::seconds(2); ///< of a request for a token, even if its deadline is later
    std::chrono::seconds leaseTime { 3 }; ///< TTL of a holder's lease in the store, and longest quota_promise
    /// Delay before an increased share of a region takes effect. Must exceed the time that a change of the rules takes
    /// to reach all nodes.
    duration shareIncreaseDelay = std::chrono::seconds(8);
    /// Longest time for which a holder may issue tokens without contact with the store, by promises alone.
    duration maxIsolation = std::chrono::minutes(15);
};

/// A live node according to the membership.
struct quota_member {
    node_id node;
    std::string region;
    std::string availabilityZone;
    incarnation run = 0;
    auto operator<=>(const quota_member&) const = default;
};

/// Intended receiver of a token request. Receivers pass requests on only to higher levels, so there are no cycles.
enum class quota_level : std::uint8_t {
    toAggregator, ///< an aggregator of the region
    toHolder, ///< the holder of the region
    toOtherRegion, ///< the holder of another region, which serves it only from its own bucket
};

/// Requests tokens of one team. The sender chooses the id and does not use it for another request in the same run.
struct quota_request {
    std::uint32_t id = 0;
    /// Hash of the team, its rate and burst, and the list of regions, as known to the sender.
    std::uint64_t ruleHash = 0;
    std::uint16_t tokens = 0; ///< requested
    std::uint16_t urgentTokens = 0; ///< part of tokens for which a request is already waiting
    duration maxWait { 0 }; ///< longest time for which the receiver may delay its answer
    quota_level level = quota_level::toAggregator;
};
/// Reports how the tokens of a grant have been used. The counts are cumulative.
struct quota_report {
    std::uint32_t requestId = 0;
    std::uint16_t spent = 0; ///< tokens spent so far
    std::uint16_t returned = 0; ///< unspent tokens given up so far; the sender will not spend them
    bool closed = false; ///< all other tokens have been given up too
};
/// Answers one token request: grants tokens or, if tokens is 0, says that the request is queued (lifetime is not 0) or
/// denied (lifetime is 0).
struct quota_grant {
    std::uint32_t requestId = 0;
    std::uint16_t tokens = 0;
    /// Of the tokens, counted from the time the request was sent. If the request is queued: longest time for which it
    /// stays in the queue.
    duration lifetime { 0 };
    /// If the request is denied: time after which a token may be available. Zero: the sender of this answer is not the
    /// holder.
    duration retryAfter { 0 };
    bool scarce = false; ///< few tokens are left; report spent tokens without delay
};
/// Asks a candidate not to take over from the holder for some time, or is the candidate's promise in reply.
struct quota_promise {
    std::uint16_t shard = 0;
    std::uint64_t epoch = 0; ///< of the holder's record
    std::uint64_t nonce = 0; ///< echoed in the reply; identifies the sending time at the holder
    duration length { 0 }; ///< of the promise, counted from the time the request was sent
};
/// Tells a requesting node which node is the holder of a shard.
struct quota_holder_hint {
    std::string region;
    std::uint16_t shard = 0;
    node_id holder;
    std::uint64_t epoch = 0; ///< a hint with a larger epoch is newer
};

/// One frame of the family LQUO. It carries everything that is to be sent to the same receiver at one time.
struct quota_message {
    incarnation fromRun = 0;
    incarnation toRun = 0; ///< run of the receiver for which the frame is meant; other runs ignore it; 0: any run
    std::vector<quota_request> requests;
    std::vector<quota_report> reports;
    std::vector<quota_grant> grants;
    std::vector<quota_promise> promiseRequests;
    std::vector<quota_promise> promises;
    std::vector<quota_holder_hint> holderHints;
};

/// Returns one encoded frame of the family LQUO.
std::string encode(const quota_message& message);
/// Fails with malformed if the bytes are not a valid frame, and with tooLarge if the frame or a list exceeds its limit.
/// Unknown fields are ignored.
result<quota_message> parseQuotaMessage(std::string_view bytes);

struct quota_send {
    node_id to;
    quota_message message;
};
/// Result of an acquire that returned "waiting".
struct quota_completion {
    std::uint64_t handle = 0;
    bool granted = false;
    duration retryAfter { 0 }; ///< if refused
};
using quota_action = std::variant<quota_send, quota_completion, store_call>;

enum class quota_outcome : std::uint8_t { granted, waiting, refused };
struct quota_decision {
    quota_outcome outcome = quota_outcome::refused;
    duration retryAfter { 0 }; ///< if refused: shortest delay after which a retry may succeed
};

/// Counters for metrics and tests.
struct quota_stats {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0; ///< granted or refused after a wait
    std::uint64_t expired = 0; ///< tokens that expired unspent on this node
    std::uint64_t ignored = 0; ///< messages, parts of messages, and late store results
    std::uint64_t storeCalls = 0;
    unsigned shardsHeld = 0; ///< shards whose tokens this node may issue now
};

/// Rate limiter of one node. The time passed to a function must not be earlier than the call, or an expired token could
/// be spent. For the same reason a process that was paused has to read the clock again before it uses a granted token.
class quota {
public:
    quota(quota_settings settings, std::uint64_t seed);
    ~quota();
    quota(quota&&) noexcept;
    quota& operator=(quota&&) noexcept;

    /// Sets the rules of the teams. regions lists all regions of the deployment, including unreachable ones, in the
    /// same order on every node. A revision lower than the current one is ignored.
    void configure(revision number, std::span<const team_rule> teams, std::span<const std::string> regions,
        time_point now, std::vector<quota_action>& actions);
    /// Replaces the list of live nodes of the fleet. This node may be omitted.
    void setMembers(std::span<const quota_member> members, time_point now, std::vector<quota_action>& actions);
    /// Takes a token for a request of a team. If the outcome is "waiting", a quota_completion with the handle follows
    /// by the deadline.
    quota_decision acquire(std::string_view team, std::uint64_t handle, time_point deadline, time_point now,
        std::vector<quota_action>& actions);
    /// Stops the wait of a request. No quota_completion follows.
    void cancel(std::uint64_t handle, time_point now);
    void receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions);
    void storeResult(const store_result& result, time_point now, std::vector<quota_action>& actions);
    /// Takes the era of a reply to another library of this node. storeResult takes that of its own.
    void observeStoreEra(store_era era, time_point now, std::vector<quota_action>& actions);
    /// To be called at nextTimer or later.
    void tick(time_point now, std::vector<quota_action>& actions);
    /// Time at which tick has work to do; time_point::max() if there is none.
    time_point nextTimer() const;
    quota_stats stats(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
