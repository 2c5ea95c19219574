// Guards the tracking of the local backend server by heartbeats and health checks, and that a draining one gets no new
// calls.

#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

backend_heartbeat report(const std::string& id, std::int64_t startTimeMs, std::uint64_t sequence, bool draining = false)
{
    backend_heartbeat made;
    made.id = id;
    made.startTimeMs = startTimeMs;
    made.sequence = sequence;
    made.service = "stock";
    made.slots = 10;
    made.draining = draining;
    return made;
}

// Benchmark hunt-1949-35: a node acknowledged the drain of its backend server and was restarted. It then accepted a
// delayed older heartbeat and sent requests after the drain time.
TEST(backend, delayedHeartbeatAfterARestartIsCheckedFirst)
{
    node_fixture fixture;
    fixture.configure();
    fixture.take<check_backend>();
    fixture.handle(report("i-1", 5, 9));
    fixture.handle(backend_check_result { "i-1", false });
    fixture.request();
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
}

TEST(backend, confirmedHeartbeatGetsCalls)
{
    node_fixture fixture;
    fixture.configure();
    fixture.handle(report("i-1", 5, 9));
    fixture.handle(backend_check_result { "i-1", true });
    fixture.request();
    const auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs.front().backendId, "i-1");
}

// If only the node restarts, it must discover its backend server before the next heartbeat.
TEST(backend, isDiscoveredByHealthCheckAtStart)
{
    node_fixture fixture;
    fixture.configure();
    ASSERT_EQ(fixture.take<check_backend>().size(), 1U);
    fixture.handle(backend_check_result { "i-1", true });
    fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
    fixture.handle(report("i-1", 5, 9));
    fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
}

// A health check may fail wrongly; a backend server that keeps sending ready heartbeats is not draining.
TEST(backend, isUsedWhenItKeepsReportingReady)
{
    node_fixture fixture;
    fixture.configure();
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        fixture.handle(report("i-1", 5, sequence));
        fixture.handle(backend_check_result { "i-1", false });
        fixture.advance(1500ms);
    }
    fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
}

TEST(backend, lateHeartbeatOfAnEarlierStartIsIgnored)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend("i-2");
    fixture.handle(report("i-1", 3, 50));
    fixture.handle(backend_check_result { "i-1", true });
    fixture.request();
    const auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs.front().backendId, "i-2");
}

TEST(backend, drainingGetsCallsOnlyUntilItsDrainTimeEnds)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend();
    fixture.handle(report("i-1", 5, 100, true));
    fixture.advance(2600ms);
    const auto call = fixture.request();
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
    EXPECT_EQ(fixture.statusOf(call), 503);
}

// Requests still queued when the drain time ends were not executed and must be refused immediately.
TEST(backend, queuedRequestsAreRefusedWhenTheDrainTimeEnds)
{
    node_fixture fixture;
    auto config = sampleConfiguration();
    for (auto& each : config.routes)
        each.timeout = each.targetLatency = 60s;
    fixture.configure(config);
    fixture.addBackend("i-1", 2);
    for (int count = 0; count < 4; ++count)
        fixture.request();
    const auto started = fixture.take<run_on_backend>().size();
    ASSERT_LT(started, 4U);
    fixture.handle(backend_deregistration { "i-1" });
    fixture.advance(1000ms);
    EXPECT_TRUE(fixture.take<send_response>().empty());
    fixture.advance(950ms);
    const auto answers = fixture.take<send_response>();
    EXPECT_EQ(answers.size(), 4 - started);
    for (const auto& each : answers)
        EXPECT_EQ(each.content.status, 503);
}

// Incident inc-043a: all nodes were killed. After the restart, until the first heartbeat, they assumed too few slots
// and refused requests that their backend servers had capacity for.
TEST(backend, manyCallsRunBeforeItsSlotsAreKnown)
{
    node_fixture fixture;
    fixture.configure();
    fixture.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 40; ++count)
        fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 40U);
}

// The registry's backend servers never respond when they are full. After a restart of its node, one with 14 slots got
// up to 45 calls at once.
TEST(backend, slotsOfItsServiceAreAssumedUntilItsOwnAreKnown)
{
    node_with_peers fixture("stock", "stock");
    fixture.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 120; ++count)
        fixture.request();
    EXPECT_LE(fixture.take<run_on_backend>().size(), 9U);
}

// A full backend server stays silent. Its node must send it less, report the silence to the others, and recover.
TEST(backend, silenceLowersTheLimitAndIsReported)
{
    node_fixture fixture;
    auto config = sampleConfiguration();
    for (auto& each : config.routes) {
        each.timeout = each.targetLatency = 60s;
        each.maxAttempts = 1;
    }
    fixture.configure(config);
    fixture.addBackend("i-1", 20);
    const auto answerAll = [&] {
        for (const auto& each : fixture.take<run_on_backend>())
            fixture.handle(backend_result { each.attempt, okAnswer() });
    };
    for (int round = 0; round < 30; ++round) {
        fixture.request();
        fixture.now += 100ms;
        answerAll();
    }
    for (int round = 0; round < 4; ++round) {
        const auto silent = fixture.request();
        fixture.now += 2s;
        fixture.handle(client_disconnected { silent });
    }
    EXPECT_LE(fixture.subject.statistics(fixture.now).concurrencyLimit, 9U);
    EXPECT_GE(fixture.subject.statistics(fixture.now).concurrencyLimit, 4U);
    fixture.out.clear();
    for (int round = 0; round < 60; ++round) {
        fixture.request();
        fixture.now += 100ms;
        answerAll();
    }
    EXPECT_EQ(fixture.subject.statistics(fixture.now).concurrencyLimit, 18U);
}

// The first heartbeat reports the slots; calls that already run must count against them.
TEST(backend, runningCallsCountAgainstSlotsReportedLater)
{
    node_fixture fixture;
    fixture.configure();
    fixture.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 3; ++count)
        fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 3U);
    auto first = report("i-1", 5, 9);
    first.slots = 4;
    fixture.handle(first);
    fixture.request();
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
}

// Scenario restart-while-leaving with seed 895020797624 failed with LOST: a node that was shutting down accepted
// requests until it exited, and aborted them.
TEST(shutdown, acceptsNoRequestThatItCannotFinish)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend();
    fixture.handle(leave_request {});
    fixture.advance(1000ms);
    fixture.request();
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
    fixture.advance(2000ms);
    fixture.take<send_response>();
    const auto late = fixture.request();
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
    EXPECT_EQ(fixture.statusOf(late), 503);
}

// Scenario restart-while-leaving crashed processes: running calls beyond a newly reported limit were queued and started
// a second time.
TEST(backend, callsBeyondTheNewLimitAreNotStartedAgain)
{
    node_fixture fixture;
    auto config = sampleConfiguration();
    for (auto& each : config.routes)
        each.timeout = each.targetLatency = 60s;
    fixture.configure(config);
    fixture.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 60; ++count)
        fixture.request();
    auto runs = fixture.take<run_on_backend>();
    auto first = report("i-1", 5, 9);
    first.slots = 10;
    fixture.handle(first);
    std::map<std::uint64_t, int> starts;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        ++starts[runs[index].attempt];
        fixture.handle(backend_result { runs[index].attempt, okAnswer() });
        for (auto& each : fixture.take<run_on_backend>())
            runs.push_back(std::move(each));
    }
    EXPECT_EQ(starts.size(), runs.size());
    EXPECT_EQ(fixture.subject.statistics(fixture.now).callsInFlight, 0U);
}

/// Handles a call of another node.
void receiveCall(node_fixture& fixture, std::uint64_t id, std::size_t bodyBytes, duration remaining, duration delay)
{
    wire::frame_data frame;
    frame.call = std::make_unique<wire::call_request_data>();
    frame.call->id = id;
    frame.call->service = "stock";
    frame.call->request_id = "r" + std::to_string(id);
    frame.call->method = "POST";
    frame.call->path = "/stock/1";
    frame.call->body = std::string(bodyBytes, 'x');
    frame.call->remaining_us = remaining.count();
    frame.call->queue_us = remaining.count();
    fixture.handle(frame_received { 7, {}, encodeFrame(frame), delay });
}

// Large uploads of many nodes for one backend server must not use up the memory of its VM.
TEST(serving, callsBeyondTheMemoryForBodiesAreNotExecuted)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend("i-1", 100);
    node_tuning tuning;
    tuning.maxHeldBytes = 1'000'000;
    fixture.handle(tuning_changed { tuning });
    for (std::uint64_t id = 1; id <= 4; ++id)
        receiveCall(fixture, id, 300'000, 1s, duration(0));
    auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 3U);
    const auto replies = fixture.take<reply_frame>();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(parseFrame(replies[0].bytes)->failure->kind, static_cast<std::uint8_t>(failure_kind::notExecuted));
    fixture.handle(backend_result { runs[0].attempt, okAnswer() });
    receiveCall(fixture, 5, 300'000, 1s, duration(0));
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
}

// A process that was paused reads calls whose callers may have given up meanwhile. It must not give the backend server
// more time than is left, and must not start what has run out.
TEST(serving, timeOfAPauseIsTakenFromTheDeadline)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend("i-1", 100);
    receiveCall(fixture, 1, 0, 5s, 3s);
    auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].remaining, 2s);
    receiveCall(fixture, 2, 0, 2s, 3s);
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
    const auto replies = fixture.take<reply_frame>();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(parseFrame(replies[0].bytes)->failure->kind, static_cast<std::uint8_t>(failure_kind::notExecuted));
}

// The second copy of a call was answered with "not executed", which its caller took for the outcome of the first.
TEST(serving, secondCopyOfACallIsIgnored)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend("i-1", 100);
    receiveCall(fixture, 1, 0, 5s, duration(0));
    receiveCall(fixture, 1, 0, 5s, duration(0));
    EXPECT_EQ(fixture.take<run_on_backend>().size(), 1U);
    EXPECT_TRUE(fixture.take<reply_frame>().empty());
}

// Faulty times of another node must not overflow.
TEST(serving, absurdTimesOfAnotherNodeAreBounded)
{
    node_fixture fixture;
    fixture.configure();
    fixture.addBackend("i-1", 100);
    receiveCall(fixture, 1, 0, duration::max(), duration(0));
    const auto runs = fixture.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_LE(runs[0].remaining, 1h);
    receiveCall(fixture, 2, 0, duration::min(), duration(0));
    EXPECT_TRUE(fixture.take<run_on_backend>().empty());
}

} // namespace
