#pragma once

// Time that frames spend on a link between nodes, measured without comparing the clocks of its two ends.

#include <limpetcroft/mesh.h>

namespace limpet::mesh {

/// Returns the time at which a frame is sent, as it is written in the frame.
std::uint32_t frameTimestamp(time_point now);

/// How long a received frame was under way.
struct frame_age {
    duration delay { 0 }; ///< above the fastest frame of the link
    /// Upper bound. Empty if there is none: the first frames of a link may all have waited equally long.
    std::optional<duration> most;
    bool known = true; ///< false: the sender is of an earlier version, which writes no timestamps
};

/// How long the frames of one link were under way. The difference between the clocks of the two nodes is unknown but
/// constant, so that the frame with the least difference between its arrival and its timestamp was the fastest. A reply
/// to a question cannot have been under way for longer than the time since the question, which bounds the age of all
/// other frames.
class link_transit {
public:
    /// Handles a frame. timestamp: as written in it; 0: unknown.
    frame_age receive(std::uint32_t timestamp, time_point now);
    /// Handles the timestamp of a reply to a question asked at that time.
    void receiveReply(std::uint32_t timestamp, time_point askedAt, time_point now);

private:
    /// Differences between the clock of the receiver and timestamps, in milliseconds, modulo 2^32.
    std::optional<std::uint32_t> m_leastOffset;
    std::uint32_t m_clockBound = 0; ///< at most the difference of the two clocks
    time_point m_clockBoundAt = time_point::min(); ///< min: there is no bound
};

} // namespace limpet::mesh
