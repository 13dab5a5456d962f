#include <memory>
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

    /// Asks the coordinator for another router.
    QueueReply askOwn(std::uint64_t request, std::uint64_t incarnation)
    {
        QueueAsk ask;
        ask.request.router = "127.0.0.3:1";
        ask.request.requestId = request;
        ask.request.untilObjective = ask.request.untilDeadline = ask.request.maxWait = Seconds{4};
        ask.upstream = hashOf("plain-0");
        ask.incarnation = incarnation;
        ask.slots = 1;
        return this->own.request(ask);
    }

    /// Adds "plain-0" to the list of upstreams. \returns its incarnation.
    std::uint64_t addUpstream()
    {
        Replica replica;
        replica.id = "plain-0";
        replica.service = "plain";
        replica.maxConcurrency = 1;
        this->state.upstreams.apply({{ReplicaChange::Added, replica}});
        return incarnationOf(replica);
    }

    /// Takes the slot of an incarnation and its margin by requests 1 and 2, and lets request 3
    /// wait.
    void fill(std::uint64_t incarnation)
    {
        CHECK(this->askOwn(1, incarnation).state.verdict == SlotQueueVerdict::Granted);
        CHECK(this->askOwn(2, incarnation).state.verdict == SlotQueueVerdict::Granted);
        CHECK(this->askOwn(3, incarnation).state.verdict == SlotQueueVerdict::Queued);
    }

    void endOwn(std::uint64_t request, std::uint64_t incarnation)
    {
        this->own.end("127.0.0.3:1", request, incarnation,
                      {GrantEnd::Responded, Duration{0}, StatedLoad{9, 250}});
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
    SlotQueueCoordinator own{this->state, [this](const std::string &, const QueueReply &reply) {
                                 this->replies.push_back(reply);
                             }};
    /// The ends of waits that the coordinator has sent.
    std::vector<QueueReply> replies;
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

TEST_CASE_METHOD(SlotCoordinationFixture, "slotQueue_newIncarnationAsks_startsAnew", "[gateway]")
{
    // Guards against slots of a restarted upstream that runs of its former process still take, and
    // against figures of that process.
    this->fill(11);
    const QueueReply reply = this->askOwn(4, 12);
    CHECK(reply.state.verdict == SlotQueueVerdict::Granted);
    CHECK(reply.state.running == 1);
    REQUIRE(this->replies.size() == 1);
    CHECK(this->replies.front().requestId == 3);
    CHECK(this->replies.front().incarnation == 11);
    CHECK(this->replies.front().state.verdict == SlotQueueVerdict::Denied);
    CHECK(this->replies.front().state.retryAfter >= minSlotRetryAfter);
    this->endOwn(1, 11);
    // A router that does not know of the restart yet.
    const QueueReply outdated = this->askOwn(5, 11);
    CHECK(outdated.state.verdict == SlotQueueVerdict::Denied);
    CHECK(outdated.state.retryAfter >= minSlotRetryAfter);
    this->own.reconcile("127.0.0.3:1", {{11, 1, 0}});
    const SlotQueueGauge gauge = this->own.gauges().front();
    CHECK(gauge.granted == 1);
    CHECK(gauge.waiting == 0);
    CHECK(gauge.unknown == 0);
    CHECK(gauge.slowdownPercent == 0);
}

TEST_CASE_METHOD(SlotCoordinationFixture, "slotQueue_formerIncarnationAsksLate_listCorrectsIt",
                 "[gateway]")
{
    // Guards against a queue that stays with a former incarnation for good, because a router that
    // learned late of the restart has asked for it.
    const std::uint64_t listed = this->addUpstream();
    constexpr std::uint64_t former = 11;
    CHECK(this->askOwn(1, listed).state.verdict == SlotQueueVerdict::Granted);
    CHECK(this->askOwn(2, former).state.verdict == SlotQueueVerdict::Granted);
    CHECK(this->askOwn(3, listed).state.verdict == SlotQueueVerdict::Denied);
    this->clock.advance(Seconds{5});
    CHECK(this->askOwn(3, listed).state.verdict == SlotQueueVerdict::Granted);
    CHECK(this->askOwn(4, former).state.verdict == SlotQueueVerdict::Denied);
}

TEST_CASE_METHOD(SlotCoordinationFixture, "slotQueue_upstreamBecomesCold_waitingRequestsAreDenied",
                 "[gateway]")
{
    // Guards against requests that wait for a slot while their upstream needs permits instead.
    this->state.settings.coldStart = ColdStartTolerance{};
    RoutingConfig config;
    config.services.push_back({"plain", 0, std::nullopt, {Seconds{600}, 1.0}});
    this->state.routingTable = std::make_shared<RoutingTable>(std::move(config));
    const std::uint64_t incarnation = this->addUpstream();
    this->fill(incarnation);
    this->state.upstreams.find("plain-0")->cold.presume(Seconds{600}, this->clock.now());
    this->endOwn(1, incarnation);
    REQUIRE(this->replies.size() == 1);
    CHECK(this->replies.front().requestId == 3);
    CHECK(this->replies.front().state.verdict == SlotQueueVerdict::Denied);
    CHECK(this->replies.front().coldFor == Seconds{600});
    CHECK(this->own.gauges().front().waiting == 0);
    const wire::GatewayDatagram datagram = encode(this->replies.front(), this->first);
    CHECK(datagram.reply().cold_ms() == 600'000);
    CHECK_FALSE(datagram.reply().granted());
    CHECK_FALSE(datagram.reply().queued());
}
