// A planned stop of a node in a deployment whose stop time is a fraction.

#include "../rig/rig.h"

using namespace rig;

namespace {

constexpr std::int64_t workMs = 3600;
constexpr std::int64_t timeoutMs = 4000;
constexpr std::int64_t graceMs = 7500;
constexpr std::int64_t lossSlackMs = 200;
constexpr int requests = 6;

} // namespace

int main(int, char** argv)
{
    record::open(std::string(argv[1]) + "/record.txt");
    store platform({ ipOf(250), 8545 });
    const route_spec reads { "/status/", "idempotent", "seuranta", timeoutMs, 2000, 2 };
    platform.operatorPut("op/config", configurationText(12, { reads }, { "seuranta", "varasto" }, { "key-1" }));
    run_log runs;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<endpoint>> servers;
    for (int number = 1; number <= 2; ++number) {
        machine at;
        at.number = number;
        at.name = std::string("node-") + static_cast<char>('a' + number - 1);
        at.service = number == 1 ? "varasto" : "seuranta";
        at.zone = number == 1 ? "etela-a" : "etela-b";
        at.store = { ipOf(250), 8545 };
        nodes.push_back(std::make_unique<node>(at, std::map<std::string, std::string> { { "graceS", "7.5" } }));
        nodes.back()->start();
        servers.push_back(std::make_unique<endpoint>(
            endpoint::options { "i-" + at.service, at.service, at.zone, at.app(), at.control(), 29, 58 }, runs,
            [](const message&) { return workMs; }));
    }
    awaitReady(nodes);
    pauseFor(6000); // in touch, and all have heard of the backend servers

    std::vector<client_outcome> outcomes(requests);
    std::vector<std::thread> clients;
    for (int index = 0; index < requests; ++index) {
        clients.emplace_back([&, index] {
            const auto id = "read-" + std::to_string(index);
            outcomes[static_cast<std::size_t>(index)]
                = exchange(nodes[0]->where().outbound(), { "GET", shopHost, "/status/" + id, id, "key-1", 8000, "" });
        });
    }
    pauseFor(500);
    const auto stoppedAt = now();
    if (troubleWanted())
        nodes[0]->signal(SIGTERM, "SIGTERM");
    for (auto& each : clients)
        each.join();
    for (auto& each : nodes)
        each->end();

    int lost = 0;
    for (int index = 0; index < requests; ++index) {
        const auto& outcome = outcomes[static_cast<std::size_t>(index)];
        const auto waited = outcome.endedAt - outcome.sentAt;
        // Excused: the route's timeout, and what is still worked on in the last sixth of the stop time.
        const bool excused = waited >= timeoutMs || outcome.endedAt >= stoppedAt + graceMs * 5 / 6;
        if (outcome.end != read_end::closed || !outcome.connected || waited <= lossSlackMs || excused)
            continue;
        ++lost;
        record::line("read-%d: the connection ended without an answer %.3f s after SIGTERM", index,
            static_cast<double>(outcome.endedAt - stoppedAt) / 1000);
    }
    record::line("%d of %d lost", lost, requests);
    cleanUp();
    std::_Exit(lost > 0 ? exitBroken : exitHeld);
}
