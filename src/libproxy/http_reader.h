#pragma once

// Incremental reader of HTTP/1.1 messages.

#include "body_budget.h"
#include "chunked_body.h"
#include "head_lines.h"
#include <http_parser.h>
#include <limpetcroft/proxy.h>

namespace limpet::proxy {

enum class reader_state : std::uint8_t {
    reading,
    complete, ///< bytes after the message were not consumed
    headersTooLarge,
    bodyTooLarge,
    overBudget, ///< the process holds too many bytes of bodies; the body has not been read
    malformed,
};

/// Reads HTTP messages from a byte stream, one at a time; restart() prepares for the next one. The parser library reads
/// the head and bodies whose length the head tells; what it takes although RFC 9112 forbids it is rejected here.
class http_reader {
public:
    http_reader(http_parser_type type, std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    /// The bytes of bodies are taken from the budget, those of a body of known length before it is read, until
    /// restart().
    /// reclaim: called when the budget lacks bytes for a body of that many bytes; returns whether it has freed some.
    void setBudget(body_budget* budget, std::function<bool(std::size_t bodyBytes)> reclaim = {})
    {
        m_reservation = body_reservation(budget);
        m_reclaim = std::move(reclaim);
    }
    /// Bytes taken from the budget for the body.
    std::size_t reservedBytes() const { return m_reservation.bytes(); }
    /// Makes the message malformed, for an owner who knows more about it. Returns false.
    bool reject(std::string_view violation);
    /// Drops the body and gives its bytes back. The state is overBudget until restart().
    void discardBody();
    /// Returns the reservation for the body, for an owner that holds the body longer.
    body_reservation takeReservation() { return std::move(m_reservation); }
    /// Prepares for the next message. expectBody is false for responses to HEAD, which have no body.
    void restart(bool expectBody = true);
    /// Consumes bytes up to the end of the message and returns their number.
    std::size_t feed(std::string_view bytes);
    /// Handles the end of the stream, which completes a response that has no length. Any other incomplete message is
    /// malformed.
    void feedEof();
    reader_state state() const { return m_state; }
    /// What is wrong if the state is malformed.
    std::string_view violation() const { return m_violation; }
    /// Whether the complete message ends with trailers that its head does not announce. They are lawful, but if a size
    /// has lost its first digit, a chunk may look like the last one and its data like a trailer.
    bool endIsDoubtful() const;
    /// Returns whether the first byte of a message has arrived.
    bool started() const { return m_started; }
    bool headersComplete() const { return m_headersComplete; }
    bool keepAlive() const { return m_keepAlive; }
    int status() const { return m_status; }
    const std::string& method() const { return m_method; }
    std::string& target() { return m_target; }
    std::vector<header>& headers() { return m_headers; }
    const std::vector<header>& headers() const { return m_headers; }
    std::string& body() { return m_body; }

private:
    static http_parser_settings makeSettings();
    static http_reader& readerOf(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
    int onHeaderField(std::string_view part);
    int onHeaderValue(std::string_view part);
    int onHeadersComplete();
    int onMessageComplete();
    bool statusLineIsValid() const;
    bool checkFields();
    bool checkFraming();
    bool hasBody() const;
    bool onBody(std::string_view part);
    std::size_t feedHead(std::string_view bytes);
    std::size_t feedParser(std::string_view bytes);
    std::size_t feedChunks(std::string_view bytes);
    int countHeaderBytes(std::size_t bytes);
    bool reserve(std::size_t bodyBytes);

    http_parser m_parser {};
    http_parser_type m_type;
    head_lines m_headLines;
    std::optional<chunked_body> m_chunks; ///< of a chunked body
    std::size_t m_maxHeaderBytes;
    std::size_t m_maxBodyBytes;
    reader_state m_state = reader_state::reading;
    bool m_started = false;
    bool m_headersComplete = false;
    bool m_keepAlive = false;
    bool m_expectBody = true;
    bool m_lastWasValue = true; ///< true: the next field name starts a new header
    std::string_view m_violation;
    std::size_t m_headerBytes = 0;
    int m_status = 0;
    std::string m_method;
    std::string m_target;
    std::vector<header> m_headers;
    std::string m_body;
    body_reservation m_reservation;
    std::function<bool(std::size_t)> m_reclaim;
};

/// Appends the headers, a Content-Length header and the empty line that ends the header section.
void appendHeaders(std::string& out, const std::vector<header>& headers, std::size_t contentLength);
std::string_view reasonPhrase(int status);

} // namespace limpet::proxy
