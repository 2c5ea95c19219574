#pragma once

/// \file state.h
/// State of a node, shared by the sources of this library. The entry part governs calls that enter here; the serving
/// part runs attempts on the backend server beside this node.

#include <cstring>
#include <deque>
#include <limpetcroft/node.h>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace limpet {

enum class call_phase : std::uint8_t {
    waitingToken, ///< for the team's rate
    waitingClaim, ///< for the idempotency claim
    backoff, ///< before another attempt
    inFlight,
    settling, ///< the link broke; asking what became of the attempt
};

/// One attempt at a call, as the node that made it sees it.
struct current_attempt {
    request_id id;
    node_id target;
    incarnation targetRun = 0;
    time_point sentAt {};
    std::uint8_t lent = 0; ///< extra attempts handed to it
    locality where = locality::sameZone;
};

/// A call that this node governs: it came from a caller, or from the backend server beside this node.
struct outgoing_call {
    std::uint64_t handle = 0;
    request_context context;
    time_point deadline {};
    std::string service;
    http_request content;
    std::string idempotencyKey;
    bool claimed = false;
    bool openToAll = false;
    std::optional<request_id> parent; ///< served attempt whose backend server made this call
    std::uint8_t lentByParent = 0;
    attempt_budget budget;
    call_phase phase = call_phase::inFlight;
    std::uint8_t made = 0; ///< attempts
    bool everUnknown = false; ///< an earlier attempt may have run
    std::vector<node_id> excluded;
    current_attempt attempt;
    refusal lastRefusal;
    time_point wakeAt {};
};

/// An attempt that runs, or waits to run, on the backend server beside this node.
struct served_attempt {
    request_id id;
    node_id from; ///< this node itself for a call that entered here
    request_context context;
    time_point deadline {};
    std::string service;
    http_request content;
    std::string token; ///< value of Limpet-Context
    attempt_budget budget; ///< for child calls
    std::uint8_t granted = 0; ///< extra attempts that came with the attempt
    bool running = false;
    bool answered = false; ///< the sender has its answer; the backend server still runs
    std::optional<refusal> childRefusal; ///< why a child call was refused
    time_point startedAt {};
    std::unordered_set<std::uint64_t> children; ///< handles of child calls in flight
    std::set<std::string> childServices;
};

enum class timer_kind : std::uint8_t { callDeadline, callWake, servedDeadline };

/// A timer of a call (by handle) or of a served attempt (by id).
struct timer {
    time_point at {};
    timer_kind kind = timer_kind::callDeadline;
    request_id subject;
    auto operator<=>(const timer&) const = default;
};

enum class store_user : std::uint8_t { fleet, quota, claims };

struct key_entry {
    digest value {};
    std::string team;
};

struct node::state {
    explicit state(node_options given);

    node_options options;
    node_id self;
    random_source random;
    limpet::fleet fleet;
    limpet::quota quota;
    claim_table claims;
    attempt_table ledger;
    limpet::admission admission;
    shed_thresholds thresholds;
    retry_policy retries;
    routing_table routing;

    std::shared_ptr<const configuration> config;
    std::unordered_multimap<std::uint64_t, key_entry> keys; ///< by the first bytes of the digest
    std::unordered_map<node_id, member_record> members;
    std::unordered_map<node_id, incarnation> openLinks;

    std::unordered_map<std::uint64_t, outgoing_call> calls;
    std::unordered_map<request_id, std::uint64_t> callOfAttempt;
    std::unordered_map<request_id, served_attempt> served;
    std::unordered_map<std::string, request_id> servedByToken;
    std::set<timer> timers;
    std::deque<call_message> localMessages; ///< from this node to itself

    std::uint64_t nextStoreToken = 1;
    std::unordered_map<std::uint64_t, std::pair<store_user, std::uint64_t>> storeCalls;

    std::string ownService; ///< announced; empty: no backend server
    unsigned ownSlots = 0;
    bool backendDraining = false;
    time_point lastAnnouncement {};
    bool drainRequested = false;
    bool drainReported = false;
    time_point drainRequestedAt {};

    node_figures figures;
    time_point now {}; ///< of the event being handled
    node_actions* out = nullptr; ///< of the event being handled

    // ---- entry.cpp ----
    void onCaller(caller_request& request);
    void onCallerGone(std::uint64_t handle);
    void onReply(const call_reply& reply, node_id from);
    void onRefusal(const call_refusal& message, node_id from);
    void onAttemptStatus(const attempt_status& status, node_id from);
    void onClaim(const claim_result& resolved);
    void onQuota(const quota_resolved& resolved);
    void onPeerClosed(node_id peer, bool opened);
    void wakeCall(outgoing_call& call);
    void callDeadlinePassed(outgoing_call& call);
    std::optional<refusal> authorize(const caller_request& request, const route_rule& route, outgoing_call& call);
    std::optional<refusal> bindToParent(const caller_request& request, const route_rule& route, outgoing_call& call);
    const key_entry* findKey(const digest& value) const;
    void takeToken(outgoing_call& call);
    void tokenTaken(outgoing_call& call);
    void takeClaim(outgoing_call& call);
    void dispatch(outgoing_call& call);
    void sendAttempt(outgoing_call& call);
    void attemptFailed(outgoing_call& call, const refusal& why, bool final);
    void endAttempt(outgoing_call& call, call_outcome outcome, std::uint8_t usedBelow);
    void settle(outgoing_call& call);
    void refuseCall(outgoing_call& call, refusal why);
    void refuseNew(const caller_request& request, const refusal& why);
    void answerCall(outgoing_call& call, const http_answer& content);
    void cancelAttempt(const outgoing_call& call);
    void forgetCall(std::uint64_t handle);
    void learnShed(const outgoing_call& call, const std::vector<shed_report>& reports, node_id from, bool fromDraining);
    outgoing_call* callOf(const request_id& attempt, node_id from);
    void wakeAt(outgoing_call& call, time_point at);

    // ---- serving.cpp ----
    void onRequest(call_request request, node_id from, duration transit);
    void onCancel(const request_id& attempt, node_id from);
    void onQuery(const attempt_query& query, node_id from);
    void onBackend(const backend_result& result);
    void onAnnouncement(const backend_announcement& announcement);
    void servedDeadlinePassed(served_attempt& attempt);
    void carryOut(const admission_actions& decided);
    void startServed(served_attempt& attempt);
    void replyTo(served_attempt& attempt, http_answer content);
    void refuseServed(served_attempt& attempt, const refusal& why);
    void refuseRequest(const call_request& request, node_id from, const refusal& why);
    void forgetServed(const request_id& id);
    void cancelChildren(served_attempt& attempt);
    void applyOwnEndpoint();
    std::uint8_t usedBelow(const served_attempt& attempt) const;
    std::vector<shed_report> shedReports(
        const std::string& service, const std::string& team, const std::set<std::string>& childServices);
    bool refusesNewWork() const;
    /// Whether this node can route calls: it has a configuration and knows the other nodes.
    bool ready() const { return config && fleet.joined(); }

    // ---- node.cpp ----
    void dispatchMessage(const link_message& message);
    void handleCallMessage(const link_message& message, call_message& decoded);
    void deliver(node_id to, const call_message& message);
    void handleLocalMessages();
    void take(fleet_actions&& actions);
    void take(std::vector<quota_action>&& actions);
    void take(std::vector<claim_action>&& actions);
    void requestStore(store_user user, store_call call);
    void onStoreResult(const store_result& result);
    void onMembers(const members_changed& changed);
    void onConfiguration(const configuration_in_force& inForce);
    void applyMembers();
    void sendTo(node_id to, std::string bytes);
    void log(log_line::level severity, std::string text);
    void runTimers();
    void checkDrain();
    void setTimer(time_point at, timer_kind kind, const request_id& subject);
    void clearTimer(time_point at, timer_kind kind, const request_id& subject);
};

/// Returns the first bytes of a digest, by which keys are looked up.
inline std::uint64_t prefixOf(const digest& value)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, value.data(), sizeof prefix);
    return prefix;
}

/// Names a call in a timer.
inline request_id subjectOf(std::uint64_t handle) { return { 0, handle }; }

} // namespace limpet
