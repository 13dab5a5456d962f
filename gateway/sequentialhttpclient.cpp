#include "sequentialhttpclient.h"

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

/// Timeout for a new connection.
constexpr Milliseconds connectTimeout{1000};
/// Largest body of a reply. The store sends about 1 MB a page, a router its whole view at once.
constexpr std::size_t maxReplyBytes = 16 << 20;

} // namespace

void SequentialHttpClient::call(const Endpoint &server, std::string_view method,
                                const std::string &target, const std::string &body,
                                CallTimeouts newTimeouts, std::function<void(CallReply)> newDone)
{
    this->done = std::move(newDone);
    this->reply = {};
    this->callCount += 1;
    this->timeouts = newTimeouts;
    this->startedAt = this->gateway.clock.now();
    this->lastReceivedAt = this->startedAt;
    std::string request =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, toText(server));
    if (!body.empty()) {
        request +=
            fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    }
    request.append("\r\n").append(body);
    ResponseHandlers responseHandlers{
        [this](const MessageHead &head) {
            this->lastReceivedAt = this->gateway.clock.now();
            this->reply.status = head.status;
            return true;
        },
        [this](std::string_view bytes) {
            this->lastReceivedAt = this->gateway.clock.now();
            if (this->reply.body.size() + bytes.size() > maxReplyBytes) {
                this->connection->abort();
                this->finish({});
                return;
            }
            this->reply.body.append(bytes);
        },
        [this](ResponseOutcome end) {
            this->finish(end == ResponseOutcome::Complete ? std::move(this->reply) : CallReply{});
        }};
    this->armTimer();
    if (this->connection && this->connection->isReusable() && this->connectedTo == server) {
        this->connection->send(request, std::move(responseHandlers));
        return;
    }
    this->connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    this->connectedTo = server;
    this->connection->connectAndSend(server, std::min(connectTimeout, newTimeouts.total),
                                     std::move(request), std::move(responseHandlers));
}

void SequentialHttpClient::armTimer()
{
    TimePoint due = this->startedAt + this->timeouts.total;
    if (this->timeouts.idle.count() > 0) {
        due = std::min(due, this->lastReceivedAt + this->timeouts.idle);
    }
    this->timer.expires_at(due);
    this->timer.async_wait([this, due, number = this->callCount](const asio::error_code &error) {
        if (error || number != this->callCount || !this->done) {
            return;
        }
        const bool isTotalReached = due >= this->startedAt + this->timeouts.total;
        if (!isTotalReached
            && this->gateway.clock.now() - this->lastReceivedAt < this->timeouts.idle) {
            this->armTimer();
            return;
        }
        this->connection->abort();
        this->finish({});
    });
}

void SequentialHttpClient::cancel()
{
    this->timer.cancel();
    this->done = nullptr;
    if (this->connection) {
        this->connection->abort();
    }
}

void SequentialHttpClient::finish(CallReply result)
{
    this->timer.cancel();
    result.elapsed =
        std::chrono::duration_cast<Milliseconds>(this->gateway.clock.now() - this->startedAt);
    const auto completion = std::move(this->done);
    this->done = nullptr;
    if (completion) {
        completion(std::move(result));
    }
}

} // namespace plantainswitch::gateway
