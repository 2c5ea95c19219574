#include "options.h"
#include <algorithm>
#include <docopt/docopt.h>

namespace limpet {
namespace {

    constexpr const char* usage = R"(Backend server stand-in for tests.

Usage:
  limpetbackend (--listen=ADDRESS)... (--service=NAME)... [--slots=N]... [--node=ADDRESS]... [--calls=CALL]... [options]

The options --service, --slots and --node are given once for all listeners, or once for each in the same order.

Options:
  --listen=ADDRESS     Address of one backend server, IP:PORT.
  --service=NAME       Its service.
  --slots=N            Number of requests that run at once [default: 50].
  --node=ADDRESS       Backend side address of its node, for announcements and calls.
  --calls=CALL         Call that each run makes through the node: "[SERVICE: ]METHOD PATH".
  --service-time=TIME  Mean time of a run [default: 20ms].
  --distribution=NAME  Distribution of that time: fixed, exponential or lognormal [default: exponential].
  --queue=N            Requests that wait inside for a slot; more are answered with 503 [default: 100].
  --cold-start=TIME    Time after start during which runs are slower, at first five times.
  --lie=HOW            What health, load and announcements say: none, idle or stale [default: none].
  --answer-bytes=N     Padding of an answer; the query "bytes=N" of a request overrides it [default: 64].
  --record=FILE        File to which each run is appended, one JSON object per line.
  --seed=N             Seed of the times of runs [default: 1].
  --run-time=TIME      Stops by itself after this time [default: 10min].
)";

    using arguments = std::map<std::string, docopt::value>;

    /// Collects the first failure while the options are converted.
    class option_reader {
    public:
        explicit option_reader(const arguments& values)
            : m_values(values)
        {
        }

        std::optional<error> failure;

        std::string text(const std::string& option) const
        {
            const auto& value = m_values.at(option);
            return value.isString() ? value.asString() : std::string();
        }

        std::vector<std::string> texts(const std::string& option) const
        {
            const auto& value = m_values.at(option);
            if (value.isStringList())
                return value.asStringList();
            return value.isString() ? std::vector { value.asString() } : std::vector<std::string>();
        }

        void report(const std::string& option, const std::string& message)
        {
            if (!failure)
                failure = error { error_kind::invalidArgument, option + ": " + message };
        }

        std::size_t count(const std::string& option, const std::string& value, std::size_t most)
        {
            const bool digits = !value.empty() && value.size() < 19
                && std::ranges::all_of(value, [](char letter) { return letter >= '0' && letter <= '9'; });
            const std::size_t number = digits ? std::stoull(value) : 0;
            if (!digits || number > most)
                report(option, "\"" + value + "\" is not a count; write a whole number up to " + std::to_string(most));
            return number;
        }
        std::size_t count(const std::string& option, std::size_t most) { return count(option, text(option), most); }

        duration time(const std::string& option)
        {
            const auto value = text(option);
            if (value.empty())
                return duration(0);
            const auto parsed = parseDuration(value);
            if (!parsed)
                report(option, parsed.error().message);
            return parsed.value_or(duration(0));
        }

        socket_address address(const std::string& option, const std::string& value)
        {
            const auto parsed = parseAddress(value);
            if (!parsed)
                report(option, parsed.error().message);
            return parsed.value_or(socket_address());
        }

        template <typename Choice> Choice choice(const std::string& option, const std::vector<std::string>& names)
        {
            const auto value = text(option);
            const auto found = std::ranges::find(names, value);
            if (found == names.end())
                report(option, "\"" + value + "\" is not known; see --help");
            return static_cast<Choice>(found - names.begin());
        }

        /// Returns the value for one of several listeners.
        std::string perListener(const std::string& option, std::size_t listener, std::size_t listeners)
        {
            const auto values = texts(option);
            if (values.size() == 1)
                return values.front();
            if (values.size() == listeners)
                return values[listener];
            if (!values.empty())
                report(option, "give it once, or once for each --listen");
            return {};
        }

    private:
        const arguments& m_values;
    };

    backend_call parseCall(option_reader& reader, const std::string& text)
    {
        backend_call call;
        auto rest = text;
        const auto colon = rest.find(": ");
        if (colon != std::string::npos) {
            call.service = rest.substr(0, colon);
            rest = rest.substr(colon + 2);
        }
        const auto space = rest.find(' ');
        if (space == std::string::npos || rest.substr(space + 1, 1) != "/")
            reader.report("--calls", "\"" + text + "\" is not a call; write \"[SERVICE: ]METHOD PATH\"");
        call.method = rest.substr(0, space);
        call.path = space == std::string::npos ? "" : rest.substr(space + 1);
        return call;
    }

    std::vector<server_options> parseServers(option_reader& reader)
    {
        constexpr std::size_t maxSlots = 100'000;
        std::vector<server_options> servers;
        const auto listens = reader.texts("--listen");
        for (std::size_t index = 0; index < listens.size(); ++index) {
            server_options server;
            server.listen = reader.address("--listen", listens[index]);
            server.service = reader.perListener("--service", index, listens.size());
            server.slots = reader.count("--slots", reader.perListener("--slots", index, listens.size()), maxSlots);
            const auto node = reader.perListener("--node", index, listens.size());
            if (!node.empty())
                server.node = reader.address("--node", node);
            servers.push_back(std::move(server));
        }
        return servers;
    }

} // namespace

result<backend_options> parseOptions(const std::vector<std::string>& arguments)
{
    const auto values = docopt::docopt(usage, arguments);
    option_reader reader(values);
    backend_options options;
    options.servers = parseServers(reader);
    options.serviceTime = reader.time("--service-time");
    options.distribution
        = reader.choice<service_distribution>("--distribution", { "fixed", "exponential", "lognormal" });
    options.queueBound = reader.count("--queue", 1'000'000);
    options.coldStart = reader.time("--cold-start");
    options.lie = reader.choice<lie_kind>("--lie", { "none", "idle", "stale" });
    for (const auto& call : reader.texts("--calls"))
        options.calls.push_back(parseCall(reader, call));
    options.answerBytes = reader.count("--answer-bytes", 64UL * 1024 * 1024);
    options.recordFile = reader.text("--record");
    options.seed = reader.count("--seed", SIZE_MAX);
    options.runTime = reader.time("--run-time");
    if (reader.failure)
        return tl::unexpected(*reader.failure);
    return options;
}

} // namespace limpet
