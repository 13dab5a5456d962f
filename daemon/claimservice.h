#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "httpclient.h"
#include "node.h"
#include "peercalls.h"
#include "peertransport.h"
#include "platformclient.h"

namespace plantainswitch {

/// Claims non-idempotent requests, so that each runs at most once. A claim is sent to the preferred
/// writer of its slice of the key space. This router writes to the claim log itself for the slices
/// whose preferred writer it is, and for those whose writer does not respond.
class ClaimService : public std::enable_shared_from_this<ClaimService>
{
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    /// Receives the state of a claim as its owner reports it; Unknown if the owner can't be
    /// reached.
    using OwnerCallback = std::function<void(OwnClaim)>;

    ClaimService(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link,
                 PeerCalls &calls, net::HttpClient &http);

    void start();
    /// Requests a claim. \a done is called once, with Granted, Taken, Expired or Unavailable.
    void claim(const ClaimRequest &ask, ClaimCallback done);
    /// Releases a claim of this router whose request was not dispatched and never will be.
    void release(const Claim &claim);
    /// Asks the owner of the claim \a holder for its state.
    void queryOwner(const Claim &holder, OwnerCallback done);
    /// \returns a nonce that no other claim uses.
    [[nodiscard]] std::uint64_t nextNonce() noexcept;

    /// Drops the waiting requests. Call only when no worker thread runs any more.
    void dropPendingClaims() { this->pendingClaims.clear(); }

private:
    struct PendingClaim
    {
        ClaimRequest request;
        ClaimCallback done;
        std::unique_ptr<asio::steady_timer> timer;
        TimePoint deadline;
        ClaimRoute route;
    };
    struct Slice
    {
        ClaimLog log;
        std::unique_ptr<asio::steady_timer> timer;
        /// Endpoints of other routers that wait for a verdict, by the nonce of their claim.
        std::map<std::uint64_t, Endpoint> remoteWaiters;
    };

    void sendOrWrite(const std::shared_ptr<PendingClaim> &ask);
    void scheduleRetry(const std::shared_ptr<PendingClaim> &ask, Duration wait);
    void handleReply(const ClaimReply &reply);
    void complete(std::uint64_t nonce, const ClaimReply &reply);
    void handleRemoteRequest(const Endpoint &from, const ClaimRequest &ask);
    ClaimVerdict enqueueRequest(Slice &slice, const ClaimRequest &ask);
    void writeLocally(const std::shared_ptr<PendingClaim> &ask);
    Slice &sliceFor(const ClaimId &id);
    void advance(Slice &slice);
    void startStoreCall(Slice &slice, const StoreCall &call);
    void onStoreResponse(Slice &slice, const net::PlatformResponse &answer);
    void deliverReplies(Slice &slice, const std::vector<ClaimReply> &replies);
    [[nodiscard]] std::vector<Heartbeat> writersFor(const ClaimId &id) const;

    Node &node;
    std::shared_ptr<PeerTransport> link;
    PeerCalls &calls;
    net::PlatformClient platform;
    asio::strand<asio::io_context::executor_type> strand;
    std::atomic<std::uint64_t> nextNonceNumber = 1;
    WriterLimits limits;
    SilentWriters silentWriters;
    std::map<std::uint32_t, Slice> slices;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingClaim>> pendingClaims;
};

} // namespace plantainswitch
