#include "link_transit.h"

namespace limpet::mesh {
namespace {

    std::uint32_t clockMilliseconds(time_point now)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    }

} // namespace

std::uint32_t frameTimestamp(time_point now) { return std::max<std::uint32_t>(clockMilliseconds(now), 1); }

duration link_transit::delayOf(std::uint32_t timestamp, time_point now)
{
    if (timestamp == 0)
        return duration(0);
    const auto offset = clockMilliseconds(now) - timestamp;
    // The difference of two offsets is small, so that it has the right sign also where one of them has wrapped.
    const auto aboveLeast = static_cast<std::int32_t>(offset - m_leastOffset.value_or(offset));
    if (!m_leastOffset || aboveLeast < 0)
        m_leastOffset = offset;
    return std::chrono::milliseconds(std::max(aboveLeast, 0));
}

} // namespace limpet::mesh
