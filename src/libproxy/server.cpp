// HTTP/1.1 towards clients.

#include "http_reader.h"
#include "sockets.h"
#include <sys/epoll.h>
#include <sys/socket.h>

namespace limpet::proxy {
namespace {

    constexpr duration sweepInterval = std::chrono::milliseconds(500);
    // A connection that is to be closed is read for this long, since closing it with unread bytes resets it.
    constexpr duration lingerTime = std::chrono::seconds(1);
    // Bytes of later requests that are kept while a request is in progress.
    constexpr std::size_t maxAheadBytes = 256 * 1024;

    enum class phase : std::uint8_t {
        reading, ///< for a request, or between two
        waiting, ///< for the answer to the request
        writing, ///< the answer
        lingering, ///< closed for writing
    };

    struct connection {
        std::uint64_t serial = 0;
        watched_socket socket;
        http_reader reader { HTTP_REQUEST, 0, 0 };
        phase now = phase::reading;
        std::string ahead; ///< bytes behind the request in progress
        write_buffer out;
        std::uint64_t exchange = 0;
        bool closing = false;
        bool ended = false; ///< the client sends nothing more
        time_point since {}; ///< of the phase, or of the first byte of a request
    };

    struct own_refusal {
        int status = 0;
        const char* text = "";
    };

    own_refusal refusalFor(reader_state state)
    {
        if (state == reader_state::headersTooLarge)
            return { 431, "send fewer or shorter headers" };
        if (state == reader_state::bodyTooLarge)
            return { 413, "send a shorter body" };
        return { 400, "send a well-formed HTTP/1.1 request" };
    }

} // namespace

struct http_server::state {
    state(reactor& given, socket_address listenAddress, http_server_callbacks handlers)
        : loop(given)
        , address(std::move(listenAddress))
        , events(std::move(handlers))
    {
    }

    reactor& loop;
    socket_address address;
    http_server_callbacks events;
    mesh::client_limits limits;
    watched_socket listener;
    std::unordered_map<std::uint64_t, connection> connections;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionOf; ///< by exchange
    std::uint64_t nextSerial = 1;
    std::uint64_t nextExchange = 1;
    bool closeAll = false;
    std::uint64_t sweepTimer = 0;

    void acceptAll();
    void ready(std::uint64_t serial, std::uint32_t readyEvents);
    bool readFrom(connection& each, std::uint32_t readyEvents);
    void process(std::uint64_t serial);
    void takeRequest(connection& each);
    void refuse(connection& each, const own_refusal& why);
    void write(connection& each, const http_answer& answer, bool close);
    void flush(std::uint64_t serial);
    void drop(std::uint64_t serial);
    void sweep();
};

http_server::http_server(reactor& loop, socket_address address, http_server_callbacks events)
    : m_state(std::make_unique<state>(loop, std::move(address), std::move(events)))
{
}

http_server::~http_server() { m_state->loop.cancelTimer(m_state->sweepTimer); }

result<void> http_server::listen()
{
    auto& own = *m_state;
    const auto descriptor = openListener(own.address);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    own.listener = watched_socket(own.loop, *descriptor, [&own](std::uint32_t) { own.acceptAll(); });
    own.sweep();
    return {};
}

void http_server::setLimits(const mesh::client_limits& limits) { m_state->limits = limits; }

void http_server::closeAfterResponses() { m_state->closeAll = true; }

void http_server::state::acceptAll()
{
    socket_address peer;
    for (int descriptor = acceptOne(listener.get(), peer); descriptor >= 0;
         descriptor = acceptOne(listener.get(), peer)) {
        const auto serial = nextSerial++;
        auto& each = connections.try_emplace(serial).first->second;
        each.serial = serial;
        each.since = bootTime();
        each.reader.setLimits(limits.maxHeaderBytes, limits.maxBodyBytes);
        each.socket = watched_socket(
            loop, descriptor, [this, serial](std::uint32_t readyEvents) { ready(serial, readyEvents); });
        // Bytes that came with the connection raise an event when it is watched.
    }
}

void http_server::state::ready(std::uint64_t serial, std::uint32_t readyEvents)
{
    auto& each = connections.at(serial);
    if ((readyEvents & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 && !readFrom(each, readyEvents)) {
        drop(serial);
        return;
    }
    process(serial);
    if (connections.contains(serial) && (readyEvents & EPOLLOUT) != 0)
        flush(serial);
}

/// Returns whether the connection is still of use.
bool http_server::state::readFrom(connection& each, std::uint32_t readyEvents)
{
    bool tooMuch = false;
    const auto outcome = readAll(each.socket.get(), readyEvents, [&](std::string_view piece) {
        if (each.now == phase::lingering)
            return true;
        if (each.now == phase::reading && each.ahead.empty()) {
            if (!each.reader.begun())
                each.since = bootTime();
            const auto used = each.reader.state() == reader_state::reading ? each.reader.feed(piece) : 0;
            piece.remove_prefix(std::min(used, piece.size()));
        }
        each.ahead += piece;
        tooMuch = each.ahead.size() > maxAheadBytes + limits.maxBodyBytes;
        return !tooMuch;
    });
    if (outcome == read_outcome::broken || tooMuch)
        return false;
    if (outcome == read_outcome::ended) {
        each.ended = true;
        // A client that has closed does not wait for its answer.
        if (each.now != phase::writing)
            return false;
    }
    return true;
}

/// Goes on with what has been read.
void http_server::state::process(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    if (found == connections.end())
        return;
    auto& each = found->second;
    if (each.now != phase::reading)
        return;
    if (!each.ahead.empty() && each.reader.state() == reader_state::reading) {
        const auto used = each.reader.feed(each.ahead);
        each.ahead.erase(0, used);
    }
    if (each.reader.state() == reader_state::complete) {
        takeRequest(each);
        return;
    }
    if (each.reader.state() != reader_state::reading) {
        refuse(each, refusalFor(each.reader.state()));
        return;
    }
    const auto* expectation = each.reader.headersComplete() ? findHeader(each.reader.headers(), "Expect") : nullptr;
    if (expectation && each.reader.body().empty() && each.out.empty()) {
        each.out.add("HTTP/1.1 100 Continue\r\n\r\n");
        each.reader.headers().erase(std::find_if(each.reader.headers().begin(), each.reader.headers().end(),
            [&](const header& row) { return &row.value == expectation; }));
        each.out.flush(each.socket.get());
    }
}

void http_server::state::takeRequest(connection& each)
{
    http_request request;
    request.method = each.reader.method();
    request.path = std::move(each.reader.target());
    request.headers = std::move(each.reader.headers());
    request.body = makeBytes(std::move(each.reader.body()));
    each.closing = !each.reader.keepAlive();
    each.now = phase::waiting;
    each.since = bootTime();
    each.exchange = nextExchange++;
    connectionOf[each.exchange] = each.serial;
    events.request(each.exchange, std::move(request));
}

void http_server::state::refuse(connection& each, const own_refusal& why)
{
    http_answer answer;
    answer.status = why.status;
    answer.body = makeBytes(std::string(why.text) + "\n");
    write(each, answer, true);
}

void http_server::respond(std::uint64_t exchange, const http_answer& answer)
{
    const auto found = m_state->connectionOf.find(exchange);
    if (found == m_state->connectionOf.end())
        return;
    const auto serial = found->second;
    m_state->connectionOf.erase(found);
    auto& each = m_state->connections.at(serial);
    each.exchange = 0;
    m_state->write(each, answer, each.closing || m_state->closeAll);
}

void http_server::state::write(connection& each, const http_answer& answer, bool close)
{
    each.closing = close;
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += reasonPhrase(answer.status);
    head += "\r\n";
    if (close)
        head += "Connection: close\r\n";
    appendHeaders(head, answer.headers, answer.body ? answer.body->size() : 0);
    each.out.add(head);
    if (answer.body)
        each.out.add(*answer.body);
    each.now = phase::writing;
    each.since = bootTime();
    flush(each.serial);
}

void http_server::state::flush(std::uint64_t serial)
{
    auto& each = connections.at(serial);
    if (!each.out.flush(each.socket.get())) {
        drop(serial);
        return;
    }
    if (each.now != phase::writing || !each.out.empty())
        return;
    each.since = bootTime();
    if (each.closing || each.ended) {
        shutdown(each.socket.get(), SHUT_WR);
        each.now = phase::lingering;
        each.ahead.clear();
        if (each.ended)
            drop(serial);
        return;
    }
    each.now = phase::reading;
    each.reader.setLimits(limits.maxHeaderBytes, limits.maxBodyBytes);
    each.reader.restart();
    // The next request may have come already; it is taken in a turn of its own to keep the stack flat.
    if (!each.ahead.empty())
        loop.callAt(bootTime(), [this, serial] { process(serial); });
}

void http_server::state::drop(std::uint64_t serial)
{
    const auto found = connections.find(serial);
    const auto exchange = found->second.exchange;
    connections.erase(found);
    if (exchange == 0)
        return;
    connectionOf.erase(exchange);
    events.disconnected(exchange);
}

void http_server::state::sweep()
{
    const auto now = bootTime();
    std::vector<std::uint64_t> finished;
    std::vector<std::uint64_t> late;
    for (const auto& [serial, each] : connections) {
        const auto age = now - each.since;
        const bool begun = each.now == phase::reading && each.reader.begun();
        if (begun && !each.reader.headersComplete() && age > limits.headerTimeout)
            late.push_back(serial);
        else if (each.now == phase::lingering ? age > lingerTime
                                              : each.now != phase::waiting && age > limits.idleTimeout)
            finished.push_back(serial);
    }
    for (const auto serial : late)
        refuse(connections.at(serial), { 408, "send the whole request sooner" });
    for (const auto serial : finished)
        drop(serial);
    sweepTimer = loop.callAt(now + sweepInterval, [this] { sweep(); });
}

} // namespace limpet::proxy
