#include "claim_record.h"

#include <algorithm>

namespace limpet {

namespace {

    constexpr duration leasePeriod = std::chrono::hours(1);
    constexpr duration retryDelay = std::chrono::milliseconds(500);
    // After that the claim stays in flight in the store, which is safe: it never runs again.
    constexpr duration longestRetry = std::chrono::minutes(5);
    // Answers that wait for the store; a node may use 64 MB in all.
    constexpr std::size_t mostWaitingBytes = 8UL * 1024 * 1024;
    // A claim is created and later completed or released.
    constexpr double writesPerClaim = 2;
    constexpr duration shortestRetryAfter = std::chrono::milliseconds(100);

    enum class step : std::uint8_t {
        needsLease,
        creating,
        running, ///< the caller runs the request
        finishing, ///< the outcome is being written
        clearing, ///< the caller was refused while the creation was of unknown outcome; it must not stay in the store
    };

} // namespace

struct claim_table::state {
    struct claim {
        std::uint64_t token = 0;
        std::string key;
        claim_record record;
        step at = step::needsLease;
        time_point deadline; ///< of the answer to the caller, then of the retries
        time_point lastCreate;
        time_point retryAt = time_point::max();
        store_revision revision = 0;
        store_lease lease = 0;
        bool release = false;
        bool uncertain = false; ///< a copy of the present write is of unknown outcome
        std::uint64_t call = 0; ///< open store call; 0: none
        std::size_t bytes() const { return record.answer.body ? record.answer.body->size() : 0; }
    };
    struct open_call {
        std::uint64_t claim = 0; ///< 0: the lease
        time_point sent;
    };

    claim_settings settings;
    random_source random;
    std::map<std::uint64_t, claim> claims; ///< by token
    std::map<std::string, std::uint64_t, std::less<>> byKey;
    std::map<std::uint64_t, open_call> calls;
    std::map<node_id, incarnation> owners;
    std::uint64_t nextCall = 1;
    store_lease lease = 0;
    time_point leaseUntil;
    bool leaseCallOpen = false;
    double writes = 0;
    std::optional<time_point> writesAt;
    std::size_t waitingBytes = 0;

    state(claim_settings given, std::uint64_t seed)
        : settings(given)
        , random(seed)
        , writes(given.writeBurst)
    {
    }

    std::uint64_t call(
        std::uint64_t claim, store_operation operation, time_point now, std::vector<claim_action>& actions)
    {
        const std::uint64_t token = nextCall++;
        calls[token] = { claim, now };
        actions.emplace_back(store_call { .token = token, .operation = std::move(operation) });
        return token;
    }

    bool takeWrites(time_point now)
    {
        const double passed = std::chrono::duration<double>(now - writesAt.value_or(now)).count();
        writes = std::min(settings.writeBurst, writes + (passed * settings.writesPerSecond));
        writesAt = now;
        if (writes < writesPerClaim)
            return false;
        writes -= writesPerClaim;
        return true;
    }

    /// Answers a request that holds no claim.
    static void answer(std::uint64_t token, claim_outcome outcome, std::vector<claim_action>& actions)
    {
        const bool again = outcome == claim_outcome::unavailable || outcome == claim_outcome::inProgress;
        actions.emplace_back(claim_result {
            .token = token, .outcome = outcome, .retryAfter = again ? shortestRetryAfter * 10 : duration::zero() });
    }

    /// Answers a request whose key is in work at this node.
    static void answerRepeat(
        std::uint64_t token, const claim& other, const digest& fingerprint, std::vector<claim_action>& actions)
    {
        const bool leaving = other.at == step::clearing || other.release;
        if (other.record.fingerprint != fingerprint)
            answer(token, claim_outcome::mismatch, actions);
        else if (leaving)
            answer(token, claim_outcome::unavailable, actions);
        else if (other.record.phase == claim_phase::answered)
            actions.emplace_back(
                claim_result { .token = token, .outcome = claim_outcome::completed, .response = other.record.answer });
        else if (other.record.phase == claim_phase::unknown)
            answer(token, claim_outcome::abandoned, actions);
        else
            answer(token, claim_outcome::inProgress, actions);
    }

    void drop(std::uint64_t token)
    {
        const auto found = claims.find(token);
        if (found == claims.end())
            return;
        if (found->second.at == step::finishing)
            waitingBytes -= found->second.bytes();
        const auto key = byKey.find(found->second.key);
        if (key != byKey.end() && key->second == token)
            byKey.erase(key);
        claims.erase(found);
    }

    void advance(claim& current, time_point now, std::vector<claim_action>& actions);
    void requestLease(time_point now, std::vector<claim_action>& actions);
    void create(claim& current, time_point now, std::vector<claim_action>& actions);
    void read(claim& current, time_point now, std::vector<claim_action>& actions);
    void finish(claim& current, time_point now, std::vector<claim_action>& actions);
    void startFinish(claim& current, time_point now, std::vector<claim_action>& actions);
    void created(claim& current, store_revision revision, time_point now, std::vector<claim_action>& actions);
    void taken(claim& current, const store_entry& entry, std::vector<claim_action>& actions);
    void createReplied(
        claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void finishReplied(claim& current, const result<store_reply>& reply, time_point now);
    void clearReplied(
        claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void leaseReplied(const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions);
    void replied(const store_result& result, time_point now, std::vector<claim_action>& actions);
    void expire(claim& current, time_point now, std::vector<claim_action>& actions);
    bool ownerGone(const claim_record& record) const;
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
    state& own = *m_state;
    std::string name = claimKey(team, key);
    if (const auto found = own.byKey.find(name); found != own.byKey.end()) {
        state::answerRepeat(token, own.claims.at(found->second), fingerprint, actions);
        return;
    }
    if (own.claims.size() >= own.settings.capacity || deadline <= now || !own.takeWrites(now)) {
        state::answer(token, claim_outcome::unavailable, actions);
        return;
    }
    state::claim& added = own.claims[token];
    added.token = token;
    added.key = name;
    added.deadline = deadline;
    added.record = {
        .owner = own.settings.self, .run = own.settings.run, .mark = own.random.next(), .fingerprint = fingerprint
    };
    own.byKey[std::move(name)] = token;
    own.advance(added, now, actions);
}

void claim_table::state::advance(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.retryAt = time_point::max();
    if (current.call != 0)
        return;
    switch (current.at) {
    case step::needsLease:
        if (lease == 0 || now >= leaseUntil)
            requestLease(now, actions);
        else
            create(current, now, actions);
        return;
    case step::creating:
        create(current, now, actions);
        return;
    case step::finishing:
        finish(current, now, actions);
        return;
    case step::clearing:
        read(current, now, actions);
        return;
    case step::running:
        return;
    }
}

/// One lease serves all claims of an hour, because the store keeps few leases more easily than many.
void claim_table::state::requestLease(time_point now, std::vector<claim_action>& actions)
{
    if (leaseCallOpen)
        return;
    leaseCallOpen = true;
    const auto period = std::chrono::duration_cast<std::chrono::seconds>(leasePeriod);
    call(0, store_lease_grant { settings.retention + period }, now, actions);
}

void claim_table::state::create(claim& current, time_point now, std::vector<claim_action>& actions)
{
    if (current.at == step::needsLease)
        current.lease = lease;
    current.at = step::creating;
    current.lastCreate = now;
    store_txn txn;
    txn.compares.push_back({ .key = current.key, .modRevision = 0 });
    txn.writes.emplace_back(store_put { .key = current.key, .value = encode(current.record), .lease = current.lease });
    current.call = call(current.token, std::move(txn), now, actions);
}

void claim_table::state::read(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.call = call(current.token, store_get { .key = current.key }, now, actions);
}

void claim_table::state::finish(claim& current, time_point now, std::vector<claim_action>& actions)
{
    store_txn txn;
    txn.compares.push_back({ .key = current.key, .modRevision = current.revision });
    if (current.release)
        txn.writes.emplace_back(store_erase { .key = current.key });
    else
        txn.writes.emplace_back(
            store_put { .key = current.key, .value = encode(current.record), .lease = current.lease });
    current.call = call(current.token, std::move(txn), now, actions);
}

void claim_table::state::startFinish(claim& current, time_point now, std::vector<claim_action>& actions)
{
    current.at = step::finishing;
    current.deadline = now + longestRetry;
    waitingBytes += current.bytes();
    advance(current, now, actions);
}

void claim_table::complete(
    std::uint64_t token, stored_response answer, time_point now, std::vector<claim_action>& actions)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.at != step::running)
        return;
    const std::size_t size = answer.body ? answer.body->size() : 0;
    if (size > maxStoredBodyBytes || m_state->waitingBytes + size > mostWaitingBytes) {
        answer.body = nullptr;
        answer.bodyOmitted = true;
    }
    found->second.record.answer = std::move(answer);
    found->second.record.phase = claim_phase::answered;
    m_state->startFinish(found->second, now, actions);
}

void claim_table::release(std::uint64_t token, time_point now, std::vector<claim_action>& actions)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.at != step::running)
        return;
    found->second.release = true;
    m_state->startFinish(found->second, now, actions);
}

void claim_table::abandon(std::uint64_t token, time_point now)
{
    const auto found = m_state->claims.find(token);
    if (found == m_state->claims.end() || found->second.at != step::running)
        return;
    // The next tick writes it, so that a repeat at any node learns that nobody works on it.
    found->second.record.phase = claim_phase::unknown;
    found->second.at = step::finishing;
    found->second.deadline = now + longestRetry;
    found->second.retryAt = now;
}

void claim_table::setLiveOwners(std::span<const claim_owner> owners)
{
    m_state->owners.clear();
    for (const claim_owner& owner : owners)
        m_state->owners[owner.node] = std::max(m_state->owners[owner.node], owner.run);
}

bool claim_table::state::ownerGone(const claim_record& record) const
{
    // This run has no claim in work under the key, so it gave up on it.
    if (record.owner == settings.self)
        return true;
    const auto found = owners.find(record.owner);
    return found != owners.end() && found->second > record.run;
}

void claim_table::state::created(
    claim& current, store_revision revision, time_point now, std::vector<claim_action>& actions)
{
    current.uncertain = false;
    current.revision = revision;
    if (now >= current.deadline) {
        answer(current.token, claim_outcome::unavailable, actions);
        current.release = true;
        startFinish(current, now, actions);
        return;
    }
    current.at = step::running;
    actions.emplace_back(claim_result { .token = current.token, .outcome = claim_outcome::execute });
}

/// Another claim stands under the key.
void claim_table::state::taken(claim& current, const store_entry& entry, std::vector<claim_action>& actions)
{
    const std::uint64_t token = current.token;
    const digest fingerprint = current.record.fingerprint;
    drop(token);
    const result<claim_record> record = parseClaimRecord(entry.value);
    if (!record) {
        answer(token, claim_outcome::abandoned, actions);
    } else if (record->fingerprint != fingerprint) {
        answer(token, claim_outcome::mismatch, actions);
    } else if (record->phase == claim_phase::answered) {
        actions.emplace_back(
            claim_result { .token = token, .outcome = claim_outcome::completed, .response = record->answer });
    } else {
        const bool gone = record->phase == claim_phase::unknown || ownerGone(*record);
        answer(token, gone ? claim_outcome::abandoned : claim_outcome::inProgress, actions);
    }
}

void claim_table::state::createReplied(
    claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    if (!reply) {
        const error_kind kind = reply.error().kind;
        if (kind == error_kind::notFound && !current.uncertain) {
            // The lease is gone, such as after the store's clock jumped.
            lease = 0;
            current.at = step::needsLease;
            advance(current, now, actions);
        } else if (kind == error_kind::unavailable && !current.uncertain) {
            const std::uint64_t token = current.token;
            drop(token);
            answer(token, claim_outcome::unavailable, actions);
        } else {
            // Sent again unchanged: it succeeds, or it fails on a record whose mark tells whose it is.
            current.uncertain = true;
            current.retryAt = now + (retryDelay / 4);
        }
        return;
    }
    const auto* txn = std::get_if<store_txn_reply>(&*reply);
    if (txn != nullptr && txn->succeeded) {
        created(current, txn->head, now, actions);
        return;
    }
    const auto entry = txn == nullptr || txn->current.empty() ? nullptr : &txn->current.front();
    if (entry == nullptr) {
        current.uncertain = true;
        current.retryAt = now + (retryDelay / 4);
        return;
    }
    const result<claim_record> record = parseClaimRecord(entry->value);
    if (record && record->mark == current.record.mark)
        created(current, entry->modRevision, now, actions);
    else
        taken(current, *entry, actions);
}

void claim_table::state::finishReplied(claim& current, const result<store_reply>& reply, time_point now)
{
    const auto* txn = reply ? std::get_if<store_txn_reply>(&*reply) : nullptr;
    // A compare that fails means that an earlier copy took effect, or that the claim has expired.
    if (txn != nullptr || now >= current.deadline)
        drop(current.token);
    else
        current.retryAt = now + retryDelay + duration(random.below(static_cast<std::uint64_t>(retryDelay.count())));
}

void claim_table::state::clearReplied(
    claim& current, const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    const auto* found = reply ? std::get_if<store_get_reply>(&*reply) : nullptr;
    if (found != nullptr && !found->entries.empty()) {
        const result<claim_record> record = parseClaimRecord(found->entries.front().value);
        if (!record || record->mark != current.record.mark) {
            drop(current.token);
            return;
        }
        current.revision = found->entries.front().modRevision;
        current.release = true;
        startFinish(current, now, actions);
        return;
    }
    // A lost creation may still arrive for some time.
    const bool settled = found != nullptr && now >= current.lastCreate + (2 * settings.storeTimeout);
    if (settled || now >= current.deadline)
        drop(current.token);
    else
        current.retryAt = now + (4 * retryDelay);
}

void claim_table::state::leaseReplied(
    const result<store_reply>& reply, time_point now, std::vector<claim_action>& actions)
{
    leaseCallOpen = false;
    const auto* granted = reply ? std::get_if<store_lease_reply>(&*reply) : nullptr;
    if (granted != nullptr && granted->timeToLive.count() > 0) {
        lease = granted->lease;
        leaseUntil = now + leasePeriod;
    }
    std::vector<std::uint64_t> waiting;
    for (const auto& [token, each] : claims) {
        if (each.at == step::needsLease)
            waiting.push_back(token);
    }
    for (const std::uint64_t token : waiting) {
        if (granted != nullptr && lease != 0) {
            advance(claims.at(token), now, actions);
            continue;
        }
        // Nothing has been written for these claims.
        drop(token);
        answer(token, claim_outcome::unavailable, actions);
    }
}

void claim_table::state::replied(const store_result& result, time_point now, std::vector<claim_action>& actions)
{
    const auto open = calls.find(result.token);
    if (open == calls.end())
        return;
    const std::uint64_t token = open->second.claim;
    calls.erase(open);
    if (token == 0) {
        leaseReplied(result.reply, now, actions);
        return;
    }
    const auto found = claims.find(token);
    if (found == claims.end())
        return;
    claim& current = found->second;
    current.call = 0;
    if (current.at == step::creating)
        createReplied(current, result.reply, now, actions);
    else if (current.at == step::finishing)
        finishReplied(current, result.reply, now);
    else if (current.at == step::clearing)
        clearReplied(current, result.reply, now, actions);
}

/// Answers a request whose deadline has passed. It has not run and will not.
void claim_table::state::expire(claim& current, time_point now, std::vector<claim_action>& actions)
{
    const std::uint64_t token = current.token;
    answer(token, claim_outcome::unavailable, actions);
    if (current.at == step::needsLease) {
        drop(token);
        return;
    }
    current.at = step::clearing;
    current.deadline = now + longestRetry;
    // The reply of an open creation is not waited for; the reading finds what it did.
    calls.erase(current.call);
    current.call = 0;
    current.retryAt = now + retryDelay;
}

void claim_table::storeResult(const store_result& result, time_point now, std::vector<claim_action>& actions)
{
    m_state->replied(result, now, actions);
}

void claim_table::tick(time_point now, std::vector<claim_action>& actions)
{
    state& own = *m_state;
    while (!own.calls.empty() && own.calls.begin()->second.sent + own.settings.storeTimeout <= now) {
        const store_result silent { own.calls.begin()->first,
            fail(error_kind::unknownOutcome, "the store did not answer in time") };
        own.replied(silent, now, actions);
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, each] : own.claims)
        due.push_back(token);
    for (const std::uint64_t token : due) {
        const auto found = own.claims.find(token);
        if (found == own.claims.end())
            continue;
        state::claim& current = found->second;
        const bool unanswered = current.at == step::needsLease || current.at == step::creating;
        if (unanswered && current.deadline <= now)
            own.expire(current, now, actions);
        else if (current.retryAt <= now)
            own.advance(current, now, actions);
    }
}

time_point claim_table::nextTimer() const
{
    time_point next = time_point::max();
    for (const auto& [token, each] : m_state->claims) {
        next = std::min(next, each.retryAt);
        if (each.at == step::needsLease || each.at == step::creating)
            next = std::min(next, each.deadline);
    }
    if (!m_state->calls.empty())
        next = std::min(next, m_state->calls.begin()->second.sent + m_state->settings.storeTimeout);
    return next;
}

std::size_t claim_table::size() const { return m_state->claims.size(); }

} // namespace limpet
