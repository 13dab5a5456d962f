#include <limits>

#include <catch2/catch.hpp>

#include "platformdialect.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class PlatformRequestsFixture
{
protected:
    PlatformRequestsFixture()
    {
        this->replica.id = "i-1";
        this->handover.replica = &this->replica;
        this->handover.remainingTime = Milliseconds{1500};
        this->request.method = "POST";
        this->request.target = "/a/";
    }

    /// \returns the decoded head of a response with the given fields.
    [[nodiscard]] UpstreamResponse decode(int status, std::vector<HeaderField> fields) const
    {
        MessageHead head;
        head.status = status;
        head.fields = std::move(fields);
        return this->dialect.parseResponse(head);
    }

    platform::PlatformDialect dialect;
    Replica replica;
    CallerRequest request;
    DispatchContext handover;
};

} // namespace

TEST_CASE_METHOD(PlatformRequestsFixture, "platformRequest_donorKnown_isNamedOnTheWire",
                 "[platform]")
{
    this->handover.copyFrom = Endpoint{"10.1.2.3", 8080};
    const std::string head = this->dialect.serializeRequest(this->request, this->handover);
    CHECK(head.find("Kv-Fetch: 10.1.2.3:8080\r\n") != std::string::npos);
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformRequest_noDonor_namesNone", "[platform]")
{
    const std::string head = this->dialect.serializeRequest(this->request, this->handover);
    CHECK(head.find("Kv-Fetch") == std::string::npos);
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_absurdColdTime_isLimited", "[platform]")
{
    // Guards against an overflow of the clock, and an upstream that is left out for years, after a
    // garbled header field.
    MessageHead head;
    head.status = 200;
    head.fields.push_back({"X-Cold-Time", "18446744073709551615"});
    CHECK(this->dialect.parseResponse(head).coldFor == Milliseconds{platform::maxColdMilliseconds});
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_rejectionWithRetryAfter_isABackoff",
                 "[platform]")
{
    CHECK(this->decode(503, {{"Retry-After", "3"}}).backoff == Milliseconds{3000});
    CHECK(this->decode(503, {{"retry-after", " 0.25 "}}).backoff == Milliseconds{250});
    CHECK_FALSE(this->decode(503, {}).backoff);
    CHECK_FALSE(this->decode(200, {{"Retry-After", "3"}}).backoff);
    CHECK_FALSE(this->decode(429, {{"Retry-After", "3"}}).backoff);
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_malformedRetryAfter_isIgnored",
                 "[platform]")
{
    // Guards against an upstream that is left out for ever, or an overflow of the clock, after a
    // garbled header field.
    for (const char *const text : {"", "soon", "-3", "0", "3s", "nan", "inf", "1e3", "0x10",
                                   "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(this->decode(503, {{"Retry-After", text}}).backoff);
    }
    CHECK(this->decode(503, {{"Retry-After", "7200"}}).backoff == platform::maxBackoff);
    const std::string digits(400, '9');
    const auto huge = this->decode(503, {{"Retry-After", digits}}).backoff;
    CHECK((!huge || *huge == platform::maxBackoff));
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_repeatedRetryAfter_longestHolds",
                 "[platform]")
{
    const auto decoded =
        this->decode(503, {{"Retry-After", "1"}, {"Retry-After", "4"}, {"Retry-After", "soon"}});
    CHECK(decoded.backoff == Milliseconds{4000});
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_leavingMark_isDrainingAtAnyStatus",
                 "[platform]")
{
    for (const int status : {200, 404, 500, 503}) {
        CHECK(this->decode(status, {{"Server-Leaving", "1"}}).isDraining);
    }
    CHECK_FALSE(this->decode(200, {}).isDraining);
    CHECK_FALSE(this->decode(200, {{"Server-Leaving", "0"}}).isDraining);
    CHECK_FALSE(this->decode(200, {{"Server-Leaving", ""}}).isDraining);
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_brittleMark_isReadAtAnyStatus",
                 "[platform]")
{
    for (const int status : {200, 404, 500, 503}) {
        CHECK(this->decode(status, {{"Server-Brittle", " 6 "}}).maxRejections == 6U);
    }
    CHECK_FALSE(this->decode(200, {}).maxRejections);
    for (const char *const value : {"", "often", "-1", "1.5"}) {
        CHECK_FALSE(this->decode(503, {{"Server-Brittle", value}}).maxRejections);
    }
    const auto repeated = this->decode(200, {{"Server-Brittle", "9"}, {"Server-Brittle", "4"}});
    CHECK(repeated.maxRejections == 4U);
    const auto huge = this->decode(200, {{"Server-Brittle", "99999999999"}}).maxRejections;
    CHECK(huge == std::numeric_limits<std::uint32_t>::max());
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_misdirected_saysNothingOfTheUpstream",
                 "[platform]")
{
    // Guards against marking an upstream as draining for a response of the one that has its
    // address now.
    CHECK_FALSE(this->decode(421, {{"Server-Leaving", "1"}}).isDraining);
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformTrialRecord_writtenAndRead_isTheSame",
                 "[platform]")
{
    const TrialRecord written{0x0123456789abcdefULL, 2, true, 77};
    const auto item = this->dialect.parseObject(this->dialect.serializeTrialRecord(written));
    REQUIRE(item);
    const auto read = this->dialect.parseTrialRecord(*item);
    REQUIRE(read);
    CHECK(read->key == written.key);
    CHECK(read->trials == written.trials);
    CHECK(read->isQuarantined);
    CHECK(read->revision == written.revision);
    CHECK(this->dialect.objectTarget(StoreObjectKind::Quarantines, item->name)
          == "/objects/plantain-quarantines/0123456789abcdef");
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformTrialRecord_malformed_isIgnored", "[platform]")
{
    // Guards against an object of another writer that quarantines requests.
    const std::string name = "0123456789abcdef";
    CHECK(this->dialect.parseTrialRecord({name, false, R"({"trials":1})", 0}));
    for (const char *const document : {"", "[]", "{}", R"({"trials":"1"})", "{"}) {
        CHECK_FALSE(this->dialect.parseTrialRecord({name, false, document, 0}));
    }
    for (const char *const other : {"", "0123", "0123456789abcdeg", "0123456789abcdef0", "-1"}) {
        CHECK_FALSE(this->dialect.parseTrialRecord({other, false, R"({"trials":1})", 0}));
    }
}

TEST_CASE_METHOD(PlatformRequestsFixture,
                 "platformRequest_takesStreamUp_namesTheAttemptThatBeganIt", "[platform]")
{
    MessageHead head;
    head.method = "POST";
    head.target = "/stream/x";
    head.fields = {
        {"Host", "h.example"}, {"X-Attempt-Id", "b1"}, {"Resumes", "a1"}, {"Last-Event-Id", "12"}};
    Reason reason;
    const auto request = this->dialect.parseRequest(head, reason);
    REQUIRE(request);
    CHECK(request->resumedAttempt == "a1");
    CHECK(request->resumeAfter == 12);
    // Two parsers could use a different one of two names.
    head.fields.push_back({"Resumes", "a2"});
    CHECK_FALSE(this->dialect.parseRequest(head, reason));
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformEntry_softwareVersion_isTextOrNotStated",
                 "[platform]")
{
    const auto parse = [this](const std::string &version) {
        StoreObject item;
        item.name = "u-0";
        item.document = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)" + version
                        + R"("state":"ready","sequence":1})";
        std::string fault;
        return this->dialect.parseReplica(item, fault);
    };
    REQUIRE(parse(R"("version":"v2",)"));
    CHECK(parse(R"("version":"v2",)")->version == "v2");
    REQUIRE(parse(""));
    CHECK(parse("")->version.empty());
    for (const char *const text : {"2", "null", "[]", R"({"v":1})"}) {
        CHECK_FALSE(parse(R"("version":)" + std::string(text) + ","));
    }
}

TEST_CASE_METHOD(PlatformRequestsFixture, "platformResponse_loadOfThreeOrFourFigures_isTaken",
                 "[platform]")
{
    // Guards against ignoring the load of upstreams that also state their slowdown.
    const auto loadOf = [this](const std::string &text) {
        return this->decode(200, {{"X-Replica-Load", text}}).load;
    };
    const auto three = loadOf("3, 1, 6");
    REQUIRE(three);
    CHECK(three->running == 3);
    CHECK(three->waiting == 1);
    CHECK(three->slots == 6);
    CHECK(three->slowdownPercent == 0);
    const auto four = loadOf("6,2,6,250");
    REQUIRE(four);
    CHECK(four->waiting == 2);
    CHECK(four->slowdownPercent == 250);
    for (const char *const text : {"", "3,1", "3,1,6,x", "3,1,6,100,7", "3,1,-6"}) {
        CHECK_FALSE(loadOf(text));
    }
}
