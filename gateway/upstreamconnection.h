#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"

#include "bytestream.h"
#include "http1.h"

namespace plantainswitch::gateway {

/// Largest head of an answer.
inline constexpr std::size_t maxResponseHeadBytes = 64 << 10;

/// How the use of a connection for one request ended.
enum class ResponseOutcome : std::uint8_t {
    /// The whole answer came.
    Complete,
    /// No connection came about: nothing was sent.
    ConnectFailed,
    /// The connection ended before the whole answer.
    ConnectionLost,
    /// What came is no answer.
    Malformed,
};

/// Who hears of the answer to one request. Calls come in order; onEnd is the last and comes once,
/// unless the connection is dropped.
struct ResponseHandlers
{
    /// \returns false when this answer belongs to another request: it is skipped, and the right
    /// one may still follow.
    std::function<bool(MessageHead)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ResponseOutcome)> onEnd;
};

/// One connection to an upstream or to the store. It carries one request at a time and never
/// sends one again by itself: only its user knows what may run twice.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(asio::io_context &context, const Clock &clock);

    /// Connects without a request; \a done hears whether that came about. One may be sent then.
    void connect(const Endpoint &endpoint, Milliseconds timeout, std::function<void(bool)> done);
    /// Connects and sends \a request as soon as that is done.
    void connectAndSend(const Endpoint &endpoint, Milliseconds timeout, std::string request,
                        ResponseHandlers events, bool isHead = false);
    /// Sends a further request on the idle connection.
    void send(const std::string &request, ResponseHandlers events, bool isHead = false);
    /// Gives the running request up: the upstream sees the connection go.
    void abort();
    void pauseReading();
    void resumeReading();

    /// \returns whether a further request may be sent.
    [[nodiscard]] bool isReusable() const noexcept;
    /// \returns since when the connection is idle.
    [[nodiscard]] TimePoint idleSince() const noexcept { return this->idleStart; }

private:
    void onConnected();
    void writeRequest(const std::string &request, bool isHead);
    void onBytes(std::string_view bytes);
    void onClosed(bool inOrder);
    void handleParseState(ParseState reached);
    void finish(ResponseOutcome end);

    asio::io_context &context;
    const Clock &clock;
    asio::ip::tcp::socket connecting;
    asio::steady_timer timer;
    std::shared_ptr<ByteStream> stream;
    std::shared_ptr<const ResponseHandlers> handlers;
    MessageParser parser;
    bool busy = false;
    bool aborted = false;
    bool keepAlive = false;
    bool skippingResponse = false;
    TimePoint idleStart;
};

} // namespace plantainswitch::gateway
