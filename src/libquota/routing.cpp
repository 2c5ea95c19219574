// Chooses the receivers of token requests: node -> aggregator -> holder of the region -> holders of other regions.

#include "state.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpet {

namespace {

    // In a region of up to this many nodes, all nodes send requests directly to the holder.
    constexpr std::size_t maxDirectNodes = 32;
    // Number of top ranks that the holder and its candidates usually have; they are tried when the holder is not known.
    constexpr std::size_t holderRanks = 4;

    std::uint64_t rendezvous(node_id node, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(&node.value, sizeof(node.value), seed);
    }

} // namespace

void quota::state::rankMembers()
{
    ranking.clear();
    regionOf.clear();
    for (const quota_member& member : members)
        regionOf[member.node] = member.region;
    aggregators.assign(settings.shards, {});
    for (unsigned shard = 0; shard < settings.shards; ++shard) {
        rankShard(static_cast<std::uint16_t>(shard));
        chooseAggregators(static_cast<std::uint16_t>(shard));
    }
}

void quota::state::rankShard(std::uint16_t shard)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, const quota_member*>>> ordered;
    for (const quota_member& member : members)
        ordered[member.region].emplace_back(rendezvous(member.node, shard + 1U), &member);
    for (auto& [region, nodes] : ordered) {
        const std::size_t kept = region == settings.region ? nodes.size() : std::min(holderRanks, nodes.size());
        std::ranges::partial_sort(nodes, nodes.begin() + static_cast<std::ptrdiff_t>(kept), std::greater<>());
        auto& list = ranking[{ region, shard }];
        for (std::size_t i = 0; i < kept; ++i)
            list.push_back({ nodes[i].second->node, nodes[i].second->availabilityZone });
    }
}

void quota::state::chooseAggregators(std::uint16_t shard)
{
    const auto& own = ranking[{ settings.region, shard }];
    shards[shard].setRanking(own);
    if (own.size() <= maxDirectNodes)
        return;
    // The holder then serves about as many aggregators as each aggregator serves nodes.
    const auto count = static_cast<std::size_t>(std::ceil(std::sqrt(own.size())));
    // The top ranks are left out, because they are usually the holder and its candidates, which already have load.
    std::vector<std::pair<std::uint64_t, node_id>> chosen;
    for (std::size_t i = holderRanks; i < holderRanks + count && i < own.size(); ++i)
        chosen.emplace_back(rendezvous(own[i].node, settings.self.value + shard), own[i].node);
    // An aggregator sends its own requests to the holder.
    if (std::ranges::count(chosen, settings.self, &std::pair<std::uint64_t, node_id>::second) > 0)
        return;
    std::ranges::sort(chosen, std::greater<>());
    for (const auto& [score, node] : chosen)
        aggregators[shard].push_back(node);
}

void quota::state::learnHint(const quota_holder_hint& hint)
{
    if (hint.shard >= settings.shards || hint.region.empty())
        return;
    if (hint.region == settings.region)
        shards[hint.shard].learnHolder(hint.holder, hint.epoch);
    quota_holder_hint& known = hints[{ hint.region, hint.shard }];
    if (hint.epoch >= known.epoch)
        known = hint;
}

bool quota::state::usable(node_id node, time_point now) const
{
    if (node == node_id {} || node == settings.self)
        return false;
    const auto suspect = suspectedUntil.find(node);
    return suspect == suspectedUntil.end() || suspect->second <= now;
}

std::optional<node_id> quota::state::holderOf(const std::string& region, std::uint16_t shard, time_point now) const
{
    const auto fits = [&](node_id node) {
        const auto notHolder = notHolderUntil.find({ node, shard });
        return usable(node, now) && (notHolder == notHolderUntil.end() || notHolder->second <= now);
    };
    const auto hint = hints.find({ region, shard });
    if (hint != hints.end() && fits(hint->second.holder))
        return hint->second.holder;
    const auto ranked = ranking.find({ region, shard });
    if (ranked == ranking.end())
        return std::nullopt;
    for (std::size_t i = 0; i < ranked->second.size() && i < holderRanks; ++i) {
        if (fits(ranked->second[i].node))
            return ranked->second[i].node;
    }
    return std::nullopt;
}

/// Number of other regions that have a share of the team.
std::size_t quota::state::lenderCount(const team_state& team) const
{
    const auto lends = [&](const std::string& region) {
        return region != settings.region && shareOf(team.rule, regions, region).burst > 0;
    };
    return static_cast<std::size_t>(std::ranges::count_if(regions, lends));
}

/// Holders of other regions that may have tokens of the team, starting with the region that last granted some.
std::vector<quota::state::target> quota::state::lenderTargets(team_state& team, time_point now) const
{
    std::vector<target> found;
    std::vector<std::string> order { team.lender };
    order.insert(order.end(), regions.begin(), regions.end());
    for (const std::string& region : order) {
        const auto denied = team.deniedUntil.find(region);
        const bool skip = region.empty() || region == settings.region || shareOf(team.rule, regions, region).burst <= 0
            || (denied != team.deniedUntil.end() && denied->second > now)
            || std::ranges::count(found, region, &target::lender) > 0;
        if (skip)
            continue;
        if (const auto node = holderOf(region, team.shard, now))
            found.push_back({ *node, quota_level::toOtherRegion, region });
    }
    return found;
}

/// Receivers for a token request: one node, or the holders of several other regions.
std::vector<quota::state::target> quota::state::upstreamTargets(team_state& team, time_point now)
{
    if (settings.policy == quota_policy::staticShares)
        return {};
    if (bucketOf(team, now) != nullptr)
        return lenderTargets(team, now);
    for (const node_id node : aggregators[team.shard]) {
        if (usable(node, now))
            return { { node, quota_level::toAggregator, {} } };
    }
    if (const auto node = holderOf(settings.region, team.shard, now))
        return { { *node, quota_level::toHolder, {} } };
    return lenderTargets(team, now);
}

} // namespace limpet
