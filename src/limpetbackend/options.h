#pragma once

#include <limpetcroft/rules.h>

namespace limpet {

enum class service_distribution : std::uint8_t { fixed, exponential, lognormal };

/// How the health and load pages and the announcements mislead.
enum class lie_kind : std::uint8_t {
    none,
    idle, ///< always healthy, without load, and with ten times the slots
    stale, ///< the state of ten seconds ago
};

/// A call that each run makes.
struct backend_call {
    std::string service; ///< only runs of this service make it; empty: all
    std::string method;
    std::string path;
};

/// One backend server. A process may hold several.
struct server_options {
    socket_address listen;
    std::optional<socket_address> node; ///< where it announces itself and makes its calls
    std::string service;
    std::size_t slots = 1;
};

struct backend_options {
    std::vector<server_options> servers;
    duration serviceTime { 0 }; ///< mean
    service_distribution distribution = service_distribution::fixed;
    std::size_t queueBound = 0;
    duration coldStart { 0 };
    lie_kind lie = lie_kind::none;
    std::vector<backend_call> calls;
    std::size_t answerBytes = 0;
    std::string recordFile; ///< empty: none
    std::uint64_t seed = 0;
    duration runTime { 0 };
};

/// Parses the arguments of the command line. Prints usage and exits when they do not match it.
result<backend_options> parseOptions(const std::vector<std::string>& arguments);

} // namespace limpet
