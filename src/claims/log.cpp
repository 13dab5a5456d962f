#include "plantainswitch/claims/log.h"

#include <algorithm>
#include <set>

#include "entrycodec.h"
#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

std::uint64_t ringSize(const ClaimLog &log) noexcept
{
    // Twice a segment: a position is overwritten only after the segment that holds it is known to
    // be written, since the segment before the last one always is.
    return 2 * log.limits.positionsPerSegment;
}

std::string positionName(const ClaimLog &log, std::uint64_t position)
{
    return std::to_string(log.slice) + "-p" + std::to_string(position % ringSize(log));
}

std::string segmentName(const ClaimLog &log, std::uint64_t number)
{
    return std::to_string(log.slice) + "-g" + std::to_string(number % log.limits.maxSegments);
}

std::uint64_t versionOf(const ClaimLog &log, const std::string &name)
{
    const auto found = log.versions.find(name);
    return found == log.versions.end() ? 0 : found->second;
}

void applyEntry(ClaimLog &log, const ClaimLogEntry &entry)
{
    const auto held = log.claims.find(entry.claim.id);
    if (!entry.released) {
        log.claims.try_emplace(entry.claim.id, entry.claim);
    } else if (held != log.claims.end() && held->second.nonce == entry.claim.nonce) {
        log.claims.erase(held);
    }
}

void forgetSegment(ClaimLog &log, const ClaimLog::Segment &segment)
{
    for (const ClaimLogEntry &entry : segment.entries) {
        const auto held = log.claims.find(entry.claim.id);
        if (held != log.claims.end() && held->second.nonce == entry.claim.nonce) {
            log.claims.erase(held);
        }
    }
}

/// Applies the entries of the next position.
void applyPosition(ClaimLog &log, const std::vector<ClaimLogEntry> &entries, std::uint64_t time)
{
    for (const ClaimLogEntry &entry : entries) {
        applyEntry(log, entry);
        log.unsealedEntries.push_back(entry);
    }
    log.lastTime = std::max(log.lastTime, time);
    ++log.nextPosition;
}

void restartLoading(ClaimLog &log)
{
    log.phase = ClaimLog::Phase::LoadingSegments;
    log.nextSegmentSlot = 0;
    log.loadedSegments.clear();
    log.nextPosition = 0;
    log.sealedSegmentCount = 0;
    log.versions.clear();
    log.claims.clear();
    log.unsealedEntries.clear();
    log.segments.clear();
    log.pendingWrite.reset();
    log.syncedAt.reset();
}

bool mustSeal(const ClaimLog &log) noexcept
{
    return log.nextPosition > 0 && log.nextPosition % log.limits.positionsPerSegment == 0
           && log.sealedSegmentCount < log.nextPosition / log.limits.positionsPerSegment;
}

/// Seals the entries since the last segment as a segment, and forgets the oldest one.
void sealSegment(ClaimLog &log)
{
    log.segments.push_back({std::move(log.unsealedEntries), log.lastTime});
    log.unsealedEntries.clear();
    ++log.sealedSegmentCount;
    if (log.segments.size() > log.limits.maxSegments) {
        log.horizon = std::max(log.horizon, log.segments.front().horizon);
        forgetSegment(log, log.segments.front());
        log.segments.pop_front();
    }
}

void prepareSegmentWrite(ClaimLog &log)
{
    const std::uint64_t number = log.sealedSegmentCount;
    std::uint64_t horizon = log.horizon;
    if (log.segments.size() == log.limits.maxSegments) {
        horizon = std::max(horizon, log.segments.front().horizon);
    }
    ClaimLog::PendingWrite write;
    write.isSegment = true;
    write.call = {true, segmentName(log, number), versionOf(log, segmentName(log, number)),
                  encodeSegment({number, log.lastTime, horizon, log.unsealedEntries})};
    log.pendingWrite = std::move(write);
}

bool isExpired(const ClaimLog &log, const ClaimRequest &request)
{
    const auto skew = static_cast<std::uint64_t>(log.limits.maxClockSkew.count());
    return request.issuedMilliseconds != 0 && log.horizon != 0
           && request.issuedMilliseconds <= log.horizon + skew;
}

std::vector<ClaimLogEntry> entriesToWrite(ClaimLog &log)
{
    std::vector<ClaimLogEntry> entries;
    const auto isObsolete = [&log](const Claim &claim) {
        const auto held = log.claims.find(claim.id);
        return held == log.claims.end() || held->second.nonce != claim.nonce;
    };
    log.releases.erase(std::remove_if(log.releases.begin(), log.releases.end(), isObsolete),
                       log.releases.end());
    for (const Claim &claim : log.releases) {
        if (entries.size() < log.limits.maxEntriesPerPosition) {
            entries.push_back({claim, true});
        }
    }
    std::set<ClaimId> ids;
    for (const ClaimLog::PendingClaim &pendingClaim : log.pending) {
        const Claim &claim = pendingClaim.request.claim;
        if (entries.size() < log.limits.maxEntriesPerPosition && !log.claims.contains(claim.id)
            && !isExpired(log, pendingClaim.request) && ids.insert(claim.id).second) {
            entries.push_back({claim, false});
        }
    }
    return entries;
}

void prepareBatchWrite(ClaimLog &log, std::vector<ClaimLogEntry> entries, WallTime wallTime)
{
    const auto time = static_cast<std::uint64_t>(wallTime.time_since_epoch().count());
    const std::string name = positionName(log, log.nextPosition);
    const std::string nonce = std::to_string(log.writer) + "." + std::to_string(++log.batchCount);
    ClaimLog::PendingWrite write;
    write.call = {true, name, versionOf(log, name),
                  encodeBatch({log.nextPosition, nonce, std::max(time, log.lastTime), entries})};
    write.entries = std::move(entries);
    log.pendingWrite = std::move(write);
}

/// Finishes loading segments: applies them in order, or starts over when they are not contiguous,
/// because then another writer wrote meanwhile or a read was stale.
void finishLoadingSegments(ClaimLog &log)
{
    if (log.loadedSegments.empty()) {
        log.phase = ClaimLog::Phase::ReadingPositions;
        return;
    }
    const std::uint64_t newest = log.loadedSegments.rbegin()->first;
    const std::uint64_t oldest = log.loadedSegments.begin()->first;
    if (newest - oldest + 1 != log.loadedSegments.size()
        || (oldest != 0 && log.loadedSegments.size() != log.limits.maxSegments)) {
        restartLoading(log);
        return;
    }
    for (auto &[number, segment] : log.loadedSegments) {
        for (const ClaimLogEntry &entry : segment.entries) {
            applyEntry(log, entry);
        }
        log.lastTime = std::max(log.lastTime, segment.horizon);
        log.segments.push_back(std::move(segment));
    }
    log.loadedSegments.clear();
    log.sealedSegmentCount = newest + 1;
    log.nextPosition = log.sealedSegmentCount * log.limits.positionsPerSegment;
    log.phase = ClaimLog::Phase::ReadingPositions;
}

void handleSegmentRead(ClaimLog &log, const StoreResponse &response)
{
    const auto record =
        response.outcome == StoreOutcome::Ok ? decodeSegment(response.body) : std::nullopt;
    if (!record) {
        finishLoadingSegments(log);
        return;
    }
    log.versions[segmentName(log, record->number)] = response.version;
    log.horizon = std::max(log.horizon, record->horizon);
    log.loadedSegments[record->number] = {record->entries, record->time};
    if (++log.nextSegmentSlot == log.limits.maxSegments) {
        finishLoadingSegments(log);
    }
}

/// Handles the content of the ring object in which the next position is expected.
void handlePosition(ClaimLog &log, const StoreResponse &response, TimePoint now)
{
    const auto record = decodeBatch(response.body);
    if (response.version != 0) {
        log.versions[positionName(log, log.nextPosition)] = response.version;
    }
    if (record && record->position == log.nextPosition) {
        applyPosition(log, record->entries, record->time);
        if (log.contendedUntil && now < *log.contendedUntil) {
            log.contendedUntil = now + log.limits.contentionWindow;
        }
        return;
    }
    if (record && record->position > log.nextPosition) {
        restartLoading(log);
        return;
    }
    log.syncedAt = now;
    log.phase = ClaimLog::Phase::Ready;
}

void handleRead(ClaimLog &log, const StoreResponse &response, TimePoint now)
{
    if (response.outcome != StoreOutcome::Ok && response.outcome != StoreOutcome::NotFound) {
        return;
    }
    if (log.phase == ClaimLog::Phase::LoadingSegments) {
        handleSegmentRead(log, response);
    } else {
        handlePosition(log, response, now);
    }
}

void handleSegmentWrite(ClaimLog &log, const StoreResponse &response)
{
    log.versions[log.pendingWrite->call.name] = response.version;
    if (response.outcome == StoreOutcome::Conflict) {
        const auto record = decodeSegment(response.body);
        if (record && record->number > log.sealedSegmentCount) {
            restartLoading(log);
            return;
        }
        if (!record || record->number < log.sealedSegmentCount) {
            log.pendingWrite->call.ifVersion = response.version;
            return;
        }
    }
    log.pendingWrite.reset();
    sealSegment(log);
}

bool isContended(const ClaimLog &log, TimePoint now)
{
    return log.contendedUntil && now < *log.contendedUntil;
}

/// Sets when the next position may be attempted.
void scheduleNextWrite(ClaimLog &log, TimePoint now)
{
    log.nextWriteAt =
        now
        + nextWriteInterval(log.limits, isContended(log, now), log.lostRaces,
                            mixHash(log.writer, mixHash(log.batchCount, log.nextPosition)));
}

void handleLostRace(ClaimLog &log, TimePoint now)
{
    if (log.limits.maxBackoffDoublings == 0) {
        return;
    }
    ++log.lostRaces;
    log.contendedUntil = now + log.limits.contentionWindow;
    scheduleNextWrite(log, now);
}

void handleBatchWrite(ClaimLog &log, const StoreResponse &response, TimePoint now)
{
    const auto written = decodeBatch(log.pendingWrite->call.body);
    if (response.outcome == StoreOutcome::Ok) {
        log.versions[log.pendingWrite->call.name] = response.version;
        log.pendingWrite.reset();
        applyPosition(log, written->entries, written->time);
        log.syncedAt = now;
        log.lostRaces = 0;
        scheduleNextWrite(log, now);
        return;
    }
    const auto current = decodeBatch(response.body);
    if (!current || current->position < log.nextPosition) {
        log.versions[log.pendingWrite->call.name] = response.version;
        log.pendingWrite->call.ifVersion = response.version;
        return;
    }
    // Recognises a lost response: an object with this batch's own nonce holds its own entries.
    // Another writer's batch is read, and this one continues after it.
    const bool isOwn = current->nonce == written->nonce;
    log.pendingWrite.reset();
    if (isOwn) {
        log.lostRaces = 0;
        scheduleNextWrite(log, now);
    } else {
        handleLostRace(log, now);
    }
    handlePosition(log, response, now);
}

void handleFailure(ClaimLog &log, const StoreResponse &response, TimePoint now)
{
    if (!log.failingSince) {
        log.failingSince = now;
    }
    log.nextWriteAt = std::max(log.nextWriteAt, now + log.limits.retryDelay);
    if (!log.pendingWrite) {
        return;
    }
    log.pendingWrite->mayHaveTakenEffect =
        log.pendingWrite->mayHaveTakenEffect || response.outcome == StoreOutcome::Unknown;
    // A batch that can't have reached the store is rebuilt without the requests given up meanwhile.
    // One that may have reached it is sent again unchanged until the store says what holds its
    // position.
    if (!log.pendingWrite->mayHaveTakenEffect) {
        log.pendingWrite.reset();
    }
}

bool isStale(const ClaimLog &log, TimePoint now)
{
    return !log.syncedAt || now - *log.syncedAt > log.limits.maxViewAge;
}

/// Whether the view was refreshed since the write interval last allowed an attempt. Two writers
/// that each write at what they believe to be the next position lose every other attempt; a read is
/// cheaper.
bool isRefreshedSinceWrite(const ClaimLog &log, TimePoint now)
{
    return !isContended(log, now) || *log.syncedAt >= log.nextWriteAt;
}

} // namespace

Duration nextWriteInterval(const ClaimLogLimits &limits, bool contended, unsigned lostRaces,
                           std::uint64_t seed) noexcept
{
    if (!contended || limits.maxBackoffDoublings == 0) {
        return limits.writeInterval;
    }
    constexpr std::uint64_t jitterSteps = 1000;
    const Duration base =
        limits.writeInterval * (1U << std::clamp(lostRaces, 1U, limits.maxBackoffDoublings));
    return base + base / 2 * (seed % jitterSteps) / jitterSteps;
}

bool enqueueClaim(ClaimLog &log, const ClaimRequest &request)
{
    for (const ClaimLog::PendingClaim &pendingClaim : log.pending) {
        if (pendingClaim.request.claim.nonce == request.claim.nonce) {
            return true;
        }
    }
    if (log.pending.size() >= log.limits.maxPending) {
        return false;
    }
    log.pending.push_back({request});
    return true;
}

void releaseClaim(ClaimLog &log, const Claim &claim)
{
    const auto isSame = [&claim](const ClaimLog::PendingClaim &pendingClaim) {
        return pendingClaim.request.claim.nonce == claim.nonce;
    };
    log.pending.erase(std::remove_if(log.pending.begin(), log.pending.end(), isSame),
                      log.pending.end());
    const auto isKnown = [&claim](const Claim &each) { return each.nonce == claim.nonce; };
    if (log.releases.size() < log.limits.maxPending
        && std::none_of(log.releases.begin(), log.releases.end(), isKnown)) {
        log.releases.push_back(claim);
    }
}

std::optional<StoreCall> nextStoreCall(ClaimLog &log, TimePoint now, WallTime wallTime)
{
    const bool hasWork = !log.pending.empty() || !log.releases.empty() || log.pendingWrite;
    if (log.callOutstanding || !hasWork || (log.failingSince && now < log.nextWriteAt)) {
        return std::nullopt;
    }
    log.callOutstanding = true;
    if (log.pendingWrite) {
        return log.pendingWrite->call;
    }
    if (log.phase == ClaimLog::Phase::LoadingSegments) {
        return StoreCall{false, segmentName(log, log.nextSegmentSlot), 0, {}};
    }
    if (mustSeal(log)) {
        prepareSegmentWrite(log);
        return log.pendingWrite->call;
    }
    if (log.phase == ClaimLog::Phase::ReadingPositions || isStale(log, now)) {
        log.phase = ClaimLog::Phase::ReadingPositions;
        return StoreCall{false, positionName(log, log.nextPosition), 0, {}};
    }
    if (now >= log.nextWriteAt) {
        auto entries = entriesToWrite(log);
        if (!entries.empty() && !isRefreshedSinceWrite(log, now)) {
            log.phase = ClaimLog::Phase::ReadingPositions;
            return StoreCall{false, positionName(log, log.nextPosition), 0, {}};
        }
        if (!entries.empty()) {
            prepareBatchWrite(log, std::move(entries), wallTime);
            return log.pendingWrite->call;
        }
    }
    log.callOutstanding = false;
    return std::nullopt;
}

std::vector<ClaimReply> decideClaims(ClaimLog &log, TimePoint now)
{
    std::vector<ClaimReply> replies;
    if (log.phase != ClaimLog::Phase::Ready || isStale(log, now)) {
        return replies;
    }
    const auto decide = [&](const ClaimLog::PendingClaim &pendingClaim) {
        const Claim &claim = pendingClaim.request.claim;
        const auto held = log.claims.find(claim.id);
        if (held != log.claims.end()) {
            const bool isOwn = held->second.nonce == claim.nonce;
            replies.push_back(
                {claim.nonce, isOwn ? ClaimVerdict::Granted : ClaimVerdict::Taken, held->second});
            return true;
        }
        // A claim in a pending write may still be written, and is not expired then.
        if (!log.pendingWrite && isExpired(log, pendingClaim.request)) {
            replies.push_back({claim.nonce, ClaimVerdict::Expired, {}});
            return true;
        }
        return false;
    };
    log.pending.erase(std::remove_if(log.pending.begin(), log.pending.end(), decide),
                      log.pending.end());
    return replies;
}

std::vector<ClaimReply> handleStoreResponse(ClaimLog &log, const StoreResponse &response,
                                            TimePoint now)
{
    log.callOutstanding = false;
    if (response.outcome == StoreOutcome::Rejected || response.outcome == StoreOutcome::Unknown) {
        handleFailure(log, response, now);
        return {};
    }
    log.failingSince.reset();
    if (!log.pendingWrite) {
        handleRead(log, response, now);
    } else if (response.outcome == StoreOutcome::NotFound) {
        restartLoading(log);
    } else if (log.pendingWrite->isSegment) {
        handleSegmentWrite(log, response);
    } else {
        handleBatchWrite(log, response, now);
    }
    return decideClaims(log, now);
}

std::optional<TimePoint> wakeTime(const ClaimLog &log, TimePoint now)
{
    const bool hasWork = !log.pending.empty() || !log.releases.empty() || log.pendingWrite;
    if (log.callOutstanding || !hasWork) {
        return std::nullopt;
    }
    return std::max(now, log.nextWriteAt);
}

} // namespace plantainswitch
