#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/claims/log.h"

namespace plantainswitch {

/// What the store holds at one position of the log.
struct BatchRecord
{
    std::uint64_t position = 0;
    /// The writer's own, by which it recognises its write when the answer was lost.
    std::string nonce;
    /// Wall time in milliseconds; never falls along the log.
    std::uint64_t time = 0;
    std::vector<ClaimLogEntry> entries;
};

/// What the store holds for a run of positions.
struct SegmentRecord
{
    std::uint64_t number = 0;
    std::uint64_t time = 0;
    std::uint64_t horizon = 0;
    std::vector<ClaimLogEntry> entries;
};

[[nodiscard]] nlohmann::json encodeBatch(const BatchRecord &record);
[[nodiscard]] std::optional<BatchRecord> decodeBatch(const nlohmann::json &json);
[[nodiscard]] nlohmann::json encodeSegment(const SegmentRecord &record);
[[nodiscard]] std::optional<SegmentRecord> decodeSegment(const nlohmann::json &json);

} // namespace plantainswitch
