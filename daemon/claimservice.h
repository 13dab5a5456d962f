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
    using Done = std::function<void(ClaimReply)>;
    /// Gets what the owner of a claim says of it; Unknown when it can't be asked.
    using OwnerDone = std::function<void(OwnClaim)>;

    ClaimService(asio::io_context &context, Node &node, std::shared_ptr<PeerLink> link,
                 PeerCalls &calls, net::HttpClient &http);

    void start();
    /// Claims; \a done is called once, with Granted, Taken, Expired or Unavailable.
    void claim(const ClaimAsk &ask, Done done);
    /// Gives up a claim of this router that was not dispatched and never will be.
    void release(const Claim &claim);
    /// Asks the owner of \a holder what became of it.
    void askOwner(const Claim &holder, OwnerDone done);
    /// \returns a nonce that no other claim has.
    [[nodiscard]] std::uint64_t nextNonce() noexcept;

    /// Lets go of the requests that wait, once no worker runs any more.
    void forgetAsks() { this->asks.clear(); }

private:
    struct Ask
    {
        ClaimAsk ask;
        Done done;
        std::unique_ptr<asio::steady_timer> timer;
        TimePoint deadline;
        AskRoute route;
    };
    struct Slice
    {
        ClaimLog log;
        std::unique_ptr<asio::steady_timer> timer;
        /// Other routers that wait for a verdict, by nonce.
        std::map<std::uint64_t, Endpoint> waiting;
    };

    void begin(const std::shared_ptr<Ask> &ask);
    void askAgain(const std::shared_ptr<Ask> &ask, Duration wait);
    void hearReply(const ClaimReply &reply);
    void finish(std::uint64_t nonce, const ClaimReply &reply);
    void hearAsk(const Endpoint &from, const ClaimAsk &ask);
    ClaimVerdict takeAsk(Slice &slice, const ClaimAsk &ask);
    void writeHere(const std::shared_ptr<Ask> &ask);
    Slice &sliceFor(const ClaimId &id);
    void pump(Slice &slice);
    void runCall(Slice &slice, const StoreCall &call);
    void takeAnswer(Slice &slice, const net::PlatformAnswer &answer);
    void deliver(Slice &slice, const std::vector<ClaimReply> &replies);
    [[nodiscard]] std::vector<Heartbeat> writersFor(const ClaimId &id) const;

    Node &node;
    std::shared_ptr<PeerLink> link;
    PeerCalls &calls;
    net::PlatformClient platform;
    asio::strand<asio::io_context::executor_type> strand;
    std::atomic<std::uint64_t> nonces = 1;
    WriterLimits limits;
    SilentWriters silent;
    std::map<std::uint32_t, Slice> slices;
    std::unordered_map<std::uint64_t, std::shared_ptr<Ask>> asks;
};

} // namespace plantainswitch
