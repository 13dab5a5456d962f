#include "plantainswitch/placement/chataffinity.h"

#include <algorithm>

namespace plantainswitch {

std::optional<ChatLocation> ChatAffinityCache::find(std::uint64_t chat)
{
    const auto found = this->locations.find(chat);
    if (found == this->locations.end()) {
        return std::nullopt;
    }
    this->recency.splice(this->recency.begin(), this->recency, found->second);
    return *found->second;
}

std::optional<ChatLocation> ChatAffinityCache::peek(std::uint64_t chat) const
{
    const auto found = this->locations.find(chat);
    return found == this->locations.end() ? std::nullopt
                                          : std::optional<ChatLocation>(*found->second);
}

std::vector<std::uint64_t> ChatAffinityCache::mostRecent(std::size_t maxCount) const
{
    std::vector<std::uint64_t> result;
    result.reserve(std::min(maxCount, this->recency.size()));
    for (const ChatLocation &location : this->recency) {
        if (result.size() == maxCount) {
            break;
        }
        result.push_back(location.chat);
    }
    return result;
}

bool ChatAffinityCache::record(std::uint64_t chat, UpstreamId upstream, std::size_t capacity)
{
    const auto found = this->locations.find(chat);
    if (found != this->locations.end()) {
        ChatLocation &known = *found->second;
        const bool hasMoved = known.latest != upstream;
        if (hasMoved) {
            known.previous = known.latest;
            known.latest = upstream;
        }
        this->recency.splice(this->recency.begin(), this->recency, found->second);
        return hasMoved;
    }
    if (capacity == 0) {
        return false;
    }
    this->recency.push_front({chat, upstream, 0});
    this->locations[chat] = this->recency.begin();
    while (this->recency.size() > capacity) {
        this->locations.erase(this->recency.back().chat);
        this->recency.pop_back();
    }
    return true;
}

} // namespace plantainswitch
