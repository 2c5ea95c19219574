#pragma once

// Virtual-time driver of many quota nodes for the tests and the bench: network, store and admissions are simulated from
// a seed, and every admission is checked against every window that ends with it.

#include <limpetcroft/quota.h>
#include <map>
#include <queue>
#include <set>

namespace limpet::driver {

/// Checks admitted(window) <= integral of the rate + burst over every window that ends with the newest admission:
/// f(t) = admitted(t) - integral of the rate must never rise by more than the burst above its earlier minimum.
class window_checker {
public:
    void setRule(double rate, double burst, time_point now)
    {
        advance(now);
        m_rate = rate;
        m_burst = burst;
    }
    void admitted(time_point now)
    {
        advance(now);
        m_lowest = std::min(m_lowest, m_admitted - m_allowed);
        m_admitted += 1;
        m_worst = std::max(m_worst, m_admitted - m_allowed - m_lowest - m_burst);
    }
    /// Requests that could be admitted now.
    double slack(time_point now)
    {
        advance(now);
        const double reached = m_admitted - m_allowed;
        return m_burst - (reached - std::min(m_lowest, reached));
    }
    /// Tokens above the bound in the worst window; not above zero when the invariant holds.
    double worst() const { return m_worst; }
    double count() const { return m_admitted; }

private:
    void advance(time_point now)
    {
        m_allowed += m_rate * std::chrono::duration<double>(now - m_now).count();
        m_now = now;
    }
    double m_rate = 0, m_burst = 0, m_allowed = 0, m_admitted = 0, m_lowest = 1e300, m_worst = -1e300;
    time_point m_now;
};

struct driver_options {
    std::uint64_t seed = 1;
    unsigned regions = 2, zones = 2, nodesPerZone = 6, shards = 1;
    quota_policy policy = quota_policy::grants;
    double loss = 0, duplicate = 0;
    duration jitter = std::chrono::microseconds(200);
    double storeLostReply = 0, storeLate = 0; ///< parts of the calls
    bool clockStopsInPause = false; ///< breaks a safety rule: a paused node does not see that time has passed
    bool measure = false; ///< bytes of encoded frames and processor time
};

struct demand_count {
    std::uint64_t offered = 0, waited = 0, refused = 0;
    std::uint64_t wrongful = 0; ///< refused although the team's rate and burst had room when it came
    std::uint64_t ideal = 0; ///< refused by one token bucket that decides without delay and without waiting
    duration longestWait { 0 };
};

class fleet {
public:
    struct node {
        quota_settings settings;
        std::unique_ptr<quota> core;
        unsigned region = 0;
        bool up = true;
        time_point pausedUntil; ///< real time
        duration clock { 0 }; ///< offset of its clock
        time_point timer = time_point::max();
        std::vector<std::function<void()>> backlog;
        std::uint64_t sentBytes = 0, receivedBytes = 0, sentFrames = 0, farBytes = 0;
        std::chrono::nanoseconds busy { 0 };
    };
    struct team {
        window_checker checker;
        double level = 0, rate = 0, burst = 0; ///< ideal bucket
        time_point updated;
        demand_count count;
    };

    explicit fleet(driver_options given);
    void setRules(std::vector<team_rule> rules); ///< for all nodes, one after the other within a second
    void offer(std::size_t index, const std::string& name, duration timeout = std::chrono::milliseconds(500));
    /// Poisson arrivals for some time, at nodes picked by the function.
    void load(const std::string& name, double rate, duration length, std::function<std::size_t()> pick);
    void runFor(duration length);
    void kill(std::size_t index);
    void restart(std::size_t index);
    void pause(std::size_t index, duration length);
    void at(time_point when, std::function<void()> action) { m_events.push({ when, m_order++, std::move(action) }); }
    std::size_t holderOf(unsigned region); ///< index, or nodes.size()
    void expireLeases(); ///< the store's clock jumps
    demand_count total() const;
    double worst() const;

    driver_options options;
    random_source random;
    time_point now { std::chrono::seconds(1000) };
    std::vector<node> nodes;
    std::map<std::string, team> teams;
    std::function<bool(const node&, const node&)> cut = [](const node&, const node&) { return false; };
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
        bool room;
    };
    time_point local(const node& node) const { return now + node.clock; }
    void start(std::size_t index);
    template <typename Call> void enter(std::size_t index, Call call)
    {
        std::vector<quota_action> actions;
        const auto begin = options.measure ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point();
        call(*nodes[index].core, local(nodes[index]), actions);
        if (options.measure)
            nodes[index].busy += std::chrono::steady_clock::now() - begin;
        perform(index, actions);
    }
    void deliver(std::size_t index, std::function<void()> action);
    void perform(std::size_t index, std::vector<quota_action>& actions);
    void send(std::size_t from, const quota_send& action);
    void callStore(std::size_t index, const store_call& call);
    store_reply apply(const store_operation& operation);
    void arm(std::size_t index);
    void members();
    void decided(const std::string& name, bool granted, bool room, duration waited);

    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0, m_token = 0;
    std::map<node_id, std::size_t> m_index;
    std::map<std::pair<std::size_t, std::uint64_t>, waiting> m_waiting;
    std::vector<team_rule> m_rules;
    revision m_revision = 0;
    std::vector<std::string> m_regions;
    std::map<std::string, store_entry> m_store;
    std::map<store_lease, std::pair<time_point, std::chrono::seconds>> m_leases;
    store_revision m_head = 0;
};

} // namespace limpet::driver
