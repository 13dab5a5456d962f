#include "gatewaysettings.h"

#include "plantainswitch/base/fields.h"
#include "plantainswitch/observe/logsettings.h"

namespace plantainswitch::gateway {

namespace {

constexpr std::uint32_t maxPort = 65535;
constexpr double maxGraceSeconds = 600.0;
constexpr std::uint32_t minResponseBufferBytes = 1 << 20;
constexpr std::uint32_t maxResponseBufferBytes = 1 << 30;
constexpr std::uint32_t maxDrainMilliseconds = 60'000;
constexpr std::uint32_t minCatchUpMilliseconds = 500;
constexpr std::uint32_t maxCatchUpMilliseconds = 60'000;
constexpr double maxWindowSeconds = 3600.0;
constexpr double maxDelayMilliseconds = 60'000.0;
constexpr double maxWeight = 1000.0;

void readPeer(FieldReader &parent, GatewaySettings &settings, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("peer"), parent.pathOf("peer"), faults);
    std::string host;
    std::uint32_t datagramPort = 0;
    std::uint32_t callPort = 0;
    fields.read("address", host, true);
    fields.read("datagramPort", datagramPort, 1, maxPort, true);
    fields.read("callPort", callPort, 1, maxPort, true);
    fields.read("seeds", settings.seeds);
    settings.peerDatagrams = {host, static_cast<std::uint16_t>(datagramPort)};
    settings.peerCalls = {host, static_cast<std::uint16_t>(callPort)};
    if (!host.empty() && !endpointOf(toText(settings.peerDatagrams))) {
        faults.push_back({fields.pathOf("address"), "\"" + host + "\"", "an IP number"});
    }
    fields.finish();
}

void readRetries(FieldReader &parent, FleetRetryLimit &limit, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("retries"), parent.pathOf("retries"), faults);
    double window = static_cast<double>(limit.window.count());
    constexpr double maxMargin = 1'000'000.0;
    fields.read("ratio", limit.ratio, 0.0, 1.0);
    fields.read("margin", limit.margin, 0.0, maxMargin);
    fields.read("windowSeconds", window, 1.0, maxWindowSeconds);
    fields.finish();
    limit.window = Seconds{static_cast<std::int64_t>(window)};
}

void readChoice(FieldReader &parent, SelectionPolicy &policy, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("choice"), parent.pathOf("choice"), faults);
    fields.read("remoteDelayMilliseconds", policy.remoteDelay, 0.0, maxDelayMilliseconds);
    fields.read("failureDelayMilliseconds", policy.failureDelay, 0.0, maxDelayMilliseconds);
    fields.read("preferenceStepRequests", policy.preferenceStepRequests, 0.0, maxWeight);
    fields.read("cacheWeight", policy.cacheWeight, 0.0, maxWeight);
    fields.read("interference", policy.interference, 0.0, maxWeight);
    fields.read("maxEjectedShare", policy.maxEjectedShare, 0.0, 1.0);
    fields.read("transfers", policy.transfers);
    fields.read("preferredUpstreams", policy.preferredUpstreams);
    fields.finish();
}

void readAdmission(FieldReader &parent, AdmissionPolicy &policy, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("admission"), parent.pathOf("admission"), faults);
    fields.read("enabled", policy.enabled);
    fields.read("minOccupancy", policy.minOccupancy, 0.0, maxWeight);
    fields.read("maxObjectives", policy.maxObjectives, 0.0, maxWeight);
    fields.read("minObjectives", policy.minObjectives, 0.0, maxWeight);
    fields.read("rankShare", policy.priorityDecay, 0.0, 1.0);
    fields.finish();
}

void readFairness(FieldReader &parent, FairnessPolicy &policy, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("fairness"), parent.pathOf("fairness"), faults);
    fields.read("enabled", policy.enabled);
    fields.read("minSurge", policy.minSurge, 1.0, maxSurge);
    fields.finish();
}

void readMechanisms(FieldReader &parent, Mechanisms &mechanisms, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("mechanisms"), parent.pathOf("mechanisms"), faults);
    fields.read("estimates", mechanisms.estimates);
    fields.read("exactCounts", mechanisms.exactCounts);
    fields.read("retries", mechanisms.retries);
    fields.read("quarantine", mechanisms.quarantine);
    fields.read("prefixSnapshots", mechanisms.prefixSnapshots);
    fields.read("forwarding", mechanisms.forwarding);
    fields.read("brittleLimits", mechanisms.brittleLimits);
    fields.finish();
}

void readContention(FieldReader &parent, ContentionPolicy &policy, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("contention"), parent.pathOf("contention"), faults);
    constexpr double maxRetentionSeconds = 600.0;
    constexpr double maxMarginShare = 2.0;
    double retention = static_cast<double>(policy.retention.count());
    fields.read("enabled", policy.enabled);
    fields.read("retentionSeconds", retention, 1.0, maxRetentionSeconds);
    fields.read("marginShare", policy.marginShare, 0.0, maxMarginShare);
    fields.finish();
    policy.retention = Seconds{static_cast<std::int64_t>(retention)};
}

void readLearning(FieldReader &parent, LearningSettings &learning, std::vector<Fault> &faults)
{
    FieldReader fields(parent.child("learning"), parent.pathOf("learning"), faults);
    fields.read("speeds", learning.speeds);
    fields.read("limits", learning.limits);
    fields.finish();
}

void readColdStart(FieldReader &parent, GatewaySettings &settings, std::vector<Fault> &faults)
{
    const nlohmann::json &json = parent.child("coldStart");
    FieldReader fields(json, parent.pathOf("coldStart"), faults);
    ColdStartTolerance tolerance;
    fields.read("factor", tolerance.factor, 0.0, maxWeight);
    fields.read("margin", tolerance.margin, 0.0, maxWeight);
    fields.finish();
    if (!json.empty()) {
        settings.coldStart = tolerance;
    }
}

void readAreas(FieldReader &parent, AreaMap &areas, std::vector<Fault> &faults)
{
    const nlohmann::json &json = parent.child("areas");
    FieldReader fields(json, parent.pathOf("areas"), faults);
    for (const auto &[dataCentre, area] : json.items()) {
        fields.read(dataCentre, areas[dataCentre], true);
    }
    fields.finish();
}

} // namespace

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                    std::vector<Fault> &faults)
{
    const std::optional<nlohmann::json> json = parseJson(text, faults);
    if (!json) {
        return std::nullopt;
    }
    GatewaySettings settings;
    FieldReader fields(*json, "", faults);
    fields.read("id", settings.id, true);
    fields.read("place", settings.dataCentre, true);
    fields.read("callers", settings.callers, true);
    fields.read("readiness", settings.readiness, true);
    fields.read("control", settings.control, false);
    fields.read("store", settings.store, true);
    readPeer(fields, settings, faults);
    readRetries(fields, settings.retries, faults);
    readChoice(fields, settings.choice, faults);
    readAdmission(fields, settings.admission, faults);
    readFairness(fields, settings.fairness, faults);
    readMechanisms(fields, settings.mechanisms, faults);
    readContention(fields, settings.contention, faults);
    readLearning(fields, settings.learning, faults);
    readColdStart(fields, settings, faults);
    readAreas(fields, settings.areas, faults);
    fields.read("firstStart", settings.isFirstStart);
    fields.read("evacuations", settings.followsEvacuations);
    auto drain = static_cast<std::uint32_t>(settings.maxDrainTime.count());
    fields.read("drainMilliseconds", drain, 1, maxDrainMilliseconds);
    settings.maxDrainTime = Milliseconds{drain};
    auto catchUp = static_cast<std::uint32_t>(settings.maxCatchUpTime.count());
    fields.read("catchUpMilliseconds", catchUp, minCatchUpMilliseconds, maxCatchUpMilliseconds);
    settings.maxCatchUpTime = Milliseconds{catchUp};
    double grace = std::chrono::duration<double>(settings.stopGrace).count();
    fields.read("graceSeconds", grace, 1.0, maxGraceSeconds);
    settings.stopGrace =
        std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(grace));
    fields.read("responseBufferBytes", settings.responseBufferBytes, minResponseBufferBytes,
                maxResponseBufferBytes);
    settings.log = readLogSettings(fields, faults);
    fields.finish();
    if (!faults.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace plantainswitch::gateway
