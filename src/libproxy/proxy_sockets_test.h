#pragma once

// Socket helpers for the tests of the proxy library.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <limpetcroft/proxy.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpet::proxy::testing_support {

/// Opens a non-blocking TCP socket that listens on the port of 127.0.0.1 or is connected to it.
inline int openSocket(std::uint16_t port, bool listening)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (listening) {
        EXPECT_EQ(bind(descriptor, generic, sizeof address), 0);
        EXPECT_EQ(listen(descriptor, 16), 0);
    } else
        EXPECT_EQ(connect(descriptor, generic, sizeof address), 0);
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
}

/// Uses up the descriptors of the process until destruction.
class no_descriptors {
public:
    no_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int next = dup(0);
        close(next);
        const rlimit lowered { static_cast<rlim_t>(next), m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit m_before {};
};

inline void runFor(reactor& loop, duration length)
{
    loop.callAt(bootTime() + length, [&loop] { loop.quit(); });
    loop.run();
}

/// Runs the loop until the condition holds or two seconds have passed. Returns whether it holds.
inline bool runUntil(reactor& loop, const std::function<bool()>& condition)
{
    const auto end = bootTime() + std::chrono::seconds(2);
    while (!condition() && bootTime() < end) {
        loop.callAt(bootTime() + std::chrono::milliseconds(2), [&] { loop.quit(); });
        loop.run();
    }
    return condition();
}

} // namespace limpet::proxy::testing_support
