#include <deque>
#include <gtest/gtest.h>
#include <limpetcroft/policy.h>
#include <rapidcheck.h>

namespace limpet {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { seconds(1) };

    admission_request requestOf(std::uint64_t id, priority importance, const std::string& team = "a",
        std::uint8_t depth = 0, duration remaining = seconds(10))
    {
        admission_request request;
        request.id = { 0, id };
        request.context.team = team;
        request.context.importance = importance;
        request.context.depth = depth;
        request.context.remaining = remaining;
        return request;
    }

    admission singleSlotAdmission(unsigned queue = 8)
    {
        return admission({ .limit = fixed_limit { 1 }, .queueCapacityFactor = 0, .minQueueCapacity = queue });
    }

    /// Finishes a running request and returns the id of the request that is started next, or 0.
    std::uint64_t finishAndStartNext(admission& queue, std::uint64_t running, time_point now = start)
    {
        const auto actions = queue.finish({ 0, running }, call_outcome::success, milliseconds(1), now);
        return actions.start.empty() ? 0 : actions.start.front().low;
    }

    // Guards against starting requests of low priority, low call depth or late deadline first.
    TEST(admission, startsByPriorityThenDepthThenDeadline)
    {
        auto queue = singleSlotAdmission();
        EXPECT_EQ(queue.offer(requestOf(1, 5), start).verdict, admission_verdict::run);
        queue.offer(requestOf(2, 3), start);
        queue.offer(requestOf(3, 5, "a", 0, seconds(8)), start);
        queue.offer(requestOf(4, 5, "a", 0, seconds(4)), start);
        queue.offer(requestOf(5, 5, "a", 2), start);
        queue.offer(requestOf(6, 9), start);
        std::vector<std::uint64_t> order { 1 };
        while (order.back() != 0)
            order.push_back(finishAndStartNext(queue, order.back()));
        EXPECT_EQ(order, (std::vector<std::uint64_t> { 1, 6, 5, 4, 3, 2, 0 }));
        EXPECT_TRUE(queue.idle());
    }

    // Guards against a full queue that keeps important requests out, and against evicting a request of another team
    // than the one with the most queued requests.
    TEST(admission, evictsTheLeastImportantOfTheTeamWithMostQueued)
    {
        auto queue = singleSlotAdmission(3);
        queue.offer(requestOf(1, 5), start);
        queue.offer(requestOf(2, 2, "greedy"), start);
        queue.offer(requestOf(3, 2, "greedy"), start);
        queue.offer(requestOf(4, 2, "modest"), start);
        const auto important = queue.offer(requestOf(5, 7), start);
        EXPECT_EQ(important.verdict, admission_verdict::queued);
        ASSERT_EQ(important.actions.refused.size(), 1U);
        EXPECT_EQ(important.actions.refused[0].id.low, 3U);
        EXPECT_EQ(important.actions.refused[0].reason, refusal_reason::overloaded);
        const auto low = queue.offer(requestOf(6, 1), start);
        EXPECT_EQ(low.verdict, admission_verdict::refused);
        EXPECT_GT(low.retryAfter, duration(0));
    }

    // Guards against queueing a request that cannot end before its deadline, and against expiry timers that are not
    // set.
    TEST(admission, refusesWhatCannotMeetItsDeadline)
    {
        auto queue = singleSlotAdmission();
        for (std::uint64_t id = 1; id < 200; ++id) {
            queue.offer(requestOf(id, 5), start);
            queue.finish({ 0, id }, call_outcome::success, milliseconds(100), start);
        }
        queue.offer(requestOf(300, 5), start);
        EXPECT_EQ(queue.offer(requestOf(301, 5, "a", 0, milliseconds(120)), start).verdict, admission_verdict::refused);
        EXPECT_EQ(queue.offer(requestOf(302, 5, "a", 0, milliseconds(400)), start).verdict, admission_verdict::queued);
        ASSERT_EQ(queue.nextTimer(), start + milliseconds(400));
        const auto actions = queue.expire(start + milliseconds(400));
        ASSERT_EQ(actions.refused.size(), 1U);
        EXPECT_EQ(actions.refused[0].reason, refusal_reason::deadlineExceeded);
        EXPECT_EQ(queue.nextTimer(), std::nullopt);
    }

    // Guards against latency estimates from a slow period that refuse every request, so that no new sample corrects
    // them.
    TEST(admission, runsARequestWhenIdleWhateverTheEstimates)
    {
        auto queue = singleSlotAdmission();
        for (std::uint64_t id = 1; id < 200; ++id) {
            queue.offer(requestOf(id, 5), start);
            queue.finish({ 0, id }, call_outcome::success, seconds(5), start);
        }
        EXPECT_EQ(queue.offer(requestOf(300, 5, "a", 0, milliseconds(10)), start).verdict, admission_verdict::run);
    }

    // Guards against new requests to a draining backend server, and against refusing requests that it has accepted.
    TEST(admission, drainsWithoutDroppingAcceptedWork)
    {
        auto queue = singleSlotAdmission();
        queue.offer(requestOf(1, 5), start);
        queue.offer(requestOf(2, 5), start);
        queue.drain();
        EXPECT_EQ(queue.offer(requestOf(3, 9), start).reason, refusal_reason::draining);
        EXPECT_EQ(finishAndStartNext(queue, 1), 2U);
        EXPECT_EQ(finishAndStartNext(queue, 2), 0U);
        EXPECT_TRUE(queue.idle());
    }

    // Guards against cancelled requests that are still started or that stay in the queue.
    TEST(admission, cancelRemovesOnlyQueuedRequests)
    {
        auto queue = singleSlotAdmission();
        queue.offer(requestOf(1, 5), start);
        queue.offer(requestOf(2, 5), start);
        EXPECT_TRUE(queue.cancel({ 0, 2 }));
        EXPECT_FALSE(queue.cancel({ 0, 2 }));
        EXPECT_FALSE(queue.cancel({ 0, 1 }));
        EXPECT_EQ(queue.inFlight(), 1U);
        EXPECT_EQ(finishAndStartNext(queue, 1), 0U);
    }

    // Guards against serving teams in proportion to the number of requests that each sends instead of equally.
    TEST(admission, servesTeamsInTurnWithinAPriority)
    {
        auto queue = singleSlotAdmission(60);
        queue.offer(requestOf(1, 5), start);
        for (std::uint64_t id = 100; id < 140; ++id)
            queue.offer(requestOf(id, 5, "greedy"), start);
        for (std::uint64_t id = 200; id < 210; ++id)
            queue.offer(requestOf(id, 5, "modest"), start);
        std::uint64_t running = 1;
        unsigned modest = 0;
        for (int turn = 0; turn < 20; ++turn) {
            running = finishAndStartNext(queue, running);
            modest += running >= 200 ? 1 : 0;
        }
        EXPECT_EQ(modest, 10U);
    }

    // Guards against a reported level that hides shedding, or that names a priority other than the one that is admitted
    // in part.
    TEST(admission, reportsTheLowestAdmittedPriority)
    {
        auto queue = singleSlotAdmission(2);
        EXPECT_EQ(queue.shedLevel("a", start), shed_level {});
        std::uint64_t id = 1;
        queue.offer(requestOf(id, 7), start);
        for (int round = 0; round < 50; ++round) {
            queue.offer(requestOf(1000 + id, 2, "b"), start);
            queue.offer(requestOf(2000 + id, 7), start);
            queue.offer(requestOf(3000 + id, 7), start);
            queue.offer(requestOf(4000 + id, 7), start);
            const auto next = finishAndStartNext(queue, id);
            id = next;
        }
        const auto level = queue.shedLevel("a", start);
        EXPECT_EQ(level.lowestAdmitted, 7);
        EXPECT_GT(level.admittedFraction, 0.2);
        EXPECT_LT(level.admittedFraction, 0.5);
        EXPECT_EQ(queue.shedLevel("a", start + seconds(30)), shed_level {});
    }

    // Guards, for any sequence of events, against requests that are lost or answered twice, against exceeding the limit
    // or the queue capacity, and against starting a request while a more important one is queued (I2).
    TEST(admission, accountsForEveryRequest)
    {
        EXPECT_TRUE(rc::check([] {
            const unsigned limit = *rc::gen::inRange(1U, 5U);
            admission queue({ .limit = fixed_limit { limit }, .minQueueCapacity = 4 });
            std::map<std::uint64_t, priority> waiting;
            std::deque<std::uint64_t> running;
            time_point now = start;
            const auto apply = [&](const admission_actions& actions) {
                for (const auto& refused : actions.refused)
                    RC_ASSERT(waiting.erase(refused.id.low) == 1U);
                for (const auto& id : actions.start) {
                    const auto importance = waiting.at(id.low);
                    waiting.erase(id.low);
                    running.push_back(id.low);
                    for (const auto& [other, otherImportance] : waiting) {
                        const bool startsLater
                            = std::find(actions.start.begin(), actions.start.end(), request_id { 0, other })
                            != actions.start.end();
                        RC_ASSERT(startsLater || otherImportance <= importance);
                    }
                }
            };
            const auto steps = *rc::gen::inRange(0, 200);
            for (int step = 1; step <= steps; ++step) {
                const auto choice = *rc::gen::inRange(0, 10);
                now += milliseconds(*rc::gen::inRange(0, 20));
                const auto id = static_cast<std::uint64_t>(step);
                if (choice < 6) {
                    const auto importance = static_cast<priority>(*rc::gen::inRange(0, 10));
                    const auto team = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
                    const auto remaining = milliseconds(*rc::gen::inRange(1, 300));
                    const auto decision
                        = queue.offer(requestOf(id, importance, team, *rc::gen::inRange(0, 4), remaining), now);
                    apply(decision.actions);
                    if (decision.verdict == admission_verdict::run)
                        running.push_back(id);
                    if (decision.verdict == admission_verdict::queued)
                        waiting[id] = importance;
                } else if (choice < 8 && !running.empty()) {
                    const auto ended = running.front();
                    running.pop_front();
                    apply(queue.finish({ 0, ended }, call_outcome::success, milliseconds(20), now));
                } else if (choice == 8 && !waiting.empty()) {
                    RC_ASSERT(queue.cancel({ 0, waiting.begin()->first }));
                    waiting.erase(waiting.begin());
                } else {
                    apply(queue.expire(now));
                }
                RC_ASSERT(queue.inFlight() == running.size());
                RC_ASSERT(queue.queued() == waiting.size());
                RC_ASSERT(running.size() <= limit);
                RC_ASSERT(waiting.size() <= 8U);
            }
        }));
    }

} // namespace
} // namespace limpet
