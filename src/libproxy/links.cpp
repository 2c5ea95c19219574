// Frames between nodes over TCP. A frame is a length of four bytes (little endian, of what follows), a kind of one
// byte, and the bytes.

#include "sockets.h"
#include <sys/epoll.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t headBytes = lengthBytes + 1;
    constexpr duration sweepInterval = std::chrono::milliseconds(150);

    enum class frame_kind : std::uint8_t { message = 0, ping = 1, pong = 2 };

    struct link {
        std::uint64_t serial = 0;
        watched_socket socket;
        socket_address peer; ///< of a link that this node opened
        bool own = false; ///< opened by this node
        bool connecting = false;
        std::string in;
        write_buffer out;
        time_point openedAt {};
        time_point received {};
        time_point sent {};
        time_point pingedAt {}; ///< zero: no ping waits for its answer
        bool suspected = false;
        int owed = 0; ///< messages that the peer is expected to send
    };

    std::string makeHead(frame_kind kind, std::size_t size)
    {
        std::string head;
        const auto length = static_cast<std::uint32_t>(size + 1);
        for (unsigned shift = 0; shift < 32; shift += 8)
            head += static_cast<char>((length >> shift) & 0xFFU);
        head += static_cast<char>(kind);
        return head;
    }

    std::size_t readLength(std::string_view bytes)
    {
        std::uint32_t length = 0;
        for (unsigned index = 0; index < lengthBytes; ++index)
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
        return length;
    }

} // namespace

struct frame_links::state {
    reactor& loop;
    socket_address address;
    frame_links_callbacks events;
    frame_links_options options;
    watched_socket listener;
    std::unordered_map<std::uint64_t, link> links;
    std::map<socket_address, std::uint64_t> ownLinks;
    std::uint64_t nextSerial = 1;
    std::uint64_t sweepTimer = 0;

    void acceptAll();
    link* openTo(const socket_address& peer);
    void add(link& each, frame_kind kind, std::string_view bytes);
    void ready(std::uint64_t serial, std::uint32_t readyEvents);
    bool readFrames(std::uint64_t serial, std::uint32_t readyEvents);
    void close(std::uint64_t serial);
    void sweep();
};

frame_links::frame_links(
    reactor& loop, socket_address address, frame_links_callbacks events, frame_links_options options)
    : m_state(new state { loop, std::move(address), std::move(events), options, {}, {}, {} })
{
}

frame_links::~frame_links() { m_state->loop.cancelTimer(m_state->sweepTimer); }

result<void> frame_links::listen()
{
    auto& own = *m_state;
    const auto descriptor = openListener(own.address);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    own.listener = watched_socket(own.loop, *descriptor, [&own](std::uint32_t) { own.acceptAll(); });
    own.sweep();
    return {};
}

void frame_links::send(const socket_address& peer, std::string_view bytes, int owed)
{
    auto& own = *m_state;
    const auto found = own.ownLinks.find(peer);
    auto* each = found == own.ownLinks.end() ? own.openTo(peer) : &own.links.at(found->second);
    if (each) {
        each->owed = std::max(0, each->owed + owed);
        own.add(*each, frame_kind::message, bytes);
        return;
    }
    own.loop.callAt(bootTime(), [&own, peer] { own.events.closed({ 0, peer, false }); });
}

void frame_links::reply(std::uint64_t link, std::string_view bytes)
{
    const auto found = m_state->links.find(link);
    if (found != m_state->links.end())
        m_state->add(found->second, frame_kind::message, bytes);
}

void frame_links::state::acceptAll()
{
    socket_address peer;
    for (int descriptor = acceptOne(listener.get(), peer); descriptor >= 0;
         descriptor = acceptOne(listener.get(), peer)) {
        const auto serial = nextSerial++;
        auto& each = links[serial];
        each.serial = serial;
        each.openedAt = bootTime();
        each.received = each.openedAt;
        each.socket = watched_socket(
            loop, descriptor, [this, serial](std::uint32_t readyEvents) { ready(serial, readyEvents); });
    }
}

link* frame_links::state::openTo(const socket_address& peer)
{
    const int descriptor = startConnect(peer, options.pingTimeout);
    if (descriptor < 0)
        return nullptr;
    const auto serial = nextSerial++;
    auto& each = links[serial];
    each.serial = serial;
    each.peer = peer;
    each.own = true;
    each.connecting = true;
    each.openedAt = bootTime();
    each.received = each.openedAt;
    each.socket
        = watched_socket(loop, descriptor, [this, serial](std::uint32_t readyEvents) { ready(serial, readyEvents); });
    ownLinks[peer] = serial;
    return &each;
}

void frame_links::state::add(link& each, frame_kind kind, std::string_view bytes)
{
    const auto serial = each.serial;
    bool broken = each.out.size() + bytes.size() > options.maxQueuedBytes;
    each.out.add(makeHead(kind, bytes.size()));
    each.out.add(bytes);
    if (kind == frame_kind::message)
        each.sent = bootTime();
    if (!broken && !each.connecting)
        broken = !each.out.flush(each.socket.get());
    // The caller is in the middle of an event; the end of the link is an event of its own.
    if (broken)
        loop.callAt(bootTime(), [this, serial] { close(serial); });
}

void frame_links::state::ready(std::uint64_t serial, std::uint32_t readyEvents)
{
    auto& each = links.at(serial);
    if (each.connecting) {
        if ((readyEvents & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0)
            return;
        if (!connectSucceeded(each.socket.get())) {
            close(serial);
            return;
        }
        each.connecting = false;
        each.received = bootTime();
    }
    if (!each.out.flush(each.socket.get())) {
        close(serial);
        return;
    }
    if ((readyEvents & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 && !readFrames(serial, readyEvents))
        close(serial);
}

/// Returns whether the link is still of use.
bool frame_links::state::readFrames(std::uint64_t serial, std::uint32_t readyEvents)
{
    auto& each = links.at(serial);
    const auto outcome = readAll(each.socket.get(), readyEvents, [&](std::string_view piece) {
        each.in += piece;
        return true;
    });
    each.received = bootTime();
    each.pingedAt = {};
    const auto peer = each.peer;
    const bool reacts = std::exchange(each.suspected, false);
    std::size_t used = 0;
    std::vector<std::string> messages;
    while (each.in.size() - used >= headBytes) {
        const auto length = readLength(std::string_view(each.in).substr(used, lengthBytes));
        if (length == 0 || length > options.maxFrameBytes)
            return false;
        if (each.in.size() - used < lengthBytes + length)
            break;
        const auto kind = static_cast<frame_kind>(each.in[used + lengthBytes]);
        if (kind == frame_kind::message)
            messages.push_back(each.in.substr(used + headBytes, length - 1));
        if (kind == frame_kind::ping)
            add(each, frame_kind::pong, {});
        used += lengthBytes + length;
    }
    each.in.erase(0, used);
    each.owed = std::max(0, each.owed - static_cast<int>(messages.size()));
    if (reacts)
        events.suspected({ peer, false });
    for (auto& message : messages)
        events.frame({ serial, peer, std::move(message) });
    return outcome == read_outcome::drained || !links.contains(serial);
}

void frame_links::state::close(std::uint64_t serial)
{
    const auto found = links.find(serial);
    if (found == links.end())
        return;
    mesh::link_closed closed { serial, found->second.peer, !found->second.connecting };
    if (found->second.own)
        ownLinks.erase(found->second.peer);
    links.erase(found);
    events.closed(closed);
}

void frame_links::state::sweep()
{
    const auto now = bootTime();
    std::vector<std::uint64_t> ended;
    std::vector<socket_address> suspected;
    for (auto& [serial, each] : links) {
        const auto quiet = now - std::max(each.received, each.sent);
        const bool neverOpened = each.connecting && now - each.openedAt > options.connectTimeout;
        const bool silent = each.pingedAt != time_point {} && now - each.pingedAt > options.pingTimeout;
        if (neverOpened || silent || quiet > options.idleTimeout)
            ended.push_back(serial);
        else if (each.own && !each.connecting && each.pingedAt == time_point {} && each.owed > 0
            && now - each.received > options.pingAfter) {
            each.pingedAt = now;
            add(each, frame_kind::ping, {});
        } else if (each.pingedAt != time_point {} && !each.suspected && now - each.pingedAt > options.suspectAfter) {
            each.suspected = true;
            suspected.push_back(each.peer);
        }
    }
    for (const auto& peer : suspected)
        events.suspected({ peer, true });
    for (const auto serial : ended)
        close(serial);
    sweepTimer = loop.callAt(now + sweepInterval, [this] { sweep(); });
}

} // namespace limpet::proxy
