#include <asio/ip/address.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peer.pb.h"
#include "peercodec.h"
#include "platformclient.h"

#include "../src/claims/entrycodec.h"

#include "fuzzing.h"

using namespace plantainswitch;

namespace {

Heartbeat heartbeatOf(std::string id, const Endpoint &datagrams, const Endpoint &calls)
{
    Heartbeat heartbeat;
    heartbeat.id = std::move(id);
    heartbeat.dataCentre = "hall-a";
    heartbeat.datagramEndpoint = datagrams;
    heartbeat.rpcEndpoint = calls;
    heartbeat.incarnation = 5;
    heartbeat.catalogueVersion = 6;
    heartbeat.leaving = true;
    return heartbeat;
}

std::vector<PeerMessage> validMessages()
{
    const Endpoint address{"10.0.0.1", 8082};
    const Shard shard{"model", "hall-a", 3};
    SwimMessage swim;
    swim.kind = SwimKind::PingRequest;
    swim.probe = 9;
    swim.sender = heartbeatOf("r0", address, address);
    swim.target = address;
    swim.updates = {{heartbeatOf("r1", address, address), MemberState::Suspect}};
    return {{1, swim},
            {5, LeavingNotice{}},
            {2, SlotRequest{7, shard, 8, 9, {10, 11}}},
            {3, SlotReply{7, SlotVerdict::Overflow, 12}},
            {4, SlotRelease{13, {14, 15, 16}}},
            {5, ClaimRequest{{{1, 2}, 3, 4, 5}, 6}},
            {6, ClaimReply{4, ClaimVerdict::Taken, {{1, 2}, 3, 4, 5}}},
            {7, ClaimRelease{{1, 2}, 4}},
            {8, LimitReport{9, {{10, 11.5, 12, 13.5, 14}}}},
            {9, LimitShares{9, {{10, 15.5, 16}}}}};
}

void checkAddress(const Endpoint &endpoint)
{
    asio::error_code error;
    static_cast<void>(asio::ip::make_address(endpoint.host, error));
    REQUIRE_FALSE(error);
    REQUIRE(endpoint.port != 0);
}

void checkHeartbeat(const Heartbeat &heartbeat)
{
    checkAddress(heartbeat.datagramEndpoint);
    checkAddress(heartbeat.rpcEndpoint);
    REQUIRE_FALSE(heartbeat.id.empty());
}

} // namespace

TEST_CASE("datagram_validMessage_decodesToTheSame", "[fuzz]")
{
    for (const PeerMessage &message : validMessages()) {
        const std::string bytes = encode(message);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->sender == message.sender);
        CHECK(decoded->body.index() == message.body.index());
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE_METHOD(FuzzFixture, "datagram_damaged_isRefusedOrReadsBackEqual", "[fuzz]")
{
    const std::vector<PeerMessage> samples = validMessages();
    std::size_t accepted = 0;
    constexpr std::size_t rounds = 10 * byteRounds;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto message = decode(this->mutateBytes(encode(samples[round % samples.size()])));
        if (!message) {
            continue;
        }
        ++accepted;
        const std::string once = encode(*message);
        const auto again = decode(once);
        REQUIRE(again);
        REQUIRE(encode(*again) == once);
        if (const auto *swim = std::get_if<SwimMessage>(&message->body)) {
            checkHeartbeat(swim->sender);
            if (swim->kind == SwimKind::PingRequest) {
                checkAddress(swim->target);
            }
            for (const MemberUpdate &update : swim->updates) {
                checkHeartbeat(update.member);
            }
        }
    }
    CHECK(accepted > 0);
}

TEST_CASE("pingRequest_withoutTarget_isRefused", "[fuzz]")
{
    // Guards against a ping request without its target. The probe's empty address can't be parsed
    // as an IP address, and sending to it would end the router.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    swim.sender = heartbeatOf("r0", good, good);
    wire::Datagram request;
    REQUIRE(request.ParseFromString(encode({1, swim})));
    CHECK(decode(request.SerializeAsString()));
    request.mutable_swim()->set_kind(static_cast<std::uint32_t>(SwimKind::PingRequest));
    CHECK_FALSE(decode(request.SerializeAsString()));
}

TEST_CASE("swimMessage_longNames_staysWithinADatagram", "[fuzz]")
{
    // Guards against oversized membership messages. With router names of 200 bytes, eight
    // membership updates and the sender's heartbeat exceed a datagram. If every receiver rejected
    // it, a whole data centre would consider its routers gone.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    constexpr std::size_t longName = 200;
    swim.sender = heartbeatOf(std::string(longName, 'r'), good, good);
    swim.updates.assign(SwimSettings{}.maxUpdatesPerMessage,
                        {heartbeatOf(std::string(longName, 's'), good, good), MemberState::Alive});
    const auto decoded = decode(encode({1, swim}));
    REQUIRE(decoded);
    CHECK(std::get<SwimMessage>(decoded->body).sender.id == swim.sender.id);
}

TEST_CASE("heartbeat_withoutUsableAddress_isRefused", "[fuzz]")
{
    // Guards against a heartbeat with a host name ("ghost") instead of an IP address. Sending to it
    // at the next membership tick would end every router that had received the datagram.
    const Endpoint good{"10.0.0.1", 2};
    SwimMessage swim;
    swim.sender = heartbeatOf("r0", {"ghost", 1}, good);
    CHECK_FALSE(decode(encode({1, swim})));
    swim.sender = heartbeatOf("r0", good, good);
    CHECK(decode(encode({1, swim})));
    swim.kind = SwimKind::PingRequest;
    swim.target = {"ghost", 1};
    CHECK_FALSE(decode(encode({1, swim})));
    swim.kind = SwimKind::Gossip;
    swim.updates = {{heartbeatOf("r1", good, {"ghost", 1}), MemberState::Alive}};
    CHECK_FALSE(decode(encode({1, swim})));
    wire::Datagram wide;
    wire::Heartbeat &from = *wide.mutable_swim()->mutable_from();
    from.set_id("r0");
    for (wire::Endpoint *endpoint : {from.mutable_datagrams(), from.mutable_calls()}) {
        endpoint->set_host("10.0.0.1");
        endpoint->set_port(65'536 + 22);
    }
    CHECK_FALSE(decode(wide.SerializeAsString()));
}

TEST_CASE("datagram_beyondTheLimit_isRefused", "[fuzz]")
{
    SlotRelease release{1, std::vector<std::uint32_t>(maxDatagramBytes, 7)};
    CHECK_FALSE(decode(encode({1, release})));
}

TEST_CASE_METHOD(FuzzFixture, "sse_anySplit_givesTheSameEvents", "[fuzz]")
{
    const std::string stream = ": hello\n\ndata: {\"id\":\"a\"}\r\n\r\nevent: x\ndata:one\ndata: "
                               "two\n\ndata:\n\ndata: [DONE]\n\n";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const std::string bytes = this->mutateBytes(stream);
        SseParser whole;
        std::vector<std::string> wholeEvents;
        const bool wholeOk = whole.feed(bytes, wholeEvents);
        SseParser split;
        std::vector<std::string> splitEvents;
        bool splitOk = true;
        for (std::size_t at = 0; at < bytes.size() && splitOk;) {
            const std::size_t size = 1 + this->randomBelow(7);
            splitOk = split.feed(std::string_view(bytes).substr(at, size), splitEvents);
            at += size;
        }
        REQUIRE(wholeOk == splitOk);
        REQUIRE(wholeEvents == splitEvents);
        REQUIRE((!wholeOk || whole.hasRemainder() == split.hasRemainder()));
    }
}

TEST_CASE_METHOD(FuzzFixture, "sse_parserThatForgetsPieces_isCaughtBySplitting", "[fuzz]")
{
    // Shows that the split test above can fail: a parser created anew for each piece loses cut
    // lines.
    const std::string bytes = "data: one\n\ndata: two\n\n";
    std::vector<std::string> events;
    for (const char byte : bytes) {
        SseParser forgetful;
        static_cast<void>(forgetful.feed(std::string_view(&byte, 1), events));
    }
    CHECK(events != std::vector<std::string>{"one", "two"});
}

TEST_CASE_METHOD(FuzzFixture, "sse_endlessEvent_isRefusedInBoundedMemory", "[fuzz]")
{
    const bool oneLine = GENERATE(true, false);
    const std::string chunk =
        oneLine ? std::string(1000, 'x') : "data: " + std::string(992, 'x') + "\n";
    SseParser parser;
    std::vector<std::string> events;
    std::size_t taken = 0;
    while (parser.feed(chunk, events)) {
        taken += chunk.size();
        REQUIRE(taken <= 2 * maxSseEventBytes);
    }
    CHECK(events.empty());
}

TEST_CASE_METHOD(FuzzFixture, "chatEvent_damaged_neverPassesUnderAnotherAttempt", "[fuzz]")
{
    const std::string event =
        R"({"id":"attempt-7","choices":[{"delta":{"content":"a"},"finish_reason":null}]})";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const std::string damaged = this->mutateBytes(event);
        StreamProgress progress;
        REQUIRE_FALSE(acceptEvent(damaged, "attempt-8-of-another", progress));
        REQUIRE(progress.events == 0);
        if (acceptEvent(damaged, "attempt-7", progress)) {
            REQUIRE(nlohmann::json::parse(damaged)["id"] == "attempt-7");
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "platformAnswer_damaged_isRefusedOrUsable", "[fuzz]")
{
    const nlohmann::json valid = nlohmann::json::parse(
        R"({"version":9,"objects":[{"kind":"workspace","name":"w","version":7,"body":{"a":1}},
            {"kind":"service","name":"s","version":9,"body":null}]})");
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = valid;
        this->mutateField(document);
        const std::string text =
            this->randomBelow(2) == 0 ? document.dump() : this->mutateBytes(valid.dump());
        const auto changes = net::parseChanges(text);
        for (const net::PlatformObject &object :
             changes ? changes->objects : std::vector<net::PlatformObject>{}) {
            REQUIRE_FALSE(object.kind.empty());
            REQUIRE_FALSE(object.name.empty());
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "claimRecord_damagedField_isRefusedOrReadsBackEqual", "[fuzz]")
{
    const ClaimLogEntry entry{{{1, 2}, 3, 4, 5}, false};
    const nlohmann::json batch = encodeBatch({9, "nonce", 10, {entry}});
    const nlohmann::json segment = encodeSegment({11, 12, 13, {entry}});
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = batch;
        this->mutateField(document);
        if (const auto read = decodeBatch(document)) {
            REQUIRE(decodeBatch(encodeBatch(*read)));
        }
        document = segment;
        this->mutateField(document);
        if (const auto read = decodeSegment(document)) {
            REQUIRE(decodeSegment(encodeSegment(*read)));
        }
    }
    REQUIRE(encodeBatch(*decodeBatch(batch)) == batch);
    REQUIRE(encodeSegment(*decodeSegment(segment)) == segment);
}

TEST_CASE("platformAnswer_versionAsText_isRefused", "[fuzz]")
{
    // Guards against JSON of another shape, such as from a proxy in front of the platform. Reading
    // its version threw an exception on every router's watch at once, and ended each of them.
    CHECK_FALSE(net::parseChanges(R"({"version":"9","objects":[]})"));
    CHECK_FALSE(net::parseChanges(R"({"version":-1,"objects":[]})"));
    CHECK_FALSE(net::parseChanges(R"({"version":9,"objects":{}})"));
    CHECK_FALSE(net::parseChanges("<html>"));
    CHECK(net::parseChanges(R"({"version":9,"objects":[]})"));
}

TEST_CASE_METHOD(FuzzFixture, "platformVm_damaged_isLeftOutOrUsable", "[fuzz]")
{
    const nlohmann::json valid = nlohmann::json::parse(
        R"([{"id":"e1","role":"engine","service":"m","place":"a","host":"10.0.0.1","port":9000,
             "leaving":false},
            {"id":"r1","role":"router","place":"a","host":"10.0.0.2","port":8082}])");
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = valid;
        this->mutateField(document);
        const auto vms = net::parseVmList(document.dump());
        for (const Vm &vm : vms ? *vms : std::vector<Vm>{}) {
            checkAddress(vm.endpoint);
            REQUIRE_FALSE(vm.id.empty());
        }
    }
}
