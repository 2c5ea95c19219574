// Guards the tracking of the local backend server by heartbeats and health checks, and that a draining one gets no new
// calls.

#include "mesh_sample_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

backend_heartbeat report(const std::string& id, std::int64_t born, std::uint64_t sequence, bool draining = false)
{
    backend_heartbeat made;
    made.id = id;
    made.startTimeMs = born;
    made.sequence = sequence;
    made.service = "stock";
    made.slots = 10;
    made.draining = draining;
    return made;
}

// Benchmark hunt-1949-35: a node acknowledged the drain of its backend server and was restarted. It then accepted a
// delayed older heartbeat and sent requests after the drain bound.
TEST(backend, delayedHeartbeatAfterARestartIsCheckedFirst)
{
    node_fixture driven;
    driven.configure();
    driven.take<check_backend>();
    driven.handle(report("i-1", 5, 9));
    driven.handle(backend_check_result { "i-1", false });
    driven.request();
    EXPECT_TRUE(driven.take<run_on_backend>().empty());
}

TEST(backend, confirmedHeartbeatGetsCalls)
{
    node_fixture driven;
    driven.configure();
    driven.handle(report("i-1", 5, 9));
    driven.handle(backend_check_result { "i-1", true });
    driven.request();
    const auto runs = driven.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs.front().endpoint, "i-1");
}

// If only the node restarts, it must discover its backend server before the next heartbeat.
TEST(backend, isDiscoveredByHealthCheckAtStart)
{
    node_fixture driven;
    driven.configure();
    ASSERT_EQ(driven.take<check_backend>().size(), 1U);
    driven.handle(backend_check_result { "i-1", true });
    driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 1U);
    driven.handle(report("i-1", 5, 9));
    driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 1U);
}

// A health check may fail wrongly; a backend server that keeps sending ready heartbeats is not draining.
TEST(backend, isUsedWhenItKeepsReportingReady)
{
    node_fixture driven;
    driven.configure();
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        driven.handle(report("i-1", 5, sequence));
        driven.handle(backend_check_result { "i-1", false });
        driven.advance(1500ms);
    }
    driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 1U);
}

TEST(backend, lateHeartbeatOfAnEarlierStartIsIgnored)
{
    node_fixture driven;
    driven.configure();
    driven.addBackend("i-2");
    driven.handle(report("i-1", 3, 50));
    driven.handle(backend_check_result { "i-1", true });
    driven.request();
    const auto runs = driven.take<run_on_backend>();
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs.front().endpoint, "i-2");
}

TEST(backend, drainingGetsCallsOnlyUntilItsDrainTimeEnds)
{
    node_fixture driven;
    driven.configure();
    driven.addBackend();
    driven.handle(report("i-1", 5, 100, true));
    driven.advance(2600ms);
    const auto call = driven.request();
    EXPECT_TRUE(driven.take<run_on_backend>().empty());
    EXPECT_EQ(driven.statusOf(call), 503);
}

// Requests still queued when the drain time ends have not run and must be refused immediately.
TEST(backend, queuedRequestsAreRefusedWhenTheDrainTimeEnds)
{
    node_fixture driven;
    auto config = sampleConfiguration();
    for (auto& each : config.routes)
        each.timeout = each.targetLatency = 60s;
    driven.configure(config);
    driven.addBackend("i-1", 2);
    for (int count = 0; count < 4; ++count)
        driven.request();
    const auto started = driven.take<run_on_backend>().size();
    ASSERT_LT(started, 4U);
    driven.handle(backend_deregistration { "i-1" });
    driven.advance(1000ms);
    EXPECT_TRUE(driven.take<send_response>().empty());
    driven.advance(950ms);
    const auto answers = driven.take<send_response>();
    EXPECT_EQ(answers.size(), 4 - started);
    for (const auto& each : answers)
        EXPECT_EQ(each.content.status, 503);
}

// Incident inc-043a: all nodes were killed. After the restart, until the first heartbeat, they assumed too few slots
// and refused requests that their backend servers had capacity for.
TEST(backend, unknownSlotsAreNotAssumedFew)
{
    node_fixture driven;
    driven.configure();
    driven.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 40; ++count)
        driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 40U);
}

// The first heartbeat reports the slots; calls that already run must count against them.
TEST(backend, slotsThatBecomeKnownLaterCountWhatRuns)
{
    node_fixture driven;
    driven.configure();
    driven.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 3; ++count)
        driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 3U);
    auto first = report("i-1", 5, 9);
    first.slots = 4;
    driven.handle(first);
    driven.request();
    EXPECT_TRUE(driven.take<run_on_backend>().empty());
}

// Scenario restart-while-leaving, seed 895020797624, violated LOST: a node that was shutting down accepted requests
// until it exited, and aborted them.
TEST(shutdown, acceptsNoRequestThatItCannotFinish)
{
    node_fixture driven;
    driven.configure();
    driven.addBackend();
    driven.handle(leave_request {});
    driven.advance(1000ms);
    driven.request();
    EXPECT_EQ(driven.take<run_on_backend>().size(), 1U);
    driven.advance(2000ms);
    driven.take<send_response>();
    const auto late = driven.request();
    EXPECT_TRUE(driven.take<run_on_backend>().empty());
    EXPECT_EQ(driven.statusOf(late), 503);
}

// Scenario restart-while-leaving crashed processes: running calls beyond a newly reported limit were queued and started
// a second time.
TEST(backend, callsBeyondTheNewLimitAreNotStartedAgain)
{
    node_fixture driven;
    auto config = sampleConfiguration();
    for (auto& each : config.routes)
        each.timeout = each.targetLatency = 60s;
    driven.configure(config);
    driven.handle(backend_check_result { "i-1", true });
    for (int count = 0; count < 60; ++count)
        driven.request();
    auto runs = driven.take<run_on_backend>();
    auto first = report("i-1", 5, 9);
    first.slots = 10;
    driven.handle(first);
    std::map<std::uint64_t, int> starts;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        ++starts[runs[index].attempt];
        driven.handle(backend_result { runs[index].attempt, okAnswer() });
        for (auto& each : driven.take<run_on_backend>())
            runs.push_back(std::move(each));
    }
    EXPECT_EQ(starts.size(), runs.size());
    EXPECT_EQ(driven.subject.statistics(driven.now).callsInFlight, 0U);
}

} // namespace
