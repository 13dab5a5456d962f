#include <iostream>

#include "plantainswitch/plantainswitch.h"

/// Requests slots for one hot chat from its shard's coordinator and shows how the load bound
/// spreads the requests over several engines.
int main()
{
    using namespace plantainswitch;
    ShardState state;
    const GrantContext view{{1, 2, 3, 4}, {}, false};
    constexpr std::uint32_t asks = 12;
    for (std::uint32_t id = 1; id <= asks; ++id) {
        const SlotRequest ask{id, {"model", "hall-a", 0}, hashOf("one chat"), 0, {}};
        const SlotReply reply = grantSlot(state, 1, ask, view, TimePoint{});
        std::cout << "ask " << id << " -> engine " << reply.upstream << "\n";
    }
    return 0;
}
