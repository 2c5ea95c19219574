#pragma once

// Rate of events, with a short memory.

#include <cmath>
#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Estimates the rate of events over about the last second.
class rate_estimator {
public:
    void add(time_point now)
    {
        decay(now);
        m_count += 1;
    }
    /// Returns the rate in events per second.
    double perSecond(time_point now)
    {
        decay(now);
        return lastPerSecond();
    }
    /// Returns the rate at the time of the last call of another function.
    double lastPerSecond() const { return m_count / timeConstant.count(); }

private:
    static constexpr std::chrono::duration<double> timeConstant { 1.0 };

    void decay(time_point now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_decayedAt).count();
        if (elapsed <= 0)
            return;
        m_count *= std::exp(-elapsed / timeConstant.count());
        m_decayedAt = now;
    }

    double m_count = 0; ///< decayed number of events
    time_point m_decayedAt {};
};

} // namespace limpet::mesh
