#include "plantainswitch/routing/concurrencylimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainswitch {

namespace {

/// Smallest limit as a share of the slots.
constexpr double minLimitShare = 0.25;
/// Factor between neighbouring levels above the smallest ones, which are one request apart.
constexpr double levelStep = 1.08;
constexpr double maxSlots = 4096.0;
/// Runs in a block, and its shortest time in mean run times and absolutely. Runs that are granted
/// before the concurrency changes and end after it, one mean run time's worth, blur the comparison.
constexpr double runsPerBlock = 12.0;
constexpr double runTimesPerBlock = 3.0;
constexpr Milliseconds minBlockTime{150};
/// A block that is not complete after so many of its usual times is dropped.
constexpr int maxBlockTimes = 20;
/// Decayed blocks of a level from which it can become the limit, and below which it is probed
/// again.
constexpr double sufficientBlocks = 1.8;
constexpr double staleBlocks = 1.2;
/// Standard errors by which the throughput of a lower level must exceed that of the limit.
constexpr double lowerSignificance = 2.5;
/// Differences in the logarithm of throughput below this are not worth a probe.
constexpr double minGain = 0.03;
/// Blocks of the prior of the variance, and its value: 12 runs of sigma 0.5.
constexpr double priorVarianceBlocks = 4.0;
constexpr double priorVariance = 0.02;
constexpr double maxVarianceBlocks = 100.0;
/// A level has changed if so many consecutive blocks deviate from its mean by so many standard
/// deviations, and for so long: other work on the host slows an upstream for some 600 ms at a time.
constexpr int blocksForChange = 3;
constexpr double changeDeviation = 1.5;
constexpr Milliseconds minChangeTime{2000};
/// Share of the throughput that probes may cost: a level that is known to have less is probed the
/// more rarely. The loss of a level without evidence is taken to be unknownLoss.
constexpr double maxProbeLoss = 0.015;
constexpr double unknownLoss = 0.05;
constexpr double minKnownBlocks = 0.1;
/// Standard errors by which a lower level may be better than it seems, for it to be probed again: a
/// slow period in its first blocks must not end the search.
constexpr double optimism = 1.5;
/// Decayed blocks from which an undecided level is not probed more often than to refresh it.
constexpr double undecidedBlocks = 60.0;
/// Weight of a run in the mean run time.
constexpr double meanWeight = 0.05;

double millisecondsOf(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double lowestLimit(double slots)
{
    return std::max(1.0, slots * minLimitShare);
}

} // namespace

void ConcurrencyLimit::setSlots(double slots)
{
    if (slots == this->slots) {
        return;
    }
    *this = ConcurrencyLimit{};
    this->slots = slots;
    const double lowest = std::ceil(lowestLimit(slots));
    for (double value = lowest; value < slots;
         value = std::max(value + 1.0, std::round(value * levelStep))) {
        this->values.push_back(value);
    }
    this->values.push_back(slots);
    this->levels.resize(this->values.size());
    this->current = this->values.size() - 1;
}

std::size_t ConcurrencyLimit::levelOf(double concurrency) const
{
    const auto above =
        std::upper_bound(this->values.begin(), this->values.end(), concurrency + 0.5);
    const auto index = static_cast<std::size_t>(above - this->values.begin());
    return index == 0 ? 0 : index - 1;
}

Duration ConcurrencyLimit::blockTime() const
{
    const auto scaled = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(runTimesPerBlock * this->meanRunTime));
    return std::max<Duration>(minBlockTime, scaled);
}

double ConcurrencyLimit::blocksOf(std::size_t index, TimePoint now) const
{
    const Level &level = this->levels[index];
    const std::chrono::duration<double> age = now - level.updatedAt;
    const std::chrono::duration<double> halfLife = concurrencyEvidenceHalfLife;
    return level.blocks * std::exp2(-age / halfLife);
}

double ConcurrencyLimit::gainOf(std::size_t index, std::size_t source) const
{
    return std::log(this->values[index] / this->values[this->current])
           + this->levels[this->current].mean - this->levels[source].mean;
}

double ConcurrencyLimit::errorOf(std::size_t index, TimePoint now) const
{
    const double own = std::max(this->blocksOf(index, now), 0.1);
    const double reference = std::max(this->blocksOf(this->current, now), 0.1);
    return std::sqrt(this->variance * (1.0 / own + 1.0 / reference));
}

void ConcurrencyLimit::record(double concurrency, Duration runTime, double slots, TimePoint now)
{
    if (!(slots >= 1.0) || !(concurrency > 0.0) || runTime <= Duration{0}) {
        return;
    }
    const std::optional<double> takenOver = this->adopted;
    this->setSlots(std::min(std::round(slots), maxSlots));
    if (takenOver) {
        this->current = this->levelOf(std::clamp(*takenOver, lowestLimit(slots), this->slots));
        this->adopted.reset();
    }
    const double milliseconds = millisecondsOf(runTime);
    this->meanRunTime = this->recordedAt == TimePoint{}
                            ? milliseconds
                            : this->meanRunTime + meanWeight * (milliseconds - this->meanRunTime);
    this->recordedAt = now;
    // Of a run that was granted before the limit changed, part of the time passed at another
    // concurrency. The upstream fills up to a raised limit within about a run time.
    const auto settling = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(this->meanRunTime / 2.0));
    const bool isMixed = now - runTime < this->changedAt + settling;
    if (isMixed || concurrency + 0.5 < this->values.front()) {
        return;
    }
    const std::size_t index = this->levelOf(concurrency);
    Level &level = this->levels[index];
    if (level.blockRuns > 0.0 && now - level.blockStart > maxBlockTimes * this->blockTime()) {
        level.blockRuns = 0.0;
        level.blockSum = 0.0;
    }
    if (level.blockRuns == 0.0) {
        level.blockStart = now;
    }
    level.blockRuns += 1.0;
    level.blockSum += std::log(milliseconds);
    if (level.blockRuns >= runsPerBlock && now - level.blockStart >= this->blockTime()) {
        this->closeBlock(index, now);
        this->chooseLevel(now);
        this->startProbe(now);
    }
}

void ConcurrencyLimit::closeBlock(std::size_t index, TimePoint now)
{
    Level &level = this->levels[index];
    const double value = level.blockSum / level.blockRuns;
    level.blockRuns = 0.0;
    level.blockSum = 0.0;
    if (this->probe && this->probe->level == index) {
        this->probeCost = now - this->probe->since;
        this->probedAt = now;
        this->changedAt = now;
        this->probe.reset();
    }
    const double known = this->blocksOf(index, now);
    level.blocks = known;
    level.updatedAt = now;
    const double deviation = value - level.mean;
    const double threshold = changeDeviation * std::sqrt(this->variance);
    if (known >= staleBlocks) {
        this->addVariance(deviation * deviation * known / (known + 1.0));
    }
    const bool isDeviating = known >= staleBlocks && std::abs(deviation) > threshold;
    const bool isSameDirection = level.held.blocks > 0.0 && level.held.isAbove == (deviation > 0.0);
    if (level.held.blocks > 0.0 && !(isDeviating && isSameDirection)) {
        addBlocks(level, level.held.sum, level.held.blocks);
        level.held = {};
    }
    if (!isDeviating) {
        addBlocks(level, value, 1.0);
        return;
    }
    if (level.held.blocks == 0.0) {
        level.held = {0.0, 0.0, deviation > 0.0, now, this->variance};
    }
    level.held.sum += value;
    level.held.blocks += 1.0;
    if (level.held.blocks >= blocksForChange && now - level.held.since >= minChangeTime) {
        this->applyChange(index);
    }
}

void ConcurrencyLimit::addBlocks(Level &level, double sum, double blocks)
{
    level.mean = (level.mean * level.blocks + sum) / (level.blocks + blocks);
    level.blocks += blocks;
}

void ConcurrencyLimit::addVariance(double square)
{
    if (this->varianceBlocks == 0.0) {
        this->varianceBlocks = priorVarianceBlocks;
        this->variance = priorVariance;
    }
    this->varianceBlocks = std::min(this->varianceBlocks + 1.0, maxVarianceBlocks);
    this->variance += (square - this->variance) / this->varianceBlocks;
}

void ConcurrencyLimit::applyChange(std::size_t index)
{
    const HeldBlocks held = std::exchange(this->levels[index].held, {});
    if (index == this->current) {
        // Evidence from before the change would be compared with that from after it, and the change
        // is no noise.
        this->variance = held.variance;
        this->raises = 0;
        for (Level &level : this->levels) {
            level.blocks = 0.0;
            level.held = {};
        }
    }
    this->levels[index].blocks = held.blocks;
    this->levels[index].mean = held.sum / held.blocks;
}

void ConcurrencyLimit::chooseLevel(TimePoint now)
{
    if (this->blocksOf(this->current, now) < sufficientBlocks) {
        return;
    }
    std::size_t best = this->current;
    double bestGain = 0.0;
    for (std::size_t i = 0; i < this->levels.size(); ++i) {
        if (i == this->current || this->blocksOf(i, now) < sufficientBlocks) {
            continue;
        }
        const double gain = this->gainOf(i, i);
        const double required =
            i < this->current ? std::max(minGain, lowerSignificance * this->errorOf(i, now)) : 0.0;
        if (gain > required && gain > bestGain) {
            best = i;
            bestGain = gain;
        }
    }
    if (best != this->current) {
        this->raises = best > this->current ? this->raises + 1 : 0;
    }
    if (best != this->current) {
        this->changedAt = now;
    }
    this->current = best;
}

std::optional<std::size_t> ConcurrencyLimit::lowerProbe(TimePoint now) const
{
    if (this->current == 0) {
        return std::nullopt;
    }
    // Of the levels that may have more throughput, the one that may have most. Run times do not
    // decrease with the concurrency, so that a level with evidence bounds those above it.
    std::optional<std::size_t> best;
    double bestGain = minGain;
    bool hasEvidence = false;
    std::size_t above = this->current;
    for (std::size_t i = this->current; i-- > 0;) {
        const double blocks = this->blocksOf(i, now);
        if (blocks < staleBlocks) {
            continue;
        }
        hasEvidence = true;
        const double error = this->errorOf(i, now);
        const double possible = this->gainOf(i, i) + optimism * error;
        if (blocks < undecidedBlocks && possible > bestGain) {
            best = i;
            bestGain = possible;
        }
        const std::size_t middle = (i + above) / 2;
        const double bound = this->gainOf(above - 1, i);
        if (middle > i && bound > std::max(bestGain, minGain + error)) {
            best = middle;
            bestGain = bound;
        }
        above = i;
    }
    return hasEvidence ? best : this->levelOf(this->values[this->current] / 2.0);
}

std::optional<std::size_t> ConcurrencyLimit::upperProbe(TimePoint now) const
{
    const std::size_t top = this->levels.size() - 1;
    if (this->current == top) {
        return std::nullopt;
    }
    std::size_t above = this->current + 1;
    while (above <= top && this->blocksOf(above, now) < staleBlocks) {
        ++above;
    }
    // Halves the distance to the lowest level above that has evidence; without any, steps that
    // double with each raise return to the slots.
    const std::size_t step = std::size_t{1} << std::min<std::uint32_t>(this->raises, 4);
    const std::size_t target =
        above > top ? std::min(this->current + step, top) : (this->current + above + 1) / 2;
    const double blocks = this->blocksOf(target, now);
    const bool isUndecided =
        this->gainOf(target, target) + optimism * this->errorOf(target, now) > 0.0;
    if (blocks >= (isUndecided ? undecidedBlocks : sufficientBlocks)) {
        return std::nullopt;
    }
    return target;
}

void ConcurrencyLimit::startProbe(TimePoint now)
{
    if (this->probe) {
        // The upstream is no longer full enough to reach the probed level.
        if (now - this->probe->since > maxBlockTimes * this->blockTime()) {
            this->probedAt = now;
            this->probe.reset();
            this->changedAt = now;
        }
        return;
    }
    if (this->blocksOf(this->current, now) < sufficientBlocks) {
        return;
    }
    const auto upper = this->upperProbe(now);
    const auto lower = this->lowerProbe(now);
    const auto target = upper && (!lower || !this->wasUpperProbed) ? upper : lower;
    if (!target) {
        return;
    }
    const bool isKnown = this->blocksOf(*target, now) >= minKnownBlocks;
    const double loss = isKnown ? 1.0 - std::exp(this->gainOf(*target, *target)) : unknownLoss;
    const Duration pause = std::chrono::duration_cast<Duration>(
        std::max(1.0, loss / maxProbeLoss) * std::chrono::duration<double>(this->probeCost));
    if (now - this->probedAt >= pause) {
        this->probe = Probe{*target, now};
        this->wasUpperProbed = *target > this->current;
        this->changedAt = now;
    }
}

double ConcurrencyLimit::settledLimit(double slots, TimePoint now) const
{
    if (!(slots > 0.0)) {
        return slots;
    }
    const bool isIdle = now - this->recordedAt > concurrencyLimitRetention;
    if (this->adopted) {
        return std::clamp(*this->adopted, std::min(slots, lowestLimit(slots)), slots);
    }
    if (this->values.empty() || isIdle || this->current + 1 == this->values.size()) {
        return slots;
    }
    return std::clamp(this->values[this->current], std::min(slots, lowestLimit(slots)), slots);
}

double ConcurrencyLimit::limit(double slots, TimePoint now) const
{
    if (this->probe && now - this->probe->since <= maxBlockTimes * this->blockTime()) {
        return std::clamp(this->values[this->probe->level], std::min(slots, lowestLimit(slots)),
                          slots);
    }
    return this->settledLimit(slots, now);
}

void ConcurrencyLimit::adopt(double limit)
{
    if (this->values.empty() && std::isfinite(limit) && limit > 0.0) {
        this->adopted = limit;
    }
}

std::optional<double> ConcurrencyLimit::runTimeAtLimit(TimePoint now) const
{
    if (this->levels.empty() || this->blocksOf(this->current, now) < 1.0) {
        return std::nullopt;
    }
    return std::exp(this->levels[this->current].mean);
}

ConcurrencyLimits::Entry &ConcurrencyLimits::entryOf(std::uint64_t incarnation, TimePoint now)
{
    const auto found = this->limits.find(incarnation);
    if (found == this->limits.end() && this->limits.size() >= maxConcurrencyLimits) {
        this->limits.erase(std::min_element(this->limits.begin(), this->limits.end(),
                                            [](const auto &left, const auto &right) {
                                                return left.second.usedAt < right.second.usedAt;
                                            }));
    }
    Entry &entry = this->limits[incarnation];
    entry.usedAt = now;
    return entry;
}

void ConcurrencyLimits::record(std::uint64_t incarnation, double concurrency, Duration runTime,
                               double slots, TimePoint now)
{
    this->entryOf(incarnation, now).limit.record(concurrency, runTime, slots, now);
}

double ConcurrencyLimits::limit(std::uint64_t incarnation, double slots, TimePoint now) const
{
    const ConcurrencyLimit *const known = this->find(incarnation);
    return known == nullptr ? slots : known->limit(slots, now);
}

void ConcurrencyLimits::adopt(std::uint64_t incarnation, double limit, TimePoint now)
{
    this->entryOf(incarnation, now).limit.adopt(limit);
}

const ConcurrencyLimit *ConcurrencyLimits::find(std::uint64_t incarnation) const
{
    const auto found = this->limits.find(incarnation);
    return found == this->limits.end() ? nullptr : &found->second.limit;
}

void ConcurrencyLimits::removeIdle(TimePoint now)
{
    std::erase_if(this->limits, [now](const auto &entry) {
        return now - entry.second.usedAt > concurrencyLimitRetention;
    });
}

} // namespace plantainswitch
