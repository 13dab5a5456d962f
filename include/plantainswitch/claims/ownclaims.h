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

/// State of a claim at its owner.
enum class OwnClaimState : std::uint8_t {
    /// The claim is not known, or no longer.
    Unknown,
    /// Being written, or written and not yet dispatched.
    Claiming,
    /// Given up and never dispatched.
    Abandoned,
    /// Dispatched.
    Running,
    /// Ran; the response is cached, or was.
    Done,
    /// Dispatched, with an unknown outcome.
    Lost,
};
[[nodiscard]] std::string_view nameOf(OwnClaimState state) noexcept;

/// The response of a request that ran, cached for its retries.
struct CachedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// A claim of this router with its state.
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

/// The claims of this router. Forgetting one is safe: its state is then Unknown.
struct OwnClaims
{
    OwnClaimLimits limits;
    std::map<std::uint64_t, OwnClaim> byNonce;
    std::map<ClaimId, std::uint64_t> newestNonceById;
    std::deque<std::uint64_t> endedOrder;
    std::deque<std::uint64_t> responseOrder;
    std::size_t responseBytes = 0;
};

/// Adds a claim in the state Claiming.
void beginClaim(OwnClaims &own, const Claim &claim, TimePoint now);
/// Marks a claim as dispatched. \returns whether the owner may dispatch: false if the claim was
/// abandoned meanwhile.
[[nodiscard]] bool dispatchClaim(OwnClaims &own, std::uint64_t nonce, TimePoint now);
/// Ends a claim in Abandoned, Done or Lost. A dispatched claim becomes Lost instead of Abandoned,
/// unless \a notRun says that its upstream is known not to have run it.
void endClaim(OwnClaims &own, std::uint64_t nonce, OwnClaimState state,
              std::optional<CachedResponse> response, TimePoint now, bool notRun = false);
/// \returns the claim with that nonce.
[[nodiscard]] OwnClaim ownClaimOf(const OwnClaims &own, std::uint64_t nonce);
/// \returns the newest claim on \a id.
[[nodiscard]] OwnClaim newestClaimOf(const OwnClaims &own, const ClaimId &id);

/// \returns the reason for which a retry is refused when another claim holds its key and no cached
/// response can be given.
/// \param content content hash of the retry
/// \param holder the claim that holds the key
/// \param state state at the holder's owner; Unknown when the owner can't be asked
[[nodiscard]] Reason duplicateRequestReason(std::uint64_t content, const Claim &holder,
                                            OwnClaimState state);

/// Thread-safe OwnClaims.
class OwnClaimTable
{
public:
    void begin(const Claim &claim, TimePoint now);
    [[nodiscard]] bool dispatch(std::uint64_t nonce, TimePoint now);
    void end(std::uint64_t nonce, OwnClaimState state, std::optional<CachedResponse> response,
             TimePoint now, bool notRun = false);
    [[nodiscard]] OwnClaim find(std::uint64_t nonce) const;
    [[nodiscard]] OwnClaim newest(const ClaimId &id) const;

private:
    mutable RankedMutex mutex{LockRank::Claims};
    OwnClaims own;
};

} // namespace plantainswitch
