#include "store_rig.h"

#include <ostream>

namespace limpet {
namespace {

    using namespace std::chrono_literals;

    // What a watch has delivered so far, as short words.
    struct watch_log {
        std::vector<std::string> seen;
        store_revision next = 0;
        store_revision oldest = 0;

        void start(store_rig& rig, const std::string& prefix, store_revision from)
        {
            next = from;
            id = rig.port().watch(prefix, { from, rig.state().era() }, [this](const store_watch_event& event) {
                if (const auto* changes = std::get_if<store_changes>(&event)) {
                    for (const store_change& change : changes->changes) {
                        seen.push_back((change.erased ? "-" : "+") + change.entry.key + change.entry.value);
                    }
                    next = changes->revision + 1;
                } else if (const auto* compacted = std::get_if<store_compacted>(&event)) {
                    oldest = compacted->oldest;
                    seen.emplace_back("compacted");
                } else {
                    seen.emplace_back("interrupted");
                }
            });
        }
        bool waitFor(store_rig& rig, std::size_t count) const
        {
            return rig.waitUntil([&] { return seen.size() >= count; });
        }
        store_watch_id id = 0;
    };

    /// Returns the era that a reply carries.
    store_era eraOf(store_rig& rig)
    {
        std::optional<store_era> received;
        rig.port().call(store_get { "k" }, 10s, [&](const result<store_reply>&, store_era era) { received = era; });
        EXPECT_TRUE(rig.waitUntil([&] { return received.has_value(); }));
        return received.value_or(0);
    }

    using words = std::vector<std::string>;

    store_txn_reply txnReply(const result<store_reply>& reply)
    {
        return reply ? std::get<store_txn_reply>(*reply) : store_txn_reply {};
    }
    store_lease_reply leaseReply(const result<store_reply>& reply)
    {
        return reply ? std::get<store_lease_reply>(*reply) : store_lease_reply {};
    }
    error_kind kindOf(const result<store_reply>& reply) { return reply ? error_kind::internal : reply.error().kind; }

    struct contract_case {
        const char* name;
        const char* guardsAgainst;
        void (*run)(store_rig&);
    };
    std::ostream& operator<<(std::ostream& out, const contract_case& each) { return out << each.guardsAgainst; }

    const std::vector<contract_case> cases {
        { "bytes", "keys or values that lose bytes in base64 or JSON",
            [](store_rig& rig) {
                const std::string odd("\0\xff\"\\\n/", 6);
                ASSERT_TRUE(rig.put("odd" + odd, odd + odd));
                EXPECT_EQ(rig.valueOf("odd" + odd), odd + odd);
                ASSERT_TRUE(rig.put("empty", ""));
                EXPECT_EQ(rig.valueOf("empty"), "");
            } },
        { "prefix", "a prefix read that runs into neighbouring keys or loses the order",
            [](store_rig& rig) {
                for (const char* key : { "b\xff", "b/2", "a", "b/1", "c" }) {
                    ASSERT_TRUE(rig.put(key, "v"));
                }
                const auto reply = rig.run(store_get { "b", true });
                ASSERT_TRUE(reply);
                const auto& get = std::get<store_get_reply>(*reply);
                words keys;
                for (const store_entry& entry : get.entries) {
                    keys.push_back(entry.key);
                }
                EXPECT_EQ(keys, (words { "b/1", "b/2", "b\xff" }));
                EXPECT_EQ(get.head, rig.state().head());
            } },
        { "compareAndSwap", "two writers that both win, and a loser that is not told what is there",
            [](store_rig& rig) {
                const store_txn create { { { "k", 0 } }, { store_put { "k", "first" }, store_put { "k2", "x" } } };
                const auto won = txnReply(rig.run(create));
                ASSERT_TRUE(won.succeeded);
                const store_txn other { { { "k", 0 } }, { store_put { "k", "second" }, store_put { "k3", "y" } } };
                const auto lost = txnReply(rig.run(other));
                EXPECT_FALSE(lost.succeeded);
                ASSERT_EQ(lost.current.size(), 1U);
                EXPECT_EQ(lost.current.front().value, "first");
                EXPECT_EQ(lost.current.front().modRevision, won.head);
                EXPECT_EQ(rig.valueOf("k3"), std::nullopt);
                const store_txn next { { { "k", won.head } }, { store_put { "k", "third" }, store_erase { "k2" } } };
                EXPECT_TRUE(txnReply(rig.run(next)).succeeded);
                EXPECT_EQ(rig.valueOf("k2"), std::nullopt);
            } },
        { "refusals", "a request that breaks the store's rules and yet takes effect",
            [](store_rig& rig) {
                EXPECT_EQ(kindOf(rig.put("large", std::string(maxStoreValue + 1, 'x'))), error_kind::tooLarge);
                const store_txn twice { {}, { store_put { "k", "1" }, store_put { "k", "2" } } };
                EXPECT_EQ(kindOf(rig.run(twice)), error_kind::invalidArgument);
                const store_txn noLease { {}, { store_put { "k", "1", 12345 } } };
                EXPECT_EQ(kindOf(rig.run(noLease)), error_kind::notFound);
                EXPECT_EQ(rig.valueOf("k"), std::nullopt);
            } },
        { "lease", "keys that outlive a revoked lease",
            [](store_rig& rig) {
                const auto lease = leaseReply(rig.run(store_lease_grant { 60s }));
                EXPECT_EQ(lease.timeToLive, 60s);
                ASSERT_TRUE(rig.run(store_txn { .writes = { store_put { "held", "x", lease.lease } } }));
                EXPECT_EQ(leaseReply(rig.run(store_lease_keep_alive { lease.lease })).timeToLive, 60s);
                ASSERT_TRUE(rig.run(store_lease_revoke { lease.lease }));
                EXPECT_EQ(rig.valueOf("held"), std::nullopt);
                EXPECT_EQ(kindOf(rig.run(store_lease_revoke { lease.lease })), error_kind::notFound);
            } },
        { "watch", "changes that are missed, repeated, out of order or of other keys",
            [](store_rig& rig) {
                ASSERT_TRUE(rig.put("w/old", "0"));
                const store_revision from = rig.state().head() + 1;
                ASSERT_TRUE(rig.put("w/a", "1"));
                watch_log log;
                log.start(rig, "w/", from);
                ASSERT_TRUE(rig.put("other", "2"));
                ASSERT_TRUE(rig.put("w/a", "3"));
                ASSERT_TRUE(rig.run(store_txn { .writes = { store_erase { "w/a" }, store_put { "w/b", "4" } } }));
                ASSERT_TRUE(log.waitFor(rig, 4));
                EXPECT_EQ(log.seen, (words { "+w/a1", "+w/a3", "-w/a", "+w/b4" }));
                EXPECT_EQ(log.next, rig.state().head() + 1);
                rig.port().unwatch(log.id);
            } },
        { "unwatch", "a callback that runs after its watch has ended",
            [](store_rig& rig) {
                watch_log ended;
                watch_log kept;
                ended.start(rig, "w/", rig.state().head() + 1);
                kept.start(rig, "w/", rig.state().head() + 1);
                rig.port().unwatch(ended.id);
                ASSERT_TRUE(rig.put("w/a", "1"));
                ASSERT_TRUE(kept.waitFor(rig, 1));
                EXPECT_EQ(ended.seen, words {});
                rig.port().unwatch(kept.id);
            } },
        { "down", "a refused write that is reported as possibly done, and a watch that waits for ever",
            [](store_rig& rig) {
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                ASSERT_TRUE(rig.put("w/a", "1"));
                ASSERT_TRUE(log.waitFor(rig, 1));
                rig.inject({ .fault = store_fault::down });
                EXPECT_EQ(kindOf(rig.put("k", "v")), error_kind::unavailable);
                EXPECT_EQ(kindOf(rig.run(store_get { "k" })), error_kind::unavailable);
                ASSERT_TRUE(log.waitFor(rig, 2));
                EXPECT_EQ(log.seen.back(), "interrupted");
                rig.inject({ .fault = store_fault::down, .active = false });
                EXPECT_EQ(rig.valueOf("k"), std::nullopt);
            } },
        { "watchWhileDown", "a watch on a store that is down which reports nothing",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::down });
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                ASSERT_TRUE(log.waitFor(rig, 1));
                EXPECT_EQ(log.seen, words { "interrupted" });
            } },
        { "slow", "a late write that is reported as not done, and a read that hangs",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::slow, .amount = 200ms });
                EXPECT_EQ(kindOf(rig.run(store_txn { .writes = { store_put { "k", "v" } } }, 20ms)),
                    error_kind::unknownOutcome);
                EXPECT_EQ(kindOf(rig.run(store_get { "k" }, 20ms)), error_kind::unavailable);
                rig.inject({ .fault = store_fault::slow, .active = false });
                EXPECT_TRUE(rig.waitUntil([&] { return rig.valueOf("k") == "v"; }));
            } },
        { "replyLost", "a write that took effect and is reported as failed",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::replyLost });
                const store_txn create { { { "k", 0 } }, { store_put { "k", "v" } } };
                EXPECT_EQ(kindOf(rig.run(create, 500ms)), error_kind::unknownOutcome);
                EXPECT_EQ(rig.valueOf("k"), "v");
                const auto repeated = txnReply(rig.run(create));
                EXPECT_FALSE(repeated.succeeded);
            } },
        { "requestLost", "a lost request that is reported as done or as certainly not done",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::requestLost });
                EXPECT_EQ(kindOf(rig.run(store_txn { .writes = { store_put { "k", "v" } } }, 500ms)),
                    error_kind::unknownOutcome);
                EXPECT_EQ(rig.valueOf("k"), std::nullopt);
            } },
        { "watchDropped", "changes lost between the end of one watch and the start of the next",
            [](store_rig& rig) {
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                ASSERT_TRUE(rig.put("w/a", "1"));
                ASSERT_TRUE(log.waitFor(rig, 1));
                rig.inject({ .fault = store_fault::watchDropped });
                ASSERT_TRUE(log.waitFor(rig, 2));
                ASSERT_TRUE(rig.put("w/a", "2"));
                log.start(rig, "w/", log.next);
                ASSERT_TRUE(log.waitFor(rig, 3));
                EXPECT_EQ(log.seen, (words { "+w/a1", "interrupted", "+w/a2" }));
                rig.port().unwatch(log.id);
            } },
        { "watchBehind", "a late watch that skips changes",
            [](store_rig& rig) {
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                rig.inject({ .fault = store_fault::watchBehind });
                ASSERT_TRUE(rig.put("w/a", "1"));
                ASSERT_TRUE(rig.put("w/a", "2"));
                EXPECT_EQ(rig.valueOf("w/a"), "2");
                EXPECT_EQ(log.seen, words {});
                rig.inject({ .fault = store_fault::watchBehind, .active = false });
                ASSERT_TRUE(log.waitFor(rig, 2));
                EXPECT_EQ(log.seen, (words { "+w/a1", "+w/a2" }));
                rig.port().unwatch(log.id);
            } },
        { "compaction", "a watch that silently skips compacted changes",
            [](store_rig& rig) {
                const store_revision from = rig.state().head() + 1;
                ASSERT_TRUE(rig.put("w/a", "1"));
                rig.inject({ .fault = store_fault::compaction });
                watch_log log;
                log.start(rig, "w/", from);
                ASSERT_TRUE(log.waitFor(rig, 1));
                EXPECT_EQ(log.seen, words { "compacted" });
                ASSERT_EQ(log.oldest, rig.state().head() + 1);
                log.start(rig, "w/", log.oldest);
                ASSERT_TRUE(rig.put("w/a", "2"));
                ASSERT_TRUE(log.waitFor(rig, 2));
                EXPECT_EQ(log.seen.back(), "+w/a2");
                rig.port().unwatch(log.id);
            } },
        { "restoredFromCopy", "a revision or a lease of the store before it was restored that is used with it",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::copy });
                const auto lease = leaseReply(rig.run(store_lease_grant { 60s })).lease;
                ASSERT_TRUE(rig.put("w/a", "lost"));
                const auto before = eraOf(rig);
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                rig.inject({ .fault = store_fault::restore });
                EXPECT_EQ(rig.valueOf("w/a"), std::nullopt);
                EXPECT_GT(eraOf(rig), before);
                EXPECT_EQ(leaseReply(rig.run(store_lease_grant { 60s })).lease, lease);
                for (const auto* value : { "1", "2", "3" })
                    ASSERT_TRUE(rig.put("w/a", value));
                ASSERT_TRUE(log.waitFor(rig, 1));
                EXPECT_EQ(log.seen, words { "interrupted" });
            } },
        { "leaseExpired", "a holder that was paused and believes that it still holds its lease",
            [](store_rig& rig) {
                const auto lease = leaseReply(rig.run(store_lease_grant { 60s }));
                ASSERT_TRUE(rig.run(store_txn { .writes = { store_put { "w/held", "x", lease.lease } } }));
                watch_log log;
                log.start(rig, "w/", rig.state().head() + 1);
                // The store's clock jumps while the holder sends nothing.
                rig.inject({ .fault = store_fault::clockJump, .amount = 61s });
                ASSERT_TRUE(log.waitFor(rig, 1));
                EXPECT_EQ(log.seen, words { "-w/held" });
                EXPECT_EQ(leaseReply(rig.run(store_lease_keep_alive { lease.lease })).timeToLive, 0s);
                const store_txn late { .writes = { store_put { "w/held", "y", lease.lease } } };
                EXPECT_EQ(kindOf(rig.run(late)), error_kind::notFound);
                rig.port().unwatch(log.id);
            } },
        { "twoFaults", "a repeated compare-and-swap that takes effect twice when replies are lost twice",
            [](store_rig& rig) {
                rig.inject({ .fault = store_fault::replyLost, .count = 2 });
                rig.inject({ .fault = store_fault::slow, .amount = 50ms });
                const store_revision before = rig.state().head();
                const store_txn create { { { "k", 0 } }, { store_put { "k", "v" } } };
                EXPECT_EQ(kindOf(rig.run(create, 500ms)), error_kind::unknownOutcome);
                EXPECT_EQ(kindOf(rig.run(create, 500ms)), error_kind::unknownOutcome);
                EXPECT_FALSE(txnReply(rig.run(create)).succeeded);
                EXPECT_EQ(rig.state().head(), before + 1);
            } },
    };

    class store_contract : public testing::TestWithParam<std::tuple<rig_kind, contract_case>> { };

    TEST_P(store_contract, holds)
    {
        const auto rig = makeRig(std::get<0>(GetParam()));
        std::get<1>(GetParam()).run(*rig);
    }

    INSTANTIATE_TEST_SUITE_P(store, store_contract,
        testing::Combine(testing::Values(rig_kind::fake, rig_kind::http), testing::ValuesIn(cases)),
        [](const testing::TestParamInfo<store_contract::ParamType>& info) {
            const std::string kind = std::get<0>(info.param) == rig_kind::fake ? "fake_" : "http_";
            return kind + std::get<1>(info.param).name;
        });

} // namespace
} // namespace limpet
