#pragma once

/// \file fleet.h
/// Membership gossip, configuration spread and key freshness of one node. Pure decision code: every entry point takes
/// the current time of the node's clock and appends the actions that the caller has to carry out.

#include <limpetcroft/core.h>

namespace limpet {

enum class member_state : std::uint8_t {
    alive,
    draining, ///< leaves; gets no new work
    suspect, ///< does not answer probes, or its availability zone is silent; weak evidence for routing
    dead,
};
std::string_view name(member_state state);

/// What is known of a member. A later incarnation replaces an earlier one; within an incarnation the higher version
/// wins, and for equal versions the later state in the order of member_state.
struct member_record {
    node_id id;
    std::string name;
    socket_address address;
    std::string region;
    std::string zone; ///< availability zone
    std::string service;
    std::uint32_t slots = 0; ///< announced number of concurrent requests
    incarnation run = 0;
    std::uint32_t version = 0; ///< raised only by the member itself
    member_state state = member_state::alive;
    auto operator<=>(const member_record&) const = default;
};

/// The part of a record that changes without the member changing its description.
struct member_status {
    node_id id;
    incarnation run = 0;
    std::uint32_t version = 0;
    member_state state = member_state::alive;
    auto operator<=>(const member_status&) const = default;
};

/// Hash of the name of a region or availability zone, in place of the name in frequent messages.
using place_key = std::uint32_t;
place_key makePlaceKey(std::string_view placeName);

/// Updates that travel on other messages.
struct gossip {
    std::vector<member_record> records;
    std::vector<member_status> statuses;
    revision held = 0; ///< configuration that the sender holds
    std::uint64_t checksum = 0; ///< of that configuration
    auto operator<=>(const gossip&) const = default;
};

/// What the watchers of one region said last. An age counts from the moment at which the watcher asked the store; it
/// may be overstated but never understated. noAge: never said.
struct attestation {
    place_key region = 0;
    revision head = 0; ///< revision in the store, as read by the youngest "reached"
    duration reachedAge { 0 };
    duration missedAge { 0 }; ///< of "not reached"
    auto operator<=>(const attestation&) const = default;
};
constexpr duration noAge = duration::max();

/// How far the members of an availability zone are with the configuration.
struct zone_summary {
    place_key zone = 0;
    revision number = 0; ///< highest revision that a relay of the zone knows
    std::uint32_t members = 0; ///< live members
    std::uint32_t inForce = 0; ///< of these, where that revision is in force
    std::vector<node_id> lagging; ///< the first few of the others
    bool silent = false; ///< the sender's zone hears nothing from this zone
    auto operator<=>(const zone_summary&) const = default;
};

/// Part of a zone that a receiver has to forward a message to: members whose tree position is in [first, last].
struct tree_range {
    node_id root; ///< relay that sent the message first; its id also decides the positions
    std::uint64_t first = 1;
    std::uint64_t last = 0; ///< below first: nobody
    auto operator<=>(const tree_range&) const = default;
};

struct zone_digest {
    place_key zone = 0;
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
    auto operator<=>(const zone_digest&) const = default;
};
struct member_digest {
    node_id id;
    std::uint32_t hash = 0;
    auto operator<=>(const member_digest&) const = default;
};

struct fleet_ping {
    std::uint64_t sequence = 0;
    incarnation targetRun = 0; ///< a receiver of another incarnation answers with its record
    bool wantAttestations = false;
    gossip updates;
    auto operator<=>(const fleet_ping&) const = default;
};
struct fleet_ack {
    std::uint64_t sequence = 0;
    node_id about; ///< the member that answered; not the sender after an indirect ping
    incarnation run = 0; ///< of the sender
    std::int64_t clock = 0; ///< sender's clock in microseconds when it sent this
    std::vector<attestation> attestations;
    gossip updates;
    auto operator<=>(const fleet_ack&) const = default;
};
/// Asks the receiver to ping a third member and to pass on its answer.
struct fleet_indirect_ping {
    std::uint64_t sequence = 0;
    node_id target;
    auto operator<=>(const fleet_indirect_ping&) const = default;
};
struct fleet_member_updates {
    gossip updates;
    auto operator<=>(const fleet_member_updates&) const = default;
};
/// With zones: state of whole zones. With members: state of each member of one zone.
struct fleet_table_digest {
    std::vector<zone_digest> zones;
    place_key zone = 0;
    std::vector<member_digest> members;
    auto operator<=>(const fleet_table_digest&) const = default;
};
/// Asks for a page of the table.
struct fleet_table_pull {
    member_record self;
    bool zoneOnly = true; ///< only members of the asker's zone
    node_id after; ///< page starts behind this member
    auto operator<=>(const fleet_table_pull&) const = default;
};
struct fleet_table_sync {
    gossip updates;
    std::vector<node_id> wanted; ///< members whose records the sender asks for
    bool page = false; ///< answers a fleet_table_pull
    bool zoneOnly = true;
    bool more = false; ///< the page does not reach the end
    auto operator<=>(const fleet_table_sync&) const = default;
};
/// Deltas in order of revision, or one whole document.
struct fleet_configuration_push {
    tree_range range;
    revision from = 0; ///< deltas lead from this revision
    std::vector<std::string> deltas;
    std::string document;
    std::uint64_t checksum = 0; ///< of the result
    auto operator<=>(const fleet_configuration_push&) const = default;
};
struct fleet_configuration_pull {
    revision held = 0;
    std::uint64_t checksum = 0;
    auto operator<=>(const fleet_configuration_pull&) const = default;
};
/// Sent by relays every second, to relays of other zones and down a tree through the own zone.
struct fleet_attestations {
    tree_range range;
    std::uint64_t sequence = 0; ///< counted by the root; a message that comes again or late is not forwarded
    incarnation run = 0; ///< of the sender
    std::int64_t clock = 0; ///< sender's clock in microseconds when it sent this
    std::vector<attestation> attestations;
    std::vector<zone_summary> zones;
    gossip updates;
    auto operator<=>(const fleet_attestations&) const = default;
};
/// Tells a relay of the own zone which revision is in force at the sender.
struct fleet_in_force {
    revision number = 0;
    auto operator<=>(const fleet_in_force&) const = default;
};

using fleet_message = std::variant<fleet_ping, fleet_ack, fleet_indirect_ping, fleet_member_updates, fleet_table_digest,
    fleet_table_pull, fleet_table_sync, fleet_configuration_push, fleet_configuration_pull, fleet_attestations,
    fleet_in_force>;

/// Largest encoded message. It holds a whole configuration document.
constexpr std::size_t maxFleetMessage = 1280 * std::size_t { 1024 };

/// Encodes a message as a FlatBuffer with the file identifier LFLT.
std::string encode(const fleet_message& message);
/// Verifies and decodes a message. A kind that this version does not know gives error_kind::invalidArgument.
result<fleet_message> parseFleetMessage(std::string_view bytes);

/// Store keys of the configuration and of the addresses for joining.
constexpr std::string_view configurationKey = "config/current";
constexpr std::string_view deltaPrefix = "config/delta/";
constexpr std::string_view seedPrefix = "seed/";
/// Key of the delta that leads to a revision. Keys are in order of revision.
std::string deltaKey(revision number);

/// Encodes a configuration as JSON text; equal configurations give equal text.
std::string encodeConfiguration(const configuration& config);
/// Fails if the text is malformed, breaks a type or does not have the checksum that it states.
result<configuration> parseConfiguration(std::string_view text);
/// Checksum of the encoded text without the checksum itself.
std::uint64_t checksum(const configuration& config);
/// JSON text of the difference between two configurations; after.number must be before.number + 1 or larger.
std::string encodeDelta(const configuration& before, const configuration& after);
/// Applies a delta. Fails if it does not start at this revision or the result has another checksum.
result<configuration> applyDelta(const configuration& before, std::string_view delta);

struct fleet_settings {
    member_record self; ///< state and version are set by the fleet
    std::vector<std::string> regions; ///< every region of the deployment; storeDownForEveryone needs all of them
    std::vector<socket_address> seeds; ///< for joining
    duration confirmationBound = std::chrono::seconds(4); ///< largest age of an attestation that confirms
    duration attestationPeriod = std::chrono::seconds(1);
    duration storeTimeout = std::chrono::milliseconds(800); ///< then the store counts as not reached
    duration probePeriod = std::chrono::seconds(1);
    duration probeTimeout = std::chrono::milliseconds(300); ///< then indirect probes start
    duration suspicion = std::chrono::seconds(4); ///< from suspect to dead
    duration massSuspicion = std::chrono::seconds(30); ///< the same while many members of the zone are suspect
    duration zoneSilence = std::chrono::seconds(6); ///< without news from a zone until its members are suspect
    duration zoneForget = std::chrono::minutes(15); ///< without news from a zone until its members are forgotten
    duration deadRetention = std::chrono::hours(1); ///< until a dead member is forgotten
    duration digestPeriod = std::chrono::seconds(10);
    duration pauseGap = std::chrono::seconds(2); ///< a longer gap between two events counts as a pause
    /// Upper bound of the difference between the rates of two node clocks. Linux slews by at most 500 ppm.
    double clockDrift = 0.001;
};

struct send_message {
    node_id to; ///< zero: only the address is known
    socket_address address;
    fleet_message message;
};
struct start_store_watch {
    std::string prefix;
    store_position from; ///< first revision of interest
};
struct stop_store_watch {
    std::string prefix;
};
struct members_changed {
    std::vector<member_record> members; ///< a forgotten member comes as dead
};
/// Handed out once for each revision, in increasing order.
struct configuration_in_force {
    std::shared_ptr<const configuration> value;
};
using fleet_action = std::variant<send_message, store_call, start_store_watch, stop_store_watch, members_changed,
    configuration_in_force>;
using fleet_actions = std::vector<fleet_action>;

/// What an open watch delivered.
struct fleet_watch_event {
    std::string prefix;
    std::vector<store_entry> changed;
    bool broken = false; ///< the watch has ended; a new one is started by the fleet
    store_era era = 0; ///< of the store when it reported this; 0: unknown
};

/// Answer to "in force on n of m nodes".
struct acknowledgement {
    revision number = 0; ///< highest known revision
    std::uint32_t members = 0;
    std::uint32_t inForce = 0;
    std::vector<std::string> lagging; ///< names of some nodes that lag
};

class fleet_impl;

/// The part of one node that knows the other members, the configuration and how fresh it is.
class fleet {
public:
    fleet(fleet_settings settings, random_source& random);
    ~fleet();
    fleet(fleet&&) noexcept;
    fleet& operator=(fleet&&) noexcept;

    void start(time_point now, fleet_actions& actions);
    void receive(node_id from, const fleet_message& message, time_point now, fleet_actions& actions);
    /// To be called at nextTimer() or later; earlier calls do no harm.
    void tick(time_point now, fleet_actions& actions);
    time_point nextTimer() const;
    void storeResult(const store_result& result, time_point now, fleet_actions& actions);
    void storeWatchEvent(const fleet_watch_event& event, time_point now, fleet_actions& actions);
    /// Takes the era of a reply to another library of this node. Both functions above take that of their own.
    void observeStoreEra(store_era era, time_point now, fleet_actions& actions);

    /// Announces that this node leaves. Cannot be taken back.
    void drain(time_point now, fleet_actions& actions);
    /// Changes the announced slots or service.
    void announce(std::string service, std::uint32_t slots, time_point now, fleet_actions& actions);

    /// Record of a member as seen from here, or nullopt.
    std::optional<member_record> member(node_id id) const;
    /// Every member but the dead, with this node.
    std::vector<member_record> members() const;
    /// True once this node has read the table of another member, or has been alone for a while.
    bool joined() const;
    /// Relays (who are also the watchers) of the own availability zone as ranked here.
    std::vector<node_id> relays() const;

    /// Configuration in force, or nullptr.
    std::shared_ptr<const configuration> inForce() const;
    /// Held revision; it may not be in force yet. 0: none.
    revision held() const;
    acknowledgement acknowledged() const;

    /// An attestation no older than the bound names a head revision that this node already holds.
    bool confirmed(time_point now) const;
    /// Every region has a fresh "not reached" and no region has a fresh "reached".
    bool storeDownForEveryone(time_point now) const;
    /// Whether calls that need a team's key may run.
    bool keyedCallsAllowed(time_point now) const;

private:
    std::unique_ptr<fleet_impl> m_impl;
};

} // namespace limpet
