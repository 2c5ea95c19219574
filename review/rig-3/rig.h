// Stand-ins for the cases of the third review: the platform's store, endpoints, clients and the platform that starts,
// stops and bounds the nodes. Blocking sockets, one thread a connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

inline bool withTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// What was sent, answered and run, with the time since the start in milliseconds.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
        , m_start(steady::now())
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
        m_file << now << " ms  " << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start;
};

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(const address& at)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenAt(const address& at)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = native(at);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || listen(descriptor, 1024) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int connectTo(const address& at)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto where = native(at);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

inline void setReadTimeout(int descriptor, milliseconds time)
{
    timeval value {};
    value.tv_sec = time.count() / 1000;
    value.tv_usec = (time.count() % 1000) * 1000;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
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

struct caseless {
    bool operator()(const std::string& left, const std::string& right) const
    {
        return strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};
using headers = std::map<std::string, std::string, caseless>;

struct message {
    std::string first; ///< request or status line
    headers fields;
    std::string body;
    bool wellFormed = true; ///< each line of the head is a name, a colon and a value (RFC 9112, section 5)
    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    std::string word(int index) const
    {
        std::istringstream words(first);
        std::string word;
        for (int each = 0; each <= index; ++each)
            words >> word;
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages with a Content-Length from a connection.
class reader {
public:
    explicit reader(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    /// bytesPerSecond: how fast the body is read; 0: as fast as it comes.
    /// hasBody: false for the answer to HEAD.
    std::optional<message> next(std::size_t bytesPerSecond = 0, bool hasBody = true)
    {
        auto end = m_buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!more(64 * 1024))
                return std::nullopt;
            end = m_buffer.find("\r\n\r\n");
        }
        message result;
        std::istringstream lines(m_buffer.substr(0, end));
        std::getline(lines, result.first);
        trim(result.first);
        for (std::string line; std::getline(lines, line);) {
            trim(line);
            const auto colon = line.find(':');
            const auto name = line.substr(0, colon);
            result.wellFormed = result.wellFormed && colon != std::string::npos && !name.empty()
                && name.find_first_of(" \t") == std::string::npos;
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.fields[name] = value;
        }
        m_buffer.erase(0, end + 4);
        const auto length
            = hasBody ? static_cast<std::size_t>(std::atoll(result.field("Content-Length").c_str())) : std::size_t { 0 };
        while (m_buffer.size() < length) {
            constexpr std::size_t slices = 20; // of a second
            const auto most = bytesPerSecond == 0 ? std::size_t { 1 << 18 } : bytesPerSecond / slices;
            if (!more(std::min(most, length - m_buffer.size())))
                return std::nullopt;
            if (bytesPerSecond != 0)
                std::this_thread::sleep_for(1000ms / slices);
        }
        result.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return result;
    }

private:
    static void trim(std::string& text)
    {
        while (!text.empty() && (text.back() == '\r' || text.back() == '\n'))
            text.pop_back();
    }
    bool more(std::size_t most)
    {
        std::string chunk(most, '\0');
        const auto count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        m_buffer.append(chunk, 0, static_cast<std::size_t>(count));
        return true;
    }
    int m_descriptor;
    std::string m_buffer;
};

inline std::string makeMessage(const std::string& first, const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body)
{
    std::string text = first + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
}

inline std::string makeChunked(const std::string& first,
    const std::vector<std::pair<std::string, std::string>>& fields, const std::string& chunks)
{
    std::string text = first + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

/// Accepts connections and serves each in a thread of its own, until it is destroyed.
class server {
public:
    using handler = std::function<void(int)>;
    server(const address& at, handler serve)
        : m_listener(listenAt(at))
        , m_serve(std::move(serve))
    {
        if (m_listener < 0) {
            std::cerr << "cannot listen on " << at.text() << '\n';
            std::exit(couldNotRun);
        }
        m_thread = std::thread([this] { run(); });
    }
    ~server() { stop(); }
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int each : m_open)
                shutdown(each, SHUT_RDWR);
        }
        while (m_active > 0)
            std::this_thread::sleep_for(5ms);
    }

private:
    void run()
    {
        while (!m_stopped) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (m_stopped)
                    return;
                std::this_thread::sleep_for(5ms);
                continue;
            }
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(descriptor);
            }
            ++m_active;
            std::thread([this, descriptor] {
                m_serve(descriptor);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(descriptor);
                    close(descriptor);
                }
                --m_active;
            }).detach();
        }
    }
    int m_listener;
    handler m_serve;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_active { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

inline std::string toBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t each = 0; each < 3; ++each)
            group = (group << 8U) | (at + each < bytes.size() ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            text += at + each > bytes.size() ? '=' : digits[(group >> (18U - 6U * each)) & 63U];
    }
    return text;
}

/// The platform's store: items, leases and watches, as PROTOCOL.md tells.
class store {
public:
    explicit store(const address& at)
        : m_at(at)
        , m_server(at, [this](int descriptor) { serve(descriptor); })
    {
    }
    ~store()
    {
        m_ends = true;
        m_changed.notify_all();
        m_server.stop();
    }
    const address& at() const { return m_at; }
    void writeConfiguration(const json& document)
    {
        const std::lock_guard lock(m_mutex);
        put("op/config", toBase64(document.dump()), 0);
    }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease {
        milliseconds time { 0 };
        steady::time_point end {};
    };
    struct change {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> written;
    };

    void put(const std::string& key, const std::string& value, std::int64_t leaseId)
    {
        auto& each = m_items[key];
        each.value = value;
        each.revision = ++m_revision;
        each.created = each.created == 0 ? each.revision : each.created;
        each.lease = leaseId;
        m_history.push_back({ key, each.revision, each });
        m_changed.notify_all();
    }
    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_history.push_back({ key, ++m_revision, std::nullopt });
        m_changed.notify_all();
    }
    void expireLeases()
    {
        for (auto each = m_leases.begin(); each != m_leases.end();) {
            if (each->second.end > steady::now()) {
                ++each;
                continue;
            }
            endLease(each->first);
            each = m_leases.erase(each);
        }
    }
    void endLease(std::int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, value] : m_items) {
            if (value.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
    }
    static json describe(const std::string& key, const item& each)
    {
        return { { "key", key }, { "value", each.value }, { "revision", each.revision }, { "createRev", each.created },
            { "lease", each.lease } };
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto question = target.find('?');
        std::istringstream parts(question == std::string::npos ? "" : target.substr(question + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.rfind(name + "=", 0) != 0)
                continue;
            std::string plain;
            for (std::size_t at = name.size() + 1; at < part.size(); ++at) {
                if (part[at] == '%' && at + 2 < part.size()) {
                    plain += static_cast<char>(std::stoi(part.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else
                    plain += part[at];
            }
            return plain;
        }
        return "";
    }
    void serve(int descriptor)
    {
        reader input(descriptor);
        while (const auto request = input.next()) {
            const auto [status, body] = answer(*request);
            if (!sendAll(descriptor,
                    makeMessage("HTTP/1.1 " + std::to_string(status) + " Answer",
                        { { "Content-Type", "application/json" } }, body.dump())))
                return;
        }
    }
    std::pair<int, json> answer(const message& request)
    {
        const auto method = request.word(0);
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        expireLeases();
        if (path == "/api/kv-key") {
            const auto key = parameter(target, "key");
            const auto found = m_items.find(key);
            if (found == m_items.end())
                return { 404, json { { "asOf", m_revision } } };
            auto body = describe(key, found->second);
            body["asOf"] = m_revision;
            return { 200, body };
        }
        if (path == "/api/kv-range") {
            json items = json::array();
            const auto prefix = parameter(target, "prefix");
            const auto after = parameter(target, "after");
            for (const auto& [key, value] : m_items) {
                if (key.rfind(prefix, 0) == 0 && key > after)
                    items.push_back(describe(key, value));
            }
            return { 200, { { "items", items }, { "hasMore", false }, { "asOf", m_revision } } };
        }
        if (path == "/api/kv-watch")
            return watch(parameter(target, "prefix"), std::atoll(parameter(target, "after").c_str()),
                milliseconds(std::atoll(parameter(target, "waitMs").c_str())), lock);
        const auto sent = json::parse(request.body, nullptr, false);
        if (path == "/api/kv-lease") {
            const auto id = ++m_nextLease;
            const milliseconds time(sent.value("ttlMs", 3000));
            m_leases[id] = { time, steady::now() + time };
            return { 200, { { "lease", id }, { "ttlMs", time.count() } } };
        }
        const std::string keep = "/api/kv-keep/";
        if (path.rfind(keep, 0) == 0) {
            const auto found = m_leases.find(std::atoll(path.substr(keep.size()).c_str()));
            if (found == m_leases.end())
                return { 404, json::object() };
            found->second.end = steady::now() + found->second.time;
            return { 200, { { "ttlMs", found->second.time.count() } } };
        }
        const std::string end = "/api/kv-lease-end/";
        if (path.rfind(end, 0) == 0) {
            const auto id = std::atoll(path.substr(end.size()).c_str());
            endLease(id);
            return { m_leases.erase(id) == 0 ? 404 : 200, json::object() };
        }
        if (path == "/api/kv-txn" && method == "POST")
            return transact(sent);
        return { 400, json::object() };
    }
    std::pair<int, json> transact(const json& sent)
    {
        json current = json::array();
        bool failed = false;
        for (const auto& each : sent.value("expected", json::array())) {
            const auto key = each.at("key").get<std::string>();
            const auto found = m_items.find(key);
            failed = failed || each.at("revision") != (found == m_items.end() ? 0 : found->second.revision);
            if (found != m_items.end())
                current.push_back(describe(key, found->second));
        }
        if (failed)
            return { 412, { { "items", current } } };
        for (const auto& each : sent.value("puts", json::array())) {
            const auto id = each.value("lease", std::int64_t { 0 });
            if (id != 0 && !m_leases.contains(id))
                return { 404, json::object() };
        }
        for (const auto& each : sent.value("puts", json::array()))
            put(each.at("key"), each.at("value"), each.value("lease", std::int64_t { 0 }));
        for (const auto& each : sent.value("deletes", json::array()))
            erase(each.get<std::string>());
        return { 200, { { "revision", m_revision } } };
    }
    std::pair<int, json> watch(
        const std::string& prefix, std::int64_t after, milliseconds wait, std::unique_lock<std::mutex>& lock)
    {
        const auto until = steady::now() + wait;
        for (;;) {
            json events = json::array();
            for (const auto& each : m_history) {
                if (each.revision <= after || each.key.rfind(prefix, 0) != 0)
                    continue;
                if (each.written)
                    events.push_back(describe(each.key, *each.written));
                else
                    events.push_back({ { "key", each.key }, { "revision", each.revision }, { "removed", true } });
            }
            if (!events.empty() || steady::now() >= until || m_ends)
                return { 200, { { "events", events }, { "asOf", m_revision } } };
            m_changed.wait_until(lock, until);
        }
    }

    address m_at;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease> m_leases;
    std::vector<change> m_history;
    std::int64_t m_revision = 100;
    std::int64_t m_nextLease = 1000;
    std::atomic<bool> m_ends { false };
    server m_server;
};

// ---- Machines ----

/// Addresses of one machine, as the platform gives them.
struct machine {
    std::string name;
    std::string zone;
    std::string region;
    std::string service;
    std::string ip;
    address outbound() const { return { ip, 8548 }; }
    address ready() const { return { ip, 8546 }; }
    address control() const { return { ip, 8540 }; }
    address app() const { return { ip, 8547 }; }
};

/// A node under the platform: started by the command of the deploy file, killed when it exceeds its memory, and
/// started again when it has ended.
class node_process {
public:
    node_process(const machine& where, const address& storeAt, int memoryMb, const std::string& folder, record& out)
        : m_machine(where)
        , m_memoryMb(memoryMb)
        , m_settings(folder + "/" + where.name + ".json")
        , m_log(folder + "/" + where.name + ".log")
        , m_record(out)
    {
        const json settings { { "node", where.name }, { "region", where.region }, { "availability_zone", where.zone },
            { "service", where.service }, { "client_address", where.outbound().text() },
            { "health_address", where.ready().text() }, { "control_address", where.control().text() },
            { "link_address", where.ip + ":7000" }, { "metrics_address", where.ip + ":9464" },
            { "backend_address", where.app().text() }, { "store_address", storeAt.text() },
            { "drain_time_ms", "2500" }, { "stop_time_s", "6" }, { "retry_ratio", "0.2" }, { "retry_reserve", "50" },
            { "retry_window_s", "10" }, { "heartbeat_ms", "1500" }, { "memory_mb", std::to_string(memoryMb) },
            { "max_descriptors", "4100" } };
        std::ofstream(m_settings) << settings.dump(2) << '\n';
        launch();
        m_watcher = std::thread([this] { watch(); });
    }
    ~node_process()
    {
        m_ends = true;
        m_watcher.join();
        end();
    }
    void signal(int number)
    {
        const std::lock_guard lock(m_mutex);
        m_record.line("platform: signal " + std::to_string(number) + " to " + m_machine.name);
        if (m_process > 0)
            kill(m_process, number);
    }
    /// How often the platform ended the process because of its memory.
    int memoryEnds() const { return m_memoryEnds; }
    /// How often it ended otherwise without being told to.
    int ownEnds() const { return m_ownEnds; }
    int peakMb() const { return m_peakMb; }
    void expectEnd() { m_expected = true; }

private:
    void launch()
    {
        const std::lock_guard lock(m_mutex);
        const std::string variable = "LIMPETCROFT_NODE_FILE=" + m_settings;
        const char* path = std::getenv("PATH");
        const std::string pathVariable = std::string("PATH=") + (path ? path : "");
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1);
            dup2(log, 2);
            char* arguments[] = { const_cast<char*>("target/platform/limpetnode/limpetnode"), nullptr };
            char* environment[]
                = { const_cast<char*>(variable.c_str()), const_cast<char*>(pathVariable.c_str()), nullptr };
            execve(arguments[0], arguments, environment);
            _exit(127);
        }
        m_record.line("platform: " + m_machine.name + " starts");
    }
    int residentMb(const char* name) const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind(name, 0) == 0)
                return std::atoi(line.c_str() + std::strlen(name)) / 1024;
        }
        return 0;
    }
    void watch()
    {
        while (!m_ends) {
            std::this_thread::sleep_for(2ms);
            const int most = residentMb("VmHWM:");
            m_peakMb = std::max(m_peakMb.load(), most);
            // NO_KILL: only shows how much it would hold.
            if (most > m_memoryMb && !std::getenv("NO_KILL")) {
                ++m_memoryEnds;
                m_record.line("platform: " + m_machine.name + " holds " + std::to_string(most) + " MB of "
                    + std::to_string(m_memoryMb) + " MB and is killed");
                kill(m_process, SIGKILL);
                waitpid(m_process, nullptr, 0);
                restart();
                continue;
            }
            int status = 0;
            if (waitpid(m_process, &status, WNOHANG) == m_process) {
                if (!m_expected.exchange(false))
                    ++m_ownEnds;
                m_record.line("platform: " + m_machine.name + " has ended, wait status " + std::to_string(status));
                restart();
            }
        }
    }
    void restart()
    {
        if (m_ends) {
            m_process = -1;
            return;
        }
        std::this_thread::sleep_for(500ms);
        launch();
    }
    void end()
    {
        if (m_process <= 0)
            return;
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }

    machine m_machine;
    int m_memoryMb;
    std::string m_settings;
    std::string m_log;
    record& m_record;
    std::mutex m_mutex;
    std::atomic<pid_t> m_process { -1 };
    std::atomic<bool> m_ends { false };
    std::atomic<bool> m_expected { false };
    std::atomic<int> m_memoryEnds { 0 };
    std::atomic<int> m_ownEnds { 0 };
    std::atomic<int> m_peakMb { 0 };
    std::thread m_watcher;
};

/// An endpoint: says every 1.5 s that it is there, and runs requests.
class endpoint {
public:
    struct outcome {
        int status = 200;
        std::string body = "ok\n";
        bool isSigned = true;
        std::vector<std::pair<std::string, std::string>> fields;
        bool isSpoiled = false; ///< a byte too many stands in its head
        std::string chunks; ///< if not empty, the body as it is sent, in chunks (RFC 9112, section 7.1)
    };
    using work = std::function<outcome(const message&)>;

    endpoint(const machine& where, std::string id, int slots, std::int64_t born, record& out, work run)
        : m_machine(where)
        , m_id(std::move(id))
        , m_slots(slots)
        , m_born(born)
        , m_record(out)
        , m_run(std::move(run))
        , m_server(where.app(), [this](int descriptor) { serve(descriptor); })
        , m_beats([this] { beat(); })
    {
    }
    ~endpoint() { stop(); }
    /// Ends at once, without a word.
    void stop()
    {
        if (m_ends.exchange(true))
            return;
        m_beats.join();
        m_server.stop();
    }
    /// Says that it leaves, until that is acknowledged. Returns whether it was.
    bool leave()
    {
        m_leaving = true;
        return say();
    }
    /// Says at once how it is; returns whether the node acknowledged it.
    bool say()
    {
        const std::lock_guard lock(m_mutex);
        const json body { { "address", m_machine.app().text() }, { "born", m_born },
            { "info",
                { { "service", m_machine.service }, { "version", "v1" }, { "zone", m_machine.zone },
                    { "slots", m_slots } } },
            { "status",
                { { "state", m_leaving ? "draining" : "ready" }, { "sequence", ++m_sequence },
                    { "coldRemainingMs", 0 } } } };
        const int descriptor = connectTo(m_machine.control());
        if (descriptor < 0)
            return false;
        setReadTimeout(descriptor, 1000ms);
        const bool sent = sendAll(descriptor,
            makeMessage("PUT /api/instances/" + m_id + " HTTP/1.1",
                { { "Host", m_machine.control().text() }, { "Content-Type", "application/json" } }, body.dump()));
        reader input(descriptor);
        const auto reply = sent ? input.next() : std::nullopt;
        close(descriptor);
        const bool acknowledged = reply && reply->status() / 100 == 2;
        m_record.line("endpoint " + m_id + " (" + m_machine.service + ", born " + std::to_string(m_born) + ") says "
            + (m_leaving ? "draining" : "ready") + ", sequence " + std::to_string(m_sequence)
            + (acknowledged ? ", acknowledged" : ", not acknowledged"));
        return acknowledged;
    }
    const std::string& id() const { return m_id; }
    /// Whether it began to work on the request.
    bool hasRun(const std::string& requestId)
    {
        const std::lock_guard lock(m_runMutex);
        return m_ran.contains(requestId);
    }

private:
    void beat()
    {
        auto next = steady::now();
        while (!m_ends) {
            if (steady::now() >= next) {
                say();
                next = steady::now() + 1500ms;
            }
            std::this_thread::sleep_for(20ms);
        }
    }
    void serve(int descriptor)
    {
        reader input(descriptor);
        while (const auto request = input.next()) {
            std::vector<std::pair<std::string, std::string>> fields;
            outcome result;
            const auto wanted = request->field("X-Target-Instance");
            const auto id = request->field("X-Request-Id");
            if (request->word(1) == "/health") {
                result = outcome { m_leaving ? 503 : 200, "", false, {}, false, "" };
                fields.push_back({ "X-Instance-Id", m_id });
            } else if (!wanted.empty() && wanted != m_id) {
                result = outcome { 421, "", false, {}, false, "" };
                fields.push_back({ "X-Instance-Id", m_id });
                m_record.line("endpoint " + m_id + " rejects " + id + ", meant for " + wanted);
            } else {
                m_record.line("endpoint " + m_id + " runs " + id + " " + request->word(0) + " " + request->word(1) + ", "
                    + std::to_string(request->body.size()) + " bytes");
                {
                    const std::lock_guard lock(m_runMutex);
                    m_ran.insert(id);
                }
                result = m_run(*request);
            }
            if (!id.empty())
                fields.push_back({ "X-Request-Id", id });
            if (result.isSigned)
                fields.push_back({ "X-Response-Signature", m_id + "." + std::to_string(result.body.size()) });
            fields.insert(fields.end(), result.fields.begin(), result.fields.end());
            const auto statusLine = "HTTP/1.1 " + std::to_string(result.status) + " Answer";
            auto answer = makeMessage(statusLine, fields, result.body);
            if (!result.chunks.empty())
                answer = makeChunked(statusLine, fields, result.chunks);
            if (result.isSpoiled) {
                m_record.line("endpoint " + m_id + " spoils the answer to " + id);
                answer.insert(answer.find("Content-Length") + std::strlen("Content-Length"), " ");
            }
            if (request->word(0) == "HEAD")
                answer.resize(answer.size() - result.body.size());
            if (!sendAll(descriptor, answer))
                return;
        }
    }

    machine m_machine;
    std::string m_id;
    int m_slots;
    std::int64_t m_born;
    record& m_record;
    work m_run;
    std::mutex m_mutex;
    std::mutex m_runMutex;
    std::set<std::string> m_ran;
    int m_sequence = 0;
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_ends { false };
    server m_server;
    std::thread m_beats;
};

/// A client with one connection that it keeps.
class client {
public:
    explicit client(address to)
        : m_to(std::move(to))
    {
    }
    ~client() { disconnect(); }
    void disconnect()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
        m_descriptor = -1;
        m_input.reset();
    }
    bool connected() const { return m_descriptor >= 0; }
    /// Returns nothing if the connection ended, or the time was over, before the whole answer.
    std::optional<message> ask(const std::string& method, const std::string& path, const std::string& id,
        milliseconds deadline, const std::string& body = "", std::size_t readBytesPerSecond = 0)
    {
        timedOut = false;
        if (m_descriptor < 0) {
            m_descriptor = connectTo(m_to);
            if (m_descriptor < 0)
                return std::nullopt;
            m_input = std::make_unique<reader>(m_descriptor);
        }
        setReadTimeout(m_descriptor, deadline + 500ms);
        const bool sent = sendAll(m_descriptor,
            makeMessage(method + " " + path + " HTTP/1.1",
                { { "Host", "shop.example" }, { "X-Request-Id", id },
                    { "X-Deadline-Ms", std::to_string(deadline.count()) }, { "Api-Key", "key-one" } },
                body));
        errno = 0;
        auto answer = sent ? m_input->next(readBytesPerSecond, method != "HEAD") : std::nullopt;
        timedOut = !answer && errno == EAGAIN;
        if (!answer || answer->field("Connection") == "close")
            disconnect();
        return answer;
    }
    bool timedOut = false;

private:
    address m_to;
    int m_descriptor = -1;
    std::unique_ptr<reader> m_input;
};

// ---- Configuration ----

inline json resource(const std::string& type, const std::string& name, const json& spec)
{
    return { { "type", type }, { "metadata", { { "name", name } } }, { "spec", spec } };
}

inline json makeRoute(const std::string& prefix, const std::string& service, const std::string& kind, int timeoutMs)
{
    return resource("routes", "r-" + service + "-" + kind,
        { { "hostname", "shop.example" }, { "prefix", prefix }, { "kind", kind }, { "timeoutMs", timeoutMs },
            { "targetLatencyMs", std::min(timeoutMs, 1500) }, { "priority", 1 }, { "service", service },
            { "maxAttempts", 2 }, { "public", false } });
}

inline json makeService(const std::string& name)
{
    return resource(
        "services", name, { { "healthCheckPath", "/health" }, { "maxConnections", 484 }, { "protocol", "h1" } });
}

/// The limits are those that `fleetbench wire` shows.
inline json makeConfiguration(int version, std::vector<json> resources)
{
    resources.push_back(resource(
        "tenants", "tenant-one", { { "apiKeys", { "key-one" } }, { "priority", 1 }, { "ratePerS", 0 }, { "burst", 0 } }));
    resources.push_back(resource("limits", "",
        { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeoutMs", 3000 },
            { "idleTimeoutMs", 15000 } }));
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return { { "version", text }, { "resources", resources } };
}

// ---- A case ----

/// A folder that is removed at the end, and a network of its own under 127.0.0.0/8.
class scene {
public:
    explicit scene(const std::string& recordPath)
        : out(recordPath)
    {
        std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
        if (!mkdtemp(pattern.data()))
            std::exit(couldNotRun);
        folder = pattern;
        if (access("target/platform/limpetnode/limpetnode", X_OK) != 0) {
            std::cerr << "build the deploy file first, and run this in the repository's root\n";
            std::exit(couldNotRun);
        }
        for (int attempt = 0; attempt < 200; ++attempt) {
            m_net = "127." + std::to_string(20 + (getpid() + attempt) % 200) + "."
                + std::to_string((getpid() / 200 + attempt) % 250 + 1);
            if (isFree())
                return;
        }
        std::exit(couldNotRun);
    }
    ~scene()
    {
        if (!std::getenv("KEEP_LOGS"))
            std::system(("rm -rf '" + folder + "'").c_str());
        else
            std::cerr << folder << '\n';
    }
    std::string ip(int last) const { return m_net + "." + std::to_string(last); }
    machine makeMachine(int number, const std::string& zone, const std::string& service) const
    {
        return { "sidecar-" + zone + "-" + std::to_string(number), zone, "etela", service, ip(number) };
    }

    record out;
    std::string folder;

private:
    bool isFree() const
    {
        for (int last = 1; last < 10; ++last) {
            for (const int port : { 7000, 8540, 8545, 8546, 8547, 8548, 9464 }) {
                const int descriptor = listenAt({ ip(last), port });
                if (descriptor < 0)
                    return false;
                close(descriptor);
            }
        }
        return true;
    }
    std::string m_net;
};

/// Waits until a node says that it is ready.
inline bool waitReady(const machine& where, milliseconds most = 8000ms)
{
    const auto until = steady::now() + most;
    while (steady::now() < until) {
        client asking(where.ready());
        const auto answer = asking.ask("GET", "/api/readyz", "", 1000ms);
        if (answer && answer->status() == 200)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

/// Waits until a request is answered with 200.
inline bool waitServed(const address& to, const std::string& path, milliseconds most = 8000ms)
{
    const auto until = steady::now() + most;
    for (int number = 0; steady::now() < until; ++number) {
        client asking(to);
        const auto answer = asking.ask("GET", path, "warm" + path + std::to_string(number), 2000ms);
        if (answer && answer->status() == 200)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace rig
