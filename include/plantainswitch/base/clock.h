#pragma once

#include <chrono>

namespace plantainswitch {

/// Monotonic time; every decision of the library gets one as `now`.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Source of time, injected so that tests can control it.
class Clock
{
public:
    virtual ~Clock() = default;
    /// \returns the current monotonic time.
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;
    /// \returns the time since the VM started. Unlike now(), it advances while the VM is frozen.
    [[nodiscard]] virtual Duration uptime() const noexcept = 0;
};

/// The system's steady clock.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }
    [[nodiscard]] Duration uptime() const noexcept override;
};

/// A clock that only advance() moves; for tests and the policy bench.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override { return this->current; }
    [[nodiscard]] Duration uptime() const noexcept override
    {
        return this->current.time_since_epoch();
    }
    /// Advances the clock by \a step.
    void advance(Duration step) noexcept { this->current += step; }

private:
    TimePoint current{Seconds{1}};
};

} // namespace plantainswitch
