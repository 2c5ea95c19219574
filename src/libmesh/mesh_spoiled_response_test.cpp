// Guards what callers get while a backend server spoils some of its responses, so that they count as lost.

#include "mesh_network_test.h"
#include "mesh_peers_test.h"

using namespace limpet;
using namespace limpet::mesh;
using namespace limpet::mesh::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 10;

struct spoiled_load_case {
    const char* name;
    duration serviceTime;
    double load; ///< as a fraction of the capacity of both backend servers
};

/// Plays 20 s of that load on two backend servers, of which the first one spoils that fraction of its responses.
std::unique_ptr<simulated_network> playLoad(const spoiled_load_case& given, double spoiledFraction, std::uint64_t seed)
{
    network_options options;
    options.seed = seed;
    auto network = std::make_unique<simulated_network>(options);
    for (const std::string name : { "a", "b" })
        network->add({ name, "north", "north-a", "stock" });
    network->members().front()->spoiledFraction = spoiledFraction;
    for (auto& each : network->members()) {
        each->slots = slots;
        each->serviceTime = given.serviceTime;
    }
    network->configure(sampleConfiguration());
    network->sendNodeLists();
    network->addBackends();
    network->runFor(3s);
    const double serverCapacity = slots / std::chrono::duration<double>(given.serviceTime).count();
    for (auto& each : network->members())
        network->load(*each, "/stock/1", given.load * serverCapacity, 20s);
    network->runFor(23s);
    return network;
}

class spoiled_responses : public testing::TestWithParam<spoiled_load_case> { };

// Once spoiled responses count as lost (review/12), the server that spoils one in fifty must not be left idle while the
// other one is overloaded: it would cost far more answers than the spoiled ones.
TEST_P(spoiled_responses, doNotCostTheServerItsShareOfAHeavyLoad)
{
    constexpr double oneInFifty = 0.02;
    constexpr double minShare = 0.45; // of two servers, which may queue differently
    const auto answered = [](const simulated_network& network) {
        return static_cast<double>(network.countStatus(200)) / static_cast<double>(network.requests.size());
    };
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto sound = playLoad(GetParam(), 0, seed);
        const auto spoiled = playLoad(GetParam(), oneInFifty, seed);
        const auto& members = spoiled->members();
        const double share = static_cast<double>(members[0]->arrivals)
            / static_cast<double>(members[0]->arrivals + members[1]->arrivals);
        EXPECT_GT(members[0]->spoiled, 0U);
        EXPECT_GT(share, minShare) << "seed " << seed;
        EXPECT_GT(answered(*spoiled), answered(*sound) - oneInFifty) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(loads, spoiled_responses,
    testing::Values(spoiled_load_case { "busy", 100ms, 0.85 }, spoiled_load_case { "full", 100ms, 0.95 },
        spoiled_load_case { "overloaded", 100ms, 1.5 }, spoiled_load_case { "busyAndFast", 20ms, 0.85 },
        spoiled_load_case { "overloadedAndFast", 20ms, 1.5 }),
    [](const auto& info) { return info.param.name; });

struct retry_end_case {
    const char* name;
    std::optional<failure_kind> end; ///< of each retry; none: there is no other backend server for one
};

class lost_request : public testing::TestWithParam<retry_end_case> { };

// An idempotent request had run, its response was lost, and no other backend server took it: the client was told 503,
// which promises that the request has not run.
TEST_P(lost_request, isNotCalledUnexecutedWhenItsRetryIsRefused)
{
    node_with_peers fixture("stock");
    const auto call = fixture.request("/stock/1");
    auto sent = fixture.callFramesWithPeers();
    ASSERT_EQ(sent.size(), 1U);
    if (!GetParam().end) {
        for (unsigned number = 2; number < 2 + fixture.peerCount; ++number)
            fixture.handle(link_suspected { addressOf(number), addressOf(number) != sent.front().first });
    }
    fixture.fail(sent.front().second.id, failure_kind::lost);
    for (sent = fixture.callFramesWithPeers(); !sent.empty(); sent = fixture.callFramesWithPeers()) {
        ASSERT_TRUE(GetParam().end);
        fixture.fail(sent.front().second.id, *GetParam().end);
    }
    EXPECT_EQ(fixture.statusOf(call), 502);
}

INSTANTIATE_TEST_SUITE_P(retries, lost_request,
    testing::Values(retry_end_case { "refused", failure_kind::notExecuted },
        retry_end_case { "rejected", failure_kind::rejected }, retry_end_case { "impossible", std::nullopt }),
    [](const auto& info) { return info.param.name; });

// Without a lost response, the promise holds and tells clients that they may send it again.
TEST(refused_request, isCalledUnexecutedWhenNoServerTookIt)
{
    node_with_peers fixture("stock");
    const auto call = fixture.request("/stock/1");
    for (auto sent = fixture.callFrames(); !sent.empty(); sent = fixture.callFrames())
        fixture.fail(sent.front().id, failure_kind::notExecuted);
    EXPECT_EQ(fixture.statusOf(call), 503);
}

} // namespace
