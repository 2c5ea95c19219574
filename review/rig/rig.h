#pragma once

// Stand-ins for the scripts of review/6 to review/10: the platform's store, backend servers, clients, a relay, and the
// nodes as child processes. Everything runs on loopback addresses and the real clock. Plain POSIX, no library.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

/// Milliseconds since the start of the script.
inline std::int64_t now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline void pauseFor(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(milliseconds, 0)));
}

inline void pauseUntil(std::int64_t at) { pauseFor(at - now()); }

/// The file record.txt of the case: what was sent, answered and run.
class record {
public:
    static void open(const std::string& path) { file() = std::fopen(path.c_str(), "w"); }
    static void line(const char* format, ...) __attribute__((format(printf, 1, 2)))
    {
        static std::mutex mutex;
        const std::lock_guard lock(mutex);
        std::FILE* to = file() ? file() : stdout;
        std::fprintf(to, "%8.3f  ", static_cast<double>(now()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(to, format, arguments);
        va_end(arguments);
        std::fputc('\n', to);
        std::fflush(to);
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* opened = nullptr;
        return opened;
    }
};

[[noreturn]] inline void cannotRun(const std::string& why)
{
    record::line("the case cannot run: %s", why.c_str());
    std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
    std::_Exit(exitCannotRun);
}

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(const address& of)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(const address& at, int backlog = 1024)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto bound = native(at);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 || listen(descriptor, backlog) != 0)
        cannotRun("cannot listen on " + at.text());
    return descriptor;
}

inline int connectTo(const address& to)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto peer = native(to);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// A request or a response.
struct message {
    std::string start; ///< first line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return "";
    }
    /// Word of the first line, from 0 on.
    std::string word(int index) const
    {
        std::size_t from = 0;
        for (; index > 0; --index)
            from = std::min(start.find(' ', from), start.size() - 1) + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string encode() const
    {
        std::string out = start + "\r\n";
        for (const auto& [key, value] : headers)
            out += key + ": " + value + "\r\n";
        return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

inline message response(int status, std::string body = "", std::vector<std::pair<std::string, std::string>> headers = {})
{
    return { "HTTP/1.1 " + std::to_string(status) + " X", std::move(headers), std::move(body) };
}

enum class read_end { complete, closed, timeout };

/// One connection that carries HTTP/1.1 messages with a length.
class stream {
public:
    explicit stream(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~stream()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    int descriptor() const { return m_descriptor; }
    bool open() const { return m_descriptor >= 0; }
    bool write(const message& out) const { return m_descriptor >= 0 && sendAll(m_descriptor, out.encode()); }
    /// Whether the peer has closed or reset the connection.
    bool peerClosed() const
    {
        pollfd state { m_descriptor, POLLRDHUP, 0 };
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    read_end read(message& into, std::int64_t until)
    {
        while (true) {
            if (parse(into))
                return read_end::complete;
            const auto left = until - now();
            if (left <= 0)
                return read_end::timeout;
            pollfd state { m_descriptor, POLLIN, 0 };
            if (poll(&state, 1, static_cast<int>(left)) <= 0)
                continue;
            char bytes[65536];
            const auto count = recv(m_descriptor, bytes, sizeof bytes, 0);
            if (count <= 0)
                return read_end::closed;
            m_input.append(bytes, static_cast<std::size_t>(count));
        }
    }

private:
    bool parse(message& into)
    {
        const auto end = m_input.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        message parsed;
        std::size_t from = 0;
        while (from < end) {
            const auto lineEnd = std::min(m_input.find("\r\n", from), end);
            const auto line = m_input.substr(from, lineEnd - from);
            from = lineEnd + 2;
            if (parsed.start.empty()) {
                parsed.start = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            parsed.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        const auto length = std::strtoull(parsed.header("Content-Length").c_str(), nullptr, 10);
        if (m_input.size() < end + 4 + length)
            return false;
        parsed.body = m_input.substr(end + 4, length);
        m_input.erase(0, end + 4 + length);
        into = std::move(parsed);
        return true;
    }

    int m_descriptor;
    std::string m_input;
};

/// Accepts connections, each of which is served by a thread of its own.
class server {
public:
    using handler = std::function<void(stream&)>;
    server(const address& at, handler serve, int backlog = 1024)
        : m_listener(listenOn(at, backlog))
        , m_serve(std::move(serve))
    {
        std::thread([listener = m_listener, each = m_serve] {
            while (true) {
                const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, each] {
                    stream connection(accepted);
                    each(connection);
                }).detach();
            }
        }).detach();
    }

private:
    int m_listener;
    handler m_serve;
};

// ---- The platform's store ----

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = (group << 8) | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        for (int digit = 3; digit >= 0; --digit)
            out += digits[(group >> (6 * digit)) & 63U];
    }
    const auto missing = (3 - bytes.size() % 3) % 3;
    return out.replace(out.size() - missing, missing, std::string(missing, '='));
}

/// Answers the calls of the store's protocol that a node makes. Values stay in base64, as they arrive.
class store {
public:
    explicit store(const address& at)
        : m_server(at, [this](stream& connection) { serve(connection); })
    {
    }

    /// Writes as the operator does. The return is the acknowledgement.
    std::int64_t operatorPut(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        put(key, encodeBase64(value), 0);
        m_changed.notify_all();
        return now();
    }
    std::size_t nodesRegistered()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(
            m_items.begin(), m_items.end(), [](const auto& each) { return each.first.rfind("nodes/", 0) == 0; }));
    }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::int64_t revision = 0;
        std::string key;
        std::string text; ///< as in the answer of a watch
    };
    struct lease_state {
        std::int64_t length = 0;
        std::int64_t endsAt = 0;
    };

    static std::string quote(const std::string& text) { return "\"" + text + "\""; }
    static std::string show(const std::string& key, const item& of)
    {
        return "{\"key\":" + quote(key) + ",\"value\":" + quote(of.value) + ",\"revision\":" + std::to_string(of.revision)
            + ",\"createRev\":" + std::to_string(of.created) + ",\"lease\":" + std::to_string(of.lease) + "}";
    }
    void put(const std::string& key, const std::string& value, std::int64_t lease)
    {
        auto& changed = m_items[key];
        changed.value = value;
        changed.revision = ++m_revision;
        changed.created = changed.created == 0 ? m_revision : changed.created;
        changed.lease = lease;
        m_history.push_back({ m_revision, key, show(key, changed) });
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_history.push_back({ m_revision, key,
            "{\"key\":" + quote(key) + ",\"revision\":" + std::to_string(m_revision) + ",\"removed\":true}" });
    }
    void expireLeases()
    {
        for (auto each = m_leases.begin(); each != m_leases.end();) {
            if (each->second.endsAt > now()) {
                ++each;
                continue;
            }
            endLease(each->first);
            each = m_leases.erase(each);
        }
    }
    void endLease(std::int64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, each] : m_items) {
            if (each.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
    }

    static std::string decodeQuery(const std::string& text)
    {
        std::string out;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                out += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
                index += 2;
            } else
                out += text[index];
        }
        return out;
    }
    static std::string queryOf(const std::string& path, const std::string& name)
    {
        auto at = path.find('?');
        while (at != std::string::npos) {
            const auto end = path.find('&', at + 1);
            const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
                return decodeQuery(pair.substr(name.size() + 1));
            at = end;
        }
        return "";
    }
    /// Returns the objects of an array member of a flat JSON document, as text.
    static std::vector<std::string> objectsOf(const std::string& body, const std::string& member)
    {
        std::vector<std::string> objects;
        auto at = body.find(quote(member) + ":[");
        if (at == std::string::npos)
            return objects;
        at += member.size() + 4;
        while (at < body.size() && body[at] != ']') {
            const char end = body[at] == '{' ? '}' : '"';
            const auto from = at;
            at = body.find(end, at + 1) + 1;
            objects.push_back(body.substr(from, at - from));
            if (at < body.size() && body[at] == ',')
                ++at;
        }
        return objects;
    }
    static std::string textOf(const std::string& object, const std::string& member)
    {
        const auto at = object.find(quote(member) + ":\"");
        if (at == std::string::npos)
            return "";
        const auto from = at + member.size() + 4;
        return object.substr(from, object.find('"', from) - from);
    }
    static std::int64_t numberOf(const std::string& object, const std::string& member)
    {
        const auto at = object.find(quote(member) + ":");
        return at == std::string::npos ? 0 : std::strtoll(object.c_str() + at + member.size() + 3, nullptr, 10);
    }

    void serve(stream& connection)
    {
        message request;
        while (connection.read(request, now() + 120000) == read_end::complete) {
            pauseFor(4);
            if (!connection.write(handle(request)))
                return;
        }
    }
    message handle(const message& request)
    {
        const auto path = request.word(1);
        const auto call = path.substr(0, path.find('?'));
        std::unique_lock lock(m_mutex);
        expireLeases();
        if (call == "/api/kv-key")
            return get(queryOf(path, "key"));
        if (call == "/api/kv-range")
            return range(queryOf(path, "prefix"), queryOf(path, "after"));
        if (call == "/api/kv-watch")
            return watch(path, lock);
        if (call == "/api/kv-txn")
            return transact(request.body);
        if (call == "/api/kv-lease") {
            const auto length = numberOf(request.body, "ttlMs");
            m_leases[++m_nextLease] = { length, now() + length };
            return response(200, "{\"lease\":" + std::to_string(m_nextLease) + ",\"ttlMs\":" + std::to_string(length) + "}");
        }
        const auto lease = std::strtoll(call.c_str() + call.rfind('/') + 1, nullptr, 10);
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return response(404, "{}");
        if (call.rfind("/api/kv-keep/", 0) == 0) {
            found->second.endsAt = now() + found->second.length;
            return response(200, "{\"lease\":" + std::to_string(lease) + ",\"ttlMs\":" + std::to_string(found->second.length) + "}");
        }
        endLease(lease);
        m_leases.erase(lease);
        m_changed.notify_all();
        return response(200, "{}");
    }
    message get(const std::string& key) const
    {
        const auto asOf = "\"asOf\":" + std::to_string(m_revision) + "}";
        const auto found = m_items.find(key);
        if (found == m_items.end())
            return response(404, "{" + asOf);
        auto shown = show(key, found->second);
        shown.back() = ',';
        return response(200, shown + asOf);
    }
    message range(const std::string& prefix, const std::string& after) const
    {
        std::string items;
        for (const auto& [key, each] : m_items) {
            if (key.rfind(prefix, 0) == 0 && key > after)
                items += (items.empty() ? "" : ",") + show(key, each);
        }
        return response(200, "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}");
    }
    message watch(const std::string& path, std::unique_lock<std::mutex>& lock)
    {
        const auto prefix = queryOf(path, "prefix");
        const auto after = std::strtoll(queryOf(path, "after").c_str(), nullptr, 10);
        const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::strtoll(queryOf(path, "waitMs").c_str(), nullptr, 10));
        std::string events;
        while (true) {
            for (const auto& each : m_history) {
                if (each.revision > after && each.key.rfind(prefix, 0) == 0)
                    events += (events.empty() ? "" : ",") + each.text;
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        return response(200, "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}");
    }
    message transact(const std::string& body)
    {
        for (const auto& row : objectsOf(body, "expected")) {
            const auto found = m_items.find(textOf(row, "key"));
            if ((found == m_items.end() ? 0 : found->second.revision) != numberOf(row, "revision"))
                return response(412, "{\"items\":[]}");
        }
        const auto puts = objectsOf(body, "puts");
        for (const auto& row : puts) {
            if (numberOf(row, "lease") != 0 && m_leases.count(numberOf(row, "lease")) == 0)
                return response(404, "{}");
        }
        for (const auto& row : puts)
            put(textOf(row, "key"), textOf(row, "value"), numberOf(row, "lease"));
        for (const auto& key : objectsOf(body, "deletes"))
            remove(key.substr(1, key.size() - 2));
        m_changed.notify_all();
        return response(200, "{\"revision\":" + std::to_string(m_revision) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::map<std::int64_t, lease_state> m_leases;
    std::int64_t m_revision = 10;
    std::int64_t m_nextLease = 100;
    server m_server;
};

// ---- Backend servers ----

struct run_entry {
    std::string id;
    std::string server; ///< instance that ran it
    std::string service;
    std::int64_t begun = 0;
    std::int64_t ended = -1; ///< -1: still at work
    bool dropped = false; ///< its connection was closed before its end
};

/// What all backend servers have run.
class run_log {
public:
    std::size_t begin(const std::string& id, const std::string& server, const std::string& service)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ id, server, service, now() });
        record::line("run    %s begins at %s", id.c_str(), server.c_str());
        return m_runs.size() - 1;
    }
    void end(std::size_t run, bool dropped)
    {
        const std::lock_guard lock(m_mutex);
        auto& ended = m_runs[run];
        ended.ended = now();
        ended.dropped = dropped;
        record::line("run    %s ends at %s%s", ended.id.c_str(), ended.server.c_str(), dropped ? ", dropped" : "");
    }
    std::vector<run_entry> of(const std::string& id) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<run_entry> found;
        for (const auto& each : m_runs) {
            if (each.id == id)
                found.push_back(each);
        }
        return found;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run_entry> m_runs;
};

/// A sound backend server beside a node, with its heartbeats.
class endpoint {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        address at;
        address control; ///< of its node
        int slots = 8;
        int queue = 16;
        std::int64_t heartbeatMs = 1500;
    };
    /// work: milliseconds that a request takes.
    endpoint(options given, run_log& runs, std::function<std::int64_t(const message&)> work)
        : m_options(std::move(given))
        , m_runs(runs)
        , m_work(std::move(work))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
        , m_server(m_options.at, [this](stream& connection) { serve(connection); })
    {
        std::thread([this] { beat(); }).detach();
    }

private:
    void serve(stream& connection)
    {
        message request;
        while (connection.read(request, now() + 10000) == read_end::complete) {
            const auto answer = handle(request, connection);
            if (answer.start.empty() || !connection.write(answer))
                return;
        }
    }
    /// Returns an empty message if the connection was closed meanwhile.
    message handle(const message& request, const stream& connection)
    {
        const auto id = request.header("X-Request-Id");
        if (request.word(1) == "/health")
            return response(200, "", { { "X-Instance-Id", m_options.id } });
        const auto rejected = [&](int status) {
            record::line("server %s rejects %s with %d", m_options.id.c_str(), id.c_str(), status);
            return response(status, "", { { "X-Request-Id", id }, { "X-Not-Executed", "1" } });
        };
        const auto target = request.header("X-Target-Instance");
        if (!target.empty() && target != m_options.id)
            return rejected(421);
        if (m_present.fetch_add(1) >= m_options.slots + m_options.queue) {
            --m_present;
            return rejected(503);
        }
        const std::int64_t deadline = now() + std::strtoll(request.header("X-Deadline-Ms").c_str(), nullptr, 10);
        while (m_running.fetch_add(1) >= m_options.slots) {
            --m_running;
            pauseFor(2);
            if (connection.peerClosed() || now() >= deadline) {
                --m_present;
                return now() >= deadline ? rejected(503) : message {};
            }
        }
        const auto run = m_runs.begin(id, m_options.id, m_options.service);
        const std::int64_t until = now() + m_work(request);
        bool dropped = false;
        while (!dropped && now() < std::min(until, deadline)) {
            pauseFor(std::min<std::int64_t>(5, until - now()));
            dropped = connection.peerClosed();
        }
        m_runs.end(run, dropped);
        --m_running;
        --m_present;
        if (dropped)
            return {};
        const std::vector<std::pair<std::string, std::string>> headers { { "X-Request-Id", id },
            { "X-Response-Signature", m_options.id + "." + id } };
        if (now() < until)
            return response(504, "", headers);
        const bool bodyWanted = request.word(0) != "HEAD";
        return response(200, bodyWanted ? "answer of " + m_options.id + " to " + id : "", headers);
    }
    void beat()
    {
        int sequence = 0;
        while (true) {
            stream connection(connectTo(m_options.control));
            if (connection.open()) {
                message request { "PUT /api/instances/" + m_options.id + " HTTP/1.1",
                    { { "Host", m_options.control.text() }, { "Content-Type", "application/json" } }, "" };
                request.body = "{\"address\":\"" + m_options.at.text() + "\",\"born\":" + std::to_string(m_born)
                    + ",\"info\":{\"service\":\"" + m_options.service + "\",\"version\":\"v1\",\"zone\":\"" + m_options.zone
                    + "\",\"slots\":" + std::to_string(m_options.slots)
                    + "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(++sequence)
                    + ",\"coldRemainingMs\":0}}";
                message answer;
                if (connection.write(request))
                    connection.read(answer, now() + 1000);
            }
            pauseFor(connection.open() ? m_options.heartbeatMs : 200);
        }
    }

    options m_options;
    run_log& m_runs;
    std::function<std::int64_t(const message&)> m_work;
    std::int64_t m_born;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_present = 0;
    server m_server;
};

// ---- Clients ----

struct request_spec {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string id;
    std::string key;
    std::int64_t deadlineMs = 5000;
    std::string body;
};

struct client_outcome {
    read_end end = read_end::closed;
    int status = 0; ///< 0: no complete answer
    std::int64_t sentAt = 0; ///< its last byte
    std::int64_t endedAt = 0;
    std::string body;
    bool connected = false;
};

/// Sends one request on a connection that is open, and waits for its end.
inline client_outcome exchange(stream& connection, const request_spec& spec)
{
    client_outcome outcome;
    outcome.connected = connection.open();
    message request { spec.method + " " + spec.path + " HTTP/1.1",
        { { "Host", spec.host }, { "X-Request-Id", spec.id }, { "X-Deadline-Ms", std::to_string(spec.deadlineMs) } },
        spec.body };
    if (!spec.key.empty())
        request.headers.emplace_back("Api-Key", spec.key);
    const bool written = connection.write(request);
    outcome.sentAt = now();
    record::line("client sends %s %s %s", spec.id.c_str(), spec.method.c_str(), spec.path.c_str());
    message answer;
    outcome.end = written ? connection.read(answer, now() + spec.deadlineMs) : read_end::closed;
    outcome.endedAt = now();
    if (outcome.end == read_end::complete) {
        outcome.status = answer.status();
        outcome.body = answer.body;
    }
    const char* ends[] = { "gets", "finds the connection closed", "gives up" };
    record::line("client %s for %s, status %d", ends[static_cast<int>(outcome.end)], spec.id.c_str(), outcome.status);
    return outcome;
}

inline client_outcome exchange(const address& to, const request_spec& spec)
{
    stream connection(connectTo(to));
    return exchange(connection, spec);
}

// ---- A relay between a node and the store ----

/// Passes bytes on. A connection that is silenced stays open, but passes nothing any more.
class relay {
public:
    relay(const address& at, const address& to)
        : m_server(at, [this, to](stream& connection) { pass(connection, to); })
    {
    }
    /// Silences the connections that have carried nothing for that long. Returns their number.
    int silenceResting(std::int64_t restedMs)
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (auto& each : m_links) {
            if (!each.silent && now() - each.lastByteAt >= restedMs) {
                each.silent = true;
                ++count;
            }
        }
        return count;
    }
    int open()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_links.size());
    }

private:
    struct link_state {
        std::atomic<bool> silent = false;
        std::atomic<std::int64_t> lastByteAt = 0;
    };
    void pass(const stream& near, const address& to)
    {
        const stream far(connectTo(to));
        if (!far.open())
            return;
        std::list<link_state>::iterator state;
        {
            const std::lock_guard lock(m_mutex);
            state = m_links.emplace(m_links.end());
            state->lastByteAt = now();
        }
        pollfd ends[2] = { { near.descriptor(), POLLIN, 0 }, { far.descriptor(), POLLIN, 0 } };
        bool running = true;
        while (running) {
            if (poll(ends, 2, 1000) <= 0)
                continue;
            for (int index = 0; index < 2 && running; ++index) {
                if (ends[index].revents == 0)
                    continue;
                char bytes[65536];
                const auto count = recv(ends[index].fd, bytes, sizeof bytes, 0);
                // The end of a silenced connection is not passed on either.
                if (count <= 0 && !state->silent) {
                    running = false;
                } else if (count <= 0) {
                    ends[index].fd = -1;
                    running = ends[0].fd >= 0 || ends[1].fd >= 0;
                } else if (!state->silent) {
                    state->lastByteAt = now();
                    running = sendAll(ends[1 - index].fd, std::string(bytes, static_cast<std::size_t>(count)));
                }
            }
        }
        const std::lock_guard lock(m_mutex);
        m_links.erase(state);
    }

    std::mutex m_mutex;
    std::list<link_state> m_links;
    server m_server;
};

// ---- Nodes ----

/// The temporary folder of this run.
inline const std::string& folder()
{
    static const std::string path = [] {
        std::string name = (std::filesystem::temp_directory_path() / "limpet-review-XXXXXX").string();
        if (!mkdtemp(name.data()))
            cannotRun("no temporary folder can be made");
        return name;
    }();
    return path;
}

/// Loopback addresses of this run, drawn by process id: 127.A.B.N for machine N.
inline std::string ipOf(int machine)
{
    const int pid = getpid();
    return "127." + std::to_string(64 + pid % 128) + "." + std::to_string(pid / 128 % 250) + "." + std::to_string(machine);
}

/// The machine of one node, with the ports that are the same on all machines.
struct machine {
    int number = 1;
    std::string name;
    std::string region = "etela";
    std::string zone = "etela-a";
    std::string service;
    address store;

    address port(int which) const { return { ipOf(number), which }; }
    address outbound() const { return port(8548); }
    address ready() const { return port(8546); }
    address control() const { return port(8540); }
    address app() const { return port(8547); }
};

/// A node as a child process, started as the deploy file says.
class node {
public:
    /// bounds: of the deployment, as in the settings of a process; they replace the usual ones.
    explicit node(machine at, const std::map<std::string, std::string>& bounds = {})
        : m_machine(std::move(at))
        , m_settings(folder() + "/" + m_machine.name + ".json")
    {
        std::map<std::string, std::string> values { { "bounds.drainMs", "2500" }, { "bounds.graceS", "6" },
            { "bounds.retryBudgetRatio", "0.2" }, { "bounds.budgetSlack", "50" }, { "bounds.budgetWindowS", "10" },
            { "heartbeatMs", "1500" }, { "limits.memoryMb", "260" }, { "limits.maxFds", "4100" },
            { "ip", ipOf(m_machine.number) }, { "internalPorts.0", "7000" } };
        const auto text = [](const std::string& of) { return "\"" + of + "\""; };
        values["nodeName"] = text(m_machine.name);
        values["region"] = text(m_machine.region);
        values["zone"] = text(m_machine.zone);
        values["service"] = text(m_machine.service);
        values["listen.outbound"] = text(m_machine.outbound().text());
        values["listen.ready"] = text(m_machine.ready().text());
        values["listen.control"] = text(m_machine.control().text());
        values["appAddr"] = text(m_machine.app().text());
        values["platform.address"] = text(m_machine.store.text());
        for (const auto& [name, value] : bounds)
            values["bounds." + name] = value;
        std::FILE* file = std::fopen(m_settings.c_str(), "w");
        std::fputs(render(readFile("deploy/node.json.template"), values).c_str(), file);
        std::fclose(file);
    }
    ~node() { end(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const machine& where() const { return m_machine; }
    void start()
    {
        const char* program = "target/platform/limpetnode/limpetnode";
        if (access(program, X_OK) != 0)
            cannotRun(std::string(program) + " is missing; run the build of the deploy file");
        const auto log = folder() + "/" + m_machine.name + ".log";
        m_process = fork();
        if (m_process == 0) {
            prepareChild(log);
            const std::string variable = "LIMPETCROFT_NODE_FILE=" + m_settings;
            char* arguments[] = { const_cast<char*>(program), nullptr };
            char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
            execve(program, arguments, environment);
            _exit(127);
        }
        record::line("node   %s starts", m_machine.name.c_str());
    }
    void signal(int number, const char* name) const
    {
        record::line("node   %s gets %s", m_machine.name.c_str(), name);
        if (m_process > 0)
            kill(m_process, number);
    }
    /// Returns whether the process has ended, and logs its end.
    bool ended()
    {
        int status = 0;
        if (m_process <= 0)
            return true;
        if (waitpid(m_process, &status, WNOHANG) != m_process)
            return false;
        m_process = 0;
        record::line("node   %s has ended, wait status %d", m_machine.name.c_str(), status);
        return true;
    }
    void end()
    {
        if (m_process <= 0)
            return;
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
    bool ready() const
    {
        stream connection(connectTo(m_machine.ready()));
        message answer;
        return connection.open()
            && connection.write({ "GET /api/readyz HTTP/1.1", { { "Host", m_machine.ready().text() } }, "" })
            && connection.read(answer, now() + 1000) == read_end::complete && answer.status() == 200;
    }

private:
    static std::string readFile(const char* path)
    {
        std::FILE* file = std::fopen(path, "r");
        if (!file)
            cannotRun(std::string(path) + " cannot be read");
        std::string content;
        char bytes[4096];
        for (std::size_t count = 0; (count = std::fread(bytes, 1, sizeof bytes, file)) > 0;)
            content.append(bytes, count);
        std::fclose(file);
        return content;
    }
    /// Fills in a template as the platform does: sections without a value are left out.
    static std::string render(std::string text, const std::map<std::string, std::string>& values)
    {
        for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
            const auto name = text.substr(at + 3, text.find("}}", at) - at - 3);
            const auto end = text.find("{{/" + name + "}}");
            text.erase(at, end + name.size() + 5 - at);
        }
        for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
            const auto end = text.find("}}", at);
            const auto name = text.substr(at + 2, end - at - 2);
            const auto found = values.find(name.substr(0, name.find('|')));
            if (found == values.end())
                cannotRun("the template asks for " + name);
            text.replace(at, end + 2 - at, found->second);
        }
        return text;
    }
    static void prepareChild(const std::string& log)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the script
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
    }

    machine m_machine;
    std::string m_settings;
    pid_t m_process = 0;
};

inline void awaitReady(std::vector<std::unique_ptr<node>>& nodes)
{
    for (auto& each : nodes) {
        while (!each->ready()) {
            if (now() > 20000 || each->ended())
                cannotRun(each->where().name + " does not get ready");
            pauseFor(50);
        }
    }
    record::line("all nodes are ready");
}

/// Removes the temporary folder, unless KEEP is set.
inline void cleanUp()
{
    if (std::getenv("KEEP")) {
        std::fprintf(stderr, "kept %s\n", folder().c_str());
        return;
    }
    for (const char* suffix : { ".json", ".log" }) {
        for (char name = 'a'; name <= 'h'; ++name)
            unlink((folder() + "/node-" + name + suffix).c_str());
    }
    rmdir(folder().c_str());
}

// ---- The operator ----

struct route_spec {
    std::string prefix;
    std::string kind = "idempotent";
    std::string service;
    int timeoutMs = 4000;
    int targetLatencyMs = 2000;
    int priority = 2;
};

constexpr const char* shopHost = "shop.example";

/// Returns a configuration with one tenant that holds these keys.
inline std::string configurationText(int version, const std::vector<route_spec>& routes,
    const std::vector<std::string>& services, const std::vector<std::string>& keys)
{
    char tag[16];
    std::snprintf(tag, sizeof tag, "%08x", static_cast<unsigned>(version));
    std::string text = std::string("{\"version\":\"") + tag + "\",\"resources\":[";
    for (const auto& each : routes)
        text += "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + each.prefix.substr(1, each.prefix.size() - 2)
            + "\"},\"spec\":{\"hostname\":\"" + shopHost + "\",\"prefix\":\"" + each.prefix + "\",\"kind\":\"" + each.kind
            + "\",\"timeoutMs\":" + std::to_string(each.timeoutMs) + ",\"targetLatencyMs\":"
            + std::to_string(each.targetLatencyMs) + ",\"priority\":" + std::to_string(each.priority)
            + ",\"maxAttempts\":2,\"service\":\"" + each.service + "\"}},";
    for (const auto& each : services)
        text += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + each
            + "\"},\"spec\":{\"healthCheckPath\":\"/health\",\"maxConnections\":200}},";
    std::string list;
    for (const auto& each : keys)
        list += (list.empty() ? "\"" : ",\"") + each + "\"";
    return text + "{\"type\":\"tenants\",\"metadata\":{\"name\":\"mills\"},\"spec\":{\"apiKeys\":[" + list
        + "],\"priority\":1}},{\"type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\"maxHeaderBytes\":16384,"
          "\"maxBodyBytes\":100000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}";
}

inline bool troubleWanted()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace rig
