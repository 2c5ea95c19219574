// Calls that may have been under way for long: their callers are asked whether they still wait, since their cancels may
// be under way as well.

#include "state.h"

namespace limpet::mesh {

/// Asks the caller whether it still waits for the call.
void node::state::askCaller(received_call received, time_point now, actions& out)
{
    const serving_key key { received.link, received.content.id };
    heldBytes += received.content.body.size();
    confirmationTimeouts.emplace(now + options.maxUncheckedAge, key);
    unconfirmedCalls.emplace(key, unconfirmed_call { std::move(received), now });
    ++counts.checkedCalls;
    sendCheck(key, now, out);
}

void node::state::sendCheck(const serving_key& key, time_point now, actions& out) const
{
    wire::frame_data frame;
    frame.check = std::make_unique<wire::call_check_data>();
    frame.check->id = key.id;
    replyOver(key.link, std::move(frame), now, out);
}

/// Holds a call of an execution if the cancel of that execution may be under way: nothing recent has arrived over its
/// link. Its caller is asked.
bool node::state::holdForParent(const ingress_call& call, time_point now, actions& out)
{
    const auto parent = call.parent ? serving.find(*call.parent) : serving.end();
    if (parent == serving.end() || !parent->second.content.idempotent)
        return false;
    const serving_key key { parent->second.link, parent->second.id };
    const auto link = links.find(key.link);
    if (link == links.end() || !link->second.answersChecks || now - link->second.currentAt <= options.maxUncheckedAge)
        return false;
    auto& held = heldCalls[key];
    held.calls.push_back(call.request.call);
    if (held.calls.size() > 1)
        return true;
    held.askedAt = now;
    sendCheck(key, now, out);
    log(out, "call_held", { { "id", call.request.requestId }, { "link", std::to_string(key.link) } });
    return true;
}

/// Sends the calls that waited for a confirmation, unless it has taken too long itself.
void node::state::releaseHeld(const serving_key& key, time_point now, actions& out)
{
    const auto found = heldCalls.find(key);
    if (found == heldCalls.end())
        return;
    auto& currentAt = links[key.link].currentAt;
    currentAt = std::max(currentAt, found->second.askedAt);
    if (now - currentAt > options.maxUncheckedAge) {
        found->second.askedAt = now;
        sendCheck(key, now, out);
        return;
    }
    const auto released = std::move(found->second.calls);
    heldCalls.erase(found);
    for (const auto id : released) {
        if (const auto call = calls.find(id); call != calls.end())
            startCall(call->second, now, out);
    }
}

/// Answers the calls that waited for a caller that has left.
void node::state::refuseHeld(const serving_key& key, time_point now, actions& out)
{
    const auto found = heldCalls.find(key);
    if (found == heldCalls.end())
        return;
    const auto refused = std::move(found->second.calls);
    heldCalls.erase(found);
    for (const auto id : refused) {
        if (const auto call = calls.find(id); call != calls.end())
            answerWithRefusal(call->second, refusal_reason::callerGone, duration(0), now, out);
    }
}

/// Ends the wait for a confirmation. Returns nothing if there was none. result: for the log.
std::optional<unconfirmed_call> node::state::endAsking(
    const serving_key& key, std::string_view result, time_point now, actions& out)
{
    auto ended = unconfirmedCalls.extract(key);
    if (ended.empty())
        return std::nullopt;
    auto& call = ended.mapped();
    heldBytes -= call.received.content.body.size();
    confirmationTimeouts.erase({ call.askedAt + options.maxUncheckedAge, key });
    log(out, "call_checked",
        { { "id", call.received.content.request_id }, { "result", std::string(result) },
            { "delay_ms", milliseconds(call.received.delay) }, { "ms", milliseconds(now - call.askedAt) } });
    return std::move(call);
}

/// Accepts a call whose caller still waited for it when it sent the confirmation, which is no older than the question.
void node::state::callConfirmed(const frame_received& received, const wire::call_confirmation_data& confirmation,
    const frame_age& age, std::uint32_t timestamp, time_point now, actions& out)
{
    const serving_key key { received.link, confirmation.id };
    if (const auto held = heldCalls.find(key); held != heldCalls.end())
        links[received.link].transit.receiveReply(timestamp, held->second.askedAt, now);
    releaseHeld(key, now, out);
    const auto asked = unconfirmedCalls.find(key);
    if (asked == unconfirmedCalls.end())
        return;
    auto& link = links[received.link];
    link.transit.receiveReply(timestamp, asked->second.askedAt, now);
    link.currentAt = std::max(link.currentAt, asked->second.askedAt);
    if (now - asked->second.askedAt > options.maxUncheckedAge) {
        refuseUnconfirmed(now, out);
        return;
    }
    auto confirmed = endAsking(key, "confirmed", now, out);
    auto& call = confirmed->received;
    const auto remaining = boundedTime(confirmation.remaining_us);
    const auto passed = boundedTime(call.content.remaining_us) - remaining;
    call.content.queue_us = (boundedTime(call.content.queue_us) - passed).count();
    call.content.remaining_us = remaining.count();
    call.delay = std::min(age.delay, now - confirmed->askedAt);
    call.mayBeStale = false;
    // Its cancel may have been received together with the confirmation.
    receivedCalls.push_back(std::move(call));
}

/// Refuses calls that were not confirmed in time. They may be executed elsewhere.
void node::state::refuseUnconfirmed(time_point now, actions& out)
{
    while (!confirmationTimeouts.empty() && confirmationTimeouts.begin()->first <= now) {
        const auto key = confirmationTimeouts.begin()->second;
        endAsking(key, "unconfirmed", now, out);
        ++counts.unconfirmedCalls;
        arrivals.add(now);
        sendFailure(key, failure_kind::notExecuted, duration(0), now, out);
    }
}

/// Confirms an attempt that is in flight, or repeats its cancel. The question took the place of a reply in the count of
/// those that are expected.
void node::state::answerCheck(const frame_received& received, std::uint64_t attempt, time_point now, actions& out)
{
    if (received.peer.ip.empty())
        return;
    wire::frame_data frame;
    const auto found = callByAttempt.find(attempt);
    if (found != callByAttempt.end()) {
        frame.confirmation = std::make_unique<wire::call_confirmation_data>();
        frame.confirmation->id = attempt;
        frame.confirmation->remaining_us = (calls.at(found->second).deadline - now).count();
    } else {
        frame.cancel = std::make_unique<wire::call_cancel_data>();
        frame.cancel->id = attempt;
    }
    sendFrame(received.peer, std::move(frame), 1, now, out);
}

} // namespace limpet::mesh
