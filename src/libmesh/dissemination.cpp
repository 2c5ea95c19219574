// Dissemination of node statuses. Each node sends its status to the relays of its availability zone. A relay forwards
// the statuses of its zone in bundles to the nodes of its zone and to the relays of the other zones.

#include "state.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // With two relays per availability zone, the loss of one only delays statuses.
    constexpr std::size_t relaysPerZone = 2;
    // Number of nodes that receive the bundles of a zone without a known relay.
    constexpr std::size_t fallbackReceivers = 4;
    // Between two bundles of a relay, including urgent ones.
    constexpr duration minBundleInterval = std::chrono::milliseconds(100);
    // Bytes of statuses in one datagram, well below the 64 KB limit of UDP.
    constexpr std::size_t maxBundleBytes = 16000;
    // Number of nodes of this zone, and of other zones, whose status is requested at once.
    constexpr std::size_t maxOwnZoneRequests = 64;
    constexpr std::size_t maxOtherZoneRequests = 16;
    // Fleet size up to which statuses are sent at the configured interval.
    constexpr double baseFleetSize = 100;

    /// Packs encoded statuses into bundles that each fit into a datagram.
    std::vector<std::string> packBundles(
        const std::vector<const std::string*>& encodedStatuses, std::size_t relayIndex, bool forwarded)
    {
        std::vector<std::string> packed;
        wire::bundle_data bundle;
        bundle.relay = static_cast<std::uint8_t>(relayIndex);
        bundle.forwarded = forwarded;
        std::size_t bytes = 0;
        const auto finish = [&] {
            if (!bundle.statuses.empty())
                packed.push_back(encodeBundle(bundle));
            bundle.statuses.clear();
            bytes = 0;
        };
        for (const auto* encodedStatus : encodedStatuses) {
            if (bytes + encodedStatus->size() > maxBundleBytes)
                finish();
            auto row = std::make_unique<wire::bundled_status_data>();
            row->bytes = *encodedStatus;
            bundle.statuses.push_back(std::move(row));
            bytes += encodedStatus->size();
        }
        finish();
        return packed;
    }

} // namespace

/// Scales an interval or timeout with the fleet size, so that the status traffic of a node does not grow with the
/// fleet.
duration node::state::scaleInterval(duration usual) const
{
    const double factor = std::max(1.0, static_cast<double>(peers.size()) / baseFleetSize);
    return duration(std::llround(static_cast<double>(usual.count()) * factor));
}

std::string node::state::ownStatus(bool replyRequested, time_point now)
{
    wire::status_data status;
    status.node = options.name;
    status.run = options.run;
    status.sequence = ++statusSequence;
    status.region = options.region;
    status.availability_zone = options.availabilityZone;
    status.service = self.service;
    status.endpoint = backend.id;
    auto state = endpoint_state::ready;
    if (backend.id.empty())
        state = endpoint_state::absent;
    else if (backend.draining || isEvacuated(options.availabilityZone))
        state = endpoint_state::draining;
    else if (!backend.reachable)
        state = endpoint_state::down;
    status.state = static_cast<std::uint8_t>(state);
    status.slots = self.slots;
    status.cold_ms = self.coldUntil > now ? static_cast<std::uint32_t>((self.coldUntil - now).count() / 1000) : 0;
    status.leaving = self.leaving;
    status.store_lost = !storeReachable;
    status.configuration = config ? config->content().version : 0;
    status.load = std::make_unique<wire::load_report_data>(packLoad(ownLoad()));
    for (const auto& each : rates.buildReports(now))
        status.uses.emplace_back(each.team, static_cast<float>(each.demand), each.admitted);
    status.introduce = replyRequested;
    status.ip = options.address.ip;
    status.port = options.address.port;
    status.news = urgentStatusDue;
    reportEvacuations(status);
    return encodeStatus(status);
}

/// Returns the relays of a zone: its first live nodes by name, possibly including this one.
std::vector<std::string> node::state::relaysOf(const std::string& zone, time_point now) const
{
    const bool own = zone == options.availabilityZone;
    const auto timeout = scaleInterval(relayTimeout);
    std::vector<std::string> names;
    if (own && !self.leaving)
        names.push_back(options.name);
    for (const auto& [name, peer] : peers) {
        if (peer.availabilityZone != zone || peer.leaving)
            continue;
        if (own ? now - peer.lastSeen <= timeout : isLive(peer, now))
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    if (names.size() > relaysPerZone)
        names.resize(relaysPerZone);
    return names;
}

/// Returns the relays of this node's zone, which receive its status. Without another live relay, all known nodes of the
/// zone receive it, so that they discover each other again.
std::vector<const endpoint*> node::state::statusReceivers(time_point now) const
{
    std::vector<const endpoint*> receivers;
    bool hasRelays = false;
    for (const auto& name : relaysOf(options.availabilityZone, now)) {
        if (name == options.name)
            continue;
        receivers.push_back(&peers.at(name));
        hasRelays = true;
    }
    if (hasRelays)
        return receivers;
    for (const auto& [name, peer] : peers) {
        if (peer.availabilityZone == options.availabilityZone)
            receivers.push_back(&peer);
    }
    return receivers;
}

/// Returns the nodes of another zone that receive the bundles of this relay: the relay there with the same index, or
/// random nodes if no relay is live.
std::vector<const endpoint*> node::state::bundleReceivers(
    const std::string& zone, std::size_t relayIndex, time_point now)
{
    auto relays = relaysOf(zone, now);
    // A faulty status may name this node's zone together with another region.
    std::erase(relays, options.name);
    if (!relays.empty())
        return { &peers.at(relays[std::min(relayIndex, relays.size() - 1)]) };
    std::vector<const endpoint*> all;
    for (const auto& [name, peer] : peers) {
        if (peer.availabilityZone == zone)
            all.push_back(&peer);
    }
    std::vector<const endpoint*> chosen;
    while (!all.empty() && chosen.size() < fallbackReceivers) {
        const auto index
            = std::min(static_cast<std::size_t>(random.uniform() * static_cast<double>(all.size())), all.size() - 1);
        chosen.push_back(all[index]);
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return chosen;
}

void node::state::sendOwnStatus(time_point now, actions& out)
{
    const bool urgent = urgentStatusDue && now - lastStatusAt >= minStatusInterval;
    if (!urgent && now < nextStatusAt)
        return;
    silentFraction = measureSilence(now);
    updateServiceLoads(now);
    const auto bytes = ownStatus(false, now);
    for (const auto* each : statusReceivers(now))
        out.emplace_back(send_status { each->address, bytes });
    self.encodedStatus = bytes;
    self.forwarded = false;
    if (urgentStatusDue)
        expediteBundle(now);
    urgentStatusDue = false;
    lastStatusAt = now;
    nextStatusAt = now + scaleInterval(options.statusInterval);
}

void node::state::expediteBundle(time_point now)
{
    nextBundleAt = std::min(nextBundleAt, std::max(now, lastBundleAt + minBundleInterval));
}

/// As a relay, forwards the statuses received since the last bundle: those of its zone to the other zones, and all to
/// the nodes of its zone.
void node::state::sendBundles(time_point now, actions& out)
{
    if (now < nextBundleAt)
        return;
    nextBundleAt = now + scaleInterval(options.bundleInterval);
    const auto relays = relaysOf(options.availabilityZone, now);
    const auto position = std::find(relays.begin(), relays.end(), options.name);
    if (position == relays.end())
        return;
    lastBundleAt = now;
    const auto relayIndex = static_cast<std::size_t>(position - relays.begin());
    std::vector<const std::string*> zoneStatuses;
    std::vector<const std::string*> all;
    const auto add = [&](endpoint& each) {
        if (!each.forwarded && !each.encodedStatus.empty()) {
            all.push_back(&each.encodedStatus);
            if (each.availabilityZone == options.availabilityZone)
                zoneStatuses.push_back(&each.encodedStatus);
        }
        each.forwarded = true;
    };
    add(self);
    for (auto& [name, peer] : peers)
        add(peer);
    sendToZones(packBundles(zoneStatuses, relayIndex, false), relayIndex, now, out);
    const auto bundles = packBundles(all, relayIndex, true);
    for (const auto& [name, peer] : peers) {
        if (peer.availabilityZone != options.availabilityZone)
            continue;
        for (const auto& bytes : bundles)
            out.emplace_back(send_status { peer.address, bytes });
    }
}

/// Sends the bundles of this zone to each other zone of the region, and once to each other region, which forwards them
/// to its zones.
void node::state::sendToZones(
    const std::vector<std::string>& bundles, std::size_t relayIndex, time_point now, actions& out)
{
    std::map<std::string, std::string> zoneOfRegion; ///< one zone per other region
    std::set<std::string> zones;
    for (const auto& [name, peer] : peers) {
        if (peer.region != options.region)
            zoneOfRegion.try_emplace(peer.region, peer.availabilityZone);
        else if (peer.availabilityZone != options.availabilityZone)
            zones.insert(peer.availabilityZone);
    }
    for (const auto& [region, zone] : zoneOfRegion)
        zones.insert(zone);
    for (const auto& zone : zones) {
        for (const auto* receiver : bundleReceivers(zone, relayIndex, now)) {
            for (const auto& bytes : bundles)
                out.emplace_back(send_status { receiver->address, bytes });
        }
    }
}

void node::state::receiveStatus(const status_received& received, time_point now, actions& out)
{
    if (isBundle(received.bytes)) {
        receiveBundle(received, now, out);
        return;
    }
    const auto parsed = parseStatus(received.bytes);
    if (!parsed) {
        log(out, "status_ignored", { { "reason", parsed.error().message } });
        return;
    }
    updatePeer(*parsed, received.bytes, now, out);
    if (parsed->introduce)
        out.emplace_back(send_status { received.peer, ownStatus(false, now) });
}

/// Handles the statuses of a zone and forwards the bundle unless it has been forwarded before.
void node::state::receiveBundle(const status_received& received, time_point now, actions& out)
{
    auto parsed = parseBundle(received.bytes);
    if (!parsed) {
        log(out, "status_ignored", { { "reason", parsed.error().message } });
        return;
    }
    std::string region;
    for (const auto& each : parsed->statuses) {
        const auto status = parseStatus(each->bytes);
        if (!status) {
            log(out, "status_ignored", { { "reason", status.error().message } });
            continue;
        }
        region = status->region;
        updatePeer(*status, each->bytes, now, out);
    }
    if (parsed->forwarded || region.empty())
        return;
    parsed->forwarded = true;
    forwardBundle(encodeBundle(*parsed), region, parsed->relay, now, out);
}

/// Forwards a bundle of another region to the relays of all zones of this region. A node that is not a relay forwards
/// every bundle to the relays of its own zone.
void node::state::forwardBundle(
    const std::string& bytes, const std::string& region, std::size_t relayIndex, time_point now, actions& out)
{
    std::set<std::string> zones;
    if (region != options.region) {
        for (const auto& [name, peer] : peers) {
            if (peer.region == options.region && peer.availabilityZone != options.availabilityZone)
                zones.insert(peer.availabilityZone);
        }
    }
    for (const auto& zone : zones) {
        for (const auto* receiver : bundleReceivers(zone, relayIndex, now))
            out.emplace_back(send_status { receiver->address, bytes });
    }
    const auto own = relaysOf(options.availabilityZone, now);
    if (std::find(own.begin(), own.end(), options.name) != own.end())
        return;
    for (const auto& name : own)
        out.emplace_back(send_status { peers.at(name).address, bytes });
}

/// Requests the status of nodes known only by address: all of this node's zone, and a few random ones of other zones. A
/// node that discovered another region first would send its calls there.
void node::state::requestStatuses(time_point now, actions& out)
{
    std::vector<std::pair<const socket_address, unknown_node>*> otherZoneNodes;
    std::string statusRequest;
    std::size_t requested = 0;
    const auto requestStatus = [&](const socket_address& address, unknown_node& each) {
        if (statusRequest.empty())
            statusRequest = ownStatus(true, now);
        each.requestedAt = now;
        out.emplace_back(send_status { address, statusRequest });
        ++requested;
    };
    for (auto each = unknownNodes.begin(); each != unknownNodes.end();) {
        if (now - each->second.since > statusRequestTimeout) {
            each = unknownNodes.erase(each);
            continue;
        }
        const bool due = now - each->second.requestedAt >= statusRequestInterval;
        if (due && !each->second.inOwnZone)
            otherZoneNodes.push_back(&*each);
        else if (due && requested < maxOwnZoneRequests)
            requestStatus(each->first, each->second);
        ++each;
    }
    for (std::size_t left = std::min(otherZoneNodes.size(), maxOtherZoneRequests); left > 0; --left) {
        const auto index
            = std::min(static_cast<std::size_t>(random.uniform() * static_cast<double>(otherZoneNodes.size())),
                otherZoneNodes.size() - 1);
        requestStatus(otherZoneNodes[index]->first, otherZoneNodes[index]->second);
        otherZoneNodes.erase(otherZoneNodes.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

} // namespace limpet::mesh
