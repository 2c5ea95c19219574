#include <limpetcroft/mesh.h>

namespace limpet::mesh {

void retry_budget::addRequest(const std::string& service)
{
    auto& tokens = m_tokens.try_emplace(service, m_reserve).first->second;
    tokens = std::min(tokens + m_tokensPerRequest, m_reserve + 1);
}

bool retry_budget::tryConsume(const std::string& service)
{
    auto& tokens = m_tokens.try_emplace(service, m_reserve).first->second;
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

} // namespace limpet::mesh
