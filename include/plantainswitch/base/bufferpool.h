#pragma once

#include <cstddef>
#include <utility>

namespace plantainswitch {

/// Bytes that each buffer may hold, whatever the others hold.
inline constexpr std::size_t bufferReserve = std::size_t{16} << 10;

/// Shares a limited amount of memory among buffers by dynamic thresholds: beyond its reserve, a
/// buffer may hold as much as then remains free. Buffers that grow without end so stop each other
/// early, and leave room for the others.
class BufferPool
{
public:
    /// \param capacity bytes of all buffers together, beyond their reserves
    explicit BufferPool(std::size_t capacity) noexcept
        : capacity(capacity)
    {}

    /// Changes the size of a buffer from \a before to \a after bytes.
    /// \returns false if it may not grow so far; its size is unchanged then.
    [[nodiscard]] bool resize(std::size_t before, std::size_t after) noexcept;
    /// \returns the bytes of all buffers beyond their reserves.
    [[nodiscard]] std::size_t used() const noexcept { return this->usedBytes; }

private:
    std::size_t capacity;
    std::size_t usedBytes = 0;
};

/// The size of one buffer of a pool, returned when it is destroyed. Moves with what is buffered.
class BufferShare
{
public:
    explicit BufferShare(BufferPool &pool) noexcept
        : pool(&pool)
    {}
    ~BufferShare() { this->clear(); }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;
    BufferShare(BufferShare &&other) noexcept
        : pool(other.pool)
        , size(std::exchange(other.size, 0))
    {}
    BufferShare &operator=(BufferShare &&other) noexcept;

    /// \returns false if the buffer may not grow to \a size bytes.
    [[nodiscard]] bool resize(std::size_t size) noexcept;
    void clear() noexcept { static_cast<void>(this->resize(0)); }

private:
    BufferPool *pool;
    std::size_t size = 0;
};

} // namespace plantainswitch
