#include "bucket.h"
#include "holder_record.h"

#include <gtest/gtest.h>
#include <limpetcroft/quota.h>
#include <rapidcheck/gtest.h>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

quota_message sample()
{
    quota_message message { .fromRun = 3, .toRun = 4 };
    message.requests.push_back({ .id = 7,
        .ruleHash = 0x123456789abcdef0,
        .tokens = 5,
        .urgentTokens = 2,
        .maxWait = 250ms,
        .level = quota_level::toOtherRegion });
    message.reports.push_back({ .requestId = 8, .spent = 3, .closed = true });
    message.reports.push_back({ .requestId = 9, .spent = 3, .returned = 2 });
    message.grants.push_back({ .requestId = 9, .tokens = 4, .lifetime = 1999ms, .retryAfter = 5s, .scarce = true });
    message.promiseRequests.push_back({ .shard = 1, .epoch = 2, .nonce = 3, .length = 6s });
    message.promises.push_back({ .shard = 2, .epoch = 3, .nonce = 4, .length = 5s });
    message.holderHints.push_back({ .region = "izmir", .shard = 1, .holder = { 77 }, .epoch = 9 });
    return message;
}

// Guards against a field that is lost or swapped on the wire.
TEST(QuotaCodec, FramesKeepEveryField)
{
    const result<quota_message> parsed = parseQuotaMessage(encode(sample()));
    ASSERT_TRUE(parsed) << parsed.error().message;
    EXPECT_EQ(encode(*parsed), encode(sample()));
    EXPECT_EQ(parsed->requests.front().ruleHash, 0x123456789abcdef0U);
    EXPECT_EQ(parsed->requests.front().level, quota_level::toOtherRegion);
    EXPECT_EQ(parsed->grants.front().lifetime, 1999ms);
    EXPECT_EQ(parsed->promises.front().length, 5s);
    EXPECT_EQ(parsed->holderHints.front().region, "izmir");
}

// Guards against a lifetime that increases on the wire, so that a token is spent after its issuer has debited it.
TEST(QuotaCodec, LifetimeIsRoundedDown)
{
    quota_message message;
    message.grants.push_back({ .requestId = 1, .tokens = 1, .lifetime = 1999us });
    EXPECT_EQ(parseQuotaMessage(encode(message))->grants.front().lifetime, 1ms);
}

// Guards against reads beyond the end of damaged or truncated frames, at any alignment.
RC_GTEST_PROP(QuotaCodec, DamagedFramesAreRejectedOrParsed, ())
{
    std::string bytes = encode(sample());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const std::string shifted = std::string(*rc::gen::inRange<std::size_t>(0, 8), 'x') + bytes;
    const std::string_view view = std::string_view(shifted).substr(shifted.size() - bytes.size());
    const auto parsed = parseQuotaMessage(view);
    RC_ASSERT(parsed || parsed.error().kind == error_kind::malformed || parsed.error().kind == error_kind::tooLarge);
    (void)parseHolderRecord(view);
}

// Guards against frames that cause unbounded allocation, and against frames of another family.
TEST(QuotaCodec, LimitsAndFamilyAreChecked)
{
    quota_message large;
    large.reports.resize(10000);
    EXPECT_EQ(parseQuotaMessage(encode(large)).error().kind, error_kind::tooLarge);
    EXPECT_EQ(parseQuotaMessage(std::string(300000, 'x')).error().kind, error_kind::tooLarge);
    std::string other = encode(sample());
    other.replace(4, 4, "LCAL");
    EXPECT_EQ(parseQuotaMessage(other).error().kind, error_kind::malformed);
    EXPECT_EQ(parseQuotaMessage("").error().kind, error_kind::malformed);
}

// Guards against shares of regions that add up to more or less than the rule.
RC_GTEST_PROP(QuotaShare, SharesAddUpToTheRule, ())
{
    const auto count = *rc::gen::inRange(1, 6);
    std::vector<std::string> regions(static_cast<std::size_t>(count), "region");
    for (std::size_t i = 0; i < regions.size(); ++i)
        regions[i] += std::to_string(i);
    const team_rule rule { *rc::gen::arbitrary<std::string>(), *rc::gen::inRange(0, 5000) / 8.0,
        *rc::gen::inRange(1, 2000) / 2.0 };
    quota_share sum;
    for (const std::string& region : regions) {
        const quota_share share = shareOf(rule, regions, region);
        sum.rate += share.rate;
        sum.burst += share.burst;
    }
    RC_ASSERT(std::abs(sum.rate - rule.ratePerSecond) < 1e-9);
    RC_ASSERT(std::abs(sum.burst - rule.burst) < 1e-9);
    RC_ASSERT(shareOf(rule, regions, "elsewhere") == quota_share {});
}

// Guards against an increased share that takes effect while another holder still uses the old rule.
TEST(QuotaShare, IncreasesAreDelayedAndDecreasesAreNot)
{
    const time_point start { 100s };
    effective_share share;
    share.set({ 10, 10 }, start, 8s);
    share.set({ 2, 20 }, start + 1s, 8s);
    EXPECT_EQ(share.at(start + 1s), (quota_share { 2, 10 }));
    EXPECT_EQ(share.at(start + 8s), (quota_share { 2, 10 }));
    EXPECT_EQ(share.at(start + 9s), (quota_share { 2, 20 }));
}

// Guards against refilling after a late debit for the time before it, when the bucket was full.
TEST(QuotaBucket, LateDebitGetsNoRefill)
{
    const time_point start { 100s };
    grant_bucket bucket(start, { 0.5, 1 });
    EXPECT_GE(bucket.available(start + 2s), 1);
    bucket.issue(1);
    EXPECT_LT(bucket.available(start + 3s), 1);
    bucket.confirmSpent(1, start + 5s);
    EXPECT_LT(bucket.available(start + 6s), 1);
    EXPECT_GE(bucket.available(start + 7s), 1);
}

} // namespace
