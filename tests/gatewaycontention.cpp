#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <numeric>
#include <thread>
#include <vector>

#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "peer.pb.h"
#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"
#include "gatewayfixture.h"
#include "loopback.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

constexpr std::size_t routerCount = 5;
constexpr int slots = 4;
constexpr double marginShare = 0.5;
/// Slots and margin.
constexpr int maxGrants = 6;

class TestedRouter : public GatewayFixture
{
public:
    using GatewayFixture::addUpstream;
    using GatewayFixture::call;
    using GatewayFixture::changeSettings;
    using GatewayFixture::connectCaller;
    using GatewayFixture::eventually;
    using GatewayFixture::gateway;
    using GatewayFixture::getInternalPage;
    using GatewayFixture::makeRequest;
    using GatewayFixture::makeResponse;
    using GatewayFixture::start;

    /// \returns what \a read returns of the gateway's state, on its own thread.
    template<typename Read>
    auto read(Read read)
    {
        std::promise<decltype(read(this->gateway->sharedState()))> value;
        this->gateway->post(
            [this, &value, &read] { value.set_value(read(this->gateway->sharedState())); });
        return value.get_future().get();
    }

    [[nodiscard]] bool isContended()
    {
        return this->read([](GatewayState &state) { return state.isContended("plain"); });
    }

    [[nodiscard]] SlotQueueGauge queue()
    {
        return this->read([](GatewayState &state) {
            const auto gauges = state.fleet->slotQueuesHere().gauges();
            return gauges.empty() ? SlotQueueGauge{} : gauges.front();
        });
    }
};

/// Several routers before one upstream with fewer slots than there are routers.
class GatewayContentionFixture
{
protected:
    ~GatewayContentionFixture() { this->open(); }

    void start()
    {
        const std::uint16_t datagrams = freePort(routerCount);
        for (std::size_t i = 0; i < routerCount; ++i) {
            this->routers.push_back(std::make_unique<TestedRouter>());
            this->routers[i]->changeSettings([i, datagrams](GatewaySettings &settings) {
                settings.id = fmt::format("router-{}", i);
                settings.contention.marginShare = marginShare;
                settings.peerDatagrams = {ownAddress(i + 1), datagrams};
                settings.seeds = {{ownAddress(1), datagrams}, {ownAddress(2), datagrams}};
            });
            // The same upstream, at an address of its own for each router.
            this->routers[i]->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
                while (const auto request = connection.read()) {
                    this->respond(connection, *request);
                }
            });
            this->routers[i]->start();
        }
        REQUIRE(TestedRouter::eventually([this] {
            return std::all_of(this->routers.begin(), this->routers.end(), [](const auto &router) {
                return router->read([](GatewayState &state) { return state.routerCount(); })
                       == routerCount;
            });
        }));
    }

    /// Lets four requests run and as many wait; rejects the others.
    void respond(ServerConnection &connection, const ReceivedRequest &request)
    {
        std::unique_lock lock(this->mutex);
        if (this->held >= 2 * slots) {
            ++this->rejected;
            const std::string load = this->loadField();
            lock.unlock();
            connection.send(
                TestedRouter::makeResponse(request, "", 503, "X-Not-Executed: 1\r\n" + load));
            return;
        }
        ++this->runs[*request.head.find("X-Attempt-Id")];
        ++this->held;
        this->mostHeld = std::max(this->mostHeld, this->held);
        this->changed.wait(lock, [this] { return this->running < slots; });
        ++this->running;
        constexpr std::chrono::milliseconds work{30};
        if (this->isClosed) {
            this->changed.wait(lock, [this] { return !this->isClosed; });
        } else {
            this->changed.wait_for(lock, work, [] { return false; });
        }
        --this->running;
        --this->held;
        const std::string load = this->loadField();
        lock.unlock();
        this->changed.notify_all();
        connection.send(TestedRouter::makeResponse(request, "served", 200, load));
    }

    [[nodiscard]] std::string loadField() const
    {
        return fmt::format("X-Replica-Load: {}, {}, {}, 100\r\n", this->running,
                           this->held - this->running, slots);
    }

    /// From now on no run ends before open().
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->isClosed = true;
    }

    void open()
    {
        const std::lock_guard lock(this->mutex);
        this->isClosed = false;
        this->changed.notify_all();
    }

    int heldNow()
    {
        const std::lock_guard lock(this->mutex);
        return this->held;
    }

    /// Makes the service contended for all routers.
    void makeContended()
    {
        this->routers[0]->read([](GatewayState &state) {
            state.recordContention("plain");
            return true;
        });
        REQUIRE(this->eventuallyContended());
    }

    bool eventuallyContended()
    {
        return TestedRouter::eventually([this] {
            return std::all_of(this->routers.begin(), this->routers.end(),
                               [](const auto &router) { return router->isContended(); });
        });
    }

    /// Starts calls that are spread over the routers.
    void callInBackground(int count, const std::string &path = "/safe/x")
    {
        for (int i = 0; i < count; ++i, ++this->started) {
            const std::string attempt = fmt::format("a{}", this->started);
            TestedRouter &router = *this->routers[this->started % this->routers.size()];
            this->calls.push_back(std::async(std::launch::async, [&router, attempt, path] {
                return router.call(TestedRouter::makeRequest(path, attempt)).status;
            }));
        }
    }

    /// Waits for the calls. \returns how many had \a status; all others must have 503 or 429.
    int finishCalls(int status)
    {
        int count = 0;
        for (std::future<int> &result : this->calls) {
            const int received = result.get();
            count += received == status ? 1 : 0;
            CHECK((received == status || received == 503 || received == 429));
        }
        this->calls.clear();
        return count;
    }

    /// \returns the sum of \a counter over all routers.
    int sumOf(const std::string &counter)
    {
        int sum = 0;
        for (const auto &router : this->routers) {
            const std::string page = router->getInternalPage("/metrics").body;
            const std::string name = "plantainswitch_" + counter + " ";
            const std::size_t at = page.find("\n" + name);
            sum += at == std::string::npos ? 0 : std::stoi(page.substr(at + 1 + name.size()));
        }
        return sum;
    }

    /// \returns the router that coordinates the upstream, once it was asked.
    TestedRouter &coordinator()
    {
        const auto found =
            std::find_if(this->routers.begin(), this->routers.end(),
                         [](const auto &router) { return !router->queue().upstream.empty(); });
        REQUIRE(found != this->routers.end());
        return **found;
    }

    /// Fills the upstream's slots and margin.
    void fill()
    {
        this->close();
        this->callInBackground(maxGrants, "/once/x");
        REQUIRE(TestedRouter::eventually([this] { return this->heldNow() == maxGrants; }));
    }

    std::mutex mutex;
    std::condition_variable changed;
    int held = 0;
    int running = 0;
    int mostHeld = 0;
    int rejected = 0;
    bool isClosed = false;
    std::map<std::string, int> runs;
    std::vector<std::unique_ptr<TestedRouter>> routers;
    std::size_t started = 0;
    std::vector<std::future<int>> calls;
};

} // namespace

TEST_CASE_METHOD(GatewayContentionFixture, "contendedService_burstOfAllRouters_keepsToTheSlots",
                 "[gateway]")
{
    // Guards against routers that fill an upstream together because none knows the others'
    // requests.
    this->start();
    CHECK_FALSE(this->routers[0]->isContended());
    this->callInBackground(60);
    this->finishCalls(200);
    REQUIRE(this->eventuallyContended());
    REQUIRE(TestedRouter::eventually([this] { return this->heldNow() == 0; }));
    this->mostHeld = 0;
    const int rejectedBefore = this->rejected;
    const int timeoutsBefore = this->sumOf("slot_ask_timeouts_total");
    this->callInBackground(60);
    CHECK(this->finishCalls(200) > 30);
    // On a slow machine a coordinator may be taken for silent.
    const int ungranted = this->sumOf("slot_ask_timeouts_total") - timeoutsBefore;
    CHECK(this->mostHeld <= maxGrants + ungranted);
    CHECK(this->rejected - rejectedBefore <= ungranted);
}

TEST_CASE_METHOD(GatewayContentionFixture, "contendedService_slotsTaken_requestWaitsForOne",
                 "[gateway]")
{
    // Guards against refusing requests that would get a slot in time.
    this->start();
    this->makeContended();
    this->fill();
    this->callInBackground(1);
    TestedRouter &coordinator = this->coordinator();
    REQUIRE(TestedRouter::eventually([&coordinator] { return coordinator.queue().waiting == 1; }));
    CHECK(this->heldNow() == maxGrants);
    this->open();
    CHECK(this->finishCalls(200) == maxGrants + 1);
    CHECK(TestedRouter::eventually([&coordinator] { return coordinator.queue().granted == 0; }));
}

TEST_CASE_METHOD(GatewayContentionFixture,
                 "contendedService_callerLeavesWhileQueued_leavesTheQueue", "[gateway]")
{
    // Guards against slots that go to requests without a caller.
    this->start();
    this->makeContended();
    this->fill();
    TestedRouter &coordinator = this->coordinator();
    {
        asio::ip::tcp::socket caller = this->routers[1]->connectCaller();
        asio::write(caller, asio::buffer(TestedRouter::makeRequest("/safe/x", "left")));
        REQUIRE(
            TestedRouter::eventually([&coordinator] { return coordinator.queue().waiting == 1; }));
    }
    CHECK(TestedRouter::eventually([&coordinator] { return coordinator.queue().waiting == 0; }));
    this->open();
    CHECK(this->finishCalls(200) == maxGrants);
    CHECK(this->runs.count("left") == 0);
}

TEST_CASE_METHOD(GatewayContentionFixture, "contendedService_coordinatorFreezes_serviceGoesOn",
                 "[gateway]")
{
    // Guards against requests that wait for a coordinator that has failed, or run twice because of
    // it.
    this->start();
    this->makeContended();
    this->fill();
    this->callInBackground(1, "/once/x");
    TestedRouter &coordinator = this->coordinator();
    REQUIRE(TestedRouter::eventually([&coordinator] { return coordinator.queue().waiting == 1; }));
    std::promise<void> thaw;
    coordinator.gateway->post([&thaw] { thaw.get_future().wait(); });
    this->open();
    // The upstream serves again while the coordinator is frozen.
    std::size_t next = 0;
    CHECK(TestedRouter::eventually([this, &coordinator, &next] {
        TestedRouter &router = *this->routers[next++ % routerCount];
        return &router != &coordinator
               && router.call(TestedRouter::makeRequest("/once/x", fmt::format("f{}", next))).status
                      == 200;
    }));
    thaw.set_value();
    this->finishCalls(200);
    CHECK(TestedRouter::eventually([this] {
        return this->routers[0]->call(TestedRouter::makeRequest("/once/x", "last")).status != 503;
    }));
    for (const auto &[attempt, count] : this->runs) {
        CHECK(count == 1);
    }
}

namespace {

/// One router that is asked by datagrams, as another router would do.
class SlotProtocolFixture : public GatewayFixture
{
protected:
    SlotProtocolFixture()
        : socket(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        this->changeSettings(
            [](GatewaySettings &settings) { settings.contention.marginShare = marginShare; });
        this->addUpstream("plain-0", "plain", [](ServerConnection &) {});
        this->start();
        this->socket.non_blocking(true);
    }

    void send(const wire::GatewayDatagram &datagram)
    {
        const Endpoint to = this->gateway->datagramEndpoint();
        this->socket.send_to(asio::buffer(datagram.SerializeAsString()),
                             {asio::ip::make_address(to.host), to.port});
    }

    void ask(std::uint64_t number, std::uint32_t maxWait)
    {
        wire::GatewayDatagram datagram;
        wire::EngineAsk &message = *datagram.mutable_ask();
        message.set_number(number);
        message.set_life(incarnation);
        message.set_upstream(hashOf("plain-0"));
        message.set_max_wait_ms(maxWait);
        message.set_objective_ms(maxWait);
        message.set_deadline_ms(maxWait);
        message.set_slots(slots);
        this->send(datagram);
    }

    void end(std::uint64_t number, std::uint32_t load)
    {
        wire::GatewayDatagram datagram;
        datagram.mutable_end()->set_number(number);
        datagram.mutable_end()->set_life(incarnation);
        datagram.mutable_end()->set_responded(true);
        datagram.mutable_end()->set_upstream_load(load);
        this->send(datagram);
    }

    /// Waits for the next datagram that \a isExpected holds for.
    template<typename Condition>
    wire::GatewayDatagram receive(Condition isExpected)
    {
        wire::GatewayDatagram datagram;
        std::array<char, 65536> buffer{};
        const bool isReceived = eventually([&] {
            asio::error_code error;
            const std::size_t size = this->socket.receive(asio::buffer(buffer), 0, error);
            return !error && datagram.ParseFromArray(buffer.data(), static_cast<int>(size))
                   && isExpected(datagram);
        });
        REQUIRE(isReceived);
        return datagram;
    }

    /// Waits for the next reply to \a number.
    wire::EngineReply reply(std::uint64_t number)
    {
        return this
            ->receive([number](const auto &datagram) {
                return datagram.has_reply() && datagram.reply().number() == number;
            })
            .reply();
    }

    static constexpr std::uint64_t incarnation = 77;
    static constexpr std::uint32_t wait = 4000;
    asio::io_context context;
    asio::ip::udp::socket socket;
};

} // namespace

TEST_CASE_METHOD(SlotProtocolFixture, "slotAsk_slotsTaken_isQueuedAndGrantedLater", "[gateway]")
{
    // Guards against a second reply that never comes.
    for (std::uint64_t number = 1; number <= maxGrants; ++number) {
        this->ask(number, wait);
        CHECK(this->reply(number).granted());
    }
    this->ask(9, wait);
    const wire::EngineReply queued = this->reply(9);
    CHECK(queued.queued());
    CHECK_FALSE(queued.granted());
    CHECK(queued.running() == maxGrants);
    // A repeated question changes nothing.
    this->ask(9, wait);
    CHECK(this->reply(9).queued());
    this->end(1, maxGrants);
    const wire::EngineReply granted = this->reply(9);
    CHECK(granted.granted());
    CHECK_FALSE(granted.queued());
}

TEST_CASE_METHOD(SlotProtocolFixture, "slotAsk_upstreamStatesMoreThanGranted_countsTheOthers",
                 "[gateway]")
{
    // Guards against grants beside the requests of routers that do not ask.
    this->ask(1, wait);
    REQUIRE(this->reply(1).granted());
    this->end(1, 9);
    this->ask(2, wait);
    CHECK(this->reply(2).queued());
    // The statement expires, so that requests that have ended unseen block no slot for good.
    CHECK(this->reply(2).granted());
}

TEST_CASE_METHOD(SlotProtocolFixture, "engineAsk_ofEarlierVersion_isNeverQueued", "[gateway]")
{
    // Guards against routers of an earlier version that wait for a second reply in vain.
    for (std::uint64_t number = 1; number <= maxGrants; ++number) {
        this->ask(number, wait);
        CHECK(this->reply(number).granted());
    }
    this->ask(9, 0);
    const wire::EngineReply reply = this->reply(9);
    CHECK(reply.granted());
    CHECK_FALSE(reply.queued());
}

TEST_CASE_METHOD(SlotProtocolFixture, "slotReply_requestHasLeftTheQueue_grantIsReturned",
                 "[gateway]")
{
    // Guards against slots that stay taken by requests that have left their router before the
    // grant arrived.
    const auto sendReply = [this](std::uint64_t number, bool isGranted, bool isQueued) {
        wire::GatewayDatagram datagram;
        datagram.mutable_reply()->set_number(number);
        datagram.mutable_reply()->set_life(incarnation);
        datagram.mutable_reply()->set_granted(isGranted);
        datagram.mutable_reply()->set_queued(isQueued);
        this->send(datagram);
    };
    sendReply(1, false, false);
    sendReply(2, true, false);
    sendReply(3, false, true);
    for (const std::uint64_t number : {2U, 3U}) {
        const wire::EngineEnd end =
            this->receive([](const auto &datagram) { return datagram.has_end(); }).end();
        CHECK(end.number() == number);
        CHECK(end.life() == incarnation);
        CHECK_FALSE(end.responded());
        CHECK_FALSE(end.has_upstream_load());
    }
}
