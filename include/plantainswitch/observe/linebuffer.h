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
    /// Bytes above which lines below Warning are dropped.
    std::size_t maxOrdinaryBytes = 192 << 10;
    /// Bytes above which all lines are dropped. A stalled reader of standard output must cost
    /// neither memory nor a request.
    std::size_t maxBytes = 256 << 10;
};

/// Bounded buffer of log lines for standard output; ordinary lines are dropped first.
class LineBuffer
{
public:
    explicit LineBuffer(LineBufferLimits limits = {})
        : limits(limits)
    {}

    /// Appends a line. \returns false when it was dropped.
    bool push(Severity severity, std::string_view line);
    /// \returns the bytes to write next.
    [[nodiscard]] std::string_view pending() const noexcept;
    /// Removes \a bytes that were written.
    void consume(std::size_t bytes);
    /// \returns the number of lines dropped since the last call.
    [[nodiscard]] std::uint64_t takeDropped() noexcept;

private:
    LineBufferLimits limits;
    std::string bytes;
    std::size_t begin = 0;
    std::uint64_t dropped = 0;
};

} // namespace plantainswitch
