// HTTP/1.1 server.

#include "http_reader.h"
#include "sockets.h"
#include <algorithm>
#include <limits>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace limpet::proxy {
namespace {

    constexpr duration timeoutCheckInterval = std::chrono::milliseconds(500);
    // After the last response, input is still read and discarded for this long: closing a socket with unread bytes
    // sends a reset, which can destroy the response.
    constexpr duration lingerTimeout = std::chrono::seconds(1);
    // Bytes of further requests that are read while one is in progress; the rest waits in the network.
    constexpr std::size_t maxReadAheadBytes = 16 * 1024;
    // Bytes of empty lines before a request.
    constexpr std::size_t maxLeadingBytes = 1024;
    // A response counts as held by its client from this time on.
    constexpr duration maxResponseAge = std::chrono::seconds(1);

    enum class connection_phase : std::uint8_t {
        reading, ///< a request, or idle between two requests
        awaitingResponse, ///< the request was passed to the callback
        writingResponse,
        lingering, ///< shut down for writing; input is discarded
    };

    struct connection {
        std::uint64_t serial = 0;
        watched_socket socket;
        http_reader reader { HTTP_REQUEST, 0, 0 };
        connection_phase phase = connection_phase::reading;
        std::string pipelined; ///< received bytes that follow the request in progress
        write_buffer out;
        body_reservation response; ///< bytes of the response that is being written
        time_point responseStart {};
        std::size_t leadingBytes = 0; ///< before the request that is being read
        bool readingPaused = false; ///< bytes may be available that raise no further event
        std::uint64_t exchange = 0;
        bool closeAfterResponse = false;
        bool inputEnded = false; ///< the client has shut down its sending side
        time_point phaseStart {}; ///< start of the phase, or time of the first byte of a request
    };

    struct error_response {
        int status = 0;
        std::string text;
    };

    error_response errorResponseFor(const http_reader& reader)
    {
        if (reader.state() == reader_state::headersTooLarge)
            return { 431, "send fewer or shorter headers" };
        if (reader.state() == reader_state::bodyTooLarge)
            return { 413, "send a shorter body" };
        return { 400, "send a well-formed HTTP/1.1 request: " + std::string(reader.violation()) };
    }

} // namespace

struct http_server::state {
    state(reactor& eventLoop, socket_address listenAddress, http_server_callbacks handlers)
        : loop(eventLoop)
        , address(std::move(listenAddress))
        , callbacks(std::move(handlers))
    {
    }

    reactor& loop;
    socket_address address;
    http_server_callbacks callbacks;
    mesh::client_limits limits;
    body_budget* budget = nullptr;
    body_budget* responseBudget = nullptr;
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    bool acceptPaused = false; ///< connections may be pending that raise no further event
    watched_socket listener;
    std::unordered_map<std::uint64_t, connection> connections;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionByExchange;
    std::uint64_t nextSerial = 1;
    std::uint64_t nextExchange = 1;
    bool closeAfterResponses = false;
    std::uint64_t timeoutCheckTimer = 0;

    void acceptConnections();
    void pauseAccepting(duration retryAfter);
    bool closeLongestIdle();
    void handleReady(std::uint64_t serial, std::uint32_t events);
    bool readInput(connection& conn, std::uint32_t events);
    void processInput(std::uint64_t serial);
    void dispatchRequest(connection& conn);
    void sendError(connection& conn, const error_response& errorResponse);
    void refuseForMemory(connection& conn);
    void write(connection& conn, const http_answer& response, bool close);
    void flush(std::uint64_t serial);
    static bool hasReadAhead(const connection& conn);
    static void accountHeld(connection& conn);
    bool closeGreediest(duration minAge, std::uint64_t except);
    void resumeReading(connection& conn);
    void closeConnection(std::uint64_t serial);
    void checkTimeouts();
};

http_server::http_server(reactor& loop, socket_address address, http_server_callbacks callbacks)
    : m_state(std::make_unique<state>(loop, std::move(address), std::move(callbacks)))
{
}

http_server::~http_server() { m_state->loop.cancelTimer(m_state->timeoutCheckTimer); }

result<void> http_server::listen()
{
    auto& impl = *m_state;
    const auto descriptor = openListener(impl.address);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    impl.listener = watched_socket(impl.loop, *descriptor, [&impl](std::uint32_t) { impl.acceptConnections(); });
    impl.checkTimeouts();
    return {};
}

void http_server::setLimits(const mesh::client_limits& limits) { m_state->limits = limits; }

void http_server::closeAfterResponses() { m_state->closeAfterResponses = true; }

void http_server::setBudget(body_budget* budget) { m_state->budget = budget; }

void http_server::setResponseBudget(body_budget* budget) { m_state->responseBudget = budget; }

void http_server::setMaxConnections(std::size_t connections)
{
    m_state->maxConnections = std::max<std::size_t>(connections, 1);
    while (m_state->connections.size() > m_state->maxConnections && m_state->closeLongestIdle()) { }
    m_state->acceptConnections();
}

std::size_t http_server::connectionCount() const { return m_state->connections.size(); }

bool http_server::busy() const
{
    return std::any_of(m_state->connections.begin(), m_state->connections.end(), [](const auto& each) {
        const auto& conn = each.second;
        return conn.phase != connection_phase::reading || conn.reader.started() || !conn.pipelined.empty();
    });
}

void http_server::state::acceptConnections()
{
    acceptPaused = false;
    while (listener.get() >= 0) {
        const bool full = connections.size() >= maxConnections;
        if (full && !hasPendingConnection(listener.get()))
            return;
        if (full && !closeLongestIdle()) {
            acceptPaused = true;
            return;
        }
        socket_address peer;
        bool outOfDescriptors = false;
        const int descriptor = acceptConnection(listener.get(), peer, outOfDescriptors);
        if (outOfDescriptors)
            pauseAccepting(closeLongestIdle() ? duration(0) : acceptRetryInterval);
        if (descriptor < 0)
            return;
        const auto serial = nextSerial++;
        auto& conn = connections.try_emplace(serial).first->second;
        conn.serial = serial;
        conn.phaseStart = bootTime();
        conn.reader.setLimits(limits.maxHeaderBytes, limits.maxBodyBytes);
        conn.reader.setBudget(budget);
        conn.response = body_reservation(responseBudget ? responseBudget : budget);
        conn.socket
            = watched_socket(loop, descriptor, [this, serial](std::uint32_t events) { handleReady(serial, events); });
        // Bytes that have already arrived raise an event once the socket is registered.
    }
}

void http_server::state::pauseAccepting(duration retryAfter)
{
    acceptPaused = true;
    loop.callAt(bootTime() + retryAfter, [this] {
        if (acceptPaused)
            acceptConnections();
    });
}

/// Closes the connection that has waited longest for its next request. Returns false if none is waiting.
bool http_server::state::closeLongestIdle()
{
    const connection* longest = nullptr;
    for (const auto& [serial, conn] : connections) {
        const bool idle = conn.phase == connection_phase::lingering
            || (conn.phase == connection_phase::reading && !conn.reader.started() && conn.pipelined.empty());
        if (idle && (!longest || conn.phaseStart < longest->phaseStart))
            longest = &conn;
    }
    if (!longest)
        return false;
    closeConnection(longest->serial);
    return true;
}

void http_server::state::handleReady(std::uint64_t serial, std::uint32_t events)
{
    auto& conn = connections.at(serial);
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 && !readInput(conn, events)) {
        closeConnection(serial);
        return;
    }
    processInput(serial);
    if (connections.contains(serial) && (events & EPOLLOUT) != 0)
        flush(serial);
}

/// Whether so many bytes of further requests were read that the rest has to wait until these have been handled.
bool http_server::state::hasReadAhead(const connection& conn)
{
    return conn.phase != connection_phase::lingering && conn.pipelined.size() >= maxReadAheadBytes;
}

/// Reads on when the bytes that were read ahead have been used.
void http_server::state::resumeReading(connection& conn)
{
    if (!conn.readingPaused || hasReadAhead(conn))
        return;
    conn.readingPaused = false;
    loop.callAt(bootTime(), [this, serial = conn.serial] {
        if (connections.contains(serial))
            handleReady(serial, EPOLLIN);
    });
}

/// Takes what the connection holds for its client from the budget of responses.
void http_server::state::accountHeld(connection& conn)
{
    conn.response.resize(conn.out.heldBytes() + conn.pipelined.size());
}

/// Closes the connection that has held most bytes of a response for longest, counted in bytes times time, among those
/// whose response began at least minAge ago. Returns false if there is none.
bool http_server::state::closeGreediest(duration minAge, std::uint64_t except)
{
    const auto now = bootTime();
    const connection* greediest = nullptr;
    double most = 0;
    for (const auto& [serial, conn] : connections) {
        const auto age = now - conn.responseStart;
        if (conn.phase != connection_phase::writingResponse || serial == except || age < minAge)
            continue;
        const double held = static_cast<double>(conn.response.bytes())
            * static_cast<double>(std::max(age, duration(std::chrono::milliseconds(1))).count());
        if (!greediest || held > most) {
            greediest = &conn;
            most = held;
        }
    }
    if (!greediest)
        return false;
    if (callbacks.unread)
        callbacks.unread(greediest->response.bytes(), now - greediest->responseStart);
    closeConnection(greediest->serial);
    return true;
}

/// Returns whether the connection can stay open.
bool http_server::state::readInput(connection& conn, std::uint32_t events)
{
    bool blankLines = false;
    conn.readingPaused = hasReadAhead(conn);
    if (conn.readingPaused)
        return (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0;
    const bool readsBody = conn.phase == connection_phase::reading && conn.reader.headersComplete();
    const auto maxChunkBytes = readsBody ? readChunkBytes : maxReadAheadBytes;
    const auto onChunk = [&](std::string_view chunk) {
        if (conn.phase == connection_phase::lingering)
            return true;
        if (conn.phase == connection_phase::reading && conn.pipelined.empty()) {
            if (!conn.reader.started())
                conn.phaseStart = bootTime();
            const auto used = conn.reader.state() == reader_state::reading ? conn.reader.feed(chunk) : 0;
            chunk.remove_prefix(std::min(used, chunk.size()));
            if (!conn.reader.started())
                conn.leadingBytes += used;
            blankLines = conn.leadingBytes > maxLeadingBytes;
        }
        conn.pipelined += chunk;
        conn.readingPaused = hasReadAhead(conn);
        return !blankLines && !conn.readingPaused;
    };
    const auto outcome = readAll(conn.socket.get(), events, onChunk, maxChunkBytes);
    accountHeld(conn);
    const bool endsWhilePaused = conn.readingPaused && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if (endsWhilePaused)
        return false;
    if (outcome == read_outcome::broken || blankLines)
        return false;
    if (outcome == read_outcome::more)
        loop.callAt(bootTime(), [this, serial = conn.serial, events] {
            if (connections.contains(serial))
                handleReady(serial, events);
        });
    if (outcome == read_outcome::ended) {
        conn.inputEnded = true;
        // A client that ends its input is treated as disconnected, unless its response is already being written.
        if (conn.phase != connection_phase::writingResponse)
            return false;
    }
    return true;
}

/// Handles the bytes received so far: dispatches a complete request or rejects an invalid one.
void http_server::state::processInput(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    auto& conn = found->second;
    if (conn.phase != connection_phase::reading)
        return;
    if (!conn.pipelined.empty() && conn.reader.state() == reader_state::reading) {
        const auto used = conn.reader.feed(conn.pipelined);
        conn.pipelined.erase(0, used);
        accountHeld(conn);
    }
    resumeReading(conn);
    if (conn.reader.state() == reader_state::complete) {
        dispatchRequest(conn);
        return;
    }
    if (conn.reader.state() == reader_state::overBudget) {
        refuseForMemory(conn);
        return;
    }
    if (conn.reader.state() != reader_state::reading) {
        sendError(conn, errorResponseFor(conn.reader));
        return;
    }
    const auto* expectHeader = conn.reader.headersComplete() ? findHeader(conn.reader.headers(), "Expect") : nullptr;
    if (expectHeader && conn.reader.body().empty() && conn.out.empty()) {
        conn.out.add("HTTP/1.1 100 Continue\r\n\r\n");
        conn.reader.headers().erase(std::find_if(conn.reader.headers().begin(), conn.reader.headers().end(),
            [&](const header& field) { return &field.value == expectHeader; }));
        conn.out.flush(conn.socket.get());
    }
}

void http_server::state::dispatchRequest(connection& conn)
{
    http_request request;
    request.method = conn.reader.method();
    request.path = std::move(conn.reader.target());
    request.headers = std::move(conn.reader.headers());
    request.body = makeBytes(std::move(conn.reader.body()));
    conn.closeAfterResponse = !conn.reader.keepAlive();
    conn.phase = connection_phase::awaitingResponse;
    conn.phaseStart = bootTime();
    conn.exchange = nextExchange++;
    connectionByExchange[conn.exchange] = conn.serial;
    callbacks.request(conn.exchange, std::move(request));
}

/// Refuses a request whose body has not been read, because the process holds too many bytes already.
void http_server::state::refuseForMemory(connection& conn)
{
    const auto* length = findHeader(conn.reader.headers(), "Content-Length");
    const auto bytes = length ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    http_answer response;
    response.status = 503;
    response.headers.push_back(makeRetryAfter(*budget, bytes, bootTime()));
    response.body = makeBytes("too many bytes are being uploaded; try again later\n");
    if (callbacks.rejected)
        callbacks.rejected(response.status, conn.reader.headers());
    write(conn, response, true);
}

void http_server::state::sendError(connection& conn, const error_response& errorResponse)
{
    if (callbacks.rejected)
        callbacks.rejected(errorResponse.status, conn.reader.headers());
    http_answer response;
    response.status = errorResponse.status;
    response.body = makeBytes(errorResponse.text + "\n");
    write(conn, response, true);
}

void http_server::respond(std::uint64_t exchange, const http_answer& response)
{
    const auto found = m_state->connectionByExchange.find(exchange);
    if (found == m_state->connectionByExchange.end())
        return;
    const auto serial = found->second;
    m_state->connectionByExchange.erase(found);
    auto& conn = m_state->connections.at(serial);
    conn.exchange = 0;
    m_state->write(conn, response, conn.closeAfterResponse || m_state->closeAfterResponses);
}

void http_server::state::write(connection& conn, const http_answer& response, bool close)
{
    conn.closeAfterResponse = close;
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head += reasonPhrase(response.status);
    head += "\r\n";
    if (close)
        head += "Connection: close\r\n";
    appendHeaders(head, response.headers, response.body ? response.body->size() : 0);
    conn.out.add(head);
    if (response.body)
        conn.out.add(*response.body);
    conn.phase = connection_phase::writingResponse;
    conn.phaseStart = bootTime();
    conn.responseStart = conn.phaseStart;
    accountHeld(conn);
    const auto serial = conn.serial;
    flush(serial);
    while (responseBudget && responseBudget->used() > responseBudget->limit() && closeGreediest(duration(0), serial)) {
    }
}

void http_server::state::flush(std::uint64_t serial)
{
    auto& conn = connections.at(serial);
    const auto before = conn.out.size();
    if (!conn.out.flush(conn.socket.get())) {
        closeConnection(serial);
        return;
    }
    if (conn.out.size() < before)
        conn.phaseStart = bootTime();
    accountHeld(conn);
    if (conn.phase != connection_phase::writingResponse || !conn.out.empty())
        return;
    conn.phaseStart = bootTime();
    if (conn.closeAfterResponse || conn.inputEnded) {
        shutdown(conn.socket.get(), SHUT_WR);
        conn.phase = connection_phase::lingering;
        conn.pipelined.clear();
        accountHeld(conn);
        if (conn.inputEnded)
            closeConnection(serial);
        return;
    }
    conn.phase = connection_phase::reading;
    conn.reader.setLimits(limits.maxHeaderBytes, limits.maxBodyBytes);
    conn.reader.restart();
    conn.leadingBytes = 0;
    // The next request may already be buffered. It is handled in a later iteration to avoid recursion.
    if (!conn.pipelined.empty())
        loop.callAt(bootTime(), [this, serial] { processInput(serial); });
}

void http_server::state::closeConnection(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    const auto exchange = found->second.exchange;
    connections.erase(found);
    if (acceptPaused)
        pauseAccepting(duration(0));
    if (exchange == 0)
        return;
    connectionByExchange.erase(exchange);
    callbacks.disconnected(exchange);
}

void http_server::state::checkTimeouts()
{
    const auto now = bootTime();
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> lateHeaders;
    for (const auto& [serial, conn] : connections) {
        const auto age = now - conn.phaseStart;
        const bool started = conn.phase == connection_phase::reading && conn.reader.started();
        if (started && !conn.reader.headersComplete() && age > limits.headerTimeout)
            lateHeaders.push_back(serial);
        else if (conn.phase == connection_phase::lingering
                ? age > lingerTimeout
                : conn.phase != connection_phase::awaitingResponse && age > limits.idleTimeout)
            expired.push_back(serial);
    }
    for (const auto serial : lateHeaders)
        sendError(connections.at(serial), { 408, "send the whole request sooner" });
    for (const auto serial : expired)
        closeConnection(serial);
    while (responseBudget && responseBudget->scarce() && closeGreediest(maxResponseAge, 0)) { }
    timeoutCheckTimer = loop.callAt(now + timeoutCheckInterval, [this] { checkTimeouts(); });
}

} // namespace limpet::proxy
