#include "http_reader.h"
#include "field_syntax.h"
#include <algorithm>

namespace limpet::proxy {
namespace {

    // Result of on_headers_complete by which the parser expects no body.
    constexpr int skipBody = 1;

    // Counts as a part of the header, as the line end does.
    constexpr std::string_view nameSeparator = ": ";

    void trim(std::string& text)
    {
        const auto trimmed = trimWhitespace(text);
        if (trimmed.size() != text.size())
            text = std::string(trimmed);
    }

    /// Appends the elements of a field that is a list. Empty elements do not count (RFC 9110, section 5.6.1).
    void appendElements(std::vector<std::string_view>& elements, std::string_view list)
    {
        while (!list.empty()) {
            const auto comma = list.find(',');
            const auto element = trimWhitespace(list.substr(0, comma));
            if (!element.empty())
                elements.push_back(element);
            list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
        }
    }

    std::vector<std::string_view> transferCodings(const std::vector<header>& headers)
    {
        std::vector<std::string_view> codings;
        for (const auto& each : headers) {
            if (equalsIgnoreCase(each.name, "Transfer-Encoding"))
                appendElements(codings, each.value);
        }
        return codings;
    }

} // namespace

const std::string* findHeader(const std::vector<header>& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [&](const header& each) { return equalsIgnoreCase(each.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

http_reader::http_reader(http_parser_type type, std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : m_type(type)
    , m_headLines(type)
    , m_maxHeaderBytes(maxHeaderBytes)
    , m_maxBodyBytes(maxBodyBytes)
{
    restart();
}

void http_reader::setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
{
    m_maxHeaderBytes = maxHeaderBytes;
    m_maxBodyBytes = maxBodyBytes;
}

void http_reader::restart(bool expectBody)
{
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    m_headLines = head_lines(m_type);
    m_chunks.reset();
    m_state = reader_state::reading;
    m_started = false;
    m_headersComplete = false;
    m_keepAlive = false;
    m_expectBody = expectBody;
    m_lastWasValue = true;
    m_violation = {};
    m_headerBytes = 0;
    m_status = 0;
    m_method.clear();
    m_target.clear();
    m_headers.clear();
    m_body = {};
    m_reservation.clear();
}

http_parser_settings http_reader::makeSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        readerOf(parser).m_started = true;
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
        readerOf(parser).m_target.append(at, length);
        return readerOf(parser).countHeaderBytes(length);
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
        return readerOf(parser).onHeaderField({ at, length });
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
        return readerOf(parser).onHeaderValue({ at, length });
    };
    settings.on_headers_complete = [](http_parser* parser) { return readerOf(parser).onHeadersComplete(); };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        return readerOf(parser).onBody({ at, length }) ? 0 : 1;
    };
    settings.on_message_complete = [](http_parser* parser) { return readerOf(parser).onMessageComplete(); };
    return settings;
}

int http_reader::countHeaderBytes(std::size_t bytes)
{
    m_headerBytes += bytes;
    if (m_headerBytes <= m_maxHeaderBytes)
        return 0;
    m_state = reader_state::headersTooLarge;
    return 1;
}

bool http_reader::reserve(std::size_t bodyBytes)
{
    while (!m_reservation.growTo(bodyBytes)) {
        if (!m_reclaim || !m_reclaim(bodyBytes))
            return false;
    }
    return true;
}

void http_reader::discardBody()
{
    m_state = reader_state::overBudget;
    m_body = {};
    m_reservation.clear();
}

bool http_reader::reject(std::string_view violation)
{
    m_state = reader_state::malformed;
    m_violation = violation;
    return false;
}

int http_reader::onHeaderField(std::string_view part)
{
    const bool begins = std::exchange(m_lastWasValue, false);
    if (begins)
        m_headers.emplace_back();
    m_headers.back().name += part;
    return countHeaderBytes(part.size() + (begins ? nameSeparator.size() : 0));
}

int http_reader::onHeaderValue(std::string_view part)
{
    const bool begins = !std::exchange(m_lastWasValue, true);
    m_headers.back().value += part;
    return countHeaderBytes(part.size() + (begins ? lineEnd.size() : 0));
}

/// Status codes are integers from 100 to 599 (RFC 9110, section 15). 101 answers an upgrade, which is never requested.
bool http_reader::statusLineIsValid() const
{
    constexpr unsigned minStatus = 100;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned maxStatus = 599;
    const unsigned status = m_parser.status_code;
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

/// Brings the fields into the form in which they are passed on (RFC 9112, section 5.1): no spaces around values nor
/// after the names of a response, while a request with such a name is rejected. Returns false if a field is malformed.
bool http_reader::checkFields()
{
    for (auto& each : m_headers) {
        if (m_type == HTTP_RESPONSE)
            trim(each.name);
        trim(each.value);
        if (!isToken(each.name))
            return reject("the name of a header is no token");
    }
    return true;
}

/// Determines how the body is framed (RFC 9112, sections 6.1 to 6.3). Returns false if that is not certain.
bool http_reader::checkFraming()
{
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (!hasLength && findHeader(m_headers, "Content-Length"))
        return reject("the Content-Length has no value");
    if (!findHeader(m_headers, "Transfer-Encoding"))
        return true;
    const auto codings = transferCodings(m_headers);
    if (codings.size() != 1 || !equalsIgnoreCase(codings.front(), "chunked"))
        return reject("the body has another transfer coding than chunked");
    if (hasLength || m_parser.http_minor == 0)
        return reject("the length of a chunked body is told twice, or its HTTP version has no chunks");
    if (hasBody())
        m_chunks.emplace(m_maxHeaderBytes - m_headerBytes);
    return true;
}

/// Whether a body may follow the head. No interim response and none with status 204 or 304 has one, whatever length
/// its head tells (RFC 9112, section 6.3).
bool http_reader::hasBody() const
{
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    const unsigned status = m_parser.status_code;
    const bool bodiless = status < firstFinalStatus || status == noContent || status == notModified;
    return m_expectBody && (m_type == HTTP_REQUEST || !bodiless);
}

int http_reader::onHeadersComplete()
{
    constexpr int malformed = -1;
    m_headersComplete = true;
    m_status = static_cast<int>(m_parser.status_code);
    if (m_parser.http_major != 1 || (m_type == HTTP_RESPONSE && !statusLineIsValid())) {
        reject("the HTTP version or the status is invalid");
        return malformed;
    }
    if (m_type == HTTP_REQUEST)
        m_method = http_method_str(static_cast<http_method>(m_parser.method));
    if (!checkFields() || !checkFraming())
        return malformed;
    const bool lengthKnown = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (lengthKnown && hasBody() && m_parser.content_length > m_maxBodyBytes) {
        m_state = reader_state::bodyTooLarge;
        return malformed;
    }
    if (lengthKnown && hasBody() && !reserve(m_parser.content_length)) {
        m_state = reader_state::overBudget;
        return malformed;
    }
    return hasBody() && !m_chunks ? 0 : skipBody;
}

/// For the parser library, a chunked message is complete after its head.
int http_reader::onMessageComplete()
{
    // Determined here because it is no longer known after the end of the stream.
    m_keepAlive = http_should_keep_alive(&m_parser) != 0;
    if (!m_chunks)
        m_state = reader_state::complete;
    http_parser_pause(&m_parser, 1);
    return 0;
}

/// Returns false if the body may not become that long.
bool http_reader::onBody(std::string_view part)
{
    if (m_body.size() + part.size() > m_maxBodyBytes) {
        m_state = reader_state::bodyTooLarge;
        return false;
    }
    if (!reserve(m_body.size() + part.size())) {
        m_state = reader_state::overBudget;
        return false;
    }
    m_body += part;
    return true;
}

std::size_t http_reader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && m_state == reader_state::reading) {
        const auto rest = bytes.substr(used);
        used += !m_headersComplete ? feedHead(rest) : m_chunks ? feedChunks(rest) : feedParser(rest);
    }
    return used;
}

/// Consumes bytes up to the end of a line.
std::size_t http_reader::feedHead(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    const auto line = bytes.substr(0, lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1);
    if (!m_headLines.take(line)) {
        reject("a line of the head is malformed");
        return line.size();
    }
    const auto used = feedParser(line);
    if (m_state == reader_state::reading && m_headLines.complete() != m_headersComplete)
        reject("the head does not end with an empty line");
    return used;
}

std::size_t http_reader::feedParser(std::string_view bytes)
{
    static const auto settings = makeSettings();
    const auto used = http_parser_execute(&m_parser, &settings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&m_parser);
    // Protocol upgrades and CONNECT are not supported; such a message is treated as malformed.
    const bool acceptedByParser = code == HPE_OK || code == HPE_PAUSED;
    if (code == HPE_HEADER_OVERFLOW)
        m_state = reader_state::headersTooLarge;
    else if (m_parser.upgrade != 0)
        reject("upgrades are not supported");
    else if (!acceptedByParser && m_state == reader_state::reading)
        reject(http_errno_description(code));
    return used;
}

std::size_t http_reader::feedChunks(std::string_view bytes)
{
    const auto used = m_chunks->feed(bytes, [this](std::string_view part) { return onBody(part); });
    if (m_chunks->state() == chunked_state::complete)
        m_state = reader_state::complete;
    else if (m_chunks->state() == chunked_state::trailersTooLong)
        m_state = reader_state::headersTooLarge;
    else if (m_chunks->state() == chunked_state::malformed)
        reject(m_chunks->violation());
    return used;
}

bool http_reader::endIsDoubtful() const
{
    return m_chunks && m_chunks->hasTrailers() && !findHeader(m_headers, "Trailer");
}

void http_reader::feedEof()
{
    if (m_state == reader_state::reading && m_headersComplete && !m_chunks)
        feedParser({});
    if (m_state == reader_state::reading)
        reject("the message is cut");
}

void appendHeaders(std::string& out, const std::vector<header>& headers, std::size_t contentLength)
{
    for (const auto& each : headers) {
        out += each.name;
        out += ": ";
        out += each.value;
        out += "\r\n";
    }
    out += "Content-Length: ";
    out += std::to_string(contentLength);
    out += "\r\n\r\n";
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define LIMPET_REASON(CODE, NAME, TEXT)                                                                                \
    case CODE:                                                                                                         \
        return #TEXT;
        HTTP_STATUS_MAP(LIMPET_REASON)
#undef LIMPET_REASON
    default:
        return "Unknown";
    }
}

} // namespace limpet::proxy
