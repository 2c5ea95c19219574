#include "text.h"
#include <algorithm>
#include <limpetcroft/rules.h>
#include <nlohmann/json.hpp>
#include <set>

namespace limpet {
namespace {

    using nlohmann::json;

    /// Reads the members of one JSON object and collects problems. Members that are not read are reported as unknown.
    class object_reader {
    public:
        object_reader(const json& object, std::string pointer, std::string_view file, text_problems& problems)
            : m_object(object)
            , m_pointer(std::move(pointer))
            , m_file(file)
            , m_problems(problems)
        {
            if (!object.is_object())
                report(m_pointer, std::string("found ") + object.type_name(), "write an object in braces");
        }

        void report(const std::string& pointer, std::string found, std::string remedy)
        {
            m_problems.push_back({ error_kind::invalidArgument, m_file, 0, 0, pointer.empty() ? "/" : pointer,
                std::move(found), std::move(remedy) });
        }

        std::string pointerTo(std::string_view key) const { return m_pointer + "/" + std::string(key); }

        const json* find(std::string_view key, bool required)
        {
            m_known.push_back(key);
            if (!m_object.is_object())
                return nullptr;
            const auto found = m_object.find(key);
            if (found != m_object.end())
                return &*found;
            if (required)
                report(pointerTo(key), "the setting is missing", "add it");
            return nullptr;
        }

        const std::string* text(std::string_view key, bool required)
        {
            const json* value = find(key, required);
            if (!value || value->is_string())
                return value ? value->get_ptr<const std::string*>() : nullptr;
            report(pointerTo(key), std::string("found ") + value->type_name(), "write a string");
            return nullptr;
        }

        void readName(std::string_view key, std::string& target)
        {
            const std::string* value = text(key, true);
            if (value && isName(*value))
                target = *value;
            else if (value)
                report(pointerTo(key), inQuotes(*value) + " is not a name",
                    "use up to 64 letters, digits, '.', '_' and '-', first a letter or digit");
        }

        void readAddress(std::string_view key, socket_address& target)
        {
            const std::string* value = text(key, true);
            if (!value)
                return;
            auto address = parseAddress(*value);
            if (address)
                target = std::move(*address);
            else
                report(pointerTo(key), inQuotes(*value) + " is not an address",
                    "write IP:PORT with a numeric IP address, such as 127.0.0.1:7000");
        }

        void readDuration(std::string_view key, duration& target, duration least, duration most)
        {
            const std::string* value = text(key, false);
            if (!value)
                return;
            const auto time = parseDuration(*value);
            if (time && *time >= least && *time <= most)
                target = *time;
            else
                report(pointerTo(key), inQuotes(*value) + " is not a time in the allowed range",
                    "write a time from " + printDuration(least) + " to " + printDuration(most) + ", such as \"3s\"");
        }

        void readCount(std::string_view key, std::size_t& target, std::size_t least, std::size_t most)
        {
            const json* value = find(key, false);
            if (!value)
                return;
            if (value->is_number_unsigned() && value->get<std::size_t>() >= least && value->get<std::size_t>() <= most)
                target = value->get<std::size_t>();
            else
                report(pointerTo(key),
                    "found " + (value->is_number() ? value->dump() : std::string(value->type_name())),
                    "write a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        }

        template <typename Choice>
        void readChoice(std::string_view key, Choice& target, const std::vector<std::string_view>& names)
        {
            const std::string* value = text(key, false);
            if (!value)
                return;
            const auto found = std::ranges::find(names, *value);
            if (found != names.end())
                target = static_cast<Choice>(found - names.begin());
            else
                report(pointerTo(key), inQuotes(*value) + " is not known", suggestion(*value, names));
        }

        /// Returns the elements of an array, at most `most`.
        const json* array(std::string_view key, std::size_t most)
        {
            const json* value = find(key, true);
            if (!value)
                return nullptr;
            if (!value->is_array() || value->empty() || value->size() > most) {
                const bool isArray = value->is_array();
                report(pointerTo(key),
                    "found "
                        + (isArray ? "a list of " + std::to_string(value->size()) : std::string(value->type_name())),
                    "write a list of 1 to " + std::to_string(most));
                return nullptr;
            }
            return value;
        }

        void reportUnknown()
        {
            if (!m_object.is_object())
                return;
            for (const auto& item : m_object.items()) {
                if (std::ranges::find(m_known, item.key()) == m_known.end())
                    report(m_pointer + "/" + item.key(), "the setting is not known", suggestion(item.key(), m_known));
            }
        }

        object_reader child(const json& object, const std::string& pointer)
        {
            return { object, pointer, m_file, m_problems };
        }

    private:
        const json& m_object;
        std::string m_pointer;
        std::string m_file;
        text_problems& m_problems;
        std::vector<std::string_view> m_known;
    };

    constexpr std::size_t maxRegions = 64;
    constexpr std::size_t maxSeeds = 256;
    constexpr std::size_t maxFleetKeys = 8;

    void readRegions(object_reader& reader, node_settings& settings)
    {
        const json* regions = reader.array("regions", maxRegions);
        if (!regions)
            return;
        for (std::size_t index = 0; index < regions->size(); ++index) {
            const json& region = (*regions)[index];
            const auto pointer = reader.pointerTo("regions") + "/" + std::to_string(index);
            if (!region.is_string() || !isName(region.get_ref<const std::string&>()))
                reader.report(pointer, "this is not the name of a region", "use letters, digits, '.', '_' and '-'");
            else if (std::ranges::find(settings.regions, region.get<std::string>()) != settings.regions.end())
                reader.report(pointer, "the region is listed twice", "keep it once");
            else
                settings.regions.push_back(region);
        }
        const bool listed = std::ranges::find(settings.regions, settings.region) != settings.regions.end();
        if (!settings.region.empty() && !listed)
            reader.report(reader.pointerTo("region"), inQuotes(settings.region) + " is not in the list of regions",
                "add it to /regions or correct it");
    }

    void readSeeds(object_reader& reader, node_settings& settings)
    {
        const json* seeds = reader.array("seeds", maxSeeds);
        if (!seeds)
            return;
        std::set<std::string> names;
        for (std::size_t index = 0; index < seeds->size(); ++index) {
            const auto pointer = reader.pointerTo("seeds") + "/" + std::to_string(index);
            auto entry = reader.child((*seeds)[index], pointer);
            seed_node seed;
            entry.readName("node", seed.nodeName);
            entry.readAddress("address", seed.linkAddress);
            entry.reportUnknown();
            if (!seed.nodeName.empty() && !names.insert(seed.nodeName).second)
                entry.report(pointer, inQuotes(seed.nodeName) + " is listed twice", "keep it once");
            settings.seeds.push_back(std::move(seed));
        }
    }

    void readFleetKeys(object_reader& reader, node_settings& settings)
    {
        const json* keys = reader.array("fleet_keys", maxFleetKeys);
        if (!keys)
            return;
        std::set<std::string> ids;
        for (std::size_t index = 0; index < keys->size(); ++index) {
            const auto pointer = reader.pointerTo("fleet_keys") + "/" + std::to_string(index);
            auto entry = reader.child((*keys)[index], pointer);
            fleet_key key;
            entry.readName("id", key.id);
            const std::string* secret = entry.text("secret", true);
            const auto bytes = secret ? parseDigest(*secret) : digest {};
            if (bytes)
                key.secret = *bytes;
            else
                entry.report(pointer + "/secret", "the secret cannot be used", "write 64 hexadecimal digits");
            entry.reportUnknown();
            if (!key.id.empty() && !ids.insert(key.id).second)
                entry.report(pointer, inQuotes(key.id) + " is listed twice", "keep it once");
            settings.fleetKeys.push_back(std::move(key));
        }
    }

    void readLimits(object_reader& reader, node_limits& limits)
    {
        const json* value = reader.find("limits", false);
        if (!value)
            return;
        constexpr std::size_t mebibyte = 1024UL * 1024;
        auto entry = reader.child(*value, reader.pointerTo("limits"));
        entry.readCount("max_body_bytes", limits.maxBodyBytes, 1024, 64 * mebibyte);
        entry.readCount("max_header_bytes", limits.maxHeaderBytes, 1024, mebibyte);
        entry.readCount("max_connections", limits.maxConnections, 1, 100'000);
        entry.reportUnknown();
    }

    void readPolicy(object_reader& reader, policy_choices& policy)
    {
        const json* value = reader.find("policy", false);
        if (!value)
            return;
        const auto pointer = reader.pointerTo("policy");
        auto entry = reader.child(*value, pointer);
        entry.readChoice("admission", policy.admission, { "adaptive", "fixed", "unlimited" });
        entry.readCount("fixed_limit", policy.fixedLimit, 1, 100'000);
        entry.readChoice("retry", policy.retry, { "budget", "none" });
        entry.readChoice("routing", policy.routing, { "balanced", "random", "round-robin" });
        entry.readChoice("rates", policy.rates, { "shared", "static" });
        entry.reportUnknown();
        if (policy.admission == admission_choice::fixed && policy.fixedLimit == 0)
            entry.report(pointer + "/fixed_limit", "admission is \"fixed\" without a limit", "add fixed_limit");
        if (policy.admission != admission_choice::fixed && policy.fixedLimit != 0)
            entry.report(
                pointer + "/fixed_limit", "the limit has no effect", "remove it or set admission to \"fixed\"");
    }

    void readTimes(object_reader& reader, node_settings& settings)
    {
        using namespace std::chrono_literals;
        reader.readDuration("key_confirmation_bound", settings.keyConfirmationBound, 1s, 30s);
        reader.readDuration("heartbeat_interval", settings.heartbeatInterval, 50ms, 60s);
        reader.readDuration("link_timeout", settings.linkTimeout, 100ms, 300s);
        reader.readDuration("drain_time", settings.drainTime, 1ms, 3600s);
        if (settings.linkTimeout < 2 * settings.heartbeatInterval)
            reader.report(reader.pointerTo("link_timeout"),
                printDuration(settings.linkTimeout) + " is less than two heartbeat intervals",
                "write at least " + printDuration(2 * settings.heartbeatInterval));
    }

    void checkAddresses(object_reader& reader, const node_settings& settings)
    {
        const std::array<std::pair<std::string_view, const socket_address*>, 4> own { {
            { "caller_address", &settings.callerAddress },
            { "backend_address", &settings.backendAddress },
            { "link_address", &settings.linkAddress },
            { "admin_address", &settings.adminAddress },
        } };
        for (std::size_t later = 1; later < own.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                if (own[later].second->port != 0 && *own[later].second == *own[earlier].second)
                    reader.report(reader.pointerTo(own[later].first),
                        "the address is also that of " + std::string(own[earlier].first), "give each its own port");
            }
        }
    }

    node_settings readSettings(object_reader& reader)
    {
        node_settings settings;
        reader.readName("name", settings.nodeName);
        reader.readName("region", settings.region);
        reader.readName("availability_zone", settings.availabilityZone);
        readRegions(reader, settings);
        reader.readName("service", settings.service);
        reader.readAddress("caller_address", settings.callerAddress);
        reader.readAddress("backend_address", settings.backendAddress);
        reader.readAddress("link_address", settings.linkAddress);
        reader.readAddress("admin_address", settings.adminAddress);
        reader.readAddress("store_address", settings.storeAddress);
        checkAddresses(reader, settings);
        readSeeds(reader, settings);
        readFleetKeys(reader, settings);
        readLimits(reader, settings.limits);
        readTimes(reader, settings);
        readPolicy(reader, settings.policy);
        reader.reportUnknown();
        return settings;
    }

    text_problem syntaxProblem(std::string_view text, std::string_view fileName, std::size_t byte)
    {
        const auto before = text.substr(0, byte == 0 ? 0 : byte - 1);
        const auto lineStart = before.rfind('\n') + 1; // npos + 1 is 0
        const auto line = static_cast<std::size_t>(std::ranges::count(before, '\n')) + 1;
        return { error_kind::malformed, std::string(fileName), line, before.size() - lineStart + 1, "",
            "the text is not valid JSON here", "correct the JSON; comments are /* */ and //" };
    }

    /// Collects the names of members that occur twice in one object, which the JSON library accepts silently.
    class duplicate_finder {
    public:
        bool operator()(json::parse_event_t event, const json& parsed)
        {
            if (event == json::parse_event_t::object_start)
                m_open.emplace_back();
            else if (event == json::parse_event_t::object_end && !m_open.empty())
                m_open.pop_back();
            else if (event == json::parse_event_t::key && !m_open.empty()) {
                const auto& key = parsed.get_ref<const std::string&>();
                if (!m_open.back().insert(key).second)
                    m_duplicates.push_back(key);
            }
            return true;
        }
        const std::vector<std::string>& duplicates() const { return m_duplicates; }

    private:
        std::vector<std::set<std::string>> m_open;
        std::vector<std::string> m_duplicates;
    };

} // namespace

tl::expected<node_settings, text_problems> parseSettings(std::string_view text, std::string_view fileName)
{
    const std::string file(fileName);
    if (text.size() > maxSettingsBytes)
        return tl::unexpected(text_problems {
            { error_kind::tooLarge, file, 1, 1, "", "the file has " + std::to_string(text.size()) + " bytes",
                "shorten it to at most " + std::to_string(maxSettingsBytes) } });
    duplicate_finder finder;
    json document;
    try {
        const auto callback = [&](int, json::parse_event_t event, json& parsed) { return finder(event, parsed); };
        document = json::parse(text, callback, true, true);
    } catch (const json::parse_error& failure) {
        return tl::unexpected(text_problems { syntaxProblem(text, fileName, failure.byte) });
    } catch (const json::exception&) {
        // A number out of the range of double.
        return tl::unexpected(text_problems { { error_kind::malformed, file, 1, 1, "",
            "the file has a value that cannot be represented", "write smaller numbers" } });
    }
    text_problems problems;
    for (const auto& key : finder.duplicates())
        problems.push_back(
            { error_kind::conflict, file, 0, 0, "/" + key, "the setting is given twice", "keep it once" });
    object_reader reader(document, "", fileName, problems);
    auto settings = readSettings(reader);
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return settings;
}

} // namespace limpet
