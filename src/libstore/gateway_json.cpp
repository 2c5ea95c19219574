#include "gateway_json.h"

#include <charconv>
#include <glib.h>

namespace limpet::gateway_json {

namespace {

    std::string fromBase64(const std::string& text)
    {
        gsize size = 0;
        guchar* const bytes = g_base64_decode(text.c_str(), &size);
        std::string decoded(reinterpret_cast<const char*>(bytes), size);
        g_free(bytes);
        return decoded;
    }

    // First key after all keys with that prefix; one zero byte stands for the end of the key space.
    std::string prefixEnd(std::string prefix)
    {
        while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
            prefix.pop_back();
        }
        if (prefix.empty()) {
            return { '\0' };
        }
        prefix.back() = static_cast<char>(prefix.back() + 1);
        return prefix;
    }

} // namespace

std::string toText(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string toBase64(const std::string& bytes)
{
    gchar* const text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    std::string encoded = text;
    g_free(text);
    return encoded;
}

const json* member(const json& object, const char* name, const char* otherName)
{
    if (const auto found = object.find(name); found != object.end()) {
        return &*found;
    }
    if (otherName == nullptr) {
        return nullptr;
    }
    const auto found = object.find(otherName);
    return found == object.end() ? nullptr : &*found;
}

std::int64_t integer(const json& object, const char* name, const char* otherName)
{
    const json* const value = member(object, name, otherName);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_number_integer()) {
        return value->get<std::int64_t>();
    }
    const auto& text = value->get_ref<const std::string&>();
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size()) {
        throw std::invalid_argument(std::string("member \"") + name + "\" is not an integer");
    }
    return number;
}

std::string bytes(const json& object, const char* name, const char* otherName)
{
    const json* const value = member(object, name, otherName);
    return value == nullptr ? std::string() : fromBase64(value->get_ref<const std::string&>());
}

json encodeRange(const std::string& key, bool prefix)
{
    json range { { "key", toBase64(prefix && key.empty() ? std::string(1, '\0') : key) } };
    if (prefix) {
        range["range_end"] = toBase64(prefixEnd(key));
    }
    return range;
}

store_get parseRange(const json& range)
{
    store_get get { .key = bytes(range, "key") };
    const std::string end = bytes(range, "range_end", "rangeEnd");
    if (end.empty()) {
        return get;
    }
    get.prefix = true;
    if (get.key == std::string(1, '\0')) {
        get.key.clear();
    }
    if (prefixEnd(get.key) != end) {
        throw std::invalid_argument("only a single key or a prefix can be read");
    }
    return get;
}

json encodeEntry(const store_entry& entry)
{
    json encoded { { "key", toBase64(entry.key) }, { "mod_revision", std::to_string(entry.modRevision) } };
    if (!entry.value.empty()) {
        encoded["value"] = toBase64(entry.value);
    }
    if (entry.lease != 0) {
        encoded["lease"] = std::to_string(entry.lease);
    }
    return encoded;
}

store_entry parseEntry(const json& entry)
{
    return { bytes(entry, "key"), bytes(entry, "value"), integer(entry, "mod_revision", "modRevision"),
        integer(entry, "lease") };
}

json header(store_revision head, store_era era)
{
    return { { "cluster_id", std::to_string(era) }, { "revision", std::to_string(head) } };
}

store_era parseEra(const json& reply)
{
    const json* const found = member(reply, "header");
    const json* const cluster = found == nullptr ? nullptr : member(*found, "cluster_id", "clusterId");
    if (cluster == nullptr || !cluster->is_string()) {
        return 0;
    }
    const auto& text = cluster->get_ref<const std::string&>();
    const char* const end = text.data() + text.size();
    store_era era = 0;
    const auto parsed = std::from_chars(text.data(), end, era);
    return parsed.ec == std::errc() && parsed.ptr == end ? era : 0;
}

store_revision parseHead(const json& reply)
{
    const json* const found = member(reply, "header");
    return found == nullptr ? 0 : integer(*found, "revision");
}

} // namespace limpet::gateway_json
