#pragma once

// Non-blocking IPv4 sockets and a buffered byte stream over one.

#include <limpetcroft/proxy.h>
#include <netinet/in.h>

namespace limpet::proxy {

sockaddr_in toSockaddr(const socket_address& address);
socket_address fromSockaddr(const sockaddr_in& address);

/// Returns a listening descriptor. Errors: unavailable.
result<int> openListener(const socket_address& address);
/// Returns a bound datagram descriptor. Errors: unavailable.
result<int> openDatagram(const socket_address& address);
/// Accepts one connection; -1 when none waits.
int acceptConnection(int listener, socket_address& peer);
/// Starts to connect; -1 when that fails at once. A peer that acknowledges nothing for the time loses the connection.
int startConnect(const socket_address& address, duration ackTimeout);
/// Returns whether a started connect succeeded.
bool connectSucceeded(int descriptor);

enum class read_outcome : std::uint8_t { drained, ended, broken };
/// Reads until nothing is left and hands each piece to the callback, which returns whether to read on. With events that
/// announce the end of the stream it reads up to that end.
read_outcome readAll(int descriptor, std::uint32_t events, const std::function<bool(std::string_view)>& onChunk);

/// Bytes that wait to be written.
class write_buffer {
public:
    void add(std::string_view bytes) { m_bytes.append(bytes); }
    bool empty() const { return m_sentBytes == m_bytes.size(); }
    std::size_t size() const { return m_bytes.size() - m_sentBytes; }
    /// Writes what the descriptor takes; false when the connection is broken.
    bool flush(int descriptor);
    void clear();

private:
    std::string m_bytes;
    std::size_t m_sentBytes = 0;
};

} // namespace limpet::proxy
