#pragma once

/// \file proxy.h
/// Adapters of a mesh node: an event loop over one epoll descriptor, HTTP/1.1 towards clients and backend servers,
/// frame links and status datagrams between nodes, the structured log, metrics, and the daemon that connects them to
/// the decisions of mesh.h. All of it runs on the thread that drives the loop.

#include <limpetcroft/gobject.h>
#include <limpetcroft/mesh.h>
#include <limpetcroft/store.h>

namespace limpet::proxy {

/// Returns the time of this VM since its start, including suspended time.
time_point bootTime();

// ---- Event loop ----

/// Calls handlers when descriptors are ready or times have come. All descriptors share one epoll descriptor, which is
/// one GLib source: GLib polls every descriptor that has a source of its own at each turn.
class reactor {
public:
    using io_handler = std::function<void(std::uint32_t events)>;
    using timer_handler = std::function<void()>;

    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    /// Watches a descriptor for input, output and hang-up, edge-triggered.
    void watch(int descriptor, io_handler handler);
    void unwatch(int descriptor);
    /// Calls the handler once; returns a number for cancelTimer().
    std::uint64_t callAt(time_point at, timer_handler handler);
    void cancelTimer(std::uint64_t timer);
    /// Calls the handler at the end of each turn.
    void atTurnEnd(timer_handler handler) { m_turnEnd.push_back(std::move(handler)); }
    void run();
    void quit();

private:
    struct watched {
        std::uint64_t serial = 0;
        std::shared_ptr<io_handler> handler;
    };
    void dispatch();
    void runTimers();
    void arm();

    int m_epoll;
    GMainContext* m_context;
    GMainLoop* m_loop;
    gsource_ptr m_source;
    std::unordered_map<int, watched> m_watched;
    std::uint64_t m_nextSerial = 1;
    std::map<std::pair<time_point, std::uint64_t>, timer_handler> m_timers;
    std::unordered_map<std::uint64_t, time_point> m_timerTimes;
    std::vector<timer_handler> m_turnEnd;
};

/// Owns a descriptor that the reactor watches.
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
    double linesPerSecond = 400; ///< of each event
    double burst = 800;
    std::size_t maxBufferedBytes = 256 * 1024;
};

/// Writes one JSON object a line to a descriptor. Each event has a token bucket; dropped lines are counted and reported
/// with the next line of that event. A descriptor that takes no bytes never blocks the process: lines are dropped.
class log_sink {
public:
    log_sink(int descriptor, std::string node, log_limits limits = {});
    void write(const mesh::log_event& line, time_point now);
    void flush();

private:
    struct bucket_state {
        double tokens = 0;
        time_point refilled {};
        std::uint64_t dropped = 0;
    };
    int m_descriptor;
    std::string m_node;
    log_limits m_limits;
    std::map<std::string, bucket_state, std::less<>> m_buckets;
    std::string m_buffer;
};

// ---- HTTP ----

struct server_events {
    /// A whole request; every one is answered once, unless gone() was called for it.
    std::function<void(std::uint64_t exchange, http_request request)> request;
    std::function<void(std::uint64_t exchange)> gone;
};

/// Accepts HTTP/1.1 requests. A request is handed on when it is whole; the next one of its connection waits for its
/// answer.
class http_server {
public:
    http_server(reactor& loop, socket_address address, server_events events);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Errors: unavailable when the address cannot be bound.
    result<void> listen();
    void answer(std::uint64_t exchange, const http_answer& answer);
    void setLimits(const mesh::client_limits& limits);
    /// From now on each answer closes its connection.
    void closeAfterAnswers();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// How an exchange with an HTTP server failed.
enum class exchange_failure : std::uint8_t {
    notSent, ///< no connection; no byte was sent
    lost, ///< the connection ended, or its bytes are no whole answer
    timeout,
};
using exchange_callback = std::function<void(tl::expected<http_answer, exchange_failure>)>;

struct exchange_request {
    http_request content; ///< with every header but Content-Length
    std::string idHeader; ///< answers with another value in this header belong to other requests; empty: not checked
    std::string id;
    duration timeout { 0 }; ///< zero: none
};

struct pool_options {
    std::size_t maxConnections = 1000;
    duration connectTimeout = std::chrono::seconds(1);
    duration idleTimeout = std::chrono::seconds(8); ///< of a connection whose server states none
    duration idleMargin = std::chrono::milliseconds(1200); ///< a connection is left alone this long before its timeout
    std::size_t maxAnswerBytes = 64 << 20;
};

/// Keeps connections to one HTTP server and sends one request at a time on each.
class http_pool {
public:
    http_pool(reactor& loop, socket_address server, pool_options options = {});
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    /// Starts an exchange. The callback runs later, exactly once unless the exchange is cancelled.
    std::uint64_t start(exchange_request request, exchange_callback callback);
    /// Ends an exchange by closing its connection.
    void cancel(std::uint64_t exchange);
    void setMaxConnections(std::size_t connections);
    /// Opens a connection and says whether that worked.
    void probe(std::function<void(bool)> callback);
    std::uint64_t connectionsOpened() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Finds a header without regard to case; nullptr if there is none.
const std::string* findHeader(const std::vector<header>& headers, std::string_view name);

// ---- Between nodes ----

struct links_events {
    std::function<void(mesh::frame_received)> frame;
    std::function<void(mesh::link_closed)> closed;
    std::function<void(mesh::link_suspected)> suspected;
};

struct links_options {
    duration connectTimeout = std::chrono::milliseconds(600);
    duration pingAfter = std::chrono::milliseconds(300); ///< without bytes from a peer that owes some
    duration suspectAfter = std::chrono::milliseconds(350); ///< without bytes after a ping
    duration silence = std::chrono::milliseconds(1600); ///< without bytes after a ping: the link is replaced
    duration idle = std::chrono::seconds(30);
    std::size_t maxFrameBytes = 72 << 20;
    std::size_t maxQueuedBytes = 96 << 20;
};

/// Connections that carry frames between nodes: a length, a kind and the bytes.
class frame_links {
public:
    frame_links(reactor& loop, socket_address address, links_events events, links_options options = {});
    ~frame_links();
    frame_links(const frame_links&) = delete;
    frame_links& operator=(const frame_links&) = delete;

    result<void> listen();
    /// Sends over the link that this node opened to the peer, or opens one. owed: change of the number of messages that
    /// the peer is expected to send back; it is asked for a sign of life while it owes some.
    void send(const socket_address& peer, std::string_view bytes, int owed);
    /// Sends back over a link that a frame came over.
    void reply(std::uint64_t link, std::string_view bytes);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Datagrams between nodes.
class status_socket {
public:
    using receive_callback = std::function<void(mesh::status_received)>;

    status_socket(reactor& loop, socket_address address, receive_callback callback);
    result<void> open();
    /// Errors: unavailable when the datagram was not sent.
    result<void> send(const socket_address& peer, std::string_view bytes);

private:
    void receive();

    reactor& m_loop;
    socket_address m_address;
    receive_callback m_callback;
    watched_socket m_socket;
};

// ---- Daemon ----

/// Names of the headers that a deployment uses for what a request carries.
struct header_names {
    std::string requestId;
    std::string deadline; ///< milliseconds that the sender still waits
    std::string key;
    std::string team;
    std::string endpoint; ///< the backend server that is meant
    std::string callerService;
    std::string notRun; ///< on an answer: the request did not run
    std::string instance; ///< on an answer to a health check: identifier of the backend server
    std::string signature; ///< on every answer of a backend server to a request
};

using backend_notice = std::variant<mesh::backend_heartbeat, mesh::backend_deregistration>;

/// What a deployment's adapter gives to the daemon.
struct deployment {
    header_names headers;
    std::string configurationKey;
    std::string entryPrefix;
    std::function<result<backend_notice>(const http_request&)> parseNotice;
    std::function<result<mesh::configuration>(const std::string& document)> parseConfiguration;
    /// Makes the adapter of the store.
    std::function<store_port(reactor& loop, const socket_address& address)> openStore;
};

struct daemon_settings {
    std::string name;
    std::string region;
    std::string availabilityZone;
    std::string service;
    socket_address clients; ///< listens for clients and for the backend server's own calls
    socket_address health; ///< answers whether this node is ready
    socket_address control; ///< listens for what the backend server says of itself
    socket_address links; ///< TCP and UDP between nodes
    socket_address metrics;
    socket_address backend;
    socket_address store;
    duration drainTime { 0 };
    duration stopTime { 0 }; ///< after which a stopping process is killed
    double retryRatio = 0.2;
    double retryReserve = 50;
    std::size_t maxDescriptors = 1024;
    auto operator<=>(const daemon_settings&) const = default;
};

/// Parses settings: JSON with comments. Unknown members are ignored. Errors: malformed, invalidArgument.
result<daemon_settings> parseDaemonSettings(std::string_view text);

class mesh_daemon {
public:
    mesh_daemon(daemon_settings settings, deployment adapter);
    ~mesh_daemon();
    mesh_daemon(const mesh_daemon&) = delete;
    mesh_daemon& operator=(const mesh_daemon&) = delete;

    result<void> start();
    /// Runs until a planned stop has ended.
    void run();
    /// Begins a graceful stop.
    void stop();
    /// Takes changed settings; what cannot change while running is logged.
    void reload(const daemon_settings& settings);
    /// Notes in the log that changed settings cannot be used; the present ones stay.
    void rejectReload(const error& why);
    reactor& loop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet::proxy
