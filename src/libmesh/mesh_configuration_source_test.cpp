// Guards that few nodes read the configuration from the store: a configuration that each node read for itself filled
// the link between two regions, so that calls and their cancels crossed it a second late.

#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

/// A node with two peers of its zone whose names come before its own.
struct later_node : node_with_peers {
    later_node()
        : node_with_peers("stock")
    {
        namePrefix = "0-";
        refreshPeers();
        out.clear();
    }

    bool readsConfiguration() const { return subject.readsConfiguration(now); }
};

TEST(configuration_source, isTheStoreForTheFirstNodeOfAZone)
{
    node_with_peers first("stock");
    EXPECT_TRUE(first.subject.readsConfiguration(first.now));
    later_node later;
    EXPECT_FALSE(later.readsConfiguration());
}

TEST(configuration_source, isTheStoreWhenTheFirstNodesAreSilent)
{
    later_node node;
    node.now += 1200ms;
    EXPECT_TRUE(node.readsConfiguration());
}

TEST(configuration_source, isTheStoreWhenTheFirstNodesHaveLostIt)
{
    later_node node;
    node.storeLost = true;
    node.refreshPeers();
    EXPECT_TRUE(node.readsConfiguration());
}

TEST(configuration_source, isAnotherNodeAtOnceForTheOthers)
{
    later_node node;
    node.configurationVersion = 2;
    node.refreshPeers();
    node.advance(1ms);
    EXPECT_EQ(node.pulls(), 1U);
}

// The first node of the zone gets a new configuration at about the same time as those of other regions.
TEST(configuration_source, isNoNodeOfAnotherRegionWhileTheOwnZoneMayGetIt)
{
    later_node node;
    node.configurationVersion = 2;
    node.namePrefix = "other-";
    node.region = "south";
    node.refreshPeers();
    node.advance(500ms);
    EXPECT_EQ(node.pulls(), 0U);
    node.namePrefix = "0-";
    node.region = "north";
    node.refreshPeers();
    node.advance(1ms);
    EXPECT_EQ(node.pulls(), 1U);
}

/// A node that has just started and knows nobody.
struct lone_node : node_fixture {
    lone_node() { advance(1ms); }

    /// Lists a node of that zone, as found before the own entry was written.
    void listEarly(const std::string& zone)
    {
        nodes_listed listed;
        listed.nodes.push_back({ { "10.0.0.2", 7000 }, zone });
        listed.preliminary = true;
        handle(listed);
    }

    bool readsConfigurationSoon() const { return subject.readsConfiguration(now + 150ms); }
};

TEST(configuration_source, isTheStoreSoonAfterNodesOfTheZoneWereListed)
{
    lone_node node;
    node.listEarly("north-a");
    EXPECT_FALSE(node.subject.readsConfiguration(node.now));
    EXPECT_TRUE(node.readsConfigurationSoon());
}

// An early list may lack all nodes of the zone.
TEST(configuration_source, isNotTheStoreSoonAfterAnEarlyListWithoutTheZone)
{
    lone_node node;
    node.listEarly("north-b");
    EXPECT_FALSE(node.readsConfigurationSoon());
    node.handle(nodes_listed {});
    EXPECT_TRUE(node.readsConfigurationSoon());
}

/// Lets a node and its zone lose the store while a node of another region has had a new configuration for 0.5 s.
void loseStore(node_with_peers& node)
{
    node.handle(store_reachability { false });
    node.storeLost = true;
    node.refreshPeers();
    node.configurationVersion = 2;
    node.namePrefix = "other-";
    node.region = "south";
    node.refreshPeers();
    node.advance(500ms);
    EXPECT_FALSE(node.subject.readsConfiguration(node.now));
}

// All nodes of a region lost the store for a while, and each of them fetched the configuration across the regions.
TEST(configuration_source, isAnotherRegionForOneNodeOfAZoneThatHasLostTheStore)
{
    later_node later;
    loseStore(later);
    EXPECT_EQ(later.pulls(), 0U);

    node_with_peers first("stock");
    loseStore(first);
    EXPECT_EQ(first.pulls(), 1U);
}

// The link to the node that has the configuration may be silent.
TEST(configuration_source, isTheStoreWhenNoNodeSendsTheConfiguration)
{
    later_node node;
    node.configurationVersion = 2;
    node.refreshPeers();
    EXPECT_FALSE(node.readsConfiguration());
    node.now += 1600ms;
    node.refreshPeers();
    EXPECT_FALSE(node.readsConfiguration()) << "the node before this one reads it first, over a link that may be full";
    node.now += 1800ms;
    node.refreshPeers();
    EXPECT_TRUE(node.readsConfiguration());
    node.configure(sampleConfiguration(2));
    EXPECT_FALSE(node.readsConfiguration());
}

/// A node that has just started, whose peers hold version 2.
struct node_among_newer : node_with_peers {
    node_among_newer()
        : node_with_peers("stock")
    {
        subject = node(makeOptions("a", "none"));
        configurationVersion = 2;
        refreshPeers();
        out.clear();
    }
};

// The store had been restored from a copy; a node that started then served by the older version that it read there.
TEST(started_node, doesNotServeByAnOlderConfigurationThanOthersHold)
{
    node_among_newer node;
    node.configure(sampleConfiguration(1));
    node.advance(1ms);
    EXPECT_FALSE(node.subject.ready());
    EXPECT_EQ(node.statusOf(node.request()), 503);
    EXPECT_EQ(node.pulls(), 1U);
    node.configure(sampleConfiguration(2));
    EXPECT_TRUE(node.subject.ready());
    EXPECT_EQ(node.subject.configurationVersion(), 2U);
}

TEST(started_node, servesByTheConfigurationOfTheStoreWhenTheOthersHaveGone)
{
    node_among_newer node;
    node.configure(sampleConfiguration(1));
    node.advance(1s);
    EXPECT_FALSE(node.subject.ready());
    node.advance(1s);
    EXPECT_TRUE(node.subject.ready());
}

// A status may name a version that nobody has.
TEST(started_node, doesNotWaitForANewerConfigurationWithoutEnd)
{
    node_among_newer node;
    node.configure(sampleConfiguration(1));
    for (int number = 0; number < 19; ++number) {
        node.refreshPeers();
        node.advance(500ms);
        EXPECT_FALSE(node.subject.ready());
    }
    node.refreshPeers();
    node.advance(600ms);
    EXPECT_TRUE(node.subject.ready());
}

// Only a start is held up: a node that serves goes on while it gets a newer version.
TEST(running_node, servesOnWhileOthersHoldANewerConfiguration)
{
    node_with_peers node("stock");
    node.configurationVersion = 2;
    node.refreshPeers();
    node.advance(1ms);
    EXPECT_TRUE(node.subject.ready());
}

} // namespace
