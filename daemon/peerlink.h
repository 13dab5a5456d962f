#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "node.h"
#include "peercodec.h"

namespace plantainswitch {

/// The datagrams between routers: heartbeats, and slots at a shard's keeper.
/// All its state lives on one strand; the public functions may be called from any thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using ReplyHandler = std::function<void(std::optional<SlotReply>)>;

    PeerLink(asio::io_context &context, Node &node);

    /// Opens the socket and starts receiving and beating.
    void start();
    /// Sends heartbeats to all peers now, such as at the begin of a stop.
    void beat();
    /// Adds a router of the platform's list as an address to beat to.
    void addSeed(const Endpoint &datagrams);
    /// Asks \a keeper for a slot, again when it is silent.
    /// \param done gets the reply, or nothing when the keeper stayed silent
    void ask(const Heartbeat &keeper, SlotAsk ask, ReplyHandler done);
    /// Gives a slot back to \a keeper with the next batch.
    void release(const Heartbeat &keeper, ShardId shard, std::uint32_t askId);

private:
    struct PendingAsk
    {
        asio::ip::udp::endpoint keeper;
        std::string datagram;
        ReplyHandler done;
        std::unique_ptr<asio::steady_timer> timer;
        int sends = 0;
    };

    void receive();
    void handle(const PeerMessage &message, const asio::ip::udp::endpoint &from);
    void hear(const Heartbeat &heartbeat);
    void beatHere();
    void send(const asio::ip::udp::endpoint &to, const PeerBody &body);
    void sendBytes(const asio::ip::udp::endpoint &to, std::string bytes);
    void sendAsk(std::uint32_t askId);
    void finishAsk(std::uint32_t askId, std::optional<SlotReply> reply);
    void flushReleases();
    void scheduleBeat();
    void scheduleReleases();

    Node &node;
    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::udp::socket socket;
    asio::steady_timer beatTimer;
    asio::steady_timer releaseTimer;
    std::array<char, longestDatagram + 1> buffer{};
    asio::ip::udp::endpoint sender;
    std::unordered_map<std::uint32_t, PendingAsk> pending;
    std::map<std::pair<Endpoint, ShardId>, std::vector<std::uint32_t>> releases;
    std::set<Endpoint> seeds;
};

/// Answers a slot ask out of this router's own keeper table.
[[nodiscard]] SlotReply grantHere(Node &node, std::uint64_t router, const SlotAsk &ask);

} // namespace plantainswitch
