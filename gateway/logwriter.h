#pragma once

// Before Asio: it sees what the standard library has only behind one of its headers, and would free
// memory in another way here than files do that saw it.
#include <cstddef>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "plantainswitch/observe/linebuffer.h"

namespace plantainswitch::gateway {

/// Writes log lines to standard output, several at a time, and never waits for its reader.
class LogWriter
{
public:
    explicit LogWriter(asio::io_context &context);

    void append(Severity severity, std::string_view line);
    /// Writes what can be written now.
    void flush();

private:
    void scheduleFlush();

    asio::steady_timer timer;
    LineBuffer lines;
    bool isFlushScheduled = false;
};

} // namespace plantainswitch::gateway
