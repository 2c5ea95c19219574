#pragma once

#include <limpetcroft/rules.h>

namespace limpet {

/// A rate that holds from a time after the start until the next step.
struct rate_step {
    duration from { 0 };
    double perSecond = 0;
};

/// What a caller does after a refusal or a failure.
enum class repeat_kind : std::uint8_t {
    none,
    atOnce,
    retryAfter, ///< waits for the stated time; does not repeat when none is stated
};

/// Requests of one kind. Arrivals are a Poisson process whose rate changes in steps.
struct load_stream {
    std::string name;
    std::string team; ///< whose key it is; empty: the key is not one of a team
    std::string key; ///< empty: none is sent
    std::string keyId;
    std::string method;
    std::string path; ///< "{n}" stands for a number below `variety`
    std::uint64_t variety = 1000;
    std::vector<rate_step> rate;
    priority importance = lowestPriority; ///< as expected from the rules; only for the summary
    duration deadline { 0 }; ///< stated to the node
    duration patience { 0 }; ///< the caller closes its connection after this time
    repeat_kind repeat = repeat_kind::none;
    std::size_t repeats = 0; ///< at most so many for one request
    bool idempotent = true; ///< else repeats only what certainly did not run, unless an Idempotency-Key is sent
    bool idempotencyKey = false;
    std::size_t bodyBytes = 0;
    std::vector<std::size_t> targets; ///< indices of load_plan::targets; empty: all
};

struct load_plan {
    std::vector<socket_address> targets;
    duration length { 0 };
    bool reuseConnections = true;
    std::size_t maxInFlight = 0; ///< arrivals beyond are counted and not sent
    std::vector<load_stream> streams;
};

/// Parses a plan: JSON with comments. Refuses targets that are not loopback addresses.
result<load_plan> parsePlan(std::string_view text);

/// Returns the next arrival after a time since the start, or nothing if none comes any more.
std::optional<duration> nextArrival(const std::vector<rate_step>& steps, duration after, random_source& random);

} // namespace limpet
