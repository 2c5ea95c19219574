// Responses of backend servers, in parts of any size, up to the end of the stream.

#include "split_message.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t partBytes = 1 + data[0] % 128;
    const bool expectBody = data[0] < 128;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    limpet::fuzz::requireSameInParts(HTTP_RESPONSE, bytes, partBytes, expectBody);
    return 0;
}
