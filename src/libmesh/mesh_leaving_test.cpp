// Guards what becomes of requests in progress when their node, or the node beside their backend server, stops as
// planned.

#include "mesh_network_test.h"
#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

mesh::configuration patientConfiguration()
{
    auto config = sampleConfiguration();
    for (auto& each : config.routes)
        each.timeout = each.targetLatency = 5s;
    return config;
}

/// A node that takes orders, and the node beside their backend server, which runs few at once.
struct order_network : simulated_network {
    order_network()
    {
        entry = &add({ "a", "north", "north-a", "stock" });
        serving = &add({ "b", "north", "north-b", "orders" });
        serving->slots = 8;
        serving->serviceTime = 1400ms;
        configure(patientConfiguration());
        sendNodeLists();
        addBackends();
        runFor(2s);
        sendOrders(4);
        runFor(3s);
        usual = requests.size();
    }

    void sendOrders(int count)
    {
        for (int number = 0; number < count; ++number)
            send(*entry, "/orders/1", "planners-key", "POST");
    }

    bool executed(std::size_t request) const
    {
        const auto id = "r" + std::to_string(request);
        return std::any_of(executions.begin(), executions.end(),
            [&](const simulated_execution& each) { return each.requestId == id; });
    }

    /// Checks that each order is answered, and that none is both refused and executed.
    void expectTrueAnswers() const
    {
        for (auto index = usual; index < requests.size(); ++index) {
            EXPECT_NE(requests[index].status, 0) << "order " << index << " got no answer";
            EXPECT_EQ(requests[index].status == 503, !executed(index)) << "order " << index;
        }
    }

    member* entry = nullptr;
    member* serving = nullptr;
    std::size_t usual = 0; ///< number of requests before the stop
};

// review/6: a node that stopped closed the connections of orders that waited for room at a backend server of another
// node, which had never begun them.
TEST(leaving, ordersThatWaitAtAnotherNodeAreAnsweredAsNotExecuted)
{
    order_network network;
    network.dispatch(*network.entry, leave_request { network.now() + 5100ms });
    network.runFor(2600ms);
    network.sendOrders(20);
    network.runFor(2500ms);
    network.expectTrueAnswers();
    EXPECT_EQ(network.countStatus(503), 13U);
    EXPECT_EQ(network.countStatus(502), 0U) << "no order is begun that cannot end in time";
}

// The same for orders that were sent before the stop: those that the servers still reach in time are served.
TEST(leaving, ordersFromBeforeTheStopAreServedWhileThereIsTime)
{
    order_network network;
    network.sendOrders(40);
    network.runFor(100ms);
    network.dispatch(*network.entry, leave_request { network.now() + 4s });
    network.runFor(4s);
    network.expectTrueAnswers();
    EXPECT_EQ(network.countStatus(502), 0U);
    EXPECT_GE(network.countStatus(200), network.usual + 14U);
    EXPECT_GE(network.countStatus(503), 1U);
}

// The node beside the backend server stops: orders of other nodes that still wait there must go elsewhere, or be
// refused, while there is time.
TEST(leaving, ordersThatWaitAtTheStoppingNodeFailAsNotExecuted)
{
    order_network network;
    network.sendOrders(20);
    network.runFor(100ms);
    network.dispatch(*network.serving, leave_request { network.now() + 3s });
    network.runFor(3s);
    network.kill(*network.serving);
    network.runFor(100ms);
    network.expectTrueAnswers();
    EXPECT_GE(network.countStatus(503), 1U);
    EXPECT_EQ(network.countStatus(502), 0U);
}

// A refusal that says "not executed" about an order that may have begun would be repeated by its client.
TEST(leaving, orderThatMayHaveBegunIsNotRefusedAsNotExecuted)
{
    node_with_peers fixture("orders");
    const auto call = fixture.request("/orders/1");
    ASSERT_EQ(fixture.callFrames().size(), 1U);
    fixture.handle(leave_request { fixture.now + 1s });
    fixture.advance(900ms);
    EXPECT_EQ(fixture.countFrames<send_frame>([](const wire::frame_data& each) { return each.recall != nullptr; }), 1U);
    fixture.advance(50ms);
    EXPECT_EQ(fixture.countFrames<send_frame>([](const wire::frame_data& each) { return each.recall != nullptr; }), 0U)
        << "an order is recalled once";
    EXPECT_EQ(fixture.statusOf(call), 0);
    fixture.advance(50ms);
    EXPECT_EQ(fixture.statusOf(call), 502);
}

/// A node that gets calls of another node.
struct serving_fixture : node_fixture {
    explicit serving_fixture(unsigned slots)
    {
        configure(patientConfiguration());
        addBackend("i-1", slots);
        out.clear();
    }

    static wire::frame_data callFrame(std::uint64_t id)
    {
        wire::frame_data frame;
        frame.call = std::make_unique<wire::call_request_data>();
        frame.call->id = id;
        frame.call->service = "stock";
        frame.call->request_id = "r" + std::to_string(id);
        frame.call->method = "GET";
        frame.call->path = "/stock/1";
        frame.call->remaining_us = frame.call->queue_us = duration(4s).count();
        return frame;
    }

    static wire::frame_data recallFrame(std::uint64_t id)
    {
        wire::frame_data frame;
        frame.recall = std::make_unique<wire::call_recall_data>();
        frame.recall->id = id;
        return frame;
    }

    void receive(const wire::frame_data& frame, bool isLast = true)
    {
        handle(frame_received { 7, {}, encodeFrame(frame), duration(0), isLast });
    }

    /// Removes the replies and returns the calls that failed as not executed.
    std::vector<std::uint64_t> failedAsNotExecuted()
    {
        std::vector<std::uint64_t> failed;
        for (const auto& each : take<reply_frame>()) {
            const auto frame = parseFrame(each.bytes);
            if (frame && frame->failure && frame->failure->kind == static_cast<std::uint8_t>(failure_kind::notExecuted))
                failed.push_back(frame->failure->id);
        }
        return failed;
    }
};

TEST(leaving, recallFailsACallThatWaitsAndNotOneThatRuns)
{
    serving_fixture fixture(1);
    fixture.receive(serving_fixture::callFrame(1));
    fixture.receive(serving_fixture::callFrame(2));
    const auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    fixture.receive(serving_fixture::recallFrame(1));
    EXPECT_TRUE(fixture.failedAsNotExecuted().empty());
    EXPECT_TRUE(fixture.take<cancel_on_backend>().empty());
    fixture.receive(serving_fixture::recallFrame(2));
    EXPECT_EQ(fixture.failedAsNotExecuted(), std::vector<std::uint64_t> { 2 });
    fixture.handle(backend_result { runs[0].attempt, okAnswer() });
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
    EXPECT_TRUE(fixture.subject.idle());
}

// Seen in review/6: when the caller's node ended, the calls that waited for it took the place of those that ran, and
// the backend server began them for nobody.
TEST(leaving, callsOfAClosedLinkAreNotStartedWhenThoseBeforeThemEnd)
{
    serving_fixture fixture(2);
    for (std::uint64_t id = 1; id <= 6; ++id)
        fixture.receive(serving_fixture::callFrame(id));
    ASSERT_EQ(fixture.take<run_on_backend>().size(), 1U);
    fixture.handle(link_closed { 7, {}, true });
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
    EXPECT_TRUE(fixture.subject.idle());
}

TEST(leaving, recallThatArrivesWithItsCallFailsIt)
{
    serving_fixture fixture(10);
    fixture.receive(serving_fixture::callFrame(1), false);
    fixture.receive(serving_fixture::recallFrame(1));
    EXPECT_EQ(fixture.failedAsNotExecuted(), std::vector<std::uint64_t> { 1 });
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
}

// A call whose caller is asked whether it still waits has not started either.
TEST(leaving, recallFailsACallThatIsNotConfirmedYet)
{
    serving_fixture fixture(10);
    auto late = serving_fixture::callFrame(1);
    late.sent_ms = 1;
    fixture.receive(late);
    ASSERT_TRUE(fixture.take<run_on_backend>().empty()) << "the call must wait for a confirmation";
    fixture.out.clear();
    fixture.receive(serving_fixture::recallFrame(1));
    EXPECT_EQ(fixture.failedAsNotExecuted(), std::vector<std::uint64_t> { 1 });
    fixture.advance(1s);
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
}

} // namespace
