// Guards that the time that frames wait on a link is known at its receiver.

#include "link_transit.h"
#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

// The clock of the sender is a minute ahead, and wraps between the frames.
TEST(link_transit, delayIsTheTimeAboveTheFastestFrame)
{
    link_transit transit;
    const auto wrap = duration(std::chrono::milliseconds(std::int64_t(1) << 32));
    const time_point sender(wrap - 50ms);
    const time_point receiver(wrap - 60s);
    EXPECT_EQ(transit.receive(frameTimestamp(sender), receiver + 130ms).delay, 0ms);
    EXPECT_EQ(transit.receive(frameTimestamp(sender + 100ms), receiver + 130ms).delay, 0ms);
    EXPECT_EQ(transit.receive(frameTimestamp(sender + 200ms), receiver + 930ms).delay, 700ms);
    EXPECT_EQ(transit.receive(frameTimestamp(sender + 900ms), receiver + 930ms).delay, 0ms);
}

TEST(link_transit, frameOfAnEarlierVersionHasNoDelay)
{
    link_transit transit;
    EXPECT_EQ(transit.receive(0, testStart).delay, 0ms);
    EXPECT_EQ(transit.receive(frameTimestamp(testStart), testStart + 5s).delay, 0ms);
}

TEST(link_delay, isLoggedAndCounted)
{
    node_with_peers node("stock");
    const auto receive = [&](time_point sent) {
        wire::frame_data frame;
        frame.sent_ms = frameTimestamp(sent);
        node.handle(frame_received { 9, addressOf(2), encodeFrame(frame) });
    };
    const auto lines = [&](const std::string& name) {
        const auto logged = node.take<log_event>();
        return std::count_if(logged.begin(), logged.end(), [&](const log_event& each) { return each.name == name; });
    };
    receive(node.now);
    const auto sent = node.now;
    node.advance(600ms);
    receive(sent);
    EXPECT_EQ(lines("link_delayed"), 1);
    receive(node.now);
    EXPECT_EQ(lines("link_regained"), 1);
    const auto counted = node.subject.statistics(node.now).framesByDelay;
    EXPECT_EQ(counted.front(), 2U);
    EXPECT_EQ(counted.at(5), 1U) << "between 500 ms and 1 s";
}

} // namespace
