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

/// Router processes between callers, upstreams and a store that are played here, all on loopback,
/// with links between them that can be harmed.
class Soak
{
public:
    /// \param program path of plantaind
    /// \param directory where settings and logs are written
    Soak(const SoakOptions &options, std::vector<FaultStep> plan, std::string program,
         std::filesystem::path directory);
    ~Soak();

    /// Plays the whole plan and the calm after it. \returns all that was seen.
    const SoakHistory &run();

private:
    struct Router
    {
        Endpoint callers;
        std::unique_ptr<FaultyLink> storeLink;
        std::unique_ptr<RouterProcess> process;
        /// It was told to end, or killed, by the soak.
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
    void registerUpstream(std::size_t slot, bool isLeaving);
    void injectFault(const FaultStep &step);
    void injectRouterFault(const FaultStep &step, std::size_t number);
    void injectUpstreamFault(const FaultStep &step, std::size_t slot);
    void injectLinkFault(const FaultStep &step, std::size_t slot);
    void injectStoreFault(const FaultStep &step, std::size_t router);
    void applyConfigOrCallStep(const FaultStep &step);
    /// Writes the configuration anew, with one more route or one key less.
    void editConfig(std::size_t choice, bool addsRoute);
    void killRouter(std::size_t number, Milliseconds down);
    void stopRouter(std::size_t number);
    void restartRouter(std::size_t number);
    void expireRegistrations(const FaultStep &step);
    /// Ends an upstream as a crash does: its address refuses connections until it is back.
    void crashUpstream(std::size_t slot, Milliseconds down);
    void drainUpstream(std::size_t slot);
    void superviseRouters();
    void runAfter(Milliseconds delay, std::function<void()> work);
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
    SoakHistory history;
    CallerEnvironment environment;
    std::uint64_t version = 1;
    std::unique_ptr<SoakStore> store;
    std::vector<Router> routers;
    std::vector<UpstreamNode> upstreams;
    /// Upstreams that take work, by their numbers in slots.
    std::vector<std::size_t> activeUpstreams;
    std::unique_ptr<SoakCallers> callers;
    bool isFinished = false;
};

} // namespace plantainswitch::soak
