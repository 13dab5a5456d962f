#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peercodec.h"

#include "policytrace.h"

namespace plantainswitch::lab {

/// An engine of the bench: a prefix cache and a count of what runs.
struct BenchEngine
{
    Vm vm;
    UpstreamId id = 0;
    PrefixCache cache{0};
    std::uint32_t load = 0;
    /// Rises when the engine is replaced or goes down: its requests end then.
    std::uint32_t generation = 0;
    bool up = true;
    /// Load as the late report says it.
    std::uint32_t reported = 0;
};

/// A router of the bench: its view of members and engines, and the shards it keeps.
struct BenchRouter
{
    Heartbeat self;
    std::vector<Heartbeat> active;
    UpstreamTable upstreams;
    ShardCoordinator keeper;
    std::uint32_t nextAsk = 1;
    /// What the router holds, by shard.
    std::map<ShardId, std::pair<Shard, std::map<std::uint32_t, UpstreamId>>> held;
};

/// A slot that a policy chose.
struct BenchChoice
{
    UpstreamId upstream = 0;
    std::uint32_t keeper = 0;
    ShardId shard = 0;
    std::uint32_t askId = 0;
    /// Whether a keeper counts it.
    bool counted = false;
};

/// The state that the policies look at.
struct BenchWorld
{
    explicit BenchWorld(const PolicyOptions &options);

    [[nodiscard]] Authorization admissionOf(std::uint32_t workspace) const;
    [[nodiscard]] static std::string placeName(std::uint32_t place);
    void renewEngine(std::size_t index);
    /// \returns the list of VMs as the platform would give it now.
    [[nodiscard]] std::vector<Vm> listOfVms() const;
    [[nodiscard]] LoadBoundSettings bound() const;
    /// Counts a datagram as control traffic.
    void send(const PeerBody &body);

    const PolicyOptions &options;
    Service service;
    ManualClock clock;
    std::mt19937_64 random;
    std::vector<BenchEngine> engines;
    std::map<UpstreamId, std::size_t> engineIndex;
    std::vector<std::unique_ptr<BenchRouter>> routers;
    std::map<std::string, std::uint32_t> routerIndex;
    std::uint64_t controlBytes = 0;
};

/// Chooses an engine for a request under the policy of the world's options.
/// \param avoid engines that already failed this request
[[nodiscard]] std::optional<BenchChoice> choose(BenchWorld &world, const TraceRequest &request,
                                                const std::vector<UpstreamId> &avoid);

/// Each keeper tells the other shards' keepers its load, as KeeperService does.
void sendSummaries(BenchWorld &world);
/// Each keeper tells the next one where chats ran, as ShardSync does.
void sendHints(BenchWorld &world);
/// Each router tells the keepers what it holds, as Slots does; a list follows where they differ.
void sendDigests(BenchWorld &world);

/// \returns the names of the policies.
[[nodiscard]] const std::vector<std::string> &policyNames();

} // namespace plantainswitch::lab
