// The connection on which the store's changes are awaited goes silent for good; then an operator changes the
// configuration.

#include "../rig/rig.h"

using namespace rig;

namespace {

constexpr std::int64_t contactMs = 4000;
constexpr std::int64_t configApplyMs = 2500;
// Nothing has passed a connection that counts as resting for this long. The store is called each second at least.
constexpr std::int64_t restedMs = 1500;
constexpr std::int64_t watchedMs = 12000;

} // namespace

int main(int, char** argv)
{
    record::open(std::string(argv[1]) + "/record.txt");
    store platform({ ipOf(250), 8545 });
    const auto configure = [&](int version, const std::string& service, const std::vector<std::string>& keys) {
        const route_spec orders { "/orders/", "non_idempotent", service, 4000, 1500, 0 };
        return platform.operatorPut("op/config", configurationText(version, { orders }, { "tilaus", "varasto" }, keys));
    };
    configure(12, "tilaus", { "key-1", "key-2" });
    run_log runs;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<relay>> relays;
    std::vector<std::unique_ptr<endpoint>> servers;
    for (int number = 1; number <= 4; ++number) {
        machine at;
        at.number = number;
        at.name = std::string("node-") + static_cast<char>('a' + number - 1);
        at.service = number % 2 == 1 ? "varasto" : "tilaus";
        at.zone = number <= 2 ? "etela-a" : "etela-b";
        at.store = at.port(8560);
        relays.push_back(std::make_unique<relay>(at.store, address { ipOf(250), 8545 }));
        nodes.push_back(std::make_unique<node>(at));
        nodes.back()->start();
        servers.push_back(std::make_unique<endpoint>(
            endpoint::options { "i-" + at.service + std::to_string(number), at.service, at.zone, at.app(), at.control() },
            runs, [](const message&) { return 50; }));
    }
    awaitReady(nodes);
    pauseFor(6000);
    // An ordinary change: each poll for the next one begins now.
    configure(15, "tilaus", { "key-1", "key-2" });
    record::line("operator: version 15 is acknowledged: nothing else in it");
    pauseFor(2000);

    if (troubleWanted()) {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            const int open = relays[index]->open();
            const int silent = relays[index]->silenceResting(restedMs);
            record::line("node   %s: %d of %d connections to the store go silent", nodes[index]->where().name.c_str(), silent, open);
        }
    }
    pauseFor(contactMs + 1000); // in touch again
    const auto acknowledged = configure(19, "varasto", { "key-1" });
    record::line("operator: version 19 is acknowledged: key-2 is withdrawn, /orders/ moves to varasto");
    int number = 0;
    int stale = 0;
    while (now() < acknowledged + watchedMs) {
        for (auto& each : nodes) {
            for (const char* key : { "key-1", "key-2" }) {
                const auto id = "order-" + std::to_string(++number);
                const auto outcome
                    = exchange(each->where().outbound(), { "POST", shopHost, "/orders/" + id, id, key, 4000, "one order" });
                const bool bound = outcome.sentAt > acknowledged + configApplyMs;
                for (const auto& run : runs.of(id)) {
                    if (!bound || (run.service == "varasto" && std::string(key) == "key-1"))
                        continue;
                    ++stale;
                    record::line("%s, sent %.3f s after the acknowledgement with %s, was run by %s", id.c_str(),
                        static_cast<double>(outcome.sentAt - acknowledged) / 1000, key, run.server.c_str());
                }
            }
        }
        pauseFor(300);
    }
    for (auto& each : nodes)
        each->end();
    record::line("%d requests were run as only the older version allows", stale);
    cleanUp();
    std::_Exit(stale > 0 ? exitBroken : exitHeld);
}
