#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/claims/claim.h"

namespace plantainswitch {

/// Parameters of a slice's log. Must be equal on all routers.
struct ClaimLogLimits
{
    /// Positions whose entries one segment contains.
    std::uint64_t positionsPerSegment = 256;
    /// Number of segments kept, which sets the log's retention.
    std::uint64_t maxSegments = 64;
    /// Maximum number of entries at one position. Together with positionsPerSegment it keeps a
    /// segment below a megabyte.
    std::size_t maxEntriesPerPosition = 44;
    /// Minimum time between the writes of two positions.
    Duration writeInterval = Milliseconds{60};
    /// Maximum number of doublings of the write interval after consecutive lost races; 0: no
    /// backoff.
    unsigned maxBackoffDoublings = 3;
    /// Time after a lost race for which the writer assumes that others write too.
    Duration contentionWindow = Milliseconds{2000};
    /// Time between attempts while the store fails.
    Duration retryDelay = Milliseconds{100};
    /// Age at which the view of the log is refreshed before it is used for decisions.
    Duration maxViewAge = Milliseconds{1000};
    /// Maximum number of requests waiting for their write.
    std::size_t maxPending = 4096;
    /// Largest assumed difference between the clocks of callers and routers.
    Milliseconds maxClockSkew{60'000};
};

/// An entry of the log: a claim, or its release by its owner.
struct ClaimLogEntry
{
    Claim claim;
    bool released = false;
};

/// A store call that a log needs: a read, or a write conditional on the version.
struct StoreCall
{
    bool write = false;
    std::string name;
    std::uint64_t ifVersion = 0;
    nlohmann::json body;
};

enum class StoreOutcome : std::uint8_t {
    Ok,
    NotFound,
    /// The condition did not hold; the current object is returned.
    Conflict,
    /// Certainly not executed.
    Rejected,
    /// A write may or may not have taken effect.
    Unknown,
};

/// Response to a store call.
struct StoreResponse
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t version = 0;
    nlohmann::json body;
};

/// One router's view of a slice's log at the store, and its pending writes.
///
/// Position n lives in ring object n modulo two segments. Writing it is conditional on the version
/// of the object's previous content, so only one writer wins a position. A writer that was paused
/// for any time can't win a position that another one has written since, because versions are never
/// reused.
struct ClaimLog
{
    enum class Phase : std::uint8_t { LoadingSegments, ReadingPositions, Ready };
    struct PendingClaim
    {
        ClaimRequest request;
    };
    struct PendingWrite
    {
        StoreCall call;
        std::vector<ClaimLogEntry> entries;
        bool isSegment = false;
        /// An earlier attempt may have taken effect.
        bool mayHaveTakenEffect = false;
    };
    struct Segment
    {
        std::vector<ClaimLogEntry> entries;
        std::uint64_t horizon = 0;
    };

    std::uint32_t slice = 0;
    std::uint64_t writer = 0;
    ClaimLogLimits limits;

    Phase phase = Phase::LoadingSegments;
    std::uint64_t nextSegmentSlot = 0;
    std::map<std::uint64_t, Segment> loadedSegments;

    std::uint64_t nextPosition = 0;
    std::uint64_t sealedSegmentCount = 0;
    std::uint64_t batchCount = 0;
    std::map<std::string, std::uint64_t> versions;
    std::map<ClaimId, Claim> claims;
    /// Entries of the positions after the last segment.
    std::vector<ClaimLogEntry> unsealedEntries;
    std::deque<Segment> segments;
    /// Time of the newest entry that was forgotten.
    std::uint64_t horizon = 0;
    std::uint64_t lastTime = 0;

    std::vector<PendingClaim> pending;
    std::vector<Claim> releases;
    std::optional<PendingWrite> pendingWrite;
    bool callOutstanding = false;
    TimePoint nextWriteAt;
    /// Consecutive races for a position that were lost.
    unsigned lostRaces = 0;
    /// Until then another writer is assumed to be active.
    std::optional<TimePoint> contendedUntil;
    std::optional<TimePoint> syncedAt;
    std::optional<TimePoint> failingSince;
};

/// \returns the time from one attempt for a position to the next: the write interval; under
/// contention the doubled interval plus up to half of it as jitter; doubled again for each
/// consecutive lost race.
[[nodiscard]] Duration nextWriteInterval(const ClaimLogLimits &limits, bool contended,
                                         unsigned lostRaces, std::uint64_t seed) noexcept;

/// Queues a request; a repeat of the same nonce is queued once.
/// \returns false when the queue is full.
bool enqueueClaim(ClaimLog &log, const ClaimRequest &request);

/// Releases a claim that its owner has not used and never will: a waiting one is dropped, one that
/// is or may be written gets a release entry.
void releaseClaim(ClaimLog &log, const Claim &claim);

/// \returns the store call to make now, or nothing. Only one call may be outstanding:
/// handleStoreResponse() must follow before the next.
[[nodiscard]] std::optional<StoreCall> nextStoreCall(ClaimLog &log, TimePoint now,
                                                     WallTime wallTime);

/// Handles the response to the outstanding call.
/// \returns the replies to the requests that it decides.
std::vector<ClaimReply> handleStoreResponse(ClaimLog &log, const StoreResponse &response,
                                            TimePoint now);

/// \returns the replies that the current view allows without a store call, such as after
/// enqueueClaim().
std::vector<ClaimReply> decideClaims(ClaimLog &log, TimePoint now);

/// \returns when to call nextStoreCall() again, or nothing while there is nothing to do.
[[nodiscard]] std::optional<TimePoint> wakeTime(const ClaimLog &log, TimePoint now);

} // namespace plantainswitch
