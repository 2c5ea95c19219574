#include <charconv>
#include <csignal>
#include <docopt/docopt.h>
#include <glib-unix.h>
#include <iostream>
#include <limpetcroft/store.h>

namespace {

constexpr auto usage = R"(limpetstore: stand-in for the platform's key-value store, for tests.

Serves the etcd v3 JSON gateway protocol from memory. POST /admin/fault takes a JSON object of faults (down, delay_ms,
lose_requests, lose_replies, drop_watches, hold_watches, compact, clock_jump_ms); GET /admin/counters shows the calls.

Usage:
  limpetstore [--listen=ADDRESS]
  limpetstore --help

Options:
  --listen=ADDRESS  Numeric IP address and port; port 0 takes a free one [default: 127.0.0.1:2379].
  --help            Show this text.
)";

limpet::result<limpet::socket_address> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    limpet::socket_address address;
    if (colon == std::string::npos) {
        return limpet::fail(limpet::error_kind::invalidArgument, "address \"" + text + "\" has no port; write IP:PORT");
    }
    address.ip = text.substr(0, colon);
    const char* const end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (failure != std::errc() || last != end) {
        return limpet::fail(limpet::error_kind::invalidArgument, "address \"" + text + "\" has no port; write IP:PORT");
    }
    return address;
}

gboolean onSignal(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_REMOVE;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto address = parseAddress(options.at("--listen").asString());
    if (!address) {
        std::cerr << "limpetstore: " << address.error().message << '\n';
        return 2;
    }
    const auto server = limpet::store_server::listen(*address);
    if (!server) {
        std::cerr << "limpetstore: " << server.error().message << '\n';
        return 1;
    }
    const limpet::socket_address bound = (*server)->address();
    std::cout << "limpetstore: listening on " << bound.ip << ':' << bound.port << std::endl;
    GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, onSignal, loop);
    g_unix_signal_add(SIGINT, onSignal, loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}
