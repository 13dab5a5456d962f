#include "gauges.h"

#include <array>
#include <map>

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

constexpr std::string_view prefix = "plantainswitch_";

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

void begin(std::string &page, std::string_view name)
{
    page += fmt::format("# TYPE {}{} gauge\n", prefix, name);
}

void append(std::string &page, std::string_view name, std::string_view labels, double value)
{
    page += labels.empty() ? fmt::format("{}{} {:g}\n", prefix, name, value)
                           : fmt::format("{}{}{{{}}} {:g}\n", prefix, name, labels, value);
}

void gauge(std::string &page, std::string_view name, double value)
{
    begin(page, name);
    append(page, name, {}, value);
}

/// Upstreams of one service, by whether they can take new requests.
struct Conditions
{
    std::size_t usable = 0;
    std::size_t avoided = 0;
    std::size_t leaving = 0;
    double running = 0.0;
};

std::map<std::string, Conditions> conditionsOf(const GatewayState &state)
{
    std::map<std::string, Conditions> services;
    const TimePoint now = state.clock.now();
    for (const auto &[id, upstream] : state.upstreams.all()) {
        Conditions &service = services[upstream->replica.service];
        const bool isAvoidedNow = isEjected(upstream->health, now);
        service.leaving += upstream->replica.draining ? 1 : 0;
        service.avoided += !upstream->replica.draining && isAvoidedNow ? 1 : 0;
        service.usable += !upstream->replica.draining && !isAvoidedNow ? 1 : 0;
        service.running += runningAt(*upstream);
    }
    return services;
}

/// Appends the estimated performance of each service's upstreams.
void appendFigures(std::string &page, const GatewayState &state)
{
    struct Column
    {
        std::string_view name;
        double ServicePerformance::*value;
    };
    constexpr std::array columns{
        Column{"prefill_tokens_per_millisecond", &ServicePerformance::prefillRate},
        Column{"first_token_base_milliseconds", &ServicePerformance::baseDelay},
        Column{"first_token_milliseconds_per_running", &ServicePerformance::delayPerRunning},
        Column{"transfer_tokens_per_millisecond", &ServicePerformance::transferRate},
        Column{"transfer_setup_milliseconds", &ServicePerformance::transferSetup},
        Column{"slot_hold_milliseconds", &ServicePerformance::slotHoldTime},
        Column{"tokens_per_request", &ServicePerformance::tokensPerRequest},
    };
    const TimePoint now = state.clock.now();
    for (const Column &column : columns) {
        begin(page, column.name);
        for (const auto &[service, estimator] : state.estimators) {
            append(page, column.name, fmt::format("service=\"{}\"", service),
                   estimator.performance(now).*column.value);
        }
    }
    begin(page, "estimate_error_milliseconds");
    for (const auto &[service, estimator] : state.estimators) {
        append(page, "estimate_error_milliseconds", fmt::format("service=\"{}\"", service),
               estimator.meanError());
    }
}

/// Appends how recent the knowledge of each kind of the store's objects is.
void appendFollowed(std::string &page, const GatewayState &state)
{
    const TimePoint now = state.clock.now();
    const auto labelsOf = [](StoreObjectKind kind) {
        return fmt::format("kind=\"{}\"", nameOf(kind));
    };
    begin(page, "store_confirmed_age_seconds");
    for (const auto &[kind, followed] : state.syncStates) {
        append(page, "store_confirmed_age_seconds", labelsOf(kind),
               secondsOf(now - followed.confirmedAt));
    }
    begin(page, "store_fleet_confirmed_age_seconds");
    for (const auto &[kind, followed] : state.syncStates) {
        append(page, "store_fleet_confirmed_age_seconds", labelsOf(kind),
               secondsOf(now - followed.fleetConfirmedAt));
    }
    begin(page, "store_call_wait_seconds");
    for (const auto &[kind, followed] : state.syncStates) {
        append(page, "store_call_wait_seconds", labelsOf(kind),
               secondsOf(now - followed.callStartedAt.value_or(now)));
    }
}

} // namespace

std::string renderGauges(const GatewayState &state)
{
    const TimePoint now = state.clock.now();
    std::string page;
    if (state.routingTable) {
        gauge(page, "config_version", static_cast<double>(state.routingTable->config().version));
        gauge(page, "config_age_seconds", secondsOf(now - state.routingAppliedAt));
    }
    gauge(page, "store_connected", state.storeView.connected ? 1.0 : 0.0);
    gauge(page, "store_revision", static_cast<double>(state.storeView.revision));
    appendFollowed(page, state);
    gauge(page, "members", state.routerCount());
    gauge(page, "stopping", state.stopping ? 1.0 : 0.0);
    const auto services = conditionsOf(state);
    begin(page, "upstreams");
    for (const auto &[name, service] : services) {
        const auto labels = [&name = name](std::string_view condition) {
            return fmt::format("service=\"{}\",condition=\"{}\"", name, condition);
        };
        append(page, "upstreams", labels("usable"), static_cast<double>(service.usable));
        append(page, "upstreams", labels("avoided"), static_cast<double>(service.avoided));
        append(page, "upstreams", labels("leaving"), static_cast<double>(service.leaving));
    }
    begin(page, "running");
    for (const auto &[name, service] : services) {
        append(page, "running", fmt::format("service=\"{}\"", name), service.running);
    }
    appendFigures(page, state);
    begin(page, "retries_left");
    for (const auto &[name, service] : services) {
        append(page, "retries_left", fmt::format("service=\"{}\"", name),
               state.retryBudgets.remaining(name));
    }
    return page;
}

} // namespace plantainswitch::gateway
