#pragma once

// Reads one HTTP message in parts of any size and checks that the splits make no difference.

#include "harness.h"
#include "http_reader.h"
#include <algorithm>

namespace limpet::fuzz {

constexpr std::size_t maxHeaderBytes = 4096;
constexpr std::size_t maxBodyBytes = 1000;

/// Reads the first message of the bytes, up to the end of the stream.
inline std::unique_ptr<proxy::http_reader> readFirstMessage(
    http_parser_type type, std::string_view bytes, std::size_t partBytes, bool expectBody)
{
    auto reader = std::make_unique<proxy::http_reader>(type, maxHeaderBytes, maxBodyBytes);
    reader->restart(expectBody);
    while (!bytes.empty() && reader->state() == proxy::reader_state::reading) {
        const auto part = bytes.substr(0, partBytes);
        const auto used = reader->feed(part);
        require(used <= part.size(), "no more is consumed than given");
        require(used == part.size() || reader->state() != proxy::reader_state::reading, "reading goes on");
        bytes.remove_prefix(used);
    }
    if (reader->state() == proxy::reader_state::reading)
        reader->feedEof();
    require(reader->state() != proxy::reader_state::reading, "the end of the stream ends the message");
    require(reader->body().size() <= maxBodyBytes, "the body is bounded");
    require(expectBody || reader->body().empty(), "a response to HEAD has no body");
    return reader;
}

inline bool sameHeaders(const std::vector<header>& left, const std::vector<header>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](const header& one, const header& other) { return one.name == other.name && one.value == other.value; });
}

/// A message is complete in one part if and only if it is in parts of that size, and then it is the same.
inline void requireSameInParts(
    http_parser_type type, std::string_view bytes, std::size_t partBytes, bool expectBody = true)
{
    const auto whole = readFirstMessage(type, bytes, std::max<std::size_t>(bytes.size(), 1), expectBody);
    const auto split = readFirstMessage(type, bytes, partBytes, expectBody);
    const auto complete = proxy::reader_state::complete;
    require((whole->state() == complete) == (split->state() == complete), "splits do not decide on the message");
    if (whole->state() != complete)
        return;
    require(whole->body() == split->body(), "splits do not change the body");
    require(sameHeaders(whole->headers(), split->headers()), "splits do not change the headers");
    require(whole->endIsDoubtful() == split->endIsDoubtful(), "splits do not change the trailers");
}

} // namespace limpet::fuzz
