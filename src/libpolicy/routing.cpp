#include <algorithm>
#include <cmath>
#include <limits>
#include <limpetcroft/policy.h>

namespace limpet {

namespace {

    /// Weight of one attempt in an error rate.
    constexpr double errorRateWeight = 0.1;
    /// Time constant with which error rates decay, so that an endpoint that was avoided is tried again.
    constexpr double decaySeconds = 2;
    constexpr double latencyWeight = 0.2;
    /// An endpoint that fails or refuses every attempt scores as if it were slower by about this factor.
    constexpr double errorRatePenalty = 20;
    /// A suspect endpoint scores as if it were slower by this factor. Suspicion is weak evidence and never excludes it.
    constexpr double suspicionPenalty = 4;
    /// Announced slots may be wrong, so the ratio to their mean is bounded by this factor in both directions.
    constexpr double maxSlotsFactor = 4;
    /// Error rate of a locality above which calls spill over to the next one.
    constexpr double toleratedErrorRate = 0.1;
    /// A locality with errors keeps at least this fraction of its calls, so that its recovery is detected.
    constexpr double minKeptFraction = 0.1;
    /// Scores with a smaller relative difference count as equal, and the announced load decides.
    constexpr double scoreTolerance = 0.05;
    /// Lowest priority that spills over to another region while its own region still has endpoints.
    constexpr priority lowestSpilloverPriority = 3;

    double decayed(double value, time_point since, time_point now)
    {
        return value * std::exp(-std::chrono::duration<double>(now - since).count() / decaySeconds);
    }

    bool contains(std::span<const node_id> nodes, node_id node)
    {
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    }

} // namespace

double routing_table::weight(const target& candidate, double meanSlots, time_point now) const
{
    double weight = 1;
    if (candidate.entry.slots > 0 && meanSlots > 0)
        weight = std::clamp(candidate.entry.slots / meanSlots, 1 / maxSlotsFactor, maxSlotsFactor);
    const auto age = now - candidate.slowStartBegin;
    if (age < m_options.slowStartWindow) {
        const double ramp = static_cast<double>(std::max(age, duration(0)).count()) / m_options.slowStartWindow.count();
        weight *= std::max(m_options.minSlowStartShare, ramp);
    }
    return weight;
}

/// Estimated latency of a call behind those in flight, relative to the weight of the candidate, with penalties for
/// errors and suspicion; lower is better.
double routing_table::score(const target& candidate, double meanLatency, double weight, time_point now) const
{
    const double latency = candidate.latency > 0 ? candidate.latency : meanLatency;
    double score = latency * (1 + candidate.inFlight) / weight;
    score *= 1 + errorRatePenalty * decayed(candidate.errorRate, candidate.errorRateUpdated, now);
    if (candidate.entry.state == endpoint_state::suspect)
        score *= suspicionPenalty;
    return score;
}

routing_table::target* routing_table::chooseOfTwo(
    const tier& tier, std::span<const node_id> excluded, time_point now, random_source& random)
{
    m_candidates.clear();
    double weights = 0;
    double latencies = 0;
    unsigned known = 0;
    for (auto* member : tier.members) {
        if (member->ejectedUntil > now || contains(excluded, member->entry.node))
            continue;
        const double share = weight(*member, tier.meanSlots, now);
        m_candidates.push_back({ member, share });
        weights += share;
        latencies += member->latency;
        known += member->latency > 0 ? 1 : 0;
    }
    if (m_candidates.empty())
        return nullptr;
    const double meanLatency = known > 0 ? latencies / known : 1;
    const auto first = drawWeighted(weights, random);
    if (m_candidates.size() == 1)
        return m_candidates[first].member;
    const auto chosen = m_candidates[first];
    m_candidates[first] = m_candidates.back();
    m_candidates.pop_back();
    const auto other = m_candidates[drawWeighted(weights - chosen.weight, random)];
    const double chosenScore = score(*chosen.member, meanLatency, chosen.weight, now);
    const double otherScore = score(*other.member, meanLatency, other.weight, now);
    if (std::abs(chosenScore - otherScore) <= scoreTolerance * std::min(chosenScore, otherScore))
        return chosen.member->entry.load <= other.member->entry.load ? chosen.member : other.member;
    return chosenScore < otherScore ? chosen.member : other.member;
}

/// Returns the index of a random candidate, with a probability proportional to its weight. `weights` is their sum.
std::size_t routing_table::drawWeighted(double weights, random_source& random) const
{
    double remaining = random.uniform() * weights;
    for (std::size_t index = 0; index + 1 < m_candidates.size(); ++index) {
        remaining -= m_candidates[index].weight;
        if (remaining < 0)
            return index;
    }
    return m_candidates.size() - 1;
}

bool routing_table::spillsOver(const tier& tier, time_point now, random_source& random) const
{
    const double errorRate = decayed(tier.errorRate, tier.errorRateUpdated, now);
    if (errorRate <= toleratedErrorRate)
        return false;
    const double excess = (errorRate - toleratedErrorRate) / (1 - toleratedErrorRate);
    return random.uniform() < excess * (1 - minKeptFraction);
}

/// The less of the byte budget remains, the higher the priority that is required to use the paid link.
bool routing_table::mayUseRegionLink(priority importance, bool onlyChoice, time_point now)
{
    const double left = m_linkBudget.remainingFraction(now);
    if (left <= 0)
        return false;
    const double required = (1 - left) * (highestPriority + 1);
    return importance >= std::max<double>(std::floor(required), onlyChoice ? lowestPriority : lowestSpilloverPriority);
}

tl::expected<routing_choice, refusal_reason> routing_table::pick(std::string_view service,
    std::span<const node_id> excluded, priority importance, time_point now, random_source& random)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return tl::unexpected(refusal_reason::noBackendServer);
    auto& entry = found->second;
    if (m_options.kind != routing_kind::twoChoices) {
        const auto* target = pickBaseline(entry, excluded, random);
        if (target == nullptr)
            return tl::unexpected(refusal_reason::noBackendServer);
        return routing_choice { target->entry.node, target->where };
    }
    target* fallback = nullptr; // choice in the nearest locality that was skipped
    for (std::size_t where = 0; where < localityCount; ++where) {
        const auto& tier = entry.tiers[where];
        const bool remote = where == static_cast<std::size_t>(locality::otherRegion);
        if (tier.members.empty() || (remote && !mayUseRegionLink(importance, fallback == nullptr, now)))
            continue;
        auto* chosen = chooseOfTwo(tier, excluded, now, random);
        if (chosen == nullptr)
            continue;
        if (!spillsOver(tier, now, random))
            return routing_choice { chosen->entry.node, chosen->where };
        if (fallback == nullptr)
            fallback = chosen;
    }
    if (fallback != nullptr)
        return routing_choice { fallback->entry.node, fallback->where };
    const auto& others = entry.tiers[static_cast<std::size_t>(locality::otherRegion)].members;
    const bool withheld = std::any_of(others.begin(), others.end(),
        [&](const auto* other) { return other->ejectedUntil <= now && !contains(excluded, other->entry.node); });
    return tl::unexpected(withheld ? refusal_reason::overloaded : refusal_reason::noBackendServer);
}

routing_table::target* routing_table::pickBaseline(
    service_entry& service, std::span<const node_id> excluded, random_source& random)
{
    const auto count = service.nodes.size();
    if (count == 0)
        return nullptr;
    const auto first = m_options.kind == routing_kind::random ? random.below(count) : service.nextRoundRobin++;
    for (std::size_t step = 0; step < count; ++step) {
        auto& candidate = m_targets.at(service.nodes[(first + step) % count]);
        if (candidate.entry.state != endpoint_state::draining && !contains(excluded, candidate.entry.node))
            return &candidate;
    }
    return nullptr;
}

void routing_table::started(node_id node)
{
    const auto found = m_targets.find(node);
    if (found != m_targets.end())
        ++found->second.inFlight;
}

void routing_table::finished(node_id node, call_outcome outcome, duration latency, time_point now)
{
    const auto found = m_targets.find(node);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    target.inFlight -= target.inFlight > 0 ? 1 : 0;
    if (outcome == call_outcome::cancelled)
        return;
    const bool succeeded = outcome == call_outcome::success;
    const auto update = [&](double& value, time_point& updated) {
        value = decayed(value, updated, now);
        value += errorRateWeight * ((succeeded ? 0 : 1) - value);
        updated = now;
    };
    update(target.errorRate, target.errorRateUpdated);
    auto& tier = m_services.find(target.entry.service)->second.tiers[static_cast<std::size_t>(target.where)];
    update(tier.errorRate, tier.errorRateUpdated);
    if (succeeded || outcome == call_outcome::timeout) {
        const auto sample = static_cast<double>(std::max(latency, duration(1)).count());
        target.latency = target.latency == 0 ? sample : target.latency + latencyWeight * (sample - target.latency);
    }
    if (succeeded) {
        target.consecutiveFailures = 0;
        target.ejections = 0;
    } else if (outcome != call_outcome::shed) {
        // A shed is a valid answer of a working endpoint: it raises the score but does not count towards ejection.
        countFailure(target, now);
    }
}

void routing_table::countFailure(target& failed, time_point now)
{
    ++failed.consecutiveFailures;
    if (failed.consecutiveFailures < m_options.ejectionThreshold || failed.ejectedUntil > now)
        return;
    if (!mayEject(m_services.find(failed.entry.service)->second, now))
        return;
    const auto doublings = std::min(failed.ejections, 10U);
    const auto wanted = m_options.baseEjectionTime * (std::int64_t { 1 } << doublings);
    failed.ejectedUntil = now + std::min<duration>(wanted, m_options.maxEjectionTime);
    failed.slowStartBegin = failed.ejectedUntil;
    ++failed.ejections;
    // A single failure after the ejection is enough to eject the endpoint again.
    failed.consecutiveFailures = m_options.ejectionThreshold - 1;
}

/// Whether one more endpoint may be ejected. The maximum is a fraction of the endpoints in the subsets, because the
/// others get no calls.
bool routing_table::mayEject(const service_entry& service, time_point now) const
{
    std::size_t used = 0;
    std::size_t ejected = 0;
    for (const auto& tier : service.tiers) {
        used += tier.members.size();
        ejected += static_cast<std::size_t>(std::count_if(
            tier.members.begin(), tier.members.end(), [&](const auto* member) { return member->ejectedUntil > now; }));
    }
    return static_cast<double>(ejected + 1) <= m_options.maxEjectedFraction * static_cast<double>(used);
}

} // namespace limpet
