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

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
