// Runs of a whole fleet with faults. Each run prints its seed.

#include "fleet_driver.h"

#include <gtest/gtest.h>
#include <iostream>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

std::vector<fleet_driver::place> sixZones()
{
    return { { "etela", "etela-1" }, { "etela", "etela-2" }, { "pohjoinen", "pohjoinen-1" },
        { "pohjoinen", "pohjoinen-2" }, { "izmir", "izmir-1" }, { "izmir", "izmir-2" } };
}

configuration sampleConfiguration(std::size_t keys)
{
    configuration config;
    config.teams.push_back({ "planning", 100, 200, "Aino" });
    config.routes.push_back({ "GET", "/stock", "stock", 5, 2s, true, false, 1, "Aino" });
    for (std::size_t index = 0; index < keys; ++index)
        config.keys.push_back({ "planning", "key-" + std::to_string(index), digestOf(std::to_string(index)) });
    return config;
}

// A fleet of 108 nodes and the checks that hold at every moment of every run.
class fleet_run {
public:
    explicit fleet_run(std::uint64_t seed)
        : driver(seed, sixZones(), 18, 5)
    {
        std::cout << "seed " << seed << "\n";
        driver.write(sampleConfiguration(40));
        acceptedAt.push_back(driver.now);
    }
    void startAll()
    {
        for (std::size_t index = 0; index < driver.nodes.size(); ++index)
            driver.start(index);
        run(30s);
    }
    // Withdraws one key.
    revision withdraw()
    {
        auto next = driver.accepted;
        next.keys.pop_back();
        acceptedAt.push_back(driver.now);
        return driver.write(next);
    }
    void run(duration length)
    {
        for (const auto end = driver.now + length; driver.now < end;) {
            driver.run(100ms);
            check();
        }
    }
    void check()
    {
        constexpr duration slack = 2s;
        for (std::size_t index = 0; index < driver.nodes.size(); ++index) {
            auto& node = driver.nodes[index];
            if (!node.up)
                continue;
            const auto inForce = node.decisions->inForce();
            if (node.forced != 0 && node.hadConfiguration == node.settings.self.run && !inForce)
                fault(node, "lost its configuration, which closes the open routes");
            if (!inForce)
                continue;
            node.hadConfiguration = node.settings.self.run;
            // Each revision withdraws a key, so a held revision that was replaced too long ago still honours one.
            const auto replaced = inForce->number + 1;
            const bool outdated = replaced < acceptedAt.size()
                && driver.now > acceptedAt[replaced] + node.settings.confirmationBound + slack;
            if (outdated && node.decisions->keyedCallsAllowed(driver.local(index)))
                fault(
                    node, "runs calls with a key withdrawn too long ago, revision " + std::to_string(inForce->number));
        }
        if (driver.now.count() % 1'000'000 == 0)
            checkServices();
    }
    // A service must keep a live member in every view as long as it has live members.
    void checkServices()
    {
        std::set<std::string> running;
        for (const auto& node : driver.nodes)
            if (node.up)
                running.insert(node.settings.self.service);
        for (auto& node : driver.nodes) {
            // A node that has just started is still reading the table.
            if (!node.up || driver.now - node.startedAt < 30s)
                continue;
            std::set<std::string> seen;
            for (const auto& member : node.decisions->members())
                seen.insert(member.service);
            for (const auto& service : running)
                if (!seen.contains(service))
                    fault(node, "knows no member of " + service);
        }
    }
    void fault(const fleet_driver::node& node, const std::string& what)
    {
        if (driver.violations.size() < 10)
            driver.violations.push_back(
                std::to_string(driver.now.count() / 1000) + " ms: " + node.settings.self.name + " " + what);
    }
    std::size_t allowed() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < driver.nodes.size(); ++index)
            if (driver.nodes[index].up && driver.nodes[index].decisions->keyedCallsAllowed(driver.local(index)))
                ++count;
        return count;
    }
    bool inRegion(std::size_t index, const std::string& region) const
    {
        return driver.nodes[index].settings.self.region == region;
    }
    // Separates a region from the others and from the store, which is in etela.
    void cutRegion(const std::string& region)
    {
        driver.cut = [this, region](auto from, auto to) { return inRegion(from, region) != inRegion(to, region); };
        driver.health = [this, region](std::size_t index) {
            return inRegion(index, region) ? store_health::hanging : store_health::up;
        };
    }
    void heal()
    {
        driver.loss = 0;
        driver.duplication = 0;
        driver.extraDelay = 0ms;
        driver.storeReplyLoss = 0;
        driver.storeDelay = 5ms;
        driver.cut = [](auto, auto) { return false; };
        driver.health = [](auto) { return store_health::up; };
        driver.breakWatches();
    }
    // Every node agrees on every live member and on the configuration, and runs keyed calls.
    void expectConverged()
    {
        std::size_t up = 0;
        for (const auto& node : driver.nodes)
            up += node.up ? 1 : 0;
        EXPECT_EQ(allowed(), up);
        EXPECT_TRUE(driver.allForced(driver.accepted.number));
        for (const auto& node : driver.nodes) {
            if (!node.up)
                continue;
            auto members = node.decisions->members();
            EXPECT_EQ(members.size(), up) << node.settings.self.name;
            for (const auto& member : members) {
                const auto& truth = driver.nodes[driver.byId.at(member.id)];
                EXPECT_TRUE(truth.up && truth.settings.self.run == member.run && member.state == member_state::alive)
                    << node.settings.self.name << " sees " << member.name << " as " << name(member.state);
            }
            auto acknowledged = node.decisions->acknowledged();
            EXPECT_EQ(acknowledged.number, driver.accepted.number);
            EXPECT_EQ(acknowledged.members, up);
            EXPECT_EQ(acknowledged.inForce, up) << node.settings.self.name;
        }
    }
    void expectNoViolation()
    {
        for (const auto& violation : driver.violations)
            ADD_FAILURE() << violation;
    }

    fleet_driver driver;
    std::vector<duration> acceptedAt { 0s }; ///< by revision; revision 0 was never accepted
};

} // namespace

// Guards against views that stay apart after a cold start, and against a configuration that takes longer than 6 s.
TEST(FleetRun, ConvergesAndForcesWithinSixSeconds)
{
    for (std::uint64_t seed : { 1, 2 }) {
        fleet_run run(seed);
        run.startAll();
        run.expectConverged();
        for (int round = 0; round < 5; ++round) {
            auto number = run.withdraw();
            run.run(5900ms);
            EXPECT_TRUE(run.driver.allForced(number));
            for (const auto& node : run.driver.nodes)
                EXPECT_EQ(node.decisions->acknowledged().inForce, run.driver.nodes.size());
        }
        run.expectNoViolation();
    }
}

// Guards against a withdrawn key that keeps working, and open routes that close, in each way to lose the store.
TEST(FleetRun, WithdrawnKeyStopsInEverySchedule)
{
    struct schedule {
        const char* name;
        std::function<void(fleet_run&)> begin;
        std::size_t allowed; ///< nodes that run keyed calls 10 s later
    };
    const std::size_t all = 108;
    const std::vector<schedule> schedules {
        { "store down for everyone",
            [](fleet_run& run) {
                run.withdraw();
                run.run(2s);
                run.driver.health = [](auto) { return store_health::refusing; };
            },
            all },
        { "store hangs for everyone",
            [](fleet_run& run) {
                run.withdraw();
                run.run(2s);
                run.driver.health = [](auto) { return store_health::hanging; };
            },
            all },
        { "one node cut off",
            [](fleet_run& run) {
                run.driver.cut = [](auto from, auto to) { return from == 17 || to == 17; };
                run.driver.health = [](auto index) { return index == 17 ? store_health::hanging : store_health::up; };
                run.withdraw();
            },
            all - 1 },
        { "region cut off",
            [](fleet_run& run) {
                run.cutRegion("pohjoinen");
                run.withdraw();
            },
            all - 36 },
        { "region cut off and store down for everyone",
            [](fleet_run& run) {
                run.withdraw();
                run.run(2s);
                run.cutRegion("pohjoinen");
                run.driver.health = [](auto) { return store_health::refusing; };
            },
            0 },
        { "watchers cannot reach the store in one region",
            [](fleet_run& run) {
                run.driver.health = [&run](auto index) {
                    return run.inRegion(index, "izmir") ? store_health::refusing : store_health::up;
                };
                run.withdraw();
            },
            all },
        { "relays paused",
            [](fleet_run& run) {
                for (std::size_t zone = 0; zone < 6; ++zone)
                    for (auto relay : run.driver.nodes[zone].decisions->relays())
                        run.driver.pause(run.driver.byId.at(relay), 9s);
                run.withdraw();
            },
            all },
    };
    for (const auto& each : schedules) {
        SCOPED_TRACE(each.name);
        std::cout << each.name << ", ";
        fleet_run run(11);
        run.startAll();
        each.begin(run);
        run.run(10s);
        EXPECT_EQ(run.allowed(), each.allowed);
        run.heal();
        run.run(30s);
        run.expectConverged();
        run.expectNoViolation();
    }
}

// Guards against confirmations that are carried over a link that comes and goes, or by late and repeated messages.
TEST(FleetRun, WithdrawnKeyStopsOverABadNetwork)
{
    for (std::uint64_t seed : { 21, 22 }) {
        fleet_run run(seed);
        run.startAll();
        run.driver.loss = 0.2;
        run.driver.duplication = 0.1;
        run.driver.extraDelay = 3s;
        for (int round = 0; round < 10; ++round) {
            run.cutRegion(round % 2 == 0 ? "pohjoinen" : "izmir");
            run.withdraw();
            run.run(1500ms);
            run.driver.cut = [](auto, auto) { return false; };
            run.driver.health = [](auto) { return store_health::up; };
            run.run(1500ms);
        }
        run.heal();
        run.run(40s);
        run.expectConverged();
        run.expectNoViolation();
    }
}

// Guards against reversal, late withdrawal and an emptied service under any mix of crashes, restarts, pauses, cuts,
// loss and store faults.
TEST(FleetRun, RandomFaults)
{
    for (std::uint64_t seed : { 31, 32 }) {
        fleet_run run(seed);
        run.startAll();
        auto& driver = run.driver;
        random_source random(seed);
        for (int round = 0; round < 20; ++round) {
            const auto chosen = random.below(driver.nodes.size());
            switch (random.below(8)) {
            case 0:
                driver.crash(chosen);
                break;
            case 1:
                if (driver.nodes[chosen].up)
                    driver.pause(chosen, duration(std::int64_t(random.below(12'000'000))));
                break;
            case 2:
                run.cutRegion(random.below(2) == 0 ? "pohjoinen" : "izmir");
                break;
            case 3:
                driver.health = [](auto) { return store_health::hanging; };
                break;
            case 4:
                driver.loss = 0.3;
                driver.storeReplyLoss = 0.3;
                break;
            case 5:
                driver.extraDelay = 2s;
                driver.storeDelay = 1500ms;
                break;
            default:
                run.heal();
                for (std::size_t index = 0; index < driver.nodes.size(); ++index)
                    if (!driver.nodes[index].up)
                        driver.start(index);
                run.run(2s);
                run.withdraw();
                run.run(2s);
            }
            run.run(duration(std::int64_t(random.below(8'000'000))));
        }
        run.heal();
        for (std::size_t index = 0; index < driver.nodes.size(); ++index)
            if (!driver.nodes[index].up)
                driver.start(index);
        run.run(60s);
        run.expectConverged();
        run.expectNoViolation();
    }
}

// Guards against dead members that stay, restarted ones that are taken for the dead, and a storm when a zone is lost.
TEST(FleetRun, CrashesRestartsAndALostZone)
{
    fleet_run run(41);
    run.startAll();
    auto& driver = run.driver;
    driver.crash(50);
    run.run(20s);
    EXPECT_EQ(driver.nodes[3].decisions->member(driver.nodes[50].settings.self.id)->state, member_state::dead);
    driver.start(50);
    run.run(3s);
    const auto back = driver.nodes[3].decisions->member(driver.nodes[50].settings.self.id);
    EXPECT_EQ(back->state, member_state::alive);
    EXPECT_EQ(back->run, driver.nodes[50].settings.self.run);
    auto sent = [&] {
        std::uint64_t total = 0;
        for (const auto& node : driver.nodes)
            total += node.bytes;
        return total;
    };
    run.run(20s);
    auto before = sent();
    run.run(20s);
    const auto quiet = sent() - before;
    for (std::size_t index = 4; index < driver.nodes.size(); index += 6)
        driver.crash(index);
    before = sent();
    run.run(20s);
    EXPECT_LT(sent() - before, quiet * 3 / 2) << "bytes while a zone is lost";
    const auto lost = driver.nodes[0].decisions->member(driver.nodes[4].settings.self.id);
    EXPECT_EQ(lost->state, member_state::suspect);
    for (std::size_t index = 4; index < driver.nodes.size(); index += 6)
        driver.start(index);
    run.run(60s);
    run.expectConverged();
    run.expectNoViolation();
}

// Guards against a paused node that acts on old records, and against one that stays dead for the others.
TEST(FleetRun, PausedNodeRenewsItsRecord)
{
    fleet_run run(51);
    run.startAll();
    auto& driver = run.driver;
    const auto before = driver.nodes[7].decisions->member(driver.nodes[7].settings.self.id)->version;
    driver.pause(7, 40s);
    run.run(30s);
    EXPECT_EQ(driver.nodes[3].decisions->member(driver.nodes[7].settings.self.id)->state, member_state::dead);
    EXPECT_FALSE(driver.nodes[7].decisions->keyedCallsAllowed(driver.local(7)));
    run.run(30s);
    EXPECT_GT(driver.nodes[7].decisions->member(driver.nodes[7].settings.self.id)->version, before);
    run.expectConverged();
    run.expectNoViolation();
}

// Guards against new work for a member that leaves: every node hears of it within a few seconds.
TEST(FleetRun, DrainingIsKnownEverywhereWithinFourSeconds)
{
    fleet_run run(61);
    run.startAll();
    auto& driver = run.driver;
    fleet_actions actions;
    driver.drain(8);
    run.run(4s);
    for (const auto& node : driver.nodes)
        EXPECT_EQ(node.decisions->member(driver.nodes[8].settings.self.id)->state, member_state::draining)
            << node.settings.self.name;
    run.expectNoViolation();
}

// Guards against a restart during an outage of the store: the fleet's own copy is enough, but only for the newest.
TEST(FleetRun, RestartWhileTheStoreIsDown)
{
    fleet_run run(71);
    run.startAll();
    auto& driver = run.driver;
    auto number = run.withdraw();
    run.run(3s);
    driver.health = [](auto) { return store_health::hanging; };
    run.run(10s);
    driver.crash(20);
    run.run(1s);
    driver.start(20);
    run.run(15s);
    ASSERT_TRUE(driver.nodes[20].decisions->inForce());
    EXPECT_EQ(driver.nodes[20].decisions->inForce()->number, number);
    EXPECT_TRUE(driver.nodes[20].decisions->keyedCallsAllowed(driver.local(20)));
    run.expectNoViolation();
}

// Guards against a compare that holds for another document: the store was restored from a copy and gave the revision of
// the configuration that the relays had read to the next one.
TEST(FleetRun, ConfigurationAtARevisionGivenOutAgainIsInForce)
{
    for (const bool changesAtOnce : { true, false }) {
        fleet_run run(91);
        run.startAll();
        auto& driver = run.driver;
        driver.copyStore();
        run.withdraw();
        run.withdraw();
        run.run(6s);
        const auto before = driver.head;
        driver.restoreStore();
        driver.writeAgain();
        if (!changesAtOnce)
            run.run(1s);
        const auto number = run.withdraw();
        if (changesAtOnce)
            EXPECT_EQ(driver.head, before);
        run.run(6s);
        EXPECT_TRUE(driver.allForced(number));
        const auto next = run.withdraw();
        run.run(6s);
        EXPECT_TRUE(driver.allForced(next)) << "by the watches that were started again";
        run.expectConverged();
        run.expectNoViolation();
    }
}

// Guards against store calls that grow with the number of nodes.
TEST(FleetRun, StoreCallsGrowWithZones)
{
    std::vector<std::uint64_t> calls;
    for (std::size_t perZone : { 8, 32 }) {
        fleet_driver driver(81, sixZones(), perZone, 5);
        driver.write(sampleConfiguration(3));
        for (std::size_t index = 0; index < driver.nodes.size(); ++index)
            driver.start(index);
        driver.run(30s);
        const auto before = driver.storeCalls;
        driver.run(60s);
        calls.push_back(driver.storeCalls - before);
    }
    EXPECT_NEAR(static_cast<double>(calls[0]), static_cast<double>(calls[1]), 40) << "about 12 per second";
}
