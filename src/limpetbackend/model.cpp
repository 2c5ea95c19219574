#include "model.h"
#include <cmath>
#include <numbers>

namespace limpet {
namespace {

    constexpr double coldFactor = 5; // a run right after start takes this many times longer
    constexpr std::size_t staleSeconds = 10;
    constexpr std::size_t slotsLie = 10;

    double drawNormal(random_source& random)
    {
        const double radius = std::sqrt(-2 * std::log1p(-random.uniform()));
        return radius * std::cos(2 * std::numbers::pi * random.uniform());
    }

} // namespace

server_model::server_model(
    const backend_options& options, const server_options& server, std::uint64_t seed, duration now)
    : m_options(options)
    , m_slots(server.slots)
    , m_random(seed)
    , m_startedAt(now)
{
}

duration server_model::drawServiceTime(duration now)
{
    double time = static_cast<double>(m_options.serviceTime.count());
    if (m_options.distribution == service_distribution::exponential)
        time *= -std::log1p(-m_random.uniform());
    else if (m_options.distribution == service_distribution::lognormal)
        time *= std::exp(drawNormal(m_random) - 0.5); // sigma is 1; the half keeps the mean
    const auto age = now - m_startedAt;
    if (age < m_options.coldStart) {
        const double left = 1 - static_cast<double>(age.count()) / static_cast<double>(m_options.coldStart.count());
        time *= 1 + (coldFactor - 1) * left;
    }
    return duration(std::llround(time * m_slowFactor));
}

void server_model::note(const load& current)
{
    m_noted.push_back(current);
    if (m_noted.size() > staleSeconds)
        m_noted.pop_front();
}

server_model::load server_model::shownLoad(const load& current) const
{
    if (m_options.lie == lie_kind::idle)
        return {};
    if (m_options.lie == lie_kind::stale)
        return m_noted.empty() ? load {} : m_noted.front();
    return current;
}

std::size_t server_model::shownSlots() const { return m_options.lie == lie_kind::idle ? m_slots * slotsLie : m_slots; }

} // namespace limpet
