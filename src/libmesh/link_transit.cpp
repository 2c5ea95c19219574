#include "link_transit.h"

namespace limpet::mesh {
namespace {

    // In this time, two clocks of a usual drift of 100 ppm part by 6 ms.
    constexpr duration clockBoundLifetime = std::chrono::seconds(60);

    std::uint32_t clockMilliseconds(time_point now)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    }

    /// Returns a - b, whose absolute value is small. One of them may have wrapped.
    std::int32_t difference(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b); }

} // namespace

std::uint32_t frameTimestamp(time_point now) { return std::max<std::uint32_t>(clockMilliseconds(now), 1); }

frame_age link_transit::receive(std::uint32_t timestamp, time_point now)
{
    frame_age age;
    age.known = timestamp != 0;
    if (!age.known)
        return age;
    const auto offset = clockMilliseconds(now) - timestamp;
    if (!m_leastOffset || difference(offset, *m_leastOffset) < 0)
        m_leastOffset = offset;
    age.delay = std::chrono::milliseconds(difference(offset, *m_leastOffset));
    if (m_clockBoundAt != time_point::min() && now - m_clockBoundAt <= clockBoundLifetime)
        age.most = std::chrono::milliseconds(difference(offset, m_clockBound));
    return age;
}

void link_transit::receiveReply(std::uint32_t timestamp, time_point askedAt, time_point now)
{
    if (timestamp == 0)
        return;
    const auto offset = clockMilliseconds(now) - timestamp;
    const auto bound = clockMilliseconds(askedAt) - timestamp;
    const bool expired = m_clockBoundAt == time_point::min() || now - m_clockBoundAt > clockBoundLifetime;
    // The clocks have drifted since the fastest frame before.
    if (expired)
        m_leastOffset = offset;
    if (!expired && difference(bound, m_clockBound) < 0)
        return;
    m_clockBound = bound;
    m_clockBoundAt = now;
}

} // namespace limpet::mesh
