// Framed TCP links between nodes. A frame consists of a four-byte little-endian length (of the rest of the frame), a
// one-byte kind and the payload.

#include "body_budget.h"
#include "sockets.h"
#include <algorithm>
#include <sys/epoll.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t lengthFieldBytes = 4;
    constexpr std::size_t headerBytes = lengthFieldBytes + 1;
    constexpr duration timeoutCheckInterval = std::chrono::milliseconds(150);
    // Between two writes of paced messages.
    constexpr duration paceInterval = std::chrono::milliseconds(10);

    enum class frame_kind : std::uint8_t { message = 0, ping = 1, pong = 2 };

    struct link {
        std::uint64_t serial = 0;
        watched_socket socket;
        socket_address peer; ///< empty for a link that the peer opened
        bool outgoing = false; ///< opened by this node
        mesh::traffic_class traffic = mesh::traffic_class::calls; ///< if opened by this node
        mesh::write_pace pace = mesh::write_pace::unlimited; ///< of the bytes that wait to be sent
        bool connecting = false;
        std::string input; ///< received bytes that do not form a complete frame yet
        write_buffer out;
        body_reservation unsent; ///< bytes of out
        time_point openedAt {};
        time_point lastReceived {};
        time_point lastSent {}; ///< of messages only; pings and pongs do not count
        time_point pingSentAt {}; ///< zero: no ping is outstanding
        bool suspected = false;
        int expectedReplies = 0;
    };

    std::string makeFrameHeader(frame_kind kind, std::size_t size)
    {
        std::string header;
        const auto length = static_cast<std::uint32_t>(size + 1);
        for (unsigned shift = 0; shift < 32; shift += 8)
            header += static_cast<char>((length >> shift) & 0xFFU);
        header += static_cast<char>(kind);
        return header;
    }

    std::size_t decodeLength(std::string_view bytes)
    {
        std::uint32_t length = 0;
        for (unsigned index = 0; index < lengthFieldBytes; ++index)
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
        return length;
    }

    /// Bytes that are written in that time at a rate in bytes per second, at least one.
    std::size_t bytesIn(duration time, std::size_t rate)
    {
        return std::max<std::size_t>(
            static_cast<std::size_t>(std::chrono::duration<double>(time).count() * static_cast<double>(rate)), 1);
    }

    duration timeOf(std::size_t bytes, std::size_t rate)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(rate)));
    }

} // namespace

struct frame_links::state {
    reactor& loop;
    socket_address address;
    frame_links_callbacks callbacks;
    frame_links_options options;
    watched_socket listener;
    std::unordered_map<std::uint64_t, link> links;
    std::map<std::pair<socket_address, mesh::traffic_class>, std::uint64_t> outgoingLinks;
    std::deque<std::uint64_t> pacedLinks; ///< with bytes that wait to be sent, in the order in which they are served
    std::uint64_t paceTimer = 0; ///< 0: no paced message waits
    std::uint64_t nextSerial = 1;
    std::uint64_t timeoutCheckTimer = 0;

    void acceptConnections();
    link& openLink(const socket_address& peer, mesh::traffic_class traffic);
    void sendFrame(link& peerLink, frame_kind kind, std::string_view bytes);
    void handleReady(std::uint64_t serial, std::uint32_t events);
    bool readFrames(std::uint64_t serial, std::uint32_t events);
    bool flush(link& peerLink) const;
    void startPacing(link& peerLink, mesh::write_pace pace);
    void writePaced();
    std::size_t paceOf(mesh::write_pace pace) const
    {
        return pace == mesh::write_pace::sameRegion ? options.sameRegionPace : options.otherRegionPace;
    }
    void close(std::uint64_t serial);
    bool hasExpired(const link& peerLink, time_point now) const;
    bool pingDue(const link& peerLink, time_point now) const;
    void checkTimeouts();
};

frame_links::frame_links(
    reactor& loop, socket_address address, frame_links_callbacks callbacks, frame_links_options options)
    : m_state(new state { loop, std::move(address), std::move(callbacks), options, {}, {}, {} })
{
}

frame_links::~frame_links()
{
    m_state->loop.cancelTimer(m_state->timeoutCheckTimer);
    m_state->loop.cancelTimer(m_state->paceTimer);
}

result<void> frame_links::listen()
{
    auto& impl = *m_state;
    const auto descriptor = openListener(impl.address);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    impl.listener = watched_socket(impl.loop, *descriptor, [&impl](std::uint32_t) { impl.acceptConnections(); });
    impl.checkTimeouts();
    return {};
}

void frame_links::send(
    const socket_address& peer, std::string_view bytes, int expectedReplyDelta, mesh::traffic_class traffic)
{
    auto& impl = *m_state;
    const auto found = impl.outgoingLinks.find({ peer, traffic });
    auto& peerLink = found == impl.outgoingLinks.end() ? impl.openLink(peer, traffic) : impl.links.at(found->second);
    peerLink.expectedReplies = std::max(0, peerLink.expectedReplies + expectedReplyDelta);
    impl.sendFrame(peerLink, frame_kind::message, bytes);
}

void frame_links::reply(std::uint64_t link, std::string_view bytes, mesh::write_pace pace)
{
    const auto found = m_state->links.find(link);
    if (found == m_state->links.end())
        return;
    if (pace != mesh::write_pace::unlimited)
        m_state->startPacing(found->second, pace);
    m_state->sendFrame(found->second, frame_kind::message, bytes);
}

bool frame_links::hasUnsentBytes() const
{
    return std::any_of(m_state->links.begin(), m_state->links.end(),
        [](const auto& each) { return !each.second.connecting && !each.second.out.empty(); });
}

void frame_links::state::acceptConnections()
{
    socket_address peer;
    bool outOfDescriptors = false;
    for (int descriptor = acceptConnection(listener.get(), peer, outOfDescriptors); descriptor >= 0;
         descriptor = acceptConnection(listener.get(), peer, outOfDescriptors)) {
        const auto serial = nextSerial++;
        auto& peerLink = links[serial];
        peerLink.serial = serial;
        peerLink.openedAt = bootTime();
        peerLink.lastReceived = peerLink.openedAt;
        peerLink.unsent = body_reservation(options.budget);
        setAckTimeout(descriptor, options.callerAckTimeout);
        peerLink.socket
            = watched_socket(loop, descriptor, [this, serial](std::uint32_t events) { handleReady(serial, events); });
    }
    // The connections that are pending raise no further event.
    if (outOfDescriptors)
        loop.callAt(bootTime() + acceptRetryInterval, [this] { acceptConnections(); });
}

/// Returns a link that is connecting. If the connect fails at once, the link closes in a later iteration and takes
/// along the messages that are sent until then: each message is on exactly one link, whose end tells what became of it.
link& frame_links::state::openLink(const socket_address& peer, mesh::traffic_class traffic)
{
    const auto serial = nextSerial++;
    auto& peerLink = links[serial];
    peerLink.serial = serial;
    peerLink.peer = peer;
    peerLink.outgoing = true;
    peerLink.traffic = traffic;
    peerLink.connecting = true;
    peerLink.openedAt = bootTime();
    peerLink.lastReceived = peerLink.openedAt;
    peerLink.unsent = body_reservation(options.budget);
    outgoingLinks[{ peer, traffic }] = serial;
    const int descriptor = startConnect(peer, options.pingTimeout);
    if (descriptor >= 0)
        peerLink.socket
            = watched_socket(loop, descriptor, [this, serial](std::uint32_t events) { handleReady(serial, events); });
    else
        loop.callAt(bootTime(), [this, serial] { close(serial); });
    return peerLink;
}

void frame_links::state::sendFrame(link& peerLink, frame_kind kind, std::string_view bytes)
{
    const auto serial = peerLink.serial;
    bool broken = peerLink.out.size() + bytes.size() > options.maxQueuedBytes;
    peerLink.out.add(makeFrameHeader(kind, bytes.size()));
    peerLink.out.add(bytes);
    peerLink.unsent.resize(peerLink.out.heldBytes());
    if (kind == frame_kind::message)
        peerLink.lastSent = bootTime();
    if (!broken && !peerLink.connecting)
        broken = !flush(peerLink);
    // Closing invokes a callback, so it is deferred until the caller has finished handling its event.
    if (broken)
        loop.callAt(bootTime(), [this, serial] { close(serial); });
}

/// Writes what the peer accepts, unless its messages are paced. Returns false if the connection is broken.
bool frame_links::state::flush(link& peerLink) const
{
    const bool open = peerLink.pace != mesh::write_pace::unlimited || peerLink.out.flush(peerLink.socket.get());
    peerLink.unsent.resize(peerLink.out.heldBytes());
    return open;
}

/// Paces the bytes that wait to be sent over the link from now on, until all are written.
void frame_links::state::startPacing(link& peerLink, mesh::write_pace pace)
{
    if (peerLink.pace == mesh::write_pace::unlimited)
        pacedLinks.push_back(peerLink.serial);
    peerLink.pace = pace;
    if (paceTimer == 0)
        paceTimer = loop.callAt(bootTime() + paceInterval, [this] { writePaced(); });
}

/// Writes to the links with paced messages, one after the other: a message that is complete early can be passed on by
/// its receiver.
void frame_links::state::writePaced()
{
    auto share = paceInterval;
    std::vector<std::uint64_t> broken;
    for (auto left = pacedLinks.size(); left > 0 && share > duration(0); --left) {
        const auto serial = pacedLinks.front();
        pacedLinks.pop_front();
        const auto found = links.find(serial);
        if (found == links.end())
            continue;
        auto& peerLink = found->second;
        const auto rate = paceOf(peerLink.pace);
        const auto before = peerLink.out.size();
        if (!peerLink.out.flush(peerLink.socket.get(), bytesIn(share, rate)))
            broken.push_back(serial);
        const auto written = before - peerLink.out.size();
        peerLink.unsent.resize(peerLink.out.heldBytes());
        share -= timeOf(written, rate);
        if (peerLink.out.empty())
            peerLink.pace = mesh::write_pace::unlimited;
        else if (share > duration(0))
            pacedLinks.push_back(serial); // its peer accepts no more for now
        else
            pacedLinks.push_front(serial);
    }
    paceTimer = pacedLinks.empty() ? 0 : loop.callAt(bootTime() + paceInterval, [this] { writePaced(); });
    for (const auto serial : broken)
        close(serial);
}

void frame_links::state::handleReady(std::uint64_t serial, std::uint32_t events)
{
    auto& peerLink = links.at(serial);
    if (peerLink.connecting) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0)
            return;
        if (!connectSucceeded(peerLink.socket.get())) {
            close(serial);
            return;
        }
        peerLink.connecting = false;
        peerLink.lastReceived = bootTime();
    }
    if (!flush(peerLink)) {
        close(serial);
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 && !readFrames(serial, events))
        close(serial);
}

/// Returns false if the link must be closed.
bool frame_links::state::readFrames(std::uint64_t serial, std::uint32_t events)
{
    auto& peerLink = links.at(serial);
    const auto outcome = readAll(peerLink.socket.get(), events, [&](std::string_view chunk) {
        peerLink.input += chunk;
        return true;
    });
    peerLink.lastReceived = bootTime();
    peerLink.pingSentAt = {};
    const auto peer = peerLink.peer;
    const bool wasSuspected
        = std::exchange(peerLink.suspected, false) && peerLink.traffic == mesh::traffic_class::calls;
    std::size_t used = 0;
    std::vector<std::string> messages;
    while (peerLink.input.size() - used >= headerBytes) {
        const auto length = decodeLength(std::string_view(peerLink.input).substr(used, lengthFieldBytes));
        if (length == 0 || length > options.maxFrameBytes)
            return false;
        if (peerLink.input.size() - used < lengthFieldBytes + length)
            break;
        const auto kind = static_cast<frame_kind>(peerLink.input[used + lengthFieldBytes]);
        if (kind == frame_kind::message)
            messages.push_back(peerLink.input.substr(used + headerBytes, length - 1));
        if (kind == frame_kind::ping)
            sendFrame(peerLink, frame_kind::pong, {});
        used += lengthFieldBytes + length;
    }
    peerLink.input.erase(0, used);
    peerLink.expectedReplies = std::max(0, peerLink.expectedReplies - static_cast<int>(messages.size()));
    if (wasSuspected)
        callbacks.suspected({ peer, false });
    for (std::size_t index = 0; index < messages.size(); ++index)
        callbacks.frame({ serial, peer, std::move(messages[index]), duration(0), index + 1 == messages.size() });
    if (outcome == read_outcome::more)
        loop.callAt(bootTime(), [this, serial, events] {
            if (links.contains(serial))
                handleReady(serial, events);
        });
    return outcome == read_outcome::drained || outcome == read_outcome::more || !links.contains(serial);
}

void frame_links::state::close(std::uint64_t serial)
{
    const auto found = links.find(serial);
    if (found == links.end())
        return;
    mesh::link_closed closed { serial, found->second.peer, !found->second.connecting, found->second.traffic };
    if (found->second.outgoing)
        outgoingLinks.erase({ found->second.peer, found->second.traffic });
    links.erase(found);
    callbacks.closed(closed);
}

bool frame_links::state::hasExpired(const link& peerLink, time_point now) const
{
    const auto idleTime = now - std::max(peerLink.lastReceived, peerLink.lastSent);
    const bool connectTimedOut = peerLink.connecting && now - peerLink.openedAt > options.connectTimeout;
    const bool pingTimedOut
        = peerLink.outgoing && peerLink.pingSentAt != time_point {} && now - peerLink.pingSentAt > options.pingTimeout;
    return connectTimedOut || pingTimedOut || idleTime > options.idleTimeout;
}

/// A link that the peer opened needs no reply to a ping: a peer that is paused does not give up its calls.
bool frame_links::state::pingDue(const link& peerLink, time_point now) const
{
    const auto silence = now - std::max(peerLink.lastReceived, peerLink.pingSentAt);
    if (!peerLink.outgoing)
        return silence > options.callerPingAfter && callbacks.working(peerLink.serial);
    return !peerLink.connecting && peerLink.pingSentAt == time_point {} && peerLink.expectedReplies > 0
        && silence > options.pingAfter;
}

void frame_links::state::checkTimeouts()
{
    const auto now = bootTime();
    std::vector<std::uint64_t> expired;
    std::vector<socket_address> suspected;
    for (auto& [serial, peerLink] : links) {
        if (hasExpired(peerLink, now))
            expired.push_back(serial);
        else if (pingDue(peerLink, now)) {
            peerLink.pingSentAt = now;
            sendFrame(peerLink, frame_kind::ping, {});
        } else if (peerLink.outgoing && peerLink.pingSentAt != time_point {} && !peerLink.suspected
            && now - peerLink.pingSentAt > options.suspectAfter) {
            peerLink.suspected = true;
            if (peerLink.traffic == mesh::traffic_class::calls)
                suspected.push_back(peerLink.peer);
        }
    }
    for (const auto& peer : suspected)
        callbacks.suspected({ peer, true });
    for (const auto serial : expired)
        close(serial);
    timeoutCheckTimer = loop.callAt(now + timeoutCheckInterval, [this] { checkTimeouts(); });
}

} // namespace limpet::proxy
