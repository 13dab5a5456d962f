#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "plantainswitch/observe/metrics.h"
#include "plantainswitch/routing/fleetretrybudget.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/serviceestimator.h"
#include "plantainswitch/routing/updatelog.h"

#include "dialect.h"
#include "gatewaysettings.h"
#include "upstreamregistry.h"

namespace plantainswitch::gateway {

class CallerConnection;
class FleetGossip;

/// One upstream's entry in a StoreView.
struct StoreViewReplica
{
    std::string document;
    bool removed = false;
    /// The store's revision by which this router had heard of it.
    std::uint64_t revision = 0;
};

/// The store's objects as this router last heard of them, undecoded, for routers that don't watch
/// the store themselves.
struct StoreView
{
    std::string routingDocument;
    std::map<std::string, StoreViewReplica> replicas;
    /// Up to which changes of upstreams were heard, from the store or from another router.
    std::uint64_t revision = 0;
    /// Heard from the store itself, which still answers.
    bool connected = false;
};

/// How recent this router's knowledge of one kind of the store's objects is.
struct StoreSyncState
{
    /// When the store last confirmed it, by its answer to a list or a watch.
    TimePoint confirmedAt;
    /// When it was last confirmed to this router or to another one that knows nothing newer.
    TimePoint fleetConfirmedAt;
    /// The store's revision up to which this router's own calls have shown all changes.
    std::uint64_t revision = 0;
    /// Since when the call under way has waited for its answer.
    std::optional<TimePoint> callStartedAt;
};

/// What the parts of a gateway share. All of it lives on the loop's one thread.
struct GatewayState
{
    GatewayState(asio::io_context &context, const Clock &clock, const Dialect &dialect,
                 GatewaySettings settings)
        : context(context)
        , clock(clock)
        , dialect(dialect)
        , settings(std::move(settings))
        , replicaDirectory(suspectedExpiryGrace(this->settings.maxDrainTime))
        , upstreams(context, clock)
        , retryBudgets(this->settings.retries)
    {}

    /// \returns the number of routers that share what is bounded for all together.
    [[nodiscard]] std::uint32_t routerCount() const noexcept
    {
        return static_cast<std::uint32_t>(this->peerLoads.routerCount()) + 1;
    }

    asio::io_context &context;
    const Clock &clock;
    const Dialect &dialect;
    GatewaySettings settings;
    std::shared_ptr<const RoutingTable> routingTable;
    /// When the table was taken.
    TimePoint routingAppliedAt;
    std::map<StoreObjectKind, StoreSyncState> syncStates;
    ReplicaDirectory replicaDirectory;
    bool isDirectoryLoaded = false;
    /// What the store said last, for routers that it turns away.
    StoreView storeView;
    UpstreamRegistry upstreams;
    PeerLoads peerLoads;
    /// What the upstreams of each service are like.
    std::map<std::string, ServiceEstimator> estimators;
    FleetRetryBudget retryBudgets;
    Metrics metrics;
    /// What other routers are still to be told.
    UpdateLog updateLog;
    CrashQuarantine crashQuarantine;
    bool stopping = false;
    /// Other routers; set before the first request comes.
    FleetGossip *fleet = nullptr;
    /// Forgets an exchange that has ended.
    std::function<void(const CallerConnection &)> onExchangeDone;
    /// Connects to an upstream whose answer broke off, unless that is under way already: a crashed
    /// one takes no connection, one that only lost an answer does, and the next request gets it.
    /// Without this look a crash would show seconds later, when a request is placed there again.
    void probeUpstream(const std::shared_ptr<UpstreamState> &upstream);
    /// An upstream was found down: what broke on it before is under suspicion.
    void recordUpstreamDown(const Replica &replica);
    /// A request was answered: it crashes nobody.
    void recordAnswered(RequestFingerprint request);
    /// Notes that the store answered at \a now as of \a revision, which confirms each kind that has
    /// no later change.
    void recordConfirmation(std::uint64_t revision, TimePoint now);
    /// \returns the newest revision of the store that an answer has shown.
    [[nodiscard]] std::uint64_t latestRevision() const;
    /// Takes the loads of other routers into the upstreams' states.
    void refreshPeerLoads();
    bool peerLoadsChanged = false;
};

} // namespace plantainswitch::gateway
