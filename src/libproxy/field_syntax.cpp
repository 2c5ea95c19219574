#include "field_syntax.h"
#include <algorithm>
#include <strings.h>

namespace limpet::proxy {
namespace {

    constexpr std::string_view whitespace = " \t";
    constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";

    bool isTokenCharacter(char character)
    {
        const bool digit = character >= '0' && character <= '9';
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return digit || letter || tokenPunctuation.find(character) != std::string_view::npos;
    }

    bool isControlCharacter(char character)
    {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char del = 0x7f;
        const auto code = static_cast<unsigned char>(character);
        return code < firstPrintable || code == del;
    }

} // namespace

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool hasNoControlCharacters(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char each) { return each != '\t' && isControlCharacter(each); });
}

std::string_view trimWhitespace(std::string_view text)
{
    const auto start = text.find_first_not_of(whitespace);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(whitespace) - start + 1);
}

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace limpet::proxy
