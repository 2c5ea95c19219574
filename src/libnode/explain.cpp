#include "state.h"

namespace limpet {

std::vector<std::string> node::explain(
    std::string_view method, std::string_view path, std::string_view team, time_point now)
{
    auto& impl = *m_state;
    std::vector<std::string> steps;
    if (!impl.config) {
        steps.emplace_back("configuration: none in force; refused as not-ready");
        return steps;
    }
    steps.push_back("configuration: revision " + std::to_string(impl.config->number));
    const auto* route = findRoute(*impl.config, method, path);
    if (!route) {
        steps.emplace_back("route: none matches; refused as unknown-route");
        return steps;
    }
    steps.push_back("route: " + route->method + " " + route->pathPrefix + " to service " + route->service
        + ", priority " + std::to_string(route->importance) + (route->openToAll ? ", open to all" : "")
        + (route->idempotent ? "" : ", non-idempotent"));
    if (!route->openToAll) {
        const bool allowed = impl.fleet.keyedCallsAllowed(now);
        steps.emplace_back(allowed ? "keys: this node can tell whether a key has been withdrawn"
                                   : "keys: this node cannot tell whether a key has been withdrawn; refused as "
                                     "key-unconfirmed");
        const auto* rule = findTeam(*impl.config, team);
        steps.push_back(rule ? "rate: team " + rule->team + " may send " + std::to_string(rule->ratePerSecond)
                    + "/s with a burst of " + std::to_string(rule->burst)
                             : "rate: no rule for team " + std::string(team) + "; refused as rate-exceeded");
    }
    const auto level = impl.thresholds.level(route->service, team, now);
    steps.push_back("threshold: service " + route->service + " admits priority " + std::to_string(level.lowestAdmitted)
        + " in part (" + std::to_string(level.admittedFraction) + ") and everything above");
    steps.push_back("routing: " + std::to_string(impl.routing.endpointCount(route->service)) + " endpoints of "
        + route->service + " take new work");
    return steps;
}

} // namespace limpet
