#include <gtest/gtest.h>
#include <limpetcroft/core.h>
#include <set>

using namespace limpet;

// Guards against a reason that is added to the enumeration without a row in the table, which leaves its name empty.
TEST(refusal, everyReasonHasItsOwnNameStatusAndRemedy)
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        const auto reason = static_cast<refusal_reason>(index);
        EXPECT_TRUE(names.insert(name(reason)).second) << name(reason);
        EXPECT_GE(httpStatus(reason), 400);
        EXPECT_FALSE(remedy(reason).empty());
    }
    EXPECT_EQ(name(refusal_reason::internal), "internal");
}

// Guards against choosing a wildcard method or a shorter prefix although a more specific route matches.
TEST(findRoute, prefersLongestPrefixThenExactMethod)
{
    configuration config;
    config.routes = { { .method = "*", .pathPrefix = "/stock", .service = "any" },
        { .method = "GET", .pathPrefix = "/stock", .service = "get" },
        { .method = "*", .pathPrefix = "/stock/orders", .service = "orders" } };
    EXPECT_EQ(findRoute(config, "GET", "/stock/1")->service, "get");
    EXPECT_EQ(findRoute(config, "PUT", "/stock/1")->service, "any");
    EXPECT_EQ(findRoute(config, "GET", "/stock/orders/7")->service, "orders");
    EXPECT_EQ(findRoute(config, "GET", "/other"), nullptr);
}

// Guards against a digest that changes when it is written to the store as text and read back, and against accepting
// text of another length or with other characters.
TEST(digest, roundTripsThroughHexAndRejectsOtherLengths)
{
    const auto value = digestOf("key");
    EXPECT_TRUE(equalConstantTime(parseDigest(toHex(value)).value(), value));
    EXPECT_FALSE(equalConstantTime(digestOf("other"), value));
    EXPECT_EQ(parseDigest("abcd").error().kind, error_kind::malformed);
    EXPECT_EQ(parseDigest(toHex(value) + "00").error().kind, error_kind::malformed);
    EXPECT_EQ(parseDigest("zz").error().kind, error_kind::malformed);
}

// Guards against numbers outside their range and against a sequence that is not determined by the seed.
TEST(randomSource, staysInRangeAndRepeatsForASeed)
{
    random_source first(7);
    random_source second(7);
    for (int draw = 0; draw < 1000; ++draw) {
        EXPECT_EQ(first.next(), second.next());
        EXPECT_LT(first.below(10), 10U);
        second.below(10);
        const double fraction = first.uniform();
        second.uniform();
        EXPECT_GE(fraction, 0.0);
        EXPECT_LT(fraction, 1.0);
    }
}

// Guards against numbers of one incarnation of the store that are used with the next one.
TEST(store_era_tracker, tellsRestoredStoresFromLateReplies)
{
    store_era_tracker tracker;
    EXPECT_EQ(tracker.observe(0), era_change::none);
    EXPECT_EQ(tracker.observe(4), era_change::none) << "nothing was known of another era";
    EXPECT_EQ(tracker.observe(0), era_change::none) << "no reply";
    EXPECT_EQ(tracker.observe(5), era_change::risen);
    EXPECT_EQ(tracker.observe(4), era_change::outdated);
    EXPECT_EQ(tracker.observe(9), era_change::risen);
    EXPECT_EQ(tracker.current(), 9U);
    EXPECT_EQ(tracker.rises(), 2U);
}

// Guards against an identifier of a cluster that is taken for older because it is lower.
TEST(store_era_tracker, ordersIdentifiersByTheirFirstReply)
{
    store_era_tracker tracker(era_order::firstSeen);
    EXPECT_EQ(tracker.observe(12585971608760269493U), era_change::none);
    EXPECT_EQ(tracker.observe(7), era_change::risen);
    EXPECT_EQ(tracker.observe(12585971608760269493U), era_change::outdated);
    EXPECT_EQ(tracker.observe(9), era_change::risen);
    EXPECT_EQ(tracker.observe(7), era_change::outdated);
}
