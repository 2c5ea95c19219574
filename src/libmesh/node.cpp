#include "state.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    // Fractions of the fleet-wide retry bound that are used: of its ratio, and of its reserve. The rest covers nested
    // calls of retried executions whose parent is not recognized, and the one retry that each node may hold.
    constexpr double usedRatio = 0.9;
    constexpr double initialReserve = 0.4;
    constexpr double storedReserve = 0.4;
    constexpr double recurringReserve = 0.4;
    // Without knowledge of the call trees, all nested calls of retried executions must be covered.
    constexpr double usedFractionWithoutTrees = 0.5;

    retry_budget::options retryOptions(const node_options& options)
    {
        if (!options.treeAware)
            return { options.tuning.retryRatio * usedFractionWithoutTrees,
                options.tuning.retryReserve * usedFractionWithoutTrees };
        const double window = std::chrono::duration<double>(options.tuning.retryWindow).count();
        return { options.tuning.retryRatio * usedRatio, options.tuning.retryReserve * initialReserve,
            options.tuning.retryReserve * storedReserve, options.tuning.retryReserve * recurringReserve / window };
    }

} // namespace

node::state::state(node_options given)
    : options(std::move(given))
    , rates(options.loadBalancing.otherRegionStatusTimeout, options.run)
    , retries(retryOptions(options))
    , random(options.seed)
{
    self.node = options.name;
    self.run = options.run;
    self.address = options.address;
    self.region = options.region;
    self.availabilityZone = options.availabilityZone;
    self.service = options.service;
}

void node::state::handle(event given, time_point now, actions& out)
{
    struct handler {
        node::state& own;
        time_point now;
        actions& out;

        void operator()(client_request& each) const { own.accept(std::move(each), now, out); }
        void operator()(const client_disconnected& each) const { own.cancelClientCall(each.call, now, out); }
        void operator()(backend_result& each) const { own.handleBackendResult(std::move(each), now, out); }
        void operator()(const backend_heartbeat& each) const { own.handleHeartbeat(each, now, out); }
        void operator()(const backend_deregistration& each) const { own.handleDeregistration(each.id, now, out); }
        void operator()(const backend_check_result& each) const { own.handleCheckResult(each, now, out); }
        void operator()(const backend_reachability& each) const
        {
            if (own.backend.reachable == each.reachable)
                return;
            own.backend.reachable = each.reachable;
            own.urgentStatusDue = true;
            log(out, each.reachable ? "backend_regained" : "backend_lost", { { "backend", own.backend.id } });
            if (!each.reachable)
                own.refuseQueued(refusal_reason::noBackendServer, now, out);
            else
                own.assumeCold("regained", now, out);
        }
        void operator()(const frame_received& each) const { own.receiveFrame(each, now, out); }
        void operator()(const link_closed& each) const
        {
            own.links.erase(each.link);
            own.cancelLinkServing(each.link, now, out);
            if (each.carried == traffic_class::bulk) {
                own.endPull(each.peer, now);
                return;
            }
            auto* peer = own.peerByAddress(each.peer);
            if (!peer)
                return;
            peer->linkEnded = true;
            own.failAttemptsAt(
                std::string(peer->node), each.established ? failure_kind::lost : failure_kind::notExecuted, now, out);
        }
        void operator()(const link_suspected& each) const { own.suspectLink(each, now, out); }
        void operator()(const status_received& each) const { own.receiveStatus(each, now, out); }
        void operator()(configuration_received& each) const { own.applyConfiguration(std::move(each), now, out); }
        void operator()(const evacuations_read& each) const { own.mergeEvacuations(each, now, out); }
        void operator()(const nodes_listed& each) const { own.addListedNodes(each, now); }
        void operator()(const store_reachability& each) const
        {
            own.storeReachable = each.reachable;
            own.urgentStatusDue = true;
        }
        void operator()(const tuning_changed& each) const
        {
            own.options.tuning = each.tuning;
            own.retries.configure(retryOptions(own.options));
        }
        void operator()(const leave_request& each) const { own.leave(each, now); }
    };
    std::visit(handler { *this, now, out }, given);
}

void node::state::tick(time_point now, actions& out)
{
    if (!std::exchange(started, true))
        startIntroduction(now);
    expireCalls(now, out);
    hedgeSilentAttempts(now, out);
    if (now >= servingDeadline())
        refuseQueued(refusal_reason::draining, now, out);
    if (paced)
        updatePace(now, out);
    checkWarmth(now, out);
    applyAdmission(admissionControl.expire(now), now, out);
    cancelOverdueServing(now, out);
    advanceLeaving(now, out);
    refuseUnconfirmed(now, out);
    retries.setNodeCount(peers.size() + 1);
    checkCandidate(now, out);
    expirePeers(now, out);
    releaseWithheld(now, out);
    pullConfiguration(now, out);
    sendOwnStatus(now, out);
    sendBundles(now, out);
    requestStatuses(now, out);
}

time_point node::state::nextTimer() const
{
    auto next = std::min({ nextStatusAt, nextBundleAt, nextConfigurationTimer(), nextRecallAt });
    if (!deadlines.empty())
        next = std::min(next, deadlines.begin()->first);
    if (!impatience.empty())
        next = std::min(next, impatience.begin()->first);
    if (const auto admissionTimer = admissionControl.nextTimer())
        next = std::min(next, *admissionTimer);
    if (urgentStatusDue)
        next = std::min(next, lastStatusAt + minStatusInterval);
    if (config)
        next = std::min(next, candidate.checkAt);
    if (paced)
        next = std::min(next, self.coldUntil);
    next = std::min(next, nextWarmthTimer());
    if (admissionControl.queued() > 0)
        next = std::min(next, servingDeadline());
    if (!servingDeadlines.empty())
        next = std::min(next, servingDeadlines.begin()->first + cancelGrace);
    if (!confirmationTimeouts.empty())
        next = std::min(next, confirmationTimeouts.begin()->first);
    for (const auto& [address, each] : unknownNodes)
        next = std::min(next, each.requestedAt + statusRequestInterval);
    return next;
}

node::node(node_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
}

node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

void node::handle(event event, time_point now, actions& out) { m_state->handle(std::move(event), now, out); }

void node::tick(time_point now, actions& out) { m_state->tick(now, out); }

time_point node::nextTimer() const { return m_state->nextTimer(); }

bool node::ready() const { return m_state->config != nullptr && !m_state->self.leaving; }

bool node::idle() const
{
    return m_state->calls.empty() && m_state->serving.empty() && m_state->unconfirmedCalls.empty();
}

bool node::servesLink(std::uint64_t link) const
{
    const auto first = m_state->servingByKey.lower_bound({ link, 0 });
    return first != m_state->servingByKey.end() && first->first.link == link;
}

node_statistics node::statistics(time_point now) const
{
    auto counts = m_state->counts;
    counts.callsInFlight = m_state->calls.size();
    counts.running = m_state->admissionControl.inFlight();
    counts.queued = m_state->admissionControl.queued();
    counts.concurrencyLimit = m_state->admissionControl.limit();
    counts.peers = m_state->peers.size();
    counts.livePeers = static_cast<std::size_t>(std::count_if(m_state->peers.begin(), m_state->peers.end(),
        [&](const auto& each) { return m_state->isLive(each.second, now); }));
    counts.configurationVersion = configurationVersion();
    return counts;
}

std::uint64_t node::configurationVersion() const { return m_state->config ? m_state->config->content().version : 0; }

std::shared_ptr<const configuration_index> node::currentConfiguration() const { return m_state->config; }

bool node::readsConfiguration(time_point now) const { return m_state->readsConfiguration(now); }

} // namespace limpet::mesh
