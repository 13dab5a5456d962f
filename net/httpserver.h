#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

namespace plantainswitch::net {

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string, std::less<>>;

/// A request received by the HTTP server.
struct HttpRequest
{
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    /// The query byte for byte as received, with its '?'; empty if there was none.
    std::string rawQuery;
    Headers headers;
    std::string body;
    /// The server has more connections than HttpServerOptions::maxConnections; the handler should
    /// refuse the request.
    bool connectionLimitExceeded = false;
    /// Describes the part of the request's head that exceeds its limit; empty if none does. The
    /// handler should refuse such a request.
    std::string oversizedPart;

    /// \returns the header of that lower-case name, or an empty string.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// \returns the query parameter of that name, or an empty string.
    [[nodiscard]] std::string_view parameter(std::string_view name) const;
};

/// Sends the response to one request: either respond(), or start(), any number of write() and
/// end().
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sends a complete response.
    virtual void respond(int status, const Headers &headers, std::string body) = 0;
    /// Starts a chunked response.
    virtual void start(int status, const Headers &headers) = 0;
    /// Sends a chunk. \a flushed is called once the chunk was handed to the socket, with false if
    /// that failed; it may be null.
    virtual void write(std::string chunk, std::function<void(bool)> flushed) = 0;
    /// Ends a chunked response.
    virtual void end() = 0;
    /// Closes the connection in the middle of a chunked response, so that the caller sees that it
    /// is incomplete.
    virtual void abort() = 0;
    /// Sets a callback that runs once if the caller disconnects before the response has ended.
    virtual void onDisconnect(std::function<void()> gone) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Address and limits of an HTTP server.
struct HttpServerOptions
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 8 << 20;
    /// Above this number of connections, requests are marked with connectionLimitExceeded.
    std::size_t maxConnections = 20'000;
};

/// An HTTP/1.1 server on RESTinio that runs on the given io_context.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port.
    /// \throws std::system_error if it can't be bound.
    void open();
    /// Makes every further response close its connection, so that callers reconnect elsewhere.
    void closeAfterResponses();
    /// Stops accepting connections. Open ones continue.
    void stopAccepting();
    /// \returns the number of requests whose response is not yet completely handed to the caller's
    /// connection.
    [[nodiscard]] std::size_t pendingResponses() const noexcept;
    /// \returns when the last request arrived, by the steady clock.
    [[nodiscard]] std::chrono::steady_clock::time_point lastRequestTime() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch::net
