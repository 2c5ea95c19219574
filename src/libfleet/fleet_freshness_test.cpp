// Guards the rules of confirmation: an age is never understated, and an outage is believed only from every region.

#include "freshness.h"

#include <gtest/gtest.h>
#include <iostream>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

const place_key etela = makePlaceKey("etela");
const place_key pohjoinen = makePlaceKey("pohjoinen");
const time_point start { 1000s };

freshness twoRegions() { return { { "etela", "pohjoinen" }, 4s }; }

} // namespace

// Guards against confirmation beyond the bound or by a head that this node does not hold.
TEST(Freshness, ConfirmsWithinTheBoundOnly)
{
    auto values = twoRegions();
    values.hold(5);
    EXPECT_FALSE(values.confirmed(start));
    values.reached(etela, 5, start);
    EXPECT_TRUE(values.confirmed(start + 4s));
    EXPECT_FALSE(values.confirmed(start + 4001ms));
    values.reached(etela, 6, start + 3s);
    EXPECT_FALSE(values.confirmed(start + 5s)) << "head 6 is not held";
    values.hold(6);
    EXPECT_TRUE(values.confirmed(start + 7s));
}

// Guards against an outage that is inferred while a region is unheard or somebody reaches the store.
TEST(Freshness, OutageNeedsEveryRegion)
{
    struct {
        const char* name;
        std::optional<time_point> missedEtela, missedPohjoinen, reached;
        bool down;
    } cases[] = {
        { "nobody spoke", {}, {}, {}, false },
        { "down for everyone", start, start, {}, true },
        { "one region unheard", start, {}, {}, false },
        { "one region stale", start, start - 5s, {}, false },
        { "reached by one", start, start, start - 1s, false },
        { "reached long ago", start, start, start - 5s, true },
    };
    for (const auto& each : cases) {
        auto values = twoRegions();
        values.hold(1);
        if (each.missedEtela)
            values.missed(etela, *each.missedEtela);
        if (each.missedPohjoinen)
            values.missed(pohjoinen, *each.missedPohjoinen);
        if (each.reached)
            values.reached(pohjoinen, 1, *each.reached);
        EXPECT_EQ(values.storeDownForEveryone(start), each.down) << each.name;
    }
    freshness unnamed({}, 4s);
    unnamed.missed(etela, start);
    EXPECT_FALSE(unnamed.storeDownForEveryone(start)) << "the regions of the deployment are not known";
}

// Guards against an understated age: whatever the delays and clock rates, the earliest possible sending moment that a
// node computes is not after the true one.
TEST(Freshness, ClockMapNeverUnderstatesAge)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        clock_map clocks(0.001);
        const node_id peer { 7 };
        const double ownRate = 1 + 0.0004 * (2 * random.uniform() - 1);
        const double peerRate = 1 + 0.0004 * (2 * random.uniform() - 1);
        auto own = [&](double seconds) { return time_point(duration(std::int64_t(5e8 + seconds * 1e6 * ownRate))); };
        auto their = [&](double seconds) { return std::int64_t(9e11 + seconds * 1e6 * peerRate); };
        double now = 0;
        for (int round = 0; round < 200; ++round) {
            now += random.uniform() * 20;
            const double ping = now;
            const double answered = ping + random.uniform() * (random.below(10) == 0 ? 8 : 0.1);
            clocks.calibrate(peer, 1, own(ping), their(answered));
            const double sent = ping + random.uniform() * 30 - 5;
            auto earliest = clocks.earliest(peer, 1, their(sent));
            ASSERT_TRUE(earliest);
            ASSERT_LE(*earliest, own(sent) + 2us) << "seed " << seed;
            ASSERT_GE(*earliest, own(sent) - 9s) << "seed " << seed << ": useless bound";
        }
        EXPECT_FALSE(clocks.earliest(peer, 2, 0)) << "another incarnation has another clock";
    }
}
