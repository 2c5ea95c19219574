// Client requests: routing, API keys, rate limits, endpoint selection, retries and the final response.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Priority of requests without a team, such as the calls by backend servers. It is the highest, since refusing such
    // a call wastes the work already done for its parent request.
    constexpr priority nestedCallPriority = highestPriority;
    constexpr priority rankZeroPriority = highestPriority - 1;
    // Number of nodes that may refuse a request before the client is told to retry later.
    constexpr unsigned maxNodeRefusals = 3;
    // A node whose link broke gets no new calls for this long.
    constexpr duration avoidAfterDisconnect = std::chrono::milliseconds(700);
    // A node that does not respond over its link gets no new calls for this long, unless it responds earlier.
    constexpr duration avoidSuspected = std::chrono::seconds(3);
    // A retry after a failed response needs at least this fraction of the request's time to be useful.
    constexpr double minRetryTimeFraction = 0.3;
    constexpr duration defaultRetryAfter = std::chrono::milliseconds(300);
    constexpr int firstServerError = 500;

    priority priorityOf(const route& matchedRoute, const team* owner)
    {
        if (!owner)
            return nestedCallPriority;
        const unsigned rank = owner->rank.value_or(matchedRoute.rank);
        return static_cast<priority>(rankZeroPriority - std::min<unsigned>(rank, rankZeroPriority));
    }

    http_answer makeRefusal(refusal_reason reason, duration retryAfter)
    {
        http_answer answer;
        answer.status = httpStatus(reason);
        answer.headers.push_back({ "Content-Type", "application/json" });
        if (retryAfter > duration(0)) {
            std::string text = std::to_string(std::chrono::duration<double>(retryAfter).count());
            answer.headers.push_back({ "Retry-After", text.substr(0, text.find('.') + 4) });
        }
        std::string body = R"({"error":")";
        body += name(reason);
        body += R"(","remedy":")";
        body += remedy(reason);
        body += "\"}";
        answer.body = makeBytes(std::move(body));
        return answer;
    }

} // namespace

/// Distributes requests over the services of a route by weight (smooth weighted round robin).
const std::string& node::state::chooseService(const route& matchedRoute)
{
    if (matchedRoute.services.size() == 1)
        return matchedRoute.services.front().service;
    auto& credit = serviceCredit[matchedRoute.name];
    credit.resize(matchedRoute.services.size());
    double all = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < credit.size(); ++index) {
        credit[index] += matchedRoute.services[index].weight;
        all += matchedRoute.services[index].weight;
        if (credit[index] > credit[best])
            best = index;
    }
    credit[best] -= all;
    return matchedRoute.services[best].service;
}

/// Returns the latency assumed for an endpoint without measurements: the lowest of its service, at most the default, so
/// that a new endpoint gets calls.
duration node::state::expectedLatency(const std::string& service) const
{
    auto least = options.loadBalancing.defaultLatency;
    for (const auto& [name, peer] : peers) {
        if (peer.service == service && peer.load.latency > duration(0))
            least = std::min(least, peer.load.latency);
    }
    return least;
}

endpoint* node::state::selectEndpoint(const ingress_call& call, time_point now)
{
    self.load = ownLoad();
    self.sentSinceReport = 0;
    self.state = canServe(now) && !backend.draining ? endpoint_state::ready : endpoint_state::down;
    auto balancing = options.loadBalancing;
    balancing.defaultLatency = expectedLatency(call.service);
    std::vector<endpoint_candidate> candidates;
    const auto consider = [&](endpoint& candidate) {
        if (candidate.service != call.service || candidate.state != endpoint_state::ready)
            return;
        if (call.tried.contains(candidate.node) || candidate.avoidUntil > now)
            return;
        candidates.push_back(
            { &candidate, endpointCost(candidate, options.region, options.availabilityZone, balancing, now) });
    };
    if (!self.leaving)
        consider(self);
    for (auto& [name, peer] : peers) {
        if (!peer.leaving && isLive(peer, now))
            consider(peer);
    }
    // A node that is shutting down uses its own backend server only as a last resort.
    if (candidates.empty())
        consider(self);
    return chooseEndpoint(candidates, random.uniform());
}

void node::state::accept(client_request request, time_point now, actions& out)
{
    ingress_call call;
    const auto id = request.call;
    call.request = std::move(request);
    call.config = config;
    call.arrived = now;
    auto& kept = calls.emplace(id, std::move(call)).first->second;
    if (!config) {
        answerWithRefusal(kept, refusal_reason::notReady, defaultRetryAfter, now, out);
        return;
    }
    if (!acceptsRequests(now)) {
        answerWithRefusal(kept, refusal_reason::draining, defaultRetryAfter, now, out);
        return;
    }
    kept.matchedRoute = config->findRoute(kept.request.host, kept.request.content.path);
    if (!kept.matchedRoute) {
        answerWithRefusal(kept, refusal_reason::unknownRoute, duration(0), now, out);
        return;
    }
    const team* owner = nullptr;
    if (!kept.matchedRoute->isPublic && !config->content().teams.empty()) {
        owner = kept.request.key ? config->findTeam(*kept.request.key) : nullptr;
        if (!owner) {
            const auto reason = kept.request.key ? refusal_reason::keyInvalid : refusal_reason::keyMissing;
            answerWithRefusal(kept, reason, duration(0), now, out);
            return;
        }
        kept.team = owner->name;
    }
    kept.importance = priorityOf(*kept.matchedRoute, owner);
    auto timeout = kept.matchedRoute->timeout;
    if (kept.request.deadline && (timeout <= duration(0) || *kept.request.deadline < timeout))
        timeout = *kept.request.deadline;
    kept.deadline = now + timeout;
    kept.queueUntil = kept.deadline;
    if (kept.matchedRoute->targetLatency > duration(0))
        kept.queueUntil = std::min(kept.deadline, now + kept.matchedRoute->targetLatency);
    if (timeout <= duration(0)) {
        answerWithRefusal(kept, refusal_reason::deadlineTooShort, duration(0), now, out);
        return;
    }
    if (owner && !rates.admit(kept.team, now)) {
        auto fields = rates.decisionInputs(kept.team, now);
        fields.insert(fields.begin(), { { "id", kept.request.requestId }, { "team", kept.team } });
        log(out, "rate_exceeded", std::move(fields));
        answerWithRefusal(kept, refusal_reason::rateExceeded, rates.retryAfter(kept.team, now), now, out);
        return;
    }
    urgentStatusDue = urgentStatusDue || rates.reportDue();
    deadlines.emplace(kept.deadline, id);
    kept.service = chooseService(*kept.matchedRoute);
    retries.addRequest(kept.service);
    send(kept, now, out);
}

/// Sends the request to a backend server that has not been tried yet, or answers the client if there is none.
void node::state::send(ingress_call& call, time_point now, actions& out)
{
    auto* target = selectEndpoint(call, now);
    if (!target) {
        if (call.fallback) {
            deliver(call, std::move(*call.fallback), "backend-failure", now, out);
            return;
        }
        const bool retryable = call.matchedRoute->idempotent || call.reached == 0 || call.refusals > 0;
        if (!retryable) {
            answerWithRefusal(call, refusal_reason::connectionLost, duration(0), now, out);
            return;
        }
        const auto reason = call.refusals > 0 ? refusal_reason::overloaded : refusal_reason::noBackendServer;
        answerWithRefusal(call, reason, std::max(call.retryAfter, defaultRetryAfter), now, out);
        return;
    }
    call.attempt = nextAttempt++;
    call.targetNode = target->node;
    call.sentAt = now;
    call.tried.insert(target->node);
    callByAttempt[call.attempt] = call.request.call;
    wire::call_request_data message;
    message.id = call.attempt;
    message.service = call.service;
    message.request_id = call.request.requestId;
    message.method = call.request.content.method;
    message.path = call.request.content.path;
    message.host = call.request.host;
    message.headers = packHeaders(call.request.content.headers);
    if (call.request.content.body)
        message.body = *call.request.content.body;
    message.team = call.team;
    message.caller_service = options.service;
    message.importance = call.importance;
    message.idempotent = call.matchedRoute->idempotent;
    message.remaining_us = (call.deadline - now).count();
    message.queue_us = (call.queueUntil > now ? call.queueUntil - now : call.deadline - now).count();
    ++target->sentSinceReport;
    if (target == &self) {
        serve(localLink, std::move(message), now, out);
        return;
    }
    wire::frame_data frame;
    frame.call = std::make_unique<wire::call_request_data>(std::move(message));
    out.emplace_back(send_frame { target->address, encodeFrame(frame), 1 });
}

/// Ends the attempt and returns its call, or nullptr if the call no longer waits for it.
ingress_call* node::state::endAttempt(std::uint64_t attempt)
{
    const auto found = callByAttempt.find(attempt);
    if (found == callByAttempt.end())
        return nullptr;
    auto& call = calls.at(found->second);
    callByAttempt.erase(found);
    call.attempt = 0;
    return &call;
}

void node::state::attemptAnswered(std::uint64_t attempt, http_answer answer, time_point now, actions& out)
{
    auto* call = endAttempt(attempt);
    if (!call)
        return;
    ++call->reached;
    const bool failed = answer.status >= firstServerError;
    const auto left = call->queueUntil - now;
    const bool inTime
        = left.count() > minRetryTimeFraction * static_cast<double>((call->queueUntil - call->arrived).count());
    if (failed && call->matchedRoute->idempotent && call->reached < call->matchedRoute->maxAttempts && inTime
        && call->importance != nestedCallPriority && retries.tryConsume(call->service)) {
        log(out, "repeat",
            { { "id", call->request.requestId }, { "at", call->targetNode },
                { "status", std::to_string(answer.status) }, { "after_ms", milliseconds(now - call->sentAt) },
                { "service", call->service } });
        ++counts.retries;
        call->fallback = std::move(answer);
        send(*call, now, out);
        return;
    }
    deliver(*call, std::move(answer), failed ? "backend-failure" : "answered", now, out);
}

void node::state::attemptFailed(
    std::uint64_t attempt, failure_kind kind, duration retryAfter, time_point now, actions& out)
{
    auto* call = endAttempt(attempt);
    if (!call)
        return;
    const bool arrived = kind != failure_kind::notExecuted;
    if (arrived)
        ++call->reached;
    else
        ++call->refusals;
    call->retryAfter = retryAfter;
    const bool certainlyNotExecuted = kind == failure_kind::notExecuted || kind == failure_kind::rejected;
    const bool mayRetry = certainlyNotExecuted || call->matchedRoute->idempotent;
    bool allowed = now < call->deadline && mayRetry;
    if (arrived)
        allowed = allowed && call->reached < call->matchedRoute->maxAttempts && retries.tryConsume(call->service);
    else
        allowed = allowed && call->refusals < maxNodeRefusals;
    log(out, allowed ? "repeat" : "attempt_failed",
        { { "id", call->request.requestId }, { "at", call->targetNode },
            { "kind", std::to_string(static_cast<int>(kind)) }, { "after_ms", milliseconds(now - call->sentAt) },
            { "service", call->service }, { "reached", std::to_string(call->reached) },
            { "refusals", std::to_string(call->refusals) } });
    if (allowed) {
        counts.retries += arrived ? 1 : 0;
        send(*call, now, out);
        return;
    }
    if (call->fallback) {
        deliver(*call, std::move(*call->fallback), "backend-failure", now, out);
        return;
    }
    if (certainlyNotExecuted) {
        answerWithRefusal(*call, refusal_reason::overloaded, std::max(retryAfter, defaultRetryAfter), now, out);
        return;
    }
    const bool timedOut = kind == failure_kind::timeout;
    answerWithRefusal(
        *call, timedOut ? refusal_reason::deadlineExceeded : refusal_reason::connectionLost, duration(0), now, out);
}

/// Fails all attempts at a node whose link broke, or that restarted or was removed. kind is notExecuted if the link was
/// never established, since nothing was sent then.
void node::state::failAttemptsAt(const std::string& nodeName, failure_kind kind, time_point now, actions& out)
{
    std::vector<std::uint64_t> lostAttempts;
    for (const auto& [attempt, id] : callByAttempt) {
        if (calls.at(id).targetNode == nodeName)
            lostAttempts.push_back(attempt);
    }
    std::sort(lostAttempts.begin(), lostAttempts.end());
    const auto peer = peers.find(nodeName);
    if (peer != peers.end())
        peer->second.avoidUntil = now + avoidAfterDisconnect;
    for (const auto attempt : lostAttempts)
        attemptFailed(attempt, kind, duration(0), now, out);
}

/// Sends no new calls to the node and retries its idempotent ones elsewhere. The link stays open for now, since the
/// node may just be slow.
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
    std::vector<std::uint64_t> waiting;
    for (const auto& [attempt, id] : callByAttempt) {
        if (calls.at(id).targetNode == peer->node)
            waiting.push_back(id);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto id : waiting)
        retryElsewhere(calls.at(id), now, out);
}

void node::state::retryElsewhere(ingress_call& call, time_point now, actions& out)
{
    const bool allowed
        = call.matchedRoute->idempotent && call.reached + 1 < call.matchedRoute->maxAttempts && now < call.queueUntil;
    if (!allowed || !selectEndpoint(call, now) || !retries.tryConsume(call.service))
        return;
    log(out, "repeat",
        { { "id", call.request.requestId }, { "at", call.targetNode }, { "reason", "suspected" },
            { "after_ms", milliseconds(now - call.sentAt) }, { "service", call.service } });
    ++call.reached;
    ++counts.retries;
    cancelAttempt(call, out);
    send(call, now, out);
}

void node::state::cancelAttempt(ingress_call& call, actions& out)
{
    if (call.attempt == 0)
        return;
    const auto attempt = call.attempt;
    const auto targetNode = call.targetNode;
    endAttempt(attempt);
    const auto peer = peers.find(targetNode);
    if (peer == peers.end())
        return;
    wire::frame_data frame;
    frame.cancel = std::make_unique<wire::call_cancel_data>();
    frame.cancel->id = attempt;
    out.emplace_back(send_frame { peer->second.address, encodeFrame(frame), -1 });
}

void node::state::cancelClientCall(std::uint64_t id, time_point now, actions& out)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    auto& call = found->second;
    const auto attempt = call.attempt;
    const bool isLocal = call.targetNode == options.name;
    log(out, "client_gone",
        { { "id", call.request.requestId }, { "at", call.targetNode },
            { "after_ms", milliseconds(now - call.arrived) } });
    ++counts.cancelled;
    cancelAttempt(call, out);
    deadlines.erase({ call.deadline, id });
    calls.erase(found);
    if (isLocal && attempt != 0)
        cancelServing({ localLink, attempt }, now, out);
}

void node::state::expireCalls(time_point now, actions& out)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const auto id = deadlines.begin()->second;
        auto& call = calls.at(id);
        const auto attempt = call.attempt;
        const bool isLocal = call.targetNode == options.name;
        cancelAttempt(call, out);
        // The attempt has ended for this call, so that cancelling its local execution below no longer affects the
        // response.
        if (call.fallback)
            deliver(call, std::move(*call.fallback), "backend-failure", now, out);
        else
            answerWithRefusal(call, refusal_reason::deadlineExceeded, duration(0), now, out);
        if (isLocal && attempt != 0)
            cancelServing({ localLink, attempt }, now, out);
    }
}

void node::state::answerWithRefusal(
    ingress_call& call, refusal_reason reason, duration retryAfter, time_point now, actions& out)
{
    const int status = httpStatus(reason);
    // Refusals with this status guarantee that the request was not executed.
    constexpr int unavailable = 503;
    constexpr int tooMany = 429;
    if (status == unavailable && !call.team.empty())
        rates.refund(call.team);
    if (status == unavailable || status == tooMany)
        ++counts.refused;
    else
        ++counts.failed;
    deliver(call, makeRefusal(reason, retryAfter), name(reason), now, out);
}

void node::state::deliver(
    ingress_call& call, http_answer answer, std::string_view outcome, time_point now, actions& out)
{
    const auto id = call.request.call;
    log(out, "request",
        { { "id", call.request.requestId }, { "outcome", std::string(outcome) },
            { "status", std::to_string(answer.status) }, { "ms", milliseconds(now - call.arrived) },
            { "route", call.matchedRoute ? call.matchedRoute->name : "" }, { "team", call.team },
            { "service", call.service }, { "at", call.targetNode }, { "reached", std::to_string(call.reached) },
            { "refusals", std::to_string(call.refusals) }, { "importance", std::to_string(call.importance) },
            { "config", std::to_string(call.config ? call.config->content().version : 0) } });
    if (outcome == "answered" || outcome == "backend-failure")
        ++counts.answered;
    deadlines.erase({ call.deadline, id });
    out.emplace_back(send_response { id, std::move(answer) });
    calls.erase(id);
}

} // namespace limpet::mesh
