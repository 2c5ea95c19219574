#include <limpetcroft/proxy.h>
#include <nlohmann/json.hpp>

namespace limpet::proxy {
namespace {

    using nlohmann::json;

    /// Reads members of the settings and keeps the first problem.
    class member_reader {
    public:
        explicit member_reader(const json& object)
            : m_object(object)
        {
        }

        void text(const char* name, std::string& target)
        {
            const auto* value = find(name);
            if (value && value->is_string() && !value->get_ref<const std::string&>().empty())
                target = value->get<std::string>();
            else
                report(name, "write a text that is not empty");
        }

        void address(const char* name, socket_address& target)
        {
            std::string written;
            text(name, written);
            if (m_problem)
                return;
            auto parsed = parseAddress(written);
            if (parsed)
                target = *parsed;
            else
                report(name, parsed.error().message);
        }

        void number(const char* name, double least, double most, double& target)
        {
            const auto* value = find(name);
            if (!value)
                return;
            if (value->is_number() && value->get<double>() >= least && value->get<double>() <= most)
                target = value->get<double>();
            else
                report(name, "write a number from " + std::to_string(least) + " to " + std::to_string(most));
        }

        void milliseconds(const char* name, duration& target)
        {
            constexpr double longest = 3600e3;
            double value = std::chrono::duration<double, std::milli>(target).count();
            number(name, 0, longest, value);
            target = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
        }

        const std::optional<error>& problem() const { return m_problem; }

    private:
        const json* find(const char* name) const
        {
            const auto found = m_object.find(name);
            return found == m_object.end() ? nullptr : &*found;
        }

        void report(const char* name, const std::string& remedy)
        {
            if (!m_problem)
                m_problem = error { error_kind::invalidArgument, "setting \"" + std::string(name) + "\": " + remedy };
        }

        const json& m_object;
        std::optional<error> m_problem;
    };

} // namespace

result<daemon_settings> parseDaemonSettings(std::string_view text)
{
    const auto parsed = json::parse(text, nullptr, false, true);
    if (!parsed.is_object())
        return fail(error_kind::malformed, "the settings are no JSON object; correct the file");
    daemon_settings settings;
    member_reader reader(parsed);
    reader.text("node", settings.name);
    reader.text("region", settings.region);
    reader.text("availability_zone", settings.availabilityZone);
    reader.text("service", settings.service);
    reader.address("client_address", settings.clientAddress);
    reader.address("health_address", settings.healthAddress);
    reader.address("control_address", settings.controlAddress);
    reader.address("link_address", settings.linkAddress);
    reader.address("metrics_address", settings.metricsAddress);
    reader.address("backend_address", settings.backendAddress);
    reader.address("store_address", settings.storeAddress);
    settings.drainTime = std::chrono::milliseconds(2500);
    settings.stopTime = std::chrono::seconds(6);
    reader.milliseconds("drain_time_ms", settings.drainTime);
    reader.milliseconds("stop_time_ms", settings.stopTime);
    double descriptors = static_cast<double>(settings.maxDescriptors);
    constexpr double mostDescriptors = 1e6;
    constexpr double mostReserve = 1e6;
    reader.number("max_descriptors", 64, mostDescriptors, descriptors);
    settings.maxDescriptors = static_cast<std::size_t>(descriptors);
    reader.number("retry_ratio", 0, 1, settings.retryRatio);
    reader.number("retry_reserve", 0, mostReserve, settings.retryReserve);
    if (reader.problem())
        return tl::unexpected(*reader.problem());
    return settings;
}

} // namespace limpet::proxy
