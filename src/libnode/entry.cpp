#include "state.h"
#include <algorithm>

namespace limpet {
namespace {

    // Waiting longer than this for a token of the team's rate is no better than an honest Retry-After.
    constexpr duration longestTokenWait = std::chrono::seconds(2);
    // A request that waits for its token until its deadline cannot be answered any more.
    constexpr int tokenWaitDivisor = 2;

    call_outcome outcomeOf(refusal_reason reason)
    {
        switch (reason) {
        case refusal_reason::overloaded:
        case refusal_reason::draining:
        case refusal_reason::noBackendServer:
        case refusal_reason::deadlineTooShort:
            return call_outcome::shed;
        case refusal_reason::deadlineExceeded:
            return call_outcome::timeout;
        case refusal_reason::cancelled:
            return call_outcome::cancelled;
        default:
            return call_outcome::failed;
        }
    }

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

/// Settles who a root request runs for. Returns why it may not run.
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

/// Binds a request of the own backend server to the attempt in flight that caused it. Team, priority, deadline and
/// attempts come from there, whatever the backend server claims. Returns why it may not run.
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
    call.lentByParent = parent.budget.takeShare();
    call.budget = attempt_budget(call.lentByParent);
    parent.children.insert(call.handle);
    parent.childServices.insert(call.service);
    return std::nullopt;
}

void node::state::refuseNew(const caller_request& request, const refusal& why)
{
    ++figures.refused.at(static_cast<std::size_t>(why.reason));
    const auto parent = servedByToken.find(request.parentToken);
    if (request.fromBackend && parent != servedByToken.end())
        served.at(parent->second).childRefusal = why;
    out->push_back(answer_caller { request.call, renderRefusal(why, random.nextId()), why, drainRequested });
}

void node::state::onCaller(caller_request& request)
{
    if (!ready()) {
        refuseNew(request,
            { refusal_reason::notReady, execution_state::notExecuted, std::chrono::seconds(1),
                "this node has no confirmed configuration or does not know the other nodes yet" });
        return;
    }
    const auto path = std::string_view(request.content.path).substr(0, request.content.path.find('?'));
    const auto* route = findRoute(*config, request.content.method, path);
    if (!route) {
        refuseNew(request,
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
    auto time = route->deadline > duration::zero() ? route->deadline : options.longestDeadline;
    if (request.deadline > duration::zero())
        time = std::min(time, request.deadline);
    call.deadline = now + time;
    call.budget = attempt_budget(defaultExtraAttempts);
    call.idempotencyKey = std::move(request.idempotencyKey);
    const bool isChild = request.fromBackend && !request.parentToken.empty();
    const auto why = isChild ? bindToParent(request, *route, call) : authorize(request, *route, call);
    if (why) {
        refuseNew(request, *why);
        return;
    }
    call.content = std::move(request.content);
    auto& stored = calls.emplace(call.handle, std::move(call)).first->second;
    setTimer(stored.deadline, timer_kind::callDeadline, subjectOf(stored.handle));
    // A shed request must not use up the team's rate, so the threshold is asked before the token.
    if (!thresholds.admits(stored.service, stored.context, now)) {
        refuseCall(stored,
            { refusal_reason::overloaded, execution_state::notExecuted,
                thresholds.retryAfter(stored.service, stored.context.team, now),
                "service " + stored.service + " sheds requests of this priority" });
        return;
    }
    takeToken(stored);
}

/// Root requests of a team take a token of its rate; child calls belong to a request that has one. A route that is open
/// to all is not counted, or a request with a key would be refused where one without a key runs.
void node::state::takeToken(outgoing_call& call)
{
    if (call.parent || call.openToAll || call.context.team.empty()) {
        takeClaim(call);
        return;
    }
    call.phase = call_phase::waitingToken;
    const auto handle = call.handle;
    std::vector<quota_action> actions;
    const auto waitUntil = now + std::min((call.deadline - now) / tokenWaitDivisor, longestTokenWait);
    const auto decision = quota.acquire(call.context.team, handle, waitUntil, now, actions);
    take(std::move(actions));
    if (decision.outcome == quota_outcome::waiting)
        return;
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    if (decision.outcome == quota_outcome::granted)
        tokenTaken(found->second);
    else
        refuseCall(found->second,
            { refusal_reason::rateExceeded, execution_state::notExecuted, decision.retryAfter,
                "team " + found->second.context.team + " is over its rate" });
}

void node::state::tokenTaken(outgoing_call& call)
{
    out->push_back(token_taken { call.handle, call.context.team });
    takeClaim(call);
}

void node::state::onQuota(const quota_resolved& resolved)
{
    const auto found = calls.find(resolved.token);
    if (found == calls.end() || found->second.phase != call_phase::waitingToken)
        return;
    if (resolved.granted)
        tokenTaken(found->second);
    else
        refuseCall(found->second,
            { refusal_reason::rateExceeded, execution_state::notExecuted, resolved.retryAfter,
                "team " + found->second.context.team + " is over its rate" });
}

/// A non-idempotent request with an Idempotency-Key is claimed in the store before it may run.
void node::state::takeClaim(outgoing_call& call)
{
    if (call.context.idempotent || call.idempotencyKey.empty() || call.parent) {
        dispatch(call);
        return;
    }
    call.phase = call_phase::waitingClaim;
    std::vector<claim_action> actions;
    claims.claim(
        call.handle, call.context.team, call.idempotencyKey, fingerprintOf(call.content), call.deadline, now, actions);
    take(std::move(actions));
}

void node::state::onClaim(const claim_result& resolved)
{
    const auto found = calls.find(resolved.token);
    if (found == calls.end())
        return;
    auto& call = found->second;
    const auto refuse = [&](refusal_reason reason, execution_state run, std::string detail) {
        refuseCall(call, { reason, run, resolved.retryAfter, std::move(detail) });
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
        answerCall(call, answer);
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

/// Makes the first attempt.
void node::state::dispatch(outgoing_call& call)
{
    retries.countFirstAttempt(call.context.team, call.service, now);
    ++figures.firstAttempts;
    sendAttempt(call);
}

void node::state::sendAttempt(outgoing_call& call)
{
    if (call.made < UINT8_MAX)
        ++call.made;
    auto choice = routing.pick(call.service, call.excluded, call.context.importance, now, random);
    if (!choice && !call.excluded.empty()) {
        // Every endpoint has failed once; any of them is better than none.
        call.excluded.clear();
        choice = routing.pick(call.service, call.excluded, call.context.importance, now, random);
    }
    if (!choice) {
        attemptFailed(call,
            { choice.error(), execution_state::notExecuted, std::chrono::seconds(1), "no endpoint of " + call.service },
            false);
        return;
    }
    call.phase = call_phase::inFlight;
    auto& attempt = call.attempt;
    attempt = { random.nextId(), choice->node, options.run, now, call.budget.takeShare(), choice->where };
    if (const auto* target = routing.find(choice->node))
        attempt.targetRun = target->run;
    callOfAttempt[attempt.id] = call.handle;
    routing.started(attempt.target);
    call_request request { attempt.id, attempt.targetRun, call.context, call.service, call.content };
    request.context.remaining = call.deadline - now;
    request.context.extraAttemptsLeft = attempt.lent;
    if (attempt.where == locality::otherRegion && call.content.body)
        routing.charge(call.content.body->size() + call.content.path.size(), now);
    deliver(attempt.target, request);
}

outgoing_call* node::state::callOf(const request_id& attempt, node_id from)
{
    const auto found = callOfAttempt.find(attempt);
    if (found == callOfAttempt.end())
        return nullptr;
    const auto call = calls.find(found->second);
    // An answer counts only if it comes from the node that the attempt was sent to.
    if (call == calls.end() || call->second.attempt.id != attempt || call->second.attempt.target != from)
        return nullptr;
    return &call->second;
}

void node::state::learnShed(
    const outgoing_call& call, const std::vector<shed_report>& reports, node_id from, bool fromDraining)
{
    if (fromDraining)
        routing.markDraining(from, call.attempt.targetRun);
    shed_level own;
    shed_level deeper;
    for (const auto& report : reports) {
        const shed_level level { report.level, report.admittedFraction };
        if (report.service == call.service)
            own = stricter(own, level);
        else
            deeper = stricter(deeper, level);
    }
    if (!reports.empty())
        thresholds.recordLevels(call.service, call.context.team, own, deeper, now);
}

/// Ends the current attempt in the books of routing and of the attempt budget.
void node::state::endAttempt(outgoing_call& call, call_outcome outcome, std::uint8_t usedBelow)
{
    callOfAttempt.erase(call.attempt.id);
    routing.finished(call.attempt.target, outcome, now - call.attempt.sentAt, now);
    const auto used = std::min(usedBelow, call.attempt.lent);
    call.budget.returnUnused(call.attempt.lent, static_cast<std::uint8_t>(call.attempt.lent - used));
    figures.extraAttempts += used;
}

void node::state::onReply(const call_reply& reply, node_id from)
{
    auto* call = callOf(reply.attempt, from);
    if (!call)
        return;
    learnShed(*call, reply.shed, from, reply.draining);
    if (call->attempt.where == locality::otherRegion && reply.content.body)
        routing.charge(reply.content.body->size(), now);
    endAttempt(*call, call_outcome::success, reply.attemptsUsed);
    answerCall(*call, reply.content);
}

void node::state::onRefusal(const call_refusal& message, node_id from)
{
    auto* call = callOf(message.attempt, from);
    if (!call)
        return;
    learnShed(*call, message.shed, from, message.draining);
    endAttempt(*call, outcomeOf(message.why.reason), message.attemptsUsed);
    attemptFailed(*call, message.why, message.final);
}

/// Decides whether a failed attempt is followed by another one. The attempt has been ended.
void node::state::attemptFailed(outgoing_call& call, const refusal& why, bool final)
{
    call.everUnknown = call.everUnknown || why.run == execution_state::unknown;
    call.lastRefusal = why;
    call.excluded.push_back(call.attempt.target);
    const auto overall = call.everUnknown ? execution_state::unknown : execution_state::notExecuted;
    const failed_attempt failure { why.reason, overall, final, why.retryAfter, call.made };
    const auto decision = retries.decide(call.context, call.service, failure, call.budget, now, random);
    if (decision.retry && now + decision.backoff < call.deadline) {
        ++figures.extraAttempts;
        call.phase = call_phase::backoff;
        wakeAt(call, now + decision.backoff);
        return;
    }
    refusal last = why;
    last.run = overall;
    refuseCall(call, std::move(last));
}

void node::state::wakeAt(outgoing_call& call, time_point at)
{
    clearTimer(call.wakeAt, timer_kind::callWake, subjectOf(call.handle));
    call.wakeAt = at;
    setTimer(at, timer_kind::callWake, subjectOf(call.handle));
}

void node::state::wakeCall(outgoing_call& call)
{
    if (call.phase == call_phase::backoff) {
        sendAttempt(call);
        return;
    }
    if (call.phase != call_phase::settling)
        return;
    endAttempt(call, call_outcome::failed, call.attempt.lent);
    attemptFailed(call,
        { refusal_reason::connectionLost, execution_state::unknown, duration::zero(),
            "the connection to the serving node broke and its answer did not come in time" },
        false);
}

/// Settles the attempts that were sent over a link that closed.
void node::state::onPeerClosed(node_id peer, bool opened)
{
    openLinks.erase(peer);
    std::vector<std::uint64_t> affected;
    for (const auto& [handle, call] : calls) {
        const bool waits = call.phase == call_phase::inFlight || call.phase == call_phase::settling;
        if (waits && call.attempt.target == peer)
            affected.push_back(handle);
    }
    for (const auto handle : affected) {
        auto& call = calls.at(handle);
        // A later link that never opened says nothing about an attempt that an earlier one may have carried.
        if (call.phase == call_phase::settling)
            continue;
        if (!opened) {
            endAttempt(call, call_outcome::failed, 0);
            attemptFailed(call,
                { refusal_reason::connectionLost, execution_state::notExecuted, duration::zero(),
                    "the serving node could not be reached" },
                false);
        } else if (call.context.idempotent) {
            endAttempt(call, call_outcome::failed, call.attempt.lent);
            attemptFailed(call,
                { refusal_reason::connectionLost, execution_state::unknown, duration::zero(),
                    "the connection to the serving node broke" },
                false);
        } else {
            settle(call);
        }
    }
}

/// Asks the serving node what became of a non-idempotent attempt, because only "never seen" allows another one.
void node::state::settle(outgoing_call& call)
{
    call.phase = call_phase::settling;
    wakeAt(call, std::min(call.deadline, now + options.settleTimeout));
    deliver(call.attempt.target, attempt_query { call.attempt.id, call.attempt.targetRun });
}

void node::state::onAttemptStatus(const attempt_status& status, node_id from)
{
    auto* call = callOf(status.attempt, from);
    if (!call || call->phase != call_phase::settling)
        return;
    if (status.fate == attempt_fate::running) {
        // The reply comes over the new link.
        call->phase = call_phase::inFlight;
        return;
    }
    const auto run = status.fate == attempt_fate::neverSeen ? execution_state::notExecuted : execution_state::unknown;
    endAttempt(*call, call_outcome::failed, run == execution_state::notExecuted ? 0 : call->attempt.lent);
    attemptFailed(*call,
        { refusal_reason::connectionLost, run, duration::zero(), "the connection to the serving node broke" }, false);
}

void node::state::callDeadlinePassed(outgoing_call& call)
{
    const bool inFlight = call.phase == call_phase::inFlight || call.phase == call_phase::settling;
    if (inFlight) {
        cancelAttempt(call);
        endAttempt(call, call_outcome::timeout, call.attempt.lent);
    }
    const bool mayHaveRun = inFlight || call.everUnknown;
    const auto reason = call.phase == call_phase::waitingToken ? refusal_reason::rateExceeded
        : call.phase == call_phase::backoff                    ? call.lastRefusal.reason
                                                               : refusal_reason::deadlineExceeded;
    refuseCall(call,
        { reason, mayHaveRun ? execution_state::unknown : execution_state::notExecuted, duration::zero(),
            "the deadline passed" });
}

void node::state::onCallerGone(std::uint64_t handle)
{
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    auto& call = found->second;
    // The answer to a claimed request is kept for its repeats, so it runs on.
    if (call.claimed)
        return;
    if (call.phase == call_phase::waitingToken)
        quota.abandon(handle, now);
    if (call.phase == call_phase::inFlight || call.phase == call_phase::settling) {
        cancelAttempt(call);
        endAttempt(call, call_outcome::cancelled, call.attempt.lent);
    }
    forgetCall(handle);
}

void node::state::cancelAttempt(const outgoing_call& call)
{
    deliver(call.attempt.target, call_cancel { call.attempt.id });
}

void node::state::answerCall(outgoing_call& call, const http_answer& content)
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
        take(std::move(actions));
    }
    ++figures.answered;
    out->push_back(answer_caller { call.handle, content, std::nullopt, drainRequested });
    forgetCall(call.handle);
}

void node::state::refuseCall(outgoing_call& call, refusal why)
{
    if (call.phase == call_phase::waitingToken)
        quota.abandon(call.handle, now);
    if (call.claimed) {
        std::vector<claim_action> actions;
        if (why.run == execution_state::notExecuted)
            claims.release(call.handle, now, actions);
        else
            claims.abandon(call.handle, now);
        take(std::move(actions));
    }
    if (call.parent) {
        const auto parent = served.find(*call.parent);
        if (parent != served.end())
            parent->second.childRefusal = why;
    }
    ++figures.refused.at(static_cast<std::size_t>(why.reason));
    auto content = renderRefusal(why, call.context.id);
    out->push_back(answer_caller { call.handle, std::move(content), std::move(why), drainRequested });
    forgetCall(call.handle);
}

void node::state::forgetCall(std::uint64_t handle)
{
    const auto found = calls.find(handle);
    if (found == calls.end())
        return;
    const auto& call = found->second;
    clearTimer(call.deadline, timer_kind::callDeadline, subjectOf(handle));
    clearTimer(call.wakeAt, timer_kind::callWake, subjectOf(handle));
    callOfAttempt.erase(call.attempt.id);
    if (call.parent) {
        const auto parent = served.find(*call.parent);
        if (parent != served.end()) {
            parent->second.children.erase(handle);
            parent->second.budget.returnUnused(call.lentByParent, call.budget.remaining());
        }
    }
    calls.erase(found);
}

} // namespace limpet
