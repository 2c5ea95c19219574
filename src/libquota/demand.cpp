// Serves the requests of this node: spends tokens, queues requests that wait for one, and requests tokens upstream.

#include "state.h"

#include <algorithm>
#include <cmath>

namespace limpet {

namespace {

    // A round trip takes a few milliseconds within a region and 60 ms between regions.
    constexpr duration replyTimeout = std::chrono::milliseconds(100);
    constexpr duration lenderReplyTimeout = std::chrono::milliseconds(250);
    // Three round trips to another region.
    constexpr duration lenderPrefetchHorizon = std::chrono::milliseconds(180);
    // If there are several lending regions: another one may have tokens when the first has none.
    constexpr duration lenderMaxWait = std::chrono::milliseconds(150);
    constexpr duration suspicionTime = std::chrono::seconds(1);
    constexpr duration minRequestInterval = std::chrono::milliseconds(2);
    // Longest effect of one denial, as tokens may become available before its retryAfter.
    constexpr duration maxBlockTime = std::chrono::milliseconds(200);
    constexpr double smallBurst = 8; // see reportDelay
    // Fractions of desiredTokens up to which a team requests more: in a frame of its own, and in one of another team.
    constexpr double prefetchThreshold = 0.25;
    constexpr double piggybackThreshold = 0.75;
    constexpr unsigned maxRequestedTokens = 60000;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }
    duration fromSeconds(double value) { return duration(static_cast<duration::rep>(value * 1e6)); }

} // namespace

unsigned team_state::heldTokens(time_point now) const
{
    unsigned sum = 0;
    for (const auto& [request, batch] : batches)
        sum += batch.expiry > now ? batch.free() : 0;
    return sum;
}

unsigned team_state::urgentTokens() const
{
    auto sum = static_cast<unsigned>(waiters.size());
    for (const queued_token_request& queued : queue)
        sum += queued.request.urgentTokens;
    return sum;
}

time_point team_state::lastDeadline() const
{
    time_point last;
    for (const waiting_request& waiting : waiters)
        last = std::max(last, waiting.deadline);
    for (const queued_token_request& queued : queue)
        last = std::max(last, queued.deadline);
    return last;
}

/// Time for which a node holds tokens in advance. Unused tokens on one node reduce the burst left for others, so it is
/// a fraction of the time in which the bucket refills.
duration quota::state::prefetchHorizon(const team_state& team) const
{
    const duration maxHorizon = settings.grantLifetime / 2;
    if (team.rule.ratePerSecond <= 0)
        return maxHorizon;
    const double horizon = std::min(60.0, team.rule.burst / (5 * team.rule.ratePerSecond));
    return std::clamp<duration>(fromSeconds(horizon), std::chrono::milliseconds(20), maxHorizon);
}

/// Longest time for which spent tokens may stay unreported. They count as outstanding until they are reported, which
/// reduces the usable rate of a team with a small burst.
duration quota::state::reportDelay(const team_state& team) const
{
    const bool small = team.rule.burst < smallBurst;
    if (!team.scarce && !small)
        return settings.grantLifetime / 2;
    return std::clamp<duration>(
        prefetchHorizon(team) / (small ? 16 : 4), std::chrono::milliseconds(1), settings.grantLifetime / 4);
}

double quota::state::demandPerSecond(const team_state& team, time_point now) const
{
    const double passed = seconds(now - roundStart);
    return std::max(team.demandRate, passed > 0.1 ? team.demand / passed : 0);
}

/// Number of tokens to hold in advance. A holder borrows only for the demand in excess of its own rate.
double quota::state::desiredTokens(team_state& team, time_point now)
{
    if (grant_bucket* bucket = bucketOf(team, now); bucket != nullptr)
        return std::max(0.0, demandPerSecond(team, now) - bucket->share().rate) * seconds(lenderPrefetchHorizon);
    const double expected = demandPerSecond(team, now) * seconds(prefetchHorizon(team));
    // Teams with little demand request tokens only when they need one. Otherwise 1.5 standard deviations of Poisson
    // arrivals are added.
    return expected < 0.25 ? 0 : expected + (1.5 * std::sqrt(expected));
}

/// Time after which unspent tokens are returned. It exceeds the prefetch horizon by far, so the demand has probably
/// moved to other nodes.
duration quota::state::maxIdleTime(const team_state& team) const
{
    return std::max<duration>(prefetchHorizon(team) * 3, std::chrono::milliseconds(150));
}

/// Time before the expiry of a batch at which unspent tokens are returned. It is longer at each lower level, so that
/// tokens can be passed up from level to level before they expire.
duration quota::state::returnMargin(team_state& team, time_point now)
{
    duration margin = std::chrono::milliseconds(280);
    if (bucketOf(team, now) != nullptr)
        margin = std::chrono::milliseconds(100);
    else if (aggregators[team.shard].empty())
        margin = std::chrono::milliseconds(180);
    return std::min(margin, settings.grantLifetime / 3);
}

duration quota::state::retryAfter(team_state& team, time_point now)
{
    duration wait = std::max(duration::zero(), team.blockedUntil - now);
    if (grant_bucket* bucket = bucketOf(team, now); bucket != nullptr && bucket->share().rate > 0)
        wait = std::max(wait, bucket->timeUntil(1.0 + team.urgentTokens(), now));
    return wait;
}

/// Spends one token, from the batch that expires first or else from the bucket. Returns false if there is none.
bool quota::state::spendToken(team_state& team, time_point now)
{
    auto best = team.batches.end();
    for (auto batch = team.batches.begin(); batch != team.batches.end(); ++batch) {
        if (batch->second.free() == 0 || batch->second.expiry <= now)
            continue;
        if (best == team.batches.end() || batch->second.expiry < best->second.expiry)
            best = batch;
    }
    if (best != team.batches.end()) {
        ++best->second.spent;
        best->second.dirty = true;
        if (!team.reportAt)
            team.reportAt = now + reportDelay(team);
    } else {
        grant_bucket* bucket = bucketOf(team, now);
        if (bucket == nullptr || bucket->available(now) < 1)
            return false;
        bucket->spend(1, now);
    }
    ++team.spent;
    ++stats.granted;
    return true;
}

void quota::state::serveWaiters(team_state& team, time_point now, std::vector<quota_action>& actions)
{
    while (!team.waiters.empty()) {
        const waiting_request first = team.waiters.front();
        if (!waitingHandles.contains(first.handle)) {
            team.waiters.pop_front();
            continue;
        }
        const bool granted = now < first.deadline && spendToken(team, now);
        if (!granted && now < first.deadline)
            break;
        if (!granted)
            ++stats.refused;
        ++stats.waited;
        waitingHandles.erase(first.handle);
        team.waiters.pop_front();
        actions.emplace_back(quota_completion { .handle = first.handle,
            .granted = granted,
            .retryAfter = granted ? duration::zero() : retryAfter(team, now) });
    }
    // The deadlines differ, so any waiting request may time out before the first one.
    std::erase_if(team.waiters, [&](const waiting_request& waiting) {
        if (waiting.deadline > now)
            return false;
        if (waitingHandles.erase(waiting.handle) > 0) {
            ++stats.refused;
            ++stats.waited;
            actions.emplace_back(
                quota_completion { .handle = waiting.handle, .granted = false, .retryAfter = retryAfter(team, now) });
        }
        return true;
    });
}

void quota::state::serve(team_state& team, time_point now, std::vector<quota_action>& actions)
{
    timeOutRequests(team, now);
    returnUnused(team, now, now);
    serveWaiters(team, now, actions);
    serveQueue(team, now);
    requestUpstream(team, now);
    if (team.reportAt && *team.reportAt <= now) {
        reportBatches(team, now);
        piggybackShard(team, now);
    }
    schedule(team, now);
}

void quota::state::requestUpstream(team_state& team, time_point now)
{
    const unsigned needed = team.urgentTokens();
    unsigned pendingUrgent = 0;
    for (const auto& [id, request] : team.pendingRequests)
        pendingUrgent += request.urgentTokens;
    if (needed <= pendingUrgent || now < team.nextRequestAt || now < team.blockedUntil)
        return;
    const double missing = desiredTokens(team, now) - team.heldTokens(now);
    const unsigned urgentTokens = std::min(needed - pendingUrgent, maxRequestedTokens);
    const auto extra = static_cast<unsigned>(std::clamp(missing, 0.0, double(maxRequestedTokens)));
    requestFromEach(
        team, upstreamTargets(team, now), std::min(urgentTokens + extra, maxRequestedTokens), urgentTokens, now);
    if (bucketOf(team, now) == nullptr)
        piggybackShard(team, now);
}

/// Divides the requested tokens among the targets and sends each a request.
void quota::state::requestFromEach(
    team_state& team, std::vector<target> targets, unsigned tokens, unsigned urgentTokens, time_point now)
{
    if (targets.size() > tokens)
        targets.resize(tokens);
    for (std::size_t left = targets.size(); left > 0; --left) {
        const auto parts = static_cast<unsigned>(left);
        const unsigned urgentPart = (urgentTokens + parts - 1) / parts;
        const unsigned tokensPart = std::max(urgentPart, (tokens + parts - 1) / parts);
        sendRequest(team, targets[targets.size() - left], tokensPart, urgentPart, now);
        urgentTokens -= urgentPart;
        tokens -= std::min(tokens, tokensPart);
    }
}

void quota::state::sendRequest(
    team_state& team, const target& to, unsigned tokens, unsigned urgentTokens, time_point now)
{
    const bool lender = to.level == quota_level::toOtherRegion;
    duration maxWait
        = urgentTokens > 0 ? std::clamp(team.lastDeadline() - now, duration::zero(), maxRequestWait) : duration::zero();
    if (lender && lenderCount(team) > 1)
        maxWait = std::min(maxWait, lenderMaxWait);
    const std::uint32_t id = nextRequestId++;
    team.pendingRequests[id] = { .to = to.node,
        .timeout = now + (lender ? lenderReplyTimeout : replyTimeout),
        .maxWait = maxWait,
        .tokens = tokens,
        .urgentTokens = urgentTokens,
        .lender = to.lender };
    team.nextRequestAt = now + std::max(minRequestInterval, prefetchHorizon(team) / 32);
    team.nextPrefetch = now + (prefetchHorizon(team) / 4);
    sentRequests.emplace(id, std::pair { &team, now });
    outboxOf(to.node).requests.push_back({ .id = id,
        .ruleHash = team.hash,
        .tokens = static_cast<std::uint16_t>(tokens),
        .urgentTokens = static_cast<std::uint16_t>(urgentTokens),
        .maxWait = maxWait,
        .level = to.level });
    reportBatches(team, now);
}

/// Requests tokens in advance, unless a recent denial has shown that the issuer has few.
void quota::state::prefetch(team_state& team, time_point now)
{
    if (settings.policy == quota_policy::staticShares || now < team.nextPrefetch || now < team.blockedUntil)
        return;
    if (replenish(team, prefetchThreshold, now))
        piggybackShard(team, now);
}

/// Requests the missing tokens if those held or requested in advance are at most the given fraction of desiredTokens.
bool quota::state::replenish(team_state& team, double threshold, time_point now)
{
    const double wanted = desiredTokens(team, now);
    double heldTokens = team.heldTokens(now);
    for (const auto& [id, request] : team.pendingRequests)
        heldTokens += request.tokens - request.urgentTokens;
    if (wanted < 1 || heldTokens > wanted * threshold)
        return false;
    requestFromEach(team, upstreamTargets(team, now),
        static_cast<unsigned>(std::min(std::ceil(wanted - heldTokens), double(maxRequestedTokens))), 0, now);
    return true;
}

/// Adds to a frame that is sent for one team what the other teams of the shard would soon request, report and return,
/// because most of the cost of a frame does not depend on its size.
void quota::state::piggybackShard(const team_state& first, time_point now)
{
    for (auto& [name, team] : teams) {
        if (team.get() == &first || team->shard != first.shard || team->removedAt)
            continue;
        returnUnused(*team, now + prefetchHorizon(*team), now);
        if (now >= team->blockedUntil)
            replenish(*team, piggybackThreshold, now);
        reportBatches(*team, now);
        schedule(*team, now);
    }
}

void quota::state::receiveGrant(node_id from, const quota_grant& grant, time_point now)
{
    const auto sent = sentRequests.find(grant.requestId);
    if (sent == sentRequests.end()) {
        ++stats.ignored;
        return;
    }
    const auto [team, sentAt] = sent->second;
    const auto found = team->pendingRequests.find(grant.requestId);
    if (found == team->pendingRequests.end() || found->second.to != from) {
        ++stats.ignored;
        return;
    }
    if (grant.tokens == 0 && grant.lifetime > duration::zero()) {
        pending_token_request& pending = found->second;
        pending.timeout = now + std::min(grant.lifetime, pending.maxWait) + replyTimeout;
        return;
    }
    const pending_token_request request = found->second;
    team->pendingRequests.erase(found);
    sentRequests.erase(sent);
    suspectedUntil.erase(from);
    team->scarce = grant.scarce || grant.tokens == 0;
    if (grant.tokens == 0) {
        onDenied(*team, request, grant.retryAfter, now);
        return;
    }
    if (!request.lender.empty())
        team->lender = request.lender;
    token_batch& batch = team->batches[grant.requestId];
    batch.issuer = from;
    batch.expiry = sentAt + std::min(grant.lifetime, settings.grantLifetime + request.maxWait);
    batch.returnAt = std::min(batch.expiry - returnMargin(*team, now), now + maxIdleTime(*team));
    batch.count = std::min<unsigned>(grant.tokens, request.tokens);
}

void quota::state::onDenied(team_state& team, const pending_token_request& request, duration retryDelay, time_point now)
{
    if (retryDelay == duration::zero()) {
        notHolderUntil[{ request.to, team.shard }] = now + std::chrono::milliseconds(300);
        return;
    }
    const time_point until = now + std::min(retryDelay, maxBlockTime);
    if (!request.lender.empty()) {
        team.deniedUntil[request.lender] = until;
        if (team.lender == request.lender)
            team.lender.clear();
        return;
    }
    // The denial of a request in advance does not mean that urgent requests would be denied.
    if (request.urgentTokens == 0) {
        team.nextPrefetch = std::max(team.nextPrefetch, until);
        return;
    }
    team.blockedUntil = until;
    team.lastDenied = now;
}

void quota::state::timeOutRequests(team_state& team, time_point now)
{
    std::erase_if(team.pendingRequests, [&](const auto& item) {
        const auto& [id, request] = item;
        if (request.timeout > now)
            return false;
        suspectedUntil[request.to] = now + suspicionTime;
        // A late grant will be ignored, so the issuer may reclaim its tokens.
        outboxOf(request.to).reports.push_back({ .requestId = id, .closed = true });
        sentRequests.erase(id);
        return true;
    });
}

/// Returns free tokens of batches whose returnAt is at most returnUntil, and removes expired batches.
void quota::state::returnUnused(team_state& team, time_point returnUntil, time_point now)
{
    bool returned = false;
    for (auto item = team.batches.begin(); item != team.batches.end();) {
        const auto current = item++;
        token_batch& batch = current->second;
        if (batch.expiry > now) {
            returned |= !batch.returning && batch.returnFree(returnUntil);
            continue;
        }
        stats.expired += batch.free();
        team.batches.erase(current);
    }
    if (!returned || returnUntil > now)
        return;
    reportBatches(team, now);
    replenish(team, prefetchThreshold, now);
    piggybackShard(team, now);
}

void quota::state::reportBatches(team_state& team, time_point now)
{
    team.reportAt.reset();
    for (auto item = team.batches.begin(); item != team.batches.end();) {
        const auto current = item++;
        token_batch& batch = current->second;
        batch.returnFree(now);
        if (!batch.dirty)
            continue;
        batch.dirty = false;
        const bool done = batch.spent + batch.returned == batch.count;
        outboxOf(batch.issuer)
            .reports.push_back({ .requestId = current->first,
                .spent = static_cast<std::uint16_t>(batch.spent),
                .returned = static_cast<std::uint16_t>(batch.returned),
                .closed = done });
        if (done)
            team.batches.erase(current);
    }
}

/// Updates the measured rates and starts the next round, in which demand is counted again.
void quota::state::startRound(time_point now)
{
    const double passed = std::max(0.001, seconds(now - roundStart));
    for (auto& [name, team] : teams) {
        team->demandRate = (0.4 * team->demandRate) + (0.6 * team->demand / passed);
        team->spendRate = (0.4 * team->spendRate) + (0.6 * team->spent / passed);
        team->demand = team->spent = 0;
    }
    roundStart = now;
    for (auto& [name, team] : teams) {
        team->nextPrefetch = std::min(team->nextPrefetch, now);
        prefetch(*team, now);
        reportBatches(*team, now);
        schedule(*team, now);
    }
    const duration period = settings.grantLifetime / 2;
    nextRound = now + period - (period / 8) + duration(random.below(static_cast<std::uint64_t>(period.count() / 4)));
    std::erase_if(suspectedUntil, [&](const auto& item) { return item.second <= now; });
    std::erase_if(notHolderUntil, [&](const auto& item) { return item.second <= now; });
}

/// Sets the time at which the team is served next.
void quota::state::schedule(team_state& team, time_point now)
{
    time_point at = time_point::max();
    for (const waiting_request& waiting : team.waiters)
        at = std::min(at, waiting.deadline);
    for (const queued_token_request& queued : team.queue)
        at = std::min(at, queued.deadline);
    for (const auto& [id, request] : team.pendingRequests)
        at = std::min(at, request.timeout);
    for (const auto& [id, batch] : team.batches)
        at = std::min(at, batch.returning ? batch.expiry : batch.returnAt);
    at = std::min(at, team.reportAt.value_or(time_point::max()));
    if (team.urgentTokens() > 0) {
        const time_point requestAt = std::max(team.nextRequestAt, team.blockedUntil);
        // If requests could have been sent already, they are pending or no target is known: checks again shortly.
        at = std::min(at, requestAt > now ? requestAt : now + std::chrono::milliseconds(20));
        if (grant_bucket* bucket = bucketOf(team, now); bucket != nullptr)
            at = std::min(at, now + std::max<duration>(bucket->timeUntil(1, now), std::chrono::milliseconds(1)));
    }
    // A time that is not after now would make the loop in runDueWork serve the team again and again.
    if (at != time_point::max())
        at = std::max(at, now + std::chrono::milliseconds(1));
    if (at == team.dueAt)
        return;
    dueTeams.erase({ team.dueAt, team.id });
    team.dueAt = at;
    if (at != time_point::max())
        dueTeams.emplace(at, team.id);
}

} // namespace limpet
