#include "plan.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    using nlohmann::json;

    constexpr double maxRate = 100'000;
    constexpr duration maxLength = std::chrono::minutes(30);

    struct plan_error : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    void refuseUnknown(const json& object, const std::string& where, const std::vector<std::string_view>& known)
    {
        for (const auto& item : object.items()) {
            if (std::ranges::find(known, item.key()) != known.end())
                continue;
            std::string text = where + ": \"" + item.key() + "\" is not known; use one of";
            for (const auto name : known)
                text.append(" ").append(name);
            throw plan_error(text);
        }
    }

    duration timeOf(const json& object, const char* key, duration otherwise)
    {
        if (!object.contains(key))
            return otherwise;
        const auto text = object.at(key).get<std::string>();
        if (text == "0s")
            return duration(0);
        const auto time = parseDuration(text);
        if (!time)
            throw plan_error(std::string(key) + ": " + time.error().message);
        return *time;
    }

    socket_address parseTarget(const std::string& text)
    {
        const auto address = parseAddress(text);
        if (!address)
            throw plan_error(address.error().message);
        // Generated load must never leave the machine.
        if (!address->ip.starts_with("127."))
            throw plan_error(text + " is not a loopback address; use one in 127.0.0.0/8");
        return *address;
    }

    std::vector<rate_step> parseRate(const json& value)
    {
        std::vector<rate_step> steps;
        if (value.is_number())
            steps.push_back({ duration(0), value.get<double>() });
        else
            for (const auto& step : value) {
                refuseUnknown(step, "rate", { "from", "rate" });
                steps.push_back({ timeOf(step, "from", duration(0)), step.at("rate").get<double>() });
            }
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (steps[index].perSecond < 0 || steps[index].perSecond > maxRate)
                throw plan_error("a rate is a number of requests per second from 0 to 100000");
            if (index > 0 && steps[index].from <= steps[index - 1].from)
                throw plan_error("the steps of a rate are in the order of their times");
        }
        if (steps.empty())
            throw plan_error("a rate has at least one step");
        return steps;
    }

    repeat_kind parseRepeat(const std::string& text)
    {
        if (text == "none")
            return repeat_kind::none;
        if (text == "at-once")
            return repeat_kind::atOnce;
        if (text == "retry-after")
            return repeat_kind::retryAfter;
        throw plan_error("repeat \"" + text + "\" is not known; use none, at-once or retry-after");
    }

    load_stream parseStream(const json& value, std::size_t targets)
    {
        refuseUnknown(value, "stream",
            { "name", "team", "key", "key_id", "method", "path", "variety", "rate", "priority", "deadline", "patience",
                "repeat", "repeats", "idempotent", "idempotency_key", "body_bytes", "targets" });
        load_stream stream;
        stream.name = value.at("name").get<std::string>();
        stream.team = value.value("team", "");
        stream.key = value.value("key", "");
        stream.keyId = value.value("key_id", "");
        stream.method = value.value("method", "GET");
        stream.path = value.at("path").get<std::string>();
        stream.variety = std::max<std::uint64_t>(1, value.value("variety", stream.variety));
        stream.rate = parseRate(value.at("rate"));
        stream.importance = value.value("priority", lowestPriority);
        stream.deadline = timeOf(value, "deadline", std::chrono::seconds(1));
        // By default later than the deadline, so that a refusal at the deadline still arrives.
        stream.patience = timeOf(value, "patience", stream.deadline + std::chrono::seconds(1));
        stream.repeat = parseRepeat(value.value("repeat", "none"));
        stream.repeats = std::min<std::size_t>(100, value.value("repeats", std::size_t { 0 }));
        stream.idempotent = value.value("idempotent", stream.method == "GET");
        stream.idempotencyKey = value.value("idempotency_key", false);
        stream.bodyBytes = std::min<std::size_t>(64UL * 1024 * 1024, value.value("body_bytes", std::size_t { 0 }));
        stream.targets = value.value("targets", std::vector<std::size_t>());
        if (!stream.path.starts_with('/'))
            throw plan_error("path \"" + stream.path + "\" does not start with '/'");
        if (std::ranges::any_of(stream.targets, [&](std::size_t index) { return index >= targets; }))
            throw plan_error("stream " + stream.name + " names a target that the list does not have");
        return stream;
    }

    load_plan readPlan(const json& value)
    {
        refuseUnknown(value, "plan", { "targets", "length", "reuse_connections", "max_in_flight", "streams" });
        load_plan plan;
        for (const auto& target : value.at("targets"))
            plan.targets.push_back(parseTarget(target.get<std::string>()));
        if (plan.targets.empty())
            throw plan_error("the list of targets is empty; add an address");
        plan.length = timeOf(value, "length", std::chrono::seconds(10));
        if (plan.length > maxLength)
            throw plan_error("the length is at most 30min");
        plan.reuseConnections = value.value("reuse_connections", true);
        plan.maxInFlight = value.value("max_in_flight", std::size_t { 10'000 });
        for (const auto& stream : value.at("streams"))
            plan.streams.push_back(parseStream(stream, plan.targets.size()));
        return plan;
    }

} // namespace

result<load_plan> parsePlan(std::string_view text)
{
    try {
        return readPlan(json::parse(text, nullptr, true, true));
    } catch (const std::exception& failure) {
        return fail(error_kind::malformed, std::string("the plan cannot be used: ") + failure.what());
    }
}

std::optional<duration> nextArrival(const std::vector<rate_step>& steps, duration after, random_source& random)
{
    // The expected number of arrivals until the next one is exponentially distributed with mean 1.
    double expected = -std::log1p(-random.uniform());
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const bool last = index + 1 == steps.size();
        const auto begin = std::max(steps[index].from, after);
        const auto end = last ? duration::max() : steps[index + 1].from;
        if (end <= begin)
            continue;
        const double perMicrosecond = steps[index].perSecond / 1e6;
        const double inStep = perMicrosecond * static_cast<double>((end - begin).count());
        if (perMicrosecond > 0 && expected <= inStep)
            return begin + duration(std::llround(expected / perMicrosecond));
        expected -= inStep;
    }
    return std::nullopt;
}

} // namespace limpet
