#include "claim_record.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limpetcroft/ledger.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace limpet;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1000s };

// Guards against a second run of a repeated frame, in every state of the first.
TEST(AttemptLedger, ARepeatedFrameDoesNotRun)
{
    attempt_table ledger;
    const request_id id { 1, 2 };
    EXPECT_EQ(ledger.start(id, 1s, 0s, start), attempt_start_result::execute);
    EXPECT_EQ(ledger.start(id, 1s, 0s, start), attempt_start_result::duplicateRunning);
    EXPECT_EQ(ledger.query(id, start), attempt_state::running);
    ledger.finish(id, start + 1s);
    EXPECT_EQ(ledger.start(id, 1s, 0s, start + 2s), attempt_start_result::duplicateFinished);
    EXPECT_EQ(ledger.query(id, start + 2s), attempt_state::finished);
}

// Guards against a late frame that runs after its sender was told "never seen".
TEST(AttemptLedger, NeverSeenBlocks)
{
    attempt_table ledger;
    EXPECT_EQ(ledger.query({ 1, 2 }, start), attempt_state::notExecuted);
    EXPECT_EQ(ledger.start({ 1, 2 }, 1s, 0s, start + 1s), attempt_start_result::blocked);
    EXPECT_EQ(ledger.query({ 1, 2 }, start + 1s), attempt_state::notExecuted);
}

// Guards against frames whose deadline has passed, and against running what could have been forgotten.
TEST(AttemptLedger, LateFramesAreNotRun)
{
    attempt_table ledger({ .maxDeadline = 10s, .maxTransit = 5s });
    EXPECT_EQ(ledger.start({ 1, 1 }, 0s, 0s, start), attempt_start_result::expired);
    EXPECT_EQ(ledger.start({ 1, 2 }, 11s, 0s, start), attempt_start_result::expired);
    EXPECT_EQ(ledger.start({ 1, 3 }, 5s, 5s, start), attempt_start_result::expired);
    EXPECT_EQ(ledger.size(), 0U);
}

// Guards against early forgetting when the memory is full, and against a false "never seen" then.
TEST(AttemptLedger, AFullLedgerRefuses)
{
    attempt_table ledger({ .maxDeadline = 10s, .maxTransit = 5s, .capacity = 2 });
    EXPECT_EQ(ledger.start({ 1, 1 }, 1s, 0s, start), attempt_start_result::execute);
    EXPECT_EQ(ledger.start({ 1, 2 }, 1s, 0s, start), attempt_start_result::execute);
    EXPECT_EQ(ledger.start({ 1, 3 }, 1s, 0s, start), attempt_start_result::full);
    EXPECT_EQ(ledger.query({ 1, 4 }, start), attempt_state::unknown);
    ledger.finish({ 1, 1 }, start);
    EXPECT_EQ(ledger.start({ 1, 3 }, 1s, 0s, start + 16s), attempt_start_result::execute);
    EXPECT_EQ(ledger.query({ 1, 2 }, start + 16s), attempt_state::running);
}

// Guards against a second run for any order of frames, queries and waits within the stated bounds of age.
RC_GTEST_PROP(AttemptLedger, NoAttemptRunsTwice, ())
{
    const attempt_settings settings { .maxDeadline = 10s, .maxTransit = 5s, .capacity = 64 };
    attempt_table ledger(settings);
    struct attempt {
        time_point sent;
        int runs = 0;
        bool blocked = false;
    };
    std::map<std::uint64_t, attempt> attempts;
    time_point now = start;
    for (int i = 0; i < 200; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
        const auto number = *rc::gen::inRange<std::uint64_t>(0, 40);
        attempt& known = attempts.try_emplace(number, attempt { .sent = now }).first->second;
        const request_id id { 1, number };
        // A retransmission of the frame leaves while the deadline lasts and travels for any time.
        const duration age = std::min<duration>(now - known.sent, settings.maxDeadline - 1us);
        const duration transit = (now - known.sent) - age;
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            if (ledger.start(id, settings.maxDeadline - age, transit, now) == attempt_start_result::execute) {
                ++known.runs;
                RC_ASSERT(!known.blocked);
            }
            break;
        case 1:
            known.blocked |= ledger.query(id, now) == attempt_state::notExecuted;
            RC_ASSERT(!known.blocked || known.runs == 0 || now > known.sent + 15s);
            break;
        default:
            ledger.finish(id, now);
        }
        RC_ASSERT(known.runs <= 1);
        RC_ASSERT(ledger.size() <= settings.capacity);
    }
}

/// Nodes, callers and a store that loses replies, delays writes and has outages.
class claim_fleet {
public:
    struct execution {
        std::string key;
        std::uint64_t token = 0;
        std::size_t node = 0;
        time_point end;
    };

    claim_fleet(std::uint64_t seed, bool compares)
        : m_random(seed)
        , m_compares(compares)
    {
        for (std::size_t i = 0; i < 3; ++i)
            restart(i);
    }

    void restart(std::size_t index)
    {
        ++m_runs.at(index);
        m_tables.at(index) = std::make_unique<claim_table>(
            claim_settings { .self = { index + 1 }, .run = m_runs.at(index), .writesPerSecond = 100 }, m_random.next());
        std::erase_if(m_running, [&](const execution& each) { return each.node == index; });
        std::erase_if(m_waiting, [&](const auto& item) { return item.first.first == index; });
        std::vector<claim_owner> owners;
        for (std::size_t i = 0; i < 3; ++i)
            owners.push_back({ { i + 1 }, m_runs.at(i) });
        for (const auto& table : m_tables) {
            if (table)
                table->setLiveOwners(owners);
        }
    }

    void step()
    {
        m_now += 20ms;
        if (m_random.below(400) == 0)
            m_outageUntil = m_now + m_random.exponential(3s);
        if (m_random.below(300) == 0)
            restart(m_random.below(3));
        if (m_random.below(4) == 0)
            request();
        applyDue();
        for (std::size_t i = 0; i < 3; ++i) {
            std::vector<claim_action> actions;
            if (m_tables.at(i)->nextTimer() <= m_now)
                m_tables.at(i)->tick(m_now, actions);
            perform(i, actions);
        }
        finishDue();
    }

    int mostRuns() const
    {
        int most = 0;
        for (const auto& [key, runs] : m_ran)
            most = std::max(most, runs);
        return most;
    }
    std::map<claim_outcome, int> outcomes;
    bool wrongAnswer = false;

private:
    struct due_call {
        time_point at;
        std::function<void()> run;
    };

    void request()
    {
        const std::size_t node = m_random.below(3);
        const std::string key
            = "key" + std::to_string(m_now.time_since_epoch() / 10s) + "-" + std::to_string(m_random.below(6));
        const std::uint64_t token = ++m_token;
        m_waiting[{ node, token }] = key;
        std::vector<claim_action> actions;
        m_tables.at(node)->claim(token, "team", key, digestOf(key), m_now + 2s, m_now, actions);
        perform(node, actions);
    }

    void perform(std::size_t node, std::vector<claim_action>& actions)
    {
        for (const claim_action& action : actions) {
            if (const auto* call = std::get_if<store_call>(&action))
                callStore(node, *call);
            else
                resolved(node, std::get<claim_result>(action));
        }
    }

    void resolved(std::size_t node, const claim_result& resolved)
    {
        const auto found = m_waiting.find({ node, resolved.token });
        ASSERT_NE(found, m_waiting.end());
        ++outcomes[resolved.outcome];
        if (resolved.outcome == claim_outcome::execute)
            m_running.push_back({ found->second, resolved.token, node, m_now + m_random.exponential(500ms) });
        if (resolved.outcome == claim_outcome::completed)
            wrongAnswer |= *resolved.response->body != "answer of " + found->second;
        // A request counts as run from here on, unless it is released.
        if (resolved.outcome == claim_outcome::execute)
            ++m_ran[found->second];
        m_waiting.erase(found);
    }

    void finishDue()
    {
        for (auto each = m_running.begin(); each != m_running.end();) {
            if (each->end > m_now) {
                ++each;
                continue;
            }
            const execution done = *each;
            each = m_running.erase(each);
            std::vector<claim_action> actions;
            claim_table& table = *m_tables.at(done.node);
            switch (m_random.below(4)) {
            case 0:
                --m_ran[done.key];
                table.release(done.token, m_now, actions);
                break;
            case 1:
                table.abandon(done.token, m_now);
                break;
            default:
                table.complete(done.token, { 200, "text/plain", makeBytes("answer of " + done.key) }, m_now, actions);
            }
            perform(done.node, actions);
        }
    }

    void callStore(std::size_t node, const store_call& call)
    {
        const bool late = m_random.below(20) == 0;
        const duration travel = late ? duration(m_random.below(1500000)) : duration(2000);
        m_calls.push_back({ m_now + travel, [this, node, call, late, run = m_runs.at(node)] {
                               result<store_reply> reply = fail(error_kind::unavailable, "outage");
                               if (m_now >= m_outageUntil)
                                   reply = apply(call.operation);
                               if (late || m_random.below(10) == 0)
                                   reply = fail(error_kind::unknownOutcome, "reply lost");
                               if (m_runs.at(node) != run)
                                   return;
                               std::vector<claim_action> actions;
                               m_tables.at(node)->storeResult({ call.token, reply }, m_now, actions);
                               perform(node, actions);
                           } });
    }

    store_reply apply(const store_operation& operation)
    {
        if (std::holds_alternative<store_lease_grant>(operation))
            return store_lease_reply { ++m_head, 1h };
        if (const auto* get = std::get_if<store_get>(&operation)) {
            store_get_reply reply { .head = m_head };
            if (m_store.contains(get->key))
                reply.entries.push_back(m_store[get->key]);
            return reply;
        }
        const auto& txn = std::get<store_txn>(operation);
        const store_compare& compare = txn.compares.front();
        const auto found = m_store.find(compare.key);
        const store_revision revision = found == m_store.end() ? 0 : found->second.modRevision;
        if (m_compares && revision != compare.modRevision) {
            store_txn_reply reply { .head = m_head };
            if (found != m_store.end())
                reply.current.push_back(found->second);
            return reply;
        }
        ++m_head;
        if (const auto* put = std::get_if<store_put>(&txn.writes.front()))
            m_store[put->key] = { put->key, put->value, m_head, put->lease };
        else
            m_store.erase(compare.key);
        return store_txn_reply { .succeeded = true, .head = m_head };
    }

    void applyDue()
    {
        std::vector<due_call> due;
        std::erase_if(m_calls, [&](due_call& call) {
            if (call.at > m_now)
                return false;
            due.push_back(std::move(call));
            return true;
        });
        for (const due_call& call : due)
            call.run();
    }

    random_source m_random;
    bool m_compares;
    time_point m_now = start;
    time_point m_outageUntil;
    std::array<incarnation, 3> m_runs {};
    std::array<std::unique_ptr<claim_table>, 3> m_tables;
    std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_waiting;
    std::vector<execution> m_running;
    std::map<std::string, int> m_ran;
    std::vector<due_call> m_calls;
    std::map<std::string, store_entry> m_store;
    store_revision m_head = 0;
    std::uint64_t m_token = 0;
};

// Guards against two runs under one key with lost replies, late writes, outages and restarted nodes.
TEST(ClaimTable, OneRunForEachKey)
{
    std::map<claim_outcome, int> outcomes;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        claim_fleet fleet(seed, true);
        for (int i = 0; i < 6000; ++i)
            fleet.step();
        EXPECT_LE(fleet.mostRuns(), 1) << "seed " << seed;
        EXPECT_FALSE(fleet.wrongAnswer) << "seed " << seed;
        for (const auto& [outcome, count] : fleet.outcomes)
            outcomes[outcome] += count;
    }
    EXPECT_GT(outcomes[claim_outcome::execute], 500);
    EXPECT_GT(outcomes[claim_outcome::completed], 500);
    EXPECT_GT(outcomes[claim_outcome::inProgress], 10);
    EXPECT_GT(outcomes[claim_outcome::abandoned], 100);
}

// Shows that the check above finds a store that writes without its compares.
TEST(ClaimTable, TheCheckFindsTwoRuns)
{
    claim_fleet fleet(1, false);
    for (int i = 0; i < 6000; ++i)
        fleet.step();
    EXPECT_GT(fleet.mostRuns(), 1);
}

claim_outcome only(const std::vector<claim_action>& actions)
{
    return actions.empty() ? claim_outcome::execute : std::get<claim_result>(actions.back()).outcome;
}

// Guards against content mixed up under one key, an unbounded write rate, and a body that outgrows the store.
TEST(ClaimTable, MismatchRateAndBounds)
{
    claim_table table({ .self = { 1 }, .run = 1, .writesPerSecond = 1, .writeBurst = 4 }, 1);
    std::vector<claim_action> actions;
    table.claim(1, "a", "k", digestOf("x"), start + 1s, start, actions);
    actions.clear();
    table.claim(2, "a", "k", digestOf("y"), start + 1s, start, actions);
    EXPECT_EQ(only(actions), claim_outcome::mismatch);
    actions.clear();
    table.claim(3, "a", "k", digestOf("x"), start + 1s, start, actions);
    EXPECT_EQ(only(actions), claim_outcome::inProgress);
    table.claim(4, "a", "k2", digestOf("x"), start + 1s, start, actions);
    actions.clear();
    table.claim(5, "a", "k3", digestOf("x"), start + 1s, start, actions);
    EXPECT_EQ(only(actions), claim_outcome::unavailable);
    EXPECT_NE(claimKey("a", "bc"), claimKey("ab", "c"));
}

// Guards against reads outside of damaged records, and fields lost in the store.
RC_GTEST_PROP(ClaimRecord, KeepsFieldsAndRefusesDamage, ())
{
    claim_record record {
        .owner = { 5 }, .run = 6, .mark = 7, .fingerprint = digestOf("x"), .phase = claim_phase::answered
    };
    record.answer = { 201, "a/b", makeBytes(*rc::gen::arbitrary<std::string>()), false };
    std::string bytes = encode(record);
    const auto parsed = parseClaimRecord(bytes);
    RC_ASSERT(parsed && *parsed->answer.body == *record.answer.body && parsed->fingerprint == record.fingerprint);
    RC_ASSERT(parsed->answer.status == 201 && parsed->mark == 7U);
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    (void)parseClaimRecord(bytes);
}

} // namespace
