// Cold start of the local backend server: until it is warm, its calls are started at the pace that it bears. Every call
// to it passes this node, so that the pace needs no agreement with other nodes.

#include "state.h"
#include <cmath>

namespace limpet::mesh {
namespace {

    // Fraction of the allowed excess of a second that is used as a burst: calls that were started at different times
    // may arrive in the same second.
    constexpr double usedExcess = 0.5;
    // Between two checks of whether a backend server is still cold.
    constexpr duration warmthCheckInterval = std::chrono::milliseconds(500);

} // namespace

/// Looks up the bounds on a cold backend server after the configuration or the service has changed.
void node::state::updateColdBounds()
{
    const auto* found = config ? config->findService(self.service) : nullptr;
    coldBounds = found && found->coldCallsPerSecond > 0 ? found : nullptr;
}

/// Handles how much longer the backend server says that its cold start lasts.
void node::state::coldReported(duration remaining, time_point now, actions& out)
{
    self.coldUntil = now + remaining;
    lastWarmthReport = now;
    nextWarmthCheckAt = time_point::max();
    updatePace(now, out);
}

/// The backend server may have started again or turned cold, and has not said so: it counts as cold until it reports.
/// reason: for the log.
void node::state::assumeCold(std::string_view reason, time_point now, actions& out)
{
    if (!coldBounds || backend.id.empty())
        return;
    if (self.coldUntil <= now)
        log(out, "cold_assumed", { { "backend", backend.id }, { "reason", std::string(reason) } });
    self.coldUntil = std::max(self.coldUntil, now + coldBounds->coldTime);
    if (nextWarmthCheckAt == time_point::max())
        nextWarmthCheckAt = now;
    updatePace(now, out);
}

/// Asks a backend server that is silent, or assumed to be cold, whether it is.
void node::state::checkWarmth(time_point now, actions& out)
{
    if (now < nextWarmthTimer())
        return;
    nextWarmthCheckAt = now + warmthCheckInterval;
    out.emplace_back(check_backend { coldBounds->healthPath });
}

/// Handles the response of a backend server that was asked whether it is cold. One that is silent may start again at
/// any moment.
void node::state::warmthChecked(const backend_check_result& checked, time_point now, actions& out)
{
    if (nextWarmthCheckAt == time_point::max())
        return;
    if (checked.id != backend.id)
        assumeCold("silent", now, out);
    else if (checked.coldRemaining)
        coldReported(*checked.coldRemaining, now, out);
}

/// Returns when the backend server has to be asked next whether it is cold.
time_point node::state::nextWarmthTimer() const
{
    if (!coldBounds || coldBounds->healthPath.empty() || backend.id.empty() || backend.draining || !backend.reachable)
        return time_point::max();
    const auto overdueAt = lastWarmthReport + options.tuning.heartbeatTimeout;
    return nextWarmthCheckAt == time_point::max() ? overdueAt : nextWarmthCheckAt;
}

/// Applies the pace for a cold backend server, or ends it.
void node::state::updatePace(time_point now, actions& out)
{
    const bool cold = coldBounds && self.coldUntil > now;
    if (!cold && !paced)
        return;
    if (cold != paced) {
        log(out, cold ? "backend_cold" : "backend_warm",
            { { "backend", backend.id }, { "cold_ms", milliseconds(cold ? self.coldUntil - now : duration(0)) },
                { "queued", std::to_string(admissionControl.queued()) } });
        urgentStatusDue = true;
    }
    paced = cold;
    admissionControl.setPace(coldPace(), now);
    applyAdmission(admissionControl.expire(now), now, out);
}

/// Returns the pace for the local backend server if it is cold.
std::optional<start_pace> node::state::coldPace() const
{
    if (!paced || !coldBounds)
        return std::nullopt;
    const double excess
        = coldBounds->coldCallsPerSecond * (options.tuning.coldOverage - 1) + options.tuning.coldReserve;
    return start_pace { coldBounds->coldCallsPerSecond, std::max(1.0, excess * usedExcess) };
}

/// Returns the concurrency that a cold backend server sustains, which other nodes see as its limit.
unsigned node::state::pacedLimit() const
{
    if (!paced || !coldBounds)
        return admissionControl.limit();
    const double seconds = std::chrono::duration<double>(
        latency > 0 ? duration(std::llround(latency)) : options.loadBalancing.defaultLatency)
                               .count();
    const auto sustained = static_cast<unsigned>(std::ceil(coldBounds->coldCallsPerSecond * seconds));
    return std::clamp(sustained, 1U, admissionControl.limit());
}

} // namespace limpet::mesh
