/// Prints each policy beside its baseline on the queue model, from several seeds.
/// Usage: policy_bench [SEEDS [WORD]], where only situations whose name contains the word are run.

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

/// One selection of policies.
struct variant_case {
    const char* name;
    std::function<void(model::options&)> apply;
};

void useUnlimited(model::options& setup)
{
    setup.admission.limit = unlimited_limit {};
    setup.admission.order = queue_order::fifo;
    setup.thresholds.enabled = false;
    setup.retries.budgeted = false;
    setup.routing.kind = routing_kind::random;
}

void useFixed(model::options& setup)
{
    useUnlimited(setup);
    setup.admission.limit = fixed_limit { setup.announced };
}

void useLocal(model::options& setup) { setup.thresholds.enabled = false; }

const std::vector<variant_case> variants {
    { "policy", [](model::options&) {} },
    { "policy, no thresholds", useLocal },
    { "fixed limit, arrival order", useFixed },
    { "no limit", useUnlimited },
};

/// A situation that every variant has to handle.
struct situation {
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
    return setup.backends * setup.slots / std::chrono::duration<double>(setup.service).count();
}

void demandThreefold(model::options& setup) { setup.loads = evenLoads(3 * capacityOf(setup), 4); }

const std::vector<situation> overloads {
    { "3x demand, queues inside", demandThreefold },
    { "3x demand, sheds with 503",
        [](model::options& setup) {
            demandThreefold(setup);
            setup.sheds = true;
        } },
    { "3x demand, announces 5x its slots, queues",
        [](model::options& setup) {
            demandThreefold(setup);
            setup.announced = 5 * setup.slots;
        } },
    { "3x demand, announces 5x its slots, sheds",
        [](model::options& setup) {
            demandThreefold(setup);
            setup.announced = 5 * setup.slots;
            setup.sheds = true;
        } },
    { "3x demand, announces 1/5 of its slots",
        [](model::options& setup) {
            demandThreefold(setup);
            setup.announced = setup.slots / 5;
        } },
    { "3x demand, 300 ms deadlines, no cancellation",
        [](model::options& setup) {
            demandThreefold(setup);
            for (auto& load : setup.loads)
                load.deadline = milliseconds(300);
            setup.cancels = false;
        } },
    { "3x demand, 4 backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            demandThreefold(setup);
            setup.retry = true;
        } },
    { "3x demand, 4 shedding backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            demandThreefold(setup);
            setup.retry = true;
            setup.sheds = true;
        } },
};

constexpr int settleSeconds = 6;
constexpr int endSeconds = 21;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double lowest(const std::vector<double>& values) { return *std::min_element(values.begin(), values.end()); }
double highest(const std::vector<double>& values) { return *std::max_element(values.begin(), values.end()); }

model::options setupOf(const situation& situation, const variant_case& variant, std::uint64_t seed)
{
    model::options setup;
    setup.seed = seed;
    situation.apply(setup);
    variant.apply(setup);
    return setup;
}

void printOverload(const situation& situation, std::uint64_t seeds)
{
    std::printf(
        "\n%s: goodput part of capacity median (lowest) | refused or failed at priority 8, 5, 2 in %% | sheds\n",
        situation.name);
    for (const auto& variant : variants) {
        std::vector<double> goodput;
        std::array<std::vector<double>, 3> lost;
        double sheds = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto setup = setupOf(situation, variant, seed);
            simulation run(setup);
            run.run();
            goodput.push_back(
                run.sum(settleSeconds, endSeconds).good / (run.capacity() * (endSeconds - settleSeconds)));
            for (std::size_t index = 0; index < 3; ++index) {
                const auto importance = static_cast<priority>(8 - 3 * index);
                const auto tally = run.sum(
                    settleSeconds, endSeconds, [&](const load& load) { return load.importance == importance; });
                lost[index].push_back(100.0 * (tally.refused + tally.failed) / std::max(tally.offered, 1U));
            }
            sheds += run.shedByBackend;
        }
        std::printf("  %-28s %5.3f (%5.3f) | %6.2f %6.2f %6.2f | %6.0f\n", variant.name, median(goodput),
            lowest(goodput), median(lost[0]), median(lost[1]), median(lost[2]), sheds / static_cast<double>(seeds));
    }
}

// The slow period of the recovery situations, in seconds of virtual time.
constexpr int slowFrom = 10;
constexpr int slowTo = 20;

const std::vector<situation> recoveries {
    { "10x slower for 10 s at 0.8x demand, queues",
        [](model::options& setup) {
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowFrom && second < slowTo ? 10.0 : 1.0; };
            setup.length = seconds(35);
        } },
    { "10x slower for 10 s at 0.8x demand, queues, no cancellation",
        [](model::options& setup) {
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowFrom && second < slowTo ? 10.0 : 1.0; };
            setup.length = seconds(35);
            setup.cancels = false;
        } },
    { "10x slower for 10 s at 0.8x demand, sheds, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.slowdown = [](double second) { return second >= slowFrom && second < slowTo ? 10.0 : 1.0; };
            setup.length = seconds(35);
            setup.sheds = true;
            setup.retry = true;
        } },
    { "10x slower for 10 s at 3x demand, queues",
        [](model::options& setup) {
            demandThreefold(setup);
            setup.slowdown = [](double second) { return second >= slowFrom && second < slowTo ? 10.0 : 1.0; };
            setup.length = seconds(35);
        } },
    { "5x demand for 10 s, 0.8x otherwise, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.loads = evenLoads(0.8 * capacityOf(setup), 4);
            setup.demand = [](double second) { return second >= slowFrom && second < slowTo ? 6.0 : 1.0; };
            setup.length = seconds(35);
            setup.retry = true;
        } },
};

/// Seconds after the trigger until three seconds in a row reach 90% of the goodput that is possible then.
double recoveryTime(const simulation& run, double possible)
{
    for (int second = slowTo; second < 33; ++second) {
        bool reached = true;
        for (int later = second; later < second + 3; ++later)
            reached = reached && run.sum(later, later + 1).good >= 0.9 * possible;
        if (reached)
            return second - slowTo;
    }
    return 99;
}

void printRecovery(const situation& situation, std::uint64_t seeds)
{
    std::printf("\n%s: seconds to recover median (highest) | goodput part of slowed capacity in the trigger | limit at "
                "its end\n",
        situation.name);
    for (const auto& variant : variants) {
        std::vector<double> times;
        std::vector<double> during;
        std::vector<double> limits;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto setup = setupOf(situation, variant, seed);
            simulation run(setup);
            run.run();
            double offered = 0;
            for (const auto& load : setup.loads)
                offered += load.rate;
            times.push_back(recoveryTime(run, std::min(offered, run.capacity())));
            const double slowed = run.capacity() / setup.slowdown(slowFrom + 1);
            during.push_back(run.sum(slowFrom + 3, slowTo).good / (slowed * (slowTo - slowFrom - 3)));
            limits.push_back(run.front(0).limit());
        }
        std::printf("  %-28s %5.0f (%3.0f) | %6.3f | %6.0f\n", variant.name, median(times), highest(times),
            median(during), std::min(median(limits), 99999.0));
    }
}

/// One of eight teams sends five times its share; the others just their share, all at one priority.
const std::vector<situation> unfair {
    { "one team at 5x its share", [](model::options&) {} },
    { "one team at 5x its share, 4 backends, 4 entries, retries",
        [](model::options& setup) {
            setup.backends = 4;
            setup.entries = 4;
            setup.retry = true;
        } },
};

void printFairness(const situation& situation, std::uint64_t seeds)
{
    std::printf(
        "\n%s: worst team's part of its fair share median (lowest) | goodput | greedy team's part\n", situation.name);
    for (const auto& variant : variants) {
        std::vector<double> worst;
        std::vector<double> goodput;
        std::vector<double> greedy;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            model::options setup;
            setup.seed = seed;
            situation.apply(setup);
            const double share = capacityOf(setup) / 8;
            for (unsigned team = 0; team < 8; ++team)
                setup.loads.push_back({ "team" + std::to_string(team), 5, team == 0 ? 5 * share : share, seconds(1) });
            variant.apply(setup);
            simulation run(setup);
            run.run();
            const double seconds = endSeconds - settleSeconds;
            std::vector<double> parts;
            for (const auto& load : setup.loads) {
                const auto tally
                    = run.sum(settleSeconds, endSeconds, [&](const auto& own) { return own.team == load.team; });
                // Random arrivals offer a little more or less than the share.
                const double fair = std::min<double>(tally.offered, share * seconds);
                parts.push_back(tally.good / fair);
            }
            greedy.push_back(parts.front());
            worst.push_back(lowest({ parts.begin() + 1, parts.end() }));
            goodput.push_back(run.sum(settleSeconds, endSeconds).good / (run.capacity() * seconds));
        }
        std::printf("  %-28s %5.3f (%5.3f) | %5.3f | %5.3f\n", variant.name, median(worst), lowest(worst),
            median(goodput), median(greedy));
    }
}

/// Wall-clock cost of the decisions about one call, under overload with full queues.
void printCost()
{
    constexpr unsigned calls = 200000;
    constexpr unsigned slots = 140;
    random_source random(1);
    admission front({ .limit = fixed_limit { slots } });
    shed_thresholds thresholds;
    retry_policy retries;
    routing_table routes({}, { 5000 }, "r", "z");
    for (std::uint64_t node = 1; node <= 40; ++node)
        routes.update({ { node }, 1, "r", "z", "s", endpoint_state::up, slots, 0 }, time_point {});
    std::vector<request_id> running;
    const auto began = std::chrono::steady_clock::now();
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
        if (front.offer(request, now).verdict == admission_verdict::run)
            running.push_back(request.id);
        if (call % 3 == 0) {
            const auto actions = front.finish(running.front(), call_outcome::success, milliseconds(40), now);
            running.erase(running.begin());
            running.insert(running.end(), actions.start.begin(), actions.start.end());
        }
        thresholds.recordLevels("s", request.context.team, front.shedLevel(request.context.team, now), {}, now);
        routes.finished(choice->node, call_outcome::success, milliseconds(40), now);
    }
    const auto spent = std::chrono::steady_clock::now() - began;
    std::printf("\ndecisions of one call, entry and serving node, wall clock: %.2f us\n",
        std::chrono::duration<double, std::micro>(spent).count() / calls);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    const std::string word = argc > 2 ? argv[2] : "";
    const auto selected = [&](const char* name) { return std::string(name).find(word) != std::string::npos; };
    std::printf("seeds 1 to %llu\n", static_cast<unsigned long long>(seeds));
    for (const auto& situation : overloads) {
        if (selected(situation.name))
            printOverload(situation, seeds);
    }
    for (const auto& situation : recoveries) {
        if (selected(situation.name))
            printRecovery(situation, seeds);
    }
    for (const auto& situation : unfair) {
        if (selected(situation.name))
            printFairness(situation, seeds);
    }
    if (selected("cost"))
        printCost();
    return 0;
}
