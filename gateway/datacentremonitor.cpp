#include "datacentremonitor.h"

#include <memory>
#include <utility>
#include <vector>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

constexpr Milliseconds updatePause{100};
/// Longer than the pause between two looks on a busy machine, so that a mark does not lapse between
/// them.
constexpr Milliseconds markSpan{600};
constexpr Milliseconds probePause{500};

} // namespace

void DataCentreLinks::update(TimePoint now)
{
    if (now - this->updatedAt < updatePause) {
        return;
    }
    this->updatedAt = now;
    for (const auto &[dataCentre, contact] : this->fleet.routers().otherDataCentres(now)) {
        this->links[dataCentre].contact = contact;
    }
    for (auto &[dataCentre, link] : this->links) {
        this->judge(dataCentre, link, now);
    }
}

void DataCentreLinks::judge(const std::string &dataCentre, Link &link, TimePoint now)
{
    const std::vector<UpstreamState *> upstreams = this->gateway.upstreams.inDataCentre(dataCentre);
    const DataCentreEvidence evidence =
        evidenceOf(link.contact, upstreams, link.connectedAt, this->fleet.routers(), now);
    const DataCentreReach before = std::exchange(link.reach, reachOf(evidence, now));
    const bool isCutOff = link.reach == DataCentreReach::CutOff;
    if (isCutOff != (before == DataCentreReach::CutOff)) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - evidence.lastReceived);
        const auto gap = std::chrono::duration_cast<Milliseconds>(evidence.updateGap);
        logEvent(Event::DataCentreReached,
                 {{"place", dataCentre},
                  {"reach", std::string(nameOf(link.reach))},
                  {"age_ms", std::to_string(age.count())},
                  {"update_gap_ms", std::to_string(gap.count())},
                  {"local_updates", std::to_string(evidence.localUpdates)}});
    }
    if (link.reach == DataCentreReach::Reachable) {
        return;
    }
    if (isCutOff) {
        for (UpstreamState *const upstream : upstreams) {
            recordCutOff(upstream->health, now + markSpan);
        }
    }
    this->probe(dataCentre, link, upstreams, now);
}

void DataCentreLinks::probe(const std::string &dataCentre, Link &link,
                            std::span<UpstreamState *const> upstreams, TimePoint now)
{
    if (now - link.probedAt < probePause || upstreams.empty()) {
        return;
    }
    link.probedAt = now;
    const std::string &id = upstreams[link.probes++ % upstreams.size()]->replica.id;
    const auto upstream = this->gateway.upstreams.share(id);
    const auto connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    connection->connect(upstream->replica.endpoint, upstreamConnectLimit,
                        [this, dataCentre, upstream, connection](bool isConnected) {
                            const TimePoint then = this->gateway.clock.now();
                            if (isConnected) {
                                this->links[dataCentre].connectedAt = then;
                                this->gateway.upstreams.giveBack(*upstream, connection);
                            } else {
                                recordCutOff(upstream->health, then + markSpan);
                            }
                        });
}

} // namespace plantainswitch::gateway
