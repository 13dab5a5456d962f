#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How the run times of the modelled upstream grow with the concurrency.
enum class SlowdownCurve : std::uint8_t {
    None,
    /// In proportion beyond half of the slots, to three times at all slots.
    Linear,
    /// The same, to 2.2 times; the best limit gains little.
    Slight,
    /// With the third power of the concurrency beyond 0.7 of the slots.
    Steep,
    /// To 2.5 times at once beyond 0.6 of the slots.
    Jump,
};

struct ConcurrencyModelOptions
{
    SlowdownCurve curve = SlowdownCurve::None;
    double slots = 6.0;
    /// Mean work and its sigma (log-normal).
    double meanMilliseconds = 35.0;
    double sigma = 0.5;
    /// 2.5 times slower for 15% of the time, in periods of 600 ms on average.
    bool hasNoise = false;
    /// From this second on the curve is another one, and all work takes lateFactor times as long.
    double changeAt = 1e9;
    SlowdownCurve lateCurve = SlowdownCurve::None;
    double lateFactor = 1.0;
    /// Arrivals by what the upstream could run at best without slowdown.
    double load = 1.3;
    double seconds = 60.0;
    /// Runs before this second are not counted.
    double countedFrom = 5.0;
};

/// An upstream whose runs slow each other down, behind a queue that grants up to a limit. All runs
/// progress alike, so that one ends when the common progress reaches its work.
class ConcurrencyModel
{
public:
    using Limit = std::function<double(TimePoint)>;
    using Record = std::function<void(double, Duration, TimePoint)>;

    ConcurrencyModel(std::uint64_t seed, const ConcurrencyModelOptions &options)
        : options(options)
        , workRandom(seed)
        , arrivalRandom(seed + 1)
        , noiseRandom(seed + 2)
        , work(std::log(options.meanMilliseconds) - options.sigma * options.sigma / 2.0,
               options.sigma)
        , noiseAt(options.hasNoise ? exponential(quietTime, this->noiseRandom) : 1e18)
    {}

    /// \returns the runs per second that ended.
    double run(const Limit &limit, const Record &record)
    {
        const double end = this->options.seconds * 1000.0;
        while (this->now < end) {
            while (this->waiting > 0
                   && static_cast<double>(this->running.size()) + 1.0
                          <= std::floor(limit(this->time()) + 0.5)) {
                --this->waiting;
                this->running.push({this->progress + this->work(this->workRandom), this->now,
                                    static_cast<double>(this->running.size()) + 1.0});
            }
            this->step(record);
        }
        return static_cast<double>(this->ended)
               / (this->options.seconds - this->options.countedFrom);
    }

    [[nodiscard]] static double slowdownOf(SlowdownCurve curve, double running, double slots)
    {
        constexpr double steepShare = 0.7;
        constexpr double jumpShare = 0.6;
        const double beyondHalf = std::max(0.0, running * 2.0 / slots - 1.0);
        switch (curve) {
        case SlowdownCurve::None:
            return 1.0;
        case SlowdownCurve::Linear:
            return 1.0 + 2.0 * beyondHalf;
        case SlowdownCurve::Slight:
            return 1.0 + 1.2 * beyondHalf;
        case SlowdownCurve::Steep:
            return std::pow(std::max(1.0, running / std::floor(slots * steepShare)), 3.0);
        case SlowdownCurve::Jump:
            return running > std::floor(slots * jumpShare) ? 2.5 : 1.0;
        }
        return 1.0;
    }

private:
    static constexpr double noisyTime = 600.0;
    static constexpr double quietTime = 3400.0;

    struct Run
    {
        double endsAt;
        double startedAt;
        double concurrency;
        bool operator<(const Run &other) const { return this->endsAt > other.endsAt; }
    };

    [[nodiscard]] TimePoint time() const
    {
        return TimePoint{Seconds{1}}
               + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double, std::milli>(this->now));
    }

    [[nodiscard]] double rate() const
    {
        const bool isLate = this->now >= this->options.changeAt * 1000.0;
        const double slowdown =
            slowdownOf(isLate ? this->options.lateCurve : this->options.curve,
                       static_cast<double>(this->running.size()), this->options.slots);
        constexpr double noiseFactor = 2.5;
        return 1.0 / slowdown / (this->isNoisy ? noiseFactor : 1.0)
               / (isLate ? this->options.lateFactor : 1.0);
    }

    static double exponential(double mean, std::mt19937_64 &random)
    {
        return std::exponential_distribution<double>(1.0 / mean)(random);
    }

    void step(const Record &record)
    {
        const double arrivalGap =
            this->options.meanMilliseconds / this->options.slots / this->options.load;
        const double rate = this->rate();
        const double completion =
            this->running.empty()
                ? 1e18
                : this->now + (this->running.top().endsAt - this->progress) / rate;
        const double next = std::min({completion, this->arrivalAt, this->noiseAt});
        this->progress += (next - this->now) * rate;
        this->now = next;
        if (next == completion) {
            const Run done = this->running.top();
            this->running.pop();
            this->ended += this->now >= this->options.countedFrom * 1000.0 ? 1 : 0;
            record(done.concurrency,
                   std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double, std::milli>(this->now - done.startedAt)),
                   this->time());
        } else if (next == this->arrivalAt) {
            ++this->waiting;
            this->arrivalAt += exponential(arrivalGap, this->arrivalRandom);
        } else {
            this->isNoisy = !this->isNoisy;
            this->noiseAt += exponential(this->isNoisy ? noisyTime : quietTime, this->noiseRandom);
        }
    }

    ConcurrencyModelOptions options;
    /// Separate, so that all limits are compared with the same work and noise.
    std::mt19937_64 workRandom;
    std::mt19937_64 arrivalRandom;
    std::mt19937_64 noiseRandom;
    std::lognormal_distribution<double> work;
    std::priority_queue<Run> running;
    double now = 0.0;
    double progress = 0.0;
    double arrivalAt = 0.0;
    double noiseAt;
    bool isNoisy = false;
    std::uint64_t waiting = 0;
    std::uint64_t ended = 0;
};

} // namespace plantainswitch
