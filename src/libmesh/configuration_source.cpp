// Distribution of the configuration: the first node of each zone reads it from the store, the others get it from their
// zone. A document may be large: one that each node fetched for itself would fill the links between the regions and
// those of the nodes that have it, and hold up all calls there.

#include "state.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    // Between two requests for a new configuration, and before another zone or region is asked.
    constexpr duration pullInterval = std::chrono::milliseconds(400);
    // Another node is asked after this time without a reply. A reply to another region is paced and takes longer.
    constexpr duration pullTimeout = std::chrono::milliseconds(800);
    constexpr duration otherRegionPullTimeout = std::chrono::seconds(4);
    // A node that does not get a new configuration from other nodes reads it from the store after this time, and after
    // another readStagger for each node of its zone that does so before. The link to the store may be what is slow, and
    // each further read makes it slower: the next node waits for about as long as one read may take.
    constexpr duration maxPullTime = std::chrono::milliseconds(1500);
    constexpr duration readStagger = std::chrono::milliseconds(900);
    // A node that has started hears from its zone in this time after it knows the addresses there.
    constexpr duration introductionTime = std::chrono::milliseconds(100);
    // A node that has started gets the configuration that others hold within this time, or they do not have it.
    constexpr duration maxWithheldTime = std::chrono::seconds(10);
    // A node that cannot list the other nodes after its start goes on without.
    constexpr duration maxListTime = std::chrono::milliseconds(1500);

    enum class peer_distance : std::uint8_t { ownZone, ownRegion, otherRegion };

} // namespace

/// Handles the version of the configuration that another node holds.
void node::state::considerOffer(const wire::status_data& status, time_point now)
{
    const auto held = heldVersion();
    if (status.configuration <= held)
        return;
    if (newestVersion <= held)
        outdatedSince = now;
    const bool isNews = status.configuration > newestVersion;
    newestVersion = std::max(newestVersion, status.configuration);
    const bool isOffered = status.availability_zone == options.availabilityZone
        && status.configuration > requestedVersion && !readsConfiguration(now);
    if (isOffered || (isNews && held == 0))
        nextPullAt = now;
    else if (isNews)
        nextPullAt = now + pullInterval;
}

/// Returns one of the nearest live nodes with a newer configuration, or nullptr. All nodes request one at about the
/// same time: at first, only nodes of the own zone are asked, then those of the region, and those of another region
/// only by the nodes that fetch it for their zone.
const endpoint* node::state::configurationSource(time_point now)
{
    const auto held = heldVersion();
    const auto distance = [&](const endpoint& peer) {
        if (peer.region != options.region)
            return peer_distance::otherRegion;
        return peer.availabilityZone == options.availabilityZone ? peer_distance::ownZone : peer_distance::ownRegion;
    };
    auto maxDistance = peer_distance::ownZone;
    if (now - outdatedSince >= pullInterval)
        maxDistance = fetchesForZone(now) ? peer_distance::otherRegion : peer_distance::ownRegion;
    std::vector<const endpoint*> nearest;
    for (const auto& [name, peer] : peers) {
        if (peer.configurationVersion <= held || !isLive(peer, now) || distance(peer) > maxDistance)
            continue;
        if (!nearest.empty() && distance(peer) < distance(*nearest.front()))
            nearest.clear();
        if (nearest.empty() || distance(peer) == distance(*nearest.front()))
            nearest.push_back(&peer);
    }
    if (nearest.empty())
        return nullptr;
    const auto drawn = static_cast<std::size_t>(random.uniform() * static_cast<double>(nearest.size()));
    return nearest[std::min(drawn, nearest.size() - 1)];
}

/// Returns the number of live nodes of this zone that fetch the configuration before this one: those that reach the
/// store come first.
std::size_t node::state::earlierNodes(time_point now) const
{
    const auto isEarlier = [&](const endpoint& peer) {
        return std::pair(peer.storeLost, peer.node) < std::pair(!storeReachable, options.name);
    };
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto& each) {
        const auto& peer = each.second;
        return peer.availabilityZone == options.availabilityZone && isEarlier(peer) && !peer.leaving
            && now - peer.lastSeen <= scaleInterval(relayTimeout);
    }));
}

/// Starts the time in which this node gets to know the nodes of its zone.
void node::state::startIntroduction(time_point now)
{
    if (newestVersion == 0)
        outdatedSince = now;
    introductionEndsAt = std::min(introductionEndsAt, now + maxListTime);
}

/// Ends that time soon after the other nodes were first listed.
void node::state::shortenIntroduction(time_point now)
{
    if (!introduced)
        introductionEndsAt = std::min(introductionEndsAt, now + introductionTime);
}

bool node::state::readsConfiguration(time_point now) const { return storeReachable && fetchesForZone(now); }

/// Whether this node is the one of its zone that fetches a new configuration from elsewhere.
bool node::state::fetchesForZone(time_point now) const
{
    const auto held = heldVersion();
    if (held == 0 && !introduced && now < introductionEndsAt)
        return false;
    const auto earlier = earlierNodes(now);
    const bool outdated = held == 0 || newestVersion > held;
    return earlier == 0 || (outdated && now - outdatedSince > maxPullTime + earlier * readStagger);
}

/// Returns the time of the next request for a configuration, or the end of the introduction if it is earlier.
time_point node::state::nextConfigurationTimer() const
{
    const auto next = introduced ? time_point::max() : introductionEndsAt;
    if (newestVersion <= heldVersion())
        return next;
    return std::min(next, pullInFlight ? std::max(nextPullAt, pullTimeoutAt) : nextPullAt);
}

void node::state::pullConfiguration(time_point now, actions& out)
{
    introduced = introduced || now >= introductionEndsAt;
    if (newestVersion <= heldVersion() || now < nextPullAt || (pullInFlight && now < pullTimeoutAt))
        return;
    nextPullAt = now + pullInterval;
    const auto* nearest = configurationSource(now);
    if (!nearest)
        return;
    requestedVersion = nearest->configurationVersion;
    pullInFlight = nearest->address;
    pullTimeoutAt = now + (nearest->region == options.region ? pullTimeout : otherRegionPullTimeout);
    wire::frame_data frame;
    frame.configuration_pull = std::make_unique<wire::configuration_request_data>();
    frame.configuration_pull->region = options.region;
    sendFrame(nearest->address, std::move(frame), 1, now, out, traffic_class::bulk);
}

/// Ends the wait for the configuration of a node that has sent it, or whose link has closed.
void node::state::endPull(const socket_address& source, time_point now)
{
    if (pullInFlight != source)
        return;
    pullInFlight.reset();
    nextPullAt = std::min(nextPullAt, now + pullInterval);
}

void node::state::sendConfiguration(
    std::uint64_t link, const wire::configuration_request_data& request, time_point now, actions& out) const
{
    if (document.empty())
        return;
    wire::frame_data reply;
    reply.configuration_push = std::make_unique<wire::configuration_copy_data>();
    reply.configuration_push->document = document;
    const auto pace = request.region == options.region ? write_pace::sameRegion : write_pace::otherRegion;
    replyOver(link, std::move(reply), now, out, pace);
}

void node::state::applyConfiguration(configuration_received received, time_point now, actions& out)
{
    const auto version = received.content->content().version;
    if (version <= heldVersion())
        return;
    // Once this node has served by a configuration, a newer one is better than the one in force, even if not the
    // newest.
    if (heldVersion() == 0 && newerIsHeld(version, now)) {
        withhold(std::move(received), now, out);
        return;
    }
    putInForce(std::move(received), now, out);
}

/// Whether a live node holds a newer configuration than that.
bool node::state::newerIsHeld(std::uint64_t version, time_point now) const
{
    return std::any_of(peers.begin(), peers.end(),
        [&](const auto& each) { return each.second.configurationVersion > version && isLive(each.second, now); });
}

/// Keeps a configuration that this node must not serve by while others hold a newer one.
void node::state::withhold(configuration_received received, time_point now, actions& out)
{
    log(out, "configuration_withheld",
        { { "version", std::to_string(received.content->content().version) },
            { "newest", std::to_string(newestVersion) } });
    if (!withheld)
        withheldSince = now;
    withheld = std::move(received);
    nextPullAt = now;
}

/// Puts the configuration that was kept in force when no live node holds a newer one any more, or none sends it.
void node::state::releaseWithheld(time_point now, actions& out)
{
    if (!withheld)
        return;
    if (newerIsHeld(withheld->content->content().version, now) && now - withheldSince < maxWithheldTime)
        return;
    auto kept = std::move(*withheld);
    withheld.reset();
    putInForce(std::move(kept), now, out);
}

void node::state::putInForce(configuration_received received, time_point now, actions& out)
{
    const auto held = heldVersion();
    const auto version = received.content->content().version;
    log(out, "configuration",
        { { "version", std::to_string(version) }, { "before", std::to_string(held) },
            { "routes", std::to_string(received.content->content().routes.size()) },
            { "teams", std::to_string(received.content->content().teams.size()) } });
    withheld.reset();
    config = std::move(received.content);
    document = std::move(received.document);
    newestVersion = std::max(newestVersion, version);
    outdatedSince = now;
    rates.configure(config->content().teams, now);
    serviceCredit.clear();
    urgentStatusDue = true;
    updateColdBounds();
    updatePace(now, out);
    checkCandidate(now, out);
}

} // namespace limpet::mesh
