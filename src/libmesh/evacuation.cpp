// Evacuation of availability zones: an operator asks that their backend servers get no further calls for a while. The
// nodes that read the store tell the others in their statuses. The node beside each backend server enforces it, since
// every call to that server passes it; the other nodes send their calls elsewhere.

#include "state.h"

namespace limpet::mesh {
namespace {

    std::string join(const std::vector<std::string>& names)
    {
        std::string joined;
        for (const auto& each : names)
            joined += (joined.empty() ? "" : ",") + each;
        return joined;
    }

    /// Eras of the store rise, and its revisions start again from a copy in each of them.
    bool isLater(const store_position& left, const store_position& right)
    {
        return std::pair(left.era, left.revision) > std::pair(right.era, right.revision);
    }

} // namespace

bool node::state::isEvacuated(const std::string& zone) const
{
    return std::find(evacuations.zones.begin(), evacuations.zones.end(), zone) != evacuations.zones.end();
}

/// Takes the evacuations that the store held at a position, unless later ones are known.
void node::state::mergeEvacuations(const evacuations_read& read, time_point now, actions& out)
{
    if (!isLater(read.position, evacuations.position))
        return;
    evacuations.position = read.position;
    if (read.zones == evacuations.zones)
        return;
    const auto& own = options.availabilityZone;
    const bool wasEvacuated = isEvacuated(own);
    evacuations.zones = read.zones;
    log(out, "evacuations",
        { { "zones", join(read.zones) }, { "revision", std::to_string(read.position.revision) },
            { "era", std::to_string(read.position.era) } });
    urgentStatusDue = true;
    if (isEvacuated(own) && !wasEvacuated)
        refuseQueued(refusal_reason::noBackendServer, now, out);
    // Idle servers may have turned cold.
    if (!isEvacuated(own) && wasEvacuated)
        assumeCold("evacuation-ended", now, out);
}

/// Adds what this node knows of evacuations to its status.
void node::state::reportEvacuations(wire::status_data& status) const
{
    status.evacuations_revision = evacuations.position.revision;
    status.evacuations_era = evacuations.position.era;
    status.evacuated = evacuations.zones;
}

} // namespace limpet::mesh
