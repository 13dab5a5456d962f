#include "plantainswitch/placement/chathints.h"

#include <algorithm>

#include "plantainswitch/placement/coordinator.h"
#include "plantainswitch/placement/plan.h"

namespace plantainswitch {

namespace {

/// Appends hints on the last of \a chats, up to \a datagrams messages, and removes these chats.
void takeHintsFromBack(std::vector<ChatHints> &result, std::vector<std::uint64_t> &chats,
                       std::size_t datagrams, bool moved, ShardId shard,
                       const ChatAffinityCache &affinity)
{
    for (std::size_t count = 0; count < datagrams && !chats.empty(); ++count) {
        ChatHints hints{shard, moved, {}};
        while (!chats.empty() && hints.chats.size() < maxChatsPerHintMessage) {
            if (const auto location = affinity.peek(chats.back())) {
                hints.chats.push_back({chats.back(), location->latest});
            }
            chats.pop_back();
        }
        if (!hints.chats.empty()) {
            result.push_back(std::move(hints));
        }
    }
}

std::vector<std::uint64_t> chatsToHandOver(const ChatAffinityCache &affinity)
{
    std::vector<std::uint64_t> result = affinity.mostRecent(maxHandedOverChats);
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

void recordPeerCoordinator(HintOutbox &outbox, const Endpoint &sender, TimePoint now)
{
    std::erase_if(outbox.peerCoordinators,
                  [now](const auto &each) { return now - each.second >= summaryLifetime; });
    if (outbox.peerCoordinators.contains(sender)
        || outbox.peerCoordinators.size() < maxPeerCoordinators) {
        outbox.peerCoordinators[sender] = now;
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
    for (const auto &[coordinator, heardAt] : outbox.peerCoordinators) {
        const bool isListed = std::find(result.begin(), result.end(), coordinator) != result.end();
        if (now - heardAt < summaryLifetime && coordinator != self && !isListed) {
            result.push_back(coordinator);
        }
    }
    return result;
}

std::vector<ChatHints> takeNextHints(HintOutbox &outbox, ShardId shard,
                                     const ChatAffinityCache &affinity,
                                     const std::vector<Endpoint> &targets)
{
    const bool hasNewTarget =
        std::any_of(targets.begin(), targets.end(), [&outbox](const Endpoint &target) {
            return std::find(outbox.lastTargets.begin(), outbox.lastTargets.end(), target)
                   == outbox.lastTargets.end();
        });
    if (hasNewTarget) {
        outbox.backlog = chatsToHandOver(affinity);
    }
    outbox.lastTargets = targets;
    std::vector<ChatHints> result;
    takeHintsFromBack(result, outbox.movedChats, 1, true, shard, affinity);
    takeHintsFromBack(result, outbox.backlog, handOverDatagramsPerSecond, false, shard, affinity);
    return result;
}

std::vector<ChatHints> allHints(ShardId shard, const ChatAffinityCache &affinity)
{
    std::vector<ChatHints> result;
    std::vector<std::uint64_t> chats = chatsToHandOver(affinity);
    takeHintsFromBack(result, chats, maxHandedOverChats, false, shard, affinity);
    return result;
}

void applyHints(ChatAffinityCache &affinity, const ChatHints &hints, std::size_t capacity)
{
    for (const ChatHint &hint : hints.chats) {
        // A local grant is newer than another coordinator's older knowledge. Otherwise a chat would
        // return to an engine whose cache holds less of it.
        if (hints.moved || !affinity.peek(hint.chat)) {
            affinity.record(hint.chat, hint.upstream, capacity);
        }
    }
}

} // namespace plantainswitch
