#include "ctl.h"

#include <limpetcroft/rules.h>

namespace limpet {

namespace {

    // With the pauses between them the attempts span about 5 s, longer than a change of the store's leader takes.
    constexpr int settleAttempts = 5;
    constexpr auto settlePause = std::chrono::seconds(1);
    constexpr std::size_t markBytes = 16;
    constexpr std::size_t shownChanges = 10;

    struct outcome_report {
        const ctl_environment& environment;
        const config_change& change;
        revision number = 0;

        command_result operator()(const config_applied& applied) const
        {
            return { exitDone, "applied: revision " + std::to_string(applied.number) + " is accepted\n",
                { { "outcome", "applied" }, { "revision", applied.number } } };
        }
        command_result operator()(const config_conflict& conflict) const;
        command_result operator()(const config_not_applied& unchanged) const
        {
            return failure(unchanged.cause, notApplied);
        }
        command_result operator()(const config_unknown& unknown) const
        {
            const std::string command = "limpetctl outcome " + std::to_string(number) + " " + change.mark;
            return { exitUnknown,
                "not known whether applied: " + unknown.cause.message + "\nto find out, run: " + command + "\n",
                { { "outcome", "unknown" }, { "revision", number }, { "mark", change.mark }, { "command", command },
                    { "error", unknown.cause.message } } };
        }
    };

    // Tells the operator who lost the race what the others changed.
    command_result outcome_report::operator()(const config_conflict& conflict) const
    {
        command_result report { exitNotApplied, {},
            { { "outcome", "not applied" }, { "changes", nlohmann::json::array() } } };
        const revision current = conflict.current.number;
        report.json["revision"] = current;
        report.text = "not applied: the configuration was changed first; it is now at revision "
            + std::to_string(current) + "\n";
        const std::size_t missed = current >= number ? current - change.base.number : 0;
        const auto entries = await<result<std::vector<audit_entry>>>(environment,
            [&](auto done) { environment.store.history(current, std::min<std::size_t>(missed, shownChanges), done); });
        for (const audit_entry& entry : entries.value_or(std::vector<audit_entry> {})) {
            report.json["changes"].push_back(nlohmann::json::parse(encodeAuditEntry(entry)));
            report.text += "  revision " + std::to_string(entry.number) + " by " + entry.who + " at " + entry.when
                + ": " + (entry.summary.empty() ? entry.why : entry.summary) + "\n";
        }
        const auto before = parseRules(change.base.rulesText, "base");
        const auto after = parseRules(conflict.current.rulesText, "current");
        if (before && after) {
            for (const rule_change& each : diffRules(*before, *after)) {
                report.text += (each.kind == rule_change::change_kind::added ? "  + " : "  - ") + each.line + "\n";
            }
        }
        report.text += "run the command again after looking at limpetctl show\n";
        return report;
    }

} // namespace

command_result failure(const error& cause, const std::string& phrase)
{
    // What cannot be reached is told apart from what is wrong, because only the first may succeed when repeated.
    const bool isOutside = cause.kind == error_kind::unavailable || cause.kind == error_kind::timeout
        || cause.kind == error_kind::unknownOutcome;
    const std::string outcome = isOutside ? phrase : "refused";
    return { isOutside ? exitNotApplied : exitRefused, outcome + ": " + cause.message + "\n",
        { { "outcome", outcome }, { "kind", name(cause.kind) }, { "error", cause.message } } };
}

result<stored_configuration> readConfiguration(const ctl_environment& environment)
{
    auto document = await<result<config_document>>(environment, [&](auto done) { environment.store.read(done); });
    if (!document) {
        return tl::unexpected(document.error());
    }
    stored_configuration stored { std::move(*document), {} };
    if (stored.document.text.empty()) {
        return stored;
    }
    auto config = parseConfiguration(stored.document.text);
    if (!config) {
        return tl::unexpected(config.error());
    }
    stored.config = std::move(*config);
    return stored;
}

command_result writeConfiguration(const ctl_environment& environment, const stored_configuration& base,
    configuration next, const std::string& rulesText, const change_author& author, const std::string& summary)
{
    next.number = base.config.number + 1;
    const config_change change {
        .base = base.document,
        .configuration = encodeConfiguration(next),
        .delta = encodeDelta(base.config, next),
        .rulesText = rulesText,
        .mark = environment.randomHex(markBytes),
        .who = author.who,
        .when = environment.utcNow(),
        .why = author.why,
        .summary = summary,
    };
    auto outcome = await<config_outcome>(environment, [&](auto done) { environment.store.write(change, done); });
    for (int attempt = 0; attempt < settleAttempts && std::holds_alternative<config_unknown>(outcome); ++attempt) {
        environment.sleep(settlePause);
        outcome = await<config_outcome>(environment, [&](auto done) { environment.store.settle(change, done); });
    }
    return std::visit(outcome_report { environment, change, next.number }, outcome);
}

} // namespace limpet
