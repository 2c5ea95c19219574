#pragma once

/// \file sample_test.h
/// Configuration, traffic generator and history helpers shared by the tests of this library.

#include "network_test.h"
#include <algorithm>

namespace limpet {

inline configuration sampleConfiguration(revision number)
{
    using std::chrono::seconds;
    configuration config;
    config.number = number;
    config.teams = { { "mill", 400, 400, "test" }, { "clinic", 400, 400, "test" } };
    config.routes = {
        { "GET", "/stock", "stock", 5, seconds(1), true, false, 1, "test" },
        { "POST", "/stock", "stock", 7, seconds(2), false, false, 3, "test" },
        { "GET", "/status", "stock", 8, seconds(1), true, true, 5, "test" },
        { "GET", "/low", "stock", 1, seconds(1), true, false, 1, "test" },
        { "GET", "/orders", "orders", 5, seconds(1), true, true, 1, "test" },
    };
    config.keys = { { "mill", "mill-1", digestOf("mill key") }, { "clinic", "clinic-1", digestOf("clinic key") } };
    return config;
}

inline std::string describe(const violations& found)
{
    std::string text;
    for (std::size_t index = 0; index < std::min<std::size_t>(found.size(), 10); ++index)
        text += found[index].invariant + " at " + std::to_string(found[index].time.count()) + "us: " + found[index].what
            + "\n";
    return text + std::to_string(found.size()) + " violations";
}

/// Sends requests of one team to random nodes as a Poisson process, until a given time.
struct traffic {
    test_network& net;
    std::string team;
    std::string key; ///< empty: none
    std::string keyId;
    std::string method;
    std::string path;
    double requestsPerSecond = 100;
    duration until { 0 };
    duration deadline { std::chrono::seconds(1) };
    unsigned repeats = 0; ///< how often a caller repeats a failed request, without delay
    unsigned sent = 0;
    bool onlyReadyNodes = false; ///< send only to nodes that are running and ready

    void start()
    {
        const auto gap = net.random().exponential(duration(static_cast<duration::rep>(1e6 / requestsPerSecond)));
        if (net.now() + gap >= until)
            return;
        net.at(net.now() + gap, [this] {
            sendOne(repeats, {});
            start();
        });
    }

    void sendOne(unsigned repeatsLeft, const std::string& repeatOf)
    {
        request_sent request;
        request.request = team + method + path + std::to_string(sent++);
        std::replace(request.request.begin(), request.request.end(), '/', '.');
        request.team = key.empty() ? "" : team;
        request.keyId = keyId;
        request.method = method;
        request.path = path;
        request.deadline = deadline;
        request.repeatOf = repeatOf;
        auto vm = net.random().below(net.vms().size());
        while (onlyReadyNodes && !net.ready(vm))
            vm = net.random().below(net.vms().size());
        net.send(vm, request, key, [this, repeatsLeft, name = request.request](const request_answered& answer) {
            constexpr int firstServerError = 500;
            const bool failed = answer.status == 0 || answer.status >= firstServerError;
            if (repeatsLeft > 0 && failed)
                net.at(net.now(), [this, repeatsLeft, name] { sendOne(repeatsLeft - 1, name); });
        });
    }
};

/// Lists the number of refused or failed requests by reason.
inline std::string describeRefusals(const history& events)
{
    std::map<std::string, unsigned> reasons;
    for (const auto& event : events) {
        const auto* answered = std::get_if<request_answered>(&event);
        if (answered && !answered->checksumValid)
            ++reasons[answered->reason + answered->failure];
    }
    std::string text;
    for (const auto& [reason, count] : reasons)
        text += reason + "=" + std::to_string(count) + " ";
    return text;
}

inline std::size_t countAnswers(const history& events, int status)
{
    return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [status](const auto& event) {
        const auto* answered = std::get_if<request_answered>(&event);
        return answered && answered->status == status;
    }));
}

} // namespace limpet
