#include <catch2/catch.hpp>

#include "peercodec.h"

using namespace plantainswitch;

namespace {

template<typename Body>
bool isCountedAs(ControlKind kind)
{
    return PeerBody(Body{}).index() == static_cast<std::size_t>(kind);
}

} // namespace

TEST_CASE("controlMetrics_sentMessages_countByKindAndInTheSum", "[metrics]")
{
    Metrics metrics;
    metrics.countSent(ControlKind::SlotAsk, 90);
    metrics.countSent(ControlKind::SlotAsk, 62);
    metrics.countSent(ControlKind::Pull, 1000);
    CHECK(metrics.value(Counter::ControlBytesSent) == 1152);
    const std::string page = metrics.render(TimePoint{});
    CHECK(page.find("control_sent_kind_messages_total{kind=\"slot_ask\"} 2\n") != page.npos);
    CHECK(page.find("control_sent_kind_bytes_total{kind=\"slot_ask\"} 152\n") != page.npos);
    CHECK(page.find("control_sent_kind_bytes_total{kind=\"pull\"} 1000\n") != page.npos);
    CHECK(page.find("{kind=\"swim\"}") == page.npos);
}

TEST_CASE("controlMetrics_everyBody_hasTheKindOfItsName", "[metrics]")
{
    CHECK(isCountedAs<SwimMessage>(ControlKind::Swim));
    CHECK(isCountedAs<LeavingNotice>(ControlKind::Leaving));
    CHECK(isCountedAs<SlotRequest>(ControlKind::SlotAsk));
    CHECK(isCountedAs<SlotReply>(ControlKind::SlotReply));
    CHECK(isCountedAs<SlotRelease>(ControlKind::SlotRelease));
    CHECK(isCountedAs<ClaimRequest>(ControlKind::ClaimAsk));
    CHECK(isCountedAs<ClaimReply>(ControlKind::ClaimReply));
    CHECK(isCountedAs<ClaimRelease>(ControlKind::ClaimRelease));
    CHECK(isCountedAs<SuspectUpdate>(ControlKind::SuspectNews));
    CHECK(isCountedAs<LimitReport>(ControlKind::LimitReport));
    CHECK(isCountedAs<LimitShares>(ControlKind::LimitShares));
    CHECK(isCountedAs<SlotDigest>(ControlKind::SlotDigest));
    CHECK(isCountedAs<SlotListRequest>(ControlKind::SlotListAsk));
    CHECK(isCountedAs<SlotList>(ControlKind::SlotList));
    CHECK(isCountedAs<ShardSummary>(ControlKind::ShardSummary));
    CHECK(isCountedAs<ChatHints>(ControlKind::ChatHints));
}
