#include <algorithm>
#include <cmath>
#include <limits>
#include <limpetcroft/policy.h>
#include <utility>

namespace limpet {

namespace {

    /// Announced slots mislead in both directions. Ten times the announced value still bounds the damage of a
    /// baseline that was learned too high.
    constexpr double announcedBound = 10;
    /// Limit in multiples of the concurrency that needs no queue. It is above 1 so that the backend server never idles
    /// between two requests, and high enough that the low phase is free of queues.
    constexpr double headroom = 1.15;
    /// Limit of the low phase as a part of that of the high phase.
    constexpr double lowPart = 0.8;
    /// The same while the limit is far too high, when a larger step is needed.
    constexpr double deepLowPart = 0.6;
    /// Comparisons after a deep low phase that found no deep queue until the next one.
    constexpr unsigned comparisonsBetweenDeepPhases = 10;
    /// Part of one comparison that goes into the limit. One comparison of about a hundred samples is off by about 10%.
    constexpr double smoothing = 0.3;
    /// Elasticity is the part of the rise of latency that a pure queue would show: 0 without, 1 with a queue in both
    /// phases. Below the first mark the limit grows freely, above the second it is far too high.
    constexpr double lowElasticity = 0.3;
    constexpr double highElasticity = 0.8;
    /// Growth after two comparisons without a sign of a queue. A smaller factor is hard to tell from noise; what it
    /// overshoots is taken back by the comparison with the step before.
    constexpr double growth = 2;
    constexpr unsigned comparisonsBeforeGrowth = 2;
    constexpr double smallestDifference = 0.1;
    /// The best recent limit is forgotten by this factor in each comparison. A limit below this part of it needs only
    /// one comparison before it grows, because it may be left over from a slow period.
    constexpr double bestDecay = 0.97;
    constexpr double fallenPart = 0.6;
    /// Windows whose limits differ by less than this factor are not compared; noise would decide.
    constexpr double smallestGrowth = 1.3;
    constexpr unsigned fewestSamples = 50;
    constexpr double growthElasticity = 0.5;
    constexpr double growthTowardsShed = 1.25;
    /// A larger ratio of the latencies of two phases comes from a change of the service and says nothing about queues.
    constexpr double largestChange = 1.5;
    /// Part of the calls that must end while the limit is reached. Below it the limit is not what holds calls back, and
    /// changing it would teach nothing: with a mean in flight instead, the limit doubled at four fifths of the
    /// capacity.
    constexpr double usedPart = 0.6;
    /// Timeouts hide the real latency, so that above this part of them the rate of successes decides instead.
    constexpr double timeoutsHideLatency = 0.3;
    /// Above this part nothing can be compared, and the limit is halved at once, down to a part of its proven value.
    constexpr double allTimeouts = 0.8;
    constexpr double timeoutFloor = 0.25;
    /// Calls from before a change of the limit end within about this many latencies.
    constexpr double settleLatencies = 1.5;
    /// Time after a shed until one more request is tried. At a real limit each trial costs a few shed requests.
    constexpr duration timeBetweenShedTrials = std::chrono::seconds(1);
    /// After a shed, the limit is known from sheds for this long, and no low phase is needed.
    constexpr duration shedsDecide = std::chrono::seconds(10);
    /// Sheds reduce the limit by at most this factor in one window, because they may come from a passing fault.
    constexpr double shedFloor = 0.5;

    template <class... Visitors> struct overloaded_visitor : Visitors... {
        using Visitors::operator()...;
    };
    template <class... Visitors> overloaded_visitor(Visitors...) -> overloaded_visitor<Visitors...>;

    duration toDuration(double microseconds) { return duration(std::llround(microseconds)); }

} // namespace

vegas_limit::vegas_limit(const vegas_options& options)
    : m_options(options)
    , m_limit(options.initial)
    , m_ceiling(options.maximum)
    , m_inForce(options.initial)
    , m_proven(options.initial)
    , m_lowPart(lowPart)
    , m_unqueued(comparisonsBeforeGrowth)
    , m_windowStartLimit(options.initial)
{
}

unsigned vegas_limit::allowed() const { return static_cast<unsigned>(std::max(1.0, std::floor(m_inForce))); }

duration vegas_limit::baseLatency() const { return toDuration(m_baseline); }

void vegas_limit::announce(unsigned slots)
{
    if (slots == 0)
        return;
    m_ceiling = std::min(m_options.maximum, announcedBound * slots);
    if (!m_announced)
        m_proven = slots;
    setLimit(m_announced ? m_limit : slots);
    m_announced = true;
}

void vegas_limit::setLimit(double limit)
{
    m_limit = std::clamp(limit, m_options.minimum, m_ceiling);
    m_inForce = m_limit;
}

void vegas_limit::record(const limit_sample& sample, time_point now)
{
    if (sample.outcome == call_outcome::cancelled)
        return;
    if (m_windowStart == time_point {})
        startWindow(now);
    if (sample.outcome == call_outcome::shed)
        shed(sample.inFlight, now);
    else if (now < m_settleUntil)
        return;
    // A failed call may have ended early, so that its latency says nothing. That of a timeout is a lower bound.
    if (sample.outcome == call_outcome::success || sample.outcome == call_outcome::timeout) {
        ++m_window.samples;
        m_window.timeouts += sample.outcome == call_outcome::timeout ? 1 : 0;
        m_window.latencySum += static_cast<double>(sample.latency.count());
        m_window.inFlightSum += sample.inFlight;
        m_window.peak = std::max(m_window.peak, sample.inFlight);
        m_window.limited += sample.inFlight >= allowed() ? 1 : 0;
    }
    if (windowComplete(now))
        closeWindow(now);
}

bool vegas_limit::windowComplete(time_point now) const
{
    // Growth needs less precision than the comparison of a steady limit, and more speed.
    const bool growing = m_unqueued >= comparisonsBeforeGrowth || m_limit < m_regrow || m_trialStep > 0;
    const bool hidden = m_window.timeouts > timeoutsHideLatency * m_window.samples;
    const unsigned windows = m_phase == phase::high && !growing && !hidden ? m_options.highPhaseWindows : 1;
    const auto age = now - m_windowStart;
    if (age >= m_options.maxWindow * std::min(windows, 2U))
        return true;
    const auto precise = m_options.windowSamples * windows;
    const auto wanted = growing ? std::min(precise, std::max(2 * allowed(), fewestSamples)) : precise;
    return age >= m_options.window * windows && m_window.samples + m_window.sheds >= wanted;
}

void vegas_limit::startWindow(time_point start)
{
    m_windowStart = start;
    m_settleUntil = start;
    m_windowStartLimit = m_limit;
    m_window = {};
}

/// Begins a phase whose first calls were sent under another limit.
void vegas_limit::enter(phase next, double latency, time_point now)
{
    m_phase = next;
    startWindow(now + toDuration(latency * settleLatencies));
    m_inForce = next == phase::low ? std::max(m_options.minimum, std::min(m_limit * m_lowPart, m_limit - 1)) : m_limit;
}

void vegas_limit::closeWindow(time_point now)
{
    const auto totals = m_window;
    const double seconds = std::max(std::chrono::duration<double>(now - m_windowStart).count(), 1e-6);
    startWindow(now);
    if (totals.samples == 0 || totals.sheds > 0) {
        m_phase = phase::high;
        m_inForce = m_limit;
        return;
    }
    window_result window;
    window.limit = allowed();
    window.samples = totals.samples;
    window.latency = std::max(totals.latencySum / totals.samples, 1.0);
    window.inFlight = totals.inFlightSum / totals.samples;
    window.timeoutPart = static_cast<double>(totals.timeouts) / totals.samples;
    window.successRate = (totals.samples - totals.timeouts) / seconds;
    window.peak = totals.peak;
    window.used = totals.limited >= usedPart * totals.samples;
    if (m_phase == phase::high)
        finishHigh(window, now);
    else
        finishLow(window, now);
}

void vegas_limit::finishHigh(const window_result& window, time_point now)
{
    if (!window.used) {
        m_baseline = window.latency;
        m_high = {};
        // What growth added and nobody needed is unproven; a later slow period would find the limit far too high.
        setLimit(std::min(m_limit, std::max(m_proven, headroom * window.peak)));
        return;
    }
    if (window.timeoutPart > allTimeouts && m_limit > timeoutFloor * m_proven) {
        m_unqueued = 0;
        setLimit(std::max(m_limit / 2, timeoutFloor * m_proven));
        m_regrow = m_limit;
        enter(phase::high, window.latency, now);
        return;
    }
    if (m_limit < m_regrow && window.timeoutPart < timeoutsHideLatency) {
        setLimit(std::min(2 * m_limit, m_regrow));
        return;
    }
    m_regrow = 0;
    if (m_shedAt > 0 && now - m_lastShed < shedsDecide) {
        tryBeyondShed(now);
        return;
    }
    const auto before = std::exchange(m_high, window);
    if (before.limit > 0
        && window.latency * largestChange < before.latency * std::min(1.0, window.limit / before.limit))
        m_unqueued = comparisonsBeforeGrowth; // as in compareLatencies()
    if (m_unqueued >= comparisonsBeforeGrowth) {
        growFrom(before, now);
        return;
    }
    enter(phase::low, window.latency, now);
}

/// Doubles the limit until the latency rises.
void vegas_limit::growFrom(const window_result& before, time_point now)
{
    const bool comparable = before.limit > 0 && before.limit * smallestGrowth <= m_high.limit
        && before.latency * largestChange > m_high.latency * before.limit / m_high.limit;
    if (comparable && elasticity(before, m_high) > growthElasticity) {
        m_unqueued = 0;
        // The step before showed no queue, so that an estimate below its limit is noise.
        setLimit(std::max(before.limit, headroom * m_high.inFlight * std::min(1.0, before.latency / m_high.latency)));
        m_proven = m_limit;
    } else if (!comparable && m_baseline > 0 && m_high.latency > largestChange * m_baseline) {
        m_unqueued = 0; // a queue is likely, so that a low phase has to tell first
        enter(phase::low, m_high.latency, now);
        return;
    } else {
        setLimit(std::max(m_limit + 1, m_limit * growth));
    }
    m_deepPause = 0;
    // The calls that fill the new limit end only after the latency that they cause themselves.
    enter(phase::high, m_high.latency * growth, now);
}

void vegas_limit::finishLow(const window_result& low, time_point now)
{
    const auto high = m_high;
    if (low.limit >= high.limit)
        m_unqueued = comparisonsBeforeGrowth; // at the minimum only growth can be tried
    else if (low.used && std::max(high.timeoutPart, low.timeoutPart) > timeoutsHideLatency)
        compareRates(high, low);
    else if (low.used)
        compareLatencies(high, low);
    enter(phase::high, low.latency, now);
}

double vegas_limit::elasticity(const window_result& low, const window_result& high)
{
    // The limit is not always reached, so that the mean in flight tells how far apart the two are.
    const double apart = std::max(1 - low.inFlight / high.inFlight, smallestDifference);
    return (1 - low.latency / high.latency) / apart;
}

void vegas_limit::compareLatencies(const window_result& high, const window_result& low)
{
    m_baseline = low.latency;
    const double change = low.latency / high.latency;
    const bool faster = change < m_lowPart / largestChange;
    if (faster)
        m_unqueued = comparisonsBeforeGrowth; // a slow period has ended, in which the limit may have become too low
    if (faster || change > largestChange)
        return;
    const double found = elasticity(low, high);
    const double unqueued = high.inFlight * std::min(change, 1.0);
    const bool deep = m_lowPart == deepLowPart;
    const bool precise = low.samples >= m_options.windowSamples;
    const bool farTooHigh = deep && precise && found > highElasticity;
    // One comparison alone mistakes noise for a deep queue too often, and a deeper low phase costs goodput.
    m_inRowHigh = found > highElasticity ? m_inRowHigh + 1 : 0;
    if (deep && !farTooHigh)
        m_deepPause = comparisonsBetweenDeepPhases;
    m_deepPause -= m_deepPause > 0 ? 1 : 0;
    m_lowPart = !deep && precise && m_inRowHigh >= 2 && m_deepPause == 0 ? deepLowPart : lowPart;
    const double weight = smoothing * std::min(1.0, static_cast<double>(low.samples) / m_options.windowSamples);
    m_best = std::max({ m_limit, m_proven, m_best * bestDecay });
    const bool fallen = m_limit < fallenPart * m_best;
    const bool unqueuedNow = found < (fallen ? growthElasticity : lowElasticity);
    m_unqueued = unqueuedNow ? m_unqueued + (fallen ? comparisonsBeforeGrowth : 1) : 0;
    if (farTooHigh)
        setLimit(headroom * std::clamp(unqueued, low.limit, high.limit / headroom));
    else
        setLimit(m_limit + weight * (headroom * unqueued - m_limit));
    m_proven = m_limit;
}

void vegas_limit::compareRates(const window_result& high, const window_result& low)
{
    const double neutral = (1 + low.limit / high.limit) / 2;
    if (low.successRate < neutral * high.successRate)
        return; // less work done with fewer in flight: the calls are slow for another reason
    m_regrow = std::max(m_regrow, m_limit);
    m_lowPart = deepLowPart;
    setLimit(low.limit);
}

/// Tries one more request than the number that was shed. After a success it tries twice as many more, because the
/// sheds may have come from a fault that has passed.
void vegas_limit::tryBeyondShed(time_point now)
{
    if (m_limit < m_shedAt - 1) {
        setLimit(std::min(m_shedAt - 1, std::max(m_limit + 1, m_limit * growthTowardsShed)));
        return;
    }
    if (m_trialStep == 0 && now - m_lastShed < timeBetweenShedTrials)
        return;
    m_trialStep = m_trialStep == 0 ? 1 : 2 * m_trialStep;
    m_shedAt = m_limit + m_trialStep + 1;
    setLimit(m_shedAt - 1);
}

/// Acts at once: a shed comes back so quickly that within one window a single request too many in flight would cost as
/// many requests as the backend server answers.
void vegas_limit::shed(unsigned inFlight, time_point now)
{
    ++m_window.sheds;
    m_lastShed = now;
    m_unqueued = 0;
    m_trialStep = 0;
    m_regrow = 0;
    const double accepted = std::max(std::max(inFlight, 1U) - 1.0, shedFloor * m_windowStartLimit);
    if (accepted >= m_inForce)
        return;
    m_shedAt = accepted + 1;
    m_phase = phase::high;
    setLimit(accepted);
}

unsigned allowed(const concurrency_limit& limit)
{
    return std::visit(overloaded_visitor {
                          [](const vegas_limit& vegas) { return vegas.allowed(); },
                          [](const fixed_limit& fixed) { return fixed.limit; },
                          [](const unlimited_limit&) { return std::numeric_limits<unsigned>::max(); },
                      },
        limit);
}

void record(concurrency_limit& limit, const limit_sample& sample, time_point now)
{
    if (auto* vegas = std::get_if<vegas_limit>(&limit))
        vegas->record(sample, now);
}

void announceSlots(concurrency_limit& limit, unsigned slots)
{
    if (auto* vegas = std::get_if<vegas_limit>(&limit))
        vegas->announce(slots);
}

} // namespace limpet
