#pragma once

#include <deque>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Crashes, and answered suspects, that one update reports at most. With more, each update is one
/// datagram that is lost as a whole.
inline constexpr std::size_t maxReportedCrashes = 256;

/// Recent events of which each other router is notified once. Updates go to each router at its own
/// times, so an event is kept here until the first update after it has been sent to every router.
class UpdateLog
{
public:
    /// Records a prefix that was sent to an engine.
    void recordPrefix(const PrefixReport &chain, TimePoint now);
    /// Records a crash that this router confirmed, or passes on.
    void recordCrash(const CrashReport &crash, TimePoint now);
    /// Records that a request under suspicion was answered.
    void recordCleared(const ClearedSuspect &suspect, TimePoint now);
    /// Records what the store says of a quarantined request.
    void recordTrials(const TrialCount &trials, TimePoint now);
    /// Records the origin of a stream that this router gave its caller events of.
    void recordOrigin(const StreamOrigin &origin, TimePoint now);
    /// Removes events before \a then, of which all routers have been notified.
    void removeBefore(TimePoint then);

    /// \returns up to \a limit prefixes recorded since \a since, the newest ones first.
    [[nodiscard]] std::vector<PrefixReport> prefixesSince(TimePoint since, std::size_t limit) const;
    /// \returns the crashes, answered suspects and trials recorded since \a since, of the first two
    /// the newest maxReportedCrashes.
    [[nodiscard]] CrashUpdate crashesSince(TimePoint since) const;
    /// \returns up to \a limit origins recorded since \a since, the newest ones first.
    [[nodiscard]] std::vector<StreamOrigin> originsSince(TimePoint since, std::size_t limit) const;

private:
    template<typename Item>
    struct Entry
    {
        Item item;
        TimePoint when;
    };

    std::deque<Entry<PrefixReport>> prefixes;
    std::deque<Entry<CrashReport>> crashes;
    std::deque<Entry<ClearedSuspect>> cleared;
    std::deque<Entry<TrialCount>> trials;
    std::deque<Entry<StreamOrigin>> origins;
};

} // namespace plantainswitch
