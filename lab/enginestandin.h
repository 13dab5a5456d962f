#pragma once

#include <memory>

#include "httpserver.h"

#include "enginemodel.h"
#include "plantainswitch/catalogue/entry.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::lab {

/// Stand-in for a model engine over HTTP: the usual chat protocol with streams, a load report,
/// and orders to leave or to crash on a marked request.
///
/// POST /v1/chat/completions, with x-resume-attempt and x-resume-events to go on with a stream
/// whose connection broke; GET /load; PUT /control with {"leaving": bool};
/// GET and PUT /orders.
class EngineStandIn
{
public:
    EngineStandIn(asio::io_context &context, const Vm &vm, EngineSpeed speed);
    ~EngineStandIn();
    EngineStandIn(const EngineStandIn &) = delete;
    EngineStandIn &operator=(const EngineStandIn &) = delete;

    void open();
    /// \returns prompt tokens found in the cache and in all, since the start.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> reuse() const;
    /// \returns the requests running or waiting now.
    [[nodiscard]] std::size_t load() const;
    [[nodiscard]] const Vm &vm() const noexcept;
    void setLeaving(bool leaving);
    /// Breaks the connections of all streams; the engine keeps them for a resume.
    void dropStreams();
    /// \returns how often a marked request crashed it.
    [[nodiscard]] std::uint64_t crashes() const;
    /// Whether orders with an old fencing number are refused; they are by default.
    void setChecksFencing(bool checks);
    [[nodiscard]] EngineSetup setup() const;

    struct State;

private:
    std::shared_ptr<State> state;
    std::unique_ptr<net::HttpServer> server;
};

} // namespace plantainswitch::lab
