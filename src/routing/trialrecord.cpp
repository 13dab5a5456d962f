#include "plantainswitch/routing/trialrecord.h"

namespace plantainswitch {

TrialStep nextTrialStep(const std::optional<TrialRecord> &stored,
                        std::uint32_t knownTrials) noexcept
{
    if (!stored) {
        return TrialStep::Create;
    }
    return stored->trials > knownTrials ? TrialStep::Denied : TrialStep::Increment;
}

} // namespace plantainswitch
