#include "gateway.h"

#include "fault.h"
#include "gateway_json.h"

namespace limpet {

using namespace gateway_json;

namespace {

    // Numbers of google.rpc.Code, which the gateway puts into error bodies.
    enum rpc_code : std::uint8_t {
        rpcInvalidArgument = 3,
        rpcNotFound = 5,
        rpcResourceExhausted = 8,
        rpcInternal = 13,
        rpcUnavailable = 14,
        rpcUnauthenticated = 16,
    };
    constexpr auto tooLargeMessage = "etcdserver: request is too large";
    constexpr auto noLeaderMessage = "etcdserver: no leader";

    json encodeEntries(const std::vector<store_entry>& entries)
    {
        json list = json::array();
        for (const store_entry& entry : entries) {
            list.push_back(encodeEntry(entry));
        }
        return list;
    }

    void appendEntries(std::vector<store_entry>& entries, const json& reply)
    {
        if (const json* const list = member(reply, "kvs")) {
            for (const json& entry : *list) {
                entries.push_back(parseEntry(entry));
            }
        }
    }

    gateway_request encodeOne(const store_get& get)
    {
        return { "/v3/kv/range", toText(encodeRange(get.key, get.prefix)) };
    }

    json encodePut(const store_put& put)
    {
        json encoded { { "key", toBase64(put.key) }, { "value", toBase64(put.value) } };
        if (put.lease != 0) {
            encoded["lease"] = std::to_string(put.lease);
        }
        return encoded;
    }

    gateway_request encodeOne(const store_txn& txn)
    {
        json body { { "compare", json::array() }, { "success", json::array() }, { "failure", json::array() } };
        for (const store_compare& compare : txn.compares) {
            body["compare"].push_back({ { "key", toBase64(compare.key) }, { "target", "MOD" }, { "result", "EQUAL" },
                { "mod_revision", std::to_string(compare.modRevision) } });
            body["failure"].push_back({ { "request_range", encodeRange(compare.key, false) } });
        }
        for (const store_write& write : txn.writes) {
            if (const auto* put = std::get_if<store_put>(&write)) {
                body["success"].push_back({ { "request_put", encodePut(*put) } });
            } else {
                const json range { { "key", toBase64(std::get<store_erase>(write).key) } };
                body["success"].push_back({ { "request_delete_range", range } });
            }
        }
        return { "/v3/kv/txn", toText(body) };
    }

    gateway_request encodeOne(const store_lease_grant& grant)
    {
        return { "/v3/lease/grant", toText({ { "TTL", std::to_string(grant.timeToLive.count()) } }) };
    }

    gateway_request encodeOne(const store_lease_keep_alive& keepAlive)
    {
        return { "/v3/lease/keepalive", toText({ { "ID", std::to_string(keepAlive.lease) } }) };
    }

    gateway_request encodeOne(const store_lease_revoke& revoke)
    {
        return { "/v3/lease/revoke", toText({ { "ID", std::to_string(revoke.lease) } }) };
    }

    store_put parsePut(const json& put) { return { bytes(put, "key"), bytes(put, "value"), integer(put, "lease") }; }

    store_write parseWrite(const json& operation)
    {
        if (const json* const put = member(operation, "request_put", "requestPut")) {
            return parsePut(*put);
        }
        const json* const range = member(operation, "request_delete_range", "requestDeleteRange");
        if (range == nullptr || member(*range, "range_end", "rangeEnd") != nullptr) {
            throw std::invalid_argument("a transaction takes puts and deletions of single keys");
        }
        return store_erase { bytes(*range, "key") };
    }

    store_txn parseTxn(const json& body)
    {
        store_txn txn;
        if (const json* const compares = member(body, "compare")) {
            for (const json& compare : *compares) {
                const std::string comparison = compare.value("result", "EQUAL");
                if (compare.value("target", "") != "MOD" || comparison != "EQUAL") {
                    throw std::invalid_argument("a comparison must be of the kind MOD EQUAL");
                }
                txn.compares.push_back({ bytes(compare, "key"), integer(compare, "mod_revision", "modRevision") });
            }
        }
        if (const json* const operations = member(body, "success")) {
            for (const json& operation : *operations) {
                txn.writes.push_back(parseWrite(operation));
            }
        }
        return txn;
    }

    store_operation parseBody(const std::string& path, const json& body)
    {
        if (path == "/v3/kv/range") {
            return parseRange(body);
        }
        if (path == "/v3/kv/put") {
            return store_txn { .writes = { parsePut(body) } };
        }
        if (path == "/v3/kv/txn") {
            return parseTxn(body);
        }
        if (path == "/v3/lease/grant") {
            return store_lease_grant { std::chrono::seconds(integer(body, "TTL")) };
        }
        if (path == "/v3/lease/keepalive") {
            return store_lease_keep_alive { integer(body, "ID") };
        }
        return store_lease_revoke { integer(body, "ID") };
    }

    store_get_reply parseGetReply(const json& body)
    {
        store_get_reply reply { .head = parseHead(body) };
        appendEntries(reply.entries, body);
        return reply;
    }

    store_txn_reply parseTxnReply(const json& body)
    {
        store_txn_reply reply { .succeeded = body.value("succeeded", false), .head = parseHead(body) };
        const json* const responses = member(body, "responses");
        if (reply.succeeded || responses == nullptr) {
            return reply;
        }
        for (const json& response : *responses) {
            if (const json* const range = member(response, "response_range", "responseRange")) {
                appendEntries(reply.current, *range);
            }
        }
        return reply;
    }

    store_reply parseContent(const store_operation& operation, const json& reply)
    {
        if (std::holds_alternative<store_get>(operation)) {
            return parseGetReply(reply);
        }
        if (std::holds_alternative<store_txn>(operation)) {
            return parseTxnReply(reply);
        }
        return store_lease_reply { integer(reply, "ID"), std::chrono::seconds(integer(reply, "TTL")) };
    }

    gateway_reply parseBody(const store_operation& operation, const json& body)
    {
        // A keep-alive is a stream, whose messages are wrapped in "result".
        const bool isStream = std::holds_alternative<store_lease_keep_alive>(operation);
        const json* const wrapped = isStream ? member(body, "result") : nullptr;
        const json& reply = wrapped == nullptr ? body : *wrapped;
        return { parseContent(operation, reply), parseEra(reply) };
    }

    json encodeGetReply(const store_get_reply& reply, store_era era)
    {
        json body { { "header", header(reply.head, era) } };
        if (!reply.entries.empty()) {
            body["kvs"] = encodeEntries(reply.entries);
            body["count"] = std::to_string(reply.entries.size());
        }
        return body;
    }

    json encodeTxnReply(const store_txn& txn, const store_txn_reply& reply, store_era era)
    {
        json body { { "header", header(reply.head, era) }, { "responses", json::array() } };
        if (reply.succeeded) {
            body["succeeded"] = true;
            for (const store_write& write : txn.writes) {
                const bool isPut = std::holds_alternative<store_put>(write);
                body["responses"].push_back({ { isPut ? "response_put" : "response_delete_range", json::object() } });
            }
            return body;
        }
        for (const store_compare& compare : txn.compares) {
            store_get_reply range { .head = reply.head };
            for (const store_entry& entry : reply.current) {
                if (entry.key == compare.key) {
                    range.entries.push_back(entry);
                }
            }
            body["responses"].push_back({ { "response_range", encodeGetReply(range, era) } });
        }
        return body;
    }

    json encodeLeaseReply(const store_operation& operation, const store_lease_reply& reply, store_era era)
    {
        const json replyHeader { { "cluster_id", std::to_string(era) } };
        if (std::holds_alternative<store_lease_revoke>(operation)) {
            return { { "header", replyHeader } };
        }
        json body { { "header", replyHeader }, { "ID", std::to_string(reply.lease) } };
        if (reply.timeToLive.count() != 0) {
            body["TTL"] = std::to_string(reply.timeToLive.count());
        }
        return std::holds_alternative<store_lease_keep_alive>(operation) ? json { { "result", body } } : body;
    }

} // namespace

gateway_request encodeRequest(const store_operation& operation)
{
    return std::visit([](const auto& each) { return encodeOne(each); }, operation);
}

result<store_operation> parseRequest(const std::string& path, const std::string& body)
{
    return parseJson(body, [&](const json& document) { return parseBody(path, document); });
}

std::string encodeReply(const store_operation& operation, const store_reply& reply, store_era era)
{
    if (const auto* get = std::get_if<store_get_reply>(&reply)) {
        return toText(encodeGetReply(*get, era));
    }
    if (const auto* txn = std::get_if<store_txn_reply>(&reply)) {
        return toText(encodeTxnReply(std::get<store_txn>(operation), *txn, era));
    }
    return toText(encodeLeaseReply(operation, std::get<store_lease_reply>(reply), era));
}

result<gateway_reply> parseReply(const store_operation& operation, const std::string& body)
{
    return parseJson(body, [&](const json& document) { return parseBody(operation, document); });
}

gateway_error encodeError(const error& cause)
{
    const auto encode = [](unsigned status, int code, const std::string& message) {
        return gateway_error { status, toText({ { "error", message }, { "code", code }, { "message", message } }) };
    };
    switch (cause.kind) {
    case error_kind::invalidArgument:
    case error_kind::malformed:
        return encode(400, rpcInvalidArgument, "etcdserver: " + cause.message);
    case error_kind::tooLarge:
        return encode(400, rpcInvalidArgument, tooLargeMessage);
    case error_kind::notFound:
        return encode(404, rpcNotFound, "etcdserver: " + cause.message);
    case error_kind::unavailable:
        return encode(503, rpcUnavailable, noLeaderMessage);
    default:
        return encode(500, rpcInternal, cause.message);
    }
}

error parseError(const store_operation& operation, unsigned status, const std::string& body)
{
    const json document = json::parse(body, nullptr, false);
    const bool isObject = document.is_object();
    const json code = isObject ? document.value("code", json()) : json();
    const json text = isObject ? document.value("message", json()) : json();
    const std::string message = text.is_string() ? text.get<std::string>() : std::string();
    switch (code.is_number_integer() ? code.get<int>() : 0) {
    case rpcInvalidArgument:
        if (message == tooLargeMessage) {
            return { error_kind::tooLarge, "the store takes no more than 1 MB in a request; make the value smaller" };
        }
        return { error_kind::invalidArgument, "the store refused the request: " + message };
    case rpcNotFound:
        return { error_kind::notFound, "the store refused the request: " + message };
    case rpcUnauthenticated:
        return { error_kind::unauthenticated, "the store refused the request: " + message };
    case rpcResourceExhausted:
        // Refused before anything was proposed to the store's members.
        return { error_kind::unavailable, "the store refused the request: " + message };
    default:
        break;
    }
    // Without a leader nothing is proposed; other messages of the same code may follow a proposal.
    if (message == noLeaderMessage) {
        return { error_kind::unavailable, "the store has no leader; try again later" };
    }
    return missingReply(operation, "the store answered with HTTP status " + std::to_string(status) + " " + message);
}

} // namespace limpet
