#include "claim_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpet {

namespace {

    using json = nlohmann::json;

    constexpr std::size_t maxRecordBytes = maxStoredBodyBytes + 4096;
    constexpr std::size_t maxContentTypeBytes = 256;

    json::binary_t binary(std::string_view bytes) { return json::binary_t({ bytes.begin(), bytes.end() }); }

    template <typename Number> bool readNumber(const json& record, const char* name, Number& value)
    {
        const auto found = record.find(name);
        if (found == record.end() || !found->is_number_unsigned())
            return false;
        value = found->get<Number>();
        return true;
    }

    bool readBytes(const json& record, const char* name, std::string& value)
    {
        const auto found = record.find(name);
        if (found == record.end() || !found->is_binary())
            return false;
        value.assign(found->get_binary().begin(), found->get_binary().end());
        return true;
    }

} // namespace

std::string claimKey(std::string_view team, std::string_view key)
{
    // The length prefix makes the input unambiguous: team "a" with key "bc" differs from team "ab" with key "c".
    const std::string bytes = std::to_string(team.size()) + ":" + std::string(team) + std::string(key);
    return "claim/" + toHex(digestOf(bytes));
}

std::string encode(const claim_record& record)
{
    json value { { "owner", record.owner.value }, { "run", record.run }, { "mark", record.nonce },
        { "phase", static_cast<unsigned>(record.phase) } };
    value["fingerprint"] = json::binary_t({ record.fingerprint.begin(), record.fingerprint.end() });
    if (record.phase == claim_phase::completed) {
        value["status"] = static_cast<unsigned>(record.response.status);
        value["type"] = binary(record.response.contentType);
        value["omitted"] = record.response.bodyOmitted ? 1U : 0U;
        value["body"] = binary(record.response.body ? std::string_view(*record.response.body) : std::string_view());
    }
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

result<claim_record> parseClaimRecord(std::string_view bytes)
{
    const auto malformed = [] {
        return fail(error_kind::malformed, "malformed claim record; whether the request was executed is unknown");
    };
    if (bytes.size() > maxRecordBytes)
        return fail(error_kind::tooLarge, "claim record too large: " + std::to_string(bytes.size()) + " bytes");
    const json value = json::from_cbor(bytes, true, false);
    claim_record record;
    std::string fingerprint;
    unsigned phase = 0;
    const bool complete = value.is_object() && readNumber(value, "owner", record.owner.value)
        && readNumber(value, "run", record.run) && readNumber(value, "mark", record.nonce)
        && readNumber(value, "phase", phase) && readBytes(value, "fingerprint", fingerprint);
    if (!complete || fingerprint.size() != record.fingerprint.size()
        || phase > static_cast<unsigned>(claim_phase::abandoned))
        return malformed();
    std::ranges::copy(fingerprint, reinterpret_cast<char*>(record.fingerprint.data()));
    record.phase = static_cast<claim_phase>(phase);
    if (record.phase != claim_phase::completed)
        return record;
    unsigned status = 0;
    unsigned omitted = 0;
    std::string body;
    if (!readNumber(value, "status", status) || !readNumber(value, "omitted", omitted)
        || !readBytes(value, "type", record.response.contentType) || !readBytes(value, "body", body))
        return malformed();
    record.response.status = static_cast<int>(status);
    record.response.bodyOmitted = omitted != 0;
    record.response.contentType.resize(std::min(record.response.contentType.size(), maxContentTypeBytes));
    record.response.body = makeBytes(std::move(body));
    return record;
}

} // namespace limpet
