#include <algorithm>
#include <set>

#include "policyworld.h"

namespace plantainswitch::lab {

namespace {

using Chooser = std::optional<BenchChoice> (*)(BenchWorld &, const TraceRequest &,
                                               const std::vector<UpstreamId> &);

std::uint64_t chatHashOf(const TraceRequest &request)
{
    return mixHash(request.workspace, request.chat);
}

std::vector<UpstreamId> permittedEngines(BenchWorld &world, const TraceRequest &request,
                                         const std::vector<UpstreamId> &avoid)
{
    const Authorization admission = world.admissionOf(request.workspace);
    std::vector<UpstreamId> result;
    for (const std::string &place : admission.dataCentres) {
        for (const Upstream &upstream : world.routers[request.router]->upstreams.ready(
                 admission.service, place, world.clock.now())) {
            if (std::find(avoid.begin(), avoid.end(), upstream.shortId) == avoid.end()) {
                result.push_back(upstream.shortId);
            }
        }
    }
    return result;
}

BenchChoice uncounted(UpstreamId upstream)
{
    BenchChoice choice;
    choice.upstream = upstream;
    return choice;
}

std::optional<BenchChoice> chooseRandom(BenchWorld &world, const TraceRequest &request,
                                        const std::vector<UpstreamId> &avoid)
{
    const std::vector<UpstreamId> engines = permittedEngines(world, request, avoid);
    if (engines.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, engines.size() - 1);
    return uncounted(engines[any(world.random)]);
}

std::optional<BenchChoice> chooseLeastLoaded(BenchWorld &world, const TraceRequest &request,
                                             const std::vector<UpstreamId> &avoid)
{
    const std::vector<UpstreamId> engines = permittedEngines(world, request, avoid);
    const auto reportedOf = [&world](UpstreamId id) {
        const auto found = world.engineIndex.find(id);
        return found == world.engineIndex.end() ? 0 : world.engines[found->second].reported;
    };
    const auto least =
        std::min_element(engines.begin(), engines.end(), [&](UpstreamId first, UpstreamId second) {
            return reportedOf(first) < reportedOf(second);
        });
    if (least == engines.end()) {
        return std::nullopt;
    }
    return uncounted(*least);
}

std::optional<PlacementPlan> planOf(BenchWorld &world, const TraceRequest &request)
{
    Reason reason;
    return planPlacement(world.admissionOf(request.workspace), chatHashOf(request),
                         world.routers[request.router]->upstreams, world.clock.now(), reason);
}

/// First engine of the first shard that has one, in the chat's order: no look at loads.
std::optional<BenchChoice> chooseHash(BenchWorld &world, const TraceRequest &request,
                                      const std::vector<UpstreamId> &avoid)
{
    const auto plan = planOf(world, request);
    if (!plan) {
        return std::nullopt;
    }
    for (const Shard &shard : plan->shards) {
        std::vector<Candidate> candidates;
        for (const UpstreamId id : readyUpstreamsOf(world.routers[request.router]->upstreams, shard,
                                                    world.service.shards, world.clock.now())) {
            if (std::find(avoid.begin(), avoid.end(), id) == avoid.end()) {
                candidates.push_back({id, 1.0});
            }
        }
        if (!candidates.empty()) {
            return uncounted(
                candidates[rendezvousOrder(chatHashOf(request), candidates).front()].id);
        }
    }
    return std::nullopt;
}

bool keepsIn(const BenchWorld &world, std::uint32_t router, const Shard &shard)
{
    const auto member = coordinatorOf(shard, world.routers[router]->active);
    return member && world.routerIndex.at(member->id) == router;
}

/// Asks the shards' keepers in the plan's order; with \a local each router is its own keeper.
std::optional<BenchChoice> chooseBounded(BenchWorld &world, const TraceRequest &request,
                                         const std::vector<UpstreamId> &avoid, bool local)
{
    const auto plan = planOf(world, request);
    if (!plan) {
        return std::nullopt;
    }
    BenchRouter &router = *world.routers[request.router];
    for (const Shard &shard : plan->shards) {
        std::uint32_t keeper = request.router;
        if (!local) {
            const auto member = coordinatorOf(shard, router.active);
            keeper = member ? world.routerIndex.at(member->id) : request.router;
        }
        BenchRouter &keeping = *world.routers[keeper];
        const SlotRequest ask{router.nextAsk++, shard, chatHashOf(request), chatHashOf(request),
                              avoid};
        GrantContext view;
        view.settings = world.bound();
        view.readyEngines =
            readyUpstreamsOf(keeping.upstreams, shard, world.service.shards, world.clock.now());
        const SlotReply reply =
            keeping.keeper.grant(request.router, ask, std::move(view),
                                 local || keepsIn(world, keeper, shard), world.clock.now());
        if (keeper != request.router) {
            world.send(ask);
            world.send(reply);
        }
        if (reply.verdict == SlotVerdict::Granted) {
            auto &held = router.held[shardIdOf(shard)];
            held.first = shard;
            held.second[ask.requestId] = reply.upstream;
            return BenchChoice{reply.upstream, keeper, shardIdOf(shard), ask.requestId, true};
        }
    }
    return std::nullopt;
}

std::optional<BenchChoice> chooseLocalBound(BenchWorld &world, const TraceRequest &request,
                                            const std::vector<UpstreamId> &avoid)
{
    return chooseBounded(world, request, avoid, true);
}

std::optional<BenchChoice> choosePlantain(BenchWorld &world, const TraceRequest &request,
                                          const std::vector<UpstreamId> &avoid)
{
    return chooseBounded(world, request, avoid, false);
}

const std::map<std::string, Chooser> choosers{{"random", chooseRandom},
                                              {"least-loaded", chooseLeastLoaded},
                                              {"hash", chooseHash},
                                              {"local-bound", chooseLocalBound},
                                              {"keeper-hash", choosePlantain},
                                              {"keeper-last", choosePlantain},
                                              {"plantain", choosePlantain}};

} // namespace

std::optional<BenchChoice> choose(BenchWorld &world, const TraceRequest &request,
                                  const std::vector<UpstreamId> &avoid)
{
    return choosers.at(world.options.policy)(world, request, avoid);
}

void sendSummaries(BenchWorld &world)
{
    if (world.options.policy == "local-bound") {
        return;
    }
    for (std::uint32_t index = 0; index < world.routers.size(); ++index) {
        BenchRouter &router = *world.routers[index];
        for (const ShardSummary &summary : router.keeper.summaries(world.clock.now())) {
            std::set<std::uint32_t> targets;
            Shard shard = summary.shard;
            for (shard.number = 0; shard.number < world.service.shards; ++shard.number) {
                if (const auto keeper = coordinatorOf(shard, router.active)) {
                    targets.insert(world.routerIndex.at(keeper->id));
                }
            }
            targets.erase(index);
            for (const std::uint32_t target : targets) {
                world.send(summary);
                world.routers[target]->keeper.receiveSummary(summary, world.clock.now());
            }
        }
    }
}

void sendHints(BenchWorld &world)
{
    if (world.options.policy == "local-bound") {
        return;
    }
    const TimePoint now = world.clock.now();
    for (const auto &router : world.routers) {
        for (const auto &[to, hints] :
             router->keeper.takeHints(router->self.datagramEndpoint, router->active, now)) {
            world.send(hints);
            world.routers[to.port]->keeper.receiveHints(hints, router->self.datagramEndpoint, now);
        }
    }
}

void sendDigests(BenchWorld &world)
{
    if (world.options.policy == "local-bound") {
        return;
    }
    const TimePoint now = world.clock.now();
    for (std::uint32_t index = 0; index < world.routers.size(); ++index) {
        BenchRouter &router = *world.routers[index];
        for (const auto &[id, entry] : router.held) {
            const auto keeper = coordinatorOf(entry.first, router.active);
            if (!keeper || keeper->id == router.self.id) {
                continue;
            }
            ShardCoordinator &table = world.routers[world.routerIndex.at(keeper->id)]->keeper;
            const SlotDigest digest = digestOf(id, entry.second, router.nextAsk);
            world.send(digest);
            if (!table.checkDigest(index, digest, now)) {
                continue;
            }
            world.send(SlotListRequest{id});
            for (const SlotList &list :
                 splitIntoLists(entry.first, index, entry.second, router.nextAsk)) {
                world.send(list);
                table.receiveList(index, list, now);
            }
        }
    }
}

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> result;
        result.reserve(choosers.size());
        for (const auto &[name, chooser] : choosers) {
            result.push_back(name);
        }
        return result;
    }();
    return names;
}

} // namespace plantainswitch::lab
