#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

namespace limpet {

namespace {

    /// Weight of one sample in the mean latency.
    constexpr double latencyWeight = 0.05;
    /// Step of the quantile estimates, which follow a tenfold change within about 200 samples.
    constexpr double quantileStep = 0.05;
    constexpr duration maxRetryAfter = std::chrono::seconds(5);

    void updateQuantile(double& estimate, double quantile, double sample)
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
    if (left.orderingDeadline != right.orderingDeadline)
        return left.orderingDeadline < right.orderingDeadline;
    return left.sequence < right.sequence;
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

void admission::setPace(const std::optional<start_pace>& pace, time_point now)
{
    if (!pace)
        m_pacer.reset();
    else if (!m_pacer)
        m_pacer.emplace(*pace, now);
    else
        m_pacer->setPace(*pace, now);
}

/// Whether the concurrency limit and the pace allow one more request to start.
bool admission::mayStart(time_point now) const
{
    return m_running.size() < limit() && (!m_pacer || m_pacer->nextStart() <= now);
}

/// Returns how long the pace alone holds up a request behind that many others.
duration admission::pacedWait(std::size_t ahead, time_point now) const
{
    if (!m_pacer)
        return duration(0);
    const std::chrono::duration<double> turns(static_cast<double>(ahead) / m_pacer->pace().perSecond);
    const auto first = std::max(m_pacer->nextStart() - now, duration(0));
    return first + std::chrono::duration_cast<duration>(turns);
}

/// Returns the number of queued requests that start before a new one of that team and priority.
std::size_t admission::countAhead(std::string_view team, priority importance) const
{
    std::size_t ahead = 0;
    for (std::size_t above = importance + std::size_t { 1 }; above < m_levels.size(); ++above)
        ahead += m_levels[above].size;
    const auto& waiting = m_levels[importance];
    const auto* teamQueue = findTeamQueue(team, importance);
    const std::size_t turns = (teamQueue != nullptr ? teamQueue->requests.size() : 0) + 1;
    return ahead + std::min(waiting.size, turns * waiting.teams.size());
}

duration admission::expectedWait(std::string_view team, priority importance) const
{
    if (m_running.size() < limit())
        return duration(0);
    const std::size_t turns = countAhead(team, importance) + 1;
    return duration(std::llround(static_cast<double>(turns) * m_meanLatency / limit()));
}

/// Whether a request that needs that many microseconds would end after its deadline. The estimates may be too high
/// after a slow period and are only corrected by requests that run, so nothing is refused on an estimate while none
/// runs.
bool admission::wouldMissDeadline(time_point deadline, double timeNeeded, time_point now) const
{
    return !m_running.empty() && now + duration(std::llround(timeNeeded)) > deadline;
}

/// Whether to refuse a queued request instead of starting it. While others wait, a request that will probably miss its
/// deadline would take the slot of one that can still meet it.
bool admission::shouldAbandon(const queued_request& request, time_point now) const
{
    if (request.deadline <= now)
        return true;
    return m_options.order == queue_order::priorityFair
        && wouldMissDeadline(request.deadline, m_queued.empty() ? m_lowerQuartileLatency : m_medianLatency, now);
}

duration admission::retryAfter(priority importance) const
{
    constexpr double microsecondsPerSecond = 1e6;
    const double turnTime
        = std::max(m_meanLatency / limit(), m_pacer ? microsecondsPerSecond / m_pacer->pace().perSecond : 0.0);
    const double queueTime = static_cast<double>(m_queued.size() + 1) * turnTime;
    // The lowest priority is told to wait four times as long as the highest.
    const double scaled = queueTime * (1 + (highestPriority - importance) / 3.0);
    return std::clamp(duration(std::llround(scaled)), duration(std::chrono::milliseconds(10)), maxRetryAfter);
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
    refuseExpired(decision.actions, now);
    queued_request incoming { request.id, context.team, importance, context.depth, now + context.remaining,
        now + context.remaining, m_nextSequence++ };
    if (m_options.order == queue_order::fifo) {
        incoming.importance = lowestPriority;
        incoming.depth = 0;
        incoming.orderingDeadline = time_point {};
    }
    if (context.remaining <= duration(0)) {
        decision.reason = refusal_reason::deadlineExceeded;
        return decision;
    }
    if (mayStart(now) && m_queued.empty()) {
        if (wouldMissDeadline(incoming.deadline, m_lowerQuartileLatency, now)
            && m_options.order == queue_order::priorityFair) {
            decision.reason = refusal_reason::deadlineTooShort;
            return decision;
        }
        start(incoming, now);
        decision.verdict = admission_verdict::run;
        return decision;
    }
    const double wait = static_cast<double>(expectedWait(context.team, importance).count());
    // The time that the pace takes is certain; all else is an estimate.
    const auto paced = pacedWait(countAhead(context.team, importance), now);
    const bool missesDeadline = m_options.order == queue_order::priorityFair
        && (now + paced > incoming.deadline
            || wouldMissDeadline(incoming.deadline, wait + m_medianLatency, now + paced));
    if (missesDeadline || !makeRoom(incoming, decision.actions, now)) {
        countRefused(context.team, incoming.importance, now);
        // If even an idle backend server would miss the deadline, overload is not the reported reason.
        const bool missesWhenIdle = missesDeadline && wouldMissDeadline(incoming.deadline, m_medianLatency, now);
        decision.reason = missesWhenIdle ? refusal_reason::deadlineTooShort : refusal_reason::overloaded;
        decision.retryAfter = retryAfter(importance);
        return decision;
    }
    insert(std::move(incoming));
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
        // It was counted as started, but the backend server refused it.
        countRefused(ended.team, ended.importance, now);
        auto& total = m_totals[ended.importance];
        total.started = std::max(0.0, total.started - 1);
        auto& team = m_counts[ended.importance][ended.team];
        team.started = std::max(0.0, team.started - 1);
    }
    updateLatencyEstimates(outcome, latency);
    record(m_options.limit, { outcome, latency, inFlight }, now);
    startQueued(actions, now);
    return actions;
}

bool admission::cancel(const request_id& id)
{
    const auto found = m_queued.find(id);
    if (found == m_queued.end())
        return false;
    const auto request = found->second;
    auto& queue = teamQueueOf(request.team, request.importance);
    removeQueued(queue, request.importance, queue.requests.find(request));
    return true;
}

admission_actions admission::expire(time_point now)
{
    admission_actions actions;
    refuseExpired(actions, now);
    startQueued(actions, now);
    return actions;
}

std::optional<time_point> admission::nextTimer() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    const auto firstDeadline = m_deadlines.begin()->first;
    if (!m_pacer || m_running.size() >= limit())
        return firstDeadline;
    return std::min(firstDeadline, m_pacer->nextStart());
}

void admission::start(const queued_request& request, time_point now)
{
    if (m_pacer)
        m_pacer->countStart(now);
    m_running.emplace(request.id, running_request { request.team, request.importance });
    countStarted(request.team, request.importance, now);
}

void admission::startQueued(admission_actions& actions, time_point now)
{
    while (!m_queued.empty() && mayStart(now)) {
        const auto request = dequeueNext();
        if (shouldAbandon(request, now)) {
            countRefused(request.team, request.importance, now);
            actions.refused.push_back({ request.id, refusal_reason::deadlineExceeded, duration(0) });
            continue;
        }
        start(request, now);
        actions.start.push_back(request.id);
    }
}

void admission::refuseExpired(admission_actions& actions, time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        const auto request = m_queued.at(id);
        cancel(id);
        countRefused(request.team, request.importance, now);
        actions.refused.push_back({ id, refusal_reason::deadlineExceeded, duration(0) });
    }
}

void admission::updateLatencyEstimates(call_outcome outcome, duration latency)
{
    if (outcome != call_outcome::success && outcome != call_outcome::timeout)
        return;
    const auto sample = static_cast<double>(std::max(latency, duration(1)).count());
    m_meanLatency += m_meanLatency == 0 ? sample : latencyWeight * (sample - m_meanLatency);
    // The measured latency of a timeout is a lower bound. It updates the quantiles only when it is above the median:
    // with successes alone the estimates stay low in a slow period, and calls that cannot end in time are started.
    if (outcome == call_outcome::timeout && sample < m_medianLatency)
        return;
    updateQuantile(m_lowerQuartileLatency, 0.25, sample);
    updateQuantile(m_medianLatency, 0.5, sample);
}

} // namespace limpet
