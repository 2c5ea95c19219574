#include <limpetcroft/fleet.h>

#include <algorithm>
#include <fleet_generated.h>
#include <xxhash.h>

namespace limpet {

namespace {

    namespace fb = wire::fleet;
    using builder = flatbuffers::FlatBufferBuilder;
    template <typename T> using offset = flatbuffers::Offset<T>;

    // Bounds of one decoded message; a sender of this version stays well below them.
    constexpr std::size_t maxListLength = 8192;
    constexpr std::uint16_t noWireAge = 65535;

    // Rounds up, because an age may be overstated but never understated.
    std::uint16_t wireAge(duration age)
    {
        if (age >= std::chrono::milliseconds(noWireAge))
            return noWireAge;
        return static_cast<std::uint16_t>((std::max<duration::rep>(age.count(), 0) + 999) / 1000);
    }

    duration localAge(std::uint16_t age) { return age == noWireAge ? noAge : std::chrono::milliseconds(age); }

    offset<fb::Record> put(builder& out, const member_record& record)
    {
        auto name = out.CreateString(record.name);
        auto ip = out.CreateString(record.address.ip);
        auto region = out.CreateSharedString(record.region);
        auto zone = out.CreateSharedString(record.zone);
        auto service = out.CreateSharedString(record.service);
        return fb::CreateRecord(out, record.id.value, record.run, record.version,
            static_cast<std::uint8_t>(record.state), record.address.port, record.slots, name, ip, region, zone,
            service);
    }

    offset<fb::Gossip> put(builder& out, const gossip& updates)
    {
        std::vector<offset<fb::Record>> records;
        for (const auto& record : updates.records)
            records.push_back(put(out, record));
        std::vector<fb::Status> statuses;
        statuses.reserve(updates.statuses.size());
        for (const auto& status : updates.statuses)
            statuses.emplace_back(status.id.value, status.run, status.version, static_cast<std::uint8_t>(status.state));
        auto recordList = records.empty() ? 0 : out.CreateVector(records);
        auto statusList = statuses.empty() ? 0 : out.CreateVectorOfStructs(statuses);
        return fb::CreateGossip(out, updates.held, updates.checksum, recordList, statusList);
    }

    offset<flatbuffers::Vector<const fb::Attestation*>> put(builder& out, const std::vector<attestation>& list)
    {
        std::vector<fb::Attestation> items;
        items.reserve(list.size());
        for (const auto& item : list)
            items.emplace_back(item.head, item.region, wireAge(item.reachedAge), wireAge(item.missedAge));
        return items.empty() ? 0 : out.CreateVectorOfStructs(items);
    }

    offset<flatbuffers::Vector<std::uint64_t>> put(builder& out, const std::vector<node_id>& list)
    {
        std::vector<std::uint64_t> items;
        items.reserve(list.size());
        for (const auto& id : list)
            items.push_back(id.value);
        return items.empty() ? 0 : out.CreateVector(items);
    }

    offset<fb::ZoneSummary> put(builder& out, const zone_summary& zone)
    {
        auto lagging = put(out, zone.lagging);
        return fb::CreateZoneSummary(out, zone.number, zone.zone, zone.members, zone.inForce, lagging, zone.silent);
    }

    fb::Range wireRange(const tree_range& range) { return { range.root.value, range.first, range.last }; }

    struct body_writer {
        builder& out;

        offset<fb::Ping> operator()(const fleet_ping& message)
        {
            auto updates = put(out, message.updates);
            return fb::CreatePing(out, message.sequence, message.targetRun, message.wantAttestations, updates);
        }
        offset<fb::Ack> operator()(const fleet_ack& message)
        {
            auto attestations = put(out, message.attestations);
            auto updates = put(out, message.updates);
            return fb::CreateAck(
                out, message.sequence, message.about.value, message.run, message.clock, attestations, updates);
        }
        offset<fb::IndirectPing> operator()(const fleet_indirect_ping& message)
        {
            return fb::CreateIndirectPing(out, message.sequence, message.target.value);
        }
        offset<fb::MemberUpdates> operator()(const fleet_member_updates& message)
        {
            return fb::CreateMemberUpdates(out, put(out, message.updates));
        }
        offset<fb::TableDigest> operator()(const fleet_table_digest& message)
        {
            std::vector<fb::ZoneDigest> zones;
            for (const auto& zone : message.zones)
                zones.emplace_back(zone.hash, zone.zone, zone.count);
            std::vector<fb::MemberDigest> members;
            for (const auto& member : message.members)
                members.emplace_back(member.id.value, member.hash);
            auto zoneList = out.CreateVectorOfStructs(zones);
            auto memberList = out.CreateVectorOfStructs(members);
            return fb::CreateTableDigest(out, zoneList, message.zone, memberList);
        }
        offset<fb::TablePull> operator()(const fleet_table_pull& message)
        {
            return fb::CreateTablePull(out, put(out, message.self), message.zoneOnly, message.after.value);
        }
        offset<fb::TableSync> operator()(const fleet_table_sync& message)
        {
            auto updates = put(out, message.updates);
            auto wanted = put(out, message.wanted);
            return fb::CreateTableSync(out, updates, wanted, message.page, message.zoneOnly, message.more);
        }
        offset<fb::ConfigurationPush> operator()(const fleet_configuration_push& message)
        {
            auto range = wireRange(message.range);
            auto deltas = out.CreateVectorOfStrings(message.deltas);
            auto document = message.document.empty() ? 0 : out.CreateString(message.document);
            return fb::CreateConfigurationPush(out, &range, message.from, message.checksum, deltas, document);
        }
        offset<fb::ConfigurationPull> operator()(const fleet_configuration_pull& message)
        {
            return fb::CreateConfigurationPull(out, message.held, message.checksum);
        }
        offset<fb::Attestations> operator()(const fleet_attestations& message)
        {
            auto range = wireRange(message.range);
            auto attestations = put(out, message.attestations);
            std::vector<offset<fb::ZoneSummary>> zones;
            for (const auto& zone : message.zones)
                zones.push_back(put(out, zone));
            auto zoneList = zones.empty() ? 0 : out.CreateVector(zones);
            auto updates = put(out, message.updates);
            return fb::CreateAttestations(
                out, &range, message.sequence, message.run, message.clock, attestations, zoneList, updates);
        }
        offset<fb::InForce> operator()(const fleet_in_force& message) { return fb::CreateInForce(out, message.number); }
    };

    template <typename Body> void finish(builder& out, offset<Body> body)
    {
        fb::FinishFrameBuffer(out, fb::CreateFrame(out, fb::BodyTraits<Body>::enum_value, body.Union()));
    }

    template <typename T> std::string text(const T* value) { return value ? value->str() : std::string(); }

    member_state state(std::uint8_t value)
    {
        return static_cast<member_state>(std::min<std::uint8_t>(value, static_cast<std::uint8_t>(member_state::dead)));
    }

    // Absent lists and tables read as empty; an empty one is not written.
    template <typename List, typename Convert> auto takeList(const List* list, Convert convert)
    {
        std::vector<decltype(convert(list->Get(0)))> items;
        if (!list)
            return items;
        items.reserve(list->size());
        for (flatbuffers::uoffset_t index = 0; index < list->size(); ++index)
            items.push_back(convert(list->Get(index)));
        return items;
    }

    member_record take(const fb::Record* record)
    {
        if (!record)
            return {};
        return { node_id { record->id() }, text(record->name()), { text(record->ip()), record->port() },
            text(record->region()), text(record->zone()), text(record->service()), record->slots(), record->run(),
            record->version(), state(record->state()) };
    }

    gossip take(const fb::Gossip* updates)
    {
        if (!updates)
            return {};
        return { takeList(updates->records(), [](const fb::Record* record) { return take(record); }),
            takeList(updates->statuses(),
                [](const fb::Status* status) {
                    return member_status { node_id { status->id() }, status->run(), status->version(),
                        state(status->state()) };
                }),
            updates->held(), updates->checksum() };
    }

    std::vector<node_id> take(const flatbuffers::Vector<std::uint64_t>* list)
    {
        return takeList(list, [](std::uint64_t id) { return node_id { id }; });
    }

    std::vector<attestation> take(const flatbuffers::Vector<const fb::Attestation*>* list)
    {
        return takeList(list, [](const fb::Attestation* item) {
            return attestation { item->region(), item->head(), localAge(item->reachedAge()),
                localAge(item->missedAge()) };
        });
    }

    tree_range take(const fb::Range* range)
    {
        if (!range)
            return {};
        return { node_id { range->root() }, range->first(), range->last() };
    }

    zone_summary take(const fb::ZoneSummary* zone)
    {
        return { zone->zone(), zone->number(), zone->members(), zone->inForce(), take(zone->lagging()),
            zone->silent() };
    }

    fleet_message take(const fb::Ping& body)
    {
        return fleet_ping { body.sequence(), body.targetRun(), body.wantAttestations(), take(body.updates()) };
    }
    fleet_message take(const fb::Ack& body)
    {
        return fleet_ack { body.sequence(), node_id { body.about() }, body.run(), body.clock(),
            take(body.attestations()), take(body.updates()) };
    }
    fleet_message take(const fb::IndirectPing& body)
    {
        return fleet_indirect_ping { body.sequence(), node_id { body.target() } };
    }
    fleet_message take(const fb::MemberUpdates& body) { return fleet_member_updates { take(body.updates()) }; }
    fleet_message take(const fb::TableDigest& body)
    {
        auto zones = takeList(body.zones(), [](const fb::ZoneDigest* zone) {
            return zone_digest { zone->zone(), zone->count(), zone->hash() };
        });
        auto members = takeList(body.members(), [](const fb::MemberDigest* member) {
            return member_digest { node_id { member->id() }, member->hash() };
        });
        return fleet_table_digest { std::move(zones), body.zone(), std::move(members) };
    }
    fleet_message take(const fb::TablePull& body)
    {
        return fleet_table_pull { take(body.self()), body.zoneOnly(), node_id { body.after() } };
    }
    fleet_message take(const fb::TableSync& body)
    {
        return fleet_table_sync { take(body.updates()), take(body.wanted()), body.page(), body.zoneOnly(),
            body.more() };
    }
    fleet_message take(const fb::ConfigurationPush& body)
    {
        auto deltas = takeList(body.deltas(), [](const flatbuffers::String* delta) { return text(delta); });
        return fleet_configuration_push { take(body.range()), body.from(), std::move(deltas), text(body.document()),
            body.checksum() };
    }
    fleet_message take(const fb::ConfigurationPull& body)
    {
        return fleet_configuration_pull { body.held(), body.checksum() };
    }
    fleet_message take(const fb::Attestations& body)
    {
        auto zones = takeList(body.zones(), [](const fb::ZoneSummary* zone) { return take(zone); });
        return fleet_attestations { take(body.range()), body.sequence(), body.run(), body.clock(),
            take(body.attestations()), std::move(zones), take(body.updates()) };
    }
    fleet_message take(const fb::InForce& body) { return fleet_in_force { body.number() }; }

    result<fleet_message> takeBody(const fb::Frame& frame)
    {
        switch (frame.body_type()) {
        case fb::Body::Ping:
            return take(*frame.body_as_Ping());
        case fb::Body::Ack:
            return take(*frame.body_as_Ack());
        case fb::Body::IndirectPing:
            return take(*frame.body_as_IndirectPing());
        case fb::Body::MemberUpdates:
            return take(*frame.body_as_MemberUpdates());
        case fb::Body::TableDigest:
            return take(*frame.body_as_TableDigest());
        case fb::Body::TablePull:
            return take(*frame.body_as_TablePull());
        case fb::Body::TableSync:
            return take(*frame.body_as_TableSync());
        case fb::Body::ConfigurationPush:
            return take(*frame.body_as_ConfigurationPush());
        case fb::Body::ConfigurationPull:
            return take(*frame.body_as_ConfigurationPull());
        case fb::Body::Attestations:
            return take(*frame.body_as_Attestations());
        case fb::Body::InForce:
            return take(*frame.body_as_InForce());
        default:
            return fail(error_kind::invalidArgument,
                "fleet message of unknown kind " + std::to_string(static_cast<int>(frame.body_type()))
                    + "; ignore it or update this node");
        }
    }

} // namespace

place_key makePlaceKey(std::string_view placeName)
{
    return static_cast<place_key>(XXH3_64bits(placeName.data(), placeName.size()));
}

std::string encode(const fleet_message& message)
{
    builder out(256);
    body_writer write { out };
    std::visit([&](const auto& body) { finish(out, write(body)); }, message);
    return { reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize() };
}

result<fleet_message> parseFleetMessage(std::string_view bytes)
{
    if (bytes.size() > maxFleetMessage)
        return fail(error_kind::tooLarge,
            "fleet message of " + std::to_string(bytes.size()) + " bytes is over the bound; send a smaller page");
    constexpr std::size_t smallestFrame = 8; // root offset and file identifier
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    if (bytes.size() < smallestFrame || !fb::FrameBufferHasIdentifier(data))
        return fail(error_kind::malformed, "bytes are not a fleet message; check the kind of the frame");
    flatbuffers::Verifier verifier(data, bytes.size(), 16, 4 * maxListLength);
    if (!fb::VerifyFrameBuffer(verifier))
        return fail(error_kind::malformed, "fleet message is damaged; drop it");
    const auto* frame = fb::GetFrame(data);
    if (frame->body_type() != fb::Body::NONE && !frame->body())
        return fail(error_kind::malformed, "fleet message has no body; drop it");
    return takeBody(*frame);
}

} // namespace limpet
