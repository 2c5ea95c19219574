#include "gioutil.h"
#include "headers.h"
#include <libsoup/soup.h>
#include <unordered_map>

namespace limpet {
namespace {

    constexpr int maxBackendConnections = 1000;
    constexpr int idleConnectionSeconds = 30;

    struct pending_call {
        gobject_ptr<SoupMessage> message;
        gobject_ptr<GCancellable> cancellable;
        time_point deadline {};
        bool timedOut = false;
    };

} // namespace

struct backend_client::state {
    /// Keeps the state alive until the callback of one call has run.
    struct call_handle {
        std::shared_ptr<state> owner;
        request_id attempt;
    };

    gobject_ptr<SoupSession> session;
    std::string baseUrl;
    std::size_t maxBodyBytes = 0;
    result_callback callback;
    std::unordered_map<request_id, pending_call> calls;

    void finish(const request_id& attempt, GAsyncResult* async);
    tl::expected<http_answer, backend_failure> read(const pending_call& call, GAsyncResult* async) const;
};

/// Turns the end of an exchange into a whole answer or a failure.
tl::expected<http_answer, backend_failure> backend_client::state::read(
    const pending_call& call, GAsyncResult* async) const
{
    GError* problem = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(session.get(), async, &problem);
    if (!bytes) {
        const bool refused = g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        const bool cancelled = g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_CANCELLED);
        g_clear_error(&problem);
        if (refused)
            return tl::unexpected(backend_failure::notSent);
        if (call.timedOut)
            return tl::unexpected(backend_failure::timeout);
        return tl::unexpected(cancelled ? backend_failure::cancelled : backend_failure::connectionLost);
    }
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    http_answer answer;
    answer.status = static_cast<int>(soup_message_get_status(call.message.get()));
    answer.body = makeBytes(std::string(data ? data : "", size));
    g_bytes_unref(bytes);
    auto* headers = soup_message_get_response_headers(call.message.get());
    const bool hasLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const auto length = static_cast<std::size_t>(soup_message_headers_get_content_length(headers));
    const bool expectsBody = std::string_view(soup_message_get_method(call.message.get())) != "HEAD";
    if ((hasLength && expectsBody && length != size) || size > maxBodyBytes)
        return tl::unexpected(backend_failure::connectionLost);
    answer.headers = endToEndHeaders(headers);
    return answer;
}

void backend_client::state::finish(const request_id& attempt, GAsyncResult* async)
{
    const auto found = calls.find(attempt);
    if (found == calls.end())
        return;
    backend_result result { attempt, read(found->second, async) };
    calls.erase(found);
    callback(std::move(result));
}

backend_client::backend_client(std::size_t maxBodyBytes, result_callback callback)
    : m_state(std::make_shared<state>())
{
    m_state->maxBodyBytes = maxBodyBytes;
    m_state->callback = std::move(callback);
    m_state->session.reset(soup_session_new_with_options("max-conns", maxBackendConnections, "max-conns-per-host",
        maxBackendConnections, "idle-timeout", idleConnectionSeconds, nullptr));
    // Bodies travel as they are; decoding one would change its length.
    soup_session_remove_feature_by_type(m_state->session.get(), SOUP_TYPE_CONTENT_DECODER);
}

backend_client::~backend_client()
{
    for (auto& [attempt, call] : m_state->calls)
        g_cancellable_cancel(call.cancellable.get());
}

void backend_client::setAddress(const socket_address& address) { m_state->baseUrl = "http://" + printAddress(address); }

void backend_client::call(const call_backend& request)
{
    const std::string url = m_state->baseUrl + request.content.path;
    SoupMessage* message
        = m_state->baseUrl.empty() ? nullptr : soup_message_new(request.content.method.c_str(), url.c_str());
    if (!message) {
        // Not called back from here: the core is still handling the event that caused the call.
        post(g_main_context_get_thread_default(), [owner = m_state, attempt = request.attempt] {
            owner->callback({ attempt, tl::unexpected(backend_failure::notSent) });
        });
        return;
    }
    auto* headers = soup_message_get_request_headers(message);
    for (const auto& each : request.content.headers)
        soup_message_headers_append(headers, each.name.c_str(), each.value.c_str());
    if (request.content.body && !request.content.body->empty()) {
        const auto& body = *request.content.body;
        GBytes* bytes = g_bytes_new(body.data(), body.size());
        soup_message_set_request_body_from_bytes(message, nullptr, bytes);
        g_bytes_unref(bytes);
    }
    // On a connection that has been used, libsoup sends a request again when the connection turns out to be closed. A
    // new connection rules that out.
    if (!request.idempotent)
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    auto* cancellable = g_cancellable_new();
    m_state->calls[request.attempt] = { gobject_ptr<SoupMessage>(message), gobject_ptr<GCancellable>(cancellable),
        bootTime() + request.timeout, false };
    auto* handle = new state::call_handle { m_state, request.attempt };
    soup_session_send_and_read_async(
        m_state->session.get(), message, G_PRIORITY_DEFAULT, cancellable,
        [](GObject* /*session*/, GAsyncResult* async, gpointer data) {
            const std::unique_ptr<state::call_handle> owned(static_cast<state::call_handle*>(data));
            owned->owner->finish(owned->attempt, async);
        },
        handle);
}

void backend_client::cancel(const request_id& attempt)
{
    const auto found = m_state->calls.find(attempt);
    if (found != m_state->calls.end())
        g_cancellable_cancel(found->second.cancellable.get());
}

void backend_client::sweep(time_point now)
{
    for (auto& [attempt, call] : m_state->calls) {
        if (now < call.deadline || call.timedOut)
            continue;
        call.timedOut = true;
        g_cancellable_cancel(call.cancellable.get());
    }
}

} // namespace limpet
