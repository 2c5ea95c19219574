// The local backend server: admission control, execution of calls, heartbeats and drain.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Weights of one call in the moving averages of latency and failure rate.
    constexpr double latencyWeight = 0.1;
    constexpr double failureWeight = 0.05;
    // Slots assumed until the first heartbeat, which is at most one heartbeat interval after a restart of the node. A
    // smaller backend server refuses the excess itself and reports that it was not executed.
    constexpr unsigned defaultSlots = 48;
    constexpr int firstServerError = 500;

    request_id admissionId(std::uint64_t serving) { return { 0, serving }; }

    admission makeAdmission(unsigned slots, double usableFraction)
    {
        admission_options options;
        const auto limit = static_cast<unsigned>(std::floor((slots == 0 ? defaultSlots : slots) * usableFraction));
        options.limit = fixed_limit { std::max(limit, 1U) };
        return admission(options);
    }

    admission_request makeAdmissionRequest(std::uint64_t servingId, const serving_call& call, duration remaining)
    {
        admission_request request;
        request.id = admissionId(servingId);
        request.context.team = call.content.team;
        request.context.importance = call.content.importance;
        request.context.remaining = remaining;
        return request;
    }

} // namespace

/// Returns the time from which calls that have not started are refused.
time_point node::state::servingDeadline() const
{
    return backend.draining ? backend.drainStartedAt + options.drainTime - options.drainMargin : time_point::max();
}

bool node::state::canServe(time_point now) const
{
    return !backend.id.empty() && backend.reachable && now < servingDeadline();
}

endpoint_load node::state::ownLoad() const
{
    return { static_cast<unsigned>(admissionControl.inFlight()), static_cast<unsigned>(admissionControl.queued()),
        admissionControl.limit(), duration(std::llround(latency)), failureRate };
}

void node::state::serve(std::uint64_t link, wire::call_request_data call, time_point now, actions& out)
{
    const serving_key key { link, call.id };
    if (!canServe(now) || !acceptsRequests(now) || call.service != self.service) {
        log(out, "call_refused",
            { { "id", call.request_id }, { "reason", "no-backend-server" }, { "wanted", call.service },
                { "backend", backend.id }, { "reachable", backend.reachable ? "1" : "0" },
                { "leaving", backend.draining ? "1" : "0" } });
        sendFailure(key, failure_kind::notExecuted, duration(0), now, out);
        return;
    }
    const auto servingId = nextServingId++;
    serving_call kept;
    kept.link = link;
    kept.id = call.id;
    kept.arrived = now;
    kept.deadline = now + duration(call.remaining_us);
    kept.content = std::move(call);
    serving.emplace(servingId, std::move(kept));
    servingByKey[key] = servingId;
    offer(servingId, now, out);
}

/// Submits a call that has not started to admission control.
void node::state::offer(std::uint64_t servingId, time_point now, actions& out)
{
    const auto& call = serving.at(servingId);
    const auto queueTime = duration(std::min(call.content.queue_us, call.content.remaining_us));
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
    run.idempotent = call.content.idempotent;
    out.emplace_back(std::move(run));
}

void node::state::applyAdmission(const admission_actions& decided, time_point now, actions& out)
{
    for (const auto& id : decided.start)
        startServing(id.low, now, out);
    for (const auto& each : decided.refused)
        refuseServing(each.id.low, each.reason, each.retryAfter, now, out);
}

void node::state::removeServing(std::uint64_t servingId)
{
    const auto found = serving.find(servingId);
    servingByKey.erase({ found->second.link, found->second.id });
    serving.erase(found);
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
    out.emplace_back(reply_frame { key.link, encodeFrame(frame) });
}

void node::state::recordOutcome(bool failed, duration elapsed)
{
    failureRate += failureWeight * ((failed ? 1.0 : 0.0) - failureRate);
    if (failed)
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
    if (current)
        recordOutcome(failed, elapsed);
    if (!result.outcome)
        log(out, "call_failed",
            { { "id", call.content.request_id }, { "kind", std::to_string(static_cast<int>(result.outcome.error())) },
                { "backend", backend.id }, { "ms", milliseconds(elapsed) } });
    removeServing(result.attempt);
    if (result.outcome && key.link == localLink)
        attemptAnswered(key.id, std::move(*result.outcome), now, out);
    else if (result.outcome) {
        wire::frame_data frame;
        frame.answer = std::make_unique<wire::call_answer_data>();
        frame.answer->id = key.id;
        frame.answer->status = static_cast<std::uint16_t>(result.outcome->status);
        frame.answer->headers = packHeaders(result.outcome->headers);
        if (result.outcome->body)
            frame.answer->body = *result.outcome->body;
        frame.answer->load = std::make_unique<wire::load_report_data>(packLoad(ownLoad()));
        out.emplace_back(reply_frame { key.link, encodeFrame(frame) });
    } else
        sendFailure(key, result.outcome.error(), duration(0), now, out);
    if (current)
        applyAdmission(admissionControl.finish(admissionId(result.attempt),
                           failed ? call_outcome::failed : call_outcome::success, elapsed, now),
            now, out);
}

void node::state::cancelServing(const serving_key& key, time_point now, actions& out)
{
    const auto found = servingByKey.find(key);
    if (found == servingByKey.end())
        return;
    const auto servingId = found->second;
    const auto& call = serving.at(servingId);
    const bool started = call.started;
    const bool current = call.generation == backend.generation;
    const auto elapsed = now - call.startedAt;
    const bool overdue = started && now >= call.deadline;
    removeServing(servingId);
    if (!started) {
        admissionControl.cancel(admissionId(servingId));
        return;
    }
    out.emplace_back(cancel_on_backend { servingId });
    if (!current)
        return;
    if (overdue)
        recordOutcome(true, elapsed);
    applyAdmission(admissionControl.finish(
                       admissionId(servingId), overdue ? call_outcome::timeout : call_outcome::cancelled, elapsed, now),
        now, out);
}

void node::state::cancelLinkServing(std::uint64_t link, time_point now, actions& out)
{
    std::vector<serving_key> keys;
    for (auto each = servingByKey.lower_bound({ link, 0 }); each != servingByKey.end() && each->first.link == link;
         ++each)
        keys.push_back(each->first);
    for (const auto& key : keys)
        cancelServing(key, now, out);
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
    for (const auto servingId : waiting) {
        admissionControl.cancel(admissionId(servingId));
        refuseServing(servingId, reason, duration(0), now, out);
    }
}

/// Heartbeats are ordered by start time, then by sequence number. The start time of a backend server that was
/// discovered by a health check is not known yet.
void node::state::handleHeartbeat(const backend_heartbeat& report, time_point now, actions& out)
{
    const bool same
        = report.id == backend.id && (report.startTimeMs == backend.startTimeMs || backend.startTimeMs == 0);
    const bool stale = same ? report.sequence <= backend.sequence : report.startTimeMs < backend.startTimeMs;
    if (stale) {
        log(out, "heartbeat_ignored",
            { { "backend", report.id }, { "born", std::to_string(report.startTimeMs) },
                { "sequence", std::to_string(report.sequence) }, { "known", backend.id },
                { "known_born", std::to_string(backend.startTimeMs) } });
        return;
    }
    if (!same) {
        considerCandidate(report, now, out);
        return;
    }
    if (self.slots != report.slots) {
        self.slots = report.slots;
        resizeAdmission(report.slots, now, out);
        urgentStatusDue = true;
    }
    backend.startTimeMs = report.startTimeMs;
    backend.sequence = report.sequence;
    backend.reachable = true;
    self.coldUntil = now + report.coldRemaining;
    if (report.draining && !backend.draining)
        startBackendDrain(now, out);
}

/// Handles a heartbeat of a backend server that this process has not used yet. It may be a delayed heartbeat of one
/// that has announced its drain to an earlier process of this node, so a health check must succeed first.
void node::state::considerCandidate(const backend_heartbeat& report, time_point now, actions& out)
{
    const bool known
        = candidate.report && candidate.report->id == report.id && candidate.report->startTimeMs == report.startTimeMs;
    if (known && report.sequence <= candidate.report->sequence)
        return;
    if (!known) {
        candidate.firstReportedAt = now;
        candidate.checks = 0;
        candidate.checkAt = now;
    }
    candidate.report = report;
    const bool trusted = now - candidate.firstReportedAt >= options.trustAfter;
    if (report.draining || trusted) {
        replaceBackend(report, now, out);
        return;
    }
    checkCandidate(now, out);
}

/// Checks the backend server that is not in use yet. At process start, this also discovers one without a heartbeat.
void node::state::checkCandidate(time_point now, actions& out)
{
    constexpr unsigned maxDiscoveryChecks = 10;
    if (now < candidate.checkAt || !config)
        return;
    const auto* serviceConfig = config->findService(candidate.report ? candidate.report->service : options.service);
    const bool wanted = candidate.report || (backend.id.empty() && candidate.checks < maxDiscoveryChecks);
    if (!wanted || !serviceConfig || serviceConfig->healthPath.empty()) {
        candidate.checkAt = time_point::max();
        return;
    }
    candidate.checkAt = time_point::max();
    ++candidate.checks;
    out.emplace_back(check_backend { serviceConfig->healthPath });
}

void node::state::handleCheckResult(const backend_check_result& checked, time_point now, actions& out)
{
    const bool matchesCandidate
        = candidate.report ? checked.id == candidate.report->id : backend.id.empty() && !checked.id.empty();
    if (checked.healthy && matchesCandidate) {
        backend_heartbeat report;
        report.id = checked.id;
        report.service = options.service;
        replaceBackend(candidate.report.value_or(report), now, out);
        return;
    }
    log(out, "backend_unconfirmed",
        { { "stated", candidate.report ? candidate.report->id : "" }, { "found", checked.id },
            { "healthy", checked.healthy ? "1" : "0" }, { "checks", std::to_string(candidate.checks) } });
    candidate.checkAt = now + options.healthCheckInterval;
}

void node::state::replaceBackend(const backend_heartbeat& report, time_point now, actions& out)
{
    log(out, "backend_joined",
        { { "backend", report.id }, { "service", report.service }, { "slots", std::to_string(report.slots) },
            { "born", std::to_string(report.startTimeMs) }, { "sequence", std::to_string(report.sequence) },
            { "before", backend.id } });
    refuseQueued(refusal_reason::noBackendServer, now, out);
    const auto generation = backend.generation + 1;
    backend = {};
    backend.id = report.id;
    backend.startTimeMs = report.startTimeMs;
    backend.sequence = report.sequence;
    backend.generation = generation;
    candidate = {};
    candidate.checkAt = time_point::max();
    self.backendId = report.id;
    self.service = report.service;
    self.slots = report.slots;
    self.coldUntil = now + report.coldRemaining;
    admissionControl = makeAdmission(report.slots, options.usableSlotFraction);
    latency = 0;
    failureRate = 0;
    urgentStatusDue = true;
    if (report.draining)
        startBackendDrain(now, out);
}

/// Applies a changed number of slots. Running calls count against the new limit; those beyond it are not offered, since
/// admission control would queue and start them a second time.
void node::state::resizeAdmission(unsigned slots, time_point now, actions& out)
{
    admissionControl = makeAdmission(slots, options.usableSlotFraction);
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

void node::state::startBackendDrain(time_point now, actions& out)
{
    backend.draining = true;
    backend.drainStartedAt = now;
    urgentStatusDue = true;
    log(out, "backend_leaving",
        { { "backend", backend.id }, { "running", std::to_string(admissionControl.inFlight()) },
            { "queued", std::to_string(admissionControl.queued()) } });
}

void node::state::handleDeregistration(const std::string& id, time_point now, actions& out)
{
    if (id == backend.id && !backend.draining)
        startBackendDrain(now, out);
    if (candidate.report && candidate.report->id == id) {
        candidate = {};
        candidate.checkAt = time_point::max();
    }
}

} // namespace limpet::mesh
