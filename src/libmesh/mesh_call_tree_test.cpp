// Guards the recognition of call trees, and that retries and queues prefer important and nearly complete ones.

#include "call_tree.h"
#include "codec.h"
#include "mesh_peers_test.h"
#include "retry_budget.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

// ---- Parents of nested calls ----

TEST(call_tree, findsTheParentByHierarchicalRequestId)
{
    call_tree tree;
    tree.executionStarted(1, "a", testStart + 1s, { 0, 0 });
    tree.executionStarted(2, "a.b", testStart + 1s, { 0, 0, 1 });
    tree.executionStarted(3, "ab", testStart + 1s, { 2, 2 });
    const auto match = tree.findParent("a.b.c", testStart + 300ms);
    EXPECT_EQ(match.execution, 2U);
    EXPECT_EQ(match.position.rootRank, 0);
    EXPECT_EQ(match.position.finishedCalls, 1);
    EXPECT_FALSE(tree.findParent("c.a", testStart + 300ms).found);
}

TEST(call_tree, findsTheParentByItsDeadlineWithoutHierarchicalIds)
{
    call_tree tree;
    tree.executionStarted(1, "x", testStart + 1000ms, { 0, 0 });
    tree.executionStarted(2, "y", testStart + 1400ms, { 2, 2 });
    EXPECT_EQ(tree.findParent("q", testStart + 1401ms).execution, 2U);
    EXPECT_EQ(tree.findParent("q", testStart + 999ms).execution, 1U);
    EXPECT_FALSE(tree.findParent("q", testStart + 700ms).found);
}

// A call that may belong to an unimportant tree must not gain from an important one with the same deadline.
TEST(call_tree, ambiguousParentCountsAsTheLeastFavourable)
{
    call_tree tree;
    tree.executionStarted(1, "x", testStart + 1000ms, { 0, 0, 3 });
    tree.executionStarted(2, "y", testStart + 1002ms, { 2, 1, 1, true });
    const auto match = tree.findParent("q", testStart + 1001ms);
    EXPECT_TRUE(match.found);
    EXPECT_FALSE(match.execution);
    EXPECT_EQ(match.position.rootRank, 2);
    EXPECT_EQ(match.position.finishedCalls, 1);
    EXPECT_TRUE(match.position.retried);
}

TEST(call_tree, countsFinishedCallsAndRemainingOnes)
{
    call_tree tree;
    for (std::uint64_t execution = 1; execution <= 3; ++execution) {
        tree.executionStarted(execution, "r" + std::to_string(execution), testStart + 1s, { 0, 0 });
        for (int call = 0; call < 4; ++call)
            tree.callFinished(execution, "plan", false);
        tree.executionEnded(execution, true);
    }
    tree.executionStarted(9, "r9", testStart + 1s, { 0, 0 });
    EXPECT_DOUBLE_EQ(tree.remainingCalls(9, "plan"), 4);
    tree.callFinished(9, "plan", false);
    tree.callFinished(9, "plan", false);
    EXPECT_DOUBLE_EQ(tree.remainingCalls(9, "plan"), 2);
    EXPECT_EQ(tree.findParent("r9.1", testStart + 1s).position.finishedCalls, 2);
    EXPECT_DOUBLE_EQ(tree.remainingCalls(std::nullopt, "plan"), 1);
    EXPECT_FALSE(tree.failedBelow(9));
    tree.callFinished(9, "plan", true);
    EXPECT_TRUE(tree.failedBelow(9));
}

// Known trees with the deadlines of clients that arrive at random: without hierarchical ids, the deadline must still
// name the right parent for most calls.
TEST(call_tree, deadlinesNameMostParentsAtTheUsualConcurrency)
{
    random_source random(7);
    call_tree tree;
    constexpr unsigned executions = 10;
    constexpr unsigned rounds = 200;
    unsigned right = 0;
    unsigned wrong = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        std::vector<time_point> deadlines;
        for (unsigned index = 0; index < executions; ++index) {
            deadlines.push_back(testStart + duration(static_cast<std::int64_t>(random.uniform() * 1.5e6)));
            tree.executionStarted(index, "r" + std::to_string(index), deadlines.back(), {});
        }
        for (unsigned index = 0; index < executions; ++index) {
            const auto sent = std::chrono::floor<std::chrono::milliseconds>(deadlines[index] + 700us);
            const auto match = tree.findParent("n", sent);
            right += match.execution == index ? 1 : 0;
            wrong += match.execution && match.execution != index ? 1 : 0;
        }
        for (unsigned index = 0; index < executions; ++index)
            tree.executionEnded(index, false);
    }
    std::cout << "right parent: " << 100 * right / (executions * rounds) << " %, wrong: " << wrong << '\n';
    EXPECT_GE(right, executions * rounds * 9 / 10);
    EXPECT_EQ(wrong, 0U);
}

// ---- Retry budget ----

TEST(retry_budget, staysWithinItsRatio)
{
    retry_budget budget({ .tokensPerRequest = 0.2 });
    auto now = testStart;
    unsigned allowed = 0;
    for (int request = 0; request < 1000; ++request) {
        now += 10ms;
        budget.addRequest("s", 100, now);
        allowed += budget.tryConsume("s", 1, now) ? 1 : 0;
    }
    EXPECT_LE(allowed, 200U);
    EXPECT_GE(allowed, 190U);
}

// Scale-1 of hylsy-mesh-large: retries were made first come, first served, and few trees were completed.
TEST(retry_budget, isSpentOnTheMostValuableRetries)
{
    retry_budget budget({ .tokensPerRequest = 0.2 });
    auto now = testStart;
    std::map<double, std::pair<unsigned, unsigned>> allowedOf; ///< by value: allowed, wanted
    const std::vector<double> values { 0.5, 4, 0.5, 1, 0.5, 0.5, 1, 0.5, 0.5, 0.5 };
    for (std::size_t request = 0; request < 2000; ++request) {
        now += 10ms;
        budget.addRequest("s", 100, now);
        const double value = values.at(request % values.size());
        auto& [allowed, wanted] = allowedOf[value];
        ++wanted;
        allowed += budget.tryConsume("s", value, now) ? 1 : 0;
    }
    EXPECT_GE(allowedOf[4].first, 0.95 * allowedOf[4].second);
    EXPECT_GE(allowedOf[1].first, 0.3 * allowedOf[1].second);
    EXPECT_LE(allowedOf[0.5].first, 0.05 * allowedOf[0.5].second);
}

TEST(retry_budget, paysForCallsOfRetriedExecutions)
{
    retry_budget budget({ .tokensPerRequest = 0.2, .initialReserve = 3 });
    budget.addRequest("s", 100, testStart);
    for (int call = 0; call < 3; ++call)
        budget.charge("s", testStart);
    EXPECT_FALSE(budget.tryConsume("s", 8, testStart));
}

// ---- The node ----

/// Sends a request of the local backend server, which runs the request with the id of its parent.
std::uint64_t callOfBackend(node_fixture& fixture, const std::string& parent, const std::string& path)
{
    client_request made;
    made.call = ++fixture.calls;
    made.requestId = parent + ".n" + std::to_string(fixture.calls);
    made.host = "shop.example";
    made.content.method = "GET";
    made.content.path = path;
    made.deadline = 700ms;
    fixture.handle(std::move(made));
    return fixture.calls;
}

mesh::configuration withPublicStock()
{
    auto config = sampleConfiguration(2);
    config.routes.back().isPublic = true;
    return config;
}

/// A node with a backend server of orders, and two peers with one of stock each.
struct node_with_order : node_with_peers {
    node_with_order()
        : node_with_peers("stock", "orders")
    {
        configure(withPublicStock());
        addBackend();
        request("/orders/1", "planners-key", "POST");
        running = take<run_on_backend>().at(0);
    }
    run_on_backend running;
};

TEST(call_tree_node, nestedCallCarriesTheRankOfItsRoot)
{
    node_with_order fixture;
    callOfBackend(fixture, fixture.running.requestId, "/stock/1");
    const auto sent = fixture.callFrames();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].root_rank, 0);
    EXPECT_EQ(sent[0].finished_calls, 0);
    fixture.answer(sent[0].id, okAnswer());
    callOfBackend(fixture, fixture.running.requestId, "/stock/1");
    const auto second = fixture.callFrames();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].finished_calls, 1);
    callOfBackend(fixture, "unknown", "/stock/1");
    const auto unknown = fixture.callFrames();
    ASSERT_EQ(unknown.size(), 1U);
    EXPECT_EQ(unknown[0].root_rank, unknownRank);
    EXPECT_LT(unknown[0].importance, second[0].importance);
}

// Repeating a tree whose nested call failed made all its calls again and used up the retries of the service below.
TEST(call_tree_node, treeThatFailedBelowIsNotRetriedFromItsRoot)
{
    for (const bool below : { true, false }) {
        node_with_peers fixture("stock");
        auto config = sampleConfiguration();
        fixture.configure(config);
        for (int warmUp = 0; warmUp < 20; ++warmUp) {
            fixture.request();
            for (const auto& each : fixture.callFrames())
                fixture.answer(each.id, okAnswer());
        }
        fixture.take<send_response>();
        const auto call = fixture.request();
        const auto sent = fixture.callFrames();
        ASSERT_EQ(sent.size(), 1U);
        fixture.answer(sent[0].id, { 500, {}, nullptr }, below);
        EXPECT_EQ(fixture.callFrames().size(), below ? 0U : 1U);
        EXPECT_EQ(fixture.statusOf(call), below ? 500 : 0);
    }
}

// A route limits the number of backend servers that a request may reach. One that rejected it may be asked again.
TEST(call_tree_node, rejectedCallReturnsToABackendServerThatRejectedIt)
{
    node_with_peers fixture("stock");
    for (int warmUp = 0; warmUp < 40; ++warmUp) {
        fixture.request();
        for (const auto& each : fixture.callFrames())
            fixture.answer(each.id, okAnswer());
    }
    fixture.take<send_response>();
    fixture.request("/stock/1");
    std::set<socket_address> servers;
    unsigned sends = 0;
    for (auto sent = fixture.callFramesWithPeers(); sent.size() == 1; sent = fixture.callFramesWithPeers()) {
        ++sends;
        // The node of the backend server must not take a late copy of the first rejection for the second one.
        EXPECT_EQ(sent[0].second.resent, !servers.insert(sent[0].first).second);
        fixture.reject(sent[0].second.id);
    }
    EXPECT_GE(sends, 3U);
    EXPECT_LE(sends, 10U);
    EXPECT_EQ(servers.size(), 2U);
    const auto answers = fixture.take<send_response>();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].content.status, 503);
}

} // namespace
