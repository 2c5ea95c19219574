#pragma once

#include <limpetcroft/ledger.h>

namespace limpet {

/// State of a claim as stored.
enum class claim_phase : std::uint8_t {
    inFlight,
    completed,
    abandoned, ///< the owner will write no response; the request may have been executed
};

/// Value stored under `claim/<digest>`.
struct claim_record {
    node_id owner;
    incarnation run = 0;
    std::uint64_t nonce = 0; ///< random; identifies the own record after a create whose reply was lost
    digest fingerprint {};
    claim_phase phase = claim_phase::inFlight;
    stored_response response;
};

/// Returns the store key of a claim.
std::string claimKey(std::string_view team, std::string_view key);
/// Encodes the record as CBOR.
std::string encode(const claim_record& record);
result<claim_record> parseClaimRecord(std::string_view bytes);

} // namespace limpet
