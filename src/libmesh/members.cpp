// Other nodes: frames from them, and their state.

#include "state.h"
#include <algorithm>

namespace limpet::mesh {
namespace {

    constexpr duration maxRetryAfter = std::chrono::seconds(10);
    // Datagrams of an earlier run of a node arrive no later than this after its last one.
    constexpr duration clockRollbackTimeout = std::chrono::milliseconds(1300);

} // namespace

endpoint* node::state::peerByAddress(const socket_address& address)
{
    const auto found = peerNameByAddress.find(address);
    if (found == peerNameByAddress.end())
        return nullptr;
    const auto peer = peers.find(found->second);
    return peer == peers.end() ? nullptr : &peer->second;
}

/// Calls are served after all frames that were received together: a caller that left while they waited in the network
/// must not have its call executed.
void node::state::receiveFrame(const frame_received& received, time_point now, actions& out)
{
    if (auto parsed = parseFrame(received.bytes)) {
        const auto age = measureAge(received, parsed->sent_ms, now, out);
        handleFrame(received, std::move(*parsed), age, now, out);
    } else
        log(out, "frame_ignored", { { "reason", parsed.error().message } });
    if (!received.isLast)
        return;
    for (auto& each : std::exchange(receivedCalls, {}))
        serve(std::move(each), now, out);
}

/// Handles the caller's cancel of a call that is being served or is about to be.
void node::state::cancelReceived(const serving_key& key, time_point now, actions& out)
{
    const auto found = std::find_if(receivedCalls.begin(), receivedCalls.end(),
        [&](const received_call& each) { return each.link == key.link && each.content.id == key.id; });
    if (found == receivedCalls.end()) {
        if (!endAsking(key, "cancelled", now, out))
            cancelServing(key, "caller", now, out);
        refuseHeld(key, now, out);
        return;
    }
    log(out, "call_cancelled", { { "id", found->content.request_id }, { "reason", "with-its-call" } });
    receivedCalls.erase(found);
}

void node::state::handleFrame(
    const frame_received& received, wire::frame_data frame, const frame_age& age, time_point now, actions& out)
{
    const auto updateLoad = [&](const std::unique_ptr<wire::load_report_data>& load) {
        auto* peer = peerByAddress(received.peer);
        if (!peer || !load)
            return;
        peer->load = unpackLoad(*load);
        peer->sentSinceReport = 0;
    };
    if (frame.call && age.delay >= delayedLink)
        log(out, "call_late",
            { { "id", frame.call->request_id }, { "link", std::to_string(received.link) },
                { "delay_ms", milliseconds(age.delay) }, { "paused_ms", milliseconds(received.delay) } });
    if (frame.call) {
        const bool mayBeStale = age.known && age.most.value_or(duration::max()) > options.maxUncheckedAge;
        // The caller is asked for the time that is left of a stale call.
        const auto delay = mayBeStale ? received.delay : std::max(received.delay, age.delay);
        receivedCalls.push_back({ received.link, std::move(*frame.call), delay, mayBeStale });
    }
    if (frame.check)
        answerCheck(received, frame.check->id, now, out);
    if (frame.confirmation)
        callConfirmed(received, *frame.confirmation, age, frame.sent_ms, now, out);
    if (frame.cancel)
        cancelReceived({ received.link, frame.cancel->id }, now, out);
    if (frame.recall)
        recallReceived({ received.link, frame.recall->id }, now, out);
    if (frame.answer) {
        updateLoad(frame.answer->load);
        http_answer answer;
        answer.status = frame.answer->status;
        answer.headers = unpackHeaders(std::move(frame.answer->headers));
        answer.body = makeBytes(std::move(frame.answer->body));
        attemptAnswered(frame.answer->id, std::move(answer), frame.answer->failed_below, now, out);
    }
    if (frame.failure) {
        updateLoad(frame.failure->load);
        const auto kind = static_cast<failure_kind>(std::min<std::uint8_t>(frame.failure->kind, 3));
        const auto retryAfter = std::clamp(duration(frame.failure->retry_after_us), duration(0), maxRetryAfter);
        attemptFailed(frame.failure->id, kind, retryAfter, now, out);
    }
    if (frame.configuration_pull)
        sendConfiguration(received.link, *frame.configuration_pull, now, out);
    if (frame.configuration_push) {
        endPull(received.peer, now);
        out.emplace_back(load_configuration { std::move(frame.configuration_push->document) });
    }
}

bool node::state::isLive(const endpoint& peer, time_point now) const
{
    const auto timeout = peer.region == options.region ? options.loadBalancing.statusTimeout
                                                       : options.loadBalancing.otherRegionStatusTimeout;
    return now - peer.lastSeen <= scaleInterval(timeout);
}

void node::state::updatePeer(const wire::status_data& status, const std::string& bytes, time_point now, actions& out)
{
    if (status.node == options.name)
        return;
    if (status.node.empty() || status.ip.empty() || status.port == 0) {
        log(out, "status_ignored", { { "reason", "it names no node or address" } });
        return;
    }
    const socket_address address { status.ip, status.port };
    auto& peer = peers[status.node];
    // Run numbers come from the wall clock. A lower one means a delayed datagram, unless the clock was set back and the
    // earlier run with the higher number is silent.
    const bool silent = now - peer.lastSeen > clockRollbackTimeout;
    if ((status.run < peer.run && !silent) || (status.run == peer.run && status.sequence <= peer.sequence))
        return;
    const bool restarted = peer.run != status.run;
    if (restarted) {
        log(out, "peer_joined",
            { { "peer", status.node }, { "run", std::to_string(status.run) }, { "before", std::to_string(peer.run) },
                { "service", status.service }, { "zone", status.availability_zone } });
        // Without an end of its link, the attempts in flight are at the earlier run.
        if (peer.run != 0 && !peer.linkEnded)
            failAttemptsAt(status.node, failure_kind::lost, now, out);
        peer.linkEnded = false;
        peer.avoidUntil = {};
    }
    const auto before = peer.state;
    peer.node = status.node;
    peer.run = status.run;
    peer.sequence = status.sequence;
    peer.address = address;
    peer.region = status.region;
    peer.availabilityZone = status.availability_zone;
    peer.service = status.service;
    peer.backendId = status.endpoint;
    peer.state = static_cast<endpoint_state>(std::min<std::uint8_t>(status.state, 3));
    peer.slots = status.slots;
    peer.coldUntil = now + std::chrono::milliseconds(status.cold_ms);
    peer.configurationVersion = status.configuration;
    if (status.load)
        peer.load = unpackLoad(*status.load);
    peer.sentSinceReport = 0;
    if (peer.lastSeen != time_point {} && !isLive(peer, now))
        log(out, "peer_regained", { { "peer", status.node }, { "silent_ms", milliseconds(now - peer.lastSeen) } });
    peer.lastSeen = now;
    peer.encodedStatus = bytes;
    peer.forwarded = false;
    // A relay forwards urgent statuses without waiting for the usual interval.
    if (status.news)
        expediteBundle(now);
    if (restarted || before != peer.state || peer.leaving != status.leaving)
        log(out, "peer_state",
            { { "peer", status.node }, { "state", std::to_string(status.state) }, { "backend", status.endpoint },
                { "leaving", status.leaving ? "1" : "0" }, { "sequence", std::to_string(status.sequence) } });
    peer.leaving = status.leaving;
    peer.storeLost = status.store_lost;
    peerNameByAddress[address] = status.node;
    unknownNodes.erase(address);
    std::vector<team_report> reports;
    reports.reserve(status.uses.size());
    for (const auto& each : status.uses)
        reports.push_back({ each.team(), each.admitted(), each.demand() });
    rates.mergeReports(status.node, status.run, reports, now);
    considerOffer(status, now);
    mergeEvacuations({ { status.evacuations_revision, status.evacuations_era }, status.evacuated }, now, out);
}

void node::state::addListedNodes(const nodes_listed& listed, time_point now)
{
    const bool includesSelf = std::any_of(listed.nodes.begin(), listed.nodes.end(),
        [&](const listed_node& each) { return each.address == options.address; });
    const bool namesOwnZone = std::any_of(listed.nodes.begin(), listed.nodes.end(), [&](const listed_node& each) {
        return each.availabilityZone == options.availabilityZone && each.address != options.address;
    });
    if (!listed.preliminary)
        rates.setListedNodes(listed.nodes.size() + (includesSelf ? 0 : 1));
    if (!listed.preliminary || namesOwnZone)
        shortenIntroduction(now);
    for (const auto& each : listed.nodes) {
        if (each.address == options.address || unknownNodes.contains(each.address))
            continue;
        const auto* peer = peerByAddress(each.address);
        if (!peer || !isLive(*peer, now))
            unknownNodes.emplace(
                each.address, unknown_node { each.availabilityZone == options.availabilityZone, now, {} });
    }
}

void node::state::expirePeers(time_point now, actions& out)
{
    for (auto each = peers.begin(); each != peers.end();) {
        if (now - each->second.lastSeen <= options.peerExpiry) {
            ++each;
            continue;
        }
        log(out, "peer_forgotten",
            { { "peer", each->first }, { "silent_ms", milliseconds(now - each->second.lastSeen) } });
        failAttemptsAt(each->first, failure_kind::lost, now, out);
        rates.removeNode(each->first);
        const auto named = peerNameByAddress.find(each->second.address);
        if (named != peerNameByAddress.end() && named->second == each->first)
            peerNameByAddress.erase(named);
        each = peers.erase(each);
    }
}

} // namespace limpet::mesh
