#include "quota_driver_test.h"

#include <gtest/gtest.h>

using namespace limpet;
using namespace limpet::driver;
using namespace std::chrono_literals;

namespace {

constexpr duration warmUp = 20s; // because buckets start empty

std::vector<team_rule> rules() { return { { "a", 400, 400 }, { "b", 20, 20 }, { "c", 2, 2 }, { "d", 0.5, 1 } }; }

std::function<std::size_t()> anyNode(fleet& fleet)
{
    return [&fleet] { return fleet.random.below(fleet.nodes.size()); };
}

void loadAll(fleet& fleet, double loadFraction, duration length)
{
    for (const team_rule& rule : rules())
        fleet.load(rule.team, rule.ratePerSecond * loadFraction, length, anyNode(fleet));
}

std::string summary(const fleet& fleet)
{
    std::string text = "seed " + std::to_string(fleet.options.seed);
    for (const auto& [name, team] : fleet.teams)
        text += "; " + name + ": offered " + std::to_string(team.counts.offered) + ", refused "
            + std::to_string(team.counts.refused) + ", wrongful " + std::to_string(team.counts.wrongful) + ", ideal "
            + std::to_string(team.counts.ideal) + ", above the limit " + std::to_string(team.checker.maxExcess());
    return text;
}

double wrongfulFraction(const fleet& fleet)
{
    const demand_counts total = fleet.total();
    return static_cast<double>(total.wrongful) / static_cast<double>(total.offered);
}

// Guards against refused requests when the demand is within the rate, for large teams and for a burst of one.
TEST(QuotaFleet, DemandWithinTheRateIsServed)
{
    fleet fleet({ .seed = 1 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    loadAll(fleet, 0.85, 60s);
    fleet.runFor(62s);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
    EXPECT_LT(wrongfulFraction(fleet), 0.001) << summary(fleet);
    EXPECT_LT(fleet.teams["d"].counts.refused, fleet.teams["d"].counts.ideal + 3) << summary(fleet);
}

// Guards against more admissions than rate and burst allow when the demand is several times the rate.
TEST(QuotaFleet, OverloadIsLimitedToTheRate)
{
    fleet fleet({ .seed = 2, .regions = 3 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    loadAll(fleet, 5, 20s);
    fleet.runFor(22s);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
    EXPECT_GT(fleet.teams["a"].checker.admittedCount(), 0.93 * 400 * 20) << summary(fleet);
    EXPECT_GT(fleet.teams["d"].checker.admittedCount(), 0.8 * 0.5 * 20) << summary(fleet);
}

// Guards against refused requests after the demand has moved to other nodes or to another region.
TEST(QuotaFleet, DemandMovesBetweenNodesAndRegions)
{
    fleet fleet({ .seed = 3, .regions = 2 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    for (int step = 0; step < 10; ++step) {
        const std::size_t first = fleet.random.below(fleet.nodes.size() - 4);
        fleet.load("a", 360, 3s, [&fleet, first] { return first + fleet.random.below(4); });
        fleet.runFor(3s);
    }
    fleet.runFor(2s);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
    EXPECT_LT(wrongfulFraction(fleet), 0.001) << summary(fleet);
}

// Guards against a holder that stops issuing while the store is unreachable, and against a takeover while it continues.
TEST(QuotaFleet, HoldersContinueDuringStoreOutage)
{
    fleet fleet({ .seed = 4 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    const std::size_t before = fleet.holderOf(0);
    ASSERT_LT(before, fleet.nodes.size());
    fleet.storeReachable = [](const auto&) { return false; };
    loadAll(fleet, 0.8, 60s);
    fleet.runFor(62s);
    EXPECT_EQ(fleet.holderOf(0), before);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
    EXPECT_LT(wrongfulFraction(fleet), 0.01) << summary(fleet);
    fleet.storeReachable = [](const auto&) { return true; };
    loadAll(fleet, 0.8, 20s);
    fleet.runFor(22s);
    EXPECT_EQ(fleet.holderOf(0), before);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
}

// Guards against a shard that stays without a holder, and against a successor that issues tokens too early.
TEST(QuotaFleet, KilledHolderIsReplaced)
{
    fleet fleet({ .seed = 5 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    const std::size_t before = fleet.holderOf(0);
    ASSERT_LT(before, fleet.nodes.size());
    loadAll(fleet, 0.5, 60s);
    fleet.kill(before);
    fleet.runFor(30s);
    const std::size_t after = fleet.holderOf(0);
    EXPECT_LT(after, fleet.nodes.size());
    EXPECT_NE(after, before);
    fleet.runFor(32s);
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
}

// Guards against a holder that goes on under a lease that the store has given to another node since it was restored,
// and against a region that stays without a holder.
TEST(QuotaFleet, HolderTakesItsShardOverAgainWhenTheStoreWasRestored)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet fleet({ .seed = seed });
        fleet.setRules(rules());
        fleet.runFor(warmUp);
        const std::size_t before = fleet.holderOf(0);
        ASSERT_LT(before, fleet.nodes.size());
        fleet.copyStore();
        loadAll(fleet, 0.8, 60s);
        fleet.runFor(2s);
        for (int count = 0; count < 3; ++count) {
            fleet.restoreStore();
            fleet.runFor(10s);
            EXPECT_EQ(fleet.holderOf(0), before) << "seed " << seed;
        }
        fleet.runFor(32s);
        EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
        EXPECT_LT(wrongfulFraction(fleet), 0.15) << summary(fleet);
    }
}

// Guards against two holders: the copy names the one before.
TEST(QuotaFleet, CopyOfAnEarlierHolderGivesItNoAuthority)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet fleet({ .seed = seed });
        fleet.setRules(rules());
        fleet.runFor(warmUp);
        const std::size_t first = fleet.holderOf(0);
        fleet.copyStore();
        loadAll(fleet, 2, 90s);
        // The first holder is paused until another one has taken over.
        fleet.pause(first, 25s);
        fleet.runFor(24s);
        const std::size_t second = fleet.holderOf(0);
        ASSERT_LT(second, fleet.nodes.size());
        ASSERT_NE(second, first);
        // It reaches the store and hears from nobody that another node holds its shard.
        const auto* apart = &fleet.nodes[first];
        fleet.partitioned = [apart](const auto& from, const auto& to) { return &from == apart || &to == apart; };
        fleet.runFor(5s);
        fleet.restoreStore();
        fleet.runFor(20s);
        EXPECT_EQ(fleet.holderOf(0), second) << "seed " << seed;
        fleet.runFor(50s);
        EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
    }
}

// Guards against more admissions than the rate allows while the store is restored again and again among other faults.
TEST(QuotaFleet, RestoresAmongFaultsDoNotBreakTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        driver_options options { .seed = seed, .lossProbability = 0.02, .meanJitter = 3ms };
        options.nodesPerZone = 4;
        options.storeReplyLoss = 0.1;
        options.storeDelayProbability = 0.05;
        fleet fleet(options);
        fleet.setRules(rules());
        fleet.runFor(warmUp);
        loadAll(fleet, 1.5, 120s);
        for (int count = 0; count < 12; ++count) {
            fleet.copyStore();
            fleet.runFor(fleet.random.exponential(3s));
            const std::size_t hit = fleet.random.below(fleet.nodes.size());
            switch (fleet.random.below(4)) {
            case 0:
                fleet.pause(hit, fleet.random.exponential(4s));
                break;
            case 1:
                fleet.kill(hit);
                fleet.runFor(500ms);
                fleet.restart(hit);
                break;
            case 2:
                fleet.expireLeases();
                break;
            default:
                break;
            }
            fleet.runFor(fleet.random.exponential(1s));
            fleet.restoreStore();
            fleet.runFor(5s);
        }
        fleet.runFor(5s);
        EXPECT_LE(fleet.maxExcess(), 1e-6) << "seed " << seed << ": " << summary(fleet);
    }
}

// Guards against more admissions than the rate allows while some nodes use the old rules and others the new ones.
TEST(QuotaFleet, RateChangesDoNotBreakTheLimit)
{
    fleet fleet({ .seed = 6, .regions = 3 });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    loadAll(fleet, 3, 60s);
    const std::array<double, 6> factors { 0.05, 1, 0.5, 2, 0.02, 1 };
    for (const double factor : factors) {
        std::vector<team_rule> changed = rules();
        for (team_rule& rule : changed) {
            rule.ratePerSecond *= factor;
            rule.burst = std::max(1.0, rule.burst * factor);
        }
        fleet.setRules(changed);
        fleet.runFor(10s);
    }
    EXPECT_LE(fleet.maxExcess(), 1e-6) << summary(fleet);
}

/// Applies random faults of all kinds under 1.5 times the rate. Returns the largest excess over the limit.
double runRandomFaults(std::uint64_t seed, std::string& text)
{
    driver_options options { .seed = seed, .lossProbability = 0.02, .duplicateProbability = 0.05, .meanJitter = 3ms };
    options.regions = 2 + static_cast<unsigned>(seed % 3);
    options.nodesPerZone = 4;
    options.shards = 1 + static_cast<unsigned>(seed % 2);
    options.storeReplyLoss = 0.1;
    options.storeDelayProbability = 0.05;
    fleet fleet(options);
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    loadAll(fleet, 1.5, 100s);
    for (int step = 0; step < 25; ++step) {
        const std::size_t victim = fleet.random.below(fleet.nodes.size());
        const std::size_t holder = fleet.holderOf(static_cast<unsigned>(fleet.random.below(options.regions)));
        const duration length = fleet.random.exponential(4s);
        switch (fleet.random.below(10)) {
        case 0:
            fleet.kill(victim);
            fleet.scheduleAt(fleet.now + length, [&fleet, victim] { fleet.restart(victim); });
            break;
        case 1:
        case 2:
            fleet.pause(victim, length);
            break;
        case 3:
            if (holder < fleet.nodes.size())
                fleet.pause(holder, length + 3s);
            break;
        case 4:
            if (holder < fleet.nodes.size()) {
                fleet.kill(holder);
                fleet.scheduleAt(fleet.now + length, [&fleet, holder] { fleet.restart(holder); });
            }
            break;
        case 5:
            fleet.expireLeases();
            break;
        case 6: {
            const std::uint64_t mask = fleet.random.next();
            fleet.partitioned = [mask](const auto& left, const auto& right) {
                return ((mask >> (left.settings.self.value % 64)) & 1U)
                    != ((mask >> (right.settings.self.value % 64)) & 1U);
            };
            fleet.scheduleAt(
                fleet.now + length, [&fleet] { fleet.partitioned = [](const auto&, const auto&) { return false; }; });
            break;
        }
        default:
            const std::uint64_t mask = fleet.random.next();
            fleet.storeReachable
                = [mask](const auto& node) { return ((mask >> (node.settings.self.value % 64)) & 1U) != 0; };
            fleet.scheduleAt(
                fleet.now + length * 4, [&fleet] { fleet.storeReachable = [](const auto&) { return true; }; });
        }
        fleet.runFor(4s);
    }
    text = summary(fleet);
    return fleet.maxExcess();
}

// Guards against two holders at a time, tokens spent twice or after they expired, and grants counted twice.
TEST(QuotaFleet, FaultsDoNotBreakTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        std::string text;
        EXPECT_LE(runRandomFaults(seed, text), 1e-6) << text;
    }
}

/// Pauses nodes that hold unused tokens until the bucket has refilled, and resumes them all at a burst of demand.
/// Returns the largest excess over the limit.
double resumeIntoBurst(bool clockStopsInPause, std::string& text)
{
    fleet fleet({ .seed = 7, .regions = 1, .clockStopsInPause = clockStopsInPause });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    loadAll(fleet, 0.5, 5s);
    fleet.runFor(5s);
    const std::size_t holder = fleet.holderOf(0);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        if (i != holder)
            fleet.pause(i, 6s);
    }
    fleet.runFor(6s);
    loadAll(fleet, 20, 1s);
    fleet.runFor(3s);
    text = summary(fleet);
    return fleet.maxExcess();
}

// Guards against expired tokens that are spent after a pause. With a clock that stands still during the pause they are
// spent, which shows that the checker detects it.
TEST(QuotaFleet, TokensExpireDuringAPause)
{
    std::string text;
    EXPECT_LE(resumeIntoBurst(false, text), 1e-6) << text;
    EXPECT_GT(resumeIntoBurst(true, text), 10) << text;
}

} // namespace
