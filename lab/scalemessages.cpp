#include "scale.h"

#include "peercodec.h"
#include "scaleobjects.h"

namespace plantainswitch::lab {

namespace {

std::size_t encodedSize(const PeerBody &body)
{
    constexpr std::uint64_t sender = 0x1234'5678'9abc'def0ULL;
    return encode({sender, body}).size();
}

} // namespace

std::vector<MessageSize> messageSizes()
{
    constexpr std::uint32_t askId = 1'000'000;
    const Shard shard{modelName, placeName, 3};
    const UpstreamId upstream = upstreamIdOf("engine-0001");
    const std::uint64_t chat = hashOf("workspace/chat");
    const std::uint64_t content = hashOf("body");
    SlotRelease release{shardIdOf(shard), {askId}};
    SwimMessage swim;
    swim.sender = heartbeatOf(1);
    const SlotRequest ask{askId, shard, chat, content, {}};
    SlotRequest waiting = ask;
    waiting.waitMilliseconds = 2000;
    waiting.workspace = hashOf("workspace");
    waiting.weight = 4;
    waiting.priority = 5;
    std::vector<MessageSize> sizes{
        {"swim-ping", encodedSize(swim)},
        {"slot-ask", encodedSize(ask)},
        {"slot-ask-that-waits", encodedSize(waiting)},
        {"slot-reply", encodedSize(SlotReply{askId, SlotVerdict::Granted, upstream})},
        {"slot-release-of-1", encodedSize(release)}};
    constexpr std::size_t severalReleases = 8;
    release.requestIds.assign(severalReleases, askId);
    sizes.push_back({"slot-release-of-8", encodedSize(release)});
    swim.updates.assign(SwimSettings{}.maxUpdatesPerMessage, {heartbeatOf(2), MemberState::Alive});
    sizes.push_back({"swim-ping-with-8-rumours", encodedSize(swim)});
    const Claim claim{{content, chat}, upstream, upstream, content};
    sizes.push_back({"claim-ask", encodedSize(ClaimRequest{claim, 1'790'000'000'000})});
    sizes.push_back(
        {"claim-reply", encodedSize(ClaimReply{claim.nonce, ClaimVerdict::Granted, {}})});
    sizes.push_back({"claim-release", encodedSize(ClaimRelease{claim.id, claim.nonce})});
    const LimitUse use{waiting.workspace, 12.5, 100, 20.0, 200};
    const LimitShare share{waiting.workspace, 20.0, 200};
    sizes.push_back({"limit-report-of-1", encodedSize(LimitReport{1, {use}})});
    sizes.push_back({"limit-shares-of-1", encodedSize(LimitShares{1, {share}})});
    const Entry workspace = workspaceOf(1, 1);
    sizes.push_back({"workspace-entry-json", toJson(*workspace.body).dump().size()});
    return sizes;
}

} // namespace plantainswitch::lab
