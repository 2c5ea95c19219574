#include <algorithm>
#include <limpetcroft/mesh.h>

namespace limpet::mesh {
namespace {

    constexpr std::array<const char*, 5> stepNames { "configuration", "lease", "entry", "keep", "list" };
    constexpr time_point never = time_point::max();

} // namespace

registry::registry(options given)
    : m_options(std::move(given))
{
    taskFor(step::entry).at = never;
    taskFor(step::keep).at = never;
    taskFor(step::list).at = never;
}

void registry::start(step which, store_operation operation, outcome& out)
{
    auto& each = taskFor(which);
    each.token = m_nextToken++;
    each.at = never;
    out.calls.push_back({ each.token, std::move(operation) });
}

void registry::tick(time_point now, outcome& out)
{
    // While the store is unreachable, only one call at a time probes it: every call is billed, even a refused one.
    const auto due = [&](step which) {
        return taskFor(which).token == 0 && taskFor(which).at <= now && (m_storeReachable || !callInFlight());
    };
    if (due(step::configuration))
        start(step::configuration, store_get { m_options.configurationKey }, out);
    if (m_leftFleet)
        return;
    if (due(step::lease))
        start(step::lease, store_lease_grant { m_options.timeToLive }, out);
    if (due(step::entry)) {
        store_txn txn;
        txn.writes.emplace_back(
            store_put { m_options.entryPrefix + m_options.entryName, m_options.entryValue, m_lease });
        start(step::entry, std::move(txn), out);
    }
    if (due(step::keep))
        start(step::keep, store_lease_keep_alive { m_lease }, out);
    // The first list must be current and hold every earlier node. Later ones may be stale, since they only compensate
    // for lost datagrams.
    if (due(step::list))
        start(step::list, store_get { m_options.entryPrefix, true, m_listed }, out);
}

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
        const auto which = static_cast<step>(index);
        const bool reached = result.reply.has_value() || result.reply.error().kind == error_kind::notFound;
        if (reached != m_storeReachable) {
            m_storeReachable = reached;
            for (auto& task : m_tasks) {
                if (reached && task.at != never)
                    task.at = std::min(task.at, now);
            }
            // The watch may have lost its connection unnoticed, so the configuration is read again.
            if (reached && which != step::configuration)
                taskFor(step::configuration).at = std::min(taskFor(step::configuration).at, now);
            out.log.push_back({ reached ? "store_regained" : "store_lost",
                { { "call", stepNames[index] }, { "reason", result.reply ? "" : result.reply.error().message } } });
        }
        if (result.reply)
            succeed(which, *result.reply, now, out);
        else
            fail(which, result.reply.error(), now, out);
        return;
    }
}

void registry::succeed(step which, const store_reply& reply, time_point now, outcome& out)
{
    switch (which) {
    case step::configuration: {
        const auto* got = std::get_if<store_get_reply>(&reply);
        if (!got->entries.empty())
            configurationChanged(got->entries.front().value, out);
        // Watch even if there is no configuration yet, to see its creation.
        out.watchFrom = got->head + 1;
        break;
    }
    case step::lease:
        m_lease = std::get<store_lease_reply>(reply).lease;
        m_written = false;
        taskFor(step::entry).at = now;
        break;
    case step::entry:
        if (!std::get<store_txn_reply>(reply).succeeded) {
            taskFor(step::lease).at = now;
            break;
        }
        m_written = true;
        taskFor(step::keep).at = now + m_options.keepAliveInterval;
        taskFor(step::list).at = now;
        m_listed = false;
        out.log.push_back({ "entry_written", { { "lease", std::to_string(m_lease) } } });
        break;
    case step::keep:
        if (std::get<store_lease_reply>(reply).timeToLive.count() > 0) {
            taskFor(step::keep).at = now + m_options.keepAliveInterval;
            break;
        }
        out.log.push_back({ "entry_lapsed", { { "lease", std::to_string(m_lease) } } });
        taskFor(step::lease).at = now;
        break;
    case step::list: {
        std::vector<std::string> values;
        for (const auto& each : std::get<store_get_reply>(reply).entries)
            values.push_back(each.value);
        out.entries = std::move(values);
        m_listed = true;
        taskFor(step::list).at = now + m_options.listInterval;
        break;
    }
    }
}

void registry::fail(step which, const error& cause, time_point now, outcome& out)
{
    const bool lapsed = (which == step::keep || which == step::entry) && cause.kind == error_kind::notFound;
    if (lapsed) {
        out.log.push_back({ "entry_lapsed", { { "lease", std::to_string(m_lease) } } });
        taskFor(step::lease).at = now;
        return;
    }
    taskFor(which).at = now + m_options.retryInterval;
    // All pending tasks wait for the retry, so that it is a single call.
    if (m_storeReachable)
        return;
    for (auto& task : m_tasks) {
        if (task.token == 0 && task.at != never)
            task.at = std::max(task.at, taskFor(which).at);
    }
}

void registry::configurationChanged(const std::string& document, outcome& out) { out.document = document; }

void registry::watchEnded(time_point now)
{
    if (taskFor(step::configuration).token == 0)
        taskFor(step::configuration).at = std::min(taskFor(step::configuration).at, now + m_options.rewatchDelay);
}

void registry::leave(outcome& out)
{
    m_leftFleet = true;
    if (m_lease != 0)
        out.calls.push_back({ m_nextToken++, store_lease_revoke { m_lease } });
}

time_point registry::nextTimer() const
{
    // After a planned leave, leases and lists are not renewed; only the configuration may still be read.
    if (m_leftFleet)
        return taskFor(step::configuration).token == 0 ? taskFor(step::configuration).at : never;
    // Due tasks wait for the call that probes the store.
    if (!m_storeReachable && callInFlight())
        return never;
    auto next = never;
    for (const auto& each : m_tasks) {
        if (each.token == 0)
            next = std::min(next, each.at);
    }
    return next;
}

} // namespace limpet::mesh
