#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "callerconnection.h"
#include "history.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::soak {

/// Shares of the requests that an upstream treats badly.
struct UpstreamFaults
{
    /// Answered with a failure of its own.
    double errorShare = 0.0;
    /// Turned away unrun.
    double rejectShare = 0.0;
    /// Run, then the connection is reset without an answer.
    double lostResponseShare = 0.0;
    /// The answer is broken off in its middle.
    double truncatedResponseShare = 0.0;
    /// A second answer, to nobody, comes after the right one.
    double extraResponseShare = 0.0;
    /// How many times longer than usual it works.
    double slowdownFactor = 1.0;
    /// Takes requests and answers none.
    bool isUnresponsive = false;
};

/// A stand-in of an upstream, which notes each run in the soak's history.
class SoakUpstream
{
public:
    SoakUpstream(asio::io_context &context, const Clock &clock, std::string id,
                 const Endpoint &endpoint, std::uint64_t seed, SoakHistory &history,
                 TimePoint begin);

    void setFaults(const UpstreamFaults &newFaults) { this->faults = newFaults; }
    /// \a newCrashed hears when a request has crashed the upstream; it is down from then on.
    void onCrash(std::function<void()> newCrashed) { this->crashHandler = std::move(newCrashed); }
    /// Ends all connections and refuses new ones.
    void crash();
    /// Serves again after a crash.
    void restart();
    [[nodiscard]] const std::string &name() const noexcept { return this->id; }
    /// \returns whether no run is under way.
    [[nodiscard]] bool isIdle() const noexcept { return this->runs.empty(); }

private:
    using Connection = gateway::CallerConnection;

    struct Run
    {
        std::shared_ptr<Connection> connection;
        std::size_t recordIndex = 0;
        std::string attemptId;
        bool isStream = false;
        bool headersSent = false;
        std::size_t nextEvent = 1;
        std::unique_ptr<asio::steady_timer> timer;
        bool truncatesResponse = false;
        bool losesResponse = false;
        bool fails = false;
        bool sendsExtraResponse = false;
    };

    void accept();
    void onRequest(const std::shared_ptr<Connection> &connection,
                   const gateway::IncomingRequest &request);
    void startRun(const std::shared_ptr<Connection> &connection,
                  const gateway::IncomingRequest &request, const std::string &attempt);
    void scheduleStep(std::uint64_t connection);
    void sendResponse(std::uint64_t connection);
    void sendNextEvent(std::uint64_t connection);
    /// Breaks the answer off once what was written has left.
    void truncateResponse(const std::shared_ptr<Connection> &connection);
    void endRun(std::uint64_t connection);
    [[nodiscard]] bool drawChance(double share);
    [[nodiscard]] SoakTime now() const;
    [[nodiscard]] Milliseconds drawWorkTime();

    asio::io_context &context;
    const Clock &clock;
    std::string id;
    Endpoint endpoint;
    std::mt19937_64 random;
    SoakHistory &history;
    TimePoint startTime;
    std::optional<asio::ip::tcp::acceptor> acceptor;
    gateway::CallerHandlers events;
    UpstreamFaults faults;
    std::function<void()> crashHandler;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::uint64_t nextConnection = 1;
    /// By connection.
    std::map<std::uint64_t, Run> runs;
};

} // namespace plantainswitch::soak
