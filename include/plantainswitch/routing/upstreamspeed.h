#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Half-life of the samples. Three of them, 30 s, return the estimate of an upstream without new
/// samples to 1.
inline constexpr Seconds speedSampleHalfLife{10};
/// Limits of the slowdown that is applied.
inline constexpr double minSlowdown = 0.25;
inline constexpr double maxSlowdown = 4.0;

/// A router's own samples of an upstream.
struct SpeedReport
{
    std::uint64_t incarnation = 0;
    /// Mean of the logarithm of observed over expected time to first token.
    double logRatio = 0.0;
    /// Decayed number of samples.
    double samples = 0.0;
};

/// How much slower than their service's mean the upstreams of one service are, by the times to
/// first token that all routers observed.
///
/// An estimate is applied only where it exceeds what chance explains. Either the upstreams' spread
/// does so by three standard errors of what chance would give; then each is shrunk by the share of
/// the variance that is not chance (James and Stein). Or the upstream's own deviation is three
/// standard errors or more, and its slowdown grows continuously from 1 there. The variance of a
/// sample is measured between blocks of two seconds, so that it includes slow periods which all
/// samples of a block share.
class UpstreamSpeeds
{
public:
    UpstreamSpeeds();

    /// Records a sample of this router.
    /// \param ratio observed time to first token by the one that the service's estimates give
    void record(std::uint64_t incarnation, double ratio, TimePoint now);
    /// Applies another router's report, which replaces its previous one on the same upstream.
    void applyReport(const std::string &router, const SpeedReport &report, TimePoint now);
    /// \returns up to \a most reports on upstreams of which this router has samples since
    /// \a since. If there are more, each call continues after the last one.
    [[nodiscard]] std::vector<SpeedReport> report(std::size_t most, TimePoint since, TimePoint now);
    /// \returns by which factor the upstream is slower than the mean of its service, from
    /// minSlowdown to maxSlowdown; 1 unless there is evidence.
    [[nodiscard]] double slowdown(std::uint64_t incarnation, TimePoint now) const;
    /// \returns the decayed number of samples of all routers on the upstream.
    [[nodiscard]] double samples(std::uint64_t incarnation, TimePoint now) const;
    /// Forgets upstreams without samples in the last minutes, and estimates again how much the
    /// upstreams differ. To be called several times per second.
    void refresh(TimePoint now);
    /// Forgets an incarnation that has ended.
    void remove(std::uint64_t incarnation);
    [[nodiscard]] std::size_t size() const noexcept { return this->upstreams.size(); }

private:
    /// Decayed sum of logarithms and number of samples as of a time.
    struct Sum
    {
        double value = 0.0;
        double weight = 0.0;
        TimePoint at;
    };
    struct Upstream
    {
        Sum own;
        TimePoint ownRecordedAt;
        /// The last report of each other router.
        std::unordered_map<std::uint64_t, Sum> reports;
        /// Sum over all routers.
        Sum total;
        /// The total when the current block began.
        Sum blockStart;
        TimePoint usedAt;
    };

    static void decay(Sum &sum, TimePoint now);
    [[nodiscard]] static Sum decayed(Sum sum, TimePoint now);
    Upstream *upstreamOf(std::uint64_t incarnation, TimePoint now);
    void add(Upstream &upstream, double value, double weight, TimePoint now);
    void closeBlock(Upstream &upstream, TimePoint now);
    /// The deviation of an upstream's mean from that of the service, and its variance by chance.
    struct Deviation
    {
        double value = 0.0;
        double chance = 0.0;
    };
    /// \returns nothing if there are too few samples.
    [[nodiscard]] std::optional<Deviation> deviationOf(const Upstream &upstream, const Sum &all,
                                                       TimePoint now) const;

    std::map<std::uint64_t, Upstream> upstreams;
    /// Sum over all upstreams, each with its total.
    Sum service;
    /// Variance per sample, measured between blocks.
    double variance;
    double varianceBlocks;
    /// Variance of the upstreams' logarithms beyond chance.
    double spread = 0.0;
    std::uint64_t lastReported = 0;
};

} // namespace plantainswitch
