#include "claim_record.h"

#include <algorithm>

namespace limpet {

namespace {

    constexpr duration leasePeriod = std::chrono::hours(1);
    constexpr duration retryDelay = std::chrono::milliseconds(500);
    // Time limit for retrying to write an outcome or to erase a record. Afterwards the record stays in flight until its
    // lease expires, which is safe: no other request of the key is executed while the record exists.
    constexpr duration maxRetryTime = std::chrono::minutes(5);
    // Bodies of responses not yet written to the store; the memory limit of a node is 64 MB in total.
    constexpr std::size_t maxPendingResponseBytes = 8UL * 1024 * 1024;
    // One write creates the record of a claim, another one completes, abandons or erases it.
    constexpr double writesPerClaim = 2;
    // A tenth of the retryAfter of requests that hold no claim.
    constexpr duration retryAfterUnit = std::chrono::milliseconds(100);

    // No entry has it, so that a compare with it fails.
    constexpr store_revision noRevision = -1;

    /// Progress of an active claim at this node.
    enum class claim_step : std::uint8_t {
        awaitingLease,
        creating,
        executing, ///< the caller executes the request
        writingOutcome, ///< the record is being completed, abandoned or erased
        cleaningUp, ///< the request expired before the outcome of the create was known; a created record is erased
    };

} // namespace

struct claim_table::state {
    struct claim {
        std::uint64_t token = 0;
        std::string key; ///< store key
        claim_record record;
        claim_step step = claim_step::awaitingLease;
        time_point deadline; ///< until the claim is resolved: of the request; afterwards: end of the retries
        time_point lastCreateSent;
        time_point retryAt = time_point::max();
        store_revision revision = 0;
        store_lease lease = 0;
        bool eraseRecord = false;
        bool recordUncertain = false; ///< the store was restored from a copy, which may lack the record
        bool createUncertain = false; ///< the create was sent at least once without a known outcome
        std::uint64_t pendingCall = 0; ///< token of the store call; 0 if none
        std::size_t bytes() const { return record.response.body ? record.response.body->size() : 0; }
    };
    struct pending_call {
        std::uint64_t claim = 0; ///< token of the claim; 0 for the lease grant
        time_point sent;
    };

    claim_settings settings;
    random_source random;
    std::map<std::uint64_t, claim> claims; ///< by token
    std::map<std::string, std::uint64_t, std::less<>> byKey; ///< token by store key
    std::map<std::uint64_t, pending_call> pendingCalls;
    std::map<node_id, incarnation> owners; ///< current incarnations of the live nodes
    std::uint64_t nextCall = 1;
    store_era_tracker storeEra { era_order::firstSeen };
    store_lease lease = 0;
    time_point leaseReuseEnd; ///< claims made from then on need a new lease
    bool leaseCallPending = false;
    double writeTokens = 0; ///< content of the token bucket that limits the writes
    std::optional<time_point> writeTokensUpdated;
    std::size_t pendingResponseBytes = 0;

    state(claim_settings claimSettings, std::uint64_t seed)
        : settings(claimSettings)
        , random(seed)
        , writeTokens(claimSettings.writeBurst)
    {
    }

    std::uint64_t sendCall(
        std::uint64_t claim, store_operation operation, time_point now, std::vector<claim_action>& actions)
    {
        const std::uint64_t token = nextCall++;
        pendingCalls[token] = { claim, now };
        actions.emplace_back(store_call { .token = token, .operation = std::move(operation) });
        return token;
    }

    bool takeWriteTokens(time_point now)
    {
        const double passed = std::chrono::duration<double>(now - writeTokensUpdated.value_or(now)).count();
        writeTokens = std::min(settings.writeBurst, writeTokens + (passed * settings.writesPerSecond));
        writeTokensUpdated = now;
        if (writeTokens < writesPerClaim)
            return false;
        writeTokens -= writesPerClaim;
        return true;
    }

    /// Reports the result of a request that holds no claim.
    static void resolve(std::uint64_t token, claim_outcome outcome, std::vector<claim_action>& actions)
    {
        const bool retryable = outcome == claim_outcome::unavailable || outcome == claim_outcome::inProgress;
        actions.emplace_back(claim_result {
            .token = token, .outcome = outcome, .retryAfter = retryable ? retryAfterUnit * 10 : duration::zero() });
    }

    /// Reports the result of a request whose key already has an active claim at this node.
    static void resolveDuplicate(
        std::uint64_t token, const claim& other, const digest& fingerprint, std::vector<claim_action>& actions)
    {
        const bool beingErased = other.step == claim_step::cleaningUp || other.eraseRecord;
        if (other.record.fingerprint != fingerprint)
            resolve(token, claim_outcome::mismatch, actions);
        else if (beingErased)
            resolve(token, claim_outcome::unavailable, actions);
        else if (other.record.phase == claim_phase::completed)
            actions.emplace_back(claim_result {
                .token = token, .outcome = claim_outcome::completed, .response = other.record.response });
        else if (other.record.phase == claim_phase::abandoned)
            resolve(token, claim_outcome::abandoned, actions);
        else
            resolve(token, claim_outcome::inProgress, actions);
    }

    void eraseClaim(std::uint64_t token)
    {
        const auto found = claims.find(token);
        if (found == claims.end())
            return;
        if (found->second.step == claim_step::writingOutcome)
            pendingResponseBytes -= found->second.bytes();
        const auto key = byKey.find(found->second.key);
        if (key != byKey.end() && key->second == token)
            byKey.erase(key);
        claims.erase(found);
    }

    void advance(claim& current, time_point now, std::vector<claim_action>& actions);
    void requestLease(time_point now, std::vector<claim_action>& actions);
    bool hasLease(time_point now) const { return lease != 0 && now < leaseReuseEnd; }
    void startAgain(time_point now);
    void restoreRecord(claim& current, time_point now, std::vector<claim_action>& actions);
    void onRestoreReply(
        claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void createRecord(claim& current, time_point now, std::vector<claim_action>& actions);
    void sendRecord(claim& current, time_point now, std::vector<claim_action>& actions);
    void readRecord(claim& current, time_point now, std::vector<claim_action>& actions);
    void writeOutcome(claim& current, time_point now, std::vector<claim_action>& actions);
    void startWritingOutcome(claim& current, time_point now, std::vector<claim_action>& actions);
    void onCreated(claim& current, store_revision revision, time_point now, std::vector<claim_action>& actions);
    void onKeyTaken(claim& current, const store_entry& entry, std::vector<claim_action>& actions);
    void onCreateReply(
        claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void onOutcomeReply(claim& current, const result<store_reply>& reply, time_point now);
    void onReadReply(
        claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void onLeaseReply(const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void onStoreReply(const store_result& result, time_point now, std::vector<claim_action>& actions);
    void expireRequest(claim& current, time_point now, std::vector<claim_action>& actions);
    bool isOrphaned(const claim_record& record) const;
};

claim_table::claim_table(claim_settings settings, std::uint64_t seed)
    : m_state(std::make_unique<state>(settings, seed))
{
}
claim_table::~claim_table() = default;
claim_table::claim_table(claim_table&&) noexcept = default;
claim_table& claim_table::operator=(claim_table&&) noexcept = default;

void claim_table::claim(std::uint64_t token, std::string_view team, std::string_view key, const digest& fingerprint,
    time_point deadline, time_point now, std::vector<claim_action>& actions)
{
    state& table = *m_state;
    std::string name = claimKey(team, key);
    if (const auto found = table.byKey.find(name); found != table.byKey.end()) {
        state::resolveDuplicate(token, table.claims.at(found->second), fingerprint, actions);
        return;
    }
    if (table.claims.size() >= table.settings.capacity || deadline <= now || !table.takeWriteTokens(now)) {
        state::resolve(token, claim_outcome::unavailable, actions);
        return;
    }
    state::claim& added = table.claims[token];
    added.token = token;
    added.key = name;
    added.deadline = deadline;
    added.record = { .owner = table.settings.self,
        .run = table.settings.run,
        .nonce = table.random.next(),
        .fingerprint = fingerprint };
    table.byKey[std::move(name)] = token;
    table.advance(added, now, actions);
}

void claim_table::state::advance(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.retryAt = time_point::max();
    if (current.pendingCall != 0)
        return;
    if (current.recordUncertain) {
        restoreRecord(current, now, actions);
        return;
    }
    switch (current.step) {
    case claim_step::awaitingLease:
        if (hasLease(now))
            createRecord(current, now, actions);
        else
            requestLease(now, actions);
        return;
    case claim_step::creating:
        createRecord(current, now, actions);
        return;
    case claim_step::writingOutcome:
        writeOutcome(current, now, actions);
        return;
    case claim_step::cleaningUp:
        readRecord(current, now, actions);
        return;
    case claim_step::executing:
        return;
    }
}

/// Claims of the same hour share one lease, because many leases would burden the store.
void claim_table::state::requestLease(time_point now, std::vector<claim_action>& actions)
{
    if (leaseCallPending)
        return;
    leaseCallPending = true;
    const auto period = std::chrono::duration_cast<std::chrono::seconds>(leasePeriod);
    sendCall(0, store_lease_grant { settings.retention + period }, now, actions);
}

void claim_table::state::createRecord(claim& current, time_point now, std::vector<claim_action>& actions)
{
    if (current.step == claim_step::awaitingLease)
        current.lease = lease;
    current.step = claim_step::creating;
    sendRecord(current, now, actions);
}

/// Writes the record of a claim if its key has none.
void claim_table::state::sendRecord(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.lastCreateSent = now;
    store_txn txn;
    txn.compares.push_back({ .key = current.key, .modRevision = 0 });
    txn.writes.emplace_back(store_put { .key = current.key, .value = encode(current.record), .lease = current.lease });
    current.pendingCall = sendCall(current.token, std::move(txn), now, actions);
}

/// The store was restored from a copy: no lease is known in it, and records may be missing or have other revisions.
void claim_table::state::startAgain(time_point now)
{
    pendingCalls.clear();
    leaseCallPending = false;
    lease = 0;
    for (auto& [token, each] : claims) {
        each.pendingCall = 0;
        each.retryAt = now;
        if (each.step == claim_step::creating) {
            each.step = claim_step::awaitingLease;
            each.createUncertain = true;
        } else if (each.step == claim_step::writingOutcome && each.eraseRecord)
            each.step = claim_step::cleaningUp;
        else if (each.step == claim_step::executing || each.step == claim_step::writingOutcome)
            each.recordUncertain = true;
    }
}

/// Writes a record again that the copy may lack, so that a repeated request is not executed beside this one.
void claim_table::state::restoreRecord(claim& current, time_point now, std::vector<claim_action>& actions)
{
    if (!hasLease(now)) {
        requestLease(now, actions);
        return;
    }
    current.lease = lease;
    sendRecord(current, now, actions);
}

void claim_table::state::onRestoreReply(
    claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    const auto* txn = reply ? std::get_if<store_txn_reply>(&*reply) : nullptr;
    if (txn == nullptr || (!txn->succeeded && txn->current.empty())) {
        if (!reply && reply.error().kind == error_kind::notFound)
            lease = 0;
        current.retryAt = now + retryDelay;
        return;
    }
    current.recordUncertain = false;
    if (txn->succeeded) {
        current.revision = txn->head;
    } else {
        const store_entry& entry = txn->current.front();
        const result<claim_record> record = parseClaimRecord(entry.value);
        // A claim that another node made meanwhile stays; the outcome of this one is then not written.
        const bool own = record && record->nonce == current.record.nonce;
        current.revision = own ? entry.modRevision : noRevision;
        current.lease = entry.lease;
    }
    advance(current, now, actions);
}

void claim_table::state::readRecord(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.pendingCall = sendCall(current.token, store_get { .key = current.key }, now, actions);
}

void claim_table::state::writeOutcome(claim& current, time_point now, std::vector<claim_action>& actions)
{
    store_txn txn;
    txn.compares.push_back({ .key = current.key, .modRevision = current.revision });
    if (current.eraseRecord)
        txn.writes.emplace_back(store_erase { .key = current.key });
    else
        txn.writes.emplace_back(
            store_put { .key = current.key, .value = encode(current.record), .lease = current.lease });
    current.pendingCall = sendCall(current.token, std::move(txn), now, actions);
}

void claim_table::state::startWritingOutcome(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.step = claim_step::writingOutcome;
    current.deadline = now + maxRetryTime;
    pendingResponseBytes += current.bytes();
    advance(current, now, actions);
}

void claim_table::complete(
    std::uint64_t token, stored_response response, time_point now, std::vector<claim_action>& actions)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.step != claim_step::executing)
        return;
    const std::size_t size = response.body ? response.body->size() : 0;
    if (size > maxStoredBodyBytes || m_state->pendingResponseBytes + size > maxPendingResponseBytes) {
        response.body = nullptr;
        response.bodyOmitted = true;
    }
    found->second.record.response = std::move(response);
    found->second.record.phase = claim_phase::completed;
    m_state->startWritingOutcome(found->second, now, actions);
}

void claim_table::release(std::uint64_t token, time_point now, std::vector<claim_action>& actions)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.step != claim_step::executing)
        return;
    found->second.eraseRecord = true;
    m_state->startWritingOutcome(found->second, now, actions);
}

void claim_table::abandon(std::uint64_t token, time_point now)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.step != claim_step::executing)
        return;
    // The next tick writes the record, so that a repeated request at any node learns that the claim is abandoned.
    found->second.record.phase = claim_phase::abandoned;
    found->second.step = claim_step::writingOutcome;
    found->second.deadline = now + maxRetryTime;
    found->second.retryAt = now;
}

void claim_table::setLiveOwners(std::span<const claim_owner> owners)
{
    m_state->owners.clear();
    for (const claim_owner& owner : owners)
        m_state->owners[owner.node] = std::max(m_state->owners[owner.node], owner.run);
}

/// Whether no node will write the outcome of this record any more.
bool claim_table::state::isOrphaned(const claim_record& record) const
{
    // A record of this node without an active claim: it is of an earlier incarnation, or writing its outcome failed.
    if (record.owner == settings.self)
        return true;
    const auto found = owners.find(record.owner);
    return found != owners.end() && found->second > record.run;
}

void claim_table::state::onCreated(
    claim& current, store_revision revision, time_point now, std::vector<claim_action>& actions)
{
    current.createUncertain = false;
    current.revision = revision;
    if (now >= current.deadline) {
        resolve(current.token, claim_outcome::unavailable, actions);
        current.eraseRecord = true;
        startWritingOutcome(current, now, actions);
        return;
    }
    current.step = claim_step::executing;
    actions.emplace_back(claim_result { .token = current.token, .outcome = claim_outcome::execute });
}

/// Handles a create that found another claim on the key.
void claim_table::state::onKeyTaken(claim& current, const store_entry& entry, std::vector<claim_action>& actions)
{
    const std::uint64_t token = current.token;
    const digest fingerprint = current.record.fingerprint;
    eraseClaim(token);
    const result<claim_record> record = parseClaimRecord(entry.value);
    if (!record) {
        resolve(token, claim_outcome::abandoned, actions);
    } else if (record->fingerprint != fingerprint) {
        resolve(token, claim_outcome::mismatch, actions);
    } else if (record->phase == claim_phase::completed) {
        actions.emplace_back(
            claim_result { .token = token, .outcome = claim_outcome::completed, .response = record->response });
    } else {
        const bool abandoned = record->phase == claim_phase::abandoned || isOrphaned(*record);
        resolve(token, abandoned ? claim_outcome::abandoned : claim_outcome::inProgress, actions);
    }
}

void claim_table::state::onCreateReply(
    claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    if (!reply) {
        const error_kind kind = reply.error().kind;
        if (kind == error_kind::notFound && !current.createUncertain) {
            // The lease expired early, for example because the clock of the store jumped.
            lease = 0;
            current.step = claim_step::awaitingLease;
            advance(current, now, actions);
        } else if (kind == error_kind::unavailable && !current.createUncertain) {
            const std::uint64_t token = current.token;
            eraseClaim(token);
            resolve(token, claim_outcome::unavailable, actions);
        } else {
            // The same create is sent again: it succeeds, or it fails on a record whose nonce identifies the writer.
            current.createUncertain = true;
            current.retryAt = now + (retryDelay / 4);
        }
        return;
    }
    const auto* txn = std::get_if<store_txn_reply>(&*reply);
    if (txn != nullptr && txn->succeeded) {
        onCreated(current, txn->head, now, actions);
        return;
    }
    const auto entry = txn == nullptr || txn->current.empty() ? nullptr : &txn->current.front();
    if (entry == nullptr) {
        current.createUncertain = true;
        current.retryAt = now + (retryDelay / 4);
        return;
    }
    const result<claim_record> record = parseClaimRecord(entry->value);
    if (record && record->nonce == current.record.nonce)
        onCreated(current, entry->modRevision, now, actions);
    else
        onKeyTaken(current, *entry, actions);
}

void claim_table::state::onOutcomeReply(claim& current, const result<store_reply>& reply, time_point now)
{
    const auto* txn = reply ? std::get_if<store_txn_reply>(&*reply) : nullptr;
    // A failed compare means that this write was applied by an earlier try, or that the record has expired.
    if (txn != nullptr || now >= current.deadline)
        eraseClaim(current.token);
    else
        current.retryAt = now + retryDelay + duration(random.below(static_cast<std::uint64_t>(retryDelay.count())));
}

void claim_table::state::onReadReply(
    claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    const auto* found = reply ? std::get_if<store_get_reply>(&*reply) : nullptr;
    if (found != nullptr && !found->entries.empty()) {
        const result<claim_record> record = parseClaimRecord(found->entries.front().value);
        if (!record || record->nonce != current.record.nonce) {
            eraseClaim(current.token);
            return;
        }
        current.revision = found->entries.front().modRevision;
        current.eraseRecord = true;
        startWritingOutcome(current, now, actions);
        return;
    }
    // A create without a reply may still be applied for up to two store timeouts.
    const bool creationSettled = found != nullptr && now >= current.lastCreateSent + (2 * settings.storeTimeout);
    if (creationSettled || now >= current.deadline)
        eraseClaim(current.token);
    else
        current.retryAt = now + (4 * retryDelay);
}

void claim_table::state::onLeaseReply(
    const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    leaseCallPending = false;
    const auto* granted = reply ? std::get_if<store_lease_reply>(&*reply) : nullptr;
    if (granted != nullptr && granted->timeToLive.count() > 0) {
        lease = granted->lease;
        leaseReuseEnd = now + leasePeriod;
    }
    std::vector<std::uint64_t> waiting;
    for (const auto& [token, each] : claims) {
        if (each.step == claim_step::awaitingLease || each.recordUncertain)
            waiting.push_back(token);
    }
    for (const std::uint64_t token : waiting) {
        claim& current = claims.at(token);
        if (granted != nullptr && lease != 0) {
            advance(current, now, actions);
            continue;
        }
        if (current.recordUncertain) {
            current.retryAt = now + retryDelay;
            continue;
        }
        // These requests were not executed, so their claims are dropped safely. A record that was written before the
        // store was restored stays until its lease ends.
        eraseClaim(token);
        resolve(token, claim_outcome::unavailable, actions);
    }
}

void claim_table::state::onStoreReply(const store_result& result, time_point now, std::vector<claim_action>& actions)
{
    const auto pending = pendingCalls.find(result.token);
    if (pending == pendingCalls.end())
        return;
    const std::uint64_t token = pending->second.claim;
    pendingCalls.erase(pending);
    if (token == 0) {
        onLeaseReply(result.reply, now, actions);
        return;
    }
    const auto found = claims.find(token);
    if (found == claims.end())
        return;
    claim& current = found->second;
    current.pendingCall = 0;
    if (current.recordUncertain)
        onRestoreReply(current, result.reply, now, actions);
    else if (current.step == claim_step::creating)
        onCreateReply(current, result.reply, now, actions);
    else if (current.step == claim_step::writingOutcome)
        onOutcomeReply(current, result.reply, now);
    else if (current.step == claim_step::cleaningUp)
        onReadReply(current, result.reply, now, actions);
}

/// Refuses a request whose deadline has passed. It was not executed and will not be.
void claim_table::state::expireRequest(claim& current, time_point now, std::vector<claim_action>& actions)
{
    const std::uint64_t token = current.token;
    resolve(token, claim_outcome::unavailable, actions);
    if (current.step == claim_step::awaitingLease) {
        eraseClaim(token);
        return;
    }
    current.step = claim_step::cleaningUp;
    current.deadline = now + maxRetryTime;
    // The reply to a pending create is ignored; reading the key shows whether the create was applied.
    pendingCalls.erase(current.pendingCall);
    current.pendingCall = 0;
    current.retryAt = now + retryDelay;
}

void claim_table::storeResult(const store_result& result, time_point now, std::vector<claim_action>& actions)
{
    observeStoreEra(result.era, now, actions);
    m_state->onStoreReply(result, now, actions);
}

void claim_table::observeStoreEra(store_era era, time_point now, std::vector<claim_action>& actions)
{
    if (m_state->storeEra.observe(era) != era_change::risen)
        return;
    m_state->startAgain(now);
    tick(now, actions);
}

void claim_table::tick(time_point now, std::vector<claim_action>& actions)
{
    state& table = *m_state;
    while (
        !table.pendingCalls.empty() && table.pendingCalls.begin()->second.sent + table.settings.storeTimeout <= now) {
        const store_result timedOut { table.pendingCalls.begin()->first,
            fail(error_kind::unknownOutcome, "store call timed out") };
        table.onStoreReply(timedOut, now, actions);
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, each] : table.claims)
        due.push_back(token);
    for (const std::uint64_t token : due) {
        const auto found = table.claims.find(token);
        if (found == table.claims.end())
            continue;
        state::claim& current = found->second;
        const bool unresolved = current.step == claim_step::awaitingLease || current.step == claim_step::creating;
        if (unresolved && current.deadline <= now)
            table.expireRequest(current, now, actions);
        else if (current.retryAt <= now)
            table.advance(current, now, actions);
    }
}

time_point claim_table::nextTimer() const
{
    time_point next = time_point::max();
    for (const auto& [token, each] : m_state->claims) {
        next = std::min(next, each.retryAt);
        if (each.step == claim_step::awaitingLease || each.step == claim_step::creating)
            next = std::min(next, each.deadline);
    }
    if (!m_state->pendingCalls.empty())
        next = std::min(next, m_state->pendingCalls.begin()->second.sent + m_state->settings.storeTimeout);
    return next;
}

std::size_t claim_table::size() const { return m_state->claims.size(); }

} // namespace limpet
