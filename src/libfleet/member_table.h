#pragma once

#include <limpetcroft/fleet.h>
#include <map>

namespace limpet {

/// 64-bit hash of a node id under a seed; decides ranks and tree positions.
std::uint64_t hashOf(node_id id, std::uint64_t seed);

/// What an update did to the table.
enum class merge_outcome : std::uint8_t {
    stale, ///< the table knows something newer
    same,
    changed,
    incomplete, ///< newer, but the whole record is needed
};

/// Every member that a node knows, with the dead until they are forgotten.
class member_table {
public:
    member_table() = default;
    member_table(const member_table&) = delete; // the index points into the table
    member_table& operator=(const member_table&) = delete;

    struct entry {
        member_record record;
        place_key region = 0;
        place_key zone = 0;
        time_point changed; ///< when the state was last changed here
    };

    merge_outcome merge(const member_record& record, time_point now);
    merge_outcome merge(const member_status& status, time_point now);
    void erase(node_id id);
    const entry* find(node_id id) const;
    const std::map<node_id, entry>& entries() const { return m_entries; }

    /// Members of a zone that are not dead, in order of id.
    const std::vector<const entry*>& live(place_key zone) const;
    /// Every zone with a member that is not dead.
    const std::map<place_key, std::vector<const entry*>>& zones() const { return m_zones; }
    /// The first members of a zone by rendezvous hash among those that are alive.
    std::vector<node_id> ranked(place_key zone, std::size_t count) const;

    std::vector<zone_digest> zoneDigests() const;
    std::vector<member_digest> memberDigests(place_key zone) const;
    /// Page of members that are not dead, in order of id behind a member. Sets more if others follow.
    std::vector<member_record> page(std::optional<place_key> zone, node_id after, std::size_t size, bool& more) const;

private:
    void link(const entry& added);
    void unlink(const entry& removed);

    std::map<node_id, entry> m_entries;
    std::map<place_key, std::vector<const entry*>> m_zones;
};

/// Hash of the identity and version of a record; equal when two nodes hold the same record.
std::uint64_t recordHash(const member_record& record);
member_status statusOf(const member_record& record);

} // namespace limpet
