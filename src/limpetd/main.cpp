#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <fstream>
#include <glib-unix.h>
#include <glog/logging.h>
#include <iostream>
#include <limpetcroft/net.h>
#include <sodium.h>
#include <sstream>

namespace {

constexpr const char* usage = R"(limpetd: overload control beside one backend server.

Usage:
  limpetd --settings FILE [--check] [--verbose]
  limpetd --help
  limpetd --version

Options:
  --settings FILE  Settings, JSON with comments.
  --check          Check the settings and exit.
  --verbose        Log closed links too.
)";

constexpr int exitInvalidSettings = 1;
constexpr int exitCannotStart = 3;

int runDaemon(const limpet::node_settings& settings)
{
    limpet::node_daemon daemon(settings);
    const auto started = daemon.start();
    if (!started) {
        LOG(ERROR) << "daemon: Cannot start. reason=\"" << started.error().message << '"';
        return exitCannotStart;
    }
    for (const int signalNumber : { SIGTERM, SIGINT }) {
        GSource* source = g_unix_signal_source_new(signalNumber);
        g_source_set_callback(
            source,
            [](gpointer data) -> gboolean {
                static_cast<limpet::node_daemon*>(data)->stop();
                return G_SOURCE_CONTINUE;
            },
            &daemon, nullptr);
        g_source_attach(source, daemon.context());
        g_source_unref(source);
    }
    daemon.run();
    LOG(INFO) << "daemon: Stopped.";
    return 0;
}

int runProgram(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "limpetd 0.1");
    FLAGS_logtostderr = true;
    FLAGS_v = arguments.at("--verbose").asBool() ? 1 : 0;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0) {
        LOG(ERROR) << "daemon: Cannot start. reason=\"libsodium failed to initialize\"";
        return exitCannotStart;
    }
    const auto file = arguments.at("--settings").asString();
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream) {
        std::cerr << file << ": cannot be read; check the path and its permissions\n";
        return exitInvalidSettings;
    }
    const auto settings = limpet::parseSettings(text.str(), file);
    if (!settings) {
        for (const auto& problem : settings.error())
            std::cerr << limpet::toString(problem) << '\n';
        return exitInvalidSettings;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << file << ": settings are valid\n";
        return 0;
    }
    return runDaemon(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "limpetd: %s; report it with the settings\n", problem.what());
        return exitCannotStart;
    }
}
