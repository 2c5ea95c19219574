// Prints how the quota policy does beside static equal shares, and what it costs. Usage: quota_bench
// [refusals|cost|all]

#include "quota_driver_test.h"

#include <cstdio>
#include <cstring>

using namespace limpet;
using namespace limpet::driver;
using namespace std::chrono_literals;

namespace {

constexpr duration warmUp = 30s;
constexpr duration length = 60s;
constexpr double part = 0.8; // of the rate; Poisson arrivals

struct scenario {
    const char* name;
    unsigned regions;
    std::function<void(fleet&)> disturb;
    std::function<std::size_t(fleet&)> pick;
};

std::vector<team_rule> rules() { return { { "a", 400, 400 }, { "b", 40, 20 }, { "c", 5, 5 }, { "d", 0.5, 1 } }; }

std::size_t anywhere(fleet& fleet) { return fleet.random.below(fleet.nodes.size()); }
/// Four nodes that change every 3 s.
std::size_t fewNodes(fleet& fleet)
{
    const auto step = static_cast<std::size_t>(fleet.now.time_since_epoch() / 3s);
    return ((step * 17) + fleet.random.below(4)) % fleet.nodes.size();
}
/// One region after the other, 3 s each.
std::size_t oneRegion(fleet& fleet)
{
    const auto step = static_cast<std::size_t>(fleet.now.time_since_epoch() / 3s);
    const std::size_t size = fleet.nodes.size() / fleet.options.regions;
    return ((step % fleet.options.regions) * size) + fleet.random.below(size);
}
/// Three quarters of the demand in the first region.
std::size_t uneven(fleet& fleet)
{
    const std::size_t size = fleet.nodes.size() / fleet.options.regions;
    return fleet.random.uniform() < 0.75 ? fleet.random.below(size) : anywhere(fleet);
}
void cutFirstRegion(fleet& fleet)
{
    fleet.cut = [](const auto& left, const auto& right) { return (left.region == 0) != (right.region == 0); };
    fleet.storeReachable = [](const auto& node) { return node.region != 0; };
}
void stopStore(fleet& fleet)
{
    fleet.storeReachable = [](const auto&) { return false; };
}
void killHolder(fleet& fleet)
{
    const std::size_t holder = fleet.holderOf(0);
    if (holder < fleet.nodes.size())
        fleet.kill(holder);
}

void refusals(const scenario& each, quota_policy policy)
{
    fleet fleet({ .seed = 11, .regions = each.regions, .policy = policy });
    fleet.setRules(rules());
    fleet.runFor(warmUp);
    each.disturb(fleet);
    for (const team_rule& rule : rules())
        fleet.load(rule.team, rule.ratePerSecond * part, length, [&] { return each.pick(fleet); });
    fleet.runFor(length + 3s);
    std::printf("%-28s %-7s", each.name, policy == quota_policy::grants ? "grants" : "static");
    for (const auto& [name, team] : fleet.teams) {
        const demand_count& count = team.count;
        const double offered = static_cast<double>(std::max<std::uint64_t>(1, count.offered));
        std::printf(" | %s %6.2f %6.2f %6.2f %4.0f", name.c_str(), 100 * static_cast<double>(count.wrongful) / offered,
            100 * static_cast<double>(count.refused) / offered, 100 * static_cast<double>(count.ideal) / offered,
            std::chrono::duration<double, std::milli>(count.longestWait).count());
    }
    std::printf(" | above bound %.1f\n", std::max(0.0, fleet.worst()));
}

void allRefusals()
{
    const std::vector<scenario> scenarios {
        { "no fault, even", 2, [](fleet&) {}, anywhere },
        { "moves between nodes", 2, [](fleet&) {}, fewNodes },
        { "moves between regions", 2, [](fleet&) {}, oneRegion },
        { "moves between 5 regions", 5, [](fleet&) {}, oneRegion },
        { "region cut off, even", 2, cutFirstRegion, anywhere },
        { "region cut off, uneven", 2, cutFirstRegion, uneven },
        { "store away, even", 2, stopStore, anywhere },
        { "store away, moves regions", 2, stopStore, oneRegion },
        { "holder killed", 2, killHolder, anywhere },
    };
    std::printf(
        "team: wrongful %%, refused %%, refused by an ideal bucket %%, longest wait ms; load %.0f%% of the rate\n",
        100 * part);
    for (const scenario& each : scenarios) {
        refusals(each, quota_policy::grants);
        refusals(each, quota_policy::staticShares);
    }
}

struct cost_sample {
    double nodes = 0, mean = 0, most = 0, busy = 0, mostBusy = 0, frames = 0;
};

cost_sample cost(unsigned nodesPerZone, unsigned shards, double load)
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
            fleet.load(rule.team, rule.ratePerSecond * load, time, [&] { return anywhere(fleet); });
        fleet.runFor(time);
    };
    run(4s);
    for (auto& node : fleet.nodes)
        node.sentBytes = node.receivedBytes = node.farBytes = node.sentFrames = 0, node.busy = {};
    const std::uint64_t storeCalls = fleet.storeCalls;
    run(8s);
    cost_sample sample { .nodes = nodes / 2 };
    std::uint64_t far = 0;
    for (const auto& node : fleet.nodes) {
        const double bytes = static_cast<double>(node.sentBytes + node.receivedBytes) / seconds;
        const double busy = std::chrono::duration<double>(node.busy).count() / seconds * 100;
        sample.frames += static_cast<double>(node.sentFrames) / seconds / nodes;
        sample.mean += bytes / nodes;
        sample.most = std::max(sample.most, bytes);
        sample.busy += busy / nodes;
        sample.mostBusy = std::max(sample.mostBusy, busy);
        far += node.farBytes;
    }
    const demand_count total = fleet.total();
    std::printf("%5.0f nodes/region, %u shards, load %.2f: bytes/s mean %6.0f, most %6.0f; frames/s %.1f; core %% mean "
                "%.3f, most %.3f; "
                "between regions %.0f bytes/s; store calls/s %.2f; wrongful %.3f%%; waited %.1f%%; above bound %.1f\n",
        sample.nodes, shards, load, sample.mean, sample.most, sample.frames, sample.busy, sample.mostBusy,
        static_cast<double>(far) / seconds, static_cast<double>(fleet.storeCalls - storeCalls) / seconds,
        100 * static_cast<double>(total.wrongful) / static_cast<double>(total.offered),
        100 * static_cast<double>(total.waited) / static_cast<double>(total.offered), std::max(0.0, fleet.worst()));
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

void allCosts()
{
    std::printf("8 teams, rate 4/s for each node, burst 2 s of the rate; bytes are sent + received encoded frames\n");
    for (const unsigned shards : { 1U, 4U }) {
        std::vector<cost_sample> samples;
        for (const unsigned perZone : { 25U, 50U, 100U, 200U, 330U, 400U })
            samples.push_back(cost(perZone, shards, 0.7));
        std::printf(
            "slope for each node of the region, %u shards: mean %.2f bytes/s, most %.2f bytes/s, most core %% %.5f\n",
            shards, slope(samples, &cost_sample::mean), slope(samples, &cost_sample::most),
            slope(samples, &cost_sample::mostBusy));
    }
}

} // namespace

int main(int argc, char** argv)
{
    const char* what = argc > 1 ? argv[1] : "all";
    if (std::strcmp(what, "cost") != 0)
        allRefusals();
    if (std::strcmp(what, "refusals") != 0)
        allCosts();
    return 0;
}
