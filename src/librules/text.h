#pragma once

#include <initializer_list>
#include <limpetcroft/core.h>
#include <vector>

namespace limpet {

/// Returns the text in double quotes, shortened and with control characters and invalid UTF-8 replaced.
std::string inQuotes(std::string_view text);

/// Whether the bytes are valid UTF-8 without control characters.
bool isPrintableText(std::string_view text);

/// Whether it is a name of a team, service, node, region or key: letters, digits, '.', '_' and '-', first a letter or
/// digit, at most maxNameBytes.
bool isName(std::string_view text);

/// Returns the nearest of the known words by edit distance, without regard to case, or an empty view if none is near.
std::string_view nearestWord(std::string_view word, const std::vector<std::string_view>& known);

/// Returns "did you mean X?" for a near word, else "use one of A, B, C".
std::string suggestion(std::string_view word, const std::vector<std::string_view>& known);

/// Parses a whole text as a finite decimal number.
std::optional<double> parseNumber(std::string_view text);
/// Prints a number so that parseNumber returns the same value.
std::string printNumber(double value);

} // namespace limpet
