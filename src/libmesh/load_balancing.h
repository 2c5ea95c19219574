#pragma once

// What a node knows of each backend server, and the choice among them.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

enum class endpoint_state : std::uint8_t {
    ready,
    draining, ///< receives no new calls
    down, ///< refuses connections
    absent, ///< the node has no local backend server
};

/// Load of one backend server, as reported by its node.
struct endpoint_load {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned limit = 1; ///< concurrency limit
    duration latency { 0 }; ///< recent mean; zero: unknown
    double failureRate = 0; ///< recent fraction of failed calls
    double arrivalsPerSecond = 0; ///< calls that reach its node, including those refused there
};

/// A node's local backend server, as seen by the fleet.
struct endpoint {
    std::string node;
    std::uint64_t run = 0; ///< of the node
    std::uint64_t sequence = 0; ///< of its newest status
    socket_address address; ///< of the node, for links from other nodes
    std::string region;
    std::string availabilityZone;
    std::string service;
    std::string backendId;
    endpoint_state state = endpoint_state::absent;
    unsigned slots = 0;
    time_point coldUntil {}; ///< end of the cold start, during which it is slow
    bool leaving = false; ///< its node is shutting down
    bool storeLost = false; ///< its node cannot reach the store
    std::uint64_t configurationVersion = 0; ///< held by its node
    endpoint_load load;
    time_point lastSeen {};
    std::string encodedStatus; ///< its newest status, as received
    bool forwarded = false; ///< this node, as a relay, has passed encodedStatus on
    unsigned sentSinceReport = 0; ///< calls sent there since its last load report
    bool linkEnded = false; ///< a link to this run of its node has ended; later calls use another one
    time_point avoidUntil {}; ///< no new calls until then; set after a broken or unresponsive link
};

/// Returns the estimated cost of a call to the endpoint: distance, service time, and queueing delay caused by load.
duration endpointCost(const endpoint& candidate, const std::string& region, const std::string& zone,
    const load_balancing_options& options, time_point now);

struct endpoint_candidate {
    endpoint* target = nullptr;
    duration cost { 0 };
};

/// Chooses at random among the endpoints in the availability zone of the cheapest one, weighted towards cheaper and
/// larger endpoints. Randomization keeps nodes with the same load reports from all choosing the same endpoint.
/// draw: random number in [0, 1). Returns nullptr without candidates.
endpoint* chooseEndpoint(const std::vector<endpoint_candidate>& candidates, double draw);

} // namespace limpet::mesh
