#include "plantainswitch/routing/requestsuspects.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// How long after their trials are due a request may be the trial of several suspects at once.
/// Until then a trial of each one by itself shows which of them crashes upstreams.
constexpr Seconds jointTrialDelay{30};

bool isTrialOf(const RequestSuspects &suspects, SuspectKey key)
{
    return std::any_of(suspects.trials.begin(), suspects.trials.end(),
                       [key](const PermittedTrial &trial) { return trial.key == key; });
}

} // namespace

std::optional<BlockingSuspect> blockingSuspect(const RequestSuspects &suspects,
                                               const CrashQuarantine &quarantine, TimePoint now)
{
    std::optional<BlockingSuspect> due;
    std::size_t quarantined = 0;
    for (const SuspectKey key : suspects.keys) {
        const QuarantineState state = quarantine.stateOf(key, now);
        if (state == QuarantineState::Free) {
            continue;
        }
        ++quarantined;
        if (isTrialOf(suspects, key)) {
            continue;
        }
        if (state == QuarantineState::Held) {
            return BlockingSuspect{key, state};
        }
        due = due ? due : BlockingSuspect{key, state};
    }
    if (due && quarantined > 1 && suspects.trials.empty()
        && quarantine.trialOverdue(due->key, now) < jointTrialDelay) {
        due->state = QuarantineState::Held;
    }
    return due;
}

std::size_t crashCountOf(const RequestSuspects &suspects, const CrashQuarantine &quarantine)
{
    std::size_t largest = 0;
    for (const SuspectKey key : suspects.keys) {
        largest = std::max(largest, quarantine.crashCount(key));
    }
    return largest;
}

std::vector<SuspectKey> accountableSuspects(const RequestSuspects &suspects)
{
    if (suspects.trials.empty()) {
        return suspects.keys;
    }
    std::vector<SuspectKey> keys;
    for (const PermittedTrial &trial : suspects.trials) {
        keys.push_back(trial.key);
    }
    return keys;
}

} // namespace plantainswitch
