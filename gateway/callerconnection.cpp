#include "callerconnection.h"

#include <utility>

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

/// Bytes of pipelined requests that are buffered while a request runs. With more, reading is
/// paused, and a disconnect of the caller is not noticed until it is resumed.
constexpr std::size_t maxPipelinedBytes = 64 << 10;

} // namespace

CallerConnection::CallerConnection(std::uint64_t id, std::shared_ptr<ByteStream> stream,
                                   CallerLimits limits, const CallerHandlers &owner,
                                   const Clock &clock)
    : connectionId(id)
    , stream(std::move(stream))
    , limits(limits)
    , handlers(owner)
    , clock(clock)
    , parser(MessageKind::Request, limits.maxHeaderBytes,
             {[this](MessageHead head) {
                  this->tooLarge = head.contentLength.value_or(0) > this->limits.maxBodyBytes;
                  if (!this->tooLarge) {
                      this->incoming.body.reserve(head.contentLength.value_or(0));
                  }
                  this->incoming.head = std::move(head);
              },
              [this](std::string_view bytes) {
                  this->tooLarge =
                      this->tooLarge
                      || this->incoming.body.size() + bytes.size() > this->limits.maxBodyBytes;
                  if (!this->tooLarge) {
                      this->incoming.body.append(bytes);
                  }
              }})
    , lastActivityAt(clock.now())
{}

void CallerConnection::start()
{
    const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
    this->stream->start({[weak](std::string_view bytes) {
                             if (const auto self = weak.lock()) {
                                 self->onBytes(bytes);
                             }
                         },
                         [weak](bool) {
                             if (const auto self = weak.lock()) {
                                 self->onStreamClosed();
                             }
                         },
                         [weak] {
                             const auto self = weak.lock();
                             if (self && self->writing) {
                                 self->onResponseWritten();
                             } else if (self && self->busy && self->handlers.onWritten) {
                                 self->handlers.onWritten(*self);
                             }
                         }});
}

void CallerConnection::onBytes(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->busy || this->writing) {
        this->pipelined.append(bytes);
        if (this->pipelined.size() > maxPipelinedBytes) {
            this->stream->pauseReading();
        }
        return;
    }
    if (!this->isReceiving) {
        this->isReceiving = true;
        this->incoming = {};
        this->incoming.receivedAt = this->clock.now() - this->stream->readDelay();
        this->lastActivityAt = this->clock.now();
    } else if (this->parser.inBody()) {
        this->lastActivityAt = this->clock.now();
    }
    this->handleParseState(this->parser.feed(bytes));
}

void CallerConnection::handleParseState(ParseState parseState)
{
    if (this->tooLarge) {
        this->keepAlive = false;
        this->busy = true;
        this->respond(413, {}, {}, true);
        return;
    }
    switch (parseState) {
    case ParseState::Incomplete:
        return;
    case ParseState::HeadTooLarge:
        this->busy = true;
        this->respond(431, {}, {}, true);
        return;
    case ParseState::Malformed:
        // An ambiguous message gets no response: what the bytes after it mean is unknown, too.
        this->closeImmediately();
        return;
    case ParseState::Complete:
        break;
    }
    if (this->stream->isClosedByPeer()) {
        // The request waited behind others until its caller gave up.
        this->closeImmediately();
        return;
    }
    this->busy = true;
    this->isReceiving = false;
    this->keepAlive = this->incoming.head.keepAlive;
    this->handlers.onRequest(this->shared_from_this(), std::move(this->incoming));
}

void CallerConnection::onStreamClosed()
{
    const auto self = this->shared_from_this();
    if (this->busy) {
        this->handlers.onDisconnected(*this);
    }
    this->closeImmediately();
}

void CallerConnection::writeHead(int status, const std::vector<HeaderField> &fields)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhraseOf(status));
    for (const HeaderField &field : fields) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!this->keepAlive) {
        head.append("Connection: close\r\n");
    }
    this->stream->write(head);
}

void CallerConnection::respond(int status, const std::vector<HeaderField> &fields,
                               std::string_view body, bool closeAfter)
{
    this->keepAlive = this->keepAlive && !closeAfter;
    this->writeHead(status, fields);
    this->stream->write(fmt::format("Content-Length: {}\r\n\r\n", body.size()));
    this->stream->write(body);
    this->finishResponse();
}

void CallerConnection::startChunked(int status, const std::vector<HeaderField> &fields,
                                    bool closeAfter)
{
    this->keepAlive = this->keepAlive && !closeAfter;
    this->writeHead(status, fields);
    this->stream->write("Transfer-Encoding: chunked\r\n\r\n");
}

void CallerConnection::writeChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    this->stream->write(fmt::format("{:x}\r\n", bytes.size()));
    this->stream->write(bytes);
    this->stream->write("\r\n");
}

void CallerConnection::finishChunked()
{
    this->stream->write("0\r\n\r\n");
    this->finishResponse();
}

void CallerConnection::finishResponse()
{
    this->busy = false;
    this->writing = true;
    this->unwrittenBytes = this->queuedBytes();
    this->lastActivityAt = this->clock.now();
}

void CallerConnection::keepUntilWritten(BufferShare share)
{
    if (this->writing) {
        this->unwrittenShare.emplace(std::move(share));
    }
}

void CallerConnection::onResponseWritten()
{
    this->writing = false;
    this->unwrittenShare.reset();
    if (this->keepAlive) {
        this->beginNextRequest();
    } else {
        this->closeImmediately();
    }
}

void CallerConnection::beginNextRequest()
{
    this->stream->resumeReading();
    this->incoming = {};
    if (!this->parser.hasBufferedBytes() && this->pipelined.empty()) {
        static_cast<void>(this->parser.beginNext());
        return;
    }
    // Deferred to a later turn of the event loop, so that many pipelined requests do not recurse.
    this->isReceiving = true;
    this->stream->defer([self = this->shared_from_this()] { self->processPipelined(); });
}

void CallerConnection::processPipelined()
{
    if (this->closed) {
        return;
    }
    this->incoming.receivedAt = this->clock.now();
    const std::string bytes = std::move(this->pipelined);
    this->pipelined.clear();
    ParseState parseState = this->parser.beginNext();
    if (parseState == ParseState::Incomplete && !bytes.empty()) {
        parseState = this->parser.feed(bytes);
    } else {
        this->pipelined = bytes;
    }
    this->handleParseState(parseState);
}

void CallerConnection::abort()
{
    this->busy = false;
    this->closed = true;
    this->writing = false;
    this->unwrittenShare.reset();
    this->stream->reset();
    this->handlers.onClosed(*this);
}

void CallerConnection::closeWhenIdle()
{
    if (this->busy || this->writing) {
        this->keepAlive = false;
    } else if (!this->isReceiving) {
        this->closeImmediately();
    }
}

void CallerConnection::enforceLimits(const CallerLimits &newLimits, TimePoint now)
{
    this->limits = newLimits;
    this->parser.setMaxHeadBytes(newLimits.maxHeaderBytes);
    if (this->busy || this->closed) {
        return;
    }
    if (this->writing && this->hasWritten()) {
        this->lastActivityAt = now;
    }
    const bool inHead = this->isReceiving && !this->parser.inBody();
    const Duration allowed = inHead ? newLimits.headerTimeout : newLimits.idleTimeout;
    if (now - this->lastActivityAt > allowed) {
        this->closeImmediately();
    }
}

bool CallerConnection::hasWritten()
{
    const std::size_t before = std::exchange(this->unwrittenBytes, this->queuedBytes());
    return this->unwrittenBytes < before;
}

void CallerConnection::closeImmediately()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->busy = false;
    this->writing = false;
    this->unwrittenShare.reset();
    this->stream->close();
    this->handlers.onClosed(*this);
}

} // namespace plantainswitch::gateway
