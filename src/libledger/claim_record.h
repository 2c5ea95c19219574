#pragma once

#include <limpetcroft/ledger.h>

namespace limpet {

enum class claim_phase : std::uint8_t {
    inFlight,
    answered,
    unknown, ///< the owner gave up; the request may have run
};

/// Value of `claim/<digest>`.
struct claim_record {
    node_id owner;
    incarnation run = 0;
    std::uint64_t mark = 0; ///< random; finds a write whose reply was lost
    digest fingerprint {};
    claim_phase phase = claim_phase::inFlight;
    stored_response answer;
};

/// Key of a claim in the store.
std::string claimKey(std::string_view team, std::string_view key);
std::string encode(const claim_record& record);
result<claim_record> parseClaimRecord(std::string_view bytes);

} // namespace limpet
