#pragma once

#include "holder_record.h"

#include <limpetcroft/quota.h>
#include <map>

namespace limpet {

/// A node under a rendezvous rank.
struct ranked_node {
    node_id node;
    std::string availabilityZone;
};

/// The lease of this node in the store, shared by all shards that it holds, so that the store sees one keep-alive for
/// each holder node.
struct node_lease {
    store_lease id = 0;
    time_point end; ///< counted from before the keep-alive was sent
    time_point lastContact; ///< sending time of the last call on the lease that succeeded
    bool valid(time_point now) const { return id != 0 && now < end; }
};

/// What this node knows and is about the holder of one shard of its region.
///
/// Claim: no two nodes have authority for a shard at the same time, and tokens of an earlier holder have been spent
/// when the next one issues. The record changes only by compare-and-swap on its revision, so takeovers are ordered. A
/// holder has authority until its lease ends, counted from the sending of its last keep-alive, or until the earliest
/// promise of all candidates of its record, whichever is later, and never beyond longestIsolation after its last
/// contact with the store. Authority that has lapsed does not come back in the same epoch. A takeover requires that the
/// live key of the epoch, which is bound to the lease, is gone; its sender is either a candidate whose own promise has
/// run out and who promises nothing while the outcome is open, or any node that has seen the live key missing for
/// longestIsolation. So the authority by promise is over when the takeover is written. The authority by lease may
/// outlast the live key only if the store's clock jumps, by at most leaseTime after the last keep-alive; the new holder
/// waits that long, and then the life of a grant. A call to the store is taken to have no effect later than leaseTime
/// after it was sent.
class shard_authority {
public:
    struct output {
        std::vector<std::pair<node_id, quota_promise>> promiseRequests; ///< promise requests to send
        std::optional<store_operation> call; ///< its result is handed to storeResult
        bool needsLease = false;
    };

    shard_authority(const quota_settings& settings, std::uint16_t shard, std::uint64_t seed);

    /// Live nodes of the region in rendezvous order for this shard, best first, the node itself included.
    void setRanking(std::vector<ranked_node> ranking) { m_ranking = std::move(ranking); }
    /// Whether this node may issue now. Ends the authority for good when it has lapsed, so it has to be called before
    /// anything that could prolong the authority is applied.
    bool holds(time_point now, const node_lease& lease);
    /// The moment by which every token of earlier holders has been spent; valid while this node holds.
    time_point issueStart() const { return m_issueStart; }
    /// The holder as far as it is known; zero if it is not.
    node_id holder() const { return m_knownHolder; }
    std::uint64_t epoch() const { return m_knownEpoch; }
    void learnHolder(node_id holder, std::uint64_t epoch);
    /// Whether the lease of this node is or may be needed.
    bool mayNeedLease() const { return m_holding || m_pendingWrite; }

    /// Returns the promise, or nothing if this node cannot give it.
    std::optional<quota_promise> handlePromiseRequest(node_id from, const quota_promise& request, time_point now);
    void handlePromise(node_id from, const quota_promise& promise);

    void tick(time_point now, const node_lease& lease, output& out);
    void storeResult(const result<store_reply>& reply, time_point now, const node_lease& lease);
    time_point nextTimer() const;

private:
    enum class write_kind : std::uint8_t { takeover, candidates, live };
    /// A write is repeated unchanged until its outcome is known, because a lost one may still arrive.
    struct pending_write {
        write_kind kind = write_kind::takeover;
        holder_record record;
        store_txn txn;
        store_lease lease = 0;
        bool readBack = false; ///< to be settled by reading
        bool repeated = false; ///< the outcome of an earlier copy was unknown
        time_point sentAt; ///< last copy
    };
    struct promise_state {
        time_point until;
        std::map<std::uint64_t, time_point> sentAt; ///< nonce to sending time
    };

    std::string recordKey() const;
    std::string liveKey(std::uint64_t epoch) const;
    std::size_t rank() const;
    bool isCandidate() const;
    std::vector<node_id> bestCandidates() const;
    bool candidatesOutdated(time_point now);
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
    duration withDriftMargin(duration value) const { return value + (value / 64); }

    quota_settings m_settings;
    std::uint16_t m_shard;
    random_source m_random;
    std::vector<ranked_node> m_ranking;
    std::optional<time_point> m_started; ///< first tick
    bool m_callPending = false;
    bool m_callIsRead = false;
    time_point m_nextCall;

    // The record as last read or written.
    bool m_recordFresh = false; ///< read since the last decision
    store_revision m_recordRevision = 0;
    store_revision m_liveRevision = 0;
    holder_record m_record;
    std::optional<time_point> m_liveMissingSince;
    std::optional<pending_write> m_pendingWrite;

    // Authority.
    bool m_holding = false;
    std::uint64_t m_heldEpoch = 0; ///< last epoch that this run held
    time_point m_issueStart;
    store_lease m_boundLease = 0; ///< the lease that the live key is bound to
    time_point m_boundLeaseContact; ///< last contact with the store on that lease
    std::map<node_id, promise_state> m_promises;
    time_point m_nextRequest;
    std::optional<time_point> m_outdatedSince;

    // Duties as a candidate.
    time_point m_promisedUntil;
    std::optional<time_point> m_lastPromiseRequest; ///< last promise request of the holder
    node_id m_knownHolder;
    std::uint64_t m_knownEpoch = 0;
};

} // namespace limpet
