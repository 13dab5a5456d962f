#include "datacentremonitor.h"

#include <memory>
#include <utility>
#include <vector>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

constexpr Milliseconds updateInterval{100};
/// How long upstreams stay marked as cut off. Longer than the time between two updates on a busy
/// VM, so that the mark does not lapse in between.
constexpr Milliseconds cutOffMarkTime{600};
constexpr Milliseconds probeInterval{500};

} // namespace

void DataCentreMonitor::update(TimePoint now)
{
    if (now - this->lastUpdateAt < updateInterval) {
        return;
    }
    this->lastUpdateAt = now;
    for (const auto &[dataCentre, contact] : this->fleet.routers().otherDataCentres(now)) {
        this->links[dataCentre].contact = contact;
    }
    for (auto &[dataCentre, link] : this->links) {
        this->evaluate(dataCentre, link, now);
    }
}

void DataCentreMonitor::evaluate(const std::string &dataCentre, Link &link, TimePoint now)
{
    const std::vector<UpstreamState *> upstreams = this->gateway.upstreams.inDataCentre(dataCentre);
    const DataCentreEvidence evidence =
        evidenceOf(link.contact, upstreams, link.lastConnectedAt, this->fleet.routers(), now);
    const DataCentreReachability previousReach =
        std::exchange(link.reach, reachabilityOf(evidence, now));
    const bool isCutOff = link.reach == DataCentreReachability::Unreachable;
    if (isCutOff != (previousReach == DataCentreReachability::Unreachable)) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - evidence.lastReceived);
        const auto gap = std::chrono::duration_cast<Milliseconds>(evidence.updateInterval);
        logEvent(Event::DataCentreReached,
                 {{"place", dataCentre},
                  {"reach", std::string(nameOf(link.reach))},
                  {"age_ms", std::to_string(age.count())},
                  {"update_gap_ms", std::to_string(gap.count())},
                  {"local_updates", std::to_string(evidence.localUpdates)}});
    }
    if (link.reach == DataCentreReachability::Reachable) {
        return;
    }
    if (isCutOff) {
        for (UpstreamState *const upstream : upstreams) {
            recordDataCentreUnreachable(upstream->health, now + cutOffMarkTime);
        }
    }
    this->probe(dataCentre, link, upstreams, now);
}

void DataCentreMonitor::probe(const std::string &dataCentre, Link &link,
                              std::span<UpstreamState *const> upstreams, TimePoint now)
{
    const bool isEvacuated = this->gateway.evacuations.dataCentres.contains(dataCentre);
    if (now - link.lastProbedAt < probeInterval || upstreams.empty() || isEvacuated) {
        return;
    }
    link.lastProbedAt = now;
    const std::string &id = upstreams[link.probeCount++ % upstreams.size()]->replica.id;
    const auto upstream = this->gateway.upstreams.find(id);
    const auto connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    connection->connect(upstream->replica.endpoint, upstreamConnectTimeout,
                        [this, dataCentre, upstream, connection](bool isConnected) {
                            const TimePoint completedAt = this->gateway.clock.now();
                            if (isConnected) {
                                this->links[dataCentre].lastConnectedAt = completedAt;
                                this->gateway.upstreams.release(*upstream, connection);
                            } else {
                                recordDataCentreUnreachable(upstream->health,
                                                            completedAt + cutOffMarkTime);
                            }
                        });
}

} // namespace plantainswitch::gateway
