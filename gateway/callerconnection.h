#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/base/bufferpool.h"
#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/route.h"

#include "bytestream.h"
#include "http1.h"

namespace plantainswitch::gateway {

class CallerConnection;

/// A complete request as received.
struct IncomingRequest
{
    MessageHead head;
    std::string body;
    /// When its first bytes were noticed.
    TimePoint receivedAt;
};

/// Callbacks to the owner of caller connections.
struct CallerHandlers
{
    std::function<void(const std::shared_ptr<CallerConnection> &, IncomingRequest)> onRequest;
    /// The connection ended while its request was running.
    std::function<void(CallerConnection &)> onDisconnected;
    /// The connection is closed; the owner can drop its reference.
    std::function<void(CallerConnection &)> onClosed;
    /// The write queue has drained; an upstream that was paused can be resumed.
    std::function<void(CallerConnection &)> onWritten;
};

/// The connection of one caller. Requests are served one at a time: the next one is taken up once
/// the response before is written. A response is sent either with a length or chunked.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(std::uint64_t id, std::shared_ptr<ByteStream> stream, CallerLimits limits,
                     const CallerHandlers &owner, const Clock &clock);

    /// Starts to read requests.
    void start();
    /// Sends a complete response.
    /// \param closeAfter closes the connection after the response
    void respond(int status, const std::vector<HeaderField> &fields, std::string_view body,
                 bool closeAfter);
    /// Sends the head of a chunked response.
    /// \param closeAfter closes the connection after the response
    void startChunked(int status, const std::vector<HeaderField> &fields, bool closeAfter);
    /// Sends one chunk; nothing if \a bytes is empty.
    void writeChunk(std::string_view bytes);
    /// Ends a chunked response.
    void finishChunked();
    /// Aborts the response with a reset, so that the caller can tell that it is incomplete.
    void abort();
    /// Keeps \a share for as long as bytes of the response are queued.
    void keepUntilWritten(BufferShare share);
    /// Closes the connection now if no request is running and all is written, otherwise after its
    /// response. A response whose head was sent before a stop did not announce the close, and the
    /// caller would send its next request on the connection.
    void closeWhenIdle();
    /// Applies \a limits, and closes the connection if it was silent, its request head incomplete,
    /// or nothing of a response read by the caller, for longer than they allow.
    void enforceLimits(const CallerLimits &limits, TimePoint now);

    [[nodiscard]] std::uint64_t id() const noexcept { return this->connectionId; }
    /// \returns whether a request is running.
    [[nodiscard]] bool isBusy() const noexcept { return this->busy; }
    /// \returns whether a complete response is not yet written.
    [[nodiscard]] bool isWriting() const noexcept { return this->writing; }
    /// \returns the number of response bytes that were not written yet.
    [[nodiscard]] std::size_t queuedBytes() const { return this->stream->queuedBytes(); }

private:
    void onBytes(std::string_view bytes);
    void handleParseState(ParseState parseState);
    void processPipelined();
    void onStreamClosed();
    void writeHead(int status, const std::vector<HeaderField> &fields);
    void finishResponse();
    void onResponseWritten();
    void beginNextRequest();
    /// \returns whether bytes of the response were written since the last call.
    bool hasWritten();
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
    /// The response is complete, and bytes of it are queued.
    bool writing = false;
    /// Queued bytes at the last check.
    std::size_t unwrittenBytes = 0;
    std::optional<BufferShare> unwrittenShare;
    bool keepAlive = true;
    bool closed = false;
    /// Bytes received while a request runs or its response is written. Bounded by pausing the
    /// connection.
    std::string pipelined;
    TimePoint lastActivityAt;
};

} // namespace plantainswitch::gateway
