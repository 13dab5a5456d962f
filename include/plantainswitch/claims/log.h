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

/// Sizes of a slice's log. Equal on all routers.
struct ClaimLogLimits
{
    /// Positions whose entries one segment gathers.
    std::uint64_t positionsPerSegment = 256;
    /// Segments that are kept; what they hold is what the log remembers.
    std::uint64_t maxSegments = 64;
    /// Entries of one position; with segmentPositions it keeps a segment below a megabyte.
    std::size_t maxEntriesPerPosition = 44;
    /// Shortest time between the writes of two positions.
    Duration writeInterval = Milliseconds{60};
    /// Most doublings of the pace after races lost in a row; 0: no backing off.
    unsigned maxBackoffDoublings = 3;
    /// Time after a lost race for which the writer takes care of others.
    Duration contentionWindow = Milliseconds{2000};
    /// Time between tries while the store fails.
    Duration retryDelay = Milliseconds{100};
    /// Age at which the view of the log is brought up to date before it decides.
    Duration maxViewAge = Milliseconds{1000};
    /// Asks that may wait for their write.
    std::size_t maxPending = 4096;
    /// How far the clocks of callers and routers may differ.
    Milliseconds maxClockSkew{60'000};
};

/// An entry of the log: a claim, or its release by its owner.
struct ClaimLogEntry
{
    Claim claim;
    bool released = false;
};

/// A call on the store that a log wants done: a read, or a write on condition of the version.
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
    /// The condition did not hold; the present object is handed out.
    Conflict,
    /// Certainly not carried out.
    Rejected,
    /// A write may or may not have taken effect.
    Unknown,
};

/// How a call on the store ended.
struct StoreResponse
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t version = 0;
    nlohmann::json body;
};

/// One router's view of a slice's log at the store, and what it wants written there.
///
/// Position n lives in ring object n modulo two segments. Writing it takes the version of what
/// the object held before, so one writer wins a position, and a writer that was paused for any
/// time can't win one that somebody else has written since: versions are never used again.
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
        /// An earlier try may have taken effect.
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
    /// Races for a position lost in a row.
    unsigned lostRaces = 0;
    /// Until then another writer is held to be at work.
    std::optional<TimePoint> contendedUntil;
    std::optional<TimePoint> syncedAt;
    std::optional<TimePoint> failingSince;
};

/// \returns the time from a try for a position to the next: the pace; the doubled pace with up to
/// half of it in jitter while others write too; doubled again for each race lost in a row.
[[nodiscard]] Duration nextWriteInterval(const ClaimLogLimits &limits, bool contended,
                                         unsigned lostRaces, std::uint64_t seed) noexcept;

/// Queues an ask; a repeat of the same nonce is taken once.
/// \returns false when there is no room.
bool enqueueClaim(ClaimLog &log, const ClaimRequest &ask);

/// Gives a claim up that its owner has not used and never will use: one that waits is dropped,
/// one that is written or may be gets a release entry.
void releaseClaim(ClaimLog &log, const Claim &claim);

/// \returns the call that the log wants done now, or nothing. One call at a time: takeAnswer()
/// must follow before the next.
[[nodiscard]] std::optional<StoreCall> nextStoreCall(ClaimLog &log, TimePoint now, WallTime wall);

/// Takes the answer of the call that is out.
/// \returns the asks that are decided by it.
std::vector<ClaimReply> handleStoreResponse(ClaimLog &log, const StoreResponse &answer,
                                            TimePoint now);

/// \returns the verdicts that the log's present view allows without a call, such as after
/// enqueueClaim().
std::vector<ClaimReply> decideClaims(ClaimLog &log, TimePoint now);

/// \returns when nextStoreCall() is to be asked again, or nothing while there is nothing to do.
[[nodiscard]] std::optional<TimePoint> wakeTime(const ClaimLog &log, TimePoint now);

} // namespace plantainswitch
