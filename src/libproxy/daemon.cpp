// Connects the decision logic of a mesh node (mesh.h) to its sockets, timers and store.

#include "daemon_state.h"
#include <fcntl.h>
#include <unistd.h>

namespace limpet::proxy {
namespace {

    // A stopping node keeps running for at least this long, so that clients and other nodes learn of the shutdown.
    constexpr duration stopGracePeriod = std::chrono::milliseconds(2300);
    // Part of the stop time that is reserved for the last writes before the process exits, and the part in which
    // clients still receive their responses. Neither exceeds the given fraction of the stop time.
    constexpr duration stopMargin = std::chrono::milliseconds(700);
    constexpr duration lastAnswersTime = std::chrono::milliseconds(200);
    constexpr int stopMarginDivisor = 8;
    constexpr int lastAnswersDivisor = 30;

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

    // A heartbeat counts as missing this many intervals after the one before it.
    constexpr double overdueHeartbeats = 1.5;

    std::string milliseconds(duration value) { return std::to_string(value.count() / 1000); }

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
        tuning.coldOverage = settings.coldOverage;
        tuning.coldReserve = settings.coldReserve;
        tuning.heartbeatTimeout = std::chrono::duration_cast<duration>(overdueHeartbeats * settings.heartbeatInterval);
        return tuning;
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
        options.address = settings.advertisedLinkAddress.value_or(settings.linkAddress);
        options.seed = options.run ^ makeNodeId(settings.name).value;
        options.tuning = makeTuning(settings);
        return options;
    }

    mesh::registry::options makeRegistryOptions(const daemon_settings& settings, const deployment_adapter& adapter)
    {
        mesh::registry::options options;
        options.configurationKey = adapter.configurationKey;
        if (settings.evacuationTime > duration(0))
            options.evacuationPrefix = adapter.evacuationPrefix;
        options.entryPrefix = adapter.entryPrefix;
        options.entryName = settings.name;
        options.entryValue = toText(settings.advertisedLinkAddress.value_or(settings.linkAddress)) + entrySeparator
            + settings.availabilityZone;
        random_source order(makeNodeId(settings.name).value);
        options.registrationOrder = order.uniform();
        return options;
    }

} // namespace

http_answer textResponse(int status, std::string text)
{
    http_answer response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body = makeBytes(std::move(text));
    return response;
}

mesh_daemon::state::state(daemon_settings daemonSettings, deployment_adapter deploymentAdapter)
    : settings(std::move(daemonSettings))
    , adapter(std::move(deploymentAdapter))
    , log(STDOUT_FILENO, settings.name)
    , bodies(bodyBudget(settings))
    , responses(bodyBudget(settings))
    , node(makeNodeOptions(settings))
    , registry(makeRegistryOptions(settings, adapter))
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
          { .maxResponseBytes = settings.memoryMb * bytesPerMb / responseMemoryDivisor,
              .budget = &bodies,
              .unread = &responses,
              .skipped = [this](const skipped_response& each) { logSkippedResponse(each); },
              .malformed = [this](const malformed_response& each) { logMalformedResponse(each); } })
    , nodeLinks(loop, settings.linkAddress, linkCallbacks(), { .budget = &responses })
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
    callbacks.unread = [this](std::size_t bytes, duration age) {
        nodeMetrics.countUnreadResponse();
        logEvent({ "response_unread",
            { { "bytes", std::to_string(bytes) }, { "ms", std::to_string(age.count() / 1000) },
                { "held_bytes", std::to_string(responses.used()) } } });
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
                    { { "peer", toText(closed.peer) }, { "opened", closed.established ? "1" : "0" },
                        { "bulk", closed.carried == mesh::traffic_class::bulk ? "1" : "0" } } });
            handle(std::move(closed));
        },
        [this](mesh::link_suspected suspected) { handle(std::move(suspected)); },
        [this](std::uint64_t link) { return node.servesLink(link); } };
}

result<void> mesh_daemon::state::start()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    loop.onError([this](const std::exception& exception) { reportError("event loop", exception); });
    clientServer.setBudget(&bodies);
    clientServer.setResponseBudget(&responses);
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
            { "clients", toText(settings.clientAddress) }, { "links", toText(settings.linkAddress) },
            { "drain_time_ms", milliseconds(settings.drainTime) }, { "stop_time_ms", milliseconds(settings.stopTime) },
            { "retry_window_ms", milliseconds(settings.retryWindow) },
            { "heartbeat_ms", milliseconds(settings.heartbeatInterval) },
            { "memory_mb", std::to_string(settings.memoryMb) },
            { "max_descriptors", std::to_string(settings.maxDescriptors) } } });
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
    chooseConfigurationSource();
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
    responses.setLimit(bodyBudget(settings));
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
            daemon.nodeLinks.send(each.peer, each.bytes, each.expectedReplyDelta, each.traffic);
        }
        void operator()(const mesh::reply_frame& each) const
        {
            daemon.nodeLinks.reply(each.link, each.bytes, each.pace);
        }
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
        void operator()(const mesh::load_configuration& each) const
        {
            daemon.applyConfiguration(each.document, "node");
        }
        void operator()(const mesh::log_event& each) const { daemon.logEvent(each); }
    };
    for (const auto& each : actions)
        std::visit(action_executor { *this }, each);
}

/// Whether no request is in progress and no response is still being written.
bool mesh_daemon::state::idle() const { return node.idle() && !clientServer.busy() && !nodeLinks.hasUnsentBytes(); }

void mesh_daemon::state::quitWhenStopped()
{
    const auto now = bootTime();
    const bool done = now >= earliestQuitAt && idle();
    if (!done && now < forcedQuitAt) {
        loop.callAt(now + std::chrono::milliseconds(50), [this] { quitWhenStopped(); });
        return;
    }
    logEvent({ "stop",
        { { "idle", idle() ? "1" : "0" }, { "clients_busy", clientServer.busy() ? "1" : "0" },
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
    const auto stopTime = impl.settings.stopTime;
    impl.forcedQuitAt = now + stopTime - std::min(stopMargin, stopTime / stopMarginDivisor);
    const auto answersEndAt = impl.forcedQuitAt - std::min(lastAnswersTime, stopTime / lastAnswersDivisor);
    impl.earliestQuitAt = std::min(now + stopGracePeriod, answersEndAt);
    impl.logEvent({ "stopping",
        { { "in_flight", std::to_string(impl.node.statistics(bootTime()).callsInFlight) },
            { "stop_time_ms", milliseconds(stopTime) }, { "answers_end_ms", milliseconds(answersEndAt - now) } } });
    impl.handle(mesh::leave_request { answersEndAt });
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
    applicable.coldOverage = settings.coldOverage;
    applicable.coldReserve = settings.coldReserve;
    applicable.heartbeatInterval = settings.heartbeatInterval;
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
