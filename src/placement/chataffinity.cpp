#include "plantainswitch/placement/chataffinity.h"

#include <algorithm>

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

std::optional<ChatPlace> ChatMemory::peek(std::uint64_t chat) const
{
    const auto found = this->places.find(chat);
    return found == this->places.end() ? std::nullopt : std::optional<ChatPlace>(*found->second);
}

std::vector<std::uint64_t> ChatMemory::recent(std::size_t most) const
{
    std::vector<std::uint64_t> result;
    result.reserve(std::min(most, this->order.size()));
    for (const ChatPlace &place : this->order) {
        if (result.size() == most) {
            break;
        }
        result.push_back(place.chat);
    }
    return result;
}

bool ChatMemory::keep(std::uint64_t chat, UpstreamId upstream, std::size_t capacity)
{
    const auto found = this->places.find(chat);
    if (found != this->places.end()) {
        ChatPlace &known = *found->second;
        const bool hasMoved = known.latest != upstream;
        if (hasMoved) {
            known.before = known.latest;
            known.latest = upstream;
        }
        this->order.splice(this->order.begin(), this->order, found->second);
        return hasMoved;
    }
    if (capacity == 0) {
        return false;
    }
    this->order.push_front({chat, upstream, 0});
    this->places[chat] = this->order.begin();
    while (this->order.size() > capacity) {
        this->places.erase(this->order.back().chat);
        this->order.pop_back();
    }
    return true;
}

} // namespace plantainswitch
