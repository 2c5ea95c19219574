#include <algorithm>
#include <gtest/gtest.h>
#include <limpetcroft/wire.h>
#include <rapidcheck/gtest.h>

using namespace limpet;

namespace {

constexpr std::uint64_t seed = 20261204;

call_request sampleRequest(std::size_t bodyBytes)
{
    call_request request;
    request.attempt = { 1, 2 };
    request.target = 77;
    request.context = { { 3, 4 }, { 5, 6 }, "mill", 7, duration(250000), 2, 3, false };
    request.service = "stock";
    request.content
        = { "POST", "/stock/1?x=1", { { "Content-Type", "text/plain" } }, makeBytes(std::string(bodyBytes, 'b')) };
    return request;
}

fleet_key makeKey(const std::string& id, std::uint8_t fill)
{
    fleet_key key { id, {} };
    key.secret.fill(fill);
    return key;
}

secure_channel makeChannel(bool initiator, std::vector<fleet_key> keys, std::size_t maxQueued = 8 << 20)
{
    return secure_channel(
        { makeNodeId(initiator ? "a" : "b"), initiator ? 10U : 20U, initiator, std::move(keys), maxQueued });
}

/// Moves bytes both ways until both sides are quiet. Stops at the first error.
result<void> exchange(secure_channel& left, secure_channel& right, std::vector<std::string>& atLeft,
    std::vector<std::string>& atRight, std::size_t chunk = 1 << 20)
{
    while (true) {
        const auto toRight = left.takeOutput(chunk);
        const auto toLeft = right.takeOutput(chunk);
        if (toRight.empty() && toLeft.empty())
            return {};
        if (auto done = right.receive(toRight, atRight); !done)
            return done;
        if (auto done = left.receive(toLeft, atLeft); !done)
            return done;
    }
}

} // namespace

// Guards against a context or content field that is lost or changed between nodes.
TEST(callCodec, requestSurvivesEncoding)
{
    const auto sent = sampleRequest(1000);
    const auto parsed = parseCallMessage(encode(sent)).value();
    const auto& got = std::get<call_request>(parsed);
    EXPECT_EQ(got.attempt, sent.attempt);
    EXPECT_EQ(got.target, sent.target);
    EXPECT_EQ(got.context.id, sent.context.id);
    EXPECT_EQ(got.context.rootId, sent.context.rootId);
    EXPECT_EQ(got.context.team, sent.context.team);
    EXPECT_EQ(got.context.importance, sent.context.importance);
    EXPECT_EQ(got.context.remaining, sent.context.remaining);
    EXPECT_EQ(got.context.extraAttemptsLeft, sent.context.extraAttemptsLeft);
    EXPECT_EQ(got.context.depth, sent.context.depth);
    EXPECT_EQ(got.context.idempotent, sent.context.idempotent);
    EXPECT_EQ(got.service, sent.service);
    EXPECT_EQ(got.content.headers, sent.content.headers);
    EXPECT_EQ(*got.content.body, *sent.content.body);
}

// Guards against a refusal whose run state turns into a false "not run".
TEST(callCodec, refusalKeepsReasonAndRunState)
{
    for (const auto run : { execution_state::notExecuted, execution_state::unknown }) {
        call_refusal sent { { 1, 1 }, { refusal_reason::overloaded, run, duration(5000), "full" }, 2, true, true,
            { { "stock", 4, 0.5 } } };
        const auto parsed = parseCallMessage(encode(sent)).value();
        const auto& got = std::get<call_refusal>(parsed);
        EXPECT_EQ(got.why.reason, sent.why.reason);
        EXPECT_EQ(got.why.run, run);
        EXPECT_EQ(got.why.retryAfter, sent.why.retryAfter);
        EXPECT_EQ(got.attemptsUsed, 2);
        EXPECT_TRUE(got.final);
        EXPECT_TRUE(got.draining);
        ASSERT_EQ(got.shed.size(), 1U);
        EXPECT_EQ(got.shed[0].level, 4);
    }
}

// Guards against hostile or damaged frames that crash the decoder; every outcome must be a value or a typed error.
TEST(callCodec, damagedFramesGiveATypedError)
{
    SCOPED_TRACE(seed);
    random_source random(seed);
    const auto good = encode(sampleRequest(200));
    std::size_t rejected = 0;
    for (int round = 0; round < 20000; ++round) {
        auto bytes = good;
        const auto changes = 1 + random.below(6);
        for (std::uint64_t change = 0; change < changes; ++change)
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        if (random.below(4) == 0)
            bytes.resize(random.below(bytes.size()));
        const auto parsed = parseCallMessage(bytes);
        if (!parsed) {
            ++rejected;
            EXPECT_TRUE(
                parsed.error().kind == error_kind::malformed || parsed.error().kind == error_kind::invalidArgument);
        }
    }
    EXPECT_GT(rejected, 1000U);
}

// Guards against messages that are lost, reordered within a sender or changed, for any sizes and chunking.
RC_GTEST_PROP(secureChannel, deliversEveryMessageOnce, ())
{
    const auto key = makeKey("k1", 7);
    auto left = makeChannel(true, { key });
    auto right = makeChannel(false, { key });
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 100000));
    std::vector<std::string> sent;
    std::vector<std::string> atLeft;
    std::vector<std::string> atRight;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        sent.emplace_back(sizes[index], static_cast<char>('a' + index % 26));
        RC_ASSERT(left.send(sent.back()).has_value());
    }
    RC_ASSERT(exchange(left, right, atLeft, atRight, *rc::gen::inRange<std::size_t>(1, 50000)).has_value());
    std::sort(sent.begin(), sent.end());
    std::sort(atRight.begin(), atRight.end());
    RC_ASSERT(sent == atRight);
    RC_ASSERT(left.peer() && left.peer()->id == makeNodeId("b") && left.peer()->peerIncarnation == 20U);
    RC_ASSERT(left.queuedBytes() == 0U);
}

// Guards against a large body holding up small messages on the same link.
TEST(secureChannel, smallMessageOvertakesLargeOne)
{
    const auto key = makeKey("k1", 7);
    auto left = makeChannel(true, { key });
    auto right = makeChannel(false, { key });
    std::vector<std::string> atLeft;
    std::vector<std::string> atRight;
    ASSERT_TRUE(exchange(left, right, atLeft, atRight));
    ASSERT_TRUE(left.send(std::string(1 << 20, 'L')));
    ASSERT_TRUE(left.send("small"));
    ASSERT_TRUE(right.receive(left.takeOutput(64 * 1024), atRight));
    ASSERT_EQ(atRight.size(), 1U);
    EXPECT_EQ(atRight[0], "small");
}

// Guards against a peer without the fleet key getting or delivering anything, and against a broken key rotation.
TEST(secureChannel, acceptsOnlyPeersThatShareAKey)
{
    struct row {
        const char* name;
        std::vector<fleet_key> left;
        std::vector<fleet_key> right;
        bool opens;
    };
    const auto oldKey = makeKey("old", 1);
    const auto newKey = makeKey("new", 2);
    const std::vector<row> rows {
        { "same key", { oldKey }, { oldKey }, true },
        { "rotation, peers overlap", { newKey, oldKey }, { oldKey }, true },
        { "rotation, other order", { oldKey, newKey }, { newKey, oldKey }, true },
        { "no key in common", { oldKey }, { newKey }, false },
        { "same name, other secret", { makeKey("old", 9) }, { oldKey }, false },
        { "no keys", {}, { oldKey }, false },
    };
    for (const auto& each : rows) {
        SCOPED_TRACE(each.name);
        auto left = makeChannel(true, each.left);
        auto right = makeChannel(false, each.right);
        std::vector<std::string> atLeft;
        std::vector<std::string> atRight;
        ASSERT_TRUE(left.send("secret"));
        ASSERT_TRUE(right.send("answer"));
        const auto done = exchange(left, right, atLeft, atRight);
        EXPECT_EQ(done.has_value(), each.opens);
        EXPECT_EQ(atRight.size(), each.opens ? 1U : 0U);
        EXPECT_EQ(atLeft.size(), each.opens ? 1U : 0U);
        if (!done)
            EXPECT_EQ(done.error().kind, error_kind::unauthenticated);
    }
}

// Guards against altered, repeated or foreign bytes being delivered as messages or ending the process.
TEST(secureChannel, rejectsTamperedBytes)
{
    const auto key = makeKey("k1", 7);
    random_source random(seed);
    for (int round = 0; round < 300; ++round) {
        auto left = makeChannel(true, { key });
        auto right = makeChannel(false, { key });
        std::vector<std::string> atLeft;
        std::vector<std::string> atRight;
        ASSERT_TRUE(exchange(left, right, atLeft, atRight));
        ASSERT_TRUE(left.send(std::string(500, 'x')));
        auto bytes = left.takeOutput(1 << 20);
        bytes[random.below(bytes.size())] ^= static_cast<char>(1 + random.below(255));
        const bool first = right.receive(bytes, atRight).has_value();
        // A changed length can make the channel wait for more bytes; the longest record is shorter than these.
        const bool second = right.receive(std::string(20000, '\0'), atRight).has_value();
        EXPECT_FALSE(first && second);
        EXPECT_TRUE(atRight.empty());
    }
    auto stranger = makeChannel(false, { key });
    std::vector<std::string> messages;
    EXPECT_EQ(stranger.receive("GET / HTTP/1.1\r\n\r\n" + std::string(70000, ' '), messages).error().kind,
        error_kind::malformed);
}

// Guards against unbounded memory when a peer does not read.
TEST(secureChannel, boundsTheSendQueue)
{
    auto channel = makeChannel(true, { makeKey("k1", 7) }, 1000);
    ASSERT_TRUE(channel.send(std::string(900, 'x')));
    EXPECT_EQ(channel.send(std::string(200, 'x')).error().kind, error_kind::unavailable);
    EXPECT_EQ(channel.send(std::string(maxMessageBytes + 1, 'x')).error().kind, error_kind::tooLarge);
}
