// Guards the pace at which an admission starts requests: no second has more starts than the pace allows, and the most
// important requests start first.

#include <gtest/gtest.h>
#include <limpetcroft/policy.h>

namespace limpet {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { seconds(1) };
    constexpr start_pace pace { 10, 4 };

    admission_request requestOf(std::uint64_t id, priority importance, duration remaining = seconds(10))
    {
        admission_request request;
        request.id = { 0, id };
        request.context.team = "a";
        request.context.importance = importance;
        request.context.remaining = remaining;
        return request;
    }

    admission pacedAdmission()
    {
        admission paced({ .limit = fixed_limit { 100 } });
        paced.setPace(pace, start);
        return paced;
    }

    /// Offers requests of equal importance every 10 ms and returns when each one was started.
    std::vector<time_point> startsUnderLoad(admission& subject, duration length)
    {
        std::vector<time_point> starts;
        std::uint64_t id = 0;
        for (auto now = start; now < start + length; now += milliseconds(10)) {
            const auto started = subject.expire(now).start;
            for (const auto& each : started) {
                starts.push_back(now);
                subject.finish(each, call_outcome::success, milliseconds(1), now);
            }
            const auto decision = subject.offer(requestOf(++id, 5, seconds(1)), now);
            if (decision.verdict == admission_verdict::run) {
                starts.push_back(now);
                subject.finish({ 0, id }, call_outcome::success, milliseconds(1), now);
            }
        }
        return starts;
    }

    std::size_t mostInASecond(const std::vector<time_point>& starts)
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < starts.size(); ++first) {
            const auto within = std::count_if(starts.begin(), starts.end(),
                [&](time_point each) { return each >= starts[first] && each < starts[first] + seconds(1); });
            most = std::max(most, static_cast<std::size_t>(within));
        }
        return most;
    }

    // A cold backend server that gets ten times its rate at once falls over.
    TEST(pace, holdsInEverySecondAndIsUsed)
    {
        auto subject = pacedAdmission();
        const auto starts = startsUnderLoad(subject, seconds(5));
        EXPECT_LE(mostInASecond(starts), 14U);
        EXPECT_GE(starts.size(), 45U);
    }

    // What was started before the pace began counts in the same second.
    TEST(pace, startsWithoutBurst)
    {
        auto subject = pacedAdmission();
        EXPECT_EQ(subject.offer(requestOf(1, 5), start).verdict, admission_verdict::queued);
        EXPECT_TRUE(subject.expire(start + milliseconds(99)).start.empty());
        ASSERT_EQ(subject.nextTimer(), start + milliseconds(100));
        EXPECT_EQ(subject.expire(start + milliseconds(100)).start.size(), 1U);
    }

    TEST(pace, mostImportantStartFirst)
    {
        auto subject = pacedAdmission();
        subject.offer(requestOf(1, 2), start);
        subject.offer(requestOf(2, 7), start);
        const auto started = subject.expire(start + milliseconds(100)).start;
        ASSERT_EQ(started.size(), 1U);
        EXPECT_EQ(started.front().low, 2U);
    }

    // A request that its turn cannot reach in time is refused before it waits.
    TEST(pace, refusesWhatItCannotStartInTime)
    {
        auto subject = pacedAdmission();
        for (std::uint64_t id = 1; id <= 10; ++id)
            subject.offer(requestOf(id, 5), start);
        const auto decision = subject.offer(requestOf(11, 5, milliseconds(500)), start);
        EXPECT_EQ(decision.verdict, admission_verdict::refused);
        EXPECT_GE(decision.retryAfter, milliseconds(500));
    }

    TEST(pace, queuedRequestsStartWhenItEnds)
    {
        auto subject = pacedAdmission();
        for (std::uint64_t id = 1; id <= 10; ++id)
            subject.offer(requestOf(id, 5), start);
        subject.setPace(std::nullopt, start);
        EXPECT_EQ(subject.expire(start).start.size(), 10U);
    }

} // namespace
} // namespace limpet
