#include <map>
#include <sstream>

#include <catch2/catch.hpp>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

/// The samples of a page by name and labels, as a scraper reads them.
std::map<std::string, double> scrape(const std::string &page)
{
    std::map<std::string, double> samples;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with('#')) {
            const auto space = line.rfind(' ');
            samples[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    return samples;
}

std::string bucket(const std::string &workspace, const std::string &edge)
{
    return "plantainswitch_whole_seconds_bucket{workspace=\"" + workspace + "\",class=\"c\",le=\""
           + edge + "\"}";
}

class MetricsFixture
{
protected:
    void record(const std::string &workspace, Milliseconds elapsed)
    {
        this->metrics.record(Timing::Whole, workspace, "c", elapsed, this->now);
    }
    [[nodiscard]] std::map<std::string, double> page() const
    {
        return scrape(this->metrics.render(this->now));
    }

    Metrics metrics;
    TimePoint now{Seconds{1}};
};

const std::string countOfW = "plantainswitch_whole_seconds_count{workspace=\"w\",class=\"c\"}";
const std::string countOfClass = "plantainswitch_class_whole_seconds_count{class=\"c\"}";

} // namespace

TEST_CASE_METHOD(MetricsFixture, "metrics_bucketsLeftOut_leaveSumsCumulative", "[metrics]")
{
    // A scraper adds the buckets of two workspaces edge by edge and computes a quantile. A bucket
    // omitted above a first sample would be missing from the sum, so that a higher edge would have
    // a lower count than the one below it.
    this->record("w", Milliseconds{20});
    this->record("v", Milliseconds{2000});
    const auto samples = this->page();
    CHECK(samples.count(bucket("w", "0.01")) == 0);
    CHECK(samples.at(bucket("w", "0.0177828")) == 0);
    for (const std::string edge : {"0.0316228", "1", "1.77828", "3.16228", "100", "+Inf"}) {
        CHECK(samples.at(bucket("w", edge)) == 1);
    }
    CHECK(samples.count(bucket("v", "1")) == 0);
    CHECK(samples.at(bucket("v", "1.77828")) == 0);
    CHECK(samples.at(bucket("v", "3.16228")) == 1);
}

TEST_CASE_METHOD(MetricsFixture, "metrics_idleWorkspace_leavesAndComesBackHigher", "[metrics]")
{
    this->record("w", Milliseconds{20});
    this->now += idleSeriesAge + Seconds{1};
    CHECK(this->page().count(countOfW) == 0);
    CHECK(this->page().at("plantainswitch_series_idle") == 1);
    CHECK(this->page().at(countOfClass) == 1);
    this->record("w", Milliseconds{20});
    CHECK(this->page().at(countOfW) == 2);
    CHECK(this->page().at(countOfClass) == 2);
}

TEST_CASE_METHOD(MetricsFixture, "metrics_moreWorkspacesThanBound_busiestAreShown", "[metrics]")
{
    constexpr std::size_t beyond = 3;
    for (std::size_t number = 0; number < maxWorkspacesOnPage + beyond; ++number) {
        this->record("v" + std::to_string(number), Milliseconds{20});
    }
    this->record("w", Milliseconds{20});
    this->record("w", Milliseconds{200'000});
    const auto samples = this->page();
    CHECK(samples.at(countOfW) == 2);
    CHECK(samples.at(bucket("w", "100")) == 1);
    CHECK(samples.at(bucket("w", "+Inf")) == 2);
    CHECK(samples.at("plantainswitch_series_beyond_bound") == beyond + 1);
    CHECK(samples.at(countOfClass) == maxWorkspacesOnPage + beyond + 2);
    constexpr std::size_t maxBytes = 1'500'000;
    CHECK(this->metrics.render(this->now).size() < maxBytes);
}
