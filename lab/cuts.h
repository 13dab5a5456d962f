#pragma once

#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "deployment.h"

namespace plantainswitch::lab {

/// Which routers of a fleet can't reach which others.
class Cuts
{
public:
    explicit Cuts(const std::vector<RouterLayout> &layout);

    /// Cuts each router of \a one from each of \a other, both ways.
    void cut(const std::vector<std::size_t> &one, const std::vector<std::size_t> &other);
    /// Ends all cuts.
    void heal();
    /// While silent, a router takes no peer calls, which gRPC's own threads would answer.
    void silence(std::size_t router, bool silent);
    /// \returns whether what router \a from sends to the peer address \a to is lost.
    [[nodiscard]] bool loses(std::size_t from, const Endpoint &to) const;

private:
    mutable std::mutex mutex;
    std::map<Endpoint, std::size_t> datagrams;
    std::map<Endpoint, std::size_t> calls;
    std::set<std::pair<std::size_t, std::size_t>> pairs;
    std::set<std::size_t> silent;
};

} // namespace plantainswitch::lab
