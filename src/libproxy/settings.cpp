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

        void readNumber(const char* name, double min, double max, double& target)
        {
            const auto* value = find(name);
            if (!value)
                return;
            if (value->is_number() && value->get<double>() >= min && value->get<double>() <= max)
                target = value->get<double>();
            else
                recordError(name, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        }

        void readMilliseconds(const char* name, duration& target)
        {
            constexpr double maxMilliseconds = 3600e3;
            double value = std::chrono::duration<double, std::milli>(target).count();
            readNumber(name, 0, maxMilliseconds, value);
            target = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
        }

        const std::optional<error>& firstError() const { return m_firstError; }

    private:
        const json* find(const char* name) const
        {
            const auto found = m_object.find(name);
            return found == m_object.end() ? nullptr : &*found;
        }

        void recordError(const char* name, const std::string& expectation)
        {
            if (!m_firstError)
                m_firstError
                    = error { error_kind::invalidArgument, "setting \"" + std::string(name) + "\": " + expectation };
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
    reader.readMilliseconds("drain_time_ms", settings.drainTime);
    reader.readMilliseconds("stop_time_ms", settings.stopTime);
    double descriptors = static_cast<double>(settings.maxDescriptors);
    constexpr double maxDescriptorLimit = 1e6;
    constexpr double maxReserve = 1e6;
    reader.readNumber("max_descriptors", 64, maxDescriptorLimit, descriptors);
    settings.maxDescriptors = static_cast<std::size_t>(descriptors);
    double memoryMb = static_cast<double>(settings.memoryMb);
    constexpr double maxMemoryMb = 1e6;
    reader.readNumber("memory_mb", 16, maxMemoryMb, memoryMb);
    settings.memoryMb = static_cast<std::size_t>(memoryMb);
    reader.readMilliseconds("retry_window_ms", settings.retryWindow);
    if (settings.retryWindow < std::chrono::seconds(1))
        settings.retryWindow = std::chrono::seconds(1);
    reader.readNumber("retry_ratio", 0, 1, settings.retryRatio);
    reader.readNumber("retry_reserve", 0, maxReserve, settings.retryReserve);
    constexpr double maxOverage = 100;
    reader.readMilliseconds("evacuation_time_ms", settings.evacuationTime);
    reader.readNumber("cold_overage", 1, maxOverage, settings.coldOverage);
    reader.readNumber("cold_reserve", 0, maxReserve, settings.coldReserve);
    reader.readMilliseconds("heartbeat_ms", settings.heartbeatInterval);
    if (reader.firstError())
        return tl::unexpected(*reader.firstError());
    return settings;
}

} // namespace limpet::proxy
