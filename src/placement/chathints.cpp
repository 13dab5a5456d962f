#include "plantainswitch/placement/chathints.h"

#include <algorithm>

#include "plantainswitch/placement/coordinator.h"
#include "plantainswitch/placement/plan.h"

namespace plantainswitch {

namespace {

/// Appends hints on the last of \a chats, up to \a datagrams messages, and removes these chats.
void takeLast(std::vector<ChatHints> &result, std::vector<std::uint64_t> &chats,
              std::size_t datagrams, bool moved, ShardId shard, const ChatAffinityCache &memory)
{
    for (std::size_t count = 0; count < datagrams && !chats.empty(); ++count) {
        ChatHints hints{shard, moved, {}};
        while (!chats.empty() && hints.chats.size() < maxChatsPerHintMessage) {
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

std::vector<std::uint64_t> olderChats(const ChatAffinityCache &memory)
{
    std::vector<std::uint64_t> result = memory.mostRecent(maxHandedOverChats);
    std::reverse(result.begin(), result.end());
    return result;
}

} // namespace

void recordMovedChat(HintOutbox &outbox, std::uint64_t chat)
{
    std::erase(outbox.movedChats, chat);
    outbox.movedChats.push_back(chat);
    if (outbox.movedChats.size() > maxPendingHints) {
        outbox.movedChats.erase(outbox.movedChats.begin());
    }
}

void recordPeerCoordinator(HintOutbox &outbox, const Endpoint &from, TimePoint now)
{
    std::erase_if(outbox.peerCoordinators,
                  [now](const auto &each) { return now - each.second >= summaryLifetime; });
    if (outbox.peerCoordinators.contains(from)
        || outbox.peerCoordinators.size() < maxPeerCoordinators) {
        outbox.peerCoordinators[from] = now;
    }
}

std::vector<Endpoint> hintTargets(const HintOutbox &outbox, const Shard &shard,
                                  const std::vector<Heartbeat> &active, const Endpoint &self,
                                  TimePoint now)
{
    std::vector<Endpoint> result;
    for (const Heartbeat &member : coordinatorsOf(shard, active)) {
        if (member.datagramEndpoint != self) {
            result.push_back(member.datagramEndpoint);
            break;
        }
    }
    for (const auto &[teller, heard] : outbox.peerCoordinators) {
        const bool isKnown = std::find(result.begin(), result.end(), teller) != result.end();
        if (now - heard < summaryLifetime && teller != self && !isKnown) {
            result.push_back(teller);
        }
    }
    return result;
}

std::vector<ChatHints> takeNextHints(HintOutbox &outbox, ShardId shard,
                                     const ChatAffinityCache &memory,
                                     const std::vector<Endpoint> &targets)
{
    const bool hasNew =
        std::any_of(targets.begin(), targets.end(), [&outbox](const Endpoint &target) {
            return std::find(outbox.lastTargets.begin(), outbox.lastTargets.end(), target)
                   == outbox.lastTargets.end();
        });
    if (hasNew) {
        outbox.backlog = olderChats(memory);
    }
    outbox.lastTargets = targets;
    std::vector<ChatHints> result;
    takeLast(result, outbox.movedChats, 1, true, shard, memory);
    takeLast(result, outbox.backlog, handOverDatagramsPerSecond, false, shard, memory);
    return result;
}

std::vector<ChatHints> allHints(ShardId shard, const ChatAffinityCache &memory)
{
    std::vector<ChatHints> result;
    std::vector<std::uint64_t> chats = olderChats(memory);
    takeLast(result, chats, maxHandedOverChats, false, shard, memory);
    return result;
}

void applyHints(ChatAffinityCache &memory, const ChatHints &hints, std::size_t capacity)
{
    for (const ChatHint &hint : hints.chats) {
        // A local grant is newer than another coordinator's older knowledge. Otherwise a chat would
        // return to an engine whose cache holds less of it.
        if (hints.moved || !memory.peek(hint.chat)) {
            memory.record(hint.chat, hint.upstream, capacity);
        }
    }
}

} // namespace plantainswitch
