#include <catch2/catch.hpp>

#include "fleet.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t firstPort = 25500;
constexpr std::uint32_t chats = 24;

Deployment sixRouters()
{
    Deployment deployment = *deploymentOf("lowther");
    deployment.basePort = firstPort;
    return deployment;
}

class KeeperLossFixture
{
protected:
    KeeperLossFixture()
        : fleet(sixRouters())
    {
        REQUIRE(this->fleet.start());
    }

    /// \returns how many of the chats got a whole answer from \a router.
    [[nodiscard]] std::uint32_t countWholeAnswers(std::size_t router, const std::string &token)
    {
        std::uint32_t whole = 0;
        for (std::uint32_t chat = 0; chat < chats; ++chat) {
            const nlohmann::json body{
                {"model", this->fleet.deployment.modelService},
                {"messages", {{{"role", "user"}, {"content", "hello " + std::to_string(chat)}}}}};
            const auto answer = this->fleet.chat(router, token, "c" + std::to_string(chat), body);
            whole += answer.status == 200 ? 1 : 0;
        }
        return whole;
    }

    Fleet fleet;
};

} // namespace

TEST_CASE_METHOD(KeeperLossFixture, "router_keepersKilled_chatsGoOnAtOnce", "[keeperloss]")
{
    // Guards against stalled chats when coordinators are killed. Until their missed heartbeats are
    // noticed, requests to them get no reply; the next router in the shard's order takes over after
    // a short delay.
    this->fleet.killRouter(1);
    this->fleet.killRouter(2);
    CHECK(this->countWholeAnswers(0, "token-lowther-0") == chats);
}

TEST_CASE_METHOD(KeeperLossFixture, "router_alone_servesOnItsOwnCount", "[keeperloss]")
{
    // Guards against refusals when all other routers, and thus all coordinators, are killed at
    // once: the remaining router grants conservatively by its own count.
    for (std::size_t router = 1; router < this->fleet.layout.size(); ++router) {
        this->fleet.killRouter(router);
    }
    CHECK(this->countWholeAnswers(0, "token-lowther-0") == chats);
}
