#include "callerconnection.h"

#include <fmt/format.h>

namespace plantainswitch::gateway {

namespace {

/// Bytes of further requests that are kept while one runs. More says that the caller doesn't wait
/// for answers; reading is then paused, and with it the notice of its leaving.
constexpr std::size_t mostAhead = 64 << 10;

} // namespace

CallerConnection::CallerConnection(std::uint64_t id, std::shared_ptr<ByteStream> stream,
                                   CallerLimits limits, const CallerEvents &owner,
                                   const Clock &clock)
    : number(id)
    , stream(std::move(stream))
    , limits(limits)
    , owner(owner)
    , clock(clock)
    , parser(MessageKind::Request, limits.headBytes,
             {[this](MessageHead head) {
                  this->tooLarge = head.bodyLength.value_or(0) > this->limits.bodyBytes;
                  if (!this->tooLarge) {
                      this->incoming.body.reserve(head.bodyLength.value_or(0));
                  }
                  this->incoming.head = std::move(head);
              },
              [this](std::string_view bytes) {
                  this->tooLarge =
                      this->tooLarge
                      || this->incoming.body.size() + bytes.size() > this->limits.bodyBytes;
                  if (!this->tooLarge) {
                      this->incoming.body.append(bytes);
                  }
              }})
    , quietSince(clock.now())
{}

void CallerConnection::start()
{
    const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
    this->stream->start({[weak](std::string_view bytes) {
                             if (const auto held = weak.lock()) {
                                 held->onBytes(bytes);
                             }
                         },
                         [weak](bool) {
                             if (const auto held = weak.lock()) {
                                 held->onStreamClosed();
                             }
                         },
                         [weak] {
                             const auto held = weak.lock();
                             if (held && held->busy && held->owner.onWritten) {
                                 held->owner.onWritten(*held);
                             }
                         }});
}

void CallerConnection::onBytes(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->busy) {
        this->ahead.append(bytes);
        if (this->ahead.size() > mostAhead) {
            this->stream->pauseReading();
        }
        return;
    }
    if (!this->receiving) {
        this->receiving = true;
        this->incoming = {};
        this->incoming.arrived = this->clock.now();
        this->quietSince = this->incoming.arrived;
    } else if (this->parser.inBody()) {
        this->quietSince = this->clock.now();
    }
    this->onParsed(this->parser.feed(bytes));
}

void CallerConnection::onParsed(ParseState reached)
{
    if (this->tooLarge) {
        this->keepsAlive = false;
        this->busy = true;
        this->respond(413, {}, {}, true);
        return;
    }
    switch (reached) {
    case ParseState::More:
        return;
    case ParseState::TooLarge:
        this->busy = true;
        this->respond(431, {}, {}, true);
        return;
    case ParseState::Bad:
        // What can be read in two ways is not answered: the bytes behind it may be anything.
        this->closeNow();
        return;
    case ParseState::Whole:
        break;
    }
    this->busy = true;
    this->receiving = false;
    this->keepsAlive = this->incoming.head.keepsAlive;
    this->owner.onRequest(this->shared_from_this(), std::move(this->incoming));
}

void CallerConnection::onStreamClosed()
{
    const auto self = this->shared_from_this();
    if (this->busy) {
        this->owner.onGone(*this);
    }
    this->closeNow();
}

void CallerConnection::writeHead(int status, const std::vector<HeaderField> &fields)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, phraseOf(status));
    for (const HeaderField &field : fields) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!this->keepsAlive) {
        head.append("Connection: close\r\n");
    }
    this->stream->write(head);
}

void CallerConnection::respond(int status, const std::vector<HeaderField> &fields,
                               std::string_view body, bool closes)
{
    this->keepsAlive = this->keepsAlive && !closes;
    this->writeHead(status, fields);
    this->stream->write(fmt::format("Content-Length: {}\r\n\r\n", body.size()));
    this->stream->write(body);
    this->endAnswer();
}

void CallerConnection::beginChunks(int status, const std::vector<HeaderField> &fields, bool closes)
{
    this->keepsAlive = this->keepsAlive && !closes;
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

void CallerConnection::endChunks()
{
    this->stream->write("0\r\n\r\n");
    this->endAnswer();
}

void CallerConnection::endAnswer()
{
    this->busy = false;
    this->quietSince = this->clock.now();
    if (!this->keepsAlive) {
        this->closed = true;
        this->stream->closeAfterWriting();
        this->owner.onClosed(*this);
        return;
    }
    this->stream->resumeReading();
    this->incoming = {};
    if (!this->parser.hasSurplus() && this->ahead.empty()) {
        static_cast<void>(this->parser.next());
        return;
    }
    // By a turn of the loop, so that a caller who sends many requests ahead costs no stack.
    this->receiving = true;
    this->stream->defer([self = this->shared_from_this()] { self->readAhead(); });
}

void CallerConnection::readAhead()
{
    if (this->closed) {
        return;
    }
    this->incoming.arrived = this->clock.now();
    const std::string bytes = std::move(this->ahead);
    this->ahead.clear();
    ParseState reached = this->parser.next();
    if (reached == ParseState::More && !bytes.empty()) {
        reached = this->parser.feed(bytes);
    } else {
        this->ahead = bytes;
    }
    this->onParsed(reached);
}

void CallerConnection::abort()
{
    this->busy = false;
    this->closed = true;
    this->stream->reset();
    this->owner.onClosed(*this);
}

void CallerConnection::closeWhenIdle()
{
    if (this->busy) {
        this->keepsAlive = false;
    } else if (!this->receiving) {
        this->closeNow();
    }
}

void CallerConnection::enforceLimits(const CallerLimits &newLimits, TimePoint now)
{
    this->limits = newLimits;
    this->parser.setLargestHead(newLimits.headBytes);
    if (this->busy || this->closed) {
        return;
    }
    const bool inHead = this->receiving && !this->parser.inBody();
    const Duration allowed = inHead ? newLimits.headTimeout : newLimits.idleTimeout;
    if (now - this->quietSince > allowed) {
        this->closeNow();
    }
}

void CallerConnection::closeNow()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->busy = false;
    this->stream->close();
    this->owner.onClosed(*this);
}

} // namespace plantainswitch::gateway
