#pragma once

/// \file gobject.h
/// Owning handles for objects of GLib and a timer, for the programs that run a GMainContext.

#include <functional>
#include <gio/gio.h>
#include <limpetcroft/core.h>
#include <memory>
#include <utility>

namespace limpet {

struct gobject_deleter {
    void operator()(void* object) const { g_object_unref(object); }
};
template <typename Object> using gobject_ptr = std::unique_ptr<Object, gobject_deleter>;

/// Takes over a reference.
template <typename Object> gobject_ptr<Object> adopt(Object* object) { return gobject_ptr<Object>(object); }
/// Adds a reference.
template <typename Object> gobject_ptr<Object> share(Object* object)
{
    return gobject_ptr<Object>(static_cast<Object*>(g_object_ref(object)));
}

struct gerror_deleter {
    void operator()(GError* failure) const { g_error_free(failure); }
};
using gerror_ptr = std::unique_ptr<GError, gerror_deleter>;

struct gbytes_deleter {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using gbytes_ptr = std::unique_ptr<GBytes, gbytes_deleter>;

struct gsource_deleter {
    void operator()(GSource* source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
/// Owns a source; it does not run after that.
using gsource_ptr = std::unique_ptr<GSource, gsource_deleter>;

struct gmain_loop_deleter {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using gmain_loop_ptr = std::unique_ptr<GMainLoop, gmain_loop_deleter>;

/// Removes its source from the main context when destroyed.
class source_handle {
public:
    source_handle() = default;
    /// Takes over a reference to a source that is attached to a context.
    explicit source_handle(GSource* source)
        : m_source(source)
    {
    }
    source_handle(source_handle&& other) noexcept
        : m_source(std::exchange(other.m_source, nullptr))
    {
    }
    source_handle& operator=(source_handle&& other) noexcept
    {
        std::swap(m_source, other.m_source);
        return *this;
    }
    ~source_handle() { reset(); }

    void reset()
    {
        GSource* source = std::exchange(m_source, nullptr);
        if (!source)
            return;
        g_source_destroy(source);
        g_source_unref(source);
    }

private:
    GSource* m_source = nullptr;
};

/// Returns the monotonic clock of the machine.
inline duration monotonicNow() { return duration(g_get_monotonic_time()); }

/// Calls the function once at a time of the monotonic clock, unless the handle is destroyed before. Must be called on
/// the thread that iterates the default main context.
inline source_handle callAt(duration time, std::function<void()> function)
{
    GSource* source = g_timeout_source_new(0);
    // The interval has a resolution of milliseconds; the ready time has one of microseconds.
    g_source_set_ready_time(source, time.count());
    const auto call = [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
    };
    const auto destroy = [](gpointer data) { delete static_cast<std::function<void()>*>(data); };
    g_source_set_callback(source, call, new std::function<void()>(std::move(function)), destroy);
    g_source_attach(source, nullptr);
    return source_handle(source);
}

} // namespace limpet
