#include "chunked_body.h"
#include "field_syntax.h"
#include <algorithm>
#include <charconv>

namespace limpet::proxy {
namespace {

    // A size, its extensions and the line end.
    constexpr std::size_t maxSizeLineBytes = 4096;
    constexpr int hexadecimal = 16;

} // namespace

std::size_t chunked_body::feed(std::string_view bytes, const receiver& receive)
{
    std::size_t used = 0;
    while (used < bytes.size() && m_state == chunked_state::reading) {
        const auto rest = bytes.substr(used);
        used += m_part == part::data  ? feedData(rest, receive)
            : m_part == part::dataEnd ? feedDataEnd(rest)
                                      : feedLine(rest);
    }
    return used;
}

std::size_t chunked_body::feedData(std::string_view bytes, const receiver& receive)
{
    const auto data = bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), m_dataLeft)));
    m_dataLeft -= data.size();
    if (m_dataLeft == 0)
        m_part = part::dataEnd;
    if (!receive(data))
        m_state = chunked_state::stopped;
    return data.size();
}

std::size_t chunked_body::feedDataEnd(std::string_view bytes)
{
    if (bytes.front() != lineEnd.at(m_dataEndBytes)) {
        reject("the data does not fill its chunk exactly");
        return 0;
    }
    if (++m_dataEndBytes < lineEnd.size())
        return 1;
    m_dataEndBytes = 0;
    m_part = part::sizeLine;
    return 1;
}

std::size_t chunked_body::feedLine(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    const auto segment = bytes.substr(0, lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1);
    const auto maxBytes
        = m_part == part::sizeLine ? maxSizeLineBytes : m_maxTrailerBytes - m_trailerBytes + lineEnd.size();
    if (m_line.size() + segment.size() > maxBytes) {
        rejectLongLine();
        return segment.size();
    }
    m_line += segment;
    if (lineFeed == std::string_view::npos)
        return segment.size();
    const auto line = std::move(m_line);
    m_line.clear();
    if (line.ends_with(lineEnd))
        handleLine(std::string_view(line).substr(0, line.size() - lineEnd.size()));
    else
        reject("a line of the chunked body does not end with CR LF");
    return segment.size();
}

void chunked_body::rejectLongLine()
{
    if (m_part == part::trailerLine)
        m_state = chunked_state::trailersTooLong;
    else
        reject("the line before a chunk is too long");
}

/// line: without its end.
void chunked_body::handleLine(std::string_view line)
{
    if (m_part == part::sizeLine)
        handleSizeLine(line);
    else
        handleTrailerLine(line);
}

/// A size may be followed by spaces, with which some servers pad it, and by extensions.
void chunked_body::handleSizeLine(std::string_view line)
{
    std::uint64_t size = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), size, hexadecimal);
    const auto extensions = trimWhitespace(line.substr(static_cast<std::size_t>(parsed.ptr - line.data())));
    if (parsed.ec != std::errc()) {
        reject("the size of a chunk is no hexadecimal number");
        return;
    }
    if ((!extensions.empty() && extensions.front() != ';') || !hasNoControlCharacters(extensions)) {
        reject("the size of a chunk is followed by something else than extensions");
        return;
    }
    m_dataLeft = size;
    m_part = size == 0 ? part::trailerLine : part::data;
}

void chunked_body::handleTrailerLine(std::string_view line)
{
    if (line.empty()) {
        m_state = chunked_state::complete;
        return;
    }
    m_trailerBytes += line.size();
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || !hasNoControlCharacters(line))
        reject("a trailer is no field");
}

void chunked_body::reject(std::string_view violation)
{
    m_state = chunked_state::malformed;
    m_violation = violation;
}

} // namespace limpet::proxy
