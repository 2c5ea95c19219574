#include "retry_budget.h"
#include <algorithm>
#include <cmath>

namespace limpet::mesh {
namespace {

    // Time constant of the numbers of requests, earned tokens and wanted retries.
    constexpr std::chrono::duration<double> decayTime { 2.0 };
    // Unused tokens of this time are kept: longer, and they could exceed the bound over its window.
    constexpr std::chrono::duration<double> storageTime { 1.0 };
    // A lower rate would let a single request earn many retries.
    constexpr double minFleetRequestsPerSecond = 20;
    // A budget that must be paid back holds back no more retries than this.
    constexpr double maxDebt = 20;

} // namespace

std::size_t retry_budget::classOf(double value)
{
    constexpr int lowest = minExponent * stepsPerOctave;
    const int step = value > 0 ? static_cast<int>(std::floor(stepsPerOctave * std::log2(value))) : lowest;
    return static_cast<std::size_t>(std::clamp(step - lowest, 0, static_cast<int>(valueClasses) - 1));
}

retry_budget::service_budget& retry_budget::budgetOf(const std::string& service, time_point now)
{
    const auto [found, added] = m_services.try_emplace(service);
    auto& budget = found->second;
    if (added) {
        budget.tokens = m_options.initialReserve / m_nodeCount;
        budget.capacity = std::max(1.0, budget.tokens);
        budget.lastDecay = now;
    }
    const double elapsed = std::chrono::duration<double>(now - budget.lastDecay).count();
    if (elapsed <= 0)
        return budget;
    budget.lastDecay = now;
    const double kept = std::exp(-elapsed / decayTime.count());
    budget.requests *= kept;
    budget.earned *= kept;
    for (auto& each : budget.demand)
        each *= kept;
    return budget;
}

void retry_budget::addRequest(const std::string& service, double fleetRequestsPerSecond, time_point now)
{
    auto& budget = budgetOf(service, now);
    budget.requests += 1;
    double earned = m_options.tokensPerRequest;
    double capacity = std::max(1.0, storageTime.count() * budget.earned / decayTime.count());
    if (fleetRequestsPerSecond > 0) {
        const double fleetRate = std::max(fleetRequestsPerSecond, minFleetRequestsPerSecond);
        earned += m_options.reservePerSecond / fleetRate;
        const double share = std::min(1.0, budget.requests / decayTime.count() / fleetRate);
        capacity = std::max(capacity, share * m_options.storedReserve);
    }
    budget.earned += earned;
    budget.capacity = capacity;
    budget.tokens = std::min(budget.tokens + earned, budget.capacity);
}

bool retry_budget::tryConsume(const std::string& service, double value, time_point now)
{
    auto& budget = budgetOf(service, now);
    const auto valueClass = classOf(value);
    budget.demand.at(valueClass) += 1;
    double higher = 0;
    for (std::size_t index = valueClass + 1; index < valueClasses; ++index)
        higher += budget.demand.at(index);
    if (budget.tokens < 1 || (higher > 0 && higher >= budget.earned))
        return false;
    const bool valuableCovered = budget.tokens - 1 >= (budget.capacity - 1) * higher / std::max(budget.earned, 1e-9);
    if (higher > 0 && !valuableCovered)
        return false;
    budget.tokens -= 1;
    return true;
}

void retry_budget::charge(const std::string& service, time_point now)
{
    auto& budget = budgetOf(service, now);
    budget.tokens = std::max(budget.tokens - 1, -maxDebt);
}

} // namespace limpet::mesh
