// Responses of backend servers, in parts of any size, up to the end of the stream.

#include "harness.h"
#include "http_reader.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace limpet::proxy;
    constexpr std::size_t maxHeaderBytes = 4096;
    constexpr std::size_t maxBodyBytes = 1000;
    if (size == 0)
        return 0;
    const std::size_t partBytes = 1 + data[0] % 128;
    const bool expectBody = data[0] < 128;
    std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    http_reader reader(HTTP_RESPONSE, maxHeaderBytes, maxBodyBytes);
    reader.restart(expectBody);
    while (!rest.empty() && reader.state() == reader_state::reading) {
        const auto part = rest.substr(0, partBytes);
        const auto used = reader.feed(part);
        limpet::fuzz::require(used <= part.size(), "no more is consumed than given");
        rest.remove_prefix(std::min(std::max<std::size_t>(used, 1), rest.size()));
    }
    if (reader.state() == reader_state::reading)
        reader.feedEof();
    limpet::fuzz::require(reader.state() != reader_state::reading, "the end of the stream ends the message");
    limpet::fuzz::require(expectBody || reader.body().empty(), "a response to HEAD has no body");
    limpet::fuzz::require(reader.body().size() <= maxBodyBytes, "the body is bounded");
    return 0;
}
