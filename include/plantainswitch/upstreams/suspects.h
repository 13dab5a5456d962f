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

/// Hash of a request's workspace and content, identical on every router.
using Fingerprint = std::uint64_t;

/// A router's report to the others of a crash, or of suspects that have completed.
struct SuspectUpdate
{
    UpstreamId upstream = 0;
    std::vector<Fingerprint> crashed;
    std::vector<Fingerprint> cleared;
};

/// Limits on the quarantine of suspects.
struct SuspectLimits
{
    /// Crashes with the same request after which it is quarantined.
    std::uint32_t quarantineThreshold = 2;
    /// How long a request is quarantined and a suspect is tracked.
    Duration quarantine = Seconds{600};
    /// Reports on one upstream within this time count as one crash.
    Duration sameCrashWindow = Milliseconds{500};
    std::size_t maxSuspects = 10'000;
};

/// A request that was running on an upstream when it crashed.
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

/// What suspicion means for a request.
enum class SuspectStatus : std::uint8_t {
    None,
    /// It is executed, but never on an engine with another suspect.
    Suspected,
    /// It is not executed.
    Quarantined,
};

/// Applies a crash or the completion of suspects, seen by this router or reported by another one.
void applySuspectUpdate(Suspects &suspects, const SuspectUpdate &update, TimePoint now);

/// \returns the status of the request with \a fingerprint at \a now.
[[nodiscard]] SuspectStatus suspectStatusOf(const Suspects &suspects, Fingerprint fingerprint,
                                            TimePoint now);

/// \returns the upstreams on which a request must not run: for a suspect, those that run another
/// suspect. Two suspects on one engine would both be blamed for its next crash, and an innocent
/// request would be quarantined.
/// \param running fingerprints of the running requests by upstream
[[nodiscard]] std::vector<UpstreamId>
excludedUpstreams(const Suspects &suspects, Fingerprint fingerprint,
                  const std::vector<std::pair<UpstreamId, Fingerprint>> &running, TimePoint now);

/// \returns whether a shard's coordinator must not let the request run now: it is quarantined,
/// which its router may not know yet, or another copy of the same suspect is running. A second copy
/// could take down a second upstream before the crash of the first one is known.
[[nodiscard]] bool isBlocked(const Suspects &suspects, Fingerprint fingerprint,
                             const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                             TimePoint now);

/// Thread-safe wrapper of Suspects.
class SuspectTable
{
public:
    void applyUpdate(const SuspectUpdate &update, TimePoint now);
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
