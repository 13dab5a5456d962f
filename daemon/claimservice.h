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

/// Claims non-idempotent requests: sends each claim to the usual writer of its slice, writes the
/// slices of which this router is it, and any other whose writer is silent.
class ClaimService : public std::enable_shared_from_this<ClaimService>
{
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    /// Gets what the owner of a claim says of it; Unknown when it can't be asked.
    using OwnerCallback = std::function<void(OwnClaim)>;

    ClaimService(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link,
                 PeerCalls &calls, net::HttpClient &http);

    void start();
    /// Claims; \a done is called once, with Granted, Taken, Expired or Unavailable.
    void claim(const ClaimRequest &ask, ClaimCallback done);
    /// Gives up a claim of this router that was not dispatched and never will be.
    void release(const Claim &claim);
    /// Asks the owner of \a holder what became of it.
    void queryOwner(const Claim &holder, OwnerCallback done);
    /// \returns a nonce that no other claim has.
    [[nodiscard]] std::uint64_t nextNonce() noexcept;

    /// Lets go of the requests that wait, once no worker runs any more.
    void dropPendingClaims() { this->pendingClaims.clear(); }

private:
    struct PendingClaim
    {
        ClaimRequest ask;
        ClaimCallback done;
        std::unique_ptr<asio::steady_timer> timer;
        TimePoint deadline;
        ClaimRoute route;
    };
    struct Slice
    {
        ClaimLog log;
        std::unique_ptr<asio::steady_timer> timer;
        /// Other routers that wait for a verdict, by nonce.
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
