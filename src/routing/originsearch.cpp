#include "plantainswitch/routing/originsearch.h"

#include <algorithm>

namespace plantainswitch {

namespace {

bool contains(const std::vector<Endpoint> &routers, const Endpoint &router)
{
    return std::find(routers.begin(), routers.end(), router) != routers.end();
}

} // namespace

std::optional<std::vector<Endpoint>> nextRound(OriginSearch &search,
                                               const std::vector<Endpoint> &sources)
{
    if (search.rounds >= maxOriginRounds) {
        return std::nullopt;
    }
    search.rounds += 1;
    search.pending.insert(search.pending.end(), search.ignorant.begin(), search.ignorant.end());
    search.ignorant.clear();
    for (const Endpoint &source : sources) {
        if (!contains(search.pending, source)) {
            search.pending.push_back(source);
        }
    }
    return search.pending;
}

bool recordIgnorance(OriginSearch &search, const Endpoint &router, std::size_t alive)
{
    if (std::erase(search.pending, router) > 0) {
        search.ignorant.push_back(router);
    }
    return search.pending.empty() && search.ignorant.size() >= alive;
}

} // namespace plantainswitch
