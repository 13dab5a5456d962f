#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "plantainswitch/observe/event.h"

namespace plantainswitch {

/// Bounds on log lines that wait to be written.
struct LineBufferLimits
{
    /// Bytes above which lines below warnings are dropped.
    std::size_t maxOrdinaryBytes = 192 << 10;
    /// Bytes above which all lines are dropped. A reader of standard output that stands still
    /// must cost neither memory nor a request.
    std::size_t maxBytes = 256 << 10;
};

/// Log lines on their way to standard output, bounded: ordinary ones are dropped first.
class LineBuffer
{
public:
    explicit LineBuffer(LineBufferLimits limits = {})
        : limits(limits)
    {}

    /// Takes a line. \returns false when it was dropped.
    bool push(Severity severity, std::string_view line);
    /// \returns the bytes to be written next.
    [[nodiscard]] std::string_view pending() const noexcept;
    /// Forgets \a bytes that were written.
    void consume(std::size_t bytes);
    /// \returns the lines dropped since this was last asked.
    [[nodiscard]] std::uint64_t takeDropped() noexcept;

private:
    LineBufferLimits limits;
    std::string bytes;
    std::size_t begin = 0;
    std::uint64_t dropped = 0;
};

} // namespace plantainswitch
