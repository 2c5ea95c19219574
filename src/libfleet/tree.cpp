// Relays, the tree through the availability zone, attestations and summaries of zones.

#include "fleet_impl.h"

#include <algorithm>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    // Members that one member forwards to. Four keeps a forwarding member near 1 KB/s for each of the two trees; a
    // zone of 300 members is four levels deep.
    constexpr std::size_t fanout = 4;
    constexpr std::size_t maxLagging = 4;
    constexpr std::size_t maxFreshSummaries = 4;
    constexpr duration seedPause = 5s;

    constexpr tree_range wholeZone(node_id root) { return { root, 0, ~std::uint64_t { 0 } }; }
    constexpr bool isEmpty(const tree_range& range) { return range.first > range.last; }

} // namespace

void fleet_impl::rank(time_point now, fleet_actions& actions)
{
    if (m_join == join_state::zone)
        return;
    const bool before = isRelay();
    m_relays = m_table.ranked(m_zone, relayCount);
    const bool after = isRelay();
    if (before == after)
        return;
    m_watching = after;
    if (!after) {
        m_treeUpdates.clear();
        m_crossUpdates.clear();
        m_reported.clear();
        actions.emplace_back(stop_store_watch { std::string(deltaPrefix) });
        return;
    }
    // What other zones said before does not tell whether they are silent to this node.
    for (auto& [key, zone] : m_zones)
        zone.heard = now;
    m_seedWritten = false;
    m_nextAttest = now;
    m_nextSeeds = now + seedPause;
    m_nextWatch = time_point::max();
    actions.emplace_back(start_store_watch { std::string(deltaPrefix), nextStorePosition() });
    attest(now, actions);
}

template <typename Message> void fleet_impl::forward(const Message& message, time_point now, fleet_actions& actions)
{
    (void)now;
    const auto& range = message.range;
    std::vector<std::pair<std::uint64_t, const member_table::entry*>> below;
    for (const auto* entry : m_table.live(m_zone)) {
        auto position = hashOf(entry->record.id, range.root.value);
        if (position >= range.first && position <= range.last && !isSelf(entry->record.id)
            && entry->record.id != range.root)
            below.emplace_back(position, entry);
    }
    std::sort(below.begin(), below.end());
    const auto parts = std::min(fanout, below.size());
    for (std::size_t part = 0; part < parts; ++part) {
        auto begin = below.size() * part / parts;
        const auto end = below.size() * (part + 1) / parts;
        // A part reaches up to the next one, so that a member that is unknown here is reached if its forwarder knows
        // it. It begins behind its forwarder, so that the message ends even if two views of the zone differ.
        const auto last = part + 1 == parts ? range.last : below[end].first - 1;
        auto copy = message;
        copy.range = { range.root, 1, 0 };
        for (; begin + 1 < end && below[begin].second->record.state == member_state::suspect; ++begin)
            send(below[begin].second->record.id, copy, actions);
        if (below[begin].first != last)
            copy.range = { range.root, below[begin].first + 1, last };
        send(below[begin].second->record.id, std::move(copy), actions);
    }
}

zone_summary fleet_impl::ownSummary() const
{
    zone_summary summary { m_zone, m_freshness.highest(), 0, 0, {}, false };
    for (const auto* entry : m_table.live(m_zone)) {
        const auto id = entry->record.id;
        ++summary.members;
        auto reported = m_reported.find(id);
        auto number = reported == m_reported.end() ? 0 : reported->second;
        if (isSelf(id))
            number = m_inForce ? m_inForce->number : 0;
        if (number >= summary.number)
            ++summary.inForce;
        else if (summary.lagging.size() < maxLagging)
            summary.lagging.push_back(id);
    }
    return summary;
}

std::vector<zone_summary> fleet_impl::pickSummaries()
{
    std::vector<zone_summary> picked { ownSummary() };
    for (auto& [key, zone] : m_zones) {
        if (!zone.fresh || picked.size() > maxFreshSummaries)
            continue;
        zone.fresh = false;
        picked.push_back(zone.summary);
        picked.back().silent = zone.silent;
    }
    // One more in turn repairs what a lost message left out.
    auto next = m_zones.upper_bound(m_summaryNext);
    if (next == m_zones.end())
        next = m_zones.begin();
    if (next != m_zones.end()) {
        m_summaryNext = next->first;
        if (std::none_of(picked.begin(), picked.end(), [&](const auto& zone) { return zone.zone == next->first; })) {
            picked.push_back(next->second.summary);
            picked.back().silent = next->second.silent;
        }
    }
    return picked;
}

void fleet_impl::sendAttestations(time_point now, fleet_actions& actions)
{
    if (!isRelay())
        return;
    ++m_bulletin;
    fleet_attestations message { wholeZone(self().id), m_bulletin, self().run, now.time_since_epoch().count(),
        m_freshness.list(now), pickSummaries(), emptyGossip() };
    constexpr std::size_t maxRecords = 16;
    constexpr std::size_t maxStatuses = 48;
    fill(message.updates, m_treeUpdates, maxRecords, maxStatuses);
    forward(message, now, actions);
    sendToZones(now, actions);
}

void fleet_impl::sendToZones(time_point now, fleet_actions& actions)
{
    fleet_attestations message { {}, m_bulletin, self().run, now.time_since_epoch().count(), m_freshness.list(now),
        { ownSummary() }, emptyGossip() };
    constexpr std::size_t maxRecords = 8; // 12 KB/s to ten zones while a whole zone starts
    constexpr std::size_t maxStatuses = 48;
    fill(message.updates, m_crossUpdates, maxRecords, maxStatuses);
    constexpr std::uint64_t silentInterval = 3;
    for (const auto& [key, members] : m_table.zones()) {
        if (key == m_zone)
            continue;
        if (auto relay = relayOf(key, m_bulletin))
            send(*relay, message, actions);
        // The relays of a silent zone may be gone while others of its members are back.
        if (m_zones[key].silent && m_bulletin % silentInterval == 0)
            send(members[m_random->below(members.size())]->record.id, message, actions);
    }
}

std::optional<node_id> fleet_impl::relayOf(place_key zone, std::uint64_t turn)
{
    const auto& live = m_table.live(zone);
    if (live.empty())
        return std::nullopt;
    auto ranked = m_table.ranked(zone, relayCount);
    if (ranked.empty())
        return live[m_random->below(live.size())]->record.id;
    return ranked[turn % ranked.size()];
}

void fleet_impl::setSilent(place_key zone, bool silent)
{
    auto& known = m_zones[zone];
    if (known.silent == silent)
        return;
    known.silent = silent;
    known.fresh = true;
    known.silentSince = *m_lastEvent;
    for (const auto* entry : m_table.live(zone))
        m_changed.insert(entry->record.id);
}

void fleet_impl::markSilence(time_point now)
{
    if (!isRelay())
        return;
    for (const auto& [key, members] : m_table.zones()) {
        if (key == m_zone)
            continue;
        auto& zone = m_zones[key];
        if (!zone.heard) {
            zone.heard = now;
            zone.summary = { key, 0, static_cast<std::uint32_t>(members.size()), 0, {}, false };
        }
        if (now - *zone.heard > m_settings.zoneSilence)
            setSilent(key, true);
    }
}

void fleet_impl::takeSummary(const zone_summary& summary, bool fromZone, time_point now)
{
    constexpr std::size_t maxZones = 256;
    if (summary.zone == m_zone || (m_zones.size() >= maxZones && !m_zones.contains(summary.zone)))
        return;
    auto& zone = m_zones[summary.zone];
    if (summary.number < zone.summary.number && !fromZone)
        return;
    // Two relays that copied each other's summaries would keep an old one alive between them.
    if (!fromZone && isRelay() && zone.heard && now - *zone.heard <= m_settings.zoneSilence)
        return;
    if (fromZone) {
        zone.heard = now;
        setSilent(summary.zone, false);
    } else if (!isRelay())
        setSilent(summary.zone, summary.silent);
    zone.fresh = zone.fresh || zone.summary != summary;
    zone.summary = summary;
}

void fleet_impl::handle(node_id from, const fleet_attestations& message, time_point now, fleet_actions& actions)
{
    const auto* sender = m_table.find(from);
    if (!sender) {
        send(from, fleet_table_sync { {}, { from } }, actions);
        return;
    }
    if (auto stated = m_clocks.earliest(from, message.run, message.clock))
        m_freshness.merge(message.attestations, std::min(*stated, now));
    calibrate(from, now, actions);
    const bool sameZone = sender->zone == m_zone;
    for (const auto& summary : message.zones) {
        const bool own = summary.zone == m_zone;
        if (own && sameZone) {
            m_ownZone = summary;
            if (std::find(summary.lagging.begin(), summary.lagging.end(), self().id) != summary.lagging.end())
                m_told.erase(message.range.root);
        } else if (!own)
            takeSummary(summary, summary.zone == sender->zone, now);
    }
    merge(from, message.updates, now, actions);
    force(now, actions);
    if (!sameZone && !isRelay())
        send(from, fleet_table_digest { m_table.zoneDigests(), 0, {} }, actions); // its view of this zone is old
    if (!sameZone)
        return;
    reportInForce(message.range.root, actions);
    auto& last = m_forwarded[message.range.root];
    if (isEmpty(message.range) || last >= message.sequence)
        return;
    last = message.sequence;
    auto copy = message;
    copy.run = self().run;
    copy.clock = now.time_since_epoch().count();
    copy.attestations = m_freshness.list(now);
    copy.updates.held = held();
    copy.updates.checksum = m_checksum;
    forward(copy, now, actions);
}

void fleet_impl::reportInForce(node_id relay, fleet_actions& actions)
{
    if (!m_inForce || isSelf(relay) || !m_table.find(relay))
        return;
    auto& told = m_told[relay];
    if (told == m_inForce->number)
        return;
    told = m_inForce->number;
    send(relay, fleet_in_force { told }, actions);
}

void fleet_impl::handle(node_id from, const fleet_in_force& message, time_point now, fleet_actions& actions)
{
    (void)now;
    (void)actions;
    const auto* entry = m_table.find(from);
    if (entry && entry->zone == m_zone)
        m_reported[from] = std::max(m_reported[from], message.number);
}

acknowledgement fleet_impl::acknowledged() const
{
    acknowledgement answer { m_freshness.highest(), 0, 0, {} };
    for (const auto& [key, members] : m_table.zones()) {
        zone_summary summary { key, 0, 0, 0, {}, false };
        auto known = m_zones.find(key);
        if (key == m_zone)
            summary = isRelay() ? ownSummary() : m_ownZone;
        else if (known != m_zones.end())
            summary = known->second.summary;
        // A zone that has not spoken counts with the members of the table, none of them in force.
        answer.members += summary.members != 0 ? summary.members : static_cast<std::uint32_t>(members.size());
        if (summary.number >= answer.number)
            answer.inForce += summary.inForce;
        for (auto id : summary.lagging)
            if (const auto* entry = m_table.find(id))
                answer.lagging.push_back(entry->record.name);
    }
    return answer;
}

void fleet_impl::handle(node_id from, const fleet_configuration_push& message, time_point now, fleet_actions& actions)
{
    if (!message.document.empty()) {
        auto config = parseConfiguration(message.document);
        if (config && config->number > held() && checksum(*config) == message.checksum)
            adopt(std::move(*config), {}, now, actions);
        return;
    }
    if (message.from > held()) {
        // A delta in between is missing here; the range below may still need this one.
        hearRevision(from, message.from + 1, now);
    } else {
        const auto before = held();
        for (const auto& delta : message.deltas) {
            auto after = applyDelta(m_held ? *m_held : configuration {}, delta);
            if (after)
                adopt(std::move(*after), delta, now, actions);
        }
        if (held() == before && message.from == before)
            return; // a delta that cannot be applied is not passed on
    }
    const auto* sender = m_table.find(from);
    if (isEmpty(message.range) || !sender || sender->zone != m_zone)
        return;
    auto& last = m_forwardedRevision[message.range.root];
    if (last > message.from)
        return;
    last = message.from + 1;
    forward(message, now, actions);
}

void fleet_impl::pushDelta(time_point now, fleet_actions& actions)
{
    if (!isRelay() || m_deltas.empty() || m_deltas.back().to != held() || m_pushed >= held())
        return;
    m_pushed = held();
    const auto& delta = m_deltas.back();
    forward(
        fleet_configuration_push { wholeZone(self().id), delta.from, { delta.text }, {}, m_checksum }, now, actions);
}

} // namespace limpet
