#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Hash of a request's workspace, target and body; identical for every copy of the request on every
/// router.
using RequestFingerprint = std::uint64_t;

/// An upstream incarnation that crashed while it ran a request.
struct CrashReport
{
    RequestFingerprint request = 0;
    std::uint64_t incarnation = 0;
    /// When the request was sent to the upstream, by this router's clock.
    TimePoint sentAt;
    /// When the connection was lost, by this router's clock.
    TimePoint brokenAt;
};

/// What became of a reported crash.
enum class CrashVerdict : std::uint8_t {
    /// It counts against the request.
    Counted,
    /// A crash of the same upstream incarnation counts already.
    KnownUpstream,
    /// It is taken for a part of an outage that counts already.
    Concurrent,
    /// The request was answered since.
    AnsweredSince,
};
[[nodiscard]] std::string_view nameOf(CrashVerdict verdict) noexcept;

/// A crash that this router confirmed, and what became of it.
struct ConfirmedCrash
{
    CrashReport report;
    CrashVerdict verdict = CrashVerdict::Counted;
};

/// Consecutive crashes after which a request is quarantined. One or two may be coincidence; the
/// users' requirements allow three.
inline constexpr std::size_t quarantineThreshold = 3;
/// Time after a lost answer within which the upstream must be found down for it to count as a
/// crash. An upstream that only lost one connection, or closed it, still accepts new ones.
inline constexpr Seconds crashConfirmationWindow{8};
/// Crashes within this time count once if the request was running on both upstreams: when several
/// upstreams go down together, the requests running on them are not the cause. A run that started
/// after the other one's connection was lost counts as another crash, however soon it follows: a
/// router retries a request within a millisecond. The window covers the time in which connection
/// losses are reported from all data centres.
inline constexpr Milliseconds concurrentCrashWindow{40};
/// Duration of the first quarantine, after which the request is admitted once as a trial; each
/// further crash multiplies it by quarantineGrowth. The first one also blocks an innocent request
/// that many callers send alike and that happened to run beside the crashing one; each trial of a
/// crashing request takes down one upstream.
inline constexpr Seconds initialQuarantine{3};
inline constexpr int quarantineGrowth = 3;
/// Time after its last crash at which a request is no longer suspected; also the maximum duration
/// of a quarantine.
inline constexpr Seconds maxQuarantine{600};
/// Requests tracked at once, about 200 bytes each; the oldest ones are evicted first.
inline constexpr std::size_t maxCrashSuspects = 4000;
/// Quarantined requests that are sent to a router that has just started: as many as fit into one
/// datagram. More are under suspicion only during an attack, and each one left out costs the new
/// router's service three upstreams.
inline constexpr std::size_t maxSharedQuarantines = 40;

/// Quarantine of requests on which upstreams crashed. A request that crashes every upstream that
/// runs it, and is retried again and again, would take down all upstreams of its service one after
/// the other. It is quarantined after quarantineThreshold crashes without a success in between.
class CrashQuarantine
{
public:
    /// Records that the connection of \a request, sent at \a sentAt, was lost at \a incarnation.
    void recordBrokenAnswer(RequestFingerprint request, std::uint64_t incarnation, TimePoint sentAt,
                            TimePoint now);
    /// Records that \a incarnation was found down.
    /// \returns the crashes that this confirms, for the other routers.
    std::vector<ConfirmedCrash> confirmCrash(std::uint64_t incarnation, TimePoint now);
    /// Records a crash seen by this router or reported by another one.
    CrashVerdict recordCrash(const CrashReport &report, TimePoint now);
    /// Records that the request was answered, so that crashes before that are not attributed to it.
    /// \returns whether it was under suspicion.
    bool clearSuspect(RequestFingerprint request, TimePoint now);
    /// \returns the number of crashes that count against \a request.
    [[nodiscard]] std::size_t crashCount(RequestFingerprint request) const;
    /// \returns whether \a request is quarantined, even if a trial of it is due.
    [[nodiscard]] bool isQuarantined(RequestFingerprint request, TimePoint now) const;
    /// \returns the crashes of the quarantined requests, for routers that have just started: a
    /// restarted router without them would lose three more upstreams to each such request.
    [[nodiscard]] std::vector<CrashReport> quarantinedCrashes(TimePoint now) const;
    /// Admits a quarantined request once when its quarantine is over. One router of the fleet, the
    /// designated one, does so for all, and the others learn the result; a router that learns
    /// nothing admits one itself later.
    /// \param isDesignated whether this router is the designated one
    /// \returns whether the request may run.
    bool allowTrial(RequestFingerprint request, bool isDesignated, TimePoint now);

private:
    struct Suspect
    {
        /// Crashes that count, by upstream incarnation.
        std::map<std::uint64_t, CrashReport> crashes;
        TimePoint lastCrash;
        Seconds quarantine{0};
        TimePoint quarantinedUntil;
        /// Earliest time of the next trial, once the quarantine is over.
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
    /// \returns whether any connection of the request was lost.
    bool removeBrokenAnswers(RequestFingerprint request);

    std::unordered_map<RequestFingerprint, Suspect> suspects;
    std::map<std::uint64_t, std::vector<BrokenAnswer>> brokenAnswers;
    /// Requests that lost a connection and were answered within the last crashConfirmationWindow,
    /// by the time of the answer: reports of earlier crashes may still arrive, from this router and
    /// from others.
    std::unordered_map<RequestFingerprint, TimePoint> answered;
};

} // namespace plantainswitch
