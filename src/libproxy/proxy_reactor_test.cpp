// Tests of the event loop.

#include <gtest/gtest.h>
#include <limpetcroft/proxy.h>

using namespace limpet;
using namespace limpet::proxy;
using namespace std::chrono_literals;

namespace {

// A timer that reschedules itself for a time in the past must not starve the rest of the loop.
TEST(reactor, runsIterationEndHandlersWhileATimerIsAlwaysDue)
{
    reactor loop;
    int calls = 0;
    std::function<void()> reschedule = [&] {
        if (++calls < 1000)
            loop.callAt(time_point {}, reschedule);
        else
            loop.quit();
    };
    bool iterationEnded = false;
    int callsBeforeIterationEnd = 0;
    loop.callAt(time_point {}, reschedule);
    loop.onIterationEnd([&] {
        if (!std::exchange(iterationEnded, true))
            callsBeforeIterationEnd = calls;
    });
    loop.run();
    EXPECT_TRUE(iterationEnded);
    EXPECT_EQ(callsBeforeIterationEnd, 1);
}

TEST(reactor, doesNotCallACancelledTimer)
{
    reactor loop;
    bool called = false;
    const auto timer = loop.callAt(bootTime() + 1ms, [&] { called = true; });
    loop.callAt(bootTime() + 5ms, [&] { loop.quit(); });
    loop.cancelTimer(timer);
    loop.run();
    EXPECT_FALSE(called);
}

} // namespace
