#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "node.h"

namespace plantainswitch {

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
    /// Fetches from \a peer the catalogue entries above \a version.
    /// \param done gets the entries, or nothing on failure; called on a gRPC thread
    void pull(const Heartbeat &peer, std::uint64_t version,
              std::function<void(std::optional<std::vector<Entry>>)> done);

    /// Asks \a owner what became of its claim \a nonce.
    /// \param done gets the claim, or nothing when the owner can't be asked
    void ownClaim(const Heartbeat &owner, std::uint64_t nonce,
                  std::function<void(std::optional<OwnClaim>)> done);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
