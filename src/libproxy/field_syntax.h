#pragma once

// Syntax of HTTP fields (RFC 9110, section 5).

#include <string_view>

namespace limpet::proxy {

/// End of each line of a message's framing.
constexpr std::string_view lineEnd = "\r\n";

/// Whether the text is a token, as the name of a field must be.
bool isToken(std::string_view text);
/// Whether the text has no control characters but tabs.
bool hasNoControlCharacters(std::string_view text);
/// Returns the text without the spaces and tabs around it.
std::string_view trimWhitespace(std::string_view text);
bool equalsIgnoreCase(std::string_view left, std::string_view right);

} // namespace limpet::proxy
