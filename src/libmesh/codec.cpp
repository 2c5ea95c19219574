#include "codec.h"

namespace limpet::mesh {
namespace {

    constexpr double perMille = 1000;

    // Distinguishes a bundle from a status.
    constexpr const char* bundleIdentifier = "LMSB";

    template <typename Table, typename Data>
    std::string pack(const Data& data, const char* identifier = wire::frameIdentifier())
    {
        flatbuffers::FlatBufferBuilder out;
        out.Finish(Table::Pack(out, &data), identifier);
        return { reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize() };
    }

    template <typename Table>
    result<typename Table::NativeTableType> unpack(
        const std::string& bytes, const char* what, const char* identifier = wire::frameIdentifier())
    {
        const auto* buffer = reinterpret_cast<const std::uint8_t*>(bytes.data());
        flatbuffers::Verifier verifier(buffer, bytes.size());
        if (!verifier.VerifyBuffer<Table>(identifier))
            return fail(error_kind::malformed,
                std::string("invalid ") + what + " message; check that all nodes run compatible versions");
        typename Table::NativeTableType data;
        flatbuffers::GetRoot<Table>(buffer)->UnPackTo(&data);
        return data;
    }

} // namespace

std::string encodeFrame(const wire::frame_data& frame) { return pack<wire::frame>(frame); }

result<wire::frame_data> parseFrame(const std::string& bytes) { return unpack<wire::frame>(bytes, "frame"); }

std::string encodeStatus(const wire::status_data& status) { return pack<wire::status>(status); }

result<wire::status_data> parseStatus(const std::string& bytes) { return unpack<wire::status>(bytes, "status"); }

std::string encodeBundle(const wire::bundle_data& bundle) { return pack<wire::bundle>(bundle, bundleIdentifier); }

bool isBundle(const std::string& bytes)
{
    constexpr std::size_t minBytes = 8;
    return bytes.size() >= minBytes && flatbuffers::BufferHasIdentifier(bytes.data(), bundleIdentifier);
}

result<wire::bundle_data> parseBundle(const std::string& bytes)
{
    return unpack<wire::bundle>(bytes, "bundle", bundleIdentifier);
}

wire::load_report_data packLoad(const endpoint_load& load)
{
    wire::load_report_data packed;
    packed.running = load.running;
    packed.queued = load.queued;
    packed.limit = load.limit;
    packed.latency_us = static_cast<std::uint64_t>(load.latency.count());
    packed.failure_permille = static_cast<std::uint16_t>(load.failureRate * perMille);
    packed.arrivals_per_s = static_cast<float>(load.arrivalsPerSecond);
    return packed;
}

endpoint_load unpackLoad(const wire::load_report_data& load)
{
    return { load.running, load.queued, std::max(load.limit, 1U), duration(load.latency_us),
        load.failure_permille / perMille, std::max(load.arrivals_per_s, 0.0F) };
}

header_rows packHeaders(const std::vector<header>& headers)
{
    header_rows rows;
    rows.reserve(headers.size());
    for (const auto& each : headers) {
        auto row = std::make_unique<wire::header_entry_data>();
        row->name = each.name;
        row->value = each.value;
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<header> unpackHeaders(header_rows&& rows)
{
    std::vector<header> headers;
    headers.reserve(rows.size());
    for (auto& row : rows)
        headers.push_back({ std::move(row->name), std::move(row->value) });
    return headers;
}

} // namespace limpet::mesh
