#pragma once

/// \file mesh.h
/// Decisions of a node in a mesh without control machines: routes and keys, fleet-wide rates, retry allowance,
/// placement and admission. Events and the current time go in, actions come out. Nothing here owns a socket or reads a
/// clock.

#include <deque>
#include <limpetcroft/policy.h>
#include <limpetcroft/wire.h>
#include <set>

namespace limpet::mesh {

// ---- Log ----

/// Line of the structured log: an event name and its fields.
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
    bool isPublic = false;
    unsigned rank = 0; ///< 0 is the most important
    unsigned maxAttempts = 1; ///< backend servers that one request may reach
    duration timeout { 0 };
    duration targetLatency { 0 }; ///< an answer within it has its full worth
};

struct team {
    std::string name;
    std::vector<digest> keys;
    std::optional<unsigned> rank; ///< goes before the rank of the route
    double ratePerSecond = 0; ///< 0: no limit
    double burst = 0;
};

struct service {
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< of all callers of one backend server; 0: not stated
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

/// A configuration with its look-up tables. Immutable once made.
class configuration_index {
public:
    explicit configuration_index(configuration content);
    const configuration& content() const { return m_content; }
    /// Returns the route of that host with the longest prefix that begins the path, or nullptr.
    const route* findRoute(std::string_view host, std::string_view path) const;
    /// Returns the team that holds the key, or nullptr.
    const team* findTeam(const digest& key) const;
    const service* findService(std::string_view name) const;

private:
    configuration m_content;
    std::unordered_map<std::string, std::size_t> m_routes; ///< by host and prefix
    std::unordered_map<std::string, std::size_t> m_keys; ///< by the bytes of the digest
};

// ---- Fleet-wide rates ----

/// Short name of a team in reports.
std::uint32_t teamHash(std::string_view name);

struct team_report {
    std::uint32_t team = 0; ///< teamNumber of its name
    std::uint64_t admitted = 0; ///< since the start of the reporting node
    double demand = 0; ///< requests per second
};

/// Holds each team to its rate and burst over all nodes, without a call for each request.
///
/// Each node keeps a copy of the team's one bucket: its own admissions leave it at once, those of other nodes when they
/// are reported. While the bucket is well filled, requests are admitted freely. Below that, a node admits its share of
/// the rate, in proportion to its part of the demand; with the bucket in debt it admits nothing. Reports carry totals,
/// so a lost report costs nothing but time.
class distributed_rate_limiter {
public:
    /// silence: a node that is not heard from for so long is expected to admit its share.
    explicit distributed_rate_limiter(duration reportTimeout);
    void configure(const std::vector<team>& teams, time_point now);
    /// Counts a request of the team and returns whether it is admitted.
    bool admit(const std::string& team, time_point now);
    /// Takes back an admission whose request was refused unrun.
    void refund(const std::string& team);
    /// When a refused request of the team may be admitted.
    duration retryAfter(const std::string& team, time_point now);
    /// What the last decision about the team was based on, for the log.
    std::vector<std::pair<std::string, std::string>> decisionInputs(const std::string& team, time_point now) const;
    /// Takes the newest report of another node. A new run of the node starts from zero.
    void mergeReports(
        const std::string& node, std::uint64_t run, const std::vector<team_report>& reports, time_point now);
    /// The node is gone for good.
    void removeNode(const std::string& node);
    std::vector<team_report> buildReports(time_point now);
    /// Whether the admissions since the last report are many enough to report before the usual time.
    bool reportDue() const { return m_reportDue; }

private:
    struct demand_estimator {
        double perSecond = 0;
        double count = 0;
        time_point since {};
        double shortWindowCount = 0; ///< requests of the short window that runs
        double previousShortWindowCount = 0; ///< of the short window before it
        time_point shortWindowStart {};
        void add(time_point now);
        double estimate(time_point now);
        /// How many times the usual demand, at least as many per second as given, the newest requests are; 1 unless
        /// they are clearly more.
        double surge(double usual, time_point now);

    private:
        void rollShortWindow(time_point now);
    };
    struct bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0; ///< of the copy of the one bucket; negative: debt
        double shareTokens = 0; ///< saved from this node's share of the rate
        double fleetDemand = 0; ///< of all nodes, requests per second
        double expectedUnreported = 0; ///< expected admissions of other nodes since their reports
        time_point lastRefill {};
        std::uint32_t teamHash = 0; ///< in reports
        std::uint64_t admitted = 0;
        std::uint64_t reported = 0;
        time_point lastRequest {};
        demand_estimator demand;
    };
    struct peer_usage {
        std::uint64_t admitted = 0;
        double demand = 0; ///< requests per second
        time_point reported {};
        bool silenceCharged = false; ///< what its silence hides is taken from this node's copy
    };
    struct peer {
        std::uint64_t run = 0;
        time_point lastSeen {};
        std::unordered_map<std::uint32_t, peer_usage> teams;
    };

    void refill(bucket& each, time_point now);
    double demandSurge(bucket& each, time_point now) const;
    static double expectedRate(const bucket& each, const peer_usage& use);
    void charge(bucket& taken, const peer_usage& last, const team_report& report, duration silent, time_point now);
    double share(bucket& each, time_point now);
    double minimumDemand(const bucket& each) const;

    duration m_reportTimeout;
    std::map<std::string, bucket> m_buckets;
    std::unordered_map<std::uint32_t, std::string> m_teamByHash; ///< of the teams with a bucket, by number
    std::map<std::string, peer> m_peers;
    bool m_reportDue = false;
};

// ---- Retry allowance ----

/// Bounds the repeated sends to a service. Every node earns from its own first sends and holds a part of the common
/// reserve, so the sum over all nodes stays within the common bound without messages.
class retry_budget {
public:
    /// perFirst: repeats earned by each first send; reserve: repeats that may be saved up.
    retry_budget(double tokensPerRequest, double reserve)
        : m_tokensPerRequest(tokensPerRequest)
        , m_reserve(reserve)
    {
    }
    void setReserve(double reserve) { m_reserve = reserve; }
    void addRequest(const std::string& service);
    /// Takes one repeat if the allowance holds one.
    bool tryConsume(const std::string& service);

private:
    double m_tokensPerRequest;
    double m_reserve;
    std::unordered_map<std::string, double> m_tokens;
};

// ---- Backend servers and placement ----

enum class endpoint_state : std::uint8_t {
    ready,
    draining, ///< gets no new work
    down, ///< refuses connections
    absent, ///< the node knows no backend server beside it
};

/// Load of one backend server as its node reports it.
struct endpoint_load {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned limit = 1;
    duration latency { 0 }; ///< recent mean; zero: unknown
    double failureRate = 0; ///< recent part of the answers that failed
};

/// The backend server beside a node, as all nodes see it.
struct endpoint {
    std::string node;
    std::uint64_t run = 0; ///< of the node
    std::uint64_t sequence = 0; ///< of the report
    socket_address address; ///< of the node's links
    std::string region;
    std::string availabilityZone;
    std::string service;
    std::string backendId; ///< of the backend server
    endpoint_state state = endpoint_state::absent;
    unsigned slots = 0;
    time_point coldUntil {}; ///< slow after its start until then
    bool leaving = false; ///< its node is stopping
    std::uint64_t configurationVersion = 0; ///< version that its node holds
    endpoint_load load;
    time_point lastSeen {};
    std::string encodedStatus; ///< its newest status as it was received
    bool forwarded = false; ///< this node has passed its statement on
    unsigned sentSinceReport = 0; ///< calls sent there since the last report of its load
    time_point avoidUntil {}; ///< after a broken connection
};

struct load_balancing_options {
    duration statusTimeout
        = std::chrono::milliseconds(1800); ///< an endpoint that was not heard from for so long is left out
    duration sameRegionPenalty = std::chrono::milliseconds(130); ///< of another availability zone: paid bytes
    duration otherRegionPenalty = std::chrono::milliseconds(350); ///< round trip and bytes of the paid link
    duration otherRegionStatusTimeout
        = std::chrono::milliseconds(3500); ///< as fresh, for other regions, whose news comes by relays
    duration defaultLatency = std::chrono::milliseconds(150);
};

/// Returns the estimated cost of a call at that endpoint: distance, work, and the wait that its load causes.
duration endpointCost(const endpoint& candidate, const std::string& region, const std::string& zone,
    const load_balancing_options& options, time_point now);

struct endpoint_candidate {
    endpoint* target = nullptr;
    duration cost { 0 };
};

/// Chooses among the backend servers of the availability zone that holds the cheapest one, at random, the cheaper and
/// the larger ones more often: many nodes with the same news must not all choose the same one. draw: random, in [0, 1).
/// Returns nullptr without candidates.
endpoint* chooseEndpoint(const std::vector<endpoint_candidate>& candidates, double draw);

// ---- What a node keeps in the store ----

/// A node's entry in the store under a lease, the list of the other nodes, and the configuration. Pure: calls go out,
/// results come in.
class registry {
public:
    struct options {
        std::string configurationKey;
        std::string entryPrefix; ///< of the entries of nodes
        std::string entryName; ///< of this node's entry, after the prefix
        std::string entryValue;
        std::chrono::seconds timeToLive { 6 };
        duration keepAliveInterval = std::chrono::seconds(2);
        duration listInterval = std::chrono::seconds(8);
        duration retryInterval = std::chrono::milliseconds(400);
        duration rewatchDelay = std::chrono::milliseconds(100); ///< after a watch ended
    };
    struct outcome {
        std::vector<store_call> calls;
        std::optional<std::string> document; ///< newly read configuration
        std::optional<store_revision> watchFrom; ///< watch the configuration from that revision on
        std::optional<std::vector<std::string>> entries; ///< values of the listed nodes
        std::vector<log_event> log;
    };

    explicit registry(options given);
    void tick(time_point now, outcome& out);
    void handle(const store_result& result, time_point now, outcome& out);
    /// The watch of the configuration saw this value.
    void configurationChanged(const std::string& document, outcome& out);
    /// The watch ended: the configuration is read again.
    void watchEnded(time_point now);
    /// Gives up the entry.
    void leave(outcome& out);
    time_point nextTimer() const;

private:
    enum class step : std::uint8_t { configuration, lease, entry, keep, list };
    struct task {
        time_point at {}; ///< when it is due
        std::uint64_t token = 0; ///< of the call in flight; zero: none
    };
    void start(step which, store_operation operation, outcome& out);
    bool callInFlight() const;
    task& taskFor(step which) { return m_tasks[static_cast<std::size_t>(which)]; }
    const task& taskFor(step which) const { return m_tasks[static_cast<std::size_t>(which)]; }
    void succeed(step which, const store_reply& reply, time_point now, outcome& out);
    void fail(step which, const error& why, time_point now, outcome& out);

    options m_options;
    std::array<task, 5> m_tasks {};
    std::uint64_t m_nextToken = 1;
    store_lease m_lease = 0;
    bool m_written = false; ///< the entry stands under the lease
    bool m_listed = false; ///< the list was read since the entry was written
    bool m_storeReachable = true; ///< the last call was answered
    bool m_leftFleet = false;
};

// ---- The node ----

struct node_options {
    std::string name;
    std::uint64_t run = 0; ///< larger than that of any earlier run
    std::string region;
    std::string availabilityZone;
    std::string service; ///< of the backend server beside this node
    socket_address address; ///< of this node's links
    std::uint64_t seed = 1;
    duration drainTime = std::chrono::milliseconds(2500); ///< after the acknowledgement, until the last send
    duration drainMargin = std::chrono::milliseconds(600);
    /// A stopping node takes requests for this long; later ones could not be finished before its end.
    duration acceptWhileLeaving = std::chrono::milliseconds(2800);
    duration statusInterval = std::chrono::milliseconds(500);
    duration bundleInterval = std::chrono::milliseconds(300); ///< of each relay
    duration peerExpiry = std::chrono::seconds(30);
    duration healthCheckInterval = std::chrono::milliseconds(500); ///< between two checks of an unknown backend server
    /// A backend server that goes on stating that it is ready for so long after its first statement is believed without
    /// a check that succeeds. One that is leaving has stopped by then.
    duration trustAfter = std::chrono::milliseconds(5500);
    double retryRatio = 0.2; ///< bound on the repeated sends to a service, as a part of its requests
    double retryReserve = 50; ///< that the bound allows on top, of all nodes together
    double usableSlotFraction = 0.94; ///< of a backend server's slots that are used; many slow down when full
    load_balancing_options loadBalancing;
};

/// A request from a client or from the backend server beside this node.
struct client_request {
    std::uint64_t call = 0; ///< chosen by the adapter, unique in this run
    std::string requestId;
    std::string host;
    http_request content; ///< without the headers of this system and of one connection
    std::optional<digest> key;
    std::optional<duration> deadline;
};
struct client_disconnected {
    std::uint64_t call = 0;
};

enum class failure_kind : std::uint8_t {
    notExecuted, ///< refused before it reached a backend server; certainly did not and will not run
    rejected, ///< refused by the backend server, which states that it did not run
    lost, ///< may have run
    timeout, ///< may have run
};
/// How a call to the backend server beside this node ended.
struct backend_result {
    std::uint64_t attempt = 0;
    tl::expected<http_answer, failure_kind> outcome;
};
/// What the backend server beside this node says of itself.
struct backend_heartbeat {
    std::string id;
    std::int64_t startTimeMs = 0; ///< Unix milliseconds of its start
    std::uint64_t sequence = 0;
    std::string service;
    unsigned slots = 0;
    bool draining = false;
    duration coldRemaining { 0 };
};
struct backend_deregistration {
    std::string id;
};
/// Answer to check_backend.
struct backend_check_result {
    std::string id; ///< empty: no answer, or one that states no identifier
    bool healthy = false; ///< and not leaving
};
/// The backend server beside this node refuses connections, or takes them again.
struct backend_reachability {
    bool reachable = false;
};
struct frame_received {
    std::uint64_t link = 0;
    socket_address peer; ///< of a link that this node opened
    std::string bytes;
};
struct link_closed {
    std::uint64_t link = 0;
    socket_address peer; ///< of a link that this node opened
    bool established = true; ///< false: nothing was ever sent over it
};
/// A node that owes answers does not react over its link, or does again.
struct link_suspected {
    socket_address peer;
    bool suspected = true;
};
struct status_received {
    socket_address peer;
    std::string bytes; ///< a status, or a bundle of them
};
struct configuration_received {
    std::shared_ptr<const configuration_index> content;
    std::string document; ///< as the store holds it
};
/// The nodes that the store lists.
struct listed_node {
    socket_address address;
    std::string availabilityZone; ///< empty: not stated
};
struct nodes_listed {
    std::vector<listed_node> nodes;
};
struct leave_request { };

using event = std::variant<client_request, client_disconnected, backend_result, backend_heartbeat,
    backend_deregistration, backend_check_result, backend_reachability, frame_received, link_closed, link_suspected,
    status_received, configuration_received, nodes_listed, leave_request>;

struct send_response {
    std::uint64_t call = 0;
    http_answer content;
};
/// Sends a frame to a node, over a link that the adapter opens if there is none.
struct send_frame {
    socket_address peer;
    std::string bytes;
    int expectedReplyDelta = 0; ///< change of the number of answers that the peer owes
};
/// Sends a frame back over the link that a call came over.
struct reply_frame {
    std::uint64_t link = 0;
    std::string bytes;
};
struct send_status {
    socket_address peer;
    std::string bytes;
};
struct run_on_backend {
    std::uint64_t attempt = 0;
    std::string endpoint;
    std::string requestId;
    std::string host;
    std::string team;
    std::string callerService;
    http_request content;
    duration remaining { 0 };
    bool idempotent = true;
};
struct cancel_on_backend {
    std::uint64_t attempt = 0;
};
/// Asks the backend server beside this node who it is and whether it takes work.
struct check_backend {
    std::string healthPath;
};
/// A document of a newer version came from another node.
struct load_configuration {
    std::string document;
};
using action = std::variant<send_response, send_frame, reply_frame, send_status, run_on_backend, cancel_on_backend,
    check_backend, load_configuration, log_event>;
using actions = std::vector<action>;

struct node_statistics {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t retries = 0;
    std::size_t callsInFlight = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t peers = 0;
    std::size_t livePeers = 0; ///< heard from lately
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
    time_point nextTimer() const;

    /// Whether it can serve: it holds a configuration and is not stopping.
    bool ready() const;
    /// Nothing is in flight, from clients or from other nodes.
    bool idle() const;
    node_statistics statistics(time_point now) const;
    std::uint64_t configurationVersion() const;
    std::shared_ptr<const configuration_index> currentConfiguration() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet::mesh
