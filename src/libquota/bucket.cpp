#include "bucket.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpet {

namespace {

    // Smallest burst of one region: it needs a few tokens of its own to serve a burst without borrowing from another
    // region.
    constexpr double minDividedBurst = 8;
    constexpr duration maxRetryAfter = std::chrono::seconds(60);

    std::uint64_t hash(std::string_view bytes, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
    }

} // namespace

const std::string& homeRegion(const team_rule& rule, std::span<const std::string> regions)
{
    const std::uint64_t team = hash(rule.team, 0);
    return *std::ranges::max_element(regions, {}, [&](const std::string& region) { return hash(region, team); });
}

quota_share shareOf(const team_rule& rule, std::span<const std::string> regions, std::string_view region)
{
    if (std::ranges::find(regions, region) == regions.end())
        return {};
    const auto count = static_cast<double>(regions.size());
    const bool home = homeRegion(rule, regions) == region;
    if (rule.burst < minDividedBurst * count)
        return home ? quota_share { rule.ratePerSecond, rule.burst } : quota_share {};
    const double part = std::floor(rule.burst / count);
    return { rule.ratePerSecond / count, home ? rule.burst - (part * (count - 1)) : part };
}

std::uint64_t ruleHash(const team_rule& rule, std::span<const std::string> regions)
{
    std::uint64_t value = hash(rule.team, 1);
    const std::array<double, 2> numbers { rule.ratePerSecond, rule.burst };
    value = XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), value);
    for (const std::string& region : regions)
        value = hash(region, value);
    return value;
}

void effective_share::set(const quota_share& share, time_point now, duration delay)
{
    at(now);
    // A new team has no share in any region yet, so the first share needs no delay.
    if (m_unset) {
        m_share = share;
        m_unset = false;
        return;
    }
    m_share.rate = std::min(m_share.rate, share.rate);
    m_share.burst = std::min(m_share.burst, share.burst);
    m_pending.reset();
    if (m_share != share) {
        m_pending = share;
        m_pendingAt = now + delay;
    }
}

const quota_share& effective_share::at(time_point now)
{
    if (m_pending && m_pendingAt <= now) {
        m_share = *m_pending;
        m_pending.reset();
    }
    return m_share;
}

void grant_bucket::setShare(const quota_share& share, time_point now)
{
    refill(now);
    m_share = share;
    m_level = std::min(m_level, m_share.burst);
}

void grant_bucket::refill(time_point now)
{
    if (now <= m_updated)
        return;
    const double passed = std::chrono::duration<double>(now - m_updated).count();
    m_level = std::min(m_share.burst, m_level + (passed * m_share.rate));
    m_updated = now;
}

double grant_bucket::available(time_point now)
{
    refill(now);
    return m_level - m_outstanding;
}

double grant_bucket::level(time_point now)
{
    refill(now);
    return m_level;
}

void grant_bucket::spend(unsigned count, time_point now)
{
    refill(now);
    m_level -= count;
}

void grant_bucket::confirmSpent(unsigned count, time_point now)
{
    // Refills first: while the bucket was full it earned nothing, and a debit before the refill would credit that time.
    refill(now);
    m_level -= count;
    m_outstanding -= count;
}

duration grant_bucket::timeUntil(double count, time_point now)
{
    const double missing = count - available(now);
    if (missing <= 0)
        return duration::zero();
    if (m_share.rate <= 0 || missing / m_share.rate > 60)
        return maxRetryAfter;
    return duration(static_cast<duration::rep>(std::ceil(missing / m_share.rate * 1e6)));
}

} // namespace limpet
