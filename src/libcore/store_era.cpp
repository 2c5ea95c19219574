#include <limpetcroft/core.h>

namespace limpet {

era_change store_era_tracker::observe(store_era era)
{
    if (era == 0 || era == m_current)
        return era_change::none;
    if (era < m_current)
        return era_change::outdated;
    const bool isFirst = m_current == 0;
    m_current = era;
    if (isFirst)
        return era_change::none;
    ++m_rises;
    return era_change::risen;
}

} // namespace limpet
