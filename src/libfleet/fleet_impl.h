#pragma once

#include "freshness.h"
#include "member_table.h"

#include <deque>
#include <limpetcroft/fleet.h>
#include <map>
#include <set>

namespace limpet {

/// Relays per availability zone, who are also its watchers of the store.
constexpr std::size_t relayCount = 2;

/// State and decisions of one node. The member functions are spread over files by subject.
class fleet_impl {
public:
    fleet_impl(fleet_settings settings, random_source& random);

    void start(time_point now, fleet_actions& actions);
    void receive(node_id from, const fleet_message& message, time_point now, fleet_actions& actions);
    void tick(time_point now, fleet_actions& actions);
    time_point nextTimer() const;
    void storeResult(const store_result& result, time_point now, fleet_actions& actions);
    void storeWatchEvent(const fleet_watch_event& event, time_point now, fleet_actions& actions);
    era_change observeStoreEra(store_era era, time_point now, fleet_actions& actions);
    void drain(time_point now, fleet_actions& actions);
    void announce(std::string service, std::uint32_t slots, time_point now, fleet_actions& actions);

    std::optional<member_record> member(node_id id) const;
    std::vector<member_record> members() const;
    bool joined() const { return m_join == join_state::done; }
    std::vector<node_id> relays() const { return m_relays; }
    std::shared_ptr<const configuration> inForce() const { return m_inForce; }
    revision held() const { return m_held ? m_held->number : 0; }
    acknowledgement acknowledged() const;
    bool confirmed(time_point now) const { return m_inForce && m_freshness.confirmed(now); }
    bool storeDownForEveryone(time_point now) const { return m_freshness.storeDownForEveryone(now); }
    bool keyedCallsAllowed(time_point now) const;

private:
    enum class join_state : std::uint8_t { zone, all, done };
    enum class call_kind : std::uint8_t { attest, readSeeds, writeSeed };
    struct store_request {
        call_kind kind = call_kind::attest;
        time_point asked;
        bool reported = false; ///< already stated as not reached
        revision number = 0; ///< stated if the configuration in the store is unchanged
    };
    struct probe {
        node_id target;
        std::uint64_t sequence = 0;
        time_point sent;
        bool indirect = false;
        bool answered = true;
    };
    struct queued_update {
        int transmissions = 0;
        bool whole = false; ///< the record, not only its status
    };
    using update_queue = std::map<node_id, queued_update>;
    struct relayed_ping {
        node_id asker;
        std::uint64_t sequence = 0;
        time_point sent;
    };
    struct known_zone {
        zone_summary summary;
        std::optional<time_point> heard; ///< last message from a relay of the zone
        bool silent = false;
        time_point silentSince;
        bool fresh = false; ///< has to go to the own zone
    };
    struct held_delta {
        revision from = 0;
        revision to = 0;
        std::uint64_t fromChecksum = 0;
        std::string text;
    };

    // fleet_impl.cpp: time, messages, own record
    void noteTime(time_point now, fleet_actions& actions);
    void send(node_id target, fleet_message message, fleet_actions& actions);
    void renew(time_point now, fleet_actions& actions);
    void reportChanges(time_point now, fleet_actions& actions);
    member_record view(const member_table::entry& entry) const;
    const member_record& self() const { return m_settings.self; }
    bool isRelay() const;
    bool isSelf(node_id id) const { return id == m_settings.self.id; }
    void forgetDead(time_point now);
    void handle(node_id from, const fleet_ping& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_ack& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_indirect_ping& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_member_updates& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_table_digest& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_table_pull& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_table_sync& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_configuration_push& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_configuration_pull& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_attestations& message, time_point now, fleet_actions& actions);
    void handle(node_id from, const fleet_in_force& message, time_point now, fleet_actions& actions);

    // probing.cpp
    void probeNext(time_point now, fleet_actions& actions);
    void probeIndirectly(time_point now, fleet_actions& actions);
    void judgeProbe(time_point now, fleet_actions& actions);
    void judgeSuspects(time_point now, fleet_actions& actions);
    void calibrate(node_id peer, time_point now, fleet_actions& actions);
    std::size_t suspectCount() const;
    bool manySuspects() const;

    // updates.cpp: spread of member updates, joining, table comparison
    void merge(node_id from, const gossip& updates, time_point now, fleet_actions& actions);
    bool mergeOne(const member_record& record, time_point now, fleet_actions& actions);
    void refute(incarnation run, std::uint32_t version, time_point now, fleet_actions& actions);
    void noteChange(node_id id, bool whole);
    void publish(node_id id, fleet_actions& actions);
    gossip emptyGossip() const;
    void fill(gossip& updates, update_queue& queue, std::size_t maxRecords, std::size_t maxStatuses);
    gossip piggyback();
    void joinStep(time_point now, fleet_actions& actions);
    void takeSeeds(const store_get_reply& reply, fleet_actions& actions);
    void hastenDigest(time_point now);
    void sendDigest(fleet_actions& actions);

    // tree.cpp: relays, attestations, summaries
    void rank(time_point now, fleet_actions& actions);
    template <typename Message> void forward(const Message& message, time_point now, fleet_actions& actions);
    void sendAttestations(time_point now, fleet_actions& actions);
    void sendToZones(time_point now, fleet_actions& actions);
    std::vector<zone_summary> pickSummaries();
    zone_summary ownSummary() const;
    void takeSummary(const zone_summary& summary, bool fromZone, time_point now);
    void markSilence(time_point now);
    void setSilent(place_key zone, bool silent);
    void reportInForce(node_id relay, fleet_actions& actions);
    std::optional<node_id> relayOf(place_key zone, std::uint64_t turn);

    // spread.cpp: configuration
    void adopt(configuration config, std::string delta, time_point now, fleet_actions& actions);
    void force(time_point now, fleet_actions& actions);
    void hearRevision(node_id from, revision number, time_point now);
    void pushDelta(time_point now, fleet_actions& actions);
    void pullConfiguration(time_point now, fleet_actions& actions);

    // watcher.cpp: calls to the store
    void callStore(call_kind kind, store_operation operation, time_point now, fleet_actions& actions);
    void attest(time_point now, fleet_actions& actions);
    void judgeStore(time_point now, fleet_actions& actions);
    void takeHead(const store_txn_reply& reply, const store_request& request, time_point now, fleet_actions& actions);
    void takeDelta(const store_entry& entry, time_point now, fleet_actions& actions);
    void writeSeed(time_point now, fleet_actions& actions);
    store_position nextStorePosition() const { return { m_storeRevision + 1, m_storeEra.current() }; }

    fleet_settings m_settings;
    random_source* m_random;
    place_key m_zone;
    place_key m_region;
    member_table m_table;
    clock_map m_clocks;
    freshness m_freshness;
    std::map<place_key, known_zone> m_zones;
    std::optional<time_point> m_lastEvent;
    std::set<node_id> m_changed;
    std::vector<member_record> m_forgotten;
    time_point m_nextForget;

    // probing
    std::uint64_t m_sequence = 0;
    probe m_probe;
    std::vector<node_id> m_order;
    std::size_t m_orderNext = 0;
    time_point m_nextProbe;
    time_point m_nextJudgement;
    time_point m_lastHeard; ///< any message from another member
    std::map<std::uint64_t, relayed_ping> m_relayedPings;
    std::map<std::uint64_t, std::pair<node_id, time_point>> m_calibrations;
    std::map<node_id, time_point> m_calibrationAsked;

    // updates
    update_queue m_gossip;
    update_queue m_treeUpdates;
    update_queue m_crossUpdates;
    join_state m_join = join_state::zone;
    node_id m_joinAfter;
    std::optional<node_id> m_joinPeer;
    int m_joinAttempts = 0;
    time_point m_nextJoin;
    time_point m_nextDigest;

    // relays
    std::vector<node_id> m_relays;
    bool m_watching = false;
    std::uint64_t m_bulletin = 0;
    std::map<node_id, std::uint64_t> m_forwarded;
    std::map<node_id, revision> m_forwardedRevision;
    std::map<node_id, revision> m_reported; ///< revision in force at members of the own zone
    std::map<node_id, revision> m_told; ///< revision in force last told to a relay
    zone_summary m_ownZone; ///< as the relays of the own zone stated it
    place_key m_summaryNext = 0;

    // configuration
    std::shared_ptr<const configuration> m_held;
    std::shared_ptr<const configuration> m_inForce;
    std::uint64_t m_checksum = 0;
    std::deque<held_delta> m_deltas;
    std::size_t m_deltaBytes = 0;
    revision m_pushed = 0; ///< highest revision sent down the tree by this relay
    std::vector<node_id> m_ahead; ///< members that hold a higher revision
    time_point m_nextPull = time_point::max();

    // store
    std::uint64_t m_token = 0;
    std::map<std::uint64_t, store_request> m_requests;
    store_era_tracker m_storeEra { era_order::firstSeen };
    store_revision m_storeRevision = 0; ///< of the configuration that was read last, in the current era
    revision m_storeNumber = 0; ///< its revision; 0: none was read
    time_point m_nextAttest = time_point::max();
    time_point m_nextSeeds = time_point::max();
    time_point m_nextWatch = time_point::max();
    bool m_seedWritten = false;
};

} // namespace limpet
