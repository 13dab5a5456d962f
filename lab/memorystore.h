#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

/// Objects with versions in memory, as the platform's store keeps them.
struct MemoryStore
{
    struct Object
    {
        std::uint64_t version = 0;
        nlohmann::json body;
    };
    std::unordered_map<std::string, Object> objects;
    std::uint64_t versions = 0;
};

/// Carries \a call out: a read, or a write if its condition holds.
[[nodiscard]] StoreResponse carryOut(MemoryStore &store, const StoreCall &call);

/// Puts a slice's log there as it is after hours at full pace: all segments, and half a segment of
/// positions. Its entries are left out to save memory, so it costs a loader calls but few bytes.
void fillWithLongLog(MemoryStore &store, std::uint32_t slice, const ClaimLogLimits &limits);

} // namespace plantainswitch::lab
