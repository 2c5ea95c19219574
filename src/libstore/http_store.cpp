#include "context.h"
#include "fault.h"
#include "gateway.h"

#include <libsoup/soup.h>
#include <limpetcroft/store.h>
#include <unordered_set>

namespace limpet {

namespace {

    // A watch occupies a connection for good, and libsoup's default of 2 for each host would leave none for calls.
    constexpr int maxConnections = 64;

    guint toMilliseconds(duration time)
    {
        return static_cast<guint>(std::chrono::ceil<std::chrono::milliseconds>(time).count());
    }

    gobject_ptr<SoupMessage> makeMessage(const std::string& baseUrl, const gateway_request& request)
    {
        gobject_ptr<SoupMessage> message(soup_message_new("POST", (baseUrl + request.path).c_str()));
        if (message != nullptr) {
            const gbytes_ptr body(g_bytes_new(request.body.data(), request.body.size()));
            soup_message_set_request_body_from_bytes(message.get(), "application/json", body.get());
        }
        return message;
    }

    std::string takeMessage(GError* failure)
    {
        const gerror_ptr owned(failure);
        return owned == nullptr ? "no reason given" : owned->message;
    }

    struct http_call {
        std::shared_ptr<struct http_client> client;
        store_operation operation;
        store_callback callback;
        gobject_ptr<SoupMessage> message;
        gobject_ptr<GCancellable> cancellable;
        gsource_ptr timer;
        bool sent = false; ///< some of the request may have left this process
    };

    struct watch_attempt;

    struct watch_state {
        store_watch_id id = 0;
        gateway_watch request;
        store_era era = 0; ///< of request.from; 0: not known yet
        store_watch_callback callback;
        watch_attempt* current = nullptr;
    };

    // One opened stream of a watch. It owns itself until its last asynchronous operation has ended.
    struct watch_attempt {
        std::shared_ptr<struct http_client> client;
        std::shared_ptr<watch_state> watch;
        gobject_ptr<SoupMessage> message;
        gobject_ptr<GCancellable> cancellable;
        gobject_ptr<GInputStream> stream;
        gsource_ptr timer;
        std::string buffer;
        bool created = false;

        bool isCurrent() const { return watch->current == this; }
    };

    struct http_client : std::enable_shared_from_this<http_client> {
        http_store_settings settings;
        GMainContext* context = nullptr;
        gobject_ptr<SoupSession> session;
        std::unordered_set<http_call*> calls;
        std::unordered_set<watch_attempt*> attempts;
        std::map<store_watch_id, std::shared_ptr<watch_state>> watches;
        std::map<std::string, store_era>
            eras; ///< by the identifier of the cluster, in the order of their first replies
        store_watch_id nextWatch = 1;
        bool closed = false;

        void call(store_operation operation, duration timeout, store_callback callback);
        store_watch_id watch(std::string prefix, store_position from, store_watch_callback callback);
        void unwatch(store_watch_id id);
        void open(const std::shared_ptr<watch_state>& watch);
        void end(watch_attempt& attempt, const store_watch_event& event);
        void close();
    };

    gsource_ptr startTimer(GMainContext* context, duration after, GSourceFunc function, gpointer data)
    {
        gsource_ptr timer(g_timeout_source_new(toMilliseconds(after)));
        g_source_set_callback(timer.get(), function, data, nullptr);
        g_source_attach(timer.get(), context);
        return timer;
    }

    result<gateway_reply> readReply(const http_call& call, GBytes* body, GError* failure)
    {
        if (failure != nullptr) {
            const std::string text = std::string("the request to the store failed: ") + takeMessage(failure);
            if (!call.sent) {
                return fail(error_kind::unavailable, text + "; try again later");
            }
            return tl::unexpected(missingReply(call.operation, text));
        }
        const gbytes_ptr owned(body);
        gsize size = 0;
        const auto* const data = static_cast<const char*>(g_bytes_get_data(body, &size));
        const std::string text(data == nullptr ? "" : data, size);
        const guint status = soup_message_get_status(call.message.get());
        if (status != SOUP_STATUS_OK) {
            return tl::unexpected(parseError(call.operation, status, text));
        }
        auto reply = parseReply(call.operation, text);
        if (!reply && isWrite(call.operation)) {
            return tl::unexpected(missingReply(call.operation, reply.error().message));
        }
        return reply;
    }

    void onCallDone(GObject* session, GAsyncResult* outcome, gpointer data)
    {
        const std::unique_ptr<http_call> call(static_cast<http_call*>(data));
        GError* failure = nullptr;
        GBytes* const body = soup_session_send_and_read_finish(SOUP_SESSION(session), outcome, &failure);
        call->timer.reset();
        call->client->calls.erase(call.get());
        auto reply = readReply(*call, body, failure);
        http_client& client = *call->client;
        if (client.closed) {
            return;
        }
        const store_era era = reply ? reply->era : 0;
        call->callback(std::move(reply).map([](gateway_reply each) { return std::move(each.content); }), era);
    }

    void onStarting(SoupMessage* /*message*/, gpointer data) { static_cast<http_call*>(data)->sent = true; }

    gboolean onCallTimeout(gpointer data)
    {
        g_cancellable_cancel(static_cast<http_call*>(data)->cancellable.get());
        return G_SOURCE_REMOVE;
    }

    void http_client::call(store_operation operation, duration timeout, store_callback callback)
    {
        const context_scope scope(context);
        auto call = std::make_unique<http_call>();
        call->client = shared_from_this();
        call->message = makeMessage(settings.baseUrl, encodeRequest(operation));
        call->operation = std::move(operation);
        call->callback = std::move(callback);
        call->cancellable.reset(g_cancellable_new());
        http_call* const started = call.release(); // owned by onCallDone
        started->timer = startTimer(context, timeout, onCallTimeout, started);
        calls.insert(started);
        g_signal_connect(started->message.get(), "starting", G_CALLBACK(onStarting), started);
        soup_session_send_and_read_async(
            session.get(), started->message.get(), G_PRIORITY_DEFAULT, started->cancellable.get(), onCallDone, started);
    }

    void http_client::end(watch_attempt& attempt, const store_watch_event& event)
    {
        const std::shared_ptr<watch_state> watch = attempt.watch;
        watch->current = nullptr;
        watches.erase(watch->id);
        g_cancellable_cancel(attempt.cancellable.get());
        watch->callback(event);
    }

    store_interrupted interrupted(const std::string& why)
    {
        return { { error_kind::unavailable, "the watch ended: " + why + "; read again, then watch again" } };
    }

    void release(watch_attempt* attempt)
    {
        attempt->client->attempts.erase(attempt);
        delete attempt;
    }

    void readMore(watch_attempt* attempt);

    // The idle timer runs from the last byte.
    gboolean onWatchIdle(gpointer data)
    {
        auto* const attempt = static_cast<watch_attempt*>(data);
        const std::shared_ptr<http_client> client = attempt->client;
        if (!attempt->isCurrent()) {
            return G_SOURCE_REMOVE;
        }
        if (!attempt->created) {
            client->end(*attempt, interrupted("the store did not answer in time"));
            return G_SOURCE_REMOVE;
        }
        g_cancellable_cancel(attempt->cancellable.get());
        client->open(attempt->watch);
        return G_SOURCE_REMOVE;
    }

    void restartIdleTimer(watch_attempt* attempt)
    {
        const http_client& client = *attempt->client;
        attempt->timer = startTimer(client.context, client.settings.watchIdle, onWatchIdle, attempt);
    }

    void handleMessage(watch_attempt* attempt, const std::string& line)
    {
        const auto message = parseWatchMessage(line);
        gateway_watch& request = attempt->watch->request;
        if (!message) {
            attempt->client->end(*attempt, interrupted(message.error().message));
            return;
        }
        attempt->created = true;
        store_era& era = attempt->watch->era;
        const store_era current = message->era;
        if (era == 0) {
            era = current;
        } else if (current != 0 && current != era) {
            attempt->client->end(*attempt, restoredWhileWatched(current));
            return;
        }
        if (message->created && request.from == 0) {
            request.from = message->head + 1;
        }
        if (message->isProgress()) {
            request.from = std::max(request.from, message->head + 1);
        }
        if (message->cancelled) {
            attempt->client->end(*attempt, message->event.value_or(interrupted("the store cancelled it")));
            return;
        }
        if (message->event) {
            auto changes = std::get<store_changes>(*message->event);
            changes.era = current;
            request.from = changes.revision + 1;
            const store_watch_callback callback = attempt->watch->callback;
            callback(changes);
        }
    }

    void onBytes(GObject* stream, GAsyncResult* outcome, gpointer data)
    {
        auto* const attempt = static_cast<watch_attempt*>(data);
        GError* failure = nullptr;
        const gbytes_ptr bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), outcome, &failure));
        const gerror_ptr owned(failure);
        if (!attempt->isCurrent()) {
            release(attempt);
            return;
        }
        gsize size = 0;
        const auto* const text
            = bytes == nullptr ? nullptr : static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
        if (size == 0) {
            attempt->client->end(*attempt, interrupted(failure == nullptr ? "the store closed it" : failure->message));
            release(attempt);
            return;
        }
        attempt->buffer.append(text, size);
        restartIdleTimer(attempt);
        for (auto end = attempt->buffer.find('\n'); end != std::string::npos && attempt->isCurrent();
             end = attempt->buffer.find('\n')) {
            const std::string line = attempt->buffer.substr(0, end);
            attempt->buffer.erase(0, end + 1);
            handleMessage(attempt, line);
        }
        if (attempt->isCurrent()) {
            readMore(attempt);
        } else {
            release(attempt);
        }
    }

    void readMore(watch_attempt* attempt)
    {
        constexpr gsize readSize = 1 << 16;
        const context_scope scope(attempt->client->context);
        g_input_stream_read_bytes_async(
            attempt->stream.get(), readSize, G_PRIORITY_DEFAULT, attempt->cancellable.get(), onBytes, attempt);
    }

    void onWatchOpen(GObject* session, GAsyncResult* outcome, gpointer data)
    {
        auto* const attempt = static_cast<watch_attempt*>(data);
        GError* failure = nullptr;
        attempt->stream.reset(soup_session_send_finish(SOUP_SESSION(session), outcome, &failure));
        const gerror_ptr owned(failure);
        if (!attempt->isCurrent()) {
            release(attempt);
            return;
        }
        const guint status = soup_message_get_status(attempt->message.get());
        if (attempt->stream == nullptr || status != SOUP_STATUS_OK) {
            const std::string why = failure == nullptr ? "the store answered with HTTP status " + std::to_string(status)
                                                       : failure->message;
            attempt->client->end(*attempt, interrupted(why));
            release(attempt);
            return;
        }
        readMore(attempt);
    }

    void http_client::open(const std::shared_ptr<watch_state>& watch)
    {
        const context_scope scope(context);
        auto* const attempt = new watch_attempt;
        attempt->client = shared_from_this();
        attempt->watch = watch;
        attempt->message = makeMessage(settings.baseUrl, { watchPath, encodeWatch(watch->request) });
        attempt->cancellable.reset(g_cancellable_new());
        watch->current = attempt;
        attempts.insert(attempt);
        restartIdleTimer(attempt);
        soup_session_send_async(session.get(), attempt->message.get(), G_PRIORITY_DEFAULT, attempt->cancellable.get(),
            onWatchOpen, attempt);
    }

    store_watch_id http_client::watch(std::string prefix, store_position from, store_watch_callback callback)
    {
        auto watch = std::make_shared<watch_state>();
        watch->id = nextWatch++;
        watch->request = { std::move(prefix), from.revision };
        watch->era = from.era;
        watch->callback = std::move(callback);
        watches[watch->id] = watch;
        open(watch);
        return watch->id;
    }

    void http_client::unwatch(store_watch_id id)
    {
        const auto found = watches.find(id);
        if (found == watches.end()) {
            return;
        }
        const std::shared_ptr<watch_state> watch = found->second;
        watches.erase(found);
        if (watch->current != nullptr) {
            g_cancellable_cancel(watch->current->cancellable.get());
            watch->current = nullptr;
        }
    }

    // Cancels everything and lets the asynchronous operations end, because they refer to this object.
    void http_client::close()
    {
        closed = true;
        while (!watches.empty()) {
            unwatch(watches.begin()->first);
        }
        for (http_call* const call : calls) {
            g_cancellable_cancel(call->cancellable.get());
        }
        while (!calls.empty() || !attempts.empty()) {
            g_main_context_iteration(context, TRUE);
        }
        session.reset();
    }

} // namespace

struct http_store::implementation {
    std::shared_ptr<http_client> client;
};

http_store::http_store(http_store_settings settings, GMainContext* context)
    : m_implementation(std::make_shared<implementation>())
{
    auto client = std::make_shared<http_client>();
    client->settings = std::move(settings);
    client->context = context == nullptr ? g_main_context_new() : g_main_context_ref(context);
    const context_scope scope(client->context);
    // The store is addressed by numeric IP address, never through a proxy.
    client->session.reset(soup_session_new_with_options("max-conns", maxConnections, "max-conns-per-host",
        maxConnections, "proxy-resolver", nullptr, "timeout", 0, nullptr));
    m_implementation->client = std::move(client);
}

http_store::~http_store()
{
    GMainContext* const context = m_implementation->client->context;
    {
        const context_scope scope(context);
        m_implementation->client->close();
    }
    g_main_context_unref(context);
}

GMainContext* http_store::context() const { return m_implementation->client->context; }

store_port http_store::port()
{
    http_client* const client = m_implementation->client.get();
    return {
        .call = [client](store_operation operation, duration timeout,
                    store_callback callback) { client->call(std::move(operation), timeout, std::move(callback)); },
        .watch
        = [client](std::string prefix, store_position from,
              store_watch_callback callback) { return client->watch(std::move(prefix), from, std::move(callback)); },
        .unwatch = [client](store_watch_id id) { client->unwatch(id); },
    };
}

} // namespace limpet
