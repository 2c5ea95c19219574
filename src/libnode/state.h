#pragma once

/// \file state.h
/// Internal state of a node, shared by the sources of this library. entry.cpp manages the calls received by this node,
/// attempts.cpp their attempts at other nodes; serving.cpp executes attempts on the local backend server.

#include <cstring>
#include <deque>
#include <limpetcroft/node.h>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace limpet {

enum class call_phase : std::uint8_t {
    awaitingRateToken, ///< of the team's rate limit
    awaitingClaim, ///< of the Idempotency-Key, written to the store
    backoff, ///< before the next attempt
    inFlight,
    awaitingStatus, ///< the link closed; the serving node was sent an attempt_query
};

/// The latest attempt of a call, from the point of view of the node that sent it.
struct current_attempt {
    request_id id;
    node_id target;
    incarnation targetRun = 0;
    time_point sentAt {};
    std::uint8_t grantedExtraAttempts = 0; ///< share of the call's attempt budget passed with the attempt
    locality targetLocality = locality::sameZone;
};

/// A call that this node received from a caller or from the local backend server, and sends to serving nodes as
/// attempts.
struct outgoing_call {
    std::uint64_t handle = 0; ///< caller_request::call
    request_context context;
    time_point deadline {};
    std::string service;
    http_request content;
    std::string idempotencyKey;
    bool claimed = false;
    bool openToAll = false;
    std::optional<request_id> parent; ///< served attempt during which the backend server made this call
    std::uint8_t extraAttemptsFromParent = 0;
    attempt_budget budget;
    call_phase phase = call_phase::inFlight;
    std::uint8_t attemptsMade = 0;
    bool earlierAttemptMaybeExecuted = false;
    std::vector<node_id> excluded; ///< nodes at which an attempt of this call failed
    current_attempt attempt;
    refusal lastRefusal;
    time_point phaseTimerAt {};
};

/// An attempt that is queued for, or running on, the local backend server.
struct served_attempt {
    request_id id;
    node_id from; ///< this node itself if it received the call
    request_context context;
    time_point deadline {};
    std::string service;
    http_request content;
    std::string token; ///< value of Limpet-Context
    attempt_budget budget; ///< for child calls
    std::uint8_t grantedExtraAttempts = 0; ///< initial size of the budget
    bool running = false;
    bool answered = false; ///< or cancelled by the sender; the backend server may still execute it
    std::optional<refusal> childRefusal; ///< latest refusal of a child call
    time_point startedAt {};
    std::unordered_set<std::uint64_t> children; ///< handles of child calls in flight
    std::set<std::string> childServices;
};

enum class timer_kind : std::uint8_t { callDeadline, callPhase, servedDeadline };

/// A timer of a call (by handle) or of a served attempt (by id).
struct timer {
    time_point at {};
    timer_kind kind = timer_kind::callDeadline;
    request_id subject;
    auto operator<=>(const timer&) const = default;
};

/// Component of the node that makes store calls.
enum class store_client : std::uint8_t { fleet, quota, claims };

struct key_entry {
    digest value {};
    std::string team;
};

struct node::state {
    explicit state(node_options nodeOptions);

    node_options options;
    node_id self;
    random_source random;
    limpet::fleet fleet;
    limpet::quota quota;
    claim_table claims;
    attempt_table attempts;
    limpet::admission admission;
    shed_thresholds thresholds;
    retry_policy retries;
    routing_table routing;

    std::shared_ptr<const configuration> config;
    std::unordered_multimap<std::uint64_t, key_entry> keys; ///< by the first bytes of the digest
    std::unordered_map<node_id, member_record> members;
    std::unordered_map<node_id, incarnation> openLinks;

    std::unordered_map<std::uint64_t, outgoing_call> calls;
    std::unordered_map<request_id, std::uint64_t> callByAttempt;
    std::unordered_map<request_id, served_attempt> served;
    std::unordered_map<std::string, request_id> servedByToken;
    std::set<timer> timers;
    std::deque<call_message> localMessages; ///< sent by this node to itself

    std::uint64_t nextStoreToken = 1;
    /// Component that made the call and its own token for it, by the token of the store_call action.
    std::unordered_map<std::uint64_t, std::pair<store_client, std::uint64_t>> storeCalls;

    std::string backendService; ///< as announced; empty: no backend server
    unsigned backendSlots = 0;
    bool backendDraining = false;
    time_point lastAnnouncement {};
    bool drainRequested = false;
    bool drainReported = false;
    time_point drainRequestedAt {};

    node_statistics statistics;
    time_point now {}; ///< time of the event being handled
    node_actions* out = nullptr; ///< receives the actions for the event being handled

    // ---- entry.cpp ----
    void onCallerRequest(caller_request& request);
    void onCallerDisconnected(std::uint64_t handle);
    void onClaimResult(const claim_result& resolved);
    void onQuotaCompletion(const quota_completion& completion);
    void callDeadlinePassed(outgoing_call& call);
    std::optional<refusal> authorize(const caller_request& request, const route_rule& route, outgoing_call& call);
    std::optional<refusal> bindToParent(const caller_request& request, const route_rule& route, outgoing_call& call);
    const key_entry* findKey(const digest& value) const;
    void acquireRateToken(outgoing_call& call);
    void onRateTokenAcquired(outgoing_call& call);
    void acquireClaim(outgoing_call& call);
    void refuseCall(outgoing_call& call, refusal cause);
    void refuseCallerRequest(const caller_request& request, const refusal& cause);
    void completeCall(outgoing_call& call, const http_answer& content);
    void eraseCall(std::uint64_t handle);

    // ---- attempts.cpp ----
    void onCallReply(const call_reply& reply, node_id from);
    void onCallRefusal(const call_refusal& message, node_id from);
    void onAttemptStatus(const attempt_status& status, node_id from);
    void onLinkClosed(node_id peer, bool opened);
    void onPhaseTimer(outgoing_call& call);
    void dispatch(outgoing_call& call);
    void sendAttempt(outgoing_call& call);
    void attemptFailed(outgoing_call& call, const refusal& cause, bool final);
    void endAttempt(outgoing_call& call, call_outcome outcome, std::uint8_t extraAttemptsUsed);
    void queryAttemptStatus(outgoing_call& call);
    void cancelAttempt(const outgoing_call& call);
    void setPhaseTimer(outgoing_call& call, time_point at);
    void recordShedReports(
        const outgoing_call& call, const std::vector<shed_report>& reports, node_id from, bool fromDraining);
    outgoing_call* findCall(const request_id& attempt, node_id from);

    // ---- serving.cpp ----
    void onCallRequest(call_request request, node_id from, duration transit);
    void onCallCancel(const request_id& attempt, node_id from);
    void onAttemptQuery(const attempt_query& query, node_id from);
    void onBackendResult(const backend_result& result);
    void onAnnouncement(const backend_announcement& announcement);
    void servedDeadlinePassed(served_attempt& attempt);
    void applyAdmissionActions(const admission_actions& actions);
    void startServed(served_attempt& attempt);
    void replyTo(served_attempt& attempt, http_answer content);
    void refuseServed(served_attempt& attempt, const refusal& cause);
    void refuseCallRequest(const call_request& request, node_id from, const refusal& cause);
    void eraseServed(const request_id& id);
    void cancelChildren(served_attempt& attempt);
    void updateOwnEndpoint();
    std::uint8_t extraAttemptsUsed(const served_attempt& attempt) const;
    std::vector<shed_report> shedReports(
        const std::string& service, const std::string& team, const std::set<std::string>& childServices);
    bool rejectsNewRequests() const;
    /// Whether this node can route calls: it has a configuration and has joined the other nodes.
    bool ready() const { return config && fleet.joined(); }

    // ---- node.cpp ----
    void dispatchMessage(const link_message& message);
    void handleCallMessage(const link_message& message, call_message& decoded);
    void deliver(node_id to, const call_message& message);
    void handleLocalMessages();
    void execute(fleet_actions&& actions);
    void execute(std::vector<quota_action>&& actions);
    void execute(std::vector<claim_action>&& actions);
    void callStore(store_client client, store_call call);
    void onStoreResult(const store_result& result);
    void observeStoreEra(store_era era);
    void onMembersChanged(const members_changed& changed);
    void onConfiguration(const configuration_in_force& current);
    void updateMembers();
    void sendTo(node_id to, std::string bytes);
    void log(log_line::level severity, std::string text);
    void runTimers();
    void checkDrain();
    void setTimer(time_point at, timer_kind kind, const request_id& subject);
    void clearTimer(time_point at, timer_kind kind, const request_id& subject);
};

/// Returns the first bytes of a digest, used as hash table key for API keys.
inline std::uint64_t prefixOf(const digest& value)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, value.data(), sizeof prefix);
    return prefix;
}

/// Returns the timer subject of a call.
inline request_id timerSubject(std::uint64_t handle) { return { 0, handle }; }

} // namespace limpet
