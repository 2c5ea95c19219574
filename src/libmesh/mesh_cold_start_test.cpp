// Guards backend servers that are cold after their start: no second brings them more calls than they bear, however
// their node learns of it, and other servers take what they cannot.

#include "mesh_network_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr double coldRate = 10;

mesh::configuration coldConfiguration()
{
    auto config = sampleConfiguration();
    for (auto& each : config.services) {
        each.coldTime = 3s;
        each.coldCallsPerSecond = coldRate;
    }
    return config;
}

/// One node whose backend server has 40 slots and responds at once.
struct cold_node : node_fixture {
    cold_node()
    {
        configure(coldConfiguration());
        node_tuning tuning;
        tuning.coldOverage = 1.5;
        tuning.coldReserve = 8;
        handle(tuning_changed { tuning });
        addBackend("i-1", 40);
        take<check_backend>();
    }

    void heartbeat(duration coldRemaining, std::int64_t startTimeMs = 5)
    {
        backend_heartbeat report;
        report.id = "i-1";
        report.startTimeMs = startTimeMs;
        report.sequence = ++sequence;
        report.service = "stock";
        report.slots = 40;
        report.coldRemaining = coldRemaining;
        handle(report);
    }

    /// Sends 100 requests a second and returns how many were started in each second.
    std::vector<std::size_t> startsPerSecond(unsigned seconds)
    {
        std::vector<std::size_t> counts;
        for (unsigned second = 0; second < seconds; ++second) {
            std::size_t started = 0;
            for (unsigned step = 0; step < 100; ++step) {
                request();
                advance(10ms);
                for (const auto& each : take<run_on_backend>()) {
                    ++started;
                    handle(backend_result { each.attempt, okAnswer() });
                }
            }
            counts.push_back(started);
        }
        return counts;
    }
};

TEST(cold_start, serverGetsWhatItBearsUntilItIsWarm)
{
    cold_node node;
    node.heartbeat(2050ms);
    const auto starts = node.startsPerSecond(3);
    EXPECT_LE(starts[0], 23U);
    EXPECT_GE(starts[0], 8U);
    EXPECT_LE(starts[1], 23U);
    EXPECT_GE(starts[1], 8U);
    EXPECT_GE(starts[2], 95U);
}

TEST(cold_start, warmServerHasNoPace)
{
    cold_node node;
    node.heartbeat(0ms);
    EXPECT_GE(node.startsPerSecond(1)[0], 95U);
}

// A new limit of slots replaces the admission; the pace must survive it.
TEST(cold_start, paceHoldsWhenTheSlotsChange)
{
    cold_node node;
    node.heartbeat(2s);
    backend_heartbeat report;
    report.id = "i-1";
    report.startTimeMs = 5;
    report.sequence = ++node.sequence;
    report.service = "stock";
    report.slots = 80;
    report.coldRemaining = 2s;
    node.handle(report);
    EXPECT_LE(node.startsPerSecond(1)[0], 23U);
}

// A server that refused connections has started again: it says that it is cold only with its next heartbeat.
TEST(cold_start, regainedServerCountsAsColdUntilItReports)
{
    cold_node node;
    node.heartbeat(0ms);
    node.handle(backend_reachability { false });
    node.handle(backend_reachability { true });
    EXPECT_LE(node.startsPerSecond(1)[0], 23U);
    ASSERT_FALSE(node.take<check_backend>().empty());
    node.handle(backend_check_result { "i-1", true, 0ms });
    EXPECT_GE(node.startsPerSecond(1)[0], 95U);
}

// One that fell silent may be down without refusing connections.
TEST(cold_start, silentServerIsAskedAndCountsAsColdWithoutAnAnswer)
{
    cold_node node;
    node.heartbeat(0ms);
    node.startsPerSecond(2);
    EXPECT_TRUE(node.take<check_backend>().empty());
    node.startsPerSecond(1);
    ASSERT_FALSE(node.take<check_backend>().empty());
    node.handle(backend_check_result {});
    EXPECT_LE(node.startsPerSecond(1)[0], 23U);
}

// A check of a server that refuses connections fails at once. Repeated at once, checks kept the node from all else.
TEST(cold_start, failedChecksAreRepeatedAtIntervals)
{
    cold_node node;
    node.startsPerSecond(3);
    std::size_t checks = 0;
    for (int step = 0; step < 100; ++step) {
        const auto made = node.take<check_backend>().size();
        checks += made;
        for (std::size_t each = 0; each < made; ++each)
            node.handle(backend_check_result {});
        node.advance(10ms);
    }
    EXPECT_LE(checks, 4U);
    EXPECT_GE(checks, 1U);
}

TEST(cold_start, silentServerThatIsWarmKeepsItsCalls)
{
    cold_node node;
    node.heartbeat(0ms);
    node.startsPerSecond(3);
    ASSERT_FALSE(node.take<check_backend>().empty());
    node.handle(backend_check_result { "i-1", true, 0ms });
    EXPECT_GE(node.startsPerSecond(1)[0], 95U);
}

// Without a bound in the configuration, a cold server is served as before.
TEST(cold_start, serviceWithoutBoundHasNoPace)
{
    cold_node node;
    node.configure(sampleConfiguration(2));
    node.heartbeat(2s);
    EXPECT_GE(node.startsPerSecond(1)[0], 95U);
}

// All servers of one zone come back cold together: the other zone serves, and no request fails.
TEST(cold_start, zoneThatComesBackIsLetInAtItsPace)
{
    simulated_network network;
    for (const std::string zone : { "north-a", "north-b" }) {
        for (unsigned number = 0; number < 3; ++number)
            network.add({ zone + std::to_string(number), "north", zone, "stock" }).slots = 40;
    }
    network.configure(coldConfiguration());
    network.sendNodeLists();
    network.addBackends();
    network.runFor(3s);
    for (unsigned index = 0; index < 3; ++index) {
        auto& each = *network.members()[index];
        backend_heartbeat report;
        report.id = "i-" + each.location.name;
        report.startTimeMs = 9;
        report.sequence = 1;
        report.service = "stock";
        report.slots = 40;
        report.coldRemaining = 3s;
        network.dispatch(each, report);
        network.dispatch(each, backend_check_result { report.id, true, 3s });
    }
    std::vector<std::uint64_t> before;
    for (const auto& each : network.members())
        before.push_back(each->arrivals);
    for (const auto& each : network.members())
        network.load(*each, "/stock/1", 40, 2s);
    network.runFor(2s);
    for (unsigned index = 0; index < 3; ++index)
        EXPECT_LE(network.members()[index]->arrivals - before[index], 2 * coldRate + 8) << index;
    network.runFor(3s);
    EXPECT_GE(network.countStatus(200), network.requests.size() * 98 / 100);
}

} // namespace
