// Requests of clients, in parts of any size.

#include "split_message.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace limpet::proxy;
    using limpet::fuzz::maxBodyBytes;
    using limpet::fuzz::maxHeaderBytes;
    if (size == 0)
        return 0;
    const std::size_t partBytes = 1 + data[0];
    std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    limpet::fuzz::requireSameInParts(HTTP_REQUEST, rest, partBytes);
    body_budget budget(2 * maxBodyBytes);
    http_reader reader(HTTP_REQUEST, maxHeaderBytes, maxBodyBytes);
    reader.setBudget(&budget);
    unsigned messages = 0;
    while (!rest.empty()) {
        const auto part = rest.substr(0, partBytes);
        const auto used = reader.feed(part);
        limpet::fuzz::require(used <= part.size(), "no more is consumed than given");
        limpet::fuzz::require(reader.body().size() <= maxBodyBytes, "the body is bounded");
        limpet::fuzz::require(budget.used() <= 2 * maxBodyBytes, "the budget holds");
        if (reader.state() == reader_state::complete) {
            limpet::fuzz::require(reader.headersComplete(), "a complete message has a head");
            reader.restart();
            ++messages;
        } else if (reader.state() != reader_state::reading)
            break;
        limpet::fuzz::require(used > 0 || messages > 0, "reading goes on");
        rest.remove_prefix(used);
        if (used == 0)
            break;
    }
    return 0;
}
