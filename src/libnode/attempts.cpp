// Attempts of calls at other nodes: sending, outcomes, retries and status queries.

#include "state.h"
#include <algorithm>

namespace limpet {
namespace {

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

} // namespace

/// Sends the first attempt.
void node::state::dispatch(outgoing_call& call)
{
    retries.countFirstAttempt(call.context.team, call.service, now);
    ++statistics.firstAttempts;
    sendAttempt(call);
}

void node::state::sendAttempt(outgoing_call& call)
{
    if (call.attemptsMade < UINT8_MAX)
        ++call.attemptsMade;
    auto choice = routing.pick(call.service, call.excluded, call.context.importance, now, random);
    if (!choice && !call.excluded.empty()) {
        // Every endpoint has failed an attempt of this call. Retrying one of them is better than refusing the call.
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
    callByAttempt[attempt.id] = call.handle;
    routing.started(attempt.target);
    call_request request { attempt.id, attempt.targetRun, call.context, call.service, call.content };
    request.context.remaining = call.deadline - now;
    request.context.extraAttemptsLeft = attempt.grantedExtraAttempts;
    if (attempt.targetLocality == locality::otherRegion && call.content.body)
        routing.charge(call.content.body->size() + call.content.path.size(), now);
    deliver(attempt.target, request);
}

outgoing_call* node::state::findCall(const request_id& attempt, node_id from)
{
    const auto found = callByAttempt.find(attempt);
    if (found == callByAttempt.end())
        return nullptr;
    const auto call = calls.find(found->second);
    // Only messages from the node to which the current attempt was sent are accepted.
    if (call == calls.end() || call->second.attempt.id != attempt || call->second.attempt.target != from)
        return nullptr;
    return &call->second;
}

void node::state::recordShedReports(
    const outgoing_call& call, const std::vector<shed_report>& reports, node_id from, bool fromDraining)
{
    if (fromDraining)
        routing.markDraining(from, call.attempt.targetRun);
    shed_level ownLevel;
    shed_level downstreamLevel;
    for (const auto& report : reports) {
        const shed_level level { report.level, report.admittedFraction };
        if (report.service == call.service)
            ownLevel = stricter(ownLevel, level);
        else
            downstreamLevel = stricter(downstreamLevel, level);
    }
    if (!reports.empty())
        thresholds.recordLevels(call.service, call.context.team, ownLevel, downstreamLevel, now);
}

/// Records the outcome of the current attempt in the routing table, and returns its unused extra attempts.
void node::state::endAttempt(outgoing_call& call, call_outcome outcome, std::uint8_t extraAttemptsUsed)
{
    callByAttempt.erase(call.attempt.id);
    routing.finished(call.attempt.target, outcome, now - call.attempt.sentAt, now);
    const auto used = std::min(extraAttemptsUsed, call.attempt.grantedExtraAttempts);
    call.budget.returnUnused(
        call.attempt.grantedExtraAttempts, static_cast<std::uint8_t>(call.attempt.grantedExtraAttempts - used));
    statistics.extraAttempts += used;
}

void node::state::onCallReply(const call_reply& reply, node_id from)
{
    auto* call = findCall(reply.attempt, from);
    if (!call)
        return;
    recordShedReports(*call, reply.shed, from, reply.draining);
    if (call->attempt.targetLocality == locality::otherRegion && reply.content.body)
        routing.charge(reply.content.body->size(), now);
    endAttempt(*call, call_outcome::success, reply.attemptsUsed);
    completeCall(*call, reply.content);
}

void node::state::onCallRefusal(const call_refusal& message, node_id from)
{
    auto* call = findCall(message.attempt, from);
    if (!call)
        return;
    recordShedReports(*call, message.shed, from, message.draining);
    endAttempt(*call, outcomeOf(message.why.reason), message.attemptsUsed);
    attemptFailed(*call, message.why, message.final);
}

/// Schedules a retry, or refuses the call. endAttempt() must have been called for the failed attempt, if it was sent.
void node::state::attemptFailed(outgoing_call& call, const refusal& cause, bool final)
{
    call.earlierAttemptMaybeExecuted = call.earlierAttemptMaybeExecuted || cause.run == execution_state::unknown;
    call.lastRefusal = cause;
    call.excluded.push_back(call.attempt.target);
    const auto executionState
        = call.earlierAttemptMaybeExecuted ? execution_state::unknown : execution_state::notExecuted;
    const failed_attempt failure { cause.reason, executionState, final, cause.retryAfter, call.attemptsMade };
    const auto decision = retries.decide(call.context, call.service, failure, call.budget, now, random);
    if (decision.retry && now + decision.backoff < call.deadline) {
        ++statistics.extraAttempts;
        call.phase = call_phase::backoff;
        setPhaseTimer(call, now + decision.backoff);
        return;
    }
    refusal finalRefusal = cause;
    finalRefusal.run = executionState;
    refuseCall(call, std::move(finalRefusal));
}

void node::state::setPhaseTimer(outgoing_call& call, time_point at)
{
    clearTimer(call.phaseTimerAt, timer_kind::callPhase, timerSubject(call.handle));
    call.phaseTimerAt = at;
    setTimer(at, timer_kind::callPhase, timerSubject(call.handle));
}

void node::state::onPhaseTimer(outgoing_call& call)
{
    if (call.phase == call_phase::backoff) {
        sendAttempt(call);
        return;
    }
    if (call.phase != call_phase::awaitingStatus)
        return;
    endAttempt(call, call_outcome::failed, call.attempt.grantedExtraAttempts);
    attemptFailed(call,
        { refusal_reason::connectionLost, execution_state::unknown, duration::zero(),
            "the connection to the serving node broke and its answer did not come in time" },
        false);
}

/// Fails the attempts that were sent over a closed link, or queries their status.
void node::state::onLinkClosed(node_id peer, bool opened)
{
    openLinks.erase(peer);
    std::vector<std::uint64_t> affected;
    for (const auto& [handle, call] : calls) {
        const bool waits = call.phase == call_phase::inFlight || call.phase == call_phase::awaitingStatus;
        if (waits && call.attempt.target == peer)
            affected.push_back(handle);
    }
    for (const auto handle : affected) {
        auto& call = calls.at(handle);
        // The attempt was sent over an earlier link, so the closing of this one does not show that it was not executed.
        if (call.phase == call_phase::awaitingStatus)
            continue;
        if (!opened) {
            endAttempt(call, call_outcome::failed, 0);
            attemptFailed(call,
                { refusal_reason::connectionLost, execution_state::notExecuted, duration::zero(),
                    "the serving node could not be reached" },
                false);
        } else if (call.context.idempotent) {
            endAttempt(call, call_outcome::failed, call.attempt.grantedExtraAttempts);
            attemptFailed(call,
                { refusal_reason::connectionLost, execution_state::unknown, duration::zero(),
                    "the connection to the serving node broke" },
                false);
        } else {
            queryAttemptStatus(call);
        }
    }
}

/// Queries the serving node for the status of a non-idempotent attempt, which may only be retried if the node has never
/// seen it.
void node::state::queryAttemptStatus(outgoing_call& call)
{
    call.phase = call_phase::awaitingStatus;
    setPhaseTimer(call, std::min(call.deadline, now + options.attemptStatusTimeout));
    deliver(call.attempt.target, attempt_query { call.attempt.id, call.attempt.targetRun });
}

void node::state::onAttemptStatus(const attempt_status& status, node_id from)
{
    auto* call = findCall(status.attempt, from);
    if (!call || call->phase != call_phase::awaitingStatus)
        return;
    if (status.fate == attempt_fate::running) {
        // The serving node will send its reply over the new link.
        call->phase = call_phase::inFlight;
        return;
    }
    const auto executionState
        = status.fate == attempt_fate::neverSeen ? execution_state::notExecuted : execution_state::unknown;
    endAttempt(*call, call_outcome::failed,
        executionState == execution_state::notExecuted ? 0 : call->attempt.grantedExtraAttempts);
    attemptFailed(*call,
        { refusal_reason::connectionLost, executionState, duration::zero(),
            "the connection to the serving node broke" },
        false);
}

void node::state::cancelAttempt(const outgoing_call& call)
{
    deliver(call.attempt.target, call_cancel { call.attempt.id });
}

} // namespace limpet
