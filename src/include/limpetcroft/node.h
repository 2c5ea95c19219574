#pragma once

/// \file node.h
/// Core of one node: combines membership, configuration, rate limits, admission, routing, retries and at-most-once
/// execution. It is deterministic: events and the current time go in, actions come out, and it owns no socket, clock or
/// global random source.

#include <limpetcroft/fleet.h>
#include <limpetcroft/ledger.h>
#include <limpetcroft/policy.h>
#include <limpetcroft/quota.h>
#include <limpetcroft/wire.h>

namespace limpet {

struct node_options {
    std::string name;
    incarnation run = 0; ///< greater than any earlier one of this node
    std::string region;
    std::string availabilityZone;
    std::vector<std::string> regions; ///< all regions of the fleet
    socket_address linkAddress; ///< at which other nodes connect to this one
    std::vector<socket_address> seeds; ///< nodes to contact for joining the fleet
    std::uint64_t seed = 1; ///< of the random number generator
    duration keyConfirmationBound = std::chrono::seconds(4); ///< largest age of an attestation that confirms the keys
    duration announceTimeout = std::chrono::seconds(5); ///< without an announcement, the endpoint is removed
    /// After a drain request, requests are still accepted for this long, while other nodes learn of the drain.
    duration drainGracePeriod = std::chrono::seconds(2);
    duration attemptStatusTimeout = std::chrono::seconds(2); ///< for a reply to attempt_query
    duration defaultDeadline = std::chrono::seconds(60); ///< of routes that configure none
    admission_options admission;
    threshold_options thresholds;
    retry_options retries;
    routing_options routing;
    quota_policy quotaPolicy = quota_policy::grants;
    double claimWritesPerSecond = 5; ///< see claim_settings::writesPerSecond
};

// ---- Events ----

/// A request from a caller, or from the local backend server. The adapter has removed the API key and the Limpet-*
/// request headers.
struct caller_request {
    std::uint64_t call = 0; ///< assigned by the adapter, unique in this incarnation
    http_request content;
    std::optional<digest> key; ///< digest of the API key
    std::string idempotencyKey;
    duration deadline { 0 }; ///< time allowed by the caller; zero: not stated
    bool fromBackend = false;
    std::string parentToken; ///< value of Limpet-Context, used only if fromBackend is set
};
/// The caller closed its connection or cancelled the request.
struct caller_disconnected {
    std::uint64_t call = 0;
};

enum class backend_failure : std::uint8_t {
    notSent, ///< no byte of the request was sent, so it was not executed
    connectionLost, ///< the connection failed after bytes had been sent
    timeout,
    cancelled,
};
/// Outcome of a call to the backend server. Every call_backend is followed by exactly one.
struct backend_result {
    request_id attempt;
    tl::expected<http_answer, backend_failure> outcome;
};
/// The backend server registered with this node, or refreshed its registration.
struct backend_announcement {
    std::string service;
    unsigned slots = 0;
    bool draining = false;
};

struct link_opened {
    node_id peer;
    incarnation run = 0;
};
struct link_closed {
    node_id peer;
    bool opened = false; ///< false: opening failed, so no message was sent over this link
};
struct link_message {
    node_id from;
    incarnation run = 0;
    std::string bytes;
    duration transit { 0 }; ///< delay by a pause of this process; zero if there was none
};
/// Requests a graceful shutdown. The action drained follows when no call or attempt is in flight any more.
struct drain_request { };

using node_event = std::variant<caller_request, caller_disconnected, backend_result, backend_announcement, link_opened,
    link_closed, link_message, store_result, fleet_watch_event, drain_request>;

// ---- Actions ----

/// Completes a caller's request with the full response, or with a refusal rendered as a response.
struct answer_caller {
    std::uint64_t call = 0;
    http_answer content;
    std::optional<refusal> refused;
    bool closeConnection = false; ///< this node drains, so the caller should connect to another one
};
/// Sends a message to a node. The adapter opens a link if there is none.
struct send_frame {
    node_id to; ///< zero if only the address is known
    socket_address address;
    std::string bytes;
};
struct call_backend {
    request_id attempt;
    http_request content;
    duration timeout { 0 };
    bool idempotent = true;
};
struct cancel_backend {
    request_id attempt;
};
struct drained { };
/// A request was counted against the rate limit of its team. Used by metrics and test histories.
struct rate_token_consumed {
    std::uint64_t call = 0;
    std::string team;
};
/// A message for the operator's log.
struct log_line {
    enum class level : std::uint8_t { information, warning };
    level severity = level::information;
    std::string text;
};

using node_action = std::variant<answer_caller, send_frame, call_backend, cancel_backend, store_call, start_store_watch,
    stop_store_watch, drained, rate_token_consumed, log_line>;
using node_actions = std::vector<node_action>;

/// Counters and gauges of one node for metrics, status and tests.
struct node_statistics {
    std::uint64_t answered = 0; ///< calls answered with a response, not a refusal
    std::array<std::uint64_t, refusalReasonCount> refused {};
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    std::uint64_t ignoredMessages = 0; ///< malformed, or of an unsupported version
    std::size_t callsInFlight = 0;
    std::size_t backendInFlight = 0;
    std::size_t queued = 0; ///< attempts waiting for the backend server
    unsigned concurrencyLimit = 0;
    bool draining = false;
};

/// Renders a refusal as an HTTP response with a JSON body: reason, remedy, run, retry_after_ms, detail, request_id.
http_answer renderRefusal(const refusal& cause, const request_id& id);

class node {
public:
    explicit node(node_options options);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    void start(time_point now, node_actions& actions);
    void handle(node_event event, time_point now, node_actions& actions);
    /// Runs due timers. Call it at nextTimer() or later; an earlier call has no effect on them.
    void tick(time_point now, node_actions& actions);
    time_point nextTimer() const;

    node_id id() const;
    /// Whether this node accepts calls: it has a configuration in force and has joined the other nodes.
    bool ready() const;
    node_statistics statistics() const;
    const fleet& membership() const;
    const routing_table& routes() const;
    /// Explains why a request with this method, path and team would be admitted or refused now. One line per decision.
    std::vector<std::string> explain(
        std::string_view method, std::string_view path, std::string_view team, time_point now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
