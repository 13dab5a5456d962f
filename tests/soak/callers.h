#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "history.h"
#include "upstreamconnection.h"

namespace plantainswitch::soak {

/// A router as callers know it.
struct RouterTarget
{
    Endpoint endpoint;
    std::size_t incarnation = 0;
};

/// What callers may ask for at the moment.
struct CallerEnvironment
{
    std::vector<RouterTarget> routers;
    /// Versions that brought a route.
    std::vector<std::uint64_t> routeVersions;
    /// The first one is never taken away.
    std::vector<std::string> keys;
};

/// Many callers, each with one call at a time on a connection that it keeps for a while.
class SoakCallers
{
public:
    SoakCallers(asio::io_context &context, const Clock &clock, const CallerEnvironment &world,
                std::uint64_t seed, SoakHistory &history, TimePoint begin);

    void start(std::size_t count);
    /// Sends the same request \a times over, one after the other, which crashes whoever runs it.
    void startPoisonCaller(const std::string &poison, std::size_t times);
    /// Lets running calls end and begins no more.
    void stop() { this->isStopped = true; }
    [[nodiscard]] bool isIdle() const noexcept { return this->activeCalls == 0; }

private:
    struct Caller;

    void scheduleCall(const std::shared_ptr<Caller> &caller);
    void startCall(const std::shared_ptr<Caller> &caller);
    void send(const std::shared_ptr<Caller> &caller);
    void finish(const std::shared_ptr<Caller> &caller, CallOutcome end);
    [[nodiscard]] CallRecord makeCall(const std::shared_ptr<Caller> &caller);
    [[nodiscard]] static std::string serialize(const CallRecord &record);
    [[nodiscard]] SoakTime now() const;

    asio::io_context &context;
    const Clock &clock;
    const CallerEnvironment &environment;
    std::mt19937_64 random;
    SoakHistory &history;
    TimePoint startTime;
    std::uint64_t lastAttempt = 0;
    std::size_t activeCalls = 0;
    bool isStopped = false;
};

} // namespace plantainswitch::soak
