#pragma once

#include <limpetcroft/store.h>
#include <nlohmann/json.hpp>

/// Parts of gateway messages. Functions that read throw std::exception on malformed input; parseJson catches it.
namespace limpet::gateway_json {

using nlohmann::json;

std::string toText(const json& document);
std::string toBase64(const std::string& bytes);

/// Finds a member by either of its names: the gateway writes names with underscores and accepts camel case as well.
const json* member(const json& object, const char* name, const char* otherName = nullptr);
/// Returns 0 if the member is absent.
std::int64_t integer(const json& object, const char* name, const char* otherName = nullptr);
/// Decodes base64. Returns no bytes if the member is absent.
std::string bytes(const json& object, const char* name, const char* otherName = nullptr);

json encodeRange(const std::string& key, bool prefix);
store_get parseRange(const json& range);
json encodeEntry(const store_entry& entry);
store_entry parseEntry(const json& entry);
json header(store_revision head, store_era era);
store_revision parseHead(const json& reply);
/// Returns the identifier of the cluster; 0 if the reply has none that can be read.
store_era parseEra(const json& reply);

/// Runs a parser and turns what the JSON library throws into an error.
template <typename Parser> auto parseJson(const std::string& text, Parser parser) -> result<decltype(parser(json()))>
{
    try {
        return parser(json::parse(text));
    } catch (const std::exception& failure) {
        return fail(
            error_kind::malformed, std::string("the message is not of the gateway protocol: ") + failure.what());
    }
}

} // namespace limpet::gateway_json
