#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "node.h"

namespace plantainswitch {

/// What a peer handed out.
struct PullResult
{
    std::vector<Entry> entries;
    std::uint64_t completeVersion = 0;
    std::uint32_t catalogueAge = neverConfirmed;
    std::vector<VmRecord> vms;
};

/// The gRPC calls between routers: what doesn't fit into a datagram.
class PeerCalls
{
public:
    explicit PeerCalls(Node &node);
    ~PeerCalls();
    PeerCalls(const PeerCalls &) = delete;
    PeerCalls &operator=(const PeerCalls &) = delete;

    /// Serves peers. \returns false when the port can't be had.
    [[nodiscard]] bool start();
    void stop();
    /// Fetches from \a peer the catalogue entries above \a version and the VM lines above
    /// \a vmStamp.
    /// \param done gets what came, or nothing on failure; called on a gRPC thread
    void pull(const Heartbeat &peer, std::uint64_t version, std::uint64_t vmStamp,
              std::function<void(std::optional<PullResult>)> done);

    /// Asks \a owner what became of its claim \a nonce.
    /// \param done gets the claim, or nothing when the owner can't be asked
    void queryOwnClaim(const Heartbeat &owner, std::uint64_t nonce,
                       std::function<void(std::optional<OwnClaim>)> done);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
