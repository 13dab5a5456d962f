#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "callerconnection.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::soak {

/// How the store treats requests: it answers, ignores or rejects them, or resets their connections.
enum class StoreMode : std::uint8_t { Healthy, Unresponsive, Unavailable, ResetsConnections };

/// A simulated object store of the platform: lists, long-poll watches and unconditional writes,
/// with the faults that the real one may show.
class SoakStore
{
public:
    SoakStore(asio::io_context &context, const Clock &clock, const Endpoint &endpoint,
              std::uint64_t seed);

    /// Creates or replaces an object, as an operator or an upstream does.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

    void setMode(StoreMode newMode);
    void setDelay(Milliseconds newDelay) { this->delay = newDelay; }
    /// Sets the share of requests whose response is lost; lost writes are still applied.
    void setLossShare(double share) { this->lossShare = share; }
    /// Discards the change history and aborts all watches; watches from older revisions get 410.
    void dropHistory();

private:
    using Connection = gateway::CallerConnection;

    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
    };

    using Objects = std::map<std::string, std::map<std::string, Object>>;

    /// Contents of the store before a change, which stale lists return.
    struct Snapshot
    {
        TimePoint until;
        std::uint64_t revision = 0;
        Objects objects;
    };

    struct Watcher
    {
        std::weak_ptr<Connection> connection;
        std::string kind;
        std::uint64_t since = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void accept();
    void onRequest(const std::shared_ptr<Connection> &connection, const std::string &method,
                   const std::string &target, const std::string &body);
    void answer(const std::shared_ptr<Connection> &connection, const std::string &method,
                const std::string &target, const std::string &body);
    /// Serves a call on one object.
    void answerObject(const std::shared_ptr<Connection> &connection, const std::string &method,
                      const std::string &kind, const std::string &name, const std::string &body);
    void list(const std::shared_ptr<Connection> &connection, const std::string &kind,
              bool mayBeStale);
    void watch(const std::shared_ptr<Connection> &connection, const std::string &kind,
               std::uint64_t since);
    void create(const std::shared_ptr<Connection> &connection, const std::string &kind,
                const std::string &body);
    void applyChange(Change entry);
    [[nodiscard]] std::string changesSince(const std::string &kind, std::uint64_t since) const;
    void endWatch(std::uint64_t connection, bool isAborted);

    asio::io_context &context;
    const Clock &clock;
    asio::ip::tcp::acceptor acceptor;
    gateway::CallerHandlers events;
    std::mt19937_64 random;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::uint64_t nextConnection = 1;
    Objects objects;
    /// Recent snapshots, oldest first.
    std::deque<Snapshot> snapshots;
    std::vector<Change> history;
    std::uint64_t revision = 1;
    /// Changes up to this revision are no longer in the history.
    std::uint64_t droppedRevision = 0;
    std::map<std::uint64_t, Watcher> watchers;
    StoreMode mode = StoreMode::Healthy;
    Milliseconds delay{0};
    double lossShare = 0.0;
};

} // namespace plantainswitch::soak
