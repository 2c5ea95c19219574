// Guards that work for callers that are gone ends, also where their cancel does not reach it.

#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t callerLink = 5;
constexpr std::uint64_t noCall = 99;

/// A node whose backend server executes calls to "stock", which make calls to "checks" at the peers.
struct serving_fixture : node_with_peers {
    serving_fixture()
        : node_with_peers("checks", "stock")
    {
        auto config = sampleConfiguration(2);
        route checks = config.routes.at(1);
        checks.name = "checks";
        checks.pathPrefix = "/checks/";
        checks.services = { { "checks", 1 } };
        checks.isPublic = true;
        config.routes.push_back(checks);
        config.services.push_back({ "checks", "/health", 100 });
        configure(config);
        addBackend();
        out.clear();
    }

    /// Handles a call of another node that the backend server starts to execute.
    void serve(std::uint64_t id, const std::string& requestId, bool idempotent = true)
    {
        receiveCall(id, requestId, idempotent);
        EXPECT_EQ(take<run_on_backend>().size(), 1U);
    }

    /// isLast: no further frame was received together with the call.
    void receiveCall(std::uint64_t id, const std::string& requestId, bool idempotent = true, bool isLast = true)
    {
        wire::frame_data frame;
        frame.call = std::make_unique<wire::call_request_data>();
        frame.call->id = id;
        frame.call->service = "stock";
        frame.call->request_id = requestId;
        frame.call->method = idempotent ? "GET" : "POST";
        frame.call->path = "/stock/1";
        frame.call->idempotent = idempotent;
        frame.call->remaining_us = duration(1500ms).count();
        frame.call->queue_us = frame.call->remaining_us;
        handle(frame_received { callerLink, {}, encodeFrame(frame), duration(0), isLast });
    }

    void cancel(std::uint64_t id)
    {
        wire::frame_data frame;
        frame.cancel = std::make_unique<wire::call_cancel_data>();
        frame.cancel->id = id;
        handle(frame_received { callerLink, {}, encodeFrame(frame) });
    }

    /// Handles the caller's confirmation that it still waits.
    void confirm(std::uint64_t id)
    {
        wire::frame_data frame;
        frame.confirmation = std::make_unique<wire::call_confirmation_data>();
        frame.confirmation->id = id;
        frame.confirmation->remaining_us = duration(1s).count();
        frame.sent_ms = 1 + static_cast<std::uint32_t>(now.time_since_epoch() / 1ms);
        handle(frame_received { callerLink, {}, encodeFrame(frame) });
    }

    /// Makes a call of the backend server and returns its number.
    std::uint64_t makeNestedCall(const std::string& requestId)
    {
        client_request made;
        made.call = ++calls;
        made.requestId = requestId;
        made.host = "shop.example";
        made.content.method = "GET";
        made.content.path = "/checks/1";
        made.deadline = 1s;
        handle(std::move(made));
        return calls;
    }

    /// Removes the frames that were sent and returns how many of them cancel a call.
    std::size_t cancelFrames()
    {
        return countFrames<send_frame>([](const wire::frame_data& each) { return each.cancel != nullptr; });
    }
};

// A call that is in progress is not answered in the place of the backend server that works on it, while its own caller
// waits for it.
TEST(abandoned_work, callInProgressOfACancelledExecutionGoesOn)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    const auto nested = fixture.makeNestedCall("q1.1");
    const auto sent = fixture.callFrames();
    ASSERT_EQ(sent.size(), 1U);
    fixture.cancel(1);
    EXPECT_EQ(fixture.take<cancel_on_backend>().size(), 1U);
    EXPECT_EQ(fixture.cancelFrames(), 0U);
    fixture.answer(sent.front().id, okAnswer());
    EXPECT_EQ(fixture.statusOf(nested), 200);
}

// A backend server that does not notice that its connection is closed made further calls, and whole trees below them
// were executed.
TEST(abandoned_work, furtherCallsOfACancelledExecutionAreNotExecuted)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    fixture.cancel(1);
    const auto nested = fixture.makeNestedCall("q1.1");
    EXPECT_TRUE(fixture.callFrames().empty());
    EXPECT_EQ(fixture.statusOf(nested), 503);
}

// A call in progress was sent to further nodes after its execution was cancelled, until the backend server noticed.
TEST(abandoned_work, callInProgressOfACancelledExecutionIsNotSentAgain)
{
    for (const auto kind : { failure_kind::notExecuted, failure_kind::rejected, failure_kind::lost }) {
        serving_fixture fixture;
        fixture.serve(1, "q1");
        const auto abandoned = fixture.makeNestedCall("q1.1");
        const auto sent = fixture.callFrames();
        ASSERT_EQ(sent.size(), 1U);
        fixture.cancel(1);
        fixture.serve(2, "q2");
        fixture.fail(sent.front().id, kind);
        EXPECT_TRUE(fixture.callFrames().empty());
        EXPECT_EQ(fixture.statusOf(abandoned), kind == failure_kind::lost ? 502 : 503);

        const auto wanted = fixture.makeNestedCall("q2.1");
        const auto first = fixture.callFrames();
        ASSERT_EQ(first.size(), 1U);
        fixture.fail(first.front().id, kind);
        EXPECT_EQ(fixture.callFrames().size(), 1U);
        EXPECT_EQ(fixture.statusOf(wanted), 0);
    }
}

TEST(abandoned_work, callInProgressOfACancelledExecutionIsNotRepeatedAfterAFailure)
{
    for (const bool cancelled : { false, true }) {
        serving_fixture fixture;
        fixture.serve(1, "q1");
        const auto nested = fixture.makeNestedCall("q1.1");
        const auto sent = fixture.callFrames();
        ASSERT_EQ(sent.size(), 1U);
        if (cancelled)
            fixture.cancel(1);
        http_answer failed;
        failed.status = 500;
        fixture.answer(sent.front().id, failed);
        EXPECT_EQ(fixture.callFrames().size(), cancelled ? 0U : 1U);
        EXPECT_EQ(fixture.statusOf(nested), cancelled ? 500 : 0);
    }
}

TEST(abandoned_work, furtherCallsOfAnExecutionWhoseLinkEndedAreNotExecuted)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    EXPECT_TRUE(fixture.subject.servesLink(callerLink));
    fixture.handle(link_closed { callerLink, {}, true });
    EXPECT_FALSE(fixture.subject.servesLink(callerLink));
    fixture.makeNestedCall("q1.1");
    EXPECT_TRUE(fixture.callFrames().empty());
}

// A backend server may complete an order although its caller is gone, and must be able to.
TEST(abandoned_work, callsOfACancelledNonIdempotentExecutionGoOn)
{
    serving_fixture fixture;
    fixture.serve(1, "q1", false);
    fixture.cancel(1);
    fixture.makeNestedCall("q1.1");
    EXPECT_EQ(fixture.callFrames().size(), 1U);
}

TEST(abandoned_work, callsOfOtherExecutionsGoOn)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    fixture.serve(2, "q2");
    fixture.cancel(1);
    fixture.makeNestedCall("q2.1");
    EXPECT_EQ(fixture.callFrames().size(), 1U);
}

// A client may send a request again under its id after it has left.
TEST(abandoned_work, callsOfARequestThatIsExecutedAgainAreTaken)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    fixture.cancel(1);
    fixture.serve(2, "q1");
    fixture.makeNestedCall("q1.1");
    EXPECT_EQ(fixture.callFrames().size(), 1U);
}

TEST(abandoned_work, isForgottenAfterItsDeadline)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    fixture.cancel(1);
    fixture.advance(1600ms);
    fixture.refreshPeers();
    fixture.serve(2, "q2");
    fixture.cancel(2);
    fixture.makeNestedCall("q1.1");
    EXPECT_EQ(fixture.callFrames().size(), 1U);
}

// The cancel of a caller that is cut off, paused or without power does not arrive.
TEST(abandoned_work, endsAfterTheDeadlineOfItsCallWithoutACancel)
{
    serving_fixture fixture;
    fixture.serve(1, "q1");
    fixture.advance(1550ms);
    EXPECT_TRUE(fixture.take<cancel_on_backend>().empty()) << "the response that is due now was given up";
    fixture.advance(200ms);
    EXPECT_EQ(fixture.take<cancel_on_backend>().size(), 1U);
}

// The cancel of an execution waited in a full link, and its backend server made further calls meanwhile.
TEST(abandoned_work, callOfAnExecutionWithASilentLinkWaitsForTheCaller)
{
    serving_fixture fixture;
    fixture.confirm(noCall);
    fixture.serve(1, "q1");
    fixture.serve(2, "q2");
    fixture.advance(400ms);
    fixture.refreshPeers();
    fixture.take<reply_frame>();
    const auto wanted = fixture.makeNestedCall("q1.1");
    const auto unwanted = fixture.makeNestedCall("q2.1");
    EXPECT_TRUE(fixture.callFrames().empty());
    EXPECT_EQ(fixture.take<reply_frame>().size(), 2U) << "one question for each execution";
    fixture.now += 20ms;
    fixture.confirm(1);
    const auto sent = fixture.callFrames();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().request_id, "q1.1");
    fixture.cancel(2);
    EXPECT_EQ(fixture.statusOf(unwanted), 503);
    fixture.answer(sent.front().id, okAnswer());
    EXPECT_EQ(fixture.statusOf(wanted), 200);
}

// The confirmation was under way for so long that the caller may have left since.
TEST(abandoned_work, callIsNotSentAfterALateConfirmation)
{
    serving_fixture fixture;
    fixture.confirm(noCall);
    fixture.serve(1, "q1");
    fixture.advance(400ms);
    fixture.refreshPeers();
    fixture.makeNestedCall("q1.1");
    fixture.advance(350ms);
    fixture.take<reply_frame>();
    fixture.confirm(1);
    EXPECT_TRUE(fixture.callFrames().empty());
    EXPECT_EQ(fixture.take<reply_frame>().size(), 1U) << "the caller is asked again";
    fixture.now += 20ms;
    fixture.confirm(1);
    EXPECT_EQ(fixture.callFrames().size(), 1U);
}

TEST(abandoned_work, callThatWaitsForTheCallerEndsWithItsDeadline)
{
    serving_fixture fixture;
    fixture.confirm(noCall);
    fixture.serve(1, "q1");
    fixture.advance(400ms);
    const auto nested = fixture.makeNestedCall("q1.1");
    fixture.advance(1s);
    EXPECT_EQ(fixture.statusOf(nested), 504);
    fixture.confirm(1);
    EXPECT_TRUE(fixture.callFrames().empty());
}

// A call and its cancel that waited in a full link between regions arrived together, a second after the client had
// left, and the call was still sent to the backend server.
TEST(abandoned_work, callThatArrivesTogetherWithItsCancelIsNotExecuted)
{
    serving_fixture fixture;
    fixture.receiveCall(1, "q1", true, false);
    fixture.receiveCall(2, "q2", true, false);
    fixture.cancel(1);
    const auto started = fixture.take<run_on_backend>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().requestId, "q2");
}

} // namespace
