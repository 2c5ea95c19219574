#pragma once

// Simulated call trees under trouble at their deepest service, and what callers get by importance.

#include "mesh_network_test.h"

namespace limpet::mesh::testing_support {

struct graph_scenario {
    unsigned depth = 3; ///< services on the path from the root to the deepest one, which gets callsAtDeepest calls
    unsigned callsAtDeepest = 4;
    unsigned serversPerService = 4;
    double ordersPerSecond = 15; ///< important and not idempotent
    double queriesPerSecond = 30; ///< idempotent; clients retry a failed one once
    double burst = 1; ///< factor of the load during the trouble
    double rejectedFraction = 0; ///< by the deepest service during the trouble
    double slowdown = 1; ///< of the deepest service during the trouble
    bool treeAware = true;
    std::uint64_t seed = 1;
};

struct graph_result {
    static constexpr unsigned length = 16; ///< seconds
    static constexpr unsigned troubleStart = 4;
    static constexpr unsigned troubleEnd = 12;
    std::array<unsigned, length> orders {}; ///< whole answers within the target latency, by second of the request
    std::array<unsigned, length> queries {};
    std::array<unsigned, length> sentOrders {};
    std::array<unsigned, length> sentQueries {};
    std::uint64_t arrivalsAtDeepest = 0;
    std::uint64_t requestsForDeepest = 0; ///< calls to the deepest service, whether they arrived or not

    double share(const std::array<unsigned, length>& part, const std::array<unsigned, length>& sent, unsigned from,
        unsigned to) const
    {
        unsigned good = 0;
        unsigned all = 0;
        for (unsigned second = from; second < to; ++second) {
            good += part.at(second);
            all += sent.at(second);
        }
        return all == 0 ? 0 : static_cast<double>(good) / all;
    }
    double orderShare(unsigned from = troubleStart, unsigned to = troubleEnd) const
    {
        return share(orders, sentOrders, from, to);
    }
    double queryShare(unsigned from = troubleStart, unsigned to = troubleEnd) const
    {
        return share(queries, sentQueries, from, to);
    }
    /// Whole answers per second during the trouble.
    double goodput() const
    {
        unsigned good = 0;
        for (unsigned second = troubleStart; second < troubleEnd; ++second)
            good += orders.at(second) + queries.at(second);
        return static_cast<double>(good) / (troubleEnd - troubleStart);
    }
};

/// Plays a scenario in simulated time.
class graph_simulation {
public:
    explicit graph_simulation(const graph_scenario& scenario)
        : m_scenario(scenario)
        , m_network(networkOptions())
        , m_random(scenario.seed)
    {
        for (unsigned level = 0; level < m_scenario.depth; ++level) {
            for (unsigned number = 0; number < m_scenario.serversPerService; ++number)
                addServer(level, number);
        }
        m_network.configure(makeConfiguration());
        m_network.sendNodeLists();
        m_network.addBackends();
        m_network.runFor(warmUp);
    }

    /// Trees per second that the deepest service can carry during the trouble, without any that fail.
    double capacity() const
    {
        const double callTime = std::chrono::duration<double>(deepestServiceTime).count() * m_scenario.slowdown;
        return m_scenario.serversPerService * deepestSlots / callTime / m_scenario.callsAtDeepest;
    }

    graph_result run()
    {
        for (unsigned second = 0; second < graph_result::length; ++second)
            m_network.schedule(std::chrono::seconds(second), [this, second] { loadSecond(second); });
        m_network.schedule(std::chrono::seconds(graph_result::troubleStart), [this] { setTrouble(true); });
        m_network.schedule(std::chrono::seconds(graph_result::troubleEnd), [this] { setTrouble(false); });
        m_network.runFor(std::chrono::seconds(graph_result::length + 6));
        const auto deepest = m_scenario.depth - 1;
        for (const auto& each : m_network.members())
            m_result.arrivalsAtDeepest += each->location.service == serviceName(deepest) ? each->arrivals : 0;
        for (const auto& each : m_network.requests)
            m_result.requestsForDeepest += each.route.starts_with(pathOf(deepest)) ? 1 : 0;
        return m_result;
    }

private:
    static constexpr duration warmUp = std::chrono::seconds(4);
    static constexpr duration targetLatency = std::chrono::milliseconds(1500);
    static constexpr duration deepestServiceTime = std::chrono::milliseconds(20);
    static constexpr unsigned deepestSlots = 2;
    static constexpr unsigned otherSlots = 200;

    static std::string serviceName(unsigned level) { return "s" + std::to_string(level); }
    static std::string pathOf(unsigned level) { return "/" + serviceName(level) + "/"; }

    network_options networkOptions() const
    {
        network_options options;
        options.seed = m_scenario.seed;
        options.treeAware = m_scenario.treeAware;
        for (unsigned level = 0; level + 1 < m_scenario.depth; ++level) {
            const unsigned count = level + 2 == m_scenario.depth ? m_scenario.callsAtDeepest : 1;
            options.nestedCalls.push_back({ pathOf(level), pathOf(level + 1) + "x", count });
        }
        options.nestedCalls.push_back({ "/order/", pathOf(1) + "x", options.nestedCalls.front().count });
        return options;
    }

    mesh::configuration makeConfiguration() const
    {
        auto config = sampleConfiguration();
        const auto base = config.routes.front();
        config.routes.clear();
        for (unsigned level = 0; level < m_scenario.depth; ++level) {
            auto each = base;
            each.name = serviceName(level);
            each.pathPrefix = pathOf(level);
            each.services = { { serviceName(level), 1 } };
            each.idempotent = true;
            each.isPublic = level > 0;
            each.rank = 2;
            each.targetLatency = level == 0 ? targetLatency : std::chrono::milliseconds(500);
            config.routes.push_back(each);
        }
        auto order = base;
        order.name = "order";
        order.pathPrefix = "/order/";
        order.services = { { serviceName(0), 1 } };
        order.rank = 0;
        order.targetLatency = targetLatency;
        config.routes.push_back(order);
        return config;
    }

    void addServer(unsigned level, unsigned number)
    {
        const bool deepest = level + 1 == m_scenario.depth;
        const std::string zone = number % 2 == 0 ? "north-a" : "north-b";
        auto& each
            = m_network.add({ serviceName(level) + "-" + std::to_string(number), "north", zone, serviceName(level) });
        // A node uses 94 % of the slots.
        each.slots = deepest ? deepestSlots + 1 : otherSlots;
        each.serviceTime = deepest ? deepestServiceTime : std::chrono::milliseconds(10);
    }

    void setTrouble(bool on)
    {
        for (auto& each : m_network.members()) {
            if (each->location.service != serviceName(m_scenario.depth - 1))
                continue;
            each->rejectedFraction = on ? m_scenario.rejectedFraction : 0;
            each->serviceTime = on ? std::chrono::duration_cast<duration>(deepestServiceTime * m_scenario.slowdown)
                                   : deepestServiceTime;
        }
    }

    void loadSecond(unsigned second)
    {
        const bool trouble = second >= graph_result::troubleStart && second < graph_result::troubleEnd;
        const double factor = trouble ? m_scenario.burst : 1;
        sendAtRandomTimes(m_scenario.ordersPerSecond * factor, [this, second] { sendOrder(second); });
        sendAtRandomTimes(
            m_scenario.queriesPerSecond * factor, [this, second] { sendQuery(second, m_network.now(), true); });
    }

    void sendAtRandomTimes(double perSecond, const std::function<void()>& send)
    {
        const auto mean = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
        for (auto when = m_random.exponential(mean); when < std::chrono::seconds(1); when += m_random.exponential(mean))
            m_network.schedule(when, send);
    }

    simulated_network::member& entry()
    {
        const auto index
            = static_cast<std::size_t>(m_random.uniform() * static_cast<double>(m_network.members().size()));
        return *m_network.members().at(std::min(index, m_network.members().size() - 1));
    }

    client_request makeRequest(const std::string& path, const std::string& method)
    {
        client_request made;
        made.requestId = "c" + std::to_string(++m_requests);
        made.content.method = method;
        made.content.path = path;
        made.key = digestOf("planners-key");
        made.deadline = std::chrono::seconds(5);
        return made;
    }

    bool inTime(time_point sent) const { return m_network.now() - sent <= targetLatency; }

    void sendOrder(unsigned second)
    {
        ++m_result.sentOrders.at(second);
        m_network.send(entry(), makeRequest("/order/1", "POST"), [this, second, sent = m_network.now()](int status) {
            m_result.orders.at(second) += status == 200 && inTime(sent) ? 1 : 0;
        });
    }

    void sendQuery(unsigned second, time_point firstSent, bool mayRetry)
    {
        m_result.sentQueries.at(second) += mayRetry ? 1 : 0;
        m_network.send(entry(), makeRequest(pathOf(0) + "1", "GET"), [this, second, firstSent, mayRetry](int status) {
            m_result.queries.at(second) += status == 200 && inTime(firstSent) ? 1 : 0;
            if (status != 200 && mayRetry)
                sendQuery(second, firstSent, false);
        });
    }

    graph_scenario m_scenario;
    simulated_network m_network;
    random_source m_random;
    graph_result m_result;
    std::uint64_t m_requests = 0;
};

inline graph_result playGraph(const graph_scenario& scenario) { return graph_simulation(scenario).run(); }

} // namespace limpet::mesh::testing_support
