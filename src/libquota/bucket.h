#pragma once

#include <limpetcroft/core.h>

namespace limpet {

/// Share of a region in the rate and burst of a team.
struct quota_share {
    double rate = 0; ///< tokens per second
    double burst = 0;
    auto operator<=>(const quota_share&) const = default;
};

/// Returns the share of a region. The shares of all regions add up to the rule. A team with a small burst is not
/// divided: its home region, chosen by rendezvous hashing, has the whole rate and burst and lends tokens to the other
/// regions.
quota_share shareOf(const team_rule& rule, std::span<const std::string> regions, std::string_view region);
/// The region that has the whole rate and burst of an undivided team, and the largest burst of any other team.
const std::string& homeRegion(const team_rule& rule, std::span<const std::string> regions);
/// Hash of all inputs of shareOf. Two nodes with the same hash compute the same shares.
std::uint64_t ruleHash(const team_rule& rule, std::span<const std::string> regions);

/// The share of a region that is in effect. A decrease takes effect at once. An increase takes effect after a delay,
/// when no holder uses an older rule any more, so the effective shares never add up to more than the larger rule.
class effective_share {
public:
    void set(const quota_share& share, time_point now, duration delay);
    const quota_share& at(time_point now);

private:
    quota_share m_share;
    std::optional<quota_share> m_pending;
    time_point m_pendingAt;
    bool m_unset = true;
};

/// Token bucket of one team at a holder.
///
/// A token that is issued to another node is outstanding until the node reports that it was spent or returned, or until
/// its lifetime ends, when it counts as spent. The level is debited at that moment, which is never before the token is
/// spent, and a token is issued only while level - outstanding >= 1.
///
/// Invariant: for every window [u, v], the tokens spent in it are at most rate * (v - u) + burst.
/// Proof: of the tokens spent in the window, let the last one issued be issued at g <= v. All others were issued by g,
/// and were either debited in [u, g] or are still outstanding at g. The bucket has debited at most burst + rate * (g -
/// u) - level(g) in [u, g], and at g at most level(g) tokens were outstanding, including the one just issued. The sum
/// is burst + rate * (g - u). The burst needs no margin for the lifetime of a grant, so a team with a burst of 1 gets
/// its whole rate. The shares of the regions add up to the rate and burst of the team.
class grant_bucket {
public:
    /// The bucket is empty at start, which must not be before the tokens of earlier holders have been spent or expired.
    grant_bucket(time_point start, const quota_share& share)
        : m_share(share)
        , m_updated(start)
    {
    }
    void setShare(const quota_share& share, time_point now);
    /// Tokens that can be issued now.
    double available(time_point now);
    /// Debits tokens that are spent on this node, without a grant.
    void spend(unsigned count, time_point now);
    void issue(unsigned count) { m_outstanding += count; }
    /// Debits issued tokens that were spent, or that may have been spent and can no longer be spent.
    void confirmSpent(unsigned count, time_point now);
    /// Makes issued tokens available again that were returned unspent.
    void reclaim(unsigned count) { m_outstanding -= count; }
    /// Tokens in the bucket, including the outstanding ones.
    double level(time_point now);
    /// Time until count tokens are available if every outstanding token is spent.
    duration timeUntil(double count, time_point now);
    const quota_share& share() const { return m_share; }

private:
    void refill(time_point now);

    quota_share m_share;
    double m_level = 0;
    double m_outstanding = 0;
    time_point m_updated;
};

} // namespace limpet
