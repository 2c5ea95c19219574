#pragma once

// Simulation of many quota nodes in virtual time for the tests and the bench. A seed determines the network, the store
// and the requests. Each admission is checked against the limit in all windows that end with it.

#include <limpetcroft/quota.h>
#include <map>
#include <queue>
#include <set>

namespace limpet::driver {

/// Checks that in each window the admissions are at most the integral of the rate plus the burst. This holds if
/// f(t) = admissions(t) - integral of the rate never rises by more than the burst above its earlier minimum.
class window_checker {
public:
    void setRule(double rate, double burst, time_point now)
    {
        advance(now);
        m_rate = rate;
        m_burst = burst;
    }
    void recordAdmission(time_point now)
    {
        advance(now);
        m_lowest = std::min(m_lowest, m_admitted - m_allowed);
        m_admitted += 1;
        m_maxExcess = std::max(m_maxExcess, m_admitted - m_allowed - m_lowest - m_burst);
    }
    /// Number of requests that could be admitted now within the limit.
    double slack(time_point now)
    {
        advance(now);
        const double reached = m_admitted - m_allowed;
        return m_burst - (reached - std::min(m_lowest, reached));
    }
    /// Largest excess of admissions over the limit in any window; at most zero if the limit holds.
    double maxExcess() const { return m_maxExcess; }
    double admittedCount() const { return m_admitted; }

private:
    void advance(time_point now)
    {
        m_allowed += m_rate * std::chrono::duration<double>(now - m_now).count();
        m_now = now;
    }
    double m_rate = 0, m_burst = 0, m_allowed = 0, m_admitted = 0, m_lowest = 1e300, m_maxExcess = -1e300;
    time_point m_now;
};

struct driver_options {
    std::uint64_t seed = 1;
    unsigned regions = 2, zones = 2, nodesPerZone = 6, shards = 1;
    quota_policy policy = quota_policy::grants;
    double lossProbability = 0, duplicateProbability = 0;
    duration meanJitter = std::chrono::microseconds(200); ///< of the network delay; exponential
    double storeReplyLoss = 0, storeDelayProbability = 0; ///< per call
    /// Fault that the rate limiter does not tolerate: the clock of a paused node stands still.
    bool clockStopsInPause = false;
    bool measure = false; ///< counts bytes of encoded frames and the time spent in calls
};

struct demand_counts {
    std::uint64_t offered = 0, waited = 0, refused = 0;
    std::uint64_t wrongful = 0; ///< refused although the team's limit would have allowed it on arrival
    std::uint64_t ideal = 0; ///< refused by a single token bucket that decides each request on arrival
    duration longestWait { 0 };
};

class fleet {
public:
    struct node {
        quota_settings settings;
        std::unique_ptr<quota> limiter;
        unsigned region = 0;
        bool up = true;
        time_point pausedUntil; ///< in simulation time
        duration clockOffset { 0 }; ///< of the node's clock to simulation time
        time_point timerAt = time_point::max();
        std::vector<std::function<void()>> backlog; ///< calls that are due while the node is paused
        std::uint64_t sentBytes = 0, receivedBytes = 0, sentFrames = 0, crossRegionBytes = 0;
        std::chrono::nanoseconds busy { 0 };
    };
    struct team {
        window_checker checker;
        double level = 0, rate = 0, burst = 0; ///< of the ideal bucket
        time_point updated;
        demand_counts counts;
    };

    explicit fleet(driver_options given);
    void setRules(std::vector<team_rule> rules); ///< takes effect on each node at a random time within a second
    void offer(std::size_t index, const std::string& name, duration timeout = std::chrono::milliseconds(500));
    /// Offers requests as a Poisson process for some time, each at a node chosen by pickNode.
    void load(const std::string& name, double rate, duration length, std::function<std::size_t()> pickNode);
    void runFor(duration length);
    void kill(std::size_t index);
    void restart(std::size_t index);
    void pause(std::size_t index, duration length);
    void scheduleAt(time_point when, std::function<void()> action)
    {
        m_events.push({ when, m_order++, std::move(action) });
    }
    std::size_t holderOf(unsigned region); ///< its index, or nodes.size() if there is none
    void expireLeases(); ///< as if the store's clock had jumped
    void copyStore() { m_copy = m_store; }
    /// Takes the content of the copy, in a new era.
    void restoreStore()
    {
        const auto era = m_store.era + 1;
        m_store = m_copy;
        m_store.era = era;
    }
    demand_counts total() const;
    double maxExcess() const;

    driver_options options;
    random_source random;
    time_point now { std::chrono::seconds(1000) };
    std::vector<node> nodes;
    std::map<std::string, team> teams;
    std::function<bool(const node&, const node&)> partitioned = [](const node&, const node&) { return false; };
    std::function<bool(const node&)> storeReachable = [](const node&) { return true; };
    std::uint64_t storeCalls = 0;

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };
    struct waiting {
        std::string team;
        time_point since;
        bool hadCapacity; ///< the team's limit would have allowed the request on arrival
    };
    time_point localTime(const node& node) const { return now + node.clockOffset; }
    void start(std::size_t index);
    template <typename Call> void invoke(std::size_t index, Call call)
    {
        std::vector<quota_action> actions;
        const auto begin = options.measure ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point();
        call(*nodes[index].limiter, localTime(nodes[index]), actions);
        if (options.measure)
            nodes[index].busy += std::chrono::steady_clock::now() - begin;
        performActions(index, actions);
    }
    void deliver(std::size_t index, std::function<void()> action);
    void performActions(std::size_t index, std::vector<quota_action>& actions);
    void send(std::size_t from, const quota_send& action);
    void callStore(std::size_t index, const store_call& call);
    store_reply applyToStore(const store_operation& operation);
    void armTimer(std::size_t index);
    void sendMembers();
    void recordDecision(const std::string& name, bool granted, bool hadCapacity, duration waited);

    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0, m_lastHandle = 0;
    std::map<node_id, std::size_t> m_index;
    std::map<std::pair<std::size_t, std::uint64_t>, waiting> m_waiting;
    std::vector<team_rule> m_rules;
    revision m_revision = 0;
    std::vector<std::string> m_regions;
    struct store_content {
        std::map<std::string, store_entry> entries;
        std::map<store_lease, std::pair<time_point, std::chrono::seconds>> leases;
        store_revision head = 0;
        store_era era = 1;
    };
    store_content m_store;
    store_content m_copy;
};

} // namespace limpet::driver
