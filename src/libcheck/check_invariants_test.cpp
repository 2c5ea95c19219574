#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <limpetcroft/check.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

request_sent sentBy(
    duration time, const std::string& request, const std::string& path, const std::string& method = "GET")
{
    return { .time = time,
        .request = request,
        .entry = "127.0.0.1:7100",
        .team = "planners",
        .keyId = "k1",
        .method = method,
        .path = path,
        .deadline = 1s };
}

run_started runOf(const request_sent& sent, duration time, const std::string& attempt = "1")
{
    return { .time = time,
        .server = "s1",
        .service = "stock",
        .request = sent.request,
        .requestId = "id-" + sent.request,
        .attemptId = sent.request + "-" + attempt,
        .method = sent.method,
        .path = sent.path };
}

run_ended endOf(const run_started& run, duration time)
{
    return { .time = time, .server = run.server, .request = run.request, .attemptId = run.attemptId };
}

request_answered answerTo(const request_sent& sent, duration time)
{
    return { .time = time,
        .request = sent.request,
        .status = 200,
        .latency = time - sent.time,
        .answeredRequest = sent.request,
        .checksumValid = true,
        .server = "s1" };
}

request_answered refusalOf(
    const request_sent& sent, duration time, refusal_reason reason, execution_state run = execution_state::notExecuted)
{
    return { .time = time,
        .request = sent.request,
        .status = httpStatus(reason),
        .run = run,
        .reason = std::string(name(reason)) };
}

/// Adds a run of a request, 4 ms long.
void addRun(history& events, const request_sent& sent, duration time, const std::string& attempt = "1")
{
    const auto run = runOf(sent, time, attempt);
    events.insert(events.end(), { run, endOf(run, time + 4ms) });
}

/// Sends, runs and answers a request.
void addServed(history& events, const request_sent& sent)
{
    events.emplace_back(sent);
    addRun(events, sent, sent.time + 1ms);
    events.emplace_back(answerTo(sent, sent.time + 6ms));
}
void addServed(history& events, duration time, const std::string& request, const std::string& path = "/stock/1",
    const std::string& method = "GET")
{
    addServed(events, sentBy(time, request, path, method));
}

/// A history in which every invariant holds.
history goodHistory()
{
    history events { team_limit { 0s, "planners", 10, 20 }, route_known { 0s, "GET", "/stock", "stock", 5 },
        route_known { 0s, "GET", "/checks", "stock", 1 }, route_known { 0s, "POST", "/orders", "stock", 8, false },
        route_known { .method = "GET", .pathPrefix = "/open", .service = "stock", .openToAll = true },
        key_changed { 0s, "planners", "k1" }, node_changed { 0s, "n1", node_state::up, "127.0.0.1:7100", "s1" },
        config_accepted { 0s, 1 }, config_in_force { 1s, "n1", 1 }, config_accepted { 3s, 2 },
        config_in_force { 4s, "n1", 2 } };
    for (int index = 0; index < 40; ++index)
        addServed(events, index * 250ms, "r" + std::to_string(index));
    addServed(events, 10s, "order", "/orders", "POST");
    // A stop that refuses new requests and finishes those in flight.
    const auto during = sentBy(21s, "late", "/stock/1");
    const auto after = sentBy(23s, "after", "/stock/1");
    events.insert(events.end(),
        { node_changed { 20s, "n1", node_state::stopping, "127.0.0.1:7100", "s1" }, server_leaving { 20s, "s1" },
            during, refusalOf(during, 21001ms, refusal_reason::draining), node_changed { 22s, "n1", node_state::down },
            after, request_answered { .time = 23s, .request = "after", .failure = "connect" } });
    sortByTime(events);
    return events;
}

struct broken_history {
    std::string invariant;
    std::string fault;
    std::function<void(history&)> breakIt;
};
std::ostream& operator<<(std::ostream& out, const broken_history& row)
{
    return out << row.invariant << ": " << row.fault;
}

template <typename Event> Event& nth(history& events, std::size_t number)
{
    for (auto& event : events) {
        auto* value = std::get_if<Event>(&event);
        if (value && number-- == 0)
            return *value;
    }
    throw std::out_of_range("no such event");
}

} // namespace

class broken_invariant : public testing::TestWithParam<broken_history> { };

// Guards against a checker that misses its fault, and against one that reports the fault of another.
TEST_P(broken_invariant, isReportedByItsCheckerOnly)
{
    auto events = goodHistory();
    GetParam().breakIt(events);
    sortByTime(events);
    std::set<std::string> reported;
    for (const auto& found : checkAll(events))
        reported.insert(found.invariant);
    EXPECT_EQ(reported, std::set<std::string> { GetParam().invariant });
}

const auto orderAgain = [](history& events, const std::string& request, const std::string& key) {
    auto sent = sentBy(12s, request, "/orders", "POST");
    sent.idempotencyKey = key;
    addServed(events, sent);
};

INSTANTIATE_TEST_SUITE_P(rows, broken_invariant,
    testing::Values(broken_history { "I1", "four extra attempts at one request",
                        [](history& events) {
                            const auto sent = sentBy(11s, "again", "/stock/1");
                            events.emplace_back(sent);
                            for (int attempt = 1; attempt <= 5; ++attempt)
                                addRun(events, sent, 11s + attempt * 10ms, std::to_string(attempt));
                            events.emplace_back(answerTo(sent, 11100ms));
                        } },
        broken_history { "I1", "extra attempts spread over the calls of one tree",
            [](history& events) {
                for (const std::string call : { "a", "b" }) {
                    for (const std::string attempt : { "1", "2", "3" })
                        events.emplace_back(
                            attempt_sent { 11s, "n1", "root", call, call + attempt, "stock", "planners" });
                }
            } },
        broken_history { "I1", "too many extra attempts of one team",
            [](history& events) {
                for (int call = 0; call < 13; ++call) {
                    const auto id = std::to_string(call);
                    events.emplace_back(attempt_sent { 11s, "n1", id, id, id + "-1", "stock", "planners" });
                    events.emplace_back(attempt_sent { 11s, "n1", id, id, id + "-2", "stock", "planners" });
                }
            } },
        broken_history { "I2", "a less important request begins before the refusal",
            [](history& events) {
                const auto sent = sentBy(11s, "shed", "/stock/1");
                events.insert(events.end(), { sent, refusalOf(sent, 11010ms, refusal_reason::overloaded) });
                addServed(events, 11005ms, "check", "/checks/1");
            } },
        broken_history { "I3", "a request without a key runs",
            [](history& events) {
                auto& sent = nth<request_sent>(events, 3);
                sent.team.clear();
                sent.keyId.clear();
            } },
        broken_history { "I3", "a request runs for another team",
            [](history& events) { nth<run_started>(events, 3).team = "shipping"; } },
        broken_history { "I3", "a request that nobody sent runs",
            [](history& events) { addRun(events, sentBy(11s, "ghost", "/stock/1"), 11s); } },
        broken_history { "I4", "a key reaches a backend server",
            [](history& events) { nth<run_started>(events, 3).authorizationSeen = true; } },
        broken_history { "I5", "a key works after its withdrawal",
            [](history& events) {
                events.emplace_back(key_changed { 1s, "planners", "k1", true });
            } },
        broken_history { "I6", "more than the burst at once",
            [](history& events) {
                for (int index = 0; index < 21; ++index)
                    addServed(events, 15s, "burst" + std::to_string(index));
            } },
        broken_history {
            "I7", "a cut answer", [](history& events) { nth<request_answered>(events, 3).checksumValid = false; } },
        broken_history { "I7", "the answer of another request",
            [](history& events) { nth<request_answered>(events, 3).answeredRequest = "r9"; } },
        broken_history {
            "I7", "a second answer", [](history& events) { events.emplace_back(nth<request_answered>(events, 3)); } },
        broken_history { "I8", "a request that ran is refused as not run",
            [](history& events) {
                auto& answer = nth<request_answered>(events, 3);
                answer = refusalOf(nth<request_sent>(events, 3), answer.time, refusal_reason::noBackendServer);
            } },
        broken_history { "I8", "a refusal without a reason",
            [](history& events) { nth<request_answered>(events, 3).status = 503; } },
        broken_history { "I9", "a second run of an order",
            [](history& events) { addRun(events, sentBy(10s, "order", "/orders", "POST"), 11s, "2"); } },
        broken_history { "I9", "a second run with the same Idempotency-Key",
            [](history& events) {
                orderAgain(events, "order-a", "key");
                orderAgain(events, "order-b", "key");
            } },
        broken_history { "I10", "a leaving backend server gets a request",
            [](history& events) {
                events.emplace_back(server_leaving { 1s, "s1" });
            } },
        broken_history { "I11", "a connection closed by a planned stop",
            [](history& events) {
                events.emplace_back(sentBy(20s, "cut", "/stock/1"));
                events.emplace_back(request_answered { .time = 21s, .request = "cut", .failure = "closed" });
            } },
        broken_history { "I11", "a request without an answer",
            [](history& events) { events.emplace_back(sentBy(20s, "cut", "/stock/1")); } },
        broken_history { "I11", "a run cancelled by a planned stop",
            [](history& events) {
                const auto sent = sentBy(19900ms, "cut", "/stock/1");
                const auto run = runOf(sent, 19901ms);
                auto end = endOf(run, 20500ms);
                end.outcome = run_outcome::cancelled;
                events.insert(events.end(),
                    { sent, run, end, refusalOf(sent, 20501ms, refusal_reason::cancelled, execution_state::unknown) });
            } },
        broken_history { "I12", "a node without the configuration",
            [](history& events) {
                events.emplace_back(node_changed { 2s, "n2", node_state::up });
            } },
        broken_history { "I12", "a node that goes back",
            [](history& events) {
                events.emplace_back(config_in_force { 5s, "n1", 1 });
            } },
        broken_history { "I12", "a configuration that was not accepted", [](history& events) {
                            events.emplace_back(config_in_force { 5s, "n1", 7 });
                        } }));

// Guards against a checker that reports faults in a correct run.
TEST(checkAll, passesAGoodHistory)
{
    for (const auto& found : checkAll(goodHistory()))
        ADD_FAILURE() << found.invariant << ": " << found.what;
}

// Guards against false reports where a rule does not apply.
TEST(checkAll, passesWhatTheRulesAllow)
{
    auto events = goodHistory();
    // Open routes need no key, and a withdrawn key does not matter there.
    auto open = sentBy(14s, "open", "/open/1");
    open.team.clear();
    open.keyId = "old";
    events.insert(events.end(), { key_changed { 0s, "planners", "old" }, key_changed { 1s, "planners", "old", true } });
    addServed(events, open);
    // A key works for some time after its withdrawal, and again after it was issued again.
    auto soon = sentBy(14100ms, "soon", "/stock/1");
    soon.keyId = "k2";
    auto later = sentBy(19s, "later", "/stock/1");
    later.keyId = "k2";
    events.insert(events.end(), { key_changed { 12s, "planners", "k2", true }, key_changed { 18s, "planners", "k2" } });
    addServed(events, soon);
    addServed(events, later);
    // A request refused before a less important one is sent.
    const auto shed = sentBy(14050ms, "shed", "/stock/1");
    events.insert(events.end(), { shed, refusalOf(shed, 14060ms, refusal_reason::overloaded) });
    addServed(events, 14200ms, "check", "/checks/1");
    // Two calls of one order to a non-idempotent route, without ids, and an admission on an open route.
    for (const std::string call : { "order/0", "order/1" }) {
        auto nested = runOf(sentBy(10s, call, "/orders", "POST"), 10002ms);
        nested.requestId.clear();
        events.insert(events.end(), { nested, endOf(nested, 10003ms) });
    }
    events.emplace_back(rate_admitted { 10s, "n1", "" });
    // A node that is cut off or down need not have a configuration.
    events.insert(
        events.end(), { node_changed { 1s, "n2", node_state::up }, node_changed { 3s, "n2", node_state::cutOff } });
    sortByTime(events);
    for (const auto& found : checkAll(events))
        ADD_FAILURE() << found.invariant << ": " << found.what;
}

// Guards against tolerance options without effect.
TEST(checkShedOrder, countsInsideItsTolerance)
{
    auto events = goodHistory();
    const auto shed = sentBy(14s, "shed", "/stock/1");
    events.insert(events.end(), { shed, refusalOf(shed, 14010ms, refusal_reason::overloaded) });
    addServed(events, 14100ms, "check", "/checks/1");
    sortByTime(events);
    EXPECT_EQ(checkShedOrder(events).size(), 0U);
    EXPECT_EQ(checkShedOrder(events, { .settle = 200ms }).size(), 1U);
    EXPECT_EQ(checkShedOrder(events, { .transit = 150ms, .settle = 200ms }).size(), 0U);
    EXPECT_EQ(checkShedOrder(events, { .settle = 200ms, .allowedShare = 1 }).size(), 0U);
}

// Guards against windows that the one-pass check of rates leaves out: it must agree with the check of every window.
RC_GTEST_PROP(checkRates, agreesWithEveryWindow, ())
{
    const double rate = *rc::gen::inRange(1, 50);
    const double burst = *rc::gen::inRange(1, 8);
    auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600));
    std::ranges::sort(times);
    history events { team_limit { 0s, "t", rate, burst } };
    for (const int time : times)
        events.emplace_back(rate_admitted { duration(time * 1000), "n", "t" });
    bool exceeded = false;
    for (std::size_t from = 0; from < times.size(); ++from) {
        for (std::size_t to = from; to < times.size(); ++to) {
            const double allowed = rate * (times[to] - times[from]) / 1000.0 + burst;
            exceeded = exceeded || static_cast<double>(to - from + 1) > allowed + 1e-5;
        }
    }
    RC_ASSERT(checkRates(events).empty() != exceeded);
}

// Guards against a lowered rate that is never enforced, or that is enforced before nodes can know it.
TEST(checkRates, followsChangesOfTheRate)
{
    const auto admittedAt = [](int perSecondAfterChange, duration from) {
        history events { team_limit { 0s, "t", 100, 1 }, team_limit { 10s, "t", 10, 1 } };
        for (duration time = 0s; time < 30s; time += time < from ? 10ms : duration(1s) / perSecondAfterChange)
            events.emplace_back(rate_admitted { time, "n", "t" });
        return checkRates(events, { .propagation = 6s }).size();
    };
    EXPECT_EQ(admittedAt(10, 16s), 0U);
    EXPECT_EQ(admittedAt(10, 16500ms), 1U);
    EXPECT_EQ(admittedAt(11, 16s), 1U);
    EXPECT_EQ(checkRates({ rate_admitted { 1s, "n", "unknown" } }).size(), 1U);
}
