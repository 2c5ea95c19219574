#pragma once

/// \file mesh.h
/// Decision logic of a mesh node, the process beside a backend server: routing, API keys, fleet-wide rate limits, retry
/// budgets, load balancing and admission control. There is no central control plane. The logic consumes events with the
/// current time and emits actions; it performs no I/O and reads no clock.

#include <deque>
#include <limpetcroft/policy.h>
#include <limpetcroft/wire.h>
#include <set>

namespace limpet::mesh {

// ---- Log ----

/// Structured log event.
struct log_event {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

// ---- Configuration ----

struct weighted_service {
    std::string service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    std::vector<weighted_service> services;
    bool idempotent = false;
    bool isPublic = false; ///< requires no API key, so that no team's rate limit applies
    unsigned rank = 0; ///< 0 is the most important
    unsigned maxAttempts = 1; ///< limit on the backend servers that one request may reach
    duration timeout { 0 };
    duration targetLatency { 0 }; ///< later responses lose value; bounds queueing and retries; 0: none
    std::vector<std::string> allowedRegions; ///< in which its requests may be served; empty: any
};

struct team {
    std::string name;
    std::vector<digest> keys;
    std::optional<unsigned> rank; ///< overrides the rank of the route
    double ratePerSecond = 0; ///< 0: no limit
    double burst = 0; ///< requests
    std::vector<std::string> allowedRegions; ///< in which its requests may be served; empty: any
};

struct service {
    std::string name;
    std::string healthPath; ///< empty: no health check
    unsigned maxConnections = 0; ///< per backend server, over all callers; 0: unspecified
    duration coldTime { 0 }; ///< for which a backend server is cold after its start
    double coldCallsPerSecond = 0; ///< that a cold backend server bears; 0: no bound
};

struct client_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1 << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<team> teams;
    std::vector<service> services;
    client_limits limits;
};

/// Immutable configuration with lookup tables.
class configuration_index {
public:
    explicit configuration_index(configuration content);
    const configuration& content() const { return m_content; }
    /// Returns the route of the host with the longest matching path prefix, or nullptr.
    const route* findRoute(std::string_view host, std::string_view path) const;
    /// Returns the team that holds the key, or nullptr.
    const team* findTeam(const digest& key) const;
    const service* findService(std::string_view name) const;

private:
    configuration m_content;
    std::unordered_map<std::string, std::size_t> m_routes; ///< index in routes, by host and prefix
    std::unordered_map<std::string, std::size_t> m_keys; ///< index in teams, by key digest
};

// ---- Registration in the store ----

/// Availability zones whose backend servers must get no further calls.
struct evacuations_read {
    store_position position; ///< in the store at which they were read
    std::vector<std::string> zones;
};

/// Maintains a node's entry in the store under a lease, and reads the list of nodes and the configuration. Performs no
/// I/O: it emits store calls and consumes their results.
class registry {
public:
    struct options {
        std::string configurationKey;
        std::string entryPrefix; ///< of all node entries
        std::string entryName; ///< key of this node's entry, after the prefix
        std::string entryValue;
        std::chrono::seconds timeToLive { 6 }; ///< of the lease
        duration keepAliveInterval = std::chrono::seconds(2);
        /// While the node reads the configuration for its zone: its renewals tell when the store has been restored, and
        /// a change must be in force within the bound of the configuration.
        duration readerKeepAliveInterval = std::chrono::seconds(1);
        /// Between two checks of whether the watch of the configuration has missed a change, because its connection has
        /// gone silent. Only the nodes that watch make them, one a zone; a change that only a check shows must still
        /// reach the zone within the bound of the configuration.
        duration watchCheckInterval = std::chrono::seconds(1);
        duration listInterval = std::chrono::seconds(8);
        duration retryInterval = std::chrono::milliseconds(400);
        duration rewatchDelay
            = std::chrono::milliseconds(100); ///< before reading the configuration again after its watch ended
        /// After the store was restored, all nodes together register again at this rate at most.
        double registrationsPerSecond = 100;
        /// This node's place among them, from 0 to 1.
        double registrationOrder = 0;
        duration maxListAge = std::chrono::seconds(5); ///< a list may lack entries that are not older than this
        std::string evacuationPrefix; ///< of the keys that name evacuated zones; empty: they are not read
    };
    struct outcome {
        std::vector<store_call> calls;
        std::optional<evacuations_read> evacuations;
        std::optional<std::string> document; ///< configuration as read from the store
        std::optional<store_position> watchFrom; ///< position from which to watch the configuration
        bool unwatch = false; ///< ends the watch of the configuration
        std::optional<std::uint64_t> watchCheck; ///< token of a check of the watch, see watchChecked()
        std::optional<std::vector<std::string>> entries; ///< values of all node entries
        bool entriesArePreliminary = false; ///< read before the own entry was written: may be old
        std::vector<log_event> log;
    };

    explicit registry(options given);
    void tick(time_point now, outcome& out);
    void handle(const store_result& result, time_point now, outcome& out);
    /// Handles a new value reported by the configuration watch.
    void configurationChanged(const std::string& document, outcome& out);
    /// Handles that an evacuation has begun or ended, as reported by the watch.
    void evacuationsChanged(time_point now);
    /// Takes the era of a reply that reached the node on another way than handle(), such as a watch. seenIn: kind of
    /// the reply, for the log.
    era_change observeEra(store_era era, const char* seenIn, time_point now, outcome& out);
    store_era storeEra() const { return m_era.current(); }
    std::uint64_t storeRestores() const { return m_era.rises(); }
    /// Schedules a new read of the configuration after its watch ended.
    void watchEnded(time_point now);
    /// Handles the outcome of a check of the watch, whose missed changes have been reported before.
    void watchChecked(
        std::uint64_t token, const result<store_watch_check>& check, store_era era, time_point now, outcome& out);
    /// Reads and watches the configuration while that is wanted, and for a while after. Not wanted at first.
    void readConfiguration(bool wanted, time_point now, outcome& out);
    bool storeReachable() const { return m_storeReachable; }
    /// Erases the entry, not the lease: in another era its number may be that of another node. Afterwards only the
    /// configuration is still read.
    void leave(outcome& out);
    /// Returns the time at which tick() has to be called next.
    time_point nextTimer() const;

private:
    enum class task_kind : std::uint8_t { configuration, evacuations, lease, entry, keepAlive, list, watchCheck };
    struct task {
        time_point at {}; ///< due time
        std::uint64_t token = 0; ///< of the store call in flight; 0: none
    };
    void start(task_kind which, store_operation operation, outcome& out);
    bool callInFlight() const;
    bool mayReadConfiguration() const;
    task& taskFor(task_kind which) { return m_tasks[static_cast<std::size_t>(which)]; }
    const task& taskFor(task_kind which) const { return m_tasks[static_cast<std::size_t>(which)]; }
    void succeed(task_kind which, const store_reply& reply, time_point now, outcome& out);
    void fail(task_kind which, const error& cause, time_point now, outcome& out);
    void startAgain(time_point now, outcome& out);
    void noteReachability(task_kind which, const result<store_reply>& reply, time_point now, outcome& out);
    void readList(const store_get_reply& got, time_point now, outcome& out);
    void readEvacuations(const store_get_reply& got, outcome& out);
    static bool isOperatorTask(task_kind which);
    void checkOwnEntry(const store_get_reply& got, time_point now, outcome& out);
    time_point nextKeepAlive(time_point now) const;

    options m_options;
    std::array<task, 7> m_tasks {};
    std::uint64_t m_nextToken = 1;
    store_era_tracker m_era;
    store_lease m_lease = 0;
    bool m_written = false; ///< the entry is written under the current lease
    time_point m_writtenAt {};
    store_revision m_entryRevision = 0; ///< of the last write of the entry
    std::size_t m_listedNodes = 1;
    bool m_currentListDue = true; ///< the nodes were not listed since the entry was written
    bool m_listIsCurrent = false; ///< the list in flight must not be old
    bool m_storeReachable = true; ///< the store replied to the last call
    bool m_readingWanted = false; ///< now
    bool m_readsConfiguration = false; ///< or watches it, also for a while after that was wanted
    time_point m_readingWantedAt = time_point::min(); ///< last time; min: never
    bool m_leftFleet = false;
};

// ---- The node ----

struct load_balancing_options {
    duration statusTimeout = std::chrono::milliseconds(1800); ///< endpoints without a status for this long are skipped
    duration otherZonePenalty
        = std::chrono::milliseconds(130); ///< for another availability zone of the region: traffic is billed
    duration otherRegionPenalty
        = std::chrono::milliseconds(350); ///< for another region: round trip, and billed traffic
    duration otherRegionStatusTimeout
        = std::chrono::milliseconds(3500); ///< longer, since relays forward the statuses of other regions
    duration defaultLatency = std::chrono::milliseconds(150); ///< of endpoints without measurements
    double usualFailureRate = 0; ///< of the service; failures that all endpoints share give no reason to avoid one
};

/// Options that may change while the node runs.
struct node_tuning {
    duration drainTime
        = std::chrono::milliseconds(2500); ///< from the drain acknowledgement until the last call may be sent
    double retryRatio = 0.2; ///< bound on the retries to a service, as a fraction of its requests
    double retryReserve = 50; ///< additional retries that the bound allows, over all nodes together
    duration retryWindow = std::chrono::seconds(10); ///< in which the bound on retries holds
    std::size_t maxHeldBytes = 64 << 20; ///< of bodies of calls for the local backend server; more calls are refused
    /// Calls that a cold backend server may get in any second: its rate times coldOverage, plus coldReserve.
    double coldOverage = 1;
    double coldReserve = 0;
    /// A backend server that has sent no heartbeat for this long may have started again.
    duration heartbeatTimeout = std::chrono::milliseconds(2250);
};

struct node_options {
    std::string name;
    std::uint64_t run = 0; ///< incarnation of the node's process; must exceed that of any earlier one
    std::string region;
    std::string availabilityZone;
    std::string service; ///< of the local backend server
    socket_address address; ///< for links between nodes
    std::uint64_t seed = 1;
    duration drainMargin = std::chrono::milliseconds(600); ///< calls are refused this long before drainTime ends
    /// A node that is shutting down accepts requests for this long; later ones could not finish before it exits.
    duration acceptWhileLeaving = std::chrono::milliseconds(2800);
    /// A call that may have been under way for longer is executed only if its caller confirms within this time that it
    /// still waits. Must exceed the round trip between regions.
    duration maxUncheckedAge = std::chrono::milliseconds(300);
    duration statusInterval = std::chrono::milliseconds(500);
    duration bundleInterval = std::chrono::milliseconds(300); ///< per relay
    duration peerExpiry = std::chrono::seconds(30); ///< nodes without a status for this long are removed
    duration healthCheckInterval = std::chrono::milliseconds(500); ///< of a backend server that is not in use yet
    /// A backend server that still reports itself ready this long after its first heartbeat is used without a
    /// successful health check. One that is draining has stopped by then.
    duration trustAfter = std::chrono::milliseconds(5500);
    node_tuning tuning;
    double usableSlotFraction = 0.94; ///< many backend servers slow down when all slots are busy
    /// Whether retries and queues distinguish the call trees that nested calls belong to. false is the baseline for
    /// comparison: nested calls are all alike, and a failed tree is retried from its root.
    bool treeAware = true;
    load_balancing_options loadBalancing;
};

/// A request from a client or from the local backend server.
struct client_request {
    std::uint64_t call = 0; ///< assigned by the I/O adapter, unique in this run
    std::string requestId;
    std::string host;
    http_request content; ///< without Limpet- headers and hop-by-hop headers
    std::optional<digest> key;
    std::optional<duration> deadline; ///< relative to its arrival
};
struct client_disconnected {
    std::uint64_t call = 0;
};

/// Why a call has no response of a backend server.
enum class failure_kind : std::uint8_t {
    notExecuted, ///< did not reach a backend server; will never be executed
    rejected, ///< refused by the backend server, which reports that it did not execute the request
    lost, ///< no usable response; may have been executed
    timeout, ///< may have been executed
};
/// Outcome of a call to the local backend server.
struct backend_result {
    std::uint64_t attempt = 0;
    tl::expected<http_answer, failure_kind> outcome;
};
/// Heartbeat of the local backend server.
struct backend_heartbeat {
    std::string id;
    std::int64_t startTimeMs = 0; ///< Unix time in milliseconds; 0: not reported
    std::uint64_t sequence = 0;
    std::string service;
    unsigned slots = 0;
    bool draining = false;
    duration coldRemaining { 0 }; ///< how much longer its cold start lasts
};
/// The local backend server deregistered itself.
struct backend_deregistration {
    std::string id;
};
/// Result of check_backend.
struct backend_check_result {
    std::string id; ///< empty: no response, or one without an identifier
    bool healthy = false; ///< and not draining
    std::optional<duration> coldRemaining; ///< how much longer its cold start lasts; none: not reported
};
/// The local backend server refuses connections, or accepts them again.
struct backend_reachability {
    bool reachable = false;
};
/// Kinds of traffic between two nodes, each of which has links of its own.
enum class traffic_class : std::uint8_t {
    calls, ///< and all that must not wait
    bulk, ///< large documents
};
struct frame_received {
    std::uint64_t link = 0;
    socket_address peer; ///< if this node opened the link
    std::string bytes;
    duration delay { 0 }; ///< how long the frame may have waited in this process, which was paused
    bool isLast = true; ///< no further frame was received together with it
};
struct link_closed {
    std::uint64_t link = 0;
    socket_address peer; ///< if this node opened the link
    bool established = true; ///< false: never connected, so that nothing was sent over it
    traffic_class carried = traffic_class::calls; ///< if this node opened the link
};
/// A node with outstanding replies does not respond over its link (suspected), or responds again.
struct link_suspected {
    socket_address peer;
    bool suspected = true;
};
struct status_received {
    socket_address peer;
    std::string bytes; ///< an encoded status or bundle
};
struct configuration_received {
    std::shared_ptr<const configuration_index> content;
    std::string document; ///< as stored
};
/// A node entry in the store.
struct listed_node {
    socket_address address;
    std::string availabilityZone; ///< empty: unknown
};
struct nodes_listed {
    std::vector<listed_node> nodes;
    bool preliminary = false; ///< may be old, so that nodes may be missing
};
/// The store replied to the last call, or did not.
struct store_reachability {
    bool reachable = true;
};
/// Starts a planned shutdown.
struct leave_request {
    /// When the node answers the requests that are left, whatever is in progress; max: never.
    time_point answersEndAt = time_point::max();
};
struct tuning_changed {
    node_tuning tuning;
};

using event
    = std::variant<client_request, client_disconnected, backend_result, backend_heartbeat, backend_deregistration,
        backend_check_result, backend_reachability, frame_received, link_closed, link_suspected, status_received,
        configuration_received, evacuations_read, nodes_listed, store_reachability, leave_request, tuning_changed>;

struct send_response {
    std::uint64_t call = 0;
    http_answer content;
};
/// Sends a frame to a node. The I/O adapter opens a link if there is none.
struct send_frame {
    socket_address peer;
    std::string bytes;
    int expectedReplyDelta = 0; ///< change of the number of replies expected from the peer
    traffic_class traffic = traffic_class::calls;
};
/// How fast a frame is written.
enum class write_pace : std::uint8_t {
    unlimited,
    sameRegion, ///< leaves room for calls on the link of the VM
    otherRegion, ///< leaves room for the calls of all nodes on the link between the regions
};
/// Sends a frame over the link on which a frame arrived.
struct reply_frame {
    std::uint64_t link = 0;
    std::string bytes;
    write_pace pace = write_pace::unlimited;
};
struct send_status {
    socket_address peer;
    std::string bytes;
};
/// Sends a call to the local backend server. Its outcome is reported as backend_result.
struct run_on_backend {
    std::uint64_t attempt = 0;
    std::string backendId;
    std::string requestId;
    std::string host;
    std::string team;
    std::string callerService;
    http_request content;
    duration remaining { 0 };
    bool idempotent = true;
    /// The backend server has received this request before and has rejected it. A late copy of the rejection bears the
    /// same identifier as the response to this attempt.
    bool resent = false;
};
struct cancel_on_backend {
    std::uint64_t attempt = 0;
};
/// Requests the identifier and health of the local backend server.
struct check_backend {
    std::string healthPath;
};
/// Parses and applies a configuration document received from another node.
struct load_configuration {
    std::string document;
};
using action = std::variant<send_response, send_frame, reply_frame, send_status, run_on_backend, cancel_on_backend,
    check_backend, load_configuration, log_event>;
using actions = std::vector<action>;

/// Upper bounds of the histogram of the delays of received frames. The last bucket has none.
constexpr std::array<duration, 6> frameDelayBounds { std::chrono::milliseconds(10), std::chrono::milliseconds(50),
    std::chrono::milliseconds(100), std::chrono::milliseconds(250), std::chrono::milliseconds(500),
    std::chrono::seconds(1) };

struct node_statistics {
    /// Frames received from other nodes, by how much longer they were under way than the fastest one of their link.
    std::array<std::uint64_t, frameDelayBounds.size() + 1> framesByDelay {};
    std::uint64_t answered = 0; ///< requests that got the response of a backend server
    std::uint64_t refused = 0; ///< requests refused with status 429 or 503
    std::uint64_t failed = 0; ///< requests refused with another status
    std::uint64_t cancelled = 0; ///< requests whose client disconnected
    std::uint64_t retries = 0;
    std::uint64_t checkedCalls = 0; ///< whose caller was asked whether it still waits
    std::uint64_t unconfirmedCalls = 0; ///< of checkedCalls, not confirmed and thus not executed
    std::size_t callsInFlight = 0; ///< client requests without a response
    std::size_t running = 0; ///< calls at the local backend server
    std::size_t queued = 0; ///< calls for the local backend server
    unsigned concurrencyLimit = 0; ///< of the calls at the local backend server
    std::size_t peers = 0;
    std::size_t livePeers = 0; ///< with a recent status
    std::uint64_t configurationVersion = 0;
};

class node {
public:
    explicit node(node_options options);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    void handle(event event, time_point now, actions& out);
    void tick(time_point now, actions& out);
    /// Returns the time at which tick() has to be called next.
    time_point nextTimer() const;

    /// Whether the node has a configuration and is not shutting down.
    bool ready() const;
    /// Whether no client request and no call to the local backend server is in flight.
    bool idle() const;
    /// Whether a call that arrived over the link is queued or running.
    bool servesLink(std::uint64_t link) const;
    node_statistics statistics(time_point now) const;
    std::uint64_t configurationVersion() const;
    std::shared_ptr<const configuration_index> currentConfiguration() const;
    /// Whether this node should read new configurations from the store: as the first node of its zone that can, or
    /// because it does not get them from other nodes.
    bool readsConfiguration(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet::mesh
