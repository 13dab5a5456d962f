#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Base of a model that runs in simulated time: events in the order of their times, and random
/// numbers that depend on the seed alone.
class Simulation
{
protected:
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {}

    /// Schedules \a action after \a delay. Actions of the same time run in the order of their
    /// calls.
    void at(Duration delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, this->nextOrder++, std::move(action)});
    }

    /// Runs all events up to \a end since the start, inclusive.
    void runFor(Duration end)
    {
        while (!this->events.empty() && this->events.top().when <= this->start + end) {
            const SimulationEvent event = this->events.top();
            this->events.pop();
            this->now = event.when;
            event.action();
        }
    }

    /// \returns the simulated time since the start.
    [[nodiscard]] Duration elapsed() const { return this->now - this->start; }

    Milliseconds between(int low, int high)
    {
        return Milliseconds{std::uniform_int_distribution<int>(low, high)(this->random)};
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < probability;
    }

    /// \returns a time between two events of a Poisson process, in units of \a mean.
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(this->random);
    }

    std::mt19937_64 random;
    const TimePoint start{Seconds{1000}};
    TimePoint now = this->start;

private:
    struct SimulationEvent
    {
        TimePoint when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const SimulationEvent &other) const
        {
            return std::tie(this->when, this->order) > std::tie(other.when, other.order);
        }
    };

    std::priority_queue<SimulationEvent> events;
    std::uint64_t nextOrder = 0;
};

} // namespace plantainswitch
