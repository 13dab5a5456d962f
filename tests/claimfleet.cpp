#include <future>

#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t basePort = 26500;

/// A caller that can disconnect in the middle of its request.
class DisconnectingCaller
{
public:
    DisconnectingCaller()
        : guard(asio::make_work_guard(context))
        , http(context)
        , worker([this] { this->context.run(); })
    {}
    ~DisconnectingCaller()
    {
        this->context.stop();
        this->worker.join();
    }
    DisconnectingCaller(const DisconnectingCaller &) = delete;
    DisconnectingCaller &operator=(const DisconnectingCaller &) = delete;

    void send(net::HttpCall call) { this->exchange = this->http.start(std::move(call), {}); }
    void disconnect() { this->exchange->cancel(); }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    net::HttpClient http;
    std::shared_ptr<net::HttpExchange> exchange;
    std::thread worker;
};

class ClaimFixture
{
protected:
    ClaimFixture()
        : fleet(lowtherDeployment(basePort, 3))
    {
        REQUIRE(this->fleet.startAndConverge());
    }

    static net::HttpCall orderCall(const std::string &key, const std::string &body = "sign",
                                   std::uint32_t workspace = 0)
    {
        net::HttpCall call;
        call.method = "POST";
        call.url = "/services/track-app/receipts";
        call.headers = {{"authorization", "Bearer token-lowther-" + std::to_string(workspace)},
                        {"idempotency-key", key},
                        {"x-non-idempotent", "true"}};
        call.body = body;
        return call;
    }

    net::HttpResponse order(std::size_t router, const std::string &key,
                            const std::string &body = "sign", std::uint32_t workspace = 0)
    {
        return this->fleet.call(router, orderCall(key, body, workspace));
    }

    void send(DisconnectingCaller &caller, const std::string &key) const
    {
        net::HttpCall call = orderCall(key);
        call.url = "http://" + toText(this->fleet.layout[0].callers) + call.url;
        caller.send(std::move(call));
    }

    std::future<net::HttpResponse> orderAsync(std::size_t router, const std::string &key)
    {
        return std::async(std::launch::async, [=, this] { return this->order(router, key); });
    }

    [[nodiscard]] bool eventuallyRan(std::size_t keys) const
    {
        return Fleet::eventually([&] { return this->fleet.standIns.runs->keys() == keys; });
    }

    [[nodiscard]] std::uint64_t maxRuns() const { return this->fleet.standIns.runs->highest(); }

    Fleet fleet;
};

} // namespace

TEST_CASE_METHOD(ClaimFixture, "claim_repeatAtEveryRouter_getsTheFirstAnswer", "[claims]")
{
    // Guards against running a request twice. Its answer is lost on the way to the caller, which
    // repeats it, and the load balancer picks another router. The repeat must get the first answer.
    const auto first = this->order(0, "k1");
    REQUIRE(first.status == 200);
    for (std::size_t router = 0; router < 3; ++router) {
        const auto repeat = this->order(router, "k1");
        CHECK(repeat.status == 200);
        CHECK(repeat.body == first.body);
        CHECK(repeat.headers.at("x-repeat") == "true");
    }
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_keyMisuse_isToldApart", "[claims]")
{
    REQUIRE(this->order(0, "k1", "sign").status == 200);
    CHECK(refusalKindOf(this->order(1, "k1", "refuse")) == "key-reused");
    net::HttpCall otherQuery = orderCall("k1");
    otherQuery.url += "?copies=2";
    CHECK(refusalKindOf(this->fleet.call(1, otherQuery)) == "key-reused");
    const auto other = this->order(1, "k1", "sign", 1);
    CHECK(other.status == 200);
    CHECK(other.headers.count("x-repeat") == 0);
    CHECK(this->maxRuns() == 2);
}

TEST_CASE_METHOD(ClaimFixture, "claim_repeatWhileRunning_hearsInProgressThenAnswer", "[claims]")
{
    this->fleet.standIns.orders->hold();
    auto first = this->orderAsync(0, "k1");
    REQUIRE(this->eventuallyRan(1));
    for (std::size_t router = 0; router < 3; ++router) {
        const auto repeat = this->order(router, "k1");
        CHECK(refusalKindOf(repeat) == "in-progress");
        CHECK(errorOf(repeat).value("ran", "") == "unknown");
    }
    this->fleet.standIns.orders->letGo();
    CHECK(first.get().status == 200);
    CHECK(this->order(1, "k1").status == 200);
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_routerKilledWhileRunning_neverRunsAgain", "[claims]")
{
    // Guards against running a request again after its router was killed during the run. Only that
    // router knew the outcome, so repeats at the others are told that it may have run.
    this->fleet.standIns.orders->hold();
    DisconnectingCaller caller;
    this->send(caller, "k1");
    REQUIRE(this->eventuallyRan(1));
    this->fleet.killRouter(0);
    this->fleet.standIns.orders->letGo();
    for (std::size_t router = 1; router < 3; ++router) {
        const auto repeat = this->order(router, "k1");
        CHECK(refusalKindOf(repeat) == "may-have-run");
        CHECK(errorOf(repeat).value("ran", "") == "unknown");
    }
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_platformOutage_refusesAsNotRunAndServesAfter", "[claims]")
{
    // Guards against a wrong outcome while the platform is down and nothing can be claimed: the
    // request is refused as not run, with a time to retry. After the outage the same key runs once,
    // although the first claim's write may have taken effect meanwhile.
    this->fleet.setFaults({{"outage", true}});
    for (std::size_t router = 0; router < 3; ++router) {
        const auto refused = this->order(router, "k1");
        CHECK(refusalKindOf(refused) == "claim-unavailable");
        CHECK(errorOf(refused).value("ran", "") == "no");
        CHECK(errorOf(refused).value("scope", "") == "attempt");
        CHECK(refused.headers.count("retry-after") == 1);
    }
    CHECK(this->maxRuns() == 0);
    this->fleet.setFaults({{"outage", false}});
    CHECK(Fleet::eventually([&] { return this->order(1, "k1").status == 200; }));
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_writeAnswerLost_isRecognisedAsOwn", "[claims]")
{
    // Guards against a claim conflicting with itself when the platform takes its write but the
    // response is lost. The writer finds its own nonce at the position and continues; a repeat
    // doesn't run.
    REQUIRE(this->order(0, "warm").status == 200);
    this->fleet.setFaults({{"loseAnswers", 2}});
    CHECK(this->order(0, "k1").status == 200);
    CHECK(this->order(1, "k1").status == 200);
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_slowStoreWriteAfterRefusal_isHarmless", "[claims]")
{
    // Guards against a key that stays blocked when a claim is written only after its request was
    // refused as not run. The claim's owner never dispatched it and releases it, so a repeat runs,
    // once.
    REQUIRE(this->order(0, "warm").status == 200);
    this->fleet.setFaults({{"slowMilliseconds", 2900}});
    CHECK(refusalKindOf(this->order(0, "k1")) == "claim-unavailable");
    CHECK(this->maxRuns() == 1);
    this->fleet.setFaults({{"slowMilliseconds", 0}});
    CHECK(Fleet::eventually([&] { return this->order(2, "k1").status == 200; }));
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_upstreamBreaksOff_isNotRepeated", "[claims]")
{
    this->fleet.standIns.orders->dropAfterRun(1);
    const auto broken = this->order(0, "k1");
    CHECK(refusalKindOf(broken) == "upstream-failed");
    CHECK(errorOf(broken).value("ran", "") == "unknown");
    CHECK(refusalKindOf(this->order(0, "k1")) == "may-have-run");
    CHECK(refusalKindOf(this->order(1, "k1")) == "may-have-run");
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_upstreamsRefuseAsNotRun_givesTheClaimBack", "[claims]")
{
    // Guards against a key that stays blocked after every replica reported the request as not run.
    // The caller is told "not run" and the claim is released, so a repeat at another router runs.
    this->fleet.standIns.orders->refuse(3);
    const auto refused = this->order(0, "k1");
    CHECK(errorOf(refused).value("ran", "") == "no");
    CHECK(errorOf(refused).value("scope", "") == "request");
    this->fleet.standIns.orders->refuse(0);
    CHECK(Fleet::eventually([&] { return this->order(1, "k1").status == 200; }));
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_callerLeaves_orderEndsAndRepeatGetsAnswer", "[claims]")
{
    // Guards against a non-idempotent request that stops halfway when its caller disconnects. It
    // runs to its end, and the caller's repeat gets the kept answer, also at another router.
    this->fleet.standIns.orders->hold();
    DisconnectingCaller caller;
    this->send(caller, "k1");
    REQUIRE(this->eventuallyRan(1));
    caller.disconnect();
    this->fleet.standIns.orders->letGo();
    CHECK(Fleet::eventually([&] { return this->order(1, "k1").status == 200; }));
    CHECK(this->maxRuns() == 1);
}

TEST_CASE_METHOD(ClaimFixture, "service_answerToAnotherRequest_isNotHandedOn", "[answers]")
{
    this->fleet.standIns.orders->confuse(1);
    const auto answer = this->order(0, "k1");
    CHECK(refusalKindOf(answer) == "upstream-garbage");
    CHECK(errorOf(answer).value("ran", "") == "unknown");
}

TEST_CASE_METHOD(ClaimFixture, "service_encodedAnswer_isNotHandedOn", "[answers]")
{
    // Guards against a body in a coding that the response to the caller does not name.
    this->fleet.standIns.orders->encode(1);
    const auto answer = this->order(0, "k1");
    CHECK(refusalKindOf(answer) == "upstream-garbage");
    CHECK(errorOf(answer).value("ran", "") == "unknown");
}

TEST_CASE_METHOD(ClaimFixture, "service_answerWithoutEnd_isBrokenOff", "[answers]")
{
    // Guards against an answer without end that holds its caller, and its slot, until the caller
    // leaves.
    this->fleet.standIns.orders->sendWithoutEnd(1);
    const auto answer = this->order(0, "k1");
    CHECK(refusalKindOf(answer) == "upstream-garbage");
    CHECK(this->order(0, "k2").status == 200);
}
