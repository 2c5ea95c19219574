// Connects the decision logic of a mesh node (mesh.h) to its sockets, timers and store.

#include "body_budget.h"
#include "metrics.h"
#include <fcntl.h>
#include <limpetcroft/proxy.h>
#include <strings.h>
#include <unistd.h>

namespace limpet::proxy {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusMisdirected = 421;
    constexpr int statusUnavailable = 503;
    constexpr int firstNonSuccessStatus = 300;
    constexpr duration storeTimeout = std::chrono::milliseconds(900);
    // A stopping node keeps running for at least this long, so that clients and other nodes learn of the shutdown.
    constexpr duration stopGracePeriod = std::chrono::milliseconds(2300);
    // Part of the stop time that is reserved for the last writes before the process exits.
    constexpr duration stopMargin = std::chrono::milliseconds(700);
    // Separates the link address and the availability zone in a node's entry in the store.
    constexpr char entrySeparator = ' ';
    constexpr duration healthCheckTimeout = std::chrono::seconds(1);
    constexpr duration probeInterval = std::chrono::milliseconds(400);

    // Descriptors for files, listeners, the store client and the event loop.
    constexpr std::size_t reservedDescriptors = 264;
    constexpr std::size_t minDescriptorsPerUse = 32;
    // Parts of the other descriptors. The rest is for links between nodes.
    constexpr double clientFraction = 0.5;
    constexpr double backendFraction = 0.3;
    constexpr double localFraction = 0.05; ///< each of the health, control and metrics servers
    // A body is held up to three times while it is passed on: as received, in a frame, and in a socket's buffer.
    constexpr std::size_t bodyMemoryDivisor = 4;
    constexpr std::size_t responseMemoryDivisor = 8;
    constexpr std::size_t bytesPerMb = 1 << 20;

    std::size_t descriptorsFor(const daemon_settings& settings, double fraction)
    {
        const auto all = settings.maxDescriptors - std::min(settings.maxDescriptors, reservedDescriptors);
        return std::max(minDescriptorsPerUse, static_cast<std::size_t>(static_cast<double>(all) * fraction));
    }

    std::size_t bodyBudget(const daemon_settings& settings)
    {
        return settings.memoryMb * bytesPerMb / bodyMemoryDivisor;
    }

    mesh::node_tuning makeTuning(const daemon_settings& settings)
    {
        mesh::node_tuning tuning;
        tuning.drainTime = settings.drainTime;
        tuning.retryRatio = settings.retryRatio;
        tuning.retryReserve = settings.retryReserve;
        tuning.retryWindow = settings.retryWindow;
        tuning.maxHeldBytes = bodyBudget(settings);
        return tuning;
    }

    bool equalsIgnoreCase(const std::string& left, const std::string& right)
    {
        return strcasecmp(left.c_str(), right.c_str()) == 0;
    }

    http_answer textResponse(int status, std::string text)
    {
        http_answer response;
        response.status = status;
        response.headers.push_back({ "Content-Type", "text/plain" });
        response.body = makeBytes(std::move(text));
        return response;
    }

    std::optional<duration> parseMilliseconds(const std::string* text)
    {
        if (!text || text->empty())
            return std::nullopt;
        char* end = nullptr;
        const double value = std::strtod(text->c_str(), &end);
        constexpr double maxMilliseconds = 3600e3;
        if (end == text->c_str() || value < 0 || value > maxMilliseconds)
            return std::nullopt;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
    }

    std::uint64_t newRunId()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(now).count());
    }

    mesh::node_options makeNodeOptions(const daemon_settings& settings)
    {
        mesh::node_options options;
        options.name = settings.name;
        options.run = newRunId();
        options.region = settings.region;
        options.availabilityZone = settings.availabilityZone;
        options.service = settings.service;
        options.address = settings.linkAddress;
        options.seed = options.run ^ makeNodeId(settings.name).value;
        options.tuning = makeTuning(settings);
        return options;
    }

} // namespace

struct mesh_daemon::state {
    state(daemon_settings daemonSettings, deployment_adapter deploymentAdapter);

    daemon_settings settings;
    deployment_adapter adapter;
    reactor loop;
    log_sink log;
    body_budget bodies;
    mesh::node node;
    mesh::registry registry;
    http_server clientServer;
    http_server healthServer;
    http_server controlServer;
    http_server metricsServer;
    http_pool backendPool;
    frame_links nodeLinks;
    status_socket statusSocket;
    store_port store;
    node_metrics nodeMetrics;
    std::uint64_t nodeTimer = 0;
    time_point nodeTimerAt = time_point::max();
    std::uint64_t registryTimer = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> exchangeByAttempt; ///< in the backend pool
    std::optional<store_watch_id> watch; ///< of the configuration
    bool probing = false;
    bool stopping = false;
    bool handlingEvents = false;
    std::vector<mesh::event> pendingEvents;
    time_point earliestQuitAt {};
    time_point forcedQuitAt {};

    http_server_callbacks clientCallbacks();
    /// Callbacks of a server that responds to each request immediately with the handler's result.
    http_server_callbacks immediateCallbacks(
        http_server& server, std::function<http_answer(const http_request&)> handler);
    frame_links_callbacks linkCallbacks();
    result<void> start();
    void handle(mesh::event event);
    void handlePendingEvents();
    void tick();
    void execute(mesh::actions& actions);
    void armNodeTimer();
    void logEvent(const mesh::log_event& line) { log.write(line, bootTime()); }
    void handleClientRequest(std::uint64_t exchange, http_request request);
    void runOnBackend(const mesh::run_on_backend& run);
    void handleBackendOutcome(
        std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome);
    void probeBackend();
    void checkBackend(const std::string& healthPath);
    http_answer handleControl(const http_request& request);
    void applyConfiguration(const std::string& document);
    void tickRegistry();
    void execute(mesh::registry::outcome& outcome);
    void startWatch(store_revision from);
    void reportListedNodes(const std::vector<std::string>& entries);
    void quitWhenStopped();
    void applyLimits();
    void applyBackendLimit();
    void reportError(const char* where, const std::exception& exception);
};

mesh_daemon::state::state(daemon_settings daemonSettings, deployment_adapter deploymentAdapter)
    : settings(std::move(daemonSettings))
    , adapter(std::move(deploymentAdapter))
    , log(STDOUT_FILENO, settings.name)
    , bodies(bodyBudget(settings))
    , node(makeNodeOptions(settings))
    , registry({ adapter.configurationKey, adapter.entryPrefix, settings.name,
          toText(settings.linkAddress) + entrySeparator + settings.availabilityZone })
    , clientServer(loop, settings.clientAddress, clientCallbacks())
    , healthServer(loop, settings.healthAddress,
          immediateCallbacks(healthServer,
              [this](const http_request&) {
                  return textResponse(
                      node.ready() ? statusOk : statusUnavailable, node.ready() ? "ready\n" : "not ready\n");
              }))
    , controlServer(loop, settings.controlAddress,
          immediateCallbacks(controlServer, [this](const http_request& request) { return handleControl(request); }))
    , metricsServer(loop, settings.metricsAddress,
          immediateCallbacks(metricsServer,
              [this](const http_request&) {
                  return textResponse(statusOk, nodeMetrics.format(node.statistics(bootTime())));
              }))
    , backendPool(loop, settings.backendAddress,
          { .maxResponseBytes = settings.memoryMb * bytesPerMb / responseMemoryDivisor, .budget = &bodies })
    , nodeLinks(loop, settings.linkAddress, linkCallbacks())
    , statusSocket(loop, settings.linkAddress, [this](mesh::status_received received) { handle(std::move(received)); })
    , store(adapter.openStore(loop, settings.storeAddress))
{
}

http_server_callbacks mesh_daemon::state::clientCallbacks()
{
    http_server_callbacks callbacks;
    callbacks.request
        = [this](std::uint64_t exchange, http_request request) { handleClientRequest(exchange, std::move(request)); };
    callbacks.disconnected = [this](std::uint64_t exchange) {
        nodeMetrics.clientDisconnected(exchange);
        handle(mesh::client_disconnected { exchange });
    };
    callbacks.rejected = [this](int status, const std::vector<header>& headers) {
        const auto* id = findHeader(headers, adapter.headers.requestId);
        logEvent({ "request_rejected",
            { { "id", id ? *id : "" }, { "status", std::to_string(status) },
                { "held_bytes", std::to_string(bodies.used()) } } });
    };
    return callbacks;
}

http_server_callbacks mesh_daemon::state::immediateCallbacks(
    http_server& server, std::function<http_answer(const http_request&)> handler)
{
    http_server_callbacks callbacks;
    callbacks.request = [&server, handler = std::move(handler)](std::uint64_t exchange, const http_request& request) {
        server.respond(exchange, handler(request));
    };
    callbacks.disconnected = [](std::uint64_t) {};
    return callbacks;
}

frame_links_callbacks mesh_daemon::state::linkCallbacks()
{
    return { [this](mesh::frame_received received) {
                received.delay = loop.pauseBefore();
                handle(std::move(received));
            },
        [this](mesh::link_closed closed) {
            if (!closed.peer.ip.empty())
                logEvent({ "link_closed",
                    { { "peer", toText(closed.peer) }, { "opened", closed.established ? "1" : "0" } } });
            handle(std::move(closed));
        },
        [this](mesh::link_suspected suspected) { handle(std::move(suspected)); } };
}

result<void> mesh_daemon::state::start()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    loop.onError([this](const std::exception& exception) { reportError("event loop", exception); });
    clientServer.setBudget(&bodies);
    applyLimits();
    for (auto* server : { &clientServer, &healthServer, &controlServer, &metricsServer }) {
        if (auto opened = server->listen(); !opened)
            return opened;
    }
    if (auto opened = nodeLinks.listen(); !opened)
        return opened;
    if (auto opened = statusSocket.open(); !opened)
        return opened;
    loop.onIterationEnd([this] {
        armNodeTimer();
        log.flush();
    });
    logEvent({ "start",
        { { "region", settings.region }, { "zone", settings.availabilityZone }, { "service", settings.service },
            { "clients", toText(settings.clientAddress) }, { "links", toText(settings.linkAddress) } } });
    tick();
    tickRegistry();
    log.flush();
    return {};
}

/// Queues an event. Events that arise while another is handled are processed after it, because the node is not
/// reentrant.
void mesh_daemon::state::handle(mesh::event event)
{
    pendingEvents.push_back(std::move(event));
    if (!handlingEvents)
        handlePendingEvents();
}

void mesh_daemon::state::handlePendingEvents()
{
    handlingEvents = true;
    for (std::size_t index = 0; index < pendingEvents.size(); ++index) {
        mesh::actions actions;
        auto next = std::move(pendingEvents[index]);
        try {
            node.handle(std::move(next), bootTime(), actions);
            execute(actions);
        } catch (const std::exception& exception) {
            reportError("event", exception);
        }
    }
    pendingEvents.clear();
    handlingEvents = false;
}

void mesh_daemon::state::tick()
{
    mesh::actions actions;
    handlingEvents = true;
    try {
        node.tick(bootTime(), actions);
        execute(actions);
    } catch (const std::exception& exception) {
        reportError("timer", exception);
    }
    handlePendingEvents();
}

/// One unexpected error must not end all requests of this process.
void mesh_daemon::state::reportError(const char* where, const std::exception& exception)
{
    logEvent({ "unexpected_error", { { "where", where }, { "reason", exception.what() } } });
}

/// Applies the settings that may change while the daemon runs.
void mesh_daemon::state::applyLimits()
{
    bodies.setLimit(bodyBudget(settings));
    clientServer.setMaxConnections(descriptorsFor(settings, clientFraction));
    for (auto* server : { &healthServer, &controlServer, &metricsServer })
        server->setMaxConnections(descriptorsFor(settings, localFraction));
    applyBackendLimit();
    handle(mesh::tuning_changed { makeTuning(settings) });
}

void mesh_daemon::state::applyBackendLimit()
{
    const auto config = node.currentConfiguration();
    const auto* ownService = config ? config->findService(settings.service) : nullptr;
    const auto available = descriptorsFor(settings, backendFraction);
    const auto allowed = ownService && ownService->maxConnections > 0 ? ownService->maxConnections : available;
    backendPool.setMaxConnections(std::min<std::size_t>(allowed, available));
}

void mesh_daemon::state::armNodeTimer()
{
    const auto next = node.nextTimer();
    if (next >= nodeTimerAt)
        return;
    loop.cancelTimer(nodeTimer);
    nodeTimerAt = next;
    nodeTimer = loop.callAt(next, [this] {
        nodeTimerAt = time_point::max();
        tick();
    });
}

void mesh_daemon::state::execute(mesh::actions& actions)
{
    struct action_executor {
        mesh_daemon::state& daemon;

        void operator()(const mesh::send_response& each) const
        {
            daemon.nodeMetrics.countResponse(each.call, each.content.status, bootTime());
            daemon.clientServer.respond(each.call, each.content);
        }
        void operator()(const mesh::send_frame& each) const
        {
            daemon.nodeLinks.send(each.peer, each.bytes, each.expectedReplyDelta);
        }
        void operator()(const mesh::reply_frame& each) const { daemon.nodeLinks.reply(each.link, each.bytes); }
        void operator()(const mesh::send_status& each) const
        {
            // Same effect as a datagram lost in the network: the next status supersedes it.
            if (const auto sent = daemon.statusSocket.send(each.peer, each.bytes); !sent)
                daemon.logEvent({ "status_unsent", { { "reason", sent.error().message } } });
        }
        void operator()(const mesh::run_on_backend& each) const { daemon.runOnBackend(each); }
        void operator()(const mesh::cancel_on_backend& each) const
        {
            const auto found = daemon.exchangeByAttempt.find(each.attempt);
            if (found == daemon.exchangeByAttempt.end())
                return;
            daemon.backendPool.cancel(found->second);
            daemon.exchangeByAttempt.erase(found);
        }
        void operator()(const mesh::check_backend& each) const { daemon.checkBackend(each.healthPath); }
        void operator()(const mesh::load_configuration& each) const { daemon.applyConfiguration(each.document); }
        void operator()(const mesh::log_event& each) const { daemon.logEvent(each); }
    };
    for (const auto& each : actions)
        std::visit(action_executor { *this }, each);
}

void mesh_daemon::state::handleClientRequest(std::uint64_t exchange, http_request request)
{
    const auto& names = adapter.headers;
    mesh::client_request event;
    event.call = exchange;
    const auto headerValue = [&](const std::string& name) {
        const auto* value = findHeader(request.headers, name);
        return value ? *value : std::string();
    };
    event.requestId = headerValue(names.requestId);
    event.host = headerValue("Host");
    const auto key = headerValue(names.apiKey);
    if (!key.empty())
        event.key = digestOf(key);
    event.deadline = parseMilliseconds(findHeader(request.headers, names.deadline));
    if (event.deadline)
        event.deadline = std::max(duration(0), *event.deadline - loop.pauseBefore());
    const auto connectionHeader = headerValue("Connection");
    std::erase_if(request.headers, [&](const header& each) {
        for (const auto* name :
            { &names.requestId, &names.deadline, &names.apiKey, &names.team, &names.endpoint, &names.callerService }) {
            if (equalsIgnoreCase(each.name, *name))
                return true;
        }
        return isHopByHop(each.name, connectionHeader);
    });
    event.content = std::move(request);
    nodeMetrics.requestStarted(exchange, bootTime());
    handle(std::move(event));
}

void mesh_daemon::state::runOnBackend(const mesh::run_on_backend& run)
{
    const auto& names = adapter.headers;
    exchange_request request;
    request.content = run.content;
    auto& headers = request.content.headers;
    std::vector<header> addedHeaders { { "Host", run.host }, { names.requestId, run.requestId },
        { names.deadline, std::to_string(std::max<std::int64_t>(1, run.remaining.count() / 1000)) },
        { names.endpoint, run.backendId }, { names.callerService, run.callerService } };
    if (!run.team.empty())
        addedHeaders.push_back({ names.team, run.team });
    headers.insert(headers.begin(), addedHeaders.begin(), addedHeaders.end());
    request.idHeader = names.requestId;
    request.id = run.requestId;
    const auto attempt = run.attempt;
    const bool idempotent = run.idempotent;
    exchangeByAttempt[attempt] = backendPool.start(
        std::move(request), [this, attempt, idempotent](tl::expected<http_answer, exchange_failure> outcome) {
            exchangeByAttempt.erase(attempt);
            handleBackendOutcome(attempt, idempotent, std::move(outcome));
        });
}

void mesh_daemon::state::handleBackendOutcome(
    std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome)
{
    const auto& names = adapter.headers;
    mesh::backend_result result { attempt, tl::unexpected(mesh::failure_kind::lost) };
    if (!outcome) {
        const bool noCapacity = outcome.error() == exchange_failure::noCapacity;
        if (noCapacity || outcome.error() == exchange_failure::notSent) {
            result.outcome = tl::unexpected(mesh::failure_kind::notExecuted);
            handle(std::move(result));
            if (noCapacity) {
                logEvent({ "backend_connections_used", { { "attempt", std::to_string(attempt) } } });
                return;
            }
            handle(mesh::backend_reachability { false });
            probeBackend();
            return;
        }
        handle(std::move(result));
        return;
    }
    auto& response = *outcome;
    const bool hasSignature = findHeader(response.headers, names.signature) != nullptr;
    const bool rejected
        = findHeader(response.headers, names.notExecuted) != nullptr || response.status == statusMisdirected;
    // These statuses claim that the request was not executed, but a backend server may return them after executing it.
    // Such a response is therefore not treated as a rejection, and for a non-idempotent request it counts as lost.
    const bool claimsNotExecuted
        = response.status == statusUnavailable || response.status == 429 || response.status == 408;
    if (rejected)
        result.outcome = tl::unexpected(mesh::failure_kind::rejected);
    else if ((hasSignature || response.status >= firstNonSuccessStatus) && (idempotent || !claimsNotExecuted)) {
        const auto* connectionHeader = findHeader(response.headers, "Connection");
        const std::string connectionOptions = connectionHeader ? *connectionHeader : "";
        std::erase_if(response.headers, [&](const header& each) { return isHopByHop(each.name, connectionOptions); });
        result.outcome = std::move(response);
    } else
        logEvent({ "answer_unusable",
            { { "attempt", std::to_string(attempt) }, { "status", std::to_string(response.status) },
                { "signed", hasSignature ? "1" : "0" } } });
    handle(std::move(result));
}

/// Probes the backend server's port at regular intervals until it accepts connections again.
void mesh_daemon::state::probeBackend()
{
    if (probing)
        return;
    probing = true;
    loop.callAt(bootTime() + probeInterval, [this] {
        backendPool.probe([this](bool reachable) {
            probing = false;
            if (reachable)
                handle(mesh::backend_reachability { true });
            else
                probeBackend();
        });
    });
}

void mesh_daemon::state::checkBackend(const std::string& healthPath)
{
    exchange_request request;
    request.content.method = "GET";
    request.content.path = healthPath;
    request.content.headers = { { "Host", toText(settings.backendAddress) } };
    request.timeout = healthCheckTimeout;
    backendPool.start(std::move(request), [this](tl::expected<http_answer, exchange_failure> outcome) {
        mesh::backend_check_result checked;
        const auto* id = outcome ? findHeader(outcome->headers, adapter.headers.instanceId) : nullptr;
        if (id)
            checked.id = *id;
        checked.healthy = outcome && outcome->status == statusOk;
        handle(std::move(checked));
    });
}

http_answer mesh_daemon::state::handleControl(const http_request& request)
{
    const auto notice = adapter.parseNotice(request);
    if (!notice) {
        logEvent({ "notice_rejected", { { "path", request.path }, { "reason", notice.error().message } } });
        const bool unknown = notice.error().kind == error_kind::notFound;
        return textResponse(unknown ? statusNotFound : statusBadRequest, notice.error().message + "\n");
    }
    std::visit([this](const auto& each) { handle(each); }, *notice);
    http_answer response;
    response.status = statusOk;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = makeBytes("{}");
    return response;
}

void mesh_daemon::state::applyConfiguration(const std::string& document)
{
    auto parsed = adapter.parseConfiguration(document);
    if (!parsed) {
        logEvent({ "configuration_rejected", { { "reason", parsed.error().message } } });
        return;
    }
    if (parsed->version <= node.configurationVersion())
        return;
    auto index = std::make_shared<const mesh::configuration_index>(std::move(*parsed));
    clientServer.setLimits(index->content().limits);
    handle(mesh::configuration_received { std::move(index), document });
    applyBackendLimit();
}

void mesh_daemon::state::tickRegistry()
{
    mesh::registry::outcome outcome;
    registry.tick(bootTime(), outcome);
    execute(outcome);
}

void mesh_daemon::state::execute(mesh::registry::outcome& outcome)
{
    for (auto& call : outcome.calls) {
        const auto token = call.token;
        nodeMetrics.countStoreCall();
        store.call(std::move(call.operation), storeTimeout, [this, token](result<store_reply> reply) {
            mesh::registry::outcome next;
            registry.handle({ token, std::move(reply) }, bootTime(), next);
            execute(next);
        });
    }
    for (const auto& line : outcome.log)
        logEvent(line);
    if (outcome.document)
        applyConfiguration(*outcome.document);
    if (outcome.entries)
        reportListedNodes(*outcome.entries);
    if (outcome.watchFrom)
        startWatch(*outcome.watchFrom);
    loop.cancelTimer(registryTimer);
    const auto next = registry.nextTimer();
    if (next != time_point::max())
        registryTimer = loop.callAt(next, [this] { tickRegistry(); });
}

void mesh_daemon::state::startWatch(store_revision from)
{
    if (watch)
        store.unwatch(*watch);
    watch = store.watch(adapter.configurationKey, from, [this](const store_watch_event& event) {
        mesh::registry::outcome outcome;
        if (const auto* changes = std::get_if<store_changes>(&event)) {
            for (const auto& each : changes->changes) {
                if (!each.erased && each.entry.key == adapter.configurationKey)
                    registry.configurationChanged(each.entry.value, outcome);
            }
        } else {
            watch.reset();
            logEvent({ "watch_ended", {} });
            registry.watchEnded(bootTime());
        }
        execute(outcome);
    });
}

void mesh_daemon::state::reportListedNodes(const std::vector<std::string>& entries)
{
    mesh::nodes_listed listed;
    for (const auto& each : entries) {
        const auto end = each.find(entrySeparator);
        auto address = parseAddress(std::string_view(each).substr(0, end));
        if (address)
            listed.nodes.push_back({ std::move(*address), end == std::string::npos ? "" : each.substr(end + 1) });
        else
            logEvent({ "entry_ignored", { { "reason", address.error().message } } });
    }
    handle(std::move(listed));
}

void mesh_daemon::state::quitWhenStopped()
{
    const auto now = bootTime();
    const bool done = now >= earliestQuitAt && node.idle();
    if (!done && now < forcedQuitAt) {
        loop.callAt(now + std::chrono::milliseconds(50), [this] { quitWhenStopped(); });
        return;
    }
    logEvent({ "stop",
        { { "idle", node.idle() ? "1" : "0" },
            { "in_flight", std::to_string(node.statistics(bootTime()).callsInFlight) } } });
    log.flush();
    loop.quit();
}

mesh_daemon::mesh_daemon(daemon_settings settings, deployment_adapter adapter)
    : m_state(std::make_unique<state>(std::move(settings), std::move(adapter)))
{
}

mesh_daemon::~mesh_daemon() = default;

result<void> mesh_daemon::start() { return m_state->start(); }

void mesh_daemon::run() { m_state->loop.run(); }

void mesh_daemon::stop()
{
    auto& impl = *m_state;
    if (impl.stopping)
        return;
    impl.stopping = true;
    const auto now = bootTime();
    impl.earliestQuitAt = now + stopGracePeriod;
    impl.forcedQuitAt = now + std::max(impl.settings.stopTime - stopMargin, stopGracePeriod);
    impl.logEvent({ "stopping", { { "in_flight", std::to_string(impl.node.statistics(bootTime()).callsInFlight) } } });
    impl.handle(mesh::leave_request {});
    impl.clientServer.closeAfterResponses();
    mesh::registry::outcome outcome;
    impl.registry.leave(outcome);
    impl.execute(outcome);
    impl.quitWhenStopped();
}

void mesh_daemon::reload(const daemon_settings& settings)
{
    auto& impl = *m_state;
    auto applicable = impl.settings;
    applicable.drainTime = settings.drainTime;
    applicable.stopTime = settings.stopTime;
    applicable.retryRatio = settings.retryRatio;
    applicable.retryReserve = settings.retryReserve;
    applicable.retryWindow = settings.retryWindow;
    applicable.maxDescriptors = settings.maxDescriptors;
    applicable.memoryMb = settings.memoryMb;
    impl.logEvent({ "reload",
        { { "changed", applicable == impl.settings ? "0" : "1" },
            { "restart_needed", applicable == settings ? "0" : "1" },
            { "max_descriptors", std::to_string(settings.maxDescriptors) },
            { "memory_mb", std::to_string(settings.memoryMb) } } });
    if (applicable == impl.settings)
        return;
    impl.settings = std::move(applicable);
    impl.applyLimits();
}

void mesh_daemon::logRejectedReload(const error& reason)
{
    m_state->logEvent({ "reload_rejected", { { "reason", reason.message } } });
}

reactor& mesh_daemon::loop() { return m_state->loop; }

} // namespace limpet::proxy
