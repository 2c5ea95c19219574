#include "gateway.h"
#include "gateway_json.h"

#include <algorithm>

namespace limpet {

using namespace gateway_json;

namespace {

    store_watch_event parseChanges(const json& events)
    {
        store_changes changes;
        for (const json& event : events) {
            const json* const entry = member(event, "kv");
            if (entry == nullptr) {
                throw std::invalid_argument("an event has no key");
            }
            changes.changes.push_back({ event.value("type", "PUT") == "DELETE", parseEntry(*entry) });
            changes.revision = std::max(changes.revision, changes.changes.back().entry.modRevision);
        }
        return changes;
    }

} // namespace

std::string encodeWatch(const gateway_watch& watch)
{
    json create = encodeRange(watch.prefix, true);
    create["progress_notify"] = true;
    if (watch.from != 0) {
        create["start_revision"] = std::to_string(watch.from);
    }
    return toText({ { "create_request", create } });
}

result<gateway_watch> parseWatch(const std::string& body)
{
    return parseJson(body, [](const json& document) {
        const json* const create = member(document, "create_request", "createRequest");
        if (create == nullptr) {
            throw std::invalid_argument("only create_request is served");
        }
        const store_get range = parseRange(*create);
        if (!range.prefix) {
            throw std::invalid_argument("only a prefix can be watched");
        }
        return gateway_watch { range.key, integer(*create, "start_revision", "startRevision") };
    });
}

std::string encodeWatchEvent(const store_watch_event& event, const store_position& head)
{
    json body { { "header", header(head.revision, head.era) } };
    if (const auto* changes = std::get_if<store_changes>(&event)) {
        body["events"] = json::array();
        for (const store_change& change : changes->changes) {
            json encoded { { "kv", encodeEntry(change.entry) } };
            if (change.erased) {
                encoded["type"] = "DELETE";
            }
            body["events"].push_back(std::move(encoded));
        }
    } else {
        body["canceled"] = true;
    }
    if (const auto* compacted = std::get_if<store_compacted>(&event)) {
        body["compact_revision"] = std::to_string(compacted->oldest - 1);
    }
    return toText({ { "result", body } }) + "\n";
}

std::string encodeWatchNotice(gateway_notice notice, const store_position& head)
{
    json body { { "header", header(head.revision, head.era) } };
    if (notice == gateway_notice::created) {
        body["created"] = true;
    }
    return toText({ { "result", body } }) + "\n";
}

result<gateway_watch_message> parseWatchMessage(const std::string& line)
{
    return parseJson(line, [](const json& document) {
        const json* const body = member(document, "result");
        if (body == nullptr) {
            // An error object ends the stream.
            return gateway_watch_message { .cancelled = true };
        }
        gateway_watch_message message {
            .era = parseEra(*body),
            .head = parseHead(*body),
            .created = body->value("created", false),
            .cancelled = body->value("canceled", false),
        };
        const std::int64_t compacted = integer(*body, "compact_revision", "compactRevision");
        const json* const events = member(*body, "events");
        if (compacted != 0) {
            message.event = store_compacted { compacted + 1 };
        } else if (events != nullptr && !events->empty()) {
            message.event = parseChanges(*events);
        }
        return message;
    });
}

} // namespace limpet
