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
    Soak(const SoakOptions &options, std::vector<HarmStep> plan, std::string program,
         std::filesystem::path directory);
    ~Soak();

    /// Plays the whole plan and the calm after it. \returns all that was seen.
    const SoakHistory &play();

private:
    struct Router
    {
        Endpoint callers;
        std::unique_ptr<SoakLink> storeLink;
        std::unique_ptr<RouterProcess> process;
        /// It was told to end, or killed, by the soak.
        bool isEndExpected = false;
        bool isStopping = false;
    };

    struct Slot
    {
        std::unique_ptr<SoakUpstream> upstream;
        std::unique_ptr<SoakLink> link;
    };

    void addRouter(std::size_t number);
    void addUpstream();
    void writeConfig();
    void announce(std::size_t slot, bool isLeaving);
    void apply(const HarmStep &step);
    void harmRouter(const HarmStep &step, std::size_t number);
    void harmUpstream(const HarmStep &step, std::size_t slot);
    void harmLink(const HarmStep &step, std::size_t slot);
    void harmStore(const HarmStep &step, std::size_t router);
    void changeConfig(const HarmStep &step);
    /// Writes the configuration anew, with one more route or one key less.
    void edit(std::size_t choice, bool addsRoute);
    void killRouter(std::size_t number, Milliseconds down);
    void stopRouter(std::size_t number);
    void restartRouter(std::size_t number);
    void lapse(const HarmStep &step);
    /// Ends an upstream as a crash does: its address refuses connections until it is back.
    void crash(std::size_t slot, Milliseconds down);
    void leave(std::size_t slot);
    void watchProcesses();
    void after(Milliseconds delay, std::function<void()> work);
    void noteRouterHarm(std::size_t number, SoakTime from, SoakTime to);
    [[nodiscard]] Endpoint at(std::size_t host, std::uint16_t port) const;
    [[nodiscard]] SoakTime now() const;

    SoakOptions options;
    std::vector<HarmStep> plan;
    std::string program;
    std::filesystem::path directory;
    asio::io_context context;
    SystemClock clock;
    TimePoint begin;
    SoakHistory history;
    CallerWorld world;
    std::uint64_t version = 1;
    std::unique_ptr<SoakStore> store;
    std::vector<Router> routers;
    std::vector<Slot> slots;
    /// Upstreams that take work, by their numbers in slots.
    std::vector<std::size_t> serving;
    std::unique_ptr<SoakCallers> callers;
    bool isOver = false;
};

} // namespace plantainswitch::soak
