#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Time between two requests for the confirmation of one origin: some round trips between data
/// centres and turns of an event loop.
inline constexpr Milliseconds originConfirmationInterval{50};
/// Time without a confirmation after which no stream begins that needs one.
inline constexpr Milliseconds originConfirmationTimeout{400};
/// Time after which a stream whose origin was not confirmed is given up. Its caller has no event of
/// it, and repeats it at another router.
inline constexpr Milliseconds originConfirmationDeadline{600};
/// Witnesses that are asked at once.
inline constexpr std::size_t witnessesAtOnce = 2;

/// The routers that can keep an origin beyond the loss of the one whose caller receives the stream,
/// and of all that may be lost with it: those of other data centres, if there are any.
struct OriginWitnesses
{
    /// Those that are alive, in the order in which they are asked.
    std::vector<Endpoint> alive;
    /// There are witnesses, alive or not.
    bool exist = false;
};

/// An origin that is to be sent to its next witnesses.
struct ConfirmationRequest
{
    std::uint64_t number = 0;
    StreamOrigin origin;
    /// Number of earlier requests for this origin.
    std::size_t round = 0;
};

/// The origins whose confirmation by a witness is pending.
///
/// Invariant: while streams of several versions may be taken up, a caller gets the first event of
/// one only after a witness, or the store, has confirmed its origin. So no caller depends on a
/// version that only its router knows.
class OriginConfirmations
{
public:
    /// Begins to wait for the confirmation of \a origin. \returns the number of the request.
    std::uint64_t add(const StreamOrigin &origin, TimePoint now);
    /// Records a confirmation. \returns whether it was pending.
    bool confirm(std::uint64_t number, TimePoint now);
    /// Records that the origin was confirmed in another way than by a witness.
    void settle(std::uint64_t number, TimePoint now);
    /// \returns the requests to be sent now, and records that they are.
    [[nodiscard]] std::vector<ConfirmationRequest> takeDue(TimePoint now);
    /// Removes the requests whose deadline has passed. \returns their numbers.
    [[nodiscard]] std::vector<std::uint64_t> takeExpired(TimePoint now);
    /// \returns whether witnesses confirm what they are asked to.
    [[nodiscard]] bool areConfirmed(TimePoint now) const;
    /// \returns when takeDue() or takeExpired() has something to return; nothing without requests.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Pending
    {
        StreamOrigin origin;
        TimePoint addedAt;
        TimePoint dueAt;
        std::size_t round = 0;
    };

    /// By number, and so by the time at which they were added.
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t lastNumber = 0;
    TimePoint lastConfirmed;
    TimePoint lastUnanswered;
};

/// \returns the witnesses that are asked in the given round, each time the next ones.
[[nodiscard]] std::vector<Endpoint> witnessesOfRound(const OriginWitnesses &witnesses,
                                                     std::size_t round);

} // namespace plantainswitch
