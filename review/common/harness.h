#pragma once

// Stand-ins for the cases of this review: the platform's store, a backend server with heartbeats, clients, and the node
// as a child process. Each stand-in follows the users' pages; a case adds only the disruption that it names.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// ---- Record ----

inline clock::time_point startOfCase = clock::now();
inline long elapsedMs()
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(clock::now() - startOfCase).count());
}

inline std::mutex recordMutex;
inline FILE* recordFile = nullptr;

/// Writes one line with the time since the start of the case to record.txt.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...)
{
    std::lock_guard lock(recordMutex);
    if (!recordFile)
        return;
    std::fprintf(recordFile, "%7ld ms  ", elapsedMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

inline void sleepMs(long value) { std::this_thread::sleep_for(milliseconds(value)); }

// ---- Sockets ----

struct address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in nativeAddress(const address& given)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(given.port);
    inet_pton(AF_INET, given.ip.c_str(), &native.sin_addr);
    return native;
}

/// Returns a loopback address with a port that is free for TCP and UDP.
inline address freeAddress(const std::string& ip)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto native = nativeAddress({ ip, 0 });
        socklen_t length = sizeof native;
        bool good = bind(tcp, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0
            && getsockname(tcp, reinterpret_cast<sockaddr*>(&native), &length) == 0
            && bind(udp, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0;
        close(tcp);
        close(udp);
        if (good)
            return { ip, ntohs(native.sin_port) };
    }
    return {};
}

inline int openListener(const address& at, int backlog)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto native = nativeAddress(at);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0
        && listen(descriptor, backlog) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

/// receiveBuffer: bytes for SO_RCVBUF; 0: the system's choice.
inline int openConnection(const address& to, int receiveBuffer = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const auto native = nativeAddress(to);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline bool waitReadable(int descriptor, long timeoutMs)
{
    pollfd request { descriptor, POLLIN, 0 };
    return poll(&request, 1, static_cast<int>(timeoutMs)) > 0;
}

// ---- HTTP ----

inline std::string lowerCase(std::string text)
{
    for (auto& each : text)
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return text;
}

struct message {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string path() const
    {
        const auto start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    int status() const { return std::atoi(startLine.substr(std::min<std::size_t>(9, startLine.size())).c_str()); }
    std::string header(const std::string& name) const
    {
        const auto found = headers.find(lowerCase(name));
        return found == headers.end() ? "" : found->second;
    }
};

enum class read_result { complete, ended, timeout, malformed };

inline const char* toText(read_result result)
{
    switch (result) {
    case read_result::complete:
        return "complete";
    case read_result::ended:
        return "connection ended";
    case read_result::timeout:
        return "no answer in time";
    case read_result::malformed:
        return "bytes that are no HTTP message";
    }
    return "";
}

/// Reads HTTP/1.1 messages from one connection. Bodies have a Content-Length.
class message_reader {
public:
    explicit message_reader(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    const std::string& buffered() const { return m_buffer; }

    /// bodyAllowed: false for the response to HEAD.
    read_result read(message& out, long timeoutMs, bool isResponse, bool bodyAllowed = true)
    {
        const auto deadline = clock::now() + milliseconds(timeoutMs);
        std::size_t headEnd = std::string::npos;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (isResponse && !m_buffer.empty() && !couldBeResponse())
                return read_result::malformed;
            if (const auto result = more(deadline); result != read_result::complete)
                return result;
        }
        if (isResponse && !couldBeResponse())
            return read_result::malformed;
        out = {};
        std::istringstream head(m_buffer.substr(0, headEnd));
        std::string line;
        std::getline(head, out.startLine);
        if (!out.startLine.empty() && out.startLine.back() == '\r')
            out.startLine.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                return read_result::malformed;
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        m_buffer.erase(0, headEnd + 4);
        const auto length = bodyAllowed ? std::strtoull(out.header("Content-Length").c_str(), nullptr, 10) : 0;
        while (m_buffer.size() < length) {
            if (const auto result = more(deadline); result != read_result::complete)
                return result;
        }
        out.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return read_result::complete;
    }

private:
    bool couldBeResponse() const
    {
        const std::string expected = "HTTP/1.1 ";
        const auto size = std::min(expected.size(), m_buffer.size());
        return m_buffer.compare(0, size, expected, 0, size) == 0;
    }

    read_result more(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        if (left <= 0 || !waitReadable(m_descriptor, left))
            return read_result::timeout;
        char bytes[65536];
        const auto count = recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return read_result::ended;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return read_result::complete;
    }

    int m_descriptor;
    std::string m_buffer;
};

inline const char* reasonOf(int status)
{
    return status == 200 ? "OK" : status == 404 ? "Not Found" : status == 503 ? "Service Unavailable" : "Other";
}

inline std::string makeResponse(int status, const std::vector<std::string>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    for (const auto& each : headers)
        text += each + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string makeRequest(
    const std::string& method, const std::string& path, const std::vector<std::string>& headers, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& each : headers)
        text += each + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Sends one request on a new connection and returns the status; 0 without an answer.
inline int callOnce(const address& to, const std::string& request, long timeoutMs, message* answer = nullptr)
{
    const int descriptor = openConnection(to);
    if (descriptor < 0)
        return 0;
    message got;
    message_reader reader(descriptor);
    const bool complete
        = sendAll(descriptor, request) && reader.read(got, timeoutMs, true) == read_result::complete;
    close(descriptor);
    if (complete && answer)
        *answer = got;
    return complete ? got.status() : 0;
}

/// Accepts connections and serves each in a thread of its own.
class tcp_server {
public:
    using handler = std::function<void(int descriptor)>;

    /// acceptMs: what a new connection costs.
    bool start(const address& at, int backlog, handler serve, long acceptMs = 0)
    {
        m_listener = openListener(at, backlog);
        if (m_listener < 0)
            return false;
        std::thread([listener = m_listener, serve = std::move(serve), acceptMs, open = m_open] {
            for (;;) {
                const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0 && errno == EINTR)
                    continue;
                if (descriptor < 0)
                    return;
                if (acceptMs > 0)
                    sleepMs(acceptMs);
                const int on = 1;
                setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([descriptor, serve, open] {
                    {
                        std::lock_guard lock(open->mutex);
                        open->descriptors.insert(descriptor);
                    }
                    serve(descriptor);
                    std::lock_guard lock(open->mutex);
                    open->descriptors.erase(descriptor);
                    close(descriptor);
                }).detach();
            }
        }).detach();
        return true;
    }

    /// Ends the server and resets its connections.
    void stop()
    {
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        std::lock_guard lock(m_open->mutex);
        for (const int descriptor : m_open->descriptors) {
            const linger reset { 1, 0 };
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(descriptor, SHUT_RDWR);
        }
    }

private:
    struct open_connections {
        std::mutex mutex;
        std::set<int> descriptors;
    };
    int m_listener = -1;
    std::shared_ptr<open_connections> m_open = std::make_shared<open_connections>();
};

// ---- The platform's store ----

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned value = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t part = 0; part < 3; ++part)
            value = value << 8 | (part < count ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        for (std::size_t part = 0; part < 4; ++part)
            text += part <= count ? digits[value >> (18 - 6 * part) & 63U] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char each : text) {
        const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* found = each == '=' ? nullptr : std::strchr(digits, each);
        if (!found)
            break;
        value = value << 6 | static_cast<unsigned>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255U);
        }
    }
    return bytes;
}

inline std::string decodeQuery(const std::string& path, const std::string& name)
{
    auto position = path.find('?' + name + '=');
    if (position == std::string::npos)
        position = path.find('&' + name + '=');
    if (position == std::string::npos)
        return "";
    position += name.size() + 2;
    const auto raw = path.substr(position, path.find('&', position) - position);
    std::string decoded;
    for (std::size_t index = 0; index < raw.size(); ++index) {
        if (raw[index] == '%' && index + 2 < raw.size()) {
            decoded += static_cast<char>(std::stoi(raw.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else
            decoded += raw[index];
    }
    return decoded;
}

/// Keys with revisions and leases, linearizable, with watches that wait.
class store_standin {
public:
    /// idleMs: a connection without a request for so long is closed; answers state it in Keep-Alive, in whole seconds.
    explicit store_standin(long idleMs = 60000)
        : m_idleMs(idleMs)
    {
    }

    bool start(const address& at)
    {
        return m_server.start(at, 1024, [this](int descriptor) { serve(descriptor); });
    }

    /// Written by the operator. Returns once the store has accepted it.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, value, 0);
    }

private:
    struct item {
        std::string value;
        long revision = 0;
        long createRevision = 0;
        long lease = 0;
    };
    struct change {
        long revision = 0;
        std::string key;
        bool removed = false;
        std::string value;
        long lease = 0;
    };
    struct lease {
        long ttlMs = 0;
        clock::time_point ends;
    };

    void write(const std::string& key, const std::string& value, long leaseId)
    {
        auto& each = m_items[key];
        each.value = value;
        each.revision = ++m_revision;
        each.createRevision = each.createRevision == 0 ? m_revision : each.createRevision;
        each.lease = leaseId;
        m_history.push_back({ m_revision, key, false, value, leaseId });
        m_changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_history.push_back({ ++m_revision, key, true, "", 0 });
        m_changed.notify_all();
    }

    void endLease(long id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, each] : m_items) {
            if (each.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
    }

    void expireLeases()
    {
        std::vector<long> ended;
        for (const auto& [id, each] : m_leases) {
            if (each.ends <= clock::now())
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    static json toJson(const std::string& key, const item& each)
    {
        return { { "key", key }, { "value", encodeBase64(each.value) }, { "revision", each.revision },
            { "createRev", each.createRevision }, { "lease", each.lease } };
    }

    void serve(int descriptor)
    {
        message_reader reader(descriptor);
        message request;
        const auto keepAlive = "Keep-Alive: timeout=" + std::to_string(m_idleMs / 1000);
        while (reader.read(request, m_idleMs, false) == read_result::complete) {
            const auto [status, body] = handle(request);
            if (!sendAll(descriptor, makeResponse(status, { "Content-Type: application/json", keepAlive }, body.dump())))
                return;
        }
    }

    std::pair<int, json> handle(const message& request)
    {
        std::unique_lock lock(m_mutex);
        expireLeases();
        const auto path = request.path();
        const auto begins = [&](const char* prefix) { return path.rfind(prefix, 0) == 0; };
        const auto body = json::parse(request.body, nullptr, false);
        const auto idOf = [&] { return std::atol(path.substr(path.rfind('/') + 1).c_str()); };
        if (begins("/api/kv-key")) {
            const auto found = m_items.find(decodeQuery(path, "key"));
            json reply = found == m_items.end() ? json::object() : toJson(found->first, found->second);
            reply["asOf"] = m_revision;
            return { found == m_items.end() ? 404 : 200, reply };
        }
        if (begins("/api/kv-range")) {
            json items = json::array();
            const auto prefix = decodeQuery(path, "prefix");
            const auto after = decodeQuery(path, "after");
            for (const auto& [key, each] : m_items) {
                if (key.rfind(prefix, 0) == 0 && key > after)
                    items.push_back(toJson(key, each));
            }
            return { 200, { { "items", items }, { "hasMore", false }, { "asOf", m_revision } } };
        }
        if (begins("/api/kv-watch"))
            return watch(lock, decodeQuery(path, "prefix"), std::atol(decodeQuery(path, "after").c_str()),
                std::atol(decodeQuery(path, "waitMs").c_str()));
        if (begins("/api/kv-txn"))
            return transact(body);
        if (begins("/api/kv-lease-end/")) {
            endLease(idOf());
            return { 200, json::object() };
        }
        if (begins("/api/kv-lease")) {
            const auto id = ++m_nextLease;
            const long ttl = body.at("ttlMs").get<long>();
            m_leases[id] = { ttl, clock::now() + milliseconds(ttl) };
            return { 200, { { "lease", id }, { "ttlMs", ttl } } };
        }
        if (begins("/api/kv-keep/")) {
            const auto found = m_leases.find(idOf());
            if (found == m_leases.end())
                return { 404, json::object() };
            found->second.ends = clock::now() + milliseconds(found->second.ttlMs);
            return { 200, { { "lease", found->first }, { "ttlMs", found->second.ttlMs } } };
        }
        return { 404, json::object() };
    }

    std::pair<int, json> watch(
        std::unique_lock<std::mutex>& lock, const std::string& prefix, long after, long waitMs)
    {
        const auto deadline = clock::now() + milliseconds(waitMs);
        for (;;) {
            json events = json::array();
            for (const auto& each : m_history) {
                if (each.revision <= after || each.key.rfind(prefix, 0) != 0)
                    continue;
                if (each.removed)
                    events.push_back({ { "key", each.key }, { "revision", each.revision }, { "removed", true } });
                else
                    events.push_back({ { "key", each.key }, { "value", encodeBase64(each.value) },
                        { "revision", each.revision }, { "createRev", each.revision }, { "lease", each.lease } });
            }
            if (!events.empty() || clock::now() >= deadline)
                return { 200, { { "events", events }, { "asOf", m_revision } } };
            m_changed.wait_until(lock, deadline);
        }
    }

    std::pair<int, json> transact(const json& body)
    {
        for (const auto& each : body.at("expected")) {
            const auto found = m_items.find(each.at("key").get<std::string>());
            const long revision = found == m_items.end() ? 0 : found->second.revision;
            if (revision != each.at("revision").get<long>())
                return { 412, { { "items", json::array() } } };
        }
        for (const auto& each : body.at("puts")) {
            const auto leaseId = each.value("lease", 0L);
            if (leaseId != 0 && !m_leases.contains(leaseId))
                return { 404, json::object() };
        }
        for (const auto& each : body.at("puts"))
            write(each.at("key").get<std::string>(), decodeBase64(each.at("value").get<std::string>()),
                each.value("lease", 0L));
        for (const auto& each : body.at("deletes"))
            erase(each.get<std::string>());
        return { 200, { { "revision", m_revision } } };
    }

    long m_idleMs;
    tcp_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<long, lease> m_leases;
    std::vector<change> m_history;
    long m_revision = 1;
    long m_nextLease = 0;
};

// ---- Configuration ----

struct route_spec {
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    long timeoutMs = 4000;
    long targetLatencyMs = 2000;
    int maxAttempts = 2;
};

inline json resource(const char* type, const std::string& name, json spec)
{
    return { { "type", type }, { "metadata", { { "name", name } } }, { "spec", std::move(spec) } };
}

inline json routeResource(const std::string& name, const route_spec& spec)
{
    return resource("routes", name,
        { { "hostname", "shop.example" }, { "prefix", spec.prefix }, { "kind", spec.kind },
            { "timeoutMs", spec.timeoutMs }, { "targetLatencyMs", spec.targetLatencyMs }, { "priority", 0 },
            { "maxAttempts", spec.maxAttempts }, { "service", spec.service } });
}

inline json serviceResource(const std::string& name, int maxConnections = 200)
{
    return resource("services", name, { { "healthCheckPath", "/health" }, { "maxConnections", maxConnections } });
}

/// ratePerS 0: no limit.
inline json tenantResource(
    const std::string& name, const std::vector<std::string>& keys, double ratePerS = 0, double burst = 0)
{
    return resource("tenants", name, { { "apiKeys", keys }, { "ratePerS", ratePerS }, { "burst", burst } });
}

inline json limitsResource()
{
    return resource("limits", "limits",
        { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 }, { "headerTimeoutMs", 3000 },
            { "idleTimeoutMs", 15000 } });
}

inline std::string configurationDocument(unsigned version, const json& resources)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return json { { "version", text }, { "resources", resources } }.dump();
}

// ---- A backend server ----

/// Serves requests on one machine and announces itself to the node there.
class backend_standin {
public:
    struct options {
        std::string id;
        std::string service;
        address own;
        address control; ///< of the node on its machine
        int slots = 64;
        int backlog = 1024; ///< of the queue of new connections
        long heartbeatMs = 1500;
        long newConnectionMs = 0; ///< what a new connection costs
    };
    /// Handles one request and returns whether the connection stays open.
    using handler = std::function<bool(int descriptor, const message& request)>;

    backend_standin(options given, handler onRequest)
        : m_options(std::move(given))
        , m_onRequest(std::move(onRequest))
    {
    }

    /// firstBeatMs: time from the start to the first heartbeat.
    bool start(long firstBeatMs = 0)
    {
        m_bornMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        if (!m_server.start(m_options.own, m_options.backlog, [this](int descriptor) { serve(descriptor); },
                m_options.newConnectionMs))
            return false;
        std::thread([this, firstBeatMs] {
            sleepMs(firstBeatMs);
            while (!m_crashed) {
                beat();
                sleepMs(m_options.heartbeatMs);
            }
        }).detach();
        return true;
    }

    /// Ends without notice.
    void crash()
    {
        m_crashed = true;
        m_server.stop();
    }

    /// Reports that it leaves. Returns the time in ms at which the node's acknowledgement arrived; -1 without one.
    long drain()
    {
        m_draining = true;
        return beat() ? elapsedMs() : -1;
    }

    bool draining() const { return m_draining; }
    const std::string& id() const { return m_options.id; }

    static std::string signatureOf(const std::string& requestId) { return "sig." + requestId; }

    std::string makeAnswer(const message& request, const std::string& body) const
    {
        const auto id = request.header("X-Request-Id");
        std::vector<std::string> headers { "X-Request-Id: " + id, "X-Response-Signature: " + signatureOf(id) };
        headers.emplace_back(m_draining ? "Connection: close" : "Keep-Alive: timeout=10");
        return makeResponse(200, headers, body);
    }

    static std::string makeRejection(const message& request)
    {
        return makeResponse(503, { "X-Request-Id: " + request.header("X-Request-Id"), "X-Not-Executed: 1" }, "");
    }

private:
    bool beat()
    {
        std::lock_guard lock(m_beatMutex);
        const json body { { "address", m_options.own.text() }, { "born", m_bornMs },
            { "info",
                { { "service", m_options.service }, { "version", "v1" }, { "zone", "north-a" },
                    { "slots", m_options.slots } } },
            { "status",
                { { "state", m_draining ? "draining" : "ready" }, { "sequence", ++m_sequence },
                    { "coldRemainingMs", 0 } } } };
        const auto request = makeRequest("PUT", "/api/instances/" + m_options.id,
            { "Host: " + m_options.control.text(), "Content-Type: application/json" }, body.dump());
        return callOnce(m_options.control, request, 1000) == 200;
    }

    void serve(int descriptor)
    {
        message_reader reader(descriptor);
        message request;
        constexpr long idleMs = 10000;
        while (reader.read(request, idleMs, false) == read_result::complete) {
            if (request.path() == "/health") {
                const auto answer = makeResponse(m_draining ? 503 : 200, { "X-Instance-Id: " + m_options.id }, "");
                if (!sendAll(descriptor, answer))
                    return;
                continue;
            }
            if (request.header("X-Target-Instance") != m_options.id) {
                if (!sendAll(descriptor, makeResponse(421, { "X-Instance-Id: " + m_options.id }, "")))
                    return;
                continue;
            }
            if (!m_onRequest(descriptor, request))
                return;
        }
    }

    options m_options;
    handler m_onRequest;
    tcp_server m_server;
    std::mutex m_beatMutex;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_crashed = false;
    long m_bornMs = 0;
    long m_sequence = 0;
};

// ---- The node as a child process ----

/// Renders the settings template of the deploy file: {{a.b}}, {{a.0}} and {{a|json}}.
inline std::string renderTemplate(const std::string& text, const json& fields)
{
    std::string out;
    std::size_t position = 0;
    for (;;) {
        const auto open = text.find("{{", position);
        if (open == std::string::npos)
            return out + text.substr(position);
        const auto end = text.find("}}", open);
        out += text.substr(position, open - position);
        auto name = text.substr(open + 2, end - open - 2);
        const auto bar = name.find('|');
        const bool asJson = bar != std::string::npos;
        name = name.substr(0, bar);
        const json* value = &fields;
        std::istringstream parts(name);
        for (std::string part; value && std::getline(parts, part, '.');) {
            if (value->is_array())
                value = &value->at(std::stoul(part));
            else
                value = value->contains(part) ? &value->at(part) : nullptr;
        }
        if (value)
            out += asJson || !value->is_string() ? value->dump() : value->get<std::string>();
        position = end + 2;
    }
}

inline std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream contents;
    contents << file.rdbuf();
    return contents.str();
}

/// Returns the value of a text entry of the deploy file, such as run or template.
inline std::string deployEntry(const std::string& name)
{
    std::istringstream lines(readFile("deploy/system.toml"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " = \"", 0) == 0)
            return line.substr(name.size() + 4, line.rfind('"') - name.size() - 4);
    }
    return "";
}

struct machine {
    std::string name;
    std::string zone = "north-a";
    std::string service;
    address clients, ready, control, app, internal, store;
};

class node_process {
public:
    node_process(machine given, std::string folder)
        : m_machine(std::move(given))
        , m_folder(std::move(folder))
    {
    }
    ~node_process() { end(); }

    bool start()
    {
        writeSettings();
        const auto log = m_folder + "/" + m_machine.name + ".log";
        const auto program = deployEntry("run");
        if (access(program.c_str(), X_OK) != 0)
            return false;
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, 1);
            dup2(output, 2);
            setenv("LIMPETCROFT_NODE_FILE", settingsPath().c_str(), 1);
            execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record("node %s started, process %d", m_machine.name.c_str(), static_cast<int>(m_process));
        return m_process > 0;
    }

    /// Changes the settings file: the backend server of the machine has another service now.
    void changeService(const std::string& service)
    {
        m_machine.service = service;
        writeSettings();
    }

    void signal(int number)
    {
        if (m_process > 0)
            kill(m_process, number);
    }

    /// Whether the process has ended.
    bool ended()
    {
        if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
            m_process = 0;
        return m_process <= 0;
    }

    void end()
    {
        if (m_process <= 0)
            return;
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    /// Waits until GET /api/readyz returns 200 twice in a row.
    bool waitReady(long timeoutMs)
    {
        const auto until = elapsedMs() + timeoutMs;
        int good = 0;
        while (elapsedMs() < until && good < 2) {
            const auto request = makeRequest("GET", "/api/readyz", { "Host: " + m_machine.ready.text() }, "");
            good = callOnce(m_machine.ready, request, 1000) == 200 ? good + 1 : 0;
            sleepMs(100);
        }
        return good >= 2;
    }

    const machine& place() const { return m_machine; }
    pid_t id() const { return m_process; }

private:
    std::string settingsPath() const { return m_folder + "/" + m_machine.name + ".json"; }

    void writeSettings() const
    {
        const json bounds { { "drainMs", 2500 }, { "graceS", 6 }, { "retryBudgetRatio", 0.2 }, { "budgetSlack", 50 },
            { "budgetWindowS", 10 } };
        const json fields { { "nodeName", m_machine.name }, { "region", "north" }, { "zone", m_machine.zone },
            { "service", m_machine.service }, { "ip", m_machine.internal.ip }, { "appAddr", m_machine.app.text() },
            { "internalPorts", { m_machine.internal.port, m_machine.internal.port + 15 } },
            { "listen",
                { { "outbound", m_machine.clients.text() }, { "ready", m_machine.ready.text() },
                    { "control", m_machine.control.text() } } },
            { "platform", { { "address", m_machine.store.text() } } }, { "bounds", bounds },
            { "limits", { { "memoryMb", 260 }, { "maxFds", 4100 } } } };
        std::ofstream(settingsPath()) << renderTemplate(readFile(deployEntry("template")), fields);
    }

    machine m_machine;
    std::string m_folder;
    pid_t m_process = 0;
};

// ---- A case ----

/// Temporary folder, loopback network and record of one case.
class case_run {
public:
    explicit case_run(int argc, char** argv)
    {
        std::signal(SIGPIPE, SIG_IGN);
        const std::string folder = argc > 1 ? argv[1] : ".";
        recordFile = std::fopen((folder + "/record.txt").c_str(), "w");
        const char* trouble = std::getenv("TROUBLE");
        m_trouble = !trouble || std::string(trouble) != "0";
        char pattern[] = "/tmp/limpet-review-XXXXXX";
        const char* made = mkdtemp(pattern);
        m_folder = made ? made : "";
        std::random_device device;
        m_network = "127." + std::to_string(16 + device() % 200) + "." + std::to_string(device() % 250) + ".";
        record("disruption: %s", m_trouble ? "yes" : "no (TROUBLE=0)");
    }
    ~case_run()
    {
        if (!m_folder.empty() && !std::getenv("KEEP"))
            std::filesystem::remove_all(m_folder);
    }

    bool trouble() const { return m_trouble; }
    const std::string& folder() const { return m_folder; }
    std::string ip(int number) const { return m_network + std::to_string(number); }

    machine makeMachine(int number, const std::string& service, const address& store) const
    {
        machine made;
        made.name = "sidecar-north-a-" + std::to_string(number);
        made.service = service;
        for (auto* each : { &made.clients, &made.ready, &made.control, &made.app, &made.internal })
            *each = freeAddress(ip(number));
        made.store = store;
        return made;
    }

    /// Ends the case. The stand-ins' threads end with the process.
    [[noreturn]] void finish(int code, const std::string& summary)
    {
        record("result: %s", summary.c_str());
        std::printf("%s\n", summary.c_str());
        std::fflush(stdout);
        if (!m_folder.empty() && !std::getenv("KEEP"))
            std::filesystem::remove_all(m_folder);
        std::_Exit(code);
    }

private:
    bool m_trouble = true;
    std::string m_folder;
    std::string m_network;
};

} // namespace review
