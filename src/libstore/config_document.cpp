#include <limpetcroft/store.h>
#include <nlohmann/json.hpp>

namespace limpet {

using nlohmann::json;

namespace {

    // fleet.h names the same keys; this library does not depend on it, and a test of limpetctl compares them.
    constexpr auto currentKey = "config/current";

    std::string revisionKey(const std::string& prefix, revision number)
    {
        constexpr std::size_t digits = 20;
        const std::string text = std::to_string(number);
        return prefix + std::string(digits - text.size(), '0') + text;
    }

    // The encoded configuration is a JSON object whose parser ignores further members.
    result<std::string> encodeDocument(const config_change& change)
    {
        json document = json::parse(change.configuration, nullptr, false);
        if (!document.is_object()) {
            return fail(error_kind::invalidArgument, "the encoded configuration is not a JSON object");
        }
        document["mark"] = change.mark;
        document["rules_text"] = change.rulesText;
        std::string text;
        try {
            text = document.dump();
        } catch (const json::exception&) {
            return fail(error_kind::invalidArgument, "the rules text is not UTF-8; save the file as UTF-8");
        }
        if (text.size() > maxStoreValue) {
            return fail(error_kind::tooLarge,
                "the configuration takes " + std::to_string(text.size())
                    + " bytes and the store holds values up to 1 MB; shorten the rules file");
        }
        return text;
    }

} // namespace

std::string auditKey(revision number) { return revisionKey("audit/", number); }

result<config_document> parseConfigDocument(const store_entry& entry)
{
    try {
        const json document = json::parse(entry.value);
        return config_document { entry.value, document.value("rules_text", ""), document.value("mark", ""),
            document.at("revision").get<revision>(), entry.modRevision };
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed,
            "the configuration in the store is not valid; apply the rules file again: " + std::string(problem.what()));
    }
}

std::string encodeAuditEntry(const audit_entry& entry)
{
    json difference = json::array();
    for (const line_hunk& hunk : entry.difference) {
        difference.push_back({ { "old_line", hunk.oldLine }, { "new_line", hunk.newLine }, { "removed", hunk.removed },
            { "added", hunk.added } });
    }
    const json text { { "revision", entry.number }, { "previous", entry.previous }, { "who", entry.who },
        { "when", entry.when }, { "why", entry.why }, { "summary", entry.summary }, { "difference", difference },
        { "outcome", entry.outcome }, { "mark", entry.mark } };
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<audit_entry> parseAuditEntry(const std::string& text)
{
    try {
        const json document = json::parse(text);
        audit_entry entry { document.at("revision"), document.at("previous"), document.at("who"), document.at("when"),
            document.at("why"), document.at("summary"), {}, document.at("outcome"), document.at("mark") };
        for (const json& hunk : document.at("difference")) {
            entry.difference.push_back(
                { hunk.at("old_line"), hunk.at("new_line"), hunk.at("removed"), hunk.at("added") });
        }
        return entry;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed,
            "an audit entry in the store is not valid and cannot be shown: " + std::string(problem.what()));
    }
}

result<store_txn> makeConfigTransaction(const config_change& change)
{
    const revision number = change.base.number + 1;
    const auto document = encodeDocument(change);
    if (!document) {
        return tl::unexpected(document.error());
    }
    const audit_entry audit { number, change.base.number, change.who, change.when, change.why, change.summary,
        diffLines(change.base.rulesText, change.rulesText), "accepted", change.mark };
    const std::string encodedAudit = encodeAuditEntry(audit);
    if (encodedAudit.size() > maxStoreValue) {
        return fail(error_kind::tooLarge,
            "the difference is larger than 1 MB and cannot be kept for audit; apply the change in two parts");
    }
    store_txn txn { .compares = { { currentKey, change.base.modRevision } } };
    txn.writes.emplace_back(store_put { currentKey, *document });
    txn.writes.emplace_back(store_put { revisionKey("config/delta/", number), change.delta });
    txn.writes.emplace_back(store_put { auditKey(number), encodedAudit });
    if (number > keptDeltas) {
        txn.writes.emplace_back(store_erase { revisionKey("config/delta/", number - keptDeltas) });
    }
    if (number > keptAuditEntries) {
        txn.writes.emplace_back(store_erase { auditKey(number - keptAuditEntries) });
    }
    return txn;
}

} // namespace limpet
