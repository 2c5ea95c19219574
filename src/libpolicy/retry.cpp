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

void attempt_budget::returnUnused(std::uint8_t share, std::uint8_t unused)
{
    // A reply that claims more unused attempts than its share must not add attempts to the tree.
    m_remaining = static_cast<std::uint8_t>(m_remaining + std::min(share, unused));
}

namespace {

    bool transient(refusal_reason reason)
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

    /// These refusals cost the destination almost nothing, and a rolling restart causes many of them.
    bool exemptFromRatio(refusal_reason reason)
    {
        return reason == refusal_reason::draining || reason == refusal_reason::notReady;
    }

} // namespace

bool retryable(refusal_reason reason, execution_state run, bool idempotent)
{
    if (run == execution_state::unknown && !idempotent)
        return false;
    return transient(reason);
}

duration backoff(const retry_options& options, unsigned attempt, random_source& random)
{
    const unsigned doublings = std::min(attempt > 0 ? attempt - 1 : 0U, 20U);
    const auto exponential = options.initialBackoff * (std::int64_t { 1 } << doublings);
    const auto bounded = static_cast<double>(std::min<duration>(exponential, options.maxBackoff).count());
    return duration(std::llround(bounded * (0.5 + random.uniform() / 2)));
}

retry_policy::retry_policy(retry_options options)
    : m_options(options)
{
}

retry_policy::token_bucket& retry_policy::bucketOf(std::string_view team, std::string_view service, time_point now)
{
    auto serviceBuckets = m_buckets.find(service);
    if (serviceBuckets != m_buckets.end()) {
        const auto known = serviceBuckets->second.find(team);
        if (known != serviceBuckets->second.end()) {
            known->second.lastUse = now;
            return known->second;
        }
    }
    if (m_bucketCount >= m_options.maxPairs) {
        // Clearing all buckets grants the initial reserves again, but is cheaper than tracking the least recently used.
        m_buckets.clear();
        m_bucketCount = 0;
        serviceBuckets = m_buckets.end();
    }
    if (serviceBuckets == m_buckets.end())
        serviceBuckets
            = m_buckets.emplace(std::string(service), std::map<std::string, token_bucket, std::less<>> {}).first;
    ++m_bucketCount;
    return serviceBuckets->second.emplace(std::string(team), token_bucket { m_options.reserve, now }).first->second;
}

void retry_policy::countFirstAttempt(std::string_view team, std::string_view service, time_point now)
{
    auto& bucket = bucketOf(team, service, now);
    bucket.tokens = std::min(bucket.tokens + m_options.ratio, m_options.burst);
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
        // Without a budget each hop retries independently, so no reply is final.
        if (failure.attemptsMade > m_options.extraAttemptsPerHop)
            return {};
        return { .retry = true, .backoff = wait };
    }
    auto& bucket = bucketOf(context.team, service, now);
    const bool exempt = exemptFromRatio(failure.reason);
    if (!exempt && bucket.tokens < 1)
        return stop;
    if (!budget.spend())
        return stop;
    if (!exempt)
        bucket.tokens -= 1;
    return { .retry = true, .backoff = wait };
}

} // namespace limpet
