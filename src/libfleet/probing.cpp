// SWIM probing inside the availability zone.

#include "fleet_impl.h"

#include <algorithm>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t indirectProbes = 3;
    constexpr duration relayedPingMemory = 2s;
    constexpr std::size_t maxRelayedPings = 256;
    constexpr duration calibrationPeriod = 20s; ///< 0.1% of drift in 20 s overstates an age by 20 ms

} // namespace

void fleet_impl::probeNext(time_point now, fleet_actions& actions)
{
    judgeProbe(now, actions);
    m_nextProbe = std::max(m_nextProbe + m_settings.probePeriod, now + m_settings.probePeriod / 2);
    std::erase_if(m_relayedPings, [&](const auto& item) { return now - item.second.sent > relayedPingMemory; });
    std::erase_if(m_calibrations, [&](const auto& item) { return now - item.second.second > relayedPingMemory; });
    // Each member is probed once per round, in an order that is drawn anew for each round.
    if (m_orderNext >= m_order.size()) {
        m_order.clear();
        m_orderNext = 0;
        for (const auto* entry : m_table.live(m_zone))
            if (!isSelf(entry->record.id))
                m_order.push_back(entry->record.id);
        for (std::size_t index = m_order.size(); index > 1; --index)
            std::swap(m_order[index - 1], m_order[m_random->below(index)]);
    }
    while (m_orderNext < m_order.size()) {
        const auto* entry = m_table.find(m_order[m_orderNext++]);
        if (!entry || entry->record.state == member_state::dead)
            continue;
        m_probe = { entry->record.id, ++m_sequence, now, false, false };
        send(m_probe.target, fleet_ping { m_probe.sequence, entry->record.run, false, piggyback() }, actions);
        return;
    }
}

void fleet_impl::probeIndirectly(time_point now, fleet_actions& actions)
{
    m_probe.indirect = true;
    // While many are suspect, indirect probes would add a storm to the failure and find nothing new.
    if (manySuspects() || m_lastHeard < m_probe.sent)
        return;
    std::vector<node_id> helpers;
    for (const auto* entry : m_table.live(m_zone))
        if (entry->record.state == member_state::alive && !isSelf(entry->record.id)
            && entry->record.id != m_probe.target)
            helpers.push_back(entry->record.id);
    for (std::size_t count = 0; count < indirectProbes && !helpers.empty(); ++count) {
        auto chosen = m_random->below(helpers.size());
        send(helpers[chosen], fleet_indirect_ping { m_probe.sequence, m_probe.target }, actions);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    (void)now;
}

void fleet_impl::judgeProbe(time_point now, fleet_actions& actions)
{
    if (m_probe.answered)
        return;
    m_probe.answered = true;
    // A node that hears nobody at all is more likely cut off itself; its judgement would only cause refutations.
    if (m_lastHeard < m_probe.sent && now - m_lastHeard < 3 * m_settings.suspicion)
        return;
    const auto* entry = m_table.find(m_probe.target);
    if (!entry || entry->record.state == member_state::dead || entry->record.state == member_state::suspect)
        return;
    auto status = statusOf(entry->record);
    // A draining member gets no new work anyway, and suspicion would hide that it is draining.
    status.state = status.state == member_state::draining ? member_state::dead : member_state::suspect;
    if (m_table.merge(status, now) == merge_outcome::changed) {
        noteChange(status.id, false);
        publish(status.id, actions);
    }
}

std::size_t fleet_impl::suspectCount() const
{
    const auto& live = m_table.live(m_zone);
    return static_cast<std::size_t>(std::count_if(
        live.begin(), live.end(), [](const auto* entry) { return entry->record.state == member_state::suspect; }));
}

// A fifth of a zone does not fail at once by chance; it is a rack, a switch or this node's own link.
bool fleet_impl::manySuspects() const
{
    const auto suspects = suspectCount();
    return suspects >= 3 && 5 * suspects >= m_table.live(m_zone).size();
}

void fleet_impl::judgeSuspects(time_point now, fleet_actions& actions)
{
    const auto suspects = suspectCount();
    if (suspects == 0)
        return;
    duration limit = manySuspects() ? m_settings.massSuspicion : m_settings.suspicion;
    // Half of the zone is kept until the zone itself would be forgotten.
    if (suspects >= 3 && 2 * suspects >= m_table.live(m_zone).size())
        limit = m_settings.zoneForget;
    // The relays declare a member dead; the others do so later, in case no relay is left.
    if (!isRelay())
        limit += 2 * m_settings.suspicion;
    std::vector<member_status> dead;
    for (const auto* entry : m_table.live(m_zone))
        if (entry->record.state == member_state::suspect && now - entry->changed >= limit)
            dead.push_back(statusOf(entry->record));
    for (auto& status : dead) {
        status.state = member_state::dead;
        if (m_table.merge(status, now) != merge_outcome::changed)
            continue;
        noteChange(status.id, false);
        publish(status.id, actions);
    }
}

void fleet_impl::calibrate(node_id peer, time_point now, fleet_actions& actions)
{
    const auto* entry = m_table.find(peer);
    if (!entry)
        return;
    auto last = m_clocks.calibrated(peer, entry->record.run);
    if (last && now - *last < calibrationPeriod)
        return;
    auto& asked = m_calibrationAsked[peer];
    if (asked != time_point {} && now - asked < m_settings.probePeriod / 2)
        return;
    asked = now;
    m_calibrations[++m_sequence] = { peer, now };
    send(peer, fleet_ping { m_sequence, entry->record.run, true, emptyGossip() }, actions);
    std::erase_if(m_calibrationAsked, [&](const auto& item) { return now - item.second > 2 * calibrationPeriod; });
}

void fleet_impl::handle(node_id from, const fleet_ping& message, time_point now, fleet_actions& actions)
{
    merge(from, message.updates, now, actions);
    fleet_ack answer { message.sequence, self().id, self().run, now.time_since_epoch().count(), {}, piggyback() };
    if (message.wantAttestations)
        answer.attestations = m_freshness.list(now);
    if (message.targetRun != self().run)
        answer.updates.records.push_back(self());
    const auto* entry = m_table.find(from);
    // The sender learns that it is suspect or dead here and refutes it.
    if (entry && entry->record.state >= member_state::suspect)
        answer.updates.statuses.push_back(statusOf(entry->record));
    send(from, std::move(answer), actions);
    if (!entry)
        send(from, fleet_table_sync { {}, { from } }, actions);
}

void fleet_impl::handle(node_id from, const fleet_ack& message, time_point now, fleet_actions& actions)
{
    merge(from, message.updates, now, actions);
    if (message.sequence == m_probe.sequence && message.about == m_probe.target)
        m_probe.answered = true;
    if (message.about != from)
        return;
    if (auto asked = m_calibrations.find(message.sequence);
        asked != m_calibrations.end() && asked->second.first == from) {
        m_clocks.calibrate(from, message.run, asked->second.second, message.clock);
        m_calibrations.erase(asked);
        if (auto stated = m_clocks.earliest(from, message.run, message.clock))
            m_freshness.merge(message.attestations, std::min(*stated, now));
        force(now, actions);
    }
    if (auto relayed = m_relayedPings.find(message.sequence); relayed != m_relayedPings.end()) {
        send(relayed->second.asker,
            fleet_ack { relayed->second.sequence, from, self().run, now.time_since_epoch().count(), {}, emptyGossip() },
            actions);
        m_relayedPings.erase(relayed);
    }
}

void fleet_impl::handle(node_id from, const fleet_indirect_ping& message, time_point now, fleet_actions& actions)
{
    const auto* entry = m_table.find(message.target);
    if (!entry || m_relayedPings.size() >= maxRelayedPings)
        return;
    m_relayedPings[++m_sequence] = { from, message.sequence, now };
    send(message.target, fleet_ping { m_sequence, entry->record.run, false, emptyGossip() }, actions);
}

} // namespace limpet
