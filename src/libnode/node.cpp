#include "state.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    fleet_settings fleetSettings(const node_options& options)
    {
        fleet_settings settings;
        settings.self.id = makeNodeId(options.name);
        settings.self.name = options.name;
        settings.self.address = options.linkAddress;
        settings.self.region = options.region;
        settings.self.zone = options.availabilityZone;
        settings.self.run = options.run;
        settings.regions = options.regions;
        settings.seeds = options.seeds;
        settings.confirmationBound = options.keyConfirmationBound;
        return settings;
    }

    quota_settings quotaSettings(const node_options& options)
    {
        quota_settings settings;
        settings.self = makeNodeId(options.name);
        settings.run = options.run;
        settings.region = options.region;
        settings.availabilityZone = options.availabilityZone;
        settings.policy = options.quotaPolicy;
        return settings;
    }

    claim_settings claimSettings(const node_options& options)
    {
        claim_settings settings;
        settings.self = makeNodeId(options.name);
        settings.run = options.run;
        settings.writesPerSecond = options.claimWritesPerSecond;
        return settings;
    }

    attempt_settings attemptSettings(const node_options& options)
    {
        attempt_settings settings;
        settings.maxDeadline = std::max(settings.maxDeadline, options.defaultDeadline);
        return settings;
    }

    endpoint_state endpointState(member_state state)
    {
        if (state == member_state::draining)
            return endpoint_state::draining;
        return state == member_state::suspect ? endpoint_state::suspect : endpoint_state::up;
    }

} // namespace

http_answer renderRefusal(const refusal& cause, const request_id& id)
{
    nlohmann::json body {
        { "reason", name(cause.reason) },
        { "remedy", remedy(cause.reason) },
        { "run", cause.run == execution_state::notExecuted ? "no" : "unknown" },
        { "detail", cause.detail },
        { "request_id", toString(id) },
    };
    http_answer answer;
    answer.status = httpStatus(cause.reason);
    answer.headers = { { "Content-Type", "application/json" }, { "Limpet-Refused", std::string(name(cause.reason)) },
        { "Limpet-Run", cause.run == execution_state::notExecuted ? "no" : "unknown" } };
    if (cause.retryAfter > duration::zero()) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(cause.retryAfter).count();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(cause.retryAfter).count();
        answer.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    answer.body = makeBytes(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    return answer;
}

node::state::state(node_options nodeOptions)
    : options(std::move(nodeOptions))
    , self(makeNodeId(options.name))
    , random(options.seed)
    , fleet(fleetSettings(options), random)
    , quota(quotaSettings(options), random.next())
    , claims(claimSettings(options), random.next())
    , attempts(attemptSettings(options))
    , admission(options.admission)
    , thresholds(options.thresholds)
    , retries(options.retries)
    , routing(options.routing, self, options.region, options.availabilityZone)
{
}

void node::state::log(log_line::level severity, std::string text)
{
    out->push_back(log_line { severity, std::move(text) });
}

void node::state::setTimer(time_point at, timer_kind kind, const request_id& subject)
{
    timers.insert({ at, kind, subject });
}

void node::state::clearTimer(time_point at, timer_kind kind, const request_id& subject)
{
    timers.erase({ at, kind, subject });
}

void node::state::sendTo(node_id to, std::string bytes)
{
    const auto found = members.find(to);
    const auto address = found == members.end() ? socket_address {} : found->second.address;
    out->push_back(send_frame { to, address, std::move(bytes) });
}

/// Sends a call message. A message to this node itself is queued without encoding.
void node::state::deliver(node_id to, const call_message& message)
{
    if (to != self) {
        sendTo(to, encode(message));
        return;
    }
    localMessages.push_back(message);
}

/// Handles messages to this node itself. They are deferred until the current event has been handled, so that no call is
/// erased while a function still refers to it.
void node::state::handleLocalMessages()
{
    const link_message fromSelf { self, options.run, {}, duration::zero() };
    while (!localMessages.empty()) {
        auto message = std::move(localMessages.front());
        localMessages.pop_front();
        handleCallMessage(fromSelf, message);
    }
}

void node::state::dispatchMessage(const link_message& message)
{
    switch (familyOf(message.bytes)) {
    case message_family::call: {
        auto decoded = parseCallMessage(message.bytes);
        if (!decoded)
            break;
        handleCallMessage(message, *decoded);
        return;
    }
    case message_family::fleet: {
        const auto decoded = parseFleetMessage(message.bytes);
        if (!decoded)
            break;
        fleet_actions actions;
        fleet.receive(message.from, *decoded, now, actions);
        execute(std::move(actions));
        return;
    }
    case message_family::quota: {
        const auto decoded = parseQuotaMessage(message.bytes);
        if (!decoded)
            break;
        std::vector<quota_action> actions;
        quota.receive(message.from, *decoded, now, actions);
        execute(std::move(actions));
        return;
    }
    case message_family::unknown:
        break;
    }
    ++statistics.ignoredMessages;
}

void node::state::handleCallMessage(const link_message& message, call_message& decoded)
{
    struct handler {
        node::state& owner;
        const link_message& message;

        void operator()(call_request& each) const
        {
            owner.onCallRequest(std::move(each), message.from, message.transit);
        }
        void operator()(const call_reply& each) const { owner.onCallReply(each, message.from); }
        void operator()(const call_refusal& each) const { owner.onCallRefusal(each, message.from); }
        void operator()(const call_cancel& each) const { owner.onCallCancel(each.attempt, message.from); }
        void operator()(const attempt_query& each) const { owner.onAttemptQuery(each, message.from); }
        void operator()(const attempt_status& each) const { owner.onAttemptStatus(each, message.from); }
        void operator()(const heartbeat& /*each*/) const { }
        void operator()(const drain_notice& /*each*/) const { owner.routing.markDraining(message.from, message.run); }
    };
    std::visit(handler { *this, message }, decoded);
}

void node::state::execute(fleet_actions&& actions)
{
    struct handler {
        node::state& owner;

        void operator()(send_message& each) const
        {
            owner.out->push_back(send_frame { each.to, each.address, encode(each.message) });
        }
        void operator()(store_call& each) const { owner.callStore(store_client::fleet, std::move(each)); }
        void operator()(start_store_watch& each) const { owner.out->push_back(std::move(each)); }
        void operator()(stop_store_watch& each) const { owner.out->push_back(std::move(each)); }
        void operator()(const members_changed& each) const { owner.onMembersChanged(each); }
        void operator()(const configuration_in_force& each) const { owner.onConfiguration(each); }
    };
    for (auto& each : actions)
        std::visit(handler { *this }, each);
}

void node::state::execute(std::vector<quota_action>&& actions)
{
    struct handler {
        node::state& owner;

        void operator()(const quota_send& each) const { owner.sendTo(each.to, encode(each.message)); }
        void operator()(const quota_completion& each) const { owner.onQuotaCompletion(each); }
        void operator()(store_call& each) const { owner.callStore(store_client::quota, std::move(each)); }
    };
    for (auto& each : actions)
        std::visit(handler { *this }, each);
}

void node::state::execute(std::vector<claim_action>&& actions)
{
    struct handler {
        node::state& owner;

        void operator()(const claim_result& each) const { owner.onClaimResult(each); }
        void operator()(store_call& each) const { owner.callStore(store_client::claims, std::move(each)); }
    };
    for (auto& each : actions)
        std::visit(handler { *this }, each);
}

void node::state::callStore(store_client client, store_call call)
{
    const auto token = nextStoreToken++;
    storeCalls.emplace(token, std::pair(client, call.token));
    call.token = token;
    out->push_back(std::move(call));
}

/// Tells all clients of the store in which era it replied to one of them.
void node::state::observeStoreEra(store_era era)
{
    fleet_actions fleetActions;
    fleet.observeStoreEra(era, now, fleetActions);
    execute(std::move(fleetActions));
    std::vector<quota_action> quotaActions;
    quota.observeStoreEra(era, now, quotaActions);
    execute(std::move(quotaActions));
    std::vector<claim_action> claimActions;
    claims.observeStoreEra(era, now, claimActions);
    execute(std::move(claimActions));
}

void node::state::onStoreResult(const store_result& result)
{
    observeStoreEra(result.era);
    const auto found = storeCalls.find(result.token);
    if (found == storeCalls.end())
        return;
    const auto [client, token] = found->second;
    storeCalls.erase(found);
    const store_result translated { token, result.reply, result.era };
    if (client == store_client::fleet) {
        fleet_actions actions;
        fleet.storeResult(translated, now, actions);
        execute(std::move(actions));
    } else if (client == store_client::quota) {
        std::vector<quota_action> actions;
        quota.storeResult(translated, now, actions);
        execute(std::move(actions));
    } else {
        std::vector<claim_action> actions;
        claims.storeResult(translated, now, actions);
        execute(std::move(actions));
    }
}

void node::state::onMembersChanged(const members_changed& changed)
{
    for (const auto& record : changed.members) {
        if (record.id == self)
            continue;
        if (record.state == member_state::dead) {
            members.erase(record.id);
            routing.remove(record.id);
            continue;
        }
        members[record.id] = record;
        if (record.service.empty()) {
            routing.remove(record.id);
            continue;
        }
        routing.update({ record.id, record.run, record.region, record.zone, record.service, endpointState(record.state),
                           record.slots, 0 },
            now);
    }
    updateMembers();
}

/// Passes the live members to quota and claims.
void node::state::updateMembers()
{
    std::vector<quota_member> quotaMembers;
    std::vector<claim_owner> owners;
    quotaMembers.reserve(members.size());
    owners.reserve(members.size() + 1);
    owners.push_back({ self, options.run });
    for (const auto& [id, record] : members) {
        quotaMembers.push_back({ id, record.region, record.zone, record.run });
        owners.push_back({ id, record.run });
    }
    claims.setLiveOwners(owners);
    std::vector<quota_action> actions;
    quota.setMembers(quotaMembers, now, actions);
    execute(std::move(actions));
}

void node::state::onConfiguration(const configuration_in_force& current)
{
    config = current.value;
    keys.clear();
    for (const auto& key : config->keys) {
        keys.emplace(prefixOf(key.value), key_entry { key.value, key.team });
    }
    std::vector<quota_action> actions;
    quota.configure(config->number, config->teams, options.regions, now, actions);
    execute(std::move(actions));
    updateOwnEndpoint();
    log(log_line::level::information, "Configuration in force. revision=" + std::to_string(config->number));
}

void node::state::runTimers()
{
    while (!timers.empty() && timers.begin()->at <= now) {
        const auto due = *timers.begin();
        timers.erase(timers.begin());
        if (due.kind == timer_kind::servedDeadline) {
            const auto found = served.find(due.subject);
            if (found != served.end())
                servedDeadlinePassed(found->second);
            continue;
        }
        const auto found = calls.find(due.subject.low);
        if (found == calls.end())
            continue;
        if (due.kind == timer_kind::callDeadline)
            callDeadlinePassed(found->second);
        else
            onPhaseTimer(found->second);
    }
}

void node::state::checkDrain()
{
    if (!drainRequested || drainReported)
        return;
    if (now < drainRequestedAt + options.drainGracePeriod)
        return;
    if (!admission.draining())
        admission.drain();
    if (calls.empty() && served.empty()) {
        drainReported = true;
        out->push_back(drained {});
    }
}

node::node(node_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
}

node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

void node::start(time_point now, node_actions& actions)
{
    m_state->now = now;
    m_state->out = &actions;
    fleet_actions fleetActions;
    m_state->fleet.start(now, fleetActions);
    m_state->execute(std::move(fleetActions));
}

void node::handle(node_event event, time_point now, node_actions& actions)
{
    struct handler {
        node::state& owner;

        void operator()(caller_request& each) const { owner.onCallerRequest(each); }
        void operator()(const caller_disconnected& each) const { owner.onCallerDisconnected(each.call); }
        void operator()(const backend_result& each) const { owner.onBackendResult(each); }
        void operator()(const backend_announcement& each) const { owner.onAnnouncement(each); }
        void operator()(const link_opened& each) const { owner.openLinks[each.peer] = each.run; }
        void operator()(const link_closed& each) const { owner.onLinkClosed(each.peer, each.opened); }
        void operator()(const link_message& each) const { owner.dispatchMessage(each); }
        void operator()(const store_result& each) const { owner.onStoreResult(each); }
        void operator()(const fleet_watch_event& each) const
        {
            owner.observeStoreEra(each.era);
            fleet_actions actions;
            owner.fleet.storeWatchEvent(each, owner.now, actions);
            owner.execute(std::move(actions));
        }
        void operator()(const drain_request& /*each*/) const
        {
            if (owner.drainRequested)
                return;
            owner.drainRequested = true;
            owner.drainRequestedAt = owner.now;
            fleet_actions actions;
            owner.fleet.drain(owner.now, actions);
            owner.execute(std::move(actions));
            for (const auto& [peer, run] : owner.openLinks)
                owner.deliver(peer, drain_notice {});
            owner.log(log_line::level::information, "Drain started.");
        }
    };
    m_state->now = now;
    m_state->out = &actions;
    std::visit(handler { *m_state }, event);
    m_state->handleLocalMessages();
    m_state->checkDrain();
}

void node::tick(time_point now, node_actions& actions)
{
    auto& impl = *m_state;
    impl.now = now;
    impl.out = &actions;
    impl.runTimers();
    if (impl.fleet.nextTimer() <= now) {
        fleet_actions fleetActions;
        impl.fleet.tick(now, fleetActions);
        impl.execute(std::move(fleetActions));
    }
    if (impl.quota.nextTimer() <= now) {
        std::vector<quota_action> quotaActions;
        impl.quota.tick(now, quotaActions);
        impl.execute(std::move(quotaActions));
    }
    if (impl.claims.nextTimer() <= now) {
        std::vector<claim_action> claimActions;
        impl.claims.tick(now, claimActions);
        impl.execute(std::move(claimActions));
    }
    const auto admissionTimer = impl.admission.nextTimer();
    if (admissionTimer && *admissionTimer <= now)
        impl.applyAdmissionActions(impl.admission.expire(now));
    impl.updateOwnEndpoint();
    impl.handleLocalMessages();
    impl.checkDrain();
}

time_point node::nextTimer() const
{
    const auto& impl = *m_state;
    time_point next = std::min({ impl.fleet.nextTimer(), impl.quota.nextTimer(), impl.claims.nextTimer() });
    if (!impl.timers.empty())
        next = std::min(next, impl.timers.begin()->at);
    if (const auto admissionTimer = impl.admission.nextTimer())
        next = std::min(next, *admissionTimer);
    const auto gracePeriodEnd = impl.drainRequestedAt + impl.options.drainGracePeriod;
    if (impl.drainRequested && impl.now < gracePeriodEnd)
        next = std::min(next, gracePeriodEnd);
    if (!impl.backendService.empty())
        next = std::min(next, impl.lastAnnouncement + impl.options.announceTimeout);
    return next;
}

node_id node::id() const { return m_state->self; }

bool node::ready() const { return m_state->ready(); }

node_statistics node::statistics() const
{
    auto statistics = m_state->statistics;
    statistics.callsInFlight = m_state->calls.size();
    statistics.backendInFlight = m_state->admission.inFlight();
    statistics.queued = m_state->admission.queued();
    statistics.concurrencyLimit = m_state->admission.limit();
    statistics.draining = m_state->drainRequested;
    return statistics;
}

const fleet& node::membership() const { return m_state->fleet; }

const routing_table& node::routes() const { return m_state->routing; }

} // namespace limpet
