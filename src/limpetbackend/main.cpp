#include "server.h"
#include <glib-unix.h>
#include <iostream>

using namespace limpet;

namespace {

/// A draining process keeps refusing for this time, so that requests on their way get an answer instead of a closed
/// connection.
constexpr duration drainGrace = std::chrono::seconds(1);

/// The servers of this process and the loop that runs them.
struct backend_process {
    gmain_loop_ptr loop { g_main_loop_new(nullptr, FALSE) };
    std::vector<std::unique_ptr<backend_server>> servers;
    std::optional<duration> stopAt; ///< earliest time to quit
    source_handle stopTimer;

    /// Drains, and quits when no request is left.
    void stop()
    {
        const auto now = monotonicNow();
        if (!stopAt)
            stopAt = now + drainGrace;
        bool idle = now >= *stopAt;
        for (const auto& server : servers) {
            server->drain();
            idle = idle && server->idle();
        }
        if (idle)
            return g_main_loop_quit(loop.get());
        stopTimer = callAt(now + std::chrono::milliseconds(20), [this] { stop(); });
    }
};

gboolean onSignal(gpointer data)
{
    static_cast<backend_process*>(data)->stop();
    return G_SOURCE_CONTINUE;
}

int run(const backend_options& options)
{
    const auto record = recorder::open(options.recordFile);
    if (!record) {
        std::cerr << "limpetbackend: " << record.error().message << '\n';
        return 1;
    }
    backend_process process;
    for (std::size_t index = 0; index < options.servers.size(); ++index) {
        auto server = std::make_unique<backend_server>(options, options.servers[index], **record, options.seed + index);
        const auto listening = server->listen();
        if (!listening) {
            std::cerr << "limpetbackend: " << listening.error().message << '\n';
            return 1;
        }
        process.servers.push_back(std::move(server));
    }
    g_unix_signal_add(SIGTERM, onSignal, &process);
    g_unix_signal_add(SIGINT, onSignal, &process);
    const auto bound = callAt(monotonicNow() + options.runTime, [&process] { g_main_loop_quit(process.loop.get()); });
    std::cout << "limpetbackend: listening" << std::endl;
    g_main_loop_run(process.loop.get());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parseOptions({ argv + 1, argv + argc });
    if (!options) {
        std::cerr << "limpetbackend: " << options.error().message << '\n';
        return 2;
    }
    return run(*options);
}
