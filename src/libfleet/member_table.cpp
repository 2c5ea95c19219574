#include "member_table.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace limpet {

namespace {

    auto order(const member_record& record) { return std::tuple(record.run, record.version, record.state); }
    bool byId(const member_table::entry* left, const member_table::entry* right)
    {
        return left->record.id < right->record.id;
    }

    auto order(const member_status& status) { return std::tuple(status.run, status.version, status.state); }

} // namespace

std::uint64_t hashOf(node_id id, std::uint64_t seed) { return XXH3_64bits_withSeed(&id.value, sizeof(id.value), seed); }

std::uint64_t recordHash(const member_record& record)
{
    const std::array<std::uint64_t, 3> parts { record.id.value, record.run, record.version };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

member_status statusOf(const member_record& record) { return { record.id, record.run, record.version, record.state }; }

void member_table::link(const entry& added)
{
    if (added.record.state == member_state::dead)
        return;
    auto& list = m_zones[added.zone];
    list.insert(std::lower_bound(list.begin(), list.end(), &added, byId), &added);
}

void member_table::unlink(const entry& removed)
{
    auto zone = m_zones.find(removed.zone);
    if (removed.record.state == member_state::dead || zone == m_zones.end())
        return;
    std::erase(zone->second, &removed);
    if (zone->second.empty())
        m_zones.erase(zone);
}

merge_outcome member_table::merge(const member_record& record, time_point now)
{
    auto found = m_entries.find(record.id);
    if (found != m_entries.end() && order(record) <= order(found->second.record))
        return order(record) == order(found->second.record) ? merge_outcome::same : merge_outcome::stale;
    if (found == m_entries.end() && record.state == member_state::dead)
        return merge_outcome::same;
    if (found != m_entries.end())
        unlink(found->second);
    auto& stored = m_entries[record.id];
    stored = { record, makePlaceKey(record.region), makePlaceKey(record.zone), now };
    link(stored);
    return merge_outcome::changed;
}

merge_outcome member_table::merge(const member_status& status, time_point now)
{
    auto found = m_entries.find(status.id);
    if (found == m_entries.end())
        return status.state == member_state::dead ? merge_outcome::same : merge_outcome::incomplete;
    auto& record = found->second.record;
    if (order(status) <= order(record))
        return order(status) == order(record) ? merge_outcome::same : merge_outcome::stale;
    // A new incarnation or version may have another address, so its record is needed unless it is gone already.
    const bool described = status.run == record.run
        && (status.version == record.version
            || (status.version == record.version + 1 && status.state == member_state::draining));
    if (!described && status.state != member_state::dead)
        return merge_outcome::incomplete;
    unlink(found->second);
    record.run = status.run;
    record.version = status.version;
    record.state = status.state;
    found->second.changed = now;
    link(found->second);
    return merge_outcome::changed;
}

void member_table::erase(node_id id)
{
    auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    unlink(found->second);
    m_entries.erase(found);
}

const member_table::entry* member_table::find(node_id id) const
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const std::vector<const member_table::entry*>& member_table::live(place_key zone) const
{
    static const std::vector<const entry*> none;
    auto found = m_zones.find(zone);
    return found == m_zones.end() ? none : found->second;
}

std::vector<node_id> member_table::ranked(place_key zone, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, node_id>> ranks;
    for (const auto* entry : live(zone))
        if (entry->record.state == member_state::alive)
            ranks.emplace_back(hashOf(entry->record.id, zone), entry->record.id);
    count = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end());
    std::vector<node_id> first;
    first.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        first.push_back(ranks[index].second);
    return first;
}

std::vector<zone_digest> member_table::zoneDigests() const
{
    std::vector<zone_digest> digests;
    for (const auto& [zone, list] : zones()) {
        zone_digest digest { zone, static_cast<std::uint32_t>(list.size()), 0 };
        for (const auto* entry : list)
            digest.hash ^= recordHash(entry->record);
        digests.push_back(digest);
    }
    return digests;
}

std::vector<member_digest> member_table::memberDigests(place_key zone) const
{
    std::vector<member_digest> digests;
    digests.reserve(live(zone).size());
    for (const auto* entry : live(zone))
        digests.push_back({ entry->record.id, static_cast<std::uint32_t>(recordHash(entry->record)) });
    return digests;
}

std::vector<member_record> member_table::page(
    std::optional<place_key> zone, node_id after, std::size_t size, bool& more) const
{
    std::vector<member_record> records;
    more = false;
    for (auto next = m_entries.upper_bound(after); next != m_entries.end(); ++next) {
        const auto& entry = next->second;
        if (entry.record.state == member_state::dead || (zone && entry.zone != *zone))
            continue;
        if (records.size() == size) {
            more = true;
            break;
        }
        records.push_back(entry.record);
    }
    return records;
}

} // namespace limpet
