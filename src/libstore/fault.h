#pragma once

#include <limpetcroft/store.h>

namespace limpet {

/// Sets the lasting part of a fault. watchDropped, compaction, copy and restore act once and are up to the caller.
void setFault(store_fault_state& faults, const store_injection& injection);

/// What a fault does to one call.
enum class call_fate : std::uint8_t {
    answered,
    refused, ///< no effect, and the caller is told so
    requestLost, ///< no effect, and the caller hears nothing
    replyLost, ///< takes effect, and the caller hears nothing
};

/// Decides the fate of a call. Only writes are lost, because a lost read is no other fault than a slow store.
call_fate takeFate(store_fault_state& faults, const store_operation& operation);

/// Counts one call.
void count(store_counters& counters, const store_operation& operation);

/// Error of a call whose reply did not come.
error missingReply(const store_operation& operation, const std::string& what);

} // namespace limpet
