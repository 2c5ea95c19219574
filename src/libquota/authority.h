#pragma once

#include "holder_record.h"

#include <limpetcroft/quota.h>
#include <map>

namespace limpet {

/// Entry of a list of nodes in rendezvous order.
struct ranked_node {
    node_id node;
    std::string availabilityZone;
};

/// The lease of this node in the store. All shards that the node holds share it, so the store receives one keep-alive
/// per node and not one per shard.
struct node_lease {
    store_lease id = 0;
    time_point end; ///< counted from the time the keep-alive was sent
    time_point lastContact; ///< sending time of the last successful grant or keep-alive
    bool valid(time_point now) const { return id != 0 && now < end; }
};

/// State of this node for one shard of its region: as the holder, as a candidate, or as neither.
///
/// Invariant: at most one node has authority for a shard at any time, and when a holder issues its first token, all
/// tokens of earlier holders have been spent or have expired.
///
/// The holder record in the store changes only by compare-and-swap on its revision, so takeovers are ordered. A holder
/// has authority until its lease ends, counted from the time its last keep-alive was sent, or until the first of the
/// promises of all candidates in its record ends, whichever is later, but no longer than maxIsolation after its last
/// contact with the store. Authority that has ended is not regained in the same epoch.
///
/// With each takeover the holder writes a live key for its epoch, which is bound to its lease. The next takeover
/// requires that this live key is gone, unless the same run of the holder lost its authority and takes over again,
/// which deletes the key. The takeover is written either by a candidate whose own promise has ended and which makes no
/// promise while the outcome of the write is unknown, or by a node of high rank that has seen the live key missing for
/// maxIsolation plus leaseTime. So authority by promises has ended when the takeover is written. Authority by the lease
/// may outlast the live key only if the store's clock jumps, and then until leaseTime after the last keep-alive; a new
/// holder waits for that time and then for the lifetime of a grant. It is assumed that a call has no effect on the
/// store later than leaseTime after it was sent.
///
/// A record that was written in an earlier era of the store may not be the newest one that was written. While it
/// stands, the holder of before regains its authority at once; a candidate waits for it, and any other node, or one
/// that knows of a later epoch, until no holder can have authority any more. It is assumed that the candidates of a
/// holder that is cut off from the store did not change within its epoch between the copy and the restore.
class shard_authority {
public:
    struct output {
        std::vector<std::pair<node_id, quota_promise>> promiseRequests;
        std::optional<store_operation> call; ///< to be sent to the store; the result is passed to storeResult
        bool needsLease = false;
    };

    shard_authority(const quota_settings& settings, std::uint16_t shard, std::uint64_t seed);

    /// Live nodes of the region in rendezvous order for this shard, best first, the node itself included.
    void setRanking(std::vector<ranked_node> ranking) { m_ranking = std::move(ranking); }
    /// Returns whether this node may issue tokens now. If the authority has run out, it is dropped for the rest of the
    /// epoch, so this has to be called before any event is applied that could extend the authority.
    bool holds(time_point now, const node_lease& lease);
    /// Time from which this node may issue tokens: all tokens of earlier holders have been spent or have expired by
    /// then. Valid while this node is the holder.
    time_point issueStart() const { return m_issueStart; }
    /// The last known holder; zero if none is known.
    node_id holder() const { return m_knownHolder; }
    std::uint64_t epoch() const { return m_knownEpoch; }
    void learnHolder(node_id holder, std::uint64_t epoch);
    /// Whether this node's lease has to be kept alive for this shard.
    bool mayNeedLease() const { return m_holding || m_pendingWrite; }

    /// Returns the promise, or nothing if this node must not make it.
    std::optional<quota_promise> handlePromiseRequest(node_id from, const quota_promise& request, time_point now);
    void handlePromise(node_id from, const quota_promise& promise);

    void tick(time_point now, const node_lease& lease, output& out);
    void storeResult(const result<store_reply>& reply, time_point now, const node_lease& lease);
    /// The store was restored from a copy. Authority ends; if this node has it, it alone may take it over again without
    /// a wait, as soon as it has read that the record is not of another node's takeover since.
    void storeRestored(time_point now, const node_lease& lease);
    /// Records are written with this era, so that those of a copy are recognized.
    void setStoreEra(store_era era) { m_era = era; }
    time_point nextTimer() const;

private:
    enum class write_kind : std::uint8_t { takeover, candidates, live };
    /// A write whose outcome is not known. It is repeated unchanged, because a lost copy may still reach the store.
    struct pending_write {
        write_kind kind = write_kind::takeover;
        holder_record record;
        store_txn txn;
        store_lease lease = 0;
        bool readBack = false; ///< the outcome is to be determined by reading the record
        bool repeated = false; ///< the outcome of an earlier copy is unknown
        time_point sentAt; ///< of the last copy
    };
    struct promise_state {
        time_point until;
        std::map<std::uint64_t, time_point> sentAt; ///< sending time of unanswered promise requests by nonce
    };

    std::string recordKey() const;
    std::string liveKey(std::uint64_t epoch) const;
    std::size_t rank() const;
    bool isCandidate() const;
    std::vector<node_id> bestCandidates() const;
    bool candidatesOutdated(time_point now);
    bool recordIsFromCopy() const;
    bool regainsAuthority() const;
    std::uint64_t nextEpoch() const;
    bool mayTakeOver(time_point now) const;
    time_point promiseEnd() const;
    time_point authorityEnd(const node_lease& lease) const;
    void dropAuthority(time_point now);
    void requestPromises(time_point now, output& out);
    void readRecord(output& out);
    void sendWrite(time_point now, output& out);
    void startWrite(write_kind kind, holder_record record, const node_lease& lease);
    void writeSucceeded(time_point now);
    void writeFailed(time_point now);
    void resolveWrite(const store_get_reply& reply, time_point now);
    void applyRecord(const store_get_reply& reply, time_point now);
    void tickFollower(time_point now, const node_lease& lease, output& out);
    void tickHolder(time_point now, const node_lease& lease, output& out);
    /// Allows for clocks of two nodes that run at slightly different speeds.
    duration withDriftMargin(duration value) const { return value + (value / 64); }

    quota_settings m_settings;
    std::uint16_t m_shard;
    random_source m_random;
    std::vector<ranked_node> m_ranking;
    std::optional<time_point> m_started; ///< time of the first tick
    bool m_callPending = false;
    bool m_callIsRead = false;
    time_point m_nextCall;

    store_era m_era = 0;
    std::optional<time_point> m_restoredAt; ///< when this node noticed it last
    bool m_heldWhenRestored = false;

    // The holder record as last read or written.
    bool m_recordFresh = false; ///< the last read allowed a takeover, which has not been attempted since
    store_revision m_recordRevision = 0;
    store_revision m_liveRevision = 0;
    holder_record m_record;
    std::optional<time_point> m_liveMissingSince;
    std::optional<pending_write> m_pendingWrite;

    // State as the holder.
    bool m_holding = false;
    std::uint64_t m_heldEpoch = 0; ///< last epoch in which this run was the holder
    time_point m_issueStart;
    store_lease m_boundLease = 0; ///< the lease that the live key is bound to
    time_point m_boundLeaseContact; ///< last successful call on that lease
    std::map<node_id, promise_state> m_promises;
    time_point m_nextPromiseRequest;
    std::optional<time_point> m_outdatedSince; ///< since when the candidates are incomplete or not live

    // State as a candidate.
    time_point m_promisedUntil;
    std::optional<time_point> m_lastPromiseRequest; ///< time at which the holder's last one arrived
    node_id m_knownHolder;
    std::uint64_t m_knownEpoch = 0;
};

} // namespace limpet
