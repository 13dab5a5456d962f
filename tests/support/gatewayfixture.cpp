#include "gatewayfixture.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <future>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "loopback.h"

namespace plantainswitch::gateway {

namespace {

constexpr std::size_t readSize = 4096;
/// Timeout for an expected event. Only a failing test waits this long.
constexpr std::chrono::seconds eventTimeout{20};
constexpr std::chrono::milliseconds pollInterval{5};

constexpr std::string_view trialRecordsPath = "/objects/plantain-quarantines";
constexpr std::string_view versionRecordsPath = "/objects/plantain-versions";
constexpr std::string_view originRecordsPath = "/objects/plantain-origins";

std::string makeRoutingDocument(std::uint64_t version, std::size_t maxBodyBytes)
{
    const auto route = [](const std::string &name, const std::string &kind,
                          const std::string &service, bool resumable) {
        const int objective = name == "hasty" ? 20 : 1000;
        return nlohmann::json{
            {"name", name},       {"host", "h.example"}, {"pathPrefix", "/" + name + "/"},
            {"kind", kind},       {"timeoutMs", 5000},   {"goalMs", objective},
            {"priority", 0},      {"service", service},  {"maxAttempts", 2},
            {"anonymous", false}, {"sticky", resumable}, {"resumable", resumable},
            {"gapGoalMs", 1000}};
    };
    nlohmann::json homed = route("homed", "idempotent", "plain", false);
    homed["homeRegions"] = {"north"};
    return nlohmann::json{
        {"version", version},
        {"routes",
         {route("safe", "idempotent", "plain", false),
          route("once", "non_idempotent", "plain", false),
          route("stream", "streaming", "model", true), route("hasty", "streaming", "model", true),
          homed}},
        {"services",
         {{{"name", "plain"}}, {{"name", "model"}, {"coldS", 600}, {"coldPerS", 1000}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", maxBodyBytes},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "alpha"}, {"apiKeys", {"key-a"}}}}}}
        .dump();
}

std::string storeObject(const std::string &name, const std::string &document)
{
    return fmt::format(R"({{"metadata":{{"name":"{}","rev":1}},"spec":{}}})", name, document);
}

/// \returns how long a watch may be held, as requested in \a target.
std::chrono::milliseconds waitOf(const std::string &target)
{
    constexpr std::string_view field = "waitMs=";
    return std::chrono::milliseconds{std::stoi(target.substr(target.find(field) + field.size()))};
}

std::string plainResponse(const std::string &body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

} // namespace

std::optional<ReceivedRequest> ServerConnection::read()
{
    ReceivedRequest received;
    MessageParser parser(MessageKind::Request, 1 << 20,
                         {[&received](MessageHead head) { received.head = std::move(head); },
                          [&received](std::string_view bytes) { received.body.append(bytes); }});
    ParseState parseState = parser.feed(this->buffered);
    this->buffered.clear();
    std::array<char, readSize> buffer{};
    while (parseState == ParseState::Incomplete) {
        asio::error_code error;
        const std::size_t size = this->socket.read_some(asio::buffer(buffer), error);
        if (error) {
            return std::nullopt;
        }
        parseState = parser.feed({buffer.data(), size});
    }
    return parseState == ParseState::Complete ? std::optional(received) : std::nullopt;
}

void ServerConnection::readBytes(std::size_t size)
{
    std::array<char, readSize> buffer{};
    asio::error_code error;
    while (size > 0 && !error) {
        size -=
            this->socket.read_some(asio::buffer(buffer.data(), std::min(size, readSize)), error);
    }
}

void ServerConnection::endSending()
{
    asio::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

void ServerConnection::send(std::string_view bytes)
{
    asio::error_code error;
    asio::write(this->socket, asio::buffer(bytes.data(), bytes.size()), error);
}

void ServerConnection::close()
{
    asio::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
    this->socket.close(error);
}

void ServerConnection::reset()
{
    asio::error_code error;
    this->socket.set_option(asio::socket_base::linger(true, 0), error);
    this->socket.close(error);
}

void ServerConnection::waitForEnd()
{
    std::array<char, readSize> buffer{};
    asio::error_code error;
    while (!error) {
        this->socket.read_some(asio::buffer(buffer), error);
    }
}

bool ServerConnection::waitForEnd(std::chrono::milliseconds longest)
{
    pollfd waited{this->socket.native_handle(), POLLIN, 0};
    return ::poll(&waited, 1, static_cast<int>(longest.count())) != 0;
}

ScriptedServer::ScriptedServer(Script script, const Endpoint &at)
    : acceptor(this->context, {asio::ip::make_address(at.host), at.port})
    , address{at.host, this->acceptor.local_endpoint().port()}
    , script(std::move(script))
    , thread([this] { this->serve(); })
{}

ScriptedServer::~ScriptedServer()
{
    this->stopping = true;
    asio::error_code error;
    // Wakes the accepting thread.
    asio::ip::tcp::socket last(this->context);
    last.connect({asio::ip::make_address(this->address.host), this->address.port}, error);
    this->thread.join();
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &socket : this->open) {
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, error);
        }
    }
    for (std::thread &player : this->scriptThreads) {
        player.join();
    }
}

void ScriptedServer::stopAccepting()
{
    this->stopping = true;
    // Wakes the accepting thread, which closing the socket would not do.
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
}

void ScriptedServer::serve()
{
    while (true) {
        asio::error_code error;
        asio::ip::tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (this->stopping) {
            return;
        }
        if (error) {
            continue;
        }
        ++this->accepted;
        // A second handle on the same connection. Shutting it down at the end of the server wakes
        // the thread that runs the script.
        const int handle = dup(socket.native_handle());
        auto waker = std::make_shared<asio::ip::tcp::socket>(this->context);
        waker->assign(asio::ip::tcp::v4(), handle);
        {
            const std::lock_guard lock(this->mutex);
            this->open.push_back(waker);
        }
        this->scriptThreads.emplace_back([this, waker, peerSocket = std::move(socket)]() mutable {
            ServerConnection connection(std::move(peerSocket));
            this->script(connection);
            const std::lock_guard lock(this->mutex);
            asio::error_code ignored;
            std::erase(this->open, waker);
            waker->close(ignored);
        });
    }
}

GatewayFixture::GatewayFixture() = default;

GatewayFixture::~GatewayFixture()
{
    this->stopped = true;
    for (std::thread &router : this->routers) {
        router.join();
    }
    this->stopGateway();
}

void GatewayFixture::stopGateway()
{
    if (this->thread.joinable()) {
        this->gateway->post([this] { this->gateway->forceStop(); });
        this->thread.join();
    }
}

bool GatewayFixture::isSignalBlockedAfterStop(int signal)
{
    this->stopGateway();
    return sigismember(&this->blockedAtEnd, signal) == 1;
}

ScriptedServer &GatewayFixture::addUpstream(const std::string &id, const std::string &service,
                                            ScriptedServer::Script script)
{
    this->upstreams.push_back(std::make_unique<ScriptedServer>(std::move(script)));
    this->addEntry(id, service, this->upstreams.back()->endpoint());
    return *this->upstreams.back();
}

void GatewayFixture::addDeadUpstream(const std::string &id, const std::string &service)
{
    this->addEntry(id, service, {ownAddress(1), freePort(1)});
}

void GatewayFixture::addEntry(const std::string &id, const std::string &service,
                              const Endpoint &endpoint)
{
    const nlohmann::json entry{{"service", service},
                               {"address", toText(endpoint)},
                               {"zone", "hall-a"},
                               {"version", this->version},
                               {"slots", 4},
                               {"state", "ready"},
                               {"coldLeftMs", this->coldTime.count()},
                               {"sequence", 1}};
    this->addStoreItem(storeObject(id, entry.dump()));
}

void GatewayFixture::addStoreItem(const std::string &item)
{
    this->replicaItems += (this->replicaItems.empty() ? "" : ",") + item;
}

void GatewayFixture::serveStore(ServerConnection &connection)
{
    while (const auto request = connection.read()) {
        const std::string &target = request->head.target;
        if (target.find("watch=") != std::string::npos) {
            if (connection.waitForEnd(waitOf(target))) {
                return;
            }
            if (this->ignoresWatches) {
                connection.waitForEnd();
                return;
            }
            connection.send(plainResponse(R"({"events":[],"asOf":5})"));
            continue;
        }
        if (target.starts_with(trialRecordsPath)) {
            connection.send(this->serveRecords(*request, trialRecordsPath, this->trialRecords));
            continue;
        }
        if (target.starts_with(versionRecordsPath)) {
            connection.send(this->serveRecords(*request, versionRecordsPath, this->versionRecords));
            continue;
        }
        if (target.starts_with(originRecordsPath)) {
            connection.send(
                this->refusesOrigins
                    ? std::string("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                    : this->serveRecords(*request, originRecordsPath, this->originRecords));
            continue;
        }
        const bool isRouting = target.starts_with("/objects/config");
        const bool isReplicas = target.starts_with("/objects/servers");
        this->listCount += isReplicas ? 1 : 0;
        const std::string items =
            isRouting
                ? storeObject("main", makeRoutingDocument(this->routingVersion, this->maxBodyBytes))
            : isReplicas                                 ? this->replicaItems
            : target.starts_with("/objects/evacuations") ? this->evacuationItems
                                                         : std::string();
        connection.send(plainResponse(R"({"items":[)" + items + R"(],"hasMore":false,"asOf":5})"));
    }
}

std::string GatewayFixture::serveRecords(const ReceivedRequest &request, std::string_view kindPath,
                                         StoredRecords &records)
{
    const std::lock_guard lock(this->recordMutex);
    const auto respond = [](int status, const std::string &body) {
        return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(),
                           body);
    };
    const auto render = [&records](const std::string &name) {
        const auto &[spec, revision] = records.at(name);
        return fmt::format(R"({{"metadata":{{"name":"{}","rev":{}}},"spec":{}}})", name, revision,
                           spec.dump());
    };
    const std::string path = request.head.target.substr(0, request.head.target.find('?'));
    std::string name = path.size() > kindPath.size() ? path.substr(kindPath.size() + 1) : "";
    const bool hasBody = request.head.method == "POST" || request.head.method == "PUT";
    const nlohmann::json body =
        hasBody ? nlohmann::json::parse(request.body) : nlohmann::json::object();
    if (request.head.method == "GET" && name.empty()) {
        std::vector<std::string> items;
        for (const auto &[key, record] : records) {
            items.push_back(render(key));
        }
        return respond(200, fmt::format(R"({{"items":[{}],"hasMore":false,"asOf":5}})",
                                        fmt::join(items, ",")));
    }
    if (request.head.method == "POST") {
        name = body["metadata"]["name"];
    }
    const auto stored = records.find(name);
    const bool exists = stored != records.end();
    if (request.head.method == "DELETE") {
        records.erase(name);
        return respond(200, "{}");
    }
    if (!hasBody) {
        return exists ? respond(200, render(name)) : respond(404, "{}");
    }
    const bool conflicts =
        request.head.method == "POST"
            ? exists
            : !exists || body["metadata"].value("rev", 0U) != stored->second.second;
    if (conflicts) {
        return respond(409, exists ? render(name) : "{}");
    }
    records[name] = {body["spec"], ++this->recordRevision};
    return respond(200, render(name));
}

void GatewayFixture::setTrialRecord(const std::string &name, int trials)
{
    const std::lock_guard lock(this->recordMutex);
    this->trialRecords[name] = {{{"trials", trials}}, ++this->recordRevision};
}

std::optional<int> GatewayFixture::storedTrials(const std::string &name)
{
    const std::lock_guard lock(this->recordMutex);
    const auto found = this->trialRecords.find(name);
    return found == this->trialRecords.end()
               ? std::nullopt
               : std::optional(found->second.first["trials"].get<int>());
}

void GatewayFixture::start()
{
    this->store = std::make_unique<ScriptedServer>(
        [this](ServerConnection &connection) { this->serveStore(connection); });
    GatewaySettings settings;
    settings.id = "router-1";
    settings.dataCentre = "hall-a";
    settings.callers = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    settings.peerDatagrams = {"127.0.0.1", 0};
    settings.peerCalls = {"127.0.0.1", 0};
    settings.store = this->store->endpoint();
    settings.log.level = Severity::Error;
    if (this->settingsChange) {
        this->settingsChange(settings);
    }
    this->gateway = std::make_unique<Gateway>(this->clock, this->dialect, std::move(settings));
    this->gateway->openListeners();
    this->thread = std::thread([this] {
        this->gateway->run();
        pthread_sigmask(SIG_BLOCK, nullptr, &this->blockedAtEnd);
    });
    eventually([this] { return this->isReady(); });
}

std::string GatewayFixture::makeRouting(std::uint64_t version)
{
    return makeRoutingDocument(version, defaultMaxBodyBytes);
}

std::string GatewayFixture::makeStoreObject(const std::string &name, const std::string &document)
{
    return storeObject(name, document);
}

void GatewayFixture::addSilentRouter(const std::string &id, const std::string &place,
                                     std::uint64_t storeRevision,
                                     const std::vector<std::string> &evacuated)
{
    const Endpoint to = this->gateway->datagramEndpoint();
    this->routers.emplace_back([this, id, place, to, storeRevision, evacuated] {
        asio::io_context context;
        asio::ip::udp::socket socket(context, {asio::ip::make_address("127.0.0.1"), 0});
        wire::GatewayDatagram datagram;
        datagram.mutable_news()->set_id(id);
        datagram.mutable_news()->set_place(place);
        datagram.mutable_news()->set_incarnation(1);
        datagram.mutable_news()->set_store_revision(storeRevision);
        constexpr std::uint64_t evacuationsRevision = 9;
        datagram.mutable_news()->set_evacuations_revision(evacuated.empty() ? 0
                                                                            : evacuationsRevision);
        for (const std::string &dataCentre : evacuated) {
            datagram.mutable_news()->add_evacuated(dataCentre);
        }
        for (std::uint64_t sequence = 1; !this->stopped; ++sequence) {
            datagram.mutable_news()->set_sequence(sequence);
            asio::error_code error;
            socket.send_to(asio::buffer(datagram.SerializeAsString()),
                           {asio::ip::make_address(to.host), to.port}, 0, error);
            std::this_thread::sleep_for(pollInterval);
        }
    });
    eventually([this, id] {
        std::promise<bool> known;
        this->gateway->post([this, id, &known] {
            known.set_value(this->gateway->sharedState().peerLoads.knows(id, 1));
        });
        return known.get_future().get();
    });
}

std::string GatewayFixture::makeRequest(const std::string &path, const std::string &attempt,
                                        const std::string &body, const std::string &more)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n"
                       "X-Time-Budget: 4000\r\nAuthorization: Bearer key-a\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       path, attempt, more, body.size(), body);
}

asio::ip::tcp::socket GatewayFixture::connectCaller()
{
    asio::ip::tcp::socket socket(this->callerContext);
    const Endpoint endpoint = this->gateway->callerEndpoint();
    socket.connect({asio::ip::make_address(endpoint.host), endpoint.port});
    return socket;
}

ReceivedResponse GatewayFixture::readResponse(asio::ip::tcp::socket &socket)
{
    ReceivedResponse received;
    MessageParser parser(MessageKind::Response, 1 << 20,
                         {[&received](MessageHead head) {
                              received.status = head.status;
                              received.fields = std::move(head.fields);
                          },
                          [&received](std::string_view bytes) { received.body.append(bytes); }});
    std::array<char, readSize> buffer{};
    ParseState parseState = ParseState::Incomplete;
    while (parseState == ParseState::Incomplete) {
        asio::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        if (error) {
            return received;
        }
        parseState = parser.feed({buffer.data(), size});
    }
    received.isComplete = parseState == ParseState::Complete;
    return received;
}

std::uint64_t GatewayFixture::appliedConfigVersion()
{
    std::promise<std::uint64_t> version;
    this->gateway->post([this, &version] {
        const auto &table = this->gateway->sharedState().routingTable;
        version.set_value(table ? table->config().version : 0);
    });
    return version.get_future().get();
}

ReceivedResponse GatewayFixture::call(const std::string &bytes)
{
    asio::ip::tcp::socket socket = this->connectCaller();
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return readResponse(socket);
}

ReceivedResponse GatewayFixture::getInternalPage(const std::string &path)
{
    asio::ip::tcp::socket socket(this->callerContext);
    const Endpoint endpoint = this->gateway->readinessEndpoint();
    asio::error_code error;
    socket.connect({asio::ip::make_address(endpoint.host), endpoint.port}, error);
    asio::write(socket, asio::buffer(fmt::format("GET {} HTTP/1.1\r\n\r\n", path)), error);
    return readResponse(socket);
}

bool GatewayFixture::isReady()
{
    return this->getInternalPage("/readiness").status == 200;
}

bool GatewayFixture::eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + eventTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

std::string GatewayFixture::makeResponse(const ReceivedRequest &request, const std::string &body,
                                         int status, const std::string &more)
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: stamp\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       status, *request.head.find("X-Attempt-Id"), more, body.size(), body);
}

std::string GatewayFixture::makeStreamHead(const ReceivedRequest &request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                       *request.head.find("X-Attempt-Id"));
}

std::string GatewayFixture::makeChunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string GatewayFixture::makeEvent(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

} // namespace plantainswitch::gateway
