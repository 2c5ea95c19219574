#include "head_lines.h"
#include "field_syntax.h"
#include <algorithm>
#include <utility>

namespace limpet::proxy {
namespace {

    constexpr std::string_view versionExample = "HTTP/1.1";
    constexpr std::size_t statusDigits = 3;
    // A status line up to the character after the status code.
    constexpr std::size_t statusLineBytes = versionExample.size() + 1 + statusDigits + 1;

    bool isDigit(char character) { return character >= '0' && character <= '9'; }

} // namespace

bool head_lines::take(std::string_view part)
{
    for (const char each : part) {
        const bool carriageReturnBefore = std::exchange(m_last, each) == '\r';
        if (each == '\n') {
            if (!endLine())
                return false;
            continue;
        }
        if (carriageReturnBefore && (m_lines > 0 || m_lineBytes > 0))
            return false;
        if (each == '\r')
            continue;
        if (m_lineBytes++ == 0 && !mayBeginLine(each))
            return false;
        const bool inRequestLine = m_type == HTTP_REQUEST && m_lines == 0;
        if (!hasNoControlCharacters({ &each, 1 }) || (each == '\t' && inRequestLine))
            return false;
        if (m_lines == 0 && m_type == HTTP_RESPONSE && m_statusLine.size() < statusLineBytes)
            m_statusLine += each;
    }
    return true;
}

/// A space or a tab continues the field of the line before it (RFC 9112, section 5.2); before the first field there is
/// none.
bool head_lines::mayBeginLine(char first) const
{
    const bool continues = first == ' ' || first == '\t';
    return !continues || m_lines > 1;
}

bool head_lines::endLine()
{
    const bool empty = std::exchange(m_lineBytes, 0) == 0;
    if (empty) {
        m_complete = m_lines > 0;
        return true;
    }
    ++m_lines;
    return m_lines > 1 || m_type == HTTP_REQUEST || statusLineIsWellFormed();
}

/// Whether the code has three digits after one space. The reason phrase and the space before it are often left out.
bool head_lines::statusLineIsWellFormed() const
{
    const auto line = std::string_view(m_statusLine);
    const auto codeStart = versionExample.size() + 1;
    if (line.size() < codeStart + statusDigits || line[versionExample.size()] != ' ')
        return false;
    const auto code = line.substr(codeStart, statusDigits);
    return std::all_of(code.begin(), code.end(), isDigit) && (line.size() < statusLineBytes || line.back() == ' ');
}

} // namespace limpet::proxy
