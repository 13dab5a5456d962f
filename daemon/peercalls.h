#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "node.h"

namespace plantainswitch {

/// The result of a pull from a peer.
struct PullResult
{
    std::vector<Entry> entries;
    std::uint64_t completeVersion = 0;
    std::uint32_t catalogueAge = neverConfirmed;
    std::vector<VmRecord> vms;
};

/// The gRPC calls between routers, for data that doesn't fit into a datagram.
class PeerCalls
{
public:
    explicit PeerCalls(Node &node);
    ~PeerCalls();
    PeerCalls(const PeerCalls &) = delete;
    PeerCalls &operator=(const PeerCalls &) = delete;

    /// Starts the gRPC server. \returns false if the port can't be bound.
    [[nodiscard]] bool start();
    void stop();
    /// Fetches from \a peer the catalogue entries above \a version and the VM list lines above \a
    /// vmStamp.
    /// \param done receives the result, or nothing on failure; usually called on a gRPC thread
    void pull(const Heartbeat &peer, std::uint64_t version, std::uint64_t vmStamp,
              std::function<void(std::optional<PullResult>)> done);

    /// Asks \a owner for the state of its claim \a nonce.
    /// \param done receives the claim, or nothing if the owner can't be reached
    void queryOwnClaim(const Heartbeat &owner, std::uint64_t nonce,
                       std::function<void(std::optional<OwnClaim>)> done);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
