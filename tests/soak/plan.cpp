#include "plan.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>
#include <sstream>

#include <fmt/format.h>

namespace plantainswitch::soak {

namespace {

constexpr std::array<std::string_view, faultKindCount> faultNames{
    "router-kill",         "router-pause",      "router-stop",        "router-reload",
    "all-routers-kill",    "rolling-stop",      "upstream-crash",     "upstream-dark",
    "upstream-slow",       "upstream-fails",    "upstream-rejects",   "upstream-loses-answers",
    "upstream-breaks-off", "upstream-adds",     "upstream-backs-off", "upstream-announces-leaving",
    "upstream-leaves",     "link-delay",        "link-reset",         "link-silent",
    "link-one-way",        "store-link-silent", "store-link-reset",   "store-silent",
    "store-busy",          "store-resets",      "store-slow",         "store-loses",
    "store-drops",         "store-lapses",      "new-route",          "revoked-key",
    "crashing-call"};

constexpr std::int64_t minDuration = 200;
constexpr std::int64_t maxDuration = 3500;

/// Draws all kinds once in random order before it repeats any.
class KindShuffler
{
public:
    FaultKind draw(std::mt19937_64 &random)
    {
        if (this->remaining.empty()) {
            this->remaining.resize(faultKindCount);
            std::iota(this->remaining.begin(), this->remaining.end(), std::size_t{0});
            std::shuffle(this->remaining.begin(), this->remaining.end(), random);
        }
        const auto kind = static_cast<FaultKind>(this->remaining.back());
        this->remaining.pop_back();
        return kind;
    }

private:
    std::vector<std::size_t> remaining;
};

} // namespace

std::string_view nameOf(FaultKind kind) noexcept
{
    return faultNames.at(static_cast<std::size_t>(kind));
}

std::vector<FaultStep> generatePlan(const SoakOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> interval(1.0 / options.meanFaultIntervalSeconds);
    std::uniform_int_distribution<std::int64_t> durations(minDuration, maxDuration);
    std::uniform_real_distribution<double> intensities(0.05, 0.6);
    KindShuffler shuffler;
    std::vector<FaultStep> steps;
    for (double at = 1.0 + interval(random); at < options.faultSeconds; at += interval(random)) {
        FaultStep step;
        step.at = SoakTime{static_cast<std::int64_t>(at * 1000.0)};
        step.kind = shuffler.draw(random);
        step.target = random();
        step.duration = Milliseconds{durations(random)};
        step.intensity = intensities(random);
        steps.push_back(step);
    }
    return steps;
}

std::string textOf(const std::vector<FaultStep> &plan)
{
    std::string text;
    for (const FaultStep &step : plan) {
        text += fmt::format("{} {} {} {} {}\n", step.at.count(), nameOf(step.kind), step.target,
                            step.duration.count(), step.intensity);
    }
    return text;
}

std::optional<std::vector<FaultStep>> parsePlan(const std::string &text)
{
    std::vector<FaultStep> plan;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        std::istringstream fields(line);
        std::int64_t at = 0;
        std::int64_t duration = 0;
        std::string kind;
        FaultStep step;
        fields >> at >> kind >> step.target >> duration >> step.intensity;
        const auto found = std::find(faultNames.begin(), faultNames.end(), kind);
        if (!fields || found == faultNames.end()) {
            return std::nullopt;
        }
        step.at = SoakTime{at};
        step.duration = Milliseconds{duration};
        step.kind = static_cast<FaultKind>(found - faultNames.begin());
        plan.push_back(step);
    }
    return plan;
}

} // namespace plantainswitch::soak
