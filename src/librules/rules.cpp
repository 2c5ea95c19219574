#include "text.h"
#include <algorithm>
#include <cmath>
#include <limpetcroft/rules.h>
#include <map>
#include <set>

namespace limpet {
namespace {

    constexpr std::string_view blanks = " \t\r";
    constexpr std::string_view requesterMark = "requested by";

    struct token {
        std::string_view text;
        std::size_t column = 0;
    };

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    std::vector<token> tokenize(std::string_view text)
    {
        std::vector<token> tokens;
        std::size_t at = text.find_first_not_of(blanks);
        while (at != std::string_view::npos) {
            const auto end = std::min(text.find_first_of(blanks, at), text.size());
            tokens.push_back({ text.substr(at, end - at), at + 1 });
            at = text.find_first_not_of(blanks, end);
        }
        return tokens;
    }

    bool isPath(std::string_view text)
    {
        const auto allowed = [](char letter) { return letter > ' ' && letter < 0x7F && letter != '?'; };
        return text.starts_with('/') && text.size() <= maxPathBytes && std::ranges::all_of(text, allowed);
    }

    const std::vector<std::string_view> methods { "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };
    const std::vector<std::string_view> ruleWords { "team", "route" };
    const std::vector<std::string_view> teamWords { "rate", "burst" };
    /// Words of a route that have no value.
    bool isFlag(std::string_view word) { return word == "non-idempotent" || word == "open"; }
    const std::vector<std::string_view> routeWords { "service", "priority", "deadline", "non-idempotent", "open",
        "worth" };

    /// Parses the lines of one file and collects rules and problems.
    class rules_parser {
    public:
        explicit rules_parser(std::string_view fileName)
            : m_file(fileName)
        {
        }

        void parseLine(std::string_view line);
        tl::expected<rule_set, text_problems> finish() &&;

    private:
        void report(error_kind kind, std::size_t column, std::string found, std::string remedy);
        void reportAtEnd(std::string found, std::string remedy);
        std::string requester(std::string_view line, std::size_t hash);
        void parseTeam(std::string requestedBy);
        void parseRoute(std::string requestedBy);
        void applyRouteWord(route_rule& rule, const token& word);
        const token* take(std::string_view wanted);
        const token* argument(const token& word);
        std::optional<double> number(
            const token& word, std::string_view text, double least, bool leastAllowed, double most);
        bool once(const token& word);
        void reportUnknown(const token& word, std::string_view rule, const std::vector<std::string_view>& known);
        void skipValue(const std::vector<std::string_view>& known);
        void require(std::string_view word, std::string_view example);
        void addRoute(route_rule rule, std::size_t column);

        std::string m_file;
        std::size_t m_line = 0;
        std::size_t m_endColumn = 1;
        std::vector<token> m_tokens;
        std::size_t m_next = 0;
        std::set<std::string_view> m_seen;
        std::map<std::string, std::size_t> m_teamLines;
        std::map<std::string, std::size_t> m_routeLines;
        rule_set m_rules;
        text_problems m_problems;
    };

    void rules_parser::report(error_kind kind, std::size_t column, std::string found, std::string remedy)
    {
        m_problems.push_back({ kind, m_file, m_line, column, "", std::move(found), std::move(remedy) });
    }

    void rules_parser::reportAtEnd(std::string found, std::string remedy)
    {
        report(error_kind::malformed, m_endColumn, std::move(found), std::move(remedy));
    }

    void rules_parser::parseLine(std::string_view line)
    {
        ++m_line;
        const auto hash = line.find('#');
        const auto body = line.substr(0, hash);
        m_tokens = tokenize(body);
        m_next = 0;
        m_seen.clear();
        if (m_tokens.empty())
            return;
        m_endColumn = m_tokens.back().column + m_tokens.back().text.size();
        if (line.size() > maxRulesLineBytes) {
            report(error_kind::tooLarge, maxRulesLineBytes + 1,
                "the line has " + std::to_string(line.size()) + " bytes",
                "shorten it to at most " + std::to_string(maxRulesLineBytes));
            return;
        }
        const token kind = m_tokens[m_next++];
        if (kind.text == "team")
            return parseTeam(requester(line, hash));
        if (kind.text == "route")
            return parseRoute(requester(line, hash));
        report(error_kind::malformed, kind.column, "a rule cannot start with " + inQuotes(kind.text),
            suggestion(kind.text, ruleWords));
    }

    std::string rules_parser::requester(std::string_view line, std::size_t hash)
    {
        const std::string example = "add '# requested by NAME' at the end of the line";
        if (hash == std::string_view::npos) {
            reportAtEnd("the rule does not say who asked for it", example);
            return {};
        }
        const auto comment = trimmed(line.substr(hash + 1));
        const auto name = comment.starts_with(requesterMark) ? comment.substr(requesterMark.size()) : "";
        const auto trimmedName = trimmed(name);
        if (trimmedName.empty() || blanks.find(name.front()) == std::string_view::npos) {
            report(error_kind::malformed, hash + 1,
                "the comment " + inQuotes(comment) + " does not say who asked for the rule",
                "write it as '# requested by NAME'");
            return {};
        }
        if (trimmedName.size() > maxRequesterBytes || !isPrintableText(trimmedName)) {
            report(error_kind::malformed, hash + 1, "the name " + inQuotes(trimmedName) + " cannot be used",
                "write at most " + std::to_string(maxRequesterBytes) + " bytes of UTF-8 without control characters");
            return {};
        }
        return std::string(trimmedName);
    }

    const token* rules_parser::take(std::string_view wanted)
    {
        if (m_next < m_tokens.size())
            return &m_tokens[m_next++];
        reportAtEnd("the line ends before " + std::string(wanted), "add " + std::string(wanted));
        return nullptr;
    }

    const token* rules_parser::argument(const token& word) { return take("the value of " + inQuotes(word.text)); }

    bool rules_parser::once(const token& word)
    {
        if (m_seen.insert(word.text).second)
            return true;
        report(error_kind::conflict, word.column, inQuotes(word.text) + " is given twice", "keep one of them");
        return false;
    }

    void rules_parser::skipValue(const std::vector<std::string_view>& known)
    {
        const bool isValue = m_next < m_tokens.size() && std::ranges::find(known, m_tokens[m_next].text) == known.end();
        if (isValue)
            ++m_next;
    }

    void rules_parser::reportUnknown(
        const token& word, std::string_view rule, const std::vector<std::string_view>& known)
    {
        report(error_kind::malformed, word.column,
            inQuotes(word.text) + " is not known in a " + std::string(rule) + " rule", suggestion(word.text, known));
        // A misspelled word is reported once: not also for its value, nor as a missing word.
        const auto meant = nearestWord(word.text, known);
        if (meant.empty())
            return;
        m_seen.insert(meant);
        if (!isFlag(meant))
            skipValue(known);
    }

    void rules_parser::require(std::string_view word, std::string_view example)
    {
        if (!m_seen.contains(word))
            reportAtEnd(inQuotes(word) + " is missing", "add it, such as '" + std::string(example) + "'");
    }

    std::optional<double> rules_parser::number(
        const token& word, std::string_view text, double least, bool leastAllowed, double most)
    {
        const auto value = parseNumber(text);
        const bool inside = value && !std::signbit(*value) && (leastAllowed ? *value >= least : *value > least);
        if (inside && *value <= most)
            return value;
        report(error_kind::invalidArgument, word.column, inQuotes(text) + " is not a number in the allowed range",
            std::string("write a number ") + (leastAllowed ? "from " : "above ") + printNumber(least) + " up to "
                + printNumber(most));
        return std::nullopt;
    }

    void rules_parser::parseTeam(std::string requestedBy)
    {
        const auto problemsBefore = m_problems.size();
        team_rule rule { .requestedBy = std::move(requestedBy) };
        const token* name = take("the name of the team");
        if (!name)
            return;
        rule.team = name->text;
        if (!isName(name->text))
            report(error_kind::invalidArgument, name->column, inQuotes(name->text) + " is not a team name",
                "use up to 64 letters, digits, '.', '_' and '-', first a letter or digit");
        while (m_next < m_tokens.size()) {
            const token word = m_tokens[m_next++];
            if (std::ranges::find(teamWords, word.text) == teamWords.end()) {
                reportUnknown(word, "team", teamWords);
                continue;
            }
            if (!once(word)) {
                skipValue(teamWords);
                continue;
            }
            const token* value = argument(word);
            if (!value)
                continue;
            if (word.text == "burst") {
                rule.burst = number(*value, value->text, 1, true, maxBurst).value_or(0);
            } else if (!value->text.ends_with("/s")) {
                report(error_kind::malformed, value->column, inQuotes(value->text) + " has no unit",
                    "write requests per second, such as 200/s");
            } else {
                const auto digits = value->text.substr(0, value->text.size() - 2);
                rule.ratePerSecond = number(*value, digits, 0, false, maxRatePerSecond).value_or(0);
            }
        }
        require("rate", "rate 200/s");
        require("burst", "burst 400");
        const auto [known, added] = m_teamLines.try_emplace(rule.team, m_line);
        if (!added)
            report(error_kind::conflict, name->column,
                "team " + inQuotes(rule.team) + " is already in line " + std::to_string(known->second),
                "keep one of the two lines");
        if (m_problems.size() == problemsBefore)
            m_rules.teams.push_back(std::move(rule));
    }

    void rules_parser::parseRoute(std::string requestedBy)
    {
        const auto problemsBefore = m_problems.size();
        route_rule rule { .requestedBy = std::move(requestedBy) };
        const token* method = take("the method");
        const token* path = method ? take("the path") : nullptr;
        if (!path)
            return;
        rule.method = method->text;
        if (std::ranges::find(methods, method->text) == methods.end())
            report(error_kind::invalidArgument, method->column, inQuotes(method->text) + " is not a method",
                suggestion(method->text, methods));
        rule.pathPrefix = path->text;
        if (!isPath(path->text))
            report(error_kind::invalidArgument, path->column, inQuotes(path->text) + " is not a path prefix",
                "start it with '/' and use at most 512 ASCII characters without '?'");
        while (m_next < m_tokens.size()) {
            const token word = m_tokens[m_next++];
            if (std::ranges::find(routeWords, word.text) == routeWords.end())
                reportUnknown(word, "route", routeWords);
            else if (once(word))
                applyRouteWord(rule, word);
            else if (!isFlag(word.text))
                skipValue(routeWords);
        }
        require("service", "service stock");
        require("priority", "priority 5");
        require("deadline", "deadline 800ms");
        const auto [known, added] = m_routeLines.try_emplace(rule.method + ' ' + rule.pathPrefix, m_line);
        if (!added)
            report(error_kind::conflict, method->column,
                "route " + rule.method + ' ' + inQuotes(rule.pathPrefix) + " is already in line "
                    + std::to_string(known->second),
                "keep one of the two lines");
        if (m_problems.size() == problemsBefore)
            m_rules.routes.push_back(std::move(rule));
    }

    void rules_parser::applyRouteWord(route_rule& rule, const token& word)
    {
        if (word.text == "non-idempotent") {
            rule.idempotent = false;
            return;
        }
        if (word.text == "open") {
            rule.openToAll = true;
            return;
        }
        const token* value = argument(word);
        if (!value)
            return;
        if (word.text == "service") {
            rule.service = value->text;
            if (!isName(value->text))
                report(error_kind::invalidArgument, value->column, inQuotes(value->text) + " is not a service name",
                    "use up to 64 letters, digits, '.', '_' and '-', first a letter or digit");
        } else if (word.text == "priority") {
            const bool valid = value->text.size() == 1 && value->text[0] >= '0' && value->text[0] <= '9';
            if (valid)
                rule.importance = static_cast<priority>(value->text[0] - '0');
            else
                report(error_kind::invalidArgument, value->column, inQuotes(value->text) + " is not a priority",
                    "write a digit from 0 (shed first) to 9 (shed last)");
        } else if (word.text == "deadline") {
            const auto deadline = parseDuration(value->text);
            rule.deadline = deadline.value_or(duration(0));
            if (!deadline || *deadline > maxDeadline)
                report(error_kind::invalidArgument, value->column, inQuotes(value->text) + " is not a deadline",
                    "write a positive whole number with unit us, ms, s or min, up to 10min, such as 800ms");
        } else {
            rule.publicWorth = number(*value, value->text, 0, true, maxPublicWorth).value_or(0);
        }
    }

    tl::expected<rule_set, text_problems> rules_parser::finish() &&
    {
        m_line = std::max<std::size_t>(m_line, 1);
        if (m_teamLines.size() > maxTeams)
            report(error_kind::tooLarge, 1, "the file has " + std::to_string(m_teamLines.size()) + " teams",
                "keep at most " + std::to_string(maxTeams));
        if (m_routeLines.size() > maxRoutes)
            report(error_kind::tooLarge, 1, "the file has " + std::to_string(m_routeLines.size()) + " routes",
                "keep at most " + std::to_string(maxRoutes));
        if (!m_problems.empty())
            return tl::unexpected(std::move(m_problems));
        return std::move(m_rules);
    }

    std::string printTeam(const team_rule& rule)
    {
        return "team " + rule.team + " rate " + printNumber(rule.ratePerSecond) + "/s burst " + printNumber(rule.burst)
            + "  # requested by " + rule.requestedBy;
    }

    std::string printRoute(const route_rule& rule)
    {
        std::string line = "route " + rule.method + ' ' + rule.pathPrefix + " service " + rule.service + " priority "
            + std::to_string(rule.importance) + " deadline " + printDuration(rule.deadline);
        if (!rule.idempotent)
            line += " non-idempotent";
        if (rule.openToAll)
            line += " open";
        if (rule.publicWorth != 1)
            line += " worth " + printNumber(rule.publicWorth);
        return line + "  # requested by " + rule.requestedBy;
    }

    std::vector<std::string> printedLines(const rule_set& rules)
    {
        std::vector<std::string> lines;
        lines.reserve(rules.teams.size() + rules.routes.size());
        std::ranges::transform(rules.teams, std::back_inserter(lines), printTeam);
        std::ranges::transform(rules.routes, std::back_inserter(lines), printRoute);
        return lines;
    }

    void appendMissing(std::vector<rule_change>& changes, rule_change::change_kind kind,
        const std::vector<std::string>& lines, const std::vector<std::string>& others)
    {
        const std::set<std::string_view> known(others.begin(), others.end());
        for (const auto& line : lines) {
            if (!known.contains(line))
                changes.push_back({ kind, line });
        }
    }

} // namespace

tl::expected<rule_set, text_problems> parseRules(std::string_view text, std::string_view fileName)
{
    if (text.size() > maxRulesBytes)
        return tl::unexpected(text_problems { { error_kind::tooLarge, std::string(fileName), 1, 1, "",
            "the file has " + std::to_string(text.size()) + " bytes",
            "shorten it to at most " + std::to_string(maxRulesBytes) } });
    rules_parser parser(fileName);
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        parser.parseLine(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(parser).finish();
}

std::string printRules(const rule_set& rules)
{
    std::string text;
    for (const auto& line : printedLines(rules))
        text.append(line).append("\n");
    return text;
}

std::vector<rule_change> diffRules(const rule_set& before, const rule_set& after)
{
    const auto oldLines = printedLines(before);
    const auto newLines = printedLines(after);
    std::vector<rule_change> changes;
    appendMissing(changes, rule_change::change_kind::removed, oldLines, newLines);
    appendMissing(changes, rule_change::change_kind::added, newLines, oldLines);
    return changes;
}

} // namespace limpet
