#include <limpetcroft/mesh.h>

namespace limpet::mesh {

void retry_budget::countFirst(const std::string& service)
{
    auto& saved = m_saved.try_emplace(service, m_reserve).first->second;
    saved = std::min(saved + m_perFirst, m_reserve + 1);
}

bool retry_budget::tryConsume(const std::string& service)
{
    auto& saved = m_saved.try_emplace(service, m_reserve).first->second;
    if (saved < 1)
        return false;
    saved -= 1;
    return true;
}

} // namespace limpet::mesh
