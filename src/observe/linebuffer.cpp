#include "plantainswitch/observe/linebuffer.h"

#include <utility>

namespace plantainswitch {

bool LineBuffer::push(Severity severity, std::string_view line)
{
    const std::size_t pendingBytes = this->bytes.size() - this->begin + line.size();
    const std::size_t limit =
        severity < Severity::Warning ? this->limits.maxOrdinaryBytes : this->limits.maxBytes;
    if (pendingBytes > limit) {
        ++this->dropped;
        return false;
    }
    this->bytes.append(line);
    return true;
}

std::string_view LineBuffer::pending() const noexcept
{
    return std::string_view(this->bytes).substr(this->begin);
}

void LineBuffer::consume(std::size_t count)
{
    this->begin += count;
    if (this->begin == this->bytes.size()) {
        this->bytes.clear();
        this->begin = 0;
    } else if (this->begin > this->limits.maxBytes) {
        this->bytes.erase(0, this->begin);
        this->begin = 0;
    }
}

std::uint64_t LineBuffer::takeDropped() noexcept
{
    return std::exchange(this->dropped, 0);
}

} // namespace plantainswitch
