#include <array>
#include <ctime>
#include <limpetcroft/proxy.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace limpet::proxy {
namespace {

    constexpr std::size_t maxEventsPerWait = 64;
    // A delay of a due timer from which the process counts as paused: load alone delays timers less.
    constexpr duration minPause = std::chrono::milliseconds(400);

    struct epoll_source {
        GSource base;
        std::function<void()>* dispatch;
    };

    GSourceFuncs epollSourceFunctions { nullptr, nullptr,
        [](GSource* source, GSourceFunc /*callback*/, gpointer /*data*/) -> gboolean {
            (*reinterpret_cast<epoll_source*>(source)->dispatch)();
            return G_SOURCE_CONTINUE;
        },
        [](GSource* source) { delete reinterpret_cast<epoll_source*>(source)->dispatch; }, nullptr, nullptr };

} // namespace

time_point bootTime()
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

reactor::reactor()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_context(g_main_context_new())
    , m_loop(g_main_loop_new(m_context, FALSE))
    , m_source(g_source_new(&epollSourceFunctions, sizeof(epoll_source)))
{
    reinterpret_cast<epoll_source*>(m_source.get())->dispatch = new std::function<void()>([this] { dispatch(); });
    g_source_add_unix_fd(m_source.get(), m_epoll, G_IO_IN);
    g_source_attach(m_source.get(), m_context);
}

reactor::~reactor()
{
    m_source.reset();
    g_main_loop_unref(m_loop);
    g_main_context_unref(m_context);
    close(m_epoll);
}

void reactor::watch(int descriptor, io_handler handler)
{
    const auto serial = m_nextSerial++;
    m_watches[descriptor] = { serial, std::make_shared<io_handler>(std::move(handler)) };
    epoll_event interest {};
    interest.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    interest.data.fd = descriptor;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &interest);
}

void reactor::unwatch(int descriptor)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_watches.erase(descriptor);
}

std::uint64_t reactor::callAt(time_point at, timer_handler handler)
{
    const auto timer = m_nextSerial++;
    m_timers.emplace(std::make_pair(at, timer), std::move(handler));
    m_timerTimes.emplace(timer, at);
    return timer;
}

void reactor::cancelTimer(std::uint64_t timer)
{
    const auto found = m_timerTimes.find(timer);
    if (found == m_timerTimes.end())
        return;
    m_timers.erase({ found->second, timer });
    m_timerTimes.erase(found);
}

/// Calls a handler. An exception must neither end the process nor pass through the C code of GLib.
template <typename Handler, typename... Arguments>
void reactor::callGuarded(const Handler& handler, Arguments... arguments)
{
    try {
        handler(arguments...);
    } catch (const std::exception& exception) {
        if (m_errorHandler)
            m_errorHandler(exception);
    }
}

void reactor::measurePause()
{
    const auto late = m_timers.empty() ? duration(0) : bootTime() - m_timers.begin()->first.first;
    m_pause = late >= minPause ? late : duration(0);
}

void reactor::dispatch()
{
    measurePause();
    // A handler may close a descriptor whose number is then reused during this iteration. The new entry has a newer
    // serial, so that the pending events of the old descriptor are skipped.
    const auto firstNewSerial = m_nextSerial;
    std::array<epoll_event, maxEventsPerWait> events {};
    const int count = epoll_wait(m_epoll, events.data(), maxEventsPerWait, 0);
    for (int index = 0; index < count; ++index) {
        const auto& each = events.at(static_cast<std::size_t>(index));
        const auto found = m_watches.find(each.data.fd);
        if (found == m_watches.end() || found->second.serial >= firstNewSerial)
            continue;
        const auto handler = found->second.handler;
        callGuarded(*handler, each.events);
    }
    runDueTimers();
    for (const auto& each : m_iterationEndHandlers)
        callGuarded(each);
    updateReadyTime();
}

void reactor::runDueTimers()
{
    const auto now = bootTime();
    // A timer that a handler sets during this iteration runs in the next one, so that a timer which is always due
    // cannot starve the descriptors.
    const auto firstNewSerial = m_nextSerial;
    auto next = m_timers.begin();
    while (next != m_timers.end() && next->first.first <= now) {
        if (next->first.second >= firstNewSerial) {
            ++next;
            continue;
        }
        const auto handler = std::move(next->second);
        m_timerTimes.erase(next->first.second);
        m_timers.erase(next);
        callGuarded(handler);
        // The handler may have added or cancelled timers, which invalidates iterators.
        next = m_timers.begin();
    }
}

void reactor::updateReadyTime()
{
    if (m_timers.empty()) {
        g_source_set_ready_time(m_source.get(), -1);
        return;
    }
    const auto wait = std::max(duration(0), m_timers.begin()->first.first - bootTime());
    g_source_set_ready_time(m_source.get(), g_get_monotonic_time() + wait.count());
}

void reactor::run()
{
    updateReadyTime();
    g_main_loop_run(m_loop);
}

void reactor::quit() { g_main_loop_quit(m_loop); }

watched_socket::watched_socket(reactor& loop, int descriptor, reactor::io_handler handler)
    : m_loop(&loop)
    , m_descriptor(descriptor)
{
    loop.watch(descriptor, std::move(handler));
}

watched_socket::watched_socket(watched_socket&& other) noexcept
    : m_loop(other.m_loop)
    , m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

watched_socket& watched_socket::operator=(watched_socket&& other) noexcept
{
    if (this == &other)
        return *this;
    reset();
    m_loop = other.m_loop;
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

void watched_socket::reset()
{
    if (m_descriptor < 0)
        return;
    m_loop->unwatch(m_descriptor);
    close(m_descriptor);
    m_descriptor = -1;
}

} // namespace limpet::proxy
