#include <functional>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "callerconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A connection whose caller reads only on demand, so that large responses stay queued.
class CallerConnectionFixture
{
protected:
    CallerConnectionFixture()
    {
        asio::ip::tcp::acceptor acceptor(
            this->context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        this->caller.open(asio::ip::tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(64 << 10));
        this->caller.connect(acceptor.local_endpoint());
        asio::ip::tcp::socket accepted = acceptor.accept();
        prepareSocket(accepted);
        accepted.set_option(asio::socket_base::send_buffer_size(64 << 10));
        this->handlers.onRequest = [this](const std::shared_ptr<CallerConnection> &,
                                          const IncomingRequest &) { ++this->requests; };
        this->handlers.onClosed = [this](CallerConnection &) { this->isClosed = true; };
        this->connection =
            std::make_shared<CallerConnection>(1, std::make_shared<ByteStream>(std::move(accepted)),
                                               this->limits, this->handlers, this->clock);
        this->connection->start();
    }

    void sendRequests(int count)
    {
        for (int i = 0; i < count; ++i) {
            asio::write(this->caller,
                        asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
        }
        this->caller.non_blocking(true);
        REQUIRE(this->eventually([this] { return this->requests == 1; }));
    }

    void respond(bool closeAfter = false)
    {
        this->connection->respond(200, {}, std::string(bodySize, 'a'), closeAfter);
        this->handleEvents();
    }

    void handleEvents()
    {
        this->context.restart();
        while (this->context.run_one_for(std::chrono::milliseconds{20}) > 0) {
        }
    }

    /// Handles events until \a condition holds, for up to 20 seconds. \returns whether it did.
    bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i) {
            this->handleEvents();
        }
        return condition();
    }

    /// Reads until \a size bytes were received or the connection has ended.
    std::size_t receive(std::size_t size)
    {
        std::string buffer(64 << 10, '\0');
        std::size_t received = 0;
        bool hasEnded = false;
        static_cast<void>(this->eventually([&] {
            asio::error_code error;
            while (!error && received < size) {
                received += this->caller.read_some(asio::buffer(buffer), error);
            }
            hasEnded = error && error != asio::error::would_block;
            return hasEnded || received >= size;
        }));
        return received;
    }

    static constexpr std::size_t bodySize = std::size_t{2} << 20;
    static constexpr std::size_t unlimited = std::size_t{1} << 40;
    asio::io_context context;
    ManualClock clock;
    CallerLimits limits;
    CallerHandlers handlers;
    asio::ip::tcp::socket caller{this->context};
    std::shared_ptr<CallerConnection> connection;
    int requests = 0;
    bool isClosed = false;
};

} // namespace

TEST_CASE_METHOD(CallerConnectionFixture,
                 "callerConnection_stopWhileCallerReads_sendsTheWholeResponse", "[gateway]")
{
    // Guards against a router that stops and discards the end of a response that a slow caller has
    // not read yet.
    this->sendRequests(1);
    this->respond();
    this->connection->closeWhenIdle();
    this->handleEvents();
    CHECK_FALSE(this->isClosed);
    CHECK(this->receive(unlimited) > bodySize);
    CHECK(this->isClosed);
}

TEST_CASE_METHOD(CallerConnectionFixture, "callerConnection_lastResponse_closesOnceItIsWritten",
                 "[gateway]")
{
    // Guards against a router that takes itself for drained, and ends, before the response that
    // closes a connection is written.
    this->sendRequests(1);
    this->respond(true);
    CHECK_FALSE(this->isClosed);
    CHECK(this->receive(unlimited) > bodySize);
    CHECK(this->isClosed);
}

TEST_CASE_METHOD(CallerConnectionFixture, "callerConnection_callerReadsForLong_isNotClosedAsIdle",
                 "[gateway]")
{
    // Guards against a response that is cut because writing it takes longer than connections may be
    // idle.
    this->sendRequests(1);
    this->respond();
    for (int i = 0; i < 4; ++i) {
        CHECK(this->receive(bodySize / 8) >= bodySize / 8);
        this->clock.advance(this->limits.idleTimeout - Milliseconds{1});
        this->connection->enforceLimits(this->limits, this->clock.now());
        REQUIRE_FALSE(this->isClosed);
    }
    // A caller that reads nothing is idle.
    this->clock.advance(2 * this->limits.idleTimeout);
    this->connection->enforceLimits(this->limits, this->clock.now());
    CHECK(this->isClosed);
}

TEST_CASE_METHOD(CallerConnectionFixture,
                 "callerConnection_requestsWithoutReading_waitForTheResponseBefore", "[gateway]")
{
    // Guards against a caller that sends request after request and reads no response: all of them
    // would be queued in memory.
    this->sendRequests(3);
    this->respond();
    CHECK(this->requests == 1);
    CHECK(this->receive(bodySize) >= bodySize);
    CHECK(this->eventually([this] { return this->requests == 2; }));
}
