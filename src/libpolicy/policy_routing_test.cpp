#include <gtest/gtest.h>
#include <limpetcroft/policy.h>
#include <map>
#include <rapidcheck.h>

namespace limpet {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { seconds(100) };

    endpoint endpointOf(std::uint64_t node, const std::string& zone = "z1", const std::string& region = "r1")
    {
        return { { node }, 1, region, zone, "s", endpoint_state::up, 40, 0 };
    }

    routing_table tableOf(unsigned endpoints, routing_options options = {})
    {
        routing_table table(options, { 999 }, "r1", "z1");
        for (unsigned node = 1; node <= endpoints; ++node)
            table.update(endpointOf(node), time_point {});
        return table;
    }

    /// Sends calls one after another and counts them by endpoint.
    std::map<std::uint64_t, int> sendCalls(
        routing_table& table, time_point now, int calls,
        const std::function<call_outcome(node_id)>& outcome = [](node_id) { return call_outcome::success; },
        priority importance = 5)
    {
        random_source random(7);
        std::map<std::uint64_t, int> counts;
        for (int call = 0; call < calls; ++call) {
            const auto choice = table.pick("s", {}, importance, now, random);
            if (!choice)
                continue;
            ++counts[choice->node.value];
            table.started(choice->node);
            table.finished(choice->node, outcome(choice->node), milliseconds(10), now);
        }
        return counts;
    }

    // Guards against new calls to a draining endpoint (I10), reported by membership or by a drain notice.
    TEST(routing, sendsNothingToDrainingEndpoints)
    {
        for (const auto kind : { routing_kind::twoChoices, routing_kind::random, routing_kind::roundRobin }) {
            auto table = tableOf(3, { .kind = kind });
            auto leaving = endpointOf(1);
            leaving.state = endpoint_state::draining;
            table.update(leaving, start);
            table.markDraining({ 2 }, 1);
            EXPECT_EQ(sendCalls(table, start, 100).size(), 1U);
            table.markDraining({ 3 }, 1);
            random_source random(1);
            EXPECT_EQ(table.pick("s", {}, 9, start, random).error(), refusal_reason::noBackendServer);
        }
    }

    // Guards against a drain notice of an earlier run that excludes a restarted endpoint.
    TEST(routing, ignoresNoticesOfEarlierRuns)
    {
        auto table = tableOf(1);
        auto restarted = endpointOf(1);
        restarted.run = 2;
        table.update(restarted, start);
        table.markDraining({ 1 }, 1);
        EXPECT_EQ(table.endpointCount("s"), 1U);
    }

    // Guards against a retry at an endpoint that the call has already tried.
    TEST(routing, excludesNodes)
    {
        auto table = tableOf(2);
        random_source random(1);
        const std::array<node_id, 2> excluded { node_id { 1 }, node_id { 2 } };
        for (int call = 0; call < 50; ++call)
            EXPECT_EQ(table.pick("s", std::span(excluded).first(1), 5, start, random)->node, node_id { 2 });
        EXPECT_EQ(table.pick("s", excluded, 5, start, random).error(), refusal_reason::noBackendServer);
    }

    // Guards against a full share of calls to an endpoint that refuses them, and against never trying it again.
    TEST(routing, avoidsRefusingEndpoints)
    {
        auto table = tableOf(4);
        const auto refusing = [](node_id node) { return node.value == 1 ? call_outcome::shed : call_outcome::success; };
        sendCalls(table, start, 200, refusing);
        EXPECT_LT(sendCalls(table, start, 1000, refusing)[1], 120);
        EXPECT_GT(sendCalls(table, start + seconds(20), 1000)[1], 150);
    }

    // Guards against a new endpoint that gets its full share of calls at once.
    TEST(routing, startsNewEndpointsSlowly)
    {
        auto table = tableOf(4);
        table.update(endpointOf(5), start);
        EXPECT_LT(sendCalls(table, start, 1000)[5], 80);
        EXPECT_GT(sendCalls(table, start + seconds(6), 1000)[5], 120);
    }

    // Guards against failing endpoints that are never ejected, and against ejecting all endpoints of a service.
    TEST(routing, capsEjection)
    {
        auto table = tableOf(6);
        sendCalls(table, start, 1000, [](node_id) { return call_outcome::failed; });
        int ejected = 0;
        for (std::uint64_t node = 1; node <= 6; ++node)
            ejected += table.ejected({ node }, start) ? 1 : 0;
        EXPECT_EQ(ejected, 2);
        for (const auto& [node, calls] : sendCalls(table, start, 1000))
            EXPECT_FALSE(table.ejected({ node }, start)) << node;
        EXPECT_EQ(sendCalls(table, start + seconds(60), 1000).size(), 6U);
    }

    // Guards against unnecessary calls to other availability zones or regions, and against staying in a locality that
    // refuses its calls.
    TEST(routing, prefersTheNearestLocalityAndSpillsOver)
    {
        auto table = tableOf(3);
        table.update(endpointOf(11, "z2"), time_point {});
        table.update(endpointOf(21, "z3", "r2"), time_point {});
        EXPECT_EQ(sendCalls(table, start, 200).size(), 3U);
        const auto zoneRefuses
            = [](node_id node) { return node.value < 10 ? call_outcome::shed : call_outcome::success; };
        EXPECT_GT(sendCalls(table, start, 1000, zoneRefuses)[11], 400);
        EXPECT_EQ(sendCalls(table, start, 1000, zoneRefuses).count(21), 0U);
        const auto regionRefuses
            = [](node_id node) { return node.value < 20 ? call_outcome::shed : call_outcome::success; };
        EXPECT_GT(sendCalls(table, start, 1000, regionRefuses)[21], 200);
        EXPECT_EQ(sendCalls(table, start, 1000, regionRefuses, 1).count(21), 0U);
    }

    // Guards against using the paid link beyond its byte budget, and against low priorities that use up the rest of it.
    TEST(routing, staysWithinTheByteBudgetOfThePaidLink)
    {
        routing_table table({ .linkBytesPerSecond = 1000, .linkBurstBytes = 1000 }, { 999 }, "r1", "z1");
        table.update(endpointOf(21, "z3", "r2"), time_point {});
        random_source random(1);
        EXPECT_EQ(table.pick("s", {}, 0, start, random)->where, locality::otherRegion);
        table.charge(700, start);
        EXPECT_EQ(table.pick("s", {}, 0, start, random).error(), refusal_reason::overloaded);
        EXPECT_TRUE(table.pick("s", {}, 9, start, random));
        table.charge(1300, start);
        EXPECT_FALSE(table.pick("s", {}, 9, start, random));
        EXPECT_TRUE(table.pick("s", {}, 9, start + seconds(3), random));
    }

    // Guards against a number of connections that grows with the number of endpoints, and against all nodes choosing
    // the same endpoints.
    TEST(routing, boundsTheSubset)
    {
        std::map<std::uint64_t, int> nodesPerEndpoint;
        for (std::uint64_t self = 1000; self < 1100; ++self) {
            routing_table table({}, { self }, "r1", "z1");
            for (std::uint64_t node = 1; node <= 100; ++node)
                table.update(endpointOf(node), time_point {});
            EXPECT_EQ(table.subset("s").size(), 8U);
            for (const auto node : table.subset("s"))
                ++nodesPerEndpoint[node.value];
        }
        EXPECT_GT(nodesPerEndpoint.size(), 95U);
    }

    // Guards, for any order of membership changes and calls, against dangling pointers and calls to removed endpoints.
    TEST(routing, staysConsistentAfterAnyMembershipChanges)
    {
        EXPECT_TRUE(rc::check([](std::uint64_t seed) {
            random_source random(seed);
            routing_table table({}, { 999 }, "r1", "z1");
            std::map<std::uint64_t, endpoint> known;
            time_point now = start;
            for (int step = 0; step < 300; ++step) {
                now += milliseconds(random.below(500));
                const auto node = 1 + random.below(12);
                const auto choice = random.below(4);
                if (choice == 0) {
                    auto entry = endpointOf(node, random.below(2) == 0 ? "z1" : "z2", "r1");
                    entry.service = random.below(2) == 0 ? "s" : "t";
                    entry.state = static_cast<endpoint_state>(random.below(3));
                    table.update(entry, now);
                    known[node] = entry;
                } else if (choice == 1) {
                    table.remove({ node });
                    known.erase(node);
                } else if (const auto picked = table.pick("s", {}, 5, now, random)) {
                    RC_ASSERT(known.contains(picked->node.value));
                    RC_ASSERT(known[picked->node.value].service == "s");
                    RC_ASSERT(known[picked->node.value].state != endpoint_state::draining);
                    table.started(picked->node);
                    table.finished(picked->node, static_cast<call_outcome>(random.below(5)), milliseconds(5), now);
                } else {
                    for (const auto& [id, entry] : known)
                        RC_ASSERT(entry.service != "s" || entry.state == endpoint_state::draining
                            || table.ejected({ id }, now));
                }
            }
        }));
    }

} // namespace
} // namespace limpet
