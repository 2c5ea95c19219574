// Calls to the local backend server: admission control and execution.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Weights of one call in the moving averages of latency and failure rate.
    constexpr double latencyWeight = 0.1;
    constexpr double failureWeight = 0.05;
    // Failure of a call whose nested call failed: another backend server often makes the same nested calls.
    constexpr double failureBelow = 0.5;
    // Slots assumed until the first heartbeat if no other node has reported any for this service.
    constexpr unsigned defaultSlots = 48;
    // A call is silent after this multiple of the mean latency.
    constexpr double silentLatencies = 6;
    constexpr duration minSilence = std::chrono::milliseconds(250);

    /// Returns the keys of the calls that arrived over the link.
    template <typename Call>
    std::vector<serving_key> keysOfLink(const std::map<serving_key, Call>& callsByKey, std::uint64_t link)
    {
        std::vector<serving_key> keys;
        for (auto each = callsByKey.lower_bound({ link, 0 }); each != callsByKey.end() && each->first.link == link;
             ++each)
            keys.push_back(each->first);
        return keys;
    }

    request_id admissionId(std::uint64_t serving) { return { 0, serving }; }

    admission_request makeAdmissionRequest(std::uint64_t servingId, const serving_call& call, duration remaining)
    {
        admission_request request;
        request.id = admissionId(servingId);
        request.context.team = call.content.team;
        request.context.importance = call.content.importance;
        request.context.remaining = remaining;
        // Calls of nearly complete trees come first among those of the same importance.
        request.context.depth = call.content.finished_calls;
        return request;
    }

} // namespace

endpoint_load node::state::ownLoad() const
{
    return { static_cast<unsigned>(admissionControl.inFlight()), static_cast<unsigned>(admissionControl.queued()),
        pacedLimit(), duration(std::llround(latency)), std::max(failureRate, silentFraction),
        arrivals.lastPerSecond() };
}

/// Whether a running call has waited for its response for longer than the latency of the service explains. A backend
/// server that has no room for a request may never respond to it.
bool node::state::isSilent(const serving_call& call, time_point now) const
{
    return call.started && call.generation == backend.generation && latency > 0
        && now - call.startedAt > std::max(minSilence, duration(std::llround(silentLatencies * latency)));
}

/// Returns the silent fraction of the running calls.
double node::state::measureSilence(time_point now) const
{
    if (admissionControl.inFlight() == 0)
        return 0;
    const auto silent
        = std::count_if(serving.begin(), serving.end(), [&](const auto& each) { return isSilent(each.second, now); });
    return static_cast<double>(silent) / static_cast<double>(admissionControl.inFlight());
}

/// Returns why the call cannot be served, or an empty text.
std::string_view node::state::reasonToRefuse(
    const wire::call_request_data& call, duration remaining, time_point now) const
{
    if (!canServe(now) || !acceptsRequests(now) || call.service != self.service)
        return "no-backend-server";
    if (remaining <= duration(0))
        return "deadline-exceeded";
    if (heldBytes + call.body.size() > options.tuning.maxHeldBytes)
        return "memory";
    return {};
}

/// Accepts a call for the local backend server. Its times count from before its delay.
void node::state::serve(received_call received, time_point now, actions& out)
{
    const auto& call = received.content;
    const serving_key key { received.link, call.id };
    if (servesOrAsks(key)) {
        // Any reply would be taken for the outcome of the call that is in progress.
        log(out, "call_ignored", { { "id", call.request_id }, { "reason", "duplicate" } });
        return;
    }
    const auto remaining = boundedTime(call.remaining_us) - received.delay;
    const auto reason = reasonToRefuse(call, remaining, now);
    if (reason.empty() && received.mayBeStale) {
        askCaller(std::move(received), now, out);
        return;
    }
    arrivals.add(now);
    if (!reason.empty()) {
        log(out, "call_refused",
            { { "id", call.request_id }, { "reason", std::string(reason) }, { "wanted", call.service },
                { "backend", backend.id }, { "reachable", backend.reachable ? "1" : "0" },
                { "leaving", backend.draining ? "1" : "0" }, { "delay_ms", milliseconds(received.delay) },
                { "held_bytes", std::to_string(heldBytes) } });
        sendFailure(key, failure_kind::notExecuted, duration(0), now, out);
        return;
    }
    keepServing(std::move(received), remaining, now, out);
}

void node::state::keepServing(received_call received, duration remaining, time_point now, actions& out)
{
    const auto servingId = nextServingId++;
    serving_call kept;
    kept.link = received.link;
    kept.id = received.content.id;
    kept.arrived = now;
    kept.deadline = now + remaining;
    kept.bodyBytes = received.content.body.size();
    heldBytes += kept.bodyBytes;
    kept.content = std::move(received.content);
    kept.content.remaining_us = remaining.count();
    // After its target latency, a call may wait until its deadline.
    const auto queueTime = boundedTime(kept.content.queue_us) - received.delay;
    kept.content.queue_us = (queueTime > duration(0) ? queueTime : remaining).count();
    servingDeadlines.emplace(kept.deadline, servingId);
    servingByKey[{ kept.link, kept.id }] = servingId;
    serving.emplace(servingId, std::move(kept));
    offer(servingId, now, out);
}

/// Submits a call that has not started to admission control.
void node::state::offer(std::uint64_t servingId, time_point now, actions& out)
{
    const auto& call = serving.at(servingId);
    // The calls that its parent makes one after the other share the time that is left for all of them.
    const auto shared = static_cast<double>(call.content.remaining_us) / std::max(call.content.remaining_calls, 1.0F);
    const auto queueTime = std::min(duration(call.content.queue_us), duration(std::llround(shared)));
    auto decision
        = admissionControl.offer(makeAdmissionRequest(servingId, call, queueTime - (now - call.arrived)), now);
    if (decision.verdict == admission_verdict::run)
        startServing(servingId, now, out);
    if (decision.verdict == admission_verdict::refused)
        refuseServing(servingId, decision.reason, decision.retryAfter, now, out);
    applyAdmission(decision.actions, now, out);
}

void node::state::startServing(std::uint64_t servingId, time_point now, actions& out)
{
    auto& call = serving.at(servingId);
    call.started = true;
    call.startedAt = now;
    call.generation = backend.generation;
    run_on_backend run;
    run.attempt = servingId;
    run.backendId = backend.id;
    run.requestId = call.content.request_id;
    run.host = call.content.host;
    run.team = call.content.team;
    run.callerService = call.content.caller_service;
    run.content.method = call.content.method;
    run.content.path = call.content.path;
    run.content.headers = unpackHeaders(std::move(call.content.headers));
    run.content.body = makeBytes(std::move(call.content.body));
    run.remaining = call.deadline - now;
    tree.executionStarted(servingId, run.requestId, call.deadline,
        { call.content.root_rank, call.content.root_route_rank, call.content.finished_calls, call.content.retried });
    run.idempotent = call.content.idempotent;
    run.resent = call.content.resent;
    out.emplace_back(std::move(run));
}

void node::state::applyAdmission(const admission_actions& decided, time_point now, actions& out)
{
    for (const auto& id : decided.start)
        startServing(id.low, now, out);
    for (const auto& each : decided.refused)
        refuseServing(each.id.low, each.reason, each.retryAfter, now, out);
}

serving_call node::state::removeServing(std::uint64_t servingId)
{
    const auto found = serving.find(servingId);
    auto removed = std::move(found->second);
    serving.erase(found);
    servingByKey.erase({ removed.link, removed.id });
    servingDeadlines.erase({ removed.deadline, servingId });
    heldBytes -= removed.bodyBytes;
    return removed;
}

void node::state::refuseServing(
    std::uint64_t servingId, refusal_reason reason, duration retryAfter, time_point now, actions& out)
{
    const auto& call = serving.at(servingId);
    const serving_key key { call.link, call.id };
    log(out, "call_refused",
        { { "id", call.content.request_id }, { "reason", std::string(name(reason)) },
            { "importance", std::to_string(call.content.importance) },
            { "queue_ms", milliseconds(duration(call.content.queue_us)) },
            { "running", std::to_string(admissionControl.inFlight()) },
            { "queued", std::to_string(admissionControl.queued()) },
            { "limit", std::to_string(admissionControl.limit()) },
            { "latency_ms", milliseconds(duration(std::llround(latency))) } });
    removeServing(servingId);
    sendFailure(key, failure_kind::notExecuted, retryAfter, now, out);
}

void node::state::sendFailure(
    const serving_key& key, failure_kind kind, duration retryAfter, time_point now, actions& out)
{
    if (key.link == localLink) {
        attemptFailed(key.id, kind, retryAfter, now, out);
        return;
    }
    wire::frame_data frame;
    frame.failure = std::make_unique<wire::call_failure_data>();
    frame.failure->id = key.id;
    frame.failure->kind = static_cast<std::uint8_t>(kind);
    frame.failure->retry_after_us = retryAfter.count();
    frame.failure->load = std::make_unique<wire::load_report_data>(packLoad(ownLoad()));
    replyOver(key.link, std::move(frame), now, out);
}

/// failure: 0 for a success, up to 1.
void node::state::recordOutcome(double failure, duration elapsed)
{
    failureRate += failureWeight * (failure - failureRate);
    if (failure > 0)
        return;
    const auto sample = static_cast<double>(elapsed.count());
    latency += latency == 0 ? sample : latencyWeight * (sample - latency);
}

void node::state::handleBackendResult(backend_result result, time_point now, actions& out)
{
    const auto found = serving.find(result.attempt);
    if (found == serving.end())
        return;
    const auto& call = found->second;
    const serving_key key { call.link, call.id };
    const auto elapsed = now - call.startedAt;
    const bool current = call.generation == backend.generation;
    const bool failed = !result.outcome || result.outcome->status >= firstServerError;
    const bool failedBelow = failed && options.treeAware && tree.failedBelow(result.attempt);
    if (current)
        recordOutcome(failedBelow ? failureBelow : failed ? 1 : 0, elapsed);
    tree.executionEnded(result.attempt, !failed);
    if (!result.outcome)
        log(out, "call_failed",
            { { "id", call.content.request_id }, { "kind", std::to_string(static_cast<int>(result.outcome.error())) },
                { "backend", backend.id }, { "ms", milliseconds(elapsed) } });
    removeServing(result.attempt);
    if (result.outcome && key.link == localLink)
        attemptAnswered(key.id, std::move(*result.outcome), failedBelow, now, out);
    else if (result.outcome) {
        wire::frame_data frame;
        frame.answer = std::make_unique<wire::call_answer_data>();
        frame.answer->id = key.id;
        frame.answer->status = static_cast<std::uint16_t>(result.outcome->status);
        frame.answer->headers = packHeaders(result.outcome->headers);
        if (result.outcome->body)
            frame.answer->body = *result.outcome->body;
        frame.answer->failed_below = failedBelow;
        frame.answer->load = std::make_unique<wire::load_report_data>(packLoad(ownLoad()));
        replyOver(key.link, std::move(frame), now, out);
    } else
        sendFailure(key, result.outcome.error(), duration(0), now, out);
    if (current)
        applyAdmission(admissionControl.finish(admissionId(result.attempt),
                           failed ? call_outcome::failed : call_outcome::success, elapsed, now),
            now, out);
}

/// reason: why its caller no longer waits, for the log.
void node::state::cancelServing(const serving_key& key, std::string_view reason, time_point now, actions& out)
{
    const auto found = servingByKey.find(key);
    if (found == servingByKey.end())
        return;
    const auto servingId = found->second;
    const auto call = removeServing(servingId);
    if (!call.started) {
        admissionControl.cancel(admissionId(servingId));
        return;
    }
    log(out, "call_cancelled",
        { { "id", call.content.request_id }, { "reason", std::string(reason) }, { "backend", backend.id },
            { "ms", milliseconds(now - call.startedAt) } });
    endExecution(servingId, call, now, out);
}

/// Ends the execution of a cancelled call. Its nested calls in flight end when the backend server closes their
/// connections: as long as it does not, it may still use their responses.
void node::state::endExecution(std::uint64_t servingId, const serving_call& call, time_point now, actions& out)
{
    out.emplace_back(cancel_on_backend { servingId });
    // A backend server may finish a non-idempotent request although its connection is closed.
    if (call.content.idempotent)
        tree.executionAbandoned(servingId, now);
    else
        tree.executionEnded(servingId, false);
    if (call.generation != backend.generation)
        return;
    const auto elapsed = now - call.startedAt;
    const bool overdue = now >= call.deadline || isSilent(call, now);
    if (overdue)
        recordOutcome(1, elapsed);
    applyAdmission(admissionControl.finish(
                       admissionId(servingId), overdue ? call_outcome::timeout : call_outcome::cancelled, elapsed, now),
        now, out);
}

/// Cancels calls whose callers have given up by now. Their own cancel may not arrive: the link may be cut, or the
/// calling node may have stopped.
void node::state::cancelOverdueServing(time_point now, actions& out)
{
    while (!servingDeadlines.empty() && servingDeadlines.begin()->first + cancelGrace <= now) {
        const auto& call = serving.at(servingDeadlines.begin()->second);
        cancelServing({ call.link, call.id }, "deadline", now, out);
    }
}

void node::state::cancelLinkServing(std::uint64_t link, time_point now, actions& out)
{
    for (const auto& key : keysOfLink(unconfirmedCalls, link))
        endAsking(key, "link-closed", now, out);
    // The end of a running call would start one of those that wait.
    const auto keys = keysOfLink(servingByKey, link);
    for (const bool started : { false, true }) {
        for (const auto& key : keys) {
            const auto found = servingByKey.find(key);
            if (found != servingByKey.end() && serving.at(found->second).started == started)
                cancelServing(key, "link-closed", now, out);
        }
    }
    for (const auto& key : keysOfLink(heldCalls, link))
        refuseHeld(key, now, out);
}

/// Refuses all queued calls; running calls continue.
void node::state::refuseQueued(refusal_reason reason, time_point now, actions& out)
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [servingId, call] : serving) {
        if (!call.started)
            waiting.push_back(servingId);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto servingId : waiting)
        refuseWaiting(servingId, reason, now, out);
}

/// Refuses a call that has not started, and takes it out of the queue.
void node::state::refuseWaiting(std::uint64_t servingId, refusal_reason reason, time_point now, actions& out)
{
    admissionControl.cancel(admissionId(servingId));
    refuseServing(servingId, reason, duration(0), now, out);
}

/// Returns the slots assumed while the local backend server has not reported them: the least of its service.
unsigned node::state::assumedSlots() const
{
    unsigned least = 0;
    for (const auto& [name, peer] : peers) {
        if (peer.service == self.service && peer.slots > 0)
            least = least == 0 ? peer.slots : std::min(least, peer.slots);
    }
    return least == 0 ? defaultSlots : least;
}

/// Starts with an empty queue and a limit for that many slots; 0: unknown.
void node::state::resetAdmission(unsigned slots, time_point now)
{
    const double usable = options.usableSlotFraction * (slots == 0 ? assumedSlots() : slots);
    admission_options admissionOptions;
    admissionOptions.limit = slot_limit(static_cast<unsigned>(std::max(1.0, std::floor(usable))));
    admissionControl = admission(admissionOptions);
    admissionControl.setPace(coldPace(), now);
}

/// Applies a changed number of slots. Running calls count against the new limit; those beyond it are not offered, since
/// admission control would queue and start them a second time.
void node::state::resizeAdmission(unsigned slots, time_point now, actions& out)
{
    resetAdmission(slots, now);
    std::vector<std::uint64_t> waiting;
    for (const auto& [servingId, call] : serving) {
        if (!call.started)
            waiting.push_back(servingId);
        else if (call.generation == backend.generation && admissionControl.inFlight() < admissionControl.limit())
            admissionControl.offer(
                makeAdmissionRequest(servingId, call, std::max(call.deadline - now, duration(1))), now);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto servingId : waiting)
        offer(servingId, now, out);
}

} // namespace limpet::mesh
