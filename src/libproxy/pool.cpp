// HTTP/1.1 towards backend servers and the store.

#include "http_reader.h"
#include "sockets.h"
#include <algorithm>
#include <charconv>
#include <sys/epoll.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t maxHeaderBytes = 64 * 1024;
    // Bytes that the server does not acknowledge for so long break the connection.
    constexpr duration unacknowledged = std::chrono::seconds(4);
    constexpr std::string_view keepAliveTimeout = "timeout=";
    constexpr int firstFinalStatus = 200;

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
        bool answered = false; ///< an answer came over it before
        std::uint64_t exchange = 0; ///< zero: idle, or a probe
        std::function<void(bool)> probe;
        time_point usableUntil {};
        std::uint64_t timer = 0; ///< for the connect, or the end of idleness
    };

} // namespace

struct http_pool::state {
    reactor& loop;
    socket_address server;
    pool_options options;
    std::unordered_map<std::uint64_t, connection> connections;
    std::vector<std::uint64_t> idle; ///< the latest used last
    std::unordered_map<std::uint64_t, exchange> exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionOf;
    std::uint64_t nextSerial = 1;
    std::uint64_t opened = 0;

    void assign(std::uint64_t id);
    connection* open();
    void sendOver(connection& each, std::uint64_t id);
    void ready(std::uint64_t serial, std::uint32_t events);
    void readFrom(connection& each, std::uint32_t events);
    bool takeAnswer(connection& each, std::string_view& rest);
    void makeIdle(connection& each);
    void drop(std::uint64_t serial, exchange_failure why);
    void finish(std::uint64_t id, tl::expected<http_answer, exchange_failure> outcome);
    std::uint64_t forget(std::uint64_t serial);
    void connectTimedOut(std::uint64_t serial);
};

http_pool::http_pool(reactor& loop, socket_address server, pool_options options)
    : m_state(new state { loop, std::move(server), options, {}, {}, {}, {} })
{
}

http_pool::~http_pool()
{
    for (auto& [serial, each] : m_state->connections)
        m_state->loop.cancelTimer(each.timer);
    for (auto& [id, each] : m_state->exchanges)
        m_state->loop.cancelTimer(each.timer);
}

void http_pool::setMaxConnections(std::size_t connections) { m_state->options.maxConnections = connections; }

std::uint64_t http_pool::connectionsOpened() const { return m_state->opened; }

std::uint64_t http_pool::start(exchange_request request, exchange_callback callback)
{
    auto& own = *m_state;
    const auto id = own.nextSerial++;
    auto& each = own.exchanges[id];
    each.request = std::move(request);
    each.callback = std::move(callback);
    if (each.request.timeout > duration(0))
        each.timer = own.loop.callAt(bootTime() + each.request.timeout, [&own, id] {
            const auto found = own.connectionOf.find(id);
            const auto serial = found == own.connectionOf.end() ? 0 : found->second;
            own.finish(id, tl::unexpected(exchange_failure::timeout));
            if (serial != 0)
                own.forget(serial);
        });
    own.assign(id);
    return id;
}

void http_pool::cancel(std::uint64_t exchange)
{
    auto& own = *m_state;
    const auto found = own.exchanges.find(exchange);
    if (found == own.exchanges.end())
        return;
    own.loop.cancelTimer(found->second.timer);
    own.exchanges.erase(found);
    const auto connection = own.connectionOf.find(exchange);
    if (connection == own.connectionOf.end())
        return;
    const auto serial = connection->second;
    own.connectionOf.erase(connection);
    own.forget(serial);
}

void http_pool::probe(std::function<void(bool)> callback)
{
    auto* each = m_state->open();
    if (!each) {
        m_state->loop.callAt(bootTime(), [callback] { callback(false); });
        return;
    }
    each->probe = std::move(callback);
}

void http_pool::state::assign(std::uint64_t id)
{
    const auto now = bootTime();
    while (!idle.empty()) {
        const auto serial = idle.back();
        idle.pop_back();
        auto& each = connections.at(serial);
        if (each.usableUntil > now) {
            sendOver(each, id);
            return;
        }
        forget(serial);
    }
    auto* fresh = connections.size() < options.maxConnections ? open() : nullptr;
    if (fresh) {
        sendOver(*fresh, id);
        return;
    }
    loop.callAt(now, [this, id] { finish(id, tl::unexpected(exchange_failure::notSent)); });
}

connection* http_pool::state::open()
{
    const int descriptor = startConnect(server, unacknowledged);
    if (descriptor < 0)
        return nullptr;
    ++opened;
    const auto serial = nextSerial++;
    auto& each = connections.try_emplace(serial).first->second;
    each.serial = serial;
    each.reader.setLimits(maxHeaderBytes, options.maxResponseBytes);
    each.socket = watched_socket(loop, descriptor, [this, serial](std::uint32_t events) { ready(serial, events); });
    each.timer = loop.callAt(bootTime() + options.connectTimeout, [this, serial] { connectTimedOut(serial); });
    return &each;
}

void http_pool::state::connectTimedOut(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    found->second.timer = 0;
    if (found->second.connecting)
        drop(serial, exchange_failure::notSent);
}

void http_pool::state::sendOver(connection& each, std::uint64_t id)
{
    loop.cancelTimer(std::exchange(each.timer, each.connecting ? each.timer : 0));
    each.exchange = id;
    connectionOf[id] = each.serial;
    const auto& content = exchanges.at(id).request.content;
    std::string head = content.method + " " + content.path + " HTTP/1.1\r\n";
    const std::size_t length = content.body ? content.body->size() : 0;
    appendHeaders(head, content.headers, length);
    // A request without a body needs no length.
    each.reader.restart(content.method != "HEAD");
    each.out.add(head);
    if (length > 0)
        each.out.add(*content.body);
    if (each.connecting)
        return;
    if (!each.out.flush(each.socket.get())) {
        // The connection broke while it was idle; the event loop has not reported that yet.
        const auto serial = each.serial;
        loop.callAt(bootTime(), [this, serial] {
            if (connections.contains(serial))
                drop(serial, exchange_failure::lost);
        });
    }
}

void http_pool::state::ready(std::uint64_t serial, std::uint32_t events)
{
    auto& each = connections.at(serial);
    if (each.connecting) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0)
            return;
        if (!connectSucceeded(each.socket.get())) {
            drop(serial, exchange_failure::notSent);
            return;
        }
        each.connecting = false;
        loop.cancelTimer(std::exchange(each.timer, 0));
        if (each.probe) {
            std::exchange(each.probe, nullptr)(true);
            makeIdle(each);
        }
    }
    if (!each.out.flush(each.socket.get())) {
        drop(serial, exchange_failure::lost);
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
        readFrom(each, events);
}

void http_pool::state::readFrom(connection& each, std::uint32_t events)
{
    const auto serial = each.serial;
    bool spoiled = false;
    const auto outcome = readAll(each.socket.get(), events, [&](std::string_view piece) {
        while (!piece.empty() && !spoiled) {
            // Bytes that no request waits for belong to no request.
            if (each.exchange == 0 || each.reader.state() != reader_state::reading) {
                spoiled = true;
                return false;
            }
            piece.remove_prefix(std::min(each.reader.feed(piece), piece.size()));
            if (each.reader.state() == reader_state::reading)
                break;
            spoiled = !takeAnswer(each, piece);
        }
        return !spoiled;
    });
    if (!spoiled && outcome == read_outcome::ended && each.exchange != 0 && each.reader.begun()) {
        each.reader.feedEnd();
        std::string_view rest;
        takeAnswer(each, rest);
        spoiled = true;
    }
    if (spoiled || outcome != read_outcome::drained)
        drop(serial, exchange_failure::lost);
}

/// Takes a complete message. Returns whether the connection can be used on.
bool http_pool::state::takeAnswer(connection& each, std::string_view& rest)
{
    auto& reader = each.reader;
    if (reader.state() != reader_state::complete)
        return false;
    const auto id = each.exchange;
    const auto& request = exchanges.at(id).request;
    const auto* stated = request.idHeader.empty() ? nullptr : findHeader(reader.headers(), request.idHeader);
    const bool other = stated && *stated != request.id;
    if (other || reader.status() < firstFinalStatus) {
        const bool usable = reader.keepAlive() || reader.status() < firstFinalStatus;
        reader.restart(request.content.method != "HEAD");
        return usable;
    }
    http_answer answer;
    answer.status = reader.status();
    answer.headers = std::move(reader.headers());
    answer.body = makeBytes(std::move(reader.body()));
    const bool sent = each.out.empty();
    const bool usable = reader.keepAlive() && sent && rest.empty();
    each.usableUntil = bootTime() + options.idleTimeout - options.idleMargin;
    const auto* keepAlive = findHeader(answer.headers, "Keep-Alive");
    const auto at = keepAlive ? keepAlive->find(keepAliveTimeout) : std::string::npos;
    if (at != std::string::npos) {
        int seconds = 0;
        const auto* digits = keepAlive->data() + at + keepAliveTimeout.size();
        std::from_chars(digits, keepAlive->data() + keepAlive->size(), seconds);
        each.usableUntil = bootTime() + std::chrono::seconds(seconds) - options.idleMargin;
    }
    connectionOf.erase(id);
    each.exchange = 0;
    const auto serial = each.serial;
    if (usable)
        makeIdle(each);
    finish(id, std::move(answer));
    return usable && connections.contains(serial);
}

void http_pool::state::makeIdle(connection& each)
{
    if (each.usableUntil == time_point {})
        each.usableUntil = bootTime() + options.idleTimeout - options.idleMargin;
    const auto serial = each.serial;
    idle.push_back(serial);
    each.timer = loop.callAt(each.usableUntil, [this, serial] {
        const auto found = connections.find(serial);
        if (found == connections.end() || found->second.exchange != 0)
            return;
        found->second.timer = 0;
        forget(serial);
    });
}

/// Closes a connection and returns the exchange that it carried.
std::uint64_t http_pool::state::forget(std::uint64_t serial)
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

void http_pool::state::drop(std::uint64_t serial, exchange_failure why)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    auto probe = std::move(found->second.probe);
    const auto id = forget(serial);
    if (probe)
        probe(false);
    if (id != 0)
        finish(id, tl::unexpected(why));
}

void http_pool::state::finish(std::uint64_t id, tl::expected<http_answer, exchange_failure> outcome)
{
    const auto found = exchanges.find(id);
    if (found == exchanges.end())
        return;
    loop.cancelTimer(found->second.timer);
    const auto callback = std::move(found->second.callback);
    exchanges.erase(found);
    connectionOf.erase(id);
    callback(std::move(outcome));
}

} // namespace limpet::proxy
