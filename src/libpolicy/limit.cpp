#include <algorithm>
#include <cmath>
#include <limits>
#include <limpetcroft/policy.h>
#include <utility>

namespace limpet {

namespace {

    /// Upper bound of the limit in multiples of the announced slots. The announced value may be too low or too high;
    /// ten times it still bounds the damage when the base latency was measured too high.
    constexpr double maxAnnouncedFactor = 10;
    /// Limit in multiples of the concurrency at which no queue forms. It is above 1 so that the backend server never
    /// idles between two requests, and low enough that no queue forms in the low phase (1.15 * 0.8 < 1).
    constexpr double headroom = 1.15;
    /// Limit of the low phase as a fraction of that of the high phase.
    constexpr double lowPhaseFactor = 0.8;
    /// The same for a deep low phase, used while the limit is far too high and a larger step is needed.
    constexpr double deepLowPhaseFactor = 0.6;
    /// Number of comparisons after a deep low phase without a deep queue until the next deep low phase.
    constexpr unsigned comparisonsBetweenDeepPhases = 10;
    /// Weight of one comparison in the limit. A comparison of about a hundred samples has an error of about 10%.
    constexpr double smoothing = 0.3;
    /// Elasticity is the measured rise of latency relative to the rise that a pure queue would cause: 0 without a
    /// queue, 1 with a queue in both phases. Below lowElasticity the limit may grow, above highElasticity it is far too
    /// high.
    constexpr double lowElasticity = 0.3;
    constexpr double highElasticity = 0.8;
    /// Growth after two comparisons without a sign of a queue. The effect of a smaller factor is hard to tell from
    /// noise; an overshoot is corrected by the comparison with the previous step.
    constexpr double growthFactor = 2;
    constexpr unsigned comparisonsBeforeGrowth = 2;
    /// Smallest relative difference of the numbers in flight that elasticity() divides by, because a smaller one would
    /// amplify noise.
    constexpr double minInFlightDifference = 0.1;
    /// Decay of the recent maximum limit in each comparison. A limit below fallenFraction of that maximum needs only
    /// one comparison before it grows, because it may be left over from a slow period.
    constexpr double recentMaximumDecay = 0.97;
    constexpr double fallenFraction = 0.6;
    /// During growth, windows whose limits differ by less than this factor are not compared, because noise would
    /// dominate.
    constexpr double minLimitRatio = 1.3;
    /// Minimum samples of a window during growth, unless windowSamples is smaller.
    constexpr unsigned minGrowthSamples = 50;
    /// Elasticity between two growth steps above which growth ends. A fallen limit may grow below it.
    constexpr double growthElasticity = 0.5;
    /// Growth of a limit that is below the number in flight at which the backend server last shed.
    constexpr double growthFactorBelowShed = 1.25;
    /// A larger latency ratio between two phases is caused by a change of the service and says nothing about queues.
    constexpr double maxLatencyRatio = 1.5;
    /// Fraction of the calls that must end while the limit is reached. Below it the limit does not hold calls back, and
    /// a comparison of phases says nothing about it. A test on the mean number in flight instead doubled the limit at
    /// four fifths of the capacity.
    constexpr double minFractionAtLimit = 0.6;
    /// Timeouts hide the real latency. Above this fraction of them, success rates are compared instead of latencies.
    constexpr double maxTimeoutFractionForLatency = 0.3;
    /// Above this fraction of timeouts nothing can be compared, and the limit is halved at once, but not below
    /// timeoutLimitFloor of its confirmed value.
    constexpr double timeoutFractionForHalving = 0.8;
    constexpr double timeoutLimitFloor = 0.25;
    /// Calls started before a change of the limit end within about this many mean latencies.
    constexpr double settleLatencies = 1.5;
    /// Time after a shed until a higher limit is probed. At a real limit each probe costs a few shed requests.
    constexpr duration shedProbeInterval = std::chrono::seconds(1);
    /// For this long after a shed, the limit is known from that shed and no low phase is needed.
    constexpr duration shedLimitValidity = std::chrono::seconds(10);
    /// Sheds reduce the limit to no less than this fraction in one window, because they may come from a transient
    /// fault.
    constexpr double shedLimitFloor = 0.5;

    /// Change of a slot limit at each timeout and, as a fraction of the slots, at each success.
    constexpr double silenceFactor = 0.8;
    constexpr double slotGrowthFraction = 0.02;
    constexpr double minSlotFraction = 0.25;

    template <class... Visitors> struct overloaded_visitor : Visitors... {
        using Visitors::operator()...;
    };
    template <class... Visitors> overloaded_visitor(Visitors...) -> overloaded_visitor<Visitors...>;

    duration toDuration(double microseconds) { return duration(std::llround(microseconds)); }

} // namespace

vegas_limit::vegas_limit(const vegas_options& options)
    : m_options(options)
    , m_limit(options.initial)
    , m_upperBound(options.maximum)
    , m_currentLimit(options.initial)
    , m_confirmedLimit(options.initial)
    , m_lowPhaseFactor(lowPhaseFactor)
    , m_comparisonsWithoutQueue(comparisonsBeforeGrowth)
    , m_windowStartLimit(options.initial)
{
}

unsigned vegas_limit::allowed() const { return static_cast<unsigned>(std::max(1.0, std::floor(m_currentLimit))); }

duration vegas_limit::baseLatency() const { return toDuration(m_baseLatency); }

void vegas_limit::announce(unsigned slots)
{
    if (slots == 0)
        return;
    m_upperBound = std::min(m_options.maximum, maxAnnouncedFactor * slots);
    if (!m_announced)
        m_confirmedLimit = slots;
    setLimit(m_announced ? m_limit : slots);
    m_announced = true;
}

void vegas_limit::setLimit(double limit)
{
    m_limit = std::clamp(limit, m_options.minimum, m_upperBound);
    m_currentLimit = m_limit;
}

void vegas_limit::record(const limit_sample& sample, time_point now)
{
    if (sample.outcome == call_outcome::cancelled)
        return;
    if (m_windowStart == time_point {})
        startWindow(now);
    if (sample.outcome == call_outcome::shed)
        handleShed(sample.inFlight, now);
    else if (now < m_settleUntil)
        return;
    // A failed call may have ended early, so its latency is not used. The latency of a timeout is a lower bound.
    if (sample.outcome == call_outcome::success || sample.outcome == call_outcome::timeout) {
        ++m_window.samples;
        m_window.timeouts += sample.outcome == call_outcome::timeout ? 1 : 0;
        m_window.latencySum += static_cast<double>(sample.latency.count());
        m_window.inFlightSum += sample.inFlight;
        m_window.maxInFlight = std::max(m_window.maxInFlight, sample.inFlight);
        m_window.samplesAtLimit += sample.inFlight >= allowed() ? 1 : 0;
    }
    if (windowComplete(now))
        closeWindow(now);
}

bool vegas_limit::windowComplete(time_point now) const
{
    // Growth needs less precision and shorter windows than the comparison at a steady limit.
    const bool growing
        = m_comparisonsWithoutQueue >= comparisonsBeforeGrowth || m_limit < m_recoveryLimit || m_probeStep > 0;
    const bool latencyHidden = m_window.timeouts > maxTimeoutFractionForLatency * m_window.samples;
    const unsigned windows = m_phase == phase::high && !growing && !latencyHidden ? m_options.highPhaseWindows : 1;
    const auto age = now - m_windowStart;
    if (age >= m_options.maxWindow * std::min(windows, 2U))
        return true;
    const auto fullSamples = m_options.windowSamples * windows;
    const auto requiredSamples
        = growing ? std::min(fullSamples, std::max(2 * allowed(), minGrowthSamples)) : fullSamples;
    return age >= m_options.window * windows && m_window.samples + m_window.sheds >= requiredSamples;
}

void vegas_limit::startWindow(time_point start)
{
    m_windowStart = start;
    m_settleUntil = start;
    m_windowStartLimit = m_limit;
    m_window = {};
}

/// Starts a phase after a settling time, in which calls that were sent under the previous limit end.
void vegas_limit::enterPhase(phase next, double latency, time_point now)
{
    m_phase = next;
    startWindow(now + toDuration(latency * settleLatencies));
    m_currentLimit
        = next == phase::low ? std::max(m_options.minimum, std::min(m_limit * m_lowPhaseFactor, m_limit - 1)) : m_limit;
}

void vegas_limit::closeWindow(time_point now)
{
    const auto totals = m_window;
    const double seconds = std::max(std::chrono::duration<double>(now - m_windowStart).count(), 1e-6);
    startWindow(now);
    if (totals.samples == 0 || totals.sheds > 0) {
        m_phase = phase::high;
        m_currentLimit = m_limit;
        return;
    }
    window_result window;
    window.limit = allowed();
    window.samples = totals.samples;
    window.latency = std::max(totals.latencySum / totals.samples, 1.0);
    window.inFlight = totals.inFlightSum / totals.samples;
    window.timeoutFraction = static_cast<double>(totals.timeouts) / totals.samples;
    window.successRate = (totals.samples - totals.timeouts) / seconds;
    window.maxInFlight = totals.maxInFlight;
    window.limitReached = totals.samplesAtLimit >= minFractionAtLimit * totals.samples;
    if (m_phase == phase::high)
        finishHighPhase(window, now);
    else
        finishLowPhase(window, now);
}

void vegas_limit::finishHighPhase(const window_result& window, time_point now)
{
    if (!window.limitReached) {
        m_baseLatency = window.latency;
        m_highResult = {};
        // Growth that was not used is reverted, because it would leave the limit far too high for a later slow period.
        setLimit(std::min(m_limit, std::max(m_confirmedLimit, headroom * window.maxInFlight)));
        return;
    }
    if (window.timeoutFraction > timeoutFractionForHalving && m_limit > timeoutLimitFloor * m_confirmedLimit) {
        m_comparisonsWithoutQueue = 0;
        setLimit(std::max(m_limit / 2, timeoutLimitFloor * m_confirmedLimit));
        m_recoveryLimit = m_limit;
        enterPhase(phase::high, window.latency, now);
        return;
    }
    if (m_limit < m_recoveryLimit && window.timeoutFraction < maxTimeoutFractionForLatency) {
        setLimit(std::min(2 * m_limit, m_recoveryLimit));
        return;
    }
    m_recoveryLimit = 0;
    if (m_shedConcurrency > 0 && now - m_lastShed < shedLimitValidity) {
        probeAboveShed(now);
        return;
    }
    const auto previous = std::exchange(m_highResult, window);
    if (previous.limit > 0
        && window.latency * maxLatencyRatio < previous.latency * std::min(1.0, window.limit / previous.limit))
        m_comparisonsWithoutQueue = comparisonsBeforeGrowth; // as in adjustByLatency()
    if (m_comparisonsWithoutQueue >= comparisonsBeforeGrowth) {
        growLimit(previous, now);
        return;
    }
    enterPhase(phase::low, window.latency, now);
}

/// Doubles the limit until the latency rises.
void vegas_limit::growLimit(const window_result& previous, time_point now)
{
    const bool comparable = previous.limit > 0 && previous.limit * minLimitRatio <= m_highResult.limit
        && previous.latency * maxLatencyRatio > m_highResult.latency * previous.limit / m_highResult.limit;
    if (comparable && elasticity(previous, m_highResult) > growthElasticity) {
        m_comparisonsWithoutQueue = 0;
        // The previous step showed no queue, so an estimate below its limit is noise.
        setLimit(std::max(
            previous.limit, headroom * m_highResult.inFlight * std::min(1.0, previous.latency / m_highResult.latency)));
        m_confirmedLimit = m_limit;
    } else if (!comparable && m_baseLatency > 0 && m_highResult.latency > maxLatencyRatio * m_baseLatency) {
        m_comparisonsWithoutQueue = 0; // a queue is likely; a low phase has to confirm it before growth
        enterPhase(phase::low, m_highResult.latency, now);
        return;
    } else {
        setLimit(std::max(m_limit + 1, m_limit * growthFactor));
    }
    m_comparisonsUntilDeepPhase = 0;
    // The calls that use the larger limit may queue and take longer, so the settling time scales with the growth.
    enterPhase(phase::high, m_highResult.latency * growthFactor, now);
}

void vegas_limit::finishLowPhase(const window_result& low, time_point now)
{
    const auto high = m_highResult;
    if (low.limit >= high.limit)
        m_comparisonsWithoutQueue = comparisonsBeforeGrowth; // the limit is at its minimum and can only grow
    else if (low.limitReached && std::max(high.timeoutFraction, low.timeoutFraction) > maxTimeoutFractionForLatency)
        adjustBySuccessRate(high, low);
    else if (low.limitReached)
        adjustByLatency(high, low);
    enterPhase(phase::high, low.latency, now);
}

double vegas_limit::elasticity(const window_result& low, const window_result& high)
{
    // The limit is not always reached, so the phases are compared by their mean number in flight.
    const double inFlightDifference = std::max(1 - low.inFlight / high.inFlight, minInFlightDifference);
    return (1 - low.latency / high.latency) / inFlightDifference;
}

void vegas_limit::adjustByLatency(const window_result& high, const window_result& low)
{
    m_baseLatency = low.latency;
    const double latencyRatio = low.latency / high.latency;
    const bool faster = latencyRatio < m_lowPhaseFactor / maxLatencyRatio;
    if (faster)
        m_comparisonsWithoutQueue
            = comparisonsBeforeGrowth; // a slow period ended, which may have left the limit too low
    if (faster || latencyRatio > maxLatencyRatio)
        return;
    const double measured = elasticity(low, high);
    const double inFlightWithoutQueue = high.inFlight * std::min(latencyRatio, 1.0);
    const bool deepPhase = m_lowPhaseFactor == deepLowPhaseFactor;
    const bool precise = low.samples >= m_options.windowSamples;
    const bool farTooHigh = deepPhase && precise && measured > highElasticity;
    // A single comparison mistakes noise for a deep queue too often, and a deep low phase costs goodput.
    m_comparisonsWithDeepQueue = measured > highElasticity ? m_comparisonsWithDeepQueue + 1 : 0;
    if (deepPhase && !farTooHigh)
        m_comparisonsUntilDeepPhase = comparisonsBetweenDeepPhases;
    m_comparisonsUntilDeepPhase -= m_comparisonsUntilDeepPhase > 0 ? 1 : 0;
    m_lowPhaseFactor = !deepPhase && precise && m_comparisonsWithDeepQueue >= 2 && m_comparisonsUntilDeepPhase == 0
        ? deepLowPhaseFactor
        : lowPhaseFactor;
    const double weight = smoothing * std::min(1.0, static_cast<double>(low.samples) / m_options.windowSamples);
    m_recentMaximum = std::max({ m_limit, m_confirmedLimit, m_recentMaximum * recentMaximumDecay });
    const bool fallen = m_limit < fallenFraction * m_recentMaximum;
    const bool noQueue = measured < (fallen ? growthElasticity : lowElasticity);
    m_comparisonsWithoutQueue = noQueue ? m_comparisonsWithoutQueue + (fallen ? comparisonsBeforeGrowth : 1) : 0;
    if (farTooHigh)
        setLimit(headroom * std::clamp(inFlightWithoutQueue, low.limit, high.limit / headroom));
    else
        setLimit(m_limit + weight * (headroom * inFlightWithoutQueue - m_limit));
    m_confirmedLimit = m_limit;
}

void vegas_limit::adjustBySuccessRate(const window_result& high, const window_result& low)
{
    const double minRateRatio = (1 + low.limit / high.limit) / 2;
    if (low.successRate < minRateRatio * high.successRate)
        return; // with fewer in flight fewer calls succeed, so the timeouts are not caused by a queue
    m_recoveryLimit = std::max(m_recoveryLimit, m_limit);
    m_lowPhaseFactor = deepLowPhaseFactor;
    setLimit(low.limit);
}

/// Probes one request more than the backend server accepted. After each probe without a shed the next step is twice as
/// large, because the sheds may have come from a transient fault.
void vegas_limit::probeAboveShed(time_point now)
{
    if (m_limit < m_shedConcurrency - 1) {
        setLimit(std::min(m_shedConcurrency - 1, std::max(m_limit + 1, m_limit * growthFactorBelowShed)));
        return;
    }
    if (m_probeStep == 0 && now - m_lastShed < shedProbeInterval)
        return;
    m_probeStep = m_probeStep == 0 ? 1 : 2 * m_probeStep;
    m_shedConcurrency = m_limit + m_probeStep + 1;
    setLimit(m_shedConcurrency - 1);
}

/// Reduces the limit at once instead of at the end of the window. A shed request returns so quickly, and is replaced by
/// the next one, that a single request above the real limit would cause as many sheds as answers within the window.
void vegas_limit::handleShed(unsigned inFlight, time_point now)
{
    ++m_window.sheds;
    m_lastShed = now;
    m_comparisonsWithoutQueue = 0;
    m_probeStep = 0;
    m_recoveryLimit = 0;
    const double accepted = std::max(std::max(inFlight, 1U) - 1.0, shedLimitFloor * m_windowStartLimit);
    if (accepted >= m_currentLimit)
        return;
    m_shedConcurrency = accepted + 1;
    m_phase = phase::high;
    setLimit(accepted);
}

slot_limit::slot_limit(unsigned slots)
    : m_slots(slots)
    , m_limit(slots)
{
}

unsigned slot_limit::allowed() const { return static_cast<unsigned>(std::max(1.0, std::floor(m_limit))); }

void slot_limit::record(const limit_sample& sample, time_point now)
{
    if (sample.outcome == call_outcome::success)
        m_limit = std::min(m_slots, m_limit + m_slots * slotGrowthFraction);
    // Calls that were sent together fall silent together and count once.
    if (sample.outcome != call_outcome::timeout || now - m_loweredAt < sample.latency)
        return;
    m_loweredAt = now;
    m_limit = std::max(m_slots * minSlotFraction, m_limit * silenceFactor);
}

unsigned allowed(const concurrency_limit& limit)
{
    return std::visit(overloaded_visitor {
                          [](const vegas_limit& vegas) { return vegas.allowed(); },
                          [](const slot_limit& slots) { return slots.allowed(); },
                          [](const fixed_limit& fixed) { return fixed.limit; },
                          [](const unlimited_limit&) { return std::numeric_limits<unsigned>::max(); },
                      },
        limit);
}

void record(concurrency_limit& limit, const limit_sample& sample, time_point now)
{
    if (auto* vegas = std::get_if<vegas_limit>(&limit))
        vegas->record(sample, now);
    if (auto* slots = std::get_if<slot_limit>(&limit))
        slots->record(sample, now);
}

void announceSlots(concurrency_limit& limit, unsigned slots)
{
    if (auto* vegas = std::get_if<vegas_limit>(&limit))
        vegas->announce(slots);
}

} // namespace limpet
