#pragma once

// Fleet-wide rate limits of teams.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Returns the hash that identifies a team in usage reports.
std::uint32_t teamHash(std::string_view name);

struct team_report {
    std::uint32_t team = 0; ///< teamHash of its name
    std::uint64_t admitted = 0; ///< total since the reporting node started
    double demand = 0; ///< requests per second
};

/// Enforces the rate and burst of each team over all nodes, without a remote call per request.
///
/// Each node keeps a replica of the team's token bucket. Local admissions are deducted immediately, those of other
/// nodes when their reports arrive. While the bucket is well filled, every request is admitted. Below that level a node
/// admits its share of the rate, in proportion to its fraction of the demand, and nothing while the bucket is too far
/// in debt. The same holds while the demand clearly exceeds the rate, or has just multiplied. Reports carry running
/// totals, so that a lost report only delays the update.
class distributed_rate_limiter {
public:
    /// reportTimeout: a node without a report for this long is assumed to keep admitting its share. run: of this node,
    /// its start in microseconds.
    distributed_rate_limiter(duration reportTimeout, std::uint64_t run);
    void configure(const std::vector<team>& teams, time_point now);
    /// Adds a request to the team's demand and returns whether it is admitted.
    bool admit(const std::string& team, time_point now);
    /// Refunds the token of an admitted request that was refused without being executed.
    void refund(const std::string& team);
    /// Returns the delay after which a request of the team that admit() has just refused may be admitted.
    duration retryAfter(const std::string& team) const;
    /// Returns the inputs of the last decision about the team, as log fields.
    std::vector<std::pair<std::string, std::string>> decisionInputs(const std::string& team, time_point now) const;
    /// Merges the newest report of another node. The totals of a new run start from zero.
    void mergeReports(
        const std::string& node, std::uint64_t run, const std::vector<team_report>& reports, time_point now);
    /// Sets the number of nodes that the store lists, including this one. Until other nodes have reported, this node
    /// claims no more than an equal part.
    void setListedNodes(std::size_t nodes) { m_listedNodes = nodes; }
    /// Drops the state of a node that has left the fleet.
    void removeNode(const std::string& node);
    /// Returns the reports of this node on the teams with recent requests.
    std::vector<team_report> buildReports(time_point now);
    /// Whether enough requests were admitted since the last report to send the next one early.
    bool reportDue() const { return m_reportDue; }

private:
    struct demand_estimator {
        double perSecond = 0; ///< smoothed demand
        double count = 0; ///< requests in the current window
        time_point windowStart {};
        double shortWindowCount = 0; ///< requests in the current short window
        double previousShortWindowCount = 0; ///< requests in the short window before it
        time_point shortWindowStart {};
        void add(time_point now);
        /// Returns the demand in requests per second.
        double estimate(time_point now);
        /// Returns the newest demand as a multiple of the usual demand, which is taken as at least `usual` requests per
        /// second; 1 unless it is clearly higher.
        double surge(double usual, time_point now);

    private:
        void rollShortWindow(time_point now);
    };
    struct bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0; ///< in this node's replica of the bucket; negative: debt
        double share = 1; ///< this node's fraction of the fleet's demand, and thus of the team's rate
        double shareTokens = 0; ///< accumulated from this node's share of the rate
        double fleetDemand = 0; ///< requests per second over all nodes
        double expectedUnreported = 0; ///< expected admissions of other nodes since their reports
        time_point lastRefill {};
        std::uint32_t teamHash = 0; ///< identifies the team in reports
        std::uint64_t admitted = 0;
        std::uint64_t reported = 0; ///< value of admitted in the last report
        time_point lastRequest {};
        demand_estimator demand;
        double reportedDemand = 0; ///< in the last report
    };
    struct peer_usage {
        std::uint64_t admitted = 0;
        double demand = 0; ///< requests per second
        time_point reported {};
        bool silenceCharged = false; ///< the expected use during its silence was deducted from this replica
    };
    struct peer {
        std::uint64_t run = 0;
        time_point lastSeen {};
        bool isOlder = false; ///< it ran before this node started, so that it knows the demand of the fleet
        std::unordered_map<std::uint32_t, peer_usage> teams;
    };

    void refill(bucket& each, time_point now);
    double demandSurge(bucket& each, time_point now) const;
    static double expectedRate(const bucket& each, const peer_usage& use);
    void charge(bucket& each, const peer_usage& last, const team_report& report, duration silent, time_point now);
    double baselineDemand(const bucket& each) const;
    double ownDemand(bucket& each, time_point now) const;
    bool isStarting(time_point now) const;
    double startingShare() const;
    static bool isInDebt(const bucket& each);
    bool allowsFreeAdmission(const bucket& each, time_point now) const;

    duration m_reportTimeout;
    std::uint64_t m_run;
    std::map<std::string, bucket> m_buckets;
    std::unordered_map<std::uint32_t, std::string> m_teamByHash; ///< teams that have a bucket
    std::map<std::string, peer> m_peers;
    bool m_reportDue = false;
    std::size_t m_listedNodes = 0; ///< 0: unknown
    std::size_t m_olderPeers = 0;
    std::optional<time_point> m_startedAt; ///< when the first teams were configured
};

} // namespace limpet::mesh
