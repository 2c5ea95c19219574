// What the daemon reads from and writes to the store: the configuration, and the entries of the nodes.

#include "daemon_state.h"

namespace limpet::proxy {
namespace {

    constexpr duration storeTimeout = std::chrono::milliseconds(900);

} // namespace

void mesh_daemon::state::applyConfiguration(const std::string& document, const char* source)
{
    auto parsed = adapter.parseConfiguration(document);
    if (!parsed) {
        logEvent({ "configuration_rejected", { { "reason", parsed.error().message } } });
        return;
    }
    const bool isNewer = parsed->version > node.configurationVersion();
    logEvent({ "configuration_received",
        { { "source", source }, { "bytes", std::to_string(document.size()) },
            { "version", std::to_string(parsed->version) }, { "newer", isNewer ? "1" : "0" } } });
    if (!isNewer)
        return;
    auto index = std::make_shared<const mesh::configuration_index>(std::move(*parsed));
    clientServer.setLimits(index->content().limits);
    handle(mesh::configuration_received { std::move(index), document });
    applyBackendLimit();
}

void mesh_daemon::state::tickRegistry()
{
    mesh::registry::outcome outcome;
    registry.tick(bootTime(), outcome);
    execute(outcome);
}

void mesh_daemon::state::execute(mesh::registry::outcome& outcome)
{
    for (auto& call : outcome.calls) {
        const auto token = call.token;
        nodeMetrics.countStoreCall();
        store.call(std::move(call.operation), storeTimeout, [this, token](result<store_reply> reply, store_era era) {
            mesh::registry::outcome next;
            registry.handle({ token, std::move(reply), era }, bootTime(), next);
            execute(next);
        });
    }
    if (outcome.watchCheck)
        checkWatch(*outcome.watchCheck);
    for (const auto& line : outcome.log)
        logEvent(line);
    if (outcome.document)
        applyConfiguration(*outcome.document, "store");
    if (outcome.evacuations)
        handle(std::move(*outcome.evacuations));
    if (outcome.entries)
        reportListedNodes(*outcome.entries, outcome.entriesArePreliminary);
    if (outcome.unwatch && watch) {
        store.unwatch(*watch);
        watch.reset();
    }
    if (outcome.watchFrom)
        startWatch(*outcome.watchFrom);
    nodeMetrics.setStoreEra(registry.storeEra(), registry.storeRestores());
    if (std::exchange(storeReachable, registry.storeReachable()) != registry.storeReachable())
        handle(mesh::store_reachability { registry.storeReachable() });
    loop.cancelTimer(registryTimer);
    const auto next = registry.nextTimer();
    if (next != time_point::max())
        registryTimer = loop.callAt(next, [this] { tickRegistry(); });
}

/// Reads and watches the configuration if other nodes do not do it for this one.
void mesh_daemon::state::chooseConfigurationSource()
{
    mesh::registry::outcome outcome;
    registry.readConfiguration(node.readsConfiguration(bootTime()), bootTime(), outcome);
    execute(outcome);
}

void mesh_daemon::state::startWatch(store_position from)
{
    if (watch)
        store.unwatch(*watch);
    const bool watchesEvacuations = settings.evacuationTime > duration(0);
    const auto& watched = watchesEvacuations ? adapter.operatorPrefix : adapter.configurationKey;
    watch = store.watch(watched, from, [this](const store_watch_event& event) {
        mesh::registry::outcome outcome;
        const auto era = std::visit([](const auto& each) { return each.era; }, event);
        const auto change = registry.observeEra(era, "watch", bootTime(), outcome);
        if (const auto* changes = std::get_if<store_changes>(&event)) {
            for (const auto& each : changes->changes) {
                if (change == era_change::none && !each.erased && each.entry.key == adapter.configurationKey)
                    registry.configurationChanged(each.entry.value, outcome);
                if (change == era_change::none && each.entry.key.starts_with(adapter.evacuationPrefix))
                    registry.evacuationsChanged(bootTime());
            }
        } else {
            watch.reset();
            logEvent({ "watch_ended", {} });
            registry.watchEnded(bootTime());
        }
        execute(outcome);
    });
}

/// Checks whether the watch has missed a change. token: of the registry.
void mesh_daemon::state::checkWatch(std::uint64_t token)
{
    nodeMetrics.countStoreCall();
    store.checkWatch(watch.value_or(0), storeTimeout, [this, token](const auto& check, store_era era) {
        mesh::registry::outcome outcome;
        registry.watchChecked(token, check, era, bootTime(), outcome);
        execute(outcome);
    });
}

void mesh_daemon::state::reportListedNodes(const std::vector<std::string>& entries, bool preliminary)
{
    mesh::nodes_listed listed;
    listed.preliminary = preliminary;
    for (const auto& each : entries) {
        const auto end = each.find(entrySeparator);
        auto address = parseAddress(std::string_view(each).substr(0, end));
        if (address)
            listed.nodes.push_back({ std::move(*address), end == std::string::npos ? "" : each.substr(end + 1) });
        else
            logEvent({ "entry_ignored", { { "reason", address.error().message } } });
    }
    handle(std::move(listed));
}

} // namespace limpet::proxy
