// A backend server rejects a request without running it, and sends a second copy of that rejection late, when the next
// request on the connection is waiting for its answer.

#include "../common/harness.h"

using namespace review;

namespace {

// Limits of the site file: garble, extra late: share 0.6 of a service's servers, x 0.03, for_s 5; srv_grey, shed all: x 0.55,
// for_s 8.5. Both come four times here.
constexpr double copiedShare = 0.03;
constexpr double rejectedShare = 0.25;
constexpr int rounds = 4;
constexpr long roundMs = 10000;
constexpr long rejectingMs = 8000; ///< from the start of a round
constexpr long copyingFromMs = 1500;
constexpr long copyingMs = 5000;
constexpr long workMs = 20;
constexpr int clients = 16;
constexpr long pauseMs = 10;

struct run_log {
    std::mutex mutex;
    std::map<std::string, int> runs; ///< by request id
    std::map<std::string, int> statuses; ///< as the client saw them
    std::mt19937 random { 7 };
    int rejections = 0;
    int copies = 0;
};

std::string orderRequest(const std::string& id)
{
    return makeRequest("POST", "/orders/" + id,
        { "Host: shop.example", "X-Request-Id: " + id, "X-Deadline-Ms: 5000", "Api-Key: mills-key" }, "one order");
}

} // namespace

int main(int argc, char** argv)
{
    case_run run(argc, argv);
    store_standin store;
    const auto storeAddress = freeAddress(run.ip(250));
    if (!store.start(storeAddress))
        run.finish(exitNotRun, "the store stand-in cannot listen");
    store.put("op/config",
        configurationDocument(12,
            json::array({ routeResource("orders", { "/orders/", "orders", "non_idempotent", 5000, 1500, 1 }),
                serviceResource("orders"), tenantResource("mills", { "mills-key" }), limitsResource() })));

    run_log log;
    std::atomic<bool> rejecting = false;
    std::atomic<bool> copying = false;
    std::mutex copiesMutex;
    std::map<std::pair<int, int>, std::string> pendingCopy; ///< by server and connection
    constexpr int servers = 2;
    std::vector<std::unique_ptr<backend_standin>> backends;
    std::vector<std::unique_ptr<node_process>> nodes;
    const auto handle = [&](int server, int descriptor, const message& request) {
        const auto id = request.header("X-Request-Id");
        std::string copy;
        {
            std::lock_guard lock(copiesMutex);
            copy = std::exchange(pendingCopy[{ server, descriptor }], "");
        }
        if (!copy.empty()) {
            record("server %d: sends the late copy of a rejection while %s is waiting", server, id.c_str());
            sendAll(descriptor, copy);
        }
        bool rejects = false;
        bool copies = false;
        {
            std::lock_guard lock(log.mutex);
            std::uniform_real_distribution<double> draw;
            rejects = draw(log.random) < rejectedShare && rejecting;
            copies = draw(log.random) < copiedShare && rejects && server == 1 && copying && run.trouble();
            log.rejections += rejects ? 1 : 0;
            log.copies += copies ? 1 : 0;
        }
        if (rejects) {
            const auto rejection = backend_standin::makeRejection(request);
            record("server %d: rejects %s, not run%s", server, id.c_str(), copies ? ", a copy will follow" : "");
            if (copies) {
                std::lock_guard lock(copiesMutex);
                pendingCopy[{ server, descriptor }] = rejection;
            }
            return sendAll(descriptor, rejection);
        }
        {
            std::lock_guard lock(log.mutex);
            record("server %d: runs %s, run number %d", server, id.c_str(), ++log.runs[id]);
        }
        sleepMs(workMs);
        return sendAll(descriptor, backends[server - 1]->makeAnswer(request, "order " + id + " placed"));
    };
    for (int server = 1; server <= servers; ++server) {
        const auto place = run.makeMachine(server, "orders", storeAddress);
        backend_standin::options options { "i-orders-" + std::to_string(server), "orders", place.app, place.control };
        backends.push_back(std::make_unique<backend_standin>(options, [&, server](int descriptor, const message& request) {
            const bool open = handle(server, descriptor, request);
            if (!open) {
                std::lock_guard lock(copiesMutex);
                pendingCopy.erase({ server, descriptor });
            }
            return open;
        }));
        nodes.push_back(std::make_unique<node_process>(place, run.folder()));
        if (!nodes.back()->start() || !backends.back()->start())
            run.finish(exitNotRun, "a node or a stand-in did not start");
    }
    for (auto& each : nodes) {
        if (!each->waitReady(10000))
            run.finish(exitNotRun, "a node is not ready");
    }
    sleepMs(5000); // more than contactMs

    std::vector<std::thread> threads;
    const long until = elapsedMs() + rounds * roundMs;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            const auto& node = nodes[client % servers]->place().clients;
            for (int number = 0; elapsedMs() < until; ++number) {
                const auto id = "q" + std::to_string(client) + "-" + std::to_string(number);
                const int status = callOnce(node, orderRequest(id), 6000);
                record("client: %s answered %d", id.c_str(), status);
                {
                    std::lock_guard lock(log.mutex);
                    log.statuses[id] = status;
                }
                sleepMs(pauseMs);
            }
        });
    for (int round = 0; round < rounds; ++round) {
        record("the servers reject %.0f in 100 requests", rejectedShare * 100);
        rejecting = true;
        sleepMs(copyingFromMs);
        record("server 1 sends late copies of %.0f in 100 rejections%s", copiedShare * 100, run.trouble() ? "" : ": left out");
        copying = true;
        sleepMs(copyingMs);
        copying = false;
        sleepMs(rejectingMs - copyingFromMs - copyingMs);
        rejecting = false;
        sleepMs(roundMs - rejectingMs);
    }
    for (auto& each : threads)
        each.join();
    sleepMs(500);
    bool nodeEnded = false;
    for (auto& each : nodes) {
        nodeEnded = nodeEnded || each->ended();
        each->end();
    }

    int twice = 0;
    int refusedButRun = 0;
    int served = 0;
    for (const auto& [id, runs] : log.runs) {
        const int status = log.statuses.contains(id) ? log.statuses[id] : -1;
        if (runs > 1) {
            ++twice;
            record("TWICE: %s ran %d times, its client was answered %d", id.c_str(), runs, status);
        }
        if (status == 429 || status == 503) {
            ++refusedButRun;
            record("REFUSED: %s ran %d times, its client was answered %d", id.c_str(), runs, status);
        }
    }
    for (const auto& [id, status] : log.statuses)
        served += status == 200 ? 1 : 0;
    std::ostringstream summary;
    summary << log.statuses.size() << " orders, " << served << " served, " << log.rejections << " rejections, " << log.copies
            << " late copies; ran more than once: " << twice << "; answered 429 or 503 though run: " << refusedButRun;
    if (nodeEnded)
        run.finish(exitNotRun, "the node ended; " + summary.str());
    if (served < 100)
        run.finish(exitNotRun, "too few requests were served; " + summary.str());
    run.finish(twice > 0 || refusedButRun > 0 ? exitBroken : exitHeld, summary.str());
}
