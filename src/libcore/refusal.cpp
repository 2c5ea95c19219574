#include <limpetcroft/core.h>

namespace limpet {
namespace {

    struct reason_row {
        std::string_view name;
        int status;
        std::string_view remedy;
    };

    // Indexed by refusal_reason: one row for each enumerator, in the same order.
    constexpr std::array<reason_row, refusalReasonCount> reasonTable { {
        { "key-missing", 401, "Send the team's key as 'Authorization: Bearer KEY'." },
        { "key-invalid", 401, "Use a key that is in force; ask the operators for a new one." },
        { "key-unconfirmed", 503, "Send the request to another node, or again later." },
        { "unknown-route", 404, "Check the method and path against the rules file." },
        { "rate-exceeded", 429, "Wait for the stated time, or ask the operators for a higher rate." },
        { "overloaded", 503, "Wait for the stated time before sending it again." },
        { "deadline-too-short", 503, "Send it with a longer deadline, or again later." },
        { "deadline-exceeded", 504, "Check whether it took effect before sending it again." },
        { "no-backend-server", 503, "Wait until a backend server of the service is up." },
        { "draining", 503, "Connect to another node." },
        { "not-ready", 503, "Connect to another node, or wait until this one has its configuration." },
        { "too-deep", 508, "Shorten the chain of calls." },
        { "too-large", 413, "Send a smaller request." },
        { "malformed", 400, "Correct the request." },
        { "claim-unavailable", 503,
            "Send it again later, or without Idempotency-Key to run it without that protection." },
        { "claim-in-progress", 409, "Wait for the first request to finish, then ask again with the same key." },
        { "claim-mismatch", 422, "Use a new Idempotency-Key for a different request." },
        { "connection-lost", 502, "Check whether it took effect before sending it again." },
        { "backend-failed", 502, "Check whether it took effect before sending it again." },
        { "cancelled", 499, "Send it again if it is still wanted." },
        { "internal", 500, "Report it with the request id." },
        { "caller-gone", 503, "Stop the work that the call belongs to; nobody waits for it." },
    } };

    const reason_row& row(refusal_reason reason) { return reasonTable.at(static_cast<std::size_t>(reason)); }

} // namespace

std::string_view name(refusal_reason reason) { return row(reason).name; }

int httpStatus(refusal_reason reason) { return row(reason).status; }

std::string_view remedy(refusal_reason reason) { return row(reason).remedy; }

} // namespace limpet
