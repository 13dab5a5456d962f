#include "plantainswitch/base/bufferpool.h"

#include <algorithm>

namespace plantainswitch {

namespace {

std::size_t beyondReserve(std::size_t size) noexcept
{
    return size - std::min(size, bufferReserve);
}

} // namespace

bool BufferPool::resize(std::size_t before, std::size_t after) noexcept
{
    const std::size_t others = this->usedBytes - beyondReserve(before);
    const std::size_t size = beyondReserve(after);
    const std::size_t available = this->capacity - std::min(this->capacity, others);
    if (after > before && size > available / 2) {
        return false;
    }
    this->usedBytes = others + size;
    return true;
}

BufferShare &BufferShare::operator=(BufferShare &&other) noexcept
{
    if (this != &other) {
        this->clear();
        this->pool = other.pool;
        this->size = std::exchange(other.size, 0);
    }
    return *this;
}

bool BufferShare::resize(std::size_t newSize) noexcept
{
    if (!this->pool->resize(this->size, newSize)) {
        return false;
    }
    this->size = newSize;
    return true;
}

} // namespace plantainswitch
