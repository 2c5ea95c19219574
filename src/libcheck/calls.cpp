// Checkers of single requests and the tree of calls below them: I1, I2, I3, I4, I7, I8, I9.

#include "index.h"
#include <algorithm>
#include <map>
#include <set>

namespace limpet {
namespace {

    /// Attempts at each call of a history.
    struct call_attempts {
        duration last { 0 };
        std::string_view root;
        std::string_view team;
        std::string_view service;
        std::set<std::string_view> attempts;
    };
    using attempts_by_call = std::map<std::string_view, call_attempts>;

    template <typename Event> void addAttempt(attempts_by_call& calls, const Event& event, std::string_view root)
    {
        if (event.requestId.empty())
            return;
        auto& call = calls[event.requestId];
        call.last = std::max(call.last, event.time);
        call.root = root;
        call.team = event.team;
        call.service = event.service;
        call.attempts.insert(event.attemptId);
    }

    /// Attempts as the nodes report them, or as the backend servers saw them when there are no reports.
    attempts_by_call collectAttempts(const history& events)
    {
        attempts_by_call calls;
        forEach<attempt_sent>(events, [&](const attempt_sent& event) { addAttempt(calls, event, event.rootId); });
        if (!calls.empty())
            return calls;
        forEach<run_started>(
            events, [&](const run_started& event) { addAttempt(calls, event, rootOf(event.request)); });
        return calls;
    }

    struct attempt_sum {
        duration last { 0 };
        std::size_t calls = 0;
        std::size_t extra = 0;
        void add(const call_attempts& call)
        {
            last = std::max(last, call.last);
            calls += 1;
            extra += call.attempts.size() - 1;
        }
    };

    void checkRetryRatio(const attempts_by_call& calls, const retry_bounds& bounds, violations& found)
    {
        std::map<std::pair<std::string_view, std::string_view>, attempt_sum> sums;
        for (const auto& [id, call] : calls)
            sums[{ call.team, call.service }].add(call);
        for (const auto& [key, sum] : sums) {
            const double allowed = bounds.ratio * static_cast<double>(sum.calls) + bounds.ratioAllowance;
            if (static_cast<double>(sum.extra) > allowed)
                found.push_back({ "I1", sum.last,
                    "team \"" + std::string(key.first) + "\" made " + std::to_string(sum.extra) + " extra attempts in "
                        + std::to_string(sum.calls) + " calls to service \"" + std::string(key.second) + "\"" });
        }
    }

    void checkRunsPerPosition(const history& events, const retry_bounds& bounds, violations& found)
    {
        std::map<std::string_view, std::size_t> runs;
        forEach<run_started>(events, [&](const run_started& event) {
            if (event.request.empty() || ++runs[event.request] != bounds.extraAttempts + 2)
                return;
            found.push_back({ "I1", event.time,
                "call " + event.request + " ran more than " + std::to_string(bounds.extraAttempts + 1) + " times" });
        });
    }

} // namespace

violations checkRetries(const history& events, const retry_bounds& bounds)
{
    violations found;
    const auto calls = collectAttempts(events);
    std::map<std::string_view, attempt_sum> roots;
    for (const auto& [id, call] : calls)
        roots[call.root].add(call);
    for (const auto& [root, sum] : roots) {
        if (sum.extra > bounds.extraAttempts)
            found.push_back({ "I1", sum.last,
                "request " + std::string(root) + " caused " + std::to_string(sum.extra) + " extra attempts" });
    }
    checkRetryRatio(calls, bounds, found);
    checkRunsPerPosition(events, bounds, found);
    return found;
}

namespace {

    /// Sorted start times of one service, by priority.
    using starts_by_priority = std::array<std::vector<duration>, highestPriority + 1>;

    std::map<std::string_view, starts_by_priority> collectStarts(const history& events, const history_index& index)
    {
        std::map<std::string_view, starts_by_priority> starts;
        forEach<run_started>(events, [&](const run_started& run) {
            // Calls made by backend servers have the priority of the caller's request.
            const auto* sent = index.sent(rootOf(run.request));
            const auto* route = sent ? index.route(sent->method, sent->path) : nullptr;
            if (route)
                starts[run.service].at(route->importance).push_back(run.time);
        });
        for (auto& [service, lists] : starts) {
            for (auto& list : lists)
                std::ranges::sort(list);
        }
        return starts;
    }

    /// Returns the priority of a less important start in the closed interval.
    std::optional<priority> lessImportantStart(
        const starts_by_priority& starts, priority importance, duration from, duration until)
    {
        for (priority lower = lowestPriority; lower < importance; ++lower) {
            const auto& times = starts.at(lower);
            const auto first = std::ranges::lower_bound(times, from);
            if (first != times.end() && *first <= until)
                return lower;
        }
        return std::nullopt;
    }

} // namespace

violations checkShedOrder(const history& events, const shed_tolerance& tolerance)
{
    const history_index index(events);
    const auto starts = collectStarts(events, index);
    violations found;
    std::size_t refusals = 0;
    forEach<request_answered>(events, [&](const request_answered& answer) {
        const auto* sent = index.sent(answer.request);
        if (!sent || answer.reason != name(refusal_reason::overloaded))
            return;
        ++refusals;
        const auto* route = index.route(sent->method, sent->path);
        const auto list = route ? starts.find(route->service) : starts.end();
        if (list == starts.end())
            return;
        const auto inverted = lessImportantStart(
            list->second, route->importance, sent->time + tolerance.transit, answer.time + tolerance.settle);
        if (inverted)
            found.push_back({ "I2", answer.time,
                "request " + answer.request + " of priority " + std::to_string(route->importance)
                    + " was refused while one of priority " + std::to_string(*inverted) + " began on service \""
                    + route->service + "\"" });
    });
    if (static_cast<double>(found.size()) <= tolerance.allowedShare * static_cast<double>(refusals))
        found.clear();
    return found;
}

violations checkKeyOfTeam(const history& events)
{
    const history_index index(events);
    violations found;
    forEach<run_started>(events, [&](const run_started& run) {
        const auto* sent = index.sent(rootOf(run.request));
        if (!sent) {
            found.push_back({ "I3", run.time, "a run of request \"" + run.request + "\", which no caller sent" });
            return;
        }
        const auto* route = index.route(sent->method, sent->path);
        const bool open = route && route->openToAll;
        if (!open && sent->team.empty())
            found.push_back({ "I3", run.time, "request " + run.request + " ran without a key of any team" });
        else if (!run.team.empty() && run.team != sent->team)
            found.push_back({ "I3", run.time,
                "request " + run.request + " with a key of team \"" + sent->team + "\" ran for team \"" + run.team
                    + "\"" });
    });
    return found;
}

violations checkNoKeyAtServer(const history& events)
{
    violations found;
    forEach<run_started>(events, [&](const run_started& run) {
        if (run.authorizationSeen)
            found.push_back({ "I4", run.time, "server " + run.server + " saw the key of request " + run.request });
    });
    return found;
}

violations checkAnswers(const history& events)
{
    violations found;
    std::set<std::string_view> answered;
    forEach<request_answered>(events, [&](const request_answered& answer) {
        if (!answered.insert(answer.request).second)
            found.push_back({ "I7", answer.time, "request " + answer.request + " was answered twice" });
        if (!isSuccess(answer))
            return;
        if (!answer.checksumValid)
            found.push_back({ "I7", answer.time, "the answer to request " + answer.request + " is not whole" });
        else if (answer.answeredRequest != answer.request)
            found.push_back({ "I7", answer.time,
                "request " + answer.request + " got the answer to request \"" + answer.answeredRequest + "\"" });
    });
    return found;
}

violations checkNotRun(const history& events)
{
    std::unordered_map<std::string_view, const run_started*> runs;
    forEach<run_started>(events, [&](const run_started& run) { runs.try_emplace(run.request, &run); });
    violations found;
    forEach<request_answered>(events, [&](const request_answered& answer) {
        if (answer.status == 0 || isSuccess(answer))
            return;
        if (answer.reason.empty() || !answer.run) {
            found.push_back({ "I8", answer.time,
                "the refusal of request " + answer.request + " with status " + std::to_string(answer.status)
                    + " does not state reason and run" });
            return;
        }
        const auto run = runs.find(answer.request);
        if (*answer.run == execution_state::notExecuted && run != runs.end())
            found.push_back({ "I8", answer.time,
                "request " + answer.request + " was refused as not run (" + answer.reason + ") but ran on server "
                    + run->second->server });
    });
    return found;
}

violations checkAtMostOnce(const history& events)
{
    const history_index index(events);
    violations found;
    std::map<std::string, std::size_t> runs;
    const auto count = [&](const std::string& key, const run_started& run) {
        if (++runs[key] == 2)
            found.push_back({ "I9", run.time, key + " ran more than once, again on server " + run.server });
    };
    forEach<run_started>(events, [&](const run_started& run) {
        const auto* route = index.route(run.method, run.path);
        if (!route || route->idempotent)
            return;
        // A call below the root may be made again by another run of its parent, with another id.
        const bool root = isRoot(run.request);
        const bool byRequest = root || run.requestId.empty();
        count(byRequest ? "request " + run.request : "call " + run.requestId, run);
        const auto* sent = root ? index.sent(run.request) : nullptr;
        if (sent && !sent->idempotencyKey.empty())
            count("Idempotency-Key " + sent->idempotencyKey + " of team \"" + sent->team + "\"", run);
    });
    return found;
}

} // namespace limpet
