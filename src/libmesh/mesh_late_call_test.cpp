// Guards that a call that waited on its way is not executed for a client that has left meanwhile.

#include "link_transit.h"
#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t callerLink = 5;

/// A node that serves calls of a peer whose clock is an hour ahead.
struct late_call : node_with_peers {
    late_call()
        : node_with_peers("checks", "stock")
    {
        addBackend();
        out.clear();
    }

    bool isLast = true; ///< no further frame is received together with those that follow

    /// Handles a frame that was sent that long ago.
    void receive(wire::frame_data frame, duration age)
    {
        frame.sent_ms = frameTimestamp(now - age + 1h);
        handle(frame_received { callerLink, {}, encodeFrame(frame), duration(0), isLast });
    }

    void receiveCall(std::uint64_t id, duration age)
    {
        wire::frame_data frame;
        frame.call = std::make_unique<wire::call_request_data>();
        frame.call->id = id;
        frame.call->service = "stock";
        frame.call->request_id = "q" + std::to_string(id);
        frame.call->method = "GET";
        frame.call->path = "/stock/1";
        frame.call->idempotent = true;
        frame.call->remaining_us = duration(2s).count();
        frame.call->queue_us = duration(1500ms).count();
        receive(std::move(frame), age);
    }

    void confirm(std::uint64_t id, duration remaining, duration age)
    {
        wire::frame_data frame;
        frame.confirmation = std::make_unique<wire::call_confirmation_data>();
        frame.confirmation->id = id;
        frame.confirmation->remaining_us = remaining.count();
        receive(std::move(frame), age);
    }

    void cancel(std::uint64_t id, duration age)
    {
        wire::frame_data frame;
        frame.cancel = std::make_unique<wire::call_cancel_data>();
        frame.cancel->id = id;
        receive(std::move(frame), age);
    }

    /// Serves a first call, so that the times on the link are known.
    void learnLink()
    {
        receiveCall(1, 30ms);
        now += 60ms;
        confirm(1, 1900ms, 30ms);
        EXPECT_EQ(take<run_on_backend>().size(), 1U);
        take<reply_frame>();
    }

    std::size_t checks()
    {
        return countFrames<reply_frame>([](const wire::frame_data& each) { return each.check != nullptr; });
    }
    std::size_t refusals()
    {
        return countFrames<reply_frame>([](const wire::frame_data& each) {
            return each.failure && each.failure->kind == static_cast<std::uint8_t>(failure_kind::notExecuted);
        });
    }
    std::size_t executions() { return take<run_on_backend>().size(); }
};

TEST(late_call, isNotExecutedBeforeItsCallerConfirmsIt)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 600ms);
    EXPECT_EQ(node.executions(), 0U);
    EXPECT_EQ(node.checks(), 1U);
    node.now += 60ms;
    node.confirm(2, 1300ms, 30ms);
    const auto started = node.take<run_on_backend>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().remaining, 1300ms);
}

TEST(late_call, isNotExecutedWhenItsCancelFollows)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 600ms);
    node.cancel(2, 400ms);
    node.now += 60ms;
    node.confirm(2, 1300ms, 30ms);
    EXPECT_EQ(node.executions(), 0U);
}

TEST(late_call, isNotExecutedWhenItsCancelComesWithTheConfirmation)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 600ms);
    node.now += 60ms;
    node.isLast = false;
    node.confirm(2, 1300ms, 30ms);
    node.isLast = true;
    node.cancel(2, 20ms);
    EXPECT_EQ(node.executions(), 0U);
}

// The clock of a node that was restored from a snapshot of its VM may go back.
TEST(late_call, isCheckedAndNotRefusedWhenTheClockOfItsCallerHasGoneBack)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 10min);
    EXPECT_EQ(node.checks(), 1U);
    node.now += 60ms;
    node.confirm(2, 1300ms, 10min);
    const auto started = node.take<run_on_backend>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_GE(started.front().remaining, 1200ms);
}

TEST(late_call, absurdTimesOfItsCallerAreBounded)
{
    late_call node;
    node.learnLink();
    for (const auto remaining : { duration::min(), duration::max() }) {
        node.receiveCall(2, 600ms);
        node.now += 60ms;
        node.confirm(2, remaining, 30ms);
        for (const auto& each : node.take<run_on_backend>())
            EXPECT_LE(each.remaining, duration(1h));
    }
}

// The way of the confirmation is full too.
TEST(late_call, isRefusedWhenItsConfirmationIsLate)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 600ms);
    node.advance(350ms);
    EXPECT_EQ(node.refusals(), 1U);
    node.confirm(2, 1000ms, 340ms);
    EXPECT_EQ(node.executions(), 0U);
    EXPECT_TRUE(node.subject.idle() || node.subject.statistics(node.now).running == 1);
}

TEST(late_call, isForgottenWhenItsLinkCloses)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 600ms);
    node.handle(link_closed { callerLink, {}, true });
    node.confirm(2, 1300ms, 30ms);
    EXPECT_EQ(node.executions(), 0U);
}

TEST(late_call, isNoCallThatWasUnderWayAsUsual)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 150ms);
    EXPECT_EQ(node.executions(), 1U);
    EXPECT_EQ(node.checks(), 0U);
}

// All frames of a new link may have waited equally long.
TEST(late_call, mayBeTheFirstOfItsLink)
{
    late_call node;
    node.receiveCall(1, 1200ms);
    EXPECT_EQ(node.executions(), 0U);
    EXPECT_EQ(node.checks(), 1U);
    node.now += 250ms;
    node.confirm(1, 500ms, 220ms);
    EXPECT_EQ(node.executions(), 1U);
    node.receiveCall(2, 400ms);
    EXPECT_EQ(node.executions(), 0U) << "the confirmation of the first call took as long";
}

TEST(late_call, timesOnALinkAreMeasuredAgainAfterAMinute)
{
    late_call node;
    node.learnLink();
    node.advance(61s);
    node.refreshPeers();
    node.take<reply_frame>();
    node.receiveCall(2, 30ms);
    EXPECT_EQ(node.checks(), 1U);
}

// The times of a call count from when it was sent.
TEST(late_call, losesTheTimeThatItWaited)
{
    late_call node;
    node.learnLink();
    node.receiveCall(2, 230ms);
    const auto started = node.take<run_on_backend>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().remaining, 1800ms);
}

TEST(late_call, callerConfirmsOnlyWhatItWaitsFor)
{
    node_with_peers caller("stock");
    const auto request = caller.request();
    const auto sent = caller.callFramesWithPeers();
    ASSERT_EQ(sent.size(), 1U);
    const auto ask = [&](std::uint64_t id) {
        wire::frame_data frame;
        frame.check = std::make_unique<wire::call_check_data>();
        frame.check->id = id;
        caller.handle(frame_received { 9, sent.front().first, encodeFrame(frame) });
        const auto replies = caller.take<send_frame>();
        EXPECT_EQ(replies.size(), 1U);
        return std::move(*parseFrame(replies.front().bytes));
    };
    caller.now += 100ms;
    const auto confirmed = ask(sent.front().second.id);
    ASSERT_TRUE(confirmed.confirmation);
    EXPECT_EQ(confirmed.confirmation->remaining_us, duration(1400ms).count());
    caller.handle(client_disconnected { request });
    caller.out.clear();
    EXPECT_TRUE(ask(sent.front().second.id).cancel);
}

} // namespace
