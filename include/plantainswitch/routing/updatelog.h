#pragma once

#include <deque>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/peerloads.h"

namespace plantainswitch {

/// What happened lately that other routers are notified of once. Each gets its updates at its own
/// times: what is kept here goes to each with the first update after it.
class UpdateLog
{
public:
    /// Notes a chain that an engine was given to read.
    void recordPrefix(const PrefixReport &chain, TimePoint now);
    /// Notes a crash that was confirmed here.
    void recordCrash(const CrashReport &crash, TimePoint now);
    /// Notes that a request under suspicion was answered.
    void recordCleared(RequestFingerprint request, TimePoint now);
    /// Forgets what happened before \a then: everybody has been told.
    void removeBefore(TimePoint then);

    /// \returns the newest \a most chains since \a since.
    [[nodiscard]] std::vector<PrefixReport> prefixesSince(TimePoint since, std::size_t most) const;
    /// \returns what was noted of crashes since \a since.
    [[nodiscard]] CrashUpdate crashesSince(TimePoint since) const;

private:
    template<typename Item>
    struct Entry
    {
        Item item;
        TimePoint when;
    };

    std::deque<Entry<PrefixReport>> prefixes;
    std::deque<Entry<CrashReport>> crashes;
    std::deque<Entry<RequestFingerprint>> cleared;
};

} // namespace plantainswitch
