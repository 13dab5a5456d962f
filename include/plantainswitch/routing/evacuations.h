#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace plantainswitch {

/// The data centres whose upstreams get no requests, as of one revision of the store.
struct EvacuationSet
{
    /// The store's revision as of which the set was read; 0 if not known.
    std::uint64_t revision = 0;
    std::set<std::string> dataCentres;

    bool operator==(const EvacuationSet &) const = default;
};

/// Data centres whose evacuation has begun or ended.
struct EvacuationChanges
{
    std::vector<std::string> begun;
    std::vector<std::string> ended;

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return this->begun.empty() && this->ended.empty();
    }
};

/// Replaces \a current by \a newer unless that is older. Sets arrive in any order from the store
/// and from other routers, and each is complete, so that the latest revision prevails. \returns the
/// changes.
EvacuationChanges applyEvacuations(EvacuationSet &current, EvacuationSet newer);

} // namespace plantainswitch
