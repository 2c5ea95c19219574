#pragma once

#include "options.h"
#include <deque>

namespace limpet {

/// Behaviour of a backend server apart from HTTP: how long runs take and what it says about itself.
class server_model {
public:
    server_model(const backend_options& options, const server_options& server, std::uint64_t seed, duration now);

    /// Draws the time that a run takes which begins now.
    duration drawServiceTime(duration now);
    /// Runs take this many times longer from now on.
    void setSlowFactor(double factor) { m_slowFactor = factor; }

    struct load {
        std::size_t inFlight = 0;
        std::size_t queued = 0;
        bool draining = false;
    };
    /// Notes the state once per second, for stale answers.
    void note(const load& current);
    /// Returns what the health and load pages show.
    load shownLoad(const load& current) const;
    std::size_t shownSlots() const;

private:
    backend_options m_options;
    std::size_t m_slots;
    random_source m_random;
    duration m_startedAt;
    double m_slowFactor = 1;
    std::deque<load> m_noted;
};

} // namespace limpet
