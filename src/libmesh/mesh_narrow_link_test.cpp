// Guards that nothing is executed long after its client has left while the narrow link that two regions share is full.

#include "mesh_network_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr unsigned nodesPerZone = 8;
/// From the leaving of a client until the last execution for it may start.
constexpr duration maxLateness = 500ms;

/// Two regions with two zones each. Requests are for a service whose backend servers are all in the south.
struct narrow_link {
    explicit narrow_link(std::uint64_t seed)
        : network(
            { .seed = seed, .regionBytesPerSecond = 30'000'000 / 8, .storeRegion = "north", .documentBytes = 350'000 })
    {
        for (const std::string region : { "north", "south" }) {
            for (const char* suffix : { "-a", "-b" }) {
                const auto zone = region + suffix;
                for (unsigned number = 0; number < nodesPerZone; ++number) {
                    auto name = zone;
                    name += "-" + std::to_string(number);
                    network.add({ name, region, zone, region == "north" ? "orders" : "stock" });
                }
            }
        }
        network.configure(sampleConfiguration());
        network.sendNodeLists();
        network.addBackends();
        network.runFor(3s);
        network.executions.clear();
    }

    /// Sends requests through all nodes. The clients of half of them leave soon.
    void load(double perSecond, duration length)
    {
        const auto interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
        for (auto when = duration(0); when < length; when += interval) {
            auto& at = *network.members().at(drawn(network.members().size()));
            network.schedule(when, [this, &at] {
                if (!at.up)
                    return;
                const auto request = network.send(at, "/stock/1");
                if (random.uniform() < 0.5)
                    network.schedule(random.exponential(100ms), [this, &at, request] { network.leave(at, request); });
            });
        }
    }

    std::size_t drawn(std::size_t below)
    {
        return std::min(static_cast<std::size_t>(random.uniform() * static_cast<double>(below)), below - 1);
    }

    std::size_t lateExecutions() const
    {
        return static_cast<std::size_t>(
            std::count_if(network.executions.begin(), network.executions.end(), [&](const simulated_execution& each) {
                const auto& request = network.requests.at(std::stoul(each.requestId.substr(1)));
                return request.leftAt && each.at - *request.leftAt > maxLateness;
            }));
    }

    std::size_t left() const
    {
        return static_cast<std::size_t>(std::count_if(network.requests.begin(), network.requests.end(),
            [](const simulated_request& each) { return each.leftAt.has_value(); }));
    }

    random_source random { 7 };
    simulated_network network;
};

// Whatever fills the link: calls and their cancels waited a second behind it, and the calls were executed.
TEST(narrow_link, callsThatWaitedAreNotExecutedForClientsThatLeft)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        narrow_link subject(seed);
        subject.load(300, 6s);
        for (const duration at : { 1000ms, 3000ms, 3400ms })
            subject.network.schedule(at, [&] { subject.network.fillLink("north", 1300ms); });
        subject.network.schedule(4500ms, [&] { subject.network.fillLink("south", 1300ms); });
        subject.network.runFor(10s);
        EXPECT_GT(subject.left(), 500U);
        EXPECT_EQ(subject.lateExecutions(), 0U) << "seed " << seed;
        EXPECT_GT(subject.network.countStatus(200), 400U);
    }
}

// Each node that started fetched the configuration across the regions, so that calls were a second late.
TEST(narrow_link, isNotFilledByNodesThatStart)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        narrow_link subject(seed);
        auto& network = subject.network;
        subject.load(300, 6s);
        std::vector<simulated_network::member*> stopped;
        for (std::size_t index = 0; index < network.members().size(); ++index) {
            if (index % 2 == seed % 2 || index / nodesPerZone == 3)
                stopped.push_back(network.members().at(index).get());
        }
        network.schedule(1s, [&] {
            for (auto* each : stopped)
                network.kill(*each);
        });
        network.schedule(3s, [&] {
            for (auto* each : stopped)
                network.restart(*each);
        });
        network.runFor(10s);
        for (const auto* each : stopped)
            EXPECT_EQ(each->subject->configurationVersion(), 1U) << each->location.name;
        EXPECT_LE(network.documentsBetweenRegions, 2U) << "one for each zone of the region without the store";
        EXPECT_LT(network.longestLinkDelay, 250ms);
        EXPECT_EQ(subject.lateExecutions(), 0U) << "seed " << seed;
    }
}

// The link is full for longer than nodes wait for their zone: then each of them read the configuration over it too.
TEST(narrow_link, isNotFilledFurtherByNodesThatWaitForTheConfiguration)
{
    narrow_link subject(1);
    auto& network = subject.network;
    network.schedule(1s, [&] {
        for (auto& each : network.members()) {
            if (each->location.region == "south")
                network.kill(*each);
        }
    });
    network.schedule(2900ms, [&] { network.fillLink("north", 4s); });
    network.schedule(3s, [&] {
        for (auto& each : network.members()) {
            if (each->location.region == "south")
                network.restart(*each);
        }
    });
    network.runFor(11s);
    for (const auto& each : network.members())
        EXPECT_EQ(each->subject->configurationVersion(), 1U) << each->location.name;
    EXPECT_LE(network.documentsBetweenRegions, 8U) << "two at the start, and one for each zone in each 0.9 s after";
}

// All nodes lose power at the same moment.
TEST(narrow_link, isNotFilledWhenAllNodesStart)
{
    narrow_link subject(1);
    auto& network = subject.network;
    network.schedule(1s, [&] {
        for (auto& each : network.members())
            network.kill(*each);
    });
    for (auto& each : network.members())
        network.schedule(3s + subject.random.exponential(50ms), [&] { network.restart(*each); });
    network.runFor(8s);
    for (const auto& each : network.members())
        EXPECT_EQ(each->subject->configurationVersion(), 1U) << each->location.name;
    EXPECT_LE(network.documentsBetweenRegions, 4U);
}

} // namespace
