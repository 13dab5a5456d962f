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
    /// The whole answer came.
    Complete,
    /// No connection came about: the request can't have reached the server.
    NotConnected,
    /// The connection broke or timed out after the request may have been sent.
    Broken,
    /// It was cancelled on this side.
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
    /// Longest time without a byte; 0: none.
    std::chrono::seconds idleTimeout{0};
    /// Longest time for the whole exchange; 0: none.
    std::chrono::milliseconds totalTimeout{0};
    /// Take a fresh connection. libcurl silently sends a request again when a reused connection
    /// turns out to be closed, which would run a non-idempotent request twice; on a fresh
    /// connection it never does.
    bool freshConnection = false;
};

/// What the caller of an exchange hears, always on the client's strand.
struct HttpEvents
{
    /// Status and headers have come.
    std::function<void(int status, const Headers &headers)> onHeaders;
    /// Bytes of the body; false pauses the transfer until resume(), which hands these again.
    std::function<bool(std::string_view bytes)> onData;
    /// Exactly once, as the last.
    std::function<void(HttpOutcome end, const std::string &detail)> onEnd;
};

/// A running exchange.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual void cancel() = 0;
    virtual void resume() = 0;
};

/// A whole answer, for short calls.
struct HttpResponse
{
    HttpOutcome outcome = HttpOutcome::Broken;
    int status = 0;
    Headers headers;
    std::string body;
    std::string detail;
};

/// An HTTP client by libcurl's multi interface, driven by Asio. Safe to call from any thread.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange.
    std::shared_ptr<HttpExchange> start(HttpCall call, HttpEvents events);
    /// Fetches a whole answer of at most \a largest bytes.
    std::shared_ptr<HttpExchange> fetch(HttpCall call, std::function<void(HttpResponse)> done,
                                        std::size_t largest = 16 << 20);

    class State;

private:
    std::shared_ptr<State> state;
};

} // namespace plantainswitch::net
