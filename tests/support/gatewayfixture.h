#pragma once

#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "gateway.h"
#include "platformdialect.h"

namespace plantainswitch::gateway {

/// A request as a scripted server got it.
struct ReceivedRequest
{
    MessageHead head;
    std::string body;
};

/// The server's side of one connection. All calls block.
class ServerConnection
{
public:
    explicit ServerConnection(asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {}

    /// \returns the next whole request, or nothing when the connection has ended.
    std::optional<ReceivedRequest> read();
    void send(std::string_view bytes);
    /// Ends the connection in order.
    void close();
    /// Ends it by a reset.
    void reset();
    /// Waits until the other side has ended the connection.
    void waitForEnd();
    /// Waits so for \a longest at most. \returns whether it has ended.
    bool waitForEnd(std::chrono::milliseconds longest);

private:
    asio::ip::tcp::socket socket;
    std::string buffered;
};

/// A server on loopback, each connection of which is played by a function on its own thread.
class ScriptedServer
{
public:
    using Script = std::function<void(ServerConnection &)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /// Takes no further connections: its address refuses them.
    void stopAccepting();
    [[nodiscard]] Endpoint endpoint() const { return this->address; }
    [[nodiscard]] int connectionCount() const noexcept { return this->accepted; }

private:
    void serve();

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    Endpoint address;
    Script script;
    std::atomic<int> accepted = 0;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> open;
    std::vector<std::thread> scriptThreads;
    std::thread thread;
};

/// An answer as a caller got it.
struct ReceivedResponse
{
    int status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    /// The answer came to its end.
    bool isComplete = false;
};

/// A gateway between scripted upstreams and a caller, with a stand-in of the platform's store that
/// holds one configuration: a host with a route of each kind.
class GatewayFixture
{
protected:
    GatewayFixture();
    ~GatewayFixture();

    /// Adds an upstream of \a service, in force once the gateway is started.
    ScriptedServer &addUpstream(const std::string &id, const std::string &service,
                                ScriptedServer::Script script);
    /// Adds an upstream whose address refuses connections.
    void addDeadUpstream(const std::string &id, const std::string &service);
    /// Ends the gateway at once and waits for it. \returns whether \a signal is blocked on the
    /// thread that ran it.
    bool isSignalBlockedAfterStop(int signal);
    /// Makes the gateway hear another router, which never answers it, until the fixture ends.
    /// \param storeRevision up to which it has heard of the store's changes
    void addSilentRouter(const std::string &id, const std::string &place,
                         std::uint64_t storeRevision = 0);
    /// Starts the gateway and waits until it is ready.
    void start();
    /// Replaces the store's configuration; lists show it, watches that wait are not answered.
    void editConfigSilently(std::uint64_t version) { this->routingVersion = version; }
    /// The store answers no watch any more, and lists as before.
    void ignoreWatches() { this->ignoresWatches = true; }
    /// \returns the version of the configuration in force; 0: none.
    std::uint64_t appliedConfigVersion();
    /// \returns a request as callers send it.
    [[nodiscard]] static std::string makeRequest(const std::string &path,
                                                 const std::string &attempt,
                                                 const std::string &body = {},
                                                 const std::string &more = {});
    /// Sends \a bytes on a new connection and reads one answer.
    ReceivedResponse call(const std::string &bytes);
    asio::ip::tcp::socket connectCaller();
    static ReceivedResponse readResponse(asio::ip::tcp::socket &socket);
    /// Asks for a page that isn't for callers.
    ReceivedResponse getInternalPage(const std::string &path);
    /// \returns whether the gateway says that it is ready.
    bool isReady();
    /// Waits until \a condition holds. \returns whether it did within some seconds.
    static bool eventually(const std::function<bool()> &condition);

    /// \returns a whole signed answer to \a request.
    static std::string makeResponse(const ReceivedRequest &request, const std::string &body,
                                    int status = 200, const std::string &more = {});
    /// \returns the head of a signed event stream in chunks.
    static std::string makeStreamHead(const ReceivedRequest &request);
    static std::string makeChunk(const std::string &bytes);
    static std::string makeEvent(int id);

    /// Lists of upstreams that the store was asked for.
    [[nodiscard]] int replicaListCount() const noexcept { return this->listCount; }

    asio::io_context callerContext;
    SystemClock clock;
    platform::PlatformDialect dialect;
    std::unique_ptr<Gateway> gateway;

private:
    void stopGateway();
    void addEntry(const std::string &id, const std::string &service, const Endpoint &endpoint);
    void serveStore(ServerConnection &connection);

    std::vector<std::unique_ptr<ScriptedServer>> upstreams;
    std::string replicaItems;
    std::atomic<int> listCount = 0;
    std::atomic<std::uint64_t> routingVersion = 7;
    std::atomic<bool> ignoresWatches = false;
    std::unique_ptr<ScriptedServer> store;
    std::thread thread;
    /// What the gateway's thread blocks once it has run.
    sigset_t blockedAtEnd{};
    std::vector<std::thread> routers;
    std::atomic<bool> stopped = false;
};

} // namespace plantainswitch::gateway
