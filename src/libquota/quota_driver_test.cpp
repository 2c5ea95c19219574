#include "quota_driver_test.h"

#include <algorithm>

namespace limpet::driver {

namespace {
    template <typename... Cases> struct overload : Cases... {
        using Cases::operator()...;
    };
    template <typename... Cases> overload(Cases...) -> overload<Cases...>;
}

fleet::fleet(driver_options given)
    : options(given)
    , random(given.seed)
{
    for (unsigned region = 0; region < options.regions; ++region) {
        m_regions.push_back("r" + std::to_string(region));
        for (unsigned i = 0; i < options.zones * options.nodesPerZone; ++i) {
            node added;
            added.region = region;
            added.settings.self = makeNodeId(m_regions.back() + "-" + std::to_string(i));
            added.settings.region = m_regions.back();
            added.settings.availabilityZone = m_regions.back() + std::to_string(i % options.zones);
            added.settings.policy = options.policy;
            added.settings.shards = options.shards;
            added.clockOffset = std::chrono::milliseconds(random.below(1000000));
            m_index[added.settings.self] = nodes.size();
            nodes.push_back(std::move(added));
        }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
        start(i);
    sendMembers();
}

void fleet::start(std::size_t index)
{
    node& started = nodes[index];
    ++started.settings.run;
    started.up = true;
    started.backlog.clear();
    started.limiter = std::make_unique<quota>(started.settings, random.next());
    std::vector<quota_action> actions;
    started.limiter->configure(m_revision, m_rules, m_regions, localTime(started), actions);
    performActions(index, actions);
}

void fleet::sendMembers()
{
    std::vector<quota_member> list;
    for (const node& each : nodes) {
        if (each.up)
            list.push_back(
                { each.settings.self, each.settings.region, each.settings.availabilityZone, each.settings.run });
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        deliver(i, [this, i, list] {
            invoke(i, [&](quota& limiter, time_point time, auto& actions) { limiter.setMembers(list, time, actions); });
        });
    }
}

void fleet::setRules(std::vector<team_rule> rules)
{
    m_rules = std::move(rules);
    const revision number = ++m_revision;
    for (const team_rule& rule : m_rules) {
        team& known = teams[rule.team];
        const bool fresh = known.burst == 0;
        const double rate = std::max(rule.ratePerSecond, known.rate);
        const double burst = std::max(rule.burst, known.burst);
        known.checker.setRule(rate, burst, now);
        known.rate = rule.ratePerSecond;
        known.burst = rule.burst;
        known.level = fresh ? rule.burst : std::min(known.level, rule.burst);
        known.updated = now;
        // The larger limit is allowed until all holders apply a lowered rule.
        scheduleAt(now + std::chrono::seconds(4), [this, rule, number] {
            if (number == m_revision)
                teams[rule.team].checker.setRule(rule.ratePerSecond, rule.burst, now);
        });
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        scheduleAt(now + duration(random.below(1000000)), [this, i, number, copy = m_rules] {
            deliver(i, [this, i, number, copy] {
                invoke(i, [&](quota& limiter, time_point time, auto& actions) {
                    limiter.configure(number, copy, m_regions, time, actions);
                });
            });
        });
    }
}

void fleet::deliver(std::size_t index, std::function<void()> action)
{
    node& to = nodes[index];
    if (!to.up)
        return;
    if (to.pausedUntil > now)
        to.backlog.push_back(std::move(action));
    else
        action();
}

void fleet::performActions(std::size_t index, std::vector<quota_action>& actions)
{
    for (const quota_action& action : actions) {
        std::visit(overload {
                       [&](const quota_send& sent) { send(index, sent); },
                       [&](const quota_completion& resolved) {
                           const auto found = m_waiting.find({ index, resolved.handle });
                           recordDecision(found->second.team, resolved.granted, found->second.hadCapacity,
                               now - found->second.since);
                           m_waiting.erase(found);
                       },
                       [&](const store_call& call) { callStore(index, call); },
                   },
            action);
    }
    armTimer(index);
}

void fleet::armTimer(std::size_t index)
{
    node& armed = nodes[index];
    const time_point next = armed.limiter->nextTimer();
    if (next == time_point::max())
        return;
    const time_point when = std::max(next - armed.clockOffset, now + duration(1));
    if (when >= armed.timerAt && armed.timerAt > now)
        return;
    armed.timerAt = when;
    scheduleAt(when, [this, index, when, run = armed.settings.run] {
        node& woken = nodes[index];
        if (woken.settings.run != run || woken.timerAt != when)
            return;
        woken.timerAt = time_point::max();
        deliver(index, [this, index] {
            invoke(index, [&](quota& limiter, time_point time, auto& actions) { limiter.tick(time, actions); });
        });
    });
}

void fleet::send(std::size_t from, const quota_send& action)
{
    const auto found = m_index.find(action.to);
    if (found == m_index.end())
        return;
    const std::size_t to = found->second;
    if (options.measure) {
        const std::size_t size = encode(action.message).size();
        nodes[from].sentBytes += size;
        ++nodes[from].sentFrames;
        nodes[to].receivedBytes += size;
        nodes[from].crossRegionBytes += nodes[from].region == nodes[to].region ? 0 : size;
    }
    const bool same = nodes[from].region == nodes[to].region;
    const duration base = same ? std::chrono::microseconds(500) : std::chrono::milliseconds(30);
    const int copies = random.uniform() < options.lossProbability ? 0
        : random.uniform() < options.duplicateProbability         ? 2
                                                                  : 1;
    for (int copy = 0; copy < copies; ++copy) {
        scheduleAt(now + base + random.exponential(options.meanJitter), [this, from, to, message = action.message] {
            if (partitioned(nodes[from], nodes[to]))
                return;
            deliver(to, [this, from, to, message] {
                invoke(to, [&](quota& limiter, time_point time, auto& actions) {
                    limiter.receive(nodes[from].settings.self, message, time, actions);
                });
            });
        });
    }
}

void fleet::callStore(std::size_t index, const store_call& call)
{
    ++storeCalls;
    const auto reply = [this, index, token = call.token, run = nodes[index].settings.run](
                           duration after, result<store_reply> value, store_era era) {
        scheduleAt(now + after, [this, index, token, run, value = std::move(value), era] {
            if (nodes[index].settings.run != run)
                return;
            deliver(index, [this, index, token, value, era] {
                invoke(index, [&](quota& limiter, time_point time, auto& actions) {
                    limiter.storeResult({ token, value, era }, time, actions);
                });
            });
        });
    };
    const bool late = random.uniform() < options.storeDelayProbability;
    const duration travel = late ? duration(random.below(2000000)) : duration(2000);
    scheduleAt(now + travel, [this, index, reply, late, operation = call.operation] {
        const auto lost = fail(error_kind::unknownOutcome, "no reply");
        if (!storeReachable(nodes[index]))
            return reply(std::chrono::seconds(1), lost, 0);
        store_reply value = applyToStore(operation);
        if (late || random.uniform() < options.storeReplyLoss)
            return reply(std::chrono::milliseconds(500), lost, 0);
        reply(std::chrono::milliseconds(2), std::move(value), m_store.era);
    });
}

void fleet::expireLeases()
{
    for (auto& [id, lease] : m_store.leases)
        lease.first = now;
}

store_reply fleet::applyToStore(const store_operation& operation)
{
    std::erase_if(m_store.leases, [&](const auto& item) { return item.second.first <= now; });
    std::erase_if(m_store.entries,
        [&](const auto& item) { return item.second.lease != 0 && !m_store.leases.contains(item.second.lease); });
    const auto revisionOf
        = [&](const std::string& key) { return m_store.entries.contains(key) ? m_store.entries[key].modRevision : 0; };
    return std::visit(overload {
                          [&](const store_get& get) -> store_reply {
                              store_get_reply reply { .head = m_store.head };
                              for (const auto& [key, entry] : m_store.entries) {
                                  if (get.prefix ? key.starts_with(get.key) : key == get.key)
                                      reply.entries.push_back(entry);
                              }
                              return reply;
                          },
                          [&](const store_txn& txn) -> store_reply {
                              const bool holds = std::ranges::all_of(txn.compares,
                                  [&](const store_compare& each) { return revisionOf(each.key) == each.modRevision; });
                              if (!holds)
                                  return store_txn_reply { .head = m_store.head };
                              ++m_store.head;
                              for (const store_write& write : txn.writes) {
                                  if (const auto* put = std::get_if<store_put>(&write))
                                      m_store.entries[put->key] = { put->key, put->value, m_store.head, put->lease };
                                  else
                                      m_store.entries.erase(std::get<store_erase>(write).key);
                              }
                              return store_txn_reply { .succeeded = true, .head = m_store.head };
                          },
                          [&](const store_lease_grant& grant) -> store_reply {
                              const store_lease id = ++m_store.head + 1000000;
                              m_store.leases[id] = { now + grant.timeToLive, grant.timeToLive };
                              return store_lease_reply { id, grant.timeToLive };
                          },
                          [&](const store_lease_keep_alive& keep) -> store_reply {
                              const auto found = m_store.leases.find(keep.lease);
                              if (found == m_store.leases.end())
                                  return store_lease_reply { keep.lease };
                              found->second.first = now + found->second.second;
                              return store_lease_reply { keep.lease, found->second.second };
                          },
                          [&](const store_lease_revoke& revoke) -> store_reply {
                              m_store.leases.erase(revoke.lease);
                              return store_lease_reply { revoke.lease };
                          },
                      },
        operation);
}

void fleet::recordDecision(const std::string& name, bool granted, bool hadCapacity, duration waited)
{
    team& known = teams[name];
    known.counts.longestWait = std::max(known.counts.longestWait, waited);
    known.counts.waited += waited > duration::zero() ? 1 : 0;
    if (granted) {
        known.checker.recordAdmission(now);
        return;
    }
    ++known.counts.refused;
    known.counts.wrongful += hadCapacity ? 1 : 0;
}

void fleet::offer(std::size_t index, const std::string& name, duration timeout)
{
    node& entry = nodes[index];
    if (!entry.up || entry.pausedUntil > now)
        return;
    team& known = teams[name];
    ++known.counts.offered;
    const double passed = std::chrono::duration<double>(now - known.updated).count();
    known.level = std::min(known.burst, known.level + (passed * known.rate));
    known.updated = now;
    const bool ideal = known.level >= 1;
    known.level -= ideal ? 1 : 0;
    known.counts.ideal += ideal ? 0 : 1;
    const bool hadCapacity = known.checker.slack(now) >= 1;
    const std::uint64_t handle = ++m_lastHandle;
    invoke(index, [&](quota& limiter, time_point time, auto& actions) {
        const quota_decision decision = limiter.acquire(name, handle, time + timeout, time, actions);
        if (decision.outcome == quota_outcome::waiting)
            m_waiting[{ index, handle }] = { name, now, hadCapacity };
        else
            recordDecision(name, decision.outcome == quota_outcome::granted, hadCapacity, duration::zero());
    });
}

void fleet::load(const std::string& name, double rate, duration length, std::function<std::size_t()> pickNode)
{
    const duration gap = random.exponential(duration(static_cast<duration::rep>(1e6 / rate)));
    if (gap > length)
        return;
    scheduleAt(now + gap, [this, name, rate, rest = length - gap, pickNode = std::move(pickNode)] {
        offer(pickNode(), name);
        load(name, rate, rest, pickNode);
    });
}

void fleet::runFor(duration length)
{
    const time_point end = now + length;
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        now = next.when;
        next.action();
    }
    now = end;
}

void fleet::kill(std::size_t index)
{
    nodes[index].up = false;
    nodes[index].backlog.clear();
    // The requests that wait on the node end with it.
    std::erase_if(m_waiting, [&](const auto& item) { return item.first.first == index; });
    scheduleAt(now + std::chrono::seconds(2), [this] { sendMembers(); });
}

void fleet::restart(std::size_t index)
{
    start(index);
    sendMembers();
}

void fleet::pause(std::size_t index, duration length)
{
    nodes[index].pausedUntil = now + length;
    scheduleAt(now + length, [this, index, length] {
        node& woken = nodes[index];
        if (!woken.up || woken.pausedUntil > now)
            return;
        if (options.clockStopsInPause)
            woken.clockOffset -= length;
        std::vector<std::function<void()>> backlog;
        backlog.swap(woken.backlog);
        for (const auto& action : backlog)
            action();
        armTimer(index);
    });
}

std::size_t fleet::holderOf(unsigned region)
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].region == region && nodes[i].up && nodes[i].limiter->stats(localTime(nodes[i])).shardsHeld > 0)
            return i;
    }
    return nodes.size();
}

demand_counts fleet::total() const
{
    demand_counts sum;
    for (const auto& [name, each] : teams) {
        sum.offered += each.counts.offered;
        sum.refused += each.counts.refused;
        sum.wrongful += each.counts.wrongful;
        sum.ideal += each.counts.ideal;
        sum.waited += each.counts.waited;
        sum.longestWait = std::max(sum.longestWait, each.counts.longestWait);
    }
    return sum;
}

double fleet::maxExcess() const
{
    double maxExcess = -1e300;
    for (const auto& [name, each] : teams)
        maxExcess = std::max(maxExcess, each.checker.maxExcess());
    return maxExcess;
}

} // namespace limpet::driver
