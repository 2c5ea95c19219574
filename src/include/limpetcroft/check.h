#pragma once

/// \file check.h
/// History of a run, one checker for each invariant of docs/design.md, and the measures. The functions work on events
/// in memory; readHistory and printHistory convert from and to files with one JSON object per line.

#include <limpetcroft/core.h>

namespace limpet {

// The checkers and measures expect the events in the order of their times; readHistory and sortByTime provide it. Every
// time in a history is a duration since one origin that all its writers share, such as the monotonic clock of the
// machine on which a test runs.
//
// `request` is the value of the Test-Request header. A caller gives each request its own value without '/'. A call made
// by a backend server for request R has the value "R/INDEX", and so on downwards, so that it names a position in the
// tree of calls below the caller's request.

/// A caller sent a request.
struct request_sent {
    duration time { 0 };
    std::string request;
    std::string entry; ///< caller address of the entry node, "IP:PORT"
    std::string team; ///< whose key came with it; empty: no key, or one that was never issued
    std::string keyId; ///< empty: no key
    std::string method;
    std::string path;
    duration deadline { 0 }; ///< from the moment of sending
    std::string idempotencyKey; ///< empty: none
    std::string repeatOf; ///< the request that this one repeats; empty: none
    auto operator<=>(const request_sent&) const = default;
};

/// A caller received an answer or gave up.
struct request_answered {
    duration time { 0 };
    std::string request;
    int status = 0; ///< HTTP status; 0: no HTTP answer came, see failure
    std::string failure; ///< "connect", "closed" or "timeout" with status 0
    std::optional<execution_state> run; ///< as stated by a refusal
    std::string reason; ///< of a refusal, by its name in core.h
    duration retryAfter { 0 }; ///< as stated by a refusal
    duration latency { 0 };
    std::string answeredRequest; ///< the request that the answer names
    bool checksumValid = false; ///< the answer is whole
    std::uint64_t bytes = 0;
    std::string server; ///< the backend server that the answer names
    auto operator<=>(const request_answered&) const = default;
};

/// A backend server began to run a request.
struct run_started {
    duration time { 0 };
    std::string server;
    std::string service;
    std::string request;
    std::string requestId; ///< of the call, from Limpet-Request-Id
    std::string attemptId; ///< from Limpet-Attempt-Id
    std::string method;
    std::string path;
    bool authorizationSeen = false; ///< an Authorization header reached the backend server
    std::string team; ///< for which it ran; empty where the writer cannot know
    auto operator<=>(const run_started&) const = default;
};

enum class run_outcome : std::uint8_t {
    finished,
    failed, ///< a call that it made failed
    cancelled, ///< the connection was closed before the answer
    expired, ///< its deadline passed
};

/// A backend server ended a run.
struct run_ended {
    duration time { 0 };
    std::string server;
    std::string request;
    std::string attemptId;
    run_outcome outcome = run_outcome::finished;
    auto operator<=>(const run_ended&) const = default;
};

/// A node sent an attempt at a call to a serving node.
struct attempt_sent {
    duration time { 0 };
    std::string node;
    std::string rootId;
    std::string requestId;
    std::string attemptId;
    std::string service;
    std::string team;
    auto operator<=>(const attempt_sent&) const = default;
};

/// A node counted a caller's request against the rate of a team.
struct rate_admitted {
    duration time { 0 };
    std::string node;
    std::string team;
    auto operator<=>(const rate_admitted&) const = default;
};

/// A rate of a team was accepted.
struct team_limit {
    duration time { 0 };
    std::string team;
    double ratePerSecond = 0;
    double burst = 0;
    auto operator<=>(const team_limit&) const = default;
};

/// A route holds during the whole history.
struct route_known {
    duration time { 0 };
    std::string method;
    std::string pathPrefix;
    std::string service;
    priority importance = lowestPriority;
    bool idempotent = true;
    bool openToAll = false;
    double publicWorth = 1;
    auto operator<=>(const route_known&) const = default;
};

/// The issue or withdrawal of a key was accepted.
struct key_changed {
    duration time { 0 };
    std::string team;
    std::string keyId;
    bool withdrawn = false;
    auto operator<=>(const key_changed&) const = default;
};

/// A backend server announced that it leaves.
struct server_leaving {
    duration time { 0 };
    std::string server;
    auto operator<=>(const server_leaving&) const = default;
};

enum class node_state : std::uint8_t {
    up,
    stopping, ///< a planned stop began
    down,
    cutOff, ///< paused, or without a path to the other nodes or the store
};

/// The state of a node changed.
struct node_changed {
    duration time { 0 };
    std::string node;
    node_state state = node_state::up;
    std::string entry; ///< its caller address
    std::string server; ///< the backend server beside it
    auto operator<=>(const node_changed&) const = default;
};

/// A configuration was accepted.
struct config_accepted {
    duration time { 0 };
    revision number = 0;
    auto operator<=>(const config_accepted&) const = default;
};

/// A node put a configuration in force.
struct config_in_force {
    duration time { 0 };
    std::string node;
    revision number = 0;
    auto operator<=>(const config_in_force&) const = default;
};

/// The trigger of an overload began or ended.
struct trigger_changed {
    duration time { 0 };
    std::string trigger;
    bool ended = false;
    auto operator<=>(const trigger_changed&) const = default;
};

using history_event
    = std::variant<request_sent, request_answered, run_started, run_ended, attempt_sent, rate_admitted, team_limit,
        route_known, key_changed, server_leaving, node_changed, config_accepted, config_in_force, trigger_changed>;
using history = std::vector<history_event>;

duration timeOf(const history_event& event);
/// Sorts by time; events of the same time keep their order.
void sortByTime(history& events);
/// Appends the limits and routes of an accepted configuration.
void appendConfiguration(history& events, duration time, const configuration& config);

/// Returns one line of JSON without newline; the member "event" names the kind.
std::string printEvent(const history_event& event);
result<history_event> parseEvent(std::string_view line);
std::string printHistory(const history& events);
/// Parses all lines. A last line without newline that cannot be parsed is dropped: its writer was killed. The message
/// of an error starts with "FILE:LINE".
result<history> parseHistory(std::string_view text, std::string_view fileName);
/// Reads files, joins them and sorts by time.
result<history> readHistory(const std::vector<std::string>& fileNames);

/// The answer of the backend server stand-in. It names the request so that a caller can tell whose answer it is.
struct test_answer {
    std::string request;
    std::string requestId;
    std::string path;
    std::string server;
    std::string padding;
    auto operator<=>(const test_answer&) const = default;
};
/// Returns the answer as JSON with a checksum of all members.
std::string printAnswer(const test_answer& answer);
/// Fails with malformed when the text is cut or its checksum does not match.
result<test_answer> parseAnswer(std::string_view text);

/// One event or state that breaks an invariant.
struct violation {
    std::string invariant; ///< "I1" to "I12"
    duration time { 0 };
    std::string what;
    auto operator<=>(const violation&) const = default;
};
using violations = std::vector<violation>;

struct retry_bounds {
    std::size_t extraAttempts = 3; ///< for one root request and all calls below it
    double ratio = 0.1; ///< of extra attempts to calls, for one team and service
    double ratioAllowance = 10; ///< extra attempts that are allowed in any case
};
/// I1. Extra attempts are bounded for each root request, for each position in its tree of calls, and in proportion to
/// the calls of each team to each service.
violations checkRetries(const history& events, const retry_bounds& bounds = {});

struct shed_tolerance {
    duration transit { 0 }; ///< from a caller to the decision: starts so soon after sending do not count
    duration settle { 0 }; ///< starts so long after a refusal still count
    double allowedShare = 0; ///< of overload refusals that may be inverted, such as by probes
};
/// I2. While a request was refused for overload, no less important one began to run on the same service.
violations checkShedOrder(const history& events, const shed_tolerance& tolerance = {});

/// I3. Except on routes open to all, each run belongs to a request that came with a key of the team it ran for.
violations checkKeyOfTeam(const history& events);

/// I4. No run saw an Authorization header.
violations checkNoKeyAtServer(const history& events);

/// I5. No request that was sent later than the bound after its key was withdrawn has run.
violations checkWithdrawnKeys(const history& events, duration bound = std::chrono::seconds(5));

struct rate_tolerance {
    duration jitter { 0 }; ///< by which the time of an event can differ from the time of its admission
    duration propagation { std::chrono::seconds(6) }; ///< so long a lowered rate may remain in use
};
/// I6. In every window of time, each team got at most rate * window + burst. Uses rate_admitted events where a team has
/// any, else the first run of each of its requests.
violations checkRates(const history& events, const rate_tolerance& tolerance = {});

/// I7. Each successful answer is whole and names its own request, and no request is answered twice.
violations checkAnswers(const history& events);

/// I8. A request whose refusal says "not run" has no run, and every refusal states reason and run.
violations checkNotRun(const history& events);

/// I9. A call on a non-idempotent route, and all requests with one Idempotency-Key of a team, run at most once.
violations checkAtMostOnce(const history& events);

/// I10. No run begins on a backend server later than the bound after it announced that it leaves.
violations checkLeaving(const history& events, duration bound = std::chrono::seconds(5));

/// I11. From the start of a planned stop until the node is down, no request through the node and no run on its backend
/// server is interrupted.
violations checkPlannedStop(const history& events);

/// I12. An accepted configuration is in force within the bound on every node that is up, and no node goes back.
violations checkConfiguration(const history& events, duration bound = std::chrono::seconds(6));

struct check_bounds {
    retry_bounds retries;
    shed_tolerance shedOrder;
    duration keyWithdrawal { std::chrono::seconds(5) };
    rate_tolerance rates;
    duration leaving { std::chrono::seconds(5) };
    duration configurationSpread { std::chrono::seconds(6) };
};
/// Runs all twelve checkers.
violations checkAll(const history& events, const check_bounds& bounds = {});

/// A span of time; `to` is excluded.
struct time_window {
    duration from { 0 };
    duration to { 0 };
};

/// Returns whole answers per second that came inside the window and before the deadline of their request.
double goodput(const history& events, const time_window& window);

struct recovery_rule {
    duration bucket { std::chrono::seconds(1) };
    double share = 0.9; ///< of the goodput before the trigger
    std::size_t steadyBuckets = 3; ///< so many buckets in a row have to reach it
};
/// Returns the time from the end of the last trigger to the first of the steady buckets, or nothing if goodput does not
/// recover before the last full bucket of the history. The goodput before the trigger is that of all full buckets
/// before the first trigger; the history must hold at least one.
std::optional<duration> recoveryTime(const history& events, const recovery_rule& rule = {});

struct team_share {
    std::string team;
    std::size_t sent = 0;
    std::size_t whole = 0; ///< whole answers in time
    double fair = 0; ///< max-min fair share of all whole answers; demand counts up to the team's rate and burst
    double ratio = 1; ///< whole / fair
};
/// Returns the shares of all teams that sent keyed requests inside the window, the worst first.
std::vector<team_share> teamShares(const history& events, const time_window& window);

struct wrongful_count {
    std::size_t insideRate = 0; ///< requests that an exact token bucket admits
    std::size_t refused = 0; ///< of these, refused as over the rate
    double share() const
    {
        return insideRate == 0 ? 0 : static_cast<double>(refused) / static_cast<double>(insideRate);
    }
};
/// Counts requests that were refused as over the rate although the team was inside it. A wrongful refusal uses up its
/// token, so that a team which sends too much is credited only with what is missing from its rate.
wrongful_count wrongfulRefusals(const history& events);

struct worth_count {
    double sent = 0;
    double answered = 0;
    double share() const { return sent == 0 ? 1 : answered / sent; }
};
/// Sums the public worth of the requests sent inside the window and of those answered whole in time.
worth_count answeredWorth(const history& events, const time_window& window);

} // namespace limpet
