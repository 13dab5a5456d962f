#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// The closed list of reasons for which a request is not answered in full.
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

/// What a refusal says of the request's execution.
enum class ExecutionStatus : std::uint8_t { No, Yes, Unknown };

/// The answer that belongs to one error kind.
struct ErrorRow
{
    ErrorKind kind;
    std::string_view name;
    int status;
    ExecutionStatus ran;
    /// Seconds after which a repeat makes sense; empty when a repeat can't help.
    std::optional<int> retryAfter;
    std::string_view message;
};

/// \returns the row of \a kind in the one table from kind to answer.
[[nodiscard]] const ErrorRow &errorRow(ErrorKind kind) noexcept;

/// \returns the kind of that \a name, or nothing.
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view name) noexcept;

/// \returns "no", "yes" or "unknown".
[[nodiscard]] std::string_view nameOf(ExecutionStatus ran) noexcept;

/// Last reason beside an empty std::optional: what went wrong, and where.
struct Reason
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /// Set when who refuses knows better than the table when to come back.
    std::optional<int> retryAfter;
};

} // namespace plantainswitch
