#include "gioutil.h"
#include <algorithm>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unordered_map>

namespace limpet {
namespace {

    constexpr std::size_t readBytes = 64 * 1024;
    constexpr std::size_t writeBytes = 64 * 1024;
    // Read before other sources get their turn.
    constexpr int readsInARow = 4;
    constexpr duration sweepInterval = std::chrono::milliseconds(250);
    // A gap between sweeps that is longer than this means that the process was paused.
    constexpr duration pauseGap = std::chrono::seconds(1);
    // For how long after a pause received messages may have waited in the socket.
    constexpr duration afterPause = std::chrono::milliseconds(200);
    // Marks a heartbeat that answers another one.
    constexpr std::uint64_t heartbeatEcho = 1ULL << 63U;
    constexpr std::size_t maxLinks = 2000;

    /// One connection to another node.
    struct link {
        std::uint64_t id = 0;
        gobject_ptr<GSocket> socket;
        secure_channel channel;
        bool initiator = false;
        bool connecting = false;
        bool reported = false; ///< as opened
        bool wrongPeer = false; ///< nothing may be sent to it
        node_id expected; ///< zero: whoever answers
        node_id peer;
        incarnation run = 0;
        socket_address address;
        std::string unsent;
        gsource_ptr input;
        gsource_ptr output;
        time_point lastReceived {};
        time_point lastMessage {}; ///< other than heartbeats, either way
        time_point lastHeartbeat {};
        time_point createdAt {};
    };

} // namespace

struct link_pool::state : std::enable_shared_from_this<link_pool::state> {
    GMainContext* context = nullptr;
    link_settings settings;
    link_events events;
    gobject_ptr<GSocket> listener;
    gsource_ptr listenerSource;
    gsource_ptr sweepSource;
    std::unordered_map<std::uint64_t, link> links;
    std::unordered_map<node_id, std::uint64_t> byPeer; ///< link to send over, opened or not
    std::uint64_t nextId = 1;
    std::uint64_t heartbeatSequence = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    time_point lastSweep {};
    duration pause { 0 };
    time_point pauseSeen {};

    link& add(gobject_ptr<GSocket> socket, bool initiator);
    void watchInput(link& each);
    bool accept();
    link* connectTo(node_id to, const socket_address& address);
    void connected(link& each);
    void readFrom(std::uint64_t id);
    bool readOnce(link& each, std::vector<std::string>& messages);
    void handleMessages(std::uint64_t id, std::vector<std::string> messages);
    bool answerHeartbeat(link& each, const std::string& bytes);
    void checkOpened(link& each);
    void flush(link& each);
    void close(std::uint64_t id, const std::string& why);
    bool sweep();
    void notePause(time_point now);
};

link& link_pool::state::add(gobject_ptr<GSocket> socket, bool initiator)
{
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const auto id = nextId++;
    channel_settings channel { settings.self, settings.run, initiator, settings.keys };
    link fresh { id, std::move(socket), secure_channel(std::move(channel)), initiator };
    fresh.createdAt = bootTime();
    fresh.lastReceived = fresh.createdAt;
    fresh.lastMessage = fresh.createdAt;
    return links.emplace(id, std::move(fresh)).first->second;
}

void link_pool::state::watchInput(link& each)
{
    each.input = watchSocket(context, each.socket.get(), G_IO_IN, [this, id = each.id] {
        readFrom(id);
        return links.count(id) != 0;
    });
}

bool link_pool::state::accept()
{
    GSocket* socket = g_socket_accept(listener.get(), nullptr, nullptr);
    if (!socket)
        return true;
    gobject_ptr<GSocket> owned(socket);
    if (links.size() >= maxLinks)
        return true;
    watchInput(add(std::move(owned), false));
    return true;
}

link* link_pool::state::connectTo(node_id to, const socket_address& address)
{
    const auto target = toGlib(address);
    if (!target)
        return nullptr;
    const auto family = g_socket_address_get_family(target.get());
    gobject_ptr<GSocket> socket(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    if (!socket)
        return nullptr;
    // Connections leave from the node's own address, so that tests on loopback can tell the nodes apart.
    const auto own = toGlib({ settings.address.ip, 0 });
    g_socket_bind(socket.get(), own.get(), FALSE, nullptr);
    auto& fresh = add(std::move(socket), true);
    fresh.expected = to;
    fresh.address = address;
    fresh.connecting = true;
    const auto id = fresh.id;
    GError* problem = nullptr;
    if (!g_socket_connect(fresh.socket.get(), target.get(), nullptr, &problem)
        && !g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_PENDING)) {
        g_clear_error(&problem);
        links.erase(id);
        return nullptr;
    }
    g_clear_error(&problem);
    fresh.output = watchSocket(context, fresh.socket.get(), G_IO_OUT, [this, id] {
        const auto found = links.find(id);
        if (found != links.end())
            connected(found->second);
        return false;
    });
    return &fresh;
}

void link_pool::state::connected(link& each)
{
    GError* problem = nullptr;
    if (!g_socket_check_connect_result(each.socket.get(), &problem)) {
        const std::string why = problem->message;
        g_clear_error(&problem);
        close(each.id, why);
        return;
    }
    each.connecting = false;
    each.output.reset();
    watchInput(each);
    flush(each);
}

void link_pool::state::notePause(time_point now)
{
    if (now - lastSweep < pauseGap)
        return;
    pause = now - lastSweep;
    pauseSeen = now;
    lastSweep = now;
}

/// Reads once. Returns false when the link has been closed or has nothing more to read.
bool link_pool::state::readOnce(link& each, std::vector<std::string>& messages)
{
    std::array<char, readBytes> buffer;
    GError* problem = nullptr;
    const auto count = g_socket_receive(each.socket.get(), buffer.data(), buffer.size(), nullptr, &problem);
    if (count < 0) {
        const bool wait = g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        const std::string why = problem->message;
        g_clear_error(&problem);
        if (!wait)
            close(each.id, why);
        return false;
    }
    if (count == 0) {
        close(each.id, "closed by the peer");
        return false;
    }
    receivedBytes += static_cast<std::uint64_t>(count);
    each.lastReceived = bootTime();
    const auto done = each.channel.receive({ buffer.data(), static_cast<std::size_t>(count) }, messages);
    if (!done) {
        close(each.id, done.error().message);
        return false;
    }
    checkOpened(each);
    return static_cast<std::size_t>(count) == buffer.size();
}

void link_pool::state::readFrom(std::uint64_t id)
{
    const auto self = shared_from_this();
    notePause(bootTime());
    std::vector<std::string> messages;
    for (int round = 0; round < readsInARow; ++round) {
        const auto found = links.find(id);
        if (found == links.end() || !readOnce(found->second, messages))
            break;
    }
    handleMessages(id, std::move(messages));
    const auto found = links.find(id);
    if (found != links.end())
        flush(found->second);
}

void link_pool::state::checkOpened(link& each)
{
    const auto* peer = each.channel.peer();
    if (!peer || each.reported)
        return;
    if (each.expected.value != 0 && peer->id != each.expected) {
        // Another node answers at this address; nothing has been sent to it.
        each.wrongPeer = true;
        const auto id = each.id;
        post(context, [self = shared_from_this(), id] { self->close(id, "another node answers at this address"); });
        return;
    }
    each.peer = peer->id;
    each.run = peer->peerIncarnation;
    each.reported = true;
    const auto known = byPeer.find(each.peer);
    const bool replaces = known == byPeer.end() || known->second == each.id || links.count(known->second) == 0
        || links.at(known->second).run < each.run;
    if (!replaces)
        return;
    byPeer[each.peer] = each.id;
    events.opened(each.peer, each.run);
}

/// Handles a heartbeat. Returns false when the message is something else.
bool link_pool::state::answerHeartbeat(link& each, const std::string& bytes)
{
    // A heartbeat is much shorter than any other call message.
    constexpr std::size_t longestHeartbeat = 96;
    if (bytes.size() > longestHeartbeat || familyOf(bytes) != message_family::call)
        return false;
    const auto decoded = parseCallMessage(bytes);
    const auto* beat = decoded ? std::get_if<heartbeat>(&*decoded) : nullptr;
    if (!beat)
        return false;
    if ((beat->sequence & heartbeatEcho) == 0)
        (void)each.channel.send(encode(heartbeat { beat->sequence | heartbeatEcho }));
    return true;
}

void link_pool::state::handleMessages(std::uint64_t id, std::vector<std::string> messages)
{
    const auto now = bootTime();
    const auto transit = now - pauseSeen < afterPause ? pause : duration::zero();
    for (auto& bytes : messages) {
        const auto found = links.find(id);
        if (found == links.end())
            return;
        auto& each = found->second;
        if (!each.reported || answerHeartbeat(each, bytes))
            continue;
        each.lastMessage = now;
        events.message({ each.peer, each.run, std::move(bytes), transit });
    }
}

void link_pool::state::flush(link& each)
{
    if (each.connecting || each.output || each.wrongPeer)
        return;
    while (true) {
        if (each.unsent.empty())
            each.unsent = each.channel.takeOutput(writeBytes);
        if (each.unsent.empty())
            return;
        GError* problem = nullptr;
        const auto count = g_socket_send(each.socket.get(), each.unsent.data(), each.unsent.size(), nullptr, &problem);
        if (count < 0) {
            const bool wait = g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
            const std::string why = problem->message;
            g_clear_error(&problem);
            if (!wait) {
                // Deferred, because the caller may still use the link.
                post(context, [self = shared_from_this(), id = each.id, why] { self->close(id, why); });
                return;
            }
            each.output = watchSocket(context, each.socket.get(), G_IO_OUT, [this, id = each.id] {
                const auto found = links.find(id);
                if (found != links.end()) {
                    const auto finished = std::move(found->second.output);
                    flush(found->second);
                }
                return false;
            });
            return;
        }
        sentBytes += static_cast<std::uint64_t>(count);
        each.unsent.erase(0, static_cast<std::size_t>(count));
    }
}

void link_pool::state::close(std::uint64_t id, const std::string& why)
{
    const auto found = links.find(id);
    if (found == links.end())
        return;
    const auto closing = std::move(found->second);
    links.erase(found);
    const auto peer = closing.peer.value != 0 ? closing.peer : closing.expected;
    if (peer.value == 0)
        return;
    const auto known = byPeer.find(peer);
    if (known == byPeer.end() || known->second != id)
        return;
    byPeer.erase(known);
    VLOG(1) << "link: Closed. peer=" << toString(peer) << " opened=" << closing.reported << " reason=\"" << why << "\"";
    events.closed(peer, closing.reported);
}

bool link_pool::state::sweep()
{
    const auto now = bootTime();
    notePause(now);
    lastSweep = now;
    std::vector<std::pair<std::uint64_t, std::string>> closing;
    for (auto& [id, each] : links) {
        if (!each.reported) {
            if (now - each.createdAt > settings.connectTimeout)
                closing.emplace_back(id, "handshake timed out");
        } else if (now - each.lastMessage > settings.idle) {
            closing.emplace_back(id, "idle");
        } else if (now - each.lastReceived > settings.silence) {
            closing.emplace_back(id, "silent");
        } else if (now - std::max(each.lastReceived, each.lastHeartbeat) > settings.heartbeatInterval) {
            each.lastHeartbeat = now;
            (void)each.channel.send(encode(heartbeat { ++heartbeatSequence }));
            flush(each);
        }
    }
    for (const auto& [id, why] : closing)
        close(id, why);
    return true;
}

link_pool::link_pool(GMainContext* context, link_settings settings, link_events events)
    : m_state(std::make_shared<state>())
{
    m_state->context = context;
    m_state->settings = std::move(settings);
    m_state->events = std::move(events);
}

link_pool::~link_pool()
{
    m_state->listenerSource.reset();
    m_state->sweepSource.reset();
    m_state->links.clear();
}

result<void> link_pool::listen()
{
    auto& own = *m_state;
    const auto address = toGlib(own.settings.address);
    if (!address)
        return fail(error_kind::invalidArgument, "link address is not numeric; correct it in the settings");
    GError* problem = nullptr;
    own.listener.reset(g_socket_new(
        g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &problem));
    if (own.listener)
        g_socket_set_listen_backlog(own.listener.get(), listenBacklog);
    if (!own.listener || !g_socket_bind(own.listener.get(), address.get(), TRUE, &problem)
        || !g_socket_listen(own.listener.get(), &problem))
        return tl::unexpected<error>(takeError(error_kind::unavailable, problem, "choose a free link address"));
    g_socket_set_blocking(own.listener.get(), FALSE);
    own.listenerSource
        = watchSocket(own.context, own.listener.get(), G_IO_IN, [state = m_state.get()] { return state->accept(); });
    own.lastSweep = bootTime();
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(sweepInterval);
    own.sweepSource = attach(own.context, g_timeout_source_new(static_cast<guint>(interval.count())),
        [state = m_state.get()] { return state->sweep(); });
    return {};
}

socket_address link_pool::address() const
{
    const gobject_ptr<GSocketAddress> local(g_socket_get_local_address(m_state->listener.get(), nullptr));
    return fromGlib(local.get());
}

void link_pool::send(node_id to, const socket_address& address, std::string bytes)
{
    auto& own = *m_state;
    link* target = nullptr;
    if (to.value != 0) {
        const auto known = own.byPeer.find(to);
        if (known != own.byPeer.end())
            target = &own.links.at(known->second);
    }
    if (!target) {
        target = own.connectTo(to, address);
        if (target && to.value != 0)
            own.byPeer[to] = target->id;
    }
    if (!target) {
        if (to.value != 0)
            post(own.context, [state = m_state, to] { state->events.closed(to, false); });
        return;
    }
    target->lastMessage = bootTime();
    if (!target->channel.send(std::move(bytes))) {
        // The peer does not read; what is queued is settled like after any other broken link.
        post(own.context, [state = m_state, id = target->id] { state->close(id, "send queue is full"); });
        return;
    }
    own.flush(*target);
}

std::size_t link_pool::openLinks() const { return m_state->links.size(); }

std::uint64_t link_pool::bytesSent() const { return m_state->sentBytes; }

std::uint64_t link_pool::bytesReceived() const { return m_state->receivedBytes; }

} // namespace limpet
