#pragma once

#include <cstdint>
#include <vector>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

/// A run of the membership functions alone over a queue of messages, without sockets.
struct MembersOptions
{
    std::uint32_t routers = 52;
    std::uint32_t places = 1;
    /// Share of datagrams that are lost.
    double loss = 0.05;
    std::uint64_t seed = 1;
    std::uint32_t seconds = 120;
    /// Routers that die without a word, one after the other.
    std::uint32_t deaths = 5;
    /// Seconds for which the first place is cut off from the others, from the middle on; 0: none.
    std::uint32_t cutSeconds = 0;
    SwimSettings settings;
};

/// What a run showed.
struct MembersReport
{
    std::uint64_t falseSuspicions = 0;
    /// Living routers that another held for gone.
    std::uint64_t falseGone = 0;
    /// Seconds from each death until no living router of the place, and of all, held it alive.
    std::vector<double> placeSeconds;
    std::vector<double> fleetSeconds;
    /// Deaths that were not known everywhere at the end.
    std::uint64_t undetected = 0;
    double meanBytesPerSecond = 0;
    double highestBytesPerSecond = 0;
    /// Pairs of living routers at the end of which one does not hold the other alive.
    std::uint64_t missingAtEnd = 0;
};

[[nodiscard]] MembersReport runMembers(const MembersOptions &options);
void printMembers(const MembersOptions &options, const MembersReport &report);

} // namespace plantainswitch::lab
