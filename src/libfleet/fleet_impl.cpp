#include "fleet_impl.h"

#include <algorithm>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    constexpr duration judgementPeriod = 500ms; ///< of suspects, silent zones and ranks

    constexpr duration forgetPeriod = 10s; ///< looks at every record

    // A member that heard nobody for this long can hold records that the others have forgotten as dead.
    bool staleTable(const fleet_settings& settings, duration gap) { return gap > settings.deadRetention / 2; }

} // namespace

fleet_impl::fleet_impl(fleet_settings settings, random_source& random)
    : m_settings(std::move(settings))
    , m_random(&random)
    , m_zone(makePlaceKey(m_settings.self.zone))
    , m_region(makePlaceKey(m_settings.self.region))
    , m_clocks(m_settings.clockDrift)
    , m_freshness(m_settings.regions, m_settings.confirmationBound)
{
    m_settings.self.state = member_state::alive;
    m_settings.self.version = 1;
}

void fleet_impl::start(time_point now, fleet_actions& actions)
{
    m_lastEvent = now;
    m_lastHeard = now;
    m_table.merge(self(), now);
    m_changed.insert(self().id);
    // Random phases keep nodes that start together from acting together.
    m_nextProbe = now
        + duration(
            static_cast<duration::rep>(m_random->below(static_cast<std::uint64_t>(m_settings.probePeriod.count()))));
    m_nextDigest = now
        + duration(
            static_cast<duration::rep>(m_random->below(static_cast<std::uint64_t>(m_settings.digestPeriod.count()))));
    m_nextJudgement = now + judgementPeriod;
    joinStep(now, actions);
    reportChanges(now, actions);
}

void fleet_impl::noteTime(time_point now, fleet_actions& actions)
{
    if (!m_lastEvent)
        return;
    const duration gap = now - *m_lastEvent;
    m_lastEvent = std::max(*m_lastEvent, now);
    if (gap <= m_settings.pauseGap)
        return;
    // This node was paused. Its timers say nothing about the others, who may have declared it dead meanwhile.
    m_probe.answered = true;
    m_nextProbe = now + m_settings.probePeriod;
    m_nextJudgement = now + m_settings.suspicion;
    m_lastHeard = now;
    for (auto& [key, zone] : m_zones)
        if (zone.heard)
            zone.heard = now;
    if (staleTable(m_settings, gap)) {
        std::vector<node_id> others;
        for (const auto& [id, entry] : m_table.entries())
            if (!isSelf(id))
                others.push_back(id);
        for (auto id : others)
            m_table.erase(id);
        m_join = join_state::zone;
        m_joinAfter = {};
        m_nextJoin = now;
    }
    renew(now, actions);
}

void fleet_impl::send(node_id target, fleet_message message, fleet_actions& actions)
{
    const auto* entry = m_table.find(target);
    actions.emplace_back(
        send_message { target, entry ? entry->record.address : socket_address {}, std::move(message) });
}

void fleet_impl::renew(time_point now, fleet_actions& actions)
{
    ++m_settings.self.version;
    m_table.merge(self(), now);
    noteChange(self().id, true);
    publish(self().id, actions);
}

void fleet_impl::drain(time_point now, fleet_actions& actions)
{
    noteTime(now, actions);
    m_settings.self.state = member_state::draining;
    renew(now, actions);
    reportChanges(now, actions);
}

void fleet_impl::announce(std::string service, std::uint32_t slots, time_point now, fleet_actions& actions)
{
    noteTime(now, actions);
    m_settings.self.service = std::move(service);
    m_settings.self.slots = slots;
    renew(now, actions);
    reportChanges(now, actions);
}

bool fleet_impl::isRelay() const { return std::find(m_relays.begin(), m_relays.end(), self().id) != m_relays.end(); }

member_record fleet_impl::view(const member_table::entry& entry) const
{
    auto record = entry.record;
    auto zone = m_zones.find(entry.zone);
    if (record.state == member_state::alive && zone != m_zones.end() && zone->second.silent)
        record.state = member_state::suspect;
    return record;
}

std::optional<member_record> fleet_impl::member(node_id id) const
{
    const auto* entry = m_table.find(id);
    return entry ? std::optional(view(*entry)) : std::nullopt;
}

std::vector<member_record> fleet_impl::members() const
{
    std::vector<member_record> list;
    for (const auto& [id, entry] : m_table.entries())
        if (entry.record.state != member_state::dead)
            list.push_back(view(entry));
    return list;
}

bool fleet_impl::keyedCallsAllowed(time_point now) const
{
    if (!m_inForce)
        return false;
    // A revision that somebody else holds may withdraw a key, so it has to be held here before an outage excuses
    // the missing confirmation.
    return confirmed(now) || (storeDownForEveryone(now) && held() >= m_freshness.highest());
}

void fleet_impl::receive(node_id from, const fleet_message& message, time_point now, fleet_actions& actions)
{
    if (isSelf(from))
        return;
    noteTime(now, actions);
    m_lastHeard = now;
    std::visit([&](const auto& body) { handle(from, body, now, actions); }, message);
    reportChanges(now, actions);
}

void fleet_impl::tick(time_point now, fleet_actions& actions)
{
    noteTime(now, actions);
    if (!joined() && now >= m_nextJoin)
        joinStep(now, actions);
    if (!m_probe.answered && !m_probe.indirect && now >= m_probe.sent + m_settings.probeTimeout)
        probeIndirectly(now, actions);
    if (now >= m_nextProbe)
        probeNext(now, actions);
    if (now >= m_nextJudgement) {
        m_nextJudgement = now + judgementPeriod;
        judgeSuspects(now, actions);
        markSilence(now);
        if (now >= m_nextForget)
            forgetDead(now);
        rank(now, actions);
        force(now, actions);
    }
    if (now >= m_nextDigest) {
        m_nextDigest = now + m_settings.digestPeriod;
        sendDigest(actions);
    }
    if (now >= m_nextPull)
        pullConfiguration(now, actions);
    judgeStore(now, actions);
    reportChanges(now, actions);
}

time_point fleet_impl::nextTimer() const
{
    auto next = std::min({ m_nextProbe, m_nextJudgement, m_nextDigest, m_nextPull });
    if (!joined())
        next = std::min(next, m_nextJoin);
    if (!m_probe.answered && !m_probe.indirect)
        next = std::min(next, m_probe.sent + m_settings.probeTimeout);
    if (m_watching)
        next = std::min({ next, m_nextAttest, m_nextSeeds, m_nextWatch });
    for (const auto& [token, request] : m_requests)
        if (!request.reported)
            next = std::min(next, request.asked + m_settings.storeTimeout);
    return next;
}

void fleet_impl::forgetDead(time_point now)
{
    m_nextForget = now + forgetPeriod;
    std::vector<node_id> old;
    for (const auto& [id, entry] : m_table.entries())
        if (entry.record.state == member_state::dead && now - entry.changed > m_settings.deadRetention)
            old.push_back(id);
    for (auto& [key, zone] : m_zones) {
        if (!zone.silent || now - zone.silentSince <= m_settings.zoneForget)
            continue;
        for (const auto* entry : m_table.live(key))
            old.push_back(entry->record.id);
    }
    for (auto id : old) {
        auto record = m_table.find(id)->record;
        if (record.state != member_state::dead) {
            record.state = member_state::dead;
            m_forgotten.push_back(record);
        }
        m_changed.erase(id);
        m_clocks.forget(id);
        m_table.erase(id);
    }
    constexpr duration calibrationMemory = 2min;
    m_clocks.forgetBefore(now - calibrationMemory);
    std::erase_if(m_reported, [&](const auto& item) { return !m_table.find(item.first); });
    std::erase_if(m_forwarded, [&](const auto& item) { return !m_table.find(item.first); });
    std::erase_if(m_forwardedRevision, [&](const auto& item) { return !m_table.find(item.first); });
    std::erase_if(m_told, [&](const auto& item) { return !m_table.find(item.first); });
}

void fleet_impl::reportChanges(time_point now, fleet_actions& actions)
{
    if (m_changed.empty() && m_forgotten.empty())
        return;
    members_changed report;
    report.members.swap(m_forgotten);
    for (auto id : m_changed)
        if (const auto* entry = m_table.find(id))
            report.members.push_back(view(*entry));
    m_changed.clear();
    actions.emplace_back(std::move(report));
    rank(now, actions);
}

} // namespace limpet
