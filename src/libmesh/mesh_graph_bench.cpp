// Prints what callers get of call trees under trouble at the deepest service, tree-aware and with the plain baseline.
// With an argument, also writes the whole answers per second of one scenario as CSV to that file.

#include "mesh_graph_test.h"
#include <fstream>
#include <iomanip>
#include <iostream>

using namespace limpet::mesh::testing_support;

namespace {

struct named_scenario {
    const char* name;
    graph_scenario scenario;
};

std::vector<named_scenario> scenarios()
{
    std::vector<named_scenario> all;
    for (const unsigned depth : { 2U, 3U, 5U, 9U }) {
        graph_scenario rejecting;
        rejecting.depth = depth;
        rejecting.rejectedFraction = 0.55;
        all.push_back({ "deepest rejects 55 %", rejecting });
        graph_scenario slow;
        slow.depth = depth;
        slow.slowdown = 5;
        all.push_back({ "deepest five times slower", slow });
        slow.burst = 1.7;
        all.push_back({ "the same in a burst of 1.7", slow });
    }
    return all;
}

void printRow(const named_scenario& each, bool treeAware)
{
    auto scenario = each.scenario;
    scenario.treeAware = treeAware;
    graph_simulation simulation(scenario);
    const auto capacity = simulation.capacity();
    const auto result = simulation.run();
    std::cout << std::left << std::setw(28) << each.name << std::right << std::setw(6) << scenario.depth
              << std::setw(12) << (treeAware ? "tree-aware" : "baseline") << std::fixed << std::setprecision(2)
              << std::setw(9) << result.orderShare() << std::setw(9) << result.queryShare() << std::setw(10)
              << result.goodput() << std::setw(10) << capacity << std::setw(11)
              << result.orderShare(graph_result::troubleEnd + 3, graph_result::length) << '\n';
}

void writeSeries(const char* path)
{
    std::ofstream file(path);
    file << "variant,second,answers\n";
    for (const bool treeAware : { true, false }) {
        graph_scenario scenario;
        scenario.rejectedFraction = 0.55;
        scenario.treeAware = treeAware;
        const auto result = playGraph(scenario);
        for (unsigned second = 0; second < graph_result::length; ++second)
            file << (treeAware ? "policy" : "baseline") << ',' << second << ','
                 << result.orders.at(second) + result.queries.at(second) << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::cout << "scenario                     depth     variant   orders  queries  answers/s  capacity  recovered\n";
    for (const auto& each : scenarios()) {
        for (const bool treeAware : { false, true })
            printRow(each, treeAware);
    }
    if (argc > 1)
        writeSeries(argv[1]);
    return 0;
}
