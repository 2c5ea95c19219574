#pragma once

#include "model.h"
#include <fstream>
#include <libsoup/soup.h>
#include <limpetcroft/check.h>
#include <limpetcroft/gobject.h>
#include <unordered_map>

namespace limpet {

/// Appends events to a file, one per line. Each line is written at once, so that a killed process loses none.
class recorder {
public:
    /// An empty name records nothing.
    static result<std::unique_ptr<recorder>> open(const std::string& fileName);
    void add(const history_event& event);

private:
    std::ofstream m_file;
};

/// One backend server: an HTTP server with a number of slots and a queue.
class backend_server {
public:
    backend_server(const backend_options& options, const server_options& server, recorder& record, std::uint64_t seed);
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;
    ~backend_server();

    result<void> listen();
    /// Takes no new requests from now on and says so.
    void drain();
    /// Whether every answer has been written.
    bool idle() const { return m_open == 0; }

private:
    /// A request between its arrival and its answer.
    struct call;
    using call_id = std::uint64_t;

    static void onRequest(
        SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    static void onMessageFinished(SoupServerMessage* message, gpointer self);
    static void onChildDone(GObject* session, GAsyncResult* outcome, gpointer data);
    static gboolean onSocketReady(GSocket* socket, GIOCondition condition, gpointer data);

    void handleControl(SoupServerMessage* message, std::string_view path, GHashTable* query);
    void handleRequest(SoupServerMessage* message, const char* path, GHashTable* query);
    bool readHeaders(call& request, SoupServerMessage* message);
    void watchConnection(call& request);
    void start(call& request);
    void makeNextCall(call& request);
    void endCall(call_id id, run_outcome outcome, int status, const std::string& body);
    void startQueued();
    void announce();
    void announceEverySecond();
    server_model::load currentLoad() const;
    std::string name() const { return printAddress(m_server.listen); }

    backend_options m_options;
    server_options m_server;
    recorder& m_record;
    server_model m_model;
    gobject_ptr<SoupServer> m_http;
    gobject_ptr<SoupSession> m_session;
    std::unordered_map<call_id, std::unique_ptr<call>> m_calls;
    std::deque<call_id> m_queue;
    call_id m_lastCall = 0;
    std::size_t m_running = 0;
    std::size_t m_open = 0; ///< messages that are not finished
    bool m_draining = false;
    source_handle m_announceTimer;
};

} // namespace limpet
