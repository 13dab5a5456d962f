#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/route.h"

#include "bytestream.h"
#include "http1.h"

namespace plantainswitch::gateway {

class CallerConnection;

/// A whole request as it came.
struct IncomingRequest
{
    MessageHead head;
    std::string body;
    /// When its first byte was read.
    TimePoint receivedAt;
};

/// What the owner of caller connections provides.
struct CallerHandlers
{
    std::function<void(const std::shared_ptr<CallerConnection> &, IncomingRequest)> onRequest;
    /// The connection ended while its request ran.
    std::function<void(CallerConnection &)> onDisconnected;
    /// The connection is closed and can be forgotten.
    std::function<void(CallerConnection &)> onClosed;
    /// Answered bytes have left; a paused upstream may go on.
    std::function<void(CallerConnection &)> onWritten;
};

/// One caller's connection: one request at a time, answered in whole or in chunks.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::uint64_t id, std::shared_ptr<ByteStream> stream, CallerLimits limits,
                     const CallerHandlers &owner, const Clock &clock);

    void start();
    /// Answers in whole.
    void respond(int status, const std::vector<HeaderField> &fields, std::string_view body,
                 bool closes);
    /// Begins an answer in chunks.
    void startChunked(int status, const std::vector<HeaderField> &fields, bool closes);
    void writeChunk(std::string_view bytes);
    void finishChunked();
    /// Breaks the answer off so that the caller sees that it isn't whole.
    void abort();
    /// Closes now if no request is under way, else once its answer has ended: a caller whose answer
    /// began before a stop was not told to close, and would send its next request into it.
    void closeWhenIdle();
    /// Closes when it has been idle, or sending its request, for longer than the limits allow.
    void enforceLimits(const CallerLimits &limits, TimePoint now);

    [[nodiscard]] std::uint64_t id() const noexcept { return this->connectionId; }
    [[nodiscard]] bool isBusy() const noexcept { return this->busy; }
    [[nodiscard]] std::size_t queuedBytes() const { return this->stream->queuedBytes(); }

private:
    void onBytes(std::string_view bytes);
    void handleParseState(ParseState reached);
    void processPipelined();
    void onStreamClosed();
    void writeHead(int status, const std::vector<HeaderField> &fields);
    void finishResponse();
    void closeImmediately();

    std::uint64_t connectionId;
    std::shared_ptr<ByteStream> stream;
    CallerLimits limits;
    const CallerHandlers &handlers;
    const Clock &clock;
    MessageParser parser;
    IncomingRequest incoming;
    bool isReceiving = false;
    bool tooLarge = false;
    bool busy = false;
    bool keepAlive = true;
    bool closed = false;
    /// Bytes that came while a request ran; bounded by pausing the connection.
    std::string pipelined;
    TimePoint lastActivityAt;
};

} // namespace plantainswitch::gateway
