#include "call_tree.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    // Difference between the deadlines of a call and its parent: deadlines are sent in whole milliseconds.
    constexpr duration deadlineTolerance = std::chrono::milliseconds(3);
    // Weight of one execution in the mean number of calls.
    constexpr double callsWeight = 0.1;
    // Limit on the abandoned executions that are remembered; those with the earliest deadlines are forgotten first.
    constexpr std::size_t maxAbandoned = 10'000;

    std::uint8_t increased(std::uint8_t value, unsigned by)
    {
        return static_cast<std::uint8_t>(std::min(255U, value + by));
    }

} // namespace

tree_position call_tree::childPosition(const execution& parent)
{
    auto position = parent.position;
    for (const auto& [route, finished] : parent.finishedCalls)
        position.finishedCalls = increased(position.finishedCalls, finished);
    return position;
}

void call_tree::executionStarted(
    std::uint64_t execution, std::string requestId, time_point deadline, const tree_position& position)
{
    m_byRequestId[requestId] = execution;
    m_byDeadline.emplace(deadline, execution);
    m_executions[execution] = { std::move(requestId), deadline, position, {}, false };
}

void call_tree::executionEnded(std::uint64_t execution, bool succeeded)
{
    const auto found = m_executions.find(execution);
    if (found == m_executions.end())
        return;
    const auto& ended = found->second;
    if (succeeded) {
        for (const auto& [route, finished] : ended.finishedCalls) {
            auto& mean = m_callsPerExecution.try_emplace(route, finished).first->second;
            mean += callsWeight * (finished - mean);
        }
    }
    const auto named = m_byRequestId.find(ended.requestId);
    if (named != m_byRequestId.end() && named->second == execution)
        m_byRequestId.erase(named);
    m_byDeadline.erase({ ended.deadline, execution });
    m_executions.erase(found);
}

void call_tree::executionAbandoned(std::uint64_t execution, time_point now)
{
    const auto found = m_executions.find(execution);
    if (found == m_executions.end())
        return;
    const auto requestId = found->second.requestId;
    const auto deadline = found->second.deadline;
    executionEnded(execution, false);
    forgetAbandonedBefore(now);
    if (requestId.empty() || deadline <= now || !m_abandoned.emplace(requestId, deadline).second)
        return;
    m_abandonedByDeadline.emplace(deadline, requestId);
}

void call_tree::forgetAbandonedBefore(time_point now)
{
    while (!m_abandonedByDeadline.empty()
        && (m_abandonedByDeadline.begin()->first < now || m_abandoned.size() >= maxAbandoned)) {
        m_abandoned.erase(m_abandonedByDeadline.begin()->second);
        m_abandonedByDeadline.erase(m_abandonedByDeadline.begin());
    }
}

/// Finds the execution with the longest request id that the given one extends. One that was abandoned does not match if
/// its request is being executed again.
std::optional<call_tree::parent_match> call_tree::findByRequestId(const std::string& requestId) const
{
    for (auto end = requestId.rfind('.'); end != std::string::npos && end > 0; end = requestId.rfind('.', end - 1)) {
        const auto prefix = requestId.substr(0, end);
        if (const auto found = m_byRequestId.find(prefix); found != m_byRequestId.end())
            return parent_match { true, false, found->second, childPosition(m_executions.at(found->second)) };
        if (m_abandoned.contains(prefix))
            return parent_match { true, true, std::nullopt, {} };
    }
    return std::nullopt;
}

bool call_tree::isAbandoned(const std::string& requestId) const
{
    const auto named = findByRequestId(requestId);
    return named && named->abandoned;
}

call_tree::parent_match call_tree::findParent(const std::string& requestId, time_point deadline) const
{
    if (const auto named = findByRequestId(requestId))
        return *named;
    parent_match match;
    unsigned candidates = 0;
    for (auto each = m_byDeadline.lower_bound({ deadline - deadlineTolerance, 0 });
         each != m_byDeadline.end() && each->first <= deadline + deadlineTolerance; ++each) {
        const auto position = childPosition(m_executions.at(each->second));
        ++candidates;
        if (candidates == 1)
            match = { true, false, each->second, position };
        else {
            match.execution.reset();
            match.position.rootRank = std::max(match.position.rootRank, position.rootRank);
            match.position.rootRouteRank = std::max(match.position.rootRouteRank, position.rootRouteRank);
            match.position.finishedCalls = std::min(match.position.finishedCalls, position.finishedCalls);
            match.position.retried = match.position.retried || position.retried;
        }
    }
    return match;
}

void call_tree::callFinished(std::uint64_t execution, const std::string& route, bool failed)
{
    const auto found = m_executions.find(execution);
    if (found == m_executions.end())
        return;
    if (failed)
        found->second.failedBelow = true;
    else
        ++found->second.finishedCalls[route];
}

bool call_tree::failedBelow(std::uint64_t execution) const
{
    const auto found = m_executions.find(execution);
    return found != m_executions.end() && found->second.failedBelow;
}

double call_tree::remainingCalls(std::optional<std::uint64_t> execution, const std::string& route) const
{
    const auto mean = m_callsPerExecution.find(route);
    const auto found = execution ? m_executions.find(*execution) : m_executions.end();
    if (mean == m_callsPerExecution.end() || found == m_executions.end())
        return 1;
    const auto& finishedCalls = found->second.finishedCalls;
    const auto finished = finishedCalls.find(route);
    return std::max(1.0, mean->second - (finished == finishedCalls.end() ? 0 : finished->second));
}

} // namespace limpet::mesh
