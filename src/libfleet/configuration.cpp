// JSON text of configurations and of the differences between them. A list of rules is an array of one JSON array per
// rule, so that a delta is the set of removed rules and the set of added rules with their positions.

#include <limpetcroft/fleet.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace limpet {

namespace {

    using json = nlohmann::json;

    json ruleText(const team_rule& rule)
    {
        return json::array({ rule.team, rule.ratePerSecond, rule.burst, rule.requestedBy });
    }

    json ruleText(const route_rule& rule)
    {
        return json::array({ rule.method, rule.pathPrefix, rule.service, rule.importance, rule.deadline.count(),
            rule.idempotent, rule.openToAll, rule.publicWorth, rule.requestedBy });
    }

    json ruleText(const key_rule& rule) { return json::array({ rule.team, rule.keyId, toHex(rule.value) }); }

    // The parse functions throw json::exception or std::runtime_error; the public functions turn both into an error.
    void parseRule(const json& text, team_rule& rule)
    {
        rule.team = text.at(0).get<std::string>();
        rule.ratePerSecond = text.at(1).get<double>();
        rule.burst = text.at(2).get<double>();
        rule.requestedBy = text.at(3).get<std::string>();
    }

    void parseRule(const json& text, route_rule& rule)
    {
        rule.method = text.at(0).get<std::string>();
        rule.pathPrefix = text.at(1).get<std::string>();
        rule.service = text.at(2).get<std::string>();
        rule.importance = text.at(3).get<priority>();
        if (rule.importance > highestPriority)
            throw std::runtime_error("priority is above " + std::to_string(highestPriority));
        rule.deadline = duration(text.at(4).get<duration::rep>());
        rule.idempotent = text.at(5).get<bool>();
        rule.openToAll = text.at(6).get<bool>();
        rule.publicWorth = text.at(7).get<double>();
        rule.requestedBy = text.at(8).get<std::string>();
    }

    void parseRule(const json& text, key_rule& rule)
    {
        rule.team = text.at(0).get<std::string>();
        rule.keyId = text.at(1).get<std::string>();
        auto value = parseDigest(text.at(2).get<std::string>());
        if (!value)
            throw std::runtime_error(value.error().message);
        rule.value = *value;
    }

    template <typename Rule> json listText(const std::vector<Rule>& rules)
    {
        json list = json::array();
        for (const auto& rule : rules)
            list.push_back(ruleText(rule));
        return list;
    }

    template <typename Rule> std::vector<Rule> parseList(const json& list)
    {
        std::vector<Rule> rules;
        rules.reserve(list.size());
        for (const auto& text : list)
            parseRule(text, rules.emplace_back());
        return rules;
    }

    json configurationText(const configuration& config)
    {
        return { { "revision", config.number }, { "teams", listText(config.teams) },
            { "routes", listText(config.routes) }, { "keys", listText(config.keys) } };
    }

    std::uint64_t checksumOf(const json& text)
    {
        auto bytes = text.dump();
        return XXH3_64bits(bytes.data(), bytes.size());
    }

    std::string checksumText(std::uint64_t value) { return toString(node_id { value }); }

    // Removed rules are named by position in the old list, in increasing order. Added rules carry their position in
    // the new list. Rules that occur in both lists in the same order are not mentioned.
    template <typename Rule> json listDelta(const std::vector<Rule>& before, const std::vector<Rule>& after)
    {
        json removed = json::array();
        json added = json::array();
        std::map<Rule, std::vector<std::size_t>> places;
        for (std::size_t index = before.size(); index-- > 0;)
            places[before[index]].push_back(index);
        std::vector<bool> kept(before.size(), false);
        std::size_t next = 0;
        for (std::size_t index = 0; index < after.size(); ++index) {
            auto found = places.find(after[index]);
            while (found != places.end() && !found->second.empty() && found->second.back() < next)
                found->second.pop_back();
            if (found == places.end() || found->second.empty()) {
                added.push_back(json::array({ index, ruleText(after[index]) }));
                continue;
            }
            next = found->second.back() + 1;
            kept[found->second.back()] = true;
            found->second.pop_back();
        }
        for (std::size_t index = 0; index < before.size(); ++index)
            if (!kept[index])
                removed.push_back(index);
        return { { "removed", removed }, { "added", added } };
    }

    template <typename Rule> std::vector<Rule> applyList(const std::vector<Rule>& before, const json& delta)
    {
        std::vector<bool> drop(before.size(), false);
        for (const auto& index : delta.at("removed"))
            drop.at(index.get<std::size_t>()) = true;
        std::vector<Rule> rules;
        std::size_t next = 0;
        auto keepUntil = [&](std::size_t size) {
            for (; next < before.size() && rules.size() < size; ++next)
                if (!drop[next])
                    rules.push_back(before[next]);
        };
        for (const auto& entry : delta.at("added")) {
            keepUntil(entry.at(0).get<std::size_t>());
            parseRule(entry.at(1), rules.emplace_back());
        }
        keepUntil(std::numeric_limits<std::size_t>::max());
        return rules;
    }

} // namespace

std::string deltaKey(revision number)
{
    auto digits = std::to_string(number);
    return std::string(deltaPrefix) + std::string(20 - digits.size(), '0') + digits;
}

std::string encodeConfiguration(const configuration& config)
{
    json text = configurationText(config);
    text["checksum"] = checksumText(checksumOf(text));
    return text.dump();
}

std::uint64_t checksum(const configuration& config) { return checksumOf(configurationText(config)); }

result<configuration> parseConfiguration(std::string_view text)
{
    try {
        auto document = json::parse(text);
        configuration config;
        config.number = document.at("revision").get<revision>();
        config.teams = parseList<team_rule>(document.at("teams"));
        config.routes = parseList<route_rule>(document.at("routes"));
        config.keys = parseList<key_rule>(document.at("keys"));
        if (document.at("checksum").get<std::string>() != checksumText(checksum(config)))
            return fail(error_kind::malformed,
                "configuration " + std::to_string(config.number) + " has a wrong checksum; write it again");
        return config;
    } catch (const std::exception& problem) {
        return fail(
            error_kind::malformed, std::string("configuration is not valid; write it again: ") + problem.what());
    }
}

std::string encodeDelta(const configuration& before, const configuration& after)
{
    json text { { "from", before.number }, { "to", after.number }, { "teams", listDelta(before.teams, after.teams) },
        { "routes", listDelta(before.routes, after.routes) }, { "keys", listDelta(before.keys, after.keys) },
        { "checksum", checksumText(checksum(after)) } };
    return text.dump();
}

result<configuration> applyDelta(const configuration& before, std::string_view delta)
{
    try {
        auto text = json::parse(delta);
        if (text.at("from").get<revision>() != before.number)
            return fail(error_kind::conflict,
                "delta does not start at revision " + std::to_string(before.number) + "; read the whole configuration");
        configuration after;
        after.number = text.at("to").get<revision>();
        if (after.number <= before.number)
            return fail(error_kind::malformed,
                "delta leads back to revision " + std::to_string(after.number) + "; write it again");
        after.teams = applyList(before.teams, text.at("teams"));
        after.routes = applyList(before.routes, text.at("routes"));
        after.keys = applyList(before.keys, text.at("keys"));
        if (text.at("checksum").get<std::string>() != checksumText(checksum(after)))
            return fail(error_kind::malformed,
                "delta to revision " + std::to_string(after.number)
                    + " gives a wrong checksum; read the whole configuration");
        return after;
    } catch (const std::exception& problem) {
        return fail(
            error_kind::malformed, std::string("delta is not valid; read the whole configuration: ") + problem.what());
    }
}

} // namespace limpet
