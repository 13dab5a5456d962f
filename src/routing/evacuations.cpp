#include "plantainswitch/routing/evacuations.h"

#include <algorithm>
#include <iterator>

namespace plantainswitch {

EvacuationChanges applyEvacuations(EvacuationSet &current, EvacuationSet newer)
{
    EvacuationChanges changes;
    if (newer.revision < current.revision) {
        return changes;
    }
    std::set_difference(newer.dataCentres.begin(), newer.dataCentres.end(),
                        current.dataCentres.begin(), current.dataCentres.end(),
                        std::back_inserter(changes.begun));
    std::set_difference(current.dataCentres.begin(), current.dataCentres.end(),
                        newer.dataCentres.begin(), newer.dataCentres.end(),
                        std::back_inserter(changes.ended));
    current = std::move(newer);
    return changes;
}

} // namespace plantainswitch
