// Prints what the fleet library costs per node at several sizes, and the fitted growth per 100 nodes.
// Usage: fleet_bench [largest number of nodes]

#include "fleet_driver.h"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <sys/resource.h>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

// The target has 11 availability zones in 5 regions; the sizes scale the zones and keep their number.
std::vector<fleet_driver::place> elevenZones()
{
    std::vector<fleet_driver::place> places;
    places.reserve(11);
    for (int zone = 0; zone < 11; ++zone)
        places.push_back({ "region-" + std::to_string(zone % 5), "zone-" + std::to_string(zone) });
    return places;
}

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = [](const timeval& value) { return double(value.tv_sec) + double(value.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

configuration sampleConfiguration()
{
    configuration config;
    for (int team = 0; team < 40; ++team) {
        const auto name = "team-" + std::to_string(team);
        config.teams.push_back({ name, 100, 200, "operators" });
        config.keys.push_back({ name, "key-1", digestOf(name) });
    }
    for (int route = 0; route < 170; ++route)
        config.routes.push_back({ "GET", "/service-" + std::to_string(route), "service-" + std::to_string(route / 2), 5,
            2s, true, false, 1, "operators" });
    return config;
}

struct figures {
    double plainBytes = 0;
    double plainWorst = 0;
    double relayBytes = 0;
    double relayWorst = 0;
    double plainMessages = 0;
    double relayMessages = 0;
    double processor = 0; ///< microseconds per node and virtual second, with encoding and the driver
    double storeCalls = 0; ///< per second
};

figures measure(fleet_driver& driver, duration length)
{
    for (auto& node : driver.nodes) {
        node.bytes = 0;
        node.messages = 0;
    }
    const auto calls = driver.storeCalls;
    const auto processor = processorSeconds();
    driver.run(length);
    const double seconds = double(length.count()) / 1e6;
    figures found;
    double plain = 0;
    double relays = 0;
    double up = 0;
    for (const auto& node : driver.nodes) {
        if (!node.up)
            continue;
        ++up;
        const double bytes = double(node.bytes) / seconds;
        if (node.watching) {
            ++relays;
            found.relayBytes += bytes;
            found.relayMessages += double(node.messages) / seconds;
            found.relayWorst = std::max(found.relayWorst, bytes);
        } else {
            ++plain;
            found.plainBytes += bytes;
            found.plainMessages += double(node.messages) / seconds;
            found.plainWorst = std::max(found.plainWorst, bytes);
        }
    }
    found.plainBytes /= plain;
    found.plainMessages /= plain;
    found.relayBytes /= relays;
    found.relayMessages /= relays;
    found.processor = (processorSeconds() - processor) * 1e6 / up / seconds;
    found.storeCalls = double(driver.storeCalls - calls) / seconds;
    return found;
}

void print(std::size_t nodes, const char* phase, const figures& found)
{
    std::printf("%5zu %-22s %6.0f %6.0f %6.0f %6.0f %6.1f %6.1f %7.0f %6.1f\n", nodes, phase, found.plainBytes,
        found.plainWorst, found.relayBytes, found.relayWorst, found.plainMessages, found.relayMessages, found.processor,
        found.storeCalls);
}

// Least squares slope of y over x.
double slope(const std::vector<double>& x, const std::vector<double>& y)
{
    double meanX = 0;
    double meanY = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        meanX += x[index] / double(x.size());
        meanY += y[index] / double(x.size());
    }
    double over = 0;
    double under = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        over += (x[index] - meanX) * (y[index] - meanY);
        under += (x[index] - meanX) * (x[index] - meanX);
    }
    return under == 0 ? 0 : over / under;
}

void runAll(std::size_t largest)
{
    std::printf("seed 1, 11 zones, 5 regions; bytes/s and messages/s sent per node, us per node and second\n");
    std::printf("nodes phase                   plain  worst  relay  worst  msg/s  msg/s      us  store\n");
    std::vector<double> sizes;
    std::vector<double> plain;
    std::vector<double> relay;
    std::vector<double> processor;
    std::vector<double> memory;
    for (std::size_t nodes : { 50, 100, 200, 400, 800, 1600, 3300 }) {
        if (nodes > largest)
            break;
        fleet_driver driver(1, elevenZones(), (nodes + 10) / 11, std::max<std::size_t>(5, nodes / 39));
        driver.storeDelay = 10ms;
        driver.write(sampleConfiguration());
        const auto before = mallinfo2().uordblks;
        for (std::size_t index = 0; index < driver.nodes.size(); ++index)
            driver.start(index);
        driver.run(60s + duration(1s * std::int64_t(nodes) / 20));
        const double heap = double(mallinfo2().uordblks - before) / double(driver.nodes.size());
        auto quiet = measure(driver, 60s);
        print(nodes, "quiet", quiet);
        duration slowest { 0 };
        for (int round = 0; round < 5; ++round) {
            auto next = driver.accepted;
            next.teams[std::size_t(round)].ratePerSecond += 1;
            const auto number = driver.write(next);
            const auto began = driver.now;
            while (!driver.allForced(number) && driver.now < began + 60s)
                driver.run(1ms);
            slowest = std::max(slowest, driver.now - began);
            driver.run(5s);
        }
        // One change in 17 s is the target's rate.
        for (int round = 0; round < 3; ++round) {
            auto next = driver.accepted;
            next.teams[std::size_t(round)].burst += 1;
            driver.write(next);
            auto changing = measure(driver, 17s);
            if (round == 2)
                print(nodes, "change every 17 s", changing);
        }
        for (std::size_t index = 3; index < driver.nodes.size(); index += 11)
            driver.crash(index);
        print(nodes, "zone lost", measure(driver, 20s));
        for (std::size_t index = 3; index < driver.nodes.size(); index += 11)
            driver.start(index);
        print(nodes, "zone back", measure(driver, 30s));
        driver.run(60s);
        driver.health = [](auto) { return store_health::hanging; };
        print(nodes, "store down", measure(driver, 30s));
        driver.health = [](auto) { return store_health::up; };
        driver.breakWatches();
        print(nodes, "store back", measure(driver, 10s));
        std::printf("%5zu heap %.0f bytes per node; slowest of 5 configurations in force after %.0f ms; %zu faults\n",
            nodes, heap, double(slowest.count()) / 1000, driver.violations.size());
        std::fflush(stdout);
        sizes.push_back(double(nodes));
        plain.push_back(quiet.plainBytes);
        relay.push_back(quiet.relayBytes);
        processor.push_back(quiet.processor);
        memory.push_back(heap);
    }
    std::printf("growth per 100 nodes, quiet: plain %.0f B/s, relay %.0f B/s, processor %.1f us, heap %.0f bytes\n",
        100 * slope(sizes, plain), 100 * slope(sizes, relay), 100 * slope(sizes, processor),
        100 * slope(sizes, memory));
}

} // namespace

int main(int count, char** arguments)
{
    try {
        runAll(count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 800);
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "fleet_bench: %s\n", problem.what());
        return 1;
    }
    return 0;
}
