#pragma once

// Relates the calls that the local backend server makes to the calls that it executes, so that retries and queueing can
// prefer the call trees that are important and nearly complete.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Rank of a call whose root request is unknown: it gains nothing over a known one.
constexpr std::uint8_t unknownRank = 255;

/// Position of a call in the call tree of a client's request, the root.
struct tree_position {
    std::uint8_t rootRank = unknownRank; ///< rank of the root; 0 is the most important
    std::uint8_t rootRouteRank = unknownRank; ///< rank of its route, which orders requests of the same rank
    std::uint8_t finishedCalls = 0; ///< nested calls that have finished on the path from the root to this call
    bool retried = false; ///< the call is made by an execution that was itself a retry
};

/// The executions at the local backend server and the nested calls that they have made.
///
/// The deployment does not name the parent of a nested call. It is taken from the request id if that extends the id of
/// an execution by a suffix after a dot (hierarchical request ids), else from the deadline, which a nested call shares
/// with its parent unless its own route ends earlier.
class call_tree {
public:
    struct parent_match {
        bool found = false; ///< at least one execution matches
        bool abandoned = false; ///< the execution that makes the call was cancelled; nobody waits for it
        std::optional<std::uint64_t> execution; ///< empty unless exactly one matches
        tree_position position; ///< of the nested call; with several matches the least favourable one
    };

    void executionStarted(
        std::uint64_t execution, std::string requestId, time_point deadline, const tree_position& position);
    void executionEnded(std::uint64_t execution, bool succeeded);
    /// Records that the execution was cancelled because its caller is gone. A backend server that has not noticed may
    /// still make nested calls for it until its deadline.
    void executionAbandoned(std::uint64_t execution, time_point now);
    parent_match findParent(const std::string& requestId, time_point deadline) const;
    /// Whether the request is a nested call of an abandoned execution that is not being repeated.
    bool isAbandoned(const std::string& requestId) const;
    /// Records that a nested call to the route has finished.
    void callFinished(std::uint64_t execution, const std::string& route, bool failed);
    /// Whether a nested call of the execution has failed, so that its own failure has its cause below.
    bool failedBelow(std::uint64_t execution) const;
    /// Returns the expected number of calls that the execution still makes to the route, including the one in progress:
    /// at least 1.
    double remainingCalls(std::optional<std::uint64_t> execution, const std::string& route) const;

private:
    struct execution {
        std::string requestId;
        time_point deadline {};
        tree_position position;
        std::map<std::string, unsigned> finishedCalls; ///< by route
        bool failedBelow = false;
    };
    static tree_position childPosition(const execution& parent);
    std::optional<parent_match> findByRequestId(const std::string& requestId) const;
    void forgetAbandonedBefore(time_point now);

    std::unordered_map<std::uint64_t, execution> m_executions;
    std::unordered_map<std::string, std::uint64_t> m_byRequestId;
    std::set<std::pair<time_point, std::uint64_t>> m_byDeadline;
    std::map<std::string, time_point> m_abandoned; ///< deadlines of abandoned executions, by request id
    std::set<std::pair<time_point, std::string>> m_abandonedByDeadline;
    std::map<std::string, double> m_callsPerExecution; ///< recent mean of the executions that make any, by route
};

} // namespace limpet::mesh
