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
