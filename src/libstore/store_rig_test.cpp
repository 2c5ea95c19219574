#include "store_rig.h"

#include "context.h"

namespace limpet {

result<store_reply> store_rig::run(const store_operation& operation, duration timeout)
{
    std::optional<result<store_reply>> outcome;
    port().call(operation, timeout, [&](result<store_reply> reply, store_era) { outcome = std::move(reply); });
    EXPECT_TRUE(waitUntil([&] { return outcome.has_value(); })) << "the callback did not run";
    return outcome.value_or(fail(error_kind::internal, "no callback"));
}

result<store_reply> store_rig::put(const std::string& key, const std::string& value)
{
    return run(store_txn { .writes = { store_put { key, value } } });
}

std::optional<std::string> store_rig::valueOf(const std::string& key)
{
    const auto reply = run(store_get { key });
    if (!reply || std::get<store_get_reply>(*reply).entries.empty()) {
        return std::nullopt;
    }
    return std::get<store_get_reply>(*reply).entries.front().value;
}

namespace {

    class fake_rig : public store_rig {
    public:
        store_port port() override { return m_store.port(); }
        void inject(const store_injection& injection) override { m_store.inject(injection); }
        store_state& state() override { return m_store.state(); }
        bool waitUntil(const std::function<bool()>& condition) override
        {
            const time_point limit = m_store.now() + std::chrono::seconds(60);
            while (!condition() && m_store.now() < limit) {
                m_store.advance(m_store.now() + std::chrono::milliseconds(1));
            }
            return condition();
        }

    private:
        fake_store m_store;
    };

    gboolean onLimit(gpointer reached)
    {
        *static_cast<bool*>(reached) = true;
        return G_SOURCE_REMOVE;
    }

    class http_rig : public store_rig {
    public:
        http_rig()
            : m_context(g_main_context_new())
            , m_server(store_server::listen({ "127.0.0.1", 0 }, m_context).value())
            , m_client(std::make_unique<http_store>(
                  http_store_settings { "http://127.0.0.1:" + std::to_string(m_server->address().port) }, m_context))
        {
        }
        ~http_rig() override
        {
            m_client.reset();
            m_server.reset();
            g_main_context_unref(m_context);
        }
        store_port port() override { return m_client->port(); }
        void inject(const store_injection& injection) override { m_server->inject(injection); }
        store_state& state() override { return m_server->state(); }
        bool waitUntil(const std::function<bool()>& condition) override
        {
            constexpr guint limitMilliseconds = 20000;
            const context_scope scope(m_context);
            bool reached = false;
            const gsource_ptr limit(g_timeout_source_new(limitMilliseconds));
            g_source_set_callback(limit.get(), onLimit, &reached, nullptr);
            g_source_attach(limit.get(), m_context);
            while (!condition() && !reached) {
                g_main_context_iteration(m_context, TRUE);
            }
            return condition();
        }

    private:
        GMainContext* m_context;
        std::unique_ptr<store_server> m_server;
        std::unique_ptr<http_store> m_client;
    };

} // namespace

std::unique_ptr<store_rig> makeRig(rig_kind kind)
{
    if (kind == rig_kind::fake) {
        return std::make_unique<fake_rig>();
    }
    return std::make_unique<http_rig>();
}

} // namespace limpet
