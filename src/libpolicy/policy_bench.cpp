/// Compares the policies with their baselines on the queueing model, over several seeds.
/// Usage: policy_bench [SEEDS [FILTER]]. With a filter, only the scenarios whose name contains it are run.

#include "policy_model.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <numeric>

namespace {

using namespace limpet;
using model::load;
using model::milliseconds;
using model::seconds;
using model::simulation;

/// A selection of policies.
struct policy_variant {
    const char* name;
    std::function<void(model::options&)> apply;
};

void applyNoLimit(model::options& setup)
{
    setup.admission.limit = unlimited_limit {};
    setup.admission.order = queue_order::fifo;
    setup.thresholds.enabled = false;
    setup.retries.budgeted = false;
    setup.routing.kind = routing_kind::random;
}

void applyFixedLimit(model::options& setup)
{
    applyNoLimit(setup);
    setup.admission.limit = fixed_limit { setup.announced };
}

void disableThresholds(model::options& setup) { setup.thresholds.enabled = false; }

const std::vector<policy_variant> variants {
    { "policy", [](model::options&) {} },
    { "policy, no thresholds", disableThresholds },
    { "fixed limit, arrival order", applyFixedLimit },
    { "no limit", applyNoLimit },
};

/// A load and fault pattern that is run with every variant.
struct scenario {
    const char* name;
    std::function<void(model::options&)> apply;
};

std::vector<load> evenLoads(double total, unsigned teams)
{
    std::vector<load> loads;
    for (unsigned team = 0; team < teams; ++team) {
        for (const priority importance : { 2, 5, 8 })
            loads.push_back({ "team" + std::to_string(team), importance, total / teams / 3, seconds(1) });
    }
    return loads;
}

double capacityOf(const model::options& setup)
{
    return setup.backends * setup.slots / std::chrono::duration<double>(setup.serviceTime).count();
}

void applyThreefoldDemand(model::options& setup) { setup.loads = evenLoads(3 * capacityOf(setup), 4); }

const std::vector<scenario> overloadScenarios {
    { "3x demand, queues inside", applyThreefoldDemand },
    { "3x demand, sheds with 503",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            setup.shedsAboveSlots = true;
        } },
    { "3x demand, announces 5x its slots, queues",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            setup.announced = 5 * setup.slots;
        } },
    { "3x demand, announces 5x its slots, sheds",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            setup.announced = 5 * setup.slots;
            setup.shedsAboveSlots = true;
        } },
    { "3x demand, announces 1/5 of its slots",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            setup.announced = setup.slots / 5;
        } },
    { "3x demand, 300 ms deadlines, no cancellation",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            for (auto& load : setup.loads)
                load.deadline = milliseconds(300);
            setup.cancelsExpired = false;
        } },
    { "3x demand, 4 backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            applyThreefoldDemand(setup);
            setup.retriesEnabled = true;
        } },
    { "3x demand, 4 shedding backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            applyThreefoldDemand(setup);
            setup.retriesEnabled = true;
            setup.shedsAboveSlots = true;
        } },
};

constexpr int warmUpSeconds = 6;
constexpr int endSeconds = 21;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double lowest(const std::vector<double>& values) { return *std::min_element(values.begin(), values.end()); }
double highest(const std::vector<double>& values) { return *std::max_element(values.begin(), values.end()); }

model::options setupOf(const scenario& scenario, const policy_variant& variant, std::uint64_t seed)
{
    model::options setup;
    setup.seed = seed;
    scenario.apply(setup);
    variant.apply(setup);
    return setup;
}

void printOverload(const scenario& scenario, std::uint64_t seeds)
{
    std::printf("\n%s: goodput / capacity, median (lowest) | refused or failed at priority 8, 5, 2 in %% | sheds\n",
        scenario.name);
    for (const auto& variant : variants) {
        std::vector<double> goodput;
        std::array<std::vector<double>, 3> unsuccessful;
        double sheds = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto setup = setupOf(scenario, variant, seed);
            simulation run(setup);
            run.run();
            goodput.push_back(
                run.sum(warmUpSeconds, endSeconds).succeeded / (run.capacity() * (endSeconds - warmUpSeconds)));
            for (std::size_t index = 0; index < 3; ++index) {
                const auto importance = static_cast<priority>(8 - 3 * index);
                const auto tally = run.sum(
                    warmUpSeconds, endSeconds, [&](const load& load) { return load.importance == importance; });
                unsuccessful[index].push_back(100.0 * (tally.refused + tally.failed) / std::max(tally.offered, 1U));
            }
            sheds += run.shedByBackend;
        }
        std::printf("  %-28s %5.3f (%5.3f) | %6.2f %6.2f %6.2f | %6.0f\n", variant.name, median(goodput),
            lowest(goodput), median(unsuccessful[0]), median(unsuccessful[1]), median(unsuccessful[2]),
            sheds / static_cast<double>(seeds));
    }
}

// Start and end of the slowdown or demand spike in the recovery scenarios, in seconds of virtual time.
constexpr int slowdownStart = 10;
constexpr int slowdownEnd = 20;

const std::vector<scenario> recoveryScenarios {
    { "10x slower for 10 s at 0.8x demand, queues",
        [](model::options& setup) {
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowdownStart && second < slowdownEnd ? 10.0 : 1.0; };
            setup.runTime = seconds(35);
        } },
    { "10x slower for 10 s at 0.8x demand, queues, no cancellation",
        [](model::options& setup) {
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowdownStart && second < slowdownEnd ? 10.0 : 1.0; };
            setup.runTime = seconds(35);
            setup.cancelsExpired = false;
        } },
    { "10x slower for 10 s at 0.8x demand, sheds, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowdownStart && second < slowdownEnd ? 10.0 : 1.0; };
            setup.runTime = seconds(35);
            setup.shedsAboveSlots = true;
            setup.retriesEnabled = true;
        } },
    { "10x slower for 10 s at 3x demand, queues",
        [](model::options& setup) {
            applyThreefoldDemand(setup);
            setup.slowdown = [](double second) { return second >= slowdownStart && second < slowdownEnd ? 10.0 : 1.0; };
            setup.runTime = seconds(35);
        } },
    { "5x demand for 10 s, 0.8x otherwise, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.demand = [](double second) { return second >= slowdownStart && second < slowdownEnd ? 6.0 : 1.0; };
            setup.runTime = seconds(35);
            setup.retriesEnabled = true;
        } },
};

/// Returns the seconds from the end of the slowdown or demand spike until three consecutive seconds reach 90% of
/// maxGoodput, or 99 if that does not happen.
double recoveryTime(const simulation& run, double maxGoodput)
{
    for (int second = slowdownEnd; second < 33; ++second) {
        bool reached = true;
        for (int later = second; later < second + 3; ++later)
            reached = reached && run.sum(later, later + 1).succeeded >= 0.9 * maxGoodput;
        if (reached)
            return second - slowdownEnd;
    }
    return 99;
}

void printRecovery(const scenario& scenario, std::uint64_t seeds)
{
    std::printf(
        "\n%s: seconds to recover, median (highest) | goodput / slowed capacity during the slowdown | final limit\n",
        scenario.name);
    for (const auto& variant : variants) {
        std::vector<double> times;
        std::vector<double> slowdownGoodput;
        std::vector<double> limits;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto setup = setupOf(scenario, variant, seed);
            simulation run(setup);
            run.run();
            double offered = 0;
            for (const auto& load : setup.loads)
                offered += load.rate;
            times.push_back(recoveryTime(run, std::min(offered, run.capacity())));
            const double slowed = run.capacity() / setup.slowdown(slowdownStart + 1);
            slowdownGoodput.push_back(
                run.sum(slowdownStart + 3, slowdownEnd).succeeded / (slowed * (slowdownEnd - slowdownStart - 3)));
            limits.push_back(run.admissionOf(0).limit());
        }
        std::printf("  %-28s %5.0f (%3.0f) | %6.3f | %6.0f\n", variant.name, median(times), highest(times),
            median(slowdownGoodput), std::min(median(limits), 99999.0));
    }
}

/// One of eight teams sends five times its share, the others send their share, all at the same priority.
const std::vector<scenario> fairnessScenarios {
    { "one team at 5x its share", [](model::options&) {} },
    { "one team at 5x its share, 4 backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.retriesEnabled = true;
        } },
};

void printFairness(const scenario& scenario, std::uint64_t seeds)
{
    std::printf(
        "\n%s: goodput / fair share of the worst team, median (lowest) | goodput / capacity | of the greedy team\n",
        scenario.name);
    for (const auto& variant : variants) {
        std::vector<double> worst;
        std::vector<double> goodput;
        std::vector<double> greedy;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            model::options setup;
            setup.seed = seed;
            scenario.apply(setup);
            const double share = capacityOf(setup) / 8;
            for (unsigned team = 0; team < 8; ++team)
                setup.loads.push_back({ "team" + std::to_string(team), 5, team == 0 ? 5 * share : share, seconds(1) });
            variant.apply(setup);
            simulation run(setup);
            run.run();
            const double seconds = endSeconds - warmUpSeconds;
            std::vector<double> shares;
            for (const auto& load : setup.loads) {
                const auto tally
                    = run.sum(warmUpSeconds, endSeconds, [&](const auto& own) { return own.team == load.team; });
                // Random arrivals may offer less than the share.
                const double fair = std::min<double>(tally.offered, share * seconds);
                shares.push_back(tally.succeeded / fair);
            }
            greedy.push_back(shares.front());
            worst.push_back(lowest({ shares.begin() + 1, shares.end() }));
            goodput.push_back(run.sum(warmUpSeconds, endSeconds).succeeded / (run.capacity() * seconds));
        }
        std::printf("  %-28s %5.3f (%5.3f) | %5.3f | %5.3f\n", variant.name, median(worst), lowest(worst),
            median(goodput), median(greedy));
    }
}

/// Prints the wall-clock time of the decisions about one call, under overload with full queues.
void printCost()
{
    constexpr unsigned calls = 200000;
    constexpr unsigned slots = 140;
    random_source random(1);
    admission admissionControl({ .limit = fixed_limit { slots } });
    shed_thresholds thresholds;
    retry_policy retries;
    routing_table routes({}, { 5000 }, "r", "z");
    for (std::uint64_t node = 1; node <= 40; ++node)
        routes.update({ { node }, 1, "r", "z", "s", endpoint_state::up, slots, 0 }, time_point {});
    std::vector<request_id> running;
    const auto started = std::chrono::steady_clock::now();
    for (unsigned call = 1; call <= calls; ++call) {
        const time_point now { std::chrono::microseconds(300 * call) };
        admission_request request;
        request.id = random.nextId();
        request.context.rootId = request.id;
        request.context.team = "team" + std::to_string(call % 8);
        request.context.importance = static_cast<priority>(call % 10);
        request.context.remaining = seconds(1);
        thresholds.admits("s", request.context, now);
        retries.countFirstAttempt(request.context.team, "s", now);
        const auto choice = routes.pick("s", {}, request.context.importance, now, random);
        routes.started(choice->node);
        if (admissionControl.offer(request, now).verdict == admission_verdict::run)
            running.push_back(request.id);
        if (call % 3 == 0) {
            const auto actions = admissionControl.finish(running.front(), call_outcome::success, milliseconds(40), now);
            running.erase(running.begin());
            running.insert(running.end(), actions.start.begin(), actions.start.end());
        }
        thresholds.recordLevels(
            "s", request.context.team, admissionControl.shedLevel(request.context.team, now), {}, now);
        routes.finished(choice->node, call_outcome::success, milliseconds(40), now);
    }
    const auto elapsed = std::chrono::steady_clock::now() - started;
    std::printf("\ndecisions of one call, entry and serving node, wall clock: %.2f us\n",
        std::chrono::duration<double, std::micro>(elapsed).count() / calls);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    const std::string filter = argc > 2 ? argv[2] : "";
    const auto selected = [&](const char* name) { return std::string(name).find(filter) != std::string::npos; };
    std::printf("seeds 1 to %llu\n", static_cast<unsigned long long>(seeds));
    for (const auto& scenario : overloadScenarios) {
        if (selected(scenario.name))
            printOverload(scenario, seeds);
    }
    for (const auto& scenario : recoveryScenarios) {
        if (selected(scenario.name))
            printRecovery(scenario, seeds);
    }
    for (const auto& scenario : fairnessScenarios) {
        if (selected(scenario.name))
            printFairness(scenario, seeds);
    }
    if (selected("cost"))
        printCost();
    return 0;
}
