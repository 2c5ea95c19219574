#pragma once

/// \file policy.h
/// Overload control of one node: concurrency limit, admission queue, shed thresholds, retry budgets and routing.
/// Nothing here reads a clock or a global random source. Apart from the baselines for comparison, the time of the
/// decisions about a call does not depend on the size of the fleet. A membership change costs O(n log n) time for the
/// n endpoints of the service that it affects.
///
/// The serving node of a request is the node beside the backend server that runs it; an entry node sends requests to
/// serving nodes. A backend server announces its slots, the number of requests that it can process at once.

#include <cstdint>
#include <limpetcroft/core.h>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace limpet {

/// Outcome of one attempt of a call, as seen by the node that made it.
enum class call_outcome : std::uint8_t {
    success,
    failed, ///< answered with an error, or the connection broke
    shed, ///< refused because the destination itself is overloaded, not a service that it called
    timeout,
    cancelled, ///< carries no information about the destination
};

// ---- Concurrency limit ----

/// A finished call as input of a concurrency limit.
struct limit_sample {
    call_outcome outcome = call_outcome::success;
    duration latency { 0 };
    unsigned inFlight = 0; ///< including this call, when it finished
};

struct vegas_options {
    double initial = 20;
    double minimum = 1;
    double maximum = 2000;
    /// Minimum length of a measurement window.
    duration window = std::chrono::milliseconds(100);
    /// A window is extended up to this length until it has windowSamples samples.
    duration maxWindow = std::chrono::seconds(1);
    unsigned windowSamples = 100;
    /// Length of a high phase at a steady limit, in multiples of a low phase, because low phases cost goodput. A high
    /// phase ends after twice maxWindow at the latest.
    unsigned highPhaseWindows = 5;
};

/// Adaptive limit after TCP Vegas: it estimates the queue inside the backend server as
/// inFlight * (1 - baseLatency / latency) and keeps it at a small fraction of the limit. While the limit is reached,
/// high phases at the limit alternate with short low phases at four fifths of it, or less if the queue is deep. The
/// base latency is that of the latest low phase, or of a later window in which the limit was not reached. A slow
/// service has the same latency in both phases, so slowness is not mistaken for a queue.
///
/// A shed reduces the limit at once. While many calls time out, success rates are compared instead of latencies,
/// because timeouts hide the real latency.
class vegas_limit {
public:
    explicit vegas_limit(const vegas_options& options = {});
    unsigned allowed() const;
    void record(const limit_sample& sample, time_point now);
    /// Sets the limit to the first announced number of slots. Every announcement also bounds the limit at ten times its
    /// value. Zero (unknown) is ignored.
    void announce(unsigned slots);
    /// Estimated latency of a call without queueing; zero until it is known.
    duration baseLatency() const;

private:
    /// Sums over the samples of the current window.
    struct window_totals {
        unsigned samples = 0; ///< successes and timeouts
        unsigned timeouts = 0;
        unsigned sheds = 0;
        unsigned maxInFlight = 0;
        unsigned samplesAtLimit = 0; ///< samples that ended while the limit was reached
        double latencySum = 0;
        double inFlightSum = 0;
    };
    /// Averages of a completed window.
    struct window_result {
        double limit = 0;
        unsigned samples = 0;
        double latency = 0; ///< mean, microseconds
        double inFlight = 0; ///< mean
        double successRate = 0; ///< per second
        double timeoutFraction = 0;
        unsigned maxInFlight = 0;
        bool limitReached = false; ///< most samples ended while the limit was reached
    };
    enum class phase : std::uint8_t { high, low };

    static double elasticity(const window_result& low, const window_result& high);
    bool windowComplete(time_point now) const;
    void startWindow(time_point start);
    void closeWindow(time_point now);
    void enterPhase(phase next, double latency, time_point now);
    void finishHighPhase(const window_result& window, time_point now);
    void finishLowPhase(const window_result& low, time_point now);
    void adjustByLatency(const window_result& high, const window_result& low);
    void adjustBySuccessRate(const window_result& high, const window_result& low);
    void growLimit(const window_result& previous, time_point now);
    void probeAboveShed(time_point now);
    void handleShed(unsigned inFlight, time_point now);
    void setLimit(double limit);

    vegas_options m_options;
    double m_limit; ///< limit of the high phase
    double m_upperBound; ///< maximum, or a multiple of the announced slots
    double m_currentLimit; ///< limit of the current phase
    double m_confirmedLimit; ///< initial, first announced or latest limit found by comparing latencies
    double m_lowPhaseFactor; ///< limit of the low phase relative to the high phase
    bool m_announced = false;
    double m_recentMaximum = 0; ///< decaying maximum of the recent limits
    unsigned m_comparisonsWithoutQueue; ///< in a row; starts at a value that lets a new limit grow
    unsigned m_comparisonsWithDeepQueue = 0; ///< in a row; these found a queue in both phases
    unsigned m_comparisonsUntilDeepPhase = 0; ///< 0: a deep low phase is allowed
    double m_baseLatency = 0; ///< microseconds; 0: unknown
    double m_recoveryLimit = 0; ///< limit that is restored by doubling once timeouts cease; 0: none
    double m_shedConcurrency = 0; ///< number in flight at which sheds are expected; 0: none seen yet
    double m_probeStep = 0; ///< last step of probeAboveShed(); 0 after a shed
    time_point m_lastShed {};
    phase m_phase = phase::high;
    window_result m_highResult; ///< latest high phase
    time_point m_settleUntil {}; ///< earlier samples are ignored, except sheds
    time_point m_windowStart {};
    double m_windowStartLimit;
    window_totals m_window;
};

/// Limit at the number of slots, for a backend server that may never respond to a request for which it has no room.
/// Silence (a timeout) lowers the limit, but not below a quarter of the slots, since it may have another cause;
/// successes restore it.
class slot_limit {
public:
    /// slots: above 0.
    explicit slot_limit(unsigned slots);
    unsigned allowed() const;
    void record(const limit_sample& sample, time_point now);

private:
    double m_slots;
    double m_limit;
    time_point m_loweredAt {};
};

/// Baseline for comparison: a limit that never changes.
struct fixed_limit {
    unsigned limit = 20;
};

/// Baseline for comparison: no limit.
struct unlimited_limit { };

using concurrency_limit = std::variant<vegas_limit, slot_limit, fixed_limit, unlimited_limit>;

/// Number of requests that may be in flight at once.
unsigned allowed(const concurrency_limit& limit);
void record(concurrency_limit& limit, const limit_sample& sample, time_point now);
void announceSlots(concurrency_limit& limit, unsigned slots);

// ---- Admission to one backend server ----

/// Bound on the rate at which requests are started.
struct start_pace {
    double perSecond = 0; ///< above 0
    double burst = 1; ///< requests that may start at once after a pause; at least 1
    auto operator<=>(const start_pace&) const = default;
};

/// Token bucket over the starts of requests. It is empty at first, so that a new pace also holds together with what was
/// started shortly before.
class start_pacer {
public:
    start_pacer(const start_pace& pace, time_point now);
    const start_pace& pace() const { return m_pace; }
    void setPace(const start_pace& pace, time_point now);
    /// Time at which the next request may start; may have passed.
    time_point nextStart() const;
    void countStart(time_point now);

private:
    double tokensAt(time_point now) const;

    start_pace m_pace;
    double m_tokens = 0; ///< at m_updatedAt
    time_point m_updatedAt {};
};

/// Which requests are shed: those with a priority below `lowestAdmitted` are refused, those of that priority are
/// admitted in part, and those above are admitted.
struct shed_level {
    priority lowestAdmitted = lowestPriority;
    double admittedFraction = 1; ///< of the requests of priority `lowestAdmitted`, 0 to 1
    auto operator<=>(const shed_level&) const = default;
};

/// Returns the level that sheds more.
shed_level stricter(const shed_level& left, const shed_level& right);

enum class queue_order : std::uint8_t {
    priorityFair, ///< by priority, fair between teams, then by depth and deadline
    fifo, ///< baseline for comparison: no eviction and no refusal by estimated latency
};

struct admission_options {
    concurrency_limit limit = vegas_limit();
    queue_order order = queue_order::priorityFair;
    /// Queue capacity in multiples of the concurrency limit, but at least minQueueCapacity.
    double queueCapacityFactor = 2;
    unsigned minQueueCapacity = 16;
    /// Bounds the queue for any concurrency limit.
    unsigned maxQueueCapacity = 4000;
    /// Time constant of the decaying counts from which shedLevel() is computed.
    duration shedTimeConstant = std::chrono::milliseconds(250);
};

struct admission_request {
    request_id id;
    request_context context; ///< context.remaining counts from now
};

struct admission_refusal {
    request_id id;
    refusal_reason reason = refusal_reason::overloaded;
    duration retryAfter { 0 };
};

/// Requests that the caller has to start or refuse after an event. None of the refused requests ran.
struct admission_actions {
    std::vector<request_id> start;
    std::vector<admission_refusal> refused;
};

enum class admission_verdict : std::uint8_t {
    run, ///< start it now
    queued, ///< the actions of a later call start or refuse it
    refused,
};

struct admission_decision {
    admission_verdict verdict = admission_verdict::refused;
    refusal_reason reason = refusal_reason::overloaded; ///< when refused
    duration retryAfter { 0 }; ///< when refused
    admission_actions actions; ///< for other requests, which expired or were evicted for this one
};

/// Decides which requests the backend server of this node runs, and in which order.
class admission {
public:
    explicit admission(const admission_options& options = {});

    /// Admits, queues or refuses a new request. An id that is already queued or running is refused as internal.
    admission_decision offer(const admission_request& request, time_point now);
    /// Reports that a started request ended. Latency is measured from its start. Unknown ids are ignored.
    admission_actions finish(const request_id& id, call_outcome outcome, duration latency, time_point now);
    /// Drops a queued request that its caller has cancelled. Returns whether it was queued, in which case it did not
    /// run. A running request stays until finish().
    bool cancel(const request_id& id);
    /// Refuses the queued requests whose deadline has passed, and starts requests up to the limit.
    admission_actions expire(time_point now);
    /// Time at which expire() has to be called next; none while the queue is empty.
    std::optional<time_point> nextTimer() const;

    void announceSlots(unsigned slots);
    /// Bounds the rate at which requests are started, besides the concurrency limit; none: no bound. Queued requests
    /// that may start now do so at the next expire().
    void setPace(const std::optional<start_pace>& pace, time_point now);
    /// Refuses new requests as draining from now on; queued and running requests finish.
    void drain();
    bool draining() const;
    /// Whether no request is queued or running.
    bool idle() const;

    unsigned limit() const;
    std::size_t inFlight() const;
    std::size_t queued() const;
    /// Estimates how long a new request of that team and priority waits in the queue.
    duration expectedWait(std::string_view team, priority importance) const;
    /// Returns the current shed level, with the admitted fraction of one team.
    shed_level shedLevel(std::string_view team, time_point now);

private:
    struct queued_request {
        request_id id;
        std::string team;
        priority importance = lowestPriority;
        std::uint8_t depth = 0;
        time_point deadline {};
        time_point orderingDeadline {}; ///< the deadline; a constant in FIFO order
        std::uint64_t sequence = 0;
    };
    /// Orders the requests of one team: deeper first, then earlier deadline, then earlier arrival.
    struct request_order {
        bool operator()(const queued_request& left, const queued_request& right) const;
    };
    using request_set = std::set<queued_request, request_order>;
    /// Queued requests of one team within one priority, with the start tag of start-time fair queueing.
    struct team_queue {
        std::string team;
        double startTag = 0;
        request_set requests;
    };
    /// Queued requests of one priority.
    struct priority_level {
        double virtualTime = 0;
        std::size_t size = 0;
        std::vector<team_queue> teams;
    };
    struct running_request {
        std::string team;
        priority importance = lowestPriority;
    };
    struct decayed_counts {
        double started = 0;
        double refused = 0;
    };

    std::size_t queueCapacity() const;
    bool mayStart(time_point now) const;
    duration pacedWait(std::size_t ahead, time_point now) const;
    std::size_t countAhead(std::string_view team, priority importance) const;
    team_queue& teamQueueOf(const std::string& team, priority importance);
    const team_queue* findTeamQueue(std::string_view team, priority importance) const;
    void insert(queued_request request);
    queued_request removeQueued(team_queue& queue, priority importance, request_set::iterator position);
    queued_request dequeueNext();
    bool makeRoom(const queued_request& incoming, admission_actions& actions, time_point now);
    void start(const queued_request& request, time_point now);
    void startQueued(admission_actions& actions, time_point now);
    void refuseExpired(admission_actions& actions, time_point now);
    bool wouldMissDeadline(time_point deadline, double timeNeeded, time_point now) const;
    bool shouldAbandon(const queued_request& request, time_point now) const;
    duration retryAfter(priority importance) const;
    void countStarted(const std::string& team, priority importance, time_point now);
    void countRefused(const std::string& team, priority importance, time_point now);
    void decayCounts(time_point now);
    double admittedFractionOf(std::string_view team, priority importance) const;
    void updateLatencyEstimates(call_outcome outcome, duration latency);

    admission_options m_options;
    std::array<priority_level, highestPriority + 1> m_levels;
    std::unordered_map<request_id, queued_request> m_queued;
    std::set<std::pair<time_point, request_id>> m_deadlines;
    std::unordered_map<request_id, running_request> m_running;
    /// By priority, then by team.
    std::array<std::map<std::string, decayed_counts, std::less<>>, highestPriority + 1> m_counts;
    std::array<decayed_counts, highestPriority + 1> m_totals; ///< by priority, of all teams
    time_point m_lastDecay {};
    std::uint64_t m_nextSequence = 0;
    double m_meanLatency = 0; ///< microseconds; 0: unknown
    double m_lowerQuartileLatency = 0; ///< estimate, microseconds; 0: unknown
    double m_medianLatency = 0; ///< estimate, microseconds; 0: unknown
    std::optional<start_pacer> m_pacer; ///< none: requests start as soon as the limit allows
    bool m_draining = false;
};

// ---- Shed thresholds at entry nodes ----

struct threshold_options {
    bool enabled = true; ///< false is the baseline for comparison: entry nodes admit everything
    /// Fraction of the requests of the lowest admitted priority that is always admitted, as probes that detect the end
    /// of an overload. Probes of lower priorities would be admitted while more important requests are refused.
    double probeFraction = 0.02;
    /// Refused fraction at the serving node that causes no correction; it keeps the queue of the backend server filled.
    double toleratedRefusedFraction = 0.1;
    /// Minimum time between two changes of an admitted fraction or of a lowest admitted priority.
    duration adjustmentInterval = std::chrono::milliseconds(100);
    duration reportTimeout = std::chrono::seconds(1); ///< time without replies after which a threshold decays
    std::size_t maxServices = 256; ///< the least recently used is evicted, as for teams
    std::size_t maxTeamsPerService = 256;
};

/// Shed levels of each service, computed from the levels that replies report. A node checks them before it sends a
/// request, so that requests which would be refused at their destination are refused early.
class shed_thresholds {
public:
    explicit shed_thresholds(threshold_options options = {});

    /// Records the levels in a reply to a request of that team: that of the serving node, and the strictest level of
    /// the services that it called.
    void recordLevels(std::string_view service, std::string_view team, const shed_level& own,
        const shed_level& downstream, time_point now);
    /// Whether to send this request. Nodes with the same level decide the same for all calls of one root request, so
    /// that its call tree is shed as a whole.
    bool admits(std::string_view service, const request_context& context, time_point now);
    /// Returns the level for a team, with the fraction that is admitted by both this node and the serving node. A node
    /// reports it to its callers for the services that it calls, so that shedding moves towards the root of the call
    /// tree.
    shed_level level(std::string_view service, std::string_view team, time_point now);
    /// Returns the time after which a refused caller may try again.
    duration retryAfter(std::string_view service, std::string_view team, time_point now);

private:
    struct team_state {
        double admittedFraction = 1;
        double reportedFraction = 1; ///< admitted by the serving node; mean of the last interval
        double reportedFractionSum = 0;
        unsigned reports = 0;
        time_point lastChange {};
        time_point lastUse {};
    };
    /// The lowest admitted priority, shared by all teams, and the admitted fraction of each team at that priority.
    /// Sharing it ensures that no request is refused while a less important one of another team is sent.
    struct threshold {
        priority lowestAdmitted = lowestPriority;
        double initialFraction = 1; ///< of a team without state
        std::map<std::string, team_state, std::less<>> teams;
        unsigned reports = 0; ///< in this interval
        unsigned reportsAbove = 0; ///< reports with a higher lowestAdmitted
        unsigned reportsBelow = 0; ///< reports with a lower lowestAdmitted, or that nothing is shed
        time_point lastChange {};
        time_point lastReport {};
    };
    struct service_state {
        threshold own; ///< of the service itself
        threshold downstream; ///< of the services that it calls
        std::array<std::optional<time_point>, highestPriority + 1> lastRequest; ///< time of the latest, by priority
        time_point lastUse {};
    };

    service_state& serviceStateOf(std::string_view service, time_point now);
    team_state& teamStateOf(threshold& threshold, std::string_view team, time_point now) const;
    void applyReport(
        service_state& state, threshold& threshold, std::string_view team, const shed_level& level, time_point now);
    void adjustFraction(team_state& team, double reportedFraction) const;
    void updateThreshold(service_state& state, threshold& threshold, time_point now) const;
    void raiseThreshold(const service_state& state, threshold& threshold, time_point now) const;
    void lowerThreshold(const service_state& state, threshold& threshold, time_point now) const;
    void decay(service_state& state, threshold& threshold, time_point now) const;
    bool admits(const threshold& threshold, const request_context& context) const;
    shed_level levelOf(const threshold& threshold, std::string_view team) const;

    threshold_options m_options;
    std::map<std::string, service_state, std::less<>> m_services;
};

// ---- Retries ----

/// Default extra attempts of a root request for its whole call tree.
constexpr std::uint8_t defaultExtraAttempts = 3;

/// Number of extra attempts that a call in flight and its child calls may still make. Each call in flight has one.
class attempt_budget {
public:
    explicit attempt_budget(std::uint8_t extraAttempts = 0);
    std::uint8_t remaining() const;
    /// Spends one extra attempt. Returns false if none is left.
    bool spend();
    /// Takes the share of a child call out of the budget: half of the remaining attempts, rounded up, so that the last
    /// attempt goes to the node nearest to the failure.
    std::uint8_t takeShare();
    /// Returns the unused attempts of a child call to the budget, but no more than its share. Call it only for a reply
    /// to that child call: without a reply, the share counts as spent.
    void returnUnused(std::uint8_t share, std::uint8_t unused);

private:
    std::uint8_t m_remaining;
};

struct retry_options {
    bool budgeted = true; ///< false is the baseline for comparison: a fixed number at each hop, no ratio
    std::uint8_t extraAttemptsPerHop = 3; ///< if not budgeted
    double ratio = 0.1; ///< extra attempts per first attempt, for each pair of team and service
    double reserve = 2; ///< initial extra attempts of a pair
    double burst = 10; ///< maximum extra attempts of a pair
    duration initialBackoff = std::chrono::milliseconds(10);
    duration maxBackoff = std::chrono::seconds(1);
    std::size_t maxPairs = 4096; ///< bound on the pairs of team and service in memory
};

/// A failed attempt, as seen by the node that made it.
struct failed_attempt {
    refusal_reason reason = refusal_reason::internal;
    execution_state run = execution_state::unknown;
    bool isFinal = false; ///< the reply forbids all callers to retry
    duration retryAfter { 0 }; ///< from the reply
    std::uint8_t attemptsMade = 1; ///< attempts made at this hop, including this one
};

struct retry_decision {
    bool retry = false;
    duration backoff { 0 };
    bool markFinal = false; ///< without a retry: mark the reply to the caller as final
};

/// Whether another attempt may succeed and is safe. When it is unknown whether the attempt ran, only an idempotent
/// request is retried.
bool retryable(refusal_reason reason, execution_state run, bool idempotent);

/// Decides about extra attempts at one node.
class retry_policy {
public:
    explicit retry_policy(retry_options options = {});
    /// Counts a first attempt, which adds `ratio` extra attempts to its pair of team and service.
    void countFirstAttempt(std::string_view team, std::string_view service, time_point now);
    /// Decides whether to retry. A retry is spent from the budget and from the pair of team and service, but after a
    /// refusal as draining or notReady only from the budget.
    retry_decision decide(const request_context& context, std::string_view service, const failed_attempt& failure,
        attempt_budget& budget, time_point now, random_source& random);

private:
    struct token_bucket {
        double tokens = 0; ///< extra attempts
        time_point lastUse {};
    };
    token_bucket& bucketOf(std::string_view team, std::string_view service, time_point now);

    retry_options m_options;
    /// By service, then by team.
    std::map<std::string, std::map<std::string, token_bucket, std::less<>>, std::less<>> m_buckets;
    std::size_t m_bucketCount = 0;
};

/// Returns the delay before extra attempt number `attempt` (from 1): exponential with equal jitter, that is, between
/// half and all of the exponential delay.
duration backoff(const retry_options& options, unsigned attempt, random_source& random);

// ---- Routing ----

/// Token bucket of bytes for the link between regions. Bytes are charged after they were sent or received, so that the
/// bucket may become negative.
class byte_budget {
public:
    byte_budget(double bytesPerSecond, double burst);
    void charge(std::uint64_t bytes, time_point now);
    /// Remaining fraction of the burst, 0 to 1.
    double remainingFraction(time_point now);

private:
    void refill(time_point now);

    double m_rate;
    double m_burst;
    double m_tokens;
    time_point m_lastRefill {};
};

enum class endpoint_state : std::uint8_t { up, suspect, draining };

/// A backend server as a routing target, as described by membership.
struct endpoint {
    node_id node;
    incarnation run = 0;
    std::string region;
    std::string availabilityZone;
    std::string service;
    endpoint_state state = endpoint_state::up;
    unsigned slots = 0; ///< announced; 0: unknown
    double load = 0; ///< announced, 0 to 1; only used for almost equal scores
    auto operator<=>(const endpoint&) const = default;
};

enum class routing_kind : std::uint8_t {
    twoChoices, ///< the better of two random endpoints
    random, ///< baseline for comparison: any endpoint of the service
    roundRobin, ///< baseline for comparison
};

enum class locality : std::uint8_t { sameZone, sameRegion, otherRegion };
constexpr std::size_t localityCount = 3;

struct routing_options {
    routing_kind kind = routing_kind::twoChoices;
    /// Maximum number of endpoints of each service that this node sends calls to (its subset), by locality.
    std::array<unsigned, localityCount> subsetSizes { 8, 8, 4 };
    duration slowStartWindow = std::chrono::seconds(5); ///< time until a new endpoint has its full share
    double minSlowStartShare = 0.1; ///< initial share of a new endpoint
    unsigned ejectionThreshold = 5; ///< consecutive failures
    duration baseEjectionTime = std::chrono::seconds(1); ///< doubled for each further ejection without a success
    duration maxEjectionTime = std::chrono::seconds(30);
    double maxEjectedFraction = 0.34; ///< of the endpoints in the subsets of one service
    double linkBytesPerSecond = 100e3; ///< share of this node in the paid link between regions
    double linkBurstBytes = 1e6;
};

struct routing_choice {
    node_id node;
    locality where = locality::sameZone;
};

/// Endpoints of all services, with the errors and latencies that this node observed.
class routing_table {
public:
    /// The node id, region and availability zone are those of this node.
    routing_table(routing_options options, node_id self, std::string region, std::string availabilityZone);

    /// Adds or changes an endpoint. For a later run of the same node, all observations are reset and a slow start
    /// begins. An earlier run is ignored.
    void update(const endpoint& entry, time_point now);
    void remove(node_id node);

    /// Chooses an endpoint for one attempt, none of `excluded`. Errors: noBackendServer when none is available,
    /// overloaded when only another region has one and the byte budget does not allow its use at this priority.
    tl::expected<routing_choice, refusal_reason> pick(std::string_view service, std::span<const node_id> excluded,
        priority importance, time_point now, random_source& random);
    /// Report that an attempt was sent to an endpoint, and its outcome.
    void started(node_id node);
    void finished(node_id node, call_outcome outcome, duration latency, time_point now);
    /// Marks an endpoint as draining before membership reports it, after a drain notice or a refusal from that run.
    void markDraining(node_id node, incarnation run);

    /// Charges bytes sent to or received from another region.
    void charge(std::uint64_t bytes, time_point now);
    /// Remaining fraction of the byte budget, 0 to 1.
    double linkBudgetRemaining(time_point now);

    /// Nodes to which this node may send calls of a service, so that links to them can be kept open.
    std::vector<node_id> subset(std::string_view service) const;
    const endpoint* find(node_id node) const;
    /// Number of known endpoints of a service that are not draining, whether or not they are in the subset.
    std::size_t endpointCount(std::string_view service) const;
    bool ejected(node_id node, time_point now) const;

private:
    struct target {
        endpoint entry;
        locality where = locality::sameZone;
        std::uint64_t rank = 0; ///< rendezvous hash of this node and the endpoint
        time_point slowStartBegin {};
        unsigned inFlight = 0;
        double latency = 0; ///< EWMA in microseconds; 0: unknown
        double errorRate = 0; ///< decaying fraction of refused or failed attempts
        time_point errorRateUpdated {};
        unsigned consecutiveFailures = 0;
        unsigned ejections = 0;
        time_point ejectedUntil {};
    };
    /// Endpoints of a service in one locality.
    struct tier {
        std::vector<target*> members; ///< the subset, highest rank first
        double meanSlots = 0; ///< of the members; unknown slots count as 0
        double errorRate = 0; ///< as in target, of all attempts in this locality
        time_point errorRateUpdated {};
    };
    struct service_entry {
        std::vector<node_id> nodes; ///< in node order
        std::array<tier, localityCount> tiers;
        std::size_t nextRoundRobin = 0;
    };
    struct candidate {
        target* member = nullptr;
        double weight = 1;
    };

    static bool equalForRouting(const endpoint& left, const endpoint& right);
    locality localityOf(const endpoint& entry) const;
    void rebuild(service_entry& service);
    void removeFromService(const std::string& service, node_id node);
    target* chooseOfTwo(const tier& tier, std::span<const node_id> excluded, time_point now, random_source& random);
    std::size_t drawWeighted(double weights, random_source& random) const;
    target* pickBaseline(service_entry& service, std::span<const node_id> excluded, random_source& random);
    bool spillsOver(const tier& tier, time_point now, random_source& random) const;
    bool mayUseRegionLink(priority importance, bool onlyChoice, time_point now);
    double weight(const target& candidate, double meanSlots, time_point now) const;
    double score(const target& candidate, double meanLatency, double weight, time_point now) const;
    bool mayEject(const service_entry& service, time_point now) const;
    void countFailure(target& failed, time_point now);

    routing_options m_options;
    node_id m_self;
    std::string m_region;
    std::string m_availabilityZone;
    byte_budget m_linkBudget;
    std::unordered_map<node_id, target> m_targets;
    std::map<std::string, service_entry, std::less<>> m_services;
    std::vector<candidate> m_candidates; ///< of the current pick; kept to avoid an allocation
};

} // namespace limpet
