#include <gtest/gtest.h>
#include <limpetcroft/policy.h>
#include <rapidcheck.h>

namespace limpet {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    request_context contextOf(priority importance, random_source& random, const std::string& team = "a")
    {
        request_context context;
        context.rootId = random.nextId();
        context.team = team;
        context.importance = importance;
        return context;
    }

    /// Returns the fraction of the requests of a priority that is admitted.
    double measureAdmittedFraction(
        shed_thresholds& thresholds, priority importance, time_point now, const std::string& team = "a")
    {
        random_source random(5);
        int admitted = 0;
        for (int request = 0; request < 1000; ++request)
            admitted += thresholds.admits("s", contextOf(importance, random, team), now) ? 1 : 0;
        return admitted / 1000.0;
    }

    /// Records a level 20 times a second and returns the end of that time.
    time_point recordFor(
        shed_thresholds& thresholds, const shed_level& level, time_point from, duration length, bool downstream = false)
    {
        auto now = from;
        for (; now < from + length; now += milliseconds(50))
            thresholds.recordLevels(
                "s", "a", downstream ? shed_level {} : level, downstream ? level : shed_level {}, now);
        return now;
    }

    // Guards against entry nodes that keep sending requests that will be refused, by the called service or downstream.
    TEST(shedThresholds, followReportsAndDecay)
    {
        for (const bool downstream : { false, true }) {
            shed_thresholds thresholds;
            time_point now { seconds(1) };
            for (const priority importance : { 2, 5, 8 })
                EXPECT_EQ(measureAdmittedFraction(thresholds, importance, now), 1);
            now = recordFor(thresholds, { 5, 0.3 }, now, seconds(4), downstream);
            EXPECT_EQ(measureAdmittedFraction(thresholds, 2, now), 0);
            EXPECT_LT(measureAdmittedFraction(thresholds, 5, now), 0.1);
            EXPECT_GT(measureAdmittedFraction(thresholds, 5, now), 0); // probes
            EXPECT_EQ(measureAdmittedFraction(thresholds, 8, now), 1);
            EXPECT_EQ(thresholds.level("s", "a", now).lowestAdmitted, 5);
            now = recordFor(thresholds, {}, now, seconds(5), downstream);
            EXPECT_EQ(measureAdmittedFraction(thresholds, 2, now), 1);
        }
    }

    // Guards against a level that never decays because all requests are refused and no reply arrives.
    TEST(shedThresholds, decayWithoutReplies)
    {
        shed_thresholds thresholds;
        time_point now { seconds(1) };
        measureAdmittedFraction(thresholds, 2, now);
        measureAdmittedFraction(thresholds, 5, now);
        now = recordFor(thresholds, { 5, 0.0 }, now, seconds(3));
        EXPECT_EQ(measureAdmittedFraction(thresholds, 2, now), 0);
        EXPECT_EQ(measureAdmittedFraction(thresholds, 2, now + seconds(6)), 1);
    }

    // Guards against refusing requests of a team that stays within its share because another team exceeds its own.
    TEST(shedThresholds, keepTheFractionOfEachTeam)
    {
        shed_thresholds thresholds;
        time_point now { seconds(1) };
        for (int step = 0; step < 100; ++step, now += milliseconds(20)) {
            measureAdmittedFraction(thresholds, 5, now);
            thresholds.recordLevels("s", "greedy", { 5, 0.2 }, {}, now);
            thresholds.recordLevels("s", "modest", { 5, 1.0 }, {}, now);
        }
        EXPECT_LT(measureAdmittedFraction(thresholds, 5, now, "greedy"), 0.1);
        EXPECT_EQ(measureAdmittedFraction(thresholds, 5, now, "modest"), 1);
    }

    // Guards against refusals by the baseline, which would invalidate comparisons with it.
    TEST(shedThresholds, baselineAdmitsAll)
    {
        shed_thresholds thresholds({ .enabled = false });
        const time_point now = recordFor(thresholds, { 9, 0.0 }, time_point { seconds(1) }, seconds(3));
        EXPECT_EQ(measureAdmittedFraction(thresholds, 0, now), 1);
    }

    // Guards, for any reports, against refusing a priority while a lower one of any team is admitted (I2).
    TEST(shedThresholds, neverRefuseAPriorityWhileALowerOneIsAdmitted)
    {
        EXPECT_TRUE(rc::check([] {
            shed_thresholds thresholds;
            random_source random(*rc::gen::arbitrary<std::uint64_t>());
            time_point now { seconds(1) };
            const std::array<std::string, 3> teams { "a", "b", "c" };
            const auto steps = *rc::gen::inRange(0, 150);
            for (int step = 0; step < steps; ++step) {
                now += milliseconds(*rc::gen::inRange(0, 400));
                const auto level = [] {
                    return shed_level { static_cast<priority>(*rc::gen::inRange(0, 10)),
                        *rc::gen::inRange(0, 101) / 100.0 };
                };
                thresholds.recordLevels("s", teams[random.below(3)], level(), level(), now);
                // At any time, all requests above the lowest admitted priority have to be admitted.
                priority lowestAdmitted = highestPriority;
                for (priority importance = 0; importance <= highestPriority; ++importance) {
                    for (const auto& team : teams) {
                        const bool admitted = thresholds.admits("s", contextOf(importance, random, team), now);
                        if (admitted)
                            lowestAdmitted = std::min(lowestAdmitted, importance);
                        RC_ASSERT(admitted || importance <= lowestAdmitted);
                    }
                }
            }
        }));
    }

} // namespace
} // namespace limpet
