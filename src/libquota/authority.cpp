#include "authority.h"

#include <algorithm>

namespace limpet {

namespace {

    constexpr std::size_t mostCandidates = 3;
    constexpr std::size_t contenders = mostCandidates + 1;
    constexpr duration callRetry = std::chrono::milliseconds(500);
    // A candidate that left the member table for a moment, such as after a pause, is not worth a write.
    constexpr duration candidateGrace = std::chrono::seconds(10);

} // namespace

shard_authority::shard_authority(const quota_settings& settings, std::uint16_t shard, std::uint64_t seed)
    : m_settings(settings)
    , m_shard(shard)
    , m_random(seed)
{
}

std::string shard_authority::recordKey() const { return "quota/" + m_settings.region + "/" + std::to_string(m_shard); }

std::string shard_authority::liveKey(std::uint64_t epoch) const
{
    return recordKey() + "/live/" + std::to_string(epoch);
}

std::size_t shard_authority::rank() const
{
    const auto found = std::ranges::find(m_ranking, m_settings.self, &ranked_node::node);
    return static_cast<std::size_t>(found - m_ranking.begin());
}

bool shard_authority::isCandidate() const
{
    return m_record.holder == m_settings.self || std::ranges::count(m_record.candidates, m_settings.self) > 0;
}

/// The best ranked nodes, one of each other availability zone first.
std::vector<node_id> shard_authority::bestCandidates() const
{
    std::vector<node_id> chosen;
    std::vector<std::string_view> zones { m_settings.availabilityZone };
    const auto add = [&](bool anyZone) {
        for (const ranked_node& ranked : m_ranking) {
            const bool usable = ranked.node != m_settings.self && std::ranges::count(chosen, ranked.node) == 0;
            const bool zoneFits = anyZone || std::ranges::count(zones, ranked.availabilityZone) == 0;
            if (!usable || !zoneFits || chosen.size() >= mostCandidates)
                continue;
            chosen.push_back(ranked.node);
            zones.emplace_back(ranked.availabilityZone);
        }
    };
    add(false);
    add(true);
    return chosen;
}

bool shard_authority::candidatesOutdated(time_point now)
{
    const auto live
        = [&](node_id node) { return std::ranges::find(m_ranking, node, &ranked_node::node) != m_ranking.end(); };
    const std::size_t possible
        = std::min(mostCandidates, m_ranking.size() - std::min<std::size_t>(1, m_ranking.size()));
    const bool complete = m_record.candidates.size() >= possible && std::ranges::all_of(m_record.candidates, live);
    if (complete) {
        m_outdatedSince.reset();
        return false;
    }
    if (!m_outdatedSince)
        m_outdatedSince = now;
    return now >= *m_outdatedSince + candidateGrace;
}

time_point shard_authority::promiseEnd() const
{
    const auto until = [&](node_id node) {
        const auto found = m_promises.find(node);
        return found == m_promises.end() ? time_point::min() : found->second.until;
    };
    time_point end = m_record.candidates.empty() ? time_point::min() : time_point::max();
    for (const node_id node : m_record.candidates)
        end = std::min(end, until(node));
    // Until the outcome of a new list is known, the candidates of both lists have to agree.
    if (m_open && m_open->kind == write_kind::candidates) {
        for (const node_id node : m_open->record.candidates)
            end = std::min(end, until(node));
    }
    return end;
}

time_point shard_authority::authorityEnd(const node_lease& lease) const
{
    const time_point leaseEnd = m_boundLease == lease.id && lease.id != 0 ? lease.end : time_point::min();
    const time_point contact = m_boundLease == lease.id ? lease.lastContact : m_boundContact;
    return std::min(std::max(leaseEnd, promiseEnd()), contact + m_settings.maxIsolation);
}

bool shard_authority::holds(time_point now, const node_lease& lease)
{
    if (!m_holding)
        return false;
    if (m_boundLease == lease.id)
        m_boundContact = lease.lastContact;
    if (now >= authorityEnd(lease)) {
        lapse(now);
        return false;
    }
    return now >= m_start;
}

void shard_authority::lapse(time_point now)
{
    m_holding = false;
    m_promises.clear();
    m_next = now;
    if (m_known == m_settings.self)
        m_known = {};
}

void shard_authority::learn(node_id holder, std::uint64_t epoch)
{
    if (m_holding || epoch < m_knownEpoch)
        return;
    m_known = holder;
    m_knownEpoch = epoch;
}

std::optional<quota_promise> shard_authority::requested(node_id from, const quota_promise& request, time_point now)
{
    const bool takingOver = m_open && m_open->kind == write_kind::takeover;
    if (m_holding || takingOver || request.epoch < std::max(m_knownEpoch, m_record.epoch))
        return std::nullopt;
    // A takeover that an earlier run of this node sent may still arrive at the store. A call is taken to outlive its
    // process by less than half a lease.
    if (!m_started || now < *m_started + (m_settings.leaseTime / 2))
        return std::nullopt;
    learn(from, request.epoch);
    m_heard = now;
    const duration length = std::min<duration>(request.length, m_settings.leaseTime);
    m_promisedUntil = std::max(m_promisedUntil, now + withMargin(length));
    return quota_promise { .shard = m_shard, .epoch = request.epoch, .nonce = request.nonce, .length = length };
}

void shard_authority::promised(node_id from, const quota_promise& promise)
{
    const auto found = m_promises.find(from);
    if (!m_holding || promise.epoch != m_record.epoch || found == m_promises.end())
        return;
    const auto sent = found->second.sent.find(promise.nonce);
    if (sent == found->second.sent.end())
        return;
    found->second.until = std::max(found->second.until, sent->second + promise.length);
    found->second.sent.erase(found->second.sent.begin(), std::next(sent));
}

void shard_authority::requestPromises(time_point now, output& out)
{
    if (now < m_nextRequest)
        return;
    m_nextRequest = now + (m_settings.leaseTime / 3);
    std::vector<node_id> receivers = m_record.candidates;
    if (m_open && m_open->kind == write_kind::candidates)
        receivers.insert(receivers.end(), m_open->record.candidates.begin(), m_open->record.candidates.end());
    std::ranges::sort(receivers);
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const node_id node : receivers) {
        promise_state& state = m_promises[node];
        const std::uint64_t nonce = (state.sent.empty() ? m_random.next() >> 1U : state.sent.rbegin()->first) + 1;
        state.sent.emplace(nonce, now);
        if (state.sent.size() > 4)
            state.sent.erase(state.sent.begin());
        out.requests.emplace_back(node,
            quota_promise {
                .shard = m_shard, .epoch = m_record.epoch, .nonce = nonce, .length = m_settings.leaseTime });
    }
}

void shard_authority::tick(time_point now, const node_lease& lease, output& out)
{
    if (!m_started)
        m_started = now;
    holds(now, lease);
    if (m_holding)
        requestPromises(now, out);
    if (m_callOpen || now < m_next)
        return;
    m_next = now + (m_settings.leaseTime / 3);
    if (m_open && m_open->readBack)
        read(out);
    else if (m_open)
        send(now, out);
    else if (m_holding)
        maintain(now, lease, out);
    else
        watch(now, lease, out);
}

void shard_authority::maintain(time_point now, const node_lease& lease, output& out)
{
    if (m_boundLease != lease.id) {
        out.needsLease = !lease.valid(now);
        if (out.needsLease)
            return;
        open(write_kind::live, m_record, lease);
        send(now, out);
        return;
    }
    if (!candidatesOutdated(now) || !lease.valid(now))
        return;
    m_outdatedSince.reset();
    holder_record record = m_record;
    record.candidates = bestCandidates();
    open(write_kind::candidates, std::move(record), lease);
    m_nextRequest = now;
    send(now, out);
}

void shard_authority::watch(time_point now, const node_lease& lease, output& out)
{
    if (rank() >= contenders && !isCandidate())
        return;
    // While the holder is heard, the store need not be read.
    if (m_heard && now < *m_heard + m_settings.leaseTime)
        return;
    if (!std::exchange(m_fresh, false)) {
        read(out);
        return;
    }
    if (!mayTakeOver(now))
        return;
    if (!lease.valid(now)) {
        out.needsLease = true;
        m_next = now + (callRetry / 5);
        return;
    }
    holder_record record { .holder = m_settings.self, .run = m_settings.run, .epoch = m_record.epoch + 1 };
    record.candidates = bestCandidates();
    open(write_kind::takeover, std::move(record), lease);
    send(now, out);
}

bool shard_authority::mayTakeOver(time_point now) const
{
    const bool own = m_record.holder == m_settings.self && m_record.run == m_settings.run;
    if (m_recordRevision != 0 && own)
        return true;
    if (!m_liveMissingSince)
        return false;
    // The best ranked goes first, so that several nodes seldom race.
    const duration turn = (m_settings.leaseTime / 6) * static_cast<int>(std::min(rank(), contenders));
    if (now < *m_liveMissingSince + turn)
        return false;
    if (m_recordRevision == 0)
        return true;
    if (isCandidate())
        return now >= m_promisedUntil && m_started && now >= *m_started + withMargin(m_settings.leaseTime);
    return now >= *m_liveMissingSince + withMargin(m_settings.maxIsolation + m_settings.leaseTime);
}

void shard_authority::open(write_kind kind, holder_record record, const node_lease& lease)
{
    record.mark = m_random.next();
    open_write write { .kind = kind, .record = std::move(record), .lease = lease.id };
    write.txn.compares.push_back({ .key = recordKey(), .modRevision = m_recordRevision });
    if (kind == write_kind::takeover && m_record.epoch != 0) {
        // The live key of an own epoch that has lapsed may exist; of any other epoch it must be gone.
        write.txn.compares.push_back({ .key = liveKey(m_record.epoch), .modRevision = m_liveRevision });
        if (m_liveRevision != 0)
            write.txn.writes.emplace_back(store_erase { .key = liveKey(m_record.epoch) });
    }
    if (kind != write_kind::live)
        write.txn.writes.emplace_back(store_put { .key = recordKey(), .value = encode(write.record) });
    if (kind != write_kind::candidates)
        write.txn.writes.emplace_back(
            store_put { .key = liveKey(write.record.epoch), .value = toString(m_settings.self), .lease = lease.id });
    m_open = std::move(write);
}

void shard_authority::send(time_point now, output& out)
{
    m_open->sent = now;
    m_callOpen = true;
    m_callReads = false;
    out.call = m_open->txn;
}

void shard_authority::read(output& out)
{
    m_callOpen = true;
    m_callReads = true;
    out.call = store_get { .key = recordKey(), .prefix = true };
}

void shard_authority::storeResult(const result<store_reply>& reply, time_point now, const node_lease& lease)
{
    holds(now, lease);
    m_callOpen = false;
    m_next = now + callRetry + duration(m_random.below(static_cast<std::uint64_t>(callRetry.count())));
    if (!reply) {
        // A lease that the store does not know makes the write invalid for good.
        if (m_open && !m_callReads && reply.error().kind == error_kind::notFound && !m_open->repeated) {
            m_open.reset();
            return;
        }
        if (m_open && !m_callReads)
            m_open->readBack = m_open->repeated = true;
        return;
    }
    if (const auto* found = std::get_if<store_get_reply>(&*reply)) {
        if (m_open)
            settle(*found, now);
        else
            sawRecord(*found, now);
        return;
    }
    if (const auto* txn = std::get_if<store_txn_reply>(&*reply)) {
        if (!m_open)
            return;
        if (!txn->succeeded) {
            // An earlier copy of the write may have succeeded and may be what this one failed on.
            if (!m_open->repeated) {
                lostWrite(now);
                return;
            }
            m_open->readBack = true;
            m_next = now;
            return;
        }
        m_recordRevision = m_open->kind == write_kind::live ? m_recordRevision : txn->head;
        wrote(now);
    }
}

void shard_authority::wrote(time_point now)
{
    const open_write write = std::move(*m_open);
    m_open.reset();
    m_next = now;
    const bool newRecord = m_record.epoch == 0 && m_knownEpoch == 0;
    const bool ownBefore = m_record.epoch != 0 && m_record.epoch == m_heldEpoch;
    if (write.kind != write_kind::live)
        m_record = write.record;
    if (write.kind != write_kind::candidates) {
        m_boundLease = write.lease;
        m_boundContact = now;
    }
    if (write.kind != write_kind::takeover)
        return;
    m_holding = true;
    m_promises.clear();
    m_nextRequest = now;
    m_outdatedSince.reset();
    m_known = m_settings.self;
    m_knownEpoch = m_heldEpoch = m_record.epoch;
    if (newRecord)
        m_start = now;
    else if (ownBefore)
        m_start = now + withMargin(m_settings.grantLifetime);
    else
        m_start = now + withMargin(m_settings.leaseTime) + withMargin(m_settings.grantLifetime);
}

void shard_authority::lostWrite(time_point now)
{
    m_open.reset();
    m_fresh = false;
    // The record changes only by a takeover of another node or by a write of this one.
    if (m_holding)
        lapse(now);
}

void shard_authority::settle(const store_get_reply& reply, time_point now)
{
    const auto record = std::ranges::find(reply.entries, recordKey(), &store_entry::key);
    const store_revision revision = record == reply.entries.end() ? 0 : record->modRevision;
    const auto live = std::ranges::find(reply.entries, liveKey(m_open->record.epoch), &store_entry::key);
    if (m_open->kind == write_kind::live) {
        if (revision != m_recordRevision)
            lostWrite(now);
        else if (live != reply.entries.end() && live->lease == m_open->lease)
            wrote(now);
        else
            m_open->readBack = false;
    } else if (revision == m_recordRevision) {
        const bool holderBack = m_open->kind == write_kind::takeover && m_liveRevision == 0
            && std::ranges::find(reply.entries, liveKey(m_record.epoch), &store_entry::key) != reply.entries.end();
        m_open->readBack = false;
        if (holderBack && now > m_open->sent + withMargin(m_settings.leaseTime))
            lostWrite(now);
    } else {
        const result<holder_record> found = parseHolderRecord(record == reply.entries.end() ? "" : record->value);
        if (found && found->mark == m_open->record.mark) {
            m_recordRevision = revision;
            wrote(now);
        } else {
            lostWrite(now);
        }
    }
    m_next = now;
}

void shard_authority::sawRecord(const store_get_reply& reply, time_point now)
{
    const auto entry = std::ranges::find(reply.entries, recordKey(), &store_entry::key);
    holder_record record;
    m_recordRevision = 0;
    if (entry != reply.entries.end()) {
        result<holder_record> parsed = parseHolderRecord(entry->value);
        if (!parsed)
            return;
        record = std::move(*parsed);
        m_recordRevision = entry->modRevision;
    }
    if (record.epoch != m_record.epoch)
        m_liveMissingSince.reset();
    m_record = std::move(record);
    const auto live = std::ranges::find(reply.entries, liveKey(m_record.epoch), &store_entry::key);
    m_liveRevision = live == reply.entries.end() ? 0 : live->modRevision;
    if (m_liveRevision != 0) {
        m_liveMissingSince.reset();
        learn(m_record.holder, m_record.epoch);
    } else if (!m_liveMissingSince) {
        m_liveMissingSince = now;
    }
    m_fresh = mayTakeOver(now);
    if (m_fresh)
        m_next = now;
    else if (m_liveRevision != 0)
        m_next += m_settings.leaseTime / 2;
}

time_point shard_authority::nextTimer() const
{
    const time_point calls = m_callOpen ? time_point::max() : m_next;
    return m_holding ? std::min(calls, m_nextRequest) : calls;
}

} // namespace limpet
