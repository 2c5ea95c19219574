#include <limpetcroft/mesh.h>

namespace limpet::mesh {

void retry_budget::addRequest(const std::string& service)
{
    auto& saved = m_tokens.try_emplace(service, m_reserve).first->second;
    saved = std::min(saved + m_tokensPerRequest, m_reserve + 1);
}

bool retry_budget::tryConsume(const std::string& service)
{
    auto& saved = m_tokens.try_emplace(service, m_reserve).first->second;
    if (saved < 1)
        return false;
    saved -= 1;
    return true;
}

} // namespace limpet::mesh
