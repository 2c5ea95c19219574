// A planned stop of the node that took requests which still wait for room at a backend server.

#include "../rig/rig.h"

using namespace rig;

namespace {

constexpr std::int64_t workMs = 1400;
constexpr std::int64_t readWorkMs = 160;
constexpr std::int64_t timeoutMs = 5000;
constexpr std::int64_t graceMs = 6000;
constexpr std::int64_t lossSlackMs = 200;
constexpr int orders = 20; ///< of one batch; every batch is the same

} // namespace

int main(int, char** argv)
{
    record::open(std::string(argv[1]) + "/record.txt");
    store platform({ ipOf(250), 8545 });
    const route_spec route { "/orders/", "non_idempotent", "tilaus", timeoutMs, 4000, 0 };
    const route_spec reads { "/stock/", "idempotent", "varasto", 4000, 1500, 2 };
    platform.operatorPut("op/config", configurationText(12, { route, reads }, { "tilaus", "varasto" }, { "key-1" }));
    run_log runs;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<endpoint>> servers;
    for (int number = 1; number <= 2; ++number) {
        machine at;
        at.number = number;
        at.name = std::string("node-") + static_cast<char>('a' + number - 1);
        at.service = number == 1 ? "varasto" : "tilaus";
        at.zone = number == 1 ? "etela-a" : "etela-b";
        at.store = { ipOf(250), 8545 };
        nodes.push_back(std::make_unique<node>(at));
        nodes.back()->start();
        servers.push_back(std::make_unique<endpoint>(
            endpoint::options { "i-" + at.service, at.service, at.zone, at.app(), at.control(), 8, 16 }, runs,
            [](const message& request) { return request.word(0) == "POST" ? workMs : readWorkMs; }));
    }
    awaitReady(nodes);
    pauseFor(4500); // in touch, and all have heard of the backend servers

    const auto entry = nodes[0]->where().outbound();
    const auto sendBatch = [&](int first) {
        std::vector<client_outcome> outcomes(orders);
        std::vector<std::thread> clients;
        for (int index = 0; index < orders; ++index) {
            clients.emplace_back([&, index] {
                const auto number = std::to_string(first + index);
                const request_spec spec { "POST", shopHost, "/orders/" + number, "order-" + number, "key-1", timeoutMs,
                    "one order" };
                outcomes[static_cast<std::size_t>(index)] = exchange(entry, spec);
            });
            pauseFor(2);
        }
        for (auto& each : clients)
            each.join();
        return outcomes;
    };
    // The usual traffic: a batch of orders now and then.
    sendBatch(1);
    pauseFor(1000);
    sendBatch(101);
    pauseFor(1000);

    // Reads that take place all the time; the last ones are in progress when the orders come.
    std::atomic<bool> reading = true;
    std::thread reader([&] {
        std::vector<std::thread> reads;
        for (int number = 1; reading; ++number) {
            reads.emplace_back([&, number] {
                const auto id = "read-" + std::to_string(number);
                exchange(entry, { "GET", shopHost, "/stock/" + id, id, "key-1", 4000, "" });
            });
            pauseFor(100);
        }
        for (auto& each : reads)
            each.join();
    });
    pauseFor(2000);

    const auto stoppedAt = now();
    if (troubleWanted())
        nodes[0]->signal(SIGTERM, "SIGTERM");
    pauseFor(2600);
    reading = false;
    const auto outcomes = sendBatch(201);
    reader.join();
    for (auto& each : nodes)
        each->end();

    int lost = 0;
    int answered = 0;
    for (int number = 0; number < orders; ++number) {
        const auto& outcome = outcomes[static_cast<std::size_t>(number)];
        const auto id = "order-" + std::to_string(201 + number);
        answered += outcome.end == read_end::complete ? 1 : 0;
        if (outcome.end != read_end::closed || !outcome.connected || outcome.endedAt - outcome.sentAt <= lossSlackMs)
            continue;
        if (outcome.sentAt > stoppedAt + 3000 || outcome.endedAt - outcome.sentAt >= timeoutMs)
            continue;
        // A request at which its server is at work in the last sixth of the stop time is excused.
        bool excused = false;
        for (const auto& run : runs.of(id))
            excused = excused || run.ended < 0 || run.ended >= stoppedAt + graceMs * 5 / 6;
        record::line("%s: the connection ended %.3f s after the request without an answer%s", id.c_str(),
            static_cast<double>(outcome.endedAt - outcome.sentAt) / 1000, excused ? ", excused" : "");
        lost += excused ? 0 : 1;
    }
    record::line("%d of %d answered, %d lost without an excuse", answered, orders, lost);
    cleanUp();
    std::_Exit(lost > 0 ? exitBroken : exitHeld);
}
