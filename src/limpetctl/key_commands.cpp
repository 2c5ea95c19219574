#include "ctl.h"

#include <algorithm>

namespace limpet {

namespace {

    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t keyIdBytes = 4;

    command_result refuse(const std::string& message)
    {
        return { exitRefused, "refused: " + message + "\n", { { "outcome", "refused" }, { "error", message } } };
    }

    std::vector<std::string> keysOf(const configuration& config, const std::string& team)
    {
        std::vector<std::string> ids;
        for (const key_rule& key : config.keys) {
            if (key.team == team) {
                ids.push_back(key.keyId);
            }
        }
        return ids;
    }

    void removeKey(configuration& config, const std::string& keyId)
    {
        std::erase_if(config.keys, [&](const key_rule& key) { return key.keyId == keyId; });
    }

    // Adds a key to the configuration and writes it. The key itself is only in the report. It is shown even if the
    // outcome is unknown, because nobody could find it out later.
    command_result addKey(const ctl_environment& environment, const stored_configuration& base, configuration next,
        const std::string& team, const change_author& author, std::string summary)
    {
        const std::string key = "lk_" + environment.randomHex(keyBytes);
        const std::string keyId = team + "-" + environment.randomHex(keyIdBytes);
        next.keys.push_back({ team, keyId, digestOf(key) });
        summary = "issues key " + keyId + " to team " + team + summary;
        command_result report
            = writeConfiguration(environment, base, std::move(next), base.document.rulesText, author, summary);
        if (report.exitCode != exitDone && report.exitCode != exitUnknown) {
            return report;
        }
        report.json["key_id"] = keyId;
        report.json["key"] = key;
        report.text += "key id: " + keyId + "\nkey: " + key + "\n";
        report.text += report.exitCode == exitDone ? "the key is shown only this once\n"
                                                   : "the key works only if the change was applied\n";
        return report;
    }

} // namespace

command_result issueKey(const ctl_environment& environment, const std::string& team, const change_author& author)
{
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error(), notApplied);
    }
    if (findTeam(current->config, team) == nullptr) {
        return refuse("team \"" + team + "\" has no rule; add it to the rules file and apply it first");
    }
    const std::size_t present = keysOf(current->config, team).size();
    if (present >= maxKeysOfTeam) {
        return refuse("team \"" + team + "\" has " + std::to_string(present)
            + " keys already; rotate, or withdraw one of them first");
    }
    return addKey(environment, *current, current->config, team, author, "");
}

command_result rotateKey(const ctl_environment& environment, const std::string& team, const change_author& author)
{
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error(), notApplied);
    }
    std::vector<std::string> ids = keysOf(current->config, team);
    if (ids.empty()) {
        return refuse("team \"" + team + "\" has no key to rotate; issue one");
    }
    ids.pop_back(); // the newest stays valid beside the new key
    configuration next = current->config;
    std::string summary;
    for (const std::string& id : ids) {
        removeKey(next, id);
        summary += "; withdraws key " + id;
    }
    return addKey(environment, *current, std::move(next), team, author, summary);
}

command_result withdrawKey(const ctl_environment& environment, const std::string& keyId, const change_author& author)
{
    const auto current = readConfiguration(environment);
    if (!current) {
        return failure(current.error(), notApplied);
    }
    configuration next = current->config;
    removeKey(next, keyId);
    if (next.keys.size() == current->config.keys.size()) {
        return refuse("key \"" + keyId + "\" does not exist; limpetctl show lists the keys");
    }
    return writeConfiguration(
        environment, *current, std::move(next), current->document.rulesText, author, "withdraws key " + keyId);
}

} // namespace limpet
