#include "server.h"
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    constexpr const char* jsonType = "application/json";

    std::string headerOf(SoupMessageHeaders* headers, const char* key)
    {
        const char* value = soup_message_headers_get_one(headers, key);
        return value ? value : "";
    }

    std::optional<std::uint64_t> parseCount(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (status != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string queryValue(GHashTable* query, const char* key)
    {
        const auto* value = query ? static_cast<const char*>(g_hash_table_lookup(query, key)) : nullptr;
        return value ? value : "";
    }

    void respond(SoupServerMessage* message, int status, const std::string& body)
    {
        soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
        soup_server_message_set_response(message, jsonType, SOUP_MEMORY_COPY, body.data(), body.size());
    }

    std::string reasonBody(std::string_view reason) { return nlohmann::json { { "reason", reason } }.dump(); }

    gobject_ptr<SoupSession> makeSession()
    {
        constexpr int maxConnections = 10'000; // a call may wait for a node, never for a connection
        auto session = adopt(
            soup_session_new_with_options("max-conns", maxConnections, "max-conns-per-host", maxConnections, nullptr));
        // Proxies of the environment must not see calls to the node.
        soup_session_set_proxy_resolver(session.get(), nullptr);
        return session;
    }

} // namespace

result<std::unique_ptr<recorder>> recorder::open(const std::string& fileName)
{
    auto record = std::make_unique<recorder>();
    if (fileName.empty())
        return record;
    record->m_file.open(fileName, std::ios::app | std::ios::binary);
    if (!record->m_file)
        return fail(error_kind::notFound, fileName + " cannot be opened for appending; check the path");
    return record;
}

void recorder::add(const history_event& event)
{
    if (m_file.is_open())
        m_file << printEvent(event) << '\n' << std::flush;
}

struct backend_server::call {
    call_id id = 0;
    backend_server* owner = nullptr;
    gobject_ptr<SoupServerMessage> message;
    run_started run;
    std::string context; ///< value of Limpet-Context
    std::size_t answerBytes = 0;
    bool running = false;
    std::size_t nextCall = 0;
    gobject_ptr<GCancellable> cancellable = adopt(g_cancellable_new());
    source_handle serviceTimer;
    source_handle deadlineTimer;
    source_handle connectionWatch;
};

backend_server::backend_server(
    const backend_options& options, const server_options& server, recorder& record, std::uint64_t seed)
    : m_options(options)
    , m_server(server)
    , m_record(record)
    , m_model(options, server, seed, monotonicNow())
    , m_http(adopt(soup_server_new("server-header", "limpetbackend", nullptr)))
    , m_session(makeSession())
{
    std::erase_if(m_options.calls,
        [&](const backend_call& call) { return !call.service.empty() && call.service != server.service; });
    soup_server_add_handler(m_http.get(), nullptr, onRequest, this, nullptr);
}

backend_server::~backend_server()
{
    for (const auto& [id, request] : m_calls)
        g_cancellable_cancel(request->cancellable.get());
    soup_session_abort(m_session.get());
    soup_server_disconnect(m_http.get());
}

result<void> backend_server::listen()
{
    // With the default backlog of 10 a surge of connections would be dropped before this program can refuse it.
    constexpr int listenBacklog = 4096;
    const auto address = adopt(g_inet_socket_address_new_from_string(m_server.listen.ip.c_str(), m_server.listen.port));
    GError* failure = nullptr;
    const auto socket = adopt(g_socket_new(
        g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &failure));
    if (socket)
        g_socket_set_listen_backlog(socket.get(), listenBacklog);
    if (!socket || !g_socket_bind(socket.get(), address.get(), TRUE, &failure)
        || !g_socket_listen(socket.get(), &failure)
        || !soup_server_listen_socket(m_http.get(), socket.get(), static_cast<SoupServerListenOptions>(0), &failure)) {
        const gerror_ptr owned(failure);
        return fail(
            error_kind::unavailable, "cannot listen on " + name() + ": " + owned->message + "; use a free port");
    }
    announceEverySecond();
    return {};
}

void backend_server::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    m_record.add(server_leaving { monotonicNow(), name() });
    announce();
}

server_model::load backend_server::currentLoad() const { return { m_running, m_queue.size(), m_draining }; }

void backend_server::onRequest(
    SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self)
{
    auto* server = static_cast<backend_server*>(self);
    ++server->m_open;
    g_signal_connect(message, "finished", G_CALLBACK(onMessageFinished), server);
    const std::string_view place = path;
    if (place.starts_with("/control/") || place == "/health" || place == "/load")
        server->handleControl(message, place, query);
    else
        server->handleRequest(message, path, query);
}

void backend_server::onMessageFinished(SoupServerMessage*, gpointer self)
{
    --static_cast<backend_server*>(self)->m_open;
}

void backend_server::handleControl(SoupServerMessage* message, std::string_view path, GHashTable* query)
{
    const auto shown = m_model.shownLoad(currentLoad());
    const std::string_view method = soup_server_message_get_method(message);
    if (path == "/health")
        return respond(
            message, shown.draining ? 503 : 200, shown.draining ? R"({"state":"draining"})" : R"({"state":"up"})");
    if (path == "/load")
        return respond(message, 200,
            nlohmann::json {
                { "in_flight", shown.inFlight }, { "queued", shown.queued }, { "slots", m_model.shownSlots() } }
                .dump());
    if (path == "/control/state")
        return respond(message, 200,
            nlohmann::json { { "in_flight", m_running }, { "queued", m_queue.size() }, { "draining", m_draining } }
                .dump());
    if (method != "POST")
        return respond(message, 405, reasonBody("use POST"));
    if (path == "/control/drain") {
        drain();
    } else if (path == "/control/slow") {
        char* end = nullptr;
        const auto text = queryValue(query, "factor");
        const double factor = std::strtod(text.c_str(), &end);
        const bool valid = !text.empty() && *end == '\0' && factor > 0 && factor <= 1000;
        if (!valid)
            return respond(message, 400, reasonBody("factor is a number above 0 up to 1000"));
        m_model.setSlowFactor(factor);
    } else {
        return respond(message, 404, reasonBody("use /control/drain, /control/slow or /control/state"));
    }
    respond(message, 200, "{}");
}

bool backend_server::readHeaders(call& request, SoupServerMessage* message)
{
    auto* headers = soup_server_message_get_request_headers(message);
    request.context = headerOf(headers, "Limpet-Context");
    request.run.server = name();
    request.run.service = m_server.service;
    request.run.request = headerOf(headers, "Test-Request");
    request.run.requestId = headerOf(headers, "Limpet-Request-Id");
    request.run.attemptId = headerOf(headers, "Limpet-Attempt-Id");
    request.run.method = soup_server_message_get_method(message);
    request.run.authorizationSeen = soup_message_headers_get_one(headers, "Authorization") != nullptr;
    const auto deadline = headerOf(headers, "Limpet-Deadline-Ms");
    if (deadline.empty())
        return true;
    const auto milliseconds = parseCount(deadline);
    if (milliseconds.value_or(0) == 0)
        return false;
    const auto bounded = std::chrono::milliseconds(std::min<std::uint64_t>(*milliseconds, 3'600'000));
    request.deadlineTimer = callAt(monotonicNow() + bounded,
        [this, id = request.id] { endCall(id, run_outcome::expired, 504, reasonBody("deadline exceeded")); });
    return true;
}

void backend_server::handleRequest(SoupServerMessage* message, const char* path, GHashTable* query)
{
    if (m_draining) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
        return respond(message, 503, reasonBody("draining"));
    }
    if (m_running >= m_server.slots && m_queue.size() >= m_options.queueBound)
        return respond(message, 503, reasonBody("overloaded"));
    auto created = std::make_unique<call>();
    call& request = *created;
    request.id = ++m_lastCall;
    request.owner = this;
    request.answerBytes = std::min<std::uint64_t>(
        parseCount(queryValue(query, "bytes")).value_or(m_options.answerBytes), 64UL * 1024 * 1024);
    if (!readHeaders(request, message))
        return respond(message, 504, reasonBody("deadline exceeded"));
    request.run.path = path;
    request.message = share(message);
    soup_server_message_pause(message);
    watchConnection(request);
    m_calls.emplace(request.id, std::move(created));
    m_queue.push_back(request.id);
    startQueued();
}

void backend_server::watchConnection(call& request)
{
    // A paused message does not read from its connection, so it does not notice that the caller went away.
    GSocket* socket = soup_server_message_get_socket(request.message.get());
    if (!socket)
        return;
    GSource* source = g_socket_create_source(socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(onSocketReady), &request, nullptr);
    g_source_attach(source, nullptr);
    request.connectionWatch = source_handle(source);
}

gboolean backend_server::onSocketReady(GSocket* socket, GIOCondition, gpointer data)
{
    auto* request = static_cast<call*>(data);
    char byte = 0;
    GInputVector buffer { &byte, 1 };
    int flags = G_SOCKET_MSG_PEEK;
    const auto received
        = g_socket_receive_message(socket, nullptr, &buffer, 1, nullptr, nullptr, &flags, nullptr, nullptr);
    // Otherwise the next request waits on the connection; its bytes would wake this source all the time.
    if (received <= 0)
        request->owner->endCall(request->id, run_outcome::cancelled, 499, reasonBody("cancelled"));
    return G_SOURCE_REMOVE;
}

void backend_server::startQueued()
{
    while (!m_queue.empty() && m_running < m_server.slots) {
        const auto found = m_calls.find(m_queue.front());
        m_queue.pop_front();
        if (found != m_calls.end())
            start(*found->second);
    }
}

void backend_server::start(call& request)
{
    const auto now = monotonicNow();
    request.running = true;
    ++m_running;
    request.run.time = now;
    m_record.add(request.run);
    const auto id = request.id;
    request.serviceTimer = callAt(now + m_model.drawServiceTime(now), [this, id] { makeNextCall(*m_calls.at(id)); });
}

void backend_server::makeNextCall(call& request)
{
    if (request.nextCall == m_options.calls.size() || !m_server.node) {
        const auto& run = request.run;
        const auto body
            = printAnswer({ run.request, run.requestId, run.path, run.server, std::string(request.answerBytes, 'x') });
        return endCall(request.id, run_outcome::finished, 200, body);
    }
    const auto index = request.nextCall++;
    const auto& next = m_options.calls[index];
    const auto uri = "http://" + printAddress(*m_server.node) + next.path;
    const auto message = adopt(soup_message_new(next.method.c_str(), uri.c_str()));
    if (!message)
        return endCall(request.id, run_outcome::failed, 500, reasonBody("the call has an invalid path"));
    auto* headers = soup_message_get_request_headers(message.get());
    soup_message_headers_replace(headers, "Limpet-Context", request.context.c_str());
    const auto child = request.run.request + "/" + std::to_string(index);
    soup_message_headers_replace(headers, "Test-Request", child.c_str());
    // The call may be gone when the answer comes, so the callback holds its id.
    auto* reference = new std::pair<backend_server*, call_id>(this, request.id);
    soup_session_send_and_read_async(
        m_session.get(), message.get(), G_PRIORITY_DEFAULT, request.cancellable.get(), onChildDone, reference);
}

void backend_server::onChildDone(GObject* session, GAsyncResult* outcome, gpointer data)
{
    const std::unique_ptr<std::pair<backend_server*, call_id>> reference(
        static_cast<std::pair<backend_server*, call_id>*>(data));
    GError* failure = nullptr;
    const gbytes_ptr body(soup_session_send_and_read_finish(SOUP_SESSION(session), outcome, &failure));
    const gerror_ptr owned(failure);
    // A cancelled call has ended, and with it perhaps the server.
    if (owned && g_error_matches(owned.get(), G_IO_ERROR, G_IO_ERROR_CANCELLED))
        return;
    auto* message = soup_session_get_async_result_message(SOUP_SESSION(session), outcome);
    const int status = body ? static_cast<int>(soup_message_get_status(message)) : 0;
    auto& server = *reference->first;
    const auto found = server.m_calls.find(reference->second);
    if (found == server.m_calls.end())
        return;
    if (status >= 200 && status < 300)
        return server.makeNextCall(*found->second);
    const nlohmann::json reason { { "reason", "call failed" }, { "status", status } };
    server.endCall(reference->second, run_outcome::failed, 502, reason.dump());
}

void backend_server::endCall(call_id id, run_outcome outcome, int status, const std::string& body)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto request = std::move(found->second);
    m_calls.erase(found);
    g_cancellable_cancel(request->cancellable.get());
    if (request->running) {
        --m_running;
        m_record.add(
            run_ended { monotonicNow(), request->run.server, request->run.request, request->run.attemptId, outcome });
    } else {
        std::erase(m_queue, id);
    }
    respond(request->message.get(), status, body);
    soup_server_message_unpause(request->message.get());
    startQueued();
}

void backend_server::announceEverySecond()
{
    m_model.note(currentLoad());
    announce();
    m_announceTimer = callAt(monotonicNow() + std::chrono::seconds(1), [this] { announceEverySecond(); });
}

void backend_server::announce()
{
    if (!m_server.node)
        return;
    const nlohmann::json announcement { { "service", m_server.service }, { "address", name() },
        { "slots", m_model.shownSlots() }, { "state", m_draining ? "draining" : "up" } };
    const auto text = announcement.dump();
    const auto uri = "http://" + printAddress(*m_server.node) + "/announce";
    const auto message = adopt(soup_message_new("POST", uri.c_str()));
    const gbytes_ptr body(g_bytes_new(text.data(), text.size()));
    soup_message_set_request_body_from_bytes(message.get(), jsonType, body.get());
    // A lost announcement is repeated after a second.
    const auto done = [](GObject* session, GAsyncResult* outcome, gpointer) {
        const gbytes_ptr ignored(soup_session_send_and_read_finish(SOUP_SESSION(session), outcome, nullptr));
    };
    soup_session_send_and_read_async(m_session.get(), message.get(), G_PRIORITY_DEFAULT, nullptr, done, nullptr);
}

} // namespace limpet
