#include "fleetgossip.h"

#include <algorithm>
#include <string>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "storeview.h"

namespace plantainswitch::gateway {

namespace {

/// Least interval between two reports of workspaces' use to one router, for each router of the
/// fleet. A report has 167 bytes, so that a router sends at most 12 kB per second of them.
constexpr Milliseconds usageIntervalPerRouter{14};
/// Delay before an update that others wait for, so that simultaneous changes are sent together.
constexpr Milliseconds broadcastDelay{20};
/// Every eighth update carries addresses of other routers, for receivers that lack some.
constexpr std::uint64_t addressUpdatePeriod = 8;
/// Number of addresses in one update, about one Ethernet frame. Each update continues after the
/// last one sent.
constexpr std::size_t maxAddresses = 48;
/// Every seventh update carries performance reports. Coprime to addressUpdatePeriod, so that few
/// updates carry both.
constexpr std::uint64_t performanceUpdatePeriod = 7;
/// Datagrams that are read before the event loop handles other events.
constexpr std::uint32_t maxDatagramsAtOnce = 256;

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
    case wire::GatewayDatagram::kOriginConfirmation:
        return ControlKind::OriginConfirmation;
    default:
        return ControlKind::RouterNews;
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
    , originExchange(gateway, this->contacts, routerProcessOf(gateway.settings.id, incarnation),
                     [this](const Endpoint &address, const wire::GatewayDatagram &datagram) {
                         this->sendTo(address, datagram);
                     })
    , coordinator(ServicePerformance{}.prefillRate)
    , slotQueues(gateway, [this](const std::string &router,
                                 const QueueReply &reply) { this->sendQueueReply(router, reply); })
    , slots(
          gateway, this->slotQueues,
          [this](const Endpoint &address, const wire::GatewayDatagram &datagram) {
              this->sendTo(address, datagram);
          },
          [this](std::uint64_t upstream) { return this->slotCoordinatorOf(upstream); })
    , lastRequestId(hashOf(std::to_string(incarnation)))
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

void FleetGossip::passOnOrigins()
{
    this->originExchange.passOnAll();
}

void FleetGossip::stop()
{
    this->stopped = true;
    this->originExchange.tick();
    this->originExchange.stop();
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
        this->onReply(datagram.reply(), from);
        break;
    case wire::GatewayDatagram::kEnd:
        this->onEnd(datagram.end(), from);
        break;
    case wire::GatewayDatagram::kOriginReport:
        this->originExchange.onReport(datagram.origin_report(), from);
        break;
    case wire::GatewayDatagram::kOriginAsk:
        this->originExchange.onAsk(datagram.origin_ask(), from);
        break;
    case wire::GatewayDatagram::kOriginReply:
        this->originExchange.onReply(datagram.origin_reply(), from);
        break;
    case wire::GatewayDatagram::kOriginConfirmation:
        this->originExchange.onConfirmation(datagram.origin_confirmation());
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
        // The first update to this group in each interval, whatever its rhythm.
        const Duration usageInterval =
            std::max<Duration>(usageReportInterval, alive * usageIntervalPerRouter);
        if (now.time_since_epoch() / usageInterval
            != group.lastSent.time_since_epoch() / usageInterval) {
            this->appendWorkspaceUse(*datagram.mutable_news(), now);
        }
        this->appendSpeedReports(*datagram.mutable_news(), group.lastSent, alive);
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
    this->reconcileOwnSlots();
    this->slotQueues.removeIdle();
    this->gateway.endContention();
    this->originExchange.tick();
    std::erase_if(this->lostRouters,
                  [now](const auto &entry) { return now - entry.second >= lostRouterRetention; });
    for (const std::string &failedRouter : this->contacts.removeFailed(now)) {
        this->gateway.peerLoads.removeRouter(failedRouter);
        const auto silent =
            std::chrono::duration_cast<Milliseconds>(now - this->contacts.lastSeen(failedRouter));
        logEvent(Event::MemberGone,
                 {{"member", failedRouter}, {"silent_ms", std::to_string(silent.count())}});
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
