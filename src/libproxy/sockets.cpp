#include "sockets.h"
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpet::proxy {
namespace {

    constexpr int acceptBacklog = 4096;
    // Capacity that an empty buffer keeps, and sent bytes that another one may keep.
    constexpr std::size_t maxRetainedBytes = 64 * 1024;
    // A peer that sends without end must not keep the event loop from other connections.
    constexpr unsigned maxChunksPerRead = 4;

    tl::unexpected<error> bindError(const socket_address& address)
    {
        return fail(error_kind::unavailable,
            "cannot listen on " + toText(address) + ": " + std::strerror(errno)
                + "; check the address in the settings and whether another process uses it");
    }

} // namespace

result<socket_address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    socket_address address;
    unsigned port = 0;
    if (colon != std::string_view::npos) {
        address.ip = text.substr(0, colon);
        const auto digits = text.substr(colon + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        constexpr unsigned maxPort = 65535;
        if (parsed.ec == std::errc {} && parsed.ptr == digits.data() + digits.size() && port >= 1 && port <= maxPort) {
            address.port = static_cast<std::uint16_t>(port);
            in_addr native {};
            if (inet_pton(AF_INET, address.ip.c_str(), &native) == 1)
                return address;
        }
    }
    return fail(
        error_kind::invalidArgument, "\"" + std::string(text) + "\" is not a valid address; use the form IP:PORT");
}

std::string toText(const socket_address& address) { return address.ip + ":" + std::to_string(address.port); }

sockaddr_in toSockaddr(const socket_address& address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

socket_address fromSockaddr(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return { text.data(), ntohs(address.sin_port) };
}

result<int> openListener(const socket_address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto native = toSockaddr(address);
    const auto* generic = reinterpret_cast<const sockaddr*>(&native);
    if (bind(descriptor, generic, sizeof native) == 0 && ::listen(descriptor, acceptBacklog) == 0)
        return descriptor;
    auto failure = bindError(address);
    close(descriptor);
    return failure;
}

result<int> openDatagram(const socket_address& address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto native = toSockaddr(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0)
        return descriptor;
    auto failure = bindError(address);
    close(descriptor);
    return failure;
}

bool lacksDescriptors() { return errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM; }

int acceptConnection(int listener, socket_address& peer, bool& outOfDescriptors)
{
    sockaddr_in native {};
    socklen_t length = sizeof native;
    const int descriptor
        = accept4(listener, reinterpret_cast<sockaddr*>(&native), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    outOfDescriptors = descriptor < 0 && lacksDescriptors();
    if (descriptor < 0)
        return -1;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    peer = fromSockaddr(native);
    return descriptor;
}

bool hasPendingConnection(int listener)
{
    pollfd request { listener, POLLIN, 0 };
    return poll(&request, 1, 0) > 0;
}

void setAckTimeout(int descriptor, duration ackTimeout)
{
    const auto timeout = static_cast<unsigned>(std::chrono::ceil<std::chrono::milliseconds>(ackTimeout).count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

int startConnect(const socket_address& address, duration ackTimeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setAckTimeout(descriptor, ackTimeout);
    const auto native = toSockaddr(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0 || errno == EINPROGRESS)
        return descriptor;
    close(descriptor);
    return -1;
}

bool connectSucceeded(int descriptor)
{
    int failure = 0;
    socklen_t length = sizeof failure;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) == 0 && failure == 0;
}

bool hasUnreadBytes(int descriptor)
{
    char next = '\0';
    return recv(descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
}

read_outcome readAll(int descriptor, std::uint32_t events, const std::function<bool(std::string_view)>& onChunk,
    std::size_t maxChunkBytes)
{
    const bool endOfStreamSignaled = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    static thread_local std::array<char, readChunkBytes> buffer;
    for (unsigned chunk = 0; chunk < maxChunksPerRead; ++chunk) {
        const auto count = recv(descriptor, buffer.data(), std::min(maxChunkBytes, buffer.size()), 0);
        if (count == 0)
            return read_outcome::ended;
        if (count < 0)
            return errno == EAGAIN || errno == EINTR ? read_outcome::drained : read_outcome::broken;
        const auto received = static_cast<std::size_t>(count);
        if (!onChunk({ buffer.data(), received }))
            return read_outcome::drained;
        // With edge-triggered events, bytes that arrive after a short read raise a new event.
        if (received < std::min(maxChunkBytes, buffer.size()) && !endOfStreamSignaled)
            return read_outcome::drained;
    }
    return read_outcome::more;
}

bool write_buffer::flush(int descriptor, std::size_t maxBytes)
{
    while (!empty() && maxBytes > 0) {
        const auto count = send(descriptor, m_bytes.data() + m_sentBytes, std::min(size(), maxBytes), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        m_sentBytes += static_cast<std::size_t>(count);
        maxBytes -= static_cast<std::size_t>(count);
    }
    if (empty())
        clear();
    else
        dropSent();
    return true;
}

/// Gives back the memory of sent bytes. Each byte is moved once on average, since half of the buffer is dropped.
void write_buffer::dropSent()
{
    if (m_sentBytes <= std::max(size(), maxRetainedBytes))
        return;
    m_bytes = m_bytes.substr(m_sentBytes);
    m_sentBytes = 0;
}

void write_buffer::clear()
{
    m_bytes.clear();
    m_sentBytes = 0;
    if (m_bytes.capacity() > maxRetainedBytes)
        m_bytes.shrink_to_fit();
}

} // namespace limpet::proxy
