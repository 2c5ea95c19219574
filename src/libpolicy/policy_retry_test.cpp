#include <gtest/gtest.h>
#include <limpetcroft/policy.h>
#include <rapidcheck.h>

namespace limpet {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point now { seconds(1) };

    request_context idempotentCall()
    {
        request_context context;
        context.team = "a";
        context.remaining = seconds(10);
        return context;
    }

    const failed_attempt connectionLost { .reason = refusal_reason::connectionLost, .run = execution_state::unknown };

    /// Runs a random call tree, in which attempts fail, lose their reply or call children. Returns the number of extra
    /// attempts.
    unsigned makeExtraAttempts(attempt_budget& budget, retry_policy& policy, random_source& random, unsigned depth)
    {
        unsigned extra = 0;
        for (std::uint8_t attemptsMade = 1;; ++attemptsMade) {
            for (auto children = depth < 4 ? random.below(3) : 0; children > 0; --children) {
                const auto share = budget.takeShare();
                attempt_budget childBudget(share);
                extra += makeExtraAttempts(childBudget, policy, random, depth + 1);
                if (random.below(4) > 0) // otherwise the reply is lost
                    budget.returnUnused(share, childBudget.remaining());
            }
            if (random.below(2) == 0)
                return extra;
            auto failure = connectionLost;
            failure.attemptsMade = attemptsMade;
            if (!policy.decide(idempotentCall(), "s", failure, budget, now, random).retry)
                return extra;
            ++extra;
        }
    }

    // Guards against a number of retries that multiplies with each hop (I1).
    TEST(attemptBudget, boundsTheWholeTree)
    {
        EXPECT_TRUE(rc::check([](std::uint64_t seed, std::uint8_t extra) {
            random_source random(seed);
            retry_policy policy({ .reserve = 1e6, .burst = 1e6 });
            attempt_budget budget(extra % 20);
            RC_ASSERT(makeExtraAttempts(budget, policy, random, 0) <= extra % 20U);
        }));
    }

    // Guards against a reply that adds attempts to the tree by claiming more unused attempts than its share.
    TEST(attemptBudget, neverGrowsByReturnedAttempts)
    {
        attempt_budget budget(3);
        const auto share = budget.takeShare();
        EXPECT_EQ(share, 2);
        budget.returnUnused(share, 200);
        EXPECT_EQ(budget.remaining(), 3);
    }

    // Guards against a retry storm towards a failing destination, and against a pair of team and service that uses the
    // extra attempts of another pair.
    TEST(retryPolicy, boundsTheRatioForEachTeamAndService)
    {
        retry_policy policy;
        random_source random(1);
        int retries = 0;
        for (int call = 0; call < 1000; ++call) {
            policy.countFirstAttempt("a", "s", now);
            attempt_budget budget(defaultExtraAttempts);
            retries += policy.decide(idempotentCall(), "s", connectionLost, budget, now, random).retry ? 1 : 0;
        }
        EXPECT_LE(retries, 102);
        EXPECT_GE(retries, 95);
        attempt_budget budget(defaultExtraAttempts);
        EXPECT_TRUE(policy.decide(idempotentCall(), "other", connectionLost, budget, now, random).retry);
    }

    // Guards against a second execution of a non-idempotent request (I9), and against attempts that cannot succeed.
    TEST(retryPolicy, retriesOnlyWhatIsSafeAndUseful)
    {
        struct row {
            refusal_reason reason;
            execution_state run;
            bool idempotent;
            bool expected;
        };
        for (const auto& row : {
                 row { refusal_reason::connectionLost, execution_state::unknown, true, true },
                 row { refusal_reason::connectionLost, execution_state::unknown, false, false },
                 row { refusal_reason::connectionLost, execution_state::notExecuted, false, true },
                 row { refusal_reason::overloaded, execution_state::notExecuted, true, true },
                 row { refusal_reason::deadlineExceeded, execution_state::notExecuted, true, false },
                 row { refusal_reason::keyInvalid, execution_state::notExecuted, true, false },
                 row { refusal_reason::malformed, execution_state::notExecuted, true, false },
             })
            EXPECT_EQ(retryable(row.reason, row.run, row.idempotent), row.expected) << name(row.reason);
    }

    // Guards against retries of a call that a downstream node has reported as final, and against waits beyond the
    // deadline.
    TEST(retryPolicy, stopsOnFinalRepliesAndLateDeadlines)
    {
        retry_policy policy;
        random_source random(1);
        attempt_budget budget(defaultExtraAttempts);
        auto failure = connectionLost;
        failure.isFinal = true;
        EXPECT_TRUE(policy.decide(idempotentCall(), "s", failure, budget, now, random).markFinal);
        failure.isFinal = false;
        failure.retryAfter = seconds(11);
        EXPECT_FALSE(policy.decide(idempotentCall(), "s", failure, budget, now, random).retry);
        EXPECT_EQ(budget.remaining(), defaultExtraAttempts);
    }

    // Guards against synchronised retries of several callers.
    TEST(retryPolicy, backsOffExponentiallyWithJitter)
    {
        random_source random(1);
        const retry_options options;
        for (unsigned attempt = 1; attempt < 40; ++attempt) {
            const auto full = std::min<duration>(
                options.initialBackoff * (std::int64_t { 1 } << std::min(attempt - 1, 20U)), options.maxBackoff);
            const auto wait = backoff(options, attempt, random);
            EXPECT_GE(wait, full / 2);
            EXPECT_LE(wait, full);
        }
        EXPECT_NE(backoff(options, 5, random), backoff(options, 5, random));
    }

} // namespace
} // namespace limpet
