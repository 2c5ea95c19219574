#include "freshness.h"

#include <algorithm>
#include <cmath>

namespace limpet {

clock_map::clock_map(double drift)
    : m_drift(drift)
{
}

time_point clock_map::map(const entry& value, std::int64_t peerClock) const
{
    const auto elapsed = static_cast<double>(peerClock - value.peerClock);
    const double scaled = elapsed >= 0 ? elapsed * (1 - m_drift) : elapsed * (1 + m_drift);
    return value.pingSent + duration(static_cast<duration::rep>(std::floor(scaled)));
}

void clock_map::calibrate(node_id peer, incarnation run, time_point pingSent, std::int64_t peerClock)
{
    auto [place, added] = m_entries.try_emplace(peer);
    auto& value = place->second;
    // The mapping that gives the later time is the tighter one; a ping that was delayed must not replace it.
    if (added || value.run != run || map(value, peerClock) <= pingSent) {
        value.run = run;
        value.pingSent = pingSent;
        value.peerClock = peerClock;
    }
    value.refreshed = pingSent;
}

std::optional<time_point> clock_map::earliest(node_id peer, incarnation run, std::int64_t peerClock) const
{
    auto found = m_entries.find(peer);
    if (found == m_entries.end() || found->second.run != run)
        return std::nullopt;
    return map(found->second, peerClock);
}

std::optional<time_point> clock_map::calibrated(node_id peer, incarnation run) const
{
    auto found = m_entries.find(peer);
    if (found == m_entries.end() || found->second.run != run)
        return std::nullopt;
    return found->second.refreshed;
}

void clock_map::forget(node_id peer) { m_entries.erase(peer); }

void clock_map::forgetBefore(time_point limit)
{
    std::erase_if(m_entries, [&](const auto& item) { return item.second.refreshed < limit; });
}

freshness::freshness(const std::vector<std::string>& regions, duration bound)
    : m_bound(bound)
    , m_complete(!regions.empty())
{
    for (const auto& region : regions)
        m_regions[makePlaceKey(region)].required = true;
}

// Bounds the memory that statements about regions without members can take.
freshness::entry* freshness::find(place_key region)
{
    constexpr std::size_t maxRegions = 64;
    if (m_regions.size() >= maxRegions && !m_regions.contains(region))
        return nullptr;
    return &m_regions[region];
}

void freshness::confirmAt(revision head, time_point asked)
{
    if (head <= m_held && (!m_confirmed || *m_confirmed < asked))
        m_confirmed = asked;
}

void freshness::reached(place_key region, revision head, time_point asked)
{
    hear(head);
    confirmAt(head, asked);
    auto* value = find(region);
    if (!value || (value->reached && *value->reached >= asked))
        return;
    value->reached = asked;
    value->head = head;
}

void freshness::missed(place_key region, time_point asked)
{
    auto* value = find(region);
    if (value && (!value->missed || *value->missed < asked))
        value->missed = asked;
}

void freshness::merge(const std::vector<attestation>& list, time_point stated)
{
    for (const auto& item : list) {
        if (item.reachedAge != noAge)
            reached(item.region, item.head, stated - item.reachedAge);
        if (item.missedAge != noAge)
            missed(item.region, stated - item.missedAge);
    }
}

std::vector<attestation> freshness::list(time_point now) const
{
    auto age = [&](const std::optional<time_point>& asked) { return fresh(asked, now) ? now - *asked : noAge; };
    std::vector<attestation> list;
    for (const auto& [region, value] : m_regions)
        if (fresh(value.reached, now) || fresh(value.missed, now))
            list.push_back({ region, value.head, age(value.reached), age(value.missed) });
    return list;
}

void freshness::hold(revision number)
{
    m_held = number;
    hear(number);
    for (const auto& [region, value] : m_regions)
        if (value.reached)
            confirmAt(value.head, *value.reached);
}

void freshness::hear(revision number) { m_highest = std::max(m_highest, number); }

bool freshness::fresh(const std::optional<time_point>& asked, time_point now) const
{
    return asked && now - *asked <= m_bound;
}

bool freshness::confirmed(time_point now) const { return m_held != 0 && fresh(m_confirmed, now); }

bool freshness::storeDownForEveryone(time_point now) const
{
    return m_complete && std::all_of(m_regions.begin(), m_regions.end(), [&](const auto& item) {
        const auto& value = item.second;
        return !fresh(value.reached, now) && (!value.required || fresh(value.missed, now));
    });
}

} // namespace limpet
