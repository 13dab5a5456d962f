#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t basePort = 25000;

class WholePathFixture
{
protected:
    WholePathFixture()
        : fleet(lowtherDeployment(basePort, 3))
    {
        REQUIRE(this->fleet.start());
    }

    [[nodiscard]] nlohmann::json body(const std::string &text) const
    {
        return chatBody(this->fleet, text);
    }

    std::size_t slotsKept()
    {
        std::size_t kept = 0;
        for (std::size_t router = 0; router < 3; ++router) {
            const auto page = this->fleet.operatorPage(router, "/status");
            kept += nlohmann::json::parse(page.body)["slotsKept"].get<std::size_t>();
        }
        return kept;
    }

    Fleet fleet;
    std::string token = "token-lowther-0";
};

} // namespace

TEST_CASE_METHOD(WholePathFixture, "router_returningChat_reachesSameEngineFromEveryRouter",
                 "[wholepath]")
{
    for (std::size_t router = 0; router < 3; ++router) {
        // Wait until the chat's last slot was released at its coordinator. Otherwise its own old
        // request would still count against its engine, and with a mean load below one move the
        // chat away.
        REQUIRE(Fleet::eventually([&] { return this->slotsKept() == 0; }));
        const auto answer = this->fleet.chat(router, this->token, "c1", this->body("hello"));
        REQUIRE(answer.status == 200);
        const auto json = nlohmann::json::parse(answer.body);
        const auto cached = json["usage"]["prompt_tokens_details"]["cached_tokens"];
        CHECK((cached > 0) == (router > 0));
    }
}

TEST_CASE_METHOD(WholePathFixture, "router_badInput_refusesWithKindAndRanNo", "[wholepath]")
{
    CHECK(refusalKindOf(this->fleet.chat(0, "no-such-token", "c", this->body("x")))
          == "unauthorized");
    CHECK(refusalKindOf(this->fleet.chat(0, this->token, "c", {{"model", 1}})) == "bad-request");
    auto wrongModel = this->body("x");
    wrongModel["model"] = "other";
    CHECK(refusalKindOf(this->fleet.chat(0, this->token, "c", wrongModel)) == "not-found");
    net::HttpCall call;
    call.url = "/nowhere";
    CHECK(refusalKindOf(this->fleet.call(0, call)) == "not-found");
}

TEST_CASE_METHOD(WholePathFixture, "router_stopDuringChat_answersItWhole", "[wholepath]")
{
    // Guards against truncating an answer at a graceful stop. The router first drops out of the
    // load balancer, and exits only when nothing is in flight.
    auto longBody = this->body("long");
    longBody["max_tokens"] = 200;
    net::HttpResponse answer;
    std::thread caller([&] { answer = this->fleet.chat(0, this->token, "c", longBody); });
    CHECK(Fleet::eventually([&] {
        const auto status = nlohmann::json::parse(this->fleet.operatorPage(0, "/status").body);
        return status["inFlight"] == 1;
    }));
    this->fleet.stopRouter(0);
    caller.join();
    this->fleet.awaitStopped(0);
    CHECK(answer.status == 200);
}

TEST_CASE_METHOD(WholePathFixture, "service_queryOfCall_reachesUpstreamByteForByte", "[wholepath]")
{
    for (const std::string target :
         {"/", "/a", "/a?", "/a?b=%20+%3F&&b=2&c", "/?x?y=/../z;\xc3\xa9"}) {
        net::HttpCall call;
        call.url = "/services/" + this->fleet.deployment.plainService + target;
        call.headers = {{"authorization", "Bearer " + this->token}};
        const auto answer = this->fleet.call(0, call);
        REQUIRE(answer.status == 200);
        CHECK(nlohmann::json::parse(answer.body)["target"] == target);
    }
}

TEST_CASE_METHOD(WholePathFixture, "router_oversizedHead_refusesAsTooLargeAndNotRun", "[wholepath]")
{
    // Guards against closing the connection without an answer when a head exceeds its limits: that
    // would look like a request that may have run, and an order would not be sent again. The
    // refusal says that it has not run.
    net::HttpCall plain;
    plain.url = "/services/" + this->fleet.deployment.plainService + "/a";
    plain.headers = {{"authorization", "Bearer " + this->token}};
    std::vector<net::HttpCall> calls(4, plain);
    calls[0].url += "?" + std::string(4096, 'q');
    calls[1].headers["cookie"] = std::string(8193, 'c');
    calls[2].headers[std::string(257, 'n')] = "1";
    for (int number = 0; number < 101; ++number) {
        calls[3].headers["x-" + std::to_string(number)] = "1";
    }
    for (const net::HttpCall &call : calls) {
        const auto answer = this->fleet.call(0, call);
        CHECK(answer.status == 413);
        CHECK(refusalKindOf(answer) == "too-large");
        CHECK(nlohmann::json::parse(answer.body)["error"]["ran"] == "no");
    }
    plain.headers["cookie"] = std::string(8192, 'c');
    CHECK(this->fleet.call(0, plain).status == 200);
    // Above http_parser's limit, which bounds the memory of a head, the connection is closed.
    plain.headers["cookie"] = std::string(80 << 10, 'c');
    CHECK(this->fleet.call(0, plain).outcome != net::HttpOutcome::Complete);
}
