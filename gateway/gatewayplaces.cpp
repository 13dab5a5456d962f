#include "gateway.h"

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Time that an upstream's statement of its coldness may take to arrive here: one interval of its
/// entries and the delay of the list.
constexpr Milliseconds coldStatementDelay{2000};

} // namespace

ColdStart GatewayState::coldStartOf(std::string_view service) const
{
    const RoutedService *const found =
        this->routingTable ? this->routingTable->findService(service) : nullptr;
    return found == nullptr ? ColdStart{} : found->coldStart;
}

PermitLimits GatewayState::permitLimits(std::string_view service) const
{
    if (!this->settings.coldStart) {
        return {};
    }
    return permitLimitsOf(this->coldStartOf(service), *this->settings.coldStart);
}

bool GatewayState::isLimitedAsCold(const UpstreamState &upstream) const
{
    return upstream.cold.remaining(this->clock.now()).count() > 0
           && this->permitLimits(upstream.replica.service).cold > 0;
}

void GatewayState::setEvacuations(EvacuationSet newer, std::string_view source)
{
    const std::uint64_t revision = newer.revision;
    const EvacuationChanges changes = applyEvacuations(this->evacuations, std::move(newer));
    const auto logChange = [revision, source](const std::string &dataCentre, const char *state) {
        logEvent(Event::EvacuationChanged, {{"place", dataCentre},
                                            {"state", state},
                                            {"revision", std::to_string(revision)},
                                            {"source", std::string(source)}});
    };
    for (const std::string &dataCentre : changes.begun) {
        logChange(dataCentre, "begun");
    }
    const TimePoint now = this->clock.now();
    for (const std::string &dataCentre : changes.ended) {
        logChange(dataCentre, "ended");
        for (UpstreamState *const upstream : this->upstreams.inDataCentre(dataCentre)) {
            const Milliseconds duration = this->coldStartOf(upstream->replica.service).duration;
            upstream->cold.presume(duration + coldStatementDelay, now);
        }
    }
    if (!changes.isEmpty() && this->fleet != nullptr) {
        this->fleet->scheduleBroadcast();
    }
}

void GatewayState::recordColdTimes(const std::vector<ReplicaEvent> &events)
{
    const TimePoint now = this->clock.now();
    for (const ReplicaEvent &event : events) {
        const auto upstream = this->upstreams.find(event.replica.id);
        if (!upstream || event.change == ReplicaChange::Draining) {
            continue;
        }
        upstream->cold.applyStatement(event.replica.coldFor, now);
        if (event.change == ReplicaChange::Restarted) {
            upstream->cold.presume(this->coldStartOf(event.replica.service).duration, now);
        }
    }
}

void Gateway::applyEvacuationObjects(const std::vector<StoreObject> &items, UpdateScope scope)
{
    EvacuationSet set;
    set.revision = this->evacuationFollower.revision();
    if (scope == UpdateScope::Incremental) {
        set.dataCentres = this->state.evacuations.dataCentres;
    }
    for (const StoreObject &item : items) {
        if (item.deleted) {
            set.dataCentres.erase(item.name);
            continue;
        }
        std::string fault;
        const auto dataCentre = this->state.dialect.parseEvacuation(item, fault);
        const AreaMap &areas = this->state.settings.areas;
        const bool isKnown = dataCentre && (areas.empty() || areas.contains(*dataCentre));
        if (!isKnown) {
            logEvent(Event::EntryInvalid, {{"kind", "evacuation"},
                                           {"name", item.name},
                                           {"why", dataCentre ? "unknown data centre" : fault}});
            continue;
        }
        set.dataCentres.insert(*dataCentre);
    }
    this->state.setEvacuations(std::move(set), "store");
}

} // namespace plantainswitch::gateway
