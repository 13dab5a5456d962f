#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Hash of a request's workspace, target and body: the same whenever and wherever it comes again.
using RequestFingerprint = std::uint64_t;

/// An upstream's life that ended while it ran a request.
struct CrashReport
{
    RequestFingerprint request = 0;
    std::uint64_t incarnation = 0;
    /// When the request was sent there, by this router's clock.
    TimePoint sentAt;
    /// When its answer broke off, by this router's clock.
    TimePoint brokenAt;
};

/// Crashes in a row after which a request is held back. One may be chance, two bad luck; the users'
/// pages allow three.
inline constexpr std::size_t quarantineThreshold = 3;
/// Time from a broken answer within which its upstream must be found down for it to be a crash. An
/// upstream that lost one answer, or broke it off, still takes connections.
inline constexpr Seconds crashConfirmationWindow{8};
/// Crashes of one moment count once if the request was running on both upstreams: when several go
/// down together, what ran on them is not to blame. A run that began after the other had broken off
/// is one more crash, however soon it comes: a router sends the same request on within a
/// millisecond. The span covers the time in which the ends of connections arrive from all places.
inline constexpr Milliseconds concurrentCrashWindow{40};
/// How long a request is held back before it is let through once more, longer by holdGrowth each
/// time that it crashes then. An innocent call that many send alike, and that happened to run
/// beside the crasher, is locked out for the first of them; the crasher takes down one upstream
/// with each.
inline constexpr Seconds initialQuarantine{3};
inline constexpr int quarantineGrowth = 3;
/// Time after its last crash at which a request is forgotten.
inline constexpr Seconds maxQuarantine{600};
/// Requests remembered at once; the oldest go first. Some 200 bytes each.
inline constexpr std::size_t maxCrashSuspects = 4000;
/// Requests held back that a newcomer among the routers is told of: one datagram's worth. More are
/// under suspicion only where callers attack, and each costs the newcomer's service three
/// upstreams.
inline constexpr std::size_t maxSharedQuarantines = 40;

/// Requests that upstreams crashed on. A request that crashes whoever runs it comes again and again
/// and would take all upstreams of its service down, one after the other: it is held back once
/// crashesToHold of them went down on it with no success between.
class CrashQuarantine
{
public:
    /// Notes that the answer to \a request, sent at \a begunAt, broke off at \a life.
    void recordBrokenAnswer(RequestFingerprint request, std::uint64_t life, TimePoint begunAt,
                            TimePoint now);
    /// Notes that \a life was found down. \returns what crashed it, for other routers.
    std::vector<CrashReport> confirmCrash(std::uint64_t life, TimePoint now);
    /// Takes a crash that this router or another one saw.
    void recordCrash(const CrashReport &report, TimePoint now);
    /// Notes that the request was answered; what broke before that is not its doing.
    /// \returns whether it had been under suspicion.
    bool clearSuspect(RequestFingerprint request, TimePoint now);
    /// \returns whether \a request is held back at all.
    [[nodiscard]] bool isQuarantined(RequestFingerprint request, TimePoint now) const;
    /// \returns the crashes of requests that are held back, for routers that have just started.
    /// A restarted router that forgot them would lose three upstreams to each once more.
    [[nodiscard]] std::vector<CrashReport> quarantinedCrashes(TimePoint now) const;
    /// Lets a held request through once if its time is over. One router of the fleet, \a isFirst,
    /// does so for all, who hear what came of it; a router that heard nothing tries it later.
    /// \returns whether it may run.
    bool allowTrial(RequestFingerprint request, bool isFirst, TimePoint now);

private:
    struct Suspect
    {
        /// Crashes that count, by the upstream's life.
        std::map<std::uint64_t, CrashReport> crashes;
        TimePoint lastCrash;
        Seconds quarantine{0};
        TimePoint quarantinedUntil;
        /// When it may be let through, once its hold is over.
        TimePoint nextTrial;
    };

    struct BrokenAnswer
    {
        RequestFingerprint request = 0;
        TimePoint sentAt;
        TimePoint when;
    };

    [[nodiscard]] static bool isInQuarantine(const Suspect &suspect, TimePoint now);
    void dropOldest();
    /// \returns whether the request had broken anywhere.
    bool removeBrokenAnswers(RequestFingerprint request);

    std::unordered_map<RequestFingerprint, Suspect> suspects;
    std::map<std::uint64_t, std::vector<BrokenAnswer>> brokenAnswers;
    /// Requests that broke somewhere and were answered within the last crashConfirmation, with the
    /// time of that: word of earlier crashes still comes, from here and from other routers.
    std::unordered_map<RequestFingerprint, TimePoint> answered;
};

} // namespace plantainswitch
