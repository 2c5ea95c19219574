// Guards evacuations: within the time that the operators allow, no call reaches a backend server of an evacuated zone,
// whichever node knows of it and whichever fails meanwhile.

#include "mesh_network_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

/// Three nodes in each of two zones; they know no evacuation at first.
struct two_zones {
    two_zones()
    {
        for (const std::string zone : { "north-a", "north-b" }) {
            for (unsigned number = 0; number < 3; ++number)
                network.add({ zone + std::to_string(number), "north", zone, "stock" });
        }
        network.configure(sampleConfiguration());
        network.sendNodeLists();
        network.addBackends();
        network.runFor(3s);
    }

    simulated_network::member& at(std::size_t index) { return *network.members().at(index); }

    void read(std::size_t index, store_position position, std::vector<std::string> zones)
    {
        network.dispatch(at(index), evacuations_read { position, std::move(zones) });
    }

    /// Sends requests through every node and returns how many calls reached backend servers of the first zone.
    std::uint64_t arrivalsInFirstZone()
    {
        const auto count = [&] { return at(0).arrivals + at(1).arrivals + at(2).arrivals; };
        const auto before = count();
        for (const auto& each : network.members()) {
            for (int number = 0; number < 10; ++number)
                network.send(*each, "/stock/1");
        }
        network.runFor(2s);
        return count() - before;
    }

    simulated_network network;
};

TEST(evacuation, zoneGetsNoCallsOnceOneNodeHasReadOfIt)
{
    two_zones fleet;
    fleet.read(4, { 20, 1 }, { "north-a" });
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.arrivalsInFirstZone(), 0U);
    EXPECT_EQ(fleet.network.countStatus(200), 60U);
}

TEST(evacuation, zoneIsUsedAgainAfterItsEnd)
{
    two_zones fleet;
    fleet.read(4, { 20, 1 }, { "north-a" });
    fleet.network.runFor(2s);
    fleet.read(4, { 30, 1 }, {});
    fleet.network.runFor(2s);
    EXPECT_GT(fleet.arrivalsInFirstZone(), 0U);
}

// A status that was under way for long, or a node that returns from a partition, tells of an older state of the store.
TEST(evacuation, olderKnowledgeIsIgnored)
{
    two_zones fleet;
    fleet.read(0, { 20, 1 }, { "north-a" });
    fleet.read(0, { 19, 1 }, {});
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.arrivalsInFirstZone(), 0U);
}

// A store that was restored from a copy gives out lower revisions.
TEST(evacuation, laterEraOfTheStoreCountsDespiteLowerRevisions)
{
    two_zones fleet;
    fleet.read(0, { 20, 1 }, {});
    fleet.read(0, { 3, 2 }, { "north-a" });
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.arrivalsInFirstZone(), 0U);
}

// A node that starts in the middle of an evacuation has read nothing itself.
TEST(evacuation, restartedNodeLearnsOfIt)
{
    two_zones fleet;
    fleet.read(4, { 20, 1 }, { "north-a" });
    fleet.network.runFor(2s);
    fleet.network.kill(fleet.at(0));
    fleet.network.runFor(1s);
    fleet.network.restart(fleet.at(0));
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.arrivalsInFirstZone(), 0U);
}

// A node that was cut off learns of it when the partition ends, from nodes of either zone.
TEST(evacuation, nodeThatWasPartitionedLearnsOfIt)
{
    two_zones fleet;
    fleet.at(0).partitioned = true;
    fleet.read(4, { 20, 1 }, { "north-a" });
    fleet.network.runFor(3s);
    fleet.at(0).partitioned = false;
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.arrivalsInFirstZone(), 0U);
}

// What is running ends; what is still queued runs elsewhere.
TEST(evacuation, runningCallsEndAndQueuedOnesMove)
{
    two_zones fleet;
    for (std::size_t index = 0; index < 3; ++index)
        fleet.at(index).serviceTime = 800ms;
    for (std::size_t index = 0; index < 3; ++index) {
        for (int number = 0; number < 15; ++number)
            fleet.network.send(fleet.at(index), "/stock/1");
    }
    fleet.network.runFor(100ms);
    const auto running = fleet.at(0).running + fleet.at(1).running + fleet.at(2).running;
    EXPECT_GT(running, 0U);
    fleet.read(0, { 20, 1 }, { "north-a" });
    fleet.network.runFor(3s);
    EXPECT_EQ(fleet.network.countStatus(200), 45U);
}

} // namespace
