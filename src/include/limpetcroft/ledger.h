#pragma once

/// \file ledger.h
/// At-most-once execution (I8, I9): the attempts seen by one run of a serving node, and idempotency claims in the
/// store.

#include <limpetcroft/core.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace limpet {

struct attempt_settings {
    duration maxDeadline = std::chrono::seconds(60); ///< of any route
    duration maxTransit = std::chrono::seconds(60); ///< frames that may have travelled longer are not run
    std::size_t capacity = 1U << 18U; ///< attempts remembered; beyond it attempts are refused, none is forgotten early
};

enum class attempt_start_result : std::uint8_t {
    execute, ///< first time; the caller must call finish afterwards
    duplicateRunning,
    duplicateFinished,
    blocked, ///< a query was answered "never seen"
    expired, ///< the deadline has passed, exceeds the longest one, or the frame may be too old to be recognized
    full, ///< no memory; not run
};
enum class attempt_state : std::uint8_t {
    running,
    finished,
    notExecuted, ///< and blocked: this run of the node has not run it and will not
    unknown, ///< the ledger is full and cannot block the id
};

/// Attempts seen by this run of a node. An id is remembered for at least longestDeadline + longestTransit after it was
/// first seen, and as long as it runs, so that every frame that passes the check of begin finds its id if it was seen
/// before.
class attempt_table {
public:
    explicit attempt_table(attempt_settings settings = {});
    /// \param remaining of the deadline, as carried by the frame and reduced by a pause of this node
    /// \param transit upper bound of the time the frame may have travelled, such as the age of its node link or the
    /// time since the last heartbeat echo on it
    attempt_start_result start(const request_id& attempt, duration remaining, duration transit, time_point now);
    /// Marks an attempt that begin let run as finished.
    void finish(const request_id& attempt, time_point now);
    /// What became of an attempt. An id that was never seen is blocked from now on.
    attempt_state query(const request_id& attempt, time_point now);
    /// Attempts remembered.
    std::size_t size() const { return m_entries.size(); }

private:
    enum class phase : std::uint8_t { running, finished, blocked };
    struct entry {
        phase state = phase::running;
        time_point touched;
    };
    duration retention() const { return m_settings.maxDeadline + m_settings.maxTransit; }
    void forget(time_point now);
    void remember(const request_id& attempt, phase state, time_point now);

    attempt_settings m_settings;
    std::unordered_map<request_id, entry> m_entries;
    std::deque<std::pair<time_point, request_id>> m_order; ///< by time of use; one element for each use
};

/// The answer of a finished request.
struct stored_response {
    int status = 0;
    std::string contentType;
    shared_bytes body; ///< up to maxStoredBodyBytes
    bool bodyOmitted = false; ///< the body was larger and has not been kept
};
constexpr std::size_t maxStoredBodyBytes = 64UL * 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 256;

struct claim_settings {
    node_id self;
    incarnation run = 0;
    double writesPerSecond = 5; ///< of this node; the fleet's bound divided by its nodes
    double writeBurst = 20;
    std::chrono::seconds retention = std::chrono::hours(24); ///< claims are kept that long, up to an hour longer
    duration storeTimeout = std::chrono::seconds(5); ///< a store call without result is taken as of unknown outcome
    std::size_t capacity = 4096; ///< claims in work at this node
};

enum class claim_outcome : std::uint8_t {
    execute, ///< the claim is ours: run the request, then call complete or release
    completed, ///< the request ran before; its answer is attached
    inProgress, ///< another request with this key is in flight
    abandoned, ///< the run of the node that owned the claim is over; whether the request ran is unknown
    mismatch, ///< the key was used with other content
    unavailable, ///< the store cannot be reached or the write rate is used up; not run
};

struct claim_result {
    std::uint64_t token = 0;
    claim_outcome outcome = claim_outcome::unavailable;
    std::optional<stored_response> response;
    duration retryAfter { 0 };
};
using claim_action = std::variant<claim_result, store_call>;

/// A run of a node that is known to live.
struct claim_owner {
    node_id node;
    incarnation run = 0;
};

/// Idempotency claims of one node.
class claim_table {
public:
    claim_table(claim_settings settings, std::uint64_t seed);
    ~claim_table();
    claim_table(claim_table&&) noexcept;
    claim_table& operator=(claim_table&&) noexcept;

    /// Claims the key for a request; a claim_resolved with the token follows, at the latest at the deadline.
    /// \param fingerprint digest of method, path and body
    void claim(std::uint64_t token, std::string_view team, std::string_view key, const digest& fingerprint,
        time_point deadline, time_point now, std::vector<claim_action>& actions);
    /// The request ran and was answered; the answer is kept with the claim.
    void complete(std::uint64_t token, stored_response answer, time_point now, std::vector<claim_action>& actions);
    /// The request certainly did not run and will not; the claim is removed.
    void release(std::uint64_t token, time_point now, std::vector<claim_action>& actions);
    /// It may have run, and no answer will come. The claim stays and never runs again.
    void abandon(std::uint64_t token, time_point now);
    /// Replaces the known live runs; a claim of an older run of a listed node is abandoned.
    void setLiveOwners(std::span<const claim_owner> owners);
    void storeResult(const store_result& result, time_point now, std::vector<claim_action>& actions);
    void tick(time_point now, std::vector<claim_action>& actions);
    time_point nextTimer() const;
    /// Claims in work.
    std::size_t size() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
