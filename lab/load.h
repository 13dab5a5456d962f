#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "deployment.h"

namespace plantainswitch::lab {

/// How much of what is sent.
struct LoadOptions
{
    double requestsPerSecond = 60;
    std::chrono::seconds duration{10};
    std::uint32_t chatsPerWorkspace = 40;
    /// Share of the requests that are non-idempotent calls of the plain service.
    double orderShare = 0.05;
    std::uint32_t answerTokens = 24;
    std::uint64_t seed = 1;
};

/// Sends returning chats of several workspaces to the routers in turn and checks that each
/// answer is whole and the caller's own.
class Load
{
public:
    Load(asio::io_context &context, Deployment deployment, LoadOptions options);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// \param done runs once when the last answer has come
    void start(std::function<void()> done);
    /// \returns the report; "broken" counts the answers that broke a promise.
    [[nodiscard]] nlohmann::ordered_json report() const;
    /// \returns the number of answers that were wrong, foreign or falsely complete.
    [[nodiscard]] std::uint64_t broken() const;
    [[nodiscard]] std::uint64_t whole() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace plantainswitch::lab
