#pragma once

#include <limpetcroft/gobject.h>

namespace limpet {

/// Makes a context the thread's default one for the life of the object. libsoup and GIO start work on that one.
class context_scope {
public:
    explicit context_scope(GMainContext* context)
        : m_context(context)
    {
        g_main_context_push_thread_default(m_context);
    }
    ~context_scope() { g_main_context_pop_thread_default(m_context); }
    context_scope(const context_scope&) = delete;
    context_scope& operator=(const context_scope&) = delete;

private:
    GMainContext* m_context;
};

} // namespace limpet
