#pragma once

#include <limpetcroft/core.h>

namespace limpet {

/// What a region may issue of a team.
struct quota_share {
    double rate = 0; ///< tokens per second
    double burst = 0;
    auto operator<=>(const quota_share&) const = default;
};

/// Returns the part of a region. The parts of all regions sum up to the rule. A team with a small burst is not divided:
/// its home region, found by rendezvous hashing, holds the whole and lends to the others.
quota_share shareOf(const team_rule& rule, std::span<const std::string> regions, std::string_view region);
/// The region with the largest part.
const std::string& homeRegion(const team_rule& rule, std::span<const std::string> regions);
/// Hash of everything that shareOf depends on. Two nodes with the same hash compute the same parts.
std::uint64_t ruleHash(const team_rule& rule, std::span<const std::string> regions);

/// The part of a region that is in force. A lowered part is in force at once. A raised part waits for a delay, after
/// which no holder works by an older rule, so the parts in force never sum up to more than the larger rule.
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
/// A token that is issued to another node is outstanding until the node reports that it spent or forgot it, or until
/// its life is over, when it counts as spent. The level is debited at that moment, which is never before the spending,
/// and a token is issued only while level - outstanding >= 1.
///
/// Claim: for every window [u, v], tokens spent in it <= rate * (v - u) + burst.
/// Take the last token issued of those spent in the window; it was issued at g <= v. Every other of them was issued by
/// g, and is either settled in [u, g] or still outstanding at g. A bucket has debited at most burst + rate * (g - u) -
/// level(g) in [u, g], and at g at most level(g) tokens were outstanding, including the one just issued. The sum is
/// burst + rate * (g - u). The claim does not depend on the life of a grant, so a team with a burst of 1 gets its whole
/// rate. The parts of the regions sum up to the rate and burst of the team.
class grant_bucket {
public:
    /// The bucket starts empty at a moment by which every token of an earlier holder has been spent.
    grant_bucket(time_point start, const quota_share& share)
        : m_share(share)
        , m_updated(start)
    {
    }
    void setShare(const quota_share& share, time_point now);
    /// Tokens that can be issued now.
    double available(time_point now);
    /// Spends tokens at once, without a grant.
    void spend(unsigned count, time_point now);
    void issue(unsigned count) { m_outstanding += count; }
    /// Issued tokens were spent, or may have been spent and can not be spent any more.
    void confirmSpent(unsigned count, time_point now);
    /// Issued tokens were forgotten by the node that held them.
    void reclaim(unsigned count) { m_outstanding -= count; }
    double level(time_point now);
    /// Time until some tokens are available if every outstanding token gets spent.
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
