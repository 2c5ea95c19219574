#include <algorithm>
#include <fstream>
#include <limpetcroft/check.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <xxhash.h>

namespace nlohmann {

// NOLINTBEGIN(readability-identifier-naming): names required by the library

template <> struct adl_serializer<limpet::duration> {
    static void to_json(json& target, const limpet::duration& value) { target = value.count(); }
    static void from_json(const json& source, limpet::duration& value)
    {
        value = limpet::duration(source.get<std::int64_t>());
    }
};

template <> struct adl_serializer<std::optional<limpet::execution_state>> {
    static void to_json(json& target, const std::optional<limpet::execution_state>& value)
    {
        target = !value ? "" : *value == limpet::execution_state::notExecuted ? "no" : "unknown";
    }
    static void from_json(const json& source, std::optional<limpet::execution_state>& value)
    {
        const auto& text = source.get_ref<const std::string&>();
        if (text == "no")
            value = limpet::execution_state::notExecuted;
        else if (text == "unknown")
            value = limpet::execution_state::unknown;
        else if (!text.empty())
            throw std::out_of_range("the state of a run is no or unknown");
    }
};

// NOLINTEND(readability-identifier-naming)

} // namespace nlohmann

namespace limpet {
namespace {

    using nlohmann::json;

    template <typename Choice, std::size_t Count>
    void readChoice(const json& source, Choice& value, const std::array<std::string_view, Count>& names)
    {
        const auto found = std::ranges::find(names, source.get_ref<const std::string&>());
        if (found == names.end())
            throw std::out_of_range("unknown value " + source.dump());
        value = static_cast<Choice>(found - names.begin());
    }

    constexpr std::array<std::string_view, 4> outcomeNames { "finished", "failed", "cancelled", "expired" };
    constexpr std::array<std::string_view, 4> nodeStateNames { "up", "stopping", "down", "cut-off" };

} // namespace

void to_json(json& target, run_outcome value) { target = outcomeNames.at(static_cast<std::size_t>(value)); }
void from_json(const json& source, run_outcome& value) { readChoice(source, value, outcomeNames); }
void to_json(json& target, node_state value) { target = nodeStateNames.at(static_cast<std::size_t>(value)); }
void from_json(const json& source, node_state& value) { readChoice(source, value, nodeStateNames); }

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    request_sent, time, request, entry, team, keyId, method, path, deadline, idempotencyKey, repeatOf)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_answered, time, request, status, failure, run, reason,
    retryAfter, latency, answeredRequest, checksumValid, bytes, server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    run_started, time, server, service, request, requestId, attemptId, method, path, authorizationSeen, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(run_ended, time, server, request, attemptId, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt_sent, time, node, rootId, requestId, attemptId, service, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rate_admitted, time, node, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(team_limit, time, team, ratePerSecond, burst)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    route_known, time, method, pathPrefix, service, importance, idempotent, openToAll, publicWorth)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(key_changed, time, team, keyId, withdrawn)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(server_leaving, time, server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(node_changed, time, node, state, entry, server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(config_accepted, time, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(config_in_force, time, node, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(trigger_changed, time, trigger, ended)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(test_answer, request, requestId, path, server, padding)

namespace {

    // In the order of history_event.
    constexpr std::array<std::string_view, std::variant_size_v<history_event>> eventNames { "request-sent",
        "request-answered", "run-started", "run-ended", "attempt-sent", "rate-admitted", "team-limit", "route-known",
        "key-changed", "server-leaving", "node-changed", "config-accepted", "config-in-force", "trigger-changed" };

    template <std::size_t Index = 0> history_event readEvent(const json& source, std::size_t index)
    {
        if constexpr (Index < std::variant_size_v<history_event>) {
            if (index == Index)
                return source.get<std::variant_alternative_t<Index, history_event>>();
            return readEvent<Index + 1>(source, index);
        }
        throw std::out_of_range("no such event");
    }

    std::string printJson(const json& value)
    {
        // Paths and ids come from the network and need not be UTF-8.
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    std::string checksumOf(const test_answer& answer)
    {
        const std::string text = printJson(answer);
        return toString(node_id { XXH3_64bits(text.data(), text.size()) });
    }

} // namespace

duration timeOf(const history_event& event)
{
    return std::visit([](const auto& value) { return value.time; }, event);
}

void sortByTime(history& events)
{
    std::ranges::stable_sort(events, {}, [](const history_event& event) { return timeOf(event); });
}

void appendConfiguration(history& events, duration time, const configuration& config)
{
    for (const auto& rule : config.teams)
        events.emplace_back(team_limit { time, rule.team, rule.ratePerSecond, rule.burst });
    for (const auto& rule : config.routes)
        events.emplace_back(route_known { time, rule.method, rule.pathPrefix, rule.service, rule.importance,
            rule.idempotent, rule.openToAll, rule.publicWorth });
}

std::string printEvent(const history_event& event)
{
    json line = std::visit([](const auto& value) { return json(value); }, event);
    line["event"] = eventNames.at(event.index());
    return printJson(line);
}

result<history_event> parseEvent(std::string_view line)
{
    try {
        const json source = json::parse(line);
        const auto& eventName = source.at("event").get_ref<const std::string&>();
        const auto found = std::ranges::find(eventNames, eventName);
        if (found == eventNames.end())
            return fail(error_kind::malformed, "event " + json(eventName).dump() + " is not known; see check.h");
        return readEvent(source, static_cast<std::size_t>(found - eventNames.begin()));
    } catch (const std::exception& failure) {
        return fail(error_kind::malformed, std::string("the line is not an event: ") + failure.what());
    }
}

std::string printHistory(const history& events)
{
    std::string text;
    for (const auto& event : events)
        text.append(printEvent(event)).append("\n");
    return text;
}

result<history> parseHistory(std::string_view text, std::string_view fileName)
{
    history events;
    std::size_t line = 0;
    while (!text.empty()) {
        ++line;
        const auto end = std::min(text.find('\n'), text.size());
        auto event = parseEvent(text.substr(0, end));
        if (event)
            events.push_back(std::move(*event));
        else if (end != text.size())
            return fail(
                event.error().kind, std::string(fileName) + ":" + std::to_string(line) + ": " + event.error().message);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return events;
}

result<history> readHistory(const std::vector<std::string>& fileNames)
{
    history all;
    for (const auto& fileName : fileNames) {
        std::ifstream file(fileName, std::ios::binary);
        if (!file)
            return fail(error_kind::notFound, fileName + " cannot be opened; check the path");
        std::stringstream text;
        text << file.rdbuf();
        auto events = parseHistory(text.str(), fileName);
        if (!events)
            return events;
        std::ranges::move(*events, std::back_inserter(all));
    }
    sortByTime(all);
    return all;
}

std::string printAnswer(const test_answer& answer)
{
    json text = answer;
    text["checksum"] = checksumOf(answer);
    return printJson(text);
}

result<test_answer> parseAnswer(std::string_view text)
{
    try {
        const json source = json::parse(text);
        auto answer = source.get<test_answer>();
        if (source.at("checksum") != checksumOf(answer))
            return fail(error_kind::malformed, "the checksum of the answer does not match; it is cut or mixed");
        return answer;
    } catch (const std::exception& failure) {
        return fail(error_kind::malformed, std::string("the text is not an answer: ") + failure.what());
    }
}

} // namespace limpet
