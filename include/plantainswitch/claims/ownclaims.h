#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/error.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/claims/claim.h"

namespace plantainswitch {

/// How far a claim's owner has come with it.
enum class OwnClaimState : std::uint8_t {
    /// Nothing is remembered of the claim.
    Unknown,
    /// Being written, or written and about to be dispatched.
    Claiming,
    /// Given up; never dispatched.
    Abandoned,
    /// Dispatched.
    Running,
    /// Ran; the answer is kept or was.
    Done,
    /// Dispatched, and the upstream didn't say what became of it.
    Lost,
};
[[nodiscard]] std::string_view nameOf(OwnClaimState state) noexcept;

/// The answer of a request that ran, kept for its repeats.
struct CachedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// A claim of this router and what became of it.
struct OwnClaim
{
    Claim claim;
    OwnClaimState state = OwnClaimState::Unknown;
    TimePoint since;
    std::optional<CachedResponse> response;
};

/// Bounds on what an owner remembers.
struct OwnClaimLimits
{
    Duration responseRetention = Seconds{600};
    std::size_t maxResponseBytes = 16 << 20;
    std::size_t maxEndedClaims = 50'000;
};

/// What this router knows of its own claims. Forgetting is safe: it says "unknown" then.
struct OwnClaims
{
    OwnClaimLimits limits;
    std::map<std::uint64_t, OwnClaim> byNonce;
    std::map<ClaimId, std::uint64_t> newestNonceById;
    std::deque<std::uint64_t> endedOrder;
    std::deque<std::uint64_t> responseOrder;
    std::size_t responseBytes = 0;
};

/// Begins a claim.
void beginClaim(OwnClaims &own, const Claim &claim, TimePoint now);
/// \returns whether the owner may dispatch: the claim was not given up meanwhile.
[[nodiscard]] bool dispatchClaim(OwnClaims &own, std::uint64_t nonce, TimePoint now);
/// Ends a claim in Abandoned, Done or Lost. A dispatched claim is never abandoned, but by
/// \a notRun: its upstream is known not to have run it.
void endClaim(OwnClaims &own, std::uint64_t nonce, OwnClaimState state,
              std::optional<CachedResponse> answer, TimePoint now, bool notRun = false);
/// \returns what is known of the claim with that nonce.
[[nodiscard]] OwnClaim ownClaimOf(const OwnClaims &own, std::uint64_t nonce);
/// \returns what is known of the newest claim on \a id.
[[nodiscard]] OwnClaim newestClaimOf(const OwnClaims &own, const ClaimId &id);

/// \returns what a repeat hears of the claim that holds its key, when no kept answer can be given.
/// \param content of the repeat
/// \param holder of the key
/// \param state as the owner tells it; Unknown when the owner can't be asked
[[nodiscard]] Reason duplicateRequestReason(std::uint64_t content, const Claim &holder,
                                            OwnClaimState state);

/// The same behind a lock.
class OwnClaimTable
{
public:
    void begin(const Claim &claim, TimePoint now);
    [[nodiscard]] bool dispatch(std::uint64_t nonce, TimePoint now);
    void end(std::uint64_t nonce, OwnClaimState state, std::optional<CachedResponse> answer,
             TimePoint now, bool notRun = false);
    [[nodiscard]] OwnClaim find(std::uint64_t nonce) const;
    [[nodiscard]] OwnClaim newest(const ClaimId &id) const;

private:
    mutable RankedMutex mutex{LockRank::Claims};
    OwnClaims own;
};

} // namespace plantainswitch
