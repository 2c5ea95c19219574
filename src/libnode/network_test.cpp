#include "network_test.h"

namespace limpet {
namespace {

    constexpr duration announceInterval = std::chrono::seconds(1);
    // Time after which the link adapter closes a link that receives nothing.
    constexpr duration linkTimeout = std::chrono::seconds(3);
    constexpr duration connectTimeout = std::chrono::seconds(2);
    constexpr std::uint16_t linkPort = 7000;

} // namespace

test_network::test_network(network_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    std::vector<std::string> regions;
    for (unsigned region = 0; region < m_options.regions; ++region)
        regions.push_back("region" + std::to_string(region));
    const auto zones = m_options.regions * m_options.zonesPerRegion;
    unsigned index = 0;
    for (const auto& service : m_options.services) {
        for (unsigned endpoint = 0; endpoint < m_options.endpointsPerService; ++endpoint, ++index) {
            test_vm vm;
            vm.name = "vm" + std::to_string(index);
            const auto zone = endpoint % zones;
            vm.region = regions[zone / m_options.zonesPerRegion];
            vm.zone = "zone" + std::to_string(zone);
            vm.service = service;
            vm.id = makeNodeId(vm.name);
            // The clocks of different VMs are unrelated.
            vm.clockOffset = std::chrono::seconds(m_random.below(1000000));
            m_byId[vm.id] = m_vms.size();
            m_vms.push_back(std::move(vm));
        }
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        start(vm);
}

void test_network::schedule(time_point when, std::function<void()> action)
{
    m_scheduled.emplace(std::max(when, m_now), std::move(action));
}

void test_network::recordState(node_state state, const test_vm& vm)
{
    m_history.push_back(node_changed { now(), vm.name, state, vm.name, vm.name });
}

void test_network::start(std::size_t index)
{
    auto& vm = m_vms[index];
    vm.run = static_cast<incarnation>(m_now.time_since_epoch().count());
    vm.alive = true;
    vm.stoppedCleanly = false;
    vm.paused = false;
    node_options options;
    options.name = vm.name;
    options.run = vm.run;
    options.region = vm.region;
    options.availabilityZone = vm.zone;
    for (unsigned region = 0; region < m_options.regions; ++region)
        options.regions.push_back("region" + std::to_string(region));
    options.linkAddress = { vm.name, linkPort };
    for (const std::size_t seed : { std::size_t { 0 }, m_vms.size() / 2 }) {
        if (seed != index)
            options.seeds.push_back({ m_vms[seed].name, linkPort });
    }
    options.seed = m_random.next();
    vm.core = std::make_unique<node>(options);
    recordState(node_state::up, vm);
    node_actions actions;
    vm.core->start(localTime(vm), actions);
    execute(index, actions);
    announce(index);
}

void test_network::announce(std::size_t index)
{
    const auto run = m_vms[index].run;
    runOnVm(index, [this, index] {
        auto& vm = m_vms[index];
        if (vm.backendUp)
            deliver(index, backend_announcement { vm.service, m_options.slots, false });
    });
    schedule(m_now + announceInterval, [this, index, run] {
        if (m_vms[index].alive && m_vms[index].run == run)
            announce(index);
    });
}

/// Runs an action on a VM: immediately, after its pause, or not at all if it is dead.
void test_network::runOnVm(std::size_t index, std::function<void()> action)
{
    auto& vm = m_vms[index];
    if (!vm.alive)
        return;
    if (vm.paused) {
        vm.deferredActions.emplace_back(m_now, std::move(action));
        return;
    }
    action();
    if (vm.alive)
        armTimer(index);
}

void test_network::deliver(std::size_t index, node_event event)
{
    auto& vm = m_vms[index];
    if (auto* message = std::get_if<link_message>(&event))
        message->transit = vm.transit;
    node_actions actions;
    vm.core->handle(std::move(event), localTime(vm), actions);
    execute(index, actions);
}

void test_network::armTimer(std::size_t index)
{
    auto& vm = m_vms[index];
    const auto next = vm.core->nextTimer();
    if (next == time_point::max())
        return;
    const auto when = std::max(m_now, next - vm.clockOffset);
    if (when >= vm.timerAt && vm.timerAt > m_now)
        return;
    vm.timerAt = when;
    schedule(when, [this, index, when, run = vm.run] {
        if (m_vms[index].run != run || m_vms[index].timerAt != when)
            return;
        m_vms[index].timerAt = time_point::max();
        runOnVm(index, [this, index] {
            auto& target = m_vms[index];
            node_actions actions;
            target.core->tick(localTime(target), actions);
            execute(index, actions);
        });
    });
}

void test_network::execute(std::size_t index, node_actions& actions)
{
    struct handler {
        test_network& net;
        std::size_t vm;

        void operator()(const answer_caller& each) const { net.onAnswer(vm, each); }
        void operator()(const send_frame& each) const { net.sendFrame(vm, each); }
        void operator()(const call_backend& each) const { net.receiveBackendCall(vm, each); }
        void operator()(const cancel_backend& each) const
        {
            net.schedule(net.m_now, [&owner = net, vm = vm, attempt = each.attempt] {
                owner.finishBackendCall(
                    vm, attempt, tl::unexpected(backend_failure::cancelled), run_outcome::cancelled);
            });
        }
        void operator()(const store_call& each) const { net.callStore(vm, each); }
        void operator()(const start_store_watch& each) const { net.startStoreWatch(vm, each); }
        void operator()(const stop_store_watch& each) const { net.m_vms[vm].watches.erase(each.prefix); }
        void operator()(const rate_token_consumed& each) const
        {
            net.m_history.push_back(rate_admitted { net.now(), net.m_vms[vm].name, each.team });
        }
        void operator()(const drained& /*each*/) const
        {
            auto& leaving = net.m_vms[vm];
            leaving.alive = false;
            leaving.stoppedCleanly = true;
            net.recordState(node_state::down, leaving);
            for (std::size_t other = 0; other < net.m_vms.size(); ++other)
                net.closeLink(vm, other, duration::zero());
        }
        void operator()(const log_line& each) const
        {
            constexpr std::string_view inForce = "Configuration in force. revision=";
            if (each.text.starts_with(inForce))
                net.m_history.push_back(
                    config_in_force { net.now(), net.m_vms[vm].name, std::stoull(each.text.substr(inForce.size())) });
        }
    };
    for (auto& each : actions)
        std::visit(handler { *this, index }, each);
}

std::size_t test_network::indexOf(node_id id, const socket_address& address) const
{
    const auto known = m_byId.find(id.value != 0 ? id : makeNodeId(address.ip));
    return known == m_byId.end() ? m_vms.size() : known->second;
}

duration test_network::delayBetween(const test_vm& left, const test_vm& right)
{
    const auto mean = left.region == right.region ? m_options.intraRegionDelay : m_options.interRegionDelay;
    return mean + duration(m_random.below(static_cast<std::uint64_t>(mean.count() / 2 + 1)));
}

void test_network::sendFrame(std::size_t from, const send_frame& frame)
{
    const auto to = indexOf(frame.to, frame.address);
    if (to >= m_vms.size() || to == from)
        return;
    ++m_framesSent;
    auto& source = m_vms[from];
    auto& target = m_vms[to];
    const bool isNew = m_links.find({ from, to }) == m_links.end();
    auto& link = m_links[{ from, to }];
    if (isNew) {
        link
            = { !isPartitioned(source, target) && target.alive, source.run, target.run, m_nextLinkGeneration++, m_now };
        if (!link.opened) {
            // A connection to a dead process is refused at once; across a partition it times out.
            closeLink(from, to, target.alive ? connectTimeout : delayBetween(source, target));
        } else {
            deliver(from, link_opened { target.id, target.run });
        }
    }
    if (!link.opened)
        return;
    if (!target.alive || target.run != link.targetRun) {
        closeLink(from, to, delayBetween(source, target));
        return;
    }
    if (isPartitioned(source, target)) {
        closeLink(from, to, linkTimeout);
        return;
    }
    // Messages sent to a paused process are read when it resumes. The sender closes the link after its timeout.
    if (target.paused)
        closeLink(from, to, linkTimeout);
    const auto arrival = std::max(link.lastArrival, m_now + delayBetween(source, target));
    link.lastArrival = arrival;
    schedule(arrival, [this, from, to, bytes = frame.bytes, generation = link.generation] {
        const auto found = m_links.find({ from, to });
        if (found == m_links.end() || found->second.generation != generation || isPartitioned(m_vms[from], m_vms[to]))
            return;
        if (m_vms[to].run != found->second.targetRun)
            return;
        const link_message message { m_vms[from].id, found->second.sourceRun, bytes };
        runOnVm(to, [this, to, message] { deliver(to, message); });
    });
}

/// Closes the link over which one VM sends to another, and notifies the sender.
void test_network::closeLink(std::size_t from, std::size_t to, duration after)
{
    const auto found = m_links.find({ from, to });
    if (found == m_links.end())
        return;
    schedule(m_now + after, [this, from, to, generation = found->second.generation] {
        const auto link = m_links.find({ from, to });
        if (link == m_links.end() || link->second.generation != generation)
            return;
        const bool opened = link->second.opened;
        const auto run = link->second.sourceRun;
        m_links.erase(link);
        if (m_vms[from].run == run)
            runOnVm(from, [this, from, to, opened] { deliver(from, link_closed { m_vms[to].id, opened }); });
    });
}

void test_network::callStore(std::size_t index, const store_call& call)
{
    const auto run = m_vms[index].run;
    const auto answer = [this, index, run, token = call.token](result<store_reply> reply, store_era era) {
        schedule(m_now, [this, index, run, token, reply = std::move(reply), era] {
            if (m_vms[index].run == run)
                runOnVm(index, [this, index, token, reply, era] {
                    deliver(index, store_result { token, reply, era });
                });
        });
    };
    if (m_storePartition && m_storePartition(m_vms[index])) {
        schedule(m_now + std::chrono::milliseconds(1500), [answer, write = isWrite(call.operation)] {
            answer(fail(write ? error_kind::unknownOutcome : error_kind::unavailable, "store cannot be reached"), 0);
        });
        return;
    }
    m_store.port().call(call.operation, std::chrono::milliseconds(1500), answer);
}

void test_network::startStoreWatch(std::size_t index, const start_store_watch& watch)
{
    auto& vm = m_vms[index];
    vm.watches.insert(watch.prefix);
    const auto run = vm.run;
    m_store.port().watch(
        watch.prefix, watch.from, [this, index, run, prefix = watch.prefix](const store_watch_event& event) {
            auto& watcher = m_vms[index];
            if (watcher.run != run || watcher.watches.count(prefix) == 0)
                return;
            fleet_watch_event converted { prefix, {}, true,
                std::visit([](const auto& each) { return each.era; }, event) };
            const auto* changes = std::get_if<store_changes>(&event);
            if (m_storePartition && m_storePartition(watcher))
                changes = nullptr;
            if (changes) {
                converted.broken = false;
                for (const auto& change : changes->changes)
                    converted.changed.push_back(change.entry);
            }
            schedule(m_now, [this, index, run, converted] {
                if (m_vms[index].run == run)
                    runOnVm(index, [this, index, converted] { deliver(index, converted); });
            });
        });
}

void test_network::acceptConfiguration(const configuration& config)
{
    store_txn txn;
    txn.compares.push_back({ std::string(configurationKey), m_configRevision });
    txn.writes.emplace_back(store_put { std::string(configurationKey), encodeConfiguration(config) });
    if (m_config.number != 0)
        txn.writes.emplace_back(store_put { deltaKey(config.number), encodeDelta(m_config, config) });
    const auto reply = m_store.state().apply(txn, m_store.now());
    m_configRevision = std::get<store_txn_reply>(*reply).head;
    m_config = config;
    m_acceptedAt = m_now;
    m_history.push_back(config_accepted { now(), config.number });
    appendConfiguration(m_history, now(), config);
}

void test_network::partition(std::function<bool(const test_vm&, const test_vm&)> between)
{
    m_partition = std::move(between);
    recordIsolation();
}

void test_network::partitionStore(std::function<bool(const test_vm&)> from)
{
    m_storePartition = std::move(from);
    recordIsolation();
}

/// Records which VMs have lost or regained their path to the store, directly or through another node.
void test_network::recordIsolation()
{
    for (auto& vm : m_vms) {
        const auto reachesStore = [&](const test_vm& other) { return !m_storePartition || !m_storePartition(other); };
        const bool hasStorePath = std::any_of(m_vms.begin(), m_vms.end(),
            [&](const test_vm& other) { return other.alive && reachesStore(other) && !isPartitioned(vm, other); });
        if (hasStorePath != vm.isolated || !vm.alive || vm.paused)
            continue;
        vm.isolated = !hasStorePath;
        recordState(hasStorePath ? node_state::up : node_state::cutOff, vm);
    }
}

void test_network::stopStore()
{
    // A configuration that no node has read before the store stops cannot take effect.
    constexpr duration minAge = std::chrono::seconds(1);
    if (m_now - m_acceptedAt < minAge)
        return;
    m_storeDown = true;
    m_store.inject({ store_fault::down });
}

void test_network::startStore()
{
    m_storeDown = false;
    m_store.inject({ store_fault::down, false });
}

void test_network::runUntil(duration until)
{
    const auto end = time_point(until);
    while (true) {
        auto next = m_scheduled.empty() ? end : std::min(end, m_scheduled.begin()->first);
        if (const auto storeNext = m_store.nextEvent())
            next = std::min(next, *storeNext);
        m_now = std::max(m_now, next);
        m_store.advance(m_now);
        if (m_now >= end)
            return;
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
            const auto action = std::move(m_scheduled.begin()->second);
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
    }
}

void test_network::send(std::size_t index, const request_sent& sent, const std::string& key,
    std::function<void(const request_answered&)> callback)
{
    auto& vm = m_vms[index];
    auto recorded = sent;
    recorded.time = now();
    recorded.entry = vm.name;
    m_history.push_back(recorded);
    const auto callId = m_nextCall++;
    if (!vm.alive || vm.paused) {
        request_answered unanswered { now(), sent.request, 0, "connect" };
        m_history.push_back(unanswered);
        if (callback)
            callback(unanswered);
        return;
    }
    m_pendingCalls[{ index, callId }] = { index, sent.request, m_now, std::move(callback), std::nullopt };
    caller_request request;
    request.call = callId;
    request.content = { sent.method, sent.path, { { "Test-Request", sent.request } }, makeBytes({}) };
    if (!key.empty())
        request.key = digestOf(key);
    request.idempotencyKey = sent.idempotencyKey;
    request.deadline = sent.deadline;
    runOnVm(index, [this, index, request] { deliver(index, request); });
}

void test_network::onAnswer(std::size_t index, const answer_caller& answer)
{
    const auto found = m_pendingCalls.find({ index, answer.call });
    if (found == m_pendingCalls.end())
        return;
    const auto pending = std::move(found->second);
    m_pendingCalls.erase(found);
    if (pending.parentAttempt) {
        onChildAnswer(index, *pending.parentAttempt, answer.content.status);
        return;
    }
    request_answered event { now(), pending.request, answer.content.status };
    event.latency = m_now - pending.sentAt;
    if (answer.refused) {
        event.run = answer.refused->run;
        event.reason = name(answer.refused->reason);
        event.retryAfter = answer.refused->retryAfter;
    } else if (const auto parsed = parseAnswer(*answer.content.body)) {
        event.checksumValid = true;
        event.answeredRequest = parsed->request;
        event.server = parsed->server;
        event.bytes = answer.content.body->size();
    }
    m_history.push_back(event);
    if (pending.callback)
        pending.callback(event);
}

void test_network::kill(std::size_t index)
{
    auto& vm = m_vms[index];
    if (!vm.alive)
        return;
    vm.alive = false;
    vm.deferredActions.clear();
    recordState(node_state::down, vm);
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        m_links.erase({ index, other });
        closeLink(other, index, delayBetween(m_vms[other], vm));
    }
    // The connections of its callers are closed.
    for (auto pending = m_pendingCalls.begin(); pending != m_pendingCalls.end();) {
        if (pending->first.first != index) {
            ++pending;
            continue;
        }
        if (!pending->second.parentAttempt) {
            request_answered unanswered { now(), pending->second.request, 0, "closed" };
            m_history.push_back(unanswered);
            if (pending->second.callback)
                schedule(m_now, [callback = pending->second.callback, unanswered] { callback(unanswered); });
        }
        pending = m_pendingCalls.erase(pending);
    }
}

void test_network::restart(std::size_t index)
{
    kill(index);
    // The backend server of the replaced VM ends with it.
    for (const auto& [attempt, call] : m_vms[index].running)
        m_history.push_back(run_ended { now(), m_vms[index].name, headerValue(call.content, "Test-Request"),
            toString(attempt), run_outcome::cancelled });
    m_vms[index].running.clear();
    m_vms[index].watches.clear();
    start(index);
    armTimer(index);
}

void test_network::pause(std::size_t index)
{
    m_vms[index].paused = true;
    recordState(node_state::cutOff, m_vms[index]);
}

void test_network::resume(std::size_t index)
{
    auto& vm = m_vms[index];
    if (!vm.alive || !vm.paused)
        return;
    vm.paused = false;
    recordState(node_state::up, vm);
    auto deferred = std::move(vm.deferredActions);
    vm.deferredActions.clear();
    for (auto& [arrived, action] : deferred) {
        m_vms[index].transit = m_now - arrived;
        runOnVm(index, action);
    }
    m_vms[index].transit = duration::zero();
    armTimer(index);
}

void test_network::stop(std::size_t index)
{
    if (!m_vms[index].alive)
        return;
    recordState(node_state::stopping, m_vms[index]);
    runOnVm(index, [this, index] { deliver(index, drain_request {}); });
}

} // namespace limpet
