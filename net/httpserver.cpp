#include "httpserver.h"

#include <atomic>
#include <mutex>
#include <unordered_map>

#include <restinio/all.hpp>

namespace plantainswitch::net {

namespace {

constexpr std::chrono::seconds idleTimeout{75};
constexpr std::chrono::seconds writeTimeout{30};
constexpr std::chrono::hours maxResponseTime{2};
/// Two, so that RESTinio keeps reading during a response and notices when the caller disconnects.
constexpr std::size_t maxPipelinedRequests = 2;
constexpr std::size_t maxUrlBytes = 4096;
constexpr std::size_t maxHeaderNameBytes = 256;
constexpr std::size_t maxHeaderValueBytes = 8192;
constexpr std::size_t maxHeaders = 100;
// RESTinio closes the connection without a response when one of its own limits is exceeded, and a
// caller can't tell that from a request that may have run. Its limits are therefore above those
// that describeOversizedPart() checks. Memory stays bounded: http_parser rejects every head above
// 80 KB.
constexpr std::size_t maxParsedBytes = HTTP_MAX_HEADER_SIZE;
constexpr std::size_t maxParsedHeaders = 1000;

class Responder;

/// State that the responders of a server share.
struct ServerState
{
    std::atomic<bool> closing = false;
    std::atomic<std::size_t> unanswered = 0;
    std::atomic<std::chrono::steady_clock::rep> lastRequest = 0;
};

/// Counts as one pending response while it exists. A responder passes it to the last write of its
/// response: a graceful stop that waited only until responses were complete in memory would end the
/// process while a slow caller's last bytes are still buffered, and truncate the answer.
class PendingResponse
{
public:
    explicit PendingResponse(std::shared_ptr<ServerState> serverState)
        : serverState(std::move(serverState))
    {
        ++this->serverState->unanswered;
    }
    ~PendingResponse() { --this->serverState->unanswered; }
    PendingResponse(const PendingResponse &) = delete;
    PendingResponse &operator=(const PendingResponse &) = delete;

private:
    std::shared_ptr<ServerState> serverState;
};

/// Responders in progress by connection, to notify them when the connection closes.
class OpenResponders
{
public:
    void add(restinio::connection_id_t connection, const std::shared_ptr<Responder> &responder);
    void remove(restinio::connection_id_t connection, const Responder *responder);
    void notifyClosed(restinio::connection_id_t connection);
    /// Number of open connections. RESTinio's own connection limiter belongs to its acceptor, which
    /// may be destroyed before the last connections; these would then decrement a counter in freed
    /// memory.
    std::atomic<std::size_t> connections = 0;

private:
    std::mutex mutex;
    std::unordered_multimap<restinio::connection_id_t, std::weak_ptr<Responder>> responders;
};

class ConnectionListener
{
public:
    ConnectionListener(asio::io_context &context, std::shared_ptr<OpenResponders> responders)
        : context(context)
        , responders(std::move(responders))
    {}

    // RESTinio calls the listener by this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            --this->responders->connections;
            // A failed write closes its connection inside write() itself, while the responder's
            // lock and its caller's are held; notifying there would deadlock the worker. The
            // notification is posted, so that it runs when no lock is held.
            asio::post(this->context, [responders = this->responders, id = notice.connection_id()] {
                responders->notifyClosed(id);
            });
        } else if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            ++this->responders->connections;
        }
    }

private:
    asio::io_context &context;
    std::shared_ptr<OpenResponders> responders;
};

struct ServerTraits : public restinio::default_traits_t
{
    // RESTinio looks the type up by this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    using connection_state_listener_t = ConnectionListener;
};

using StreamingResponse = restinio::response_builder_t<restinio::user_controlled_output_t>;

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Error"};
}

std::string encodeChunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

class Responder final : public HttpResponder, public std::enable_shared_from_this<Responder>
{
public:
    Responder(restinio::request_handle_t request, std::shared_ptr<OpenResponders> responders,
              std::shared_ptr<ServerState> serverState)
        : request(std::move(request))
        , responders(std::move(responders))
        , serverState(std::move(serverState))
        , unanswered(std::make_shared<PendingResponse>(this->serverState))
    {}

    ~Responder() override
    {
        this->responders->remove(this->request->connection_id(), this);
        if (!this->finished && this->stream) {
            this->finishStream(false);
        }
    }

    void respond(int status, const Headers &headers, std::string body) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->finished || this->stream) {
            return;
        }
        this->finished = true;
        auto response = this->request->create_response(statusLine(status));
        for (const auto &[name, value] : headers) {
            response.append_header(name, value);
        }
        if (this->serverState->closing) {
            response.connection_close();
        }
        response.set_body(std::move(body));
        response.done([held = std::move(this->unanswered)](const auto &) {});
    }

    void start(int status, const Headers &headers) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->finished || this->stream) {
            return;
        }
        this->stream.emplace(
            this->request->create_response<restinio::user_controlled_output_t>(statusLine(status)));
        for (const auto &[name, value] : headers) {
            this->stream->append_header(name, value);
        }
        // A chunked response owns its connection: closing it is the only way to show a caller that
        // the response is incomplete.
        this->stream->append_header("transfer-encoding", "chunked").connection_close().flush();
    }

    void write(std::string chunk, std::function<void(bool)> flushed) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->finished || !this->stream || chunk.empty()) {
            return;
        }
        this->stream->append_body(encodeChunk(chunk));
        this->stream->flush([flushed = std::move(flushed)](const asio::error_code &error) {
            if (flushed) {
                flushed(!error);
            }
        });
    }

    void end() override
    {
        const std::lock_guard lock(this->mutex);
        this->finishStream(true);
    }

    void abort() override
    {
        const std::lock_guard lock(this->mutex);
        this->finishStream(false);
    }

    void onDisconnect(std::function<void()> callback) override
    {
        const std::lock_guard lock(this->mutex);
        this->disconnectHandler = std::move(callback);
    }

    void connectionClosed()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(this->mutex);
            if (!this->finished) {
                callback = std::move(this->disconnectHandler);
            }
            this->disconnectHandler = nullptr;
        }
        if (callback) {
            callback();
        }
    }

private:
    void finishStream(bool complete)
    {
        if (this->finished || !this->stream) {
            return;
        }
        this->finished = true;
        if (complete) {
            this->stream->append_body(std::string("0\r\n\r\n"));
        }
        this->stream->done([held = std::move(this->unanswered)](const auto &) {});
    }

    restinio::request_handle_t request;
    std::shared_ptr<OpenResponders> responders;
    std::shared_ptr<ServerState> serverState;
    std::shared_ptr<PendingResponse> unanswered;
    std::mutex mutex;
    std::optional<StreamingResponse> stream;
    std::function<void()> disconnectHandler;
    bool finished = false;
};

void OpenResponders::add(restinio::connection_id_t connection,
                         const std::shared_ptr<Responder> &responder)
{
    const std::lock_guard lock(this->mutex);
    this->responders.emplace(connection, responder);
}

void OpenResponders::remove(restinio::connection_id_t connection, const Responder * /*reply*/)
{
    const std::lock_guard lock(this->mutex);
    auto [each, last] = this->responders.equal_range(connection);
    while (each != last) {
        each = each->second.expired() ? this->responders.erase(each) : std::next(each);
    }
}

void OpenResponders::notifyClosed(restinio::connection_id_t connection)
{
    std::vector<std::shared_ptr<Responder>> affected;
    {
        const std::lock_guard lock(this->mutex);
        const auto [first, last] = this->responders.equal_range(connection);
        for (auto each = first; each != last; ++each) {
            if (auto responder = each->second.lock()) {
                affected.push_back(std::move(responder));
            }
        }
        this->responders.erase(first, last);
    }
    for (const auto &responder : affected) {
        responder->connectionClosed();
    }
}

std::string lowerCase(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// \returns a description of the part of the request's head that exceeds its limit, or an empty
/// string.
std::string describeOversizedPart(const restinio::http_request_header_t &head)
{
    if (head.request_target().size() > maxUrlBytes) {
        return fmt::format("the path and query are longer than {} bytes", maxUrlBytes);
    }
    if (head.fields_count() > maxHeaders) {
        return fmt::format("{} headers, at most {}", head.fields_count(), maxHeaders);
    }
    std::string description;
    head.for_each_field([&description](const auto &field) {
        if (field.name().size() > maxHeaderNameBytes) {
            description =
                fmt::format("a header's name is longer than {} bytes", maxHeaderNameBytes);
        } else if (field.value().size() > maxHeaderValueBytes) {
            description = fmt::format("the header {} is longer than {} bytes", field.name(),
                                      maxHeaderValueBytes);
        }
    });
    return description;
}

HttpRequest toHttpRequest(const restinio::request_handle_t &request)
{
    HttpRequest result;
    result.method = request->header().method().c_str();
    const std::string &target = request->header().request_target();
    result.path = std::string(request->header().path());
    result.rawQuery = target.substr(result.path.size(), target.find('#') - result.path.size());
    const auto query =
        restinio::try_parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
    if (query) {
        for (const auto &parameter : *query) {
            result.query.emplace(std::string(parameter.first), std::string(parameter.second));
        }
    }
    request->header().for_each_field([&result](const auto &field) {
        result.headers.emplace(lowerCase(field.name()), field.value());
    });
    result.body = request->body();
    result.oversizedPart = describeOversizedPart(request->header());
    return result;
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string_view{} : std::string_view(found->second);
}

std::string_view HttpRequest::parameter(std::string_view name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string_view{} : std::string_view(found->second);
}

struct HttpServer::State
{
    std::shared_ptr<OpenResponders> responders = std::make_shared<OpenResponders>();
    std::shared_ptr<ServerState> serverState = std::make_shared<ServerState>();
    std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
};

HttpServer::HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : state(std::make_unique<State>())
{
    const auto responders = this->state->responders;
    const auto serverState = this->state->serverState;
    auto onRequest = [responders, serverState, maxConnections = options.maxConnections,
                      handler = std::move(handler)](const restinio::request_handle_t &request) {
        auto responder = std::make_shared<Responder>(request, responders, serverState);
        serverState->lastRequest = std::chrono::steady_clock::now().time_since_epoch().count();
        responders->add(request->connection_id(), responder);
        HttpRequest incoming = toHttpRequest(request);
        incoming.connectionLimitExceeded = responders->connections > maxConnections;
        handler(std::move(incoming), std::move(responder));
        return restinio::request_accepted();
    };
    this->state->server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(context), [&](auto &settings) {
            settings.address(options.address)
                .port(options.port)
                .request_handler(std::move(onRequest))
                .read_next_http_message_timelimit(idleTimeout)
                .write_http_response_timelimit(writeTimeout)
                .handle_request_timeout(maxResponseTime)
                .max_pipelined_requests(maxPipelinedRequests)
                .connection_state_listener(
                    std::make_shared<ConnectionListener>(context, responders))
                .socket_options_setter([](auto &socketOptions) {
                    socketOptions.set_option(asio::ip::tcp::no_delay{true});
                })
                .acceptor_options_setter([](auto &acceptorOptions) {
                    acceptorOptions.set_option(asio::ip::tcp::acceptor::reuse_address{true});
                })
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                              .max_url_size(maxParsedBytes)
                                              .max_field_name_size(maxParsedBytes)
                                              .max_field_value_size(maxParsedBytes)
                                              .max_field_count(maxParsedHeaders)
                                              .max_body_size(options.maxBodyBytes));
        });
}

HttpServer::~HttpServer() = default;

void HttpServer::open()
{
    this->state->server->open_sync();
}

void HttpServer::closeAfterResponses()
{
    this->state->serverState->closing = true;
}

std::size_t HttpServer::pendingResponses() const noexcept
{
    return this->state->serverState->unanswered;
}

std::chrono::steady_clock::time_point HttpServer::lastRequestTime() const noexcept
{
    using Clock = std::chrono::steady_clock;
    return Clock::time_point(Clock::duration(this->state->serverState->lastRequest.load()));
}

void HttpServer::stopAccepting()
{
    this->state->server->close_async([] {}, [](const std::exception_ptr &) {});
}

} // namespace plantainswitch::net
