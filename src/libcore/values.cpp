#include <array>
#include <cmath>
#include <limpetcroft/core.h>
#include <sodium.h>
#include <xxhash.h>

namespace limpet {

std::string_view name(error_kind kind)
{
    switch (kind) {
    case error_kind::invalidArgument:
        return "invalid-argument";
    case error_kind::malformed:
        return "malformed";
    case error_kind::tooLarge:
        return "too-large";
    case error_kind::notFound:
        return "not-found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unknownOutcome:
        return "unknown-outcome";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::timeout:
        return "timeout";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

tl::unexpected<error> fail(error_kind kind, std::string message)
{
    return tl::unexpected<error>(error { kind, std::move(message) });
}

shared_bytes makeBytes(std::string bytes) { return std::make_shared<const std::string>(std::move(bytes)); }

node_id makeNodeId(std::string_view nodeName)
{
    // Zero is reserved for no node.
    const auto hash = XXH3_64bits(nodeName.data(), nodeName.size());
    return { hash == 0 ? 1 : hash };
}

namespace {

    void appendHex(std::string& text, std::uint64_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        for (int shift = 60; shift >= 0; shift -= 4)
            text.push_back(digits[(value >> shift) & 0xF]);
    }

} // namespace

std::string toString(const request_id& id)
{
    std::string text;
    text.reserve(32);
    appendHex(text, id.high);
    appendHex(text, id.low);
    return text;
}

std::string toString(const node_id& id)
{
    std::string text;
    appendHex(text, id.value);
    return text;
}

random_source::random_source(std::uint64_t seed)
    : m_state(seed)
{
}

std::uint64_t random_source::next()
{
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    // The upper 64 bits of the product; the relative bias is at most bound / 2^64.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * bound) >> 64);
}

// The upper 53 bits fill the significand of a double exactly.
double random_source::uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

duration random_source::exponential(duration mean)
{
    return duration(std::llround(-std::log1p(-uniform()) * static_cast<double>(mean.count())));
}

request_id random_source::nextId() { return { next(), next() }; }

digest digestOf(std::string_view bytes)
{
    digest value {};
    crypto_generichash(
        value.data(), value.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), nullptr, 0);
    return value;
}

bool equalConstantTime(const digest& left, const digest& right)
{
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(const digest& value)
{
    std::array<char, 65> text {};
    sodium_bin2hex(text.data(), text.size(), value.data(), value.size());
    return text.data();
}

result<digest> parseDigest(std::string_view hex)
{
    digest value {};
    std::size_t length = 0;
    const int status = sodium_hex2bin(value.data(), value.size(), hex.data(), hex.size(), nullptr, &length, nullptr);
    if (status != 0 || length != value.size())
        return fail(error_kind::malformed, "a digest has 64 hexadecimal digits; copy it whole");
    return value;
}

const route_rule* findRoute(const configuration& config, std::string_view method, std::string_view path)
{
    const route_rule* best = nullptr;
    for (const auto& route : config.routes) {
        if (route.method != "*" && route.method != method)
            continue;
        if (!path.starts_with(route.pathPrefix))
            continue;
        const bool longer = !best || route.pathPrefix.size() > best->pathPrefix.size();
        const bool moreSpecific = best && route.pathPrefix.size() == best->pathPrefix.size() && best->method == "*";
        if (longer || moreSpecific)
            best = &route;
    }
    return best;
}

const team_rule* findTeam(const configuration& config, std::string_view team)
{
    for (const auto& rule : config.teams) {
        if (rule.team == team)
            return &rule;
    }
    return nullptr;
}

} // namespace limpet
