#pragma once

/// \file http.h
/// HTTP listeners of the daemon: for callers, for the backend server beside this node, and for operators.

#include "gioutil.h"
#include <libsoup/soup.h>
#include <unordered_map>

namespace limpet {

struct http_events {
    std::function<void(caller_request)> request;
    std::function<void(caller_disconnected)> gone;
    std::function<void(const socket_address&, backend_announcement)> announced;
    /// Returns the answer to an operator's request, from method, path and query.
    std::function<http_answer(const std::string&, const std::string&, GHashTable*)> admin;
};

/// Takes requests from callers and from the backend server, and holds them until they are answered.
class http_front {
public:
    http_front(const node_settings& settings, http_events events);
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// Opens the listeners. Errors: unavailable when an address cannot be bound.
    result<void> listen();
    void answer(const answer_caller& answer);
    /// Takes no new connections from callers; open ones go on.
    void stopAccepting();
    /// Reports callers that have closed their connection. libsoup does not notice it while a message is paused. To be
    /// called a few times a second.
    void sweep();

private:
    struct waiting_request {
        gobject_ptr<SoupServerMessage> message;
        gulong finishedHandler = 0;
        bool fromBackend = false;
    };

    result<void> open(gobject_ptr<SoupServer>& server, const socket_address& address, SoupServerCallback callback);
    static void onEarly(
        SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data);
    static void onCaller(
        SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data);
    static void onBackend(
        SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data);
    static void onAdmin(
        SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data);
    static void onChunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    void take(SoupServerMessage* message, bool fromBackend);
    void takeAnnouncement(SoupServerMessage* message);
    bool checkBody(SoupServerMessage* message);

    socket_address m_callerAddress;
    socket_address m_backendAddress;
    socket_address m_adminAddress;
    node_limits m_limits;
    http_events m_events;
    gobject_ptr<SoupServer> m_callers;
    gobject_ptr<SoupServer> m_backend;
    gobject_ptr<SoupServer> m_admin;
    std::unordered_map<std::uint64_t, waiting_request> m_waiting;
    std::uint64_t m_nextCall = 1;
};

} // namespace limpet
