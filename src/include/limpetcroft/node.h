#pragma once

/// \file node.h
/// One node: composes membership, configuration, rates, admission, routing, retries and at-most-once execution.
/// Events and the current time go in, actions come out. It owns no socket, clock or global random source.

#include <limpetcroft/fleet.h>
#include <limpetcroft/ledger.h>
#include <limpetcroft/policy.h>
#include <limpetcroft/quota.h>
#include <limpetcroft/wire.h>

namespace limpet {

struct node_options {
    std::string name;
    incarnation run = 0; ///< larger than that of any earlier run of this node
    std::string region;
    std::string availabilityZone;
    std::vector<std::string> regions; ///< all regions of the fleet
    socket_address linkAddress; ///< where other nodes reach this one
    std::vector<socket_address> seeds;
    std::uint64_t seed = 1; ///< of all random choices
    duration keyConfirmationBound = std::chrono::seconds(4);
    duration announceTimeout = std::chrono::seconds(5); ///< a backend server that is silent for so long is gone
    duration drainGracePeriod = std::chrono::seconds(2); ///< new work is still taken while the news of a drain spreads
    duration attemptStatusTimeout = std::chrono::seconds(2); ///< for the answer about an attempt after a link broke
    duration defaultDeadline = std::chrono::seconds(60); ///< of a route without a deadline
    admission_options admission;
    threshold_options thresholds;
    retry_options retries;
    routing_options routing;
    quota_policy quotaPolicy = quota_policy::grants;
    double claimWritesPerSecond = 5;
};

// ---- Events ----

/// A request from a caller, or from the backend server beside this node. The adapter has removed the key and every
/// header of this system.
struct caller_request {
    std::uint64_t call = 0; ///< chosen by the adapter, unique in this run
    http_request content;
    std::optional<digest> key; ///< digest of the key that came with it
    std::string idempotencyKey;
    duration deadline { 0 }; ///< stated by the caller; zero: none
    bool fromBackend = false;
    std::string parentToken; ///< value of Limpet-Context; only used when fromBackend
};
/// The caller closed its connection or gave up.
struct caller_disconnected {
    std::uint64_t call = 0;
};

enum class backend_failure : std::uint8_t {
    notSent, ///< no byte of the request was sent
    connectionLost, ///< failed after bytes were sent
    timeout,
    cancelled,
};
/// How a call to the backend server ended. Every call_backend is followed by exactly one.
struct backend_result {
    request_id attempt;
    tl::expected<http_answer, backend_failure> outcome;
};
/// The backend server announced itself to its node.
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
    bool opened = false; ///< false: no message of this link was ever sent
};
struct link_message {
    node_id from;
    incarnation run = 0;
    std::string bytes;
    duration transit { 0 }; ///< upper bound of the time that it waited, such as a pause of this process
};
/// Stop taking new work; drained follows when everything in flight has ended.
struct drain_request { };

using node_event = std::variant<caller_request, caller_disconnected, backend_result, backend_announcement, link_opened,
    link_closed, link_message, store_result, fleet_watch_event, drain_request>;

// ---- Actions ----

/// The whole answer to a caller, or a refusal rendered as an answer.
struct answer_caller {
    std::uint64_t call = 0;
    http_answer content;
    std::optional<refusal> refused;
    bool closeConnection = false; ///< this node is leaving; the caller should connect elsewhere
};
/// Sends one message to a node, over a link that the adapter opens if there is none.
struct send_frame {
    node_id to; ///< zero: only the address is known
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
/// A request of a team was counted against its rate. For metrics and histories.
struct rate_token_consumed {
    std::uint64_t call = 0;
    std::string team;
};
/// Something an operator may want to read.
struct log_line {
    enum class level : std::uint8_t { information, warning };
    level severity = level::information;
    std::string text;
};

using node_action = std::variant<answer_caller, send_frame, call_backend, cancel_backend, store_call, start_store_watch,
    stop_store_watch, drained, rate_token_consumed, log_line>;
using node_actions = std::vector<node_action>;

/// Figures of one node for metrics, status and tests.
struct node_statistics {
    std::uint64_t answered = 0; ///< whole answers to callers
    std::array<std::uint64_t, refusalReasonCount> refused {};
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    std::uint64_t ignoredMessages = 0; ///< malformed, or of a later version
    std::size_t callsInFlight = 0;
    std::size_t backendInFlight = 0;
    std::size_t queued = 0;
    unsigned concurrencyLimit = 0;
    bool draining = false;
};

/// Renders a refusal as an HTTP answer with a JSON body: reason, remedy, run, retry_after_ms, detail, request_id.
http_answer renderRefusal(const refusal& why, const request_id& id);

class node {
public:
    explicit node(node_options options);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    void start(time_point now, node_actions& actions);
    void handle(node_event event, time_point now, node_actions& actions);
    /// To be called at nextTimer() or later; earlier calls do no harm.
    void tick(time_point now, node_actions& actions);
    time_point nextTimer() const;

    node_id id() const;
    /// Whether it takes calls: it has a configuration in force and knows the other nodes.
    bool ready() const;
    node_statistics statistics() const;
    const fleet& membership() const;
    const routing_table& routes() const;
    /// Why a request of that method, path and team would be admitted or refused now, one step a line.
    std::vector<std::string> explain(
        std::string_view method, std::string_view path, std::string_view team, time_point now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
