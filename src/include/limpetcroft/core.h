#pragma once

/// \file core.h
/// Values shared by every library: identifiers, time, errors, randomness, the request context and the configuration.

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

/// Unit of every time in the decision libraries.
using duration = std::chrono::microseconds;

/// Tag of the time line of one node. It never goes back, includes suspended time, and has no relation to the time line
/// of another node. The decision libraries are handed the current time and never read a clock.
struct node_clock {
    using duration = limpet::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard
};
using time_point = node_clock::time_point;

/// Kinds of error that a function of these libraries can return.
enum class error_kind : std::uint8_t {
    invalidArgument, ///< input breaks a stated rule; correct it
    malformed, ///< bytes or text that cannot be decoded
    tooLarge, ///< over a stated bound
    notFound,
    conflict, ///< compare-and-swap lost, or the same key with other content
    unavailable, ///< certainly did not happen; try again later
    unknownOutcome, ///< may or may not have happened; look before trying again
    unauthenticated,
    timeout,
    internal,
};

/// Returns the lower-case name of a kind as shown to operators, such as "not-found".
std::string_view name(error_kind kind);

/// An error. The message says what was found and names the remedy.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
};

template <typename Value> using result = tl::expected<Value, error>;

/// Shorthand for returning an error from a function that returns result<T>.
tl::unexpected<error> fail(error_kind kind, std::string message);

/// Immutable bytes of a body, shared so that passing them on does not copy.
using shared_bytes = std::shared_ptr<const std::string>;

/// Wraps a string as shared bytes.
shared_bytes makeBytes(std::string bytes);

/// Identifier of a node: the 64-bit XXH3 hash of its name in the settings. Zero is no node.
struct node_id {
    std::uint64_t value = 0;
    auto operator<=>(const node_id&) const = default;
};

/// Returns the identifier of the node of that name.
node_id makeNodeId(std::string_view nodeName);

/// Distinguishes two runs of the same node. A later run has a larger value.
using incarnation = std::uint64_t;

/// Identifier of a request or of one attempt at it: 128 random bits.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const request_id&) const = default;
};

/// Returns 32 lower-case hexadecimal digits.
std::string toString(const request_id& id);
std::string toString(const node_id& id);

/// Seeded source of pseudo-random numbers (SplitMix64, Steele, Lea and Flood 2014). Not for secrets.
class random_source {
public:
    explicit random_source(std::uint64_t seed);
    /// Returns 64 uniform bits.
    std::uint64_t next();
    /// Returns a uniform number below bound; bound must not be zero.
    std::uint64_t below(std::uint64_t bound);
    /// Returns a uniform number in [0, 1).
    double uniform();
    /// Returns an exponentially distributed duration with that mean.
    duration exponential(duration mean);
    request_id nextId();

private:
    std::uint64_t m_state;
};

/// Priority of a request; larger is more important.
using priority = std::uint8_t;
constexpr priority lowestPriority = 0;
constexpr priority highestPriority = 9;

/// Deepest call graph that is carried.
constexpr std::uint8_t maxCallDepth = 9;

/// What travels with every hop of a request. The deadline is carried between nodes as the remaining time.
struct request_context {
    request_id id; ///< this call
    request_id rootId; ///< the caller's request at the top of the call graph
    std::string team; ///< empty on a route that is open to all
    priority importance = lowestPriority;
    duration remaining { 0 }; ///< until the deadline, at the moment of sending
    std::uint8_t extraAttemptsLeft = 0; ///< extra attempts that this call and all calls below it may still make
    std::uint8_t depth = 0; ///< 0 for the root
    bool idempotent = true;
};

/// Whether a refused request ran.
enum class execution_state : std::uint8_t {
    notExecuted, ///< it certainly did not run and will not run
    unknown, ///< it may have run
};

/// Why a request was refused. docs/refusals.md holds the table of reasons, HTTP statuses and remedies.
enum class refusal_reason : std::uint8_t {
    keyMissing,
    keyInvalid,
    keyUnconfirmed, ///< this node cannot tell whether the key has been withdrawn
    unknownRoute,
    rateExceeded,
    overloaded, ///< shed by admission or by a threshold
    deadlineTooShort, ///< cannot be met
    deadlineExceeded,
    noBackendServer,
    draining,
    notReady, ///< this node has no confirmed configuration yet
    tooDeep,
    tooLarge,
    malformed,
    claimUnavailable, ///< the store that keeps idempotency claims cannot be reached
    claimInProgress,
    claimMismatch,
    connectionLost,
    backendFailed,
    cancelled,
    internal,
};
constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(refusal_reason::internal) + 1;

/// Returns the name of a reason as it stands in refusals and metrics, such as "rate-exceeded".
std::string_view name(refusal_reason reason);

/// A refusal as a caller sees it.
struct refusal {
    refusal_reason reason = refusal_reason::internal;
    execution_state run = execution_state::unknown;
    duration retryAfter { 0 }; ///< zero: none is stated
    std::string detail; ///< what happened, for the caller
};

/// Returns the HTTP status of a reason.
int httpStatus(refusal_reason reason);
/// Returns the sentence that tells a caller what to do.
std::string_view remedy(refusal_reason reason);

/// 32-byte BLAKE2b digest. Keys exist in the configuration only in this form.
using digest = std::array<std::uint8_t, 32>;

/// Returns the digest of some bytes.
digest digestOf(std::string_view bytes);
/// Compares in time that does not depend on the content.
bool equalConstantTime(const digest& left, const digest& right);
std::string toHex(const digest& value);
result<digest> parseDigest(std::string_view hex);

/// Rate limit of a team over the whole fleet.
struct team_rule {
    std::string team;
    double ratePerSecond = 0;
    double burst = 0; ///< requests
    std::string requestedBy; ///< who asked for the rule
    auto operator<=>(const team_rule&) const = default;
};

/// How requests of one method and path prefix are handled.
struct route_rule {
    std::string method; ///< "*" for any
    std::string pathPrefix;
    std::string service;
    priority importance = lowestPriority;
    duration deadline { 0 };
    bool idempotent = true;
    bool openToAll = false;
    double publicWorth = 1;
    std::string requestedBy;
    auto operator<=>(const route_rule&) const = default;
};

/// One key of a team. A withdrawn key is removed from the configuration.
struct key_rule {
    std::string team;
    std::string keyId; ///< names the key to operators; not secret
    digest value {};
    auto operator<=>(const key_rule&) const = default;
};

/// Order of configurations. Larger is newer.
using revision = std::uint64_t;

/// An accepted configuration.
struct configuration {
    revision number = 0; ///< 0: none
    std::vector<team_rule> teams;
    std::vector<route_rule> routes;
    std::vector<key_rule> keys;
    auto operator<=>(const configuration&) const = default;
};

/// Finds the rule with the longest matching path prefix; an exact method goes before "*".
/// Returns nullptr if no route matches.
const route_rule* findRoute(const configuration& config, std::string_view method, std::string_view path);
/// Finds the rule of a team, or nullptr.
const team_rule* findTeam(const configuration& config, std::string_view team);

/// Revision of the store. 0 means absent.
using store_revision = std::int64_t;
/// Identifier of a lease of the store. 0 means none.
using store_lease = std::int64_t;

struct store_entry {
    std::string key;
    std::string value;
    store_revision modRevision = 0; ///< revision of its last change
    store_lease lease = 0;
};

/// Holds when the key was last changed at that revision; 0 requires that it does not exist.
struct store_compare {
    std::string key;
    store_revision modRevision = 0;
};
struct store_put {
    std::string key;
    std::string value; ///< at most 1 MB
    store_lease lease = 0;
};
struct store_erase {
    std::string key;
};
using store_write = std::variant<store_put, store_erase>;

struct store_get {
    std::string key;
    bool prefix = false; ///< every key that starts with it
    bool stale = false; ///< an answer that is some seconds old will do; cheaper where the store offers it
};
/// Applies all writes, or none if a compare does not hold.
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
/// One call to the store. A watch is not a call of this kind; see store.h.
using store_operation
    = std::variant<store_get, store_txn, store_lease_grant, store_lease_keep_alive, store_lease_revoke>;

struct store_get_reply {
    std::vector<store_entry> entries; ///< in key order
    store_revision head = 0; ///< revision of the whole store
};
struct store_txn_reply {
    bool succeeded = false;
    std::vector<store_entry> current; ///< of the compared keys, when it did not succeed
    store_revision head = 0;
};
struct store_lease_reply {
    store_lease lease = 0;
    std::chrono::seconds timeToLive { 0 }; ///< 0: the lease has expired
};
using store_reply = std::variant<store_get_reply, store_txn_reply, store_lease_reply>;

/// A decision library asks for a store call with a token of its own, and is later handed the result with that token.
/// error_kind::unavailable: certainly no effect. error_kind::unknownOutcome: it may have taken effect.
struct store_call {
    std::uint64_t token = 0;
    store_operation operation;
};
struct store_result {
    std::uint64_t token = 0;
    result<store_reply> reply;
};

/// A secret shared by all nodes, which authenticates node links. Several are accepted at once while one replaces
/// another.
struct fleet_key {
    std::string id; ///< not secret
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
    std::size_t operator()(const limpet::node_id& id) const noexcept { return id.value; }
};
template <> struct std::hash<limpet::request_id> {
    std::size_t operator()(const limpet::request_id& id) const noexcept { return id.high ^ (id.low * 31); }
};
