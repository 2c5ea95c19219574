#pragma once

/// \file network_test.h
/// Deterministic simulation of many nodes in one process, with virtual time, a random seed and fault injection. It
/// records a history for the checkers of check.h.

#include <limpetcroft/check.h>
#include <limpetcroft/node.h>
#include <limpetcroft/store.h>
#include <queue>

namespace limpet {

/// Returns the value of a header, or an empty string.
inline std::string headerValue(const http_request& content, std::string_view name)
{
    for (const auto& each : content.headers) {
        if (each.name == name)
            return each.value;
    }
    return {};
}

struct network_options {
    std::uint64_t seed = 1;
    unsigned regions = 2;
    unsigned zonesPerRegion = 2;
    std::vector<std::string> services { "stock", "orders" };
    unsigned endpointsPerService = 4;
    unsigned slots = 8;
    duration serviceTime = std::chrono::milliseconds(20); ///< mean of an exponential distribution
    unsigned childCalls = 0; ///< calls to services[1] made by each request executed by services[0]
    duration intraRegionDelay = std::chrono::milliseconds(1); ///< one way
    duration interRegionDelay = std::chrono::milliseconds(30);
};

/// One VM: a node and its local backend server.
struct test_vm {
    std::string name;
    std::string region;
    std::string zone;
    std::string service;
    node_id id;
    std::unique_ptr<node> core;
    incarnation run = 0;
    duration clockOffset { 0 }; ///< of the VM's clock from the simulation time
    bool alive = true;
    bool paused = false;
    bool stoppedCleanly = false;
    bool backendUp = true;
    bool isolated = false; ///< no path to the store, not even through another node
    double serviceTimeFactor = 1;
    unsigned busySlots = 0;
    std::deque<call_backend> backendQueue;
    std::unordered_map<request_id, call_backend> running;
    std::deque<std::pair<time_point, std::function<void()>>> deferredActions; ///< with the time of arrival
    time_point timerAt = time_point::max();
    std::set<std::string> watches;
    duration transit { 0 }; ///< delay of the message being delivered after a pause
};

class test_network {
public:
    explicit test_network(network_options options);

    /// Writes a configuration to the store. Its number must be greater than that of the previous one.
    void acceptConfiguration(const configuration& config);
    void runUntil(duration until);
    duration now() const { return m_now.time_since_epoch(); }
    void at(duration when, std::function<void()> action) { schedule(time_point(when), std::move(action)); }

    /// Sends a request to a node. The response is recorded in the history and passed to the callback.
    void send(std::size_t vm, const request_sent& sent, const std::string& key,
        std::function<void(const request_answered&)> callback = nullptr);

    void kill(std::size_t vm);
    void restart(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void stop(std::size_t vm);
    /// Blocks all links between pairs of VMs for which the predicate holds; nullptr ends the partition.
    void partition(std::function<bool(const test_vm&, const test_vm&)> between);
    /// Makes the store unreachable from the VMs for which the predicate holds; nullptr ends the partition.
    void partitionStore(std::function<bool(const test_vm&)> from);
    /// Stops the store, unless a configuration was accepted so recently that no watcher may have read it.
    void stopStore();
    void startStore();
    bool storeDown() const { return m_storeDown; }
    fake_store& store() { return m_store; }
    /// Whether a node is running and accepts calls.
    bool ready(std::size_t vm) const { return m_vms[vm].alive && m_vms[vm].core->ready(); }

    std::vector<test_vm>& vms() { return m_vms; }
    history& events() { return m_history; }
    random_source& random() { return m_random; }
    std::uint64_t framesSent() const { return m_framesSent; }

private:
    struct link_state {
        bool opened = false;
        incarnation sourceRun = 0;
        incarnation targetRun = 0;
        std::uint64_t generation = 0;
        time_point lastArrival {};
    };
    struct pending_call {
        std::size_t vm;
        std::string request;
        time_point sentAt;
        std::function<void(const request_answered&)> callback;
        std::optional<request_id> parentAttempt; ///< attempt whose execution made this call, if it is a child call
    };
    struct pending_children {
        unsigned remaining = 0;
        bool failed = false;
        std::string request;
    };

    void schedule(time_point when, std::function<void()> action);
    time_point localTime(const test_vm& vm) const { return m_now + vm.clockOffset; }
    void start(std::size_t vm);
    void deliver(std::size_t vm, node_event event);
    void runOnVm(std::size_t vm, std::function<void()> action);
    void execute(std::size_t vm, node_actions& actions);
    void armTimer(std::size_t vm);
    void sendFrame(std::size_t from, const send_frame& frame);
    void closeLink(std::size_t from, std::size_t to, duration after);
    void callStore(std::size_t vm, const store_call& call);
    void startStoreWatch(std::size_t vm, const start_store_watch& watch);
    void announce(std::size_t vm);
    void receiveBackendCall(std::size_t vm, const call_backend& call);
    void startBackendCall(std::size_t vm, const call_backend& call);
    void sendChildCalls(std::size_t vm, const call_backend& call);
    void finishBackendCall(std::size_t vm, const request_id& attempt,
        const tl::expected<http_answer, backend_failure>& outcome, run_outcome runOutcome);
    void onAnswer(std::size_t vm, const answer_caller& answer);
    void onChildAnswer(std::size_t vm, const request_id& parentAttempt, int status);
    std::size_t indexOf(node_id id, const socket_address& address) const;
    duration delayBetween(const test_vm& left, const test_vm& right);
    bool isPartitioned(const test_vm& left, const test_vm& right) const
    {
        return m_partition && m_partition(left, right);
    }
    void recordState(node_state state, const test_vm& vm);
    void recordIsolation();

    network_options m_options;
    random_source m_random;
    time_point m_now { std::chrono::seconds(1000) };
    std::multimap<time_point, std::function<void()>> m_scheduled;
    fake_store m_store;
    std::vector<test_vm> m_vms;
    std::unordered_map<node_id, std::size_t> m_byId;
    std::map<std::pair<std::size_t, std::size_t>, link_state> m_links;
    std::map<std::pair<std::size_t, std::uint64_t>, pending_call> m_pendingCalls;
    std::map<std::pair<std::size_t, request_id>, pending_children> m_pendingChildren;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextLinkGeneration = 1;
    std::uint64_t m_framesSent = 0;
    configuration m_config;
    store_revision m_configRevision = 0;
    std::function<bool(const test_vm&, const test_vm&)> m_partition;
    std::function<bool(const test_vm&)> m_storePartition;
    bool m_storeDown = false;
    time_point m_acceptedAt {};
    history m_history;
};

} // namespace limpet
