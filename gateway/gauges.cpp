#include "gauges.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

constexpr std::string_view metricPrefix = "plantainswitch_";

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

void appendType(std::string &page, std::string_view name)
{
    page += fmt::format("# TYPE {}{} gauge\n", metricPrefix, name);
}

void appendSample(std::string &page, std::string_view name, std::string_view labels, double value)
{
    page += labels.empty() ? fmt::format("{}{} {:g}\n", metricPrefix, name, value)
                           : fmt::format("{}{}{{{}}} {:g}\n", metricPrefix, name, labels, value);
}

void appendGauge(std::string &page, std::string_view name, double value)
{
    appendType(page, name);
    appendSample(page, name, {}, value);
}

/// Upstreams of one service, by whether they can take new requests.
struct ServiceConditions
{
    std::size_t usable = 0;
    std::size_t avoided = 0;
    std::size_t leaving = 0;
    std::size_t cold = 0;
    std::size_t backingOff = 0;
    double running = 0.0;
};

std::map<std::string, ServiceConditions> conditionsOf(const GatewayState &state)
{
    std::map<std::string, ServiceConditions> services;
    const TimePoint now = state.clock.now();
    for (const auto &[id, upstream] : state.upstreams.all()) {
        ServiceConditions &service = services[upstream->replica.service];
        const bool isEjectedNow = isEjected(upstream->health, now);
        service.leaving += isDraining(*upstream) ? 1 : 0;
        service.backingOff += isBackingOff(*upstream, now) ? 1 : 0;
        service.avoided += !isDraining(*upstream) && isEjectedNow ? 1 : 0;
        service.usable += acceptsRequests(*upstream, now) && !isEjectedNow ? 1 : 0;
        service.cold += upstream->cold.remaining(now).count() > 0 ? 1 : 0;
        service.running += runningAt(*upstream);
    }
    return services;
}

/// Appends the estimated performance of each service's upstreams.
void appendPerformance(std::string &page, const GatewayState &state)
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
        appendType(page, column.name);
        for (const auto &[service, estimator] : state.estimators) {
            appendSample(page, column.name, fmt::format("service=\"{}\"", service),
                         estimator.performance(now).*column.value);
        }
    }
    appendType(page, "estimate_error_milliseconds");
    for (const auto &[service, estimator] : state.estimators) {
        appendSample(page, "estimate_error_milliseconds", fmt::format("service=\"{}\"", service),
                     estimator.meanError());
    }
}

/// Appends which services are cut off, brittle or contended.
void appendServiceStates(std::string &page, const GatewayState &state,
                         const std::map<std::string, ServiceConditions> &services)
{
    appendType(page, "service_cut_off");
    for (const auto &[name, reach] : state.reach) {
        appendSample(page, "service_cut_off", fmt::format("service=\"{}\"", name),
                     reach.wasCutOff ? 1.0 : 0.0);
    }
    appendType(page, "service_brittle");
    for (const auto &[name, service] : services) {
        appendSample(page, "service_brittle", fmt::format("service=\"{}\"", name),
                     state.isBrittle(name) ? 1.0 : 0.0);
    }
    appendType(page, "service_contended");
    for (const auto &[name, service] : services) {
        appendSample(page, "service_contended", fmt::format("service=\"{}\"", name),
                     state.isContended(name) ? 1.0 : 0.0);
    }
}

/// Appends the slot queues of the contended upstreams that this router coordinates.
void appendSlotQueues(std::string &page, const GatewayState &state)
{
    const std::vector<SlotQueueGauge> queues = state.fleet->slotQueuesHere().gauges();
    const auto append = [&page, &queues](std::string_view name, auto valueOf) {
        appendType(page, name);
        for (const SlotQueueGauge &queue : queues) {
            appendSample(page, name, fmt::format("upstream=\"{}\"", queue.upstream),
                         static_cast<double>(valueOf(queue)));
        }
    };
    append("slot_queue_waiting", [](const SlotQueueGauge &queue) { return queue.waiting; });
    append("slot_queue_grants", [](const SlotQueueGauge &queue) { return queue.granted; });
    append("slot_queue_unknown", [](const SlotQueueGauge &queue) { return queue.unknown; });
    append("slot_queue_slowdown_percent",
           [](const SlotQueueGauge &queue) { return queue.slowdownPercent; });
    append("slot_queue_limit", [](const SlotQueueGauge &queue) { return queue.limit; });
}

/// Appends the learned slowdowns other than 1, of maxGaugedUpstreams upstreams at most.
void appendSlowdowns(std::string &page, const GatewayState &state)
{
    constexpr std::size_t maxGaugedUpstreams = 200;
    std::size_t count = 0;
    appendType(page, "upstream_slowdown");
    for (const auto &[id, upstream] : state.upstreams.all()) {
        if (upstream->slowdown != 1.0 && count < maxGaugedUpstreams) {
            ++count;
            appendSample(page, "upstream_slowdown", fmt::format("upstream=\"{}\"", id),
                         upstream->slowdown);
        }
    }
}

/// Appends how recent the knowledge of each kind of the store's objects is.
void appendStoreSync(std::string &page, const GatewayState &state)
{
    const TimePoint now = state.clock.now();
    const auto labelsOf = [](StoreObjectKind kind) {
        return fmt::format("kind=\"{}\"", nameOf(kind));
    };
    appendType(page, "store_confirmed_age_seconds");
    for (const auto &[kind, sync] : state.syncStates) {
        appendSample(page, "store_confirmed_age_seconds", labelsOf(kind),
                     secondsOf(now - sync.confirmedAt));
    }
    appendType(page, "store_fleet_confirmed_age_seconds");
    for (const auto &[kind, sync] : state.syncStates) {
        appendSample(page, "store_fleet_confirmed_age_seconds", labelsOf(kind),
                     secondsOf(now - sync.fleetConfirmedAt));
    }
    appendType(page, "store_call_wait_seconds");
    for (const auto &[kind, sync] : state.syncStates) {
        appendSample(page, "store_call_wait_seconds", labelsOf(kind),
                     secondsOf(now - sync.callStartedAt.value_or(now)));
    }
}

/// Appends the workspaces that surge, named by the configuration.
void appendSurges(std::string &page, const GatewayState &state)
{
    constexpr std::size_t maxSurgesOnPage = 8;
    const auto surges = state.workspaceUsage.surges(maxSurgesOnPage, state.clock.now());
    appendType(page, "workspace_surge");
    for (const WorkspaceSurge &surging : surges) {
        std::string name = formatHash(surging.workspace);
        if (state.routingTable) {
            const auto &workspaces = state.routingTable->config().workspaces;
            const auto named = std::ranges::find(
                workspaces, surging.workspace,
                [](const RoutedWorkspace &workspace) { return hashOf(workspace.name); });
            name = named == workspaces.end() ? name : named->name;
        }
        appendSample(page, "workspace_surge", fmt::format("workspace=\"{}\"", name), surging.surge);
    }
    appendGauge(page, "known_workspaces", static_cast<double>(state.workspaceUsage.size()));
}

} // namespace

std::string renderGauges(const GatewayState &state)
{
    const TimePoint now = state.clock.now();
    std::string page;
    if (state.routingTable) {
        appendGauge(page, "config_version",
                    static_cast<double>(state.routingTable->config().version));
        appendGauge(page, "config_age_seconds", secondsOf(now - state.routingAppliedAt));
    }
    appendGauge(page, "store_connected", state.storeView.connected ? 1.0 : 0.0);
    appendGauge(page, "store_revision", static_cast<double>(state.storeView.revision));
    appendStoreSync(page, state);
    appendGauge(page, "members", state.routerCount());
    appendType(page, "evacuated");
    for (const std::string &dataCentre : state.evacuations.dataCentres) {
        appendSample(page, "evacuated", fmt::format("place=\"{}\"", dataCentre), 1.0);
    }
    appendGauge(page, "event_loop_late_seconds", secondsOf(state.loopMonitor.lateness()));
    appendGauge(page, "response_buffer_bytes", static_cast<double>(state.responseBuffers.used()));
    appendGauge(page, "stopping", state.stopping ? 1.0 : 0.0);
    const auto services = conditionsOf(state);
    appendType(page, "upstreams");
    for (const auto &[name, service] : services) {
        const auto labels = [&name = name](std::string_view condition) {
            return fmt::format("service=\"{}\",condition=\"{}\"", name, condition);
        };
        appendSample(page, "upstreams", labels("usable"), static_cast<double>(service.usable));
        appendSample(page, "upstreams", labels("avoided"), static_cast<double>(service.avoided));
        appendSample(page, "upstreams", labels("leaving"), static_cast<double>(service.leaving));
        appendSample(page, "upstreams", labels("cold"), static_cast<double>(service.cold));
        appendSample(page, "upstreams", labels("backing-off"),
                     static_cast<double>(service.backingOff));
    }
    appendServiceStates(page, state, services);
    appendSlotQueues(page, state);
    appendGauge(page, "abandoned_grants", static_cast<double>(state.fleet->abandonedGrantCount()));
    appendGauge(page, "forwarded_running", static_cast<double>(state.forwardedRunning));
    appendType(page, "running");
    for (const auto &[name, service] : services) {
        appendSample(page, "running", fmt::format("service=\"{}\"", name), service.running);
    }
    appendPerformance(page, state);
    appendSurges(page, state);
    appendSlowdowns(page, state);
    appendType(page, "retries_left");
    for (const auto &[name, service] : services) {
        appendSample(page, "retries_left", fmt::format("service=\"{}\"", name),
                     state.retryBudgets.remaining(name));
    }
    return page;
}

} // namespace plantainswitch::gateway
