// Guards HTTP/1.1 towards clients and backend servers: whole messages, answers that belong to other requests, broken
// answers, limits, and clients that leave.

#include "proxy_sockets_test.h"

using namespace limpet;
using namespace limpet::proxy;
using namespace limpet::proxy::testing_support;
using namespace std::chrono_literals;

namespace {

std::string readNow(int descriptor)
{
    std::string bytes(65536, '\0');
    const auto count = recv(descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

void sendAll(int descriptor, std::string_view bytes)
{
    ASSERT_EQ(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
}

// ---- Towards clients ----

struct served {
    reactor loop;
    std::vector<std::pair<std::uint64_t, http_request>> requests;
    std::vector<std::uint64_t> gone;
    http_server server;
    int client = -1;
    std::string received;

    explicit served(std::uint16_t port)
        : server(loop, { "127.0.0.1", port },
            { [this](std::uint64_t exchange, http_request request) {
                 requests.emplace_back(exchange, std::move(request));
             },
                [this](std::uint64_t exchange) { gone.push_back(exchange); } })
    {
        EXPECT_TRUE(server.listen());
        client = openSocket(port, false);
    }
    ~served() { close(client); }
    served(const served&) = delete;
    served& operator=(const served&) = delete;

    bool receives(const std::string& text)
    {
        return runUntil(loop, [&] {
            received += readNow(client);
            return received.find(text) != std::string::npos;
        });
    }
    bool requested(std::size_t count)
    {
        return runUntil(loop, [&] { return requests.size() >= count; });
    }
};

constexpr std::string_view plainRequest = "GET /a/1 HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n\r\n";

TEST(server, takesOneRequestOfAConnectionAtATime)
{
    served each(17701);
    sendAll(each.client, std::string(plainRequest) + "GET /a/2 HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(each.requested(1));
    EXPECT_EQ(each.requests[0].second.path, "/a/1");
    EXPECT_EQ(each.requests.size(), 1U);
    each.server.respond(each.requests[0].first, { 200, {}, makeBytes("one") });
    ASSERT_TRUE(each.requested(2));
    EXPECT_EQ(each.requests[1].second.path, "/a/2");
    EXPECT_TRUE(each.receives("Content-Length: 3\r\n\r\none"));
}

TEST(server, joinsAChunkedBody)
{
    served each(17702);
    sendAll(each.client, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    sendAll(each.client, "2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(each.requested(1));
    EXPECT_EQ(*each.requests[0].second.body, "abcde");
}

// Work for a client that has gone is cancelled.
TEST(server, saysThatAWaitingClientHasGone)
{
    served each(17703);
    sendAll(each.client, plainRequest);
    ASSERT_TRUE(each.requested(1));
    shutdown(each.client, SHUT_RDWR);
    EXPECT_TRUE(runUntil(each.loop, [&] { return each.gone.size() == 1; }));
}

struct refused_case {
    const char* name;
    const char* bytes;
    const char* status;
};

class refused_request : public testing::TestWithParam<refused_case> { };

// Two lengths in one request are how another one is smuggled inside it.
TEST_P(refused_request, isAnsweredWithItsStatus)
{
    served each(17704);
    mesh::client_limits limits;
    limits.maxHeaderBytes = 200;
    limits.maxBodyBytes = 10;
    each.server.setLimits(limits);
    close(each.client);
    each.client = openSocket(17704, false);
    sendAll(each.client, GetParam().bytes);
    EXPECT_TRUE(each.receives(GetParam().status)) << each.received;
    EXPECT_TRUE(each.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(requests, refused_request,
    testing::Values(refused_case { "noHttp", "hello there\r\n\r\n", "HTTP/1.1 400 " },
        refused_case { "twoLengths",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 400 " },
        refused_case { "longBody", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", "HTTP/1.1 413 " },
        refused_case { "longHeaders",
            "GET / HTTP/1.1\r\nHost: "
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
            "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"
            "\r\n",
            "HTTP/1.1 431 " }),
    [](const auto& info) { return info.param.name; });

// ---- Towards backend servers ----

/// A backend server that sends what a test says, whatever it is asked.
struct scripted_backend {
    reactor loop;
    int listener;
    int connection = -1;
    http_pool pool;
    std::string asked;
    std::optional<tl::expected<http_answer, exchange_failure>> outcome;

    explicit scripted_backend(std::uint16_t port)
        : listener(openSocket(port, true))
        , pool(loop, { "127.0.0.1", port })
    {
    }
    ~scripted_backend()
    {
        close(listener);
        if (connection >= 0)
            close(connection);
    }
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;

    void ask(const std::string& id)
    {
        outcome.reset();
        asked.clear();
        exchange_request request;
        request.content = { "GET", "/x", { { "Host", "x" }, { "X-Id", id } }, nullptr };
        request.idHeader = "X-Id";
        request.id = id;
        pool.start(std::move(request), [this](auto given) { outcome = std::move(given); });
        EXPECT_TRUE(runUntil(loop, [&] {
            if (connection < 0) {
                connection = accept(listener, nullptr, nullptr);
                if (connection >= 0)
                    fcntl(connection, F_SETFL, fcntl(connection, F_GETFL) | O_NONBLOCK);
            }
            if (connection >= 0)
                asked += readNow(connection);
            return asked.find("\r\n\r\n") != std::string::npos;
        }));
    }
    bool ended()
    {
        return runUntil(loop, [&] { return outcome.has_value(); });
    }
};

TEST(pool, keepsItsConnection)
{
    scripted_backend backend(17711);
    for (const char* id : { "1", "2" }) {
        backend.ask(id);
        sendAll(backend.connection, std::string("HTTP/1.1 200 OK\r\nX-Id: ") + id + "\r\nContent-Length: 2\r\n\r\nok");
        ASSERT_TRUE(backend.ended());
        ASSERT_TRUE(backend.outcome->has_value());
        EXPECT_EQ(*(*backend.outcome)->body, "ok");
    }
    EXPECT_EQ(backend.pool.connectionsOpened(), 1U);
}

// A second answer to an earlier request may come where the next one is expected.
TEST(pool, passesOverAnAnswerToAnotherRequest)
{
    scripted_backend backend(17712);
    backend.ask("2");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nother");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine");
    ASSERT_TRUE(backend.ended());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ(*(*backend.outcome)->body, "mine");
}

TEST(pool, doesNotUseAConnectionWithBytesBehindTheAnswer)
{
    scripted_backend backend(17713);
    backend.ask("1");
    sendAll(backend.connection, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nokEXTRA");
    ASSERT_TRUE(backend.ended());
    ASSERT_TRUE(backend.outcome->has_value());
    EXPECT_EQ(*(*backend.outcome)->body, "ok");
    close(std::exchange(backend.connection, -1));
    backend.ask("2");
    EXPECT_EQ(backend.pool.connectionsOpened(), 2U);
}

struct ending_case {
    const char* name;
    const char* bytes;
    bool reset; ///< instead of an orderly end
    bool whole;
};

class ending_answer : public testing::TestWithParam<ending_case> { };

// An answer without a length ends with its connection. One that is reset or cut short is not whole.
TEST_P(ending_answer, isWholeOrLost)
{
    scripted_backend backend(17714);
    backend.ask("1");
    sendAll(backend.connection, GetParam().bytes);
    if (GetParam().reset) {
        runUntil(backend.loop, [&] { return false; });
        const linger now { 1, 0 };
        setsockopt(backend.connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close(std::exchange(backend.connection, -1));
    ASSERT_TRUE(backend.ended());
    EXPECT_EQ(backend.outcome->has_value(), GetParam().whole);
    if (!GetParam().whole)
        EXPECT_EQ(backend.outcome->error(), exchange_failure::lost);
}

INSTANTIATE_TEST_SUITE_P(answers, ending_answer,
    testing::Values(ending_case { "noLength", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", false, true },
        ending_case { "noLengthReset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", true, false },
        ending_case { "cutShort", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nall", false, false },
        ending_case { "noAnswer", "garbage\r\n\r\n", false, false }),
    [](const auto& info) { return info.param.name; });

TEST(pool, saysThatNothingWasSentWithoutAConnection)
{
    reactor loop;
    http_pool pool(loop, { "127.0.0.1", 17799 });
    std::optional<tl::expected<http_answer, exchange_failure>> outcome;
    pool.start({ { "GET", "/", {}, nullptr } }, [&](auto given) { outcome = std::move(given); });
    ASSERT_TRUE(runUntil(loop, [&] { return outcome.has_value(); }));
    EXPECT_EQ(outcome->error(), exchange_failure::notSent);
}

// ---- Log ----

TEST(log, isBoundedForEachEventAndCountsWhatItDrops)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
    log_sink sink(ends[1], "n", { 1, 2, 4096 });
    const time_point now { duration(1s) };
    for (int count = 0; count < 5; ++count)
        sink.write({ "often", { { "text", "a \"quoted\" value" } } }, now);
    sink.write({ "seldom", {} }, now);
    sink.write({ "often", {} }, now + 1s);
    sink.flush();
    const auto written = [&] {
        std::string bytes(8192, '\0');
        const auto count = read(ends[0], bytes.data(), bytes.size());
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }();
    EXPECT_EQ(std::count(written.begin(), written.end(), '\n'), 4);
    EXPECT_NE(written.find("\"dropped_before\":\"3\""), std::string::npos) << written;
    EXPECT_NE(written.find("a \\\"quoted\\\" value"), std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

// ---- Settings ----

TEST(settings, nameTheMemberThatIsWrong)
{
    const auto missing = parseDaemonSettings("{ \"node\": \"a\" // a comment\n }");
    ASSERT_FALSE(missing);
    EXPECT_NE(missing.error().message.find("region"), std::string::npos) << missing.error().message;
    EXPECT_EQ(parseDaemonSettings("not json").error().kind, error_kind::malformed);
}

} // namespace
