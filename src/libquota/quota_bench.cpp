// Compares the refusals under quota_policy::grants with those under staticShares, and measures the cost of grants.
// Usage: quota_bench [refusals|cost|all]

#include "quota_driver_test.h"

#include <cstdio>
#include <cstring>

using namespace limpet;
using namespace limpet::driver;
using namespace std::chrono_literals;

namespace {

constexpr duration warmUp = 30s;
constexpr duration length = 60s;
constexpr double loadFraction = 0.8; // of the rate; Poisson arrivals

struct scenario {
    const char* name;
    unsigned regions;
    std::function<void(fleet&)> injectFault;
    std::function<std::size_t(fleet&)> pickNode;
};

std::vector<team_rule> rules() { return { { "a", 400, 400 }, { "b", 40, 20 }, { "c", 5, 5 }, { "d", 0.5, 1 } }; }

std::size_t anyNode(fleet& fleet) { return fleet.random.below(fleet.nodes.size()); }
/// One of four nodes, which change every 3 s.
std::size_t fewNodes(fleet& fleet)
{
    const auto step = static_cast<std::size_t>(fleet.now.time_since_epoch() / 3s);
    return ((step * 17) + fleet.random.below(4)) % fleet.nodes.size();
}
/// A node of one region; the region changes every 3 s.
std::size_t oneRegionAtATime(fleet& fleet)
{
    const auto step = static_cast<std::size_t>(fleet.now.time_since_epoch() / 3s);
    const std::size_t size = fleet.nodes.size() / fleet.options.regions;
    return ((step % fleet.options.regions) * size) + fleet.random.below(size);
}
/// A node of the first region for three quarters of the demand, any node for the rest.
std::size_t mostlyFirstRegion(fleet& fleet)
{
    const std::size_t size = fleet.nodes.size() / fleet.options.regions;
    return fleet.random.uniform() < 0.75 ? fleet.random.below(size) : anyNode(fleet);
}
void isolateFirstRegion(fleet& fleet)
{
    fleet.partitioned = [](const auto& left, const auto& right) { return (left.region == 0) != (right.region == 0); };
    fleet.storeReachable = [](const auto& node) { return node.region != 0; };
}
void disconnectStore(fleet& fleet)
{
    fleet.storeReachable = [](const auto&) { return false; };
}
void killHolder(fleet& fleet)
{
    const std::size_t holder = fleet.holderOf(0);
    if (holder < fleet.nodes.size())
        fleet.kill(holder);
}

void measureRefusals(const scenario& each, quota_policy policy)
{
    fleet fleet({ .seed = 11, .regions = each.regions, .policy = policy });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    each.injectFault(fleet);
    for (const team_rule& rule : rules())
        fleet.load(rule.team, rule.ratePerSecond * loadFraction, length, [&] { return each.pickNode(fleet); });
    fleet.runFor(length + 3s);
    std::printf("%-28s %-7s", each.name, policy == quota_policy::grants ? "grants" : "static");
    for (const auto& [name, team] : fleet.teams) {
        const demand_counts& counts = team.counts;
        const double offered = static_cast<double>(std::max<std::uint64_t>(1, counts.offered));
        std::printf(" | %s %6.2f %6.2f %6.2f %4.0f", name.c_str(), 100 * static_cast<double>(counts.wrongful) / offered,
            100 * static_cast<double>(counts.refused) / offered, 100 * static_cast<double>(counts.ideal) / offered,
            std::chrono::duration<double, std::milli>(counts.longestWait).count());
    }
    std::printf(" | above limit %.1f\n", std::max(0.0, fleet.maxExcess()));
}

void measureAllRefusals()
{
    const std::vector<scenario> scenarios {
        { "no fault, even", 2, [](fleet&) {}, anyNode },
        { "moves between nodes", 2, [](fleet&) {}, fewNodes },
        { "moves between regions", 2, [](fleet&) {}, oneRegionAtATime },
        { "moves between 5 regions", 5, [](fleet&) {}, oneRegionAtATime },
        { "region partitioned, even", 2, isolateFirstRegion, anyNode },
        { "region partitioned, uneven", 2, isolateFirstRegion, mostlyFirstRegion },
        { "store unreachable, even", 2, disconnectStore, anyNode },
        { "store unreachable, moves", 2, disconnectStore, oneRegionAtATime },
        { "holder killed", 2, killHolder, anyNode },
    };
    std::printf("per team: wrongful %%, refused %%, refused by an ideal bucket %%, longest wait in ms; load %.0f%% of "
                "the rate\n",
        100 * loadFraction);
    for (const scenario& each : scenarios) {
        measureRefusals(each, quota_policy::grants);
        measureRefusals(each, quota_policy::staticShares);
    }
}

/// Nodes per region, and the load of a node: bytes and frames per second, busy time in percent of a CPU core.
struct cost_sample {
    double nodes = 0, meanBytes = 0, maxBytes = 0, busy = 0, maxBusy = 0, frames = 0;
};

cost_sample measureCost(unsigned nodesPerZone, unsigned shards, double load)
{
    fleet fleet(
        { .seed = 5, .regions = 2, .zones = 2, .nodesPerZone = nodesPerZone, .shards = shards, .measure = true });
    const double nodes = static_cast<double>(fleet.nodes.size());
    std::vector<team_rule> teams;
    for (int i = 0; i < 8; ++i) {
        const double rate = nodes * 4;
        teams.push_back({ "team" + std::to_string(i), rate, 2 * rate });
    }
    fleet.setRules(teams);
    fleet.runFor(warmUp);
    const auto seconds = 8.0;
    const auto run = [&](duration time) {
        for (const team_rule& rule : teams)
            fleet.load(rule.team, rule.ratePerSecond * load, time, [&] { return anyNode(fleet); });
        fleet.runFor(time);
    };
    run(4s);
    for (auto& node : fleet.nodes)
        node.sentBytes = node.receivedBytes = node.crossRegionBytes = node.sentFrames = 0, node.busy = {};
    const std::uint64_t storeCalls = fleet.storeCalls;
    run(8s);
    cost_sample sample { .nodes = nodes / 2 };
    std::uint64_t crossRegion = 0;
    for (const auto& node : fleet.nodes) {
        const double bytes = static_cast<double>(node.sentBytes + node.receivedBytes) / seconds;
        const double busy = std::chrono::duration<double>(node.busy).count() / seconds * 100;
        sample.frames += static_cast<double>(node.sentFrames) / seconds / nodes;
        sample.meanBytes += bytes / nodes;
        sample.maxBytes = std::max(sample.maxBytes, bytes);
        sample.busy += busy / nodes;
        sample.maxBusy = std::max(sample.maxBusy, busy);
        crossRegion += node.crossRegionBytes;
    }
    const demand_counts total = fleet.total();
    std::printf("%5.0f nodes/region, %u shards, load %.2f: bytes/s mean %6.0f, max %6.0f; frames/s %.1f; core %% mean "
                "%.3f, max %.3f; "
                "between regions %.0f bytes/s; store calls/s %.2f; wrongful %.3f%%; waited %.1f%%; above limit %.1f\n",
        sample.nodes, shards, load, sample.meanBytes, sample.maxBytes, sample.frames, sample.busy, sample.maxBusy,
        static_cast<double>(crossRegion) / seconds, static_cast<double>(fleet.storeCalls - storeCalls) / seconds,
        100 * static_cast<double>(total.wrongful) / static_cast<double>(total.offered),
        100 * static_cast<double>(total.waited) / static_cast<double>(total.offered), std::max(0.0, fleet.maxExcess()));
    std::fflush(stdout);
    return sample;
}

double slope(const std::vector<cost_sample>& samples, double cost_sample::*value)
{
    double n = 0, x = 0, y = 0, xx = 0, xy = 0;
    for (const cost_sample& each : samples) {
        n += 1;
        x += each.nodes;
        y += each.*value;
        xx += each.nodes * each.nodes;
        xy += each.nodes * each.*value;
    }
    return ((n * xy) - (x * y)) / ((n * xx) - (x * x));
}

void measureAllCosts()
{
    std::printf("8 teams with a rate of 4/s per node and a burst of 2 s of the rate; bytes of encoded frames sent and "
                "received\n");
    for (const unsigned shards : { 1U, 4U }) {
        std::vector<cost_sample> samples;
        for (const unsigned perZone : { 25U, 50U, 100U, 200U, 330U, 400U })
            samples.push_back(measureCost(perZone, shards, 0.7));
        std::printf("slope per node of the region, %u shards: mean %.2f bytes/s, max %.2f bytes/s, max core %% %.5f\n",
            shards, slope(samples, &cost_sample::meanBytes), slope(samples, &cost_sample::maxBytes),
            slope(samples, &cost_sample::maxBusy));
    }
}

} // namespace

int main(int argc, char** argv)
{
    const char* what = argc > 1 ? argv[1] : "all";
    if (std::strcmp(what, "cost") != 0)
        measureAllRefusals();
    if (std::strcmp(what, "refusals") != 0)
        measureAllCosts();
    return 0;
}
