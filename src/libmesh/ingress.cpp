// Client requests: routing, API keys, rate limits, sending and the final response.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Nested calls come before all root requests, since refusing one wastes the work already done for its root.
    constexpr unsigned nestedLevels = 4;
    constexpr unsigned rootLevels = highestPriority + 1 - nestedLevels;

    constexpr int tooManyRequests = 429;

    /// Orders requests by rank and, within a rank, those on a route of the highest rank before the others.
    unsigned importanceLevel(const tree_position& position)
    {
        return 2U * position.rootRank + (position.rootRouteRank > 0 ? 1 : 0);
    }

    priority nestedPriority(const tree_position& position)
    {
        return static_cast<priority>(highestPriority - std::min(importanceLevel(position), nestedLevels - 1));
    }

    priority rootPriority(const tree_position& position)
    {
        return static_cast<priority>(rootLevels - 1 - std::min(importanceLevel(position), rootLevels - 1));
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
const std::string& node::state::chooseService(const ingress_call& call, time_point now)
{
    const auto& matchedRoute = *call.matchedRoute;
    if (matchedRoute.services.size() == 1)
        return matchedRoute.services.front().service;
    if (isRegional(call)) {
        if (const auto* service = drawRegionalService(call, now))
            return *service;
    }
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

/// Draws one of the services of the route by weight that have a backend server in the regions allowed for the request.
/// Returns nullptr if there is none.
const std::string* node::state::drawRegionalService(const ingress_call& call, time_point now)
{
    std::vector<const weighted_service*> present;
    double all = 0;
    for (const auto& each : call.matchedRoute->services) {
        if (!hasAllowedEndpoint(call, each.service, now))
            continue;
        present.push_back(&each);
        all += each.weight;
    }
    double left = random.uniform() * all;
    for (const auto* each : present) {
        left -= each->weight;
        if (left < 0)
            return &each->service;
    }
    return nullptr;
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
        kept.owner = owner;
        kept.team = owner->name;
    }
    placeInTree(kept, owner, now);
    if (kept.callerGone) {
        answerWithRefusal(kept, refusal_reason::callerGone, duration(0), now, out);
        return;
    }
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
        answerWithRefusal(kept, refusal_reason::rateExceeded, rates.retryAfter(kept.team), now, out);
        return;
    }
    urgentStatusDue = urgentStatusDue || rates.reportDue();
    deadlines.emplace(kept.deadline, id);
    if (!holdForParent(kept, now, out))
        startCall(kept, now, out);
}

/// Sends an accepted request for the first time.
void node::state::startCall(ingress_call& call, time_point now, actions& out)
{
    call.service = chooseService(call, now);
    retries.addRequest(call.service, fleetArrivals(call.service), now);
    if (call.position.retried)
        retries.charge(call.service, now);
    send(call, now, out);
}

/// Determines the call tree of a request and from it its importance. A call without a key comes from a local backend
/// server, unless the deployment has no teams and thus no keys.
void node::state::placeInTree(ingress_call& call, const team* owner, time_point now) const
{
    const auto narrow = [](unsigned rank) { return static_cast<std::uint8_t>(std::min<unsigned>(rank, unknownRank)); };
    const unsigned routeRank = call.matchedRoute->rank;
    const tree_position root { narrow(owner ? owner->rank.value_or(routeRank) : routeRank), narrow(routeRank) };
    if (!owner && !options.treeAware) {
        call.importance = highestPriority;
        return;
    }
    const auto match = owner
        ? call_tree::parent_match {}
        : tree.findParent(call.request.requestId, now + call.request.deadline.value_or(duration(0)));
    const bool isRoot = owner || (config->content().teams.empty() && !match.found);
    call.parent = match.execution;
    call.callerGone = match.abandoned;
    call.position = isRoot ? root : match.position;
    call.importance = isRoot ? rootPriority(root) : nestedPriority(call.position);
}

/// Sends the request to a backend server, or answers the client if there is none for it.
void node::state::send(ingress_call& call, time_point now, actions& out)
{
    auto* target = selectEndpoint(call, now);
    if (!target && !call.attempts.empty())
        return;
    if (!target) {
        if (call.fallback) {
            deliver(call, std::move(*call.fallback), "backend-failure", now, out);
            return;
        }
        const bool retryable = call.matchedRoute->idempotent || call.reached == call.rejectedBy || call.refusals > 0;
        if (!retryable) {
            answerWithRefusal(call, refusal_reason::connectionLost, duration(0), now, out);
            return;
        }
        const auto reason = self.leaving ? refusal_reason::draining
            : call.refusals > 0          ? refusal_reason::overloaded
                                         : refusal_reason::noBackendServer;
        answerWithRefusal(call, reason, std::max(call.retryAfter, defaultRetryAfter), now, out);
        return;
    }
    const auto attempt = nextAttempt++;
    call.attempts.push_back({ attempt, target->node, now });
    call.targetNode = target->node;
    const bool resent = !call.tried.insert(target->node).second;
    ++call.sends;
    callByAttempt[attempt] = call.request.call;
    wire::call_request_data message;
    message.id = attempt;
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
    message.root_rank = call.position.rootRank;
    message.root_route_rank = call.position.rootRouteRank;
    message.finished_calls = call.position.finishedCalls;
    message.remaining_calls = static_cast<float>(tree.remainingCalls(call.parent, call.matchedRoute->name));
    message.retried = call.position.retried || !call.reached.empty();
    message.resent = resent;
    message.idempotent = call.matchedRoute->idempotent;
    message.remaining_us = (call.deadline - now).count();
    message.queue_us = (call.queueUntil > now ? call.queueUntil - now : call.deadline - now).count();
    ++target->sentSinceReport;
    startImpatience(call, *target);
    if (target == &self) {
        serve({ localLink, std::move(message) }, now, out);
        return;
    }
    wire::frame_data frame;
    frame.call = std::make_unique<wire::call_request_data>(std::move(message));
    sendFrame(target->address, std::move(frame), 1, now, out);
}

void node::state::cancelClientCall(std::uint64_t id, time_point now, actions& out)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    auto& call = found->second;
    log(out, "client_gone",
        { { "id", call.request.requestId }, { "at", call.targetNode },
            { "attempts", std::to_string(call.attempts.size()) }, { "after_ms", milliseconds(now - call.arrived) } });
    ++counts.cancelled;
    cancelAttempts(call, "client-gone", now, out);
    deadlines.erase({ call.deadline, id });
    calls.erase(id);
}

void node::state::expireCalls(time_point now, actions& out)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        auto& call = calls.at(deadlines.begin()->second);
        cancelAttempts(call, "deadline", now, out);
        if (call.fallback)
            deliver(call, std::move(*call.fallback), "backend-failure", now, out);
        else
            answerWithRefusal(call, refusal_reason::deadlineExceeded, duration(0), now, out);
    }
}

void node::state::answerWithRefusal(
    ingress_call& call, refusal_reason reason, duration retryAfter, time_point now, actions& out)
{
    // Refusals with these statuses guarantee that the request was not executed.
    constexpr int unavailable = 503;
    const auto promisesNotExecuted = [](int status) { return status == unavailable || status == tooManyRequests; };
    if (call.mayHaveRun && promisesNotExecuted(httpStatus(reason))) {
        log(out, "refusal_replaced", { { "id", call.request.requestId }, { "reason", std::string(name(reason)) } });
        reason = refusal_reason::connectionLost;
        retryAfter = duration(0);
    }
    const int status = httpStatus(reason);
    if (status == unavailable && !call.team.empty())
        rates.refund(call.team);
    if (promisesNotExecuted(status))
        ++counts.refused;
    else
        ++counts.failed;
    deliver(call, makeRefusal(reason, retryAfter), name(reason), now, out);
}

void node::state::deliver(
    ingress_call& call, http_answer answer, std::string_view outcome, time_point now, actions& out)
{
    const auto id = call.request.call;
    cancelAttempts(call, "answered", now, out);
    log(out, "request",
        { { "id", call.request.requestId }, { "outcome", std::string(outcome) },
            { "status", std::to_string(answer.status) }, { "ms", milliseconds(now - call.arrived) },
            { "route", call.matchedRoute ? call.matchedRoute->name : "" }, { "team", call.team },
            { "service", call.service }, { "at", call.targetNode }, { "reached", std::to_string(call.reached.size()) },
            { "refusals", std::to_string(call.refusals) }, { "importance", std::to_string(call.importance) },
            { "config", std::to_string(call.config ? call.config->content().version : 0) } });
    if (outcome == "answered" || outcome == "backend-failure")
        ++counts.answered;
    deadlines.erase({ call.deadline, id });
    if (call.parent)
        tree.callFinished(*call.parent, call.matchedRoute->name,
            answer.status >= firstServerError || answer.status == tooManyRequests);
    out.emplace_back(send_response { id, std::move(answer) });
    calls.erase(id);
}

} // namespace limpet::mesh
