#include "upstreamconnection.h"

#include <asio/ip/address.hpp>

#include "responsesyntax.h"

namespace plantainswitch::gateway {

UpstreamConnection::UpstreamConnection(asio::io_context &context, const Clock &clock,
                                       WorkQueue *work)
    : context(context)
    , clock(clock)
    , work(work)
    , connecting(context)
    , timer(context)
    , parser(MessageKind::Response, net::maxResponseHeadBytes,
             {[this](MessageHead head) {
                  this->keepAlive = head.keepAlive;
                  // Copied because the handler may abort this connection.
                  const auto currentHandlers = this->handlers;
                  this->skippingResponse =
                      currentHandlers && !currentHandlers->onHead(std::move(head));
              },
              [this](std::string_view bytes) {
                  const auto currentHandlers = this->handlers;
                  if (this->skippingResponse) {
                      this->skippedBytes += bytes.size();
                  } else if (currentHandlers) {
                      currentHandlers->onBody(bytes);
                  }
              }})
{}

void UpstreamConnection::connectAndSend(const Endpoint &endpoint, Milliseconds timeout,
                                        std::string request, ResponseHandlers newHandlers,
                                        bool isHead)
{
    this->busy = true;
    this->handlers = std::make_shared<ResponseHandlers>(std::move(newHandlers));
    this->connect(
        endpoint, timeout,
        [weak = this->weak_from_this(), request = std::move(request), isHead](bool isConnected) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (!isConnected) {
                self->finish(ResponseOutcome::ConnectFailed);
                return;
            }
            if (self->handlers->maySend && !self->handlers->maySend()) {
                self->finish(ResponseOutcome::Withheld);
                return;
            }
            self->writeRequest(request, isHead);
        });
}

void UpstreamConnection::connect(const Endpoint &endpoint, Milliseconds timeout,
                                 std::function<void(bool)> done)
{
    const auto self = this->shared_from_this();
    const asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint.host), endpoint.port);
    this->timer.expires_after(timeout);
    this->timer.async_wait([self](const asio::error_code &error) {
        if (!error && !self->stream) {
            asio::error_code ignored;
            self->connecting.close(ignored);
        }
    });
    this->connecting.async_connect(target,
                                   [self, done = std::move(done)](const asio::error_code &error) {
                                       self->timer.cancel();
                                       if (self->aborted) {
                                           return;
                                       }
                                       if (!error) {
                                           self->onConnected();
                                       }
                                       done(!error);
                                   });
}

void UpstreamConnection::onConnected()
{
    prepareSocket(this->connecting);
    this->keepAlive = true;
    this->idleStart = this->clock.now();
    this->stream = std::make_shared<ByteStream>(std::move(this->connecting), this->work);
    const std::weak_ptr<UpstreamConnection> weak = this->weak_from_this();
    this->stream->start({[weak](std::string_view bytes) {
                             if (const auto self = weak.lock()) {
                                 self->onBytes(bytes);
                             }
                         },
                         [weak](bool orderly) {
                             if (const auto self = weak.lock()) {
                                 self->onClosed(orderly);
                             }
                         },
                         {},
                         // The response that ends here began before the upstream had read its
                         // whole request. If it resets the connection for the rest of that, the
                         // response may be cut.
                         [weak] {
                             const auto self = weak.lock();
                             return self && self->busy && self->parser.inBodyUntilClose();
                         }});
}

void UpstreamConnection::send(const std::string &request, ResponseHandlers newHandlers, bool isHead)
{
    static_cast<void>(this->parser.beginNext());
    this->skippedBytes = 0;
    this->busy = true;
    this->handlers = std::make_shared<ResponseHandlers>(std::move(newHandlers));
    this->writeRequest(request, isHead);
}

void UpstreamConnection::writeRequest(const std::string &request, bool isHead)
{
    this->parser.expectEmptyBody(isHead);
    this->stream->write(request);
}

bool UpstreamConnection::isReusable() const noexcept
{
    return !this->busy && this->keepAlive && this->stream && this->stream->isOpen();
}

void UpstreamConnection::onBytes(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->busy) {
        // No request is running: these bytes belong to none, and what follows them cannot be
        // trusted either.
        this->abort();
        return;
    }
    this->handleParseState(this->parser.feed(bytes));
}

void UpstreamConnection::handleParseState(ParseState parseState)
{
    while (this->busy) {
        if (this->skippingResponse && this->skippedBytes > maxSkippedBytes) {
            this->finish(ResponseOutcome::Malformed);
            return;
        }
        if (parseState == ParseState::Incomplete) {
            return;
        }
        if (parseState != ParseState::Complete) {
            this->finish(ResponseOutcome::Malformed);
            return;
        }
        if (!this->skippingResponse) {
            this->finish(ResponseOutcome::Complete);
            return;
        }
        this->skippingResponse = false;
        parseState = this->parser.beginNext();
    }
}

void UpstreamConnection::onClosed(bool orderly)
{
    if (!this->busy) {
        return;
    }
    const auto self = this->shared_from_this();
    // A response without a length ends with its connection, but only if that is closed in an
    // orderly way: after a reset something may be missing.
    if (orderly && !this->skippingResponse && this->parser.inBody()
        && this->parser.finish() == ParseState::Complete) {
        this->keepAlive = false;
        this->finish(ResponseOutcome::Complete);
        return;
    }
    this->finish(ResponseOutcome::ConnectionLost);
}

void UpstreamConnection::finish(ResponseOutcome outcome)
{
    this->busy = false;
    this->idleStart = this->clock.now();
    const auto currentHandlers = std::move(this->handlers);
    this->handlers.reset();
    const bool isUsedUp =
        outcome != ResponseOutcome::Complete && outcome != ResponseOutcome::Withheld;
    const bool reusable = !isUsedUp && this->keepAlive && !this->parser.hasBufferedBytes()
                          && this->stream && this->stream->queuedBytes() == 0;
    if (!reusable) {
        this->keepAlive = false;
        if (this->stream) {
            this->stream->close();
        }
    }
    if (currentHandlers && currentHandlers->onEnd) {
        currentHandlers->onEnd(outcome);
    }
}

void UpstreamConnection::abort()
{
    this->aborted = true;
    this->busy = false;
    this->keepAlive = false;
    this->handlers.reset();
    this->timer.cancel();
    asio::error_code ignored;
    this->connecting.close(ignored);
    if (this->stream) {
        this->stream->close();
    }
}

void UpstreamConnection::pauseReading()
{
    if (this->stream) {
        this->stream->pauseReading();
    }
}

void UpstreamConnection::resumeReading()
{
    if (this->stream) {
        this->stream->resumeReading();
    }
}

} // namespace plantainswitch::gateway
