#include "fault.h"

#include <algorithm>
#include <limpetcroft/store.h>

namespace limpet {

struct fake_store::pending_call {
    store_operation operation;
    store_callback callback;
    bool answered = false;

    void answer(result<store_reply> reply, store_era era)
    {
        if (!answered) {
            answered = true;
            callback(std::move(reply), era);
        }
    }
};

fake_store::fake_store(duration latency)
    : m_latency(latency)
{
}

store_port fake_store::port()
{
    return {
        .call = [this](store_operation operation, duration timeout,
                    store_callback callback) { call(std::move(operation), timeout, std::move(callback)); },
        .watch = [this](std::string prefix, store_position from,
                     store_watch_callback callback) { return watch(std::move(prefix), from, std::move(callback)); },
        .unwatch = [this](store_watch_id id) { m_watchers.erase(id); },
    };
}

void fake_store::call(store_operation operation, duration timeout, store_callback callback)
{
    count(m_counters, operation);
    const std::shared_ptr<pending_call> pending(new pending_call { std::move(operation), std::move(callback) });
    m_due.emplace(m_now + timeout, [pending] {
        pending->answer(tl::unexpected(missingReply(pending->operation, "the store did not answer in time")), 0);
    });
    m_due.emplace(m_now + m_latency / 2 + m_faults.delay, [this, pending] { arrive(pending); });
}

void fake_store::arrive(const std::shared_ptr<pending_call>& pending)
{
    const call_fate fate = takeFate(m_faults, pending->operation);
    if (fate != call_fate::answered) {
        ++m_counters.failed;
    }
    if (fate == call_fate::requestLost) {
        return;
    }
    result<store_reply> reply = fate == call_fate::refused
        ? fail(error_kind::unavailable, "the store refuses calls; try again later")
        : m_state.apply(pending->operation, storeTime());
    if (fate == call_fate::replyLost) {
        return;
    }
    m_due.emplace(m_now + m_latency / 2,
        [pending, reply = std::move(reply), era = m_state.era()] { pending->answer(reply, era); });
}

store_watch_id fake_store::watch(std::string prefix, store_position from, store_watch_callback callback)
{
    ++m_counters.watches;
    const store_watch_id id = m_nextWatch++;
    const auto next = from.revision == 0 ? m_state.head() + 1 : from.revision;
    m_watchers[id] = { std::move(prefix), next, from.era == 0 ? m_state.era() : from.era, std::move(callback) };
    m_due.emplace(m_now + m_latency, [] {});
    return id;
}

void fake_store::advance(time_point now)
{
    // Leases end between calls too, so time moves in steps short enough for watches to see it soon.
    constexpr duration step = std::chrono::milliseconds(100);
    while (m_now < now) {
        time_point next = std::min(now, m_now + step);
        if (!m_due.empty()) {
            next = std::min(next, std::max(m_now, m_due.begin()->first));
        }
        m_now = next;
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            auto due = m_due.extract(m_due.begin());
            due.mapped()();
        }
        m_state.expireLeases(storeTime());
        deliverWatches();
    }
}

std::optional<time_point> fake_store::nextEvent() const
{
    if (m_due.empty()) {
        return std::nullopt;
    }
    return m_due.begin()->first;
}

void fake_store::deliverWatches()
{
    if (m_faults.down) {
        endWatches("the store is down");
        return;
    }
    if (m_faults.watchesHeld) {
        return;
    }
    std::vector<store_watch_id> ids;
    for (const auto& [id, each] : m_watchers) {
        ids.push_back(id);
    }
    for (const store_watch_id id : ids) {
        // A callback may end any watch.
        const auto found = m_watchers.find(id);
        if (found == m_watchers.end()) {
            continue;
        }
        const auto event = m_state.changesSince(found->second.prefix, found->second.next);
        if (event && found->second.era != m_state.era()) {
            const store_watch_callback callback = found->second.callback;
            m_watchers.erase(found);
            callback(restoredWhileWatched(m_state.era()));
            continue;
        }
        if (!event) {
            // A later compaction concerns only what the watch has not seen.
            found->second.next = std::max(found->second.next, m_state.head() + 1);
            continue;
        }
        const store_watch_callback callback = found->second.callback;
        if (const auto* changes = std::get_if<store_changes>(&*event)) {
            found->second.next = changes->revision + 1;
        } else {
            m_watchers.erase(found);
        }
        callback(*event);
    }
}

void fake_store::endWatches(const std::string& reason)
{
    const std::map<store_watch_id, watcher> ended = std::exchange(m_watchers, {});
    for (const auto& [id, each] : ended) {
        each.callback(store_interrupted { { error_kind::unavailable, reason + "; read again, then watch again" } });
    }
}

void fake_store::inject(const store_injection& injection)
{
    setFault(m_faults, injection);
    if (injection.fault == store_fault::watchDropped) {
        m_due.emplace(m_now, [this] { endWatches("the watch was dropped"); });
    }
    if (injection.fault == store_fault::compaction) {
        m_state.compact(m_state.head());
    }
    if (injection.fault == store_fault::copy) {
        m_copy = m_state;
    }
    if (injection.fault == store_fault::restore) {
        m_state.restore(m_copy);
    }
}

} // namespace limpet
