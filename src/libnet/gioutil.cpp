#include "gioutil.h"
#include <ctime>

namespace limpet {
namespace {

    using callback = std::function<bool()>;

    gboolean runCallback(gpointer data)
    {
        return (*static_cast<callback*>(data))() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
    }

    gboolean runSocketCallback(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer data)
    {
        return runCallback(data);
    }

    void deleteCallback(gpointer data) { delete static_cast<callback*>(data); }

} // namespace

time_point bootTime()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto whole = std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(whole));
}

void post(GMainContext* context, std::function<void()> function)
{
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    auto* data = new callback([function = std::move(function)] {
        function();
        return false;
    });
    g_source_set_callback(source, runCallback, data, deleteCallback);
    g_source_attach(source, context);
    g_source_unref(source);
}

gsource_ptr attach(GMainContext* context, GSource* source, std::function<bool()> function)
{
    g_source_set_callback(source, runCallback, new callback(std::move(function)), deleteCallback);
    g_source_attach(source, context);
    return gsource_ptr(source);
}

gsource_ptr watchSocket(GMainContext* context, GSocket* socket, GIOCondition condition, std::function<bool()> function)
{
    GSource* source = g_socket_create_source(socket, condition, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(runSocketCallback), new callback(std::move(function)), deleteCallback);
    g_source_attach(source, context);
    return gsource_ptr(source);
}

gobject_ptr<GSocketAddress> toGlib(const socket_address& address)
{
    return gobject_ptr<GSocketAddress>(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
}

socket_address fromGlib(GSocketAddress* address)
{
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address))
        return {};
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    char* text = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    socket_address result { text, g_inet_socket_address_get_port(inet) };
    g_free(text);
    return result;
}

error takeError(error_kind kind, GError* problem, const std::string& remedy)
{
    error taken { kind, std::string(problem ? problem->message : "unknown failure") + "; " + remedy };
    g_clear_error(&problem);
    return taken;
}

} // namespace limpet
