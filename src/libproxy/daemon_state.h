#pragma once

// Internal state of the daemon, shared by its source files.

#include "body_budget.h"
#include "metrics.h"
#include <limpetcroft/proxy.h>

namespace limpet::proxy {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Separates the link address and the availability zone in a node's entry in the store.
constexpr char entrySeparator = ' ';

http_answer textResponse(int status, std::string text);

struct mesh_daemon::state {
    state(daemon_settings daemonSettings, deployment_adapter deploymentAdapter);

    daemon_settings settings;
    deployment_adapter adapter;
    reactor loop;
    log_sink log;
    body_budget bodies; ///< requests, and responses of the backend server that are being read
    body_budget responses; ///< that clients or other nodes have not read yet
    mesh::node node;
    mesh::registry registry;
    http_server clientServer;
    http_server healthServer;
    http_server controlServer;
    http_server metricsServer;
    http_pool backendPool;
    frame_links nodeLinks;
    status_socket statusSocket;
    store_port store;
    node_metrics nodeMetrics;
    std::uint64_t nodeTimer = 0;
    time_point nodeTimerAt = time_point::max();
    std::uint64_t registryTimer = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> exchangeByAttempt; ///< in the backend pool
    std::optional<store_watch_id> watch; ///< of the configuration
    bool storeReachable = true;
    bool probing = false;
    bool stopping = false;
    bool handlingEvents = false;
    std::vector<mesh::event> pendingEvents;
    time_point earliestQuitAt {};
    time_point forcedQuitAt {};

    http_server_callbacks clientCallbacks();
    /// Callbacks of a server that responds to each request immediately with the handler's result.
    http_server_callbacks immediateCallbacks(
        http_server& server, std::function<http_answer(const http_request&)> handler);
    frame_links_callbacks linkCallbacks();
    result<void> start();
    void handle(mesh::event event);
    void handlePendingEvents();
    void tick();
    void execute(mesh::actions& actions);
    void armNodeTimer();
    void logEvent(const mesh::log_event& line) { log.write(line, bootTime()); }
    void handleClientRequest(std::uint64_t exchange, http_request request);
    void refuseForUnreadResponses(std::uint64_t exchange, const http_request& request);
    void runOnBackend(const mesh::run_on_backend& run);
    void handleBackendOutcome(
        std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome);
    void logSkippedResponse(const skipped_response& skipped);
    void logMalformedResponse(const malformed_response& malformed);
    void probeBackend();
    void checkBackend(const std::string& healthPath);
    http_answer handleControl(const http_request& request);
    /// source: where the document was read, for the log.
    void applyConfiguration(const std::string& document, const char* source);
    void tickRegistry();
    void execute(mesh::registry::outcome& outcome);
    void chooseConfigurationSource();
    void startWatch(store_position from);
    void checkWatch(std::uint64_t token);
    void reportListedNodes(const std::vector<std::string>& entries, bool preliminary);
    bool idle() const;
    void quitWhenStopped();
    void applyLimits();
    void applyBackendLimit();
    void reportError(const char* where, const std::exception& exception);
};

} // namespace limpet::proxy
