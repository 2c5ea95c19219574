#include <algorithm>
#include <limpetcroft/mesh.h>

namespace limpet::mesh {
namespace {

    constexpr std::array<const char*, 5> taskNames { "configuration", "lease", "entry", "keep", "list" };
    constexpr time_point never = time_point::max();
    // The first nodes of a zone may change often for a while; each change costs a read of the whole configuration.
    constexpr duration readingLinger = std::chrono::seconds(5);

} // namespace

registry::registry(options given)
    : m_options(std::move(given))
{
    taskFor(task_kind::configuration).at = never;
    taskFor(task_kind::entry).at = never;
    taskFor(task_kind::keepAlive).at = never;
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
    for (std::size_t index = 0; index < m_tasks.size(); ++index) {
        if (m_tasks[index].token != result.token)
            continue;
        m_tasks[index].token = 0;
        const auto which = static_cast<task_kind>(index);
        const bool reached = result.reply.has_value() || result.reply.error().kind == error_kind::notFound;
        if (reached != m_storeReachable) {
            m_storeReachable = reached;
            for (auto& task : m_tasks) {
                if (reached && task.at != never)
                    task.at = std::min(task.at, now);
            }
            // The watch may have lost its connection unnoticed, so the configuration is read again.
            if (reached && which != task_kind::configuration && m_readsConfiguration)
                taskFor(task_kind::configuration).at = std::min(taskFor(task_kind::configuration).at, now);
            out.log.push_back({ reached ? "store_regained" : "store_lost",
                { { "call", taskNames[index] }, { "reason", result.reply ? "" : result.reply.error().message } } });
        }
        if (result.reply)
            succeed(which, *result.reply, now, out);
        else
            fail(which, result.reply.error(), now, out);
        return;
    }
}

void registry::succeed(task_kind which, const store_reply& reply, time_point now, outcome& out)
{
    switch (which) {
    case task_kind::configuration: {
        const auto* got = std::get_if<store_get_reply>(&reply);
        if (!got->entries.empty())
            configurationChanged(got->entries.front().value, out);
        // Watch even if there is no configuration yet, to see its creation.
        if (m_readsConfiguration)
            out.watchFrom = got->head + 1;
        break;
    }
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
        taskFor(task_kind::keepAlive).at = now + m_options.keepAliveInterval;
        taskFor(task_kind::list).at = now;
        m_currentListDue = true;
        out.log.push_back({ "entry_written", { { "lease", std::to_string(m_lease) } } });
        break;
    case task_kind::keepAlive:
        if (std::get<store_lease_reply>(reply).timeToLive.count() > 0) {
            taskFor(task_kind::keepAlive).at = now + m_options.keepAliveInterval;
            break;
        }
        out.log.push_back({ "entry_lapsed", { { "lease", std::to_string(m_lease) } } });
        taskFor(task_kind::lease).at = now;
        break;
    case task_kind::list: {
        const auto& got = std::get<store_get_reply>(reply);
        std::vector<std::string> values;
        for (const auto& each : got.entries)
            values.push_back(each.value);
        if (!got.ignored.empty())
            out.log.push_back({ "entries_ignored",
                { { "count", std::to_string(got.ignored.size()) }, { "reason", got.ignored.front() } } });
        out.entries = std::move(values);
        m_currentListDue = m_currentListDue && !m_listIsCurrent;
        out.entriesArePreliminary = m_currentListDue;
        taskFor(task_kind::list).at = m_currentListDue && m_written ? now : now + m_options.listInterval;
        break;
    }
    }
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
    if (which == task_kind::configuration && !m_readsConfiguration)
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
    auto& task = taskFor(task_kind::configuration);
    if (task.token == 0)
        task.at = reads ? now : never;
}

void registry::watchEnded(time_point now)
{
    if (m_readsConfiguration && taskFor(task_kind::configuration).token == 0)
        taskFor(task_kind::configuration).at
            = std::min(taskFor(task_kind::configuration).at, now + m_options.rewatchDelay);
}

void registry::leave(outcome& out)
{
    m_leftFleet = true;
    if (m_lease != 0)
        out.calls.push_back({ m_nextToken++, store_lease_revoke { m_lease } });
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
        const bool waits = &each == &taskFor(task_kind::configuration) && !mayReadConfiguration();
        if (each.token == 0 && !waits)
            next = std::min(next, each.at);
    }
    return next;
}

} // namespace limpet::mesh
