#pragma once

#include <limpetcroft/core.h>

namespace limpet {

/// Value of the store key `quota/<region>/<shard>`. It is not bound to the lease of the holder, because it lists the
/// nodes that may take over after the lease has expired.
struct holder_record {
    node_id holder;
    incarnation run = 0;
    std::uint64_t epoch = 0; ///< incremented by each takeover
    std::uint64_t writeId = 0; ///< random; identifies a write whose reply was lost
    std::vector<node_id> candidates; ///< nodes that may take over, without the holder
    store_era era = 0; ///< of the store when it was written
};

std::string encode(const holder_record& record);
result<holder_record> parseHolderRecord(std::string_view bytes);

} // namespace limpet
