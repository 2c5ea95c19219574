#include "authority.h"

#include <algorithm>

namespace limpet {

namespace {

    constexpr std::size_t maxCandidates = 3;
    // Only nodes of this many top ranks, and the candidates of the record, try to take over.
    constexpr std::size_t holderRanks = maxCandidates + 1;
    constexpr duration callRetryDelay = std::chrono::milliseconds(500);
    // Saves a write of the record for a candidate that is missing only briefly, such as during a pause.
    constexpr duration candidateGracePeriod = std::chrono::seconds(10);

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

/// Returns the best ranked other nodes, preferring one from each availability zone other than the node's own.
std::vector<node_id> shard_authority::bestCandidates() const
{
    std::vector<node_id> chosen;
    std::vector<std::string_view> zones { m_settings.availabilityZone };
    const auto add = [&](bool anyZone) {
        for (const ranked_node& ranked : m_ranking) {
            const bool usable = ranked.node != m_settings.self && std::ranges::count(chosen, ranked.node) == 0;
            const bool zoneFits = anyZone || std::ranges::count(zones, ranked.availabilityZone) == 0;
            if (!usable || !zoneFits || chosen.size() >= maxCandidates)
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
    const std::size_t possible = std::min(maxCandidates, m_ranking.size() - std::min<std::size_t>(1, m_ranking.size()));
    const bool complete = m_record.candidates.size() >= possible && std::ranges::all_of(m_record.candidates, live);
    if (complete) {
        m_outdatedSince.reset();
        return false;
    }
    if (!m_outdatedSince)
        m_outdatedSince = now;
    return now >= *m_outdatedSince + candidateGracePeriod;
}

/// Whether the record was written before the store was restored from a copy.
bool shard_authority::recordIsFromCopy() const
{
    return m_recordRevision != 0 && m_record.era != 0 && m_record.era != m_era;
}

/// Whether this node had authority when the store was restored, and no other node can have taken it over since.
bool shard_authority::regainsAuthority() const
{
    return m_heldWhenRestored && (m_recordRevision == 0 || recordIsFromCopy());
}

/// Epochs that were given out since the copy must not be given out again.
std::uint64_t shard_authority::nextEpoch() const
{
    return (m_restoredAt ? std::max(m_record.epoch, m_knownEpoch) : m_record.epoch) + 1;
}

void shard_authority::storeRestored(time_point now, const node_lease& lease)
{
    holds(now, lease);
    m_heldWhenRestored |= m_holding;
    m_restoredAt = now;
    dropAuthority(now);
    m_callPending = false;
    m_pendingWrite.reset();
    m_recordFresh = false;
    m_recordRevision = 0;
    m_liveRevision = 0;
    m_liveMissingSince.reset();
    m_boundLease = 0;
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
    // Until the outcome of a write of new candidates is known, the promises of both lists are needed.
    if (m_pendingWrite && m_pendingWrite->kind == write_kind::candidates) {
        for (const node_id node : m_pendingWrite->record.candidates)
            end = std::min(end, until(node));
    }
    return end;
}

time_point shard_authority::authorityEnd(const node_lease& lease) const
{
    const time_point leaseEnd = m_boundLease == lease.id && lease.id != 0 ? lease.end : time_point::min();
    const time_point contact = m_boundLease == lease.id ? lease.lastContact : m_boundLeaseContact;
    return std::min(std::max(leaseEnd, promiseEnd()), contact + m_settings.maxIsolation);
}

bool shard_authority::holds(time_point now, const node_lease& lease)
{
    if (!m_holding)
        return false;
    if (m_boundLease == lease.id)
        m_boundLeaseContact = lease.lastContact;
    if (now >= authorityEnd(lease)) {
        dropAuthority(now);
        return false;
    }
    return now >= m_issueStart;
}

void shard_authority::dropAuthority(time_point now)
{
    m_holding = false;
    m_promises.clear();
    m_nextCall = now;
    if (m_knownHolder == m_settings.self)
        m_knownHolder = {};
}

void shard_authority::learnHolder(node_id holder, std::uint64_t epoch)
{
    if (m_holding || epoch < m_knownEpoch)
        return;
    m_knownHolder = holder;
    m_knownEpoch = epoch;
}

std::optional<quota_promise> shard_authority::handlePromiseRequest(
    node_id from, const quota_promise& request, time_point now)
{
    const bool takeoverPending = m_pendingWrite && m_pendingWrite->kind == write_kind::takeover;
    if (m_holding || takeoverPending || request.epoch < std::max(m_knownEpoch, m_record.epoch))
        return std::nullopt;
    // A takeover sent by an earlier run of this node may still reach the store. It is assumed that a call takes effect
    // less than half of leaseTime after its process has ended.
    if (!m_started || now < *m_started + (m_settings.leaseTime / 2))
        return std::nullopt;
    learnHolder(from, request.epoch);
    m_lastPromiseRequest = now;
    const duration length = std::min<duration>(request.length, m_settings.leaseTime);
    m_promisedUntil = std::max(m_promisedUntil, now + withDriftMargin(length));
    return quota_promise { .shard = m_shard, .epoch = request.epoch, .nonce = request.nonce, .length = length };
}

void shard_authority::handlePromise(node_id from, const quota_promise& promise)
{
    const auto found = m_promises.find(from);
    if (!m_holding || promise.epoch != m_record.epoch || found == m_promises.end())
        return;
    const auto sentAt = found->second.sentAt.find(promise.nonce);
    if (sentAt == found->second.sentAt.end())
        return;
    found->second.until = std::max(found->second.until, sentAt->second + promise.length);
    found->second.sentAt.erase(found->second.sentAt.begin(), std::next(sentAt));
}

void shard_authority::requestPromises(time_point now, output& out)
{
    if (now < m_nextPromiseRequest)
        return;
    m_nextPromiseRequest = now + (m_settings.leaseTime / 3);
    std::vector<node_id> receivers = m_record.candidates;
    if (m_pendingWrite && m_pendingWrite->kind == write_kind::candidates)
        receivers.insert(
            receivers.end(), m_pendingWrite->record.candidates.begin(), m_pendingWrite->record.candidates.end());
    std::ranges::sort(receivers);
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const node_id node : receivers) {
        promise_state& state = m_promises[node];
        const std::uint64_t nonce = (state.sentAt.empty() ? m_random.next() >> 1U : state.sentAt.rbegin()->first) + 1;
        state.sentAt.emplace(nonce, now);
        if (state.sentAt.size() > 4)
            state.sentAt.erase(state.sentAt.begin());
        out.promiseRequests.emplace_back(node,
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
    if (m_callPending || now < m_nextCall)
        return;
    m_nextCall = now + (m_settings.leaseTime / 3);
    if (m_pendingWrite && m_pendingWrite->readBack)
        readRecord(out);
    else if (m_pendingWrite)
        sendWrite(now, out);
    else if (m_holding)
        tickHolder(now, lease, out);
    else
        tickFollower(now, lease, out);
}

void shard_authority::tickHolder(time_point now, const node_lease& lease, output& out)
{
    if (m_boundLease != lease.id) {
        out.needsLease = !lease.valid(now);
        if (out.needsLease)
            return;
        startWrite(write_kind::live, m_record, lease);
        sendWrite(now, out);
        return;
    }
    if (!candidatesOutdated(now) || !lease.valid(now))
        return;
    m_outdatedSince.reset();
    holder_record record = m_record;
    record.candidates = bestCandidates();
    startWrite(write_kind::candidates, std::move(record), lease);
    m_nextPromiseRequest = now;
    sendWrite(now, out);
}

void shard_authority::tickFollower(time_point now, const node_lease& lease, output& out)
{
    if (rank() >= holderRanks && !isCandidate() && !m_heldWhenRestored)
        return;
    // While promise requests of the holder are answered, the store need not be read.
    if (m_lastPromiseRequest && now < *m_lastPromiseRequest + m_settings.leaseTime)
        return;
    if (!std::exchange(m_recordFresh, false)) {
        readRecord(out);
        return;
    }
    if (!mayTakeOver(now))
        return;
    if (!lease.valid(now)) {
        out.needsLease = true;
        m_nextCall = now + (callRetryDelay / 5);
        return;
    }
    holder_record record { .holder = m_settings.self, .run = m_settings.run, .epoch = nextEpoch() };
    record.candidates = bestCandidates();
    startWrite(write_kind::takeover, std::move(record), lease);
    sendWrite(now, out);
}

bool shard_authority::mayTakeOver(time_point now) const
{
    if (regainsAuthority())
        return true;
    const bool own = m_record.holder == m_settings.self && m_record.run == m_settings.run;
    if (m_recordRevision != 0 && own && !recordIsFromCopy())
        return true;
    if (!m_liveMissingSince)
        return false;
    // Delays by rank, so that several nodes seldom compete for the takeover.
    const duration rankDelay = (m_settings.leaseTime / 6) * static_cast<int>(std::min(rank(), holderRanks));
    if (now < *m_liveMissingSince + rankDelay)
        return false;
    if (m_recordRevision == 0 && !m_restoredAt)
        return true;
    // The holder of before writes its record again within this time.
    if (recordIsFromCopy() && now < *m_liveMissingSince + withDriftMargin(m_settings.leaseTime))
        return false;
    const bool recordIsNewest = !recordIsFromCopy() || m_record.epoch >= m_knownEpoch;
    if (isCandidate() && recordIsNewest && m_recordRevision != 0)
        return now >= m_promisedUntil && m_started && now >= *m_started + withDriftMargin(m_settings.leaseTime);
    return now >= *m_liveMissingSince + withDriftMargin(m_settings.maxIsolation + m_settings.leaseTime);
}

void shard_authority::startWrite(write_kind kind, holder_record record, const node_lease& lease)
{
    record.writeId = m_random.next();
    record.era = m_era;
    pending_write write { .kind = kind, .record = std::move(record), .lease = lease.id };
    write.txn.compares.push_back({ .key = recordKey(), .modRevision = m_recordRevision });
    if (kind == write_kind::takeover && m_record.epoch != 0) {
        // The live key may still exist if this node itself held the epoch and lost its authority; otherwise it must be
        // gone.
        write.txn.compares.push_back({ .key = liveKey(m_record.epoch), .modRevision = m_liveRevision });
        if (m_liveRevision != 0)
            write.txn.writes.emplace_back(store_erase { .key = liveKey(m_record.epoch) });
    }
    if (kind != write_kind::live)
        write.txn.writes.emplace_back(store_put { .key = recordKey(), .value = encode(write.record) });
    if (kind != write_kind::candidates)
        write.txn.writes.emplace_back(
            store_put { .key = liveKey(write.record.epoch), .value = toString(m_settings.self), .lease = lease.id });
    m_pendingWrite = std::move(write);
}

void shard_authority::sendWrite(time_point now, output& out)
{
    m_pendingWrite->sentAt = now;
    m_callPending = true;
    m_callIsRead = false;
    out.call = m_pendingWrite->txn;
}

void shard_authority::readRecord(output& out)
{
    m_callPending = true;
    m_callIsRead = true;
    out.call = store_get { .key = recordKey(), .prefix = true };
}

void shard_authority::storeResult(const result<store_reply>& reply, time_point now, const node_lease& lease)
{
    holds(now, lease);
    m_callPending = false;
    m_nextCall = now + callRetryDelay + duration(m_random.below(static_cast<std::uint64_t>(callRetryDelay.count())));
    if (!reply) {
        // The store does not know the lease, so the write can never succeed.
        if (m_pendingWrite && !m_callIsRead && reply.error().kind == error_kind::notFound
            && !m_pendingWrite->repeated) {
            m_pendingWrite.reset();
            return;
        }
        if (m_pendingWrite && !m_callIsRead)
            m_pendingWrite->readBack = m_pendingWrite->repeated = true;
        return;
    }
    if (const auto* found = std::get_if<store_get_reply>(&*reply)) {
        if (m_pendingWrite)
            resolveWrite(*found, now);
        else
            applyRecord(*found, now);
        return;
    }
    if (const auto* txn = std::get_if<store_txn_reply>(&*reply)) {
        if (!m_pendingWrite)
            return;
        if (!txn->succeeded) {
            // The comparison may have failed because an earlier copy of the same write has succeeded.
            if (!m_pendingWrite->repeated) {
                writeFailed(now);
                return;
            }
            m_pendingWrite->readBack = true;
            m_nextCall = now;
            return;
        }
        m_recordRevision = m_pendingWrite->kind == write_kind::live ? m_recordRevision : txn->head;
        writeSucceeded(now);
    }
}

void shard_authority::writeSucceeded(time_point now)
{
    const pending_write write = std::move(*m_pendingWrite);
    m_pendingWrite.reset();
    m_nextCall = now;
    const bool firstHolder = m_record.epoch == 0 && m_knownEpoch == 0;
    const bool heldBefore = m_heldWhenRestored || (m_record.epoch != 0 && m_record.epoch == m_heldEpoch);
    if (write.kind != write_kind::live)
        m_record = write.record;
    if (write.kind != write_kind::candidates) {
        m_boundLease = write.lease;
        m_boundLeaseContact = now;
    }
    if (write.kind != write_kind::takeover)
        return;
    m_holding = true;
    m_heldWhenRestored = false;
    m_promises.clear();
    m_nextPromiseRequest = now;
    m_outdatedSince.reset();
    m_knownHolder = m_settings.self;
    m_knownEpoch = m_heldEpoch = m_record.epoch;
    if (firstHolder)
        m_issueStart = now;
    else if (heldBefore) // which may have been before its first issue
        m_issueStart = std::max(m_issueStart, now + withDriftMargin(m_settings.grantLifetime));
    else
        m_issueStart = now + withDriftMargin(m_settings.leaseTime) + withDriftMargin(m_settings.grantLifetime);
}

void shard_authority::writeFailed(time_point now)
{
    m_pendingWrite.reset();
    m_recordFresh = false;
    m_heldWhenRestored = false;
    // This node's own writes aside, only a takeover by another node changes the record.
    if (m_holding)
        dropAuthority(now);
}

void shard_authority::resolveWrite(const store_get_reply& reply, time_point now)
{
    const auto record = std::ranges::find(reply.entries, recordKey(), &store_entry::key);
    const store_revision revision = record == reply.entries.end() ? 0 : record->modRevision;
    const auto live = std::ranges::find(reply.entries, liveKey(m_pendingWrite->record.epoch), &store_entry::key);
    if (m_pendingWrite->kind == write_kind::live) {
        if (revision != m_recordRevision)
            writeFailed(now);
        else if (live != reply.entries.end() && live->lease == m_pendingWrite->lease)
            writeSucceeded(now);
        else
            m_pendingWrite->readBack = false;
    } else if (revision == m_recordRevision) {
        const bool liveKeyReappeared = m_pendingWrite->kind == write_kind::takeover && m_liveRevision == 0
            && std::ranges::find(reply.entries, liveKey(m_record.epoch), &store_entry::key) != reply.entries.end();
        m_pendingWrite->readBack = false;
        // While the live key exists, the takeover fails. It is given up when the last copy can no longer take effect.
        if (liveKeyReappeared && now > m_pendingWrite->sentAt + withDriftMargin(m_settings.leaseTime))
            writeFailed(now);
    } else {
        const result<holder_record> found = parseHolderRecord(record == reply.entries.end() ? "" : record->value);
        if (found && found->writeId == m_pendingWrite->record.writeId) {
            m_recordRevision = revision;
            writeSucceeded(now);
        } else {
            writeFailed(now);
        }
    }
    m_nextCall = now;
}

void shard_authority::applyRecord(const store_get_reply& reply, time_point now)
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
    if (m_recordRevision != 0 && !recordIsFromCopy())
        m_heldWhenRestored = false;
    const auto live = std::ranges::find(reply.entries, liveKey(m_record.epoch), &store_entry::key);
    m_liveRevision = live == reply.entries.end() ? 0 : live->modRevision;
    if (m_liveRevision != 0) {
        m_liveMissingSince.reset();
        learnHolder(m_record.holder, m_record.epoch);
    } else if (!m_liveMissingSince) {
        m_liveMissingSince = now;
    }
    m_recordFresh = mayTakeOver(now);
    if (m_recordFresh)
        m_nextCall = now;
    else if (m_liveRevision != 0)
        m_nextCall += m_settings.leaseTime / 2;
}

time_point shard_authority::nextTimer() const
{
    const time_point calls = m_callPending ? time_point::max() : m_nextCall;
    return m_holding ? std::min(calls, m_nextPromiseRequest) : calls;
}

} // namespace limpet
