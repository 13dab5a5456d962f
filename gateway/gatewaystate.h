#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>

#include "plantainswitch/base/bufferpool.h"
#include "plantainswitch/base/workqueue.h"
#include "plantainswitch/observe/eventloopmonitor.h"
#include "plantainswitch/observe/metrics.h"
#include "plantainswitch/routing/brittleservices.h"
#include "plantainswitch/routing/contendedservices.h"
#include "plantainswitch/routing/evacuations.h"
#include "plantainswitch/routing/fleetretrybudget.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/serviceestimator.h"
#include "plantainswitch/routing/servicereach.h"
#include "plantainswitch/routing/serviceversions.h"
#include "plantainswitch/routing/stopschedule.h"
#include "plantainswitch/routing/streamorigin.h"
#include "plantainswitch/routing/updatelog.h"
#include "plantainswitch/routing/upstreamspeed.h"
#include "plantainswitch/routing/workspaceusage.h"

#include "dialect.h"
#include "gatewaysettings.h"
#include "upstreamregistry.h"

namespace plantainswitch::gateway {

class CallerConnection;
class FleetGossip;
class TrialStore;
class VersionConfirmer;

/// One upstream's entry in a StoreView.
struct StoreViewReplica
{
    std::string document;
    bool removed = false;
    /// Revision of the store at which this router learnt of the entry's last change.
    std::uint64_t revision = 0;
};

/// The store's objects as last known to this router, undecoded. Served to routers that do not watch
/// the store themselves.
struct StoreView
{
    std::string routingDocument;
    std::map<std::string, StoreViewReplica> replicas;
    /// All changes of upstreams up to this revision are included, learnt from the store or from
    /// another router.
    std::uint64_t revision = 0;
    /// This router watches the store itself, and its calls succeed.
    bool connected = false;
};

/// How recent this router's knowledge of one kind of objects is.
struct StoreSyncState
{
    /// When the store last confirmed it by a response to a list or a watch.
    TimePoint confirmedAt;
    /// When it was last confirmed to this router, or to another one that knows nothing newer.
    TimePoint fleetConfirmedAt;
    /// Revision up to which this router's own calls to the store have returned all changes.
    std::uint64_t revision = 0;
    /// When the running call was made; nothing if there is none.
    std::optional<TimePoint> callStartedAt;
};

/// Time for which the requests of a service hold their slots.
struct SlotHoldTime
{
    Duration time{0};
    TimePoint calculatedAt;
};

/// State shared by the parts of a gateway. Only used on the event loop's thread.
struct GatewayState
{
    GatewayState(asio::io_context &context, const Clock &clock, const Dialect &dialect,
                 GatewaySettings settings)
        : context(context)
        , clock(clock)
        , work(clock)
        , dialect(dialect)
        , settings(std::move(settings))
        , replicaDirectory(suspectedExpiryGrace(this->settings.maxDrainTime))
        , upstreams(context, clock)
        , retryBudgets(this->settings.retries)
        , responseBuffers(this->settings.responseBufferBytes)
    {}

    /// \returns the number of routers, including this one, among which fleet-wide limits are
    /// divided.
    [[nodiscard]] std::uint32_t routerCount() const noexcept
    {
        return static_cast<std::uint32_t>(this->peerLoads.routerCount()) + 1;
    }

    /// \returns what cold upstreams of \a service bear; without a limit if none is configured.
    [[nodiscard]] ColdStart coldStartOf(std::string_view service) const;
    /// \returns the limits on requests to each upstream of \a service.
    [[nodiscard]] PermitLimits permitLimits(std::string_view service) const;
    /// \returns whether a request to \a upstream needs a permit because it is believed cold.
    [[nodiscard]] bool isLimitedAsCold(const UpstreamState &upstream) const;
    /// \returns the number of requests that a brittle upstream must not exceed; 0 if its service is
    /// not brittle.
    [[nodiscard]] double brittleBoundOf(const UpstreamState &upstream) const;
    [[nodiscard]] bool isBrittle(std::string_view service) const;
    /// Records a request that a caller sent to this router. \param workspace empty if it has none
    void recordUse(std::string_view workspace);
    /// \returns the surge of the workspace that admission control takes into account: 1 below the
    /// configured minimum, without fairness and for requests without a workspace.
    [[nodiscard]] double surgeOf(std::string_view workspace) const;
    /// \returns the time that few runs of the service exceed.
    [[nodiscard]] Duration runTimeBound(const std::string &service);
    /// \returns the number of rejections within a second above which the upstreams of the service
    /// crash, if it is brittle.
    [[nodiscard]] std::optional<std::uint32_t> maxRejectionsOf(std::string_view service) const;
    /// Records whether a response of the service announces that its upstreams are brittle, and
    /// notifies the other routers of a change.
    void recordBrittleness(const std::string &service, std::optional<std::uint32_t> maxRejections);
    /// Applies an announcement that another router received.
    void applyBrittleNotice(const BrittleNotice &notice, std::string_view source);

    /// \returns whether requests to the service need a slot of their upstream's coordinator: it is
    /// small, its slots did not suffice lately, and it is not brittle.
    [[nodiscard]] bool isContended(const std::string &service) const;
    /// Records a sign that the slots of a small service do not suffice, and notifies the other
    /// routers of a change.
    void recordContention(const std::string &service);
    /// Applies a sign that another router received.
    void applyContentionNotice(const ContentionNotice &notice, std::string_view source);
    /// Logs the services that are no longer contended.
    void endContention();
    /// \returns the mean time for which a request of the service holds its slot, up to 100 ms old.
    [[nodiscard]] Duration slotHoldTime(const std::string &service);
    /// \returns how long after a version of the service was last listed callers may still take up
    /// streams that began at it; 0 if they may take up none.
    [[nodiscard]] Milliseconds takeUpTimeOf(std::string_view service) const;
    /// \returns whether callers may take up streams of several versions of \a service.
    [[nodiscard]] bool areVersionsMixed(const std::string &service) const;
    /// \returns the same for all services.
    [[nodiscard]] bool areAnyVersionsMixed() const;
    /// \returns the usual share of a workspace of all requests of the fleet; 0 if not known.
    [[nodiscard]] double usualShareOf(std::string_view workspace) const;

    asio::io_context &context;
    const Clock &clock;
    /// What callers, upstreams and forwarding routers send; everything else is handled at once.
    WorkQueue work;
    const Dialect &dialect;
    GatewaySettings settings;
    std::shared_ptr<const RoutingTable> routingTable;
    /// When the routing table was applied.
    TimePoint routingAppliedAt;
    std::map<StoreObjectKind, StoreSyncState> syncStates;
    ReplicaDirectory replicaDirectory;
    bool isDirectoryLoaded = false;
    /// The store's objects, for routers that do not watch the store.
    StoreView storeView;
    EvacuationSet evacuations;
    UpstreamRegistry upstreams;
    PeerLoads peerLoads;
    /// Estimators of the upstreams' performance, by name of the service.
    std::map<std::string, ServiceEstimator> estimators;
    /// Rates of the workspaces' requests over the fleet.
    WorkspaceUsage workspaceUsage;
    /// How the speeds of a service's upstreams compare, by name of the service.
    std::map<std::string, UpstreamSpeeds> speeds;
    FleetRetryBudget retryBudgets;
    /// Whether this router reaches the upstreams, by name of the service.
    std::map<std::string, ServiceReach> reach;
    /// When data of any upstream last arrived, or a connection to one was last established.
    TimePoint lastUpstreamContact;
    /// What is buffered of upstreams' responses.
    BufferPool responseBuffers;
    /// Requests of other routers that are being processed.
    std::size_t forwardedRunning = 0;
    Metrics metrics;
    EventLoopMonitor loopMonitor;
    /// Changes that have yet to be sent to other routers.
    UpdateLog updateLog;
    CrashQuarantine crashQuarantine;
    BrittleServices brittleServices;
    ContendedServices contendedServices;
    /// By service.
    std::unordered_map<std::string, SlotHoldTime> slotHoldTimes;
    /// Where the streams of callers began.
    StreamOriginTable streamOrigins;
    ServiceVersions serviceVersions;
    bool stopping = false;
    /// Set while stopping.
    StopSchedule stopSchedule;
    TimePoint suspectsRefreshedAt;
    /// Reads of the store for requests close to their quarantine, since the start.
    std::size_t refreshedSuspects = 0;
    /// Set before the first request arrives.
    FleetGossip *fleet = nullptr;
    TrialStore *trials = nullptr;
    VersionConfirmer *versions = nullptr;
    /// Called when an exchange has ended, to release it.
    std::function<void(const CallerConnection &)> onExchangeDone;
    /// Probes an upstream whose response broke off. A crashed upstream refuses the connection; one
    /// that only lost a response accepts it, and the next request reuses it. Without the probe a
    /// crash would be noticed seconds later, when the next request is sent there.
    /// \param done called once the outcome is known; several calls share one probe
    void probeUpstream(const std::shared_ptr<UpstreamState> &upstream, std::function<void()> done);
    /// Probes an upstream at which a run was given up, unless it responds to others first.
    void scheduleProbe(const std::shared_ptr<UpstreamState> &upstream);
    /// Records that data of a response arrived from an upstream.
    void recordContact(ServiceReach &serviceReach);
    /// Records that an upstream did not respond, or could not be connected to.
    void recordContactFailure(const Replica &replica, ContactFailure kind);
    /// \returns whether this router is cut off from a service.
    [[nodiscard]] bool isCutOff(const std::string &service) const;
    /// Probes the services that this router is cut off from, and notifies the other routers of
    /// changes.
    void checkReach();
    /// Records that an upstream is down. Requests that it failed to respond to before become
    /// suspects.
    void recordUpstreamDown(const Replica &replica);
    /// Applies a report of another router. \param source that router, for the log
    void applyCrashReport(const CrashReport &report, std::string_view source);
    /// Records what the store says of a quarantined request, and notifies the other routers if that
    /// is new.
    void recordTrials(const TrialCount &count);
    /// Applies another router's report that a request under suspicion was answered.
    void applyCleared(const ClearedSuspect &cleared);
    /// Records that a request got a response, so that it does not crash upstreams.
    void recordAnswered(SuspectKey key);
    /// Reads from the store whether routers that this one cannot reach have quarantined requests
    /// that are under suspicion here, and forgets those that have crashed nothing for a long time.
    void refreshSuspects();
    /// Applies a set of evacuated data centres unless a newer one is known, and announces a change
    /// to the other routers. \param source where the set comes from, for the log
    void setEvacuations(EvacuationSet newer, std::string_view source);
    /// Applies what the list of upstreams says about coldness.
    void recordColdTimes(const std::vector<ReplicaEvent> &events);
    /// Records a response of the store at \a now as of \a revision. It confirms every kind of
    /// objects without later changes.
    void recordConfirmation(std::uint64_t revision, TimePoint now);
    /// \returns the newest revision in any response of the store.
    [[nodiscard]] std::uint64_t latestRevision() const;
    /// Records an upstream's observed time to first token by the one that its service's estimates
    /// give.
    void recordSpeed(const UpstreamState &upstream, double ratio);
    /// Copies the learned slowdowns into the upstreams' states, and logs changes.
    void refreshSpeeds();
    /// Copies the other routers' loads into the upstreams' states.
    void refreshPeerLoads();
    /// Copies the other routers' load of one upstream into its state.
    void applyPeerLoad(UpstreamState &upstream) const;
    bool peerLoadsChanged = false;

private:
    /// \returns whether the service has fewer slots than there are routers.
    [[nodiscard]] bool isSmall(const std::string &service) const;
    /// \returns whether this router lately had contact to any upstream, so that one that it cannot
    /// reach is down.
    [[nodiscard]] bool reachesUpstreams() const;
    void probeService(const std::string &service, ServiceReach &serviceReach);
    /// Attributes a crash of \a incarnation to the requests that it did not respond to.
    void confirmCrash(std::uint64_t incarnation, const std::string &upstreamId);
    /// Creates the store's record of a request that is close to its quarantine.
    void publishSuspect(SuspectKey key);
    /// Logs what became of a reported crash.
    void logCrash(const ConfirmedCrash &crash, std::string_view source) const;
};

} // namespace plantainswitch::gateway
