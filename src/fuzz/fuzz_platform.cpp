// Heartbeats and configuration documents.

#include "harness.h"
#include "platform.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace limpet;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto notice = platform::parseNotice({ "PUT", "/api/instances/i-1", {}, makeBytes(text) });
    if (notice) {
        const auto& heartbeat = std::get<mesh::backend_heartbeat>(*notice);
        fuzz::require(heartbeat.slots >= 1 && heartbeat.slots <= 100'000, "slots are in range");
        fuzz::require(heartbeat.coldRemaining >= duration(0), "the cold start does not end before now");
    }
    auto configuration = platform::parseConfiguration(text);
    if (!configuration)
        return 0;
    for (const auto& route : configuration->routes) {
        fuzz::require(route.timeout >= duration(0) && route.timeout <= std::chrono::hours(24), "a timeout is in range");
        fuzz::require(route.maxAttempts >= 1, "a request may be sent once");
    }
    const mesh::configuration_index index(std::move(*configuration));
    index.findRoute("shop.example", "/stock/1");
    index.findService("stock");
    return 0;
}
