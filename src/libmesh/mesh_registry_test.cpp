// Guards a node's entry in the store: written under a lease, kept alive, rewritten after its lease expired, after an
// outage or when the store was restored from a copy, and erased on a planned shutdown.

#include "mesh_registry_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

TEST(registry, writesItsEntryUnderALeaseAndRenewsIt)
{
    registry_fixture fixture;
    fixture.runFor(10s);
    EXPECT_EQ(fixture.store.count<store_lease_grant>(), 1U);
    EXPECT_EQ(fixture.store.count<store_txn>(), 1U);
    EXPECT_GE(fixture.store.count<store_lease_keep_alive>(), 3U);
}

// An entry whose lease expired during an outage must be rewritten within two seconds after the store returns.
TEST(registry, writesItsEntryAgainSoonAfterTheStoreReturns)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    fixture.store.unavailable = true;
    fixture.runFor(9s);
    fixture.store.unavailable = false;
    fixture.store.leaseExpired = true;
    const auto before = fixture.store.count<store_txn>();
    fixture.runFor(1500ms);
    EXPECT_EQ(fixture.store.count<store_txn>(), before + 1);
}

// Timers that stay due after leaving would keep the event loop busy until the node is killed.
TEST(registry, hasNoTimerAfterLeaving)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    mesh::registry::outcome out;
    fixture.subject.leave(out);
    fixture.applyActions(std::move(out));
    EXPECT_TRUE(fixture.store.entries.empty());
    fixture.now += 60s;
    mesh::registry::outcome later;
    fixture.subject.tick(fixture.now, later);
    EXPECT_TRUE(later.calls.empty());
    EXPECT_EQ(fixture.subject.nextTimer(), time_point::max());
}

// Nodes that all started at once each read a large configuration over the link between the regions.
TEST(registry, doesNotReadTheConfigurationBeforeThatIsWanted)
{
    registry_fixture fixture;
    fixture.subject = mesh::registry { { "conf", "nodes/", "a", "10.0.0.1:7000" } };
    fixture.runFor(3s);
    EXPECT_EQ(configurationReads(fixture), 0U);
    EXPECT_EQ(fixture.store.count<store_txn>(), 1U);
}

/// Returns the calls that list the nodes.
std::vector<store_get> listsIn(const std::vector<store_operation>& operations)
{
    std::vector<store_get> lists;
    for (const auto& each : operations) {
        if (const auto* get = std::get_if<store_get>(&each); get && get->prefix)
            lists.push_back(*get);
    }
    return lists;
}

// After a power loss of all nodes, each waited for two exchanges with the store before it knew whom to ask.
TEST(registry, listsTheNodesAtOnceAndAgainWhenItsEntryIsWritten)
{
    registry_fixture fixture;
    fixture.runFor(150ms);
    const auto lists = listsIn(fixture.store.seen);
    ASSERT_EQ(lists.size(), 2U);
    EXPECT_TRUE(lists.front().stale);
    EXPECT_FALSE(lists.back().stale) << "holds every node registered before";
    fixture.runFor(20s);
    for (const auto& each : listsIn(std::vector(fixture.store.seen.begin() + 5, fixture.store.seen.end())))
        EXPECT_TRUE(each.stale);
}

// The list that was requested before may lack nodes.
TEST(registry, listsTheNodesAgainWhenItsEntryIsWrittenBeforeTheFirstListArrives)
{
    registry_fixture fixture;
    mesh::registry::outcome out;
    fixture.subject.tick(fixture.now, out);
    const auto calls = std::exchange(out.calls, {});
    const auto isList = [](const store_call& call) { return !listsIn(std::vector { call.operation }).empty(); };
    const auto early = std::find_if(calls.begin(), calls.end(), isList);
    ASSERT_NE(early, calls.end());
    for (const auto& call : calls) {
        if (!isList(call))
            fixture.subject.handle({ call.token, fixture.store.answer(call.operation) }, fixture.now, out);
    }
    fixture.applyActions(std::move(out));
    fixture.runFor(1ms);
    EXPECT_EQ(fixture.store.count<store_txn>(), 1U);
    mesh::registry::outcome first;
    fixture.subject.handle({ early->token, fixture.store.answer(early->operation) }, fixture.now, first);
    EXPECT_TRUE(first.entriesArePreliminary);
    mesh::registry::outcome second;
    fixture.subject.tick(fixture.now, second);
    ASSERT_EQ(second.calls.size(), 1U);
    EXPECT_FALSE(std::get<store_get>(second.calls.front().operation).stale);
}

TEST(registry, readsTheConfigurationAgainAfterItsWatchEnded)
{
    registry_fixture fixture;
    fixture.runFor(1s);
    const auto before = configurationReads(fixture);
    fixture.subject.watchEnded(fixture.now);
    fixture.runFor(300ms);
    EXPECT_EQ(configurationReads(fixture), before + 1);
}

// A read that timed out on a full link was repeated until the link was free of calls, not of configurations.
TEST(registry, doesNotProbeTheStoreByReadingTheConfiguration)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    fixture.subject.watchEnded(fixture.now);
    fixture.store.unavailable = true;
    fixture.runFor(500ms);
    const auto before = configurationReads(fixture);
    fixture.runFor(5s);
    EXPECT_EQ(configurationReads(fixture), before);
}

// Another node has taken its place meanwhile.
TEST(registry, doesNotRepeatAReadThatIsNoLongerWanted)
{
    registry_fixture fixture;
    fixture.runFor(1s);
    const auto before = configurationReads(fixture);
    fixture.subject.watchEnded(fixture.now);
    mesh::registry::outcome out;
    fixture.subject.readConfiguration(false, fixture.now, out);
    fixture.runFor(1s);
    EXPECT_EQ(configurationReads(fixture), before);
    EXPECT_GT(fixture.subject.nextTimer(), fixture.now - 50ms);
}

// The connection of the watch may have been lost unnoticed during the outage.
TEST(registry, readsTheConfigurationAgainAfterTheStoreWasLost)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    const auto before = configurationReads(fixture);
    fixture.store.unavailable = true;
    fixture.runFor(4s);
    fixture.store.unavailable = false;
    fixture.runFor(1s);
    EXPECT_EQ(configurationReads(fixture), before + 1);
}

// Each read and each event of a watch transfers the whole configuration.
TEST(registry, neitherReadsNorWatchesTheConfigurationWhileOtherNodesDo)
{
    registry_fixture fixture;
    fixture.runFor(1s);
    mesh::registry::outcome out;
    for (int second = 0; second < 7 && !out.unwatch; ++second) {
        fixture.subject.readConfiguration(false, fixture.now, out);
        fixture.runFor(1s);
    }
    EXPECT_TRUE(out.unwatch);
    const auto before = configurationReads(fixture);
    fixture.subject.watchEnded(fixture.now);
    fixture.store.unavailable = true;
    fixture.runFor(4s);
    fixture.store.unavailable = false;
    fixture.runFor(1s);
    EXPECT_EQ(configurationReads(fixture), before);
}

// A lease number of the store before it was restored may be that of another node.
TEST(registry, leavesWithoutEndingALeaseByItsNumber)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    fixture.store.restore();
    fixture.store.entries["nodes/b"] = { "nodes/b", "10.0.0.2:7000", 5, fixture.store.nextLease };
    mesh::registry::outcome out;
    fixture.subject.leave(out);
    fixture.applyActions(std::move(out));
    EXPECT_EQ(fixture.store.count<store_lease_revoke>(), 0U);
    EXPECT_EQ(fixture.store.entries.count("nodes/b"), 1U);
}

// Nobody called into the absence of the store: a watch from a revision that is given out again reported nothing.
TEST(registry, readsAndWatchesAgainSoonAfterTheStoreWasRestored)
{
    for (const auto phase : { 0ms, 300ms, 700ms, 950ms }) {
        registry_fixture fixture;
        fixture.runFor(4s + phase);
        const auto before = configurationReads(fixture);
        EXPECT_EQ(fixture.watchedFrom->era, 1U);
        fixture.store.restore();
        fixture.runFor(1100ms);
        EXPECT_EQ(configurationReads(fixture), before + 1) << phase.count();
        ASSERT_TRUE(fixture.watchedFrom) << phase.count();
        EXPECT_EQ(fixture.watchedFrom->era, 2U) << phase.count();
        EXPECT_EQ(fixture.subject.storeRestores(), 1U);
    }
}

// The renewal of a lease that another node holds by now was taken as proof that the own entry stands.
TEST(registry, writesItsEntryUnderANewLeaseAfterTheStoreWasRestored)
{
    registry_fixture fixture;
    fixture.runFor(4s);
    const auto before = fixture.store.nextLease;
    fixture.store.restore();
    fixture.runFor(2500ms);
    EXPECT_GT(fixture.store.nextLease, before);
    ASSERT_EQ(fixture.store.entries.count("nodes/a"), 1U);
    EXPECT_EQ(fixture.store.entries.at("nodes/a").lease, fixture.store.nextLease);
    const auto lists = listsIn(fixture.store.seen);
    EXPECT_FALSE(lists.back().stale) << "nodes that were listed before may be missing from the copy, and others return";
}

// Other nodes took one whose first reply after an absence showed a restore for cut off, until its turn to register
// came.
TEST(registry, reachesTheStoreWhoseReplyShowsThatItWasRestored)
{
    mesh::registry::options options { "conf", "nodes/", "a", "10.0.0.1:7000" };
    options.registrationOrder = 1;
    options.registrationsPerSecond = 0.1;
    registry_fixture fixture;
    fixture.subject = mesh::registry { options };
    fixture.runFor(3s);
    fixture.store.unavailable = true;
    fixture.runFor(4s);
    EXPECT_FALSE(fixture.subject.storeReachable());
    fixture.store.unavailable = false;
    fixture.store.restore();
    const auto grants = fixture.store.count<store_lease_grant>();
    fixture.runFor(1s);
    EXPECT_EQ(fixture.subject.storeRestores(), 1U);
    EXPECT_TRUE(fixture.subject.storeReachable());
    EXPECT_EQ(fixture.store.count<store_lease_grant>(), grants) << "its turn has not come";
}

// Several restores may follow each other before a node has registered again.
TEST(registry, registersOnceMoreAfterEachOfSeveralRestores)
{
    registry_fixture fixture;
    fixture.runFor(4s);
    for (int count = 0; count < 4; ++count) {
        fixture.store.restore();
        fixture.runFor(150ms);
    }
    fixture.runFor(2500ms);
    EXPECT_EQ(fixture.store.entries.at("nodes/a").lease, fixture.store.nextLease);
    EXPECT_EQ(fixture.watchedFrom->era, fixture.store.era);
}

// A read that was answered before the store was restored, and arrived after it, named a position to watch from.
TEST(registry, dropsRepliesOfTheStoreBeforeItWasRestored)
{
    registry_fixture fixture;
    fixture.runFor(1s);
    fixture.subject.watchEnded(fixture.now);
    fixture.now += 200ms;
    mesh::registry::outcome out;
    fixture.subject.tick(fixture.now, out);
    const auto late = std::find_if(out.calls.begin(), out.calls.end(), [](const store_call& each) {
        const auto* get = std::get_if<store_get>(&each.operation);
        return get && get->key == "conf";
    });
    ASSERT_NE(late, out.calls.end());
    mesh::registry::outcome risen;
    EXPECT_EQ(fixture.subject.observeEra(2, "watch", fixture.now, risen), era_change::risen);
    EXPECT_TRUE(risen.unwatch);
    mesh::registry::outcome next;
    store_get_reply old { { { "conf", "older" } }, 99 };
    fixture.subject.handle({ late->token, old, 1 }, fixture.now, next);
    EXPECT_FALSE(next.document);
    EXPECT_FALSE(next.watchFrom);
}

// A write sent before the store was restored and executed after it bound the entry to the lease of another node.
TEST(registry, writesItsEntryAgainWhenAListShowsItUnderAnotherLease)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    fixture.store.entries.at("nodes/a").lease = 3;
    fixture.runFor(10s);
    EXPECT_EQ(fixture.store.entries.at("nodes/a").lease, fixture.store.nextLease);
    fixture.store.entries.clear();
    fixture.runFor(10s);
    EXPECT_EQ(fixture.store.entries.count("nodes/a"), 1U);
}

// Thousands of nodes that registered at once would exceed the writes that the store accepts.
TEST(registry, nodesRegisterAgainSpreadOverTime)
{
    constexpr int nodes = 300;
    std::vector<time_point> writes;
    for (int index = 0; index < nodes; ++index) {
        mesh::registry::options options { "conf", "nodes/", "a", "10.0.0.1:7000" };
        options.registrationOrder = index / static_cast<double>(nodes);
        registry_fixture fixture;
        fixture.subject = mesh::registry { options };
        for (int other = 0; other < nodes - 1; ++other)
            fixture.store.entries["nodes/n" + std::to_string(other)] = { "nodes/n" + std::to_string(other), "", 5, 1 };
        fixture.runFor(4s);
        const auto restored = fixture.now;
        const auto before = fixture.store.count<store_txn>();
        fixture.store.restore();
        while (fixture.store.count<store_txn>() == before && fixture.now < restored + 10s)
            fixture.runFor(50ms);
        writes.push_back(fixture.now);
    }
    std::sort(writes.begin(), writes.end());
    EXPECT_LE(writes.back() - writes.front(), 3500ms);
    for (std::size_t index = 0; index + 150 < writes.size(); ++index)
        EXPECT_GE(writes[index + 150] - writes[index], 1s) << "more than 150 writes in a second";
}

TEST(registry, readsTheConfigurationAtOnceWhenNoOtherNodeDoes)
{
    registry_fixture fixture;
    mesh::registry::outcome out;
    for (int second = 0; second < 7; ++second) {
        fixture.subject.readConfiguration(false, fixture.now, out);
        fixture.runFor(1s);
    }
    const auto before = configurationReads(fixture);
    fixture.subject.readConfiguration(true, fixture.now, out);
    fixture.runFor(100ms);
    EXPECT_EQ(configurationReads(fixture), before + 1);
}

} // namespace
