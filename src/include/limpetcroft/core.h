#pragma once

/// \file core.h
/// Types shared by every library: identifiers, time, errors, random numbers, the request context, refusals, the
/// configuration and calls to the store.
///
/// A decision library holds protocol logic only: it does no I/O, receives the current time and the input, and returns
/// the actions to carry out.

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace limpet {

/// Resolution of all durations in the decision libraries.
using duration = std::chrono::microseconds;

/// Tag type of the monotonic clock of one node. The clock includes time during which the system was suspended, and its
/// values cannot be compared with those of another node. It has no now(): the decision libraries receive the current
/// time as input and never read a clock.
struct node_clock {
    using duration = limpet::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard
};
using time_point = node_clock::time_point;

/// Category of an error; tells the caller whether and how to try again.
enum class error_kind : std::uint8_t {
    invalidArgument, ///< the input violates a documented rule; trying again does not help
    malformed, ///< bytes or text that cannot be decoded or parsed
    tooLarge, ///< exceeds a documented limit
    notFound,
    conflict, ///< contradicts the current state or another entry, such as a setting that is given twice
    unavailable, ///< the operation had no effect; try again later
    unknownOutcome, ///< the operation may have taken effect; check before trying again
    unauthenticated,
    timeout,
    internal,
};

/// Returns the lower-case name of an error kind as shown to operators, such as "not-found".
std::string_view name(error_kind kind);

/// The message says what was found and how to correct it.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
};

template <typename Value> using result = tl::expected<Value, error>;

/// Builds the value with which a function that returns result<T> reports an error.
tl::unexpected<error> fail(error_kind kind, std::string message);

/// Immutable bytes of a body. Shared ownership lets several holders keep the body without a copy.
using shared_bytes = std::shared_ptr<const std::string>;

/// Moves a string into shared bytes.
shared_bytes makeBytes(std::string bytes);

/// Identifier of a node: the 64-bit XXH3 hash of its name in the settings. Zero means no node.
struct node_id {
    std::uint64_t value = 0;
    auto operator<=>(const node_id&) const = default;
};

/// Returns the identifier of the node with the given name. Never returns zero.
node_id makeNodeId(std::string_view nodeName);

/// Distinguishes the runs of a node's process. A later run has a larger value.
using incarnation = std::uint64_t;

/// Identifier of a request or of one attempt to send it: 128 random bits.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const request_id&) const = default;
};

/// Returns 32 lower-case hexadecimal digits.
std::string toString(const request_id& id);
/// Returns 16 lower-case hexadecimal digits.
std::string toString(const node_id& id);

/// Seeded pseudo-random number generator (SplitMix64; Steele, Lea and Flood 2014). Not cryptographically secure.
class random_source {
public:
    explicit random_source(std::uint64_t seed);
    /// Returns 64 uniformly distributed bits.
    std::uint64_t next();
    /// Returns a uniformly distributed integer in [0, bound); bound must not be zero.
    std::uint64_t below(std::uint64_t bound);
    /// Returns a uniformly distributed number in [0, 1).
    double uniform();
    /// Returns an exponentially distributed duration with the given mean.
    duration exponential(duration mean);
    /// Returns a random identifier of a request or an attempt.
    request_id nextId();

private:
    std::uint64_t m_state;
};

/// Priority of a request; a larger value is more important.
using priority = std::uint8_t;
constexpr priority lowestPriority = 0;
constexpr priority highestPriority = 9;

/// Largest depth of a call below its root request. Deeper calls are refused as refusal_reason::tooDeep.
constexpr std::uint8_t maxCallDepth = 9;

/// Metadata that is propagated with a request on every hop. The deadline is sent as the remaining time, because the
/// clocks of two nodes cannot be compared.
struct request_context {
    request_id id; ///< identifies this call
    request_id rootId; ///< identifies the client's request at the root of the call tree
    std::string team; ///< empty on a route that needs no key, if no confirmed key came with the request
    priority importance = lowestPriority;
    duration remaining { 0 }; ///< time until the deadline, measured when the message is sent
    std::uint8_t extraAttemptsLeft = 0; ///< retry budget left for this call and all calls below it together
    std::uint8_t depth = 0; ///< 0 for the root request, 1 for a call that it causes, and so on
    bool idempotent = true; ///< may be executed again without further effect
};

/// Whether a refused request was executed.
enum class execution_state : std::uint8_t {
    notExecuted, ///< was not executed and will not be
    unknown, ///< may have been executed
};

/// Why a request was refused. docs/refusals.md holds the table of reasons, HTTP statuses and remedies.
enum class refusal_reason : std::uint8_t {
    keyMissing,
    keyInvalid,
    keyUnconfirmed, ///< this node cannot tell whether the key has been withdrawn
    unknownRoute,
    rateExceeded,
    overloaded, ///< shed by admission control or a shed threshold, or refused because a node is at a capacity limit
    deadlineTooShort, ///< the request would miss its deadline
    deadlineExceeded,
    noBackendServer,
    draining,
    notReady, ///< this node has no confirmed configuration yet
    tooDeep,
    tooLarge,
    malformed,
    claimUnavailable, ///< the idempotency claim could not be written to the store
    claimInProgress, ///< an earlier request with the same idempotency key has no known response yet
    claimMismatch, ///< the idempotency key was used with another request
    connectionLost,
    backendFailed,
    cancelled,
    internal,
    callerGone, ///< the call belongs to work that was cancelled because its caller is gone
};
constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(refusal_reason::callerGone) + 1;

/// Returns the name of a reason as written in refusals and metrics, such as "rate-exceeded".
std::string_view name(refusal_reason reason);

/// A refusal as reported to the caller.
struct refusal {
    refusal_reason reason = refusal_reason::internal;
    execution_state run = execution_state::unknown; ///< sent to the caller as Limpet-Run
    duration retryAfter { 0 }; ///< 0: not stated
    std::string detail; ///< what happened, in words for the caller
};

/// Returns the HTTP status of a reason.
int httpStatus(refusal_reason reason);
/// Returns a sentence that tells the caller what to do.
std::string_view remedy(refusal_reason reason);

/// 32-byte BLAKE2b digest. The configuration holds keys only in this form, never in plain text.
using digest = std::array<std::uint8_t, 32>;

/// Returns the BLAKE2b digest of the given bytes.
digest digestOf(std::string_view bytes);
/// Compares in time that does not depend on the content, so that the time does not reveal a stored digest.
bool equalConstantTime(const digest& left, const digest& right);
/// Returns 64 lower-case hexadecimal digits.
std::string toHex(const digest& value);
/// Parses 64 hexadecimal digits of either case.
result<digest> parseDigest(std::string_view hex);

/// Rate limit of a team over the whole fleet.
struct team_rule {
    std::string team;
    double ratePerSecond = 0;
    double burst = 0; ///< requests that may be admitted at once
    std::string requestedBy; ///< person or team that asked for the rule
    auto operator<=>(const team_rule&) const = default;
};

/// How requests of one method and path prefix are handled.
struct route_rule {
    std::string method; ///< "*" for any
    std::string pathPrefix; ///< compared as text: "/stock" also matches "/stocks"
    std::string service;
    priority importance = lowestPriority;
    duration deadline { 0 };
    bool idempotent = true;
    bool openToAll = false; ///< requests need no key
    double publicWorth = 1; ///< weight of a request when goodput is measured
    std::string requestedBy;
    auto operator<=>(const route_rule&) const = default;
};

/// An API key of a team. A withdrawn key is removed from the configuration.
struct key_rule {
    std::string team;
    std::string keyId; ///< names the key to operators; not secret
    digest value {}; ///< digest of the key
    auto operator<=>(const key_rule&) const = default;
};

/// Revision number of a configuration. A larger number is newer.
using revision = std::uint64_t;

/// Rate limits, routes and keys that apply to the whole fleet.
struct configuration {
    revision number = 0; ///< 0: none
    std::vector<team_rule> teams;
    std::vector<route_rule> routes;
    std::vector<key_rule> keys;
    auto operator<=>(const configuration&) const = default;
};

/// Finds the route with the longest matching path prefix. Of two with the same prefix, an exact method is preferred to
/// "*". Returns nullptr if no route matches.
const route_rule* findRoute(const configuration& config, std::string_view method, std::string_view path);
/// Finds the rate limit of a team. Returns nullptr if it has none.
const team_rule* findTeam(const configuration& config, std::string_view team);

/// Revision of the store, which increases with every change. As the revision of a key, 0 means that the key does not
/// exist.
using store_revision = std::int64_t;
/// Identifier of a lease in the store. 0 means no lease.
using store_lease = std::int64_t;

/// Number of the incarnation of a store. It changes when the store is restored from a copy: what was written since the
/// copy is gone, and the revisions and leases given out since then are given out again. 0 means unknown.
using store_era = std::uint64_t;

/// What tells which of two eras is the later one.
enum class era_order : std::uint8_t {
    rising, ///< the later one is higher
    firstSeen, ///< the later one was met later, as with the identifiers of clusters
};

/// A revision, and the era in which it was given out. It means nothing to the store in another era.
struct store_position {
    store_revision revision = 0;
    store_era era = 0;
};

/// What the era of a reply says about the store that sent it.
enum class era_change : std::uint8_t {
    none,
    risen, ///< restored since the replies before it
    outdated, ///< sent before the store was restored, and received late
};

/// Follows the era of the store from reply to reply.
class store_era_tracker {
public:
    explicit store_era_tracker(era_order order = era_order::rising)
        : m_order(order)
    {
    }
    /// Compares the era of a reply with the latest one so far. The first known era is no change.
    era_change observe(store_era era);
    store_era current() const { return m_current; }
    std::uint64_t rises() const { return m_past.size(); }

private:
    bool isOutdated(store_era era) const;

    era_order m_order;
    store_era m_current = 0;
    std::vector<store_era> m_past; ///< those before the current one
};

/// A key and its value as read from the store.
struct store_entry {
    std::string key;
    std::string value;
    store_revision modRevision = 0; ///< store revision of the last change
    store_lease lease = 0; ///< the entry is deleted when this lease expires
};

/// Condition that the key was last changed at this revision; 0 requires that the key does not exist.
struct store_compare {
    std::string key;
    store_revision modRevision = 0;
};
struct store_put {
    std::string key;
    std::string value; ///< at most 1 MiB
    store_lease lease = 0;
};
struct store_erase {
    std::string key;
};
using store_write = std::variant<store_put, store_erase>;

struct store_get {
    std::string key;
    bool prefix = false; ///< read all keys that start with key
    bool stale = false; ///< accept data that is a few seconds old; cheaper in stores that support such reads
};
/// Applies all writes atomically, or none if a compare fails.
struct store_txn {
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
};
struct store_lease_grant {
    std::chrono::seconds timeToLive { 0 };
};
struct store_lease_keep_alive {
    store_lease lease = 0;
};
struct store_lease_revoke {
    store_lease lease = 0;
};
/// One operation on the store. Watches are not among them; see store.h.
using store_operation
    = std::variant<store_get, store_txn, store_lease_grant, store_lease_keep_alive, store_lease_revoke>;

struct store_get_reply {
    std::vector<store_entry> entries; ///< in key order
    store_revision head = 0; ///< latest revision of the store when the first entries were read
    std::vector<std::string> ignored; ///< why entries that could not be read were left out
};
struct store_txn_reply {
    bool succeeded = false;
    std::vector<store_entry> current; ///< existing entries of the compared keys, if a compare failed
    store_revision head = 0; ///< latest revision of the store; 0: not reported
};
struct store_lease_reply {
    store_lease lease = 0;
    std::chrono::seconds timeToLive { 0 }; ///< 0: the lease has expired
};
using store_reply = std::variant<store_get_reply, store_txn_reply, store_lease_reply>;

/// What the check of a watch has found.
struct store_watch_check {
    std::size_t missed = 0; ///< changes that the store held and the watch had not reported
};

/// Asynchronous call to the store. The decision library that issues the call chooses the token and receives it back
/// with the result. An error of kind error_kind::unavailable means that the call had no effect;
/// error_kind::unknownOutcome means that it may have taken effect.
struct store_call {
    std::uint64_t token = 0;
    store_operation operation;
};
/// Result of the store_call with the same token.
struct store_result {
    std::uint64_t token = 0;
    result<store_reply> reply;
    store_era era = 0; ///< of the store when it replied; 0 without a reply
};

/// Secret, shared by all nodes, that authenticates the links between them. Several keys are accepted at the same time
/// so that a key can be rotated without an interruption.
struct fleet_key {
    std::string id; ///< tells the keys apart; not secret
    std::array<std::uint8_t, 32> secret {};
    auto operator<=>(const fleet_key&) const = default;
};

/// Numeric IP address and TCP port.
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(const socket_address&) const = default;
};

} // namespace limpet

template <> struct std::hash<limpet::node_id> {
    // The value is already a hash.
    std::size_t operator()(const limpet::node_id& id) const noexcept { return id.value; }
};
template <> struct std::hash<limpet::request_id> {
    std::size_t operator()(const limpet::request_id& id) const noexcept { return id.high ^ (id.low * 31); }
};
