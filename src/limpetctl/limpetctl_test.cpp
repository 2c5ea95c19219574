#include "ctl.h"
#include "usage.h"

#include <fstream>
#include <gmock/gmock.h>
#include <sstream>

namespace limpet {
namespace {

    using testing::HasSubstr;
    using namespace std::chrono_literals;

    constexpr auto rulesA = "team planners rate 200/s burst 400  # requested by Aino Salo\n";
    constexpr auto rulesB = "team planners rate 300/s burst 400  # requested by Aino Salo\n";
    constexpr auto rulesWithoutTeam = "# no teams\n";

    class ctl_test : public testing::Test {
    protected:
        void pass(duration time) { m_store.advance(m_store.now() + time); }

        ctl_environment makeEnvironment()
        {
            return {
                .store = config_client(m_store.port(), 500ms),
                .wait =
                    [this](const std::function<bool()>& condition) {
                        while (!condition()) {
                            pass(1ms);
                        }
                    },
                .sleep =
                    [this](duration time) {
                        pass(time);
                        if (m_onSleep) {
                            m_onSleep();
                        }
                    },
                .utcNow = [] { return "2026-01-31T12:00:00Z"; },
                .randomHex = [this](std::size_t) { return "r" + std::to_string(m_random++); },
                .askNode =
                    [this](const std::string& method, const socket_address&, const std::string& path) {
                        m_asked.push_back(method + " " + path);
                        return m_answer;
                    },
            };
        }
        command_result apply(const std::string& text, std::optional<revision> base = std::nullopt)
        {
            return applyRules(m_environment, { "file", text, { "aino", "why" }, base });
        }
        configuration current() { return readConfiguration(m_environment).value().config; }

        fake_store m_store;
        int m_random = 0;
        std::function<void()> m_onSleep;
        std::vector<std::string> m_asked;
        result<node_answer> m_answer = node_answer { 200, "{}" };
        ctl_environment m_environment = makeEnvironment();
    };

    // Guards against an invalid file that reaches the store, and against a problem without its place.
    TEST_F(ctl_test, refusesInvalidRules)
    {
        const command_result report = apply("team planners\n");
        EXPECT_EQ(report.exitCode, exitRefused);
        EXPECT_THAT(report.text, HasSubstr("file:1:"));
        EXPECT_EQ(checkRules("file", "team planners\n").exitCode, exitRefused);
        EXPECT_EQ(checkRules("file", rulesA).exitCode, exitDone);
        EXPECT_EQ(current().number, 0U);
    }

    // Guards against a delta or document that the nodes cannot read, and against other store keys than the nodes watch.
    TEST_F(ctl_test, nodesCanFollowTheChanges)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        const configuration first = current();
        ASSERT_EQ(apply(rulesB).exitCode, exitDone);
        result<store_reply> reply;
        m_store.port().call(
            store_get { deltaKey(2) }, 1s, [&](result<store_reply> got, store_era) { reply = std::move(got); });
        pass(1s);
        const auto& entries = std::get<store_get_reply>(*reply).entries;
        ASSERT_EQ(entries.size(), 1U);
        EXPECT_EQ(applyDelta(first, entries.front().value), current());
    }

    // Guards against a repeated apply that makes a new revision out of nothing.
    TEST_F(ctl_test, sameTextChangesNothing)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        EXPECT_EQ(apply(rulesA).json.at("outcome"), "unchanged");
        EXPECT_EQ(current().number, 1U);
    }

    // Guards against an operator who overwrites a change that came after the diff that was looked at.
    TEST_F(ctl_test, refusesAnotherBase)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        EXPECT_EQ(apply(rulesB, 0).exitCode, exitNotApplied);
        EXPECT_EQ(apply(rulesB, 1).exitCode, exitDone);
    }

    // Guards against a loser of a race who is not told who changed what.
    TEST_F(ctl_test, loserIsToldWhatChanged)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        const stored_configuration base = readConfiguration(m_environment).value();
        ASSERT_EQ(apply(rulesB).exitCode, exitDone);
        const command_result report = writeConfiguration(m_environment, base, base.config, rulesA, { "pekka", "" }, "");
        EXPECT_EQ(report.exitCode, exitNotApplied);
        EXPECT_THAT(report.text, HasSubstr("revision 2 by aino"));
        EXPECT_THAT(report.text, HasSubstr("+ team planners rate 300/s"));
    }

    struct fault_case {
        const char* name;
        store_injection injection;
        int exitCode;
        revision after;
    };

    // Guards against a statement about a change that is not true.
    TEST_F(ctl_test, tellsTheTruthUnderFaults)
    {
        const std::vector<fault_case> cases {
            { "replies lost", { .fault = store_fault::replyLost, .count = 4 }, exitDone, 1 },
            { "requests lost", { .fault = store_fault::requestLost, .count = 4 }, exitDone, 1 },
            { "down", { .fault = store_fault::down }, exitNotApplied, 0 },
            { "all replies lost", { .fault = store_fault::replyLost, .count = 100 }, exitUnknown, 1 },
            { "all requests lost", { .fault = store_fault::requestLost, .count = 100 }, exitUnknown, 0 },
        };
        for (const fault_case& each : cases) {
            const revision before = current().number;
            m_store.inject(each.injection);
            const command_result report = apply(before % 2 == 0 ? rulesA : rulesB);
            m_store.inject({ .fault = store_fault::down, .active = false });
            m_store.inject({ .fault = store_fault::replyLost, .count = 0 });
            m_store.inject({ .fault = store_fault::requestLost, .count = 0 });
            EXPECT_EQ(report.exitCode, each.exitCode) << each.name;
            EXPECT_EQ(current().number - before, each.after) << each.name;
            if (report.exitCode == exitUnknown) {
                const std::string mark = report.json.at("mark");
                EXPECT_THAT(report.text, HasSubstr("limpetctl outcome " + std::to_string(before + 1) + " " + mark));
                const command_result found = findOutcome(m_environment, before + 1, mark);
                EXPECT_EQ(found.exitCode, each.after == 1 ? exitDone : exitUnknown) << each.name;
            }
        }
        const command_result other = findOutcome(m_environment, 1, "other");
        EXPECT_EQ(other.exitCode, exitNotApplied);
    }

    // Guards against a revert that loses the text, or that brings back a withdrawn key.
    TEST_F(ctl_test, revertKeepsKeysWithdrawn)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        const std::string keyId = issueKey(m_environment, "planners", {}).json.at("key_id");
        ASSERT_EQ(withdrawKey(m_environment, keyId, {}).exitCode, exitDone);
        ASSERT_EQ(apply(rulesB).exitCode, exitDone);
        const command_result report = revertRules(m_environment, 2, { "pekka", "" });
        EXPECT_EQ(report.json.at("revision"), 5);
        EXPECT_EQ(showRules(m_environment, std::nullopt).json.at("rules"), rulesA);
        EXPECT_EQ(showRules(m_environment, 4).json.at("rules"), rulesB);
        EXPECT_TRUE(current().keys.empty());
        EXPECT_EQ(revertRules(m_environment, 9, {}).exitCode, exitRefused);
        EXPECT_EQ(showHistory(m_environment, 2).json.size(), 2U);
        EXPECT_THAT(showHistory(m_environment, 1).text, HasSubstr("revert to revision 2"));
    }

    // Guards against a key in the store, and against a rotation that leaves no overlap or too many keys.
    TEST_F(ctl_test, rotatesKeys)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        EXPECT_EQ(issueKey(m_environment, "unknown", {}).exitCode, exitRefused);
        EXPECT_EQ(rotateKey(m_environment, "planners", {}).exitCode, exitRefused);
        const command_result first = issueKey(m_environment, "planners", {});
        const command_result second = rotateKey(m_environment, "planners", {});
        EXPECT_EQ(issueKey(m_environment, "planners", {}).exitCode, exitRefused);
        const command_result third = rotateKey(m_environment, "planners", {});
        const configuration config = current();
        ASSERT_EQ(config.keys.size(), 2U);
        EXPECT_EQ(config.keys[0].keyId, second.json.at("key_id"));
        EXPECT_EQ(config.keys[1].value, digestOf(third.json.at("key").get<std::string>()));
        const std::string stored = readConfiguration(m_environment).value().document.text;
        EXPECT_THAT(stored, testing::Not(HasSubstr(third.json.at("key").get<std::string>())));
        EXPECT_EQ(withdrawKey(m_environment, first.json.at("key_id"), {}).exitCode, exitRefused);
    }

    // Guards against a key that outlives the rule of its team, and against a key that is lost with the reply.
    TEST_F(ctl_test, keyEndsWithItsTeam)
    {
        ASSERT_EQ(apply(rulesA).exitCode, exitDone);
        m_store.inject({ .fault = store_fault::replyLost, .count = 100 });
        const command_result issued = issueKey(m_environment, "planners", {});
        m_store.inject({ .fault = store_fault::replyLost, .count = 0 });
        EXPECT_EQ(issued.exitCode, exitUnknown);
        EXPECT_TRUE(issued.json.contains("key"));
        EXPECT_EQ(current().keys.size(), 1U);
        ASSERT_EQ(apply(rulesWithoutTeam).exitCode, exitDone);
        EXPECT_TRUE(current().keys.empty());
        EXPECT_THAT(showHistory(m_environment, 1).text, HasSubstr("withdraws key"));
    }

    // Guards against --wait that ends before the nodes have the revision, or that hides the lagging ones.
    TEST_F(ctl_test, waitsUntilInForce)
    {
        const command_result applied = apply(rulesA);
        m_answer
            = node_answer { 200, R"({"configuration":{"revision":1,"members":3,"in_force":2,"lagging":["stock-3"]}})" };
        const command_result late = waitInForce(m_environment, applied, {}, 2s);
        EXPECT_EQ(late.exitCode, exitNotInForce);
        EXPECT_THAT(late.text, HasSubstr("in force on 2 of 3 nodes; lagging: stock-3"));
        m_onSleep = [this] {
            m_answer = node_answer { 200, R"({"configuration":{"revision":1,"members":3,"in_force":3,"lagging":[]}})" };
        };
        const command_result done = waitInForce(m_environment, applied, {}, 2s);
        EXPECT_EQ(done.exitCode, exitDone);
        EXPECT_THAT(done.text, HasSubstr("in force on 3 of 3 nodes"));
        m_onSleep = nullptr;
        m_answer = fail(error_kind::unavailable, "no node");
        EXPECT_EQ(waitInForce(m_environment, applied, {}, 1s).exitCode, exitNotInForce);
    }

    // Guards against query values that change the meaning of the request, and against a refusal shown as success.
    TEST_F(ctl_test, asksTheNode)
    {
        m_answer = node_answer { 200, R"({"steps":["first","second"]})" };
        EXPECT_EQ(explainRoute(m_environment, {}, "GET", "/a b&team=x", "t").text, "first\nsecond\n");
        EXPECT_EQ(m_asked.back(), "GET /admin/explain?method=GET&path=%2Fa%20b%26team%3Dx&team=t");
        EXPECT_EQ(drainNode(m_environment, {}).exitCode, exitDone);
        EXPECT_EQ(m_asked.back(), "POST /admin/drain");
        m_answer = node_answer { 404, R"({"error":"unknown path"})" };
        EXPECT_EQ(undrainNode(m_environment, {}).exitCode, exitRefused);
        m_answer = node_answer { 200, "not JSON" };
        EXPECT_EQ(showStatus(m_environment, {}).exitCode, exitRefused);
    }

    // Guards against tables that lose values.
    TEST(ctl_table, printsNestedValues)
    {
        const auto document = nlohmann::json::parse(
            R"({"a":1,"b":{"c":["x","y"]},"nodes":[{"name":"n1","slots":5},{"name":"n22","slots":7}]})");
        EXPECT_EQ(printTable(document), "a    1\nb.c  x, y\n\nnodes\nname  slots\nn1    5\nn22   7\n");
    }

    std::string read(const std::string& name)
    {
        std::ifstream file(std::string(LIMPET_SOURCE_DIR) + name);
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

    // Guards against a command or an option that the manual page or the shell completion does not know.
    TEST(ctl_documents, nameEveryCommandAndOption)
    {
        std::string manual = read("/docs/limpetctl.1");
        std::erase(manual, '\\');
        const std::string completion = read("/src/limpetctl/limpetctl.bash");
        std::istringstream lines(ctlUsage);
        std::size_t commands = 0;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            std::string program;
            std::string word;
            words >> program >> word;
            if (program == "limpetctl" && line.starts_with("  ")) {
                EXPECT_THAT(manual, HasSubstr(word));
                EXPECT_THAT(completion, HasSubstr(word));
                ++commands;
            }
            if (program.starts_with("--")) {
                const std::string option = program.substr(0, program.find('='));
                EXPECT_THAT(manual, HasSubstr(option));
                EXPECT_THAT(completion, HasSubstr(option));
            }
        }
        EXPECT_GT(commands, 10U);
    }

} // namespace
} // namespace limpet
