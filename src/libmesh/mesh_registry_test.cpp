// Guards a node's entry in the store: written under a lease, kept alive, rewritten after its lease expired or after an
// outage, and revoked on a planned shutdown.

#include <gtest/gtest.h>
#include <limpetcroft/mesh.h>

using namespace limpet;
using namespace limpet::mesh;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { duration(1000s) };

/// A store that replies to every call, or fails it while it is unavailable.
struct fake_store {
    store_lease nextLease = 7;
    bool unavailable = false;
    bool leaseExpired = false;
    std::vector<store_operation> seen;

    result<store_reply> answer(const store_operation& operation)
    {
        seen.push_back(operation);
        if (unavailable)
            return fail(error_kind::unavailable, "down");
        if (std::holds_alternative<store_get>(operation))
            return store_get_reply { {}, 10 };
        if (std::holds_alternative<store_txn>(operation))
            return store_txn_reply { true, {}, 11 };
        if (std::holds_alternative<store_lease_grant>(operation)) {
            leaseExpired = false;
            return store_lease_reply { ++nextLease, 6s };
        }
        return store_lease_reply { nextLease, leaseExpired ? 0s : 6s };
    }

    template <typename Operation> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(),
            [](const store_operation& each) { return std::holds_alternative<Operation>(each); }));
    }
};

struct registry_fixture {
    fake_store store;
    mesh::registry subject { { "conf", "nodes/", "a", "10.0.0.1:7000" } };
    time_point now = start;

    registry_fixture()
    {
        mesh::registry::outcome out;
        subject.readConfiguration(true, now, out);
    }

    void applyActions(mesh::registry::outcome out)
    {
        while (!out.calls.empty()) {
            mesh::registry::outcome next;
            for (const auto& call : out.calls)
                subject.handle({ call.token, store.answer(call.operation) }, now, next);
            out = std::move(next);
        }
    }

    void runFor(duration length)
    {
        const auto end = now + length;
        while (now < end) {
            mesh::registry::outcome out;
            subject.tick(now, out);
            applyActions(std::move(out));
            now += 50ms;
        }
    }
};

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
    EXPECT_EQ(fixture.store.count<store_lease_revoke>(), 1U);
    fixture.now += 60s;
    mesh::registry::outcome later;
    fixture.subject.tick(fixture.now, later);
    EXPECT_TRUE(later.calls.empty());
    EXPECT_EQ(fixture.subject.nextTimer(), time_point::max());
}

std::size_t configurationReads(const registry_fixture& fixture)
{
    return static_cast<std::size_t>(
        std::count_if(fixture.store.seen.begin(), fixture.store.seen.end(), [](const auto& each) {
            const auto* get = std::get_if<store_get>(&each);
            return get && get->key == "conf";
        }));
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
