#include <charconv>
#include <limpetcroft/proxy.h>
#include <nlohmann/json.hpp>

namespace limpet::proxy {
namespace {

    using nlohmann::json;

    /// Reads members of the settings object and records the first error.
    class settings_reader {
    public:
        explicit settings_reader(const json& object)
            : m_object(object)
        {
        }

        void readString(const char* name, std::string& target)
        {
            const auto* value = find(name);
            if (value && value->is_string() && !value->get_ref<const std::string&>().empty())
                target = value->get<std::string>();
            else
                recordError(name, "must be a non-empty string");
        }

        void readAddress(const char* name, socket_address& target)
        {
            std::string addressText;
            readString(name, addressText);
            if (m_firstError)
                return;
            auto parsed = parseAddress(addressText);
            if (parsed)
                target = *parsed;
            else
                recordError(name, parsed.error().message);
        }

        /// Reads a number, or a text that holds one. An absent number and an empty text leave the target as it is.
        void readNumber(const std::string& name, double min, double max, double& target)
        {
            const auto* value = find(name);
            if (!value || isEmptyText(*value))
                return;
            const auto number = numberIn(*value);
            if (number && *number >= min && *number <= max)
                target = *number;
            else
                recordError(name,
                    "must be a number from " + std::to_string(min) + " to " + std::to_string(max) + ", not "
                        + value->dump(-1, ' ', false, json::error_handler_t::replace));
        }

        /// Reads a time that is given in milliseconds as NAME_ms or in seconds as NAME_s.
        void readDuration(const std::string& name, duration& target)
        {
            constexpr std::chrono::duration<double> maxTime = std::chrono::hours(1);
            std::chrono::duration<double, std::milli> inMilliseconds = target;
            std::chrono::duration<double> inSeconds = target;
            double milliseconds = inMilliseconds.count();
            double seconds = inSeconds.count();
            const bool usesSeconds = find(name + "_s") != nullptr;
            if (usesSeconds && find(name + "_ms"))
                recordError(name + "_s", "give the time in seconds or in milliseconds, not in both");
            readNumber(name + "_ms", 0, std::chrono::duration<double, std::milli>(maxTime).count(), milliseconds);
            readNumber(name + "_s", 0, maxTime.count(), seconds);
            inMilliseconds = std::chrono::duration<double, std::milli>(milliseconds);
            inSeconds = std::chrono::duration<double>(seconds);
            target = usesSeconds ? std::chrono::duration_cast<duration>(inSeconds)
                                 : std::chrono::duration_cast<duration>(inMilliseconds);
        }

        const std::optional<error>& firstError() const { return m_firstError; }

    private:
        static bool isEmptyText(const json& value)
        {
            return value.is_string() && value.get_ref<const std::string&>().empty();
        }

        static std::optional<double> numberIn(const json& value)
        {
            if (value.is_number())
                return value.get<double>();
            if (!value.is_string())
                return std::nullopt;
            const auto& text = value.get_ref<const std::string&>();
            const char* const end = text.data() + text.size();
            double number = 0;
            const auto parsed = std::from_chars(text.data(), end, number);
            return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
        }

        const json* find(const std::string& name) const
        {
            const auto found = m_object.find(name);
            return found == m_object.end() ? nullptr : &*found;
        }

        void recordError(const std::string& name, const std::string& expectation)
        {
            if (!m_firstError)
                m_firstError = error { error_kind::invalidArgument, "setting \"" + name + "\": " + expectation };
        }

        const json& m_object;
        std::optional<error> m_firstError;
    };

} // namespace

result<daemon_settings> parseDaemonSettings(std::string_view text)
{
    const auto parsed = json::parse(text, nullptr, false, true);
    if (!parsed.is_object())
        return fail(error_kind::malformed, "the settings are not a valid JSON object; correct the file");
    daemon_settings settings;
    settings_reader reader(parsed);
    reader.readString("node", settings.name);
    reader.readString("region", settings.region);
    reader.readString("availability_zone", settings.availabilityZone);
    reader.readString("service", settings.service);
    reader.readAddress("client_address", settings.clientAddress);
    reader.readAddress("health_address", settings.healthAddress);
    reader.readAddress("control_address", settings.controlAddress);
    reader.readAddress("link_address", settings.linkAddress);
    if (parsed.contains("advertised_link_address"))
        reader.readAddress("advertised_link_address", settings.advertisedLinkAddress.emplace());
    reader.readAddress("metrics_address", settings.metricsAddress);
    reader.readAddress("backend_address", settings.backendAddress);
    reader.readAddress("store_address", settings.storeAddress);
    settings.drainTime = std::chrono::milliseconds(2500);
    reader.readDuration("drain_time", settings.drainTime);
    reader.readDuration("stop_time", settings.stopTime);
    double descriptors = static_cast<double>(settings.maxDescriptors);
    constexpr double maxDescriptorLimit = 1e6;
    constexpr double maxReserve = 1e6;
    reader.readNumber("max_descriptors", 64, maxDescriptorLimit, descriptors);
    settings.maxDescriptors = static_cast<std::size_t>(descriptors);
    double memoryMb = static_cast<double>(settings.memoryMb);
    constexpr double maxMemoryMb = 1e6;
    reader.readNumber("memory_mb", 16, maxMemoryMb, memoryMb);
    settings.memoryMb = static_cast<std::size_t>(memoryMb);
    reader.readDuration("retry_window", settings.retryWindow);
    if (settings.retryWindow < std::chrono::seconds(1))
        settings.retryWindow = std::chrono::seconds(1);
    reader.readNumber("retry_ratio", 0, 1, settings.retryRatio);
    reader.readNumber("retry_reserve", 0, maxReserve, settings.retryReserve);
    constexpr double maxOverage = 100;
    reader.readDuration("evacuation_time", settings.evacuationTime);
    reader.readNumber("cold_overage", 1, maxOverage, settings.coldOverage);
    reader.readNumber("cold_reserve", 0, maxReserve, settings.coldReserve);
    reader.readDuration("heartbeat", settings.heartbeatInterval);
    if (reader.firstError())
        return tl::unexpected(*reader.firstError());
    return settings;
}

} // namespace limpet::proxy
