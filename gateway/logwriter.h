#pragma once

// Included before Asio. Asio detects features of the standard library that are only declared by one
// of its headers, and would otherwise choose another way to free memory here than in files that
// include that header.
#include <cstddef>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "plantainswitch/observe/linebuffer.h"

namespace plantainswitch::gateway {

/// Writes log lines to standard output in batches, without ever blocking on the reader.
class LogWriter
{
public:
    explicit LogWriter(asio::io_context &context);

    /// Queues one line. If the reader is too slow, lines are dropped, those below warnings first,
    /// and their number is logged.
    void append(Severity severity, std::string_view line);
    /// Writes as much as possible without blocking.
    void flush();

private:
    void scheduleFlush();

    asio::steady_timer timer;
    LineBuffer lines;
    bool isFlushScheduled = false;
};

} // namespace plantainswitch::gateway
