#include "body_budget.h"
#include <algorithm>
#include <cmath>

namespace limpet::proxy {
namespace {

    constexpr std::chrono::duration<double> releaseTimeConstant { 1.0 };
    constexpr duration minWait = std::chrono::milliseconds(200);
    constexpr duration maxWait = std::chrono::seconds(2);

} // namespace

bool body_budget::tryAdd(std::size_t bytes)
{
    if (m_used + bytes > m_limit)
        return false;
    add(bytes);
    return true;
}

void body_budget::add(std::size_t bytes)
{
    m_used += bytes;
    m_mostUsed = std::max(m_mostUsed, m_used);
}

duration body_budget::timeUntilFree(std::size_t bytes, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_decayedAt).count();
    m_released *= std::exp(-elapsed / releaseTimeConstant.count());
    m_decayedAt = now;
    const double missing = std::max(0.0, static_cast<double>(m_used + bytes) - static_cast<double>(m_limit));
    const double perSecond = std::max(m_released / releaseTimeConstant.count(), 1.0);
    const auto wait = std::chrono::duration<double>(std::min(missing / perSecond, 60.0));
    return std::clamp(std::chrono::duration_cast<duration>(wait), minWait, maxWait);
}

bool body_reservation::growTo(std::size_t total)
{
    if (total <= m_bytes || !m_budget)
        return true;
    if (!m_budget->tryAdd(total - m_bytes))
        return false;
    m_bytes = total;
    return true;
}

void body_reservation::add(std::size_t bytes)
{
    if (!m_budget)
        return;
    m_budget->add(bytes);
    m_bytes += bytes;
}

void body_reservation::resize(std::size_t total)
{
    if (total > m_bytes)
        add(total - m_bytes);
    else if (m_budget) {
        m_budget->release(m_bytes - total);
        m_bytes = total;
    }
}

void body_reservation::clear()
{
    if (m_budget && m_bytes > 0)
        m_budget->release(m_bytes);
    m_bytes = 0;
}

header makeRetryAfter(body_budget& budget, std::size_t bytes, time_point now)
{
    constexpr std::size_t digits = 5;
    const std::chrono::duration<double> wait(budget.timeUntilFree(bytes, now));
    return { "Retry-After", std::to_string(wait.count()).substr(0, digits) };
}

} // namespace limpet::proxy
