#include "http.h"
#include "headers.h"
#include <charconv>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <strings.h>
#include <sys/socket.h>

namespace limpet {
namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr const char* oversizedMark = "limpet-oversized";
    constexpr const char* receivedMark = "limpet-received";

    std::string text(const char* value) { return value ? value : ""; }

    std::string headerOf(SoupMessageHeaders* headers, const char* name)
    {
        return text(soup_message_headers_get_one(headers, name));
    }

    /// Whether the peer of a socket has closed the connection.
    bool peerClosed(GSocket* socket)
    {
        if (!socket || g_socket_is_closed(socket))
            return true;
        char byte = 0;
        return recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    /// Returns the digest of the key that came with a request, and leaves no copy of the key.
    std::optional<digest> takeKey(SoupMessageHeaders* headers)
    {
        auto value = headerOf(headers, "Authorization");
        soup_message_headers_remove(headers, "Authorization");
        if (value.size() <= bearerPrefix.size()
            || strncasecmp(value.c_str(), bearerPrefix.data(), bearerPrefix.size()) != 0)
            return std::nullopt;
        const auto key = digestOf(std::string_view(value).substr(bearerPrefix.size()));
        sodium_memzero(value.data(), value.size());
        return key;
    }

    duration deadlineOf(SoupMessageHeaders* headers)
    {
        const auto value = headerOf(headers, "Limpet-Deadline-Ms");
        std::uint32_t milliseconds = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size())
            return duration::zero();
        return std::chrono::milliseconds(milliseconds);
    }

    void fill(SoupServerMessage* message, const http_answer& answer)
    {
        soup_server_message_set_status(message, static_cast<guint>(answer.status), nullptr);
        auto* headers = soup_server_message_get_response_headers(message);
        for (const auto& each : answer.headers)
            soup_message_headers_append(headers, each.name.c_str(), each.value.c_str());
        auto* body = soup_server_message_get_response_body(message);
        if (answer.body && !answer.body->empty())
            soup_message_body_append(body, SOUP_MEMORY_COPY, answer.body->data(), answer.body->size());
    }

    std::size_t headerBytes(SoupMessageHeaders* headers)
    {
        std::size_t total = 0;
        SoupMessageHeadersIter iterator;
        soup_message_headers_iter_init(&iterator, headers);
        const char* name = nullptr;
        const char* value = nullptr;
        while (soup_message_headers_iter_next(&iterator, &name, &value))
            total += std::string_view(name).size() + std::string_view(value).size() + 4;
        return total;
    }

    /// Returns nullptr with the problem set on failure.
    gobject_ptr<GSocket> listeningSocket(GSocketAddress* address, GError** problem)
    {
        gobject_ptr<GSocket> socket(
            g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, problem));
        if (!socket)
            return nullptr;
        g_socket_set_listen_backlog(socket.get(), listenBacklog);
        if (!g_socket_bind(socket.get(), address, TRUE, problem) || !g_socket_listen(socket.get(), problem))
            return nullptr;
        return socket;
    }

    void refuse(SoupServerMessage* message, refusal_reason reason, std::string detail)
    {
        fill(message, renderRefusal({ reason, execution_state::notExecuted, duration::zero(), std::move(detail) }, {}));
    }

} // namespace

http_front::http_front(const node_settings& settings, http_events events)
    : m_callerAddress(settings.callerAddress)
    , m_backendAddress(settings.backendAddress)
    , m_adminAddress(settings.adminAddress)
    , m_limits(settings.limits)
    , m_events(std::move(events))
{
}

http_front::~http_front()
{
    for (auto& [call, waiting] : m_waiting)
        g_signal_handler_disconnect(waiting.message.get(), waiting.finishedHandler);
}

result<void> http_front::open(
    gobject_ptr<SoupServer>& server, const socket_address& address, SoupServerCallback callback)
{
    server.reset(soup_server_new("server-header", nullptr, nullptr));
    soup_server_add_early_handler(server.get(), nullptr, &http_front::onEarly, this, nullptr);
    soup_server_add_handler(server.get(), nullptr, callback, this, nullptr);
    const auto target = toGlib(address);
    GError* problem = nullptr;
    const auto socket = target ? listeningSocket(target.get(), &problem) : nullptr;
    if (!socket
        || !soup_server_listen_socket(server.get(), socket.get(), static_cast<SoupServerListenOptions>(0), &problem))
        return tl::unexpected<error>(
            takeError(error_kind::unavailable, problem, "choose a free address in place of " + printAddress(address)));
    return {};
}

result<void> http_front::listen()
{
    auto opened = open(m_callers, m_callerAddress, &http_front::onCaller);
    if (opened)
        opened = open(m_backend, m_backendAddress, &http_front::onBackend);
    if (opened)
        opened = open(m_admin, m_adminAddress, &http_front::onAdmin);
    return opened;
}

/// Bounds the size of a request before its body is read.
void http_front::onEarly(
    SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
{
    auto* self = static_cast<http_front*>(data);
    auto* headers = soup_server_message_get_request_headers(message);
    const bool longBody
        = static_cast<std::size_t>(soup_message_headers_get_content_length(headers)) > self->m_limits.maxBodyBytes;
    if (longBody || headerBytes(headers) > self->m_limits.maxHeaderBytes) {
        refuse(message, refusal_reason::tooLarge, longBody ? "the body is too long" : "the headers are too long");
        // The rest of the request is not read, so the connection cannot be used again.
        soup_message_headers_append(soup_server_message_get_response_headers(message), "Connection", "close");
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&http_front::onChunk), self);
}

/// Stops storing a body of unstated length when it grows too long.
void http_front::onChunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
{
    auto* self = static_cast<http_front*>(data);
    auto* object = G_OBJECT(message);
    const auto received = GPOINTER_TO_SIZE(g_object_get_data(object, receivedMark)) + g_bytes_get_size(chunk);
    g_object_set_data(object, receivedMark, GSIZE_TO_POINTER(received));
    if (received <= self->m_limits.maxBodyBytes)
        return;
    g_object_set_data(object, oversizedMark, GSIZE_TO_POINTER(1));
    auto* body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
}

bool http_front::checkBody(SoupServerMessage* message)
{
    if (!g_object_get_data(G_OBJECT(message), oversizedMark))
        return true;
    refuse(message, refusal_reason::tooLarge, "the body is too long");
    return false;
}

void http_front::onCaller(
    SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
{
    static_cast<http_front*>(data)->take(message, false);
}

void http_front::onBackend(
    SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer data)
{
    auto* self = static_cast<http_front*>(data);
    if (std::string_view(path) == "/announce")
        self->takeAnnouncement(message);
    else
        self->take(message, true);
}

void http_front::onAdmin(
    SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data)
{
    auto* self = static_cast<http_front*>(data);
    fill(message, self->m_events.admin(soup_server_message_get_method(message), path, query));
}

void http_front::take(SoupServerMessage* message, bool fromBackend)
{
    if (!checkBody(message))
        return;
    auto* headers = soup_server_message_get_request_headers(message);
    caller_request request;
    request.call = m_nextCall++;
    request.fromBackend = fromBackend;
    request.key = takeKey(headers);
    request.idempotencyKey = headerOf(headers, "Idempotency-Key");
    request.deadline = deadlineOf(headers);
    if (fromBackend)
        request.parentToken = headerOf(headers, "Limpet-Context");
    request.content.method = soup_server_message_get_method(message);
    GUri* uri = soup_server_message_get_uri(message);
    request.content.path = text(g_uri_get_path(uri));
    if (const char* query = g_uri_get_query(uri))
        request.content.path += "?" + std::string(query);
    request.content.headers = endToEndHeaders(headers);
    GBytes* body = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
    request.content.body = makeBytes(std::string(bytes ? bytes : "", size));
    g_bytes_unref(body);

    soup_server_message_pause(message);
    waiting_request waiting;
    waiting.message.reset(SOUP_SERVER_MESSAGE(g_object_ref(message)));
    waiting.fromBackend = fromBackend;
    struct finished_data {
        http_front* front;
        std::uint64_t call;
    };
    // A message that finishes while it waits has lost its caller.
    waiting.finishedHandler = g_signal_connect_data(
        message, "finished", G_CALLBACK(+[](SoupServerMessage* /*message*/, gpointer data) {
            const auto* finished = static_cast<finished_data*>(data);
            auto* front = finished->front;
            const auto call = finished->call;
            const auto found = front->m_waiting.find(call);
            if (found == front->m_waiting.end())
                return;
            g_signal_handler_disconnect(found->second.message.get(), found->second.finishedHandler);
            front->m_waiting.erase(found);
            front->m_events.gone({ call });
        }),
        new finished_data { this, request.call },
        [](gpointer data, GClosure* /*closure*/) { delete static_cast<finished_data*>(data); },
        static_cast<GConnectFlags>(0));
    m_waiting.emplace(request.call, std::move(waiting));
    m_events.request(std::move(request));
}

void http_front::answer(const answer_caller& answer)
{
    const auto found = m_waiting.find(answer.call);
    if (found == m_waiting.end())
        return;
    const auto waiting = std::move(found->second);
    m_waiting.erase(found);
    auto* message = waiting.message.get();
    g_signal_handler_disconnect(message, waiting.finishedHandler);
    fill(message, answer.content);
    if (answer.closeConnection && !waiting.fromBackend)
        soup_message_headers_append(soup_server_message_get_response_headers(message), "Connection", "close");
    soup_server_message_unpause(message);
}

void http_front::takeAnnouncement(SoupServerMessage* message)
{
    GBytes* flat = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(flat, &size));
    const auto json = nlohmann::json::parse(bytes, bytes + size, nullptr, false);
    g_bytes_unref(flat);
    const auto stringOf = [&](const char* key) {
        const auto found = json.is_object() ? json.find(key) : json.end();
        return json.is_object() && found != json.end() && found->is_string() ? found->get<std::string>()
                                                                             : std::string();
    };
    const auto address = parseAddress(stringOf("address"));
    const auto service = stringOf("service");
    const auto slots = json.is_object() ? json.find("slots") : json.end();
    const bool hasSlots = json.is_object() && slots != json.end() && slots->is_number_unsigned();
    if (!address || service.empty() || service.size() > maxNameBytes || !hasSlots) {
        refuse(message, refusal_reason::malformed,
            "an announcement is {\"service\":NAME,\"address\":\"IP:PORT\",\"slots\":N,\"state\":\"up\"|\"draining\"}");
        return;
    }
    constexpr std::uint64_t mostSlots = 100000;
    const auto count = static_cast<unsigned>(std::min(slots->get<std::uint64_t>(), mostSlots));
    m_events.announced(*address, { service, count, stringOf("state") == "draining" });
    soup_server_message_set_status(message, SOUP_STATUS_NO_CONTENT, nullptr);
}

void http_front::sweep()
{
    std::vector<std::uint64_t> gone;
    for (const auto& [call, waiting] : m_waiting) {
        if (peerClosed(soup_server_message_get_socket(waiting.message.get())))
            gone.push_back(call);
    }
    for (const auto call : gone) {
        const auto found = m_waiting.find(call);
        if (found == m_waiting.end())
            continue;
        const auto waiting = std::move(found->second);
        m_waiting.erase(found);
        g_signal_handler_disconnect(waiting.message.get(), waiting.finishedHandler);
        m_events.gone({ call });
        // Lets libsoup finish the exchange and release the connection.
        soup_server_message_set_status(waiting.message.get(), SOUP_STATUS_BAD_REQUEST, nullptr);
        soup_server_message_unpause(waiting.message.get());
    }
}

void http_front::stopAccepting() { soup_server_disconnect(m_callers.get()); }

} // namespace limpet
