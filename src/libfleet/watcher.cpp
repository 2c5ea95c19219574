// Calls to the store: attestations, the watch of the deltas, and addresses for joining.

#include "fleet_impl.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace limpet {

using namespace std::chrono_literals;

namespace {

    constexpr duration requestMemory = 10s; ///< a later reply is ignored
    constexpr duration seedPeriod = 60s;
    constexpr duration watchRetry = 500ms;
    constexpr duration attestRetry = 250ms;
    constexpr duration maxSeedDelay = 2s; ///< after the store was restored
    constexpr std::size_t maxSeedPulls = 4;

    std::string seedKey(const member_record& self, std::size_t index)
    {
        return std::string(seedPrefix) + self.zone + "/" + std::to_string(index);
    }

    std::string seedText(const socket_address& address)
    {
        return nlohmann::json { { "ip", address.ip }, { "port", address.port } }.dump();
    }

    std::optional<socket_address> parseSeed(const std::string& text)
    {
        auto value = nlohmann::json::parse(text, nullptr, false);
        if (!value.is_object() || !value.contains("ip") || !value["ip"].is_string() || !value.contains("port")
            || !value["port"].is_number_unsigned())
            return std::nullopt;
        return socket_address { value["ip"].get<std::string>(), value["port"].get<std::uint16_t>() };
    }

    std::optional<revision> deltaNumber(const std::string& key)
    {
        if (!key.starts_with(deltaPrefix))
            return std::nullopt;
        revision number = 0;
        const auto* first = key.data() + deltaPrefix.size();
        const auto* last = key.data() + key.size();
        if (std::from_chars(first, last, number).ptr != last || first == last)
            return std::nullopt;
        return number;
    }

} // namespace

void fleet_impl::callStore(call_kind kind, store_operation operation, time_point now, fleet_actions& actions)
{
    m_requests[++m_token] = { kind, now, kind != call_kind::attest, m_storeNumber };
    actions.emplace_back(store_call { m_token, std::move(operation) });
}

// The compare holds exactly if the configuration is the one that was read last, so an unchanged configuration is
// confirmed without reading it again, and a changed one comes back with the reply. A key that is absent has
// revision 0.
void fleet_impl::attest(time_point now, fleet_actions& actions)
{
    m_nextAttest = now + m_settings.attestationPeriod;
    callStore(
        call_kind::attest, store_txn { { { std::string(configurationKey), m_storeRevision } }, {} }, now, actions);
}

void fleet_impl::judgeStore(time_point now, fleet_actions& actions)
{
    bool missed = false;
    for (auto& [token, request] : m_requests) {
        if (request.reported || now < request.asked + m_settings.storeTimeout)
            continue;
        request.reported = true;
        missed = true;
        // Dated at the call's start: the store may have come back, and changed, right after.
        m_freshness.missed(m_region, request.asked);
    }
    std::erase_if(m_requests, [&](const auto& item) { return now - item.second.asked > requestMemory; });
    if (!m_watching)
        return;
    if (missed)
        sendAttestations(now, actions);
    if (now >= m_nextAttest)
        attest(now, actions);
    if (now >= m_nextWatch) {
        m_nextWatch = time_point::max();
        actions.emplace_back(start_store_watch { std::string(deltaPrefix), nextStorePosition() });
    }
    if (now >= m_nextSeeds) {
        m_nextSeeds = now + seedPeriod;
        writeSeed(now, actions);
        callStore(call_kind::readSeeds, store_get { std::string(seedPrefix), true }, now, actions);
    }
}

void fleet_impl::writeSeed(time_point now, fleet_actions& actions)
{
    if (m_seedWritten)
        return;
    const auto rank = std::find(m_relays.begin(), m_relays.end(), self().id) - m_relays.begin();
    const auto key = seedKey(self(), static_cast<std::size_t>(rank));
    callStore(call_kind::writeSeed, store_txn { {}, { store_put { key, seedText(self().address), 0 } } }, now, actions);
}

void fleet_impl::takeSeeds(const store_get_reply& reply, fleet_actions& actions)
{
    const fleet_table_pull pull { self(), !joined() && m_join == join_state::zone, {} };
    // An address that is no live member's belongs to a part of the fleet that this one has not met, as after a start
    // of all nodes at once, or to a zone that has come back on other VMs.
    std::set<socket_address> met { self().address };
    for (const auto& [id, entry] : m_table.entries())
        if (view(entry).state == member_state::alive)
            met.insert(entry.record.address);
    std::vector<socket_address> addresses;
    for (const auto& entry : reply.entries)
        if (auto address = parseSeed(entry.value); address && !met.contains(*address))
            addresses.push_back(*address);
    for (const auto& address : m_settings.seeds)
        if (!met.contains(address))
            addresses.push_back(address);
    for (std::size_t count = 0; count < maxSeedPulls && !addresses.empty(); ++count) {
        const auto chosen = m_random->below(addresses.size());
        actions.emplace_back(send_message { {}, addresses[chosen], pull });
        addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

/// When the store was restored from a copy, revisions and replies of before name something else now: a compare may hold
/// for another document, and a watch from a revision that is given out again misses what lies below it.
era_change fleet_impl::observeStoreEra(store_era era, time_point now, fleet_actions& actions)
{
    const auto change = m_storeEra.observe(era);
    if (change != era_change::risen)
        return change;
    m_requests.clear();
    m_storeRevision = 0;
    m_storeNumber = 0;
    m_seedWritten = false;
    if (!m_watching)
        return change;
    actions.emplace_back(stop_store_watch { std::string(deltaPrefix) });
    m_nextWatch = now + watchRetry;
    // Relays of all zones write their addresses again.
    const auto wait = duration(m_random->below(static_cast<std::uint64_t>(maxSeedDelay.count())));
    m_nextSeeds = std::min(m_nextSeeds, now + wait);
    attest(now, actions);
    return change;
}

void fleet_impl::storeResult(const store_result& result, time_point now, fleet_actions& actions)
{
    noteTime(now, actions);
    if (observeStoreEra(result.era, now, actions) == era_change::outdated) {
        m_requests.erase(result.token);
        return;
    }
    auto found = m_requests.find(result.token);
    if (found == m_requests.end())
        return;
    const auto request = found->second;
    m_requests.erase(found);
    if (request.kind == call_kind::readSeeds) {
        const auto* reply = result.reply ? std::get_if<store_get_reply>(&*result.reply) : nullptr;
        takeSeeds(reply ? *reply : store_get_reply {}, actions);
    } else if (request.kind == call_kind::writeSeed)
        m_seedWritten = result.reply.has_value();
    else {
        const auto* reply = result.reply ? std::get_if<store_txn_reply>(&*result.reply) : nullptr;
        if (reply)
            takeHead(*reply, request, now, actions);
        else if (!request.reported)
            m_freshness.missed(m_region, request.asked);
        if (!request.reported)
            sendAttestations(now, actions);
        force(now, actions);
    }
    reportChanges(now, actions);
}

void fleet_impl::takeHead(
    const store_txn_reply& reply, const store_request& request, time_point now, fleet_actions& actions)
{
    if (reply.succeeded) {
        m_freshness.reached(m_region, request.number, request.asked);
        return;
    }
    auto entry = std::find_if(reply.current.begin(), reply.current.end(),
        [](const store_entry& candidate) { return candidate.key == configurationKey; });
    if (entry == reply.current.end() || entry->modRevision == 0) {
        m_storeRevision = 0;
        m_storeNumber = 0;
        return;
    }
    auto config = parseConfiguration(entry->value);
    // A document that cannot be read may withdraw a key, so it confirms nothing.
    if (!config)
        return;
    const auto number = config->number;
    if (entry->modRevision > m_storeRevision) {
        m_storeRevision = entry->modRevision;
        m_storeNumber = number;
    }
    if (number > held()) {
        // This call was faster than the watch. Without a delta of its own the zone would have to ask for the document.
        auto delta = m_held ? encodeDelta(*m_held, *config) : std::string();
        adopt(std::move(*config), std::move(delta), now, actions);
        pushDelta(now, actions);
    }
    m_freshness.reached(m_region, number, request.asked);
}

void fleet_impl::takeDelta(const store_entry& entry, time_point now, fleet_actions& actions)
{
    auto number = deltaNumber(entry.key);
    if (!number || entry.modRevision <= m_storeRevision)
        return;
    m_freshness.hear(*number);
    const auto before = held();
    if (*number > before) {
        auto after = applyDelta(m_held ? *m_held : configuration {}, entry.value);
        if (!after || after->number != *number) {
            // A delta is missing or damaged; the whole document is read instead.
            m_nextAttest = std::min(m_nextAttest, now + attestRetry);
            return;
        }
        adopt(std::move(*after), entry.value, now, actions);
    }
    if (held() != *number)
        return;
    // Written in one transaction with the configuration, which therefore has the same store revision.
    m_storeRevision = entry.modRevision;
    m_storeNumber = *number;
    pushDelta(now, actions);
}

void fleet_impl::storeWatchEvent(const fleet_watch_event& event, time_point now, fleet_actions& actions)
{
    noteTime(now, actions);
    const auto change = observeStoreEra(event.era, now, actions);
    if (change == era_change::none && m_watching && event.prefix == deltaPrefix) {
        for (const auto& entry : event.changed)
            takeDelta(entry, now, actions);
        if (event.broken)
            m_nextWatch = now + watchRetry;
    }
    reportChanges(now, actions);
}

} // namespace limpet
