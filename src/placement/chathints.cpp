#include "plantainswitch/placement/chathints.h"

#include <algorithm>

#include "plantainswitch/placement/coordinator.h"
#include "plantainswitch/placement/plan.h"

namespace plantainswitch {

namespace {

/// Appends the hints on up to \a datagrams of the last of \a chats, and removes these from it.
void takeLast(std::vector<ChatHints> &result, std::vector<std::uint64_t> &chats,
              std::size_t datagrams, bool moved, ShardId shard, const ChatMemory &memory)
{
    for (std::size_t count = 0; count < datagrams && !chats.empty(); ++count) {
        ChatHints hints{shard, moved, {}};
        while (!chats.empty() && hints.chats.size() < chatsInHints) {
            if (const auto place = memory.peek(chats.back())) {
                hints.chats.push_back({chats.back(), place->latest});
            }
            chats.pop_back();
        }
        if (!hints.chats.empty()) {
            result.push_back(std::move(hints));
        }
    }
}

std::vector<std::uint64_t> olderChats(const ChatMemory &memory)
{
    std::vector<std::uint64_t> result = memory.recent(handedOverChats);
    std::reverse(result.begin(), result.end());
    return result;
}

} // namespace

void noteMoved(HintOutbox &outbox, std::uint64_t chat)
{
    std::erase(outbox.moved, chat);
    outbox.moved.push_back(chat);
    if (outbox.moved.size() > mostWaitingHints) {
        outbox.moved.erase(outbox.moved.begin());
    }
}

void noteTeller(HintOutbox &outbox, const Endpoint &from, TimePoint now)
{
    std::erase_if(outbox.tellers,
                  [now](const auto &each) { return now - each.second >= poolPartLife; });
    if (outbox.tellers.contains(from) || outbox.tellers.size() < mostTellers) {
        outbox.tellers[from] = now;
    }
}

std::vector<Endpoint> hintTargets(const HintOutbox &outbox, const Shard &shard,
                                  const std::vector<Heartbeat> &active, const Endpoint &self,
                                  TimePoint now)
{
    std::vector<Endpoint> result;
    for (const Heartbeat &member : keepersOf(shard, active)) {
        if (member.datagrams != self) {
            result.push_back(member.datagrams);
            break;
        }
    }
    for (const auto &[teller, heard] : outbox.tellers) {
        const bool isKnown = std::find(result.begin(), result.end(), teller) != result.end();
        if (now - heard < poolPartLife && teller != self && !isKnown) {
            result.push_back(teller);
        }
    }
    return result;
}

std::vector<ChatHints> nextHints(HintOutbox &outbox, ShardId shard, const ChatMemory &memory,
                                 const std::vector<Endpoint> &targets)
{
    const bool hasNew =
        std::any_of(targets.begin(), targets.end(), [&outbox](const Endpoint &target) {
            return std::find(outbox.told.begin(), outbox.told.end(), target) == outbox.told.end();
        });
    if (hasNew) {
        outbox.older = olderChats(memory);
    }
    outbox.told = targets;
    std::vector<ChatHints> result;
    takeLast(result, outbox.moved, 1, true, shard, memory);
    takeLast(result, outbox.older, handOverDatagrams, false, shard, memory);
    return result;
}

std::vector<ChatHints> allHints(ShardId shard, const ChatMemory &memory)
{
    std::vector<ChatHints> result;
    std::vector<std::uint64_t> chats = olderChats(memory);
    takeLast(result, chats, handedOverChats, false, shard, memory);
    return result;
}

void applyHints(ChatMemory &memory, const ChatHints &hints, std::size_t capacity)
{
    for (const ChatHint &hint : hints.chats) {
        // What was granted here since is newer than another keeper's old knowledge; without this
        // a chat would go back to an engine whose cache has less of it.
        if (hints.moved || !memory.peek(hint.chat)) {
            memory.keep(hint.chat, hint.upstream, capacity);
        }
    }
}

} // namespace plantainswitch
