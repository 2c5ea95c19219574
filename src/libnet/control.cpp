#include "control.h"

namespace limpet {
namespace {

    constexpr duration storeTimeout = std::chrono::milliseconds(1500);

} // namespace

control_task::control_task(GMainContext* traffic, const socket_address& store, event_callback callback)
    : m_traffic(traffic)
    , m_context(g_main_context_new())
    , m_loop(g_main_loop_new(m_context, FALSE))
    , m_callback(std::move(callback))
    , m_baseUrl("http://" + printAddress(store))
    , m_thread([this] { run(); })
{
}

control_task::~control_task()
{
    post(m_context, [this] { g_main_loop_quit(m_loop); });
    m_thread.join();
    g_main_loop_unref(m_loop);
    g_main_context_unref(m_context);
}

void control_task::run()
{
    g_main_context_push_thread_default(m_context);
    m_store = std::make_unique<http_store>(http_store_settings { m_baseUrl }, m_context);
    g_main_loop_run(m_loop);
    m_store.reset();
    g_main_context_pop_thread_default(m_context);
}

/// Hands an event to the traffic task.
void control_task::deliver(node_event event)
{
    post(m_traffic, [callback = m_callback, event = std::move(event)]() mutable { callback(std::move(event)); });
}

void control_task::call(store_call call)
{
    post(m_context, [this, call = std::move(call)] {
        m_store->port().call(
            call.operation, storeTimeout, [this, token = call.token](result<store_reply> reply, store_era era) {
                deliver(store_result { token, std::move(reply), era });
            });
    });
}

void control_task::startWatch(start_store_watch watch)
{
    post(m_context, [this, watch = std::move(watch)] {
        if (const auto before = m_watches.find(watch.prefix); before != m_watches.end())
            m_store->port().unwatch(before->second);
        const auto id = m_store->port().watch(watch.prefix, watch.from,
            [this, prefix = watch.prefix](const store_watch_event& event) { onWatch(prefix, event); });
        m_watches[watch.prefix] = id;
    });
}

void control_task::stopWatch(stop_store_watch watch)
{
    post(m_context, [this, watch = std::move(watch)] {
        const auto found = m_watches.find(watch.prefix);
        if (found == m_watches.end())
            return;
        m_store->port().unwatch(found->second);
        m_watches.erase(found);
    });
}

void control_task::onWatch(const std::string& prefix, const store_watch_event& event)
{
    fleet_watch_event converted;
    converted.prefix = prefix;
    converted.era = std::visit([](const auto& each) { return each.era; }, event);
    const auto* changes = std::get_if<store_changes>(&event);
    converted.broken = !changes;
    if (changes) {
        for (const auto& change : changes->changes) {
            if (!change.erased)
                converted.changed.push_back(change.entry);
        }
    } else {
        m_watches.erase(prefix);
    }
    deliver(std::move(converted));
}

} // namespace limpet
