#include "peercodec.h"

#include <google/protobuf/stubs/logging.h>

#include "wirecodec.h"

namespace plantainswitch {

namespace {

template<typename Body>
std::optional<PeerBody> asBody(std::optional<Body> body)
{
    return body ? std::optional<PeerBody>(std::move(*body)) : std::nullopt;
}

template<typename Body>
std::optional<PeerBody> asBody(Body body)
{
    return PeerBody(std::move(body));
}

std::optional<PeerBody> readBody(const wire::Datagram &datagram)
{
    using codec::read;
    switch (datagram.body_case()) {
    case wire::Datagram::kSwim:
        return asBody(read(datagram.swim()));
    case wire::Datagram::kLeaving:
        return asBody(read(datagram.leaving()));
    case wire::Datagram::kAsk:
        return asBody(read(datagram.ask()));
    case wire::Datagram::kReply:
        return asBody(read(datagram.reply()));
    case wire::Datagram::kRelease:
        return asBody(read(datagram.release()));
    case wire::Datagram::kDigest:
        return asBody(read(datagram.digest()));
    case wire::Datagram::kListAsk:
        return asBody(read(datagram.list_ask()));
    case wire::Datagram::kList:
        return asBody(read(datagram.list()));
    case wire::Datagram::kSummary:
        return asBody(read(datagram.summary()));
    case wire::Datagram::kChatHints:
        return asBody(read(datagram.chat_hints()));
    case wire::Datagram::kClaimAsk:
        return asBody(read(datagram.claim_ask(), datagram.sender()));
    case wire::Datagram::kClaimReply:
        return asBody(read(datagram.claim_reply()));
    case wire::Datagram::kClaimRelease:
        return asBody(read(datagram.claim_release()));
    case wire::Datagram::kSuspectNews:
        return asBody(read(datagram.suspect_news()));
    case wire::Datagram::kLimitReport:
        return asBody(read(datagram.limit_report()));
    case wire::Datagram::kLimitShares:
        return asBody(read(datagram.limit_shares()));
    case wire::Datagram::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    wire::Datagram datagram;
    datagram.set_sender(message.sender);
    std::visit([&datagram](const auto &body) { codec::fill(datagram, body); }, message.body);
    // With long names a few membership updates exceed a datagram. The receiver would reject it as a
    // whole, including the heartbeat, and consider the sender gone. Updates that are left out are
    // sent again.
    while (datagram.ByteSizeLong() > maxDatagramBytes && datagram.swim().updates_size() > 0) {
        datagram.mutable_swim()->mutable_updates()->RemoveLast();
    }
    return datagram.SerializeAsString();
}

std::optional<PeerMessage> decode(std::string_view bytes)
{
    // Disable protobuf's own logging. It writes a line to stderr for each damaged string field, so
    // that a flood of bad datagrams would fill the log; event 302 already reports them.
    static google::protobuf::LogHandler *const previous = google::protobuf::SetLogHandler(nullptr);
    static_cast<void>(previous);
    wire::Datagram datagram;
    if (bytes.size() > maxDatagramBytes
        || !datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    std::optional<PeerBody> body = readBody(datagram);
    if (!body) {
        return std::nullopt;
    }
    return PeerMessage{datagram.sender(), std::move(*body)};
}

} // namespace plantainswitch
