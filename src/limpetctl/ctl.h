#pragma once

#include <limpetcroft/fleet.h>
#include <limpetcroft/store.h>
#include <nlohmann/json.hpp>

namespace limpet {

/// Exit codes of limpetctl. docs/limpetctl.1 lists them.
enum exit_code : std::uint8_t {
    exitDone = 0,
    exitRefused = 1, ///< the input is invalid or breaks a rule
    exitUsage = 2,
    exitNotApplied = 3, ///< certainly no change, or nothing could be read
    exitUnknown = 4, ///< it may have been applied; the output names the command that finds out
    exitNotInForce = 5, ///< applied, but --wait ended before every node had it in force
};

/// What a command prints: the text, or the JSON with --json.
struct command_result {
    int exitCode = exitDone;
    std::string text;
    nlohmann::json json;
};

/// Answer of the admin address of a node.
struct node_answer {
    unsigned status = 0;
    std::string body;
};

/// Everything outside the process that the commands use.
struct ctl_environment {
    config_client store;
    /// Lets the store port work until the condition holds.
    std::function<void(const std::function<bool()>& condition)> wait;
    std::function<void(duration)> sleep;
    std::function<std::string()> utcNow;
    std::function<std::string(std::size_t bytes)> randomHex;
    std::function<result<node_answer>(const std::string& method, const socket_address& node, const std::string& path)>
        askNode;
};

/// Runs one operation of the store client to its end.
template <typename Value, typename Start> Value await(const ctl_environment& environment, Start start)
{
    std::optional<Value> outcome;
    start([&outcome](Value value) { outcome = std::move(value); });
    environment.wait([&outcome] { return outcome.has_value(); });
    return std::move(*outcome);
}

/// Who changes the configuration, and why.
struct change_author {
    std::string who;
    std::string why;
};

/// The configuration in the store: the document and what it encodes.
struct stored_configuration {
    config_document document;
    configuration config;
};
result<stored_configuration> readConfiguration(const ctl_environment& environment);

/// Writes the next configuration and reports what became of it. next.number is set here.
command_result writeConfiguration(const ctl_environment& environment, const stored_configuration& base,
    configuration next, const std::string& rulesText, const change_author& author, const std::string& summary);

/// Result of a command that failed with no effect. The phrase says what did not happen.
command_result failure(const error& cause, const std::string& phrase = "not done");
constexpr auto notApplied = "not applied";

command_result checkRules(const std::string& fileName, const std::string& text);
command_result diffWithCurrent(
    const ctl_environment& environment, const std::string& fileName, const std::string& text);

struct apply_request {
    std::string fileName;
    std::string text;
    change_author author;
    std::optional<revision> base; ///< refuses if the store holds another revision
};
command_result applyRules(const ctl_environment& environment, const apply_request& request);
/// Waits after a change until every node that the asked node knows has the revision in force.
command_result waitInForce(const ctl_environment& environment, const command_result& applied,
    const socket_address& node, std::chrono::seconds limit);
command_result showRules(const ctl_environment& environment, std::optional<revision> number);
command_result showHistory(const ctl_environment& environment, std::size_t count);
command_result revertRules(const ctl_environment& environment, revision number, const change_author& author);
command_result findOutcome(const ctl_environment& environment, revision number, const std::string& mark);

/// A team has at most two keys, which overlap during a rotation.
constexpr std::size_t maxKeysOfTeam = 2;
command_result issueKey(const ctl_environment& environment, const std::string& team, const change_author& author);
/// Adds a key and withdraws all but the newest of the others.
command_result rotateKey(const ctl_environment& environment, const std::string& team, const change_author& author);
command_result withdrawKey(const ctl_environment& environment, const std::string& keyId, const change_author& author);

command_result showStatus(const ctl_environment& environment, const socket_address& node);
command_result drainNode(const ctl_environment& environment, const socket_address& node);
command_result undrainNode(const ctl_environment& environment, const socket_address& node);
command_result explainRoute(const ctl_environment& environment, const socket_address& node, const std::string& method,
    const std::string& path, const std::string& team);

/// Prints JSON as lines of names and values; a list of objects becomes a table.
std::string printTable(const nlohmann::json& document);

} // namespace limpet
