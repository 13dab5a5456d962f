#include "fleetgossip.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Number of upstreams in one update whose speed it reports; 22 bytes each.
constexpr std::size_t maxSpeedReports = 12;
/// Least interval of the reports to one router, and the same for each router of the fleet: 12
/// reports have 264 bytes, so that a router sends at most 6 kB per second of them.
constexpr Seconds speedReportInterval{2};
constexpr Milliseconds speedIntervalPerRouter{44};
/// Change of a slowdown, as a logarithm, that is logged.
constexpr double minLoggedChange = 0.1;

/// \returns the begin of the interval of that length that contains \a time.
TimePoint intervalOf(TimePoint time, Duration length)
{
    return TimePoint{time.time_since_epoch() / length * length};
}

} // namespace

void GatewayState::recordSpeed(const UpstreamState &upstream, double ratio)
{
    if (this->settings.learning.speeds) {
        this->speeds[upstream.replica.service].record(incarnationOf(upstream.replica), ratio,
                                                      this->clock.now());
    }
}

void GatewayState::refreshSpeeds()
{
    const TimePoint now = this->clock.now();
    for (auto &[service, speeds] : this->speeds) {
        speeds.refresh(now);
        for (UpstreamState *const state : this->upstreams.ofService(service)) {
            const std::uint64_t incarnation = incarnationOf(state->replica);
            state->slowdown = speeds.slowdown(incarnation, now);
            const double change = std::log(state->slowdown / state->loggedSlowdown);
            const bool hasReturned = state->slowdown == 1.0 && state->loggedSlowdown != 1.0;
            if (std::abs(change) < minLoggedChange && !hasReturned) {
                continue;
            }
            state->loggedSlowdown = state->slowdown;
            logEvent(Event::SpeedChanged,
                     {{"upstream", state->replica.id},
                      {"service", service},
                      {"slowdown", fmt::format("{:.2f}", state->slowdown)},
                      {"samples", fmt::format("{:.0f}", speeds.samples(incarnation, now))}});
        }
    }
}

void FleetGossip::applySpeedReports(const wire::RouterNews &message, TimePoint now)
{
    if (!this->gateway.settings.learning.speeds) {
        return;
    }
    for (const wire::UpstreamSpeed &entry : message.speeds()) {
        const UpstreamState *const state = this->gateway.upstreams.findIncarnation(entry.life());
        if (state != nullptr) {
            this->gateway.speeds[state->replica.service].applyReport(
                message.id(), {entry.life(), entry.log_ratio(), entry.samples()}, now);
        }
    }
}

void FleetGossip::appendSpeedReports(wire::RouterNews &message, TimePoint lastSent,
                                     std::size_t routers) const
{
    const TimePoint now = this->gateway.clock.now();
    const Duration length =
        std::max<Duration>(speedReportInterval, routers * speedIntervalPerRouter);
    const TimePoint since = intervalOf(lastSent, length);
    if (since == intervalOf(now, length)) {
        return;
    }
    for (auto &[service, speeds] : this->gateway.speeds) {
        const std::size_t left = maxSpeedReports - static_cast<std::size_t>(message.speeds_size());
        for (const SpeedReport &report : speeds.report(left, since, now)) {
            wire::UpstreamSpeed *const entry = message.add_speeds();
            entry->set_life(report.incarnation);
            entry->set_log_ratio(static_cast<float>(report.logRatio));
            entry->set_samples(static_cast<float>(report.samples));
        }
    }
}

} // namespace plantainswitch::gateway
