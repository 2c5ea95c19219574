#pragma once

// Fixture with one mesh node and two peers, whose messages the test writes and reads.

#include "codec.h"
#include "mesh_sample_test.h"

namespace limpet::mesh::testing_support {

inline socket_address addressOf(unsigned number) { return { "10.0.0." + std::to_string(number), 7000 }; }

/// A node, by default without a backend server of its own, and two peers with a backend server of the given service
/// each.
struct node_with_peers : node_fixture {
    explicit node_with_peers(const std::string& service, const std::string& ownService = "none")
        : node_fixture("a", ownService)
        , peerService(service)
    {
        configure();
        refreshPeers();
        out.clear();
    }

    /// Handles a new status of each peer.
    void refreshPeers()
    {
        ++statusSequence;
        for (unsigned number = 2; number < 2 + peerCount; ++number) {
            wire::status_data status;
            status.node = namePrefix + std::to_string(number);
            status.run = run;
            status.sequence = statusSequence;
            status.region = region;
            status.availability_zone = region + "-a";
            status.service = peerService;
            status.endpoint = "i-" + std::to_string(number);
            status.slots = 10;
            status.ip = addressOf(number).ip;
            status.port = addressOf(number).port;
            status.configuration = configurationVersion;
            status.store_lost = storeLost;
            status.load = std::make_unique<wire::load_report_data>();
            status.load->limit = 10;
            handle(status_received { addressOf(number), encodeStatus(status) });
        }
    }

    /// Removes the frames of that kind, send_frame or reply_frame, and returns how many of them match.
    template <typename Action, typename Predicate> std::size_t countFrames(Predicate matches)
    {
        const auto sent = take<Action>();
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const Action& each) {
            const auto frame = parseFrame(each.bytes);
            return frame && matches(*frame);
        }));
    }

    /// Removes the frames that were sent and returns how many of them request the configuration.
    std::size_t pulls()
    {
        return countFrames<send_frame>([](const wire::frame_data& each) { return each.configuration_pull != nullptr; });
    }

    /// Removes and returns the calls sent to the peers, in order.
    std::vector<std::pair<socket_address, wire::call_request_data>> callFramesWithPeers()
    {
        std::vector<std::pair<socket_address, wire::call_request_data>> sent;
        for (const auto& each : take<send_frame>()) {
            auto frame = parseFrame(each.bytes);
            if (frame && frame->call)
                sent.emplace_back(each.peer, std::move(*frame->call));
        }
        return sent;
    }

    std::vector<wire::call_request_data> callFrames()
    {
        std::vector<wire::call_request_data> sent;
        for (auto& [peer, call] : callFramesWithPeers())
            sent.push_back(std::move(call));
        return sent;
    }

    /// Returns the peers that were sent a call, in order.
    std::vector<socket_address> callsSent()
    {
        std::vector<socket_address> receivers;
        for (const auto& [peer, call] : callFramesWithPeers())
            receivers.push_back(peer);
        return receivers;
    }

    /// Handles the response of a peer's backend server to a call.
    void answer(std::uint64_t id, const http_answer& content, bool failedBelow = false)
    {
        wire::frame_data frame;
        frame.answer = std::make_unique<wire::call_answer_data>();
        frame.answer->id = id;
        frame.answer->status = static_cast<std::uint16_t>(content.status);
        frame.answer->failed_below = failedBelow;
        handle(frame_received { 9, {}, encodeFrame(frame) });
    }

    /// Handles the report of a peer that its backend server rejected a call.
    void reject(std::uint64_t id) { fail(id, failure_kind::rejected); }

    /// Handles the report of a peer that a call has no response.
    void fail(std::uint64_t id, failure_kind kind)
    {
        wire::frame_data frame;
        frame.failure = std::make_unique<wire::call_failure_data>();
        frame.failure->id = id;
        frame.failure->kind = static_cast<std::uint8_t>(kind);
        handle(frame_received { 9, {}, encodeFrame(frame) });
    }

    std::string peerService;
    unsigned peerCount = 2;
    std::string namePrefix = "peer-";
    std::string region = "north"; ///< of the peers
    std::uint64_t run = 1; ///< of the peers
    std::uint64_t configurationVersion = 0; ///< held by the peers
    bool storeLost = false; ///< for the peers
    std::uint64_t statusSequence = 0;
};

} // namespace limpet::mesh::testing_support
