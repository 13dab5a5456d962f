#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Instant of the calendar, for what routers compare with each other and with callers.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// Identity of a non-idempotent request: 128 bits over its workspace and idempotency key.
struct ClaimId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const ClaimId &) const = default;
};

/// \returns the id of \a key in \a workspace; the same key in two workspaces is two claims.
[[nodiscard]] ClaimId claimIdOf(std::string_view workspace, std::string_view key) noexcept;

/// A router's right to run one request, as it stands in the log.
struct Claim
{
    ClaimId id;
    /// Identity hash of the router process that alone may run the request.
    std::uint64_t owner = 0;
    /// Unique for each try of an owner to claim; never used again once given up.
    std::uint64_t nonce = 0;
    /// Hash of the request's content.
    std::uint64_t content = 0;
};

/// Number of slices of the key space; equal on all routers for ever, as each key has one log.
inline constexpr std::uint32_t claimSliceCount = 16;

/// \returns the slice whose log holds \a id.
[[nodiscard]] std::uint32_t sliceOf(const ClaimId &id) noexcept;

/// A router asks a slice's usual writer to write a claim. A repeat with the same nonce is harmless.
struct ClaimRequest
{
    Claim claim;
    /// When the caller made its key, if it says so; 0: it doesn't.
    std::uint64_t issuedMilliseconds = 0;
};

enum class ClaimVerdict : std::uint8_t {
    /// Taken in, not yet written.
    Queued,
    /// Written: the owner may run the request.
    Granted,
    /// Another claim holds the id.
    Taken,
    /// The key is older than what the log remembers.
    Expired,
    /// Not written, and never to be.
    Unavailable,
};
[[nodiscard]] std::string_view nameOf(ClaimVerdict verdict) noexcept;

/// What became of an ask.
struct ClaimReply
{
    std::uint64_t nonce = 0;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// The claim that holds the id, when taken.
    Claim holder;
};

/// An owner gives up a claim that it has not used and never will use.
struct ClaimRelease
{
    ClaimId id;
    std::uint64_t nonce = 0;
};

} // namespace plantainswitch
