// Attempts of client requests: their outcomes, and retries at other backend servers.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Number of nodes that may refuse a request before the client is told to retry later.
    constexpr unsigned maxNodeRefusals = 3;
    // Number of times that one request is sent. Each resend after a rejection is also taken from the retry budget.
    constexpr unsigned maxSends = 10;
    // A node whose link broke gets no new calls for this long.
    constexpr duration avoidAfterDisconnect = std::chrono::milliseconds(700);
    // A node that does not respond over its link gets no new calls for this long, unless it responds earlier.
    constexpr duration avoidSuspected = std::chrono::seconds(3);
    // A retry after a failed response needs at least this fraction of the request's time to be useful.
    constexpr double minRetryTimeFraction = 0.3;
    // Each lower rank of the root request and of its route halves the value of a retry, down to this rank.
    constexpr unsigned leastValuableRank = 2;
    // A retry because of silence may be needless, which makes it less valuable than one after a certain failure.
    constexpr double silentRetryValue = 0.5;
    // An attempt counts as silent after this multiple of the usual latency of its route, and time for this multiple is
    // left for the retry.
    constexpr int silentLatencies = 3;
    constexpr int reservedLatencies = 2;
    // Weight of one response in the mean latency of a route.
    constexpr double routeLatencyWeight = 0.1;

} // namespace

/// Whether the route allows the call to reach a backend server that it has not reached yet. Those that its attempts in
/// flight are about to reach count as well.
bool node::state::mayReachAnother(const ingress_call& call) const
{
    const auto pending = std::count_if(call.attempts.begin(), call.attempts.end(),
        [&](const attempt_in_flight& each) { return !call.reached.contains(each.node); });
    return call.reached.size() + static_cast<std::size_t>(pending) < call.matchedRoute->maxAttempts;
}

/// Whether the call may be sent once more to a backend server that rejected it. The route limits the number of backend
/// servers, not of sends, and a rejection may concern only part of the requests.
bool node::state::mayResend(const ingress_call& call) const
{
    return options.treeAware && !call.rejectedBy.empty() && call.sends < maxSends;
}

/// Whether somebody waits for the call: the execution that makes it has not been cancelled meanwhile.
bool node::state::isWaitedFor(const ingress_call& call) const
{
    return !call.parent || !tree.isAbandoned(call.request.requestId);
}

/// Ends the attempt. Returns nothing if its request no longer waits for it.
std::optional<ended_attempt> node::state::endAttempt(std::uint64_t attempt)
{
    const auto found = callByAttempt.find(attempt);
    if (found == callByAttempt.end())
        return std::nullopt;
    auto& call = calls.at(found->second);
    callByAttempt.erase(found);
    const auto position = std::find_if(
        call.attempts.begin(), call.attempts.end(), [&](const attempt_in_flight& each) { return each.id == attempt; });
    ended_attempt ended { call, std::move(*position) };
    call.attempts.erase(position);
    if (call.attempts.empty())
        stopImpatience(call);
    return ended;
}

void node::state::stopImpatience(ingress_call& call)
{
    if (call.impatientAt != time_point::max())
        impatience.erase({ std::exchange(call.impatientAt, time_point::max()), call.request.call });
}

/// Returns the benefit of a retry relative to that of others: by the importance of the root request and by the number
/// of calls that its tree still needs after this one.
double node::state::retryValue(const ingress_call& call) const
{
    if (!options.treeAware)
        return 1;
    const auto doublings
        = [](std::uint8_t rank) { return leastValuableRank - std::min<unsigned>(rank, leastValuableRank); };
    const unsigned weight = 1U << (doublings(call.position.rootRank) + doublings(call.position.rootRouteRank));
    return weight / tree.remainingCalls(call.parent, call.matchedRoute->name);
}

/// Handles the response of a backend server. failedBelow: it failed because of a nested call, which was retried where
/// it failed; repeating the whole tree would cost more and rarely succeed.
void node::state::attemptAnswered(
    std::uint64_t attempt, http_answer answer, bool failedBelow, time_point now, actions& out)
{
    const auto ended = endAttempt(attempt);
    if (!ended)
        return;
    auto& call = ended->call;
    const auto elapsed = now - ended->attempt.sentAt;
    call.targetNode = ended->attempt.node;
    call.reached.insert(call.targetNode);
    const bool failed = answer.status >= firstServerError;
    if (!failed)
        recordRouteLatency(call.matchedRoute->name, elapsed);
    if (failed && !call.attempts.empty()) {
        log(out, "attempt_failed",
            { { "id", call.request.requestId }, { "at", call.targetNode }, { "status", std::to_string(answer.status) },
                { "in_flight", std::to_string(call.attempts.size()) } });
        call.fallback = std::move(answer);
        return;
    }
    const bool ownFailure = options.treeAware ? !failedBelow : call.importance != highestPriority;
    const auto left = call.queueUntil - now;
    const bool inTime
        = left.count() > minRetryTimeFraction * static_cast<double>((call.queueUntil - call.arrived).count());
    if (failed && ownFailure && call.matchedRoute->idempotent && mayReachAnother(call) && inTime && isWaitedFor(call)
        && retries.tryConsume(call.service, retryValue(call), now)) {
        log(out, "repeat",
            { { "id", call.request.requestId }, { "at", call.targetNode }, { "status", std::to_string(answer.status) },
                { "after_ms", milliseconds(elapsed) }, { "service", call.service } });
        ++counts.retries;
        call.fallback = std::move(answer);
        send(call, now, out);
        return;
    }
    deliver(call, std::move(answer), failed ? "backend-failure" : "answered", now, out);
}

void node::state::attemptFailed(
    std::uint64_t attempt, failure_kind kind, duration retryAfter, time_point now, actions& out)
{
    const auto ended = endAttempt(attempt);
    if (!ended)
        return;
    auto& call = ended->call;
    const auto& failedNode = ended->attempt.node;
    const bool arrived = kind != failure_kind::notExecuted;
    if (arrived)
        call.reached.insert(failedNode);
    else
        ++call.refusals;
    if (kind == failure_kind::rejected)
        call.rejectedBy.insert(failedNode);
    else if (arrived)
        call.rejectedBy.erase(failedNode);
    call.retryAfter = retryAfter;
    const bool certainlyNotExecuted = kind == failure_kind::notExecuted || kind == failure_kind::rejected;
    call.mayHaveRun = call.mayHaveRun || !certainlyNotExecuted;
    const bool mayRetry = certainlyNotExecuted || call.matchedRoute->idempotent;
    const bool waitedFor = isWaitedFor(call);
    bool allowed = now < call.deadline && mayRetry && waitedFor;
    const bool othersInFlight = !call.attempts.empty();
    if (arrived)
        allowed = allowed && !othersInFlight && (mayReachAnother(call) || mayResend(call))
            && retries.tryConsume(call.service, retryValue(call), now);
    else
        allowed = allowed && call.refusals < maxNodeRefusals && (!othersInFlight || mayReachAnother(call));
    log(out, allowed ? "repeat" : "attempt_failed",
        { { "id", call.request.requestId }, { "at", failedNode }, { "kind", std::to_string(static_cast<int>(kind)) },
            { "after_ms", milliseconds(now - ended->attempt.sentAt) },
            { "in_flight", std::to_string(call.attempts.size()) }, { "service", call.service },
            { "reached", std::to_string(call.reached.size()) }, { "refusals", std::to_string(call.refusals) },
            { "root_rank", std::to_string(call.position.rootRank) },
            { "root_route_rank", std::to_string(call.position.rootRouteRank) },
            { "finished", std::to_string(call.position.finishedCalls) },
            { "retry_value", std::to_string(retryValue(call)) } });
    if (allowed) {
        counts.retries += arrived ? 1 : 0;
        send(call, now, out);
        return;
    }
    // A backend server may be working on another attempt, whose answer is worth more than a refusal.
    if (othersInFlight)
        return;
    if (call.fallback) {
        deliver(call, std::move(*call.fallback), "backend-failure", now, out);
        return;
    }
    if (certainlyNotExecuted) {
        const auto reason = waitedFor ? refusal_reason::overloaded : refusal_reason::callerGone;
        answerWithRefusal(call, reason, std::max(retryAfter, defaultRetryAfter), now, out);
        return;
    }
    const bool timedOut = kind == failure_kind::timeout;
    answerWithRefusal(
        call, timedOut ? refusal_reason::deadlineExceeded : refusal_reason::connectionLost, duration(0), now, out);
}

/// Returns the attempts in flight at the node, in the order in which they were sent.
std::vector<std::uint64_t> node::state::attemptsAt(const std::string& nodeName) const
{
    std::vector<std::uint64_t> found;
    for (const auto& [id, call] : calls) {
        for (const auto& each : call.attempts) {
            if (each.node == nodeName)
                found.push_back(each.id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

/// Fails all attempts at a node whose link broke, or that restarted or was removed. kind is notExecuted if the link was
/// never established, since nothing was sent then.
void node::state::failAttemptsAt(const std::string& nodeName, failure_kind kind, time_point now, actions& out)
{
    const auto lostAttempts = attemptsAt(nodeName);
    const auto peer = peers.find(nodeName);
    if (peer != peers.end())
        peer->second.avoidUntil = now + avoidAfterDisconnect;
    for (const auto attempt : lostAttempts)
        attemptFailed(attempt, kind, duration(0), now, out);
}

/// Sends no new calls to the node and hedges its idempotent ones. The link stays open for now, since the node may just
/// be slow.
void node::state::suspectLink(const link_suspected& event, time_point now, actions& out)
{
    auto* peer = peerByAddress(event.peer);
    if (!peer)
        return;
    log(out, event.suspected ? "peer_suspected" : "peer_reacts",
        { { "peer", peer->node }, { "heard_ms", milliseconds(now - peer->lastSeen) } });
    peer->avoidUntil = event.suspected ? now + avoidSuspected : time_point {};
    if (!event.suspected)
        return;
    for (const auto attempt : attemptsAt(std::string(peer->node))) {
        const auto found = callByAttempt.find(attempt);
        if (found != callByAttempt.end())
            hedge(calls.at(found->second), 1, "suspected", now, out);
    }
}

/// Sends a call that waits for a response to another backend server as well. The first one to respond answers it; the
/// attempt that waits is not given up before, since the other node may refuse the call. value: of the retry, as a
/// factor.
void node::state::hedge(ingress_call& call, double value, std::string_view reason, time_point now, actions& out)
{
    const bool allowed = call.attempts.size() == 1 && call.matchedRoute->idempotent && mayReachAnother(call)
        && now < call.queueUntil && isWaitedFor(call);
    if (!allowed || !selectEndpoint(call, now) || !retries.tryConsume(call.service, value * retryValue(call), now))
        return;
    const auto& waiting = call.attempts.front();
    log(out, "repeat",
        { { "id", call.request.requestId }, { "at", waiting.node }, { "reason", std::string(reason) },
            { "after_ms", milliseconds(now - waiting.sentAt) }, { "service", call.service } });
    call.reached.insert(waiting.node);
    ++counts.retries;
    stopImpatience(call);
    send(call, now, out);
}

void node::state::recordRouteLatency(const std::string& route, duration elapsed)
{
    const auto sample = static_cast<double>(elapsed.count());
    auto& mean = routeLatency.try_emplace(route, sample).first->second;
    mean += routeLatencyWeight * (sample - mean);
}

/// Determines when the attempt that is being sent has waited so long that another backend server would probably answer
/// sooner, and still within the target latency. A full or failing backend server may never respond; a slow one reports
/// its latency.
void node::state::startImpatience(ingress_call& call, const endpoint& target)
{
    const auto known = routeLatency.find(call.matchedRoute->name);
    const bool mayRetry = options.treeAware && call.matchedRoute->idempotent && mayReachAnother(call);
    if (!mayRetry || known == routeLatency.end() || call.matchedRoute->targetLatency <= duration(0))
        return;
    const auto usual = duration(std::llround(known->second));
    const auto explained = silentLatencies * std::max(usual, target.load.latency);
    const auto wait = std::max(call.queueUntil - reservedLatencies * usual, call.attempts.back().sentAt + explained);
    stopImpatience(call);
    if (wait + usual > call.queueUntil)
        return;
    call.impatientAt = wait;
    impatience.emplace(wait, call.request.call);
}

void node::state::hedgeSilentAttempts(time_point now, actions& out)
{
    while (!impatience.empty() && impatience.begin()->first <= now) {
        auto& call = calls.at(impatience.begin()->second);
        impatience.erase(impatience.begin());
        call.impatientAt = time_point::max();
        // Without the silent attempts, the mean would only cover the fast ones while a service turns slow.
        recordRouteLatency(call.matchedRoute->name, now - call.attempts.back().sentAt);
        hedge(call, silentRetryValue, "silent", now, out);
    }
}

/// Cancels all attempts in flight at the nodes that have them, which may include this one.
void node::state::cancelAttempts(ingress_call& call, std::string_view reason, time_point now, actions& out)
{
    while (!call.attempts.empty()) {
        const auto attempt = endAttempt(call.attempts.back().id)->attempt;
        log(out, "attempt_cancelled",
            { { "id", call.request.requestId }, { "at", attempt.node }, { "reason", std::string(reason) },
                { "after_ms", milliseconds(now - attempt.sentAt) } });
        // The attempt has ended for this call, so that cancelling its execution does not affect the response.
        if (attempt.node == options.name)
            cancelServing({ localLink, attempt.id }, "caller", now, out);
        const auto peer = peers.find(attempt.node);
        if (peer == peers.end())
            continue;
        wire::frame_data frame;
        frame.cancel = std::make_unique<wire::call_cancel_data>();
        frame.cancel->id = attempt.id;
        sendFrame(peer->second.address, std::move(frame), -1, now, out);
    }
}

} // namespace limpet::mesh
