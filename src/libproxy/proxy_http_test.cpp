// Tests of the HTTP/1.1 server and connection pool: message framing, responses to other requests, truncated responses,
// limits and client disconnects. Also covers the structured log and the settings parser.

#include "proxy_fixtures_test.h"

using namespace limpet;
using namespace limpet::proxy;
using namespace limpet::proxy::testing_support;
using namespace std::chrono_literals;

namespace {

// ---- Server ----

TEST(server, handlesOneRequestPerConnectionAtATime)
{
    server_fixture fixture(17701);
    sendAll(fixture.client, std::string(plainRequest) + "GET /a/2 HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(fixture.waitForRequests(1));
    EXPECT_EQ(fixture.requests[0].second.path, "/a/1");
    EXPECT_EQ(fixture.requests.size(), 1U);
    fixture.server.respond(fixture.requests[0].first, { 200, {}, makeBytes("one") });
    ASSERT_TRUE(fixture.waitForRequests(2));
    EXPECT_EQ(fixture.requests[1].second.path, "/a/2");
    EXPECT_TRUE(fixture.waitForText("Content-Length: 3\r\n\r\none"));
}

TEST(server, reassemblesAChunkedBody)
{
    server_fixture fixture(17702);
    sendAll(fixture.client, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    sendAll(fixture.client, "2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(fixture.waitForRequests(1));
    EXPECT_EQ(*fixture.requests[0].second.body, "abcde");
}

// Without this report, work for a disconnected client would not be cancelled.
TEST(server, reportsDisconnectOfAWaitingClient)
{
    server_fixture fixture(17703);
    sendAll(fixture.client, plainRequest);
    ASSERT_TRUE(fixture.waitForRequests(1));
    shutdown(fixture.client, SHUT_RDWR);
    EXPECT_TRUE(runUntil(fixture.loop, [&] { return fixture.disconnected.size() == 1; }));
}

struct invalid_request_case {
    const char* name;
    const char* bytes;
    const char* status;
};

class invalid_request : public testing::TestWithParam<invalid_request_case> { };

// A request with both Content-Length and Transfer-Encoding must be rejected: it enables request smuggling.
TEST_P(invalid_request, isRejectedWithItsStatus)
{
    server_fixture fixture(17704);
    mesh::client_limits limits;
    limits.maxHeaderBytes = 200;
    limits.maxBodyBytes = 10;
    fixture.server.setLimits(limits);
    // Opens a new connection, which is certain to be accepted with these limits.
    close(fixture.client);
    fixture.client = openSocket(17704, false);
    sendAll(fixture.client, GetParam().bytes);
    EXPECT_TRUE(fixture.waitForText(GetParam().status)) << fixture.received;
    EXPECT_TRUE(fixture.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(requests, invalid_request,
    testing::Values(invalid_request_case { "noHttp", "hello there\r\n\r\n", "HTTP/1.1 400 " },
        invalid_request_case { "twoLengths",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 400 " },
        invalid_request_case {
            "longBody", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", "HTTP/1.1 413 " },
        invalid_request_case { "longHeaders",
            "GET / HTTP/1.1\r\nHost: "
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"
            "\r\n",
            "HTTP/1.1 431 " }),
    [](const auto& info) { return info.param.name; });

// ---- Connection pool ----

TEST(pool, reusesItsConnection)
{
    fake_backend backend(17711);
    for (const char* id : { "1", "2" }) {
        backend.sendRequest(id);
        sendAll(backend.connection, std::string("HTTP/1.1 200 OK\r\nX-Id: ") + id + "\r\nContent-Length: 2\r\n\r\nok");
        ASSERT_TRUE(backend.waitForOutcome());
        ASSERT_TRUE(backend.outcome->has_value());
        EXPECT_EQ(*(*backend.outcome)->body, "ok");
    }
    EXPECT_EQ(backend.pool.connectionsOpened(), 1U);
}

// A duplicate response to an earlier request may arrive before the expected one.
TEST(pool, skipsAResponseToAnotherRequest)
{
    fake_backend backend(17712);
    backend.sendRequest("2");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nother");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine");
    ASSERT_TRUE(backend.waitForOutcome());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ(*(*backend.outcome)->body, "mine");
}

class invalid_status_line : public testing::TestWithParam<const char*> { };

// A server in trouble sent status 000. It was skipped like an interim response, and the request waited for its whole
// deadline.
TEST_P(invalid_status_line, losesTheRequestAtOnce)
{
    fake_backend backend(17727);
    backend.sendRequest("2");
    sendAll(backend.connection, std::string(GetParam()) + "\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine");
    ASSERT_TRUE(backend.waitForOutcome());
    ASSERT_FALSE(backend.outcome->has_value());
    EXPECT_EQ(backend.outcome->error(), exchange_failure::lost);
}

INSTANTIATE_TEST_SUITE_P(lines, invalid_status_line,
    testing::Values("HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 001 A", "HTTP/1.1 20 OK", "HTTP/1.1 099 A",
        "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 A", "HTTP/1.1 999 A", "HTTP/1.1 1000 A", "HTTP/1.1 abc A",
        "HTTP/1.1 -20 A", "HTTP/1.1 2 A", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "000"));

TEST(pool, skipsInterimResponses)
{
    fake_backend backend(17728);
    backend.sendRequest("2");
    sendAll(backend.connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n");
    sendAll(backend.connection, "HTTP/1.1 599 A\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine");
    ASSERT_TRUE(backend.waitForOutcome());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ((*backend.outcome)->status, 599);
}

// A copy of an earlier response without its identifier arrived late on a reused connection, and the next caller got it.
TEST(pool, skipsASuccessWithoutAnIdentifier)
{
    fake_backend backend(17716);
    backend.sendRequest("2");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine");
    ASSERT_TRUE(backend.waitForOutcome());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ(*(*backend.outcome)->body, "mine");
}

// The copy may also arrive with the right response in one packet, or byte by byte while the next request is sent.
TEST(pool, neverDeliversASecondCopyToTheNextRequest)
{
    const std::string copy = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none";
    for (const bool samePacket : { true, false }) {
        fake_backend backend(samePacket ? 17717 : 17718);
        backend.sendRequest("1");
        sendAll(backend.connection, samePacket ? copy + copy : copy);
        ASSERT_TRUE(backend.waitForOutcome());
        EXPECT_EQ(*(*backend.outcome)->body, "one");
        if (samePacket)
            close(std::exchange(backend.connection, -1));
        backend.sendRequest("2");
        if (!samePacket) {
            for (const char each : copy) {
                sendAll(backend.connection, std::string(1, each));
                runUntil(backend.loop, [turns = 0]() mutable { return ++turns > 1; });
            }
        }
        sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
        ASSERT_TRUE(backend.waitForOutcome());
        ASSERT_TRUE(backend.outcome->has_value());
        EXPECT_EQ(*(*backend.outcome)->body, "two");
    }
}

// A late copy of a rejection bears the identifier of the request that is sent once more. On a connection that carried
// the identifier before, it was taken for the response to the second send.
TEST(pool, sendsOnANewConnectionWhenAskedTo)
{
    fake_backend backend(17719);
    const std::string rejection = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
    backend.sendRequest("1");
    sendAll(backend.connection, rejection);
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ((*backend.outcome)->status, 503);
    const int first = std::exchange(backend.connection, -1);
    backend.sendRequest("1", true);
    EXPECT_EQ(backend.pool.connectionsOpened(), 2U);
    sendAll(first, rejection);
    EXPECT_FALSE(runUntil(backend.loop, [&] { return backend.outcome.has_value(); }));
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none");
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ((*backend.outcome)->status, 200);
    close(first);
}

// A pool at its limit replaces an idle connection instead of refusing the request.
TEST(pool, newConnectionTakesThePlaceOfAnIdleOne)
{
    pool_options options;
    options.maxConnections = 1;
    fake_backend backend(17720, options);
    backend.sendRequest("1");
    sendAll(backend.connection, "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(backend.waitForOutcome());
    close(std::exchange(backend.connection, -1));
    backend.sendRequest("1", true);
    EXPECT_EQ(backend.pool.connectionsOpened(), 2U);
}

// The response to a health check has no identifier. A late copy of its rejection was taken for the rejection of the
// next request. On the first exchange of a connection there is nothing that it could be a copy of.
TEST(pool, failureWithoutAnIdentifierCountsOnlyOnAnUnusedConnection)
{
    const std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    std::vector<skipped_response> skipped;
    pool_options options;
    options.skipped = [&](const skipped_response& each) { skipped.push_back(each); };
    fake_backend backend(17721, options);
    backend.sendRequest("1");
    sendAll(backend.connection, rejection);
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ((*backend.outcome)->status, 503);
    backend.sendRequest("2");
    sendAll(backend.connection, rejection);
    EXPECT_TRUE(runUntil(backend.loop, [&] { return skipped.size() == 1; }));
    EXPECT_FALSE(backend.outcome.has_value());
    EXPECT_EQ(skipped.front().id, "2");
    EXPECT_EQ(skipped.front().status, 503);
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ((*backend.outcome)->status, 200);
}

TEST(pool, doesNotReuseAConnectionWithBytesAfterTheResponse)
{
    fake_backend backend(17713);
    backend.sendRequest("1");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nokEXTRA");
    ASSERT_TRUE(backend.waitForOutcome());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ(*(*backend.outcome)->body, "ok");
    close(std::exchange(backend.connection, -1));
    backend.sendRequest("2");
    EXPECT_EQ(backend.pool.connectionsOpened(), 2U);
}

struct connection_end_case {
    const char* name;
    const char* bytes;
    bool reset; ///< by RST instead of FIN
    bool complete;
};

class connection_end : public testing::TestWithParam<connection_end_case> { };

// The end of the connection completes a response without a length. A response whose connection is reset or that is
// truncated must not count as complete.
TEST_P(connection_end, completesOrLosesTheResponse)
{
    fake_backend backend(17714);
    backend.sendRequest("1");
    sendAll(backend.connection, GetParam().bytes);
    if (GetParam().reset) {
        // The pool reads the bytes first, because a reset discards unread ones.
        runUntil(backend.loop, [&] { return false; });
        const linger resetOnClose { 1, 0 };
        setsockopt(backend.connection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    close(std::exchange(backend.connection, -1));
    ASSERT_TRUE(backend.waitForOutcome());
    EXPECT_EQ(backend.outcome->has_value(), GetParam().complete);
    if (!GetParam().complete)
        EXPECT_EQ(backend.outcome->error(), exchange_failure::lost);
}

INSTANTIATE_TEST_SUITE_P(responses, connection_end,
    testing::Values(connection_end_case { "noLength", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", false, true },
        connection_end_case { "noLengthReset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", true, false },
        connection_end_case { "truncated", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nall", false, false },
        connection_end_case { "malformed", "garbage\r\n\r\n", false, false }),
    [](const auto& info) { return info.param.name; });

// A queued order was sent over the connection of the response that made room for it, although the server had closed
// that connection, and was lost.
TEST(pool, doesNotReuseAConnectionThatTheServerHasClosed)
{
    fake_backend backend(17723);
    std::optional<tl::expected<http_answer, exchange_failure>> next;
    exchange_request request;
    request.content = { "POST", "/x", { { "Host", "x" }, { "X-Id", "2" } }, makeBytes("order") };
    request.idHeader = "X-Id";
    request.id = "2";
    backend.onOutcome
        = [&] { backend.pool.start(std::move(request), [&](auto received) { next = std::move(received); }); };
    backend.sendRequest("1");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none");
    close(std::exchange(backend.connection, -1));
    ASSERT_TRUE(backend.waitForOutcome());
    backend.receivedRequest.clear();
    ASSERT_TRUE(backend.waitForRequest());
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
    ASSERT_TRUE(runUntil(backend.loop, [&] { return next.has_value(); }));
    EXPECT_TRUE(next->has_value());
}

// Reported by other operators: a server stopped in the middle of the head, and clients got a success without its body.
TEST(pool, responseCutAnywhereBeforeItsEndIsLost)
{
    const std::string response
        = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\ntwelve bytes";
    fake_backend backend(17722);
    for (std::size_t length = 1; length <= response.size(); ++length) {
        backend.sendRequest("1");
        sendAll(backend.connection, std::string_view(response).substr(0, length));
        close(std::exchange(backend.connection, -1));
        ASSERT_TRUE(backend.waitForOutcome());
        EXPECT_EQ(backend.outcome->has_value(), length == response.size()) << length << " bytes";
    }
}

TEST(pool, reportsNotSentWithoutAConnection)
{
    reactor loop;
    http_pool pool(loop, { "127.0.0.1", 17799 });
    std::optional<tl::expected<http_answer, exchange_failure>> outcome;
    pool.start({ { "GET", "/", {}, nullptr } }, [&](auto received) { outcome = std::move(received); });
    ASSERT_TRUE(runUntil(loop, [&] { return outcome.has_value(); }));
    EXPECT_EQ(outcome->error(), exchange_failure::notSent);
}

// ---- Log ----

TEST(log, isRateLimitedPerEventAndCountsDroppedLines)
{
    std::array<int, 2> pipeEnds {};
    ASSERT_EQ(pipe2(pipeEnds.data(), O_NONBLOCK), 0);
    log_sink sink(pipeEnds[1], "n", { 1, 2, 4096 });
    const time_point now { duration(1s) };
    for (int count = 0; count < 5; ++count)
        sink.write({ "often", { { "text", "a \"quoted\" value" } } }, now);
    sink.write({ "seldom", {} }, now);
    sink.write({ "often", {} }, now + 1s);
    sink.flush();
    const auto written = [&] {
        std::string bytes(8192, '\0');
        const auto count = read(pipeEnds[0], bytes.data(), bytes.size());
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }();
    EXPECT_EQ(std::count(written.begin(), written.end(), '\n'), 4);
    EXPECT_NE(written.find("\"dropped_before\":\"3\""), std::string::npos) << written;
    EXPECT_NE(written.find("a \\\"quoted\\\" value"), std::string::npos);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

// ---- Settings ----

TEST(settings, nameTheMissingMember)
{
    const auto missing = parseDaemonSettings("{ \"node\": \"a\" // a comment\n }");
    ASSERT_FALSE(missing);
    EXPECT_NE(missing.error().message.find("region"), std::string::npos) << missing.error().message;
    EXPECT_EQ(parseDaemonSettings("not json").error().kind, error_kind::malformed);
}

} // namespace
