// Guards the handling of peers that do not respond, and the discovery of nodes and configurations.

#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

/// Lets the node measure a usual latency of 100 ms on the route of the path.
void measureLatency(node_with_peers& fixture, const std::string& path)
{
    for (int warmUp = 0; warmUp < 20; ++warmUp) {
        fixture.request(path);
        const auto sent = fixture.callFrames();
        fixture.now += 100ms;
        for (const auto& each : sent)
            fixture.answer(each.id, okAnswer());
    }
    fixture.take<send_response>();
    fixture.refreshPeers();
}

// A VM that loses power stops responding. Its link is closed only after two seconds, when most callers have timed out.
TEST(suspicion, idempotentCallGoesToAnotherNode)
{
    node_with_peers fixture("stock");
    fixture.request();
    const auto first = fixture.callsSent();
    ASSERT_EQ(first.size(), 1U);
    fixture.now += 600ms;
    fixture.handle(link_suspected { first.front(), true });
    const auto second = fixture.callsSent();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front(), first.front());
}

// A non-idempotent call may have reached the unresponsive node and must not be retried.
TEST(suspicion, nonIdempotentCallIsNotRetried)
{
    node_with_peers fixture("orders");
    const auto call = fixture.request("/orders/1", "planners-key", "POST");
    const auto first = fixture.callsSent();
    ASSERT_EQ(first.size(), 1U);
    fixture.now += 600ms;
    fixture.handle(link_suspected { first.front(), true });
    EXPECT_TRUE(fixture.callsSent().empty());
    EXPECT_EQ(fixture.statusOf(call), 0);
}

// A node that is back takes calls before the first status of its new run arrives. Those calls were counted as lost with
// the ones of the earlier run: an order that was running was answered 502, and queries were given up.
TEST(restart, callsOverANewLinkAreNotLostWhenTheRestartBecomesKnown)
{
    node_with_peers fixture("orders");
    fixture.request("/orders/1", "planners-key", "POST");
    const auto first = fixture.callFramesWithPeers().at(0);
    fixture.handle(link_closed { 5, first.first, true });
    fixture.take<send_response>();
    fixture.advance(750ms);
    std::map<std::uint64_t, std::uint64_t> callsBack; ///< attempts at the node that is back, and their calls
    for (int index = 0; index < 20; ++index) {
        const auto call = fixture.request("/orders/1", "planners-key", "POST");
        for (const auto& [peer, sent] : fixture.callFramesWithPeers()) {
            if (peer == first.first)
                callsBack[sent.id] = call;
        }
    }
    ASSERT_FALSE(callsBack.empty());
    fixture.take<send_response>();
    fixture.run = 2;
    fixture.refreshPeers();
    for (const auto& each : fixture.take<send_response>()) {
        const bool ofNewLink = std::any_of(
            callsBack.begin(), callsBack.end(), [&](const auto& known) { return known.second == each.call; });
        EXPECT_FALSE(ofNewLink) << each.content.status;
    }
    for (const auto& [attempt, call] : callsBack) {
        fixture.answer(attempt, okAnswer());
        EXPECT_EQ(fixture.statusOf(call), 200);
    }
}

// A link may stay open for long after the power of its node failed.
TEST(restart, callsOfAnEarlierRunAreLostWhenTheRestartBecomesKnown)
{
    node_with_peers fixture("orders");
    const auto call = fixture.request("/orders/1", "planners-key", "POST");
    fixture.run = 2;
    fixture.refreshPeers();
    EXPECT_EQ(fixture.statusOf(call), 502);
}

// The address of a node that is gone for long may belong to another one.
TEST(restart, linkOfANodeWithAnEarlierNodesAddressIsRecognizedAfterThatOneIsForgotten)
{
    node_with_peers fixture("orders");
    fixture.namePrefix = "later-";
    for (int second = 0; second < 30; ++second) {
        fixture.advance(1s);
        fixture.refreshPeers();
    }
    fixture.advance(1s);
    const auto call = fixture.request("/orders/1", "planners-key", "POST");
    const auto sent = fixture.callFramesWithPeers().at(0);
    fixture.handle(link_closed { 5, sent.first, true });
    EXPECT_EQ(fixture.statusOf(call), 502);
}

TEST(suspicion, suspectedNodeGetsNoNewCallsUntilItResponds)
{
    node_with_peers fixture("orders");
    const auto suspected = addressOf(2);
    fixture.handle(link_suspected { suspected, true });
    for (int index = 0; index < 20; ++index)
        fixture.request("/orders/1", "planners-key", "POST");
    auto sent = fixture.callsSent();
    EXPECT_EQ(std::count(sent.begin(), sent.end(), suspected), 0);
    fixture.handle(link_suspected { suspected, false });
    for (int index = 0; index < 20; ++index)
        fixture.request("/orders/1", "planners-key", "POST");
    sent = fixture.callsSent();
    EXPECT_GT(std::count(sent.begin(), sent.end(), suspected), 0);
}

// A backend server that has no room may never respond. An idempotent call must reach another one in time for its target
// latency; a non-idempotent one may be running and must wait.
TEST(suspicion, silentCallGoesElsewhereInTimeForItsTargetLatency)
{
    for (const bool idempotent : { true, false }) {
        const std::string path = idempotent ? "/stock/1" : "/orders/1";
        node_with_peers fixture(idempotent ? "stock" : "orders");
        measureLatency(fixture, path);
        const auto call = fixture.request(path);
        const auto first = fixture.callsSent();
        ASSERT_EQ(first.size(), 1U);
        fixture.advance(900ms);
        EXPECT_TRUE(fixture.callsSent().empty());
        fixture.refreshPeers();
        fixture.advance(450ms);
        const auto second = fixture.callFramesWithPeers();
        ASSERT_EQ(second.size(), idempotent ? 1U : 0U);
        if (!idempotent)
            continue;
        EXPECT_NE(second[0].first, first[0]);
        fixture.advance(100ms);
        fixture.answer(second[0].second.id, okAnswer());
        EXPECT_EQ(fixture.statusOf(call), 200);
    }
}

/// A call that has been silent and was then sent to a second node.
struct hedged_call : node_with_peers {
    /// leaving: whether the node is shutting down.
    explicit hedged_call(bool leaving = false)
        : node_with_peers("stock")
    {
        measureLatency(*this, "/stock/1");
        call = request();
        first = callFramesWithPeers().at(0);
        if (leaving)
            handle(leave_request {});
        advance(900ms);
        refreshPeers();
        advance(450ms);
        frames = take<send_frame>();
        const auto frame = parseFrame(frames.at(0).bytes);
        secondId = frame && frame->call ? frame->call->id : 0;
    }
    std::uint64_t call = 0;
    std::pair<socket_address, wire::call_request_data> first;
    std::vector<send_frame> frames; ///< sent because of the silence
    std::uint64_t secondId = 0;
};

// LOST of restart-while-leaving with seed 1099292797509, and of a soak of 16 nodes: a call was given up for silence,
// the second node refused it, and the client got 503 while the first backend server was working.
TEST(suspicion, silentCallIsNotGivenUpWhenTheOtherNodeRefusesIt)
{
    for (const bool leaving : { false, true }) {
        for (const auto kind : { failure_kind::notExecuted, failure_kind::rejected, failure_kind::lost }) {
            hedged_call fixture(leaving);
            ASSERT_EQ(fixture.frames.size(), 1U) << "the first attempt must not be cancelled";
            fixture.fail(fixture.secondId, kind);
            EXPECT_EQ(fixture.statusOf(fixture.call), 0);
            EXPECT_TRUE(fixture.take<send_frame>().empty());
            fixture.answer(fixture.first.second.id, okAnswer());
            EXPECT_EQ(fixture.statusOf(fixture.call), 200);
        }
    }
}

TEST(suspicion, hedgedCallTakesTheFirstAnswerAndCancelsTheOther)
{
    for (const bool firstAnswers : { false, true }) {
        hedged_call fixture;
        fixture.answer(firstAnswers ? fixture.first.second.id : fixture.secondId, okAnswer());
        EXPECT_EQ(fixture.statusOf(fixture.call), 200);
        const auto sent = fixture.take<send_frame>();
        ASSERT_EQ(sent.size(), 1U);
        const auto frame = parseFrame(sent[0].bytes);
        ASSERT_TRUE(frame && frame->cancel);
        EXPECT_EQ(frame->cancel->id, firstAnswers ? fixture.secondId : fixture.first.second.id);
    }
}

TEST(suspicion, hedgedCallEndsWhenBothAttemptsHaveFailed)
{
    hedged_call fixture;
    fixture.handle(link_closed { 9, fixture.first.first, true });
    EXPECT_EQ(fixture.statusOf(fixture.call), 0);
    fixture.fail(fixture.secondId, failure_kind::lost);
    EXPECT_EQ(fixture.statusOf(fixture.call), 502);
}

// BUDGET of two hunted days of kaynar-bildirim-grown: the first attempt failed while the hedge was running, and the
// call was sent to a third backend server though its route allows two.
TEST(suspicion, failureOfOneAttemptWaitsForTheOtherInsteadOfReachingAThirdServer)
{
    for (const bool otherSucceeds : { false, true }) {
        hedged_call fixture;
        fixture.peerCount = 3;
        fixture.refreshPeers();
        fixture.answer(fixture.first.second.id, { 500, {}, makeBytes("failed") });
        EXPECT_TRUE(fixture.take<send_frame>().empty());
        EXPECT_EQ(fixture.statusOf(fixture.call), 0);
        if (otherSucceeds)
            fixture.answer(fixture.secondId, okAnswer());
        else
            fixture.fail(fixture.secondId, failure_kind::lost);
        EXPECT_EQ(fixture.statusOf(fixture.call), otherSucceeds ? 200 : 500);
    }
}

TEST(suspicion, hedgedCallIsCancelledAtBothNodesAtItsDeadline)
{
    hedged_call fixture;
    fixture.advance(1s);
    EXPECT_EQ(fixture.statusOf(fixture.call), 504);
    EXPECT_EQ(fixture.take<send_frame>().size(), 2U);
}

// Scenario restart-while-leaving with seed 1099292797509: a node that was shutting down gave up a call at which a
// backend server was working, because its node was suspected. The other one refused it, and the client got 503.
TEST(shutdown, waitsForABackendServerThatIsAtWork)
{
    node_with_peers fixture("stock");
    measureLatency(fixture, "/stock/1");
    const auto call = fixture.request();
    const auto sent = fixture.callFramesWithPeers();
    ASSERT_EQ(sent.size(), 1U);
    fixture.handle(leave_request {});
    fixture.advance(600ms);
    fixture.handle(link_suspected { sent[0].first, true });
    for (const auto& each : fixture.take<send_frame>()) {
        const auto frame = parseFrame(each.bytes);
        ASSERT_TRUE(frame && frame->call) << "the first attempt must not be cancelled";
        fixture.fail(frame->call->id, failure_kind::notExecuted);
    }
    fixture.refreshPeers();
    fixture.advance(800ms);
    EXPECT_TRUE(fixture.take<send_frame>().empty());
    EXPECT_EQ(fixture.statusOf(call), 0);
    fixture.answer(sent[0].second.id, okAnswer());
    EXPECT_EQ(fixture.statusOf(call), 200);
}

// Hundreds of nodes start at once. A node that discovers another region first would send its calls there, and requests
// to all other nodes would cause a quadratic number of datagrams.
TEST(discovery, requestsStatusesOfItsOwnZoneAndFewOtherNodes)
{
    node_fixture fixture;
    nodes_listed listed;
    for (unsigned number = 0; number < 200; ++number) {
        const std::string zone = number % 4 == 0 ? "north-a" : "south-b";
        listed.nodes.push_back({ { "10.1.0." + std::to_string(number), 7000 }, zone });
    }
    fixture.handle(listed);
    fixture.advance(1ms);
    unsigned ofOwnZone = 0;
    unsigned ofOthers = 0;
    for (const auto& each : fixture.take<send_status>()) {
        const auto number = std::stoul(each.peer.ip.substr(each.peer.ip.rfind('.') + 1));
        ++(number % 4 == 0 ? ofOwnZone : ofOthers);
    }
    EXPECT_EQ(ofOwnZone, 50U);
    EXPECT_LE(ofOthers, 20U);
}

// Found by fuzz_node: a faulty status that names this node's zone together with another region made the node, as the
// relay of its zone, look up itself among its peers; the exception ended the process.
TEST(discovery, statusOfOwnZoneInAnotherRegionIsHarmless)
{
    node_fixture fixture;
    wire::status_data status;
    status.node = "b";
    status.run = 1;
    status.sequence = 1;
    status.region = "south";
    status.availability_zone = "north-a";
    status.ip = "10.0.0.2";
    status.port = 7000;
    fixture.handle(status_received { { status.ip, status.port }, encodeStatus(status) });
    EXPECT_NO_THROW(fixture.advance(1s));
}

// Large configurations must not cross the billed link between regions once per node.
TEST(configuration, isRequestedFromTheNearestNode)
{
    node_fixture fixture;
    for (const auto& [name, region] : { std::pair { "b", "south" }, { "c", "north" } }) {
        wire::status_data status;
        status.node = name;
        status.run = 1;
        status.sequence = 1;
        status.region = region;
        status.availability_zone = std::string(region) + "-z";
        status.ip = region == std::string("north") ? "10.0.0.3" : "10.0.0.2";
        status.port = 7000;
        status.configuration = 9;
        fixture.handle(status_received { { status.ip, status.port }, encodeStatus(status) });
    }
    fixture.advance(500ms);
    const auto requested = fixture.take<send_frame>();
    ASSERT_EQ(requested.size(), 1U);
    EXPECT_EQ(requested.front().peer.ip, "10.0.0.3");
}

} // namespace
