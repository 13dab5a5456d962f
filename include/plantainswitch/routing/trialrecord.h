#pragma once

#include <cstdint>
#include <optional>

#include "plantainswitch/routing/crashquarantine.h"

namespace plantainswitch {

/// The platform store's record of a quarantined request. It outlives the routers, and each trial
/// increments it by a write under the condition that it is unchanged. So each number of trials is
/// reached once in the whole fleet, whatever routers know of each other.
struct TrialRecord
{
    SuspectKey key = 0;
    /// Trials permitted so far.
    std::uint32_t trials = 0;
    /// Routers that reach each other have counted enough crashes. Until then the record shows that
    /// some were counted.
    bool isQuarantined = false;
    /// Revision of the store at which the record was last changed.
    std::uint64_t revision = 0;
};

/// How a router goes on to be permitted a trial, after it has read the record.
enum class TrialStep : std::uint8_t {
    /// There is no record: create it with one trial.
    Create,
    /// Increment the record.
    Increment,
    /// Another router was permitted a trial that this one did not know of. Its outcome comes first.
    Denied,
};

/// \param stored the record, if there is one
/// \param knownTrials the trials that this router knew of when it asked
[[nodiscard]] TrialStep nextTrialStep(const std::optional<TrialRecord> &stored,
                                      std::uint32_t knownTrials) noexcept;

} // namespace plantainswitch
