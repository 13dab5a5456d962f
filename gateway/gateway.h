#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "callerconnection.h"
#include "connectionacceptor.h"
#include "datacentremonitor.h"
#include "fleetgossip.h"
#include "gatewayrequesthandler.h"
#include "gatewaystate.h"
#include "logwriter.h"
#include "performancelogger.h"
#include "plantainswitch/observe/pausedetector.h"
#include "storefollower.h"
#include "storeview.h"
#include "trialstore.h"
#include "versionconfirmer.h"
#include "versionrecorder.h"

namespace plantainswitch::gateway {

/// \returns the text of the settings file, or nothing if it cannot be read.
using SettingsSource = std::function<std::optional<std::string>()>;

/// The fetches of one part of the other routers' views of the store.
struct StoreViewFetch
{
    explicit StoreViewFetch(GatewayState &gateway)
        : client(gateway)
    {}

    SequentialHttpClient client;
    /// Fetches in a row that have failed.
    std::uint32_t failures = 0;
    TimePoint pausedUntil;
};

/// The router process: callers, upstreams, store and other routers on one event loop and one
/// thread.
class Gateway
{
public:
    Gateway(const Clock &clock, const Dialect &dialect, GatewaySettings settings,
            SettingsSource source = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Opens all listening sockets. Throws if an address is not available.
    void openListeners();
    /// Serves until stop() has finished. Calls openListeners() first if it was not called before.
    void run();
    /// Runs \a work on the event loop's thread. The only call that is allowed from other threads.
    void post(std::function<void()> work);
    /// Terminates at once and aborts running requests.
    void forceStop();
    /// \returns the address at which callers are served. Valid after openListeners().
    [[nodiscard]] Endpoint callerEndpoint() const;
    /// \returns the address at which updates of other routers are received. Valid once run() has
    /// started.
    [[nodiscard]] Endpoint datagramEndpoint() const { return this->fleet.localEndpoint(); }
    /// \returns the address of the readiness check for load balancers. Valid after openListeners().
    [[nodiscard]] Endpoint readinessEndpoint() const;
    /// Begins a graceful stop: the router reports itself as not ready, completes running requests
    /// and accepts new ones until the load balancer has removed it.
    void stop();

    /// \returns the gateway's state, which may only be used on the event loop's thread.
    [[nodiscard]] GatewayState &sharedState() noexcept { return this->state; }

private:
    /// Handles events until the context is stopped.
    void runEventLoop();
    void acceptCallers();
    void acceptInternal(ConnectionAcceptor &acceptor, const CallerHandlers &handlers);
    void startCaller(asio::ip::tcp::socket socket, const CallerLimits &limits,
                     const CallerHandlers &handlers);
    /// Handles a request of another router: one that it forwards, or a call of its own.
    void onPeerRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming);
    void onInternalRequest(const std::shared_ptr<CallerConnection> &caller,
                           const IncomingRequest &incoming);
    /// \param forwarded what another router states, if it has forwarded the request
    void onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming,
                   std::optional<ForwardedRequest> forwarded);
    void onSignal();
    /// Logs if the process was frozen or late since the last call, and lists the store again after
    /// a freeze.
    void detectPause(TimePoint now);
    /// Logs if the event loop was late since the last call.
    void reportLateness(TimePoint now);
    void tick();
    void updateReadiness();
    void followStore();
    void applyRouting(const std::vector<StoreObject> &items);
    /// Applies the store's list of upstreams, unless other routers have already sent a newer state.
    void applyReplicaList(const std::vector<StoreObject> &items, TimePoint keepUntil);
    void applyReplicaObjects(const std::vector<StoreObject> &items, UpdateScope scope,
                             TimePoint keepUntil);
    void applyReplicaEvents(const std::vector<ReplicaEvent> &events);
    void applyEvacuationObjects(const std::vector<StoreObject> &items, UpdateScope scope);
    void updateWatchRole();
    void registerRouter();
    void discoverRouters();
    void updateStoreConnection();
    void updateVersionRecords();
    /// Records that the list of upstreams was complete at \a at.
    void recordReplicasConfirmed(TimePoint at);
    /// Fetches newer upstreams and a newer configuration from other routers, each in a call of its
    /// own.
    void fetchStoreView();
    void callStoreView(StoreViewFetch &fetch, const Endpoint &router, const StoreViewQuery &query,
                       Milliseconds idleTimeout);
    /// Lists again if other routers know a newer state, or if none was confirmed recently.
    void checkFreshness(TimePoint now);
    /// Lists again if other routers have known a newer state than this one for some time.
    void checkLag(TimePoint now);
    void applyStoreView(const Endpoint &from, const StoreViewQuery &query, const CallReply &reply);
    void finishStopIfDrained();
    /// Ends the requests that still run.
    void abortRunning();
    /// Applies the settings file again if its text has changed.
    /// \param isRequested whether a signal requested it, which is then logged in any case
    void reloadSettings(bool isRequested);
    [[nodiscard]] bool isReady() const;
    /// \returns whether new streams are admitted, as far as the confirmation of origins decides it.
    [[nodiscard]] bool mayBeginStreams() const;

    asio::io_context context;
    GatewayState state;
    SettingsSource settingsSource;
    /// Text of the settings file when it was last read.
    std::string settingsText;
    TimePoint settingsReadAt;
    LogWriter logWriter;
    ConnectionAcceptor callerAcceptor;
    ConnectionAcceptor readinessAcceptor;
    ConnectionAcceptor controlAcceptor;
    asio::signal_set signals;
    asio::steady_timer timer;
    PerformanceLogger performanceLogger;
    FleetGossip fleet;
    DataCentreMonitor dataCentreMonitor;
    StoreFollower routingFollower;
    StoreFollower replicaFollower;
    StoreFollower evacuationFollower;
    SequentialHttpClient registrationClient;
    StoreViewFetch upstreamFetch;
    StoreViewFetch configFetch;
    TrialStore trialStore;
    VersionConfirmer versionConfirmer;
    VersionRecorder versionRecorder;
    ConnectionAcceptor peerAcceptor;
    CallerHandlers callerHandlers;
    CallerHandlers internalHandlers;
    CallerHandlers peerHandlers;
    std::uint64_t nextCallerId = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callers;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestHandler>> exchanges;
    bool wasReady = false;
    PauseDetector pauseDetector;
    /// When the next tick is due; nothing before the first one.
    std::optional<TimePoint> tickDue;
    /// When a message last arrived from a router that is connected to the store.
    TimePoint watcherLastSeen;
    TimePoint startedAt;
    bool isRegistered = false;
    StoreViewLimiter storeViewLimiter;
    /// Since when other routers know more than this router's own watches have reported.
    std::optional<TimePoint> laggingSince;
    /// When the list of upstreams was last known to be complete.
    std::optional<TimePoint> replicasConfirmedAt;
    bool isRunningAborted = false;
    bool wasDrained = false;
};

} // namespace plantainswitch::gateway
