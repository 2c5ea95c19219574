#include <limpetcroft/mesh.h>

namespace limpet::mesh {
namespace {

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host);
        key += prefix;
        return key;
    }

    std::string bytesOf(const digest& key) { return { reinterpret_cast<const char*>(key.data()), key.size() }; }

} // namespace

configuration_index::configuration_index(configuration content)
    : m_content(std::move(content))
{
    for (std::size_t index = 0; index < m_content.routes.size(); ++index)
        m_routes.emplace(routeKey(m_content.routes[index].host, m_content.routes[index].pathPrefix), index);
    for (std::size_t index = 0; index < m_content.teams.size(); ++index) {
        for (const auto& key : m_content.teams[index].keys)
            m_keys.emplace(bytesOf(key), index);
    }
}

const route* configuration_index::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so that only path segments need to be tried, longest first.
    path = path.substr(0, path.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = m_routes.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != m_routes.end())
            return &m_content.routes[found->second];
    }
    return nullptr;
}

const team* configuration_index::findTeam(const digest& key) const
{
    const auto found = m_keys.find(bytesOf(key));
    return found == m_keys.end() ? nullptr : &m_content.teams[found->second];
}

const service* configuration_index::findService(std::string_view name) const
{
    for (const auto& each : m_content.services) {
        if (each.name == name)
            return &each;
    }
    return nullptr;
}

} // namespace limpet::mesh
