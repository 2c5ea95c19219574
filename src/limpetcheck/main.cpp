#include <charconv>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <limpetcroft/check.h>
#include <limpetcroft/fleet.h>
#include <limpetcroft/rules.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace limpet;
using nlohmann::json;

namespace {

constexpr const char* usage = R"(Judges histories of test runs.

Usage:
  limpetcheck configuration RULES [--key=KEY]...
  limpetcheck [options] FILE...
  limpetcheck --help

Joins the history files and prints one JSON object: violations of each invariant and the measures of check.h. Times in
the output are in seconds since the earliest event.

Options:
  --key=KEY          A key as TEAM:SECRET.
  --from=SECONDS     Start of the window of goodput, shares and worth, since the earliest event [default: 0].
  --to=SECONDS       End of that window; 0: the last event [default: 0].
  --bucket=SECONDS   Width of the buckets of goodput over time [default: 0.5].
  --transit=SECONDS  Tolerance of the order of shedding: time from a caller to the decision [default: 0.1].
  --settle=SECONDS   Tolerance of the order of shedding: starts so long after a refusal still count [default: 0].
  --probes=SHARE     Tolerance of the order of shedding: share of refusals that may be inverted [default: 0.05].
  --jitter=SECONDS   Tolerance of rates: from admission to the event in the history [default: 0.05].
  --examples=N       Violations printed for each invariant [default: 3].
)";

constexpr std::size_t invariantCount = 12;

using arguments = std::map<std::string, docopt::value>;

std::optional<double> numberOf(const arguments& options, const std::string& option)
{
    const auto& text = options.at(option).asString();
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc {} || end != text.data() + text.size() || value < 0) {
        std::cerr << "limpetcheck: " << option << ": \"" << text << "\" is not a number of at least 0\n";
        return std::nullopt;
    }
    return value;
}

duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double toSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

json violationsText(const violations& found, duration origin, std::size_t examples)
{
    json text = json::object();
    for (std::size_t number = 1; number <= invariantCount; ++number)
        text["I" + std::to_string(number)] = { { "count", 0 }, { "examples", json::array() } };
    for (const auto& each : found) {
        auto& entry = text[each.invariant];
        entry["count"] = entry["count"].get<std::size_t>() + 1;
        if (entry["examples"].size() < examples)
            entry["examples"].push_back({ { "time", toSeconds(each.time - origin) }, { "what", each.what } });
    }
    return text;
}

json sharesText(const history& events, const time_window& window)
{
    json text = json::array();
    for (const auto& share : teamShares(events, window))
        text.push_back({ { "team", share.team }, { "sent", share.sent }, { "whole", share.whole },
            { "fair", share.fair }, { "ratio", share.ratio } });
    return text;
}

json goodputText(const history& events, duration origin, duration last, duration bucket)
{
    json text = json::array();
    for (auto from = origin; from + bucket <= last; from += bucket)
        text.push_back({ toSeconds(from - origin), goodput(events, { from, from + bucket }) });
    return text;
}

json recoveryText(const history& events)
{
    const auto recovered = recoveryTime(events);
    return recovered ? json(toSeconds(*recovered)) : json(nullptr);
}

int printConfiguration(const arguments& options)
{
    const auto& fileName = options.at("RULES").asString();
    std::ifstream file(fileName);
    std::stringstream text;
    text << file.rdbuf();
    const auto rules = parseRules(text.str(), fileName);
    if (!file || !rules) {
        std::cerr << "limpetcheck: "
                  << (rules ? fileName + " cannot be read; check the path" : toError(rules.error()).message) << '\n';
        return 2;
    }
    configuration config { 1, rules->teams, rules->routes, {} };
    for (const auto& key : options.at("--key").asStringList()) {
        const auto team = key.substr(0, key.find(':'));
        config.keys.push_back({ team, team + "-1", digestOf(key.substr(std::min(team.size() + 1, key.size()))) });
    }
    std::cout << encodeConfiguration(config);
    return 0;
}

int run(const arguments& options)
{
    std::map<std::string, double> numbers;
    for (const auto* option :
        { "--from", "--to", "--bucket", "--transit", "--settle", "--probes", "--jitter", "--examples" }) {
        const auto number = numberOf(options, option);
        if (!number)
            return 2;
        numbers[option] = *number;
    }
    const auto events = readHistory(options.at("FILE").asStringList());
    if (!events || events->empty()) {
        std::cerr << "limpetcheck: " << (events ? "the history is empty" : events.error().message) << '\n';
        return 2;
    }
    const auto origin = timeOf(events->front());
    const auto last = timeOf(events->back());
    const time_window window { origin + fromSeconds(numbers["--from"]),
        numbers["--to"] > 0 ? origin + fromSeconds(numbers["--to"]) : last };
    check_bounds bounds;
    bounds.shedOrder = { fromSeconds(numbers["--transit"]), fromSeconds(numbers["--settle"]), numbers["--probes"] };
    bounds.rates.jitter = fromSeconds(numbers["--jitter"]);
    const auto found = checkAll(*events, bounds);
    const auto wrongful = wrongfulRefusals(*events);
    const auto worth = answeredWorth(*events, window);
    const json text { { "origin", origin.count() }, { "length", toSeconds(last - origin) },
        { "violations", violationsText(found, origin, static_cast<std::size_t>(numbers["--examples"])) },
        { "goodput", goodput(*events, window) }, { "recovery", recoveryText(*events) },
        { "shares", sharesText(*events, window) },
        { "wrongful", { { "inside_rate", wrongful.insideRate }, { "refused", wrongful.refused } } },
        { "worth", { { "sent", worth.sent }, { "answered", worth.answered } } },
        { "goodput_over_time",
            goodputText(*events, origin, last, std::max(duration(10'000), fromSeconds(numbers["--bucket"]))) } };
    std::cout << text.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
        return options.at("configuration").asBool() ? printConfiguration(options) : run(options);
    } catch (const std::exception& failure) {
        std::cerr << "limpetcheck: " << failure.what() << '\n';
        return 2;
    }
}
