#pragma once

/// \file policy_model.h
/// Queueing model in virtual time for tests and benchmarks: callers, entry nodes with thresholds, retries and routing,
/// and backend servers behind admission. A run is determined by its options, including the seed.

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limpetcroft/policy.h>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace limpet::model {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Poisson arrivals of one team at one priority.
struct load {
    std::string team;
    priority importance = 5;
    double rate = 100; ///< per second
    duration deadline = milliseconds(1000);
};

struct options {
    std::uint64_t seed = 1;
    unsigned backends = 1;
    unsigned entries = 1; ///< entry nodes
    unsigned slots = 40; ///< of each backend server
    unsigned announced = 40; ///< announced slots of each backend server
    duration serviceTime = milliseconds(40); ///< mean of an exponential distribution
    bool shedsAboveSlots = false; ///< answers 503 above its slots; otherwise it queues requests internally
    bool cancelsExpired = true; ///< drops requests from its internal queue after their deadline
    duration runTime = seconds(20);
    std::vector<load> loads;
    /// Factor on service times at a time in seconds.
    std::function<double(double)> slowdown = [](double) { return 1.0; };
    /// Factor on all arrival rates at a time in seconds.
    std::function<double(double)> demand = [](double) { return 1.0; };
    admission_options admission;
    threshold_options thresholds;
    retry_options retries;
    routing_options routing;
    bool retriesEnabled = false;
};

struct tally {
    unsigned offered = 0;
    unsigned succeeded = 0; ///< answered within the deadline
    unsigned refused = 0;
    unsigned failed = 0; ///< not answered in time
};

class simulation {
public:
    explicit simulation(options setup)
        : m_setup(std::move(setup))
        , m_random(m_setup.seed)
    {
        for (unsigned index = 0; index < m_setup.backends; ++index) {
            m_backends.push_back({ admission(m_setup.admission), 0, {} });
            m_backends.back().admissionControl.announceSlots(m_setup.announced);
        }
        for (unsigned index = 0; index < m_setup.entries; ++index) {
            m_entries.push_back({ shed_thresholds(m_setup.thresholds), retry_policy(m_setup.retries),
                routing_table(m_setup.routing, { 1000 + index }, "r", "z") });
            for (unsigned node = 0; node < m_setup.backends; ++node)
                m_entries.back().routes.update({ { node + 1 }, 1, "r", "z", "s", endpoint_state::up, 1, 0 }, m_now);
        }
    }

    void run()
    {
        for (const auto& load : m_setup.loads)
            scheduleArrival(load);
        const auto endTime = m_now + m_setup.runTime;
        runProbe();
        while (!m_events.empty() && m_events.top().at < endTime) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
    }

    /// Sums over the requests that were offered in the seconds [from, to).
    tally sum(
        int from, int to, const std::function<bool(const load&)>& selects = [](const load&) { return true; }) const
    {
        tally total;
        for (const auto& [key, entry] : m_tallies) {
            if (key.first < from || key.first >= to || !selects(m_setup.loads[key.second]))
                continue;
            total.offered += entry.offered;
            total.succeeded += entry.succeeded;
            total.refused += entry.refused;
            total.failed += entry.failed;
        }
        return total;
    }
    /// Successes per second that all backend servers can reach.
    double capacity() const
    {
        return m_setup.backends * m_setup.slots / std::chrono::duration<double>(m_setup.serviceTime).count();
    }
    /// Requests refused or failed while a less important one that was offered later was answered. Not counted by this
    /// model.
    unsigned inversions = 0;
    unsigned attempts = 0;
    unsigned shedByBackend = 0;
    admission& admissionOf(std::size_t index) { return m_backends[index].admissionControl; }
    std::function<void()> probe = [] {}; ///< called every 100 ms

private:
    static constexpr auto networkDelay = std::chrono::microseconds(500);
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct call {
        request_context context;
        std::size_t load = 0;
        time_point deadline;
        int offeredAt = 0;
        std::size_t entry = 0;
        attempt_budget budget { defaultExtraAttempts };
        std::uint8_t attemptsMade = 0;
        std::vector<node_id> tried;
        bool done = false;
    };
    struct attempt {
        std::shared_ptr<call> owner;
        std::size_t backend = 0;
        time_point sentAt;
        time_point startedAt;
        bool finished = false; ///< as seen by the serving node, also after a timeout
        bool isRunning = false;
    };
    using attempt_pointer = std::shared_ptr<attempt>;
    struct backend {
        admission admissionControl;
        unsigned busy = 0;
        std::deque<std::pair<request_id, attempt_pointer>> internalQueue;
        std::map<request_id, attempt_pointer> queued {};
    };
    struct entry_node {
        shed_thresholds thresholds;
        retry_policy retries;
        routing_table routes;
    };

    double second() const { return std::chrono::duration<double>(m_now.time_since_epoch()).count(); }
    void schedule(time_point when, std::function<void()> action)
    {
        m_events.push({ std::max(when, m_now), m_order++, std::move(action) });
    }

    void runProbe()
    {
        probe();
        schedule(m_now + milliseconds(100), [this] { runProbe(); });
    }
    void scheduleArrival(const load& load)
    {
        const double rate = load.rate * m_setup.demand(second());
        const auto gap = m_random.exponential(duration(std::llround(1e6 / std::max(rate, 0.1))));
        schedule(m_now + gap, [this, &load] {
            auto arrived = std::make_shared<call>();
            arrived->context.id = m_random.nextId();
            arrived->context.rootId = arrived->context.id;
            arrived->context.team = load.team;
            arrived->context.importance = load.importance;
            arrived->load = static_cast<std::size_t>(&load - m_setup.loads.data());
            arrived->deadline = m_now + load.deadline;
            arrived->offeredAt = static_cast<int>(second());
            arrived->entry = m_random.below(m_entries.size());
            ++tallyOf(*arrived).offered;
            send(arrived);
            scheduleArrival(load);
        });
    }
    tally& tallyOf(const call& owner) { return m_tallies[{ owner.offeredAt, owner.load }]; }

    void send(const std::shared_ptr<call>& owner)
    {
        auto& entry = m_entries[owner->entry];
        owner->context.remaining = owner->deadline - m_now;
        if (!entry.thresholds.admits("s", owner->context, m_now))
            return finishCall(owner, false, true);
        const auto choice = entry.routes.pick("s", owner->tried, owner->context.importance, m_now, m_random);
        if (!choice)
            return finishCall(owner, false, true);
        if (owner->attemptsMade++ == 0)
            entry.retries.countFirstAttempt(owner->context.team, "s", m_now);
        ++attempts;
        owner->tried.push_back(choice->node);
        entry.routes.started(choice->node);
        auto sent = std::make_shared<attempt>();
        sent->owner = owner;
        sent->backend = choice->node.value - 1;
        sent->sentAt = m_now;
        schedule(m_now + networkDelay, [this, sent] { offer(sent); });
    }

    void offer(const attempt_pointer& sent)
    {
        auto& server = m_backends[sent->backend];
        const auto id = m_random.nextId();
        auto context = sent->owner->context;
        context.remaining = sent->owner->deadline - m_now;
        server.queued[id] = sent;
        auto decision = server.admissionControl.offer({ id, context }, m_now);
        applyActions(sent->backend, decision.actions);
        if (decision.verdict == admission_verdict::run)
            startAttempt(sent->backend, id);
        else if (decision.verdict == admission_verdict::refused)
            refuse(sent->backend, id, decision.reason);
        scheduleExpiry(sent->backend);
    }
    void scheduleExpiry(std::size_t index)
    {
        const auto next = m_backends[index].admissionControl.nextTimer();
        if (!next)
            return;
        schedule(*next, [this, index] { applyActions(index, m_backends[index].admissionControl.expire(m_now)); });
    }
    void applyActions(std::size_t index, const admission_actions& actions)
    {
        for (const auto& refused : actions.refused)
            refuse(index, refused.id, refused.reason);
        for (const auto& id : actions.start)
            startAttempt(index, id);
    }
    void refuse(std::size_t index, const request_id& id, refusal_reason reason)
    {
        reply(index, m_backends[index].queued.extract(id).mapped(), call_outcome::shed, reason);
    }

    void startAttempt(std::size_t index, const request_id& id)
    {
        auto& server = m_backends[index];
        const auto started = server.queued.extract(id).mapped();
        started->startedAt = m_now;
        if (server.busy < m_setup.slots)
            return serve(index, id, started);
        if (m_setup.shedsAboveSlots) {
            ++shedByBackend;
            schedule(m_now + milliseconds(1),
                [this, index, id, started] { finishAttempt(index, id, started, call_outcome::shed); });
            return;
        }
        server.internalQueue.emplace_back(id, started);
        schedule(started->owner->deadline, [this, index, id, started] { timeOut(index, id, started); });
    }
    void serve(std::size_t index, const request_id& id, const attempt_pointer& started)
    {
        ++m_backends[index].busy;
        started->isRunning = true;
        const double mean = static_cast<double>(m_setup.serviceTime.count()) * m_setup.slowdown(second());
        schedule(m_now + m_random.exponential(duration(std::llround(mean))), [this, index, id, started] {
            auto& server = m_backends[index];
            --server.busy;
            runNext(index);
            finishAttempt(index, id, started, call_outcome::success);
        });
        schedule(started->owner->deadline, [this, index, id, started] { timeOut(index, id, started); });
    }
    void runNext(std::size_t index)
    {
        auto& queue = m_backends[index].internalQueue;
        while (!queue.empty()) {
            const auto [id, next] = queue.front();
            queue.pop_front();
            if (m_setup.cancelsExpired && next->finished)
                continue;
            serve(index, id, next);
            return;
        }
    }
    void timeOut(std::size_t index, const request_id& id, const attempt_pointer& started)
    {
        if (started->finished)
            return;
        finishAttempt(index, id, started, call_outcome::timeout);
    }
    void finishAttempt(std::size_t index, const request_id& id, const attempt_pointer& started, call_outcome outcome)
    {
        if (started->finished)
            return;
        started->finished = true;
        applyActions(index, m_backends[index].admissionControl.finish(id, outcome, m_now - started->startedAt, m_now));
        scheduleExpiry(index);
        reply(index, started, outcome, refusal_reason::overloaded);
    }

    void reply(std::size_t index, const attempt_pointer& sent, call_outcome outcome, refusal_reason reason)
    {
        const auto level = m_backends[index].admissionControl.shedLevel(sent->owner->context.team, m_now);
        schedule(m_now + networkDelay, [this, index, sent, outcome, reason, level] {
            const auto& owner = sent->owner;
            auto& entry = m_entries[owner->entry];
            entry.thresholds.recordLevels("s", owner->context.team, level, {}, m_now);
            entry.routes.finished({ index + 1 }, outcome, m_now - sent->sentAt, m_now);
            if (outcome == call_outcome::success)
                return finishCall(owner, m_now <= owner->deadline, false);
            owner->context.remaining = owner->deadline - m_now;
            if (!m_setup.retriesEnabled || outcome == call_outcome::timeout)
                return finishCall(owner, false, outcome == call_outcome::shed);
            const failed_attempt failure { reason, execution_state::notExecuted, false, duration(0),
                owner->attemptsMade };
            const auto next = entry.retries.decide(owner->context, "s", failure, owner->budget, m_now, m_random);
            if (!next.retry)
                return finishCall(owner, false, true);
            schedule(m_now + next.backoff, [this, owner] { send(owner); });
        });
    }
    void finishCall(const std::shared_ptr<call>& owner, bool succeeded, bool refused)
    {
        auto& tally = tallyOf(*owner);
        tally.succeeded += succeeded ? 1 : 0;
        tally.refused += refused ? 1 : 0;
        tally.failed += !succeeded && !refused ? 1 : 0;
    }

    options m_setup;
    random_source m_random;
    time_point m_now { seconds(1) };
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<backend> m_backends;
    std::vector<entry_node> m_entries;
    std::map<std::pair<int, std::size_t>, tally> m_tallies;
};

} // namespace limpet::model
