#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

namespace limpet {

namespace {

    /// Weight of one sample in the mean latency.
    constexpr double latencyWeight = 0.05;
    /// Step of the quantile estimates. They follow a tenfold change within about 200 samples.
    constexpr double quantileStep = 0.05;
    constexpr duration longestRetryAfter = std::chrono::seconds(5);

    void followQuantile(double& estimate, double quantile, double sample)
    {
        if (estimate == 0)
            estimate = sample * quantile;
        else
            estimate *= sample < estimate ? 1 - quantileStep * (1 - quantile) : 1 + quantileStep * quantile;
    }

} // namespace

bool admission::request_order::operator()(const queued_request& left, const queued_request& right) const
{
    if (left.depth != right.depth)
        return left.depth > right.depth;
    if (left.urgency != right.urgency)
        return left.urgency < right.urgency;
    return left.arrival < right.arrival;
}

admission::admission(const admission_options& options)
    : m_options(options)
{
}

unsigned admission::limit() const { return allowed(m_options.limit); }

std::size_t admission::inFlight() const { return m_running.size(); }

std::size_t admission::queued() const { return m_queued.size(); }

void admission::announceSlots(unsigned slots) { limpet::announceSlots(m_options.limit, slots); }

void admission::drain() { m_draining = true; }

bool admission::draining() const { return m_draining; }

bool admission::idle() const { return m_queued.empty() && m_running.empty(); }

std::size_t admission::queueCapacity() const
{
    const auto wanted = static_cast<std::size_t>(m_options.queueCapacityFactor * limit());
    return std::min<std::size_t>(std::max<std::size_t>(wanted, m_options.minQueueCapacity), m_options.maxQueueCapacity);
}

duration admission::expectedWait(std::string_view team, priority importance) const
{
    if (m_running.size() < limit())
        return duration(0);
    std::size_t ahead = 1;
    for (std::size_t above = importance + std::size_t { 1 }; above < m_lanes.size(); ++above)
        ahead += m_lanes[above].size;
    const auto& lane = m_lanes[importance];
    const auto* own = findLane(team, importance);
    const std::size_t turns = (own != nullptr ? own->requests.size() : 0) + 1;
    ahead += std::min(lane.size, turns * lane.teams.size());
    return duration(std::llround(static_cast<double>(ahead) * m_meanLatency / limit()));
}

/// The estimates follow recent requests and may be too high after a slow period. While nothing runs, no new ones can
/// be learned, so that nothing is too late then.
bool admission::tooLate(time_point deadline, double needed, time_point now) const
{
    return !m_running.empty() && now + duration(std::llround(needed)) > deadline;
}

/// Whether to give up a queued request whose turn has come. While others wait, one that is more likely to miss its
/// deadline than not would waste the place of one that can still meet it.
bool admission::hopeless(const queued_request& request, time_point now) const
{
    if (request.deadline <= now)
        return true;
    return m_options.order == queue_order::priorityFair
        && tooLate(request.deadline, m_queued.empty() ? m_quickLatency : m_typicalLatency, now);
}

duration admission::retryAfter(priority importance) const
{
    const double ahead = static_cast<double>(m_queued.size() + 1) * m_meanLatency / limit();
    const double scaled = ahead * (1 + (highestPriority - importance) / 3.0);
    return std::clamp(duration(std::llround(scaled)), duration(std::chrono::milliseconds(10)), longestRetryAfter);
}

admission_decision admission::offer(const admission_request& request, time_point now)
{
    admission_decision decision;
    const auto& context = request.context;
    const auto importance = std::min(context.importance, highestPriority);
    if (m_draining) {
        decision.reason = refusal_reason::draining;
        return decision;
    }
    if (m_queued.contains(request.id) || m_running.contains(request.id)) {
        decision.reason = refusal_reason::internal;
        return decision;
    }
    dropExpired(decision.actions, now);
    queued_request newcomer { request.id, context.team, importance, context.depth, now + context.remaining,
        now + context.remaining, m_arrivals++ };
    if (m_options.order == queue_order::fifo) {
        newcomer.importance = lowestPriority;
        newcomer.depth = 0;
        newcomer.urgency = time_point {};
    }
    if (context.remaining <= duration(0)) {
        decision.reason = refusal_reason::deadlineExceeded;
        return decision;
    }
    if (m_running.size() < limit() && m_queued.empty()) {
        if (tooLate(newcomer.deadline, m_quickLatency, now) && m_options.order == queue_order::priorityFair) {
            decision.reason = refusal_reason::deadlineTooShort;
            return decision;
        }
        start(newcomer, now);
        decision.verdict = admission_verdict::run;
        return decision;
    }
    const double wait = static_cast<double>(expectedWait(context.team, importance).count());
    const bool late
        = m_options.order == queue_order::priorityFair && tooLate(newcomer.deadline, wait + m_typicalLatency, now);
    if (late || !makeRoom(newcomer, decision.actions, now)) {
        countRefused(context.team, newcomer.importance, now);
        // A deadline that even an idle backend server would miss is not a matter of load.
        const bool hopelessWhenIdle = late && tooLate(newcomer.deadline, m_typicalLatency, now);
        decision.reason = hopelessWhenIdle ? refusal_reason::deadlineTooShort : refusal_reason::overloaded;
        decision.retryAfter = retryAfter(importance);
        return decision;
    }
    insert(std::move(newcomer));
    decision.verdict = admission_verdict::queued;
    return decision;
}

admission_actions admission::finish(const request_id& id, call_outcome outcome, duration latency, time_point now)
{
    admission_actions actions;
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return actions;
    const auto ended = std::move(found->second);
    const auto inFlight = static_cast<unsigned>(m_running.size());
    m_running.erase(found);
    if (outcome == call_outcome::shed) {
        countRefused(ended.team, ended.importance, now);
        auto& total = m_totals[ended.importance];
        total.started = std::max(0.0, total.started - 1);
        auto& team = m_counts[ended.importance][ended.team];
        team.started = std::max(0.0, team.started - 1);
    }
    learnLatency(outcome, latency);
    record(m_options.limit, { outcome, latency, inFlight }, now);
    fill(actions, now);
    return actions;
}

bool admission::cancel(const request_id& id)
{
    const auto found = m_queued.find(id);
    if (found == m_queued.end())
        return false;
    const auto request = found->second;
    auto& lane = laneOf(request.team, request.importance);
    take(lane, request.importance, lane.requests.find(request));
    return true;
}

admission_actions admission::expire(time_point now)
{
    admission_actions actions;
    dropExpired(actions, now);
    fill(actions, now);
    return actions;
}

std::optional<time_point> admission::nextTimer() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void admission::start(const queued_request& request, time_point now)
{
    m_running.emplace(request.id, running_request { request.team, request.importance });
    countStarted(request.team, request.importance, now);
}

void admission::fill(admission_actions& actions, time_point now)
{
    while (!m_queued.empty() && m_running.size() < limit()) {
        const auto request = takeNext();
        if (hopeless(request, now)) {
            countRefused(request.team, request.importance, now);
            actions.refused.push_back({ request.id, refusal_reason::deadlineExceeded, duration(0) });
            continue;
        }
        start(request, now);
        actions.start.push_back(request.id);
    }
}

void admission::dropExpired(admission_actions& actions, time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        const auto request = m_queued.at(id);
        cancel(id);
        countRefused(request.team, request.importance, now);
        actions.refused.push_back({ id, refusal_reason::deadlineExceeded, duration(0) });
    }
}

void admission::learnLatency(call_outcome outcome, duration latency)
{
    if (outcome != call_outcome::success && outcome != call_outcome::timeout)
        return;
    const auto sample = static_cast<double>(std::max(latency, duration(1)).count());
    m_meanLatency += m_meanLatency == 0 ? sample : latencyWeight * (sample - m_meanLatency);
    // The latency of a timeout is only known to be larger. It has to count where it is above the estimate: learned from
    // successes alone, the estimates stay low in a slow period and let calls start that cannot end in time.
    if (outcome == call_outcome::timeout && sample < m_typicalLatency)
        return;
    followQuantile(m_quickLatency, 0.25, sample);
    followQuantile(m_typicalLatency, 0.5, sample);
}

} // namespace limpet
