#include "environment.h"

#include <fstream>
#include <glib.h>
#include <libsoup/soup.h>
#include <limpetcroft/rules.h>
#include <sodium.h>
#include <sstream>
#include <thread>

namespace limpet {

namespace {

    constexpr guint nodeTimeoutSeconds = 5;

    result<node_answer> askNode(const std::string& method, const socket_address& node, const std::string& path)
    {
        SoupSession* const session
            = soup_session_new_with_options("timeout", nodeTimeoutSeconds, "proxy-resolver", nullptr, nullptr);
        const std::string url = "http://" + printAddress(node) + path;
        SoupMessage* const message = soup_message_new(method.c_str(), url.c_str());
        GError* problem = nullptr;
        GBytes* const body = soup_session_send_and_read(session, message, nullptr, &problem);
        result<node_answer> answer;
        if (body != nullptr) {
            gsize size = 0;
            const auto* const data = static_cast<const char*>(g_bytes_get_data(body, &size));
            answer = node_answer { soup_message_get_status(message), std::string(data == nullptr ? "" : data, size) };
            g_bytes_unref(body);
        } else {
            answer = fail(error_kind::unavailable,
                "node " + printAddress(node) + " cannot be asked: " + problem->message
                    + "; check --node, which takes the node's admin address");
            g_error_free(problem);
        }
        g_object_unref(message);
        g_object_unref(session);
        return answer;
    }

    std::string utcNow()
    {
        GDateTime* const now = g_date_time_new_now_utc();
        gchar* const text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
        std::string copy = text;
        g_free(text);
        g_date_time_unref(now);
        return copy;
    }

    std::string randomHex(std::size_t bytes)
    {
        std::string raw(bytes, '\0');
        randombytes_buf(raw.data(), raw.size());
        std::string hex(bytes * 2 + 1, '\0');
        sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char*>(raw.data()), raw.size());
        hex.pop_back();
        return hex;
    }

} // namespace

system_environment::system_environment(const socket_address& store)
    : m_store({ "http://" + printAddress(store) }, g_main_context_default())
{
}

ctl_environment system_environment::make()
{
    return {
        .store = config_client(m_store.port()),
        .wait =
            [](const std::function<bool()>& condition) {
                while (!condition()) {
                    g_main_context_iteration(nullptr, TRUE);
                }
            },
        .sleep = [](duration time) { std::this_thread::sleep_for(time); },
        .utcNow = utcNow,
        .randomHex = randomHex,
        .askNode = askNode,
    };
}

result<std::string> readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        return fail(error_kind::notFound, "file \"" + name + "\" cannot be read; check its name and permissions");
    }
    return content.str();
}

} // namespace limpet
