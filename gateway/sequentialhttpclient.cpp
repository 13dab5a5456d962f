#include "sequentialhttpclient.h"

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

/// Time for a connection to come about.
constexpr Milliseconds connectLimit{1000};

} // namespace

void PlainClient::call(const Endpoint &server, std::string_view method, const std::string &target,
                       const std::string &body, CallLimits newLimits,
                       std::function<void(PlainReply)> newDone)
{
    this->done = std::move(newDone);
    this->reply = {};
    this->calls += 1;
    this->limits = newLimits;
    this->begun = this->gateway.clock.now();
    this->heard = this->begun;
    std::string request =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, toText(server));
    if (!body.empty()) {
        request +=
            fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    }
    request.append("\r\n").append(body);
    AnswerEvents events{[this](const MessageHead &head) {
                            this->heard = this->gateway.clock.now();
                            this->reply.status = head.status;
                            return true;
                        },
                        [this](std::string_view bytes) {
                            this->heard = this->gateway.clock.now();
                            this->reply.body.append(bytes);
                        },
                        [this](AnswerEnd end) {
                            this->end(end == AnswerEnd::Whole ? std::move(this->reply)
                                                              : PlainReply{});
                        }};
    this->armTimer();
    if (this->connection && this->connection->isReusable() && this->connectedTo == server) {
        this->connection->send(request, std::move(events));
        return;
    }
    this->connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    this->connectedTo = server;
    this->connection->open(server, std::min(connectLimit, newLimits.whole), std::move(request),
                           std::move(events));
}

void PlainClient::armTimer()
{
    TimePoint due = this->begun + this->limits.whole;
    if (this->limits.silence.count() > 0) {
        due = std::min(due, this->heard + this->limits.silence);
    }
    this->timer.expires_at(due);
    this->timer.async_wait([this, due, number = this->calls](const asio::error_code &error) {
        if (error || number != this->calls || !this->done) {
            return;
        }
        const bool isOver = due >= this->begun + this->limits.whole;
        if (!isOver && this->gateway.clock.now() - this->heard < this->limits.silence) {
            this->armTimer();
            return;
        }
        this->connection->drop();
        this->end({});
    });
}

void PlainClient::abandon()
{
    this->timer.cancel();
    this->done = nullptr;
    if (this->connection) {
        this->connection->drop();
    }
}

void PlainClient::end(PlainReply ended)
{
    this->timer.cancel();
    const auto finished = std::move(this->done);
    this->done = nullptr;
    if (finished) {
        finished(std::move(ended));
    }
}

} // namespace plantainswitch::gateway
