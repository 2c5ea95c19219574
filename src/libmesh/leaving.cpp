// Planned shutdown of this node: which requests it still takes, and what becomes of those that cannot end before it.
// Requests that no backend server has begun are answered as not executed while there is time, so that their callers can
// go to another node. Those that may have begun go on until the node ends.

#include "state.h"
#include <cmath>

namespace limpet::mesh {
namespace {

    // For the response on its way back, and for calls that take longer than the mean. Exceeds the round trip between
    // regions, in which a recall is answered.
    constexpr duration answerMargin = std::chrono::milliseconds(300);
    // Between two searches for calls to recall.
    constexpr duration recallInterval = std::chrono::milliseconds(50);

} // namespace

void node::state::leave(const leave_request& request, time_point now)
{
    self.leaving = true;
    urgentStatusDue = true;
    if (leaveStartedAt != time_point::max())
        return;
    leaveStartedAt = now;
    answersEndAt = request.answersEndAt;
    if (answersEndAt != time_point::max())
        nextRecallAt = now;
}

bool node::state::acceptsRequests(time_point now) const
{
    return leaveStartedAt == time_point::max()
        || (now - leaveStartedAt <= options.acceptWhileLeaving && now < answersEndAt);
}

/// Returns until when a call has to start so that its response is passed on before this node ends.
time_point node::state::lastStart(duration executionTime) const
{
    return answersEndAt == time_point::max() ? answersEndAt : answersEndAt - answerMargin - executionTime;
}

/// Returns the mean time that the backend server beside a node takes for a call.
duration node::state::executionTimeAt(const std::string& nodeName) const
{
    auto known = duration(std::llround(latency));
    if (nodeName != options.name) {
        const auto peer = peers.find(nodeName);
        known = peer == peers.end() ? duration(0) : peer->second.load.latency;
    }
    return known > duration(0) ? known : options.loadBalancing.defaultLatency;
}

/// Whether a call that is sent to the backend server now can probably end before this node does.
bool node::state::canFinishAt(const endpoint& target, time_point now) const
{
    return now < lastStart(executionTimeAt(target.node));
}

/// Does what is due while this node leaves.
void node::state::advanceLeaving(time_point now, actions& out)
{
    if (now < nextRecallAt)
        return;
    if (now >= answersEndAt) {
        nextRecallAt = time_point::max();
        endAnswers(now, out);
        return;
    }
    nextRecallAt = std::min(now + recallInterval, answersEndAt);
    recallAttempts(now, out);
}

/// Asks the other nodes to fail the calls that have not started and would not end in time.
void node::state::recallAttempts(time_point now, actions& out)
{
    for (auto& [id, call] : calls) {
        for (auto& attempt : call.attempts) {
            const auto peer = peers.find(attempt.node);
            if (attempt.recalled || peer == peers.end() || now < lastStart(executionTimeAt(attempt.node)))
                continue;
            attempt.recalled = true;
            wire::frame_data frame;
            frame.recall = std::make_unique<wire::call_recall_data>();
            frame.recall->id = attempt.id;
            sendFrame(peer->second.address, std::move(frame), 0, now, out);
        }
    }
}

/// Answers all requests that are left. One that was never sent is not executed; the others may be.
void node::state::endAnswers(time_point now, actions& out)
{
    std::vector<std::uint64_t> left;
    for (const auto& [id, call] : calls)
        left.push_back(id);
    std::sort(left.begin(), left.end());
    for (const auto id : left) {
        const auto found = calls.find(id);
        if (found == calls.end())
            continue;
        auto& call = found->second;
        cancelAttempts(call, "leaving", now, out);
        if (call.fallback)
            deliver(call, std::move(*call.fallback), "backend-failure", now, out);
        else if (call.sends == 0)
            answerWithRefusal(call, refusal_reason::draining, defaultRetryAfter, now, out);
        else
            answerWithRefusal(call, refusal_reason::connectionLost, duration(0), now, out);
    }
}

/// Handles that a caller which ends soon recalls a call. One that has started goes on; one that is unknown has been
/// answered.
void node::state::recallReceived(const serving_key& key, time_point now, actions& out)
{
    const auto received = std::find_if(receivedCalls.begin(), receivedCalls.end(),
        [&](const received_call& each) { return each.link == key.link && each.content.id == key.id; });
    if (received != receivedCalls.end()) {
        log(out, "call_refused", { { "id", received->content.request_id }, { "reason", "recalled" } });
        receivedCalls.erase(received);
        sendFailure(key, failure_kind::notExecuted, duration(0), now, out);
        return;
    }
    if (endAsking(key, "recalled", now, out)) {
        sendFailure(key, failure_kind::notExecuted, duration(0), now, out);
        return;
    }
    const auto found = servingByKey.find(key);
    if (found != servingByKey.end() && !serving.at(found->second).started)
        refuseWaiting(found->second, refusal_reason::draining, now, out);
}

} // namespace limpet::mesh
