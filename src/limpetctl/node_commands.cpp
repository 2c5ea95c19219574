#include "ctl.h"

#include <algorithm>
#include <glib.h>
#include <limpetcroft/rules.h>

namespace limpet {

namespace {

    using nlohmann::json;

    std::string toCell(const json& value)
    {
        if (value.is_string()) {
            return value.get<std::string>();
        }
        if (!value.is_array()) {
            return value.dump(-1, ' ', false, json::error_handler_t::replace);
        }
        std::string joined;
        for (const json& each : value) {
            joined += (joined.empty() ? "" : ", ") + toCell(each);
        }
        return joined;
    }

    std::string pad(const std::string& text, std::size_t width)
    {
        return text + std::string(width - std::min(width, text.size()) + 2, ' ');
    }

    std::string printRows(const std::vector<std::vector<std::string>>& rows)
    {
        std::vector<std::size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (std::size_t column = 0; column < row.size(); ++column) {
                widths[column] = std::max(widths[column], row[column].size());
            }
        }
        std::string text;
        for (const auto& row : rows) {
            std::string line;
            for (std::size_t column = 0; column < row.size(); ++column) {
                line += pad(row[column], widths[column]);
            }
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + "\n";
        }
        return text;
    }

    bool isTable(const json& value)
    {
        return value.is_array() && !value.empty()
            && std::ranges::all_of(value, [](const json& each) { return each.is_object(); });
    }

    std::string printObjects(const json& objects)
    {
        std::vector<std::vector<std::string>> rows(1);
        for (const auto& [name, value] : objects.front().items()) {
            rows.front().push_back(name);
        }
        for (const json& object : objects) {
            std::vector<std::string>& row = rows.emplace_back();
            for (const std::string& column : rows.front()) {
                row.push_back(object.contains(column) ? toCell(object.at(column)) : "");
            }
        }
        return printRows(rows);
    }

    void collect(
        const json& object, const std::string& prefix, std::vector<std::vector<std::string>>& rows, std::string& tables)
    {
        for (const auto& [name, value] : object.items()) {
            if (value.is_object()) {
                collect(value, prefix + name + ".", rows, tables);
            } else if (isTable(value)) {
                tables.append("\n").append(prefix).append(name).append("\n").append(printObjects(value));
            } else {
                rows.push_back({ prefix + name, toCell(value) });
            }
        }
    }

    command_result ask(const ctl_environment& environment, const std::string& method, const socket_address& node,
        const std::string& path)
    {
        const auto answer = environment.askNode(method, node, path);
        if (!answer) {
            return failure(answer.error());
        }
        const json document = json::parse(answer->body, nullptr, false);
        const bool isDone = answer->status >= 200 && answer->status < 300;
        if (!document.is_object() || !isDone) {
            command_result report { exitRefused, {}, { { "outcome", "refused" }, { "status", answer->status } } };
            report.text
                = "node " + printAddress(node) + " answered with HTTP status " + std::to_string(answer->status) + "\n";
            if (document.is_object()) {
                report.json["answer"] = document;
                report.text += printTable(document);
            }
            return report;
        }
        return { exitDone, printTable(document), document };
    }

    std::string escape(const std::string& text)
    {
        gchar* const escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
        std::string copy = escaped;
        g_free(escaped);
        return copy;
    }

} // namespace

std::string printTable(const json& document)
{
    std::vector<std::vector<std::string>> rows;
    std::string tables;
    collect(document, "", rows, tables);
    return printRows(rows) + tables;
}

command_result showStatus(const ctl_environment& environment, const socket_address& node)
{
    return ask(environment, "GET", node, "/admin/status");
}

command_result drainNode(const ctl_environment& environment, const socket_address& node)
{
    return ask(environment, "POST", node, "/admin/drain");
}

command_result undrainNode(const ctl_environment& environment, const socket_address& node)
{
    return ask(environment, "POST", node, "/admin/undrain");
}

command_result explainRoute(const ctl_environment& environment, const socket_address& node, const std::string& method,
    const std::string& path, const std::string& team)
{
    const std::string query = "method=" + escape(method) + "&path=" + escape(path) + "&team=" + escape(team);
    command_result report = ask(environment, "GET", node, "/admin/explain?" + query);
    const json steps = report.json.value("steps", json());
    if (report.exitCode == exitDone && steps.is_array()) {
        report.text.clear();
        for (const json& step : steps) {
            report.text += toCell(step) + "\n";
        }
    }
    return report;
}

} // namespace limpet
