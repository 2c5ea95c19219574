#pragma once

#include <limpetcroft/fleet.h>
#include <map>

namespace limpet {

/// Maps the clocks of other nodes to the own clock, so that the age of a statement in a one-way message is never
/// understated.
///
/// A ping sent at own time p and answered with the peer's clock q proves that the peer's clock showed q at own time p
/// or later. If the rates of the two clocks differ by at most `drift`, then a later reading q + d of the peer's clock
/// happens at own time p + d * (1 - drift) or later, and an earlier reading q - d at p - d * (1 + drift) or later. A
/// statement that had age a when the peer's clock showed q + d is therefore at most
/// a + now - (p + d * (1 - drift)) old. Delay of the ping or of the message only makes that figure larger. A clock
/// belongs to one incarnation; after a restart of the peer the mapping is void.
class clock_map {
public:
    explicit clock_map(double drift);
    /// Takes the answer to a ping that was sent at that own time.
    void calibrate(node_id peer, incarnation run, time_point pingSent, std::int64_t peerClock);
    /// Earliest own time at which the peer's clock can have shown this reading, or nullopt if not calibrated.
    std::optional<time_point> earliest(node_id peer, incarnation run, std::int64_t peerClock) const;
    /// Time of the last calibration, or nullopt.
    std::optional<time_point> calibrated(node_id peer, incarnation run) const;
    void forget(node_id peer);
    /// Forgets peers that were not calibrated since.
    void forgetBefore(time_point limit);

private:
    struct entry {
        incarnation run = 0;
        time_point pingSent;
        std::int64_t peerClock = 0;
        time_point refreshed;
    };
    time_point map(const entry& value, std::int64_t peerClock) const;

    double m_drift;
    std::map<node_id, entry> m_entries;
};

/// Store attestations of every region, as own times at which watchers asked the store.
///
/// A withdrawal accepted at time W is in every head that is read after W. confirmed() needs a head no higher than the
/// held revision, read by a call that started at most `bound` ago; so from W + bound on it is true only if the held
/// revision contains the withdrawal.
class freshness {
public:
    freshness(const std::vector<std::string>& regions, duration bound);

    void reached(place_key region, revision head, time_point asked);
    void missed(place_key region, time_point asked);
    /// Takes attestations whose ages held at that time.
    void merge(const std::vector<attestation>& list, time_point stated);
    std::vector<attestation> list(time_point now) const;

    /// Sets the revision that this node holds.
    void hold(revision number);
    /// Notes a revision that somebody holds or has read.
    void hear(revision number);
    revision highest() const { return m_highest; }

    bool confirmed(time_point now) const;
    bool storeDownForEveryone(time_point now) const;

private:
    struct entry {
        revision head = 0;
        std::optional<time_point> reached;
        std::optional<time_point> missed;
        bool required = false; ///< named in the settings
    };
    bool fresh(const std::optional<time_point>& asked, time_point now) const;
    entry* find(place_key region);
    void confirmAt(revision head, time_point asked);

    duration m_bound;
    std::map<place_key, entry> m_regions;
    revision m_held = 0;
    revision m_highest = 0;
    std::optional<time_point> m_confirmed;
    bool m_complete; ///< the settings name the regions
};

} // namespace limpet
