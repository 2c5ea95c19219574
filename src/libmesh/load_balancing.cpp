#include "load_balancing.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Fraction of the concurrency limit up to which load does not slow a backend server down.
    constexpr double uncongestedFraction = 0.7;
    // Cost added as load rises from uncongestedFraction to the limit, in multiples of the latency: it spreads calls
    // before a queue forms.
    constexpr double congestionWeight = 0.6;
    // Fraction of the limit from which calls spill over to other availability zones, and the cost per further multiple
    // of the limit. The mean latency does not show the queueing delay above it, since important calls overtake others.
    constexpr double spilloverFraction = 0.85;
    constexpr duration spilloverPenalty = std::chrono::milliseconds(400);
    // Cost of the failure rate: a failed call is wasted work, in multiples of the latency, and its call tree fails too
    // or takes one of the few retries, which is worth a longer way however fast the call fails.
    constexpr double failureWeight = 6;
    constexpr duration failurePenalty = std::chrono::milliseconds(500);
    // A queue longer than this multiple of the limit is about to refuse calls. An endpoint with capacity is better at
    // any distance.
    constexpr double longQueueFraction = 0.8;
    constexpr duration longQueuePenalty = std::chrono::seconds(1);
    // Additional cost during a cold start, in multiples of the latency.
    constexpr double coldWeight = 1;
    // Scale of the random choice within a zone: the weight falls by a factor of e for each additional cost of this
    // fraction of the lowest cost.
    constexpr double randomizationFraction = 0.15;

} // namespace

duration endpointCost(const endpoint& candidate, const std::string& region, const std::string& zone,
    const load_balancing_options& options, time_point now)
{
    const auto latency = candidate.load.latency > duration(0) ? candidate.load.latency : options.defaultLatency;
    const double limit = std::max(candidate.load.limit, 1U);
    const double utilization = (candidate.load.running + candidate.load.queued + candidate.sentSinceReport) / limit;
    double multiple = 1;
    if (utilization > uncongestedFraction)
        multiple += congestionWeight * (std::min(utilization, 1.0) - uncongestedFraction) / (1 - uncongestedFraction);
    if (utilization > 1)
        multiple += utilization - 1;
    const double failures = std::max(0.0, candidate.load.failureRate - options.usualFailureRate);
    multiple += failureWeight * failures;
    if (candidate.coldUntil > now)
        multiple += coldWeight;
    auto cost = duration(static_cast<std::int64_t>(static_cast<double>(latency.count()) * multiple));
    cost += duration(static_cast<std::int64_t>(static_cast<double>(failurePenalty.count()) * failures));
    if (utilization > spilloverFraction)
        cost += duration(static_cast<std::int64_t>(
            static_cast<double>(spilloverPenalty.count()) * (utilization - spilloverFraction)));
    if (utilization > 1 + longQueueFraction)
        cost += longQueuePenalty;
    if (candidate.region != region)
        cost += options.otherRegionPenalty;
    else if (candidate.availabilityZone != zone)
        cost += options.otherZonePenalty;
    return cost;
}

endpoint* chooseEndpoint(const std::vector<endpoint_candidate>& candidates, double draw)
{
    if (candidates.empty())
        return nullptr;
    const auto& best = *std::min_element(candidates.begin(), candidates.end(),
        [](const auto& left, const auto& right) { return left.cost < right.cost; });
    const double scale = std::max(1.0, randomizationFraction * static_cast<double>(best.cost.count()));
    const auto weight = [&](const endpoint_candidate& each) {
        if (each.target->availabilityZone != best.target->availabilityZone)
            return 0.0;
        const double extra = static_cast<double>((each.cost - best.cost).count());
        return std::max(each.target->load.limit, 1U) * std::exp(-extra / scale);
    };
    double totalWeight = 0;
    for (const auto& each : candidates)
        totalWeight += weight(each);
    double left = draw * totalWeight;
    for (const auto& each : candidates) {
        left -= weight(each);
        if (left < 0)
            return each.target;
    }
    return best.target;
}

} // namespace limpet::mesh
