// Guards requests that may only be served in some regions: no first attempt, retry or hedge leaves them, also when no
// backend server there can take the request.

#include "mesh_network_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

/// Two regions, each with a zone that has two nodes with a backend server of the service "stock".
struct two_regions {
    explicit two_regions(const mesh::configuration& config)
    {
        for (const std::string region : { "north", "south" }) {
            for (const std::string number : { "0", "1" }) {
                auto name = region;
                name += "-";
                name += number;
                auto& node = network.add({ name, region, region + "-a", "stock" });
                (region == "north" ? north : south).push_back(&node);
            }
        }
        network.configure(config);
        network.sendNodeLists();
        network.addBackends();
        network.runFor(3s);
    }

    /// Sends requests through every node and returns how many were served.
    std::size_t servedThroughEveryNode(const std::string& key = "planners-key")
    {
        const auto before = network.countStatus(200);
        for (const auto& each : network.members()) {
            for (int count = 0; count < 20; ++count)
                network.send(*each, "/stock/1", key);
            network.runFor(2s);
        }
        return network.countStatus(200) - before;
    }

    static std::uint64_t arrivalsAt(const std::vector<simulated_network::member*>& nodes)
    {
        std::uint64_t sum = 0;
        for (const auto* each : nodes)
            sum += each->arrivals;
        return sum;
    }

    simulated_network network;
    std::vector<simulated_network::member*> north;
    std::vector<simulated_network::member*> south;
};

mesh::configuration withRegions(std::vector<std::string> ofRoute, std::vector<std::string> ofTeam)
{
    auto config = sampleConfiguration();
    config.routes.back().allowedRegions = std::move(ofRoute);
    config.teams.front().allowedRegions = std::move(ofTeam);
    return config;
}

TEST(regions, requestOfARouteStaysInItsRegions)
{
    two_regions fleet(withRegions({ "north" }, {}));
    EXPECT_EQ(fleet.servedThroughEveryNode(), 80U);
    EXPECT_EQ(two_regions::arrivalsAt(fleet.south), 0U);
}

TEST(regions, requestOfATeamStaysInItsRegions)
{
    two_regions fleet(withRegions({}, { "south" }));
    EXPECT_EQ(fleet.servedThroughEveryNode(), 80U);
    EXPECT_EQ(two_regions::arrivalsAt(fleet.north), 0U);
}

TEST(regions, routeAndTeamMustBothAllowARegion)
{
    two_regions fleet(withRegions({ "north" }, { "south" }));
    EXPECT_EQ(fleet.servedThroughEveryNode(), 0U);
    EXPECT_EQ(fleet.network.countStatus(503), 80U);
    EXPECT_EQ(two_regions::arrivalsAt(fleet.north) + two_regions::arrivalsAt(fleet.south), 0U);
}

// A retry of a rejected or silent request must not take the way to the idle servers of the other region.
TEST(regions, retriesAndHedgesStayInTheRegions)
{
    two_regions fleet(withRegions({ "north" }, {}));
    fleet.servedThroughEveryNode();
    fleet.north.front()->rejectedFraction = 1;
    fleet.north.back()->serviceTime = 4s;
    fleet.servedThroughEveryNode();
    EXPECT_EQ(two_regions::arrivalsAt(fleet.south), 0U);
}

// The refusal promises that the request was not executed.
TEST(regions, regionWithoutBackendServerRefuses)
{
    two_regions fleet(withRegions({ "north" }, {}));
    for (auto* each : fleet.north)
        fleet.network.dispatch(*each, backend_reachability { false });
    fleet.network.runFor(2s);
    EXPECT_EQ(fleet.servedThroughEveryNode(), 0U);
    EXPECT_EQ(fleet.network.countStatus(503), 80U);
    EXPECT_EQ(two_regions::arrivalsAt(fleet.north) + two_regions::arrivalsAt(fleet.south), 0U);
}

// The weights of a route cannot hold for a request whose regions have no server of one of its services.
TEST(regions, splitUsesTheServicesThatTheRegionsHave)
{
    auto config = withRegions({ "north" }, {});
    config.routes.back().services = { { "orders", 9 }, { "stock", 1 } };
    two_regions fleet(config);
    EXPECT_EQ(fleet.servedThroughEveryNode(), 80U);
}

} // namespace
