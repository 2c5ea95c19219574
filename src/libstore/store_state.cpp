#include "fault.h"

#include <algorithm>
#include <limpetcroft/store.h>
#include <set>

namespace limpet {

bool isWrite(const store_operation& operation) { return !std::holds_alternative<store_get>(operation); }

store_state::store_state(std::size_t keptRevisions)
    : m_keptRevisions(keptRevisions)
{
}

void store_state::expireLeases(time_point now)
{
    std::vector<store_lease> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.end <= now) {
            expired.push_back(id);
        }
    }
    for (const store_lease id : expired) {
        m_leases.erase(id);
        eraseKeysOf(id);
    }
}

result<store_reply> store_state::apply(const store_operation& operation, time_point now)
{
    expireLeases(now);
    return std::visit([&](const auto& each) { return applyOne(each, now); }, operation);
}

result<store_reply> store_state::applyOne(const store_get& get, time_point /*now*/)
{
    store_get_reply reply { .head = m_head };
    if (get.prefix) {
        for (auto at = m_entries.lower_bound(get.key); at != m_entries.end() && at->first.starts_with(get.key); ++at) {
            reply.entries.push_back(at->second);
        }
    } else if (const auto found = m_entries.find(get.key); found != m_entries.end()) {
        reply.entries.push_back(found->second);
    }
    return reply;
}

result<void> store_state::check(const store_txn& txn) const
{
    std::set<std::string> written;
    for (const store_write& write : txn.writes) {
        const std::string& key = std::visit([](const auto& each) -> const std::string& { return each.key; }, write);
        if (key.empty()) {
            return fail(error_kind::invalidArgument, "key is not provided");
        }
        if (!written.insert(key).second) {
            return fail(error_kind::invalidArgument, "duplicate key given in txn request");
        }
        const auto* put = std::get_if<store_put>(&write);
        if (put == nullptr) {
            continue;
        }
        if (put->value.size() > maxStoreValue) {
            return fail(error_kind::tooLarge, "request is too large");
        }
        if (put->lease != 0 && !m_leases.contains(put->lease)) {
            return fail(error_kind::notFound, "requested lease not found");
        }
    }
    return {};
}

result<store_reply> store_state::applyOne(const store_txn& txn, time_point /*now*/)
{
    if (auto checked = check(txn); !checked) {
        return tl::unexpected(checked.error());
    }
    store_txn_reply reply { .succeeded = true };
    for (const store_compare& compare : txn.compares) {
        const auto found = m_entries.find(compare.key);
        const store_revision actual = found == m_entries.end() ? 0 : found->second.modRevision;
        if (actual != compare.modRevision) {
            reply.succeeded = false;
        }
    }
    if (!reply.succeeded) {
        for (const store_compare& compare : txn.compares) {
            if (const auto found = m_entries.find(compare.key); found != m_entries.end()) {
                reply.current.push_back(found->second);
            }
        }
        reply.head = m_head;
        return reply;
    }
    // All writes of a transaction share one revision; a transaction that changes nothing takes none.
    ++m_head;
    const std::size_t before = m_history.size();
    for (const store_write& write : txn.writes) {
        if (const auto* each = std::get_if<store_put>(&write)) {
            put(*each);
        } else {
            erase(std::get<store_erase>(write).key);
        }
    }
    if (m_history.size() == before) {
        --m_head;
    }
    trim();
    reply.head = m_head;
    return reply;
}

result<store_reply> store_state::applyOne(const store_lease_grant& grant, time_point now)
{
    if (grant.timeToLive.count() <= 0) {
        return fail(error_kind::invalidArgument, "the time to live of a lease must be positive");
    }
    const store_lease id = m_nextLease++;
    m_leases[id] = { grant.timeToLive, now + grant.timeToLive };
    return store_lease_reply { id, grant.timeToLive };
}

result<store_reply> store_state::applyOne(const store_lease_keep_alive& keepAlive, time_point now)
{
    const auto found = m_leases.find(keepAlive.lease);
    if (found == m_leases.end()) {
        return store_lease_reply { keepAlive.lease, std::chrono::seconds(0) };
    }
    found->second.end = now + found->second.timeToLive;
    return store_lease_reply { keepAlive.lease, found->second.timeToLive };
}

result<store_reply> store_state::applyOne(const store_lease_revoke& revoke, time_point /*now*/)
{
    if (m_leases.erase(revoke.lease) == 0) {
        return fail(error_kind::notFound, "requested lease not found");
    }
    eraseKeysOf(revoke.lease);
    return store_lease_reply { revoke.lease, std::chrono::seconds(0) };
}

void store_state::put(const store_put& put)
{
    store_entry& entry = m_entries[put.key];
    entry = { put.key, put.value, m_head, put.lease };
    m_history.push_back({ false, entry });
}

void store_state::erase(const std::string& key)
{
    if (m_entries.erase(key) != 0) {
        m_history.push_back({ true, { .key = key, .modRevision = m_head } });
    }
}

void store_state::eraseKeysOf(store_lease lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_entries) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++m_head;
    for (const std::string& key : keys) {
        erase(key);
    }
    trim();
}

std::optional<store_watch_event> store_state::changesSince(const std::string& prefix, store_revision from) const
{
    if (from <= m_compacted) {
        return store_compacted { m_compacted + 1, m_era };
    }
    store_changes seen { .era = m_era };
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), from,
        [](const store_change& change, store_revision revision) { return change.entry.modRevision < revision; });
    for (auto at = first; at != m_history.end(); ++at) {
        if (at->entry.key.starts_with(prefix)) {
            seen.changes.push_back(*at);
            seen.revision = at->entry.modRevision;
        }
    }
    if (seen.changes.empty()) {
        return std::nullopt;
    }
    return seen;
}

void store_state::compact(store_revision revision)
{
    m_compacted = std::max(m_compacted, std::min(revision, m_head));
    while (!m_history.empty() && m_history.front().entry.modRevision <= m_compacted) {
        m_history.pop_front();
    }
}

void store_state::restore(const store_state& copy)
{
    const auto era = m_era + 1;
    *this = copy;
    m_era = era;
}

void store_state::trim()
{
    const auto kept = static_cast<store_revision>(m_keptRevisions);
    if (m_head > kept) {
        compact(m_head - kept);
    }
}

} // namespace limpet
