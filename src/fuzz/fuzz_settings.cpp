// Settings files.

#include "harness.h"
#include <limpetcroft/proxy.h>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace limpet;
    const auto settings = proxy::parseDaemonSettings({ reinterpret_cast<const char*>(data), size });
    if (!settings)
        return 0;
    fuzz::require(settings->maxDescriptors >= 64, "descriptors are in range");
    fuzz::require(settings->memoryMb >= 16, "memory is in range");
    fuzz::require(settings->clientAddress.port > 0, "an address has a port");
    fuzz::require(settings->retryWindow >= std::chrono::seconds(1), "the window of the retry bound is not empty");
    return 0;
}
