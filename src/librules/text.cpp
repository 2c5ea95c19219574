#include "text.h"
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <limpetcroft/rules.h>
#include <nlohmann/json.hpp>

namespace limpet {
namespace {

    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";

    char lower(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; }

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        for (std::size_t index = 0; index < row.size(); ++index)
            row[index] = index;
        for (std::size_t i = 0; i < left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < right.size(); ++j) {
                const std::size_t changed = diagonal + (lower(left[i]) == lower(right[j]) ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ changed, row[j] + 1, diagonal + 1 });
            }
        }
        return row.back();
    }

    struct time_unit {
        std::string_view name;
        std::int64_t microseconds;
    };
    constexpr std::array<time_unit, 4> timeUnits { {
        { "min", 60'000'000 },
        { "s", 1'000'000 },
        { "ms", 1'000 },
        { "us", 1 },
    } };

} // namespace

std::string inQuotes(std::string_view text)
{
    constexpr std::size_t longest = 60;
    const bool cut = text.size() > longest;
    const nlohmann::json value = std::string(text.substr(0, longest)) + (cut ? "..." : "");
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool isPrintableText(std::string_view text)
{
    const auto isControl = [](char letter) { return static_cast<unsigned char>(letter) < 0x20 || letter == 0x7F; };
    if (std::ranges::any_of(text, isControl))
        return false;
    // The two ways of handling invalid UTF-8 differ only where there is some.
    const nlohmann::json value = std::string(text);
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        == value.dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameBytes || letters.find(text.front()) == std::string_view::npos)
        return false;
    return std::ranges::all_of(text, [](char letter) {
        return letters.find(letter) != std::string_view::npos || letter == '.' || letter == '_' || letter == '-';
    });
}

std::string_view nearestWord(std::string_view word, const std::vector<std::string_view>& known)
{
    if (word.size() > maxNameBytes)
        return {};
    std::string_view best;
    std::size_t bestDistance = std::max<std::size_t>(1, word.size() / 3) + 1;
    for (const auto candidate : known) {
        const bool contained = word.size() >= 4 && candidate.find(word) != std::string_view::npos;
        const auto distance = contained ? 1 : editDistance(word, candidate);
        if (distance < bestDistance && distance < candidate.size()) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

std::string suggestion(std::string_view word, const std::vector<std::string_view>& known)
{
    const auto nearest = nearestWord(word, known);
    if (!nearest.empty())
        return "did you mean " + std::string(nearest) + "?";
    std::string text = "use one of ";
    for (const auto candidate : known)
        text.append(candidate).append(candidate == known.back() ? "" : ", ");
    return text;
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc {} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::string printNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto [end, status] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), status == std::errc {} ? end : buffer.data() };
}

result<duration> parseDuration(std::string_view text)
{
    const auto failure = [&] {
        return fail(error_kind::malformed,
            inQuotes(text) + " is not a time; write a positive whole number with unit us, ms, s or min, such as 800ms");
    };
    std::int64_t count = 0;
    const char* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), last, count);
    if (status != std::errc {} || count <= 0)
        return failure();
    const std::string_view unit(end, static_cast<std::size_t>(last - end));
    for (const auto& candidate : timeUnits) {
        std::int64_t microseconds = 0;
        if (candidate.name == unit && !__builtin_mul_overflow(count, candidate.microseconds, &microseconds))
            return duration(microseconds);
    }
    return failure();
}

std::string printDuration(duration value)
{
    for (const auto& unit : timeUnits) {
        if (value.count() % unit.microseconds == 0)
            return std::to_string(value.count() / unit.microseconds).append(unit.name);
    }
    return std::to_string(value.count()) + "us";
}

result<socket_address> parseAddress(std::string_view text)
{
    const auto failure = [&] {
        return fail(error_kind::malformed,
            inQuotes(text) + " is not an address; write IP:PORT with a numeric IP address, such as 127.0.0.1:7000");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure();
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc {} || end != digits.data() + digits.size() || port == 0)
        return failure();
    const std::string ipText(ip);
    std::array<unsigned char, 16> bytes {};
    // inet_pton reads up to the first zero byte, so an embedded one would hide what follows.
    const bool hasZero = ipText.find('\0') != std::string::npos;
    if (hasZero || inet_pton(bracketed ? AF_INET6 : AF_INET, ipText.c_str(), bytes.data()) != 1)
        return failure();
    return socket_address { ipText, port };
}

std::string printAddress(const socket_address& address)
{
    const bool six = address.ip.find(':') != std::string::npos;
    return (six ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::string toString(const text_problem& problem)
{
    std::string text = problem.file;
    if (problem.line != 0)
        text += ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column);
    if (!problem.key.empty())
        text += ":" + problem.key;
    return text + ": " + problem.found + "; " + problem.remedy;
}

error toError(const text_problems& problems)
{
    error joined { problems.empty() ? error_kind::internal : problems.front().kind, "" };
    for (const auto& problem : problems)
        joined.message += (joined.message.empty() ? "" : "\n") + toString(problem);
    return joined;
}

} // namespace limpet
