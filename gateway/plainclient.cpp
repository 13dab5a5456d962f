#include "plainclient.h"

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

/// Time for a connection to come about.
constexpr Milliseconds connectLimit{1000};

} // namespace

void PlainClient::call(const Endpoint &server, std::string_view method, const std::string &target,
                       const std::string &body, Milliseconds timeout,
                       std::function<void(PlainReply)> newDone)
{
    this->done = std::move(newDone);
    this->reply = {};
    this->calls += 1;
    std::string request =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, toText(server));
    if (!body.empty()) {
        request +=
            fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    }
    request.append("\r\n").append(body);
    AnswerEvents events{[this](const MessageHead &head) {
                            this->reply.status = head.status;
                            return true;
                        },
                        [this](std::string_view bytes) { this->reply.body.append(bytes); },
                        [this](AnswerEnd end) {
                            this->end(end == AnswerEnd::Whole ? std::move(this->reply)
                                                              : PlainReply{});
                        }};
    this->timer.expires_after(timeout);
    this->timer.async_wait([this, number = this->calls](const asio::error_code &error) {
        if (!error && number == this->calls && this->done) {
            this->connection->drop();
            this->end({});
        }
    });
    if (this->connection && this->connection->isReusable() && this->connectedTo == server) {
        this->connection->send(request, std::move(events));
        return;
    }
    this->connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    this->connectedTo = server;
    this->connection->open(server, std::min(connectLimit, timeout), std::move(request),
                           std::move(events));
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
