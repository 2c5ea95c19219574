#pragma once

/// \file quota.h
/// Fleet-wide rate and burst of teams (I6): the part of one node, which may also be aggregator, candidate and holder.

#include <limpetcroft/core.h>

namespace limpet {

/// How requests are admitted.
enum class quota_policy : std::uint8_t {
    grants, ///< holders issue grants to the nodes that have demand
    staticShares, ///< baseline: every node gets the same share of rate and burst
};

struct quota_settings {
    node_id self;
    incarnation run = 0; ///< of this node; larger after a restart
    std::string region;
    std::string availabilityZone;
    quota_policy policy = quota_policy::grants;
    unsigned shards = 1; ///< of teams, per region; the same on every node
    duration grantLifetime = std::chrono::seconds(2); ///< of a grant, counted from the sending of the ask
    duration maxWait = std::chrono::seconds(2); ///< of a request for a token, even if its deadline is later
    std::chrono::seconds leaseTime { 3 }; ///< of a holder node in the store; also the length of a promise
    duration shareIncreaseDelay
        = std::chrono::seconds(8); ///< before a raised share takes effect; over the spread of a change
    duration maxIsolation = std::chrono::minutes(15); ///< longest authority by promises alone
};

/// A live node as the membership sees it.
struct quota_member {
    node_id node;
    std::string region;
    std::string availabilityZone;
    incarnation run = 0;
    auto operator<=>(const quota_member&) const = default;
};

/// Who is meant to serve an ask. Every step goes up, so asks never run in a circle.
enum class quota_level : std::uint8_t {
    node, ///< to an aggregator of the region
    aggregator, ///< to the holder of the region
    region, ///< to the holder of another region, which serves it from its own bucket only
};

/// Asks the receiver for tokens of one team. Asks are numbered by the sender and never repeated with a new content.
struct quota_request {
    std::uint32_t id = 0;
    std::uint64_t ruleHash
        = 0; ///< hash of the team, its rate and burst, and the list of regions, as the asker knows them
    std::uint16_t tokens = 0; ///< tokens
    std::uint16_t urgentTokens = 0; ///< of them for requests that already wait
    duration maxWait { 0 }; ///< the receiver may delay its answer that long
    quota_level level = quota_level::node;
};
/// What became of the grant for an ask. The counts only grow.
struct quota_report {
    std::uint32_t requestId = 0;
    std::uint16_t spent = 0; ///< tokens spent so far
    std::uint16_t returned = 0; ///< tokens forgotten by the sender so far, which will never be spent
    bool closed = false; ///< all the rest has been forgotten
};
/// Answers one ask.
struct quota_grant {
    std::uint32_t requestId = 0;
    std::uint16_t tokens = 0;
    duration lifetime {
        0
    }; ///< counted from the sending of the ask; with count 0: the ask waits at the issuer that long
    duration retryAfter { 0 }; ///< with count 0: when a token can be expected; zero: ask elsewhere
    bool scarce = false; ///< few tokens are left; report use at once
};
/// Holder to candidate and back.
struct quota_promise {
    std::uint16_t shard = 0;
    std::uint64_t epoch = 0; ///< of the holder's record
    std::uint64_t nonce = 0; ///< echoed; names the sending time at the holder
    duration length { 0 }; ///< promised time, counted from the sending of the request
};
/// Names the holder of a shard to the nodes that ask.
struct quota_holder_hint {
    std::string region;
    std::uint16_t shard = 0;
    node_id holder;
    std::uint64_t epoch = 0; ///< larger is newer
};

/// One frame of the family LQUO. A frame carries everything that is due to the same receiver.
struct quota_message {
    incarnation fromRun = 0;
    incarnation toRun = 0; ///< 0: any; otherwise another run of the receiver ignores the frame
    std::vector<quota_request> requests;
    std::vector<quota_report> reports;
    std::vector<quota_grant> grants;
    std::vector<quota_promise> promiseRequests;
    std::vector<quota_promise> promises;
    std::vector<quota_holder_hint> holderHints;
};

/// Returns one verified frame of the family LQUO.
std::string encode(const quota_message& message);
/// Refuses what is not a verified frame (malformed) or is over a bound (tooLarge). Unknown fields are ignored.
result<quota_message> parseQuotaMessage(std::string_view bytes);

struct quota_send {
    node_id to;
    quota_message message;
};
/// Ends the wait of a request.
struct quota_completion {
    std::uint64_t handle = 0;
    bool granted = false;
    duration retryAfter { 0 }; ///< when refused
};
using quota_action = std::variant<quota_send, quota_completion, store_call>;

enum class quota_outcome : std::uint8_t { granted, waiting, refused };
struct quota_decision {
    quota_outcome outcome = quota_outcome::refused;
    duration retryAfter { 0 }; ///< when refused: earliest time at which a repeat has a chance
};

/// Figures for metrics and tests.
struct quota_stats {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0; ///< granted or refused after a wait
    std::uint64_t expired = 0; ///< tokens that lapsed unspent here
    std::uint64_t ignored = 0; ///< messages or parts of them
    std::uint64_t storeCalls = 0;
    unsigned shardsHeld = 0; ///< with authority now
};

/// Admission of one node. Every function takes the present time, which must not be older than the moment of the call:
/// a paused process has to read the clock again before it acts on a granted token.
class quota {
public:
    quota(quota_settings settings, std::uint64_t seed);
    ~quota();
    quota(quota&&) noexcept;
    quota& operator=(quota&&) noexcept;

    /// Sets the rules. All regions of the deployment, including those that are cut off, are named in the same order on
    /// every node. Lower revisions than the present one are ignored.
    void configure(revision number, std::span<const team_rule> teams, std::span<const std::string> regions,
        time_point now, std::vector<quota_action>& actions);
    /// Replaces the list of live nodes of the fleet. The node itself may be left out.
    void setMembers(std::span<const quota_member> members, time_point now, std::vector<quota_action>& actions);
    /// Takes a token for a request of a team. On "waiting" a quota_resolved with the token follows by the deadline.
    quota_decision acquire(std::string_view team, std::uint64_t handle, time_point deadline, time_point now,
        std::vector<quota_action>& actions);
    /// Ends the wait of a request that no longer needs its token. No quota_resolved follows.
    void cancel(std::uint64_t handle, time_point now);
    void receive(node_id from, const quota_message& message, time_point now, std::vector<quota_action>& actions);
    void storeResult(const store_result& result, time_point now, std::vector<quota_action>& actions);
    /// To be called at nextTimer, or later.
    void tick(time_point now, std::vector<quota_action>& actions);
    /// When tick has something to do; time_point::max() if nothing is due.
    time_point nextTimer() const;
    quota_stats stats(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
