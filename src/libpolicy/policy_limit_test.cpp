#include "policy_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace limpet {
namespace {

    using model::load;
    using model::milliseconds;
    using model::seconds;
    using model::simulation;

    // Measured interval in seconds of virtual time, after the warm-up.
    constexpr int measureFrom = 6;
    constexpr int measureTo = 21;

    /// Four teams with three priorities each, with a total demand in multiples of the capacity of one backend server.
    /// That is 1000 requests per second: 40 slots of 40 ms.
    model::options demandOf(double multiple, std::uint64_t seed)
    {
        model::options setup;
        setup.seed = seed;
        for (unsigned team = 0; team < 4; ++team) {
            for (const priority importance : { 2, 5, 8 })
                setup.loads.push_back({ "team" + std::to_string(team), importance, multiple * 1000 / 12, seconds(1) });
        }
        return setup;
    }

    double goodputFraction(const simulation& run)
    {
        return run.sum(measureFrom, measureTo).succeeded / (run.capacity() * (measureTo - measureFrom));
    }

    class overload : public testing::TestWithParam<std::uint64_t> { };

    // Guards against a limit below the slots, with which the backend server idles, and against one far above them, with
    // which its queue delays every answer beyond the deadline.
    TEST_P(overload, keepsGoodputAtThreefoldDemand)
    {
        simulation run(demandOf(3, GetParam()));
        run.run();
        EXPECT_GE(goodputFraction(run), 0.9) << "seed " << GetParam();
    }

    // Guards against a limit that follows announced slots which are too low or too high.
    TEST_P(overload, findsTheLimitWithWrongAnnouncedSlots)
    {
        for (const unsigned announced : { 8U, 200U }) {
            auto setup = demandOf(3, GetParam());
            setup.announced = announced;
            simulation run(setup);
            run.run();
            EXPECT_GE(goodputFraction(run), 0.9) << "seed " << GetParam() << " announced " << announced;
        }
    }

    // Guards against a limit that stays above the slots of a shedding backend server: each shed fails a queued request.
    TEST_P(overload, rarelyExceedsTheSlotsOfASheddingBackendServer)
    {
        auto setup = demandOf(3, GetParam());
        setup.shedsAboveSlots = true;
        simulation run(setup);
        run.run();
        EXPECT_GE(goodputFraction(run), 0.9) << "seed " << GetParam();
        EXPECT_LT(run.shedByBackend, 0.01 * run.attempts) << "seed " << GetParam();
    }

    // Guards against a limit that collapses while a downstream service is slow, and against overload that persists
    // after its cause has ended.
    TEST_P(overload, recoversAfterASlowPeriod)
    {
        for (const bool cancels : { true, false }) {
            auto setup = demandOf(0.8, GetParam());
            setup.cancelsExpired = cancels;
            setup.slowdown = [](double second) { return second >= 8 && second < 16 ? 10.0 : 1.0; };
            setup.runTime = seconds(24);
            simulation run(setup);
            run.run();
            const auto after = run.sum(21, 24);
            EXPECT_GE(after.succeeded, 0.9 * after.offered) << "seed " << GetParam() << " cancels " << cancels;
            EXPECT_GE(run.admissionOf(0).limit(), 20U) << "seed " << GetParam() << " cancels " << cancels;
        }
    }

    // Guards against a team that takes the share of other teams by sending more requests.
    TEST_P(overload, protectsTeamsFromAnOverloadingTeam)
    {
        model::options setup;
        setup.seed = GetParam();
        const double share = 1000.0 / 8;
        for (unsigned team = 0; team < 8; ++team)
            setup.loads.push_back({ "team" + std::to_string(team), 5, team == 0 ? 5 * share : share, seconds(1) });
        simulation run(setup);
        run.run();
        for (unsigned team = 1; team < 8; ++team) {
            const auto served = run.sum(
                measureFrom, measureTo, [&](const load& own) { return own.team == "team" + std::to_string(team); });
            const double fair = std::min<double>(served.offered, share * (measureTo - measureFrom));
            EXPECT_GE(served.succeeded, 0.9 * fair) << "seed " << GetParam() << " team " << team;
        }
    }

    // Guards against refusing important requests, which alone are within the capacity, while less important ones run
    // (I2).
    TEST_P(overload, shedsImportantRequestsLast)
    {
        auto setup = demandOf(2, GetParam()); // each priority needs two thirds of the capacity
        setup.backends = 2;
        setup.entries = 2;
        setup.retriesEnabled = true;
        for (auto& load : setup.loads)
            load.rate *= 2;
        simulation run(setup);
        run.run();
        const auto unsuccessfulFraction = [&](priority importance) {
            const auto tally
                = run.sum(measureFrom, measureTo, [&](const load& own) { return own.importance == importance; });
            return static_cast<double>(tally.refused + tally.failed) / tally.offered;
        };
        EXPECT_LT(unsuccessfulFraction(8), 0.001) << "seed " << GetParam();
        EXPECT_GT(unsuccessfulFraction(2), 0.9) << "seed " << GetParam();
    }

    INSTANTIATE_TEST_SUITE_P(seeds, overload, testing::Values(1, 2, 3));

    // Guards, for any sequence of outcomes, against a limit outside its bounds or of zero.
    TEST(vegasLimit, staysWithinItsBounds)
    {
        EXPECT_TRUE(rc::check([] {
            vegas_limit limit;
            const auto announced = *rc::gen::inRange(0U, 100U);
            limit.announce(announced);
            time_point now { seconds(1) };
            const auto samples = *rc::gen::container<std::vector<std::tuple<int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(1, 2000)));
            for (const auto& [outcome, latency] : samples) {
                now += milliseconds(7);
                limit.record({ static_cast<call_outcome>(outcome), milliseconds(latency), limit.allowed() }, now);
                RC_ASSERT(limit.allowed() >= 1U);
                RC_ASSERT(limit.allowed() <= (announced > 0 ? 10 * announced : 2000U));
            }
        }));
    }

    // Guards against a limit that one slow reaction of many calls, or a server that is silent for another reason,
    // lowers to nothing, and one that stays low afterwards.
    TEST(slotLimit, followsSilenceWithinItsBounds)
    {
        slot_limit limit(20);
        time_point now { seconds(10) };
        for (int call = 0; call < 10; ++call)
            limit.record({ call_outcome::timeout, seconds(1), 20 }, now);
        EXPECT_EQ(limit.allowed(), 16U);
        for (int round = 0; round < 30; ++round) {
            now += seconds(2);
            limit.record({ call_outcome::timeout, seconds(1), limit.allowed() }, now);
        }
        EXPECT_EQ(limit.allowed(), 5U);
        for (int call = 0; call < 60; ++call)
            limit.record({ call_outcome::success, milliseconds(50), limit.allowed() }, now);
        EXPECT_EQ(limit.allowed(), 20U);
    }

    // Guards against baselines that adapt to samples, which would invalidate comparisons with them.
    TEST(concurrencyLimit, baselinesDoNotChange)
    {
        concurrency_limit fixed = fixed_limit { 7 };
        concurrency_limit unlimited = unlimited_limit {};
        for (int step = 1; step < 100; ++step) {
            const time_point now { milliseconds(100 * step) };
            record(fixed, { call_outcome::shed, milliseconds(1), 7 }, now);
            record(unlimited, { call_outcome::timeout, seconds(1), 7 }, now);
        }
        announceSlots(fixed, 100);
        EXPECT_EQ(allowed(fixed), 7U);
        EXPECT_GT(allowed(unlimited), 1000000U);
    }

} // namespace
} // namespace limpet
