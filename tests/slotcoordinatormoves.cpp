#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/enginecoordinator.h"

#include "gatewaystate.h"
#include "platformdialect.h"
#include "slotqueueclient.h"
#include "slotqueuecoordinator.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

constexpr std::size_t routerCount = 4;
constexpr std::size_t requestsPerRouter = 6;
constexpr std::uint32_t slots = 2;
/// Slots and a margin of one.
constexpr std::size_t capacity = 3;
constexpr std::uint64_t incarnation = 11;

/// Clients and coordinators of several routers before one upstream, with messages in memory.
class SlotFleet
{
protected:
    using RequestKey = std::pair<std::size_t, std::uint64_t>;

    struct Router
    {
        Router(SlotFleet &fleet, std::size_t index)
            : state(fleet.context, fleet.clock, fleet.dialect, settingsOf())
            , identity{{fmt::format("127.0.0.{}", index + 1), 1}, hashOf("router", index), 5}
            , own(this->state,
                  [&fleet, index](const std::string &router, const QueueReply &reply) {
                      fleet.sendReply(index, router, reply);
                  })
            , client(
                  this->state, this->own,
                  [&fleet, index](const Endpoint &to, const wire::GatewayDatagram &datagram) {
                      fleet.messages.push_back({index, fleet.indexOf(toText(to)), datagram});
                  },
                  [&fleet, index](std::uint64_t) { return fleet.locate(index); })
        {
            this->state.settings.peerDatagrams = this->identity.address;
        }

        static GatewaySettings settingsOf()
        {
            GatewaySettings settings;
            settings.contention.marginShare = 0.5;
            return settings;
        }

        GatewayState state;
        RouterIdentity identity;
        SlotQueueCoordinator own;
        SlotQueueClient client;
    };

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        wire::GatewayDatagram datagram;
    };

    SlotFleet()
    {
        for (std::size_t i = 0; i < routerCount; ++i) {
            this->routers.push_back(std::make_unique<Router>(*this, i));
        }
    }

    [[nodiscard]] std::size_t indexOf(const std::string &address) const
    {
        std::size_t index = 0;
        while (toText(this->routers.at(index)->identity.address) != address) {
            ++index;
        }
        return index;
    }

    [[nodiscard]] std::optional<RouterIdentity> locate(std::size_t router) const
    {
        const std::size_t coordinator = this->coordinators.at(router);
        return coordinator == router ? std::nullopt
                                     : std::optional(this->routers.at(coordinator)->identity);
    }

    void sendReply(std::size_t from, const std::string &router, const QueueReply &reply)
    {
        this->messages.push_back(
            {from, this->indexOf(router), encode(reply, this->routers.at(from)->identity)});
    }

    void askAll()
    {
        for (std::uint64_t id = 1; id <= requestsPerRouter; ++id) {
            for (std::size_t router = 0; router < routerCount; ++router) {
                QueueAsk ask;
                ask.request.requestId = id;
                ask.request.untilObjective = ask.request.untilDeadline = ask.request.maxWait =
                    Seconds{60};
                ask.upstream = hashOf("plain-0");
                ask.incarnation = incarnation;
                ask.slots = slots;
                this->routers.at(router)->client.ask(
                    std::move(ask), "a", [this, key = RequestKey{router, id}](const auto &reply) {
                        ++this->outcomes[key];
                        if (reply && reply->state.verdict == SlotQueueVerdict::Granted) {
                            this->running.insert(key);
                        }
                    });
                this->deliver();
            }
        }
    }

    void deliver()
    {
        while (!this->messages.empty()) {
            const Message message = this->messages.front();
            this->messages.pop_front();
            if (!this->isCut || message.from / 2 == message.to / 2) {
                this->receive(message);
            }
            this->mostRunning = std::max(this->mostRunning, this->running.size());
        }
    }

    void receive(const Message &message)
    {
        Router &to = *this->routers.at(message.to);
        const RouterIdentity &sender = this->routers.at(message.from)->identity;
        const wire::GatewayDatagram &datagram = message.datagram;
        if (datagram.has_ask()) {
            QueueAsk ask = decodeQueueAsk(datagram.ask());
            ask.request.router = toText(sender.address);
            this->sendReply(message.to, ask.request.router, to.own.request(ask));
        } else if (datagram.has_end()) {
            to.own.end(toText(sender.address), datagram.end().number(), datagram.end().life(),
                       decodeRelease(datagram.end()));
        } else {
            const QueueReply reply = decodeQueueReply(datagram.reply());
            const bool isOwn = message.from == message.to;
            const bool isKnown =
                to.client.onReply(reply, isOwn ? std::nullopt : std::optional(sender));
            // As FleetGossip does.
            if (!isKnown && reply.state.verdict != SlotQueueVerdict::Denied) {
                this->messages.push_back(
                    {message.to, message.from, encodeEnd(reply.requestId, reply.incarnation, {})});
            }
        }
    }

    /// Applies what the routers' updates state of their loads.
    void applyUpdates()
    {
        for (std::size_t to = 0; to < routerCount; ++to) {
            for (std::size_t from = 0; from < routerCount; ++from) {
                const auto load = std::count_if(
                    this->running.begin(), this->running.end(),
                    [from](const RequestKey &request) { return request.first == from; });
                if (!this->isCut || from / 2 == to / 2) {
                    this->routers.at(to)->own.reconcile(
                        toText(this->routers.at(from)->identity.address),
                        {{incarnation, static_cast<std::uint32_t>(load), 0}});
                }
            }
        }
        this->deliver();
    }

    /// Ends one run and waits for the next timer, \a count times or until all requests have ended.
    void run(std::size_t count)
    {
        const auto isDone = [this] {
            return this->running.empty()
                   && this->outcomes.size() == routerCount * requestsPerRouter;
        };
        for (; count > 0 && !isDone(); --count) {
            this->clock.advance(Milliseconds{this->running.empty() ? 50 : 5});
            this->applyUpdates();
            if (!this->running.empty()) {
                const auto ended =
                    std::next(this->running.begin(),
                              static_cast<std::ptrdiff_t>(this->random() % this->running.size()));
                const auto [router, id] = *ended;
                this->running.erase(ended);
                this->routers.at(router)->client.end(id, {GrantEnd::Responded});
            }
            this->deliver();
            this->context.restart();
            this->context.run_one_for(std::chrono::milliseconds{30});
            this->deliver();
        }
    }

    /// Waits until a router has granted all it may as coordinator. No run ends until then.
    void waitForGrants(std::size_t coordinator)
    {
        const auto granted = [this, coordinator] {
            const auto gauges = this->routers.at(coordinator)->own.gauges();
            return gauges.empty() ? 0 : gauges.front().granted;
        };
        while (granted() < capacity) {
            this->context.restart();
            REQUIRE(this->context.run_one_for(std::chrono::seconds{20}) == 1);
            this->deliver();
        }
    }

    /// Checks that each request has had one outcome, and that no grant is left.
    void checkAllEnded()
    {
        CHECK(this->outcomes.size() == routerCount * requestsPerRouter);
        for (const auto &[key, count] : this->outcomes) {
            CHECK(count == 1);
        }
        CHECK(this->running.empty());
        this->clock.advance(orphanedGrantTimeout + Milliseconds{1});
        this->applyUpdates();
        for (const auto &router : this->routers) {
            for (const SlotQueueGauge &gauge : router->own.gauges()) {
                CHECK(gauge.granted == 0);
                CHECK(gauge.waiting == 0);
            }
        }
    }

    asio::io_context context;
    ManualClock clock;
    platform::PlatformDialect dialect;
    std::mt19937_64 random{31};
    std::vector<std::unique_ptr<Router>> routers;
    /// Of each router: the index of the one that it takes for the coordinator.
    std::vector<std::size_t> coordinators{0, 0, 0, 0};
    /// The routers 0 and 1 do not reach the others.
    bool isCut = false;
    std::deque<Message> messages;
    std::set<RequestKey> running;
    std::size_t mostRunning = 0;
    std::map<RequestKey, int> outcomes;
};

} // namespace

TEST_CASE_METHOD(SlotFleet, "slotCoordinator_movesWhileRequestsWait_eachEndsOnce", "[gateway]")
{
    // Guards against requests that get two outcomes, or none, and against slots that are granted
    // more than twice.
    this->askAll();
    CHECK(this->mostRunning == capacity);
    // The routers learn of it one after the other.
    this->coordinators = {0, 1, 1, 0};
    this->waitForGrants(1);
    this->run(3);
    this->coordinators = {1, 1, 1, 1};
    this->run(400);
    CHECK(this->mostRunning == 2 * capacity);
    this->checkAllEnded();
}

TEST_CASE_METHOD(SlotFleet, "slotCoordinators_twoDuringPartition_grantAtMostTwice", "[gateway]")
{
    // Guards against grants beyond those of two coordinators, and against grants that stay when the
    // partition has ended.
    this->askAll();
    this->isCut = true;
    this->coordinators = {0, 0, 2, 2};
    this->waitForGrants(2);
    this->run(8);
    this->isCut = false;
    this->coordinators = {0, 0, 0, 0};
    this->run(400);
    CHECK(this->mostRunning == 2 * capacity);
    this->checkAllEnded();
}
