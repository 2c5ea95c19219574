#pragma once

#include <limpetcroft/check.h>
#include <string_view>
#include <unordered_map>

namespace limpet {

/// Calls the function for each event of one kind.
template <typename Event, typename Function> void forEach(const history& events, Function&& function)
{
    for (const auto& event : events) {
        if (const auto* value = std::get_if<Event>(&event))
            function(*value);
    }
}

inline double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

/// Returns the caller's request at the top of the tree of calls.
inline std::string_view rootOf(std::string_view request) { return request.substr(0, request.find('/')); }

inline bool isRoot(std::string_view request) { return request.find('/') == std::string_view::npos; }

inline bool isSuccess(const request_answered& answer) { return answer.status >= 200 && answer.status < 300; }

/// A whole answer to its own request.
inline bool isWhole(const request_answered& answer)
{
    return isSuccess(answer) && answer.checksumValid && answer.answeredRequest == answer.request;
}

/// Look-up tables over a history, which must outlive them.
class history_index {
public:
    explicit history_index(const history& events);

    const request_sent* sent(std::string_view request) const { return find(m_sent, request); }
    /// The first answer to a request.
    const request_answered* answered(std::string_view request) const { return find(m_answered, request); }
    const route_rule* route(std::string_view method, std::string_view path) const;
    /// A whole answer before the deadline.
    bool wholeInTime(const request_sent& request) const;

private:
    template <typename Event>
    static const Event* find(const std::unordered_map<std::string_view, const Event*>& table, std::string_view key)
    {
        const auto found = table.find(key);
        return found == table.end() ? nullptr : found->second;
    }

    std::unordered_map<std::string_view, const request_sent*> m_sent;
    std::unordered_map<std::string_view, const request_answered*> m_answered;
    configuration m_routes;
};

} // namespace limpet
