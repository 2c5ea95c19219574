#include "state.h"
#include <algorithm>

namespace limpet {
namespace {

    // A caller is better served by an accurate Retry-After than by waiting longer than this for a rate token.
    constexpr duration maxRateTokenWait = std::chrono::seconds(2);
    // Limits the wait for a token to half the remaining time: a request that gets it at its deadline cannot be
    // answered.
    constexpr int rateTokenWaitDivisor = 2;

    digest fingerprintOf(const http_request& content)
    {
        std::string text = content.method + " " + content.path + "\n";
        if (content.body)
            text += *content.body;
        return digestOf(text);
    }

} // namespace

const key_entry* node::state::findKey(const digest& value) const
{
    const auto [first, last] = keys.equal_range(prefixOf(value));
    const auto found
        = std::find_if(first, last, [&](const auto& each) { return equalConstantTime(each.second.value, value); });
    return found == last ? nullptr : &found->second;
}

/// Authenticates a root request and sets its team. Returns a refusal if it is not authorized.
std::optional<refusal> node::state::authorize(
    const caller_request& request, const route_rule& route, outgoing_call& call)
{
    const auto* key = request.key ? findKey(*request.key) : nullptr;
    const bool confirmed = fleet.keyedCallsAllowed(now);
    if (route.openToAll) {
        if (key && confirmed)
            call.context.team = key->team;
        return std::nullopt;
    }
    if (!request.key)
        return refusal { refusal_reason::keyMissing, execution_state::notExecuted, duration::zero(),
            "no key came with the request" };
    if (!confirmed)
        return refusal { refusal_reason::keyUnconfirmed, execution_state::notExecuted, options.keyConfirmationBound,
            "this node cannot tell whether the key has been withdrawn" };
    if (!key)
        return refusal { refusal_reason::keyInvalid, execution_state::notExecuted, duration::zero(),
            "the key is not in force" };
    call.context.team = key->team;
    return std::nullopt;
}

/// Links a child call from the backend server to the served attempt that caused it. Team, priority and attempt
/// budget are taken from that attempt, and its deadline is an upper bound, whatever the backend server sends. Returns a
/// refusal if the call is not allowed.
std::optional<refusal> node::state::bindToParent(
    const caller_request& request, const route_rule& route, outgoing_call& call)
{
    const auto token = servedByToken.find(request.parentToken);
    if (token == servedByToken.end())
        return refusal { refusal_reason::cancelled, execution_state::notExecuted, duration::zero(),
            "the call that caused this one has ended; Limpet-Context is not in force" };
    auto& parent = served.at(token->second);
    if (parent.context.depth + 1 > maxCallDepth)
        return refusal { refusal_reason::tooDeep, execution_state::notExecuted, duration::zero(),
            "the call graph is deeper than " + std::to_string(maxCallDepth) };
    if (!route.openToAll && parent.context.team.empty())
        return refusal { refusal_reason::keyMissing, execution_state::notExecuted, duration::zero(),
            "the root request came without a key, and this route is not open to all" };
    call.parent = parent.id;
    call.context.rootId = parent.context.rootId;
    call.context.team = parent.context.team;
    call.context.importance = parent.context.importance;
    call.context.depth = static_cast<std::uint8_t>(parent.context.depth + 1);
    call.deadline = std::min(call.deadline, parent.deadline);
    call.extraAttemptsFromParent = parent.budget.takeShare();
    call.budget = attempt_budget(call.extraAttemptsFromParent);
    parent.children.insert(call.handle);
    parent.childServices.insert(call.service);
    return std::nullopt;
}

void node::state::refuseCallerRequest(const caller_request& request, const refusal& cause)
{
    ++statistics.refused.at(static_cast<std::size_t>(cause.reason));
    const auto parent = servedByToken.find(request.parentToken);
    if (request.fromBackend && parent != servedByToken.end())
        served.at(parent->second).childRefusal = cause;
    out->push_back(answer_caller { request.call, renderRefusal(cause, random.nextId()), cause, drainRequested });
}

void node::state::onCallerRequest(caller_request& request)
{
    if (!ready()) {
        refuseCallerRequest(request,
            { refusal_reason::notReady, execution_state::notExecuted, std::chrono::seconds(1),
                "this node has no confirmed configuration or does not know the other nodes yet" });
        return;
    }
    const auto path = std::string_view(request.content.path).substr(0, request.content.path.find('?'));
    const auto* route = findRoute(*config, request.content.method, path);
    if (!route) {
        refuseCallerRequest(request,
            { refusal_reason::unknownRoute, execution_state::notExecuted, duration::zero(),
                "no route for this method and path" });
        return;
    }
    outgoing_call call;
    call.handle = request.call;
    call.service = route->service;
    call.openToAll = route->openToAll;
    call.context.id = random.nextId();
    call.context.rootId = call.context.id;
    call.context.importance = route->importance;
    call.context.idempotent = route->idempotent;
    auto time = route->deadline > duration::zero() ? route->deadline : options.defaultDeadline;
    if (request.deadline > duration::zero())
        time = std::min(time, request.deadline);
    call.deadline = now + time;
    call.budget = attempt_budget(defaultExtraAttempts);
    call.idempotencyKey = std::move(request.idempotencyKey);
    const bool isChild = request.fromBackend && !request.parentToken.empty();
    const auto cause = isChild ? bindToParent(request, *route, call) : authorize(request, *route, call);
    if (cause) {
        refuseCallerRequest(request, *cause);
        return;
    }
    call.content = std::move(request.content);
    auto& stored = calls.emplace(call.handle, std::move(call)).first->second;
    setTimer(stored.deadline, timer_kind::callDeadline, timerSubject(stored.handle));
    // The shed threshold is checked before the rate limit, so that shed requests consume no tokens of the team.
    if (!thresholds.admits(stored.service, stored.context, now)) {
        refuseCall(stored,
            { refusal_reason::overloaded, execution_state::notExecuted,
                thresholds.retryAfter(stored.service, stored.context.team, now),
                "service " + stored.service + " sheds requests of this priority" });
        return;
    }
    acquireRateToken(stored);
}

/// Acquires a rate token for a root request of a team. Child calls are covered by the token of their root
/// request. Routes that are open to all are not counted: otherwise a request with a key could be refused where one
/// without a key is admitted.
void node::state::acquireRateToken(outgoing_call& call)
{
    if (call.parent || call.openToAll || call.context.team.empty()) {
        acquireClaim(call);
        return;
    }
    call.phase = call_phase::awaitingRateToken;
    const auto handle = call.handle;
    std::vector<quota_action> actions;
    const auto waitUntil = now + std::min((call.deadline - now) / rateTokenWaitDivisor, maxRateTokenWait);
    const auto decision = quota.acquire(call.context.team, handle, waitUntil, now, actions);
    execute(std::move(actions));
    if (decision.outcome == quota_outcome::waiting)
        return;
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    if (decision.outcome == quota_outcome::granted)
        onRateTokenAcquired(found->second);
    else
        refuseCall(found->second,
            { refusal_reason::rateExceeded, execution_state::notExecuted, decision.retryAfter,
                "team " + found->second.context.team + " is over its rate" });
}

void node::state::onRateTokenAcquired(outgoing_call& call)
{
    out->push_back(rate_token_consumed { call.handle, call.context.team });
    acquireClaim(call);
}

void node::state::onQuotaCompletion(const quota_completion& completion)
{
    const auto found = calls.find(completion.handle);
    if (found == calls.end() || found->second.phase != call_phase::awaitingRateToken)
        return;
    if (completion.granted)
        onRateTokenAcquired(found->second);
    else
        refuseCall(found->second,
            { refusal_reason::rateExceeded, execution_state::notExecuted, completion.retryAfter,
                "team " + found->second.context.team + " is over its rate" });
}

/// Claims the Idempotency-Key of a non-idempotent request in the store before it is executed.
void node::state::acquireClaim(outgoing_call& call)
{
    if (call.context.idempotent || call.idempotencyKey.empty() || call.parent) {
        dispatch(call);
        return;
    }
    call.phase = call_phase::awaitingClaim;
    std::vector<claim_action> actions;
    claims.claim(
        call.handle, call.context.team, call.idempotencyKey, fingerprintOf(call.content), call.deadline, now, actions);
    execute(std::move(actions));
}

void node::state::onClaimResult(const claim_result& resolved)
{
    const auto found = calls.find(resolved.token);
    if (found == calls.end())
        return;
    auto& call = found->second;
    const auto refuse = [&](refusal_reason reason, execution_state executionState, std::string detail) {
        refuseCall(call, { reason, executionState, resolved.retryAfter, std::move(detail) });
    };
    switch (resolved.outcome) {
    case claim_outcome::execute:
        call.claimed = true;
        dispatch(call);
        return;
    case claim_outcome::completed: {
        http_answer answer;
        answer.status = resolved.response->status;
        answer.headers = { { "Content-Type", resolved.response->contentType }, { "Limpet-Repeated", "true" } };
        if (resolved.response->bodyOmitted)
            answer.headers.push_back({ "Limpet-Body-Omitted", "true" });
        answer.body = resolved.response->body ? resolved.response->body : makeBytes({});
        completeCall(call, answer);
        return;
    }
    case claim_outcome::inProgress:
        refuse(refusal_reason::claimInProgress, execution_state::unknown,
            "a request with this Idempotency-Key is in flight");
        return;
    case claim_outcome::abandoned:
        refuse(refusal_reason::claimInProgress, execution_state::unknown,
            "the node that handled the first request is gone; whether it ran is not known");
        return;
    case claim_outcome::mismatch:
        refuse(refusal_reason::claimMismatch, execution_state::notExecuted,
            "this Idempotency-Key was used with another request");
        return;
    case claim_outcome::unavailable:
        refuse(refusal_reason::claimUnavailable, execution_state::notExecuted,
            "the claim could not be written to the store");
        return;
    }
}

void node::state::callDeadlinePassed(outgoing_call& call)
{
    const bool inFlight = call.phase == call_phase::inFlight || call.phase == call_phase::awaitingStatus;
    if (inFlight) {
        cancelAttempt(call);
        endAttempt(call, call_outcome::timeout, call.attempt.grantedExtraAttempts);
    }
    const bool maybeExecuted = inFlight || call.earlierAttemptMaybeExecuted;
    const auto reason = call.phase == call_phase::awaitingRateToken ? refusal_reason::rateExceeded
        : call.phase == call_phase::backoff                         ? call.lastRefusal.reason
                                                                    : refusal_reason::deadlineExceeded;
    refuseCall(call,
        { reason, maybeExecuted ? execution_state::unknown : execution_state::notExecuted, duration::zero(),
            "the deadline passed" });
}

void node::state::onCallerDisconnected(std::uint64_t handle)
{
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    auto& call = found->second;
    // A claimed request continues, because its response is stored for repeated requests with the same key.
    if (call.claimed)
        return;
    if (call.phase == call_phase::awaitingRateToken)
        quota.cancel(handle, now);
    if (call.phase == call_phase::inFlight || call.phase == call_phase::awaitingStatus) {
        cancelAttempt(call);
        endAttempt(call, call_outcome::cancelled, call.attempt.grantedExtraAttempts);
    }
    eraseCall(handle);
}

void node::state::completeCall(outgoing_call& call, const http_answer& content)
{
    if (call.claimed) {
        stored_response answer { content.status, {}, content.body, false };
        for (const auto& each : content.headers) {
            if (each.name == "Content-Type")
                answer.contentType = each.value;
        }
        answer.bodyOmitted = content.body && content.body->size() > maxStoredBodyBytes;
        if (answer.bodyOmitted)
            answer.body = makeBytes({});
        std::vector<claim_action> actions;
        claims.complete(call.handle, std::move(answer), now, actions);
        execute(std::move(actions));
    }
    ++statistics.answered;
    out->push_back(answer_caller { call.handle, content, std::nullopt, drainRequested });
    eraseCall(call.handle);
}

void node::state::refuseCall(outgoing_call& call, refusal cause)
{
    if (call.phase == call_phase::awaitingRateToken)
        quota.cancel(call.handle, now);
    if (call.claimed) {
        std::vector<claim_action> actions;
        if (cause.run == execution_state::notExecuted)
            claims.release(call.handle, now, actions);
        else
            claims.abandon(call.handle, now);
        execute(std::move(actions));
    }
    if (call.parent) {
        const auto parent = served.find(*call.parent);
        if (parent != served.end())
            parent->second.childRefusal = cause;
    }
    ++statistics.refused.at(static_cast<std::size_t>(cause.reason));
    auto content = renderRefusal(cause, call.context.id);
    out->push_back(answer_caller { call.handle, std::move(content), std::move(cause), drainRequested });
    eraseCall(call.handle);
}

void node::state::eraseCall(std::uint64_t handle)
{
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    const auto& call = found->second;
    clearTimer(call.deadline, timer_kind::callDeadline, timerSubject(handle));
    clearTimer(call.phaseTimerAt, timer_kind::callPhase, timerSubject(handle));
    callByAttempt.erase(call.attempt.id);
    if (call.parent) {
        const auto parent = served.find(*call.parent);
        if (parent != served.end()) {
            parent->second.children.erase(handle);
            parent->second.budget.returnUnused(call.extraAttemptsFromParent, call.budget.remaining());
        }
    }
    calls.erase(found);
}

} // namespace limpet
