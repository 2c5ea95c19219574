// The daemon's HTTP traffic: requests of clients, the local backend server and its notices.

#include "daemon_state.h"
#include <strings.h>

namespace limpet::proxy {
namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusMisdirected = 421;
    constexpr int firstNonSuccessStatus = 300;
    constexpr duration healthCheckTimeout = std::chrono::seconds(1);
    constexpr duration probeInterval = std::chrono::milliseconds(400);

    bool equalsIgnoreCase(const std::string& left, const std::string& right)
    {
        return strcasecmp(left.c_str(), right.c_str()) == 0;
    }

    std::optional<duration> parseMilliseconds(const std::string* text)
    {
        if (!text || text->empty())
            return std::nullopt;
        char* end = nullptr;
        const double value = std::strtod(text->c_str(), &end);
        constexpr double maxMilliseconds = 3600e3;
        if (end == text->c_str() || !(value >= 0 && value <= maxMilliseconds))
            return std::nullopt;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
    }

} // namespace

void mesh_daemon::state::handleClientRequest(std::uint64_t exchange, http_request request)
{
    const auto& names = adapter.headers;
    if (responses.scarce()) {
        refuseForUnreadResponses(exchange, request);
        return;
    }
    mesh::client_request event;
    event.call = exchange;
    const auto headerValue = [&](const std::string& name) {
        const auto* value = findHeader(request.headers, name);
        return value ? *value : std::string();
    };
    event.requestId = headerValue(names.requestId);
    event.host = headerValue("Host");
    const auto key = headerValue(names.apiKey);
    if (!key.empty())
        event.key = digestOf(key);
    event.deadline = parseMilliseconds(findHeader(request.headers, names.deadline));
    if (event.deadline)
        event.deadline = std::max(duration(0), *event.deadline - loop.pauseBefore());
    const auto connectionHeader = headerValue("Connection");
    std::erase_if(request.headers, [&](const header& each) {
        for (const auto* name :
            { &names.requestId, &names.deadline, &names.apiKey, &names.team, &names.endpoint, &names.callerService }) {
            if (equalsIgnoreCase(each.name, *name))
                return true;
        }
        return isHopByHop(each.name, connectionHeader);
    });
    event.content = std::move(request);
    nodeMetrics.requestStarted(exchange, bootTime());
    handle(std::move(event));
}

/// Refuses a request that was not passed on: its response could not be held.
void mesh_daemon::state::refuseForUnreadResponses(std::uint64_t exchange, const http_request& request)
{
    const auto* id = findHeader(request.headers, adapter.headers.requestId);
    logEvent({ "request_rejected",
        { { "id", id ? *id : "" }, { "status", std::to_string(statusUnavailable) },
            { "held_bytes", std::to_string(responses.used()) } } });
    auto refusal = textResponse(statusUnavailable, "too many responses are unread; try again later\n");
    refusal.headers.push_back(makeRetryAfter(responses, 0, bootTime()));
    clientServer.respond(exchange, refusal);
}

void mesh_daemon::state::runOnBackend(const mesh::run_on_backend& run)
{
    const auto& names = adapter.headers;
    exchange_request request;
    request.content = run.content;
    auto& headers = request.content.headers;
    std::vector<header> addedHeaders { { "Host", run.host }, { names.requestId, run.requestId },
        { names.deadline, std::to_string(std::max<std::int64_t>(1, run.remaining.count() / 1000)) },
        { names.endpoint, run.backendId }, { names.callerService, run.callerService } };
    if (!run.team.empty())
        addedHeaders.push_back({ names.team, run.team });
    headers.insert(headers.begin(), addedHeaders.begin(), addedHeaders.end());
    request.idHeader = names.requestId;
    request.id = run.requestId;
    request.newConnection = run.resent || run.requestId.empty();
    const auto attempt = run.attempt;
    const bool idempotent = run.idempotent;
    exchangeByAttempt[attempt] = backendPool.start(
        std::move(request), [this, attempt, idempotent](tl::expected<http_answer, exchange_failure> outcome) {
            exchangeByAttempt.erase(attempt);
            handleBackendOutcome(attempt, idempotent, std::move(outcome));
        });
}

void mesh_daemon::state::handleBackendOutcome(
    std::uint64_t attempt, bool idempotent, tl::expected<http_answer, exchange_failure> outcome)
{
    const auto& names = adapter.headers;
    mesh::backend_result result { attempt, tl::unexpected(mesh::failure_kind::lost) };
    if (!outcome) {
        const bool noCapacity = outcome.error() == exchange_failure::noCapacity;
        if (noCapacity || outcome.error() == exchange_failure::notSent) {
            result.outcome = tl::unexpected(mesh::failure_kind::notExecuted);
            handle(std::move(result));
            if (noCapacity) {
                logEvent({ "backend_connections_used", { { "attempt", std::to_string(attempt) } } });
                return;
            }
            handle(mesh::backend_reachability { false });
            probeBackend();
            return;
        }
        handle(std::move(result));
        return;
    }
    auto& response = *outcome;
    const bool hasSignature = findHeader(response.headers, names.signature) != nullptr;
    const bool rejected
        = findHeader(response.headers, names.notExecuted) != nullptr || response.status == statusMisdirected;
    // These statuses claim that the request was not executed, but a backend server may return them after executing it.
    // Such a response is therefore not treated as a rejection, and for a non-idempotent request it counts as lost.
    const bool claimsNotExecuted
        = response.status == statusUnavailable || response.status == 429 || response.status == 408;
    if (rejected)
        result.outcome = tl::unexpected(mesh::failure_kind::rejected);
    else if ((hasSignature || response.status >= firstNonSuccessStatus) && (idempotent || !claimsNotExecuted)) {
        const auto* connectionHeader = findHeader(response.headers, "Connection");
        const std::string connectionOptions = connectionHeader ? *connectionHeader : "";
        std::erase_if(response.headers, [&](const header& each) { return isHopByHop(each.name, connectionOptions); });
        result.outcome = std::move(response);
    } else
        logEvent({ "answer_unusable",
            { { "attempt", std::to_string(attempt) }, { "status", std::to_string(response.status) },
                { "signed", hasSignature ? "1" : "0" } } });
    handle(std::move(result));
}

void mesh_daemon::state::logSkippedResponse(const skipped_response& skipped)
{
    logEvent({ "response_skipped",
        { { "id", skipped.id }, { "received_id", skipped.receivedId }, { "status", std::to_string(skipped.status) },
            { "connection", std::to_string(skipped.connection) } } });
}

void mesh_daemon::state::logMalformedResponse(const malformed_response& malformed)
{
    logEvent({ "response_malformed",
        { { "id", malformed.id }, { "reason", std::string(malformed.violation) },
            { "connection", std::to_string(malformed.connection) } } });
}

/// Probes the backend server's port at regular intervals until it accepts connections again.
void mesh_daemon::state::probeBackend()
{
    if (probing)
        return;
    probing = true;
    loop.callAt(bootTime() + probeInterval, [this] {
        backendPool.probe([this](bool reachable) {
            probing = false;
            if (reachable)
                handle(mesh::backend_reachability { true });
            else
                probeBackend();
        });
    });
}

void mesh_daemon::state::checkBackend(const std::string& healthPath)
{
    exchange_request request;
    request.content.method = "GET";
    request.content.path = healthPath;
    request.content.headers = { { "Host", toText(settings.backendAddress) } };
    request.timeout = healthCheckTimeout;
    request.newConnection = true; // its response has no identifier
    backendPool.start(std::move(request), [this](tl::expected<http_answer, exchange_failure> outcome) {
        mesh::backend_check_result checked;
        const auto* id = outcome ? findHeader(outcome->headers, adapter.headers.instanceId) : nullptr;
        if (id)
            checked.id = *id;
        checked.healthy = outcome && outcome->status == statusOk;
        if (outcome)
            checked.coldRemaining = parseMilliseconds(findHeader(outcome->headers, adapter.headers.coldRemaining));
        handle(std::move(checked));
    });
}

http_answer mesh_daemon::state::handleControl(const http_request& request)
{
    const auto notice = adapter.parseNotice(request);
    if (!notice) {
        logEvent({ "notice_rejected", { { "path", request.path }, { "reason", notice.error().message } } });
        const bool unknown = notice.error().kind == error_kind::notFound;
        return textResponse(unknown ? statusNotFound : statusBadRequest, notice.error().message + "\n");
    }
    std::visit([this](const auto& each) { handle(each); }, *notice);
    http_answer response;
    response.status = statusOk;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = makeBytes("{}");
    return response;
}

} // namespace limpet::proxy
