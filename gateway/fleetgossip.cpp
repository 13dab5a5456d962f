#include "fleetgossip.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "storeview.h"

namespace plantainswitch::gateway {

namespace {

/// Delay before an update that others wait for, so that simultaneous changes are sent together.
constexpr Milliseconds broadcastDelay{20};
/// Number of prefixes in one update; the others follow in the next. Keeps a datagram within one
/// Ethernet frame at usual load.
constexpr std::size_t maxPrefixes = 32;
/// Every eighth update carries addresses of other routers, for receivers that lack some.
constexpr std::uint64_t addressUpdatePeriod = 8;
/// Number of addresses in one update, about one Ethernet frame. Each update continues after the
/// last one sent.
constexpr std::size_t maxAddresses = 48;
/// Every seventh update carries performance reports. Coprime to addressUpdatePeriod, so that few
/// updates carry both.
constexpr std::uint64_t performanceUpdatePeriod = 7;
/// Number of prefix locations that one of the routers sends to a joining router; about 20 kB.
constexpr std::size_t maxSnapshotPrefixes = 1024;
/// Number of services whose performance is reported in one update.
constexpr int maxReportedServices = 16;
/// Datagrams that are read before the event loop handles other events.
constexpr std::uint32_t maxDatagramsAtOnce = 256;
/// Number of streams in one update whose origins it carries; about 6 kB.
constexpr std::size_t maxReportedOrigins = 512;

ControlKind kindOf(const wire::GatewayDatagram &datagram)
{
    switch (datagram.body_case()) {
    case wire::GatewayDatagram::kAsk:
        return ControlKind::EngineAsk;
    case wire::GatewayDatagram::kReply:
        return ControlKind::EngineReply;
    case wire::GatewayDatagram::kEnd:
        return ControlKind::EngineEnd;
    case wire::GatewayDatagram::kOriginReport:
        return ControlKind::OriginReport;
    case wire::GatewayDatagram::kOriginAsk:
        return ControlKind::OriginAsk;
    case wire::GatewayDatagram::kOriginReply:
        return ControlKind::OriginReply;
    default:
        return ControlKind::RouterNews;
    }
}

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
    }
}

} // namespace

FleetGossip::FleetGossip(GatewayState &gateway, std::uint64_t incarnation,
                         std::function<void()> onUpdate)
    : gateway(gateway)
    , incarnation(incarnation)
    , onUpdate(std::move(onUpdate))
    , socket(gateway.context)
    , timer(gateway.context)
    , contacts(gateway.settings.id, gateway.settings.dataCentre)
    , originExchange(gateway, this->contacts,
                     [this](const Endpoint &address, const wire::GatewayDatagram &datagram) {
                         this->sendTo(address, datagram);
                     })
    , coordinator(ServicePerformance{}.prefillRate)
{}

void FleetGossip::start()
{
    const Endpoint &own = this->gateway.settings.peerDatagrams;
    const asio::ip::udp::endpoint local(asio::ip::make_address(own.host), own.port);
    this->socket.open(local.protocol());
    this->socket.set_option(asio::socket_base::reuse_address(true));
    this->socket.bind(local);
    this->socket.non_blocking(true);
    for (const Endpoint &seed : this->gateway.settings.seeds) {
        // All routers of a fleet use the same ports.
        const Endpoint address{seed.host, own.port};
        if (address != own) {
            this->contacts.addSeed(address, this->gateway.clock.now());
        }
    }
    this->waitForDatagrams();
    this->tick();
}

void FleetGossip::stop()
{
    this->stopped = true;
    this->originExchange.tick();
    this->broadcast(BroadcastScope::All);
    this->timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
}

Endpoint FleetGossip::localEndpoint() const
{
    return {this->gateway.settings.peerDatagrams.host, this->socket.local_endpoint().port()};
}

void FleetGossip::addRouter(const Endpoint &datagrams)
{
    if (datagrams != this->gateway.settings.peerDatagrams) {
        this->contacts.add(datagrams, this->gateway.clock.now());
    }
}

std::optional<Endpoint> FleetGossip::routerWithNewerUpstreams() const
{
    return this->newerRouter(notRequested, this->latestRevision());
}

std::optional<Endpoint> FleetGossip::routerWithNewerConfig() const
{
    return this->newerRouter(this->configVersion(), notRequested);
}

std::optional<Endpoint> FleetGossip::newerRouter(std::uint64_t configVersion,
                                                 std::uint64_t revision) const
{
    const auto newer = this->contacts.routerWithNewerState(configVersion, revision, this->sequence,
                                                           this->gateway.clock.now());
    if (!newer) {
        return std::nullopt;
    }
    return Endpoint{newer->host, this->gateway.settings.peerCalls.port};
}

std::optional<Endpoint> FleetGossip::forwardTarget(const ForwardQuery &query) const
{
    const auto target = this->contacts.forwardTarget(query, this->gateway.clock.now());
    if (!target) {
        return std::nullopt;
    }
    return Endpoint{target->host, this->gateway.settings.peerCalls.port};
}

std::uint64_t FleetGossip::configVersion() const
{
    return this->gateway.routingTable ? this->gateway.routingTable->config().version : 0;
}

std::uint64_t FleetGossip::latestRevision() const
{
    const std::uint64_t own = this->gateway.syncStates.at(StoreObjectKind::Replicas).revision;
    return std::max(own, this->gateway.storeView.revision);
}

std::size_t FleetGossip::confirmerRank() const
{
    return this->contacts.confirmerRank(this->gateway.clock.now());
}

TimePoint FleetGossip::confirmedAt(StoreObjectKind kind) const
{
    const TimePoint now = this->gateway.clock.now();
    switch (kind) {
    case StoreObjectKind::Routing:
        return this->contacts.configConfirmedAt(this->configVersion(), now);
    case StoreObjectKind::Evacuations:
        return this->contacts.evacuationsConfirmedAt(this->gateway.evacuations.revision, now);
    default:
        return this->contacts.upstreamsConfirmedAt(this->latestRevision(), now);
    }
}

bool FleetGossip::isWatcherAlive() const
{
    return this->contacts.isWatcherAlive(this->gateway.clock.now());
}

std::optional<std::size_t> FleetGossip::watchRank() const
{
    return this->contacts.watchRank(this->gateway.clock.now());
}

bool FleetGossip::isDesignatedFor(std::uint64_t key) const
{
    return this->contacts.isDesignatedFor(key, this->gateway.clock.now());
}

void FleetGossip::scheduleBroadcast()
{
    this->nextBroadcastScope = BroadcastScope::Local;
    const auto soon = std::chrono::steady_clock::now() + broadcastDelay;
    if (this->stopped || this->timer.expiry() <= soon) {
        return;
    }
    this->timer.expires_at(soon);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void FleetGossip::waitForDatagrams()
{
    this->socket.async_wait(asio::socket_base::wait_read, [this](const asio::error_code &error) {
        if (this->stopped || error == asio::error::operation_aborted) {
            return;
        }
        this->receiveWaiting();
        this->waitForDatagrams();
    });
}

void FleetGossip::receiveWaiting()
{
    std::uint32_t count = 0;
    while (!this->stopped && count < maxDatagramsAtOnce) {
        asio::error_code error;
        const std::size_t size =
            this->socket.receive_from(asio::buffer(this->buffer), this->sender, 0, error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            break;
        }
        ++count;
        if (!error) {
            this->onDatagram(size);
        }
    }
    this->gateway.loopMonitor.recordDatagrams(count);
}

void FleetGossip::onDatagram(std::size_t size)
{
    wire::GatewayDatagram datagram;
    const Endpoint from{this->sender.address().to_string(), this->sender.port()};
    const bool isParsed = datagram.ParseFromArray(this->buffer.data(), static_cast<int>(size));
    switch (isParsed ? datagram.body_case() : wire::GatewayDatagram::BODY_NOT_SET) {
    case wire::GatewayDatagram::kNews:
        this->onUpdateMessage(datagram.news(), from);
        break;
    case wire::GatewayDatagram::kAsk:
        this->onAsk(datagram.ask(), from);
        break;
    case wire::GatewayDatagram::kReply:
        this->onReply(datagram.reply());
        break;
    case wire::GatewayDatagram::kEnd:
        if (datagram.end().rejected()) {
            this->coordinator.recordRejection(datagram.end().life(), this->gateway.clock.now());
        } else {
            this->onGrantEnd(datagram.end(), from);
        }
        break;
    case wire::GatewayDatagram::kOriginReport:
        this->originExchange.onOrigins(datagram.origin_report().origins());
        break;
    case wire::GatewayDatagram::kOriginAsk:
        this->originExchange.onAsk(datagram.origin_ask(), from);
        break;
    case wire::GatewayDatagram::kOriginReply:
        this->originExchange.onReply(datagram.origin_reply(), from);
        break;
    case wire::GatewayDatagram::BODY_NOT_SET:
        logEvent(Event::DatagramInvalid, {{"from", toText(from)}});
        break;
    }
}

void FleetGossip::sendTo(const Endpoint &address, const wire::GatewayDatagram &datagram)
{
    const std::string bytes = datagram.SerializeAsString();
    this->gateway.metrics.countSent(kindOf(datagram), bytes.size());
    // A datagram that cannot be sent is treated like a lost one: requests have timeouts, and
    // updates are repeated.
    asio::error_code ignored;
    this->socket.send_to(
        asio::buffer(bytes),
        asio::ip::udp::endpoint(asio::ip::make_address(address.host), address.port), 0, ignored);
}

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
    this->applyCrashUpdate(message, now);
    for (const wire::BrittleService &entry : message.brittle()) {
        this->gateway.applyBrittleNotice(
            {entry.service(), entry.max_rejections(), now - Milliseconds{entry.ago_ms()}},
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
        report.performance = {entry.prefill_rate(),      entry.base_delay(),
                              entry.delay_per_running(), entry.transfer_rate(),
                              entry.transfer_setup(),    entry.hold_time(),
                              entry.tokens_per_request()};
        report.prefillSamples = entry.prefill_samples();
        report.transferSamples = entry.transfer_samples();
        report.slotHoldSamples = entry.hold_samples();
        this->gateway.estimators[entry.service()].applyReport(message.id(), report, now);
    }
}

void FleetGossip::appendPerformanceReports(wire::RouterNews &message) const
{
    for (const auto &[service, estimator] : this->gateway.estimators) {
        const PerformanceReport report = estimator.ownReport();
        const double samples =
            report.prefillSamples + report.transferSamples + report.slotHoldSamples;
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
        this->gateway.recordTrials(
            {trials.request(), trials.trials(), now - Milliseconds{trials.ago_ms()}});
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
    this->contacts.recordSent(joining, now);
    this->sendTo(joining, datagram);
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
    this->originExchange.append(message, update.origins);
    message.set_accepts_forwards(this->gateway.settings.mechanisms.forwarding);
    for (const auto &[service, reach] : this->gateway.reach) {
        if (reach.wasCutOff || reach.wasLimited) {
            message.add_unreachable_services(hashOf(service));
        }
    }
    for (const BrittleNotice &notice : this->gateway.brittleServices.notices(now)) {
        wire::BrittleService *const entry = message.add_brittle();
        entry->set_service(notice.service);
        entry->set_max_rejections(notice.maxRejections);
        entry->set_ago_ms(millisecondsSince(notice.announcedAt, now));
    }
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

void FleetGossip::appendRouterAddresses(wire::RouterNews &message) const
{
    const TimePoint now = this->gateway.clock.now();
    for (const Endpoint &address : this->contacts.aliveSubset(maxAddresses, this->sequence, now)) {
        wire::Endpoint *const entry = message.add_others();
        entry->set_host(address.host);
        entry->set_port(address.port);
    }
}

void FleetGossip::broadcast(BroadcastScope scope)
{
    const TimePoint now = this->gateway.clock.now();
    const std::size_t alive = this->contacts.aliveCount(now);
    for (const UpdateGroup &group : this->contacts.takeDueGroups(scope, now)) {
        RouterUpdate update = this->updateSince(group.lastSent);
        if (!group.carriesOrigins) {
            update.origins.clear();
        }
        wire::GatewayDatagram datagram = this->encode(update);
        if (this->sequence % performanceUpdatePeriod == 1) {
            this->appendPerformanceReports(*datagram.mutable_news());
        }
        const bool includesAddresses = this->sequence % addressUpdatePeriod == 1;
        std::optional<wire::GatewayDatagram> datagramWithAddresses;
        for (const Endpoint &address : group.routers) {
            if (!includesAddresses || !this->contacts.lacksAddresses(address, alive)) {
                this->sendTo(address, datagram);
                continue;
            }
            if (!datagramWithAddresses) {
                datagramWithAddresses = datagram;
                this->appendRouterAddresses(*datagramWithAddresses->mutable_news());
            }
            this->sendTo(address, *datagramWithAddresses);
        }
    }
    this->gateway.updateLog.removeBefore(now - this->contacts.maxInterval() - gossipInterval);
}

void FleetGossip::tick()
{
    if (this->stopped) {
        return;
    }
    const TimePoint now = this->gateway.clock.now();
    this->contacts.removeUnresponsive(now);
    this->coordinator.removeIdleEngines(now);
    this->originExchange.tick();
    std::erase_if(this->lostRouters,
                  [now](const auto &entry) { return now - entry.second >= lostRouterRetention; });
    for (const std::string &failedRouter : this->contacts.removeFailed(now)) {
        this->gateway.peerLoads.removeRouter(failedRouter);
        const std::uint32_t silent = millisecondsSince(this->contacts.lastSeen(failedRouter), now);
        logEvent(Event::MemberGone,
                 {{"member", failedRouter}, {"silent_ms", std::to_string(silent)}});
        this->lostRouters[failedRouter] = now;
        this->dropGrants(failedRouter);
        this->gateway.peerLoadsChanged = true;
    }
    this->broadcast(std::exchange(this->nextBroadcastScope, BroadcastScope::Due));
    this->timer.expires_after(gossipInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

} // namespace plantainswitch::gateway
