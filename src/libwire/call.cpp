#include "call_generated.h"
#include <limpetcroft/wire.h>

namespace limpet {
namespace {

    using builder = flatbuffers::FlatBufferBuilder;
    using headers_offset = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::header_entry>>>;
    using shed_offset = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::shed_entry>>>;
    using bytes_offset = flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>;
    using body_offset = std::pair<wire::call_body, flatbuffers::Offset<void>>;

    // Room for a request with a few headers, so that most messages are built without growing the buffer.
    constexpr std::size_t initialBuilderBytes = 1024;

    wire::id128 pack(const request_id& id) { return { id.high, id.low }; }

    request_id unpack(const wire::id128* id) { return id ? request_id { id->high(), id->low() } : request_id {}; }

    headers_offset packHeaders(builder& out, const std::vector<header>& headers)
    {
        std::vector<flatbuffers::Offset<wire::header_entry>> entries;
        entries.reserve(headers.size());
        for (const auto& each : headers)
            entries.push_back(wire::Createheader_entry(out, out.CreateString(each.name), out.CreateString(each.value)));
        return out.CreateVector(entries);
    }

    shed_offset packShed(builder& out, const std::vector<shed_report>& reports)
    {
        std::vector<flatbuffers::Offset<wire::shed_entry>> entries;
        entries.reserve(reports.size());
        for (const auto& each : reports)
            entries.push_back(wire::Createshed_entry(
                out, out.CreateString(each.service), each.level, static_cast<float>(each.admittedFraction)));
        return out.CreateVector(entries);
    }

    bytes_offset packBytes(builder& out, const shared_bytes& bytes)
    {
        if (!bytes)
            return 0;
        return out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size());
    }

    /// Adds the body of each kind of message to the buffer.
    struct body_packer {
        builder& out;

        body_offset operator()(const call_request& message) const
        {
            const auto team = out.CreateString(message.context.team);
            const auto service = out.CreateString(message.service);
            const auto method = out.CreateString(message.content.method);
            const auto path = out.CreateString(message.content.path);
            const auto headers = packHeaders(out, message.content.headers);
            const auto body = packBytes(out, message.content.body);
            const auto id = pack(message.context.id);
            const auto rootId = pack(message.context.rootId);
            const auto table = wire::Createrequest(out, message.target, &id, &rootId, team, message.context.importance,
                message.context.remaining.count(), message.context.extraAttemptsLeft, message.context.depth,
                message.context.idempotent, service, method, path, headers, body);
            return { wire::call_body::request, table.Union() };
        }

        body_offset operator()(const call_reply& message) const
        {
            const auto headers = packHeaders(out, message.content.headers);
            const auto body = packBytes(out, message.content.body);
            const auto shed = packShed(out, message.shed);
            const std::uint64_t length = message.content.body ? message.content.body->size() : 0;
            const auto table = wire::Createreply(out, static_cast<std::uint16_t>(message.content.status), headers, body,
                length, message.attemptsUsed, message.draining, shed);
            return { wire::call_body::reply, table.Union() };
        }

        body_offset operator()(const call_refusal& message) const
        {
            const auto detail = out.CreateString(message.why.detail);
            const auto shed = packShed(out, message.shed);
            const auto table = wire::Createrefusal_body(out, static_cast<std::uint8_t>(message.why.reason),
                static_cast<std::uint8_t>(message.why.run), message.why.retryAfter.count(), detail,
                message.attemptsUsed, message.final, message.draining, shed);
            return { wire::call_body::refusal_body, table.Union() };
        }

        body_offset operator()(const call_cancel& /*message*/) const
        {
            return { wire::call_body::cancel, wire::Createcancel(out).Union() };
        }

        body_offset operator()(const attempt_query& message) const
        {
            return { wire::call_body::attempt_query, wire::Createattempt_query(out, message.target).Union() };
        }

        body_offset operator()(const attempt_status& message) const
        {
            const auto table = wire::Createattempt_status(out, static_cast<std::uint8_t>(message.fate));
            return { wire::call_body::attempt_status, table.Union() };
        }

        body_offset operator()(const heartbeat& message) const
        {
            return { wire::call_body::heartbeat, wire::Createheartbeat(out, message.sequence).Union() };
        }

        body_offset operator()(const drain_notice& /*message*/) const
        {
            return { wire::call_body::drain_notice, wire::Createdrain_notice(out).Union() };
        }
    };

    /// Returns the attempt that a message belongs to; zero for link messages.
    request_id attemptOf(const call_message& message)
    {
        return std::visit(
            [](const auto& each) {
                if constexpr (requires { each.attempt; })
                    return each.attempt;
                else
                    return request_id {};
            },
            message);
    }

    std::string text(const flatbuffers::String* value) { return value ? value->str() : std::string(); }

    std::vector<header> unpackHeaders(const flatbuffers::Vector<flatbuffers::Offset<wire::header_entry>>* entries)
    {
        std::vector<header> headers;
        if (!entries)
            return headers;
        headers.reserve(entries->size());
        for (const auto* entry : *entries)
            headers.push_back({ entry->name()->str(), entry->value()->str() });
        return headers;
    }

    std::vector<shed_report> unpackShed(const flatbuffers::Vector<flatbuffers::Offset<wire::shed_entry>>* entries)
    {
        std::vector<shed_report> reports;
        if (!entries)
            return reports;
        reports.reserve(entries->size());
        for (const auto* entry : *entries)
            reports.push_back({ entry->service()->str(), entry->level(), entry->admitted_fraction() });
        return reports;
    }

    shared_bytes unpackBytes(const flatbuffers::Vector<std::uint8_t>* bytes)
    {
        if (!bytes)
            return makeBytes({});
        return makeBytes(std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size()));
    }

    result<call_message> unpackRequest(const request_id& attempt, const wire::request& table)
    {
        call_request message;
        message.attempt = attempt;
        message.target = table.target();
        message.context.id = unpack(table.id());
        message.context.rootId = unpack(table.root_id());
        message.context.team = text(table.team());
        message.context.importance = std::min(table.importance(), highestPriority);
        message.context.remaining = duration(table.remaining_us());
        message.context.extraAttemptsLeft = table.attempts_left();
        message.context.depth = table.depth();
        message.context.idempotent = table.idempotent();
        message.service = text(table.service());
        message.content.method = text(table.method());
        message.content.path = text(table.path());
        message.content.headers = unpackHeaders(table.headers());
        message.content.body = unpackBytes(table.body());
        return message;
    }

    result<call_message> unpackReply(const request_id& attempt, const wire::reply& table)
    {
        call_reply message;
        message.attempt = attempt;
        message.content.status = table.status();
        message.content.headers = unpackHeaders(table.headers());
        message.content.body = unpackBytes(table.body());
        if (message.content.body->size() != table.length())
            return fail(error_kind::malformed, "reply body is shorter than its stated length; treat it as lost");
        message.attemptsUsed = table.attempts_used();
        message.draining = table.draining();
        message.shed = unpackShed(table.shed());
        return message;
    }

    result<call_message> unpackRefusal(const request_id& attempt, const wire::refusal_body& table)
    {
        call_refusal message;
        message.attempt = attempt;
        // A reason or run state of a later version is read as the least certain one.
        if (table.reason() < refusalReasonCount)
            message.why.reason = static_cast<refusal_reason>(table.reason());
        message.why.run = table.run() == static_cast<std::uint8_t>(execution_state::notExecuted)
            ? execution_state::notExecuted
            : execution_state::unknown;
        message.why.retryAfter = duration(table.retry_after_us());
        message.why.detail = text(table.detail());
        message.attemptsUsed = table.attempts_used();
        message.final = table.final();
        message.draining = table.draining();
        message.shed = unpackShed(table.shed());
        return message;
    }

    attempt_fate unpackFate(std::uint8_t fate)
    {
        const bool known = fate < static_cast<std::uint8_t>(attempt_fate::unknown);
        return known ? static_cast<attempt_fate>(fate) : attempt_fate::unknown;
    }

    result<call_message> unpackFrame(const wire::call_frame& frame)
    {
        // The verifier accepts a union that has a type but no value.
        if (!frame.body())
            return fail(error_kind::malformed, "call message has no body; close the connection");
        const auto attempt = unpack(frame.attempt());
        switch (frame.body_type()) {
        case wire::call_body::request:
            return unpackRequest(attempt, *frame.body_as_request());
        case wire::call_body::reply:
            return unpackReply(attempt, *frame.body_as_reply());
        case wire::call_body::refusal_body:
            return unpackRefusal(attempt, *frame.body_as_refusal_body());
        case wire::call_body::cancel:
            return call_cancel { attempt };
        case wire::call_body::attempt_query:
            return attempt_query { attempt, frame.body_as_attempt_query()->target() };
        case wire::call_body::attempt_status:
            return attempt_status { attempt, unpackFate(frame.body_as_attempt_status()->state()) };
        case wire::call_body::heartbeat:
            return heartbeat { frame.body_as_heartbeat()->sequence() };
        case wire::call_body::drain_notice:
            return drain_notice {};
        default:
            return fail(error_kind::invalidArgument, "call message of a later version; upgrade this node to read it");
        }
    }

} // namespace

message_family familyOf(std::string_view bytes)
{
    // The identifier follows the 4-byte root offset.
    if (bytes.size() < 8)
        return message_family::unknown;
    const auto identifier = bytes.substr(4, 4);
    if (identifier == "LCAL")
        return message_family::call;
    if (identifier == "LFLT")
        return message_family::fleet;
    if (identifier == "LQUO")
        return message_family::quota;
    return message_family::unknown;
}

std::string encode(const call_message& message)
{
    builder out(initialBuilderBytes);
    const auto [kind, body] = std::visit(body_packer { out }, message);
    const auto attempt = pack(attemptOf(message));
    wire::Finishcall_frameBuffer(out, wire::Createcall_frame(out, &attempt, kind, body));
    return { reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize() };
}

result<call_message> parseCallMessage(std::string_view bytes)
{
    if (familyOf(bytes) != message_family::call)
        return fail(error_kind::malformed, "not a call message; close the connection");
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::Verifycall_frameBuffer(verifier))
        return fail(error_kind::malformed, "call message does not verify; close the connection");
    return unpackFrame(*wire::Getcall_frame(data));
}

} // namespace limpet
