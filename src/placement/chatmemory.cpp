#include "plantainswitch/placement/chatmemory.h"

namespace plantainswitch {

std::optional<ChatPlace> ChatMemory::find(std::uint64_t chat)
{
    const auto found = this->places.find(chat);
    if (found == this->places.end()) {
        return std::nullopt;
    }
    this->order.splice(this->order.begin(), this->order, found->second);
    return *found->second;
}

void ChatMemory::keep(std::uint64_t chat, UpstreamId upstream, std::size_t capacity)
{
    const auto found = this->places.find(chat);
    if (found != this->places.end()) {
        ChatPlace &known = *found->second;
        if (known.latest != upstream) {
            known.before = known.latest;
            known.latest = upstream;
        }
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    if (capacity == 0) {
        return;
    }
    this->order.push_front({chat, upstream, 0});
    this->places[chat] = this->order.begin();
    if (this->order.size() > capacity) {
        this->places.erase(this->order.back().chat);
        this->order.pop_back();
    }
}

} // namespace plantainswitch
