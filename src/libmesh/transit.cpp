// Frames sent to other nodes, and how long the frames received from them were under way.

#include "state.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    // A link whose frames are delayed by less than this is no longer reported as delayed.
    constexpr duration regainedLink = std::chrono::milliseconds(40);

} // namespace

/// Sends a frame over the link to that node. expectedReplyDelta: change of the number of replies expected from it.
void node::state::sendFrame(const socket_address& to, wire::frame_data frame, int expectedReplyDelta, time_point now,
    actions& out, traffic_class traffic) const
{
    frame.sent_ms = frameTimestamp(now);
    out.emplace_back(send_frame { to, encodeFrame(frame), expectedReplyDelta, traffic });
}

/// Sends a frame over the link on which a frame arrived.
void node::state::replyOver(
    std::uint64_t link, wire::frame_data frame, time_point now, actions& out, write_pace pace) const
{
    frame.sent_ms = frameTimestamp(now);
    out.emplace_back(reply_frame { link, encodeFrame(frame), pace });
}

/// Returns how long a received frame was under way, counts its delay, and logs when the link becomes slow or fast.
frame_age node::state::measureAge(const frame_received& received, std::uint32_t timestamp, time_point now, actions& out)
{
    auto& link = links[received.link];
    const auto age = link.transit.receive(timestamp, now);
    const auto delay = age.delay;
    link.answersChecks = link.answersChecks || age.known;
    if (!age.known || age.most)
        link.currentAt = std::max(link.currentAt, now - age.most.value_or(duration(0)));
    const auto bucket = std::lower_bound(frameDelayBounds.begin(), frameDelayBounds.end(), delay);
    ++counts.framesByDelay.at(static_cast<std::size_t>(bucket - frameDelayBounds.begin()));
    const auto* peer = peerByAddress(received.peer);
    const auto report = [&](const char* event) {
        log(out, event,
            { { "link", std::to_string(received.link) }, { "peer", peer ? peer->node : "" },
                { "delay_ms", milliseconds(delay) }, { "peak_ms", milliseconds(link.peakDelay) },
                { "paused_ms", milliseconds(received.delay) } });
    };
    const bool wasDelayed = link.delayedSince != time_point::max();
    link.peakDelay = std::max(link.peakDelay, delay);
    if (!wasDelayed && delay >= delayedLink) {
        link.delayedSince = now;
        report("link_delayed");
    } else if (wasDelayed && delay < regainedLink) {
        report("link_regained");
        link.delayedSince = time_point::max();
        link.peakDelay = duration(0);
    }
    return age;
}

} // namespace limpet::mesh
