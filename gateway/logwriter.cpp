#include "logwriter.h"

#include <fcntl.h>
#include <unistd.h>

namespace plantainswitch::gateway {

namespace {

/// Lines within this interval are written together, to save system calls.
constexpr std::chrono::milliseconds flushInterval{100};
/// Size of the buffered lines at which they are written at once.
constexpr std::size_t flushThresholdBytes = 32 << 10;

} // namespace

LogWriter::LogWriter(asio::io_context &context)
    : timer(context)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        // If this fails, as for some files, writes do not block either.
        static_cast<void>(fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
    }
}

void LogWriter::append(Severity severity, std::string_view line)
{
    this->lines.push(severity, line);
    if (this->lines.pending().size() >= flushThresholdBytes) {
        this->flush();
        return;
    }
    this->scheduleFlush();
}

void LogWriter::scheduleFlush()
{
    if (this->isFlushScheduled) {
        return;
    }
    this->isFlushScheduled = true;
    this->timer.expires_after(flushInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        this->isFlushScheduled = false;
        if (!error) {
            this->flush();
        }
    });
}

void LogWriter::flush()
{
    const std::string_view pending = this->lines.pending();
    if (!pending.empty()) {
        const ssize_t count = write(STDOUT_FILENO, pending.data(), pending.size());
        if (count > 0) {
            this->lines.consume(static_cast<std::size_t>(count));
        }
    }
    const std::uint64_t dropped = this->lines.takeDropped();
    if (dropped > 0) {
        logEvent(Event::LogDropped, {{"count", std::to_string(dropped)}});
    }
    if (!this->lines.pending().empty()) {
        this->scheduleFlush();
    }
}

} // namespace plantainswitch::gateway
