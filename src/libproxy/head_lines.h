#pragma once

// Checks of the lines of a message's head that the parser library leaves out.

#include <http_parser.h>
#include <string>
#include <string_view>

namespace limpet::proxy {

/// Follows the lines of one message's head, from its first line to the empty one. The parser library, which Debian
/// builds without its strict mode, takes whatever stands in the place of a line feed for one, reads status codes of any
/// length and lets control characters into targets and values.
class head_lines {
public:
    explicit head_lines(http_parser_type type)
        : m_type(type)
    {
    }
    /// Takes the next bytes of the head: up to the end of a line, or a part of one. Returns false if they are no head.
    bool take(std::string_view part);
    /// Whether the empty line has been taken.
    bool complete() const { return m_complete; }

private:
    bool mayBeginLine(char first) const;
    bool endLine();
    bool statusLineIsWellFormed() const;

    http_parser_type m_type;
    std::size_t m_lines = 0; ///< that have ended, after empty ones at the start
    std::size_t m_lineBytes = 0; ///< of the current line, without its end
    char m_last = '\0';
    bool m_complete = false;
    std::string m_statusLine; ///< its begin
};

} // namespace limpet::proxy
