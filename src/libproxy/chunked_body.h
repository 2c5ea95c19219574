#pragma once

// Decoder of the chunked transfer coding (RFC 9112, section 7.1).

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace limpet::proxy {

enum class chunked_state : std::uint8_t {
    reading,
    complete, ///< bytes after the body were not consumed
    trailersTooLong,
    malformed,
    stopped, ///< the receiver of the data wants no more
};

/// Decodes one body from bytes in parts of any size. Where the body ends is taken from nothing but the framing, so each
/// byte of it is checked: chunk extensions and trailers are read over, but data must fill its chunk exactly and every
/// line must end with CR LF.
class chunked_body {
public:
    /// Takes the next bytes of the body; returns whether it wants more.
    using receiver = std::function<bool(std::string_view)>;

    /// maxTrailerBytes: of all trailer lines together, without their ends.
    explicit chunked_body(std::size_t maxTrailerBytes)
        : m_maxTrailerBytes(maxTrailerBytes)
    {
    }
    /// Consumes bytes up to the end of the body and returns their number.
    std::size_t feed(std::string_view bytes, const receiver& receive);
    chunked_state state() const { return m_state; }
    bool hasTrailers() const { return m_trailerBytes > 0; }
    /// What is wrong if the state is malformed.
    std::string_view violation() const { return m_violation; }

private:
    enum class part : std::uint8_t { sizeLine, data, dataEnd, trailerLine };

    std::size_t feedLine(std::string_view bytes);
    std::size_t feedData(std::string_view bytes, const receiver& receive);
    std::size_t feedDataEnd(std::string_view bytes);
    void handleLine(std::string_view line);
    void handleSizeLine(std::string_view line);
    void handleTrailerLine(std::string_view line);
    void rejectLongLine();
    void reject(std::string_view violation);

    chunked_state m_state = chunked_state::reading;
    part m_part = part::sizeLine;
    std::uint64_t m_dataLeft = 0; ///< bytes of the current chunk
    std::size_t m_dataEndBytes = 0; ///< taken of the line end after the data
    std::string m_line; ///< begin of the current line
    std::size_t m_maxTrailerBytes;
    std::size_t m_trailerBytes = 0;
    std::string_view m_violation;
};

} // namespace limpet::proxy
