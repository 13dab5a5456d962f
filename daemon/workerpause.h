#pragma once

#include <cstdint>
#include <memory>

#include <asio/io_context.hpp>

namespace plantainswitch {

/// Blocks all worker threads of an io_context, as a paused VM would, for failure tests.
class WorkerPause
{
public:
    /// Blocks the \a workers threads that run \a context. Returns once all of them are blocked.
    void begin(asio::io_context &context, std::uint32_t workers);
    /// Resumes the threads. Does nothing if none is blocked.
    void end();

private:
    struct Gate;

    std::shared_ptr<Gate> gate;
};

} // namespace plantainswitch
