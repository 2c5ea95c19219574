#pragma once

/// \file net.h
/// Adapters of the daemon: HTTP towards callers, operators and the backend server, links between nodes, the store
/// client on a task of its own, metrics, and the daemon that connects them to the decision core.

#include <gio/gio.h>
#include <limpetcroft/node.h>
#include <limpetcroft/rules.h>

namespace limpet {

/// Returns the time of this VM since its start, including suspended time.
time_point bootTime();

struct link_settings {
    node_id self;
    incarnation run = 0;
    std::vector<fleet_key> keys;
    socket_address address; ///< to listen on; port 0 takes a free port
    duration heartbeatInterval = std::chrono::seconds(1);
    duration silence = std::chrono::seconds(3); ///< a link without bytes for so long is replaced
    duration idle = std::chrono::seconds(10); ///< a link without messages for so long is closed
    duration connectTimeout = std::chrono::seconds(2);
};

struct link_events {
    std::function<void(node_id peer, incarnation run)> opened;
    /// The link that messages to the peer were sent over has closed. Not opened: none of them left this process.
    std::function<void(node_id peer, bool opened)> closed;
    std::function<void(link_message)> message;
};

/// Links to other nodes. All use is on the thread that drives the context.
class link_pool {
public:
    link_pool(GMainContext* context, link_settings settings, link_events events);
    ~link_pool();
    link_pool(const link_pool&) = delete;
    link_pool& operator=(const link_pool&) = delete;

    /// Starts accepting. Errors: unavailable when the address cannot be bound.
    result<void> listen();
    /// Address that it listens on.
    socket_address address() const;
    /// Sends one message, over a new link if there is none. With a zero node only the address counts.
    void send(node_id to, const socket_address& address, std::string bytes);
    std::size_t openLinks() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Calls to the backend server beside this node, over libsoup.
class backend_client {
public:
    using result_callback = std::function<void(backend_result)>;

    /// Must be made on the thread that drives the context, with that context as the thread's default.
    explicit backend_client(std::size_t maxBodyBytes, result_callback callback);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    void setAddress(const socket_address& address);
    void call(const call_backend& request);
    void cancel(const request_id& attempt);
    /// Ends calls that got no answer within their timeout. To be called a few times a second.
    void sweep(time_point now);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Counts and latencies of one daemon, in the text exposition format.
class metrics {
public:
    metrics();
    ~metrics();
    void countAnswer(int status, duration latency);
    void countRefusal(refusal_reason reason, duration latency);
    /// Counts a request against the rate of a team. At most 200 teams have a label; the others share "other".
    void countToken(const std::string& team);
    /// Returns the page. Labels are bounded.
    std::string page(const node_statistics& figures) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// One daemon: the decision core with its adapters on one GMainContext, and the store client on a thread of its own.
class node_daemon {
public:
    explicit node_daemon(node_settings settings);
    ~node_daemon();
    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;

    /// Opens all listeners and joins the fleet. Errors: unavailable when an address cannot be bound.
    result<void> start();
    /// Runs until stop() has been called and everything in flight has ended.
    void run();
    /// Begins a graceful shutdown. May be called from a signal source of the same context.
    void stop();
    GMainContext* context() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
