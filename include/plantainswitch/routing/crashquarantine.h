#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/suspect.h"

namespace plantainswitch {

/// How a run of a request ended without a response.
enum class RunEnd : std::uint8_t {
    /// The upstream closed or reset the connection.
    ConnectionLost,
    /// The router closed the connection: the upstream was silent for too long, the caller left, or
    /// the deadline passed. The upstream may go on with the run, and crash on it.
    GivenUp,
};

/// A run of a request that ended without a response, as the router that sent it saw it.
struct UnansweredRun
{
    SuspectKey key = 0;
    /// The upstream's incarnation.
    std::uint64_t incarnation = 0;
    TimePoint sentAt;
    TimePoint endedAt;
    RunEnd end = RunEnd::ConnectionLost;
};

/// An upstream incarnation that crashed while it ran a request.
struct CrashReport
{
    SuspectKey key = 0;
    std::uint64_t incarnation = 0;
    /// When the request was sent to the upstream, by this router's clock.
    TimePoint sentAt;
    /// When the run ended for the router, by this router's clock.
    TimePoint brokenAt;
};

/// What became of a reported crash.
enum class CrashVerdict : std::uint8_t {
    /// It counts against the request.
    Counted,
    /// A crash of the same upstream incarnation counts already.
    KnownUpstream,
    /// The request was answered since.
    AnsweredSince,
    /// The upstream has responded since.
    UpstreamAlive,
};
[[nodiscard]] std::string_view nameOf(CrashVerdict verdict) noexcept;

/// A crash that this router confirmed, and what became of it.
struct ConfirmedCrash
{
    CrashReport report;
    CrashVerdict verdict = CrashVerdict::Counted;
};

/// A request under suspicion that was answered.
struct ClearedSuspect
{
    SuspectKey key = 0;
    TimePoint answeredAt;
};

/// Number of trials of a quarantined request, as the platform's store has it.
struct TrialCount
{
    SuspectKey key = 0;
    std::uint32_t trials = 0;
    /// When the store was read, or earlier. What was answered since is not quarantined by it.
    TimePoint recordedAt;
    /// Revision of the store's record, or a lower one that is higher than any before the count. Of
    /// two counts that with the higher revision is newer, even if it is lower, as after a trial
    /// that was returned. 0 if unknown: the higher count is newer then.
    std::uint64_t revision = 0;
};

/// Whether a request may be sent to an upstream.
enum class QuarantineState : std::uint8_t {
    /// It is not quarantined.
    Free,
    /// It is quarantined, and no trial is due.
    Held,
    /// It is quarantined and may run once, if the trial is permitted.
    TrialDue,
};

/// Consecutive crashes after which a request is quarantined. One or two may be coincidence.
inline constexpr std::size_t quarantineThreshold = 3;
/// How long it is known that a part of prompts was answered.
inline constexpr Seconds partAnswerRetention{60};
/// Parts of which that is known at once.
inline constexpr std::size_t maxAnsweredParts = 32'768;
/// Crashes that don't count against a part that is known to have been answered. Upstreams that go
/// down together break runs of all the parts that are in frequent use.
inline constexpr std::size_t answeredPartAllowance = 3;
/// Crashes after which an attempt is not retried. The caller may send the request again.
inline constexpr std::size_t crashesForNoRetry = 2;
/// Time after a lost connection within which the upstream must be found down for it to count as a
/// crash. An upstream that only lost one connection, or closed it, still accepts new ones.
inline constexpr Seconds crashConfirmationWindow{8};
/// The same for a run that the router gave up.
inline constexpr Seconds givenUpConfirmationWindow{2};
/// Time after a reported crash within which a response of the same upstream refutes it.
inline constexpr Seconds crashRefutationWindow{1};
/// Delay of each trial of a quarantined request after the last crash or trial; the last value
/// repeats. The first trial comes soon, because the request may be innocent: it ran beside the
/// crashing one, or on upstreams that lost power together.
inline constexpr std::array<Milliseconds, 4> trialDelays{
    Milliseconds{1000}, Milliseconds{5000}, Milliseconds{60'000}, Milliseconds{600'000}};
/// How long an unanswered call for a trial blocks the next one.
inline constexpr Milliseconds trialRetryDelay{500};
/// Time after its last crash or trial at which a request is no longer suspected.
inline constexpr Seconds maxQuarantine{1800};
/// Requests with unanswered runs that are tracked at once. Beyond that, runs that routers gave up
/// are not recorded.
inline constexpr std::size_t maxUnansweredRequests = 4000;
/// Suspects tracked at once; the oldest ones are evicted first.
inline constexpr std::size_t maxCrashSuspects = 4000;
/// Suspects that are reported to a router that has just started.
inline constexpr std::size_t maxSharedSuspects = 40;

/// Quarantine of requests, and of parts of prompts, on which upstreams crashed. A request that
/// crashes every upstream that runs it, and is retried again and again, would take down all
/// upstreams of its service one after the other; so would requests that are all different but share
/// a part that does. Such a suspect is quarantined after quarantineThreshold crashes without a
/// success in between, as its requests are never answered while those with an innocent part are.
///
/// Invariant: requests with a crashing suspect, through any number of routers, end at most
/// - quarantineThreshold upstreams,
/// - those on which others already ran when the report of the last of these crashes arrived, and
/// - one for each trial, of which the platform's store permits the nth in the whole fleet only once
///   (see TrialRecord).
/// Every incarnation that crashed during a run counts, whether or not the router still waited for
/// the run, and however close together the crashes are. Routers that have just started learn the
/// quarantine from others, or from the store if all were killed.
class CrashQuarantine
{
public:
    /// Records a run without a response. It counts against its request if the upstream is found
    /// down within the confirmation window.
    void recordUnansweredRun(const UnansweredRun &run);
    /// Records that \a incarnation was found down.
    /// \returns the crashes that this confirms, for the other routers.
    std::vector<ConfirmedCrash> confirmCrash(std::uint64_t incarnation, TimePoint now);
    /// Records a crash seen by this router or reported by another one.
    CrashVerdict recordCrash(const CrashReport &report, TimePoint now);
    /// Records that \a incarnation responded to a request that was sent at \a sentAt. This refutes
    /// reports that it crashed just before, by routers that merely could not reach it.
    void recordResponse(std::uint64_t incarnation, TimePoint sentAt);
    /// Records that the suspect was answered at \a answeredAt, so that crashes before that are not
    /// attributed to it.
    /// \returns whether it was under suspicion, by crashes that count.
    bool clearSuspect(SuspectKey key, TimePoint answeredAt, TimePoint now);

    /// Records what the store has of a quarantined request, read here or by another router.
    /// \returns whether that was not known.
    bool recordTrials(const TrialCount &count, TimePoint now);
    /// Records that this router was permitted the trial with the number \a trials.
    void beginTrial(SuspectKey key, std::uint32_t trials, TimePoint now);
    /// Records that a trial ended before the request reached an upstream, so that it may be made
    /// again.
    void returnTrial(SuspectKey key, TimePoint now);
    /// Blocks trials of the request for trialRetryDelay, while a call for one is running.
    void deferTrial(SuspectKey key, TimePoint now);

    /// \returns the number of crashes that count against \a request; at least quarantineThreshold
    /// if it is quarantined.
    [[nodiscard]] std::size_t crashCount(SuspectKey key) const;
    /// \returns for how long a trial of a quarantined suspect has been due.
    [[nodiscard]] Duration trialOverdue(SuspectKey key, TimePoint now) const;
    /// \returns the number of trials that are known to be permitted.
    [[nodiscard]] std::uint32_t trialCount(SuspectKey key) const;
    /// \returns whether \a request is quarantined, even if a trial of it is due.
    [[nodiscard]] bool isQuarantined(SuspectKey key) const;
    /// \returns whether \a request may be sent to an upstream.
    [[nodiscard]] QuarantineState stateOf(SuspectKey key, TimePoint now) const;
    /// \returns the time until the next trial of a quarantined request.
    [[nodiscard]] Milliseconds timeToTrial(SuspectKey key, TimePoint now) const;
    /// \returns the reports that this router passes on after \a newest, of another router, was
    /// counted: all of a request that is close to its quarantine, and each later one.
    [[nodiscard]] std::vector<CrashReport> reportsToForward(const CrashReport &newest) const;
    /// \returns the crashes of requests with two or more of them, for routers that have just
    /// started.
    [[nodiscard]] std::vector<CrashReport> sharedCrashes() const;
    /// \returns the requests that one more crash quarantines. Routers that this one cannot reach
    /// may have seen it, which the store shows.
    [[nodiscard]] std::vector<SuspectKey> nearlyQuarantined() const;
    /// \returns the quarantined requests of which the store has records, for the same routers.
    [[nodiscard]] std::vector<TrialCount> sharedTrials() const;
    /// Removes suspects without a crash or trial for maxQuarantine.
    /// \returns those of which the store may have records.
    std::vector<SuspectKey> removeExpired(TimePoint now);

private:
    struct Suspect
    {
        /// Crashes that count, by upstream incarnation.
        std::map<std::uint64_t, CrashReport> crashes;
        /// The store has a record of its quarantine.
        bool isRecorded = false;
        TimePoint recordedAt;
        std::uint32_t trials = 0;
        std::uint64_t revision = 0;
        /// The last trial reached no upstream.
        bool isTrialReturned = false;
        /// Last crash or trial.
        TimePoint lastActivity;
        TimePoint nextTrial;
    };

    /// \returns the number of crashes that count.
    [[nodiscard]] std::size_t countOf(SuspectKey key, const Suspect &suspect) const;
    [[nodiscard]] bool isHeld(SuspectKey key, const Suspect &suspect) const;
    static void scheduleTrial(Suspect &suspect, TimePoint activity);
    /// Makes the trial after number \a trials due soon.
    static void undoTrial(Suspect &suspect, std::uint32_t trials, TimePoint now);
    [[nodiscard]] static bool isNewer(const TrialCount &count, const Suspect &suspect) noexcept;
    void dropOldest();
    void removeOldRuns(TimePoint now);
    void removeEmptyRuns();
    /// Removes the runs of \a request that ended before \a answeredAt.
    void removeRuns(SuspectKey key, TimePoint answeredAt);
    /// Removes the crashes of \a suspect before \a answeredAt. \returns whether none is left.
    static bool removeCrashes(Suspect &suspect, TimePoint answeredAt);

    std::unordered_map<SuspectKey, Suspect> suspects;
    /// Runs that ended without a response within crashConfirmationWindow.
    std::unordered_map<SuspectKey, std::vector<UnansweredRun>> unansweredRuns;
    TimePoint runsCheckedAt;
    /// Suspects that were answered, by the time of the answer, for crashConfirmationWindow or
    /// partAnswerRetention: earlier evidence may still arrive, from this router and from others.
    std::unordered_map<SuspectKey, TimePoint> answered;
    /// When the incarnations that were lately reported as crashed did so.
    std::map<std::uint64_t, TimePoint> reportedCrashes;
};

/// \returns whether a crash that this router confirmed is passed on to the others. Many runs of one
/// part may break with one upstream, and most parts have been answered just before.
[[nodiscard]] bool isReported(const ConfirmedCrash &crash, const CrashQuarantine &quarantine);

} // namespace plantainswitch
