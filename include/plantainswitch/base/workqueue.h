#pragma once

#include <deque>
#include <functional>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Work of an event loop that may wait, performed in the order of its arrival.
///
/// Invariant: between two pieces of work that start more than a time slice apart, the loop handles
/// all other events that are ready. A loop that handles each event where it finds it takes one of
/// each source per turn: sources on which many peers depend, such as the datagrams of the other
/// routers, starve once a turn with an event of each busy connection takes long.
class WorkQueue
{
public:
    explicit WorkQueue(const Clock &clock) noexcept
        : clock(clock)
    {}

    void push(std::function<void()> work);
    /// Performs waiting work until \a slice has passed or none is left, at least one piece.
    void runFor(Duration slice);

    [[nodiscard]] bool isEmpty() const noexcept { return this->waiting.empty(); }
    /// \returns how long the work that is being performed has waited; 0 if none is.
    [[nodiscard]] Duration currentWait() const noexcept;
    /// \returns how long the oldest waiting work has waited; 0 if there is none.
    [[nodiscard]] Duration longestWait() const noexcept;

private:
    struct Work
    {
        TimePoint pushedAt;
        std::function<void()> run;
    };

    const Clock &clock;
    std::deque<Work> waiting;
    /// How long the work that is being performed had waited when it began.
    Duration waited{0};
};

} // namespace plantainswitch
