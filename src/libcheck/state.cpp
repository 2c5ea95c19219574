// Checkers of shared state: I5, I6, I10, I11, I12, and all checkers together.

#include "index.h"
#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace limpet {

violations checkWithdrawnKeys(const history& events, duration bound)
{
    const history_index index(events);
    std::unordered_map<std::string_view, std::vector<const key_changed*>> changes;
    forEach<key_changed>(events, [&](const key_changed& change) { changes[change.keyId].push_back(&change); });
    for (auto& [key, list] : changes)
        std::ranges::stable_sort(list, {}, &key_changed::time);
    violations found;
    forEach<run_started>(events, [&](const run_started& run) {
        const auto* sent = index.sent(rootOf(run.request));
        const auto list = sent && !sent->keyId.empty() ? changes.find(sent->keyId) : changes.end();
        if (list == changes.end())
            return;
        // The state of the key during the whole bound before sending decides: one that was in force in it may work.
        const key_changed* latest = nullptr;
        for (const auto* change : list->second) {
            const bool counts = change->withdrawn ? change->time + bound < sent->time : change->time <= sent->time;
            if (counts)
                latest = change;
        }
        const auto* route = index.route(sent->method, sent->path);
        const bool open = route && route->openToAll;
        if (latest && latest->withdrawn && !open)
            found.push_back({ "I5", run.time,
                "request " + run.request + " ran with key " + sent->keyId + ", withdrawn "
                    + std::to_string((sent->time - latest->time) / std::chrono::milliseconds(1)) + " ms earlier" });
    });
    return found;
}

namespace {

    /// Rate and burst that are allowed from a time on.
    struct limit_step {
        duration from { 0 };
        double ratePerSecond = 0;
        double burst = 0;
    };

    /// Returns the steps of the largest limit in force during the propagation time before each moment. Before the first
    /// limit the steps start with that one.
    std::vector<limit_step> allowedSteps(std::vector<team_limit> limits, duration propagation)
    {
        std::ranges::stable_sort(limits, {}, &team_limit::time);
        limits.front().time = duration::min();
        std::set<duration> edges { duration::min() };
        for (std::size_t index = 1; index < limits.size(); ++index) {
            edges.insert(limits[index].time);
            edges.insert(limits[index].time + propagation);
        }
        std::vector<limit_step> steps;
        for (const auto edge : edges) {
            limit_step step { edge, 0, 0 };
            for (std::size_t index = 0; index < limits.size(); ++index) {
                const bool begun = limits[index].time <= edge;
                const bool ended = index + 1 < limits.size() && limits[index + 1].time + propagation <= edge;
                if (!begun || ended)
                    continue;
                step.ratePerSecond = std::max(step.ratePerSecond, limits[index].ratePerSecond);
                step.burst = std::max(step.burst, limits[index].burst);
            }
            steps.push_back(step);
        }
        return steps;
    }

    /// An admission: the requests that the rate alone allows up to its time, and its step.
    struct admission {
        duration time { 0 };
        double allowance = 0;
        std::size_t step = 0;
    };

    std::vector<admission> placeAdmissions(std::vector<duration> times, const std::vector<limit_step>& steps)
    {
        std::ranges::sort(times);
        std::vector<admission> placed;
        placed.reserve(times.size());
        std::size_t step = 0;
        double allowance = 0;
        duration last = times.front();
        for (const auto time : times) {
            while (step + 1 < steps.size() && steps[step + 1].from <= time) {
                const auto edge = std::max(steps[step + 1].from, last);
                allowance += steps[step].ratePerSecond * seconds(edge - last);
                last = edge;
                ++step;
            }
            allowance += steps[step].ratePerSecond * seconds(time - last);
            last = time;
            placed.push_back({ time, allowance, step });
        }
        return placed;
    }

    /// Finds the window with the largest excess. For windows that begin in one step, the excess of the window from i to
    /// j is (j + 1 - allowance(j)) - (i - allowance(i)) - burst, so one pass with the smallest second part so far
    /// covers every window.
    std::optional<violation> worstWindow(std::string_view team, const std::vector<admission>& admissions,
        const std::vector<limit_step>& steps, duration jitter)
    {
        constexpr double rounding = 1e-6;
        double worst = rounding;
        std::optional<violation> found;
        for (std::size_t first = 0; first < steps.size(); ++first) {
            double smallest = std::numeric_limits<double>::infinity();
            std::size_t start = 0;
            double burst = 0;
            double rate = 0;
            std::size_t covered = first;
            for (std::size_t index = 0; index < admissions.size(); ++index) {
                const auto& end = admissions[index];
                if (end.step < first)
                    continue;
                for (; covered <= end.step; ++covered) {
                    burst = std::max(burst, steps[covered].burst);
                    rate = std::max(rate, steps[covered].ratePerSecond);
                }
                const double begin = static_cast<double>(index) - end.allowance;
                if (end.step == first && begin < smallest) {
                    smallest = begin;
                    start = index;
                }
                const double used = begin + 1 - smallest;
                const double excess = used - burst - rate * seconds(jitter);
                if (excess <= worst)
                    continue;
                worst = excess;
                found = violation { "I6", end.time,
                    "team \"" + std::string(team) + "\" got " + std::to_string(index - start + 1) + " requests in "
                        + std::to_string((end.time - admissions[start].time).count()) + " us, " + std::to_string(excess)
                        + " more than its rate and burst" };
            }
        }
        return found;
    }

    std::map<std::string_view, std::vector<duration>> collectAdmissions(const history& events)
    {
        std::map<std::string_view, std::vector<duration>> reported;
        forEach<rate_admitted>(events, [&](const rate_admitted& event) {
            if (!event.team.empty())
                reported[event.team].push_back(event.time);
        });
        const history_index index(events);
        std::map<std::string_view, std::vector<duration>> ran;
        std::set<std::string_view> seen;
        forEach<run_started>(events, [&](const run_started& run) {
            const auto* sent = isRoot(run.request) ? index.sent(run.request) : nullptr;
            if (!sent || sent->team.empty() || !seen.insert(run.request).second)
                return;
            const auto* route = index.route(sent->method, sent->path);
            // Open routes are served whatever the rate of the team.
            if (!route || !route->openToAll)
                ran[sent->team].push_back(run.time);
        });
        reported.merge(ran);
        return reported;
    }

} // namespace

violations checkRates(const history& events, const rate_tolerance& tolerance)
{
    std::map<std::string_view, std::vector<team_limit>> limits;
    forEach<team_limit>(events, [&](const team_limit& limit) { limits[limit.team].push_back(limit); });
    violations found;
    for (const auto& [team, times] : collectAdmissions(events)) {
        const auto own = limits.find(team);
        if (own == limits.end()) {
            found.push_back({ "I6", times.front(), "team \"" + std::string(team) + "\" got requests without a rate" });
            continue;
        }
        const auto steps = allowedSteps(own->second, tolerance.propagation);
        auto worst = worstWindow(team, placeAdmissions(times, steps), steps, tolerance.jitter);
        if (worst)
            found.push_back(std::move(*worst));
    }
    return found;
}

violations checkLeaving(const history& events, duration bound)
{
    std::map<std::string_view, duration> leaving;
    forEach<server_leaving>(
        events, [&](const server_leaving& event) { leaving.try_emplace(event.server, event.time); });
    violations found;
    forEach<run_started>(events, [&](const run_started& run) {
        const auto left = leaving.find(run.server);
        if (left != leaving.end() && run.time > left->second + bound)
            found.push_back({ "I10", run.time,
                "server " + run.server + " got request " + run.request + " "
                    + std::to_string((run.time - left->second) / std::chrono::milliseconds(1))
                    + " ms after it began to leave" });
    });
    return found;
}

namespace {

    /// The time from the start of a planned stop until the node is down.
    struct planned_stop {
        const node_changed* node = nullptr;
        duration begin { 0 };
        duration end { duration::max() };
    };

    std::vector<planned_stop> collectStops(const history& events)
    {
        std::vector<planned_stop> stops;
        std::map<std::string_view, std::size_t> open;
        forEach<node_changed>(events, [&](const node_changed& change) {
            if (change.state == node_state::stopping) {
                open[change.node] = stops.size();
                stops.push_back({ &change, change.time });
            } else if (change.state == node_state::down && open.contains(change.node)) {
                stops[open[change.node]].end = change.time;
                open.erase(change.node);
            }
        });
        return stops;
    }

    void checkCallersOfStop(
        const history& events, const history_index& index, const planned_stop& stop, violations& found)
    {
        forEach<request_sent>(events, [&](const request_sent& sent) {
            if (stop.node->entry.empty() || sent.entry != stop.node->entry || sent.time > stop.end)
                return;
            const auto* answer = index.answered(sent.request);
            if (answer && answer->time < stop.begin)
                return;
            std::string what;
            if (!answer)
                what = "got no answer";
            else if (answer->status == 0 && answer->failure != "connect")
                what = "lost its connection (" + answer->failure + ")";
            else if (answer->reason == name(refusal_reason::connectionLost))
                what = "was interrupted";
            if (!what.empty())
                found.push_back({ "I11", stop.begin,
                    "request " + sent.request + " through node " + stop.node->node + " " + what
                        + " during a planned stop" });
        });
    }

    void checkRunsOfStop(const history& events, const planned_stop& stop, violations& found)
    {
        // A run is known by request and attempt: an attempt id alone may be missing in a history.
        using run_key = std::pair<std::string_view, std::string_view>;
        std::map<run_key, const run_ended*> ended;
        forEach<run_ended>(events, [&](const run_ended& run) {
            if (run.server == stop.node->server)
                ended[{ run.request, run.attemptId }] = &run;
        });
        forEach<run_started>(events, [&](const run_started& run) {
            if (stop.node->server.empty() || run.server != stop.node->server || run.time > stop.end)
                return;
            const auto end = ended.find({ run.request, run.attemptId });
            const bool missing = end == ended.end();
            if (!missing && (end->second->time < stop.begin || end->second->outcome != run_outcome::cancelled))
                return;
            found.push_back({ "I11", stop.begin,
                "the run of request " + run.request + " on server " + run.server
                    + (missing ? " never ended" : " was cancelled") + " during a planned stop" });
        });
    }

} // namespace

violations checkPlannedStop(const history& events)
{
    const history_index index(events);
    violations found;
    for (const auto& stop : collectStops(events)) {
        checkCallersOfStop(events, index, stop, found);
        checkRunsOfStop(events, stop, found);
    }
    return found;
}

namespace {

    /// What a node reported, in order.
    struct node_track {
        std::vector<const node_changed*> states;
        std::vector<const config_in_force*> configs;
    };

    std::map<std::string_view, node_track> collectNodes(const history& events)
    {
        std::map<std::string_view, node_track> nodes;
        forEach<node_changed>(events, [&](const node_changed& event) { nodes[event.node].states.push_back(&event); });
        forEach<config_in_force>(
            events, [&](const config_in_force& event) { nodes[event.node].configs.push_back(&event); });
        return nodes;
    }

    void checkNoReversal(std::string_view node, const node_track& track, violations& found)
    {
        revision highest = 0;
        for (const auto* config : track.configs) {
            if (config->number < highest)
                found.push_back({ "I12", config->time,
                    "node " + std::string(node) + " went back from revision " + std::to_string(highest) + " to "
                        + std::to_string(config->number) });
            highest = std::max(highest, config->number);
        }
    }

    /// Checks one accepted configuration on one node: by its due time, counted from acceptance or from the moment the
    /// node came up, the node must have it unless it was not up all that time or the history ends earlier.
    void checkSpread(std::string_view node, const node_track& track, const config_accepted& accepted, duration bound,
        duration historyEnd, violations& found)
    {
        for (std::size_t index = 0; index < track.states.size(); ++index) {
            if (track.states[index]->state != node_state::up)
                continue;
            const auto until = index + 1 < track.states.size() ? track.states[index + 1]->time : duration::max();
            const auto due = std::max(accepted.time, track.states[index]->time) + bound;
            if (due > until || due > historyEnd)
                continue;
            const bool inForce = std::ranges::any_of(track.configs, [&](const config_in_force* config) {
                return config->number >= accepted.number && config->time <= due;
            });
            if (!inForce)
                found.push_back({ "I12", due,
                    "revision " + std::to_string(accepted.number) + " is not in force in time on node "
                        + std::string(node) });
        }
    }

    void checkAccepted(const std::vector<config_accepted>& accepted, const history& events, violations& found)
    {
        for (std::size_t index = 1; index < accepted.size(); ++index) {
            if (accepted[index].number <= accepted[index - 1].number)
                found.push_back({ "I12", accepted[index].time,
                    "revision " + std::to_string(accepted[index].number) + " was accepted after revision "
                        + std::to_string(accepted[index - 1].number) });
        }
        std::set<revision> known;
        for (const auto& config : accepted)
            known.insert(config.number);
        forEach<config_in_force>(events, [&](const config_in_force& config) {
            if (!known.contains(config.number))
                found.push_back({ "I12", config.time,
                    "node " + config.node + " has revision " + std::to_string(config.number)
                        + " in force, which was not accepted" });
        });
    }

} // namespace

violations checkConfiguration(const history& events, duration bound)
{
    std::vector<config_accepted> accepted;
    forEach<config_accepted>(events, [&](const config_accepted& event) { accepted.push_back(event); });
    duration end { 0 };
    for (const auto& event : events)
        end = std::max(end, timeOf(event));
    violations found;
    checkAccepted(accepted, events, found);
    for (const auto& [node, track] : collectNodes(events)) {
        checkNoReversal(node, track, found);
        for (const auto& config : accepted)
            checkSpread(node, track, config, bound, end, found);
    }
    return found;
}

violations checkAll(const history& events, const check_bounds& bounds)
{
    const std::array<violations, 12> each { checkRetries(events, bounds.retries),
        checkShedOrder(events, bounds.shedOrder), checkKeyOfTeam(events), checkNoKeyAtServer(events),
        checkWithdrawnKeys(events, bounds.keyWithdrawal), checkRates(events, bounds.rates), checkAnswers(events),
        checkNotRun(events), checkAtMostOnce(events), checkLeaving(events, bounds.leaving), checkPlannedStop(events),
        checkConfiguration(events, bounds.configurationSpread) };
    violations all;
    for (const auto& found : each)
        all.insert(all.end(), found.begin(), found.end());
    return all;
}

} // namespace limpet
