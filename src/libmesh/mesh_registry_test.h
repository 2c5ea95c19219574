#pragma once

// Fixture with a registry and a store that replies at once.

#include <gtest/gtest.h>
#include <limpetcroft/mesh.h>

namespace limpet::mesh::testing_support {

constexpr time_point registryStart { duration(std::chrono::seconds(1000)) };

/// A store that replies to every call, or fails it while it is unavailable.
struct fake_store {
    store_lease nextLease = 7;
    bool unavailable = false;
    bool leaseExpired = false;
    store_era era = 1;
    std::map<std::string, store_entry> entries;
    std::vector<store_operation> seen;

    result<store_reply> answer(const store_operation& operation)
    {
        seen.push_back(operation);
        if (unavailable)
            return fail(error_kind::unavailable, "down");
        if (const auto* get = std::get_if<store_get>(&operation)) {
            store_get_reply reply { {}, 10 };
            for (const auto& [key, entry] : entries) {
                if (key.starts_with(get->key))
                    reply.entries.push_back(entry);
            }
            return reply;
        }
        if (const auto* txn = std::get_if<store_txn>(&operation)) {
            for (const auto& write : txn->writes) {
                if (const auto* put = std::get_if<store_put>(&write))
                    entries[put->key] = { put->key, put->value, 11, put->lease };
                else
                    entries.erase(std::get<store_erase>(write).key);
            }
            return store_txn_reply { true, {}, 11 };
        }
        if (std::holds_alternative<store_lease_grant>(operation)) {
            leaseExpired = false;
            return store_lease_reply { ++nextLease, std::chrono::seconds(6) };
        }
        return store_lease_reply { nextLease, leaseExpired ? std::chrono::seconds(0) : std::chrono::seconds(6) };
    }

    /// Takes a copy without the node's entry. All lease numbers are in use again: renewals succeed.
    void restore()
    {
        ++era;
        entries.clear();
    }

    template <typename Operation> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(),
            [](const store_operation& each) { return std::holds_alternative<Operation>(each); }));
    }
};

struct registry_fixture {
    fake_store store;
    mesh::registry subject { { "conf", "nodes/", "a", "10.0.0.1:7000" } };
    time_point now = registryStart;
    std::optional<store_position> watchedFrom;
    std::optional<evacuations_read> evacuations; ///< as read last
    std::size_t watchChecks = 0;
    std::size_t missedByWatch = 0; ///< changes, told by the next check
    std::vector<std::string> logged; ///< because of checks of the watch

    registry_fixture()
    {
        mesh::registry::outcome out;
        subject.readConfiguration(true, now, out);
    }

    void applyActions(mesh::registry::outcome out)
    {
        while (!out.calls.empty() || out.watchCheck) {
            mesh::registry::outcome next;
            if (out.watchCheck) {
                ++watchChecks;
                const auto missed = std::exchange(missedByWatch, 0);
                subject.watchChecked(*out.watchCheck,
                    store.unavailable ? result<store_watch_check>(fail(error_kind::unavailable, "down"))
                                      : store_watch_check { missed },
                    store.unavailable ? 0 : store.era, now, next);
                for (const auto& each : next.log)
                    logged.push_back(each.name);
            }
            for (const auto& call : out.calls)
                subject.handle({ call.token, store.answer(call.operation), store.era }, now, next);
            if (next.unwatch)
                watchedFrom.reset();
            if (next.watchFrom)
                watchedFrom = next.watchFrom;
            if (next.evacuations)
                evacuations = next.evacuations;
            out = std::move(next);
        }
    }

    void runFor(duration length)
    {
        const auto end = now + length;
        while (now < end) {
            mesh::registry::outcome out;
            subject.tick(now, out);
            applyActions(std::move(out));
            now += std::chrono::milliseconds(50);
        }
    }
};

inline std::size_t configurationReads(const registry_fixture& fixture)
{
    return static_cast<std::size_t>(
        std::count_if(fixture.store.seen.begin(), fixture.store.seen.end(), [](const auto& each) {
            const auto* get = std::get_if<store_get>(&each);
            return get && get->key == "conf";
        }));
}

} // namespace limpet::mesh::testing_support
