#include "sockets.h"
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t maxDatagramBytes = 64 * 1024;

} // namespace

status_socket::status_socket(reactor& loop, socket_address address, receive_callback callback)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_callback(std::move(callback))
{
}

result<void> status_socket::open()
{
    const auto descriptor = openDatagram(m_address);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    m_socket = watched_socket(m_loop, *descriptor, [this](std::uint32_t) { receive(); });
    return {};
}

void status_socket::receive()
{
    std::string buffer(maxDatagramBytes, '\0');
    while (true) {
        sockaddr_in sender {};
        socklen_t length = sizeof sender;
        const auto count
            = recvfrom(m_socket.get(), buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&sender), &length);
        if (count < 0)
            return;
        m_callback({ fromSockaddr(sender), buffer.substr(0, static_cast<std::size_t>(count)) });
    }
}

result<void> status_socket::send(const socket_address& peer, std::string_view bytes)
{
    const auto native = toSockaddr(peer);
    const auto sent = sendto(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
        reinterpret_cast<const sockaddr*>(&native), sizeof native);
    if (sent >= 0)
        return {};
    return fail(error_kind::unavailable,
        "cannot send " + std::to_string(bytes.size()) + " bytes to " + toText(peer) + ": " + std::strerror(errno)
            + "; the datagram is dropped");
}

} // namespace limpet::proxy
