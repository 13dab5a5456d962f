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
    void open();
    /// Serves until a stop has ended. Opens first unless that was done.
    void run();
    /// Runs \a work on the loop's thread; the only call that other threads may make.
    void post(std::function<void()> work);
    /// Ends at once: what runs is cut.
    void end();
    /// \returns the address at which callers are served, once open.
    [[nodiscard]] Endpoint callersAt() const;
    /// \returns the address at which other routers are heard, once run.
    [[nodiscard]] Endpoint datagramsAt() const { return this->fleet.localEndpoint(); }
    /// \returns the address at which the balancer asks, once open.
    [[nodiscard]] Endpoint readinessAt() const;
    /// Begins a planned stop: not ready at once, what runs is finished, what comes is served
    /// until callers know.
    void stop();

    [[nodiscard]] GatewayState &shared() noexcept { return this->state; }

private:
    using Acceptor = asio::ip::tcp::acceptor;

    void listen(Acceptor &acceptor, const Endpoint &endpoint);
    void acceptCallers();
    void acceptPages(Acceptor &acceptor);
    void onPage(const std::shared_ptr<CallerConnection> &caller, const IncomingRequest &incoming);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming);
    void onSignal();
    /// Tells of a time in which this process stood still.
    void notePause(TimePoint now);
    void tick();
    void watchReadiness();
    void followStore();
    void takeRouting(const std::vector<StoreItem> &items);
    /// Takes the store's list of upstreams, unless other routers already know more.
    void takeReplicaList(const std::vector<StoreItem> &items, TimePoint keepUntil);
    void takeReplicas(const std::vector<StoreItem> &items, EntryScope scope, TimePoint keepUntil);
    void applyReplicas(const std::vector<ReplicaEvent> &events);
    void decideWatching();
    void announce();
    void findRouters();
    void trackStore();
    void catchUp();
    /// Lists again what other routers know a newer state of, or what nobody has confirmed lately.
    void checkFreshness(TimePoint now);
    /// Lists again if other routers have known more than this one for a while.
    void checkBehind(TimePoint now);
    void takeCatchUp(const Endpoint &from, const ViewQuestion &question, const PlainReply &reply);
    void endStopIfIdle();
    /// Takes the settings file again if its text has changed.
    void reload(bool wasAsked);
    [[nodiscard]] bool isReady() const noexcept;

    asio::io_context context;
    GatewayState state;
    SettingsSource source;
    /// The settings file as it was read last.
    std::string settingsText;
    TimePoint settingsReadAt;
    LogWriter log;
    Acceptor callerAcceptor;
    Acceptor readinessAcceptor;
    Acceptor controlAcceptor;
    asio::signal_set signals;
    asio::steady_timer timer;
    FigureLog figureLog;
    FleetLink fleet;
    DataCentreLinks dataCentres;
    StoreFollower routing;
    StoreFollower replicas;
    PlainClient announcer;
    PlainClient catchUpClient;
    Acceptor peerAcceptor;
    CallerEvents callerEvents;
    CallerEvents pageEvents;
    std::uint64_t nextCaller = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> callers;
    std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges;
    bool wasReady = false;
    PauseWatch pauses;
    /// When a router that the store answers was last heard.
    TimePoint watcherLastSeen;
    TimePoint startedAt;
    bool announced = false;
    ViewHandout viewHandout;
    /// Since when other routers know more than this one's own watches have told.
    std::optional<TimePoint> behindSince;
    TimePoint stopBegan;
    bool stopIdle = false;
};

} // namespace plantainswitch::gateway
