#include <algorithm>
#include <limpetcroft/wire.h>
#include <sodium.h>

namespace limpet {
namespace {

    constexpr std::string_view magic = "LIMP";
    constexpr std::size_t publicKeyBytes = crypto_scalarmult_BYTES;
    constexpr std::size_t macBytes = crypto_generichash_BYTES;
    constexpr std::size_t keyIdBytes = 8;
    constexpr std::size_t maxHelloBytes = 512;
    constexpr std::size_t streamHeaderBytes = crypto_secretstream_xchacha20poly1305_HEADERBYTES;
    constexpr std::size_t sealBytes = crypto_secretstream_xchacha20poly1305_ABYTES;
    constexpr std::size_t fragmentBytes = 16 * 1024;
    // Fragment header: 4-byte message serial and 1 flag byte.
    constexpr std::size_t fragmentHeaderBytes = 5;
    constexpr std::size_t maxRecordBytes = fragmentBytes + fragmentHeaderBytes + sealBytes;
    constexpr std::uint8_t lastFragment = 1;
    // Bounds the memory a peer can pin with messages that it never completes.
    constexpr std::size_t maxPartialMessages = 256;
    constexpr std::size_t maxPartialBytes = 16 * 1024 * 1024;

    using secret_key = std::array<unsigned char, 32>;

    void appendNumber(std::string& out, std::uint64_t value, std::size_t bytes)
    {
        for (std::size_t index = 0; index < bytes; ++index)
            out.push_back(static_cast<char>((value >> (8 * index)) & 0xFF));
    }

    std::uint64_t readNumber(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (std::size_t index = bytes.size(); index > 0; --index)
            value = (value << 8) | static_cast<unsigned char>(bytes[index - 1]);
        return value;
    }

    /// Reads fields off the front of some bytes.
    struct field_reader {
        std::string_view rest;
        bool truncated = false;

        std::string_view take(std::size_t count)
        {
            if (rest.size() < count) {
                truncated = true;
                return {};
            }
            const auto field = rest.substr(0, count);
            rest.remove_prefix(count);
            return field;
        }
        std::uint64_t number(std::size_t count) { return readNumber(take(count)); }
    };

    std::uint64_t keyIdOf(const fleet_key& key) { return makeNodeId(key.id).value; }

    secret_key keyedHash(const secret_key& key, std::initializer_list<std::string_view> parts)
    {
        secret_key out {};
        crypto_generichash_state hash;
        crypto_generichash_init(&hash, key.data(), key.size(), out.size());
        for (const auto part : parts)
            crypto_generichash_update(&hash, reinterpret_cast<const unsigned char*>(part.data()), part.size());
        crypto_generichash_final(&hash, out.data(), out.size());
        return out;
    }

    std::string_view view(const secret_key& key) { return { reinterpret_cast<const char*>(key.data()), key.size() }; }

    /// The plain part of a hello message. The initiator lists its keys; the responder names the one it chose.
    struct hello {
        std::uint8_t oldest = 0;
        std::uint8_t newest = 0;
        node_id id;
        incarnation run = 0;
        std::string publicKey;
        std::vector<std::uint64_t> keyIds;
    };

    std::string print(const hello& value)
    {
        std::string out(magic);
        appendNumber(out, value.oldest, 1);
        appendNumber(out, value.newest, 1);
        appendNumber(out, value.id.value, 8);
        appendNumber(out, value.run, 8);
        out += value.publicKey;
        appendNumber(out, value.keyIds.size(), 1);
        for (const auto keyId : value.keyIds)
            appendNumber(out, keyId, keyIdBytes);
        return out;
    }

    result<hello> parseHello(std::string_view bytes)
    {
        field_reader reader { bytes };
        if (reader.take(magic.size()) != magic)
            return fail(error_kind::malformed, "peer does not speak the node protocol; check the link address");
        hello value;
        value.oldest = static_cast<std::uint8_t>(reader.number(1));
        value.newest = static_cast<std::uint8_t>(reader.number(1));
        value.id.value = reader.number(8);
        value.run = reader.number(8);
        value.publicKey = reader.take(publicKeyBytes);
        const auto count = reader.number(1);
        for (std::uint64_t index = 0; index < count && !reader.truncated; ++index)
            value.keyIds.push_back(reader.number(keyIdBytes));
        if (reader.truncated)
            return fail(error_kind::malformed, "hello message is truncated; check the link address");
        return value;
    }

    /// A message that is being cut into fragments.
    struct outgoing_message {
        std::uint32_t serial = 0;
        std::string bytes;
        std::size_t sent = 0;
    };

    enum class phase : std::uint8_t { awaitHello, awaitProof, open, failed };

} // namespace

struct secure_channel::state {
    channel_settings settings;
    phase step = phase::awaitHello;
    std::string input;
    std::string output;
    std::string ownHello;
    std::string peerHello;
    secret_key ephemeralSecret {};
    secret_key expectedProof {};
    channel_peer peer;
    crypto_secretstream_xchacha20poly1305_state sendStream {};
    crypto_secretstream_xchacha20poly1305_state receiveStream {};
    secret_key receiveKey {};
    bool receiveStreamReady = false;
    std::deque<outgoing_message> queue;
    std::size_t queuedBytes = 0;
    std::uint32_t nextSerial = 0;
    std::map<std::uint32_t, std::string> partial;
    std::size_t partialBytes = 0;

    explicit state(channel_settings given);
    hello makeHello(std::uint8_t oldest, std::uint8_t newest, std::vector<std::uint64_t> keyIds) const;
    std::optional<std::string> takeBlock(std::size_t lengthBytes, std::size_t maxBytes, bool& oversized);
    void putBlock(std::size_t lengthBytes, std::string_view block);
    const fleet_key* findKey(std::uint64_t keyId) const;
    result<void> deriveKeys(const fleet_key& key, const hello& theirs);
    result<void> acceptHello(std::string_view bytes);
    result<void> acceptInitiatorHello(const hello& theirs);
    result<void> acceptResponderHello(const hello& theirs, std::string_view proof);
    result<void> acceptProof(std::string_view proof);
    result<void> acceptRecord(std::string_view record, std::vector<std::string>& messages);
    result<void> acceptFragment(std::string_view fragment, std::vector<std::string>& messages);
    void sealNextFragment();
    result<bool> processOne(std::vector<std::string>& messages);
};

secure_channel::state::state(channel_settings given)
    : settings(std::move(given))
{
    randombytes_buf(ephemeralSecret.data(), ephemeralSecret.size());
    if (!settings.initiator)
        return;
    std::vector<std::uint64_t> keyIds;
    for (const auto& key : settings.keys)
        keyIds.push_back(keyIdOf(key));
    ownHello = print(makeHello(oldestProtocolVersion, newestProtocolVersion, std::move(keyIds)));
    putBlock(2, ownHello);
}

hello secure_channel::state::makeHello(
    std::uint8_t oldest, std::uint8_t newest, std::vector<std::uint64_t> keyIds) const
{
    hello mine { oldest, newest, settings.self, settings.selfIncarnation, std::string(publicKeyBytes, '\0'),
        std::move(keyIds) };
    crypto_scalarmult_base(reinterpret_cast<unsigned char*>(mine.publicKey.data()), ephemeralSecret.data());
    return mine;
}

void secure_channel::state::putBlock(std::size_t lengthBytes, std::string_view block)
{
    appendNumber(output, block.size(), lengthBytes);
    output += block;
}

/// Takes one length-prefixed block from the input if it has arrived whole.
std::optional<std::string> secure_channel::state::takeBlock(
    std::size_t lengthBytes, std::size_t maxBytes, bool& oversized)
{
    if (input.size() < lengthBytes)
        return std::nullopt;
    const auto length = readNumber(std::string_view(input).substr(0, lengthBytes));
    oversized = length > maxBytes;
    if (oversized || input.size() < lengthBytes + length)
        return std::nullopt;
    auto block = input.substr(lengthBytes, length);
    input.erase(0, lengthBytes + length);
    return block;
}

const fleet_key* secure_channel::state::findKey(std::uint64_t keyId) const
{
    for (const auto& key : settings.keys) {
        if (keyIdOf(key) == keyId)
            return &key;
    }
    return nullptr;
}

/// Computes the session keys and the proofs of both sides from the key exchange and the fleet key.
result<void> secure_channel::state::deriveKeys(const fleet_key& key, const hello& theirs)
{
    secret_key shared {};
    const auto* theirKey = reinterpret_cast<const unsigned char*>(theirs.publicKey.data());
    if (crypto_scalarmult(shared.data(), ephemeralSecret.data(), theirKey) != 0)
        return fail(error_kind::unauthenticated, "peer sent a weak public key; close the connection");
    const auto& first = settings.initiator ? ownHello : peerHello;
    const auto& second = settings.initiator ? peerHello : ownHello;
    const auto master = keyedHash(key.secret, { view(shared), first, second });
    const auto toResponder = keyedHash(master, { "initiator to responder" });
    const auto toInitiator = keyedHash(master, { "responder to initiator" });
    const auto responderProof = keyedHash(master, { "responder proof" });
    const auto initiatorProof = keyedHash(master, { "initiator proof" });
    const auto& sendKey = settings.initiator ? toResponder : toInitiator;
    receiveKey = settings.initiator ? toInitiator : toResponder;
    expectedProof = settings.initiator ? responderProof : initiatorProof;
    if (!settings.initiator)
        putBlock(2, ownHello);
    output += view(settings.initiator ? initiatorProof : responderProof);
    std::string header(streamHeaderBytes, '\0');
    crypto_secretstream_xchacha20poly1305_init_push(
        &sendStream, reinterpret_cast<unsigned char*>(header.data()), sendKey.data());
    output += header;
    sodium_memzero(shared.data(), shared.size());
    return {};
}

result<void> secure_channel::state::acceptInitiatorHello(const hello& theirs)
{
    const auto version = std::min(theirs.newest, newestProtocolVersion);
    if (version < std::max(theirs.oldest, oldestProtocolVersion))
        return fail(error_kind::invalidArgument, "no protocol version in common; upgrade the older node");
    const fleet_key* chosen = nullptr;
    for (const auto keyId : theirs.keyIds) {
        chosen = findKey(keyId);
        if (chosen)
            break;
    }
    if (!chosen)
        return fail(error_kind::unauthenticated, "no fleet key in common; check fleet_keys in the settings");
    ownHello = print(makeHello(version, version, { keyIdOf(*chosen) }));
    peer = { theirs.id, theirs.run, version };
    return deriveKeys(*chosen, theirs);
}

result<void> secure_channel::state::acceptHello(std::string_view bytes)
{
    auto theirs = parseHello(bytes);
    if (!theirs)
        return tl::unexpected<error>(theirs.error());
    peerHello = bytes;
    if (!settings.initiator) {
        step = phase::awaitProof;
        return acceptInitiatorHello(*theirs);
    }
    if (theirs->newest < oldestProtocolVersion || theirs->newest > newestProtocolVersion)
        return fail(error_kind::invalidArgument, "no protocol version in common; upgrade the older node");
    const auto* key = theirs->keyIds.size() == 1 ? findKey(theirs->keyIds.front()) : nullptr;
    if (!key)
        return fail(error_kind::unauthenticated, "no fleet key in common; check fleet_keys in the settings");
    peer = { theirs->id, theirs->run, theirs->newest };
    step = phase::awaitProof;
    return deriveKeys(*key, *theirs);
}

result<void> secure_channel::state::acceptProof(std::string_view proof)
{
    if (sodium_memcmp(proof.data(), expectedProof.data(), expectedProof.size()) != 0)
        return fail(error_kind::unauthenticated, "peer does not know the fleet key; check fleet_keys in the settings");
    step = phase::open;
    sodium_memzero(ephemeralSecret.data(), ephemeralSecret.size());
    return {};
}

result<void> secure_channel::state::acceptRecord(std::string_view record, std::vector<std::string>& messages)
{
    if (record.size() < sealBytes + fragmentHeaderBytes)
        return fail(error_kind::malformed, "record is too short; close the connection");
    std::string fragment(record.size() - sealBytes, '\0');
    const int status
        = crypto_secretstream_xchacha20poly1305_pull(&receiveStream, reinterpret_cast<unsigned char*>(fragment.data()),
            nullptr, nullptr, reinterpret_cast<const unsigned char*>(record.data()), record.size(), nullptr, 0);
    if (status != 0)
        return fail(error_kind::unauthenticated, "record fails authentication; close the connection");
    return acceptFragment(fragment, messages);
}

result<void> secure_channel::state::acceptFragment(std::string_view fragment, std::vector<std::string>& messages)
{
    field_reader reader { fragment };
    const auto serial = static_cast<std::uint32_t>(reader.number(4));
    const bool last = (reader.number(1) & lastFragment) != 0;
    const auto found = partial.find(serial);
    if (found == partial.end()) {
        if (last) {
            messages.emplace_back(reader.rest);
            return {};
        }
        if (partial.size() >= maxPartialMessages)
            return fail(error_kind::tooLarge, "peer keeps too many messages incomplete; close the connection");
        partialBytes += reader.rest.size();
        partial.emplace(serial, reader.rest);
        return {};
    }
    found->second += reader.rest;
    partialBytes += reader.rest.size();
    if (found->second.size() > maxMessageBytes || partialBytes > maxPartialBytes)
        return fail(error_kind::tooLarge, "message is larger than the protocol allows; close the connection");
    if (last) {
        partialBytes -= found->second.size();
        messages.push_back(std::move(found->second));
        partial.erase(found);
    }
    return {};
}

/// Consumes one unit of input. Returns false when more bytes are needed.
result<bool> secure_channel::state::processOne(std::vector<std::string>& messages)
{
    bool oversized = false;
    if (step == phase::awaitHello) {
        const auto block = takeBlock(2, maxHelloBytes, oversized);
        if (oversized)
            return fail(error_kind::malformed, "hello message is too long; check the link address");
        if (!block)
            return false;
        return acceptHello(*block).map([] { return true; });
    }
    if (step == phase::awaitProof) {
        if (input.size() < macBytes)
            return false;
        const auto proof = input.substr(0, macBytes);
        input.erase(0, macBytes);
        return acceptProof(proof).map([] { return true; });
    }
    if (!receiveStreamReady) {
        if (input.size() < streamHeaderBytes)
            return false;
        crypto_secretstream_xchacha20poly1305_init_pull(
            &receiveStream, reinterpret_cast<const unsigned char*>(input.data()), receiveKey.data());
        input.erase(0, streamHeaderBytes);
        receiveStreamReady = true;
        return true;
    }
    const auto record = takeBlock(4, maxRecordBytes, oversized);
    if (oversized)
        return fail(error_kind::malformed, "record is too long; close the connection");
    if (!record)
        return false;
    return acceptRecord(*record, messages).map([] { return true; });
}

/// Seals the next fragment of the message at the front of the queue and moves that message to the back.
void secure_channel::state::sealNextFragment()
{
    auto message = std::move(queue.front());
    queue.pop_front();
    const auto count = std::min(fragmentBytes, message.bytes.size() - message.sent);
    const bool last = message.sent + count == message.bytes.size();
    std::string plain;
    plain.reserve(fragmentHeaderBytes + count);
    appendNumber(plain, message.serial, 4);
    plain.push_back(static_cast<char>(last ? lastFragment : 0));
    plain.append(message.bytes, message.sent, count);
    const auto start = output.size();
    appendNumber(output, plain.size() + sealBytes, 4);
    output.resize(start + 4 + plain.size() + sealBytes);
    crypto_secretstream_xchacha20poly1305_push(&sendStream, reinterpret_cast<unsigned char*>(output.data() + start + 4),
        nullptr, reinterpret_cast<const unsigned char*>(plain.data()), plain.size(), nullptr, 0, 0);
    message.sent += count;
    queuedBytes -= count;
    if (!last)
        queue.push_back(std::move(message));
}

secure_channel::secure_channel(channel_settings settings)
    : m_state(std::make_unique<state>(std::move(settings)))
{
}

secure_channel::~secure_channel() = default;
secure_channel::secure_channel(secure_channel&&) noexcept = default;
secure_channel& secure_channel::operator=(secure_channel&&) noexcept = default;

result<void> secure_channel::receive(std::string_view bytes, std::vector<std::string>& messages)
{
    if (m_state->step == phase::failed)
        return fail(error_kind::unauthenticated, "channel has failed; close the connection");
    m_state->input += bytes;
    while (true) {
        auto progressed = m_state->processOne(messages);
        if (!progressed) {
            m_state->step = phase::failed;
            return tl::unexpected<error>(progressed.error());
        }
        if (!*progressed)
            return {};
    }
}

result<void> secure_channel::send(std::string message)
{
    if (message.size() > maxMessageBytes)
        return fail(error_kind::tooLarge, "message is larger than the protocol allows; send a smaller body");
    if (m_state->queuedBytes + message.size() > m_state->settings.maxQueuedBytes)
        return fail(error_kind::unavailable, "send queue of the node link is full; use another node");
    m_state->queuedBytes += message.size();
    m_state->queue.push_back({ m_state->nextSerial++, std::move(message), 0 });
    return {};
}

std::string secure_channel::takeOutput(std::size_t maxBytes)
{
    while (m_state->step == phase::open && !m_state->queue.empty() && m_state->output.size() < maxBytes)
        m_state->sealNextFragment();
    return std::exchange(m_state->output, {});
}

const channel_peer* secure_channel::peer() const { return m_state->step == phase::open ? &m_state->peer : nullptr; }

std::size_t secure_channel::queuedBytes() const { return m_state->queuedBytes; }

} // namespace limpet
