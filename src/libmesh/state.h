#pragma once

// Internal state of a mesh node, shared by its source files.

#include "call_tree.h"
#include "codec.h"
#include "link_transit.h"
#include "rate_estimator.h"
#include "rate_limiter.h"
#include "retry_budget.h"
#include <algorithm>

namespace limpet::mesh {

/// Retry-After of a refusal, at least.
constexpr duration defaultRetryAfter = std::chrono::milliseconds(300);
/// Link number of calls that originate at this node.
constexpr std::uint64_t localLink = 0;
/// Between two statuses of a node, including urgent ones.
constexpr duration minStatusInterval = std::chrono::milliseconds(60);
/// How often, and for how long, the status of a node known only by address is requested.
constexpr duration statusRequestInterval = std::chrono::milliseconds(500);
constexpr duration statusRequestTimeout = std::chrono::seconds(10);

/// A relay, or the node that reads the configuration for its zone, is replaced after this time without a status.
/// Shorter than statusTimeout, so that the other nodes still count as live when all relays are lost.
constexpr duration relayTimeout = std::chrono::milliseconds(1100);
/// After its deadline, a call that is being served waits this long for its cancel, or for the response that its backend
/// server gives then.
constexpr duration cancelGrace = std::chrono::milliseconds(200);

/// A link between nodes, opened by either of them.
struct link_state {
    link_transit transit;
    bool answersChecks = false; ///< the peer is of a version that does
    time_point currentAt = time_point::min(); ///< what the peer sent until then has been received
    time_point delayedSince = time_point::max(); ///< max: not delayed
    duration peakDelay { 0 }; ///< since then
};

/// A link is reported as delayed when a frame was under way for this much longer than the fastest one.
constexpr duration delayedLink = std::chrono::milliseconds(100);

/// One send of a request to a node, which has not ended.
struct attempt_in_flight {
    std::uint64_t id = 0;
    std::string node;
    time_point sentAt {};
    bool recalled = false; ///< its node was asked to fail it unless it has started
};

/// A client request that has not been answered yet.
struct ingress_call {
    client_request request;
    std::shared_ptr<const configuration_index> config; ///< in force when it arrived
    const route* matchedRoute = nullptr;
    const mesh::team* owner = nullptr; ///< nullptr: none
    std::string team;
    std::string service;
    priority importance = lowestPriority;
    tree_position position;
    std::optional<std::uint64_t> parent; ///< execution of the local backend server that made it, if it is known
    bool callerGone = false; ///< made by an execution that was cancelled
    time_point arrived {};
    time_point deadline {};
    time_point queueUntil {}; ///< deadline, or end of the target latency if earlier; bounds queueing and retries
    std::set<std::string> tried; ///< nodes it was sent to
    std::set<std::string> reached; ///< nodes whose backend servers may have received it
    std::set<std::string> rejectedBy; ///< those of them that rejected it without executing it
    bool mayHaveRun = false; ///< an attempt ended without telling whether a backend server executed it
    unsigned sends = 0;
    unsigned refusals = 0; ///< by nodes, without reaching a backend server
    /// The newest one last. A silent attempt stays in flight beside its hedge, since that one may be refused.
    std::vector<attempt_in_flight> attempts;
    std::string targetNode; ///< of the newest attempt, or of the one that was answered
    time_point impatientAt = time_point::max(); ///< when the attempt in flight is hedged if it has no response
    duration retryAfter { 0 }; ///< of the newest failed attempt
    std::optional<http_answer>
        fallback; ///< failed response of a backend server, delivered if the retry yields nothing better
};

/// Whether the request may only be served in some regions.
bool isRegional(const ingress_call& call);
/// Whether the request may be served in the region: its route and its team must both allow it.
bool isAllowedIn(const ingress_call& call, const std::string& region);

/// An attempt that has ended, and the request that it was made for.
struct ended_attempt {
    ingress_call& call;
    attempt_in_flight attempt;
};

/// A call to the local backend server.
struct serving_call {
    std::uint64_t link = localLink;
    std::uint64_t id = 0; ///< attempt number at the calling node
    wire::call_request_data content;
    time_point arrived {};
    time_point deadline {};
    time_point startedAt {};
    std::size_t bodyBytes = 0;
    bool started = false;
    std::uint64_t generation = 0; ///< of the backend server that executes it
};

/// A call of another node. It is served after the frames that were received together with it, which may cancel it.
struct received_call {
    std::uint64_t link = localLink;
    wire::call_request_data content;
    duration delay { 0 }; ///< how long it waited on its way, above the least time
    bool mayBeStale = false; ///< may have been under way for too long to be executed without asking its caller
};

/// Calls of an execution whose caller may have left unnoticed. They are not sent before it confirms that it still
/// waits.
struct held_calls {
    std::vector<std::uint64_t> calls; ///< some may have ended
    time_point askedAt {};
};

/// A call whose caller was asked whether it still waits for it.
struct unconfirmed_call {
    received_call received;
    time_point askedAt {};
};

struct serving_key {
    std::uint64_t link = localLink;
    std::uint64_t id = 0;
    auto operator<=>(const serving_key&) const = default;
};

/// A node that is known only by address.
struct unknown_node {
    bool inOwnZone = false;
    time_point since {};
    time_point requestedAt {};
};

/// A backend server that sent a heartbeat, or may exist, but is not in use yet.
struct backend_candidate {
    std::optional<backend_heartbeat> report; ///< newest heartbeat
    time_point firstReportedAt {}; ///< time of its first heartbeat
    time_point checkAt {}; ///< time of the next check; max: one is in progress, or none is needed
    unsigned checks = 0;
};

/// The local backend server in use.
struct local_backend {
    std::string id;
    std::int64_t startTimeMs = 0; ///< Unix time in milliseconds; 0: unknown
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; ///< incremented for each new backend server
    bool draining = false; ///< or deregistered
    bool reachable = true;
    time_point drainStartedAt {}; ///< when the node acknowledged its drain
};

struct node::state {
    explicit state(node_options given);

    node_options options;
    std::shared_ptr<const configuration_index> config;
    std::string document; ///< config as stored
    distributed_rate_limiter rates;
    retry_budget retries;
    random_source random;
    node_statistics counts;

    // ---- Client requests (ingress.cpp, placement.cpp, attempts.cpp) ----
    std::unordered_map<std::uint64_t, ingress_call> calls;
    std::unordered_map<std::uint64_t, std::uint64_t> callByAttempt;
    std::set<std::pair<time_point, std::uint64_t>> deadlines;
    std::set<std::pair<time_point, std::uint64_t>> impatience; ///< of the calls with an attempt in flight
    std::unordered_map<std::string, std::vector<double>> serviceCredit; ///< by route
    std::unordered_map<std::string, double> routeLatency; ///< recent mean of successes in microseconds, by route
    std::uint64_t nextAttempt = 1;

    void accept(client_request request, time_point now, actions& out);
    void startCall(ingress_call& call, time_point now, actions& out);
    void cancelClientCall(std::uint64_t call, time_point now, actions& out);
    void send(ingress_call& call, time_point now, actions& out);
    void expireCalls(time_point now, actions& out);
    void attemptAnswered(std::uint64_t attempt, http_answer answer, bool failedBelow, time_point now, actions& out);
    void attemptFailed(std::uint64_t attempt, failure_kind kind, duration retryAfter, time_point now, actions& out);
    void suspectLink(const link_suspected& event, time_point now, actions& out);
    void hedge(ingress_call& call, double value, std::string_view reason, time_point now, actions& out);
    void hedgeSilentAttempts(time_point now, actions& out);
    void startImpatience(ingress_call& call, const endpoint& target);
    void recordRouteLatency(const std::string& route, duration elapsed);
    double retryValue(const ingress_call& call) const;
    bool mayReachAnother(const ingress_call& call) const;
    bool mayResend(const ingress_call& call) const;
    bool isWaitedFor(const ingress_call& call) const;
    double fleetArrivals(const std::string& service) const;
    void updateServiceLoads(time_point now);
    void placeInTree(ingress_call& call, const team* owner, time_point now) const;
    void cancelAttempts(ingress_call& call, std::string_view reason, time_point now, actions& out);
    std::vector<std::uint64_t> attemptsAt(const std::string& nodeName) const;
    void failAttemptsAt(const std::string& nodeName, failure_kind kind, time_point now, actions& out);
    const std::string& chooseService(const ingress_call& call, time_point now);
    duration expectedLatency(const std::string& service) const;
    endpoint* selectEndpoint(const ingress_call& call, time_point now);
    const std::string* drawRegionalService(const ingress_call& call, time_point now);
    bool hasAllowedEndpoint(const ingress_call& call, const std::string& service, time_point now) const;
    std::optional<ended_attempt> endAttempt(std::uint64_t attempt);
    void stopImpatience(ingress_call& call);
    void answerWithRefusal(
        ingress_call& call, refusal_reason reason, duration retryAfter, time_point now, actions& out);
    void deliver(ingress_call& call, http_answer answer, std::string_view outcome, time_point now, actions& out);

    // ---- The local backend server (serving.cpp, confirmation.cpp, backend.cpp) ----
    local_backend backend;
    backend_candidate candidate;
    admission admissionControl;
    std::vector<received_call> receivedCalls; ///< of the frames that are being read
    std::map<serving_key, unconfirmed_call> unconfirmedCalls;
    std::set<std::pair<time_point, serving_key>> confirmationTimeouts; ///< of unconfirmedCalls
    std::map<serving_key, held_calls> heldCalls; ///< by the call that their execution serves
    std::unordered_map<std::uint64_t, serving_call> serving;
    std::map<serving_key, std::uint64_t> servingByKey;
    std::set<std::pair<time_point, std::uint64_t>> servingDeadlines; ///< of the calls in serving
    std::uint64_t nextServingId = 1;
    call_tree tree;
    double latency = 0; ///< recent mean in microseconds; 0: unknown
    double failureRate = 0; ///< recent fraction of failed calls
    double silentFraction = 0; ///< of the running calls, when the last status was sent
    std::size_t heldBytes = 0; ///< of the bodies of serving
    rate_estimator arrivals; ///< of calls, including those refused

    void serve(received_call received, time_point now, actions& out);
    bool servesOrAsks(const serving_key& key) const
    {
        return servingByKey.contains(key) || unconfirmedCalls.contains(key);
    }
    std::string_view reasonToRefuse(const wire::call_request_data& call, duration remaining, time_point now) const;
    void keepServing(received_call received, duration remaining, time_point now, actions& out);
    void askCaller(received_call received, time_point now, actions& out);
    std::optional<unconfirmed_call> endAsking(
        const serving_key& key, std::string_view result, time_point now, actions& out);
    void callConfirmed(const frame_received& received, const wire::call_confirmation_data& confirmation,
        const frame_age& age, std::uint32_t timestamp, time_point now, actions& out);
    void refuseUnconfirmed(time_point now, actions& out);
    void sendCheck(const serving_key& key, time_point now, actions& out) const;
    bool holdForParent(const ingress_call& call, time_point now, actions& out);
    void releaseHeld(const serving_key& key, time_point now, actions& out);
    void refuseHeld(const serving_key& key, time_point now, actions& out);
    void answerCheck(const frame_received& received, std::uint64_t attempt, time_point now, actions& out);
    void offer(std::uint64_t servingId, time_point now, actions& out);
    void cancelServing(const serving_key& key, std::string_view reason, time_point now, actions& out);
    void cancelOverdueServing(time_point now, actions& out);
    void cancelLinkServing(std::uint64_t link, time_point now, actions& out);
    void handleBackendResult(backend_result result, time_point now, actions& out);
    void startServing(std::uint64_t servingId, time_point now, actions& out);
    void applyAdmission(const admission_actions& decided, time_point now, actions& out);
    void refuseServing(
        std::uint64_t servingId, refusal_reason reason, duration retryAfter, time_point now, actions& out);
    void sendFailure(const serving_key& key, failure_kind kind, duration retryAfter, time_point now, actions& out);
    void handleHeartbeat(const backend_heartbeat& report, time_point now, actions& out);
    void handleDeregistration(const std::string& id, time_point now, actions& out);
    void considerCandidate(const backend_heartbeat& report, time_point now, actions& out);
    void checkCandidate(time_point now, actions& out);
    void handleCheckResult(const backend_check_result& checked, time_point now, actions& out);
    void replaceBackend(const backend_heartbeat& report, time_point now, actions& out);
    void startBackendDrain(time_point now, actions& out);
    void resetAdmission(unsigned slots, time_point now);
    void resizeAdmission(unsigned slots, time_point now, actions& out);
    unsigned assumedSlots() const;
    bool isSilent(const serving_call& call, time_point now) const;
    double measureSilence(time_point now) const;
    void refuseQueued(refusal_reason reason, time_point now, actions& out);
    void refuseWaiting(std::uint64_t servingId, refusal_reason reason, time_point now, actions& out);
    bool canServe(time_point now) const;
    time_point servingDeadline() const;
    void recordOutcome(double failure, duration elapsed);
    endpoint_load ownLoad() const;
    serving_call removeServing(std::uint64_t servingId);
    void endExecution(std::uint64_t servingId, const serving_call& call, time_point now, actions& out);

    // ---- Cold start of the local backend server (cold_start.cpp) ----
    bool paced = false; ///< its calls are started at the pace of a cold backend server
    time_point lastWarmthReport {}; ///< when it last said whether it is cold
    time_point nextWarmthCheckAt = time_point::max(); ///< of one that is asked for it; max: it reported in time
    const mesh::service* coldBounds = nullptr; ///< in config, of a service that states them; nullptr: none
    void updateColdBounds();
    void coldReported(duration remaining, time_point now, actions& out);
    void assumeCold(std::string_view reason, time_point now, actions& out);
    void checkWarmth(time_point now, actions& out);
    void warmthChecked(const backend_check_result& checked, time_point now, actions& out);
    time_point nextWarmthTimer() const;
    void updatePace(time_point now, actions& out);
    std::optional<start_pace> coldPace() const;
    unsigned pacedLimit() const;

    // ---- Evacuation of availability zones (evacuation.cpp) ----
    evacuations_read evacuations; ///< the latest that are known
    bool isEvacuated(const std::string& zone) const;
    void mergeEvacuations(const evacuations_read& read, time_point now, actions& out);
    void reportEvacuations(wire::status_data& status) const;

    // ---- Planned shutdown of this node (leaving.cpp) ----
    time_point leaveStartedAt = time_point::max(); ///< max: none
    time_point answersEndAt = time_point::max(); ///< of the requests in progress; max: unlimited
    time_point nextRecallAt = time_point::max(); ///< max: not leaving, or all requests have been answered
    void leave(const leave_request& request, time_point now);
    bool acceptsRequests(time_point now) const;
    time_point lastStart(duration executionTime) const;
    bool canFinishAt(const endpoint& target, time_point now) const;
    duration executionTimeAt(const std::string& nodeName) const;
    void advanceLeaving(time_point now, actions& out);
    void recallAttempts(time_point now, actions& out);
    void endAnswers(time_point now, actions& out);
    void recallReceived(const serving_key& key, time_point now, actions& out);

    // ---- Links (transit.cpp) ----
    std::unordered_map<std::uint64_t, link_state> links;

    void sendFrame(const socket_address& to, wire::frame_data frame, int expectedReplyDelta, time_point now,
        actions& out, traffic_class traffic = traffic_class::calls) const;
    void replyOver(std::uint64_t link, wire::frame_data frame, time_point now, actions& out,
        write_pace pace = write_pace::unlimited) const;
    frame_age measureAge(const frame_received& received, std::uint32_t timestamp, time_point now, actions& out);

    // ---- Other nodes (members.cpp, dissemination.cpp) ----
    endpoint self;
    std::map<std::string, endpoint> peers; ///< by node
    std::map<socket_address, std::string> peerNameByAddress;
    std::map<socket_address, unknown_node> unknownNodes;
    time_point nextStatusAt {}; ///< next status to the relays
    time_point nextBundleAt {}; ///< next bundle, if this node is a relay
    time_point lastBundleAt {};
    bool urgentStatusDue = false; ///< a change that other nodes need to know immediately
    time_point lastStatusAt {};
    std::uint64_t statusSequence = 0;
    /// Of all backend servers of a service.
    struct service_load {
        double arrivalsPerSecond = 0; ///< calls
        double failureRate = 0; ///< mean of the backend servers
        unsigned servers = 0;
    };
    std::unordered_map<std::string, service_load> serviceLoads;
    bool storeReachable = true;

    void receiveFrame(const frame_received& received, time_point now, actions& out);
    void handleFrame(
        const frame_received& received, wire::frame_data frame, const frame_age& age, time_point now, actions& out);
    void cancelReceived(const serving_key& key, time_point now, actions& out);
    void receiveStatus(const status_received& received, time_point now, actions& out);
    void receiveBundle(const status_received& received, time_point now, actions& out);
    void updatePeer(const wire::status_data& status, const std::string& bytes, time_point now, actions& out);
    void sendOwnStatus(time_point now, actions& out);
    void sendBundles(time_point now, actions& out);
    void requestStatuses(time_point now, actions& out);
    void expediteBundle(time_point now);
    void sendToZones(const std::vector<std::string>& bundles, std::size_t relayIndex, time_point now, actions& out);
    void forwardBundle(
        const std::string& bytes, const std::string& region, std::size_t relayIndex, time_point now, actions& out);
    std::vector<const endpoint*> statusReceivers(time_point now) const;
    std::vector<const endpoint*> bundleReceivers(const std::string& zone, std::size_t relayIndex, time_point now);
    duration scaleInterval(duration usual) const;
    bool isLive(const endpoint& peer, time_point now) const;
    std::vector<std::string> relaysOf(const std::string& zone, time_point now) const;
    std::string ownStatus(bool replyRequested, time_point now);
    void addListedNodes(const nodes_listed& listed, time_point now);
    void expirePeers(time_point now, actions& out);
    endpoint* peerByAddress(const socket_address& address);

    // ---- Distribution of the configuration (configuration_source.cpp) ----
    std::uint64_t newestVersion = 0; ///< newest configuration version that any node has reported
    bool started = false; ///< has had its first tick
    bool introduced = false; ///< knows the nodes of its zone, after its start
    time_point introductionEndsAt = time_point::max();
    time_point outdatedSince {}; ///< when this node last knew of a newer version without progress
    std::uint64_t requestedVersion = 0; ///< held by the node that was last asked for its configuration
    time_point nextPullAt {};
    std::optional<socket_address> pullInFlight; ///< node that was asked and has not replied
    time_point pullTimeoutAt {}; ///< of pullInFlight
    /// Read from the store by a node that has none yet, while others hold a newer one: the store was restored from a
    /// copy.
    std::optional<configuration_received> withheld;
    time_point withheldSince {};

    std::uint64_t heldVersion() const { return config ? config->content().version : 0; }
    void pullConfiguration(time_point now, actions& out);
    void sendConfiguration(
        std::uint64_t link, const wire::configuration_request_data& request, time_point now, actions& out) const;
    void endPull(const socket_address& source, time_point now);
    void considerOffer(const wire::status_data& status, time_point now);
    const endpoint* configurationSource(time_point now);
    std::size_t earlierNodes(time_point now) const;
    void startIntroduction(time_point now);
    void shortenIntroduction(time_point now);
    bool readsConfiguration(time_point now) const;
    bool fetchesForZone(time_point now) const;
    time_point nextConfigurationTimer() const;
    void applyConfiguration(configuration_received received, time_point now, actions& out);
    void putInForce(configuration_received received, time_point now, actions& out);
    bool newerIsHeld(std::uint64_t version, time_point now) const;
    void withhold(configuration_received received, time_point now, actions& out);
    void releaseWithheld(time_point now, actions& out);

    void handle(event event, time_point now, actions& out);
    void tick(time_point now, actions& out);
    time_point nextTimer() const;
};

/// Appends a structured log event.
inline void log(actions& out, std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    out.emplace_back(log_event { std::move(name), std::move(fields) });
}

/// Returns a time that another node has sent. Longer ones than an hour, and negative ones, come from a faulty sender.
inline duration boundedTime(std::int64_t microseconds)
{
    return std::clamp(duration(microseconds), duration(0), duration(std::chrono::hours(1)));
}

/// Responses with this status or a higher one are failures of a backend server.
constexpr int firstServerError = 500;

inline std::string milliseconds(duration value) { return std::to_string(value.count() / 1000); }

} // namespace limpet::mesh
