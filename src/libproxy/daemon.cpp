// Connects the decisions of a mesh node to its sockets.

#include "page.h"
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
    constexpr int firstError = 300;
    constexpr duration storeTimeout = std::chrono::milliseconds(900);
    // A stopping node goes on taking requests for this long, while its clients and the other nodes learn of the stop.
    constexpr duration stopSpread = std::chrono::milliseconds(2300);
    // Left of the stop time for the last writes.
    constexpr duration stopMargin = std::chrono::milliseconds(700);
    // Between the address of a node's links and its availability zone in its entry.
    constexpr char entrySeparator = ' ';
    constexpr duration checkTimeout = std::chrono::seconds(1);
    constexpr duration probeInterval = std::chrono::milliseconds(400);

    bool sameName(const std::string& left, const std::string& right)
    {
        return strcasecmp(left.c_str(), right.c_str()) == 0;
    }

    http_answer plainAnswer(int status, std::string text)
    {
        http_answer answer;
        answer.status = status;
        answer.headers.push_back({ "Content-Type", "text/plain" });
        answer.body = makeBytes(std::move(text));
        return answer;
    }

    std::optional<duration> parseMilliseconds(const std::string* text)
    {
        if (!text || text->empty())
            return std::nullopt;
        char* end = nullptr;
        const double value = std::strtod(text->c_str(), &end);
        constexpr double longest = 3600e3;
        if (end == text->c_str() || value < 0 || value > longest)
            return std::nullopt;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
    }

    std::uint64_t newRun()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(now).count());
    }

    mesh::node_options nodeOptions(const daemon_settings& settings)
    {
        mesh::node_options options;
        options.name = settings.name;
        options.run = newRun();
        options.region = settings.region;
        options.availabilityZone = settings.availabilityZone;
        options.service = settings.service;
        options.address = settings.links;
        options.seed = options.run ^ makeNodeId(settings.name).value;
        options.drainTime = settings.drainTime;
        options.retryRatio = settings.retryRatio;
        options.retryReserve = settings.retryReserve;
        return options;
    }

} // namespace

struct mesh_daemon::state {
    state(daemon_settings given, deployment platform);

    daemon_settings settings;
    deployment adapter;
    reactor loop;
    log_sink log;
    mesh::node core;
    mesh::registry registry;
    http_server clients;
    http_server health;
    http_server control;
    http_server metrics;
    http_pool backend;
    frame_links links;
    status_socket statuses;
    store_port store;
    node_page page;
    std::uint64_t coreTimer = 0;
    time_point coreTimerAt = time_point::max();
    std::uint64_t registryTimer = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> exchangeOf; ///< of the backend server, by attempt
    std::optional<store_watch_id> watch;
    bool probing = false;
    bool stopping = false;
    bool inTurn = false;
    std::vector<mesh::event> pending;
    time_point stopAt {};
    time_point quitAnywayAt {};

    server_events clientEvents();
    server_events simpleEvents(http_server& server, std::function<http_answer(const http_request&)> handler);
    links_events linkEvents();
    result<void> start();
    void handle(mesh::event event);
    void handlePending();
    void tick();
    void carryOut(mesh::actions& actions);
    void arm();
    void write(const mesh::log_event& line) { log.write(line, bootTime()); }
    void acceptClient(std::uint64_t exchange, http_request request);
    void runOnBackend(const mesh::run_on_backend& run);
    void backendEnded(std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome);
    void probeBackend();
    void checkBackend(const std::string& healthPath);
    http_answer answerControl(const http_request& request);
    void takeDocument(const std::string& document);
    void tickRegistry();
    void carryOut(mesh::registry::outcome& outcome);
    void startWatch(store_revision from);
    void listEntries(const std::vector<std::string>& entries);
    void checkStop();
};

mesh_daemon::state::state(daemon_settings given, deployment platform)
    : settings(std::move(given))
    , adapter(std::move(platform))
    , log(STDOUT_FILENO, settings.name)
    , core(nodeOptions(settings))
    , registry({ adapter.configurationKey, adapter.entryPrefix, settings.name,
          toText(settings.links) + entrySeparator + settings.availabilityZone })
    , clients(loop, settings.clients, clientEvents())
    , health(loop, settings.health,
          simpleEvents(health,
              [this](const http_request&) {
                  return plainAnswer(
                      core.ready() ? statusOk : statusUnavailable, core.ready() ? "ready\n" : "not ready\n");
              }))
    , control(loop, settings.control,
          simpleEvents(control, [this](const http_request& request) { return answerControl(request); }))
    , metrics(loop, settings.metrics,
          simpleEvents(metrics,
              [this](const http_request&) { return plainAnswer(statusOk, page.text(core.statistics(bootTime()))); }))
    , backend(loop, settings.backend)
    , links(loop, settings.links, linkEvents())
    , statuses(loop, settings.links, [this](mesh::status_received received) { handle(std::move(received)); })
    , store(adapter.openStore(loop, settings.store))
{
}

server_events mesh_daemon::state::clientEvents()
{
    server_events events;
    events.request
        = [this](std::uint64_t exchange, http_request request) { acceptClient(exchange, std::move(request)); };
    events.gone = [this](std::uint64_t exchange) {
        page.forget(exchange);
        handle(mesh::client_disconnected { exchange });
    };
    return events;
}

server_events mesh_daemon::state::simpleEvents(
    http_server& server, std::function<http_answer(const http_request&)> handler)
{
    server_events events;
    events.request = [&server, handler = std::move(handler)](std::uint64_t exchange, const http_request& request) {
        server.answer(exchange, handler(request));
    };
    events.gone = [](std::uint64_t) {};
    return events;
}

links_events mesh_daemon::state::linkEvents()
{
    return { [this](mesh::frame_received received) { handle(std::move(received)); },
        [this](mesh::link_closed closed) {
            if (!closed.peer.ip.empty())
                write({ "link_closed",
                    { { "peer", toText(closed.peer) }, { "opened", closed.established ? "1" : "0" } } });
            handle(std::move(closed));
        },
        [this](mesh::link_suspected suspected) { handle(std::move(suspected)); } };
}

result<void> mesh_daemon::state::start()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    for (auto* server : { &clients, &health, &control, &metrics }) {
        if (auto opened = server->listen(); !opened)
            return opened;
    }
    if (auto opened = links.listen(); !opened)
        return opened;
    if (auto opened = statuses.open(); !opened)
        return opened;
    loop.atTurnEnd([this] {
        arm();
        log.flush();
    });
    write({ "start",
        { { "region", settings.region }, { "zone", settings.availabilityZone }, { "service", settings.service },
            { "clients", toText(settings.clients) }, { "links", toText(settings.links) } } });
    tick();
    tickRegistry();
    log.flush();
    return {};
}

/// Events that arise while one is handled wait for its end, so that the core is never entered twice.
void mesh_daemon::state::handle(mesh::event event)
{
    pending.push_back(std::move(event));
    if (!inTurn)
        handlePending();
}

void mesh_daemon::state::handlePending()
{
    inTurn = true;
    for (std::size_t index = 0; index < pending.size(); ++index) {
        mesh::actions actions;
        auto next = std::move(pending[index]);
        core.handle(std::move(next), bootTime(), actions);
        carryOut(actions);
    }
    pending.clear();
    inTurn = false;
}

void mesh_daemon::state::tick()
{
    mesh::actions actions;
    inTurn = true;
    core.tick(bootTime(), actions);
    carryOut(actions);
    handlePending();
}

void mesh_daemon::state::arm()
{
    const auto next = core.nextTimer();
    if (next >= coreTimerAt)
        return;
    loop.cancelTimer(coreTimer);
    coreTimerAt = next;
    coreTimer = loop.callAt(next, [this] {
        coreTimerAt = time_point::max();
        tick();
    });
}

void mesh_daemon::state::carryOut(mesh::actions& actions)
{
    struct handler {
        mesh_daemon::state& own;

        void operator()(const mesh::send_response& each) const
        {
            own.page.countAnswer(each.call, each.content.status, bootTime());
            own.clients.answer(each.call, each.content);
        }
        void operator()(const mesh::send_frame& each) const
        {
            own.links.send(each.peer, each.bytes, each.expectedReplyDelta);
        }
        void operator()(const mesh::reply_frame& each) const { own.links.reply(each.link, each.bytes); }
        void operator()(const mesh::send_status& each) const
        {
            // Like a datagram that is lost on its way: the next status makes up for it.
            if (const auto sent = own.statuses.send(each.peer, each.bytes); !sent)
                own.write({ "status_unsent", { { "reason", sent.error().message } } });
        }
        void operator()(const mesh::run_on_backend& each) const { own.runOnBackend(each); }
        void operator()(const mesh::cancel_on_backend& each) const
        {
            const auto found = own.exchangeOf.find(each.attempt);
            if (found == own.exchangeOf.end())
                return;
            own.backend.cancel(found->second);
            own.exchangeOf.erase(found);
        }
        void operator()(const mesh::check_backend& each) const { own.checkBackend(each.healthPath); }
        void operator()(const mesh::load_configuration& each) const { own.takeDocument(each.document); }
        void operator()(const mesh::log_event& each) const { own.write(each); }
    };
    for (const auto& each : actions)
        std::visit(handler { *this }, each);
}

void mesh_daemon::state::acceptClient(std::uint64_t exchange, http_request request)
{
    const auto& names = adapter.headers;
    mesh::client_request event;
    event.call = exchange;
    const auto read = [&](const std::string& name) {
        const auto* value = findHeader(request.headers, name);
        return value ? *value : std::string();
    };
    event.requestId = read(names.requestId);
    event.host = read("Host");
    const auto key = read(names.key);
    if (!key.empty())
        event.key = digestOf(key);
    event.deadline = parseMilliseconds(findHeader(request.headers, names.deadline));
    const auto connectionHeader = read("Connection");
    std::erase_if(request.headers, [&](const header& each) {
        for (const auto* name :
            { &names.requestId, &names.deadline, &names.key, &names.team, &names.endpoint, &names.callerService }) {
            if (sameName(each.name, *name))
                return true;
        }
        return isHopByHop(each.name, connectionHeader);
    });
    event.content = std::move(request);
    page.begin(exchange, bootTime());
    handle(std::move(event));
}

void mesh_daemon::state::runOnBackend(const mesh::run_on_backend& run)
{
    const auto& names = adapter.headers;
    exchange_request request;
    request.content = run.content;
    auto& headers = request.content.headers;
    std::vector<header> own { { "Host", run.host }, { names.requestId, run.requestId },
        { names.deadline, std::to_string(std::max<std::int64_t>(1, run.remaining.count() / 1000)) },
        { names.endpoint, run.endpoint }, { names.callerService, run.callerService } };
    if (!run.team.empty())
        own.push_back({ names.team, run.team });
    headers.insert(headers.begin(), own.begin(), own.end());
    request.idHeader = names.requestId;
    request.id = run.requestId;
    const auto attempt = run.attempt;
    const bool idempotent = run.idempotent;
    exchangeOf[attempt] = backend.start(
        std::move(request), [this, attempt, idempotent](tl::expected<http_answer, exchange_failure> outcome) {
            exchangeOf.erase(attempt);
            backendEnded(attempt, idempotent, std::move(outcome));
        });
}

void mesh_daemon::state::backendEnded(
    std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome)
{
    const auto& names = adapter.headers;
    mesh::backend_result result { attempt, tl::unexpected(mesh::failure_kind::lost) };
    if (!outcome) {
        if (outcome.error() == exchange_failure::notSent) {
            result.outcome = tl::unexpected(mesh::failure_kind::notExecuted);
            handle(std::move(result));
            handle(mesh::backend_reachability { false });
            probeBackend();
            return;
        }
        handle(std::move(result));
        return;
    }
    auto& answer = *outcome;
    const bool signedAnswer = findHeader(answer.headers, names.signature) != nullptr;
    const bool refused = findHeader(answer.headers, names.notRun) != nullptr || answer.status == statusMisdirected;
    // These statuses state that a request did not run. A backend server that runs it and then answers so is not
    // believed, and its answer is not passed on for a request that may run only once.
    const bool claimsUnrun = answer.status == statusUnavailable || answer.status == 429 || answer.status == 408;
    if (refused)
        result.outcome = tl::unexpected(mesh::failure_kind::rejected);
    else if ((signedAnswer || answer.status >= firstError) && (idempotent || !claimsUnrun)) {
        const auto* connectionHeader = findHeader(answer.headers, "Connection");
        const std::string listed = connectionHeader ? *connectionHeader : "";
        std::erase_if(answer.headers, [&](const header& each) { return isHopByHop(each.name, listed); });
        result.outcome = std::move(answer);
    } else
        write({ "answer_unusable",
            { { "attempt", std::to_string(attempt) }, { "status", std::to_string(answer.status) },
                { "signed", signedAnswer ? "1" : "0" } } });
    handle(std::move(result));
}

/// Looks for the backend server's port until it takes connections again.
void mesh_daemon::state::probeBackend()
{
    if (probing)
        return;
    probing = true;
    loop.callAt(bootTime() + probeInterval, [this] {
        backend.probe([this](bool reachable) {
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
    request.content.headers = { { "Host", toText(settings.backend) } };
    request.timeout = checkTimeout;
    backend.start(std::move(request), [this](tl::expected<http_answer, exchange_failure> outcome) {
        mesh::backend_check_result checked;
        const auto* id = outcome ? findHeader(outcome->headers, adapter.headers.instance) : nullptr;
        if (id)
            checked.id = *id;
        checked.healthy = outcome && outcome->status == statusOk;
        handle(std::move(checked));
    });
}

http_answer mesh_daemon::state::answerControl(const http_request& request)
{
    const auto notice = adapter.parseNotice(request);
    if (!notice) {
        write({ "notice_rejected", { { "path", request.path }, { "reason", notice.error().message } } });
        const bool unknown = notice.error().kind == error_kind::notFound;
        return plainAnswer(unknown ? statusNotFound : statusBadRequest, notice.error().message + "\n");
    }
    std::visit([this](const auto& each) { handle(each); }, *notice);
    http_answer answer;
    answer.status = statusOk;
    answer.headers.push_back({ "Content-Type", "application/json" });
    answer.body = makeBytes("{}");
    return answer;
}

void mesh_daemon::state::takeDocument(const std::string& document)
{
    auto parsed = adapter.parseConfiguration(document);
    if (!parsed) {
        write({ "configuration_rejected", { { "reason", parsed.error().message } } });
        return;
    }
    if (parsed->version <= core.configurationVersion())
        return;
    auto index = std::make_shared<const mesh::configuration_index>(std::move(*parsed));
    clients.setLimits(index->content().limits);
    if (const auto* own = index->findService(settings.service); own && own->maxConnections > 0)
        backend.setMaxConnections(own->maxConnections);
    handle(mesh::configuration_received { std::move(index), document });
}

void mesh_daemon::state::tickRegistry()
{
    mesh::registry::outcome outcome;
    registry.tick(bootTime(), outcome);
    carryOut(outcome);
}

void mesh_daemon::state::carryOut(mesh::registry::outcome& outcome)
{
    for (auto& call : outcome.calls) {
        const auto token = call.token;
        page.countStoreCall();
        store.call(std::move(call.operation), storeTimeout, [this, token](result<store_reply> reply) {
            mesh::registry::outcome next;
            registry.handle({ token, std::move(reply) }, bootTime(), next);
            carryOut(next);
        });
    }
    for (const auto& line : outcome.log)
        write(line);
    if (outcome.document)
        takeDocument(*outcome.document);
    if (outcome.entries)
        listEntries(*outcome.entries);
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
            write({ "watch_ended", {} });
            registry.watchEnded(bootTime());
        }
        carryOut(outcome);
    });
}

void mesh_daemon::state::listEntries(const std::vector<std::string>& entries)
{
    mesh::nodes_listed listed;
    for (const auto& each : entries) {
        const auto end = each.find(entrySeparator);
        auto address = parseAddress(std::string_view(each).substr(0, end));
        if (address)
            listed.nodes.push_back({ std::move(*address), end == std::string::npos ? "" : each.substr(end + 1) });
        else
            write({ "entry_ignored", { { "reason", address.error().message } } });
    }
    handle(std::move(listed));
}

void mesh_daemon::state::checkStop()
{
    const auto now = bootTime();
    const bool done = now >= stopAt && core.idle();
    if (!done && now < quitAnywayAt) {
        loop.callAt(now + std::chrono::milliseconds(50), [this] { checkStop(); });
        return;
    }
    write({ "stop",
        { { "idle", core.idle() ? "1" : "0" },
            { "in_flight", std::to_string(core.statistics(bootTime()).callsInFlight) } } });
    log.flush();
    loop.quit();
}

mesh_daemon::mesh_daemon(daemon_settings settings, deployment adapter)
    : m_state(std::make_unique<state>(std::move(settings), std::move(adapter)))
{
}

mesh_daemon::~mesh_daemon() = default;

result<void> mesh_daemon::start() { return m_state->start(); }

void mesh_daemon::run() { m_state->loop.run(); }

void mesh_daemon::stop()
{
    auto& own = *m_state;
    if (own.stopping)
        return;
    own.stopping = true;
    const auto now = bootTime();
    own.stopAt = now + stopSpread;
    own.quitAnywayAt = now + std::max(own.settings.stopTime - stopMargin, stopSpread);
    own.write({ "stopping", { { "in_flight", std::to_string(own.core.statistics(bootTime()).callsInFlight) } } });
    own.handle(mesh::leave_request {});
    own.clients.closeAfterAnswers();
    mesh::registry::outcome outcome;
    own.registry.leave(outcome);
    own.carryOut(outcome);
    own.checkStop();
}

void mesh_daemon::reload(const daemon_settings& settings)
{
    auto& own = *m_state;
    own.write({ "reload", { { "changed", settings == own.settings ? "0" : "1" } } });
}

void mesh_daemon::rejectReload(const error& why)
{
    m_state->write({ "reload_rejected", { { "reason", why.message } } });
}

reactor& mesh_daemon::loop() { return m_state->loop; }

} // namespace limpet::proxy
