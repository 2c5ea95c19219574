// Tests of the links between nodes: a silent peer must be suspected long before its link is closed.

#include "proxy_sockets_test.h"

using namespace limpet;
using namespace limpet::proxy;
using namespace limpet::proxy::testing_support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t peerPort = 17631;
constexpr std::uint16_t linksPort = 17632;

struct links_fixture {
    reactor loop;
    int listener = openSocket(peerPort, true);
    std::vector<mesh::link_suspected> suspected;
    std::vector<mesh::link_closed> closed;
    bool working = false; ///< on messages of the peer
    std::function<void(const mesh::frame_received&)> onFrame = [](const mesh::frame_received&) {};
    frame_links links { loop, { "127.0.0.1", linksPort },
        { [this](const mesh::frame_received& frame) { onFrame(frame); },
            [this](const mesh::link_closed& notification) { closed.push_back(notification); },
            [this](const mesh::link_suspected& notification) { suspected.push_back(notification); },
            [this](std::uint64_t) { return working; } } };

    links_fixture() { EXPECT_TRUE(links.listen()); }
    ~links_fixture() { close(listener); }

    int accept()
    {
        int peer = -1;
        EXPECT_TRUE(runUntil(loop, [&] {
            if (peer < 0)
                peer = ::accept(listener, nullptr, nullptr);
            return peer >= 0;
        }));
        return peer;
    }
};

TEST(links, silentPeerIsSuspectedBeforeItsLinkIsClosed)
{
    links_fixture fixture;
    fixture.links.send({ "127.0.0.1", peerPort }, "a call", 1);
    const int peer = fixture.accept();
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return !fixture.suspected.empty(); }));
    EXPECT_TRUE(fixture.suspected.front().suspected);
    EXPECT_EQ(fixture.suspected.front().peer.port, peerPort);
    EXPECT_TRUE(fixture.closed.empty());
    close(peer);
}

TEST(links, suspicionEndsWhenThePeerResponds)
{
    links_fixture fixture;
    fixture.links.send({ "127.0.0.1", peerPort }, "a call", 1);
    const int peer = fixture.accept();
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return !fixture.suspected.empty(); }));
    // A pong frame: length 1, kind 2.
    const std::string pong { 1, 0, 0, 0, 2 };
    EXPECT_EQ(write(peer, pong.data(), pong.size()), static_cast<ssize_t>(pong.size()));
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return fixture.suspected.size() == 2; }));
    EXPECT_FALSE(fixture.suspected.back().suspected);
    EXPECT_TRUE(fixture.closed.empty());
    close(peer);
}

// During a long call, a peer may respond to one ping and then stop responding.
TEST(links, peerWithOutstandingReplyIsPingedAgain)
{
    links_fixture fixture;
    fixture.links.send({ "127.0.0.1", peerPort }, "a call", 1);
    const int peer = fixture.accept();
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return !fixture.suspected.empty(); }));
    const std::string pong { 1, 0, 0, 0, 2 };
    EXPECT_EQ(write(peer, pong.data(), pong.size()), static_cast<ssize_t>(pong.size()));
    EXPECT_TRUE(runUntil(fixture.loop, [&] { return fixture.suspected.size() == 3; }));
    close(peer);
}

// A caller may be gone without a word, as after a power failure, and its system then rejects the ping. The node went on
// working for it, since it sent nothing over the link before the response.
TEST(links, peerWhoseCallIsWorkedOnIsPinged)
{
    links_fixture fixture;
    const int caller = openSocket(linksPort, false);
    runFor(fixture.loop, 1200ms);
    char byte = 0;
    EXPECT_EQ(recv(caller, &byte, 1, MSG_DONTWAIT), -1) << "a link without work was pinged";
    fixture.working = true;
    runFor(fixture.loop, 500ms);
    std::array<char, 8> ping {};
    EXPECT_EQ(recv(caller, ping.data(), ping.size(), MSG_DONTWAIT), 5);
    EXPECT_EQ(ping[4], 1);
    close(caller);
}

// A caller that is paused for longer than a link may be silent still takes its response.
TEST(links, callerThatDoesNotReplyToPingsKeepsItsLink)
{
    links_fixture fixture;
    fixture.working = true;
    const int caller = openSocket(linksPort, false);
    runFor(fixture.loop, 4s);
    EXPECT_TRUE(fixture.closed.empty());
    EXPECT_TRUE(fixture.suspected.empty());
    close(caller);
}

// A message that followed one whose link could not be opened was sent over a new link, and then reported as unsent
// along with the first: the caller sent the request again elsewhere. The report named link 0, which stands for the
// calls of the node's own clients.
TEST(links, messageIsNotReportedAsUnsentAfterItWasSent)
{
    links_fixture fixture;
    const socket_address peer { "127.0.0.1", peerPort };
    {
        const no_descriptors exhausted;
        fixture.links.send(peer, "first", 1);
    }
    fixture.links.send(peer, "second", 1);
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return !fixture.closed.empty(); }));
    EXPECT_FALSE(fixture.closed.front().established);
    EXPECT_NE(fixture.closed.front().link, 0U);
    EXPECT_EQ(::accept(fixture.listener, nullptr, nullptr), -1) << "the second message was sent and reported as unsent";
    fixture.links.send(peer, "third", 1);
    close(fixture.accept());
}

// A large configuration that was sent over the link of the calls held them up for a second.
TEST(links, bulkHasALinkOfItsOwn)
{
    links_fixture fixture;
    const socket_address peer { "127.0.0.1", peerPort };
    fixture.links.send(peer, "a call", 1);
    fixture.links.send(peer, "a request for a document", 1, mesh::traffic_class::bulk);
    const int calls = fixture.accept();
    const int bulk = fixture.accept();
    close(bulk);
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return !fixture.closed.empty(); }));
    EXPECT_EQ(fixture.closed.front().carried, mesh::traffic_class::bulk);
    close(calls);
}

TEST(links, peerIsNotSuspectedBecauseOfALinkForBulk)
{
    links_fixture fixture;
    fixture.links.send({ "127.0.0.1", peerPort }, "a request for a document", 1, mesh::traffic_class::bulk);
    const int peer = fixture.accept();
    runFor(fixture.loop, 1200ms);
    EXPECT_TRUE(fixture.suspected.empty());
    close(peer);
}

/// Returns the number of bytes that arrive in that time.
std::size_t receivedIn(reactor& loop, int descriptor, duration length)
{
    std::size_t received = 0;
    const auto end = bootTime() + length;
    while (bootTime() < end) {
        runFor(loop, 5ms);
        std::array<char, 65536> buffer {};
        for (auto count = recv(descriptor, buffer.data(), buffer.size(), 0); count > 0;
             count = recv(descriptor, buffer.data(), buffer.size(), 0))
            received += static_cast<std::size_t>(count);
    }
    return received;
}

// A configuration that was written at once filled the link between two regions.
TEST(links, pacedMessageIsWrittenSlowlyAndWhole)
{
    links_fixture fixture;
    std::vector<std::uint64_t> opened;
    fixture.onFrame = [&](const mesh::frame_received& frame) { opened.push_back(frame.link); };
    const std::string request { 2, 0, 0, 0, 0, 'r' };
    std::vector<int> peers;
    for (int count = 0; count < 2; ++count) {
        peers.push_back(openSocket(linksPort, false));
        EXPECT_EQ(write(peers.back(), request.data(), request.size()), static_cast<ssize_t>(request.size()));
    }
    ASSERT_TRUE(runUntil(fixture.loop, [&] { return opened.size() == 2; }));
    const std::string document(600'000, 'd');
    for (const auto link : opened)
        fixture.links.reply(link, document, mesh::write_pace::otherRegion);
    std::array<std::size_t, 2> received {};
    for (int step = 0; step < 10; ++step) {
        for (std::size_t index = 0; index < peers.size(); ++index)
            received.at(index) += receivedIn(fixture.loop, peers.at(index), 20ms);
    }
    // 400 ms at 1 MB/s for both together. The event loop may be late, but never writes faster.
    EXPECT_LE(received[0] + received[1], 500'000U);
    EXPECT_GT(received[0] + received[1], 0U);
    EXPECT_TRUE(fixture.links.hasUnsentBytes());
    for (int step = 0; step < 200 && fixture.links.hasUnsentBytes(); ++step) {
        for (std::size_t index = 0; index < peers.size(); ++index)
            received.at(index) += receivedIn(fixture.loop, peers.at(index), 20ms);
    }
    for (std::size_t index = 0; index < peers.size(); ++index)
        received.at(index) += receivedIn(fixture.loop, peers.at(index), 20ms);
    constexpr std::size_t headerBytes = 5;
    EXPECT_EQ(received[0], document.size() + headerBytes);
    EXPECT_EQ(received[1], document.size() + headerBytes);
    for (const int peer : peers)
        close(peer);
}

} // namespace
