// Guards that a node notices changes of the configuration and of evacuations, also when its watch has gone silent.

#include "mesh_registry_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

// review/7: a watch whose connection had gone silent was believed for up to 25 s.
TEST(registry, checksItsWatchSoOftenThatAMissedChangeIsInTime)
{
    registry_fixture fixture;
    fixture.runFor(2s);
    const auto before = fixture.watchChecks;
    const auto reads = configurationReads(fixture);
    fixture.missedByWatch = 1;
    fixture.runFor(1100ms);
    EXPECT_GE(fixture.watchChecks, before + 1);
    EXPECT_EQ(fixture.logged, std::vector<std::string> { "watch_silent" });
    fixture.runFor(60s);
    EXPECT_LE(fixture.watchChecks, before + 62) << "each check is a billed call";
    EXPECT_EQ(configurationReads(fixture), reads) << "a check does not transfer the configuration";
}

// Only the few nodes that watch the configuration check their watch.
TEST(registry, checksNoWatchThatHasEnded)
{
    registry_fixture fixture;
    fixture.runFor(2s);
    mesh::registry::outcome out;
    for (int second = 0; second < 7 && !out.unwatch; ++second) {
        fixture.subject.readConfiguration(false, fixture.now, out);
        fixture.runFor(1s);
    }
    ASSERT_TRUE(out.unwatch);
    const auto before = fixture.watchChecks;
    fixture.runFor(10s);
    EXPECT_EQ(fixture.watchChecks, before);
}

// While the store is away, a check is one of the calls that probe it, and none beside them.
TEST(registry, checksItsWatchNoMoreOftenWhileTheStoreIsAway)
{
    registry_fixture fixture;
    fixture.runFor(3s);
    fixture.store.unavailable = true;
    const auto before = fixture.watchChecks + fixture.store.seen.size();
    fixture.runFor(4s);
    EXPECT_LE(fixture.watchChecks + fixture.store.seen.size() - before, 12U);
    EXPECT_FALSE(fixture.subject.storeReachable());
    fixture.store.unavailable = false;
    const auto reads = configurationReads(fixture);
    fixture.runFor(1s);
    EXPECT_EQ(configurationReads(fixture), reads + 1);
}

/// Reads evacuations from keys with the prefix "evacuate/".
struct evacuation_fixture : registry_fixture {
    evacuation_fixture()
    {
        mesh::registry::options options { "conf", "nodes/", "a", "10.0.0.1:7000" };
        options.evacuationPrefix = "evacuate/";
        subject = mesh::registry(options);
        mesh::registry::outcome out;
        subject.readConfiguration(true, now, out);
        store.entries["conf"] = { "conf", "x", 3 };
    }

    std::size_t reads() const
    {
        return static_cast<std::size_t>(std::count_if(store.seen.begin(), store.seen.end(), [](const auto& each) {
            const auto* get = std::get_if<store_get>(&each);
            return get && get->key == "evacuate/";
        }));
    }

    void evacuate(const std::string& zone) { store.entries["evacuate/" + zone] = { "evacuate/" + zone, "{}", 9 }; }
};

TEST(registry, readsEvacuationsAfterTheConfiguration)
{
    evacuation_fixture fixture;
    fixture.evacuate("north-a");
    fixture.runFor(1s);
    ASSERT_TRUE(fixture.evacuations);
    EXPECT_EQ(fixture.evacuations->zones, std::vector<std::string> { "north-a" });
    EXPECT_EQ(fixture.evacuations->position.revision, 10);
    EXPECT_EQ(fixture.evacuations->position.era, 1U);
    EXPECT_EQ(fixture.reads(), 1U);
}

TEST(registry, readsEvacuationsAgainWhenTheyChange)
{
    evacuation_fixture fixture;
    fixture.runFor(1s);
    ASSERT_TRUE(fixture.evacuations);
    EXPECT_TRUE(fixture.evacuations->zones.empty());
    fixture.evacuate("north-a");
    fixture.subject.evacuationsChanged(fixture.now);
    fixture.runFor(100ms);
    EXPECT_EQ(fixture.evacuations->zones.size(), 1U);
}

// A read that was answered before the change must not hide it.
TEST(registry, changeDuringAReadIsReadAfterIt)
{
    evacuation_fixture fixture;
    fixture.runFor(1s);
    fixture.subject.evacuationsChanged(fixture.now);
    mesh::registry::outcome reading;
    fixture.subject.tick(fixture.now, reading);
    ASSERT_EQ(reading.calls.size(), 1U);
    const auto early = fixture.store.answer(reading.calls.front().operation);
    fixture.evacuate("north-a");
    fixture.subject.evacuationsChanged(fixture.now);
    mesh::registry::outcome late;
    fixture.subject.handle({ reading.calls.front().token, early, 1 }, fixture.now, late);
    EXPECT_FALSE(late.evacuations);
    fixture.runFor(100ms);
    EXPECT_EQ(fixture.evacuations->zones.size(), 1U);
}

TEST(registry, readsEvacuationsAgainAfterAnOutage)
{
    evacuation_fixture fixture;
    fixture.runFor(1s);
    fixture.store.unavailable = true;
    fixture.runFor(5s);
    fixture.evacuate("north-a");
    fixture.store.unavailable = false;
    fixture.runFor(1500ms);
    EXPECT_EQ(fixture.evacuations->zones.size(), 1U);
}

TEST(registry, readsEvacuationsAgainWhenTheStoreWasRestored)
{
    evacuation_fixture fixture;
    fixture.evacuate("north-a");
    fixture.runFor(2s);
    fixture.store.restore();
    fixture.store.entries["conf"] = { "conf", "x", 3 };
    fixture.runFor(3s);
    EXPECT_TRUE(fixture.evacuations->zones.empty());
    EXPECT_EQ(fixture.evacuations->position.era, 2U);
}

TEST(registry, readsNoEvacuationsWhereThereAreNone)
{
    registry_fixture fixture;
    fixture.store.entries["conf"] = { "conf", "x", 3 };
    fixture.subject.evacuationsChanged(fixture.now);
    fixture.runFor(3s);
    EXPECT_FALSE(fixture.evacuations);
}

} // namespace
