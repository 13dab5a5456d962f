#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "httpserver.h"

namespace plantainswitch::net {

/// How an exchange with a server ended.
enum class HttpOutcome : std::uint8_t {
    /// The complete response was received.
    Complete,
    /// No connection was established, so the request can't have reached the server.
    NotConnected,
    /// The connection broke or timed out after the request may have been sent.
    Broken,
    /// Cancelled on this side.
    Cancelled,
};

/// A request to a server.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{1000};
    /// Maximum time without transferring a byte; 0: no limit.
    std::chrono::seconds idleTimeout{0};
    /// Maximum time for the whole exchange; 0: no limit.
    std::chrono::milliseconds totalTimeout{0};
    /// Use a new connection. libcurl silently resends a request when a reused connection turns out
    /// to be closed, which would run a non-idempotent request twice. It never does so on a new
    /// connection.
    bool freshConnection = false;
    /// Largest body of the response in bytes, above which the exchange is broken off; 0: no limit.
    std::size_t maxBodyBytes = 0;
};

/// Callbacks of an exchange, always called on the client's strand.
struct HttpEvents
{
    /// The status and headers were received.
    std::function<void(int status, const Headers &headers)> onHeaders;
    /// Receives bytes of the body. Returning false pauses the transfer until resume(), which
    /// delivers the same bytes again.
    std::function<bool(std::string_view bytes)> onData;
    /// Called exactly once, as the last callback.
    std::function<void(HttpOutcome end, const std::string &detail)> onEnd;
};

/// An exchange in progress.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual void cancel() = 0;
    virtual void resume() = 0;
};

/// A complete response, for short calls.
struct HttpResponse
{
    HttpOutcome outcome = HttpOutcome::Broken;
    int status = 0;
    Headers headers;
    std::string body;
    std::string detail;
};

/// An HTTP client on libcurl's multi interface, driven by Asio. Thread-safe.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange.
    std::shared_ptr<HttpExchange> start(HttpCall call, HttpEvents events);
    /// Fetches a complete response of up to 16 MiB, unless \a call states another limit, and calls
    /// \a done once.
    std::shared_ptr<HttpExchange> fetch(HttpCall call, std::function<void(HttpResponse)> done);

    class State;

private:
    std::shared_ptr<State> state;
};

} // namespace plantainswitch::net
