#pragma once

/// \file store.h
/// The port to the platform's key-value store, its adapters (in-process fake, HTTP client), the stand-in server, and
/// the transactions that change the configuration.

#include <cstdint>
#include <deque>
#include <functional>
#include <limpetcroft/core.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// As in glib.h, which the users of the port alone do not need.
using GMainContext = struct _GMainContext; // NOLINT(readability-identifier-naming,bugprone-reserved-identifier)

namespace limpet {

/// One change of one key.
struct store_change {
    bool erased = false;
    store_entry entry; ///< of an erased key: only the key and the revision of its erasure
};

/// Changes under the watched prefix, in the order of their revisions.
struct store_changes {
    std::vector<store_change> changes;
    store_revision revision = 0; ///< of the last change; watch again from the next one
    store_era era = 0;
};
/// The changes asked for are no longer kept. The watch has ended: read the prefix, then watch from head + 1.
struct store_compacted {
    store_revision oldest = 0; ///< oldest revision that can still be watched
    store_era era = 0;
};
/// The watch has ended without reaching the store's end: read again, then watch from head + 1. Also when the store was
/// restored while it waited.
struct store_interrupted {
    error cause;
    store_era era = 0; ///< of the reply that ended it, if there was one
};
using store_watch_event = std::variant<store_changes, store_compacted, store_interrupted>;

/// The outcome of a call, and the era of the store that replied; 0 without a reply.
using store_callback = std::function<void(result<store_reply>, store_era)>;
using store_watch_callback = std::function<void(const store_watch_event&)>;
using store_watch_id = std::uint64_t;

using store_watch_check_callback = std::function<void(result<store_watch_check>, store_era)>;

/// The port. Every member returns at once; callbacks run later, on the task that drives the adapter. A port must not
/// be used after its adapter has been destroyed.
struct store_port {
    /// Starts one call. The callback runs exactly once, at the latest shortly after the timeout.
    /// Errors: unavailable (certainly no effect; also every failed read), unknownOutcome (a write that may have taken
    /// effect), invalidArgument, notFound (no such lease), tooLarge, malformed.
    std::function<void(store_operation, duration timeout, store_callback)> call;
    /// Watches every key that starts with the prefix, from that revision on (0: from now on). A watch ends when the
    /// store replies with another era than that of the position.
    std::function<store_watch_id(std::string prefix, store_position from, store_watch_callback)> watch;
    /// Ends a watch; its callback does not run again. Ids of ended watches are ignored.
    std::function<void(store_watch_id)> unwatch;
    /// Asks the store once, apart from the connection of the watch, for changes that the watch has not reported: its
    /// connection may have gone silent. Missed changes are passed to the callback of the watch before that of the check
    /// runs, and the watch goes on over another connection. If the check shows that the watch must end, it ends.
    /// Errors: unavailable, malformed, notFound (no such watch). Unset in adapters that detect silence themselves.
    std::function<void(store_watch_id, duration timeout, store_watch_check_callback)> checkWatch;
};

/// Returns the end of a watch whose revisions were given out before the store was restored.
inline store_interrupted restoredWhileWatched(store_era era)
{
    return { { error_kind::unavailable, "the store was restored from a copy; read again, then watch again" }, era };
}

/// Returns whether a failed operation of this kind may have changed the store.
bool isWrite(const store_operation& operation);

/// Largest value that the store takes, in bytes.
constexpr std::size_t maxStoreValue = 1 << 20;

/// The state of a store: keys, revisions, leases and the recent changes that watches read. It has no clock.
class store_state {
public:
    /// Keeps that many revisions for watches.
    explicit store_state(std::size_t keptRevisions = 10000);

    /// Erases the keys of every lease that ended before now.
    void expireLeases(time_point now);
    /// Applies one operation at that time.
    result<store_reply> apply(const store_operation& operation, time_point now);
    /// Returns what a watch from that revision sees: nothing new, changes, or compacted.
    std::optional<store_watch_event> changesSince(const std::string& prefix, store_revision from) const;
    /// Forgets all changes up to and including that revision.
    void compact(store_revision revision);
    /// Takes the content of a copy and begins a new era. Revisions and leases go on from those of the copy.
    void restore(const store_state& copy);
    store_revision head() const { return m_head; }
    store_era era() const { return m_era; }

private:
    struct lease_record {
        std::chrono::seconds timeToLive { 0 };
        time_point end;
    };

    result<store_reply> applyOne(const store_get& get, time_point now);
    result<store_reply> applyOne(const store_txn& txn, time_point now);
    result<store_reply> applyOne(const store_lease_grant& grant, time_point now);
    result<store_reply> applyOne(const store_lease_keep_alive& keepAlive, time_point now);
    result<store_reply> applyOne(const store_lease_revoke& revoke, time_point now);
    result<void> check(const store_txn& txn) const;
    void put(const store_put& put);
    void erase(const std::string& key);
    void eraseKeysOf(store_lease lease);
    void trim();

    std::size_t m_keptRevisions;
    std::map<std::string, store_entry> m_entries;
    std::map<store_lease, lease_record> m_leases;
    std::deque<store_change> m_history;
    store_revision m_head = 1;
    store_revision m_compacted = 0;
    store_lease m_nextLease = 7001;
    store_era m_era = 1;
};

/// Faults that the fake and the stand-in server can produce.
enum class store_fault : std::uint8_t {
    down, ///< every call fails with no effect and watches end
    slow, ///< every call takes effect and is answered later by the amount
    requestLost, ///< the next writes are lost before they take effect
    replyLost, ///< the next writes take effect, but their replies are lost
    watchDropped, ///< all present watches end
    watchBehind, ///< watches deliver nothing while it is set
    compaction, ///< the changes up to the head are forgotten
    clockJump, ///< the store's clock goes forward by the amount, which expires leases whose holders are paused
    copy, ///< the content is copied, for a later restore
    restore, ///< the content is that of the last copy, or none, in a new era. Present watches wait on.
};

/// One line of a table of faults.
struct store_injection {
    store_fault fault = store_fault::down;
    bool active = true; ///< false ends down, slow and watchBehind
    duration amount { 0 }; ///< for slow and clockJump
    unsigned count = 1; ///< writes that lose their request or reply
};

/// Faults that are in force.
struct store_fault_state {
    bool down = false;
    duration delay { 0 };
    unsigned requestsToLose = 0;
    unsigned repliesToLose = 0;
    bool watchesHeld = false;
    duration clockOffset { 0 };
};

/// Number of calls by kind since the start.
struct store_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0;
    std::uint64_t failed = 0; ///< calls that a fault hit
};

/// A store inside the process that runs on the time that it is handed.
class fake_store {
public:
    /// Every undisturbed call takes that long.
    explicit fake_store(duration latency = std::chrono::milliseconds(2));
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    store_port port();
    /// Moves time forward and runs every callback that is due, in order. Must not be called from a callback.
    void advance(time_point now);
    /// Returns the time of the next callback that is already certain.
    std::optional<time_point> nextEvent() const;
    void inject(const store_injection& injection);
    time_point now() const { return m_now; }
    store_state& state() { return m_state; }
    const store_counters& counters() const { return m_counters; }

private:
    struct watcher {
        std::string prefix;
        store_revision next = 0;
        store_era era = 0; ///< in which it began
        store_watch_callback callback;
    };
    struct pending_call;

    void call(store_operation operation, duration timeout, store_callback callback);
    void arrive(const std::shared_ptr<pending_call>& pending);
    store_watch_id watch(std::string prefix, store_position from, store_watch_callback callback);
    void deliverWatches();
    void endWatches(const std::string& reason);
    time_point storeTime() const { return m_now + m_faults.clockOffset; }

    duration m_latency;
    time_point m_now {};
    store_state m_state;
    store_state m_copy;
    store_fault_state m_faults;
    store_counters m_counters;
    std::multimap<time_point, std::function<void()>> m_due;
    std::map<store_watch_id, watcher> m_watchers;
    store_watch_id m_nextWatch = 1;
};

/// Settings of the HTTP client.
struct http_store_settings {
    std::string baseUrl; ///< such as "http://127.0.0.1:2379"
    /// A watch that delivers no bytes for this long is opened again where it stands, because an open connection can go
    /// silent permanently while new connections work.
    duration watchIdle = std::chrono::seconds(3);
};

/// Client of the etcd v3 JSON gateway protocol. It does its work on a GMainContext: the one given, or one of its own.
/// All use must be from the thread that drives the context, and that thread must have pushed it as its thread-default
/// context while it does so, because libsoup connects on the thread-default context. Destroying the client drops the
/// callbacks of calls in flight; it must not happen in one of them.
class http_store {
public:
    explicit http_store(http_store_settings settings, GMainContext* context = nullptr);
    ~http_store();
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;

    store_port port();
    GMainContext* context() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// Stand-in for the platform's store: serves the etcd v3 JSON gateway protocol from a store_state. POST /admin/fault
/// sets faults and GET /admin/counters shows the calls.
class store_server {
public:
    /// Listens on the context given, or on the thread's default one. Port 0 takes a free port.
    static result<std::unique_ptr<store_server>> listen(const socket_address& address, GMainContext* context = nullptr);
    ~store_server();
    store_server(const store_server&) = delete;
    store_server& operator=(const store_server&) = delete;

    socket_address address() const;
    void inject(const store_injection& injection);
    store_state& state();
    const store_counters& counters() const;

    struct implementation;

private:
    explicit store_server(std::unique_ptr<implementation> implementation);
    std::unique_ptr<implementation> m_implementation;
};

/// Parses the body of POST /admin/fault, such as {"down":true,"delay_ms":20,"lose_replies":1}.
result<std::vector<store_injection>> parseInjections(const std::string& body);

/// The document at config/current: the encoded configuration with the mark and the rules text as further members.
struct config_document {
    std::string text; ///< whole value; empty: the store holds no configuration
    std::string rulesText; ///< the operators' file, with its comments
    std::string mark; ///< differs for every write, so that a read tells which write took effect
    revision number = 0;
    store_revision modRevision = 0;
};
result<config_document> parseConfigDocument(const store_entry& entry);

/// Consecutive lines that differ between two texts. Lines count from 0.
struct line_hunk {
    std::size_t oldLine = 0;
    std::size_t newLine = 0;
    std::vector<std::string> removed;
    std::vector<std::string> added;
    auto operator<=>(const line_hunk&) const = default;
};
/// Returns the differences in the order of the lines.
std::vector<line_hunk> diffLines(const std::string& before, const std::string& after);
/// Returns the text from which the hunks led to this one. Fails if they do not belong to it.
result<std::string> undoLines(const std::string& after, const std::vector<line_hunk>& hunks);

/// What stands at audit/REVISION.
struct audit_entry {
    revision number = 0;
    revision previous = 0;
    std::string who;
    std::string when; ///< UTC, such as "2026-01-31T12:00:00Z"
    std::string why;
    std::string summary; ///< what changed besides the rules text, such as a withdrawn key
    std::vector<line_hunk> difference; ///< of the rules text
    std::string outcome; ///< "accepted": refused changes leave no entry
    std::string mark;
    auto operator<=>(const audit_entry&) const = default;
};
std::string encodeAuditEntry(const audit_entry& entry);
result<audit_entry> parseAuditEntry(const std::string& text);
/// Key of the audit entry of a revision. Keys are in order of revision.
std::string auditKey(revision number);

/// Deltas are kept for this many revisions, which lets a node that was away for two hours at the target rate of 5,100
/// changes a day catch up without the whole document.
constexpr revision keptDeltas = 500;
/// Audit entries are kept for this many revisions, about four days at the target rate.
constexpr revision keptAuditEntries = 20000;

/// A change of the configuration by one operator.
struct config_change {
    config_document base; ///< what the operator has read
    std::string configuration; ///< encodeConfiguration() of revision base.number + 1
    std::string delta; ///< encodeDelta() from the base
    std::string rulesText;
    std::string mark;
    std::string who;
    std::string when;
    std::string why;
    std::string summary;
};
/// Returns the one transaction that writes document, delta and audit entry and erases the entries past retention.
result<store_txn> makeConfigTransaction(const config_change& change);

struct config_applied {
    revision number = 0;
};
/// Not applied: someone else changed the configuration first.
struct config_conflict {
    config_document current;
};
/// Certainly not applied.
struct config_not_applied {
    error cause;
};
/// A later look at config/current and at the audit entry of the revision finds out.
struct config_unknown {
    error cause;
};
using config_outcome = std::variant<config_applied, config_conflict, config_not_applied, config_unknown>;

/// Reads and changes the configuration. Callbacks run as those of the port do; the port must outlive them.
class config_client {
public:
    template <typename Value> using callback = std::function<void(Value)>;

    explicit config_client(store_port port, duration callTimeout = std::chrono::seconds(2));

    /// Reads config/current. A store without a configuration gives a document with number 0.
    void read(callback<result<config_document>> done) const;
    /// Writes a change. While the outcome is unknown the same transaction is sent again, which is safe because the
    /// first copy to take effect moves config/current and thereby makes every other copy fail.
    void write(const config_change& change, callback<config_outcome> done) const;
    /// Sends a change whose outcome is unknown again.
    void settle(const config_change& change, callback<config_outcome> done) const;
    /// Tells whether the write with that mark became that revision. config_not_applied only if it never can.
    void outcomeOf(revision number, const std::string& mark, const callback<config_outcome>& done) const;
    /// Returns at most count entries, the newest first, from the given revision downwards.
    void history(revision newest, std::size_t count, callback<result<std::vector<audit_entry>>> done) const;
    /// Returns the rules text of a revision. Fails with notFound if it is no longer kept.
    void rulesAt(revision number, const callback<result<std::string>>& done) const;

private:
    struct pending_write;
    void send(const std::shared_ptr<pending_write>& pending) const;
    void judge(const std::shared_ptr<pending_write>& pending, const store_txn_reply& reply) const;

    store_port m_port;
    duration m_callTimeout;
};

} // namespace limpet
