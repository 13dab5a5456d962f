#pragma once

#include <cstdint>
#include <map>

#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Origins that a router has recorded in the platform's store because no witness could confirm
/// them. Such a record never changes.
struct OriginRecord
{
    /// Identifies the record in the store.
    std::uint64_t name = 0;
    std::map<StreamKey, VersionKey> versions;
};

} // namespace plantainswitch
