#include "index.h"
#include <algorithm>

namespace limpet {

history_index::history_index(const history& events)
{
    forEach<request_sent>(events, [&](const request_sent& event) { m_sent.try_emplace(event.request, &event); });
    forEach<request_answered>(
        events, [&](const request_answered& event) { m_answered.try_emplace(event.request, &event); });
    forEach<route_known>(events, [&](const route_known& event) {
        m_routes.routes.push_back({ .method = event.method,
            .pathPrefix = event.pathPrefix,
            .service = event.service,
            .importance = event.importance,
            .idempotent = event.idempotent,
            .openToAll = event.openToAll,
            .publicWorth = event.publicWorth });
    });
}

const route_rule* history_index::route(std::string_view method, std::string_view path) const
{
    return findRoute(m_routes, method, path.substr(0, path.find('?')));
}

bool history_index::wholeInTime(const request_sent& request) const
{
    const auto* answer = answered(request.request);
    const bool inTime = answer && (request.deadline.count() == 0 || answer->time - request.time <= request.deadline);
    return inTime && isWhole(*answer);
}

} // namespace limpet
