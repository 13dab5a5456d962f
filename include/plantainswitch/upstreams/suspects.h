#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Hash of a request's workspace and content, the same whichever router it reaches.
using Fingerprint = std::uint64_t;

/// What a router tells all others of a crash, or of suspects that have cleared themselves.
struct SuspectUpdate
{
    UpstreamId upstream = 0;
    std::vector<Fingerprint> crashed;
    std::vector<Fingerprint> cleared;
};

/// Bounds on blame.
struct SuspectLimits
{
    /// Crashes with the same request after which it is held back.
    std::uint32_t quarantineThreshold = 2;
    /// How long a request is held back, and how long a suspect is remembered.
    Duration quarantine = Seconds{600};
    /// Reports of one upstream within this time are of one crash.
    Duration sameCrashWindow = Milliseconds{500};
    std::size_t maxSuspects = 10'000;
};

/// A request that was in flight on an upstream that crashed.
struct Suspect
{
    std::uint32_t crashes = 0;
    UpstreamId lastUpstream = 0;
    TimePoint lastCrash;
};

/// The suspects as this router knows them.
struct Suspects
{
    SuspectLimits limits;
    std::map<Fingerprint, Suspect> entries;
};

/// What a request's blame means for it.
enum class SuspectStatus : std::uint8_t {
    None,
    /// Runs, but never beside another suspect.
    Suspected,
    /// Does not run.
    Quarantined,
};

/// Takes a crash or a clearing into account, learnt here or from a peer.
void applySuspectUpdate(Suspects &suspects, const SuspectUpdate &news, TimePoint now);

/// \returns the blame on \a fingerprint at \a now.
[[nodiscard]] SuspectStatus suspectStatusOf(const Suspects &suspects, Fingerprint fingerprint,
                                            TimePoint now);

/// \returns the upstreams that a request must keep away from: for a suspect, those on which
/// another suspect runs. Two suspects on one engine would share the blame of its next crash, seen
/// as an innocent request held back.
/// \param running fingerprints by the upstream on which they run
[[nodiscard]] std::vector<UpstreamId>
excludedUpstreams(const Suspects &suspects, Fingerprint fingerprint,
                  const std::vector<std::pair<UpstreamId, Fingerprint>> &running, TimePoint now);

/// \returns whether a keeper must not let the request run now: it is quarantined, though its
/// router may not have heard yet, or a copy of the same suspect runs already. A second copy could
/// take a second upstream down before the first one's crash is known.
[[nodiscard]] bool isBlocked(const Suspects &suspects, Fingerprint fingerprint,
                             const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                             TimePoint now);

/// The same behind a lock.
class SuspectTable
{
public:
    void applyUpdate(const SuspectUpdate &news, TimePoint now);
    [[nodiscard]] SuspectStatus statusOf(Fingerprint fingerprint, TimePoint now) const;
    [[nodiscard]] std::vector<UpstreamId>
    excludedFor(Fingerprint fingerprint,
                const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                TimePoint now) const;
    [[nodiscard]] bool blocks(Fingerprint fingerprint,
                              const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                              TimePoint now) const;

private:
    mutable RankedMutex mutex{LockRank::Suspects};
    Suspects suspects;
};

} // namespace plantainswitch
