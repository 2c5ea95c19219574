#include <algorithm>
#include <cmath>
#include <limits>
#include <limpetcroft/policy.h>

namespace limpet {

namespace {

    /// Weight of one attempt in the decayed part of refused or failed attempts.
    constexpr double troubleWeight = 0.1;
    /// What was learned about refusals and latency fades with this time constant, so that an endpoint that is passed
    /// over is tried again.
    constexpr double fadeSeconds = 2;
    constexpr double latencyWeight = 0.2;
    /// An endpoint of which every recent attempt was refused scores as if it were this many times slower.
    constexpr double refusalPenalty = 20;
    /// Suspicion is weak evidence: it makes an endpoint look slower and never excludes it.
    constexpr double suspicionPenalty = 4;
    /// Announced slots may be wrong. Relative to the typical value they count at most by this factor.
    constexpr double slotsBound = 4;
    /// Part of failed or refused attempts of a locality above which calls spill over to the next one.
    constexpr double tolerableTrouble = 0.1;
    /// A locality in trouble keeps this part of its calls, so that its recovery is noticed.
    constexpr double keptPart = 0.1;
    /// Scores this close are equal, and the announced load decides.
    constexpr double nearlyEqual = 0.05;
    /// Lowest priority that spills over to another region, while its own region still has endpoints.
    constexpr priority lowestSpilled = 3;

    double fade(double value, time_point since, time_point now)
    {
        return value * std::exp(-std::chrono::duration<double>(now - since).count() / fadeSeconds);
    }

    bool contains(std::span<const node_id> nodes, node_id node)
    {
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    }

} // namespace

double routing_table::weight(const target& candidate, double typicalSlots, time_point now) const
{
    double weight = 1;
    if (candidate.entry.slots > 0 && typicalSlots > 0)
        weight = std::clamp(candidate.entry.slots / typicalSlots, 1 / slotsBound, slotsBound);
    const auto age = now - candidate.since;
    if (age < m_options.slowStartWindow) {
        const double ramp = static_cast<double>(std::max(age, duration(0)).count()) / m_options.slowStartWindow.count();
        weight *= std::max(m_options.minSlowStartShare, ramp);
    }
    return weight;
}

/// Lower is better.
double routing_table::score(const target& candidate, double typicalLatency, double weight, time_point now) const
{
    const double latency = candidate.latency > 0 ? candidate.latency : typicalLatency;
    double score = latency * (1 + candidate.inFlight) / weight;
    score *= 1 + refusalPenalty * fade(candidate.refusals, candidate.learned, now);
    if (candidate.entry.state == endpoint_state::suspect)
        score *= suspicionPenalty;
    return score;
}

routing_table::target* routing_table::choose(
    const tier& tier, std::span<const node_id> excluded, time_point now, random_source& random)
{
    m_candidates.clear();
    double weights = 0;
    double latencies = 0;
    unsigned known = 0;
    for (auto* member : tier.members) {
        if (member->ejectedUntil > now || contains(excluded, member->entry.node))
            continue;
        const double share = weight(*member, tier.typicalSlots, now);
        m_candidates.push_back({ member, share });
        weights += share;
        latencies += member->latency;
        known += member->latency > 0 ? 1 : 0;
    }
    if (m_candidates.empty())
        return nullptr;
    const double typicalLatency = known > 0 ? latencies / known : 1;
    const auto first = draw(weights, random);
    if (m_candidates.size() == 1)
        return m_candidates[first].member;
    const auto chosen = m_candidates[first];
    m_candidates[first] = m_candidates.back();
    m_candidates.pop_back();
    const auto other = m_candidates[draw(weights - chosen.weight, random)];
    const double chosenScore = score(*chosen.member, typicalLatency, chosen.weight, now);
    const double otherScore = score(*other.member, typicalLatency, other.weight, now);
    if (std::abs(chosenScore - otherScore) <= nearlyEqual * std::min(chosenScore, otherScore))
        return chosen.member->entry.load <= other.member->entry.load ? chosen.member : other.member;
    return chosenScore < otherScore ? chosen.member : other.member;
}

/// Returns the index of a candidate with a probability in proportion to its weight.
std::size_t routing_table::draw(double weights, random_source& random) const
{
    double left = random.uniform() * weights;
    for (std::size_t index = 0; index + 1 < m_candidates.size(); ++index) {
        left -= m_candidates[index].weight;
        if (left < 0)
            return index;
    }
    return m_candidates.size() - 1;
}

bool routing_table::passesOver(const tier& tier, time_point now, random_source& random) const
{
    const double trouble = fade(tier.trouble, tier.learned, now);
    if (trouble <= tolerableTrouble)
        return false;
    const double part = (trouble - tolerableTrouble) / (1 - tolerableTrouble);
    return random.uniform() < part * (1 - keptPart);
}

/// The less of the byte budget is left, the more important a request must be to use the paid link.
bool routing_table::mayUseLink(priority importance, bool onlyChoice, time_point now)
{
    const double left = m_link.remainingFraction(now);
    if (left <= 0)
        return false;
    const double required = (1 - left) * (highestPriority + 1);
    return importance >= std::max<double>(std::floor(required), onlyChoice ? lowestPriority : lowestSpilled);
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
    target* kept = nullptr; // best choice of a locality that was passed over
    for (std::size_t where = 0; where < localityCount; ++where) {
        const auto& tier = entry.tiers[where];
        const bool remote = where == static_cast<std::size_t>(locality::otherRegion);
        if (tier.members.empty() || (remote && !mayUseLink(importance, kept == nullptr, now)))
            continue;
        auto* chosen = choose(tier, excluded, now, random);
        if (chosen == nullptr)
            continue;
        if (!passesOver(tier, now, random))
            return routing_choice { chosen->entry.node, chosen->where };
        if (kept == nullptr)
            kept = chosen;
    }
    if (kept != nullptr)
        return routing_choice { kept->entry.node, kept->where };
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
    const auto first = m_options.kind == routing_kind::random ? random.below(count) : service.nextInTurn++;
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
    const bool good = outcome == call_outcome::success;
    const auto learn = [&](double& value, time_point& learned) {
        value = fade(value, learned, now);
        value += troubleWeight * ((good ? 0 : 1) - value);
        learned = now;
    };
    learn(target.refusals, target.learned);
    auto& tier = m_services.find(target.entry.service)->second.tiers[static_cast<std::size_t>(target.where)];
    learn(tier.trouble, tier.learned);
    if (good || outcome == call_outcome::timeout) {
        const auto sample = static_cast<double>(std::max(latency, duration(1)).count());
        target.latency = target.latency == 0 ? sample : target.latency + latencyWeight * (sample - target.latency);
    }
    if (good) {
        target.failuresInRow = 0;
        target.ejections = 0;
    } else if (outcome != call_outcome::shed) {
        // A shed is a sound answer of an endpoint that works; it lowers the score but ejects nothing.
        countFailure(target, now);
    }
}

void routing_table::countFailure(target& failed, time_point now)
{
    ++failed.failuresInRow;
    if (failed.failuresInRow < m_options.ejectionThreshold || failed.ejectedUntil > now)
        return;
    if (!mayEject(m_services.find(failed.entry.service)->second, now))
        return;
    const auto doublings = std::min(failed.ejections, 10U);
    const auto wanted = m_options.baseEjectionTime * (std::int64_t { 1 } << doublings);
    failed.ejectedUntil = now + std::min<duration>(wanted, m_options.maxEjectionTime);
    failed.since = failed.ejectedUntil;
    ++failed.ejections;
    // The first failure after the ejection ejects it again.
    failed.failuresInRow = m_options.ejectionThreshold - 1;
}

/// The cap counts the endpoints that this node uses, because only those can be ejected here.
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
