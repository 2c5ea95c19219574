#include "summary.h"
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace limpet;

namespace {

constexpr const char* usage = R"(Open-loop load tool for tests.

Usage:
  limpetload [options] PLAN

The plan is a JSON file with comments; plan.h describes its members. Targets must be loopback addresses. Each request
carries its own Test-Request header, and each answer is checked against it.

Options:
  --history=FILE  File for the history, one JSON object per line.
  --seed=N        Seed of arrivals, targets and paths [default: 1].
  --name=NAME     First part of the values of Test-Request [default: load].
)";

int failWith(const std::string& message)
{
    std::cerr << "limpetload: " << message << '\n';
    return 2;
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(const load_plan& plan, std::uint64_t seed, const std::string& prefix, const std::string& historyFile)
{
    std::ofstream file;
    if (!historyFile.empty())
        file.open(historyFile, std::ios::binary);
    if (!historyFile.empty() && !file)
        return failWith(historyFile + " cannot be written; check the path");
    load_summary summary(plan);
    const auto onEvent = [&](const history_event& event) {
        if (file.is_open())
            file << printEvent(event) << '\n';
    };
    const auto onOutcome = [&](const request_outcome& outcome) { summary.add(outcome); };
    const gmain_loop_ptr loop(g_main_loop_new(nullptr, FALSE));
    load_sender sender(plan, seed, prefix, onEvent, onOutcome);
    sender.start([&] { g_main_loop_quit(loop.get()); });
    g_main_loop_run(loop.get());
    std::cout << summary.print(sender.dropped());
    return summary.wrong() > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto text = readFile(options["PLAN"].asString());
    if (!text)
        return failWith(options["PLAN"].asString() + " cannot be opened; check the path");
    const auto plan = parsePlan(*text);
    if (!plan)
        return failWith(plan.error().message);
    std::uint64_t seed = 0;
    try {
        seed = std::stoull(options["--seed"].asString());
    } catch (const std::exception&) {
        return failWith("--seed is a whole number");
    }
    // The time keeps requests of several runs apart in joined histories.
    std::ostringstream prefix;
    prefix << options["--name"].asString() << '-' << std::hex << monotonicNow().count();
    const auto& history = options["--history"];
    return run(*plan, seed, prefix.str(), history.isString() ? history.asString() : "");
}
