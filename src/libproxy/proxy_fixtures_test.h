#pragma once

// Fixtures of the HTTP tests: a server with one client, and a fake backend server for a pool.

#include "proxy_sockets_test.h"

namespace limpet::proxy::testing_support {

constexpr std::string_view plainRequest = "GET /a/1 HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n\r\n";

inline std::string readAvailable(int descriptor)
{
    std::string bytes(65536, '\0');
    const auto count = recv(descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

inline void sendAll(int descriptor, std::string_view bytes)
{
    ASSERT_EQ(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
}

struct server_fixture {
    reactor loop;
    std::vector<std::pair<std::uint64_t, http_request>> requests;
    std::vector<std::uint64_t> disconnected;
    http_server server;
    int client = -1;
    std::string received;

    explicit server_fixture(std::uint16_t port)
        : server(loop, { "127.0.0.1", port },
            { [this](std::uint64_t exchange, http_request request) {
                 requests.emplace_back(exchange, std::move(request));
             },
                [this](std::uint64_t exchange) { disconnected.push_back(exchange); } })
    {
        EXPECT_TRUE(server.listen());
        client = openSocket(port, false);
    }
    ~server_fixture()
    {
        if (client >= 0)
            close(client);
    }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    bool waitForText(const std::string& text)
    {
        return runUntil(loop, [&] {
            received += readAvailable(client);
            return received.find(text) != std::string::npos;
        });
    }
    bool waitForRequests(std::size_t count)
    {
        return runUntil(loop, [&] { return requests.size() >= count; });
    }
};

/// Fake backend server. The test writes its raw responses.
struct fake_backend {
    reactor loop;
    int listener;
    int connection = -1;
    http_pool pool;
    std::string receivedRequest;
    std::optional<tl::expected<http_answer, exchange_failure>> outcome;
    std::function<void()> onOutcome; ///< called once

    explicit fake_backend(std::uint16_t port, pool_options options = {})
        : listener(openSocket(port, true))
        , pool(loop, { "127.0.0.1", port }, options)
    {
    }
    ~fake_backend()
    {
        close(listener);
        if (connection >= 0)
            close(connection);
    }
    fake_backend(const fake_backend&) = delete;
    fake_backend& operator=(const fake_backend&) = delete;

    void sendRequest(const std::string& id, bool newConnection = false)
    {
        outcome.reset();
        receivedRequest.clear();
        exchange_request request;
        request.content = { "GET", "/x", { { "Host", "x" }, { "X-Id", id } }, nullptr };
        request.idHeader = "X-Id";
        request.id = id;
        request.newConnection = newConnection;
        pool.start(std::move(request), [this](auto received) {
            outcome = std::move(received);
            if (onOutcome)
                std::exchange(onOutcome, nullptr)();
        });
        EXPECT_TRUE(waitForRequest());
    }
    /// Accepts a connection if none is open, and reads from it until the head of a request is there.
    bool waitForRequest()
    {
        return runUntil(loop, [&] {
            if (connection < 0) {
                connection = accept(listener, nullptr, nullptr);
                if (connection >= 0)
                    fcntl(connection, F_SETFL, fcntl(connection, F_GETFL) | O_NONBLOCK);
            }
            if (connection >= 0)
                receivedRequest += readAvailable(connection);
            return receivedRequest.find("\r\n\r\n") != std::string::npos;
        });
    }
    bool waitForOutcome()
    {
        return runUntil(loop, [&] { return outcome.has_value(); });
    }
};

} // namespace limpet::proxy::testing_support
