#pragma once

/// \file rules.h
/// The operators' rules file and the settings of a daemon: parse, check, print and compare.
///
/// A rules file has one rule per line. Each rule ends with a comment that names who asked for it:
///
///     team planners rate 200/s burst 400  # requested by Aino Salo
///     route GET /stock/ service stock priority 5 deadline 800ms  # requested by Aino Salo
///     route POST /orders service orders priority 8 deadline 3s non-idempotent worth 3  # requested by Aino Salo
///
/// Blank lines and lines that only hold a comment are ignored. The words after the path of a route may be in any order.

#include <limpetcroft/core.h>

namespace limpet {

/// One fault found in a rules file or a settings file.
struct text_problem {
    error_kind kind = error_kind::malformed;
    std::string file;
    std::size_t line = 0; ///< from 1; 0 when the place is given by key
    std::size_t column = 0; ///< from 1, in bytes; 0 when the place is given by key
    std::string key; ///< JSON pointer of a setting, such as "/limits/max_body_bytes"; empty in rules files
    std::string found; ///< what is wrong
    std::string remedy; ///< what to write instead
    auto operator<=>(const text_problem&) const = default;
};
using text_problems = std::vector<text_problem>;

/// Returns "FILE:LINE:COLUMN: FOUND; REMEDY", with the key in place of line and column where only the key is known.
std::string toString(const text_problem& problem);
/// Joins all problems, one per line, into one error.
error toError(const text_problems& problems);

/// The rules of one file, in the order in which they stand there.
struct rule_set {
    std::vector<team_rule> teams;
    std::vector<route_rule> routes;
    auto operator<=>(const rule_set&) const = default;
};

/// Bounds of a rules file. The text must fit in one value of the store (1 MB) together with the key digests.
constexpr std::size_t maxRulesBytes = 512UL * 1024;
constexpr std::size_t maxRulesLineBytes = 1024;
constexpr std::size_t maxTeams = 2000;
constexpr std::size_t maxRoutes = 4000;
constexpr std::size_t maxNameBytes = 64; ///< of teams, services, nodes, regions
constexpr std::size_t maxPathBytes = 512;
constexpr std::size_t maxRequesterBytes = 128;
constexpr double maxRatePerSecond = 1e7; ///< about ten times the calls of the whole target fleet
constexpr double maxBurst = 1e8;
constexpr double maxPublicWorth = 1e6;
constexpr duration maxDeadline = std::chrono::minutes(10);

/// Parses the text of a rules file. On failure returns every problem in the order of the lines.
tl::expected<rule_set, text_problems> parseRules(std::string_view text, std::string_view fileName);

/// Returns the canonical text: teams, then routes, one per line. parseRules(printRules(x)) == x for every valid x.
std::string printRules(const rule_set& rules);

/// One line that stands in only one of two rule sets.
struct rule_change {
    enum class change_kind : std::uint8_t { removed, added };
    change_kind kind = change_kind::added;
    std::string line; ///< canonical, without newline
    auto operator<=>(const rule_change&) const = default;
};

/// Returns the lines that were removed, then the lines that were added. The order of rules has no meaning and is not
/// compared.
std::vector<rule_change> diffRules(const rule_set& before, const rule_set& after);

/// Parses a positive whole number with unit us, ms, s or min.
result<duration> parseDuration(std::string_view text);
/// Prints a duration in the largest unit that holds it exactly.
std::string printDuration(duration value);

/// Parses "IP:PORT" with a numeric address; IPv6 as "[IP]:PORT". The port is 1 to 65535.
result<socket_address> parseAddress(std::string_view text);
/// Prints an address in the form that parseAddress reads.
std::string printAddress(const socket_address& address);

/// A node that is asked first when joining.
struct seed_node {
    std::string nodeName;
    socket_address linkAddress;
    auto operator<=>(const seed_node&) const = default;
};

struct node_limits {
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxConnections = 1000;
    auto operator<=>(const node_limits&) const = default;
};

enum class admission_choice : std::uint8_t { adaptive, fixed, unlimited };
enum class retry_choice : std::uint8_t { budget, none };
enum class routing_selection : std::uint8_t { balanced, random, roundRobin };
enum class rates_choice : std::uint8_t { shared, fixedShares };

/// Which policy runs. The first value of each is the chosen one, the others are baselines.
struct policy_choices {
    admission_choice admission = admission_choice::adaptive;
    std::size_t fixedLimit = 0; ///< concurrent requests; only for admission_choice::fixed
    retry_choice retry = retry_choice::budget;
    routing_selection routing = routing_selection::balanced;
    rates_choice rates = rates_choice::shared;
    auto operator<=>(const policy_choices&) const = default;
};

/// Settings of one daemon.
struct node_settings {
    std::string nodeName; ///< unique in the fleet
    std::string region;
    std::string availabilityZone;
    std::vector<std::string> regions; ///< all regions of the fleet, this one included
    std::string service; ///< of the backend server beside this node
    socket_address callerAddress; ///< callers connect here
    socket_address backendAddress; ///< the own backend server announces itself and makes its calls here
    socket_address linkAddress; ///< other nodes connect here
    socket_address adminAddress; ///< operators and metrics
    socket_address storeAddress;
    std::vector<seed_node> seeds;
    std::vector<fleet_key> fleetKeys; ///< all are accepted, the first is used for new links
    node_limits limits;
    duration keyConfirmationBound = std::chrono::seconds(4);
    duration heartbeatInterval = std::chrono::seconds(1);
    duration linkTimeout = std::chrono::seconds(3); ///< a link without bytes for so long is replaced
    duration drainTime = std::chrono::seconds(30); ///< a planned stop waits at most so long for calls in flight
    policy_choices policy;
    auto operator<=>(const node_settings&) const = default;
};

constexpr std::size_t maxSettingsBytes = 256UL * 1024;

/// Parses and checks the settings of a daemon: JSON with comments. On failure returns every problem found. Messages
/// never contain a secret.
tl::expected<node_settings, text_problems> parseSettings(std::string_view text, std::string_view fileName);

} // namespace limpet
