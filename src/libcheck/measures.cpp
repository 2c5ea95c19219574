#include "index.h"
#include <algorithm>
#include <cmath>
#include <map>

namespace limpet {
namespace {

    bool contains(const time_window& window, duration time) { return time >= window.from && time < window.to; }

    /// Calls the function for each whole answer in time, with the request and the time of the answer.
    template <typename Function>
    void forEachWhole(const history& events, const history_index& index, Function&& function)
    {
        forEach<request_sent>(events, [&](const request_sent& sent) {
            if (index.wholeInTime(sent))
                function(sent, index.answered(sent.request)->time);
        });
    }

} // namespace

double goodput(const history& events, const time_window& window)
{
    const history_index index(events);
    std::size_t whole = 0;
    forEachWhole(
        events, index, [&](const request_sent&, duration answered) { whole += contains(window, answered) ? 1 : 0; });
    return window.to > window.from ? static_cast<double>(whole) / seconds(window.to - window.from) : 0;
}

std::optional<duration> recoveryTime(const history& events, const recovery_rule& rule)
{
    std::optional<duration> began;
    std::optional<duration> ended;
    duration first = duration::max();
    duration last { 0 };
    forEach<trigger_changed>(events, [&](const trigger_changed& event) {
        if (event.ended)
            ended = ended ? std::max(*ended, event.time) : event.time;
        else
            began = began ? std::min(*began, event.time) : event.time;
    });
    forEach<request_sent>(events, [&](const request_sent& event) {
        first = std::min(first, event.time);
        last = std::max(last, event.time);
    });
    if (!began || !ended || *began - first < rule.bucket)
        return std::nullopt;
    const auto before = *began - (*began - first) / rule.bucket * rule.bucket;
    const double wanted = rule.share * goodput(events, { before, *began });
    const history_index index(events);
    std::vector<std::size_t> buckets(last > *ended ? static_cast<std::size_t>((last - *ended) / rule.bucket) : 0);
    forEachWhole(events, index, [&](const request_sent&, duration answered) {
        const auto bucket
            = answered < *ended ? buckets.size() : static_cast<std::size_t>((answered - *ended) / rule.bucket);
        if (bucket < buckets.size())
            ++buckets[bucket];
    });
    std::size_t steady = 0;
    for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket) {
        const bool good = static_cast<double>(buckets[bucket]) >= wanted * seconds(rule.bucket);
        steady = good ? steady + 1 : 0;
        if (steady == rule.steadyBuckets)
            return rule.bucket * static_cast<std::int64_t>(bucket + 1 - steady);
    }
    return std::nullopt;
}

namespace {

    /// Divides an amount so that nobody gets more than his demand and what is left over goes to the others in equal
    /// parts.
    std::vector<double> maxMinFair(const std::vector<double>& demands, double amount)
    {
        std::vector<std::size_t> order(demands.size());
        for (std::size_t index = 0; index < order.size(); ++index)
            order[index] = index;
        std::ranges::sort(order, {}, [&](std::size_t index) { return demands[index]; });
        std::vector<double> shares(demands.size());
        for (std::size_t done = 0; done < order.size(); ++done) {
            const double equal = amount / static_cast<double>(order.size() - done);
            shares[order[done]] = std::min(demands[order[done]], equal);
            amount -= shares[order[done]];
        }
        return shares;
    }

} // namespace

std::vector<team_share> teamShares(const history& events, const time_window& window)
{
    const history_index index(events);
    std::map<std::string_view, double> allowed;
    forEach<team_limit>(events, [&](const team_limit& limit) {
        auto& most = allowed[limit.team];
        most = std::max(most, limit.ratePerSecond * seconds(window.to - window.from) + limit.burst);
    });
    std::map<std::string_view, team_share> teams;
    forEach<request_sent>(events, [&](const request_sent& sent) {
        if (sent.team.empty() || !contains(window, sent.time))
            return;
        auto& share = teams[sent.team];
        share.team = sent.team;
        share.sent += 1;
        share.whole += index.wholeInTime(sent) ? 1 : 0;
    });
    std::vector<team_share> shares;
    std::vector<double> demands;
    double total = 0;
    for (const auto& [team, share] : teams) {
        const auto limit = allowed.find(team);
        const auto sent = static_cast<double>(share.sent);
        demands.push_back(limit == allowed.end() ? sent : std::min(sent, limit->second));
        total += static_cast<double>(share.whole);
        shares.push_back(share);
    }
    const auto fair = maxMinFair(demands, total);
    for (std::size_t team = 0; team < shares.size(); ++team) {
        shares[team].fair = fair[team];
        // Nothing was answered at all: every team has its share of nothing.
        shares[team].ratio = fair[team] > 0 ? static_cast<double>(shares[team].whole) / fair[team] : 1;
    }
    std::ranges::stable_sort(shares, {}, &team_share::ratio);
    return shares;
}

namespace {

    /// An exact token bucket.
    struct token_bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        duration last { 0 };

        void advance(duration now)
        {
            tokens = std::min(burst, tokens + rate * seconds(now - last));
            last = now;
        }
    };

} // namespace

wrongful_count wrongfulRefusals(const history& events)
{
    const history_index index(events);
    std::map<std::string_view, token_bucket> buckets;
    wrongful_count count;
    for (const auto& event : events) {
        if (const auto* limit = std::get_if<team_limit>(&event)) {
            const bool known = buckets.contains(limit->team);
            auto& bucket = buckets[limit->team];
            bucket.advance(limit->time);
            bucket.rate = limit->ratePerSecond;
            bucket.burst = limit->burst;
            bucket.tokens = known ? std::min(bucket.tokens, limit->burst) : limit->burst;
        }
        const auto* sent = std::get_if<request_sent>(&event);
        const auto* route = sent ? index.route(sent->method, sent->path) : nullptr;
        const auto own = sent ? buckets.find(sent->team) : buckets.end();
        if (own == buckets.end() || (route && route->openToAll))
            continue;
        auto& bucket = own->second;
        bucket.advance(sent->time);
        const auto* answer = index.answered(sent->request);
        const bool refused = answer && answer->reason == name(refusal_reason::rateExceeded);
        if (refused && bucket.tokens < 1)
            continue;
        bucket.tokens = std::max(0.0, bucket.tokens - 1);
        count.insideRate += 1;
        count.refused += refused ? 1 : 0;
    }
    return count;
}

worth_count answeredWorth(const history& events, const time_window& window)
{
    const history_index index(events);
    worth_count count;
    forEach<request_sent>(events, [&](const request_sent& sent) {
        if (!contains(window, sent.time))
            return;
        const auto* route = index.route(sent.method, sent.path);
        const double worth = route ? route->publicWorth : 1;
        count.sent += worth;
        count.answered += index.wholeInTime(sent) ? worth : 0;
    });
    return count;
}

} // namespace limpet
