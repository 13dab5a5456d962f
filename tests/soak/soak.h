#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "callers.h"
#include "link.h"
#include "plan.h"
#include "process.h"
#include "store.h"
#include "upstream.h"

namespace plantainswitch::soak {

/// Runs router processes between simulated callers, upstreams and a store, all on loopback, and
/// injects faults into them and the links between them.
class Soak
{
public:
    /// \param program path of plantaind
    /// \param directory where settings and logs are written
    Soak(const SoakOptions &options, std::vector<FaultStep> plan, std::string program,
         std::filesystem::path directory);
    ~Soak();

    /// Runs the whole plan and the time without faults after it. \returns everything observed.
    const SoakHistory &run();

private:
    struct Router
    {
        Endpoint callers;
        std::unique_ptr<FaultyLink> storeLink;
        std::unique_ptr<RouterProcess> process;
        /// The soak has killed it or asked it to stop.
        bool isExitExpected = false;
        bool isStopping = false;
    };

    struct UpstreamNode
    {
        std::unique_ptr<SoakUpstream> upstream;
        std::unique_ptr<FaultyLink> link;
    };

    void addRouter(std::size_t number);
    void addUpstream();
    void writeConfig();
    void registerUpstream(std::size_t index, bool isDraining);
    void injectFault(const FaultStep &step);
    void injectRouterFault(const FaultStep &step, std::size_t number);
    void injectUpstreamFault(const FaultStep &step, std::size_t index);
    void injectLinkFault(const FaultStep &step, std::size_t index);
    void injectStoreFault(const FaultStep &step, std::size_t router);
    void applyConfigOrCallStep(const FaultStep &step);
    /// Writes a new configuration version with one route added or one API key revoked. \a choice
    /// selects the size of the version step.
    void editConfig(std::size_t choice, bool addRoute);
    void killRouter(std::size_t number, Milliseconds downtime);
    void stopRouter(std::size_t number);
    void restartRouter(std::size_t number);
    /// Makes the store unavailable and removes all upstream entries, as when their leases expire
    /// during an outage; the upstreams register again some time after it.
    void expireRegistrations(const FaultStep &step);
    /// Ends an upstream as a crash does: its address refuses connections for \a downtime.
    void crashUpstream(std::size_t index, Milliseconds downtime);
    /// Registers a replacement, marks the upstream as draining and later removes it.
    /// Lets the upstream announce that it drains, and leave some time later.
    /// \param isReported whether its entry in the store says so at once; otherwise the entry is
    /// removed later without notice
    void drainUpstream(std::size_t index, bool isReported);
    /// Records that responses of an upstream may be lost on their way from now on.
    void recordLossyLink(std::size_t index, Milliseconds duration);
    void superviseRouters();
    void runAfter(Milliseconds delay, std::function<void()> handler);
    void recordRouterFault(std::size_t number, SoakTime from, SoakTime to);
    [[nodiscard]] Endpoint endpointOf(std::size_t host, std::uint16_t port) const;
    [[nodiscard]] SoakTime now() const;

    SoakOptions options;
    std::vector<FaultStep> plan;
    std::string program;
    std::filesystem::path directory;
    asio::io_context context;
    SystemClock clock;
    TimePoint startTime;
    /// When superviseRouters() last ran.
    SoakTime supervisedAt{0};
    SoakHistory history;
    CallerEnvironment environment;
    std::uint64_t version = 1;
    std::unique_ptr<SoakStore> store;
    std::vector<Router> routers;
    std::vector<UpstreamNode> upstreams;
    /// Indexes in upstreams of those that aren't draining.
    std::vector<std::size_t> activeUpstreams;
    std::unique_ptr<SoakCallers> callers;
    bool isFinished = false;
};

} // namespace plantainswitch::soak
