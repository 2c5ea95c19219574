#pragma once

// Non-blocking IPv4 sockets and a buffer for outgoing bytes.

#include <limpetcroft/proxy.h>
#include <netinet/in.h>

namespace limpet::proxy {

sockaddr_in toSockaddr(const socket_address& address);
socket_address fromSockaddr(const sockaddr_in& address);

/// Opens a listening TCP socket. Errors: unavailable.
result<int> openListener(const socket_address& address);
/// Opens a bound UDP socket. Errors: unavailable.
result<int> openDatagram(const socket_address& address);
/// Accepts one connection. Returns -1 if none is pending or accepting fails; outOfDescriptors tells that it failed for
/// lack of descriptors or memory, so that connections may still be pending.
int acceptConnection(int listener, socket_address& peer, bool& outOfDescriptors);
/// Whether acceptConnection() would find a connection.
bool hasPendingConnection(int listener);
/// Between two attempts to accept connections while descriptors are lacking.
constexpr duration acceptRetryInterval = std::chrono::milliseconds(100);
/// Whether errno tells that the process or the system lacks descriptors or memory.
bool lacksDescriptors();
/// Lets the system drop the connection if sent data stays unacknowledged for ackTimeout (TCP_USER_TIMEOUT).
void setAckTimeout(int descriptor, duration ackTimeout);
/// Starts a connect. Returns -1 if it fails immediately. Sets the ackTimeout of the connection.
int startConnect(const socket_address& address, duration ackTimeout);
/// Returns whether a connect begun by startConnect() succeeded.
bool connectSucceeded(int descriptor);

/// Whether bytes have arrived that were not read.
bool hasUnreadBytes(int descriptor);
/// Largest chunk of readAll().
constexpr std::size_t readChunkBytes = 64 * 1024;
/// drained: no more bytes are available at present, or the callback stopped the reading. more: the bound of one call
/// was reached; the caller must read again, since no new event may arise. ended: the peer has shut down its sending
/// side. broken: the connection failed.
enum class read_outcome : std::uint8_t { drained, more, ended, broken };
/// Reads the available bytes, up to a bound that lets the event loop serve other descriptors in between, and passes
/// each chunk to the callback, which returns whether to continue. If the epoll events signal the end of the stream,
/// reads up to that end.
/// maxChunkBytes: of one chunk, at most readChunkBytes.
read_outcome readAll(int descriptor, std::uint32_t events, const std::function<bool(std::string_view)>& onChunk,
    std::size_t maxChunkBytes = readChunkBytes);

/// Buffer of bytes that are yet to be sent.
class write_buffer {
public:
    void add(std::string_view bytes) { m_bytes.append(bytes); }
    bool empty() const { return m_sentBytes == m_bytes.size(); }
    std::size_t size() const { return m_bytes.size() - m_sentBytes; }
    /// Memory that the buffer takes, with bytes that were sent already.
    std::size_t heldBytes() const { return m_bytes.size(); }
    /// Writes as much as the descriptor accepts, up to maxBytes. Returns false if the connection is broken.
    bool flush(int descriptor, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
    void clear();

private:
    void dropSent();

    std::string m_bytes;
    std::size_t m_sentBytes = 0;
};

} // namespace limpet::proxy
