// The local backend server: heartbeats, discovery by health checks, replacement and drain.

#include "state.h"
#include <algorithm>

namespace limpet::mesh {

/// Returns the time from which calls that have not started are refused: their backend server drains, or this node would
/// end before they do.
time_point node::state::servingDeadline() const
{
    const auto drainEnd = backend.draining ? backend.drainStartedAt + options.tuning.drainTime - options.drainMargin
                                           : time_point::max();
    return std::min(drainEnd, lastStart(executionTimeAt(options.name)));
}

bool node::state::canServe(time_point now) const
{
    return !backend.id.empty() && backend.reachable && now < servingDeadline()
        && !isEvacuated(options.availabilityZone);
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
    coldReported(report.coldRemaining, now, out);
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
        report = candidate.report.value_or(report);
        report.coldRemaining = checked.coldRemaining.value_or(report.coldRemaining);
        replaceBackend(report, now, out);
        return;
    }
    warmthChecked(checked, now, out);
    if (!candidate.report && !backend.id.empty())
        return;
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
    updateColdBounds();
    self.slots = report.slots;
    resetAdmission(report.slots, now);
    coldReported(report.coldRemaining, now, out);
    latency = 0;
    failureRate = 0;
    silentFraction = 0;
    urgentStatusDue = true;
    if (report.draining)
        startBackendDrain(now, out);
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
