#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Half-life of what is known of an upstream's run times at one concurrency.
inline constexpr Seconds concurrencyEvidenceHalfLife{15};
/// Time without runs after which an upstream's limit is forgotten.
inline constexpr Seconds concurrencyLimitRetention{60};

/// Finds the number of concurrent requests beyond which more of them no longer increase an
/// upstream's throughput, from run times at different concurrencies.
///
/// Runs are grouped by their concurrency into levels, and the runs of a level into blocks of a few
/// hundred milliseconds. The throughput of a level is its concurrency divided by its mean run time
/// (Little's law). All comparisons use the variance between blocks, which unlike that between runs
/// includes slow periods that all runs of a block share. A lower limit is used only if the
/// difference in throughput exceeds lowerSignificance standard errors, so that the limit stays at
/// the slots without evidence. While the upstream is full, a block now and then runs at half of the
/// limit, or next to it, because a constantly full upstream gives no other evidence; the share of
/// time spent on these probes is a few percent.
class ConcurrencyLimit
{
public:
    /// Records a completed run.
    /// \param concurrency requests that the upstream ran when the run was granted, itself included;
    ///        what is granted beyond the limit to cover the time between two runs is left out
    /// \param slots the upstream's slots; 0 if not known, then nothing is learned
    void record(double concurrency, Duration runTime, double slots, TimePoint now);
    /// \returns the limit, from a quarter of \a slots, at least 1, to \a slots.
    [[nodiscard]] double limit(double slots, TimePoint now) const;
    /// \returns the limit without the probes.
    [[nodiscard]] double settledLimit(double slots, TimePoint now) const;
    /// Takes over a limit that another coordinator has found; other values than positive finite
    /// ones are ignored. Evidence of this coordinator has precedence.
    void adopt(double limit);
    /// \returns the mean run time at the limit in milliseconds; nothing if there is no evidence.
    [[nodiscard]] std::optional<double> runTimeAtLimit(TimePoint now) const;
    /// \returns when the last run was recorded.
    [[nodiscard]] TimePoint lastRecorded() const noexcept { return this->recordedAt; }

private:
    /// Consecutive blocks that deviate from their level's mean in the same direction, held back
    /// until it is known whether the level has changed.
    struct HeldBlocks
    {
        double sum = 0.0;
        double blocks = 0.0;
        bool isAbove = false;
        /// When the first one ended, and the variance then.
        TimePoint since;
        double variance = 0.0;
    };
    /// Run times of one level; values are logarithms of milliseconds.
    struct Level
    {
        double blockSum = 0.0;
        double blockRuns = 0.0;
        TimePoint blockStart;
        /// Decayed number of complete blocks, their mean, and when both were updated.
        double blocks = 0.0;
        double mean = 0.0;
        TimePoint updatedAt;
        HeldBlocks held;
    };
    struct Probe
    {
        std::size_t level = 0;
        TimePoint since;
    };

    void setSlots(double slots);
    [[nodiscard]] Duration blockTime() const;
    void closeBlock(std::size_t index, TimePoint now);
    static void addBlocks(Level &level, double sum, double blocks);
    void addVariance(double square);
    /// Replaces what is known of a level, or if it is the current one of all, by its held blocks.
    void applyChange(std::size_t index);
    void chooseLevel(TimePoint now);
    void startProbe(TimePoint now);
    [[nodiscard]] double blocksOf(std::size_t index, TimePoint now) const;
    /// \returns the logarithm of the throughput of \a index by that of the current level, if its
    /// run time were that of level \a source.
    [[nodiscard]] double gainOf(std::size_t index, std::size_t source) const;
    [[nodiscard]] double errorOf(std::size_t index, TimePoint now) const;
    [[nodiscard]] std::optional<std::size_t> lowerProbe(TimePoint now) const;
    [[nodiscard]] std::optional<std::size_t> upperProbe(TimePoint now) const;
    [[nodiscard]] std::size_t levelOf(double concurrency) const;

    double slots = 0.0;
    /// Concurrencies of the levels, ascending; the last one is the slots.
    std::vector<double> values;
    std::vector<Level> levels;
    std::size_t current = 0;
    std::optional<double> adopted;
    std::optional<Probe> probe;
    /// The last probe was above the limit; upper and lower ones take turns.
    bool wasUpperProbed = false;
    /// When the limit last changed, by a probe or by evidence.
    TimePoint changedAt;
    /// Time of the last probe's end, and how long no other one starts.
    TimePoint probedAt;
    Duration probeCost{0};
    /// Variance of the blocks of one level around its mean.
    double variance = 0.0;
    double varianceBlocks = 0.0;
    std::uint32_t raises = 0;
    double meanRunTime = 0.0;
    TimePoint recordedAt;
};

/// The limits of the upstreams that a router coordinates, by incarnation. Bounded: an upstream is
/// forgotten concurrencyLimitRetention after its last run, and the longest idle one if there are
/// more than maxConcurrencyLimits.
class ConcurrencyLimits
{
public:
    /// Records a completed run; see ConcurrencyLimit::record().
    void record(std::uint64_t incarnation, double concurrency, Duration runTime, double slots,
                TimePoint now);
    /// \returns the upstream's limit; \a slots if nothing is known of it.
    [[nodiscard]] double limit(std::uint64_t incarnation, double slots, TimePoint now) const;
    /// Takes over a limit that a router received from the upstream's earlier coordinator, unless
    /// this one has a limit of its own.
    void adopt(std::uint64_t incarnation, double limit, TimePoint now);
    /// \returns the upstream's limit and its evidence, or nullptr.
    [[nodiscard]] const ConcurrencyLimit *find(std::uint64_t incarnation) const;
    /// Forgets the upstreams that were idle for concurrencyLimitRetention.
    void removeIdle(TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->limits.size(); }

private:
    struct Entry
    {
        ConcurrencyLimit limit;
        TimePoint usedAt;
    };

    Entry &entryOf(std::uint64_t incarnation, TimePoint now);

    std::unordered_map<std::uint64_t, Entry> limits;
};

/// Number of upstreams of which a router keeps limits.
inline constexpr std::size_t maxConcurrencyLimits = 1024;

} // namespace plantainswitch
