#include "holder_record.h"
#include "quota_wire.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <limpetcroft/quota.h>

namespace limpet {

namespace {

    // A holder for 800 nodes and 100 teams sends frames well below this limit.
    constexpr std::size_t maxFrameBytes = 256UL * 1024;
    constexpr std::size_t maxRecordBytes = 4096;
    constexpr std::size_t maxListLength = 8192;
    constexpr std::size_t maxRegionNameLength = 256;
    constexpr std::uint16_t allReturned = 65535;
    constexpr std::uint16_t maxReturned = allReturned - 1;

    /// Returns whole milliseconds, rounded down, so that a lifetime does not increase on the wire.
    template <typename Integer> Integer toWire(duration value)
    {
        const auto count = std::chrono::floor<std::chrono::milliseconds>(value).count();
        return static_cast<Integer>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<Integer>::max()));
    }

    duration fromWire(std::uint32_t milliseconds) { return std::chrono::milliseconds(milliseconds); }

    template <typename Struct, typename Source, typename Convert>
    flatbuffers::Offset<flatbuffers::Vector<const Struct*>> packList(
        flatbuffers::FlatBufferBuilder& builder, const std::vector<Source>& source, Convert convert)
    {
        if (source.empty())
            return 0;
        std::vector<Struct> packed;
        packed.reserve(source.size());
        std::ranges::transform(source, std::back_inserter(packed), convert);
        return builder.CreateVectorOfStructs(packed);
    }

    quota_wire::Ask pack(const quota_request& request)
    {
        return { static_cast<std::uint32_t>(request.ruleHash >> 32U), static_cast<std::uint32_t>(request.ruleHash),
            request.id, request.tokens, request.urgentTokens, toWire<std::uint16_t>(request.maxWait),
            static_cast<std::uint8_t>(request.level) };
    }

    quota_wire::Promise packPromise(const quota_promise& promise)
    {
        return { promise.epoch, promise.nonce, toWire<std::uint32_t>(promise.length), promise.shard };
    }

    quota_promise unpackPromise(const quota_wire::Promise& promise)
    {
        return { .shard = promise.shard(),
            .epoch = promise.epoch(),
            .nonce = promise.nonce(),
            .length = fromWire(promise.length()) };
    }

    template <typename Vector> bool tooLong(const Vector* list)
    {
        return list != nullptr && list->size() > maxListLength;
    }

    bool exceedsListLimit(const quota_wire::Message& wire)
    {
        return tooLong(wire.asks()) || tooLong(wire.reports()) || tooLong(wire.grants()) || tooLong(wire.holders())
            || tooLong(wire.promise_requests()) || tooLong(wire.promises());
    }

    template <typename Target, typename Vector, typename Convert>
    void unpackList(std::vector<Target>& target, const Vector* source, Convert convert)
    {
        if (source == nullptr)
            return;
        target.reserve(source->size());
        for (const auto* item : *source)
            target.push_back(convert(*item));
    }

    /// Omits requests of a level that this version does not know.
    void unpackAsks(quota_message& message, const quota_wire::Message& wire)
    {
        if (wire.asks() == nullptr)
            return;
        for (const quota_wire::Ask* request : *wire.asks()) {
            if (request->level() > static_cast<std::uint8_t>(quota_level::toOtherRegion))
                continue;
            message.requests.push_back({ .id = request->id(),
                .ruleHash = (static_cast<std::uint64_t>(request->rule_high()) << 32U) | request->rule_low(),
                .tokens = request->want(),
                .urgentTokens = std::min(request->urgent(), request->want()),
                .maxWait = fromWire(request->patience()),
                .level = static_cast<quota_level>(request->level()) });
        }
    }

} // namespace

std::string encode(const quota_message& message)
{
    flatbuffers::FlatBufferBuilder builder(512);
    const auto requests = packList<quota_wire::Ask>(builder, message.requests, pack);
    const auto reports = packList<quota_wire::Report>(builder, message.reports, [](const quota_report& report) {
        return quota_wire::Report(
            report.requestId, report.spent, report.closed ? allReturned : std::min(report.returned, maxReturned));
    });
    const auto grants = packList<quota_wire::Grant>(builder, message.grants, [](const quota_grant& grant) {
        return quota_wire::Grant(grant.requestId, toWire<std::uint32_t>(grant.retryAfter), grant.tokens,
            toWire<std::uint16_t>(grant.lifetime), grant.scarce);
    });
    const auto promiseRequests = packList<quota_wire::Promise>(builder, message.promiseRequests, packPromise);
    const auto promises = packList<quota_wire::Promise>(builder, message.promises, packPromise);
    std::vector<flatbuffers::Offset<quota_wire::Hint>> hints;
    for (const quota_holder_hint& hint : message.holderHints)
        hints.push_back(quota_wire::CreateHint(
            builder, builder.CreateString(hint.region), hint.shard, hint.holder.value, hint.epoch));
    const auto holders = hints.empty() ? 0 : builder.CreateVector(hints);
    builder.Finish(quota_wire::CreateMessage(builder, message.fromRun, message.toRun, requests, reports, grants,
                       promiseRequests, promises, holders),
        quota_wire::MessageIdentifier());
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

result<quota_message> parseQuotaMessage(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return fail(error_kind::tooLarge,
            "quota frame of " + std::to_string(bytes.size()) + " bytes exceeds the limit of "
                + std::to_string(maxFrameBytes));
    // A frame in a receive buffer may start at any address, but its integers are read in place and have to be aligned.
    std::vector<std::uint64_t> aligned;
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) != 0) {
        aligned.resize((bytes.size() / sizeof(std::uint64_t)) + 1);
        std::memcpy(aligned.data(), bytes.data(), bytes.size());
        bytes = { reinterpret_cast<const char*>(aligned.data()), bytes.size() };
    }
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    // The verifier reads the file identifier without checking the size.
    if (bytes.size() < 8 || !quota_wire::VerifyMessageBuffer(verifier))
        return fail(error_kind::malformed, "not a valid quota frame (LQUO); check the version of the sender");
    const quota_wire::Message& wire = *quota_wire::GetMessage(bytes.data());
    if (exceedsListLimit(wire))
        return fail(error_kind::tooLarge, "quota frame contains a list longer than " + std::to_string(maxListLength));
    quota_message message { .fromRun = wire.from_run(), .toRun = wire.to_run() };
    unpackAsks(message, wire);
    unpackList(message.reports, wire.reports(), [](const quota_wire::Report& report) {
        const bool closed = report.returned() == allReturned;
        const std::uint16_t returned = closed ? 0 : report.returned();
        return quota_report {
            .requestId = report.ask(), .spent = report.used(), .returned = returned, .closed = closed
        };
    });
    unpackList(message.grants, wire.grants(), [](const quota_wire::Grant& grant) {
        return quota_grant { .requestId = grant.ask(),
            .tokens = grant.count(),
            .lifetime = fromWire(grant.life()),
            .retryAfter = fromWire(grant.retry_after()),
            .scarce = grant.scarce() };
    });
    unpackList(message.promiseRequests, wire.promise_requests(), unpackPromise);
    unpackList(message.promises, wire.promises(), unpackPromise);
    unpackList(message.holderHints, wire.holders(), [](const quota_wire::Hint& hint) {
        return quota_holder_hint { .region = hint.region()->str().substr(0, maxRegionNameLength),
            .shard = hint.shard(),
            .holder = { hint.holder() },
            .epoch = hint.epoch() };
    });
    return message;
}

std::string encode(const holder_record& record)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::uint64_t> candidates;
    for (const node_id node : record.candidates)
        candidates.push_back(node.value);
    builder.Finish(quota_wire::CreateHolderRecord(builder, record.holder.value, record.run, record.epoch,
        record.writeId, builder.CreateVector(candidates), record.era));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

result<holder_record> parseHolderRecord(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (bytes.size() < 8 || bytes.size() > maxRecordBytes || !verifier.VerifyBuffer<quota_wire::HolderRecord>(nullptr))
        return fail(
            error_kind::malformed, "not a valid holder record; stop the nodes of the region before deleting the key");
    const auto& wire = *flatbuffers::GetRoot<quota_wire::HolderRecord>(bytes.data());
    holder_record record { .holder = { wire.holder() },
        .run = wire.run(),
        .epoch = wire.epoch(),
        .writeId = wire.mark(),
        .era = wire.store_era() };
    if (wire.candidates() != nullptr) {
        for (const std::uint64_t node : *wire.candidates())
            record.candidates.push_back({ node });
    }
    return record;
}

} // namespace limpet
