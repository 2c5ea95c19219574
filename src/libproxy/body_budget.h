#pragma once

// Bound on the bytes that a process holds for bodies of requests and responses.

#include <limpetcroft/proxy.h>

namespace limpet::proxy {

/// Number of bytes that all connections together may hold for bodies.
class body_budget {
public:
    explicit body_budget(std::size_t limit)
        : m_limit(limit)
    {
    }
    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }
    /// Whether so much is used that nothing new should be begun.
    bool scarce() const
    {
        constexpr double scarceFraction = 0.75;
        return static_cast<double>(m_used) > scarceFraction * static_cast<double>(m_limit);
    }
    std::size_t mostUsed() const { return m_mostUsed; }
    /// Estimates how long it takes until that many bytes are free, from the recent rate of released bytes.
    duration timeUntilFree(std::size_t bytes, time_point now);

private:
    friend class body_reservation;
    bool tryAdd(std::size_t bytes);
    void add(std::size_t bytes);
    void release(std::size_t bytes)
    {
        m_used -= bytes;
        m_released += static_cast<double>(bytes);
    }

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_mostUsed = 0;
    double m_released = 0; ///< bytes, decayed
    time_point m_decayedAt {};
};

/// Bytes taken from a budget, returned on destruction.
class body_reservation {
public:
    body_reservation() = default;
    explicit body_reservation(body_budget* budget)
        : m_budget(budget)
    {
    }
    ~body_reservation() { clear(); }
    body_reservation(body_reservation&& other) noexcept
        : m_budget(other.m_budget)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    body_reservation& operator=(body_reservation&& other) noexcept
    {
        clear();
        m_budget = other.m_budget;
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }
    /// Takes further bytes up to a total. Returns false, taking none, if the budget does not have them.
    bool growTo(std::size_t total);
    /// Takes further bytes even beyond the limit, for what must be held anyway.
    void add(std::size_t bytes);
    /// Holds that many bytes from now on, even beyond the limit.
    void resize(std::size_t total);
    void clear();
    std::size_t bytes() const { return m_bytes; }

private:
    body_budget* m_budget = nullptr;
    std::size_t m_bytes = 0;
};

/// Returns a Retry-After header for a refusal until that many bytes of the budget are free.
header makeRetryAfter(body_budget& budget, std::size_t bytes, time_point now);

} // namespace limpet::proxy
