#include <algorithm>
#include <limpetcroft/core.h>

namespace limpet {

bool store_era_tracker::isOutdated(store_era era) const
{
    return m_order == era_order::rising ? era < m_current : std::ranges::count(m_past, era) > 0;
}

era_change store_era_tracker::observe(store_era era)
{
    if (era == 0 || era == m_current)
        return era_change::none;
    if (isOutdated(era))
        return era_change::outdated;
    const auto before = std::exchange(m_current, era);
    if (before == 0)
        return era_change::none;
    m_past.push_back(before);
    return era_change::risen;
}

} // namespace limpet
