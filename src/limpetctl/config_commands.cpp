#include "ctl.h"

#include <limpetcroft/rules.h>

namespace limpet {

namespace {

    command_result invalidRules(const text_problems& problems)
    {
        command_result report { exitRefused, {},
            { { "outcome", "refused" }, { "problems", nlohmann::json::array() } } };
        for (const text_problem& problem : problems) {
            report.text += toString(problem) + "\n";
            report.json["problems"].push_back({ { "file", problem.file }, { "line", problem.line },
                { "column", problem.column }, { "found", problem.found }, { "remedy", problem.remedy } });
        }
        return report;
    }

    // Keys of a team that has no rule any more are withdrawn with it. Keys never come from a rules file, so neither
    // apply nor revert brings a withdrawn key back.
    configuration withRules(const configuration& base, const rule_set& rules, std::string& summary)
    {
        configuration next { .teams = rules.teams, .routes = rules.routes };
        for (const key_rule& key : base.keys) {
            if (findTeam(next, key.team) != nullptr) {
                next.keys.push_back(key);
            } else {
                summary += (summary.empty() ? "" : "; ");
                summary += "withdraws key " + key.keyId + " with its team " + key.team;
            }
        }
        return next;
    }

    command_result notBase(revision expected, revision found)
    {
        return { exitNotApplied,
            "not applied: the store holds revision " + std::to_string(found) + ", not " + std::to_string(expected)
                + "; see limpetctl history, then apply with --base=" + std::to_string(found) + "\n",
            { { "outcome", "not applied" }, { "revision", found } } };
    }

    command_result unchanged(revision number)
    {
        return { exitDone, "unchanged: revision " + std::to_string(number) + " already holds this text\n",
            { { "outcome", "unchanged" }, { "revision", number } } };
    }

} // namespace

command_result checkRules(const std::string& fileName, const std::string& text)
{
    const auto rules = parseRules(text, fileName);
    if (!rules) {
        return invalidRules(rules.error());
    }
    return { exitDone,
        fileName + ": valid, " + std::to_string(rules->teams.size()) + " teams, " + std::to_string(rules->routes.size())
            + " routes\n",
        { { "outcome", "valid" }, { "teams", rules->teams.size() }, { "routes", rules->routes.size() } } };
}

command_result diffWithCurrent(const ctl_environment& environment, const std::string& fileName, const std::string& text)
{
    const auto rules = parseRules(text, fileName);
    if (!rules) {
        return invalidRules(rules.error());
    }
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error());
    }
    const rule_set stored { current->config.teams, current->config.routes };
    command_result report { exitDone, "against revision " + std::to_string(current->config.number) + "\n",
        { { "revision", current->config.number }, { "removed", nlohmann::json::array() },
            { "added", nlohmann::json::array() } } };
    for (const rule_change& each : diffRules(stored, *rules)) {
        const bool isAdded = each.kind == rule_change::change_kind::added;
        report.text += (isAdded ? "+ " : "- ") + each.line + "\n";
        report.json[isAdded ? "added" : "removed"].push_back(each.line);
    }
    return report;
}

command_result applyRules(const ctl_environment& environment, const apply_request& request)
{
    const auto rules = parseRules(request.text, request.fileName);
    if (!rules) {
        return invalidRules(rules.error());
    }
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error(), notApplied);
    }
    if (request.base && *request.base != current->config.number) {
        return notBase(*request.base, current->config.number);
    }
    if (current->config.number != 0 && current->document.rulesText == request.text) {
        return unchanged(current->config.number);
    }
    std::string summary;
    const configuration next = withRules(current->config, *rules, summary);
    return writeConfiguration(environment, *current, next, request.text, request.author, summary);
}

command_result showRules(const ctl_environment& environment, std::optional<revision> number)
{
    if (!number) {
        const auto current = readConfiguration(environment);
        if (!current) {
            return failure(current.error());
        }
        nlohmann::json keys = nlohmann::json::array();
        std::string text = "# revision " + std::to_string(current->config.number) + "\n" + current->document.rulesText;
        for (const key_rule& key : current->config.keys) {
            keys.push_back({ { "team", key.team }, { "key_id", key.keyId } });
            text += (text.ends_with('\n') ? "# key " : "\n# key ") + key.keyId + " of team " + key.team + "\n";
        }
        return { exitDone, text,
            { { "revision", current->config.number }, { "rules", current->document.rulesText }, { "keys", keys } } };
    }
    const auto text
        = await<result<std::string>>(environment, [&](auto done) { environment.store.rulesAt(*number, done); });
    if (!text) {
        return failure(text.error());
    }
    return { exitDone, "# revision " + std::to_string(*number) + "\n" + *text,
        { { "revision", *number }, { "rules", *text } } };
}

command_result showHistory(const ctl_environment& environment, std::size_t count)
{
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error());
    }
    const auto entries = await<result<std::vector<audit_entry>>>(
        environment, [&](auto done) { environment.store.history(current->config.number, count, done); });
    if (!entries) {
        return failure(entries.error());
    }
    command_result report { exitDone, {}, nlohmann::json::array() };
    for (const audit_entry& entry : *entries) {
        report.json.push_back(nlohmann::json::parse(encodeAuditEntry(entry)));
        report.text += std::to_string(entry.number) + " (after " + std::to_string(entry.previous) + ")  " + entry.when
            + "  " + entry.who + "  " + entry.outcome + "\n";
        for (const std::string& note : { entry.why, entry.summary }) {
            report.text += note.empty() ? "" : "    " + note + "\n";
        }
        for (const line_hunk& hunk : entry.difference) {
            for (const std::string& line : hunk.removed) {
                report.text += "    - " + line + "\n";
            }
            for (const std::string& line : hunk.added) {
                report.text += "    + " + line + "\n";
            }
        }
    }
    return report;
}

command_result revertRules(const ctl_environment& environment, revision number, const change_author& author)
{
    const auto text
        = await<result<std::string>>(environment, [&](auto done) { environment.store.rulesAt(number, done); });
    if (!text) {
        return failure(text.error(), notApplied);
    }
    const change_author reverting { author.who,
        "revert to revision " + std::to_string(number) + (author.why.empty() ? "" : ": " + author.why) };
    return applyRules(environment, { "revision " + std::to_string(number), *text, reverting, std::nullopt });
}

command_result findOutcome(const ctl_environment& environment, revision number, const std::string& mark)
{
    const auto outcome
        = await<config_outcome>(environment, [&](auto done) { environment.store.outcomeOf(number, mark, done); });
    const std::string text = std::to_string(number);
    if (std::holds_alternative<config_applied>(outcome)) {
        return { exitDone, "applied: the write became revision " + text + "\n",
            { { "outcome", "applied" }, { "revision", number } } };
    }
    if (std::holds_alternative<config_conflict>(outcome)) {
        return { exitNotApplied, "not applied: revision " + text + " is another write; this one cannot take effect\n",
            { { "outcome", "not applied" }, { "revision", number } } };
    }
    const error& cause = std::get<config_unknown>(outcome).cause;
    return { exitUnknown,
        "not known: " + cause.message + "; run this command again. Once another change has become revision " + text
            + ", this one cannot take effect any more\n",
        { { "outcome", "unknown" }, { "revision", number }, { "error", cause.message } } };
}

command_result waitInForce(const ctl_environment& environment, const command_result& applied,
    const socket_address& node, std::chrono::seconds limit)
{
    const revision number = applied.json.value("revision", revision(0));
    command_result report = applied;
    constexpr auto pause = std::chrono::milliseconds(500);
    duration waited { 0 };
    while (true) {
        const command_result status = showStatus(environment, node);
        const nlohmann::json spread = status.json.value("configuration", nlohmann::json::object());
        const auto members = spread.value("members", std::uint32_t(0));
        const auto inForce = spread.value("in_force", std::uint32_t(0));
        const bool isKnown = status.exitCode == exitDone && spread.value("revision", revision(0)) >= number;
        if (isKnown && members > 0 && inForce == members) {
            report.text += "in force on " + std::to_string(inForce) + " of " + std::to_string(members) + " nodes\n";
            report.json["configuration"] = spread;
            return report;
        }
        if (waited >= limit) {
            report.exitCode = exitNotInForce;
            report.text += isKnown
                ? "in force on " + std::to_string(inForce) + " of " + std::to_string(members) + " nodes; lagging:"
                : "not known where it is in force: " + status.text;
            for (const auto& lagging : isKnown ? spread.value("lagging", nlohmann::json::array()) : nlohmann::json()) {
                report.text += " " + (lagging.is_string() ? lagging.get<std::string>() : lagging.dump());
            }
            report.text += report.text.ends_with('\n') ? "" : "\n";
            report.json["configuration"] = spread;
            return report;
        }
        environment.sleep(pause);
        waited += pause;
    }
}

} // namespace limpet
