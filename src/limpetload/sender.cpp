#include "sender.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    gobject_ptr<SoupSession> makeSession()
    {
        auto session = adopt(soup_session_new_with_options("max-conns", 1, "timeout", 0U, nullptr));
        // A proxy of the environment must not see the load.
        soup_session_set_proxy_resolver(session.get(), nullptr);
        return session;
    }

    /// Describes a request that got no HTTP answer.
    std::string failureName(const GError& failure, bool gaveUp)
    {
        if (gaveUp)
            return "timeout";
        const bool io = failure.domain == G_IO_ERROR;
        const bool refused = io
            && (failure.code == G_IO_ERROR_CONNECTION_REFUSED || failure.code == G_IO_ERROR_HOST_UNREACHABLE
                || failure.code == G_IO_ERROR_NETWORK_UNREACHABLE);
        return refused ? "connect" : "closed";
    }

    /// Reads reason, run and time to wait from the JSON body of a refusal.
    void readRefusal(request_answered& answer, std::string_view body)
    {
        const auto text = nlohmann::json::parse(body, nullptr, false);
        if (!text.is_object())
            return;
        const auto reason = text.find("reason");
        if (reason != text.end() && reason->is_string())
            answer.reason = *reason;
        const auto run = text.find("run");
        if (run != text.end() && *run == "no")
            answer.run = execution_state::notExecuted;
        else if (run != text.end() && *run == "unknown")
            answer.run = execution_state::unknown;
        const auto wait = text.find("retry_after_ms");
        if (wait != text.end() && wait->is_number_unsigned())
            answer.retryAfter
                = std::chrono::milliseconds(std::min<std::uint64_t>(wait->get<std::uint64_t>(), 3'600'000));
    }

    void readRetryAfter(request_answered& answer, SoupMessage* message)
    {
        const char* header = soup_message_headers_get_one(soup_message_get_response_headers(message), "Retry-After");
        if (!header || answer.retryAfter.count() != 0)
            return;
        const std::string_view text = header;
        unsigned seconds = 0;
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (status == std::errc {} && end == text.data() + text.size())
            answer.retryAfter = std::chrono::seconds(std::min(seconds, 3600U));
    }

    void readAnswer(request_answered& answer, SoupMessage* message, GBytes* bytes)
    {
        gsize size = 0;
        const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        const std::string_view body(data ? data : "", size);
        answer.status = static_cast<int>(soup_message_get_status(message));
        answer.bytes = size;
        if (answer.status < 200 || answer.status >= 300) {
            readRefusal(answer, body);
            readRetryAfter(answer, message);
            return;
        }
        const auto parsed = parseAnswer(body);
        answer.checksumValid = parsed.has_value();
        if (parsed) {
            answer.answeredRequest = parsed->request;
            answer.server = parsed->server;
        }
    }

} // namespace

/// A request in flight.
struct load_sender::pending {
    load_sender* owner = nullptr;
    caller_request request;
    duration sentAt { 0 };
    bool gaveUp = false;
    gobject_ptr<SoupSession> session;
    gobject_ptr<GCancellable> cancellable = adopt(g_cancellable_new());
    source_handle patience;
};

load_sender::load_sender(
    const load_plan& plan, std::uint64_t seed, std::string prefix, on_event event, on_outcome outcome)
    : m_plan(plan)
    , m_prefix(std::move(prefix))
    , m_event(std::move(event))
    , m_outcome(std::move(outcome))
    , m_idle(plan.targets.size())
{
    random_source seeds(seed);
    for (std::size_t index = 0; index < plan.streams.size(); ++index)
        m_streams.push_back({ random_source(seeds.next()), std::nullopt, 0, {} });
}

void load_sender::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_start = monotonicNow();
    for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
        auto& state = m_streams[stream];
        state.next = nextArrival(m_plan.streams[stream].rate, duration(0), state.random);
        schedule(stream);
    }
    m_doneTimer = callAt(m_start + m_plan.length, [this] { checkDone(); });
}

void load_sender::schedule(std::size_t stream)
{
    auto& state = m_streams[stream];
    if (state.next && *state.next < m_plan.length)
        state.timer = callAt(m_start + *state.next, [this, stream] { arrive(stream); });
}

void load_sender::arrive(std::size_t stream)
{
    auto& state = m_streams[stream];
    // The loop wakes up with a resolution of a millisecond, so several arrivals may be due.
    const auto now = monotonicNow() - m_start;
    while (state.next && *state.next <= now && *state.next < m_plan.length) {
        const auto request = makeRequest(stream);
        if (m_inFlight < m_plan.maxInFlight)
            send(request);
        else
            ++m_dropped;
        state.next = nextArrival(m_plan.streams[stream].rate, *state.next, state.random);
    }
    schedule(stream);
}

std::size_t load_sender::chooseTarget(const load_stream& stream, random_source& random) const
{
    if (stream.targets.empty())
        return random.below(m_plan.targets.size());
    return stream.targets[random.below(stream.targets.size())];
}

load_sender::caller_request load_sender::makeRequest(std::size_t stream)
{
    const auto& options = m_plan.streams[stream];
    auto& state = m_streams[stream];
    caller_request request { .stream = stream, .path = options.path, .repeatsLeft = options.repeats };
    request.request = m_prefix + "-" + options.name + "-" + std::to_string(++state.count);
    request.target = chooseTarget(options, state.random);
    const auto number = std::to_string(state.random.below(options.variety));
    const auto place = request.path.find("{n}");
    if (place != std::string::npos)
        request.path.replace(place, 3, number);
    return request;
}

gobject_ptr<SoupMessage> load_sender::makeMessage(const caller_request& request) const
{
    const auto& stream = m_plan.streams[request.stream];
    const auto uri = "http://" + printAddress(m_plan.targets[request.target]) + request.path;
    auto message = adopt(soup_message_new(stream.method.c_str(), uri.c_str()));
    if (!message)
        return message;
    soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
    auto* headers = soup_message_get_request_headers(message.get());
    soup_message_headers_replace(headers, "Test-Request", request.request.c_str());
    if (!stream.key.empty())
        soup_message_headers_replace(headers, "Authorization", ("Bearer " + stream.key).c_str());
    const auto deadline = std::to_string(stream.deadline / std::chrono::milliseconds(1));
    soup_message_headers_replace(headers, "Limpet-Deadline-Ms", deadline.c_str());
    const auto& first = request.first.empty() ? request.request : request.first;
    if (stream.idempotencyKey)
        soup_message_headers_replace(headers, "Idempotency-Key", first.c_str());
    if (!m_plan.reuseConnections)
        soup_message_headers_replace(headers, "Connection", "close");
    if (stream.bodyBytes > 0) {
        // A repeat must have the same content as the request that it repeats.
        auto text = first + " ";
        text.resize(stream.bodyBytes, 'x');
        const gbytes_ptr body(g_bytes_new(text.data(), text.size()));
        soup_message_set_request_body_from_bytes(message.get(), "text/plain", body.get());
    }
    return message;
}

void load_sender::send(const caller_request& request)
{
    const auto& stream = m_plan.streams[request.stream];
    const auto message = makeMessage(request);
    if (!message)
        return;
    auto sent = std::make_unique<pending>();
    sent->owner = this;
    sent->request = request;
    auto& idle = m_idle[request.target];
    if (idle.empty())
        idle.push_back(makeSession());
    sent->session = std::move(idle.back());
    idle.pop_back();
    sent->sentAt = monotonicNow();
    sent->patience = callAt(sent->sentAt + stream.patience, [waiting = sent.get()] {
        waiting->gaveUp = true;
        g_cancellable_cancel(waiting->cancellable.get());
    });
    ++m_inFlight;
    m_event(request_sent { .time = sent->sentAt,
        .request = request.request,
        .entry = printAddress(m_plan.targets[request.target]),
        .team = stream.team,
        .keyId = stream.keyId,
        .method = stream.method,
        .path = request.path,
        .deadline = stream.deadline,
        .idempotencyKey = stream.idempotencyKey ? (request.first.empty() ? request.request : request.first) : "",
        .repeatOf = request.first });
    g_signal_connect(message.get(), "restarted", G_CALLBACK(onRestarted), sent.get());
    auto* session = sent->session.get();
    auto* cancellable = sent->cancellable.get();
    soup_session_send_and_read_async(session, message.get(), G_PRIORITY_DEFAULT, cancellable, onAnswer, sent.release());
}

void load_sender::onRestarted(SoupMessage*, gpointer data)
{
    // The library sends a request again when a reused connection breaks. The first sending may have run, so a refusal
    // of the second would look like a false "not run". The broken connection is reported instead.
    g_cancellable_cancel(static_cast<pending*>(data)->cancellable.get());
}

void load_sender::onAnswer(GObject* session, GAsyncResult* outcome, gpointer data)
{
    const std::unique_ptr<pending> sent(static_cast<pending*>(data));
    GError* failure = nullptr;
    const gbytes_ptr body(soup_session_send_and_read_finish(SOUP_SESSION(session), outcome, &failure));
    const gerror_ptr owned(failure);
    request_answered answer;
    answer.time = monotonicNow();
    answer.request = sent->request.request;
    answer.latency = answer.time - sent->sentAt;
    if (body)
        readAnswer(answer, soup_session_get_async_result_message(SOUP_SESSION(session), outcome), body.get());
    else
        answer.failure = failureName(*owned, sent->gaveUp);
    sent->owner->m_idle[sent->request.target].push_back(std::move(sent->session));
    sent->owner->finish(*sent, std::move(answer));
}

void load_sender::finish(const pending& sent, request_answered answer)
{
    --m_inFlight;
    m_event(answer);
    const auto& stream = m_plan.streams[sent.request.stream];
    m_outcome({ sent.request.stream, !sent.request.first.empty(), answer.latency <= stream.deadline, answer });
    const bool succeeded = answer.status >= 200 && answer.status < 300;
    if (!succeeded && sent.request.repeatsLeft > 0 && mayRepeat(stream, answer))
        repeat(sent.request, answer);
    checkDone();
}

bool load_sender::mayRepeat(const load_stream& stream, const request_answered& answer) const
{
    const bool transient = answer.status == 0 || answer.status == 429 || answer.status >= 500;
    const bool safe = stream.idempotent || stream.idempotencyKey || answer.run == execution_state::notExecuted;
    const bool timed = stream.repeat != repeat_kind::retryAfter || answer.retryAfter.count() > 0;
    return stream.repeat != repeat_kind::none && transient && safe && timed;
}

void load_sender::repeat(const caller_request& request, const request_answered& answer)
{
    caller_request again = request;
    again.first = request.first.empty() ? request.request : request.first;
    again.repeatsLeft = request.repeatsLeft - 1;
    again.request = again.first + "~" + std::to_string(m_plan.streams[request.stream].repeats - again.repeatsLeft);
    again.target = chooseTarget(m_plan.streams[request.stream], m_streams[request.stream].random);
    const bool wait = m_plan.streams[request.stream].repeat == repeat_kind::retryAfter;
    const auto at = monotonicNow() + (wait ? answer.retryAfter : duration(0));
    if (at >= m_start + m_plan.length)
        return;
    const auto id = ++m_lastWaiting;
    m_waiting.emplace(id, callAt(at, [this, id, again] {
        // Removing the entry destroys this function once it has returned.
        m_waiting.erase(id);
        if (m_inFlight < m_plan.maxInFlight)
            send(again);
        else
            ++m_dropped;
    }));
}

void load_sender::checkDone()
{
    if (monotonicNow() - m_start < m_plan.length || m_inFlight > 0 || !m_waiting.empty())
        return;
    if (m_done)
        std::exchange(m_done, nullptr)();
}

} // namespace limpet
