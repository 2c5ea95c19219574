#include "environment.h"
#include "usage.h"

#include <charconv>
#include <docopt/docopt.h>
#include <glib.h>
#include <iostream>
#include <limpetcroft/rules.h>
#include <sodium.h>

namespace {

using namespace limpet;
using arguments = std::map<std::string, docopt::value>;

// A command line that docopt accepts but whose values make no sense.
struct usage_problem : std::runtime_error {
    using std::runtime_error::runtime_error;
};

bool isSet(const arguments& given, const std::string& name)
{
    return given.at(name).isBool() && given.at(name).asBool();
}

std::string textOf(const arguments& given, const std::string& name)
{
    return given.at(name).isString() ? given.at(name).asString() : std::string();
}

std::uint64_t numberOf(const arguments& given, const std::string& name)
{
    const std::string text = textOf(given, name);
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failed != std::errc() || end != text.data() + text.size()) {
        throw usage_problem(name + " takes a whole number, not \"" + text + "\"");
    }
    return number;
}

std::optional<revision> revisionOf(const arguments& given, const std::string& name)
{
    return given.at(name).isString() ? std::optional<revision>(numberOf(given, name)) : std::nullopt;
}

socket_address addressOf(const arguments& given, const std::string& name)
{
    const auto address = parseAddress(textOf(given, name));
    if (!address) {
        throw usage_problem(name + ": " + address.error().message);
    }
    return *address;
}

change_author authorOf(const arguments& given)
{
    const std::string who = textOf(given, "--who");
    return { who.empty() ? g_get_user_name() : who, textOf(given, "--why") };
}

command_result withWait(const ctl_environment& environment, const arguments& given, const command_result& changed)
{
    if (!isSet(given, "--wait") || changed.exitCode != exitDone) {
        return changed;
    }
    const auto limit = std::chrono::seconds(numberOf(given, "--limit"));
    return waitInForce(environment, changed, addressOf(given, "--node"), limit);
}

command_result runWithFile(const ctl_environment& environment, const arguments& given)
{
    const std::string name = textOf(given, "FILE");
    const auto text = readFile(name);
    if (!text) {
        return failure(text.error());
    }
    if (isSet(given, "check")) {
        return checkRules(name, *text);
    }
    if (isSet(given, "diff")) {
        return diffWithCurrent(environment, name, *text);
    }
    const apply_request request { name, *text, authorOf(given), revisionOf(given, "--base") };
    return withWait(environment, given, applyRules(environment, request));
}

command_result runKey(const ctl_environment& environment, const arguments& given)
{
    if (isSet(given, "issue")) {
        return issueKey(environment, textOf(given, "TEAM"), authorOf(given));
    }
    if (isSet(given, "rotate")) {
        return rotateKey(environment, textOf(given, "TEAM"), authorOf(given));
    }
    return withdrawKey(environment, textOf(given, "KEYID"), authorOf(given));
}

command_result run(const arguments& given)
{
    system_environment system(addressOf(given, "--store"));
    const ctl_environment environment = system.make();
    if (given.at("FILE").isString()) {
        return runWithFile(environment, given);
    }
    if (isSet(given, "key")) {
        return runKey(environment, given);
    }
    if (isSet(given, "show")) {
        return showRules(environment, revisionOf(given, "--revision"));
    }
    if (isSet(given, "history")) {
        return showHistory(environment, numberOf(given, "--count"));
    }
    if (isSet(given, "revert")) {
        const command_result changed = revertRules(environment, numberOf(given, "REVISION"), authorOf(given));
        return withWait(environment, given, changed);
    }
    if (isSet(given, "outcome")) {
        return findOutcome(environment, numberOf(given, "REVISION"), textOf(given, "MARK"));
    }
    if (isSet(given, "drain")) {
        return drainNode(environment, addressOf(given, "NODE"));
    }
    if (isSet(given, "undrain")) {
        return undrainNode(environment, addressOf(given, "NODE"));
    }
    if (isSet(given, "explain")) {
        return explainRoute(environment, addressOf(given, "--node"), textOf(given, "METHOD"), textOf(given, "PATH"),
            textOf(given, "--team"));
    }
    return showStatus(environment, addressOf(given, "--node"));
}

int usageFailure(const std::string& message)
{
    std::cerr << "limpetctl: " << message << "\nrun limpetctl --help\n";
    return exitUsage;
}

int runCommandLine(const std::vector<std::string>& words)
{
    if (sodium_init() < 0) {
        std::cerr << "limpetctl: the cryptography library cannot start\n";
        return exitRefused;
    }
    try {
        const arguments given = docopt::docopt_parse(ctlUsage, words);
        const command_result report = run(given);
        if (isSet(given, "--json")) {
            std::cout << report.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
        } else {
            (report.exitCode == exitDone ? std::cout : std::cerr) << report.text;
        }
        return report.exitCode;
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << ctlUsage;
        return exitDone;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << ctlVersion << '\n';
        return exitDone;
    } catch (const docopt::DocoptArgumentError&) {
        return usageFailure("the arguments fit no command");
    } catch (const usage_problem& problem) {
        return usageFailure(problem.what());
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine({ argv + 1, argv + argc });
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "limpetctl: %s\n", problem.what());
        return exitRefused;
    }
}
