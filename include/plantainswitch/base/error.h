#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// Closed list of the reasons for which a request is not answered in full.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    Unauthorized,
    NotPermitted,
    NotFound,
    TooLarge,
    NoCatalogue,
    NoPermittedPlace,
    LimitReached,
    Overloaded,
    QueueExpired,
    ClaimUnavailable,
    Quarantined,
    StreamOriginUnknown,
    StreamOriginUnconfirmed,
    VersionUnavailable,
    AlreadyRan,
    MayHaveRun,
    InProgress,
    KeyExpired,
    KeyReused,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamGarbage,
    AnswerCut,
    DeadlineExceeded,
    Stopping,
    Internal,
};

/// Whether a refused request was executed.
enum class ExecutionStatus : std::uint8_t { No, Yes, Unknown };

/// Response that belongs to one error kind.
struct ErrorRow
{
    ErrorKind kind;
    std::string_view name;
    int status;
    ExecutionStatus ran;
    /// Seconds after which a retry makes sense; empty when a retry can't help.
    std::optional<int> retryAfter;
    std::string_view message;
};

/// \returns the row of \a kind in the table from kinds to responses.
[[nodiscard]] const ErrorRow &errorRow(ErrorKind kind) noexcept;

/// \returns the kind with that \a name, or nothing.
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view name) noexcept;

/// \returns "no", "yes" or "unknown".
[[nodiscard]] std::string_view nameOf(ExecutionStatus ran) noexcept;

/// Error output that accompanies an empty std::optional: what failed, and where.
struct Reason
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /// Overrides the table's retry time when the refusing code knows a better one.
    std::optional<int> retryAfter;
};

} // namespace plantainswitch
