#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

namespace limpet {

attempt_budget::attempt_budget(std::uint8_t extraAttempts)
    : m_remaining(extraAttempts)
{
}

std::uint8_t attempt_budget::remaining() const { return m_remaining; }

bool attempt_budget::spend()
{
    if (m_remaining == 0)
        return false;
    --m_remaining;
    return true;
}

std::uint8_t attempt_budget::takeShare()
{
    const auto share = static_cast<std::uint8_t>((m_remaining + 1) / 2);
    m_remaining = static_cast<std::uint8_t>(m_remaining - share);
    return share;
}

void attempt_budget::returnUnused(std::uint8_t lent, std::uint8_t unused)
{
    // A reply that claims more than was lent must not create attempts.
    m_remaining = static_cast<std::uint8_t>(m_remaining + std::min(lent, unused));
}

namespace {

    bool curable(refusal_reason reason)
    {
        switch (reason) {
        case refusal_reason::overloaded:
        case refusal_reason::noBackendServer:
        case refusal_reason::draining:
        case refusal_reason::notReady:
        case refusal_reason::keyUnconfirmed:
        case refusal_reason::connectionLost:
        case refusal_reason::backendFailed:
            return true;
        default:
            return false;
        }
    }

    /// Such a refusal costs its destination next to nothing, and during a rolling replacement there are many of them.
    bool exemptFromRatio(refusal_reason reason)
    {
        return reason == refusal_reason::draining || reason == refusal_reason::notReady;
    }

} // namespace

bool retryable(refusal_reason reason, execution_state run, bool idempotent)
{
    if (run == execution_state::unknown && !idempotent)
        return false;
    return curable(reason);
}

duration backoff(const retry_options& options, unsigned attempt, random_source& random)
{
    const unsigned doublings = std::min(attempt > 0 ? attempt - 1 : 0U, 20U);
    const auto grown = options.initialBackoff * (std::int64_t { 1 } << doublings);
    const auto longest = static_cast<double>(std::min<duration>(grown, options.maxBackoff).count());
    return duration(std::llround(longest * (0.5 + random.uniform() / 2)));
}

retry_policy::retry_policy(retry_options options)
    : m_options(options)
{
}

retry_policy::saved& retry_policy::savedOf(std::string_view team, std::string_view service, time_point now)
{
    auto destination = m_saved.find(service);
    if (destination != m_saved.end()) {
        const auto known = destination->second.find(team);
        if (known != destination->second.end()) {
            known->second.used = now;
            return known->second;
        }
    }
    if (m_pairs >= m_options.maxPairs) {
        // Forgetting everything hands out the reserves again, which is cheaper than an order of use on every call.
        m_saved.clear();
        m_pairs = 0;
        destination = m_saved.end();
    }
    if (destination == m_saved.end())
        destination = m_saved.emplace(std::string(service), std::map<std::string, saved, std::less<>> {}).first;
    ++m_pairs;
    return destination->second.emplace(std::string(team), saved { m_options.reserve, now }).first->second;
}

void retry_policy::countFirstAttempt(std::string_view team, std::string_view service, time_point now)
{
    auto& saved = savedOf(team, service, now);
    saved.attempts = std::min(saved.attempts + m_options.ratio, m_options.burst);
}

retry_decision retry_policy::decide(const request_context& context, std::string_view service,
    const failed_attempt& failure, attempt_budget& budget, time_point now, random_source& random)
{
    const retry_decision stop { .retry = false, .markFinal = true };
    if (failure.isFinal || !retryable(failure.reason, failure.run, context.idempotent))
        return stop;
    const auto wait = std::max(backoff(m_options, failure.attemptsMade, random), failure.retryAfter);
    if (wait >= context.remaining)
        return stop;
    if (!m_options.budgeted) {
        // Without a budget each layer retries on its own, so nothing is final.
        if (failure.attemptsMade > m_options.extraAttemptsPerHop)
            return {};
        return { .retry = true, .backoff = wait };
    }
    auto& saved = savedOf(context.team, service, now);
    const bool exempt = exemptFromRatio(failure.reason);
    if (!exempt && saved.attempts < 1)
        return stop;
    if (!budget.spend())
        return stop;
    if (!exempt)
        saved.attempts -= 1;
    return { .retry = true, .backoff = wait };
}

} // namespace limpet
