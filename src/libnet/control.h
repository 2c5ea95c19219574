#pragma once

/// \file control.h
/// The control task: a thread that owns the store client, so that a slow store never delays traffic.

#include "glib.h"
#include <limpetcroft/store.h>
#include <map>
#include <thread>

namespace limpet {

/// Store calls and watches on a thread and GMainContext of their own. Results are posted to the traffic context.
class control_task {
public:
    using event_callback = std::function<void(node_event)>;

    control_task(GMainContext* traffic, const socket_address& store, event_callback callback);
    ~control_task();
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;

    void call(store_call call);
    void startWatch(start_store_watch watch);
    void stopWatch(stop_store_watch watch);

private:
    void run();
    void deliver(node_event event);
    void onWatch(const std::string& prefix, const store_watch_event& event);

    GMainContext* m_traffic;
    GMainContext* m_context;
    GMainLoop* m_loop;
    event_callback m_callback;
    std::string m_baseUrl;
    // The client and the watches are used on the thread only.
    std::unique_ptr<http_store> m_store;
    std::map<std::string, store_watch_id> m_watches;
    std::thread m_thread;
};

} // namespace limpet
