#include "context.h"
#include "fault.h"
#include "gateway.h"

#include <algorithm>
#include <libsoup/soup.h>
#include <limpetcroft/store.h>
#include <list>
#include <nlohmann/json.hpp>

namespace limpet {

namespace {

    struct watch_stream {
        gobject_ptr<SoupServerMessage> message;
        gateway_watch request; ///< from is the next revision to deliver
        gulong finishedHandler = 0;
        bool finished = false;
    };

} // namespace

struct store_server::implementation {
    gobject_ptr<SoupServer> server;
    GMainContext* context = nullptr;
    gsource_ptr ticker;
    store_state state;
    store_state copy;
    store_fault_state faults;
    store_counters counters;
    std::list<watch_stream> watches;
    std::list<gsource_ptr> delayed;
    int ticks = 0;

    time_point now() const { return time_point(duration(g_get_monotonic_time())) + faults.clockOffset; }
    store_position headPosition() const { return { state.head(), state.era() }; }
    void handle(SoupServerMessage* message, const std::string& path);
    void handleCall(SoupServerMessage* message, const std::string& path, const std::string& body);
    void handleWatch(SoupServerMessage* message, const std::string& body);
    void handleFault(SoupServerMessage* message, const std::string& body);
    void handleCounters(SoupServerMessage* message);
    void deliverWatches();
    void endWatches();
    void forgetFinished();
    void inject(const store_injection& injection);
    void tick();
};

namespace {

    using server_state = store_server::implementation;

    // A call that waits for its turn to take effect.
    struct delayed_call {
        server_state* owner = nullptr;
        gobject_ptr<SoupServerMessage> message;
        store_operation operation;
        gulong finishedHandler = 0;
        bool finished = false; ///< the client has gone

        ~delayed_call() { g_signal_handler_disconnect(message.get(), finishedHandler); }
    };

    void respond(SoupServerMessage* message, unsigned status, const std::string& body)
    {
        soup_server_message_set_status(message, status, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
    }

    void respond(SoupServerMessage* message, const error& cause)
    {
        const gateway_error encoded = encodeError(cause);
        respond(message, encoded.status, encoded.body);
    }

    void closeConnection(SoupServerMessage* message)
    {
        const gobject_ptr<GIOStream> stream(soup_server_message_steal_connection(message));
        if (stream != nullptr) {
            g_io_stream_close(stream.get(), nullptr, nullptr);
        }
    }

    void finishCall(delayed_call& call)
    {
        server_state& owner = *call.owner;
        const call_fate fate = takeFate(owner.faults, call.operation);
        if (fate != call_fate::answered) {
            ++owner.counters.failed;
        }
        if (fate == call_fate::requestLost) {
            if (!call.finished) {
                closeConnection(call.message.get());
            }
            return;
        }
        const result<store_reply> reply = fate == call_fate::refused ? fail(error_kind::unavailable, "down")
                                                                     : owner.state.apply(call.operation, owner.now());
        owner.deliverWatches();
        if (call.finished) {
            return;
        }
        if (fate == call_fate::replyLost) {
            closeConnection(call.message.get());
            return;
        }
        if (reply) {
            respond(call.message.get(), SOUP_STATUS_OK, encodeReply(call.operation, *reply, owner.state.era()));
        } else {
            respond(call.message.get(), reply.error());
        }
        soup_server_message_unpause(call.message.get());
    }

    void onCallFinished(SoupServerMessage* /*message*/, gpointer data)
    {
        static_cast<delayed_call*>(data)->finished = true;
    }

    gboolean onCallDue(gpointer data)
    {
        auto& call = *static_cast<delayed_call*>(data);
        finishCall(call);
        // The source owns the call and is the one that runs.
        call.owner->delayed.remove_if([](const gsource_ptr& each) { return each.get() == g_main_current_source(); });
        return G_SOURCE_REMOVE;
    }

    void onWatchFinished(SoupServerMessage* /*message*/, gpointer data)
    {
        static_cast<watch_stream*>(data)->finished = true;
    }

    void send(watch_stream& stream, const std::string& line)
    {
        SoupMessageBody* const body = soup_server_message_get_response_body(stream.message.get());
        soup_message_body_append(body, SOUP_MEMORY_COPY, line.data(), line.size());
        soup_server_message_unpause(stream.message.get());
    }

    void finish(watch_stream& stream)
    {
        g_signal_handler_disconnect(stream.message.get(), stream.finishedHandler);
        if (!stream.finished) {
            soup_message_body_complete(soup_server_message_get_response_body(stream.message.get()));
            soup_server_message_unpause(stream.message.get());
        }
    }

    void onRequest(
        SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/, gpointer data)
    {
        static_cast<server_state*>(data)->handle(message, path);
    }

    gboolean onTick(gpointer data)
    {
        static_cast<server_state*>(data)->tick();
        return G_SOURCE_CONTINUE;
    }

    const std::vector<std::string>& callPaths()
    {
        static const std::vector<std::string> paths { "/v3/kv/range", "/v3/kv/put", "/v3/kv/txn", "/v3/lease/grant",
            "/v3/lease/keepalive", "/v3/lease/revoke", "/v3/kv/lease/revoke" };
        return paths;
    }

} // namespace

void store_server::implementation::handle(SoupServerMessage* message, const std::string& path)
{
    const std::string method = soup_server_message_get_method(message);
    const SoupMessageBody* const request = soup_server_message_get_request_body(message);
    const std::string body(request->data == nullptr ? "" : request->data, static_cast<std::size_t>(request->length));
    const bool isCall = std::ranges::find(callPaths(), path) != callPaths().end();
    if (method == "POST" && isCall) {
        handleCall(message, path, body);
    } else if (method == "POST" && path == watchPath) {
        handleWatch(message, body);
    } else if (method == "POST" && path == "/admin/fault") {
        handleFault(message, body);
    } else if (method == "GET" && path == "/admin/counters") {
        handleCounters(message);
    } else {
        respond(message, { error_kind::notFound, "no such path" });
    }
}

void store_server::implementation::handleCall(
    SoupServerMessage* message, const std::string& path, const std::string& body)
{
    const auto operation = parseRequest(path, body);
    if (!operation) {
        respond(message, operation.error());
        return;
    }
    count(counters, *operation);
    auto* const call = new delayed_call { this, {}, *operation };
    call->message.reset(SOUP_SERVER_MESSAGE(g_object_ref(message)));
    call->finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(onCallFinished), call);
    soup_server_message_pause(message);
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(faults.delay);
    gsource_ptr source(g_timeout_source_new(static_cast<guint>(delay.count())));
    g_source_set_callback(
        source.get(), onCallDue, call, [](gpointer data) { delete static_cast<delayed_call*>(data); });
    g_source_attach(source.get(), context);
    delayed.push_back(std::move(source));
}

void store_server::implementation::handleWatch(SoupServerMessage* message, const std::string& body)
{
    ++counters.watches;
    auto request = parseWatch(body);
    if (faults.down || !request) {
        ++counters.failed;
        respond(message, request ? error { error_kind::unavailable, "down" } : request.error());
        return;
    }
    if (request->from == 0) {
        request->from = state.head() + 1;
    }
    watch_stream& stream = watches.emplace_back();
    stream.message.reset(SOUP_SERVER_MESSAGE(g_object_ref(message)));
    stream.request = *request;
    stream.finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(onWatchFinished), &stream);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    SoupMessageHeaders* const headers = soup_server_message_get_response_headers(message);
    soup_message_headers_set_content_type(headers, "application/json", nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    send(stream, encodeWatchNotice(gateway_notice::created, headPosition()));
    deliverWatches();
}

void store_server::implementation::handleFault(SoupServerMessage* message, const std::string& body)
{
    const auto injections = parseInjections(body);
    if (!injections) {
        respond(message, injections.error());
        return;
    }
    for (const store_injection& injection : *injections) {
        inject(injection);
    }
    respond(message, SOUP_STATUS_OK, "{}");
}

void store_server::implementation::handleCounters(SoupServerMessage* message)
{
    const nlohmann::json body {
        { "reads", counters.reads },
        { "writes", counters.writes },
        { "lease_calls", counters.leaseCalls },
        { "watches", counters.watches },
        { "failed", counters.failed },
        { "open_watches", watches.size() },
        { "head", state.head() },
        { "era", state.era() },
    };
    respond(message, SOUP_STATUS_OK, body.dump());
}

void store_server::implementation::forgetFinished()
{
    watches.remove_if([](watch_stream& stream) {
        if (stream.finished) {
            finish(stream);
        }
        return stream.finished;
    });
}

void store_server::implementation::deliverWatches()
{
    if (faults.watchesHeld) {
        return;
    }
    for (auto stream = watches.begin(); stream != watches.end();) {
        const auto event
            = stream->finished ? std::nullopt : state.changesSince(stream->request.prefix, stream->request.from);
        if (!event) {
            // A later compaction concerns only what the watch has not seen.
            stream->request.from = std::max(stream->request.from, state.head() + 1);
            ++stream;
            continue;
        }
        send(*stream, encodeWatchEvent(*event, headPosition()));
        if (const auto* changes = std::get_if<store_changes>(&*event)) {
            stream->request.from = changes->revision + 1;
            ++stream;
        } else {
            finish(*stream);
            stream = watches.erase(stream);
        }
    }
}

void store_server::implementation::endWatches()
{
    std::ranges::for_each(watches, finish);
    watches.clear();
}

void store_server::implementation::inject(const store_injection& injection)
{
    setFault(faults, injection);
    if (injection.fault == store_fault::watchDropped || faults.down) {
        endWatches();
    }
    if (injection.fault == store_fault::compaction) {
        state.compact(state.head());
    }
    if (injection.fault == store_fault::copy) {
        copy = state;
    }
    if (injection.fault == store_fault::restore) {
        state.restore(copy);
    }
    tick();
}

void store_server::implementation::tick()
{
    constexpr int ticksPerProgress = 10;
    state.expireLeases(now());
    deliverWatches();
    if (++ticks % ticksPerProgress == 0 && !faults.watchesHeld) {
        for (watch_stream& stream : watches) {
            if (!stream.finished) {
                send(stream, encodeWatchNotice(gateway_notice::progress, headPosition()));
            }
        }
    }
    forgetFinished();
}

store_server::store_server(std::unique_ptr<implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

result<std::unique_ptr<store_server>> store_server::listen(const socket_address& address, GMainContext* context)
{
    constexpr guint tickMilliseconds = 100;
    auto state = std::make_unique<implementation>();
    state->context = context == nullptr ? g_main_context_ref_thread_default() : g_main_context_ref(context);
    std::unique_ptr<store_server> server(new store_server(std::move(state)));
    implementation* const owner = server->m_implementation.get();
    const context_scope scope(owner->context);
    const gobject_ptr<GSocketAddress> local(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
    if (local == nullptr) {
        return fail(error_kind::invalidArgument, "\"" + address.ip + "\" is not a numeric IP address");
    }
    owner->server.reset(soup_server_new(nullptr, nullptr));
    soup_server_add_handler(owner->server.get(), nullptr, onRequest, owner, nullptr);
    GError* failure = nullptr;
    if (soup_server_listen(owner->server.get(), local.get(), SoupServerListenOptions(0), &failure) == FALSE) {
        const gerror_ptr owned(failure);
        return fail(error_kind::unavailable, std::string("cannot listen: ") + failure->message);
    }
    owner->ticker.reset(g_timeout_source_new(tickMilliseconds));
    g_source_set_callback(owner->ticker.get(), onTick, owner, nullptr);
    g_source_attach(owner->ticker.get(), owner->context);
    return server;
}

store_server::~store_server()
{
    const context_scope scope(m_implementation->context);
    m_implementation->ticker.reset();
    m_implementation->delayed.clear();
    m_implementation->endWatches();
    if (m_implementation->server != nullptr) {
        soup_server_disconnect(m_implementation->server.get());
        m_implementation->server.reset();
    }
    GMainContext* const context = m_implementation->context;
    g_main_context_unref(context);
}

socket_address store_server::address() const
{
    GSList* const uris = soup_server_get_uris(m_implementation->server.get());
    socket_address address;
    if (uris != nullptr) {
        auto* const uri = static_cast<GUri*>(uris->data);
        address = { g_uri_get_host(uri), static_cast<std::uint16_t>(g_uri_get_port(uri)) };
    }
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return address;
}

void store_server::inject(const store_injection& injection) { m_implementation->inject(injection); }
store_state& store_server::state() { return m_implementation->state; }
const store_counters& store_server::counters() const { return m_implementation->counters; }

} // namespace limpet
