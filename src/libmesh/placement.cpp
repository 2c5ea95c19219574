// Choice of the backend server for an attempt of a client request.

#include "state.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    bool includes(const std::vector<std::string>& allowedRegions, const std::string& region)
    {
        return allowedRegions.empty()
            || std::find(allowedRegions.begin(), allowedRegions.end(), region) != allowedRegions.end();
    }

} // namespace

bool isRegional(const ingress_call& call)
{
    return !call.matchedRoute->allowedRegions.empty() || (call.owner && !call.owner->allowedRegions.empty());
}

bool isAllowedIn(const ingress_call& call, const std::string& region)
{
    return includes(call.matchedRoute->allowedRegions, region)
        && (!call.owner || includes(call.owner->allowedRegions, region));
}

/// Whether a backend server of the service takes calls in a region allowed for the request.
bool node::state::hasAllowedEndpoint(const ingress_call& call, const std::string& service, time_point now) const
{
    const auto serves = [&](const endpoint& candidate) {
        return candidate.service == service && candidate.state == endpoint_state::ready
            && isAllowedIn(call, candidate.region);
    };
    return serves(self) || std::any_of(peers.begin(), peers.end(), [&](const auto& each) {
        return !each.second.leaving && serves(each.second) && isLive(each.second, now);
    });
}

/// Returns the latency assumed for an endpoint without measurements: the lowest of its service, at most the default, so
/// that a new endpoint gets calls.
duration node::state::expectedLatency(const std::string& service) const
{
    auto least = options.loadBalancing.defaultLatency;
    for (const auto& [name, peer] : peers) {
        if (peer.service == service && peer.load.latency > duration(0))
            least = std::min(least, peer.load.latency);
    }
    return least;
}

/// Chooses a backend server that the call has not been sent to. Without one, or if the route allows no further one, it
/// is sent again to one that rejected it.
endpoint* node::state::selectEndpoint(const ingress_call& call, time_point now)
{
    self.load = ownLoad();
    self.sentSinceReport = 0;
    self.state = canServe(now) && !backend.draining ? endpoint_state::ready : endpoint_state::down;
    auto balancing = options.loadBalancing;
    balancing.defaultLatency = expectedLatency(call.service);
    const auto known = serviceLoads.find(call.service);
    balancing.usualFailureRate = known == serviceLoads.end() ? 0 : known->second.failureRate;
    std::vector<endpoint_candidate> fresh;
    std::vector<endpoint_candidate> rejecting;
    const auto consider = [&](endpoint& candidate) {
        if (candidate.service != call.service || candidate.state != endpoint_state::ready || candidate.avoidUntil > now)
            return;
        if (!isAllowedIn(call, candidate.region) || isEvacuated(candidate.availabilityZone)
            || !canFinishAt(candidate, now))
            return;
        const bool tried = call.tried.contains(candidate.node);
        if (tried && !call.rejectedBy.contains(candidate.node))
            return;
        (tried ? rejecting : fresh)
            .push_back(
                { &candidate, endpointCost(candidate, options.region, options.availabilityZone, balancing, now) });
    };
    if (!self.leaving)
        consider(self);
    for (auto& [name, peer] : peers) {
        if (!peer.leaving && isLive(peer, now))
            consider(peer);
    }
    // A node that is shutting down uses its own backend server only as a last resort.
    if (fresh.empty() && rejecting.empty())
        consider(self);
    const bool useFresh = !fresh.empty() && (mayReachAnother(call) || !mayResend(call));
    if (!useFresh && !mayResend(call))
        return nullptr;
    return chooseEndpoint(useFresh ? fresh : rejecting, random.uniform());
}

/// Returns the rate at which calls arrive at all backend servers of the service, per second; 0 if unknown.
double node::state::fleetArrivals(const std::string& service) const
{
    const auto found = serviceLoads.find(service);
    return found == serviceLoads.end() ? 0 : found->second.arrivalsPerSecond;
}

void node::state::updateServiceLoads(time_point now)
{
    serviceLoads.clear();
    const auto add = [&](const std::string& service, double arrivalsPerSecond, double failures) {
        auto& sum = serviceLoads[service];
        sum.arrivalsPerSecond += arrivalsPerSecond;
        sum.failureRate += failures;
        ++sum.servers;
    };
    add(self.service, arrivals.perSecond(now), failureRate);
    for (const auto& [name, peer] : peers) {
        if (isLive(peer, now))
            add(peer.service, peer.load.arrivalsPerSecond, peer.load.failureRate);
    }
    for (auto& [service, sum] : serviceLoads)
        sum.failureRate /= sum.servers;
}

} // namespace limpet::mesh
