#include <algorithm>
#include <limpetcroft/policy.h>
#include <xxhash.h>

// The endpoint table for routing, and the byte budget of the paid link.

namespace limpet {

byte_budget::byte_budget(double bytesPerSecond, double burst)
    : m_rate(bytesPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void byte_budget::refill(time_point now)
{
    if (now <= m_lastRefill)
        return;
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min(m_burst, m_tokens + m_rate * seconds);
    m_lastRefill = now;
}

void byte_budget::charge(std::uint64_t bytes, time_point now)
{
    refill(now);
    m_tokens -= static_cast<double>(bytes);
}

double byte_budget::remainingFraction(time_point now)
{
    refill(now);
    return m_burst > 0 ? std::max(0.0, m_tokens / m_burst) : 0;
}

routing_table::routing_table(routing_options options, node_id self, std::string region, std::string availabilityZone)
    : m_options(options)
    , m_self(self)
    , m_region(std::move(region))
    , m_availabilityZone(std::move(availabilityZone))
    , m_linkBudget(options.linkBytesPerSecond, options.linkBurstBytes)
{
}

void routing_table::update(const endpoint& entry, time_point now)
{
    auto found = m_targets.find(entry.node);
    const bool known = found != m_targets.end();
    if (known && found->second.entry.run > entry.run)
        return;
    // The announced load changes often and affects neither subsets nor weights, so nothing is rebuilt.
    if (known && equalForRouting(found->second.entry, entry)) {
        found->second.entry = entry;
        return;
    }
    const bool newRun = !known || found->second.entry.run != entry.run;
    const bool returned
        = known && found->second.entry.state == endpoint_state::draining && entry.state != endpoint_state::draining;
    const std::string previousService = known ? found->second.entry.service : entry.service;
    auto& target = m_targets[entry.node];
    if (newRun)
        target = {};
    if (newRun || returned)
        target.slowStartBegin = now;
    target.entry = entry;
    target.where = localityOf(entry);
    const std::array<std::uint64_t, 2> pair { m_self.value, entry.node.value };
    target.rank = XXH3_64bits(pair.data(), sizeof pair);
    if (previousService != entry.service)
        removeFromService(previousService, entry.node);
    auto& nodes = m_services[entry.service].nodes;
    const auto position = std::lower_bound(nodes.begin(), nodes.end(), entry.node);
    if (position == nodes.end() || *position != entry.node)
        nodes.insert(position, entry.node);
    rebuild(m_services[entry.service]);
}

bool routing_table::equalForRouting(const endpoint& left, const endpoint& right)
{
    return left.run == right.run && left.state == right.state && left.service == right.service
        && left.region == right.region && left.availabilityZone == right.availabilityZone && left.slots == right.slots;
}

locality routing_table::localityOf(const endpoint& entry) const
{
    if (entry.region != m_region)
        return locality::otherRegion;
    return entry.availabilityZone == m_availabilityZone ? locality::sameZone : locality::sameRegion;
}

void routing_table::removeFromService(const std::string& service, node_id node)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    std::erase(found->second.nodes, node);
    if (found->second.nodes.empty())
        m_services.erase(found);
    else
        rebuild(found->second);
}

void routing_table::remove(node_id node)
{
    const auto found = m_targets.find(node);
    if (found == m_targets.end())
        return;
    const auto service = found->second.entry.service;
    // The subsets point into m_targets, so they are rebuilt before the target is erased.
    removeFromService(service, node);
    m_targets.erase(found);
}

void routing_table::markDraining(node_id node, incarnation run)
{
    const auto found = m_targets.find(node);
    if (found == m_targets.end() || found->second.entry.run != run)
        return;
    found->second.entry.state = endpoint_state::draining;
    rebuild(m_services.find(found->second.entry.service)->second);
}

void routing_table::rebuild(service_entry& service)
{
    for (auto& tier : service.tiers)
        tier.members.clear();
    for (const auto node : service.nodes) {
        auto& target = m_targets.at(node);
        if (target.entry.state != endpoint_state::draining)
            service.tiers[static_cast<std::size_t>(target.where)].members.push_back(&target);
    }
    for (std::size_t where = 0; where < localityCount; ++where) {
        auto& tier = service.tiers[where];
        std::sort(tier.members.begin(), tier.members.end(),
            [](const auto* left, const auto* right) { return left->rank > right->rank; });
        if (tier.members.size() > m_options.subsetSizes[where])
            tier.members.resize(m_options.subsetSizes[where]);
        double slots = 0;
        for (const auto* member : tier.members)
            slots += member->entry.slots;
        tier.meanSlots = tier.members.empty() ? 0 : slots / static_cast<double>(tier.members.size());
    }
}

void routing_table::charge(std::uint64_t bytes, time_point now) { m_linkBudget.charge(bytes, now); }

double routing_table::linkBudgetRemaining(time_point now) { return m_linkBudget.remainingFraction(now); }

std::vector<node_id> routing_table::subset(std::string_view service) const
{
    std::vector<node_id> nodes;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nodes;
    for (const auto& tier : found->second.tiers) {
        for (const auto* member : tier.members)
            nodes.push_back(member->entry.node);
    }
    return nodes;
}

const endpoint* routing_table::find(node_id node) const
{
    const auto found = m_targets.find(node);
    return found == m_targets.end() ? nullptr : &found->second.entry;
}

std::size_t routing_table::endpointCount(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const auto& nodes = found->second.nodes;
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(),
        [&](node_id node) { return m_targets.at(node).entry.state != endpoint_state::draining; }));
}

bool routing_table::ejected(node_id node, time_point now) const
{
    const auto found = m_targets.find(node);
    return found != m_targets.end() && found->second.ejectedUntil > now;
}

} // namespace limpet
