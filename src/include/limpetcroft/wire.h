#pragma once

/// \file wire.h
/// Messages of the call family between nodes, their FlatBuffers encoding, and the sealed channel that carries messages
/// of every family over a byte stream.

#include <deque>
#include <limpetcroft/core.h>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpet {

/// One HTTP header that is carried end to end.
struct header {
    std::string name;
    std::string value;
    auto operator<=>(const header&) const = default;
};

/// The lowest priority that a service admits, as seen by one of its serving nodes.
struct shed_report {
    std::string service;
    priority level = lowestPriority;
    double admittedFraction = 1; ///< of the requests at exactly that priority
};

/// An HTTP request as it travels between nodes, without any key.
struct http_request {
    std::string method;
    std::string path; ///< with the query
    std::vector<header> headers;
    shared_bytes body;
};

/// A whole HTTP answer.
struct http_answer {
    int status = 0;
    std::vector<header> headers;
    shared_bytes body;
};

/// Asks the target incarnation of a node to run one attempt on its backend server.
struct call_request {
    request_id attempt;
    incarnation target = 0;
    request_context context;
    std::string service;
    http_request content;
};

struct call_reply {
    request_id attempt;
    http_answer content;
    std::uint8_t attemptsUsed = 0; ///< extra attempts made below this call
    bool draining = false; ///< the serving node takes no new work
    std::vector<shed_report> shed; ///< of this service and of those deeper in the call graph
};

struct call_refusal {
    request_id attempt;
    refusal why;
    std::uint8_t attemptsUsed = 0;
    bool final = false; ///< retries for this failure are spent; no layer above retries it
    bool draining = false;
    std::vector<shed_report> shed;
};

struct call_cancel {
    request_id attempt;
};

/// Asks what became of an attempt after a link broke. If it was never seen, the serving node will never run it.
struct attempt_query {
    request_id attempt;
    incarnation target = 0;
};

enum class attempt_fate : std::uint8_t {
    neverSeen, ///< did not run, and is blocked from now on
    running,
    finished,
    unknown, ///< another incarnation, or too long ago
};

struct attempt_status {
    request_id attempt;
    attempt_fate fate = attempt_fate::unknown;
};

struct heartbeat {
    std::uint64_t sequence = 0;
};

struct drain_notice { };

using call_message = std::variant<call_request, call_reply, call_refusal, call_cancel, attempt_query, attempt_status,
    heartbeat, drain_notice>;

/// Families of messages, told apart by the file identifier of their FlatBuffer.
enum class message_family : std::uint8_t { call, fleet, quota, unknown };

/// Returns the family of an encoded message without verifying it.
message_family familyOf(std::string_view bytes);

/// Encodes a message of the call family as one FlatBuffer.
std::string encode(const call_message& message);

/// Verifies and decodes a message of the call family. Errors: malformed; invalidArgument for a kind of a later version.
result<call_message> parseCallMessage(std::string_view bytes);

/// Versions of the node protocol that this build can speak.
constexpr std::uint8_t oldestProtocolVersion = 1;
constexpr std::uint8_t newestProtocolVersion = 1;

/// Longest message that a channel carries, in bytes: a body of 1 MiB with its headers.
constexpr std::size_t maxMessageBytes = 1200 * 1024;

struct channel_settings {
    node_id self;
    incarnation selfIncarnation = 0;
    bool initiator = false;
    std::vector<fleet_key> keys; ///< the first one is preferred
    std::size_t maxQueuedBytes = 8 * 1024 * 1024; ///< waiting to be sent
};

/// What the handshake established about the peer.
struct channel_peer {
    node_id id;
    incarnation peerIncarnation = 0;
    std::uint8_t version = 0;
};

/// Mutually authenticated, encrypted message channel over a byte stream. It owns no socket: received bytes go in, bytes
/// to send come out. Messages are cut into fragments that are sent round robin, so that a large message does not
/// delay small ones.
///
/// Handshake: both sides send an ephemeral X25519 public key and prove knowledge of a shared fleet key with a keyed
/// BLAKE2b over both hello messages; the session keys depend on the exchange and the fleet key. Records use
/// crypto_secretstream (XChaCha20-Poly1305), which detects reordering, repetition and truncation.
class secure_channel {
public:
    explicit secure_channel(channel_settings settings);
    ~secure_channel();
    secure_channel(secure_channel&&) noexcept;
    secure_channel& operator=(secure_channel&&) noexcept;
    secure_channel(const secure_channel&) = delete;
    secure_channel& operator=(const secure_channel&) = delete;

    /// Takes received bytes and appends the messages that are now complete. After an error the connection must be
    /// closed. Errors: unauthenticated, malformed, tooLarge.
    result<void> receive(std::string_view bytes, std::vector<std::string>& messages);
    /// Queues a message. Errors: tooLarge, or unavailable when the queue is full.
    result<void> send(std::string message);
    /// Returns up to about that many bytes that are ready to be written, empty if there are none.
    std::string takeOutput(std::size_t maxBytes);
    /// Returns the peer once the handshake has succeeded, else nullptr.
    const channel_peer* peer() const;
    std::size_t queuedBytes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace limpet
