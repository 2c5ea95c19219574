#pragma once

// Bound on the retries to each service.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Bounds the retries to a service. Each node earns tokens from its own first attempts and holds a fraction of the
/// shared reserve, so that the sum over all nodes stays within the fleet-wide bound without coordination.
///
/// While more retries are wanted than the budget earns, it is spent on the most valuable ones: a retry is refused while
/// the recent demand for more valuable ones alone takes all that is earned, and otherwise it must leave that part of
/// the capacity which corresponds to what they take.
class retry_budget {
public:
    struct options {
        double tokensPerRequest = 0; ///< retries earned by each first attempt
        double initialReserve = 0; ///< retries that all nodes together hold at the start
        double storedReserve = 0; ///< retries that all nodes together may accumulate; each at least one
        double reservePerSecond
            = 0; ///< retries that all nodes together earn for each service, however few its requests
    };

    explicit retry_budget(const options& given)
        : m_options(given)
    {
    }
    void configure(const options& given) { m_options = given; }
    void setNodeCount(std::size_t nodes) { m_nodeCount = static_cast<double>(nodes); }
    /// fleetRequestsPerSecond: rate of the requests of all nodes to the service; 0: unknown.
    void addRequest(const std::string& service, double fleetRequestsPerSecond, time_point now);
    /// Consumes one retry and returns true if the budget allows one of this value. value: expected benefit of the
    /// retry, relative to that of others; above 0.
    bool tryConsume(const std::string& service, double value, time_point now);
    /// Consumes one retry that is made without a decision of this node, such as the call of an execution that was
    /// itself a retry. The budget may fall below zero.
    void charge(const std::string& service, time_point now);

private:
    /// Retries are compared by their value, rounded down to a step; each step is a fraction of an octave.
    static constexpr int stepsPerOctave = 3;
    static constexpr int minExponent = -3;
    static constexpr int maxExponent = 4;
    static constexpr std::size_t valueClasses = (maxExponent - minExponent) * stepsPerOctave + 1;

    struct service_budget {
        double tokens = 0;
        double capacity = 1;
        double requests = 0; ///< decayed number of first attempts
        double earned = 0; ///< decayed number of earned tokens
        std::array<double, valueClasses> demand {}; ///< decayed number of wanted retries, by value
        time_point lastDecay {};
    };
    static std::size_t classOf(double value);
    service_budget& budgetOf(const std::string& service, time_point now);

    options m_options;
    double m_nodeCount = 1;
    std::unordered_map<std::string, service_budget> m_services;
};

} // namespace limpet::mesh
