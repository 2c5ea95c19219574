#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <limpetcroft/check.h>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

void addRequest(history& events, duration time, const std::string& team, const std::string& path, const char* reason)
{
    const auto id = std::to_string(events.size());
    events.emplace_back(
        request_sent { .time = time, .request = id, .team = team, .method = "GET", .path = path, .deadline = 100ms });
    request_answered answer {
        .time = time + 10ms, .request = id, .status = 200, .answeredRequest = id, .checksumValid = true
    };
    if (reason)
        answer = {
            .time = time + 10ms, .request = id, .status = 503, .run = execution_state::notExecuted, .reason = reason
        };
    events.emplace_back(answer);
}

/// Goodput is 100 per second, none while the trigger lasts and for some time after.
history overload(duration recoveredAfter)
{
    history events { trigger_changed { 5s, "slow" }, trigger_changed { 10s, "slow", true } };
    for (duration time = 0s; time < 30s; time += 10ms)
        addRequest(events, time, "a", "/", time >= 5s && time < 10s + recoveredAfter ? "overloaded" : nullptr);
    return events;
}

} // namespace

// Guards against late, cut or refused answers that count as goodput.
TEST(goodput, countsWholeAnswersInTimeInsideTheWindow)
{
    history events;
    for (int index = 0; index < 6; ++index)
        addRequest(events, index * 100ms, "a", "/", nullptr);
    std::get<request_answered>(events[1]).time = 101ms; // late
    std::get<request_answered>(events[3]).checksumValid = false;
    std::get<request_answered>(events[5]).status = 503;
    std::get<request_answered>(events[7]).answeredRequest = "other";
    EXPECT_DOUBLE_EQ(goodput(events, { 0s, 2s }), 1);
    EXPECT_DOUBLE_EQ(goodput(events, { 0s, 500ms }), 2);
    EXPECT_DOUBLE_EQ(goodput(events, { 1s, 1s }), 0);
}

// Guards against a recovery that is reported too early, too late, or although there was none.
TEST(recoveryTime, isTheStartOfSteadyGoodput)
{
    EXPECT_EQ(recoveryTime(overload(0s)), 0s);
    EXPECT_EQ(recoveryTime(overload(3s)), 3s);
    EXPECT_EQ(recoveryTime(overload(3500ms)), 4s);
    EXPECT_EQ(recoveryTime(overload(25s)), std::nullopt);
    EXPECT_EQ(recoveryTime({}), std::nullopt);
}

// Guards against a large team that hides a starved one, and against demand above the rate that counts as unfairness.
TEST(teamShares, comparesWithTheMaxMinFairShare)
{
    history events { team_limit { 0s, "greedy", 10, 5 } };
    for (int index = 0; index < 100; ++index)
        addRequest(events, index * 10ms, "greedy", "/", index < 12 ? nullptr : "rate-exceeded");
    for (int index = 0; index < 10; ++index)
        addRequest(events, index * 10ms, "small", "/", index < 6 ? nullptr : "overloaded");
    const auto shares = teamShares(events, { 0s, 1s });
    ASSERT_EQ(shares.size(), 2U);
    // 18 answers; both could use 9.
    EXPECT_EQ(shares[0].team, "small");
    EXPECT_DOUBLE_EQ(shares[0].fair, 9);
    EXPECT_DOUBLE_EQ(shares[0].ratio, 6.0 / 9);
    EXPECT_DOUBLE_EQ(shares[1].fair, 9);
}

// Guards against rightful refusals that count as wrongful and the reverse.
TEST(wrongfulRefusals, comparesWithAnExactTokenBucket)
{
    history events { team_limit { 0s, "t", 10, 2 } };
    for (int index = 0; index < 4; ++index) // two tokens, so the last two are rightful
        addRequest(events, 0s, "t", "/", index < 2 ? nullptr : "rate-exceeded");
    addRequest(events, 1s, "t", "/", "rate-exceeded");
    addRequest(events, 2s, "t", "/", "overloaded"); // another reason
    const auto count = wrongfulRefusals(events);
    EXPECT_EQ(count.refused, 1U);
    EXPECT_EQ(count.insideRate, 4U);

    // A team that sends twice its rate and gets 9 of 10 per second misses one in ten of its rate.
    history steady { team_limit { 0s, "t", 10, 1 } };
    for (int index = 0; index < 1000; ++index)
        addRequest(steady, index * 50ms, "t", "/", index % 2 == 0 && index % 20 != 0 ? nullptr : "rate-exceeded");
    EXPECT_NEAR(wrongfulRefusals(steady).share(), 0.1, 0.01);
}

// Guards against a weight that is not that of the route.
TEST(answeredWorth, weighsByRoute)
{
    history events { route_known { .method = "GET", .pathPrefix = "/notices", .publicWorth = 5 } };
    addRequest(events, 0s, "t", "/notices/1", nullptr);
    addRequest(events, 0s, "t", "/notices/1?x=1", "overloaded");
    addRequest(events, 0s, "t", "/other", nullptr);
    const auto worth = answeredWorth(events, { 0s, 1s });
    EXPECT_DOUBLE_EQ(worth.sent, 11);
    EXPECT_DOUBLE_EQ(worth.answered, 6);
}

// Guards against a member of an event that is lost in a file, and against an event kind without a name.
TEST(history, isReadBackFromItsText)
{
    configuration config;
    config.teams = { { "t", 1.5, 3, "x" } };
    config.routes = { { .method = "GET",
        .pathPrefix = "/p",
        .service = "s",
        .importance = 3,
        .idempotent = false,
        .openToAll = true,
        .publicWorth = 2.5 } };
    history events { request_sent { 1us, "r", "e", "t", "k", "GET", "/p", 2us, "i", "q" },
        request_answered {
            2us, "r", 503, "closed", execution_state::unknown, "overloaded", 3us, 4us, "r", true, 5, "s" },
        request_answered { .time = 2us, .request = "r" },
        run_started { 3us, "s", "v", "r", "i", "a", "GET", "/p", true, "t" },
        run_ended { 4us, "s", "r", "a", run_outcome::expired }, attempt_sent { 5us, "n", "r", "i", "a", "s", "t" },
        rate_admitted { 6us, "n", "t" }, key_changed { 7us, "t", "k", true }, server_leaving { 8us, "s" },
        node_changed { 9us, "n", node_state::cutOff, "e", "s" }, config_accepted { 10us, 7 },
        config_in_force { 11us, "n", 7 }, trigger_changed { 12us, "x", true } };
    appendConfiguration(events, 13us, config);
    const auto parsed = parseHistory(printHistory(events), "h");
    ASSERT_TRUE(parsed) << parsed.error().message;
    EXPECT_EQ(*parsed, events);
}

// Guards against a damaged file that is read as a shorter history, and against a crash on damaged lines.
TEST(history, reportsDamagedLines)
{
    const auto line = printEvent(run_started { .time = 3us, .server = "s", .request = "r" });
    EXPECT_EQ(parseHistory(line + "\n" + line.substr(0, 20), "h")->size(), 1U);
    EXPECT_THAT(parseHistory(line + "\n{}\n" + line, "h").error().message, testing::StartsWith("h:2: "));
    EXPECT_EQ(parseEvent(R"({"event":"run-ended","outcome":"odd"})").error().kind, error_kind::malformed);
    EXPECT_EQ(parseEvent(R"({"event":"other"})").error().kind, error_kind::malformed);
    EXPECT_EQ(readHistory({ "/nonexistent/history" }).error().kind, error_kind::notFound);
    random_source random(13);
    for (int round = 0; round < 3000; ++round) {
        auto text = line;
        for (auto edits = 1 + random.below(4); edits > 0; --edits)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        const auto parsed = parseEvent(text);
        ASSERT_TRUE(parsed || parsed.error().kind == error_kind::malformed);
    }
}

// Guards against a cut or mixed answer that passes as whole.
TEST(testAnswer, isOnlyReadWhole)
{
    const test_answer answer { "r/0", "id", "/p\xff", "s", std::string(200, 'x') };
    const auto text = printAnswer({ "r/0", "id", "/p", "s", std::string(200, 'x') });
    EXPECT_EQ(parseAnswer(text)->padding.size(), 200U);
    EXPECT_TRUE(parseAnswer(printAnswer(answer)));
    for (std::size_t length = 0; length < text.size(); ++length)
        ASSERT_FALSE(parseAnswer(text.substr(0, length)));
    auto mixed = text;
    mixed[text.find("r/0") + 2] = '1';
    EXPECT_FALSE(parseAnswer(mixed));
}
