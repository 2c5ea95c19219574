#include "claim_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpet {

namespace {

    using json = nlohmann::json;

    constexpr std::size_t largestRecord = maxStoredBodyBytes + 4096;
    constexpr std::size_t largestContentType = 256;

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
    // The length keeps team "a" with key "bc" apart from team "ab" with key "c".
    const std::string bytes = std::to_string(team.size()) + ":" + std::string(team) + std::string(key);
    return "claim/" + toHex(digestOf(bytes));
}

std::string encode(const claim_record& record)
{
    json value { { "owner", record.owner.value }, { "run", record.run }, { "mark", record.mark },
        { "phase", static_cast<unsigned>(record.phase) } };
    value["fingerprint"] = json::binary_t({ record.fingerprint.begin(), record.fingerprint.end() });
    if (record.phase == claim_phase::answered) {
        value["status"] = static_cast<unsigned>(record.answer.status);
        value["type"] = binary(record.answer.contentType);
        value["omitted"] = record.answer.bodyOmitted ? 1U : 0U;
        value["body"] = binary(record.answer.body ? std::string_view(*record.answer.body) : std::string_view());
    }
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

result<claim_record> parseClaimRecord(std::string_view bytes)
{
    const auto malformed
        = [] { return fail(error_kind::malformed, "not a claim record; the request counts as run: unknown"); };
    if (bytes.size() > largestRecord)
        return fail(error_kind::tooLarge, "claim record of " + std::to_string(bytes.size()) + " bytes");
    const json value = json::from_cbor(bytes, true, false);
    claim_record record;
    std::string fingerprint;
    unsigned phase = 0;
    const bool complete = value.is_object() && readNumber(value, "owner", record.owner.value)
        && readNumber(value, "run", record.run) && readNumber(value, "mark", record.mark)
        && readNumber(value, "phase", phase) && readBytes(value, "fingerprint", fingerprint);
    if (!complete || fingerprint.size() != record.fingerprint.size()
        || phase > static_cast<unsigned>(claim_phase::unknown))
        return malformed();
    std::ranges::copy(fingerprint, reinterpret_cast<char*>(record.fingerprint.data()));
    record.phase = static_cast<claim_phase>(phase);
    if (record.phase != claim_phase::answered)
        return record;
    unsigned status = 0;
    unsigned omitted = 0;
    std::string body;
    if (!readNumber(value, "status", status) || !readNumber(value, "omitted", omitted)
        || !readBytes(value, "type", record.answer.contentType) || !readBytes(value, "body", body))
        return malformed();
    record.answer.status = static_cast<int>(status);
    record.answer.bodyOmitted = omitted != 0;
    record.answer.contentType.resize(std::min(record.answer.contentType.size(), largestContentType));
    record.answer.body = makeBytes(std::move(body));
    return record;
}

} // namespace limpet
