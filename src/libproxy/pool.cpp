// HTTP/1.1 client connections to backend servers and the store.

#include "http_reader.h"
#include "sockets.h"
#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <sys/epoll.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t maxHeaderBytes = 64 * 1024;
    // A connection is dropped if the server does not acknowledge sent bytes for this long.
    constexpr duration ackTimeout = std::chrono::seconds(4);
    // Between two looks whether reading may go on.
    constexpr duration unreadCheckInterval = std::chrono::milliseconds(20);
    constexpr std::string_view keepAliveTimeoutParameter = "timeout=";
    constexpr int firstFinalStatus = 200;
    constexpr int firstNonSuccessStatus = 300;
    // Interim responses and responses to other requests that are skipped before the expected one.
    constexpr unsigned maxSkippedResponses = 16;
    // The bytes of one response follow each other within this time, unless the server pauses within it.
    constexpr duration doubtfulEndWait = std::chrono::milliseconds(20);

    /// Whether the bytes may be the size of a chunk. Other responses begin with "HTTP".
    bool mayContinueChunks(std::string_view bytes)
    {
        return !bytes.empty() && std::isxdigit(static_cast<unsigned char>(bytes.front())) != 0;
    }

    struct exchange {
        exchange_request request;
        exchange_callback callback;
        std::uint64_t timer = 0;
    };

    struct connection {
        std::uint64_t serial = 0;
        watched_socket socket;
        http_reader reader { HTTP_RESPONSE, maxHeaderBytes, 0 };
        write_buffer out;
        bool connecting = true;
        bool endAwaited = false; ///< a complete response waits until its end is certain
        std::uint64_t exchange = 0; ///< zero: idle or used by a probe
        unsigned skippedResponses = 0; ///< since its exchange began
        std::uint64_t requestsSent = 0;
        std::uint32_t delayedEvents = 0; ///< of input that is left with the server for now
        std::function<void(bool)> probe;
        time_point usableUntil {};
        std::uint64_t timer = 0; ///< connect timeout or idle timeout
    };

} // namespace

struct http_pool::state {
    reactor& loop;
    socket_address server;
    pool_options options;
    std::unordered_map<std::uint64_t, connection> connections;
    std::vector<std::uint64_t> idle; ///< serials; the most recently used last
    std::unordered_map<std::uint64_t, exchange> exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionByExchange;
    std::uint64_t nextSerial = 1;
    std::uint64_t openedCount = 0;

    void assignConnection(std::uint64_t id);
    connection* takeIdle();
    bool makeRoom();
    bool belongsToExchange(const connection& conn) const;
    bool confirmEnd(connection& conn, std::string_view rest);
    void awaitEnd(connection& conn);
    void reportMalformed(const connection& conn) const;
    bool skipResponse(connection& conn);
    connection* open();
    void sendRequest(connection& conn, std::uint64_t id);
    void handleReady(std::uint64_t serial, std::uint32_t events);
    void readLater(std::uint64_t serial, std::uint32_t events);
    void readInput(connection& conn, std::uint32_t events);
    bool handleResponse(connection& conn, std::string_view rest, bool inputEnded);
    void makeIdle(connection& conn);
    bool dropLargestResponse(std::size_t bodyBytes);
    void failConnection(std::uint64_t serial, exchange_failure failure);
    void completeExchange(std::uint64_t id, tl::expected<http_answer, exchange_failure> outcome);
    std::uint64_t closeConnection(std::uint64_t serial);
    void connectTimedOut(std::uint64_t serial);
};

http_pool::http_pool(reactor& loop, socket_address server, pool_options options)
    : m_state(new state { loop, std::move(server), std::move(options), {}, {}, {}, {} })
{
}

http_pool::~http_pool()
{
    for (auto& [serial, conn] : m_state->connections)
        m_state->loop.cancelTimer(conn.timer);
    for (auto& [id, pending] : m_state->exchanges)
        m_state->loop.cancelTimer(pending.timer);
}

void http_pool::setMaxConnections(std::size_t connections) { m_state->options.maxConnections = connections; }

std::uint64_t http_pool::connectionsOpened() const { return m_state->openedCount; }

std::uint64_t http_pool::start(exchange_request request, exchange_callback callback)
{
    auto& impl = *m_state;
    const auto id = impl.nextSerial++;
    auto& pending = impl.exchanges[id];
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    if (pending.request.timeout > duration(0))
        pending.timer = impl.loop.callAt(bootTime() + pending.request.timeout, [&impl, id] {
            const auto found = impl.connectionByExchange.find(id);
            const auto serial = found == impl.connectionByExchange.end() ? 0 : found->second;
            impl.completeExchange(id, tl::unexpected(exchange_failure::timeout));
            if (serial != 0)
                impl.closeConnection(serial);
        });
    impl.assignConnection(id);
    return id;
}

void http_pool::cancel(std::uint64_t exchange)
{
    auto& impl = *m_state;
    const auto found = impl.exchanges.find(exchange);
    if (found == impl.exchanges.end())
        return;
    impl.loop.cancelTimer(found->second.timer);
    impl.exchanges.erase(found);
    const auto connection = impl.connectionByExchange.find(exchange);
    if (connection == impl.connectionByExchange.end())
        return;
    const auto serial = connection->second;
    impl.connectionByExchange.erase(connection);
    impl.closeConnection(serial);
}

void http_pool::probe(std::function<void(bool)> callback)
{
    auto* conn = m_state->open();
    if (!conn) {
        m_state->loop.callAt(bootTime(), [callback] { callback(false); });
        return;
    }
    conn->probe = std::move(callback);
}

void http_pool::state::assignConnection(std::uint64_t id)
{
    const bool mustBeNew = exchanges.at(id).request.newConnection;
    if (auto* reused = mustBeNew ? nullptr : takeIdle()) {
        sendRequest(*reused, id);
        return;
    }
    const bool full = !makeRoom();
    errno = 0;
    auto* newConnection = full ? nullptr : open();
    if (newConnection) {
        sendRequest(*newConnection, id);
        return;
    }
    const auto failure = full || lacksDescriptors() ? exchange_failure::noCapacity : exchange_failure::notSent;
    loop.callAt(bootTime(), [this, id, failure] { completeExchange(id, tl::unexpected(failure)); });
}

/// Returns the usable connection that was used last, which is no longer idle then, or nullptr.
connection* http_pool::state::takeIdle()
{
    const auto now = bootTime();
    while (!idle.empty()) {
        const auto serial = idle.back();
        idle.pop_back();
        auto& conn = connections.at(serial);
        if (conn.usableUntil > now)
            return &conn;
        closeConnection(serial);
    }
    return nullptr;
}

/// Returns whether another connection may be opened; closes the one that has been idle longest if necessary.
bool http_pool::state::makeRoom()
{
    if (connections.size() >= options.maxConnections && !idle.empty())
        closeConnection(idle.front());
    return connections.size() < options.maxConnections;
}

connection* http_pool::state::open()
{
    const int descriptor = startConnect(server, ackTimeout);
    if (descriptor < 0)
        return nullptr;
    ++openedCount;
    const auto serial = nextSerial++;
    auto& conn = connections.try_emplace(serial).first->second;
    conn.serial = serial;
    conn.reader.setLimits(maxHeaderBytes, options.maxResponseBytes);
    conn.reader.setBudget(options.budget, [this](std::size_t bodyBytes) { return dropLargestResponse(bodyBytes); });
    conn.socket
        = watched_socket(loop, descriptor, [this, serial](std::uint32_t events) { handleReady(serial, events); });
    conn.timer = loop.callAt(bootTime() + options.connectTimeout, [this, serial] { connectTimedOut(serial); });
    return &conn;
}

void http_pool::state::connectTimedOut(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    found->second.timer = 0;
    if (found->second.connecting)
        failConnection(serial, exchange_failure::notSent);
}

void http_pool::state::sendRequest(connection& conn, std::uint64_t id)
{
    loop.cancelTimer(std::exchange(conn.timer, conn.connecting ? conn.timer : 0));
    conn.exchange = id;
    conn.skippedResponses = 0;
    ++conn.requestsSent;
    connectionByExchange[id] = conn.serial;
    const auto& content = exchanges.at(id).request.content;
    std::string head = content.method + " " + content.path + " HTTP/1.1\r\n";
    const std::size_t length = content.body ? content.body->size() : 0;
    appendHeaders(head, content.headers, length);
    // The response to HEAD has no body.
    conn.reader.restart(content.method != "HEAD");
    conn.out.add(head);
    if (length > 0)
        conn.out.add(*content.body);
    if (conn.connecting)
        return;
    if (!conn.out.flush(conn.socket.get())) {
        // The connection broke while idle and the event loop has not reported it yet.
        const auto serial = conn.serial;
        loop.callAt(bootTime(), [this, serial] {
            if (connections.contains(serial))
                failConnection(serial, exchange_failure::lost);
        });
    }
}

void http_pool::state::handleReady(std::uint64_t serial, std::uint32_t events)
{
    auto& conn = connections.at(serial);
    if (conn.connecting) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0)
            return;
        if (!connectSucceeded(conn.socket.get())) {
            failConnection(serial, exchange_failure::notSent);
            return;
        }
        conn.connecting = false;
        loop.cancelTimer(std::exchange(conn.timer, 0));
        if (conn.probe) {
            std::exchange(conn.probe, nullptr)(true);
            makeIdle(conn);
        }
    }
    if (!conn.out.flush(conn.socket.get())) {
        failConnection(serial, exchange_failure::lost);
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0)
        return;
    if (options.unread && options.unread->scarce())
        readLater(serial, events);
    else
        readInput(conn, events);
}

/// Leaves bytes with the server until the responses that were read before have been passed on.
void http_pool::state::readLater(std::uint64_t serial, std::uint32_t events)
{
    if (std::exchange(connections.at(serial).delayedEvents, connections.at(serial).delayedEvents | events) != 0)
        return;
    loop.callAt(bootTime() + unreadCheckInterval, [this, serial] {
        const auto found = connections.find(serial);
        if (found != connections.end())
            handleReady(serial, std::exchange(found->second.delayedEvents, 0));
    });
}

void http_pool::state::readInput(connection& conn, std::uint32_t events)
{
    const auto serial = conn.serial;
    const bool inputEnded = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    bool unusable = false;
    const auto outcome = readAll(conn.socket.get(), events, [&](std::string_view chunk) {
        while (!chunk.empty() && !unusable) {
            // Bytes that arrive while no request is waiting for them cannot be attributed to any request.
            if (conn.exchange == 0 || (conn.reader.state() != reader_state::reading && !conn.endAwaited)) {
                unusable = true;
                return false;
            }
            chunk.remove_prefix(conn.reader.feed(chunk));
            if (conn.reader.state() == reader_state::reading)
                break;
            unusable = !handleResponse(conn, chunk, inputEnded);
        }
        return !unusable;
    });
    if (!unusable && outcome == read_outcome::ended && conn.exchange != 0 && conn.reader.started()) {
        conn.reader.feedEof();
        handleResponse(conn, {}, true);
        unusable = true;
    }
    if (unusable || outcome == read_outcome::ended || outcome == read_outcome::broken) {
        failConnection(serial, exchange_failure::lost);
        return;
    }
    if (outcome == read_outcome::more)
        loop.callAt(bootTime(), [this, serial, events] {
            if (connections.contains(serial))
                handleReady(serial, events);
        });
}

/// Whether the complete response in the connection's reader answers the request that waits there. A server may send
/// additional responses to earlier requests at any time.
bool http_pool::state::belongsToExchange(const connection& conn) const
{
    const auto& request = exchanges.at(conn.exchange).request;
    if (request.idHeader.empty())
        return true;
    if (const auto* responseId = findHeader(conn.reader.headers(), request.idHeader))
        return *responseId == request.id;
    // Without the identifier, it can belong to any request that the connection has carried.
    const bool success = conn.reader.status() >= firstFinalStatus && conn.reader.status() < firstNonSuccessStatus;
    return !success && conn.requestsSent == 1;
}

/// Discards an interim response, or one to another request. Returns whether the connection can be used further.
bool http_pool::state::skipResponse(connection& conn)
{
    const auto& request = exchanges.at(conn.exchange).request;
    const bool final = conn.reader.status() >= firstFinalStatus;
    const bool usable = (conn.reader.keepAlive() || !final) && ++conn.skippedResponses <= maxSkippedResponses;
    if (final && options.skipped) {
        const auto* receivedId = findHeader(conn.reader.headers(), request.idHeader);
        options.skipped({ request.id, receivedId ? *receivedId : "", conn.reader.status(), conn.serial });
    }
    conn.reader.restart(request.content.method != "HEAD");
    return usable;
}

/// Whether the complete message in the connection's reader has ended for certain. If only the next bytes can tell, the
/// end is awaited: the message is handled again once they have arrived or have had the time to.
bool http_pool::state::confirmEnd(connection& conn, std::string_view rest)
{
    const bool awaited = std::exchange(conn.endAwaited, false);
    if (!conn.reader.endIsDoubtful())
        return true;
    if (mayContinueChunks(rest)) {
        conn.reader.reject("a further chunk follows the trailers");
        reportMalformed(conn);
        return false;
    }
    if (!rest.empty() || awaited)
        return true;
    conn.endAwaited = true;
    awaitEnd(conn);
    return false;
}

/// Ends the wait after a while without further bytes. Bytes that have arrived but were not read prolong it.
void http_pool::state::awaitEnd(connection& conn)
{
    conn.timer = loop.callAt(bootTime() + doubtfulEndWait, [this, serial = conn.serial] {
        auto& waiting = connections.at(serial);
        waiting.timer = 0;
        if (hasUnreadBytes(waiting.socket.get()))
            awaitEnd(waiting);
        else if (!handleResponse(waiting, {}, false))
            failConnection(serial, exchange_failure::lost);
    });
}

void http_pool::state::reportMalformed(const connection& conn) const
{
    if (conn.reader.state() == reader_state::malformed && options.malformed)
        options.malformed({ exchanges.at(conn.exchange).request.id, conn.reader.violation(), conn.serial });
}

/// Handles a complete message. rest are the received bytes that follow it. inputEnded: the server sends nothing after
/// them. Returns whether the connection can be used further.
bool http_pool::state::handleResponse(connection& conn, std::string_view rest, bool inputEnded)
{
    auto& reader = conn.reader;
    if (reader.state() != reader_state::complete) {
        reportMalformed(conn);
        return false;
    }
    if (!confirmEnd(conn, rest))
        return conn.endAwaited;
    if (reader.status() < firstFinalStatus || !belongsToExchange(conn))
        return skipResponse(conn);
    const auto id = conn.exchange;
    http_answer response;
    response.status = reader.status();
    response.headers = std::move(reader.headers());
    response.body = makeBytes(std::move(reader.body()));
    reader.takeReservation().clear();
    const bool requestSent = conn.out.empty();
    const bool usable = reader.keepAlive() && requestSent && rest.empty() && !inputEnded;
    conn.usableUntil = bootTime() + options.idleTimeout - options.idleMargin;
    const auto* keepAliveHeader = findHeader(response.headers, "Keep-Alive");
    const auto parameter = keepAliveHeader ? keepAliveHeader->find(keepAliveTimeoutParameter) : std::string::npos;
    if (parameter != std::string::npos) {
        int seconds = 0;
        const auto* digits = keepAliveHeader->data() + parameter + keepAliveTimeoutParameter.size();
        std::from_chars(digits, keepAliveHeader->data() + keepAliveHeader->size(), seconds);
        conn.usableUntil = bootTime() + std::chrono::seconds(seconds) - options.idleMargin;
    }
    connectionByExchange.erase(id);
    conn.exchange = 0;
    const auto serial = conn.serial;
    if (usable)
        makeIdle(conn);
    completeExchange(id, std::move(response));
    return usable && connections.contains(serial);
}

/// Ends the response that holds most of the budget, if it holds more than that many bytes: one response without end
/// must not cost many small ones. Returns whether there was one.
bool http_pool::state::dropLargestResponse(std::size_t bodyBytes)
{
    const auto largest
        = std::max_element(connections.begin(), connections.end(), [](const auto& left, const auto& right) {
              return left.second.reader.reservedBytes() < right.second.reader.reservedBytes();
          });
    auto& reader = largest->second.reader;
    if (reader.reservedBytes() <= bodyBytes)
        return false;
    reader.discardBody();
    // The caller is in the middle of reading another response.
    loop.callAt(bootTime(), [this, serial = largest->first] { failConnection(serial, exchange_failure::lost); });
    return true;
}

void http_pool::state::makeIdle(connection& conn)
{
    if (conn.usableUntil == time_point {})
        conn.usableUntil = bootTime() + options.idleTimeout - options.idleMargin;
    const auto serial = conn.serial;
    idle.push_back(serial);
    conn.timer = loop.callAt(conn.usableUntil, [this, serial] {
        const auto found = connections.find(serial);
        if (found == connections.end() || found->second.exchange != 0)
            return;
        found->second.timer = 0;
        closeConnection(serial);
    });
}

/// Closes a connection and returns its exchange; zero if it had none.
std::uint64_t http_pool::state::closeConnection(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return 0;
    const auto id = found->second.exchange;
    loop.cancelTimer(found->second.timer);
    std::erase(idle, serial);
    connections.erase(found);
    return id;
}

void http_pool::state::failConnection(std::uint64_t serial, exchange_failure failure)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    auto probe = std::move(found->second.probe);
    const auto id = closeConnection(serial);
    if (probe)
        probe(false);
    if (id != 0)
        completeExchange(id, tl::unexpected(failure));
}

void http_pool::state::completeExchange(std::uint64_t id, tl::expected<http_answer, exchange_failure> outcome)
{
    const auto found = exchanges.find(id);
    if (found == exchanges.end())
        return;
    loop.cancelTimer(found->second.timer);
    const auto callback = std::move(found->second.callback);
    exchanges.erase(found);
    connectionByExchange.erase(id);
    callback(std::move(outcome));
}

} // namespace limpet::proxy
