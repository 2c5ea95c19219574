#pragma once

// Runs many nodes in one process on virtual time, with faults drawn from a seed. Only the tests and the bench use it.

#include <functional>
#include <limpetcroft/fleet.h>
#include <map>
#include <queue>
#include <set>

namespace limpet {

/// State of the store as one node sees it.
enum class store_health : std::uint8_t { up, refusing, hanging };

class fleet_driver {
public:
    struct place {
        std::string region;
        std::string zone;
    };
    struct node {
        fleet_settings settings;
        random_source random { 0 };
        std::unique_ptr<fleet> decisions;
        std::int64_t offset = 0; ///< local clock at virtual time 0
        double rate = 1; ///< of the local clock
        bool up = false;
        duration pausedUntil { 0 };
        std::vector<std::function<void()>> waiting; ///< what arrived during the pause
        std::uint64_t timer = 0;
        duration timerAt { 0 };
        bool watching = false;
        store_position watchedFrom;
        duration startedAt { 0 };
        revision forced = 0;
        incarnation hadConfiguration = 0; ///< the last one with a configuration in force
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
    };

    explicit fleet_driver(std::uint64_t seed, std::vector<place> places, std::size_t perZone, std::size_t services)
        : random(seed)
    {
        std::set<std::string> regions;
        for (const auto& place : places)
            regions.insert(place.region);
        for (std::size_t index = 0; index < perZone * places.size(); ++index) {
            const auto& where = places[index % places.size()];
            auto& added = nodes.emplace_back();
            auto& self = added.settings.self;
            self.name = "vm-" + where.zone + "-" + std::to_string(index);
            self.id = makeNodeId(self.name);
            self.address = { "127." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
                    + std::to_string(index % 256),
                7400 };
            self.region = where.region;
            self.zone = where.zone;
            self.service = "service-" + std::to_string(index / places.size() % services);
            self.slots = 50;
            added.settings.regions.assign(regions.begin(), regions.end());
            byId[self.id] = index;
            byAddress[self.address] = index;
        }
        for (auto& added : nodes)
            for (std::size_t index = 0; index < std::min<std::size_t>(3, nodes.size()); ++index)
                added.settings.seeds.push_back(nodes[index].settings.self.address);
    }

    void start(std::size_t index)
    {
        auto& node = nodes[index];
        ++node.settings.self.run;
        node.random = random_source(random.next());
        // Clocks of two nodes are unrelated and differ in rate by up to 800 ppm.
        node.offset = static_cast<std::int64_t>(random.below(1'000'000'000'000));
        node.rate = 1 + 0.0004 * (2 * random.uniform() - 1);
        node.decisions = std::make_unique<fleet>(node.settings, node.random);
        node.up = true;
        node.startedAt = now;
        node.watching = false;
        node.waiting.clear();
        act(index, [&](fleet& decisions, time_point local, fleet_actions& out) { decisions.start(local, out); });
    }
    void crash(std::size_t index)
    {
        nodes[index].up = false;
        nodes[index].watching = false;
        ++nodes[index].timer;
    }
    void drain(std::size_t index)
    {
        act(index, [](fleet& decisions, time_point local, fleet_actions& out) { decisions.drain(local, out); });
    }
    void pause(std::size_t index, duration length)
    {
        nodes[index].pausedUntil = now + length;
        at(length, [this, index, run = nodes[index].settings.self.run] {
            auto& node = nodes[index];
            if (!node.up || node.settings.self.run != run)
                return;
            auto waiting = std::move(node.waiting);
            node.waiting.clear();
            for (auto& step : waiting)
                step();
            wake(index);
        });
    }

    void at(duration delay, std::function<void()> step) { m_events.push({ now + delay, ++m_order, std::move(step) }); }
    void run(duration length)
    {
        const auto end = now + length;
        while (!m_events.empty() && m_events.top().when <= end) {
            auto step = std::move(const_cast<event&>(m_events.top()).step);
            now = std::max(now, m_events.top().when);
            m_events.pop();
            step();
        }
        now = end;
    }

    time_point local(std::size_t index) const
    {
        const auto& node = nodes[index];
        return time_point(
            duration(node.offset + static_cast<std::int64_t>(static_cast<double>(now.count()) * node.rate)));
    }

    /// Writes a configuration as an operator does and returns its revision.
    revision write(configuration next)
    {
        next.number = accepted.number + 1;
        const auto delta = encodeDelta(accepted, next);
        accepted = std::move(next);
        writeAccepted(delta);
        return accepted.number;
    }
    /// Writes the accepted configuration again, as an operator does when the store has lost it.
    void writeAgain() { writeAccepted(encodeDelta({}, accepted)); }
    void copyStore() { m_copy = { store, head }; }
    /// Takes the content of the copy, in a new era. Watches wait on.
    void restoreStore()
    {
        ++era;
        std::tie(store, head) = m_copy;
    }
    /// Breaks every watch, as a store does that comes back.
    void breakWatches()
    {
        for (std::size_t index = 0; index < nodes.size(); ++index)
            if (nodes[index].watching)
                at(delay(), [this, index] { watchEvent(index, { std::string(deltaPrefix), {}, true }); });
    }

    bool allForced(revision number) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const node& each) {
            return !each.up || (each.decisions->inForce() && each.decisions->inForce()->number >= number);
        });
    }

    random_source random;
    std::deque<node> nodes;
    std::map<node_id, std::size_t> byId;
    std::map<socket_address, std::size_t> byAddress;
    duration now { 0 };
    double loss = 0;
    double duplication = 0;
    duration extraDelay { 0 }; ///< largest random delay of a message; larger than the gap between two, it reorders them
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) { return false; };
    std::function<store_health(std::size_t)> health = [](std::size_t) { return store_health::up; };
    duration storeDelay = std::chrono::milliseconds(5);
    double storeReplyLoss = 0;
    std::map<std::string, store_entry> store;
    store_revision head = 0;
    store_era era = 1;
    configuration accepted;
    std::uint64_t storeCalls = 0;
    std::function<void(std::size_t, const fleet_action&)> observe = [](std::size_t, const fleet_action&) {};
    std::vector<std::string> violations;

private:
    void writeAccepted(const std::string& delta)
    {
        ++head;
        const auto key = deltaKey(accepted.number);
        const std::string configurationName(configurationKey);
        store[configurationName] = { configurationName, encodeConfiguration(accepted), head, 0 };
        store[key] = { key, delta, head, 0 };
        for (std::size_t index = 0; index < nodes.size(); ++index)
            notify(index);
    }

    struct event {
        duration when;
        std::uint64_t order = 0;
        std::function<void()> step;
        bool operator<(const event& other) const { return std::tie(other.when, other.order) < std::tie(when, order); }
    };

    duration delay()
    {
        auto extra = extraDelay.count() == 0 ? 0 : random.below(static_cast<std::uint64_t>(extraDelay.count()));
        return std::chrono::milliseconds(1) + duration(static_cast<duration::rep>(extra));
    }

    template <typename Step> void act(std::size_t index, Step step)
    {
        auto& node = nodes[index];
        fleet_actions actions;
        step(*node.decisions, local(index), actions);
        for (auto& action : actions) {
            observe(index, action);
            std::visit([&](auto& body) { carryOut(index, body); }, action);
        }
        const auto next = node.decisions->nextTimer();
        const auto wait = std::max<double>(0, static_cast<double>((next - local(index)).count()) / node.rate + 1);
        const auto due = now + duration(static_cast<duration::rep>(wait));
        if (node.timerAt > now && due >= node.timerAt)
            return; // the earlier event looks at the timer again
        node.timerAt = due;
        at(due - now, [this, index, timer = ++node.timer] {
            if (nodes[index].timer == timer)
                whenAwake(index, [this, index] { wake(index); });
        });
    }
    void wake(std::size_t index)
    {
        nodes[index].timerAt = duration { 0 };
        act(index, [](fleet& decisions, time_point local, fleet_actions& out) { decisions.tick(local, out); });
    }
    template <typename Step> void whenAwake(std::size_t index, Step step)
    {
        auto& node = nodes[index];
        if (!node.up)
            return;
        if (now < node.pausedUntil)
            node.waiting.emplace_back(step);
        else
            step();
    }

    void carryOut(std::size_t index, send_message& action)
    {
        auto target = byId.find(action.to);
        auto place = byAddress.find(action.address);
        if (target == byId.end() && place == byAddress.end())
            return;
        const auto to = target != byId.end() ? target->second : place->second;
        auto frame = encode(action.message);
        nodes[index].bytes += frame.size();
        ++nodes[index].messages;
        const int copies = random.uniform() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (random.uniform() < loss || cut(index, to))
                continue;
            at(delay(), [this, index, to, frame, run = nodes[to].settings.self.run] {
                if (run != nodes[to].settings.self.run)
                    return; // the connection ended with the incarnation
                whenAwake(to, [this, index, to, frame] {
                    auto message = parseFleetMessage(frame);
                    if (!message)
                        violations.push_back("message cannot be parsed: " + message.error().message);
                    else
                        act(to, [&](fleet& decisions, time_point local, fleet_actions& out) {
                            decisions.receive(nodes[index].settings.self.id, *message, local, out);
                        });
                });
            });
        }
    }
    void carryOut(std::size_t index, store_call& action)
    {
        ++storeCalls;
        const auto state = health(index);
        if (state == store_health::hanging)
            return;
        if (state == store_health::refusing) {
            answer(index, { action.token, fail(error_kind::unavailable, "the store refuses") }, delay());
            return;
        }
        at(storeDelay / 2, [this, index, call = action, run = nodes[index].settings.self.run] {
            auto reply = std::visit([&](const auto& operation) { return execute(operation); }, call.operation);
            if (random.uniform() >= storeReplyLoss && run == nodes[index].settings.self.run)
                answer(index, { call.token, std::move(reply), era }, storeDelay / 2);
        });
    }
    void carryOut(std::size_t index, start_store_watch& action)
    {
        nodes[index].watching = true;
        nodes[index].watchedFrom = action.from;
        notify(index);
    }
    void carryOut(std::size_t index, stop_store_watch& /*action*/) { nodes[index].watching = false; }
    void carryOut(std::size_t /*index*/, members_changed& /*action*/) { }
    void carryOut(std::size_t index, configuration_in_force& action)
    {
        auto& node = nodes[index];
        const bool again = node.hadConfiguration == node.settings.self.run && action.value->number == node.forced;
        if (action.value->number < node.forced || again)
            violations.push_back(
                node.settings.self.name + " went back to revision " + std::to_string(action.value->number));
        node.hadConfiguration = node.settings.self.run;
        node.forced = std::max(node.forced, action.value->number);
    }

    void answer(std::size_t index, store_result result, duration wait)
    {
        at(wait, [this, index, result = std::move(result), run = nodes[index].settings.self.run] {
            if (run == nodes[index].settings.self.run)
                whenAwake(index, [this, index, result] {
                    act(index, [&](fleet& decisions, time_point local, fleet_actions& out) {
                        decisions.storeResult(result, local, out);
                    });
                });
        });
    }
    /// Reports the changes from the watched position on. Those of another era than that of the position end the watch.
    void notify(std::size_t index)
    {
        if (!nodes[index].watching || health(index) != store_health::up)
            return;
        auto& from = nodes[index].watchedFrom;
        fleet_watch_event event { std::string(deltaPrefix), {}, false, era };
        for (auto next = store.lower_bound(std::string(deltaPrefix));
             next != store.end() && next->first.starts_with(deltaPrefix); ++next)
            if (next->second.modRevision >= from.revision)
                event.changed.push_back(next->second);
        if (event.changed.empty())
            return;
        from.revision = head + 1;
        if (from.era != 0 && from.era != era) {
            event.changed.clear();
            event.broken = true;
        }
        at(storeDelay, [this, index, event] { watchEvent(index, event); });
    }
    void watchEvent(std::size_t index, const fleet_watch_event& event)
    {
        whenAwake(index, [this, index, event] {
            if (nodes[index].watching)
                act(index, [&](fleet& decisions, time_point local, fleet_actions& out) {
                    decisions.storeWatchEvent(event, local, out);
                });
        });
    }

    result<store_reply> execute(const store_get& get)
    {
        store_get_reply reply { {}, head };
        for (const auto& [key, entry] : store)
            if (get.prefix ? key.starts_with(get.key) : key == get.key)
                reply.entries.push_back(entry);
        return reply;
    }
    result<store_reply> execute(const store_txn& txn)
    {
        store_txn_reply reply { true, {}, head };
        for (const auto& compare : txn.compares) {
            auto found = store.find(compare.key);
            reply.succeeded = (found == store.end() ? 0 : found->second.modRevision) == compare.modRevision;
            if (!reply.succeeded && found != store.end())
                reply.current.push_back(found->second);
        }
        if (reply.succeeded)
            for (const auto& write : txn.writes)
                if (const auto* put = std::get_if<store_put>(&write))
                    store[put->key] = { put->key, put->value, ++head, 0 };
        return reply;
    }
    template <typename Operation> result<store_reply> execute(const Operation& /*operation*/)
    {
        return fail(error_kind::invalidArgument, "operation is not used by the fleet");
    }

    std::pair<std::map<std::string, store_entry>, store_revision> m_copy;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
};

} // namespace limpet
