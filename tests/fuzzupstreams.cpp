#include <array>

#include <catch2/catch.hpp>

#include "platformdialect.h"

#include "fuzzing.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

const std::array<std::string, 4> validHeads{
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\nX-Replica-Load: 3,0,8\r\n"
    "Content-Type: text/event-stream\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nRetry-After: 2.75\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\nRetry-After: 3\r\nRetry-After: 120\r\nX-Cold-Time: 9000\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 421 X\r\nX-Attempt-Id: a1\r\nServer-Leaving: 1\r\nX-Cold-Time: 4000\r\n"
    "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n"};

const std::string validEntry =
    R"({"service":"model","address":"10.1.0.4:8080","zone":"hall-a","version":"v1","slots":48,)"
    R"("state":"ready","coldLeftMs":4000,"sequence":7,"born":1772548339073})";

/// Parses the bytes of a response and decodes its heads.
std::vector<UpstreamResponse> decode(const std::string &bytes)
{
    const platform::PlatformDialect dialect;
    std::vector<UpstreamResponse> decoded;
    constexpr std::size_t maxHeadBytes = 64 << 10;
    MessageParser parser(
        MessageKind::Response, maxHeadBytes,
        {[&](const MessageHead &head) { decoded.push_back(dialect.parseResponse(head)); },
         [](std::string_view) {}});
    static_cast<void>(parser.feed(bytes));
    return decoded;
}

void checkResponse(const UpstreamResponse &response)
{
    constexpr int unavailable = 503;
    if (response.backoff) {
        REQUIRE(response.status == unavailable);
        REQUIRE(*response.backoff > Milliseconds{0});
        REQUIRE(*response.backoff <= platform::maxBackoff);
    }
    if (response.coldFor) {
        REQUIRE(*response.coldFor >= Milliseconds{0});
        REQUIRE(*response.coldFor <= Milliseconds{platform::maxColdMilliseconds});
    }
    if (response.misdirected) {
        REQUIRE(response.notExecuted);
        REQUIRE_FALSE(response.isDraining);
    }
}

void checkEntry(const std::optional<Replica> &replica, const std::string &fault)
{
    if (!replica) {
        REQUIRE_FALSE(fault.empty());
        return;
    }
    REQUIRE_FALSE(replica->service.empty());
    REQUIRE_FALSE(replica->dataCentre.empty());
    REQUIRE(replica->endpoint.port != 0);
    REQUIRE(replica->coldFor <= Milliseconds{platform::maxColdMilliseconds});
}

} // namespace

TEST_CASE_METHOD(FuzzFixture, "upstreamResponse_damagedHead_keepsItsLimits", "[fuzz]")
{
    // Guards against a damaged response that takes an upstream out of service for ever, or stops
    // the router.
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const std::string bytes =
            this->mutateBytes(validHeads.at(this->randomBelow(validHeads.size())));
        CAPTURE(bytes);
        for (const UpstreamResponse &response : decode(bytes)) {
            checkResponse(response);
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "upstreamEntry_damaged_isLeftOutOrUsable", "[fuzz]")
{
    // Guards against an entry of another writer that names an upstream which cannot be used.
    const platform::PlatformDialect dialect;
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = nlohmann::json::parse(validEntry);
        const std::string path = this->mutateField(document);
        StoreObject object;
        object.name = "i-1";
        object.document = round % 2 == 0 ? document.dump() : this->mutateBytes(validEntry);
        CAPTURE(path, object.document.substr(0, 400));
        std::string fault;
        checkEntry(dialect.parseReplica(object, fault), fault);
    }
}
