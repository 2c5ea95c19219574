#include "control.h"
#include "http.h"
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    constexpr guint sweepMilliseconds = 100;

    admission_options admissionOptions(const policy_choices& policy)
    {
        admission_options options;
        if (policy.admission == admission_choice::fixed)
            options.limit = fixed_limit { static_cast<unsigned>(policy.fixedLimit) };
        if (policy.admission == admission_choice::unlimited)
            options.limit = unlimited_limit {};
        if (policy.admission != admission_choice::adaptive)
            options.order = queue_order::fifo;
        return options;
    }

    routing_kind routingKind(routing_selection selection)
    {
        if (selection == routing_selection::random)
            return routing_kind::random;
        return selection == routing_selection::roundRobin ? routing_kind::roundRobin : routing_kind::twoChoices;
    }

    node_options nodeOptions(const node_settings& settings, incarnation run)
    {
        node_options options;
        options.name = settings.nodeName;
        options.run = run;
        options.region = settings.region;
        options.availabilityZone = settings.availabilityZone;
        options.regions = settings.regions;
        options.linkAddress = settings.linkAddress;
        for (const auto& seed : settings.seeds) {
            if (seed.linkAddress != settings.linkAddress)
                options.seeds.push_back(seed.linkAddress);
        }
        options.seed = run ^ makeNodeId(settings.nodeName).value;
        options.keyConfirmationBound = settings.keyConfirmationBound;
        options.admission = admissionOptions(settings.policy);
        options.thresholds.enabled = settings.policy.admission == admission_choice::adaptive;
        options.retries.budgeted = settings.policy.retry == retry_choice::budget;
        options.routing.kind = routingKind(settings.policy.routing);
        options.quotaPolicy
            = settings.policy.rates == rates_choice::shared ? quota_policy::grants : quota_policy::staticShares;
        return options;
    }

    /// A later start of the same node has a larger value, as long as the wall clock does not go back over a restart.
    incarnation newIncarnation()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<incarnation>(std::chrono::duration_cast<duration>(sinceEpoch).count());
    }

    http_answer jsonAnswer(int status, const nlohmann::json& body)
    {
        http_answer answer;
        answer.status = status;
        answer.headers = { { "Content-Type", "application/json" } };
        answer.body = makeBytes(body.dump(2) + "\n");
        return answer;
    }

    std::string queryValue(GHashTable* query, const char* key)
    {
        const auto* value = query ? static_cast<const char*>(g_hash_table_lookup(query, key)) : nullptr;
        return value ? value : "";
    }

} // namespace

struct node_daemon::state {
    explicit state(node_settings given);
    ~state();

    node_settings settings;
    GMainContext* context;
    GMainLoop* loop;
    incarnation run;
    node core;
    http_front front;
    link_pool links;
    std::unique_ptr<backend_client> backend;
    std::unique_ptr<control_task> control;
    limpet::metrics metrics;
    gsource_ptr timer;
    time_point armedAt = time_point::max(); ///< when the timer fires
    gsource_ptr sweep;
    std::unordered_map<std::uint64_t, time_point> startedAt; ///< of calls that wait for their answer
    time_point quitAt = time_point::max(); ///< the last answers have been written
    time_point quitAnywayAt = time_point::max(); ///< bound on a planned stop
    time_point stopAcceptingAt = time_point::max();

    http_events frontEvents();
    link_events linkEvents();
    void handle(node_event event);
    void tick();
    void carryOut(node_actions& actions);
    void armTimer();
    void answer(const answer_caller& each);
    http_answer admin(const std::string& method, const std::string& path, GHashTable* query);
    nlohmann::json status() const;
    void finish();
    void sweepAll(time_point now);
};

node_daemon::state::state(node_settings given)
    : settings(std::move(given))
    , context(g_main_context_new())
    , loop(g_main_loop_new(context, FALSE))
    , run(newIncarnation())
    , core(nodeOptions(settings, run))
    , front(settings, frontEvents())
    , links(context,
          { core.id(), run, settings.fleetKeys, settings.linkAddress, settings.heartbeatInterval,
              settings.linkTimeout },
          linkEvents())
{
}

node_daemon::state::~state()
{
    control.reset();
    g_main_loop_unref(loop);
    g_main_context_unref(context);
}

http_events node_daemon::state::frontEvents()
{
    http_events events;
    events.request = [this](caller_request request) {
        startedAt[request.call] = bootTime();
        handle(std::move(request));
    };
    events.gone = [this](caller_disconnected gone) {
        startedAt.erase(gone.call);
        handle(gone);
    };
    events.announced = [this](const socket_address& address, backend_announcement announcement) {
        backend->setAddress(address);
        handle(std::move(announcement));
    };
    events.admin = [this](const std::string& method, const std::string& path, GHashTable* query) {
        return admin(method, path, query);
    };
    return events;
}

link_events node_daemon::state::linkEvents()
{
    link_events events;
    events.opened = [this](node_id peer, incarnation peerRun) { handle(link_opened { peer, peerRun }); };
    events.closed = [this](node_id peer, bool opened) { handle(link_closed { peer, opened }); };
    events.message = [this](link_message message) { handle(std::move(message)); };
    return events;
}

void node_daemon::state::handle(node_event event)
{
    node_actions actions;
    core.handle(std::move(event), bootTime(), actions);
    carryOut(actions);
    armTimer();
}

void node_daemon::state::tick()
{
    node_actions actions;
    core.tick(bootTime(), actions);
    carryOut(actions);
    armTimer();
}

/// Makes the timer fire when the core asks for it. GLib wakes the loop for each change of a ready time, which costs two
/// system calls and an iteration, so a timer that is set too early is left to fire once for nothing.
void node_daemon::state::armTimer()
{
    const auto next = core.nextTimer();
    if (next >= armedAt)
        return;
    armedAt = next;
    g_source_set_ready_time(timer.get(), g_get_monotonic_time() + std::max<gint64>(0, (next - bootTime()).count()));
}

void node_daemon::state::answer(const answer_caller& each)
{
    const auto found = startedAt.find(each.call);
    if (found != startedAt.end()) {
        const auto latency = bootTime() - found->second;
        startedAt.erase(found);
        if (each.refused)
            metrics.countRefusal(each.refused->reason, latency);
        else
            metrics.countAnswer(each.content.status, latency);
    }
    front.answer(each);
}

void node_daemon::state::carryOut(node_actions& actions)
{
    struct handler {
        node_daemon::state& owner;

        void operator()(const answer_caller& each) const { owner.answer(each); }
        void operator()(send_frame& each) const { owner.links.send(each.to, each.address, std::move(each.bytes)); }
        void operator()(const call_backend& each) const { owner.backend->call(each); }
        void operator()(const cancel_backend& each) const { owner.backend->cancel(each.attempt); }
        void operator()(store_call& each) const { owner.control->call(std::move(each)); }
        void operator()(start_store_watch& each) const { owner.control->startWatch(std::move(each)); }
        void operator()(stop_store_watch& each) const { owner.control->stopWatch(std::move(each)); }
        void operator()(const drained& /*each*/) const { owner.finish(); }
        void operator()(const rate_token_consumed& each) const { owner.metrics.countToken(each.team); }
        void operator()(const log_line& each) const
        {
            if (each.severity == log_line::level::warning)
                LOG(WARNING) << "node: " << each.text;
            else
                LOG(INFO) << "node: " << each.text;
        }
    };
    for (auto& each : actions)
        std::visit(handler { *this }, each);
}

/// Everything in flight has ended: takes no new connections, and leaves once the last answers have been written.
void node_daemon::state::finish()
{
    constexpr auto lastWrites = std::chrono::milliseconds(200);
    LOG(INFO) << "daemon: Drained.";
    front.stopAccepting();
    quitAt = bootTime() + lastWrites;
}

void node_daemon::state::sweepAll(time_point now)
{
    backend->sweep(now);
    front.sweep();
    if (now >= stopAcceptingAt) {
        stopAcceptingAt = time_point::max();
        front.stopAccepting();
    }
    if (now >= quitAnywayAt)
        LOG(WARNING) << "daemon: Stopping with calls in flight. calls=" << core.statistics().callsInFlight;
    if (now >= quitAt || now >= quitAnywayAt)
        g_main_loop_quit(loop);
}

nlohmann::json node_daemon::state::status() const
{
    const auto figures = core.statistics();
    const auto spread = core.membership().acknowledged();
    nlohmann::json refusals = nlohmann::json::object();
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        if (figures.refused.at(index) > 0)
            refusals[std::string(name(static_cast<refusal_reason>(index)))] = figures.refused.at(index);
    }
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto& member : core.membership().members())
        nodes.push_back({ { "name", member.name }, { "region", member.region }, { "availability_zone", member.zone },
            { "service", member.service }, { "slots", member.slots }, { "state", name(member.state) } });
    return { { "node", settings.nodeName }, { "incarnation", run }, { "ready", core.ready() },
        { "configuration",
            { { "revision", spread.number }, { "members", spread.members }, { "in_force", spread.inForce },
                { "lagging", spread.lagging } } },
        { "in_force_here", core.membership().inForce() ? core.membership().inForce()->number : 0 },
        { "keyed_calls_allowed", core.membership().keyedCallsAllowed(bootTime()) }, { "answered", figures.answered },
        { "refused", refusals }, { "first_attempts", figures.firstAttempts },
        { "extra_attempts", figures.extraAttempts }, { "calls_in_flight", figures.callsInFlight },
        { "backend_in_flight", figures.backendInFlight }, { "backend_queue", figures.queued },
        { "concurrency_limit", figures.concurrencyLimit }, { "draining", figures.draining },
        { "links", links.openLinks() }, { "link_bytes_sent", links.bytesSent() },
        { "link_bytes_received", links.bytesReceived() }, { "nodes", nodes } };
}

http_answer node_daemon::state::admin(const std::string& method, const std::string& path, GHashTable* query)
{
    if (path == "/metrics") {
        http_answer answer;
        answer.status = SOUP_STATUS_OK;
        answer.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        answer.body = makeBytes(metrics.page(core.statistics()));
        return answer;
    }
    if (path == "/admin/status")
        return jsonAnswer(SOUP_STATUS_OK, status());
    if (path == "/admin/explain") {
        const auto steps = core.explain(
            queryValue(query, "method"), queryValue(query, "path"), queryValue(query, "team"), bootTime());
        return jsonAnswer(SOUP_STATUS_OK, { { "steps", steps } });
    }
    if (path == "/admin/drain" && method == "POST") {
        handle(drain_request {});
        return jsonAnswer(SOUP_STATUS_ACCEPTED, { { "draining", true } });
    }
    return jsonAnswer(SOUP_STATUS_NOT_FOUND,
        { { "error", "unknown path" },
            { "remedy", "use /metrics, /admin/status, /admin/explain or POST /admin/drain" } });
}

node_daemon::node_daemon(node_settings settings)
    : m_state(std::make_unique<state>(std::move(settings)))
{
}

node_daemon::~node_daemon() = default;

result<void> node_daemon::start()
{
    auto& own = *m_state;
    g_main_context_push_thread_default(own.context);
    own.backend = std::make_unique<backend_client>(
        own.settings.limits.maxBodyBytes, [&own](backend_result result) { own.handle(std::move(result)); });
    own.control = std::make_unique<control_task>(
        own.context, own.settings.storeAddress, [&own](node_event event) { own.handle(std::move(event)); });
    static GSourceFuncs timerFunctions { nullptr, nullptr,
        [](GSource* /*source*/, GSourceFunc callback, gpointer data) { return callback(data); }, nullptr, nullptr,
        nullptr };
    own.timer = attach(own.context, g_source_new(&timerFunctions, sizeof(GSource)), [&own] {
        own.armedAt = time_point::max();
        own.tick();
        if (own.armedAt == time_point::max())
            g_source_set_ready_time(own.timer.get(), -1);
        return true;
    });
    own.sweep = attach(own.context, g_timeout_source_new(sweepMilliseconds), [&own] {
        own.sweepAll(bootTime());
        return true;
    });
    auto opened = own.front.listen();
    if (opened)
        opened = own.links.listen();
    if (!opened)
        return opened;
    node_actions actions;
    own.core.start(bootTime(), actions);
    own.carryOut(actions);
    own.armTimer();
    LOG(INFO) << "daemon: Started. node=" << own.settings.nodeName << " region=" << own.settings.region
              << " availability_zone=" << own.settings.availabilityZone;
    return {};
}

void node_daemon::run()
{
    g_main_loop_run(m_state->loop);
    g_main_context_pop_thread_default(m_state->context);
}

void node_daemon::stop()
{
    auto& own = *m_state;
    LOG(INFO) << "daemon: Stop requested.";
    const auto now = bootTime();
    own.quitAnywayAt = std::min(own.quitAnywayAt, now + own.settings.drainTime);
    // Callers that connect while the news of the stop spreads are still served, through other nodes.
    own.stopAcceptingAt = std::min(own.stopAcceptingAt, now + node_options().drainGracePeriod);
    own.handle(drain_request {});
}

GMainContext* node_daemon::context() const { return m_state->context; }

} // namespace limpet
