// The public face of the library; the decisions are in the other files of this folder.

#include "fleet_impl.h"

namespace limpet {

std::string_view name(member_state state)
{
    constexpr std::array<std::string_view, 4> names { "alive", "draining", "suspect", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

fleet::fleet(fleet_settings settings, random_source& random)
    : m_impl(std::make_unique<fleet_impl>(std::move(settings), random))
{
}
fleet::~fleet() = default;
fleet::fleet(fleet&&) noexcept = default;
fleet& fleet::operator=(fleet&&) noexcept = default;

void fleet::start(time_point now, fleet_actions& actions) { m_impl->start(now, actions); }
void fleet::receive(node_id from, const fleet_message& message, time_point now, fleet_actions& actions)
{
    m_impl->receive(from, message, now, actions);
}
void fleet::tick(time_point now, fleet_actions& actions) { m_impl->tick(now, actions); }
time_point fleet::nextTimer() const { return m_impl->nextTimer(); }
void fleet::storeResult(const store_result& result, time_point now, fleet_actions& actions)
{
    m_impl->storeResult(result, now, actions);
}
void fleet::storeWatchEvent(const fleet_watch_event& event, time_point now, fleet_actions& actions)
{
    m_impl->storeWatchEvent(event, now, actions);
}
void fleet::observeStoreEra(store_era era, time_point now, fleet_actions& actions)
{
    m_impl->observeStoreEra(era, now, actions);
}
void fleet::drain(time_point now, fleet_actions& actions) { m_impl->drain(now, actions); }
void fleet::announce(std::string service, std::uint32_t slots, time_point now, fleet_actions& actions)
{
    m_impl->announce(std::move(service), slots, now, actions);
}

std::optional<member_record> fleet::member(node_id id) const { return m_impl->member(id); }
std::vector<member_record> fleet::members() const { return m_impl->members(); }
bool fleet::joined() const { return m_impl->joined(); }
std::vector<node_id> fleet::relays() const { return m_impl->relays(); }
std::shared_ptr<const configuration> fleet::inForce() const { return m_impl->inForce(); }
revision fleet::held() const { return m_impl->held(); }
acknowledgement fleet::acknowledged() const { return m_impl->acknowledged(); }
bool fleet::confirmed(time_point now) const { return m_impl->confirmed(now); }
bool fleet::storeDownForEveryone(time_point now) const { return m_impl->storeDownForEveryone(now); }
bool fleet::keyedCallsAllowed(time_point now) const { return m_impl->keyedCallsAllowed(now); }

} // namespace limpet
