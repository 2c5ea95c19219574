// Guards the event loop.

#include <gtest/gtest.h>
#include <limpetcroft/proxy.h>

using namespace limpet;
using namespace limpet::proxy;
using namespace std::chrono_literals;

namespace {

// A timer that sets itself again for a time that has come must not keep the loop from everything else.
TEST(reactor, givesOtherTimersTheirTurnWhileOneIsAlwaysDue)
{
    reactor loop;
    int turns = 0;
    std::function<void()> again = [&] {
        if (++turns < 1000)
            loop.callAt(time_point {}, again);
        else
            loop.quit();
    };
    bool other = false;
    int turnsBefore = 0;
    loop.callAt(time_point {}, again);
    loop.onIterationEnd([&] {
        if (!std::exchange(other, true))
            turnsBefore = turns;
    });
    loop.run();
    EXPECT_TRUE(other);
    EXPECT_EQ(turnsBefore, 1);
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
