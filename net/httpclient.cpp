#include "httpclient.h"

#include <optional>
#include <unordered_map>
#include <utility>

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <curl/curl.h>
#include <fcntl.h>
#include <unistd.h>

#include "responsesyntax.h"
#include "socketstate.h"

namespace plantainswitch::net {

namespace {

constexpr long maxCachedConnections = 512;
constexpr std::size_t maxFetchedBytes = 16 << 20;

void initialiseCurl()
{
    static const CURLcode once = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(once);
}

HttpOutcome outcomeOf(CURLcode code, long requestBytes) noexcept
{
    if (code == CURLE_OK) {
        return HttpOutcome::Complete;
    }
    const bool neverConnected = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
                                || (code == CURLE_OPERATION_TIMEDOUT && requestBytes == 0);
    return neverConnected ? HttpOutcome::NotConnected : HttpOutcome::Broken;
}

} // namespace

class Exchange;

/// The libcurl multi handle and its sockets. Everything runs on one strand.
class HttpClient::State : public std::enable_shared_from_this<HttpClient::State>
{
public:
    explicit State(asio::io_context &context)
        : context(context)
        , strand(asio::make_strand(context))
        , timer(context)
    {
        initialiseCurl();
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &State::onSocketChanged);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &State::onTimerChanged);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    }

    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    void add(const std::shared_ptr<Exchange> &exchange, HttpEvents events);
    void remove(const std::shared_ptr<Exchange> &exchange);
    /// Lets libcurl continue after an exchange was unpaused.
    void continueTransfers();

    [[nodiscard]] const asio::strand<asio::io_context::executor_type> &executor() const noexcept
    {
        return this->strand;
    }

private:
    struct Socket
    {
        /// \param duplicate owned by the socket. If a transfer is cancelled while it connects,
        /// libcurl closes its descriptor before it reports the removal; meanwhile another thread
        /// may have opened one with the same number, whose registration would be removed instead.
        Socket(asio::io_context &context, int duplicate)
            : descriptor(context, duplicate)
        {}
        /// \returns the descriptor, which the caller owns from now on.
        int release()
        {
            this->pollEvents = 0;
            return this->descriptor.release();
        }
        void close() { ::close(this->release()); }
        asio::posix::stream_descriptor descriptor;
        int pollEvents = 0;
        bool reading = false;
        bool writing = false;
    };
    using SocketPointer = std::shared_ptr<Socket>;

    static int onSocketChanged(CURL *easy, curl_socket_t fd, int what, void *self, void *known);
    static int onTimerChanged(CURLM *multi, long milliseconds, void *self);
    void awaitSocket(const SocketPointer &socket, curl_socket_t fd);
    void processSocket(curl_socket_t fd, int events);
    void finishCompleted();
    /// Completes an exchange whose connection has ended, unless that is reset in a moment.
    void completeLater(const std::shared_ptr<Exchange> &exchange);

    asio::io_context &context;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    CURLM *multi = nullptr;
    std::unordered_map<curl_socket_t, SocketPointer> sockets;
    std::unordered_map<CURL *, std::shared_ptr<Exchange>> exchanges;
};

/// One libcurl easy handle and its callbacks.
class Exchange final : public HttpExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<HttpClient::State> owner, HttpCall call)
        : owner(std::move(owner))
        , call(std::move(call))
    {}

    ~Exchange() override
    {
        this->releaseSocket();
        curl_slist_free_all(this->fields);
        if (this->easy != nullptr) {
            curl_easy_cleanup(this->easy);
        }
    }
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void cancel() override
    {
        if (const auto state = this->owner.lock()) {
            asio::post(state->executor(), [state, self = this->shared_from_this()] {
                state->remove(self);
                self->finish(HttpOutcome::Cancelled, "cancelled");
            });
        }
    }

    void resume() override
    {
        if (const auto state = this->owner.lock()) {
            asio::post(state->executor(), [state, self = this->shared_from_this()] {
                if (self->easy != nullptr && !self->finished && self->paused) {
                    self->paused = false;
                    curl_easy_pause(self->easy, CURLPAUSE_CONT);
                    state->continueTransfers();
                }
            });
        }
    }

    /// Creates the easy handle and sets the exchange's callbacks.
    void prepare(HttpEvents newEvents);
    void complete(CURLcode code);
    void finish(HttpOutcome end, const std::string &detail)
    {
        if (this->finished) {
            return;
        }
        this->finished = true;
        const HttpEvents last = std::move(this->events);
        this->events = {};
        if (last.onEnd) {
            last.onEnd(end, detail);
        }
    }

    /// Records the state of the connection when libcurl lets go of it.
    void recordDelivery(int socket)
    {
        this->wasReset = this->wasReset || isReset(socket);
        this->isDelivered = isAcknowledged(socket);
    }

    /// \returns whether the body ends with its connection.
    [[nodiscard]] bool endsWithConnection() const
    {
        return this->headersDelivered && !this->chunks && !this->syntax.hasLength
               && !isBodiless(this->syntax.status);
    }

    /// Keeps a socket that libcurl has closed open until the exchange is complete.
    void keepSocket(int socket) { this->keptSocket = socket; }
    [[nodiscard]] bool keepsSocket() const noexcept { return this->keptSocket >= 0; }
    /// Records whether the connection was reset since libcurl let go of it, and closes it.
    void releaseSocket()
    {
        if (this->keepsSocket()) {
            this->recordDelivery(this->keptSocket);
            ::close(std::exchange(this->keptSocket, -1));
        }
    }

    /// Drops the callbacks, whose owners own this exchange in turn.
    void dropEvents() { this->events = {}; }

    [[nodiscard]] CURL *handle() const noexcept { return this->easy; }

private:
    static std::size_t onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self);
    static std::size_t onBodyData(char *bytes, std::size_t size, std::size_t count, void *self);
    /// \returns whether the response is complete after libcurl took it for that.
    [[nodiscard]] bool isComplete() const;
    /// \returns whether the line is valid where it stands, and the head not too large.
    bool parseHeaderLine(std::string_view line);
    void endHeaders();
    /// Passes on a part of the body. \returns the number of bytes taken, as libcurl expects it.
    std::size_t parseBody(std::string_view bytes);

    std::weak_ptr<HttpClient::State> owner;
    HttpCall call;
    HttpEvents events;
    CURL *easy = nullptr;
    curl_slist *fields = nullptr;
    Headers headers;
    bool paused = false;
    bool finished = false;
    bool headersDelivered = false;
    /// A status line is next.
    bool atResponseStart = true;
    ResponseSyntax syntax;
    std::size_t headBytes = 0;
    /// Set for a chunked body, which libcurl passes on as received: its own decoder takes any bytes
    /// behind the size of a chunk.
    std::optional<ChunkedBody> chunks;
    std::size_t bodyBytes = 0;
    /// The server has received the whole request.
    bool isDelivered = true;
    bool wasReset = false;
    int keptSocket = -1;
};

void Exchange::prepare(HttpEvents newEvents)
{
    this->events = std::move(newEvents);
    this->easy = curl_easy_init();
    CURL *handle = this->easy;
    curl_easy_setopt(handle, CURLOPT_URL, this->call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, this->call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(this->call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(this->call.totalTimeout.count()));
    if (this->call.idleTimeout.count() > 0) {
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                         static_cast<long>(this->call.idleTimeout.count()));
    }
    if (this->call.freshConnection) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!this->call.body.empty() || this->call.method == "POST" || this->call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(this->call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->call.body.c_str());
    }
    for (const auto &[name, value] : this->call.headers) {
        std::string field = name;
        field.append(": ").append(value);
        this->fields = curl_slist_append(this->fields, field.c_str());
    }
    this->fields = curl_slist_append(this->fields, "Expect:");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, this->fields);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Exchange::onHeaderLine);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Exchange::onBodyData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
}

std::size_t Exchange::onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self)
{
    // Any other result breaks the exchange off.
    return static_cast<Exchange *>(self)->parseHeaderLine({bytes, size * count}) ? size * count : 0;
}

bool Exchange::parseHeaderLine(std::string_view line)
{
    this->headBytes += line.size();
    if (this->headBytes > maxResponseHeadBytes || !line.ends_with("\r\n")) {
        return false;
    }
    line.remove_suffix(2);
    if (std::exchange(this->atResponseStart, false)) {
        this->headers.clear();
        return readStatusLine(line, this->syntax);
    }
    if (line.empty()) {
        this->endHeaders();
        return true;
    }
    if (!readHeaderLine(line, this->syntax)) {
        return false;
    }
    const std::size_t colon = line.find(':');
    std::string name(line.substr(0, colon));
    for (char &c : name) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const std::size_t start = line.find_first_not_of(" \t", colon + 1);
    this->headers[name] = start == std::string_view::npos ? "" : std::string(line.substr(start));
    return true;
}

void Exchange::endHeaders()
{
    if (isInterim(this->syntax)) {
        this->atResponseStart = true;
        return;
    }
    if (this->syntax.isChunked && !isBodiless(this->syntax.status)) {
        this->chunks.emplace();
    }
    this->headersDelivered = true;
    if (this->events.onHeaders) {
        this->events.onHeaders(this->syntax.status, this->headers);
    }
}

std::size_t Exchange::onBodyData(char *bytes, std::size_t size, std::size_t count, void *self)
{
    return static_cast<Exchange *>(self)->parseBody({bytes, size * count});
}

std::size_t Exchange::parseBody(std::string_view bytes)
{
    // A paused transfer delivers the same bytes again.
    const std::optional<ChunkedBody> before = this->chunks;
    std::string decoded;
    std::string_view data = bytes;
    if (this->chunks) {
        std::string_view left = bytes;
        const ChunkedState state = decodeChunked(
            *this->chunks, left, [&decoded](std::string_view part) { decoded.append(part); });
        if (state == ChunkedState::Malformed) {
            return 0;
        }
        data = decoded;
    }
    if (this->call.maxBodyBytes != 0 && this->bodyBytes + data.size() > this->call.maxBodyBytes) {
        return 0;
    }
    if (!data.empty() && this->events.onData && !this->events.onData(data)) {
        this->chunks = before;
        this->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    this->bodyBytes += data.size();
    return bytes.size();
}

bool Exchange::isComplete() const
{
    // libcurl takes the end of the connection for the end of a head.
    if (!this->headersDelivered) {
        return false;
    }
    if (this->chunks) {
        return this->chunks->part == ChunkedBody::Part::End;
    }
    if (!this->endsWithConnection()) {
        return true;
    }
    // A body that ends with its connection may be cut if that is reset for the rest of the request.
    // Writing the request has then consumed the error, and libcurl reads an orderly end.
    curl_off_t sent = 0;
    curl_easy_getinfo(this->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return this->isDelivered && !this->wasReset
           && static_cast<std::size_t>(sent) == this->call.body.size();
}

void Exchange::complete(CURLcode code)
{
    this->releaseSocket();
    long requestBytes = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (code == CURLE_OK && !this->isComplete()) {
        this->finish(HttpOutcome::Broken, "the response ended early");
        return;
    }
    this->finish(outcomeOf(code, requestBytes), code == CURLE_OK ? "" : curl_easy_strerror(code));
}

HttpClient::State::~State()
{
    for (const auto &[easy, exchange] : this->exchanges) {
        curl_multi_remove_handle(this->multi, easy);
        exchange->dropEvents();
    }
    this->exchanges.clear();
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, nullptr);
    for (const auto &[fd, socket] : this->sockets) {
        socket->close();
    }
    curl_multi_cleanup(this->multi);
}

void HttpClient::State::add(const std::shared_ptr<Exchange> &exchange, HttpEvents events)
{
    exchange->prepare(std::move(events));
    this->exchanges.emplace(exchange->handle(), exchange);
    curl_multi_add_handle(this->multi, exchange->handle());
}

void HttpClient::State::remove(const std::shared_ptr<Exchange> &exchange)
{
    if (this->exchanges.erase(exchange->handle()) > 0) {
        curl_multi_remove_handle(this->multi, exchange->handle());
    }
}

void HttpClient::State::continueTransfers()
{
    this->processSocket(CURL_SOCKET_TIMEOUT, 0);
}

int HttpClient::State::onSocketChanged(CURL *easy, curl_socket_t fd, int what, void *self,
                                       void * /*known*/)
{
    auto *state = static_cast<State *>(self);
    const auto found = state->sockets.find(fd);
    if (what == CURL_POLL_REMOVE) {
        if (found != state->sockets.end()) {
            const auto exchange = state->exchanges.find(easy);
            if (exchange != state->exchanges.end()) {
                exchange->second->recordDelivery(found->second->descriptor.native_handle());
            }
            if (exchange != state->exchanges.end() && exchange->second->endsWithConnection()) {
                exchange->second->keepSocket(found->second->release());
            } else {
                found->second->close();
            }
            state->sockets.erase(found);
        }
        return 0;
    }
    SocketPointer socket;
    if (found == state->sockets.end()) {
        const int duplicate = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
        if (duplicate < 0) {
            return -1;
        }
        socket = std::make_shared<Socket>(state->context, duplicate);
        state->sockets.emplace(fd, socket);
    } else {
        socket = found->second;
    }
    socket->pollEvents = what;
    state->awaitSocket(socket, fd);
    return 0;
}

void HttpClient::State::awaitSocket(const SocketPointer &socket, curl_socket_t fd)
{
    const std::weak_ptr<State> weak = this->weak_from_this();
    const auto ready = [weak, socket, fd](bool Socket::*flag, int events) {
        return [weak, socket, fd, flag, events](const asio::error_code &error) {
            (*socket).*flag = false;
            const auto state = weak.lock();
            if (!state || error || socket->pollEvents == 0) {
                return;
            }
            if ((socket->pollEvents & events) != 0) {
                state->processSocket(fd, events);
            }
            if (socket->pollEvents != 0) {
                state->awaitSocket(socket, fd);
            }
        };
    };
    using Descriptor = asio::posix::stream_descriptor;
    if ((socket->pollEvents & CURL_POLL_IN) != 0 && !socket->reading) {
        socket->reading = true;
        socket->descriptor.async_wait(
            Descriptor::wait_read,
            asio::bind_executor(this->strand, ready(&Socket::reading, CURL_CSELECT_IN)));
    }
    if ((socket->pollEvents & CURL_POLL_OUT) != 0 && !socket->writing) {
        socket->writing = true;
        socket->descriptor.async_wait(
            Descriptor::wait_write,
            asio::bind_executor(this->strand, ready(&Socket::writing, CURL_CSELECT_OUT)));
    }
}

int HttpClient::State::onTimerChanged(CURLM * /*multi*/, long milliseconds, void *self)
{
    auto *state = static_cast<State *>(self);
    state->timer.cancel();
    if (milliseconds < 0) {
        return 0;
    }
    state->timer.expires_after(std::chrono::milliseconds(milliseconds));
    state->timer.async_wait(asio::bind_executor(
        state->strand, [weak = state->weak_from_this()](const asio::error_code &error) {
            const auto alive = weak.lock();
            if (alive && !error) {
                alive->processSocket(CURL_SOCKET_TIMEOUT, 0);
            }
        }));
    return 0;
}

void HttpClient::State::processSocket(curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(this->multi, fd, events, &running);
    this->finishCompleted();
}

void HttpClient::State::finishCompleted()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        const auto found = this->exchanges.find(easy);
        if (found == this->exchanges.end()) {
            continue;
        }
        const std::shared_ptr<Exchange> exchange = found->second;
        this->exchanges.erase(found);
        curl_multi_remove_handle(this->multi, easy);
        if (code == CURLE_OK && exchange->keepsSocket()) {
            this->completeLater(exchange);
        } else {
            exchange->complete(code);
        }
    }
}

void HttpClient::State::completeLater(const std::shared_ptr<Exchange> &exchange)
{
    const auto grace = std::make_shared<asio::steady_timer>(this->context, resetGrace);
    grace->async_wait(
        asio::bind_executor(this->strand, [grace, exchange](const asio::error_code &) {
            exchange->complete(CURLE_OK);
        }));
}

HttpClient::HttpClient(asio::io_context &context)
    : state(std::make_shared<State>(context))
{}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpExchange> HttpClient::start(HttpCall call, HttpEvents events)
{
    auto exchange = std::make_shared<Exchange>(this->state, std::move(call));
    // Until the exchange starts, only the posted handler owns its callbacks. Their owner in turn
    // owns the exchange: if the exchange stored them here, both would leak when a killed router
    // never runs the handler.
    asio::post(this->state->executor(),
               [owner = this->state, exchange, events = std::move(events)]() mutable {
                   owner->add(exchange, std::move(events));
               });
    return exchange;
}

std::shared_ptr<HttpExchange> HttpClient::fetch(HttpCall call,
                                                std::function<void(HttpResponse)> done)
{
    if (call.maxBodyBytes == 0) {
        call.maxBodyBytes = maxFetchedBytes;
    }
    auto response = std::make_shared<HttpResponse>();
    HttpEvents events;
    events.onHeaders = [response](int status, const Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    events.onData = [response](std::string_view bytes) {
        response->body.append(bytes);
        return true;
    };
    events.onEnd = [response, done = std::move(done)](HttpOutcome end, const std::string &detail) {
        response->outcome = end;
        response->detail = detail;
        done(std::move(*response));
    };
    return this->start(std::move(call), std::move(events));
}

} // namespace plantainswitch::net
