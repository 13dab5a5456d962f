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

/// A request as an HTTP server hands it out.
struct HttpRequest
{
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    /// Query byte for byte as it came, with its '?'; empty if there was none.
    std::string rawQuery;
    Headers headers;
    std::string body;
    /// The server has more connections than it should; the request is best refused.
    bool connectionLimitExceeded = false;
    /// What of the request's head is larger than it may be; empty if nothing is. The request is
    /// best refused.
    std::string oversizedPart;

    /// \returns the header of that lower-case name, or an empty text.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// \returns the query parameter of that name, or an empty text.
    [[nodiscard]] std::string_view parameter(std::string_view name) const;
};

/// The way back to the caller. Exactly one answer: respond(), or start(), write()s and end().
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sends a whole answer.
    virtual void respond(int status, const Headers &headers, std::string body) = 0;
    /// Begins an answer in chunks.
    virtual void start(int status, const Headers &headers) = 0;
    /// Sends a chunk; \a flushed runs once it was handed to the socket, false if that failed.
    virtual void write(std::string chunk, std::function<void(bool)> flushed) = 0;
    /// Ends an answer in chunks.
    virtual void end() = 0;
    /// Breaks an answer in chunks off, so that the caller sees it is not whole.
    virtual void abort() = 0;
    /// Sets what runs once when the caller's connection is gone before the answer ended.
    virtual void onDisconnect(std::function<void()> gone) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Where and how to serve.
struct HttpServerOptions
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 8 << 20;
    /// Above this number of connections requests are marked as crowded.
    std::size_t maxConnections = 20'000;
};

/// An HTTP/1.1 server by RESTinio, on the io_context of its process.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port. \throws std::system_error when it can't be had.
    void open();
    /// From now on each answer ends its connection, so that callers go elsewhere.
    void closeAfterResponses();
    /// Takes no further connections; those there are go on.
    void stopAccepting();
    /// \returns the number of requests whose answer is not yet wholly handed to the caller's
    /// connection.
    [[nodiscard]] std::size_t pendingResponses() const noexcept;
    /// \returns when the last request came in, by the steady clock.
    [[nodiscard]] std::chrono::steady_clock::time_point lastRequestTime() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch::net
