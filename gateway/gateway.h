#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "callerconnection.h"
#include "datacentremonitor.h"
#include "fleetgossip.h"
#include "gatewayrequesthandler.h"
#include "gatewaystate.h"
#include "logwriter.h"
#include "performancelogger.h"
#include "plantainswitch/observe/pausedetector.h"
#include "storefollower.h"
#include "storeview.h"

namespace plantainswitch::gateway {

/// \returns the text of the settings file, or nothing when it can't be read.
using SettingsSource = std::function<std::optional<std::string>()>;

/// The router process on one thread: callers, upstreams, store and other routers around one loop.
class Gateway
{
public:
    Gateway(const Clock &clock, const Dialect &dialect, GatewaySettings settings,
            SettingsSource source = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Opens all listening sockets; throws when an address can't be had.
    void openListeners();
    /// Serves until a stop has ended. Opens first unless that was done.
    void run();
    /// Runs \a work on the loop's thread; the only call that other threads may make.
    void post(std::function<void()> work);
    /// Ends at once: what runs is cut.
    void forceStop();
    /// \returns the address at which callers are served, once open.
    [[nodiscard]] Endpoint callerEndpoint() const;
    /// \returns the address at which other routers are heard, once run.
    [[nodiscard]] Endpoint datagramEndpoint() const { return this->fleet.localEndpoint(); }
    /// \returns the address at which the balancer asks, once open.
    [[nodiscard]] Endpoint readinessEndpoint() const;
    /// Begins a planned stop: not ready at once, what runs is finished, what comes is served
    /// until callers know.
    void stop();

    [[nodiscard]] GatewayState &sharedState() noexcept { return this->state; }

private:
    using Acceptor = asio::ip::tcp::acceptor;

    void listen(Acceptor &acceptor, const Endpoint &endpoint);
    void acceptCallers();
    void acceptInternal(Acceptor &acceptor);
    void onInternalRequest(const std::shared_ptr<CallerConnection> &caller,
                           const IncomingRequest &incoming);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming);
    void onSignal();
    /// Tells of a time in which this process stood still.
    void detectPause(TimePoint now);
    void tick();
    void updateReadiness();
    void followStore();
    void applyRouting(const std::vector<StoreObject> &items);
    /// Takes the store's list of upstreams, unless other routers already know more.
    void applyReplicaList(const std::vector<StoreObject> &items, TimePoint keepUntil);
    void applyReplicaObjects(const std::vector<StoreObject> &items, UpdateScope scope,
                             TimePoint keepUntil);
    void applyReplicaEvents(const std::vector<ReplicaEvent> &events);
    void updateWatchRole();
    void registerRouter();
    void discoverRouters();
    void updateStoreConnection();
    void fetchStoreView();
    /// Lists again what other routers know a newer state of, or what nobody has confirmed lately.
    void checkFreshness(TimePoint now);
    /// Lists again if other routers have known more than this one for a while.
    void checkLag(TimePoint now);
    void applyStoreView(const Endpoint &from, const StoreViewQuery &question,
                        const CallReply &reply);
    void finishStopIfDrained();
    /// Takes the settings file again if its text has changed.
    void reloadSettings(bool wasAsked);
    [[nodiscard]] bool isReady() const noexcept;

    asio::io_context context;
    GatewayState state;
    SettingsSource settingsSource;
    /// The settings file as it was read last.
    std::string settingsText;
    TimePoint settingsReadAt;
    LogWriter logWriter;
    Acceptor callerAcceptor;
    Acceptor readinessAcceptor;
    Acceptor controlAcceptor;
    asio::signal_set signals;
    asio::steady_timer timer;
    PerformanceLogger performanceLogger;
    FleetGossip fleet;
    DataCentreMonitor dataCentreMonitor;
    StoreFollower routingFollower;
    StoreFollower replicaFollower;
    SequentialHttpClient registrationClient;
    SequentialHttpClient storeViewClient;
    Acceptor peerAcceptor;
    CallerHandlers callerHandlers;
    CallerHandlers internalHandlers;
    std::uint64_t nextCallerId = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callers;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestHandler>> exchanges;
    bool wasReady = false;
    PauseDetector pauseDetector;
    /// When a router that the store answers was last heard.
    TimePoint watcherLastSeen;
    TimePoint startedAt;
    bool isRegistered = false;
    StoreViewLimiter storeViewLimiter;
    /// Since when other routers know more than this one's own watches have told.
    std::optional<TimePoint> laggingSince;
    TimePoint stopStartedAt;
    bool wasDrained = false;
};

} // namespace plantainswitch::gateway
