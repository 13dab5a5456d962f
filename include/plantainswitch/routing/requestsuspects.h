#pragma once

#include <optional>
#include <vector>

#include "plantainswitch/routing/crashquarantine.h"

namespace plantainswitch {

/// A trial that was permitted to a request.
struct PermittedTrial
{
    SuspectKey key = 0;
    /// The store has counted it.
    bool isStored = false;
};

/// The suspects that a request holds: itself, and the shared parts of its prompt.
struct RequestSuspects
{
    std::vector<SuspectKey> keys;
    std::vector<PermittedTrial> trials;
    /// No upstream has run the request since its trials were permitted.
    bool hasUnusedTrials = false;
};

/// A quarantined suspect that keeps a request from being sent.
struct BlockingSuspect
{
    SuspectKey key = 0;
    /// Held, or TrialDue.
    QuarantineState state = QuarantineState::Held;
};

/// \returns what keeps the request from being sent to an upstream, a held suspect before one whose
/// trial is due. Suspects of which it is a trial do not. Of several whose trials are due one counts
/// as held for a while: a request with a single one of them comes first.
[[nodiscard]] std::optional<BlockingSuspect>
blockingSuspect(const RequestSuspects &suspects, const CrashQuarantine &quarantine, TimePoint now);

/// \returns the largest number of crashes that count against one of the suspects.
[[nodiscard]] std::size_t crashCountOf(const RequestSuspects &suspects,
                                       const CrashQuarantine &quarantine);

/// \returns the suspects to which a crash of the request's upstream is attributed: those of which
/// it is a trial, or all.
[[nodiscard]] std::vector<SuspectKey> accountableSuspects(const RequestSuspects &suspects);

} // namespace plantainswitch
