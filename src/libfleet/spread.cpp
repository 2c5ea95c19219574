// Configuration held by this node: adoption, entry into force, repair from other members.

#include "fleet_impl.h"

#include <algorithm>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t maxDeltas = 64;
    constexpr std::size_t maxDeltaBytes = 256 * std::size_t { 1024 };
    constexpr std::size_t maxAhead = 4;
    // The tree usually delivers a new revision before a pull is due.
    constexpr duration pullDelay = 200ms;
    constexpr duration pullRetry = 1s;

} // namespace

void fleet_impl::adopt(configuration config, std::string delta, time_point now, fleet_actions& actions)
{
    if (config.number <= held())
        return;
    if (delta.empty()) {
        m_deltas.clear();
        m_deltaBytes = 0;
    } else {
        m_deltaBytes += delta.size();
        m_deltas.push_back({ held(), config.number, m_checksum, std::move(delta) });
    }
    while (m_deltas.size() > maxDeltas || m_deltaBytes > maxDeltaBytes) {
        m_deltaBytes -= m_deltas.front().text.size();
        m_deltas.pop_front();
    }
    m_checksum = checksum(config);
    m_held = std::make_shared<const configuration>(std::move(config));
    m_freshness.hold(m_held->number);
    if (held() >= m_freshness.highest()) {
        m_ahead.clear();
        m_nextPull = time_point::max();
    }
    force(now, actions);
}

void fleet_impl::force(time_point now, fleet_actions& actions)
{
    if (!m_held || (m_inForce && m_inForce->number >= m_held->number))
        return;
    // What a restarted node was given may be old, so the first revision needs a witness.
    const bool witnessed = m_inForce || m_freshness.confirmed(now)
        || (m_freshness.storeDownForEveryone(now) && held() >= m_freshness.highest());
    if (!witnessed)
        return;
    m_inForce = m_held;
    actions.emplace_back(configuration_in_force { m_inForce });
    for (auto relay : m_relays)
        reportInForce(relay, actions);
}

void fleet_impl::hearRevision(node_id from, revision number, time_point now)
{
    m_freshness.hear(number);
    if (number <= held() || std::find(m_ahead.begin(), m_ahead.end(), from) != m_ahead.end())
        return;
    if (m_ahead.size() == maxAhead)
        m_ahead.erase(m_ahead.begin());
    m_ahead.push_back(from);
    const auto jitter
        = duration(static_cast<duration::rep>(m_random->below(static_cast<std::uint64_t>(pullDelay.count()))));
    m_nextPull = std::min(m_nextPull, now + pullDelay + jitter);
}

void fleet_impl::pullConfiguration(time_point now, fleet_actions& actions)
{
    if (m_ahead.empty()) {
        m_nextPull = time_point::max();
        return;
    }
    // The peer leaves the list and comes back with its next message, so that a dead one is not asked again.
    const auto chosen = m_random->below(m_ahead.size());
    const auto peer = m_ahead[chosen];
    m_ahead.erase(m_ahead.begin() + static_cast<std::ptrdiff_t>(chosen));
    m_nextPull = now + pullRetry;
    send(peer, fleet_configuration_pull { held(), m_checksum }, actions);
}

void fleet_impl::handle(node_id from, const fleet_configuration_pull& message, time_point now, fleet_actions& actions)
{
    (void)now;
    if (message.held >= held())
        return;
    fleet_configuration_push answer { {}, message.held, {}, {}, m_checksum };
    auto next = std::find_if(m_deltas.begin(), m_deltas.end(),
        [&](const held_delta& delta) { return delta.from == message.held && delta.fromChecksum == message.checksum; });
    for (; next != m_deltas.end(); ++next)
        answer.deltas.push_back(next->text);
    if (answer.deltas.empty())
        answer.document = encodeConfiguration(*m_held);
    send(from, std::move(answer), actions);
}

} // namespace limpet
