#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Wall-clock time, for comparisons between routers and with callers.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// Identity of a non-idempotent request: a 128-bit hash of its workspace and idempotency key.
struct ClaimId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const ClaimId &) const = default;
};

/// \returns the id of \a key in \a workspace; the same key in two workspaces gives two ids.
[[nodiscard]] ClaimId claimIdOf(std::string_view workspace, std::string_view key) noexcept;

/// A router's exclusive right to run one request, as recorded in the log.
struct Claim
{
    ClaimId id;
    /// Identity hash of the router process that holds the right.
    std::uint64_t owner = 0;
    /// Unique for each attempt of an owner to claim; never reused.
    std::uint64_t nonce = 0;
    /// Hash of the request's content.
    std::uint64_t content = 0;
};

/// Number of slices of the key space. Must be equal on all routers and never change, because each
/// key belongs to one log.
inline constexpr std::uint32_t claimSliceCount = 16;

/// \returns the slice whose log holds \a id.
[[nodiscard]] std::uint32_t sliceOf(const ClaimId &id) noexcept;

/// Requests a slice's preferred writer to write a claim. Repeating it with the same nonce is
/// idempotent.
struct ClaimRequest
{
    Claim claim;
    /// When the caller created its key, if stated; else 0.
    std::uint64_t issuedMilliseconds = 0;
};

enum class ClaimVerdict : std::uint8_t {
    /// Accepted, not yet written.
    Queued,
    /// Written: the owner may run the request.
    Granted,
    /// Another claim holds the id.
    Taken,
    /// The key is older than the log's retention.
    Expired,
    /// Not written, and never will be.
    Unavailable,
};
[[nodiscard]] std::string_view nameOf(ClaimVerdict verdict) noexcept;

/// Result of a ClaimRequest.
struct ClaimReply
{
    std::uint64_t nonce = 0;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// The claim that holds the id, if Taken.
    Claim holder;
};

/// Gives up a claim that its owner has not used and never will.
struct ClaimRelease
{
    ClaimId id;
    std::uint64_t nonce = 0;
};

} // namespace plantainswitch
