#pragma once

#include <limpetcroft/store.h>

namespace limpet {

/// Codec of the published etcd v3 JSON gateway protocol: keys and values are base64, 64-bit integers are strings, and
/// members with the value zero are left out.

/// An HTTP request of the gateway; every one is a POST.
struct gateway_request {
    std::string path;
    std::string body;
};
struct gateway_watch {
    std::string prefix;
    store_revision from = 0; ///< 0: from now on
};
/// One object of a watch stream.
struct gateway_watch_message {
    std::optional<store_watch_event> event;
    store_era era = 0; ///< identifier of the cluster in its header
    store_revision head = 0;
    bool created = false;
    bool cancelled = false;
    /// Neither an event nor another notice: every change up to head has been delivered.
    bool isProgress() const { return !event && !created && !cancelled && head != 0; }
};
/// What a message without an event says.
enum class gateway_notice : std::uint8_t { created, progress };

constexpr auto watchPath = "/v3/watch";

gateway_request encodeRequest(const store_operation& operation);
/// Parses the body of a request to one of the paths of store_operation.
result<store_operation> parseRequest(const std::string& path, const std::string& body);

/// A reply, and the era, which is the identifier of the cluster in its header: a restore from a snapshot changes it.
struct gateway_reply {
    store_reply content;
    store_era era = 0;
};
std::string encodeReply(const store_operation& operation, const store_reply& reply, store_era era);
result<gateway_reply> parseReply(const store_operation& operation, const std::string& body);

std::string encodeWatch(const gateway_watch& watch);
result<gateway_watch> parseWatch(const std::string& body);

/// Returns one line of a watch stream.
std::string encodeWatchEvent(const store_watch_event& event, const store_position& head);
std::string encodeWatchNotice(gateway_notice notice, const store_position& head);
result<gateway_watch_message> parseWatchMessage(const std::string& line);

/// Body and HTTP status of an error.
struct gateway_error {
    unsigned status = 500;
    std::string body;
};
gateway_error encodeError(const error& cause);
/// Returns the error that an HTTP status and body stand for. A status that does not prove that a write had no effect
/// gives unknownOutcome.
error parseError(const store_operation& operation, unsigned status, const std::string& body);

} // namespace limpet
