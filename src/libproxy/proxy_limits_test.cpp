// Guards the process against peers that use up its memory, descriptors or event loop, and against unexpected errors.

#include "body_budget.h"
#include "proxy_fixtures_test.h"

using namespace limpet;
using namespace limpet::proxy;
using namespace limpet::proxy::testing_support;
using namespace std::chrono_literals;

namespace {

// ---- Memory ----

/// A client that uploads a body slowly.
struct slow_upload {
    int descriptor = -1;
    std::size_t unsent = 0;
    std::string received;

    void sendSome(std::size_t bytes)
    {
        const std::string part(std::min(bytes, unsent), 'x');
        const auto count = send(descriptor, part.data(), part.size(), MSG_NOSIGNAL);
        unsent -= count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    int status()
    {
        received += readAvailable(descriptor);
        return received.size() > 12 ? std::stoi(received.substr(9, 3)) : 0;
    }
};

long peakMemoryKb()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

// The registry's photos have up to 360 KB, its smallest machines 160 MB. Uploads that do not fit must be refused before
// their bodies are read; those accepted must complete however slow they are.
TEST(limits, manySlowUploadsStayWithinTheMemoryBudget)
{
    constexpr std::size_t uploadBytes = 360'000;
    constexpr std::size_t uploads = 200;
    constexpr std::size_t budgetBytes = 160 * 1024 * 1024 / 4;
    body_budget budget(budgetBytes);
    server_fixture fixture(17721);
    fixture.server.setBudget(&budget);
    mesh::client_limits limits;
    limits.maxBodyBytes = 1 << 20;
    fixture.server.setLimits(limits);
    std::vector<slow_upload> clients(uploads);
    for (auto& each : clients) {
        each.descriptor = openSocket(17721, false);
        each.unsent = uploadBytes;
        sendAll(each.descriptor,
            "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n");
        runUntil(fixture.loop, [turns = 0]() mutable { return ++turns > 1; });
    }
    unsigned refused = 0;
    unsigned accepted = 0;
    runUntil(fixture.loop, [turns = 0]() mutable { return ++turns > 5; });
    for (auto& each : clients) {
        const auto status = each.status();
        refused += status == 503 && each.received.find("Retry-After: ") != std::string::npos ? 1 : 0;
        accepted += status == 0 ? 1 : 0;
    }
    EXPECT_EQ(accepted, budgetBytes / uploadBytes);
    EXPECT_EQ(refused, uploads - accepted);
    for (std::size_t sent = 0; sent < uploadBytes; sent += uploadBytes / 6) {
        for (auto& each : clients) {
            if (each.status() == 0)
                each.sendSome(uploadBytes / 6);
        }
        runUntil(fixture.loop, [turns = 0]() mutable { return ++turns > 2; });
        EXPECT_LE(budget.used(), budgetBytes);
    }
    EXPECT_TRUE(fixture.waitForRequests(accepted));
    for (const auto& [exchange, request] : fixture.requests) {
        EXPECT_EQ(request.body->size(), uploadBytes);
        fixture.server.respond(exchange, { 200, {}, makeBytes("ok") });
    }
    EXPECT_TRUE(runUntil(fixture.loop, [&] { return budget.used() == 0; }));
    std::cout << accepted << " uploads accepted, " << refused << " refused; most held " << budget.mostUsed() / 1024
              << " KB, peak memory of the test " << peakMemoryKb() << " KB\n";
    for (const auto& each : clients)
        close(each.descriptor);
}

// An upload that is cut has not run and must leave nothing behind.
TEST(limits, cutUploadIsNotPassedOnAndReleasesItsBytes)
{
    body_budget budget(1 << 20);
    server_fixture fixture(17722);
    fixture.server.setBudget(&budget);
    close(fixture.client);
    fixture.client = openSocket(17722, false);
    sendAll(fixture.client, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nabc");
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return budget.used() >= 50000; }));
    shutdown(fixture.client, SHUT_RDWR);
    EXPECT_TRUE(runUntil(fixture.loop, [&] { return budget.used() == 0; }));
    EXPECT_TRUE(fixture.requests.empty());
    EXPECT_TRUE(fixture.disconnected.empty());
}

TEST(limits, retryAfterFollowsTheRateAtWhichBytesAreReleased)
{
    body_budget budget(1000);
    EXPECT_EQ(budget.timeUntilFree(100, time_point(10s)), 200ms);
    body_reservation held(&budget);
    EXPECT_TRUE(held.growTo(1000));
    EXPECT_FALSE(body_reservation(&budget).growTo(1));
    EXPECT_EQ(budget.timeUntilFree(500, time_point(10s)), 2s);
    held.clear();
    EXPECT_TRUE(held.growTo(1000));
    EXPECT_EQ(budget.timeUntilFree(500, time_point(10s)), 500ms);
}

// ---- Connections ----

TEST(limits, longestIdleConnectionMakesRoomForANewOne)
{
    server_fixture fixture(17723);
    sendAll(fixture.client, plainRequest);
    ASSERT_TRUE(fixture.waitForRequests(1));
    const int idle = openSocket(17723, false);
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return fixture.server.connectionCount() == 2; }));
    fixture.server.setMaxConnections(2);
    const int newest = openSocket(17723, false);
    sendAll(newest, plainRequest);
    ASSERT_TRUE(fixture.waitForRequests(2));
    char byte = 0;
    EXPECT_TRUE(runUntil(fixture.loop, [&] { return recv(idle, &byte, 1, 0) == 0; }));
    for (const auto& [exchange, request] : fixture.requests)
        fixture.server.respond(exchange, { 200, {}, makeBytes("ok") });
    EXPECT_TRUE(fixture.waitForText("HTTP/1.1 200"));
    close(idle);
    close(newest);
}

// Without an idle connection a new one waits; it must be accepted once another ends, although no event announces it.
TEST(limits, newConnectionWaitsUntilABusyOneEnds)
{
    server_fixture fixture(17724);
    sendAll(fixture.client, plainRequest);
    ASSERT_TRUE(fixture.waitForRequests(1));
    fixture.server.setMaxConnections(1);
    const int waiting = openSocket(17724, false);
    sendAll(waiting, plainRequest);
    runUntil(fixture.loop, [turns = 0]() mutable { return ++turns > 5; });
    EXPECT_EQ(fixture.requests.size(), 1U);
    close(std::exchange(fixture.client, -1));
    EXPECT_TRUE(fixture.waitForRequests(2));
    close(waiting);
}

// accept() that fails for lack of descriptors leaves the connection pending without a further event.
TEST(limits, pendingConnectionIsAcceptedWhenDescriptorsAreFreeAgain)
{
    server_fixture fixture(17725);
    sendAll(fixture.client, plainRequest);
    ASSERT_TRUE(fixture.waitForRequests(1));
    const int late = openSocket(17725, false);
    sendAll(late, plainRequest);
    {
        const no_descriptors exhausted;
        runUntil(fixture.loop, [turns = 0]() mutable { return ++turns > 10; });
        EXPECT_EQ(fixture.requests.size(), 1U);
    }
    EXPECT_TRUE(fixture.waitForRequests(2));
    close(late);
}

// A pool without a free connection looked like a backend server that refuses connections.
TEST(limits, fullPoolIsNotAnUnreachableServer)
{
    fake_backend backend(17726);
    backend.pool.setMaxConnections(1);
    backend.sendRequest("1");
    std::optional<tl::expected<http_answer, exchange_failure>> second;
    backend.pool.start({ { "GET", "/", {}, nullptr } }, [&](auto received) { second = std::move(received); });
    ASSERT_TRUE(runUntil(backend.loop, [&] { return second.has_value(); }));
    EXPECT_EQ(second->error(), exchange_failure::noCapacity);
}

// ---- Bytes without end ----

struct endless_case {
    const char* name;
    const char* start; ///< sent once
    const char* repeated; ///< sent until the pool closes the connection
};

class endless_bytes : public testing::TestWithParam<endless_case> { };

// A backend server in trouble may send bytes that are no response until its caller closes. It must cost its own request
// only: other descriptors are served in between, and memory stays bounded.
TEST_P(endless_bytes, endTheExchangeAndNothingElse)
{
    fake_backend backend(17727, { .maxResponseBytes = 1 << 20 });
    backend.sendRequest("1");
    std::string chunk;
    while (chunk.size() < 32768)
        chunk += GetParam().repeated;
    sendAll(backend.connection, GetParam().start);
    unsigned turns = 0;
    const auto ended = runUntil(backend.loop, [&] {
        ++turns;
        send(backend.connection, chunk.data(), chunk.size(), MSG_NOSIGNAL);
        return backend.outcome.has_value();
    });
    ASSERT_TRUE(ended);
    ASSERT_FALSE(backend.outcome->has_value());
    EXPECT_EQ(backend.outcome->error(), exchange_failure::lost);
    EXPECT_LE(turns, 200U);
}

INSTANTIATE_TEST_SUITE_P(kinds, endless_bytes,
    testing::Values(endless_case { "noResponse", "", "\x01\x02 no response at all " },
        endless_case { "emptyLines", "", "\r\n" }, endless_case { "statusLine", "HTTP/1.1 200 ", "OK" },
        endless_case { "headers", "HTTP/1.1 200 OK\r\n", "X-Filler: more and more\r\n" },
        endless_case { "headerValue", "HTTP/1.1 200 OK\r\nX-Filler: ", "more" },
        endless_case { "body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "more" },
        endless_case { "chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n" },
        endless_case { "chunkExtension", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "more" },
        endless_case {
            "trailers", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: more\r\n" },
        endless_case { "interimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        endless_case { "otherResponses", "", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nno" }),
    [](const auto& info) { return info.param.name; });

// Bodies that a server sends slowly and without end used up the bytes that the process may hold for bodies. From then
// on, each other response, however small, was lost.
TEST(limits, responseWithoutEndDoesNotCostSmallOnes)
{
    body_budget budget(1 << 20);
    fake_backend backend(17728, { .maxResponseBytes = 8 << 20, .budget = &budget });
    backend.sendRequest("1");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n");
    const std::string piece(16384, 'x');
    for (int number = 0; number < 63; ++number) {
        sendAll(backend.connection, piece);
        runUntil(backend.loop, [turns = 0]() mutable { return ++turns > 1; });
    }
    EXPECT_EQ(budget.used(), 63 * piece.size());
    const int endless = std::exchange(backend.connection, -1);
    std::optional<tl::expected<http_answer, exchange_failure>> small;
    backend.pool.start({ { "GET", "/", {}, nullptr } }, [&](auto received) { small = std::move(received); });
    ASSERT_TRUE(runUntil(backend.loop, [&] {
        if (backend.connection < 0)
            backend.connection = accept(backend.listener, nullptr, nullptr);
        return backend.connection >= 0;
    }));
    const std::string body(2 * piece.size(), 'y');
    sendAll(
        backend.connection, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    ASSERT_TRUE(runUntil(backend.loop, [&] { return small.has_value(); }));
    ASSERT_TRUE(small->has_value());
    EXPECT_EQ((*small)->body->size(), body.size());
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ(backend.outcome->error(), exchange_failure::lost);
    EXPECT_EQ(budget.used(), 0U);
    close(endless);
}

// ---- Unexpected errors and pauses ----

TEST(limits, exceptionInAHandlerDoesNotEndTheLoop)
{
    reactor loop;
    std::vector<std::string> errors;
    loop.onError([&](const std::exception& exception) { errors.emplace_back(exception.what()); });
    bool later = false;
    loop.callAt(bootTime(), [] { throw std::runtime_error("unexpected"); });
    loop.callAt(bootTime() + 5ms, [&] { later = true; });
    EXPECT_TRUE(runUntil(loop, [&] { return later; }));
    EXPECT_EQ(errors, std::vector<std::string> { "unexpected" });
}

// What a process reads after a pause is as old as the pause. The permission that it carries may have run out.
TEST(limits, pauseOfTheProcessIsMeasured)
{
    reactor loop;
    duration measured { 0 };
    bool done = false;
    loop.callAt(bootTime() + 10ms, [&] {
        measured = std::max(measured, loop.pauseBefore());
        done = true;
    });
    const timespec pause { 0, 700'000'000 };
    nanosleep(&pause, nullptr);
    ASSERT_TRUE(runUntil(loop, [&] { return done; }));
    EXPECT_GE(measured, 600ms);
}

// All required members.
const std::string places
    = R"("node":"a","region":"r","availability_zone":"z","service":"s","client_address":"1.1.1.1:1",
        "health_address":"1.1.1.1:2","control_address":"1.1.1.1:3","link_address":"1.1.1.1:4","metrics_address":"1.1.1.1:5",
        "backend_address":"1.1.1.1:6","store_address":"1.1.1.1:7")";

TEST(settings, anotherAddressForLinksMayBeAdvertised)
{
    const auto read = parseDaemonSettings("{" + places + R"(,"advertised_link_address":"1.1.1.1:8"})");
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read->linkAddress.port, 4);
    EXPECT_EQ(read->advertisedLinkAddress, (socket_address { "1.1.1.1", 8 }));
    EXPECT_FALSE(parseDaemonSettings("{" + places + "}")->advertisedLinkAddress);
    EXPECT_FALSE(parseDaemonSettings("{" + places + R"(,"advertised_link_address":"nowhere"})"));
}

TEST(settings, timesAreGivenInSecondsOrMilliseconds)
{
    for (const auto* given : { R"("stop_time_ms":7500)", R"("stop_time_s":7.5)", R"("stop_time_s":"7.5")" }) {
        const auto read = parseDaemonSettings("{" + places + "," + given + "}");
        ASSERT_TRUE(read) << given << ": " << read.error().message;
        EXPECT_EQ(read->stopTime, 7500ms) << given;
    }
    EXPECT_FALSE(parseDaemonSettings("{" + places + R"(,"stop_time_ms":7500,"stop_time_s":7.5})"));
    EXPECT_FALSE(parseDaemonSettings("{" + places + R"(,"stop_time_s":3601})"));
}

TEST(settings, readLimitsOfMemoryAndRetries)
{
    const auto read
        = parseDaemonSettings("{" + places + R"(,"memory_mb":160,"retry_window_ms":5000,"max_descriptors":4100})");
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read->memoryMb, 160U);
    EXPECT_EQ(read->retryWindow, 5s);
    EXPECT_EQ(read->maxDescriptors, 4100U);
    EXPECT_FALSE(parseDaemonSettings("{" + places + R"(,"memory_mb":1})"));
    EXPECT_FALSE(parseDaemonSettings("{" + places + R"(,"memory_mb":1e300})"));
}

} // namespace
