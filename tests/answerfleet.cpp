#include <future>

#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t basePort = 26900;

class AnswerFixture
{
protected:
    AnswerFixture()
        : fleet(lowtherDeployment(basePort, 3))
    {
        REQUIRE(this->fleet.startAndConverge());
    }

    net::HttpResponse chat(std::size_t router, const std::string &chatId, const std::string &text,
                           std::uint32_t tokens, bool stream)
    {
        return this->fleet.chat(router, "token-lowther-0", chatId,
                                chatBody(this->fleet, text, tokens, stream));
    }

    [[nodiscard]] bool eventuallyLoaded() const
    {
        return Fleet::eventually([this] {
            std::size_t load = 0;
            for (const auto &engine : this->fleet.standIns.engines) {
                load += engine->load();
            }
            return load > 0;
        });
    }

    [[nodiscard]] std::uint64_t crashes() const
    {
        std::uint64_t sum = 0;
        for (const auto &engine : this->fleet.standIns.engines) {
            sum += engine->crashes();
        }
        return sum;
    }

    Fleet fleet;
};

std::size_t eventsIn(const std::string &body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("data: "); at != std::string::npos;
         at = body.find("data: ", at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE_METHOD(AnswerFixture, "stream_connectionBreaks_isResumedWhole", "[answers]")
{
    // Guards against lost or repeated events when the connection to an engine breaks in the middle
    // of a long answer. The engine continues and keeps the stream, so the caller must get every
    // event once, in order, up to [DONE].
    constexpr std::uint32_t tokens = 200;
    auto answer =
        std::async(std::launch::async, [this] { return this->chat(0, "c", "long", tokens, true); });
    REQUIRE(this->eventuallyLoaded());
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (const auto &engine : this->fleet.standIns.engines) {
        engine->dropStreams();
    }
    const auto whole = answer.get();
    CHECK(whole.outcome == net::HttpOutcome::Complete);
    CHECK(eventsIn(whole.body) == tokens + 1);
    CHECK(whole.body.find("data: [DONE]") != std::string::npos);
    for (std::uint32_t index = 0; index < tokens; ++index) {
        CHECK(whole.body.find("w" + std::to_string(index) + "-") != std::string::npos);
    }
}

TEST_CASE_METHOD(AnswerFixture, "crashRequest_repeatedAtEveryRouter_isHeldBack", "[suspects]")
{
    // Guards against one request, repeated at every router, crashing engine after engine. It is
    // quarantined after two crashes wherever it is sent, and its refusal says truthfully whether it
    // ran. Long chats on the same engines are retried and answered.
    std::vector<std::future<net::HttpResponse>> otherChats;
    otherChats.reserve(10);
    for (int index = 0; index < 10; ++index) {
        otherChats.push_back(std::async(std::launch::async, [this, index] {
            const auto name = "innocent-" + std::to_string(index);
            return this->chat(static_cast<std::size_t>(index % 3), name, name, 100, false);
        }));
    }
    REQUIRE(this->eventuallyLoaded());
    const auto first = this->chat(0, "crash", "crash-the-engine", 10, false);
    CHECK(refusalKindOf(first) == "upstream-failed");
    CHECK(errorOf(first).value("ran", "") == "unknown");
    for (std::size_t round = 0; round < 9; ++round) {
        const auto repeat =
            this->chat(round % 3, "crash-" + std::to_string(round), "crash-the-engine", 10, false);
        CHECK(refusalKindOf(repeat) == "quarantined");
        CHECK(errorOf(repeat).value("ran", "") == "no");
    }
    CHECK(this->crashes() == 2);
    for (auto &otherChat : otherChats) {
        CHECK(otherChat.get().status == 200);
    }
}

TEST_CASE_METHOD(AnswerFixture, "crashRequest_atTwoRoutersAtOnce_staysWithinBound", "[suspects]")
{
    std::vector<std::future<net::HttpResponse>> copies;
    for (std::size_t router = 0; router < 3; ++router) {
        copies.push_back(std::async(std::launch::async, [this, router] {
            return this->chat(router, "c" + std::to_string(router), "crash-the-engine", 10, false);
        }));
    }
    for (auto &copy : copies) {
        CHECK(copy.get().status != 200);
    }
    // Each copy that starts before its router learns of a crash may crash one engine, and one more
    // on its retry.
    CHECK(this->crashes() <= 6);
    CHECK(refusalKindOf(this->chat(1, "d", "crash-the-engine", 10, false)) == "quarantined");
}

TEST_CASE_METHOD(AnswerFixture, "stream_callerLeaves_cancelsTheEnginesWork", "[answers]")
{
    net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + toText(this->fleet.layout[0].callers) + "/v1/chat/completions";
    call.headers = {{"authorization", "Bearer token-lowther-0"}};
    call.body = nlohmann::json{
        {"model", this->fleet.deployment.modelService},
        {"messages", {{{"role", "user"}, {"content", "long"}}}},
        {"max_tokens", 100'000},
        {"stream",
         true}}.dump();
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    net::HttpClient http(context);
    std::thread worker([&context] { context.run(); });
    const auto exchange = http.start(std::move(call), {});
    CHECK(this->eventuallyLoaded());
    exchange->cancel();
    CHECK(Fleet::eventually([this] {
        std::size_t load = 0;
        for (const auto &engine : this->fleet.standIns.engines) {
            load += engine->load();
        }
        return load == 0;
    }));
    context.stop();
    worker.join();
}

TEST_CASE_METHOD(AnswerFixture, "crashRequest_ofPlainService_holdsBackNoOtherCall", "[suspects]")
{
    // Guards against quarantining an unrelated call. One call without a body crashes two upstreams
    // and is quarantined. Another call of the workspace without a body, to another path, must run:
    // sharing the quarantine would close the whole service to the workspace for ten minutes.
    const auto call = [this](const std::string &path) {
        net::HttpCall wanted;
        wanted.url = "/services/track-app/" + path;
        wanted.headers = {{"authorization", "Bearer token-lowther-0"}};
        return this->fleet.call(0, wanted);
    };
    this->fleet.standIns.orders->dropAfterRun(2);
    REQUIRE(Fleet::eventually([&] { return refusalKindOf(call("broken")) == "quarantined"; }));
    CHECK(call("other").status == 200);
    CHECK(refusalKindOf(call("broken")) == "quarantined");
}
