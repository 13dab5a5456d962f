#pragma once

#include <array>

namespace plantainswitch {

/// Estimates how long nearly all runs of a service take, from those that have ended and those that
/// were given up before. Stochastic approximation of two quantiles: each rises with a time above it
/// and falls with one below.
class RunTimeEstimate
{
public:
    /// Records the time of a run that has ended, in milliseconds.
    void recordEnded(double time) noexcept;
    /// Records that a run was given up after \a time. It counts as one that takes longer, by the
    /// share of such runs that exceed each quantile: without it, only short runs would count where
    /// callers leave or a timeout is short.
    void recordGivenUp(double time) noexcept;
    /// \returns the time that one in ten runs exceeds, in milliseconds.
    [[nodiscard]] double upperBound() const noexcept { return this->quantiles.back().time; }

private:
    struct Quantile
    {
        /// Share of the runs that take longer.
        double exceeding = 0.0;
        double time = 0.0;
    };

    /// \returns the estimated share of the runs that take longer than \a time.
    [[nodiscard]] double shareAbove(double time) const noexcept;
    static void update(Quantile &quantile, double exceeds) noexcept;

    /// The median, and the upper bound. Until runs were seen, a run may take long.
    std::array<Quantile, 2> quantiles{{{0.5, 100.0}, {0.1, 400.0}}};
};

} // namespace plantainswitch
