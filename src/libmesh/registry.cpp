#include <algorithm>
#include <limpetcroft/mesh.h>

namespace limpet::mesh {
namespace {

    constexpr std::array<const char*, 7> taskNames { "configuration", "evacuations", "lease", "entry", "keep", "list",
        "watch-check" };
    constexpr time_point never = time_point::max();
    // The first nodes of a zone may change often for a while; each change costs a read of the whole configuration.
    constexpr duration readingLinger = std::chrono::seconds(5);

} // namespace

registry::registry(options given)
    : m_options(std::move(given))
{
    taskFor(task_kind::configuration).at = never;
    taskFor(task_kind::evacuations).at = never;
    taskFor(task_kind::entry).at = never;
    taskFor(task_kind::keepAlive).at = never;
    taskFor(task_kind::watchCheck).at = never;
}

/// Whether the task reads what the operators have written.
bool registry::isOperatorTask(task_kind which)
{
    return which == task_kind::configuration || which == task_kind::evacuations;
}

void registry::start(task_kind which, store_operation operation, outcome& out)
{
    auto& each = taskFor(which);
    each.token = m_nextToken++;
    each.at = never;
    out.calls.push_back({ each.token, std::move(operation) });
}

void registry::tick(time_point now, outcome& out)
{
    // While the store is unreachable, only one call at a time probes it: every call is billed, even a refused one.
    const auto due = [&](task_kind which) {
        return taskFor(which).token == 0 && taskFor(which).at <= now && (m_storeReachable || !callInFlight());
    };
    if (mayReadConfiguration() && due(task_kind::configuration))
        start(task_kind::configuration, store_get { m_options.configurationKey }, out);
    if (m_leftFleet)
        return;
    if (due(task_kind::watchCheck)) {
        auto& check = taskFor(task_kind::watchCheck);
        check = { never, m_nextToken++ };
        out.watchCheck = check.token;
    }
    if (mayReadConfiguration() && due(task_kind::evacuations))
        start(task_kind::evacuations, store_get { m_options.evacuationPrefix, true }, out);
    if (due(task_kind::lease))
        start(task_kind::lease, store_lease_grant { m_options.timeToLive }, out);
    if (due(task_kind::entry)) {
        store_txn txn;
        txn.writes.emplace_back(
            store_put { m_options.entryPrefix + m_options.entryName, m_options.entryValue, m_lease });
        start(task_kind::entry, std::move(txn), out);
    }
    if (due(task_kind::keepAlive))
        start(task_kind::keepAlive, store_lease_keep_alive { m_lease }, out);
    // A list that may be stale tells a node that starts whom it can ask. The one after the entry was written must be
    // current, so that it holds every node registered before. Later ones only compensate for lost datagrams.
    if (due(task_kind::list)) {
        m_listIsCurrent = m_currentListDue && m_written;
        start(task_kind::list, store_get { m_options.entryPrefix, true, !m_listIsCurrent }, out);
    }
}

/// Only small calls probe a store that does not respond: its link may be full. A node that has left makes no others.
bool registry::mayReadConfiguration() const { return m_readingWanted && (m_storeReachable || m_leftFleet); }

bool registry::callInFlight() const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [](const task& each) { return each.token != 0; });
}

void registry::handle(const store_result& result, time_point now, outcome& out)
{
    const auto found = std::find_if(m_tasks.begin(), m_tasks.end(),
        [&](const task& each) { return result.token != 0 && each.token == result.token; });
    if (found == m_tasks.end()) {
        observeEra(result.era, "late", now, out);
        return;
    }
    const auto index = static_cast<std::size_t>(found - m_tasks.begin());
    const auto which = static_cast<task_kind>(index);
    found->token = 0;
    noteReachability(which, result.reply, now, out);
    const auto change = observeEra(result.era, taskNames.at(index), now, out);
    // This reply revealed that the store was restored, and all calls are made again.
    if (change == era_change::risen)
        return;
    if (change == era_change::outdated) {
        found->at = now + m_options.retryInterval;
        return;
    }
    if (result.reply)
        succeed(which, *result.reply, now, out);
    else
        fail(which, result.reply.error(), now, out);
}

/// Follows whether the store replies. When it does again, everything that waits for it is due.
void registry::noteReachability(task_kind which, const result<store_reply>& reply, time_point now, outcome& out)
{
    const bool reached = reply.has_value() || reply.error().kind == error_kind::notFound;
    if (reached == m_storeReachable)
        return;
    m_storeReachable = reached;
    for (auto& task : m_tasks) {
        if (reached && task.at != never)
            task.at = std::min(task.at, now);
    }
    // The watch may have lost its connection unnoticed, so the configuration is read again.
    if (reached && !isOperatorTask(which) && m_readsConfiguration)
        taskFor(task_kind::configuration).at = std::min(taskFor(task_kind::configuration).at, now);
    out.log.push_back({ reached ? "store_regained" : "store_lost",
        { { "call", taskNames.at(static_cast<std::size_t>(which)) },
            { "reason", reply ? "" : reply.error().message } } });
}

era_change registry::observeEra(store_era era, const char* seenIn, time_point now, outcome& out)
{
    const auto before = m_era.current();
    const auto change = m_era.observe(era);
    if (change == era_change::none)
        return change;
    if (change == era_change::outdated) {
        out.log.push_back({ "store_reply_outdated",
            { { "era", std::to_string(era) }, { "current", std::to_string(before) }, { "call", seenIn } } });
        return change;
    }
    const auto lease = m_lease;
    startAgain(now, out);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(taskFor(task_kind::lease).at - now);
    out.log.push_back({ "store_restored",
        { { "era", std::to_string(era) }, { "before", std::to_string(before) }, { "call", seenIn },
            { "dropped_lease", std::to_string(lease) }, { "reads_configuration", m_readsConfiguration ? "1" : "0" },
            { "registers_in_ms", m_leftFleet ? "never" : std::to_string(wait.count()) } } });
    return change;
}

/// Drops all that the store said before it was restored: calls in flight, the watch and the lease. What it says now
/// may be given out in another meaning, and is asked for again.
void registry::startAgain(time_point now, outcome& out)
{
    for (auto& task : m_tasks)
        task.token = 0;
    m_lease = 0;
    m_written = false;
    m_entryRevision = 0;
    m_currentListDue = true;
    out.unwatch = true;
    taskFor(task_kind::entry).at = never;
    taskFor(task_kind::keepAlive).at = never;
    taskFor(task_kind::configuration).at = m_readsConfiguration ? now : never;
    taskFor(task_kind::evacuations).at = never;
    taskFor(task_kind::watchCheck).at = never;
    // The few nodes that read the configuration register at once: their renewals watch over the store.
    const double order = m_readsConfiguration ? 0 : m_options.registrationOrder;
    const std::chrono::duration<double> wait(
        order * static_cast<double>(m_listedNodes) / m_options.registrationsPerSecond);
    taskFor(task_kind::lease).at = now + std::chrono::duration_cast<duration>(wait);
    // Until this node lists the others after its registration, it knows them from their statuses.
    taskFor(task_kind::list).at = now + m_options.listInterval;
}

time_point registry::nextKeepAlive(time_point now) const
{
    return now + (m_readsConfiguration ? m_options.readerKeepAliveInterval : m_options.keepAliveInterval);
}

void registry::succeed(task_kind which, const store_reply& reply, time_point now, outcome& out)
{
    switch (which) {
    case task_kind::configuration: {
        const auto* got = std::get_if<store_get_reply>(&reply);
        if (!got->entries.empty())
            configurationChanged(got->entries.front().value, out);
        // Watch even if there is no configuration yet, to see its creation.
        if (m_readsConfiguration) {
            out.watchFrom = store_position { got->head + 1, m_era.current() };
            taskFor(task_kind::watchCheck) = { now + m_options.watchCheckInterval, 0 };
        }
        // After the position from which the watch reports changes.
        evacuationsChanged(now);
        break;
    }
    case task_kind::evacuations:
        readEvacuations(std::get<store_get_reply>(reply), out);
        break;
    case task_kind::lease:
        m_lease = std::get<store_lease_reply>(reply).lease;
        m_written = false;
        taskFor(task_kind::entry).at = now;
        break;
    case task_kind::entry:
        if (!std::get<store_txn_reply>(reply).succeeded) {
            taskFor(task_kind::lease).at = now;
            break;
        }
        m_written = true;
        m_writtenAt = now;
        m_entryRevision = std::get<store_txn_reply>(reply).head;
        taskFor(task_kind::keepAlive).at = nextKeepAlive(now);
        taskFor(task_kind::list).at = now;
        m_currentListDue = true;
        out.log.push_back({ "entry_written", { { "lease", std::to_string(m_lease) } } });
        break;
    case task_kind::keepAlive:
        if (std::get<store_lease_reply>(reply).timeToLive.count() > 0) {
            taskFor(task_kind::keepAlive).at = nextKeepAlive(now);
            break;
        }
        out.log.push_back({ "entry_lapsed", { { "lease", std::to_string(m_lease) } } });
        taskFor(task_kind::lease).at = now;
        break;
    case task_kind::list:
        readList(std::get<store_get_reply>(reply), now, out);
        break;
    case task_kind::watchCheck:
        taskFor(task_kind::watchCheck).at = now + m_options.watchCheckInterval;
        break;
    }
}

void registry::readList(const store_get_reply& got, time_point now, outcome& out)
{
    std::vector<std::string> values;
    for (const auto& each : got.entries)
        values.push_back(each.value);
    if (!got.ignored.empty())
        out.log.push_back({ "entries_ignored",
            { { "count", std::to_string(got.ignored.size()) }, { "reason", got.ignored.front() } } });
    out.entries = std::move(values);
    m_listedNodes = std::max<std::size_t>(got.entries.size(), 1);
    m_currentListDue = m_currentListDue && !m_listIsCurrent;
    out.entriesArePreliminary = m_currentListDue;
    taskFor(task_kind::list).at = m_currentListDue && m_written ? now : now + m_options.listInterval;
    checkOwnEntry(got, now, out);
}

/// An answered renewal does not prove that the entry stands, and a write that was delayed since before the store was
/// restored may have bound it to the lease of another node.
void registry::checkOwnEntry(const store_get_reply& got, time_point now, outcome& out)
{
    const bool mayBeMissing = !m_written || now - m_writtenAt < m_options.maxListAge;
    if (mayBeMissing || taskFor(task_kind::entry).token != 0)
        return;
    const auto own = std::find_if(got.entries.begin(), got.entries.end(),
        [&](const store_entry& each) { return each.key == m_options.entryPrefix + m_options.entryName; });
    if (own != got.entries.end() && own->lease == m_lease)
        return;
    out.log.push_back({ "entry_missing",
        { { "lease", std::to_string(m_lease) },
            { "listed_lease", own == got.entries.end() ? "none" : std::to_string(own->lease) } } });
    m_written = false;
    taskFor(task_kind::entry).at = now;
}

void registry::readEvacuations(const store_get_reply& got, outcome& out)
{
    auto& read = out.evacuations.emplace();
    read.position = { got.head, m_era.current() };
    for (const auto& each : got.entries)
        read.zones.push_back(each.key.substr(m_options.evacuationPrefix.size()));
}

/// Schedules a read. One that is in flight may have been answered before the change.
void registry::evacuationsChanged(time_point now)
{
    if (!m_options.evacuationPrefix.empty())
        taskFor(task_kind::evacuations) = { now, 0 };
}

void registry::fail(task_kind which, const error& cause, time_point now, outcome& out)
{
    const bool expired
        = (which == task_kind::keepAlive || which == task_kind::entry) && cause.kind == error_kind::notFound;
    if (expired) {
        out.log.push_back({ "entry_lapsed", { { "lease", std::to_string(m_lease) } } });
        taskFor(task_kind::lease).at = now;
        return;
    }
    if (isOperatorTask(which) && !m_readsConfiguration)
        return;
    taskFor(which).at = now + m_options.retryInterval;
    // While the store is unreachable, all other tasks wait for this retry, so that only one call is made.
    if (m_storeReachable)
        return;
    for (auto& task : m_tasks) {
        if (task.token == 0 && task.at != never)
            task.at = std::max(task.at, taskFor(which).at);
    }
}

void registry::configurationChanged(const std::string& document, outcome& out) { out.document = document; }

void registry::readConfiguration(bool wanted, time_point now, outcome& out)
{
    m_readingWanted = wanted;
    if (wanted)
        m_readingWantedAt = now;
    const bool reads = m_readingWantedAt != time_point::min() && now - m_readingWantedAt <= readingLinger;
    if (reads == m_readsConfiguration)
        return;
    m_readsConfiguration = reads;
    out.unwatch = !reads;
    auto& keepAlive = taskFor(task_kind::keepAlive);
    if (reads && keepAlive.at != never)
        keepAlive.at = std::min(keepAlive.at, nextKeepAlive(now));
    auto& task = taskFor(task_kind::configuration);
    if (task.token == 0)
        task.at = reads ? now : never;
    if (!reads) {
        taskFor(task_kind::evacuations).at = never;
        taskFor(task_kind::watchCheck) = { never, 0 };
    }
}

void registry::watchEnded(time_point now)
{
    taskFor(task_kind::watchCheck) = { never, 0 };
    if (m_readsConfiguration && taskFor(task_kind::configuration).token == 0)
        taskFor(task_kind::configuration).at
            = std::min(taskFor(task_kind::configuration).at, now + m_options.rewatchDelay);
}

void registry::watchChecked(
    std::uint64_t token, const result<store_watch_check>& check, store_era era, time_point now, outcome& out)
{
    if (check && check->missed > 0)
        out.log.push_back({ "watch_silent", { { "missed", std::to_string(check->missed) } } });
    handle({ token, check ? result<store_reply>(store_get_reply {}) : tl::unexpected(check.error()), era }, now, out);
}

void registry::leave(outcome& out)
{
    m_leftFleet = true;
    if (!m_written && taskFor(task_kind::entry).token == 0)
        return;
    const auto key = m_options.entryPrefix + m_options.entryName;
    store_txn txn;
    // Another process of this node may have written the entry again when a delayed copy of this call takes effect.
    if (m_written)
        txn.compares.push_back({ key, m_entryRevision });
    txn.writes.emplace_back(store_erase { key });
    out.calls.push_back({ m_nextToken++, std::move(txn) });
}

time_point registry::nextTimer() const
{
    // After leave(), the lease is not renewed and nodes are not listed; only the configuration may still be read.
    if (m_leftFleet)
        return mayReadConfiguration() && taskFor(task_kind::configuration).token == 0
            ? taskFor(task_kind::configuration).at
            : never;
    // Due tasks wait for the result of the call that probes the store.
    if (!m_storeReachable && callInFlight())
        return never;
    auto next = never;
    for (const auto& each : m_tasks) {
        const auto which = static_cast<task_kind>(&each - m_tasks.data());
        const bool waits = isOperatorTask(which) && !mayReadConfiguration();
        if (each.token == 0 && !waits)
            next = std::min(next, each.at);
    }
    return next;
}

} // namespace limpet::mesh
