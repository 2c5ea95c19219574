#pragma once

// Fixture with a single mesh node and a sample configuration.

#include <gtest/gtest.h>
#include <limpetcroft/mesh.h>

namespace limpet::mesh::testing_support {

constexpr time_point testStart { duration(std::chrono::seconds(1000)) };

inline configuration sampleConfiguration(std::uint64_t version = 1)
{
    configuration config;
    config.version = version;
    route orders;
    orders.name = "orders";
    orders.host = "shop.example";
    orders.pathPrefix = "/orders/";
    orders.services = { { "orders", 1 } };
    orders.maxAttempts = 2;
    orders.timeout = std::chrono::milliseconds(1500);
    orders.targetLatency = std::chrono::milliseconds(1500);
    route stock = orders;
    stock.name = "stock";
    stock.pathPrefix = "/stock/";
    stock.services = { { "stock", 1 } };
    stock.idempotent = true;
    stock.rank = 2;
    config.routes = { orders, stock };
    team planners;
    planners.name = "planners";
    planners.keys = { digestOf("planners-key") };
    config.teams = { planners };
    config.services = { { "orders", "/health", 100 }, { "stock", "/health", 100 } };
    return config;
}

inline std::shared_ptr<const configuration_index> makeIndex(configuration config = sampleConfiguration())
{
    return std::make_shared<const configuration_index>(std::move(config));
}

/// One node with a manual clock and the actions that it has emitted.
struct node_fixture {
    explicit node_fixture(const std::string& name = "a", const std::string& service = "stock")
        : subject(makeOptions(name, service))
        , backendService(service)
    {
    }

    static node_options makeOptions(const std::string& name, const std::string& service)
    {
        node_options options;
        options.name = name;
        options.run = 100;
        options.region = "north";
        options.availabilityZone = "north-a";
        options.service = service;
        options.address = { "10.0.0.1", 7000 };
        return options;
    }

    void handle(event given) { subject.handle(std::move(given), now, out); }

    void advance(duration length)
    {
        now += length;
        subject.tick(now, out);
    }

    void configure(configuration config = sampleConfiguration())
    {
        handle(configuration_received { makeIndex(config), "x" });
    }

    /// Registers a healthy backend server.
    void addBackend(const std::string& id = "i-1", unsigned slots = 10)
    {
        backend_heartbeat report;
        report.id = id;
        report.startTimeMs = 5;
        report.sequence = ++sequence;
        report.service = backendService;
        report.slots = slots;
        handle(report);
        handle(backend_check_result { id, true });
    }

    std::uint64_t request(const std::string& path = "/stock/1", const std::string& key = "planners-key",
        const std::string& method = "GET")
    {
        client_request made;
        made.call = ++calls;
        made.requestId = "r" + std::to_string(calls);
        made.host = "shop.example";
        made.content.method = method;
        made.content.path = path;
        if (!key.empty())
            made.key = digestOf(key);
        made.deadline = std::chrono::seconds(5);
        handle(std::move(made));
        return calls;
    }

    /// Removes and returns the actions of one kind.
    template <typename Action> std::vector<Action> take()
    {
        std::vector<Action> taken;
        actions rest;
        for (auto& each : out) {
            if (auto* wanted = std::get_if<Action>(&each))
                taken.push_back(std::move(*wanted));
            else
                rest.push_back(std::move(each));
        }
        out = std::move(rest);
        return taken;
    }

    int statusOf(std::uint64_t call)
    {
        for (const auto& each : take<send_response>()) {
            if (each.call == call)
                return each.content.status;
        }
        return 0;
    }

    node subject;
    std::string backendService;
    time_point now = testStart;
    actions out;
    std::uint64_t calls = 0;
    std::uint64_t sequence = 0;
};

inline http_answer okAnswer(const std::string& body = "ok") { return { 200, {}, makeBytes(body) }; }

/// Maximum admissions in any 5 s window, the window of the bound on a team's rate. admitted: in order of time.
inline std::size_t maxAdmissionsInWindow(const std::vector<time_point>& admitted)
{
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] > std::chrono::seconds(5))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace limpet::mesh::testing_support
