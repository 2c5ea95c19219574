#pragma once

/// \file ledger.h
/// At-most-once execution (invariants I8 and I9): deduplication of the attempts received by a serving node, and claims
/// on idempotency keys that are kept in the store.

#include <limpetcroft/core.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace limpet {

struct attempt_settings {
    /// At least the longest request deadline of any route. Attempts with more time left are not executed.
    duration maxDeadline = std::chrono::seconds(60);
    duration maxTransit = std::chrono::seconds(60); ///< frames in transit for this long or longer are not executed
    std::size_t capacity = 1U << 18U; ///< of entries; a full table refuses new attempts and evicts no entry early
};

/// Result of attempt_table::start. Only `execute` lets the caller execute the attempt.
enum class attempt_start_result : std::uint8_t {
    execute, ///< not seen before; the caller must call finish after the execution
    duplicateRunning, ///< being executed
    duplicateFinished, ///< was executed
    blocked, ///< a query reported the attempt as not executed, so it must not be executed any more
    expired, ///< the deadline has passed or exceeds maxDeadline, or the frame may exceed maxTransit
    full, ///< the table has reached its capacity
};
/// Execution state of an attempt at this incarnation of the node, as reported by attempt_table::query.
enum class attempt_state : std::uint8_t {
    running,
    finished,
    notExecuted, ///< was not executed and will not be: the id is blocked
    unknown, ///< not in the table, which is full and cannot block the id
};

/// Attempts received by one incarnation of a node. An entry is kept while the attempt is executed, and for at least
/// maxDeadline + maxTransit after its id was first seen. So a repeated frame that passes the age checks of start always
/// finds the entry of its attempt.
class attempt_table {
public:
    explicit attempt_table(attempt_settings settings = {});
    /// Decides whether a received attempt may be executed, and records it if so.
    /// \param remaining time left until the deadline, as carried by the frame
    /// \param transit upper bound of the time that the frame was in transit, including a pause of this node. The age of
    /// its link, or the time since the last heartbeat echo on it, is such a bound.
    attempt_start_result start(const request_id& attempt, duration remaining, duration transit, time_point now);
    /// Marks an attempt as finished for which start returned `execute`.
    void finish(const request_id& attempt, time_point now);
    /// Returns the state of an attempt. An id that has not been seen is blocked from now on.
    attempt_state query(const request_id& attempt, time_point now);
    std::size_t size() const { return m_entries.size(); }

private:
    enum class entry_state : std::uint8_t { running, finished, blocked };
    struct entry {
        entry_state state = entry_state::running;
        time_point lastUpdate;
    };
    duration retention() const { return m_settings.maxDeadline + m_settings.maxTransit; }
    void evictExpired(time_point now);
    void setState(const request_id& attempt, entry_state state, time_point now);

    attempt_settings m_settings;
    std::unordered_map<request_id, entry> m_entries;
    std::deque<std::pair<time_point, request_id>> m_updates; ///< one element for each update of an entry, oldest first
};

/// Response of a completed request, kept to answer requests that repeat its idempotency key.
struct stored_response {
    int status = 0;
    std::string contentType;
    shared_bytes body; ///< at most maxStoredBodyBytes
    bool bodyOmitted = false; ///< the body was too large to be stored
};
constexpr std::size_t maxStoredBodyBytes = 64UL * 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 256;

struct claim_settings {
    node_id self;
    incarnation run = 0;
    /// Rate limit of this node: the limit of the fleet divided by the number of nodes. Each claim counts as two writes;
    /// retries are not counted.
    double writesPerSecond = 5;
    double writeBurst = 20; ///< capacity of the token bucket that limits the writes
    /// Minimum time for which a record is kept. Claims share leases, which keep it up to an hour longer.
    std::chrono::seconds retention = std::chrono::hours(24);
    duration storeTimeout = std::chrono::seconds(5); ///< afterwards the outcome of a store call counts as unknown
    std::size_t capacity = 4096; ///< maximum number of active claims at this node
};

enum class claim_outcome : std::uint8_t {
    execute, ///< the caller holds the claim: execute the request, then call complete, release or abandon
    completed, ///< the request was executed before; its response is attached
    inProgress, ///< another request with this key is being executed
    /// The owner abandoned the claim or was restarted, or the record is malformed. Whether the request was executed is
    /// unknown.
    abandoned,
    mismatch, ///< the key was used for a request with another fingerprint
    unavailable, ///< not claimed and not executed, such as when the store is unreachable
};

/// Result of claim_table::claim.
struct claim_result {
    std::uint64_t token = 0; ///< as passed to claim
    claim_outcome outcome = claim_outcome::unavailable;
    std::optional<stored_response> response; ///< set if the outcome is `completed`
    duration retryAfter { 0 };
};
using claim_action = std::variant<claim_result, store_call>;

/// Current incarnation of a live node.
struct claim_owner {
    node_id node;
    incarnation run = 0;
};

/// Claims on idempotency keys made by one node. The store keeps them, so that at most one request of a key is executed
/// in the whole fleet.
class claim_table {
public:
    claim_table(claim_settings settings, std::uint64_t seed);
    ~claim_table();
    claim_table(claim_table&&) noexcept;
    claim_table& operator=(claim_table&&) noexcept;

    /// Claims the key for a request. A claim_result with the same token follows, at the deadline at the latest.
    /// \param fingerprint digest of method, path and body
    void claim(std::uint64_t token, std::string_view team, std::string_view key, const digest& fingerprint,
        time_point deadline, time_point now, std::vector<claim_action>& actions);
    /// Stores the response of the executed request with its claim.
    void complete(std::uint64_t token, stored_response response, time_point now, std::vector<claim_action>& actions);
    /// Erases the claim of a request that was not executed and will not be.
    void release(std::uint64_t token, time_point now, std::vector<claim_action>& actions);
    /// Ends a claim without a response, for a request that may have been executed. Its record stays in the store, which
    /// prevents a second execution.
    void abandon(std::uint64_t token, time_point now);
    /// Replaces the list of live nodes. A claim of an earlier incarnation of a listed node counts as abandoned.
    void setLiveOwners(std::span<const claim_owner> owners);
    void storeResult(const store_result& result, time_point now, std::vector<claim_action>& actions);
    /// Takes the era of a reply to another library of this node. storeResult takes that of its own.
    void observeStoreEra(store_era era, time_point now, std::vector<claim_action>& actions);
    void tick(time_point now, std::vector<claim_action>& actions);
    time_point nextTimer() const;
    /// Returns the number of active claims, including those whose outcome is still to be written.
    std::size_t size() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
