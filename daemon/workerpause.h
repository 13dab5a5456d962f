#pragma once

#include <cstdint>
#include <memory>

#include <asio/io_context.hpp>

namespace plantainswitch {

/// Blocks all workers of an io_context, as the pause of a VM does, for tests of failures.
class WorkerPause
{
public:
    /// Blocks the \a workers that run \a context; returns once all of them are blocked.
    void begin(asio::io_context &context, std::uint32_t workers);
    /// Lets the workers go on; does nothing when none are blocked.
    void end();

private:
    struct Gate;

    std::shared_ptr<Gate> gate;
};

} // namespace plantainswitch
