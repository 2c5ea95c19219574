#include "headers.h"
#include <algorithm>
#include <array>
#include <strings.h>

namespace limpet {
namespace {

    // Hop-by-hop headers (RFC 9110, section 7.6.1), the key, and what each side states itself.
    constexpr std::array<const char*, 14> droppedHeaders { "Authorization", "Connection", "Content-Length", "Date",
        "Expect", "Host", "Idempotency-Key", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade" };
    constexpr std::string_view ownPrefix = "Limpet-";

    bool isDropped(const char* name)
    {
        if (strncasecmp(name, ownPrefix.data(), ownPrefix.size()) == 0)
            return true;
        return std::any_of(droppedHeaders.begin(), droppedHeaders.end(),
            [name](const char* dropped) { return strcasecmp(name, dropped) == 0; });
    }

} // namespace

std::vector<header> endToEndHeaders(SoupMessageHeaders* headers)
{
    std::vector<header> kept;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value)) {
        // The backend server's own statement about a run is read by its node.
        const bool statesRun = strcasecmp(name, "Limpet-Run") == 0;
        if (statesRun || !isDropped(name))
            kept.push_back({ name, value });
    }
    return kept;
}

} // namespace limpet
