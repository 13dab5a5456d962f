#include "plantainswitch/routing/upstreamspeed.h"

#include <algorithm>
#include <cmath>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// Standard errors from which a difference is not taken for chance.
constexpr double significance = 3.0;
/// Samples of an upstream below which it has none to go by.
constexpr double minSamples = 6.0;
/// Logarithm beyond which a sample's influence does not grow.
constexpr double maxLogRatio = 2.0;
/// Variance of a sample before it is measured: that of a sigma of 0.7. Blocks that it counts as.
constexpr double priorVariance = 0.5;
constexpr double priorVarianceBlocks = 20.0;
constexpr double maxVarianceBlocks = 400.0;
constexpr double minVariance = 0.02;
/// Factor by which chance may exceed its measured variance: slow periods that recur every few
/// seconds are correlated over more than one block, and look like differences of equal upstreams.
constexpr double chanceMargin = 2.0;
/// Weight of a new estimate of the spread, and the spread below which there is none.
constexpr double spreadWeight = 0.1;
constexpr double minSpread = 1e-4;
constexpr Seconds blockTime{2};
constexpr double minBlockSamples = 2.0;
/// Samples beyond which a router's report gets no more weight.
constexpr double maxReportedSamples = 20'000.0;
constexpr std::size_t maxUpstreams = 1024;
constexpr std::size_t maxReporters = 512;
constexpr Seconds idleTime{120};

double decayFactor(TimePoint from, TimePoint now)
{
    const std::chrono::duration<double> age = now - from;
    const std::chrono::duration<double> halfLife = speedSampleHalfLife;
    return std::exp2(-std::max(0.0, age / halfLife));
}

} // namespace

UpstreamSpeeds::UpstreamSpeeds()
    : variance(priorVariance)
    , varianceBlocks(priorVarianceBlocks)
{}

void UpstreamSpeeds::decay(Sum &sum, TimePoint now)
{
    const double factor = decayFactor(sum.at, now);
    sum.value *= factor;
    sum.weight *= factor;
    sum.at = std::max(sum.at, now);
}

UpstreamSpeeds::Sum UpstreamSpeeds::decayed(Sum sum, TimePoint now)
{
    decay(sum, now);
    return sum;
}

UpstreamSpeeds::Upstream *UpstreamSpeeds::upstreamOf(std::uint64_t incarnation, TimePoint now)
{
    const auto found = this->upstreams.find(incarnation);
    if (found != this->upstreams.end()) {
        found->second.usedAt = now;
        return &found->second;
    }
    if (this->upstreams.size() >= maxUpstreams) {
        return nullptr;
    }
    Upstream &added = this->upstreams[incarnation];
    added.usedAt = now;
    added.blockStart.at = now;
    return &added;
}

void UpstreamSpeeds::add(Upstream &upstream, double value, double weight, TimePoint now)
{
    for (Sum *const sum : {&upstream.total, &this->service}) {
        decay(*sum, now);
        sum->value += value;
        sum->weight = std::max(0.0, sum->weight + weight);
    }
    if (now - upstream.blockStart.at >= blockTime) {
        this->closeBlock(upstream, now);
    }
}

void UpstreamSpeeds::closeBlock(Upstream &upstream, TimePoint now)
{
    const Sum before = decayed(upstream.blockStart, now);
    const double weight = upstream.total.weight - before.weight;
    const double value = upstream.total.value - before.value;
    if (weight >= minBlockSamples && before.weight >= minSamples) {
        const double difference = value / weight - before.value / before.weight;
        // Of two independent means of `weight` and 2 * `before.weight` samples.
        const double perSample = difference * difference / (1.0 / weight + 0.5 / before.weight);
        this->varianceBlocks = std::min(this->varianceBlocks + 1.0, maxVarianceBlocks);
        this->variance += (perSample - this->variance) / this->varianceBlocks;
    }
    upstream.blockStart = upstream.total;
}

void UpstreamSpeeds::record(std::uint64_t incarnation, double ratio, TimePoint now)
{
    if (!std::isfinite(ratio) || ratio <= 0.0) {
        return;
    }
    Upstream *const upstream = this->upstreamOf(incarnation, now);
    if (upstream == nullptr) {
        return;
    }
    const double value = std::clamp(std::log(ratio), -maxLogRatio, maxLogRatio);
    decay(upstream->own, now);
    upstream->own.value += value;
    upstream->own.weight += 1.0;
    upstream->ownRecordedAt = now;
    this->add(*upstream, value, 1.0, now);
}

void UpstreamSpeeds::applyReport(const std::string &router, const SpeedReport &report,
                                 TimePoint now)
{
    if (!std::isfinite(report.logRatio) || !std::isfinite(report.samples)
        || report.samples <= 0.0) {
        return;
    }
    Upstream *const upstream = this->upstreamOf(report.incarnation, now);
    if (upstream == nullptr) {
        return;
    }
    const std::uint64_t key = hashOf(router);
    if (upstream->reports.size() >= maxReporters && !upstream->reports.contains(key)) {
        return;
    }
    Sum &known = upstream->reports[key];
    decay(known, now);
    const double weight = std::min(report.samples, maxReportedSamples);
    const double value = weight * std::clamp(report.logRatio, -maxLogRatio, maxLogRatio);
    this->add(*upstream, value - known.value, weight - known.weight, now);
    known = {value, weight, now};
}

std::vector<SpeedReport> UpstreamSpeeds::report(std::size_t most, TimePoint since, TimePoint now)
{
    std::vector<SpeedReport> reports;
    auto next = this->upstreams.upper_bound(this->lastReported);
    for (std::size_t i = 0; i < this->upstreams.size() && reports.size() < most; ++i) {
        if (next == this->upstreams.end()) {
            next = this->upstreams.begin();
        }
        const Sum own = decayed(next->second.own, now);
        if (own.weight > 0.0 && next->second.ownRecordedAt >= since) {
            reports.push_back({next->first, own.value / own.weight, own.weight});
            this->lastReported = next->first;
        }
        ++next;
    }
    return reports;
}

std::optional<UpstreamSpeeds::Deviation>
UpstreamSpeeds::deviationOf(const Upstream &upstream, const Sum &all, TimePoint now) const
{
    const Sum own = decayed(upstream.total, now);
    if (own.weight < minSamples || all.weight - own.weight < minSamples) {
        return std::nullopt;
    }
    // The mean of exponentially weighted samples varies like that of twice their weight.
    const double chance =
        std::max(this->variance, minVariance) * (0.5 / own.weight + 0.5 / all.weight);
    return Deviation{own.value / own.weight - all.value / all.weight, chance};
}

double UpstreamSpeeds::slowdown(std::uint64_t incarnation, TimePoint now) const
{
    const auto found = this->upstreams.find(incarnation);
    if (found == this->upstreams.end()) {
        return 1.0;
    }
    const auto deviation = this->deviationOf(found->second, decayed(this->service, now), now);
    if (!deviation) {
        return 1.0;
    }
    const double square = deviation->value * deviation->value;
    const double excess = square - significance * significance * deviation->chance;
    const double ownShare = excess > 0.0 ? excess / square : 0.0;
    const double spreadShare = this->spread / (this->spread + deviation->chance);
    return std::clamp(std::exp(deviation->value * std::max(ownShare, spreadShare)), minSlowdown,
                      maxSlowdown);
}

double UpstreamSpeeds::samples(std::uint64_t incarnation, TimePoint now) const
{
    const auto found = this->upstreams.find(incarnation);
    return found == this->upstreams.end() ? 0.0 : decayed(found->second.total, now).weight;
}

void UpstreamSpeeds::remove(std::uint64_t incarnation)
{
    const auto found = this->upstreams.find(incarnation);
    if (found == this->upstreams.end()) {
        return;
    }
    const Sum &total = found->second.total;
    decay(this->service, std::max(total.at, this->service.at));
    const Sum own = decayed(total, this->service.at);
    this->service.value -= own.value;
    this->service.weight = std::max(0.0, this->service.weight - own.weight);
    this->upstreams.erase(found);
}

void UpstreamSpeeds::refresh(TimePoint now)
{
    std::vector<std::uint64_t> idle;
    for (const auto &[incarnation, upstream] : this->upstreams) {
        if (now - upstream.usedAt > idleTime) {
            idle.push_back(incarnation);
        }
    }
    for (const std::uint64_t incarnation : idle) {
        this->remove(incarnation);
    }
    const Sum all = decayed(this->service, now);
    double squares = 0.0;
    double chance = 0.0;
    double count = 0.0;
    for (const auto &[incarnation, upstream] : this->upstreams) {
        if (const auto deviation = this->deviationOf(upstream, all, now)) {
            squares += deviation->value * deviation->value;
            chance += deviation->chance;
            count += 1.0;
        }
    }
    // The sum of `count` squares of normal variables has a relative standard error of
    // sqrt(2 / count).
    const bool isBeyondChance =
        count >= 2.0 && squares > chance * (chanceMargin + significance * std::sqrt(2.0 / count));
    const double target = isBeyondChance ? (squares - chance) / count : 0.0;
    // Gradually, because all routers change alike.
    this->spread += spreadWeight * (target - this->spread);
    this->spread = this->spread < minSpread ? 0.0 : this->spread;
}

} // namespace plantainswitch
