#pragma once

// Time that frames spend on a link between nodes, measured without comparing the clocks of its two ends.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Returns the time at which a frame is sent, as it is written in the frame.
std::uint32_t frameTimestamp(time_point now);

/// How long the frames of one link were under way. The difference between the clocks of the two nodes is unknown but
/// constant, so that the frame with the least difference between its arrival and its timestamp was the fastest.
class link_transit {
public:
    /// Returns how much longer a frame was under way than the fastest one. Zero for an unknown timestamp (0).
    duration delayOf(std::uint32_t timestamp, time_point now);

private:
    std::optional<std::uint32_t> m_leastOffset; ///< in milliseconds, modulo 2^32
};

} // namespace limpet::mesh
