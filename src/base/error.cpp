#include "plantainswitch/base/error.h"

#include <algorithm>
#include <array>

namespace plantainswitch {

namespace {

constexpr std::array errorTable{
    ErrorRow{ErrorKind::BadRequest, "bad-request", 400, ExecutionStatus::No, std::nullopt,
             "The request is malformed."},
    ErrorRow{ErrorKind::Unauthorized, "unauthorized", 401, ExecutionStatus::No, std::nullopt,
             "The bearer token names no workspace."},
    ErrorRow{ErrorKind::NotPermitted, "not-permitted", 403, ExecutionStatus::No, std::nullopt,
             "The workspace may not use this."},
    ErrorRow{ErrorKind::NotFound, "not-found", 404, ExecutionStatus::No, std::nullopt,
             "There is no such resource."},
    ErrorRow{ErrorKind::TooLarge, "too-large", 413, ExecutionStatus::No, std::nullopt,
             "The request is larger than allowed."},
    ErrorRow{ErrorKind::NoCatalogue, "no-catalogue", 503, ExecutionStatus::No, 2,
             "This router knows no catalogue yet."},
    ErrorRow{ErrorKind::NoPermittedPlace, "no-permitted-place", 503, ExecutionStatus::No, 5,
             "No permitted place can serve the request now."},
    ErrorRow{ErrorKind::LimitReached, "limit-reached", 429, ExecutionStatus::No, 1,
             "The workspace is at its limit."},
    ErrorRow{ErrorKind::Overloaded, "overloaded", 503, ExecutionStatus::No, 1,
             "The permitted engines are fully loaded."},
    ErrorRow{ErrorKind::QueueExpired, "queue-expired", 503, ExecutionStatus::No, 2,
             "The request waited too long and was not run."},
    ErrorRow{ErrorKind::ClaimUnavailable, "claim-unavailable", 503, ExecutionStatus::No, 5,
             "The request could not be claimed and was not run."},
    ErrorRow{ErrorKind::Quarantined, "quarantined", 422, ExecutionStatus::No, 600,
             "This request crashed upstreams and is held back; this attempt was not run."},
    ErrorRow{ErrorKind::StreamOriginUnknown, "stream-origin-unknown", 503, ExecutionStatus::No,
             std::nullopt,
             "It is not known which software version began the stream; this attempt was not run."},
    ErrorRow{ErrorKind::StreamOriginUnconfirmed, "stream-origin-unconfirmed", 503,
             ExecutionStatus::No, 1,
             "No other router can record which software version begins the stream; this attempt "
             "was not run."},
    ErrorRow{ErrorKind::VersionUnavailable, "version-unavailable", 503, ExecutionStatus::No,
             std::nullopt,
             "No upstream of the software version that began the stream is left; this attempt was "
             "not run."},
    ErrorRow{ErrorKind::AlreadyRan, "already-ran", 409, ExecutionStatus::Yes, std::nullopt,
             "The request ran; its answer is no longer kept."},
    ErrorRow{ErrorKind::MayHaveRun, "may-have-run", 409, ExecutionStatus::Unknown, std::nullopt,
             "The request may have run and is not run again."},
    ErrorRow{ErrorKind::InProgress, "in-progress", 409, ExecutionStatus::Unknown, 2,
             "The request is being worked on; ask again for its answer."},
    ErrorRow{ErrorKind::KeyExpired, "key-expired", 422, ExecutionStatus::No, std::nullopt,
             "The idempotency key is older than the retention; this attempt was not run."},
    ErrorRow{ErrorKind::KeyReused, "key-reused", 422, ExecutionStatus::No, std::nullopt,
             "The idempotency key belongs to another request; this one was not run."},
    ErrorRow{ErrorKind::UpstreamUnreachable, "upstream-unreachable", 502, ExecutionStatus::No, 1,
             "No upstream could be reached; the request was not run."},
    ErrorRow{ErrorKind::UpstreamFailed, "upstream-failed", 502, ExecutionStatus::Unknown, 1,
             "The upstream failed; the request may have run."},
    ErrorRow{ErrorKind::UpstreamGarbage, "upstream-garbage", 502, ExecutionStatus::Unknown, 1,
             "The upstream's answer is not understood; the request may have run."},
    ErrorRow{ErrorKind::AnswerCut, "answer-cut", 502, ExecutionStatus::Yes, 1,
             "The answer is incomplete: the upstream stopped in the middle of it."},
    ErrorRow{ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, ExecutionStatus::Unknown,
             std::nullopt, "The time for the answer is over; the request may have run."},
    ErrorRow{ErrorKind::Stopping, "stopping", 503, ExecutionStatus::No, 1,
             "This router is stopping."},
    ErrorRow{ErrorKind::Internal, "internal", 500, ExecutionStatus::Unknown, 1,
             "An internal error; the request may have run."},
};

constexpr std::array ranNames{std::string_view{"no"}, std::string_view{"yes"},
                              std::string_view{"unknown"}};

} // namespace

const ErrorRow &errorRow(ErrorKind kind) noexcept
{
    return errorTable.at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> errorKindOf(std::string_view name) noexcept
{
    const auto *const found =
        std::find_if(errorTable.begin(), errorTable.end(),
                     [name](const ErrorRow &row) { return row.name == name; });
    if (found == errorTable.end()) {
        return std::nullopt;
    }
    return found->kind;
}

std::string_view nameOf(ExecutionStatus ran) noexcept
{
    return ranNames.at(static_cast<std::size_t>(ran));
}

} // namespace plantainswitch
