#include "context.h"
#include "gateway.h"

#include <gtest/gtest.h>

namespace limpet {
namespace {

    using namespace std::chrono_literals;

    class http_test : public testing::Test {
    protected:
        ~http_test() override { g_main_context_unref(m_context); }

        std::unique_ptr<http_store> connect(duration watchIdle = 3s)
        {
            const std::string url = "http://127.0.0.1:" + std::to_string(m_server->address().port);
            return std::make_unique<http_store>(http_store_settings { url, watchIdle }, m_context);
        }
        bool waitUntil(const std::function<bool()>& condition)
        {
            constexpr guint limitMilliseconds = 20000;
            const context_scope scope(m_context);
            bool reached = false;
            const gsource_ptr limit(g_timeout_source_new(limitMilliseconds));
            const GSourceFunc onLimit = [](gpointer flag) -> gboolean {
                *static_cast<bool*>(flag) = true;
                return G_SOURCE_REMOVE;
            };
            g_source_set_callback(limit.get(), onLimit, &reached, nullptr);
            g_source_attach(limit.get(), m_context);
            while (!condition() && !reached) {
                g_main_context_iteration(m_context, TRUE);
            }
            return condition();
        }

        GMainContext* m_context = g_main_context_new();
        std::unique_ptr<store_server> m_server = store_server::listen({ "127.0.0.1", 0 }, m_context).value();
        store_operation m_put = store_txn { .writes = { store_put { "k", "v" } } };
    };

    // Guards against "may have taken effect" for a write that never left this process.
    TEST_F(http_test, refusedConnectionHasNoEffect)
    {
        const auto client = connect();
        m_server.reset();
        std::optional<result<store_reply>> outcome;
        client->port().call(m_put, 10s, [&](result<store_reply> reply, store_era) { outcome = std::move(reply); });
        ASSERT_TRUE(waitUntil([&] { return outcome.has_value(); }));
        EXPECT_EQ(outcome->error().kind, error_kind::unavailable);
    }

    // Guards against a watch that waits for ever on a connection that has gone silent, and against changes that the
    // second connection repeats.
    TEST_F(http_test, silentWatchIsOpenedAgain)
    {
        const auto client = connect(20ms);
        std::vector<std::string> seen;
        client->port().watch("w/", { m_server->state().head() + 1 }, [&](const store_watch_event& event) {
            const auto* changes = std::get_if<store_changes>(&event);
            seen.push_back(changes == nullptr ? "ended" : changes->changes.front().entry.value);
        });
        m_server->inject({ .fault = store_fault::watchBehind });
        ASSERT_TRUE(waitUntil([&] { return m_server->counters().watches >= 4; }));
        EXPECT_TRUE(seen.empty());
        ASSERT_TRUE(m_server->state().apply(store_txn { .writes = { store_put { "w/a", "1" } } }, time_point()));
        m_server->inject({ .fault = store_fault::watchBehind, .active = false });
        const std::uint64_t opened = m_server->counters().watches;
        ASSERT_TRUE(waitUntil([&] { return !seen.empty() && m_server->counters().watches > opened + 2; }));
        EXPECT_EQ(seen, std::vector<std::string> { "1" });
    }

    // Guards against a callback that runs into a destroyed owner, and against a client that cannot be stopped.
    TEST_F(http_test, destructionDropsCallbacks)
    {
        auto client = connect();
        m_server->inject({ .fault = store_fault::slow, .amount = 1h });
        bool isCalled = false;
        client->port().call(m_put, 1h, [&](const result<store_reply>&, store_era) { isCalled = true; });
        client->port().watch("w/", { 0 }, [&](const store_watch_event&) { isCalled = true; });
        ASSERT_TRUE(waitUntil([&] { return m_server->counters().writes == 1 && m_server->counters().watches == 1; }));
        client.reset();
        EXPECT_FALSE(isCalled);
    }

    // Guards against a client and a stand-in that agree with each other but not with the published protocol. The
    // messages are of the form that the protocol's documentation gives.
    TEST(gateway, readsPublishedMessages)
    {
        const std::string header
            = R"("header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",)"
              R"("revision":"15","raft_term":"2"})";
        const std::string kv
            = R"({"key":"Zm9v","create_revision":"2","mod_revision":"13","version":"4","value":"YmFy"})";
        const auto range = parseReply(store_get { "foo" }, "{" + header + R"(,"kvs":[)" + kv + R"(],"count":"1"})");
        ASSERT_TRUE(range);
        const auto& entries = std::get<store_get_reply>(range->content).entries;
        ASSERT_EQ(entries.size(), 1U);
        EXPECT_EQ(entries[0].key + entries[0].value, "foobar");
        EXPECT_EQ(entries[0].modRevision, 13);
        EXPECT_EQ(std::get<store_get_reply>(range->content).head, 15);
        EXPECT_EQ(range->era, 12585971608760269493U);

        const auto lost = parseReply(store_txn {},
            "{" + header + R"(,"responses":[{"response_range":{)" + header + R"(,"kvs":[)" + kv + "]}}]}");
        ASSERT_TRUE(lost);
        EXPECT_FALSE(std::get<store_txn_reply>(lost->content).succeeded);
        EXPECT_EQ(std::get<store_txn_reply>(lost->content).current.size(), 1U);

        const auto alive = parseReply(
            store_lease_keep_alive { 7 }, R"({"result":{)" + header + R"(,"ID":"7587862072907233037","TTL":"60"}})");
        ASSERT_TRUE(alive);
        EXPECT_EQ(std::get<store_lease_reply>(alive->content).lease, 7587862072907233037);
        EXPECT_EQ(alive->era, range->era);

        const auto created = parseWatchMessage(R"({"result":{)" + header + R"(,"created":true}})");
        EXPECT_TRUE(created && created->created && !created->event);
        const auto event = parseWatchMessage(R"({"result":{)" + header + R"(,"events":[{"kv":)" + kv + "}]}}");
        ASSERT_TRUE(event && event->event);
        EXPECT_EQ(std::get<store_changes>(*event->event).revision, 13);
        const auto compacted
            = parseWatchMessage(R"({"result":{)" + header + R"(,"canceled":true,"compact_revision":"9"}})");
        ASSERT_TRUE(compacted && compacted->event);
        EXPECT_EQ(std::get<store_compacted>(*compacted->event).oldest, 10);
    }

    // Guards against errors that are read as certain when they are not, for whatever a proxy or a store may answer.
    TEST(gateway, readsErrors)
    {
        struct error_case {
            unsigned status;
            std::string body;
            error_kind write;
            error_kind read;
        };
        const auto unknown = error_kind::unknownOutcome;
        const auto unavailable = error_kind::unavailable;
        const std::vector<error_case> cases {
            { 503, R"({"message":"etcdserver: no leader","code":14})", unavailable, unavailable },
            { 503, R"({"message":"etcdserver: request timed out","code":14})", unknown, unavailable },
            { 504, R"({"message":"context deadline exceeded","code":4})", unknown, unavailable },
            { 429, R"({"message":"etcdserver: too many requests","code":8})", unavailable, unavailable },
            { 404, R"({"message":"etcdserver: requested lease not found","code":5})", error_kind::notFound,
                error_kind::notFound },
            { 502, "<html>", unknown, unavailable },
            { 500, "", unknown, unavailable },
            { 500, R"({"code":"x","message":5})", unknown, unavailable },
        };
        for (const error_case& each : cases) {
            EXPECT_EQ(parseError(store_txn {}, each.status, each.body).kind, each.write) << each.body;
            EXPECT_EQ(parseError(store_get {}, each.status, each.body).kind, each.read) << each.body;
        }
    }

    // Guards against messages that crash the stand-in or the client.
    TEST(gateway, refusesMalformedMessages)
    {
        for (const std::string body : { "", "{", "[]", "5", R"({"key":5})", R"({"mod_revision":"x"})", R"({"ID":"x"})",
                 R"({"success":[{}]})", R"({"success":5})", R"({"compare":[{"target":"VALUE"}]})", R"({"result":5})",
                 R"({"result":{"events":[{}]}})", R"({"create_request":{}})", R"({"kvs":[{"mod_revision":{}}]})" }) {
            for (const char* path : { "/v3/kv/range", "/v3/kv/txn", "/v3/kv/put", "/v3/lease/grant" }) {
                parseRequest(path, body);
            }
            parseReply(store_get {}, body);
            parseReply(store_txn {}, body);
            parseReply(store_lease_grant {}, body);
            parseWatchMessage(body);
            EXPECT_FALSE(parseWatch(body)) << body;
            EXPECT_FALSE(parseInjections(body)) << body;
        }
    }

} // namespace
} // namespace limpet
