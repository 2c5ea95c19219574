#pragma once

/// \file proxy.h
/// Input and output of a mesh node: an event loop over one epoll descriptor, an HTTP/1.1 server and client, framed TCP
/// links and status datagrams between nodes, the structured log, metrics, and the daemon that connects them to the
/// decision logic of mesh.h. Nothing here is thread-safe: all of it runs on the thread that runs the event loop.

#include <limpetcroft/gobject.h>
#include <limpetcroft/mesh.h>
#include <limpetcroft/store.h>

namespace limpet::proxy {

/// Returns the time since this VM booted, including time spent suspended (CLOCK_BOOTTIME).
time_point bootTime();

// ---- Event loop ----

/// Event loop that calls handlers when descriptors become ready or timers expire. All descriptors are registered with
/// one epoll instance, which is a single GLib source, because GLib polls each descriptor that has its own source on
/// every iteration.
class reactor {
public:
    using io_handler = std::function<void(std::uint32_t events)>;
    using timer_handler = std::function<void()>;

    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    /// Calls the handler when the descriptor becomes readable or writable or is hung up. Edge-triggered.
    void watch(int descriptor, io_handler handler);
    void unwatch(int descriptor);
    /// Calls the handler once at the given time. Returns an identifier for cancelTimer().
    std::uint64_t callAt(time_point at, timer_handler handler);
    void cancelTimer(std::uint64_t timer);
    /// Calls the handler at the end of each loop iteration.
    void onIterationEnd(timer_handler handler) { m_iterationEndHandlers.push_back(std::move(handler)); }
    void run();
    void quit();
    /// Calls the handler when another handler throws an exception, which would otherwise end the process. The loop goes
    /// on.
    void onError(std::function<void(const std::exception&)> handler) { m_errorHandler = std::move(handler); }
    /// Returns how much later than a timer was due the current iteration began, if that shows that the process was
    /// paused: what it reads in this iteration may be that old. Zero otherwise.
    duration pauseBefore() const { return m_pause; }

private:
    struct watch_entry {
        std::uint64_t serial = 0;
        std::shared_ptr<io_handler> handler;
    };
    void dispatch();
    void runDueTimers();
    void updateReadyTime();
    void measurePause();
    template <typename Handler, typename... Arguments> void callGuarded(const Handler& handler, Arguments... arguments);

    int m_epoll;
    GMainContext* m_context;
    GMainLoop* m_loop;
    gsource_ptr m_source;
    std::unordered_map<int, watch_entry> m_watches;
    std::uint64_t m_nextSerial = 1;
    std::map<std::pair<time_point, std::uint64_t>, timer_handler> m_timers;
    std::unordered_map<std::uint64_t, time_point> m_timerTimes;
    std::vector<timer_handler> m_iterationEndHandlers;
    std::function<void(const std::exception&)> m_errorHandler;
    duration m_pause { 0 };
};

/// Owns a descriptor that is registered with a reactor; unregisters and closes it on destruction.
class watched_socket {
public:
    watched_socket() = default;
    watched_socket(reactor& loop, int descriptor, reactor::io_handler handler);
    ~watched_socket() { reset(); }
    watched_socket(watched_socket&& other) noexcept;
    watched_socket& operator=(watched_socket&& other) noexcept;
    void reset();
    int get() const { return m_descriptor; }

private:
    reactor* m_loop = nullptr;
    int m_descriptor = -1;
};

/// Parses "IP:PORT". Errors: invalidArgument.
result<socket_address> parseAddress(std::string_view text);
std::string toText(const socket_address& address);

// ---- Structured log ----

struct log_limits {
    double linesPerSecond = 400; ///< per event name
    double burst = 800; ///< per event name
    std::size_t maxBufferedBytes = 256 * 1024;
};

/// Writes one JSON object per line to a descriptor. Each event name has its own token bucket; dropped lines are
/// counted, and the count is added to the next line of that event. On a non-blocking descriptor, writing never stalls
/// the event loop: unwritten lines are buffered, and lines are dropped while the buffer is full.
class log_sink {
public:
    log_sink(int descriptor, std::string node, log_limits limits = {});
    /// Adds a line to the buffer.
    void write(const mesh::log_event& line, time_point now);
    /// Writes as much of the buffer as the descriptor accepts.
    void flush();

private:
    struct token_bucket {
        double tokens = 0;
        time_point refilled {};
        std::uint64_t dropped = 0;
    };
    int m_descriptor;
    std::string m_node;
    log_limits m_limits;
    std::map<std::string, token_bucket, std::less<>> m_buckets;
    std::string m_buffer;
};

// ---- HTTP ----

/// An exchange is one request and its response.
struct http_server_callbacks {
    /// A complete request has arrived. Each one must be answered with one respond() call, unless disconnected() was
    /// called for it.
    std::function<void(std::uint64_t exchange, http_request request)> request;
    std::function<void(std::uint64_t exchange)> disconnected; ///< the connection ended before the response
    /// The server answered a request itself that it has not passed on. Optional.
    std::function<void(int status, const std::vector<header>& headers)> rejected;
    /// The server closed a connection because its client has not read that many bytes of a response for so long.
    /// Optional.
    std::function<void(std::size_t bytes, duration age)> unread;
};

class body_budget;

/// HTTP/1.1 server. A request is passed to the callback once it is complete; the next request on the same connection is
/// passed on only after the response to the first.
class http_server {
public:
    http_server(reactor& loop, socket_address address, http_server_callbacks callbacks);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Errors: unavailable if the address cannot be bound.
    result<void> listen();
    /// Sends the response. Does nothing if the connection has ended.
    void respond(std::uint64_t exchange, const http_answer& response);
    /// New timeouts apply immediately; an open connection adopts new size limits after its next response.
    void setLimits(const mesh::client_limits& limits);
    /// Bounds the bytes held for bodies. A request whose body exceeds the budget is refused with status 503 before its
    /// body is read. The budget must outlive the server.
    void setBudget(body_budget* budget);
    /// Bounds the bytes of responses that clients have not read. Beyond the limit, and after a second also when they
    /// are scarce, the connection that has held most of them for longest is closed. The budget must outlive the server.
    void setResponseBudget(body_budget* budget);
    /// Bounds the open connections. At the bound, the connection that has been idle longest is closed for a new one; if
    /// none is idle, new ones wait until one closes.
    void setMaxConnections(std::size_t connections);
    std::size_t connectionCount() const;
    /// Whether a connection carries a request that has begun to arrive, or a response that its client may not have yet.
    bool busy() const;
    /// Closes each connection after its next response.
    void closeAfterResponses();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Reason why a request to an HTTP server got no response.
enum class exchange_failure : std::uint8_t {
    notSent, ///< no connection could be established; no byte was sent
    noCapacity, ///< all connections are in use, or the process lacks descriptors; no byte was sent
    lost, ///< the connection ended before a complete response, or the response was malformed or too large
    timeout, ///< exchange_request::timeout expired; the request may have been sent
};
using exchange_callback = std::function<void(tl::expected<http_answer, exchange_failure>)>;

struct exchange_request {
    http_request content; ///< with all headers except Content-Length, which the pool adds
    std::string idHeader; ///< a response with another value than id in this header is skipped; empty: not checked
    std::string id; ///< expected value of idHeader
    duration timeout { 0 }; ///< zero: no timeout
    /// Use a connection that carries no other request before it. Needed where id does not identify the response,
    /// because the server has received the same id before and may send a late copy of that response.
    bool newConnection = false;
};

/// A response that was not taken for the response to the request that waited on its connection.
struct skipped_response {
    std::string id; ///< of the request that waited
    std::string receivedId; ///< of the response; empty: none
    int status = 0;
    std::uint64_t connection = 0; ///< number of the connection in this pool
};

/// A response that is no HTTP/1.1 message.
struct malformed_response {
    std::string id; ///< of the request that waited
    std::string_view violation; ///< what is wrong with it
    std::uint64_t connection = 0; ///< number of the connection in this pool
};

struct pool_options {
    std::size_t maxConnections = 1000;
    duration connectTimeout = std::chrono::seconds(1);
    duration idleTimeout = std::chrono::seconds(8); ///< if the server sends no Keep-Alive timeout
    /// An idle connection is closed this long before the server may close it.
    duration idleMargin = std::chrono::milliseconds(1200);
    std::size_t maxResponseBytes = 64 << 20; ///< of the body
    body_budget* budget = nullptr; ///< for the bodies of responses while they are read; nullptr: unbounded
    const body_budget* unread = nullptr; ///< nothing is read from the server while it is scarce; nullptr: none
    std::function<void(const skipped_response&)> skipped; ///< called for each skipped final response. Optional.
    std::function<void(const malformed_response&)> malformed; ///< called for each malformed response. Optional.
};

/// Pool of persistent connections to one HTTP server. Each connection carries one request at a time.
class http_pool {
public:
    http_pool(reactor& loop, socket_address server, pool_options options = {});
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    /// Starts an exchange. The callback is called after this function has returned, exactly once unless the exchange is
    /// cancelled. Returns an identifier for cancel().
    std::uint64_t start(exchange_request request, exchange_callback callback);
    /// Aborts an exchange by closing its connection; its callback is not called.
    void cancel(std::uint64_t exchange);
    void setMaxConnections(std::size_t connections);
    /// Opens a connection and reports whether it was established.
    void probe(std::function<void(bool)> callback);
    /// Returns the number of connections started so far, including those that could not be established.
    std::uint64_t connectionsOpened() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Returns the value of the first header with this name, compared case-insensitively, or nullptr.
const std::string* findHeader(const std::vector<header>& headers, std::string_view name);

// ---- Communication between nodes ----

struct frame_links_callbacks {
    std::function<void(mesh::frame_received)> frame;
    std::function<void(mesh::link_closed)> closed; ///< a link was closed or could not be opened
    std::function<void(mesh::link_suspected)> suspected; ///< a suspicion began or ended
    std::function<bool(std::uint64_t link)>
        working; ///< whether messages that arrived over the link are still worked on
};

struct frame_links_options {
    duration connectTimeout = std::chrono::milliseconds(600);
    /// A peer whose replies are expected is pinged after this time without data from it.
    duration pingAfter = std::chrono::milliseconds(300);
    /// A peer is suspected after this time without data from it since a ping.
    duration suspectAfter = std::chrono::milliseconds(350);
    /// A link is closed after this time without data from the peer since a ping, or with sent bytes unacknowledged.
    duration pingTimeout = std::chrono::milliseconds(1600);
    /// A peer whose messages are worked on is pinged after this time without data from it. Longer than pingAfter, since
    /// a peer that waits for a reply usually pings first.
    duration callerPingAfter = std::chrono::milliseconds(700);
    /// A link that the peer opened is closed with sent bytes unacknowledged for this time. Longer than pingTimeout,
    /// since a peer that was paused still takes its replies.
    duration callerAckTimeout = std::chrono::seconds(4);
    duration idleTimeout = std::chrono::seconds(30);
    std::size_t maxFrameBytes = 72 << 20; ///< a link is closed if the peer sends a longer frame
    std::size_t maxQueuedBytes = 96 << 20; ///< a link is closed if more bytes wait to be sent
    /// Rate at which paced messages are written, in bytes per second: within the region, and to another one.
    std::size_t sameRegionPace = 10 << 20;
    std::size_t otherRegionPace = 1 << 20;
    body_budget* budget = nullptr; ///< from which bytes that wait to be sent are taken, even beyond its limit
};

/// TCP connections that carry length-prefixed frames between nodes.
class frame_links {
public:
    frame_links(
        reactor& loop, socket_address address, frame_links_callbacks callbacks, frame_links_options options = {});
    ~frame_links();
    frame_links(const frame_links&) = delete;
    frame_links& operator=(const frame_links&) = delete;

    /// Errors: unavailable if the address cannot be bound.
    result<void> listen();
    /// Sends a message over the link that this node opened to the peer; opens one if there is none. expectedReplyDelta
    /// is added to the number of replies expected from the peer, which every received message reduces by one. While it
    /// is above zero, a silent peer is pinged.
    /// A peer whose messages are worked on is pinged as well: if its end of the link is gone, its system rejects the
    /// ping, and the link closes.
    /// Each class of traffic has a link of its own. A silent peer is not suspected because of a link for bulk.
    void send(const socket_address& peer, std::string_view bytes, int expectedReplyDelta,
        mesh::traffic_class traffic = mesh::traffic_class::calls);
    /// Sends a message over the link on which a frame was received. Drops the message if that link is closed. A paced
    /// message is written as fast as the options allow for all paced messages together, and holds up what is sent over
    /// its link after it.
    void reply(std::uint64_t link, std::string_view bytes, mesh::write_pace pace = mesh::write_pace::unlimited);
    /// Whether bytes wait to be sent to a connected peer.
    bool hasUnsentBytes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// UDP socket for status datagrams between nodes.
class status_socket {
public:
    using receive_callback = std::function<void(mesh::status_received)>;

    status_socket(reactor& loop, socket_address address, receive_callback callback);
    /// Errors: unavailable if the address cannot be bound.
    result<void> open();
    /// Errors: unavailable if the datagram was not sent.
    result<void> send(const socket_address& peer, std::string_view bytes);

private:
    void receive();

    reactor& m_loop;
    socket_address m_address;
    receive_callback m_callback;
    watched_socket m_socket;
};

// ---- Daemon ----

/// Names of the headers that a deployment uses for request metadata.
struct header_names {
    std::string requestId;
    std::string deadline; ///< remaining time in milliseconds until the sender stops waiting
    std::string apiKey; ///< identifies the team of the caller
    std::string team;
    std::string endpoint; ///< the backend server that the request is addressed to
    std::string callerService;
    std::string notExecuted; ///< in a response: the request was not executed
    std::string instanceId; ///< in a response to a health check: identifier of the backend server
    std::string coldRemaining; ///< in a response to a health check: milliseconds for which it is still cold
    std::string signature; ///< in every backend response to a request; a 2xx response without it counts as lost
};

using backend_notice = std::variant<mesh::backend_heartbeat, mesh::backend_deregistration>;

/// Deployment-specific names, parsers and store client that the daemon uses.
struct deployment_adapter {
    header_names headers;
    std::string configurationKey; ///< key of the configuration document in the store
    std::string evacuationPrefix; ///< prefix of the keys of evacuated availability zones in the store
    std::string operatorPrefix; ///< common prefix of both
    std::string entryPrefix; ///< prefix of the keys of node entries in the store
    /// Parses a request to the control address. Errors: notFound for an unknown method or path; any other if the
    /// request is invalid.
    std::function<result<backend_notice>(const http_request&)> parseNotice;
    std::function<result<mesh::configuration>(const std::string& document)> parseConfiguration;
    /// Creates the store client.
    std::function<store_port(reactor& loop, const socket_address& address)> openStore;
};

struct daemon_settings {
    std::string name;
    std::string region;
    std::string availabilityZone;
    std::string service; ///< of the local backend server
    socket_address clientAddress; ///< listens for requests of clients and of the local backend server
    socket_address healthAddress; ///< listens for readiness checks of this node
    socket_address controlAddress; ///< listens for heartbeats and deregistrations of the local backend server
    socket_address linkAddress; ///< TCP links and status datagrams (UDP) between nodes
    /// Where other nodes reach linkAddress, if a forwarder stands in between.
    std::optional<socket_address> advertisedLinkAddress;
    socket_address metricsAddress;
    socket_address backendAddress; ///< of the local backend server
    socket_address storeAddress;
    duration drainTime { 0 }; ///< from the drain acknowledgement until the last call may be sent to the backend server
    /// A process that is still stopping after this time is killed from outside.
    duration stopTime = std::chrono::seconds(6);
    double retryRatio = 0.2; ///< bound on the retries to a service, as a fraction of its requests
    double retryReserve = 50; ///< additional retries that the bound allows, over all nodes
    std::size_t maxDescriptors = 1024; ///< of the process
    std::size_t memoryMb = 256; ///< of the process; a process that exceeds it is killed from outside
    duration retryWindow = std::chrono::seconds(10); ///< in which the bound on retries holds
    duration evacuationTime { 0 }; ///< within which an evacuation is in force; 0: there are none
    double coldOverage = 1; ///< calls that a cold backend server may get in any second, as a multiple of its rate
    double coldReserve = 0; ///< additional calls in any second
    duration heartbeatInterval = std::chrono::milliseconds(1500); ///< of the local backend server
    auto operator<=>(const daemon_settings&) const = default;
};

/// Parses settings in JSON; comments are allowed and unknown members are ignored. Errors: malformed, invalidArgument.
result<daemon_settings> parseDaemonSettings(std::string_view text);

/// A mesh node with its sockets, timers and store client.
class mesh_daemon {
public:
    mesh_daemon(daemon_settings settings, deployment_adapter adapter);
    ~mesh_daemon();
    mesh_daemon(const mesh_daemon&) = delete;
    mesh_daemon& operator=(const mesh_daemon&) = delete;

    /// Opens the sockets and starts the first timers. Errors: unavailable if an address cannot be bound.
    result<void> start();
    /// Runs the event loop until the shutdown started by stop() is complete.
    void run();
    /// Starts a graceful shutdown.
    void stop();
    /// Applies changed limits, times and ratios. A changed name, place, service or address is logged as not applied: it
    /// needs a restart.
    void reload(const daemon_settings& settings);
    /// Logs that the reloaded settings are invalid. The daemon keeps running with the current ones.
    void logRejectedReload(const error& reason);
    reactor& loop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet::proxy
