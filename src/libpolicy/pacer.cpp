#include <algorithm>
#include <cmath>
#include <limpetcroft/policy.h>

namespace limpet {

start_pacer::start_pacer(const start_pace& pace, time_point now)
    : m_pace(pace)
    , m_updatedAt(now)
{
}

void start_pacer::setPace(const start_pace& pace, time_point now)
{
    m_tokens = std::min(tokensAt(now), pace.burst);
    m_updatedAt = now;
    m_pace = pace;
}

double start_pacer::tokensAt(time_point now) const
{
    const double passed = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_pace.burst, m_tokens + std::max(passed, 0.0) * m_pace.perSecond);
}

time_point start_pacer::nextStart() const
{
    const double missing = std::max(0.0, 1 - m_tokens);
    constexpr double microsecondsPerSecond = 1e6;
    return m_updatedAt
        + duration(static_cast<std::int64_t>(std::ceil(missing / m_pace.perSecond * microsecondsPerSecond)));
}

void start_pacer::countStart(time_point now)
{
    m_tokens = tokensAt(now) - 1;
    m_updatedAt = now;
}

} // namespace limpet
