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
#include <nlohmann/json.hpp>

#include "gateway.h"
#include "platformdialect.h"

namespace plantainswitch::gateway {

/// Largest body that callers may send, unless a test sets another.
inline constexpr std::size_t defaultMaxBodyBytes = 100000;

/// A request as received by a scripted server.
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

    /// \returns the next complete request, or nothing when the connection has ended.
    std::optional<ReceivedRequest> read();
    /// Reads \a size bytes, or up to the end of the connection.
    void readBytes(std::size_t size);
    /// Ends this side of the connection; the peer can still send.
    void endSending();
    void send(std::string_view bytes);
    /// Closes the connection in an orderly way.
    void close();
    /// Closes the connection with a reset.
    void reset();
    /// Waits until the peer has closed the connection.
    void waitForEnd();
    /// Waits for \a longest at most. \returns whether the peer has closed the connection.
    bool waitForEnd(std::chrono::milliseconds longest);

private:
    asio::ip::tcp::socket socket;
    std::string buffered;
};

/// A server on the loopback interface that runs a script on its own thread for each connection.
class ScriptedServer
{
public:
    using Script = std::function<void(ServerConnection &)>;

    /// \param at where it listens; port 0 for any free one
    explicit ScriptedServer(Script script, const Endpoint &at = {"127.0.0.1", 0});
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /// Accepts no further connections: they are refused.
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

/// A response as received by a caller.
struct ReceivedResponse
{
    int status = 0;
    std::vector<HeaderField> fields;
    std::string body;
    /// The response was received completely.
    bool isComplete = false;
};

/// A gateway between scripted upstreams and a caller, with a fake of the platform's store that
/// holds one configuration: a host with a route of each kind.
class GatewayFixture
{
protected:
    GatewayFixture();
    ~GatewayFixture();

    /// Adds an upstream of \a service. Must be called before start().
    ScriptedServer &addUpstream(const std::string &id, const std::string &service,
                                ScriptedServer::Script script);
    /// Sets how much longer upstreams that are added from now on are cold.
    void setColdTime(Milliseconds coldTime) { this->coldTime = coldTime; }
    /// Sets the software version of upstreams that are added from now on.
    void setVersion(std::string stated) { this->version = std::move(stated); }
    /// Adds an upstream whose address refuses connections.
    void addDeadUpstream(const std::string &id, const std::string &service);
    /// Terminates the gateway and waits for it. \returns whether \a signal is blocked in the thread
    /// that ran it.
    bool isSignalBlockedAfterStop(int signal);
    /// Sends the gateway updates of another router, which never replies, until the fixture is
    /// destroyed.
    /// \param storeRevision revision of the store up to which that router knows all changes
    /// \param evacuated data centres that it reports as evacuated, as of revision 9
    void addSilentRouter(const std::string &id, const std::string &place,
                         std::uint64_t storeRevision = 0,
                         const std::vector<std::string> &evacuated = {});
    /// Starts the gateway and waits until it is ready.
    void start();
    /// Replaces the store's configuration. Lists return it, waiting watches do not report it.
    void editConfigSilently(std::uint64_t version) { this->routingVersion = version; }
    /// Sets the largest body that callers may send. Must be called before start().
    void setMaxBodyBytes(std::size_t bytes) { this->maxBodyBytes = bytes; }
    /// Sets whether the store refuses calls on the origins of streams.
    void setOriginsRefused(bool refused) { this->refusesOrigins = refused; }
    /// From now on the store responds to no watch, but still to lists.
    void ignoreWatches() { this->ignoresWatches = true; }
    /// Adds an entry of another writer to the store's list of upstreams, as it is in the response.
    /// Must be called before start().
    void addStoreItem(const std::string &item);
    /// Sets the entries of evacuated data centres in the store, as JSON objects. Must be called
    /// before start().
    void setEvacuationItems(const std::string &items) { this->evacuationItems = items; }
    /// Sets the store's record of a quarantined request.
    void setTrialRecord(const std::string &name, int trials);
    /// \returns the trials in the store's record of a quarantined request; nothing without a
    /// record.
    std::optional<int> storedTrials(const std::string &name);
    /// Changes the settings with which start() creates the gateway.
    void changeSettings(std::function<void(GatewaySettings &)> change)
    {
        this->settingsChange = std::move(change);
    }
    /// \returns a routing configuration, with the same routes as the store's.
    [[nodiscard]] static std::string makeRouting(std::uint64_t version);
    /// \returns an object of the store.
    [[nodiscard]] static std::string makeStoreObject(const std::string &name,
                                                     const std::string &document);
    /// \returns the version of the routing configuration in use; 0 if there is none.
    std::uint64_t appliedConfigVersion();
    /// \returns a request as callers send it.
    [[nodiscard]] static std::string makeRequest(const std::string &path,
                                                 const std::string &attempt,
                                                 const std::string &body = {},
                                                 const std::string &more = {});
    /// Sends \a bytes on a new connection and reads one response.
    ReceivedResponse call(const std::string &bytes);
    asio::ip::tcp::socket connectCaller();
    static ReceivedResponse readResponse(asio::ip::tcp::socket &socket);
    /// Requests a path from the readiness listener.
    ReceivedResponse getInternalPage(const std::string &path);
    /// \returns whether the gateway reports itself as ready.
    bool isReady();
    /// Polls until \a condition holds, for up to 20 seconds. \returns whether it did.
    static bool eventually(const std::function<bool()> &condition);

    /// \returns a complete signed response to \a request.
    static std::string makeResponse(const ReceivedRequest &request, const std::string &body,
                                    int status = 200, const std::string &more = {});
    /// \returns the head of a signed, chunked event stream.
    static std::string makeStreamHead(const ReceivedRequest &request);
    static std::string makeChunk(const std::string &bytes);
    static std::string makeEvent(int id);

    /// \returns how often the store was asked for a list of upstreams.
    [[nodiscard]] int replicaListCount() const noexcept { return this->listCount; }

    asio::io_context callerContext;
    SystemClock clock;
    platform::PlatformDialect dialect;
    std::unique_ptr<Gateway> gateway;

private:
    /// Specification and revision of each record that routers keep in the store, by name.
    using StoredRecords = std::map<std::string, std::pair<nlohmann::json, std::uint64_t>>;

    void stopGateway();
    void addEntry(const std::string &id, const std::string &service, const Endpoint &endpoint);
    void serveStore(ServerConnection &connection);
    /// Serves a call on a record that routers keep in the store, or on all of its kind.
    std::string serveRecords(const ReceivedRequest &request, std::string_view kindPath,
                             StoredRecords &records);

    std::vector<std::unique_ptr<ScriptedServer>> upstreams;
    std::string replicaItems;
    std::string evacuationItems;
    StoredRecords trialRecords;
    StoredRecords versionRecords;
    StoredRecords originRecords;
    std::uint64_t recordRevision = 5;
    std::mutex recordMutex;
    Milliseconds coldTime{0};
    std::string version = "v1";
    std::function<void(GatewaySettings &)> settingsChange;
    std::atomic<int> listCount = 0;
    std::atomic<std::uint64_t> routingVersion = 7;
    std::atomic<bool> ignoresWatches = false;
    std::atomic<bool> refusesOrigins = false;
    std::size_t maxBodyBytes = defaultMaxBodyBytes;
    std::unique_ptr<ScriptedServer> store;
    std::thread thread;
    /// The signals that the gateway's thread blocked after run().
    sigset_t blockedAtEnd{};
    std::vector<std::thread> routers;
    std::atomic<bool> stopped = false;
};

} // namespace plantainswitch::gateway
