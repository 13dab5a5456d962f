#include <optional>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/hash.h"

#include "gatewaystate.h"
#include "platformdialect.h"
#include "slotqueueclient.h"
#include "slotqueuecoordinator.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A router's client and coordinator without a network. Timers run only in waitForMessages().
class SlotCoordinationFixture
{
protected:
    static constexpr std::uint64_t requestId = 7;

    /// Asks for a slot of "plain-0" for request 7.
    void ask()
    {
        QueueAsk ask;
        ask.request.requestId = requestId;
        ask.request.untilDeadline = ask.request.maxWait = Seconds{4};
        ask.upstream = hashOf("plain-0");
        this->client.ask(std::move(ask), "a1", [this](const std::optional<QueueReply> &reply) {
            this->isGranted = reply && reply->state.verdict == SlotQueueVerdict::Granted;
            ++this->outcomes;
        });
    }

    bool reply(SlotQueueVerdict verdict, const RouterIdentity &sender)
    {
        QueueReply reply;
        reply.requestId = requestId;
        reply.state.verdict = verdict;
        return this->client.onReply(reply, sender);
    }

    /// Runs the timers until the client has sent \a count messages.
    void waitForMessages(std::size_t count)
    {
        while (this->sent.size() < count) {
            REQUIRE(this->context.run_one_for(std::chrono::seconds{20}) == 1);
        }
    }

    /// \returns whether the message with the \a index is the end of request 7, to \a receiver.
    [[nodiscard]] bool isEnd(std::size_t index, const RouterIdentity &receiver) const
    {
        const auto &[address, datagram] = this->sent.at(index);
        return address == receiver.address && datagram.has_end()
               && datagram.end().number() == requestId;
    }

    asio::io_context context;
    ManualClock clock;
    platform::PlatformDialect dialect;
    GatewayState state{this->context, this->clock, this->dialect, GatewaySettings{}};
    SlotQueueCoordinator own{this->state, [](const std::string &, const QueueReply &) {}};
    RouterIdentity first{{"127.0.0.1", 1}, hashOf("router-1"), 5};
    RouterIdentity second{{"127.0.0.2", 1}, hashOf("router-2"), 5};
    std::optional<RouterIdentity> current = this->first;
    std::vector<std::pair<Endpoint, wire::GatewayDatagram>> sent;
    SlotQueueClient client{this->state, this->own,
                           [this](const Endpoint &to, const wire::GatewayDatagram &datagram) {
                               this->sent.emplace_back(to, datagram);
                           },
                           [this](std::uint64_t) { return this->current; }};
    bool isGranted = false;
    int outcomes = 0;
};

} // namespace

TEST_CASE_METHOD(SlotCoordinationFixture, "slotReply_ofStoppedCoordinator_isReturnedToIt",
                 "[gateway]")
{
    // Guards against runs that the present coordinator does not count.
    this->ask();
    CHECK(this->reply(SlotQueueVerdict::Queued, this->first));
    this->current = this->second;
    this->waitForMessages(3);
    CHECK(this->isEnd(1, this->first));
    CHECK(this->sent.at(2).first == this->second.address);
    CHECK(this->reply(SlotQueueVerdict::Denied, this->first));
    CHECK(this->sent.size() == 3);
    CHECK(this->reply(SlotQueueVerdict::Granted, this->first));
    CHECK(this->outcomes == 0);
    REQUIRE(this->sent.size() == 4);
    CHECK(this->isEnd(3, this->first));
    CHECK(this->reply(SlotQueueVerdict::Granted, this->second));
    CHECK(this->isGranted);
    CHECK(this->reply(SlotQueueVerdict::Granted, this->first));
    CHECK(this->outcomes == 1);
    REQUIRE(this->sent.size() == 5);
    CHECK(this->isEnd(4, this->first));
    CHECK(this->client.end(requestId, {}));
    REQUIRE(this->sent.size() == 6);
    CHECK(this->isEnd(5, this->second));
}

TEST_CASE_METHOD(SlotCoordinationFixture, "slotReply_ofEarlierProcess_isNotApplied", "[gateway]")
{
    // Guards against grants that a coordinator gave before its restart, and against ending the
    // request at the new process, which has the same address.
    this->ask();
    RouterIdentity sender = this->first;
    sender.incarnation = 4;
    CHECK(this->reply(SlotQueueVerdict::Granted, sender));
    CHECK(this->outcomes == 0);
    CHECK(this->sent.size() == 1);
    // The client may not have learned of the restart yet.
    sender.incarnation = 6;
    CHECK(this->reply(SlotQueueVerdict::Granted, sender));
    CHECK(this->isGranted);
}

TEST_CASE_METHOD(SlotCoordinationFixture, "slotReply_ofEarlierVersion_isMatchedByAddress",
                 "[gateway]")
{
    // Guards against routers of the version before, whose replies do not state who sent them,
    // being taken for silent.
    this->ask();
    CHECK(this->reply(SlotQueueVerdict::Granted, {this->second.address}));
    CHECK(this->outcomes == 0);
    CHECK(this->reply(SlotQueueVerdict::Granted, {this->first.address}));
    CHECK(this->isGranted);
}
