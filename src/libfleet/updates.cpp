// Spread of member updates, joining, and comparison of tables.

#include "fleet_impl.h"

#include <algorithm>
#include <bit>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t pageSize = 48; ///< about 6 KB
    constexpr std::size_t maxSync = 64; ///< records in one repair
    constexpr duration pagePause = 200ms; ///< keeps a join below about 30 KB/s
    constexpr duration joinRetry = 1s;
    constexpr duration digestRetry = 1s; ///< while tables differ; 10 s left a cold start of 108 nodes apart for 40 s
    constexpr int attemptsBeforeStore = 3;
    constexpr int attemptsBeforeAlone = 8;

} // namespace

gossip fleet_impl::emptyGossip() const { return { {}, {}, held(), m_checksum }; }

void fleet_impl::fill(gossip& updates, update_queue& queue, std::size_t maxRecords, std::size_t maxStatuses)
{
    for (auto next = queue.begin(); next != queue.end();) {
        const auto* entry = m_table.find(next->first);
        auto& update = next->second;
        const bool whole = entry && update.whole && entry->record.state != member_state::dead;
        if (entry && whole && updates.records.size() < maxRecords)
            updates.records.push_back(entry->record);
        else if (entry && !whole && updates.statuses.size() < maxStatuses)
            updates.statuses.push_back(statusOf(entry->record));
        else if (entry) {
            ++next;
            continue;
        }
        if (!entry || --update.transmissions <= 0)
            next = queue.erase(next);
        else
            ++next;
    }
}

gossip fleet_impl::piggyback()
{
    auto updates = emptyGossip();
    fill(updates, m_gossip, 2, 6);
    return updates;
}

void fleet_impl::noteChange(node_id id, bool whole)
{
    m_changed.insert(id);
    const auto* entry = m_table.find(id);
    if (!entry)
        return;
    // The tree reaches the zone; piggybacked updates cover the case that a relay has just failed.
    const bool own = entry->zone == m_zone;
    if (own)
        m_gossip[id] = { 2 + static_cast<int>(std::bit_width(m_table.live(m_zone).size())), whole };
    if (!isRelay())
        return;
    m_treeUpdates[id] = { 2, whole };
    if (own)
        m_crossUpdates[id] = { 3, whole };
}

void fleet_impl::publish(node_id id, fleet_actions& actions)
{
    const auto* entry = m_table.find(id);
    if (!entry)
        return;
    auto updates = emptyGossip();
    if (isSelf(id))
        updates.records.push_back(entry->record);
    else
        updates.statuses.push_back(statusOf(entry->record));
    for (auto relay : m_relays)
        if (!isSelf(relay))
            send(relay, fleet_member_updates { updates }, actions);
}

void fleet_impl::refute(incarnation run, std::uint32_t version, time_point now, fleet_actions& actions)
{
    if (run != self().run)
        return;
    m_settings.self.version = std::max(m_settings.self.version, version);
    renew(now, actions);
}

bool fleet_impl::mergeOne(const member_record& record, time_point now, fleet_actions& actions)
{
    if (isSelf(record.id)) {
        if (record.run == self().run && (record.version > self().version || record.state >= member_state::suspect))
            refute(record.run, record.version, now, actions);
        return false;
    }
    // Others may still name members of a zone that this node has forgotten; only the zone itself brings them back.
    auto zone = m_zones.find(makePlaceKey(record.zone));
    if (zone != m_zones.end() && zone->second.silent && !m_table.find(record.id))
        return false;
    const auto* known = m_table.find(record.id);
    const bool restarted = known && known->record.run != record.run;
    if (m_table.merge(record, now) != merge_outcome::changed)
        return false;
    if (restarted) {
        m_clocks.forget(record.id);
        m_reported.erase(record.id);
        m_told.erase(record.id);
        m_forwarded.erase(record.id);
        m_forwardedRevision.erase(record.id);
    }
    m_changed.insert(record.id);
    return true;
}

void fleet_impl::merge(node_id from, const gossip& updates, time_point now, fleet_actions& actions)
{
    hearRevision(from, updates.held, now);
    for (const auto& record : updates.records)
        if (mergeOne(record, now, actions))
            noteChange(record.id, true);
    std::vector<node_id> wanted;
    for (const auto& status : updates.statuses) {
        if (isSelf(status.id)) {
            if (status.version > self().version
                || (status.version == self().version && status.state >= member_state::suspect))
                refute(status.run, status.version, now, actions);
            continue;
        }
        auto outcome = m_table.merge(status, now);
        if (outcome == merge_outcome::changed)
            noteChange(status.id, false);
        else if (outcome == merge_outcome::incomplete)
            wanted.push_back(status.id);
    }
    if (!wanted.empty())
        send(from, fleet_table_sync { {}, std::move(wanted) }, actions);
}

void fleet_impl::handle(node_id from, const fleet_member_updates& message, time_point now, fleet_actions& actions)
{
    merge(from, message.updates, now, actions);
}

void fleet_impl::joinStep(time_point now, fleet_actions& actions)
{
    m_nextJoin = now + joinRetry;
    if (!m_joinPeer && ++m_joinAttempts > attemptsBeforeAlone) {
        m_join = join_state::done;
        return;
    }
    if (m_joinAttempts == attemptsBeforeStore)
        callStore(call_kind::readSeeds, store_get { std::string(seedPrefix), true }, now, actions);
    const fleet_table_pull pull { self(), m_join == join_state::zone, m_joinAfter };
    if (m_joinPeer) {
        send(*m_joinPeer, pull, actions);
        m_joinPeer.reset(); // without an answer the next attempt goes elsewhere
        return;
    }
    std::vector<node_id> known;
    for (const auto* entry : m_table.live(m_zone))
        if (!isSelf(entry->record.id) && entry->record.state == member_state::alive)
            known.push_back(entry->record.id);
    if (!known.empty()) {
        send(known[m_random->below(known.size())], pull, actions);
        return;
    }
    std::vector<socket_address> seeds;
    std::copy_if(m_settings.seeds.begin(), m_settings.seeds.end(), std::back_inserter(seeds),
        [&](const auto& seed) { return seed != self().address; });
    if (!seeds.empty())
        actions.emplace_back(send_message { {}, seeds[m_random->below(seeds.size())], pull });
}

void fleet_impl::handle(node_id from, const fleet_table_pull& message, time_point now, fleet_actions& actions)
{
    if (message.self.id == from && mergeOne(message.self, now, actions)) {
        noteChange(from, true);
        publish(from, actions);
    }
    fleet_table_sync page { emptyGossip(), {}, true, message.zoneOnly, false };
    auto zone = message.zoneOnly ? std::optional(makePlaceKey(message.self.zone)) : std::nullopt;
    page.updates.records = m_table.page(zone, message.after, pageSize, page.more);
    // A node that is not known here yet gets this node's record, so that it can address an answer.
    if (zone && *zone != m_zone)
        page.updates.records.push_back(self());
    send_message answer { from, message.self.address, std::move(page) };
    actions.emplace_back(std::move(answer));
}

void fleet_impl::handle(node_id from, const fleet_table_sync& message, time_point now, fleet_actions& actions)
{
    hearRevision(from, message.updates.held, now);
    fleet_table_sync answer { emptyGossip(), {} };
    for (const auto& record : message.updates.records) {
        const bool changed = mergeOne(record, now, actions);
        // A page is known to others already; a repaired difference may be news to the zone.
        if (changed && !message.page && isRelay())
            noteChange(record.id, true);
        const auto* entry = m_table.find(record.id);
        if (!message.page && entry && recordHash(entry->record) != recordHash(record)
            && answer.updates.records.size() < maxSync)
            answer.updates.records.push_back(entry->record);
    }
    merge(from, { {}, message.updates.statuses, 0, 0 }, now, actions);
    for (const auto& status : message.updates.statuses) {
        // The sender holds a member for dead that has come back.
        const auto* entry = m_table.find(status.id);
        if (entry && statusOf(entry->record) > status && answer.updates.records.size() < maxSync)
            answer.updates.records.push_back(entry->record);
    }
    for (auto id : message.wanted) {
        const auto* entry = m_table.find(id);
        if (entry && answer.updates.records.size() < maxSync)
            answer.updates.records.push_back(entry->record);
    }
    if (!answer.updates.records.empty())
        send(from, std::move(answer), actions);
    if (!message.page || joined() || message.zoneOnly != (m_join == join_state::zone))
        return;
    m_joinAttempts = 0;
    if (message.more && !message.updates.records.empty()) {
        m_joinPeer = from;
        m_joinAfter = message.updates.records.back().id;
        if (message.updates.records.size() > pageSize)
            m_joinAfter = message.updates.records[pageSize - 1].id;
        m_nextJoin = now + pagePause;
        return;
    }
    m_joinAfter = {};
    m_nextJoin = now + pagePause;
    m_join = m_join == join_state::zone ? join_state::all : join_state::done;
    if (joined())
        return;
    // The rest of the table comes from a member of the own zone if there is one.
    if (m_table.live(m_zone).size() < 2)
        m_joinPeer = from;
}

void fleet_impl::hastenDigest(time_point now)
{
    const auto jitter
        = duration(static_cast<duration::rep>(m_random->below(static_cast<std::uint64_t>(digestRetry.count()))));
    m_nextDigest = std::min(m_nextDigest, now + digestRetry + jitter);
}

void fleet_impl::sendDigest(fleet_actions& actions)
{
    std::vector<node_id> peers;
    for (const auto* entry : m_table.live(m_zone))
        if (!isSelf(entry->record.id) && entry->record.state == member_state::alive)
            peers.push_back(entry->record.id);
    const fleet_table_digest digest { m_table.zoneDigests(), 0, {} };
    if (!peers.empty())
        send(peers[m_random->below(peers.size())], digest, actions);
    if (!isRelay())
        return;
    std::vector<place_key> zones;
    for (const auto& [zone, list] : m_table.zones())
        if (zone != m_zone)
            zones.push_back(zone);
    if (zones.empty())
        return;
    if (auto relay = relayOf(zones[m_random->below(zones.size())], m_random->next()))
        send(*relay, digest, actions);
}

void fleet_impl::handle(node_id from, const fleet_table_digest& message, time_point now, fleet_actions& actions)
{
    if (!message.zones.empty()) {
        auto own = m_table.zoneDigests();
        std::vector<place_key> different;
        for (const auto& digest : message.zones)
            if (std::find(own.begin(), own.end(), digest) == own.end())
                different.push_back(digest.zone);
        for (const auto& digest : own)
            if (std::none_of(message.zones.begin(), message.zones.end(),
                    [&](const auto& theirs) { return theirs.zone == digest.zone; }))
                different.push_back(digest.zone);
        if (different.empty())
            return;
        hastenDigest(now);
        auto zone = different[m_random->below(different.size())];
        send(from, fleet_table_digest { {}, zone, m_table.memberDigests(zone) }, actions);
        return;
    }
    std::map<node_id, std::uint32_t> theirs;
    for (const auto& digest : message.members)
        theirs[digest.id] = digest.hash;
    fleet_table_sync answer { emptyGossip(), {} };
    for (const auto& [id, entry] : m_table.entries()) {
        if (entry.zone != message.zone)
            continue;
        auto found = theirs.find(id);
        const bool dead = entry.record.state == member_state::dead;
        const bool differs = found == theirs.end()
            ? !dead
            : dead || found->second != static_cast<std::uint32_t>(recordHash(entry.record));
        if (found != theirs.end())
            theirs.erase(found);
        if (!differs || answer.updates.records.size() + answer.updates.statuses.size() >= maxSync)
            continue;
        if (dead)
            answer.updates.statuses.push_back(statusOf(entry.record));
        else
            answer.updates.records.push_back(entry.record);
    }
    auto zone = m_zones.find(message.zone);
    const bool silent = zone != m_zones.end() && zone->second.silent;
    for (const auto& [id, hash] : theirs)
        if (!silent && answer.wanted.size() < maxSync)
            answer.wanted.push_back(id);
    if (answer.wanted.empty() && answer.updates.records.empty() && answer.updates.statuses.empty())
        return;
    hastenDigest(now);
    send(from, std::move(answer), actions);
}

} // namespace limpet
