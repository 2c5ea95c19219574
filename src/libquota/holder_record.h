#pragma once

#include <limpetcroft/core.h>

namespace limpet {

/// Value of `quota/<region>/<shard>`. It outlives the lease of its holder, because it names who may take over.
struct holder_record {
    node_id holder;
    incarnation run = 0;
    std::uint64_t epoch = 0; ///< one more with each takeover
    std::uint64_t writeId = 0; ///< random; finds a write whose reply was lost
    std::vector<node_id> candidates; ///< who may take over; without the holder
};

std::string encode(const holder_record& record);
result<holder_record> parseHolderRecord(std::string_view bytes);

} // namespace limpet
