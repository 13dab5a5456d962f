#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/claims/log.h"

namespace plantainswitch {

/// Stored form of one position of the log.
struct BatchRecord
{
    std::uint64_t position = 0;
    /// Lets the writer recognise its own write after a lost response.
    std::string nonce;
    /// Wall-clock time in milliseconds; never decreases along the log.
    std::uint64_t time = 0;
    std::vector<ClaimLogEntry> entries;
};

/// Stored form of a range of positions.
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
