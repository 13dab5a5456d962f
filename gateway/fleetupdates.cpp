#include "fleetgossip.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "storeview.h"

namespace plantainswitch::gateway {

namespace {

/// Number of prefixes in one update; the others follow in the next. Keeps a datagram within one
/// Ethernet frame at usual load.
constexpr std::size_t maxPrefixes = 32;
/// Number of prefix locations that one of the routers sends to a joining router; about 20 kB.
constexpr std::size_t maxSnapshotPrefixes = 1024;
/// Number of services whose performance is reported in one update.
constexpr int maxReportedServices = 16;
/// Number of streams in one update whose origins it carries; about 6 kB.
constexpr std::size_t maxReportedOrigins = 512;

/// \returns the time \a age - 1 milliseconds before \a now, or the clock's epoch if \a age is 0.
TimePoint timeOf(std::uint32_t age, TimePoint now)
{
    return age == 0 ? TimePoint{} : now - Milliseconds{age - 1};
}

/// \returns the age from which timeOf() restores \a moment.
std::uint32_t ageOf(TimePoint moment, TimePoint now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - moment);
    return moment == TimePoint{} ? 0 : static_cast<std::uint32_t>(age.count()) + 1;
}

/// \returns the milliseconds since \a moment, as far as the field of a message holds them.
std::uint32_t millisecondsSince(TimePoint moment, TimePoint now)
{
    constexpr Milliseconds::rep most = std::numeric_limits<std::uint32_t>::max();
    const auto age = std::chrono::duration_cast<Milliseconds>(now - moment);
    return static_cast<std::uint32_t>(std::clamp<Milliseconds::rep>(age.count(), 0, most));
}

/// Records the state that another router reports.
void recordState(RouterContact &contact, const wire::RouterNews &message, TimePoint now)
{
    contact.id = message.id();
    contact.incarnation = message.incarnation();
    contact.dataCentre = message.place();
    contact.configVersion = message.config_version();
    contact.aliveRouters = message.known_routers();
    contact.storeRevision = message.store_revision();
    contact.storeConnected = message.store_connected();
    contact.configConfirmed = timeOf(message.config_confirmed_ms(), now);
    contact.upstreamsConfirmed = timeOf(message.upstreams_confirmed_ms(), now);
    contact.evacuationsRevision = message.evacuations_revision();
    contact.evacuationsConfirmed = timeOf(message.evacuations_confirmed_ms(), now);
    contact.stopping = message.stopping();
    contact.acceptsForwards = message.accepts_forwards();
    contact.keepsOrigins = message.keeps_origins();
    contact.confirmsOrigins = message.confirms_origins();
    contact.unreachableServices = {message.unreachable_services().begin(),
                                   message.unreachable_services().end()};
}

void appendCrashUpdate(wire::RouterNews &message, const CrashUpdate &update, TimePoint now)
{
    for (const CrashReport &report : update.crashes) {
        wire::CrashSeen *const entry = message.add_crashes();
        entry->set_request(report.key);
        entry->set_life(report.incarnation);
        entry->set_ago_ms(millisecondsSince(report.brokenAt, now));
        entry->set_ran_ms(millisecondsSince(report.sentAt, report.brokenAt));
    }
    for (const ClearedSuspect &cleared : update.cleared) {
        message.add_cleared(cleared.key);
        message.add_cleared_ago_ms(millisecondsSince(cleared.answeredAt, now));
    }
    for (const TrialCount &count : update.trials) {
        wire::TrialsSeen *const entry = message.add_trials();
        entry->set_request(count.key);
        entry->set_trials(count.trials);
        entry->set_ago_ms(millisecondsSince(count.recordedAt, now));
        entry->set_revision(count.revision);
    }
}

void appendServiceNotices(wire::RouterNews &message, const GatewayState &gateway, TimePoint now)
{
    for (const BrittleNotice &notice : gateway.brittleServices.notices(now)) {
        wire::BrittleService *const entry = message.add_brittle();
        entry->set_service(notice.service);
        entry->set_max_rejections(notice.maxRejections);
        entry->set_ago_ms(millisecondsSince(notice.announcedAt, now));
    }
    const Seconds retention = gateway.settings.contention.retention;
    for (const ContentionNotice &notice : gateway.contendedServices.notices(retention, now)) {
        wire::ContendedService *const entry = message.add_contended();
        entry->set_service(notice.service);
        entry->set_ago_ms(millisecondsSince(notice.observedAt, now));
    }
}

void appendMixedVersions(wire::RouterNews &message, const GatewayState &gateway, TimePoint now)
{
    if (!gateway.routingTable) {
        return;
    }
    for (const RoutedService &service : gateway.routingTable->config().services) {
        const auto mixedAt = gateway.serviceVersions.mixedAt(service.name, now);
        if (mixedAt && now - *mixedAt <= gateway.takeUpTimeOf(service.name)) {
            wire::MixedVersions *const entry = message.add_mixed_versions();
            entry->set_service(hashOf(service.name));
            entry->set_ago_ms(millisecondsSince(*mixedAt, now));
        }
    }
}

} // namespace

void FleetGossip::onUpdateMessage(const wire::RouterNews &message, const Endpoint &from)
{
    if (message.id().empty()) {
        logEvent(Event::DatagramInvalid, {{"from", toText(from)}});
        return;
    }
    const TimePoint now = this->gateway.clock.now();
    RouterContact &contact = this->contacts.recordReceived(from, now);
    this->lostRouters.erase(message.id());
    recordState(contact, message, now);
    this->applyEvacuationUpdate(message);
    this->originExchange.onOrigins(message.origins());
    for (const wire::MixedVersions &entry : message.mixed_versions()) {
        this->gateway.serviceVersions.recordMixedElsewhere(entry.service(),
                                                           now - Milliseconds{entry.ago_ms()});
    }
    RouterUpdate update;
    update.id = message.id();
    update.incarnation = message.incarnation();
    update.sequence = message.sequence();
    update.stopping = message.stopping();
    for (const wire::ReplicaLoad &load : message.loads()) {
        update.loads.push_back({load.life(), load.running(), load.unread_tokens(),
                                Milliseconds{load.avoided_ms()}, load.silent()});
    }
    if (!this->gateway.peerLoads.knows(update.id, update.incarnation)) {
        this->sendInitialState(from, update.id, message.known_routers());
        logEvent(Event::MemberJoined, {{"member", update.id}, {"address", toText(from)}});
    }
    if (!this->gateway.peerLoads.applyUpdate(update)) {
        return;
    }
    this->gateway.peerLoadsChanged = true;
    this->reconcileGrants(update);
    this->applyPeerHealth(update, now);
    for (const wire::ChainRead &read : message.chains()) {
        this->gateway.upstreams.prefixIndex.recordSharedUse(read.chain(), read.life(),
                                                            now - Milliseconds{read.age_ms()});
    }
    for (const wire::Endpoint &other : message.others()) {
        const auto endpoint = endpointOf(other.host() + ":" + std::to_string(other.port()));
        if (endpoint) {
            this->addRouter(*endpoint);
        }
    }
    this->applyPerformanceReports(message, now);
    this->applyWorkspaceUse(message, now);
    this->applySpeedReports(message, now);
    this->applyCrashUpdate(message, now);
    for (const wire::BrittleService &entry : message.brittle()) {
        this->gateway.applyBrittleNotice(
            {entry.service(), entry.max_rejections(), now - Milliseconds{entry.ago_ms()}},
            message.id());
    }
    for (const wire::ContendedService &entry : message.contended()) {
        this->gateway.applyContentionNotice({entry.service(), now - Milliseconds{entry.ago_ms()}},
                                            message.id());
    }
    this->onUpdate();
}

void FleetGossip::applyPeerHealth(const RouterUpdate &update, TimePoint now)
{
    for (const PeerLoad &load : update.loads) {
        UpstreamState *const state = this->gateway.upstreams.findIncarnation(load.incarnation);
        if (state != nullptr && load.ejectedFor.count() > 0) {
            recordPeerEjection(state->health, now + load.ejectedFor, now);
        }
        if (state != nullptr && load.timedOut) {
            recordPeerTimeout(state->health, now);
        }
    }
}

void FleetGossip::applyEvacuationUpdate(const wire::RouterNews &message)
{
    if (message.evacuations_revision() <= this->gateway.evacuations.revision) {
        return;
    }
    EvacuationSet set;
    set.revision = message.evacuations_revision();
    set.dataCentres.insert(message.evacuated().begin(), message.evacuated().end());
    this->gateway.setEvacuations(std::move(set), message.id());
}

void FleetGossip::applyPerformanceReports(const wire::RouterNews &message, TimePoint now)
{
    for (const wire::FigureReport &entry : message.figures()) {
        const bool isRouted =
            this->gateway.routingTable
            && this->gateway.routingTable->findService(entry.service()) != nullptr;
        if (!isRouted) {
            continue;
        }
        PerformanceReport report;
        report.performance.prefillRate = entry.prefill_rate();
        report.performance.baseDelay = entry.base_delay();
        report.performance.delayPerRunning = entry.delay_per_running();
        report.performance.transferRate = entry.transfer_rate();
        report.performance.transferSetup = entry.transfer_setup();
        report.performance.slotHoldTime = entry.hold_time();
        report.performance.tokensPerRequest = entry.tokens_per_request();
        report.prefillSamples = entry.prefill_samples();
        report.transferSamples = entry.transfer_samples();
        report.slotHoldSamples = entry.hold_samples();
        // Earlier builds do not state it.
        if (entry.run_time_bound() > 0.0F) {
            report.performance.runTimeBound = entry.run_time_bound();
            report.runSamples = entry.run_samples();
        }
        this->gateway.estimators[entry.service()].applyReport(message.id(), report, now);
    }
}

void FleetGossip::appendPerformanceReports(wire::RouterNews &message) const
{
    for (const auto &[service, estimator] : this->gateway.estimators) {
        const PerformanceReport report = estimator.ownReport();
        const double samples = report.prefillSamples + report.transferSamples
                               + report.slotHoldSamples + report.runSamples;
        if (samples <= 0.0 || message.figures_size() >= maxReportedServices) {
            continue;
        }
        wire::FigureReport *const entry = message.add_figures();
        entry->set_service(service);
        entry->set_prefill_rate(static_cast<float>(report.performance.prefillRate));
        entry->set_base_delay(static_cast<float>(report.performance.baseDelay));
        entry->set_delay_per_running(static_cast<float>(report.performance.delayPerRunning));
        entry->set_transfer_rate(static_cast<float>(report.performance.transferRate));
        entry->set_transfer_setup(static_cast<float>(report.performance.transferSetup));
        entry->set_hold_time(static_cast<float>(report.performance.slotHoldTime));
        entry->set_tokens_per_request(static_cast<float>(report.performance.tokensPerRequest));
        entry->set_prefill_samples(static_cast<float>(report.prefillSamples));
        entry->set_transfer_samples(static_cast<float>(report.transferSamples));
        entry->set_hold_samples(static_cast<float>(report.slotHoldSamples));
        entry->set_run_time_bound(static_cast<float>(report.performance.runTimeBound));
        entry->set_run_samples(static_cast<float>(report.runSamples));
    }
}

void FleetGossip::applyCrashUpdate(const wire::RouterNews &message, TimePoint now)
{
    for (const wire::CrashSeen &crash : message.crashes()) {
        const TimePoint brokenAt = now - Milliseconds{crash.ago_ms()};
        const TimePoint sentAt = brokenAt - Milliseconds{crash.ran_ms()};
        this->gateway.applyCrashReport({crash.request(), crash.life(), sentAt, brokenAt},
                                       message.id());
    }
    for (int i = 0; i < message.cleared_size(); ++i) {
        // Earlier builds do not state the age.
        const Milliseconds age{i < message.cleared_ago_ms_size() ? message.cleared_ago_ms(i) : 0};
        this->gateway.applyCleared({message.cleared(i), now - age});
    }
    for (const wire::TrialsSeen &trials : message.trials()) {
        this->gateway.recordTrials({trials.request(), trials.trials(),
                                    now - Milliseconds{trials.ago_ms()}, trials.revision()});
    }
}

std::vector<PrefixReport> FleetGossip::prefixSnapshot(TimePoint now) const
{
    std::vector<PrefixReport> prefixes;
    for (const PrefixUse &use :
         this->gateway.upstreams.prefixIndex.recentSharedUses(maxSnapshotPrefixes, now)) {
        prefixes.push_back({use.prefix, use.incarnation,
                            std::chrono::duration_cast<Milliseconds>(now - use.usedAt)});
    }
    return prefixes;
}

void FleetGossip::sendInitialState(const Endpoint &joining, const std::string &id,
                                   std::size_t knownByReceiver)
{
    const TimePoint now = this->gateway.clock.now();
    RouterUpdate update = this->updateSince({});
    update.crashUpdate.crashes = this->gateway.crashQuarantine.sharedCrashes();
    update.crashUpdate.trials = this->gateway.crashQuarantine.sharedTrials();
    if (this->gateway.settings.mechanisms.prefixSnapshots
        && this->contacts.isDesignatedFor(hashOf(id), now, id)) {
        update.prefixes = this->prefixSnapshot(now);
    }
    wire::GatewayDatagram datagram = this->encode(update);
    // A router that knows most of the fleet needs no addresses: when all routers start at once,
    // each gets updates from every other one.
    if (knownByReceiver < this->contacts.aliveCount(now) / 2) {
        this->appendRouterAddresses(*datagram.mutable_news());
    }
    this->appendPerformanceReports(*datagram.mutable_news());
    this->appendSpeedReports(*datagram.mutable_news(), {}, 1);
    this->contacts.recordSent(joining, now);
    this->sendTo(joining, datagram);
    this->originExchange.passOnTo(joining);
}

RouterUpdate FleetGossip::updateSince(TimePoint since)
{
    RouterUpdate update;
    update.id = this->gateway.settings.id;
    update.incarnation = this->incarnation;
    update.sequence = ++this->sequence;
    update.configVersion = this->configVersion();
    update.stopping = this->stopped || this->gateway.stopping;
    const TimePoint now = this->gateway.clock.now();
    for (const auto &[id, state] : this->gateway.upstreams.all()) {
        const bool avoided = state->health.ownEjectedUntil > now;
        const bool silent = isNewTimeout(state->health, since, now);
        if (state->ownRunning == 0 && !avoided && !silent) {
            continue;
        }
        update.loads.push_back(
            {incarnationOf(state->replica), state->ownRunning,
             static_cast<std::uint32_t>(std::max(0.0, state->ownPendingPrefill)),
             avoided ? std::chrono::duration_cast<Milliseconds>(state->health.ownEjectedUntil - now)
                     : Milliseconds{0},
             silent});
    }
    // Other routers learn of older prefixes from their own requests soon enough.
    update.prefixes = this->gateway.updateLog.prefixesSince(since, maxPrefixes);
    update.crashUpdate = this->gateway.updateLog.crashesSince(since);
    update.origins = this->gateway.updateLog.originsSince(since, maxReportedOrigins);
    return update;
}

wire::GatewayDatagram FleetGossip::encode(const RouterUpdate &update) const
{
    wire::GatewayDatagram datagram;
    wire::RouterNews &message = *datagram.mutable_news();
    const TimePoint now = this->gateway.clock.now();
    message.set_id(update.id);
    message.set_incarnation(update.incarnation);
    message.set_sequence(update.sequence);
    message.set_config_version(update.configVersion);
    message.set_stopping(update.stopping);
    message.set_place(this->gateway.settings.dataCentre);
    message.set_store_connected(this->gateway.storeView.connected);
    message.set_store_revision(this->gateway.storeView.revision);
    message.set_config_confirmed_ms(
        ageOf(this->gateway.syncStates.at(StoreObjectKind::Routing).confirmedAt, now));
    message.set_upstreams_confirmed_ms(
        ageOf(this->gateway.syncStates.at(StoreObjectKind::Replicas).confirmedAt, now));
    const EvacuationSet &evacuations = this->gateway.evacuations;
    if (evacuations.revision > 0) {
        message.set_evacuations_revision(evacuations.revision);
        message.set_evacuations_confirmed_ms(
            ageOf(this->gateway.syncStates.at(StoreObjectKind::Evacuations).confirmedAt, now));
        for (const std::string &dataCentre : evacuations.dataCentres) {
            message.add_evacuated(dataCentre);
        }
    }
    message.set_keeps_origins(true);
    message.set_confirms_origins(true);
    appendMixedVersions(message, this->gateway, now);
    this->originExchange.append(message, update.origins);
    message.set_accepts_forwards(this->gateway.settings.mechanisms.forwarding);
    for (const auto &[service, reach] : this->gateway.reach) {
        if (reach.wasCutOff || reach.wasLimited) {
            message.add_unreachable_services(hashOf(service));
        }
    }
    appendServiceNotices(message, this->gateway, now);
    message.set_known_routers(static_cast<std::uint32_t>(this->contacts.aliveCount(now)));
    for (const PeerLoad &load : update.loads) {
        wire::ReplicaLoad *const entry = message.add_loads();
        entry->set_life(load.incarnation);
        entry->set_running(load.running);
        entry->set_unread_tokens(load.pendingPrefillTokens);
        entry->set_avoided_ms(static_cast<std::uint32_t>(load.ejectedFor.count()));
        entry->set_silent(load.timedOut);
    }
    for (const PrefixReport &prefix : update.prefixes) {
        wire::ChainRead *const entry = message.add_chains();
        entry->set_chain(prefix.prefix);
        entry->set_life(prefix.incarnation);
        entry->set_age_ms(static_cast<std::uint32_t>(prefix.age.count()));
    }
    appendCrashUpdate(message, update.crashUpdate, now);
    return datagram;
}

} // namespace plantainswitch::gateway
