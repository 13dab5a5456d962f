#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// What may be done with a route's requests.
enum class RouteKind : std::uint8_t { Idempotent, NonIdempotent, Streaming };
[[nodiscard]] std::string_view nameOf(RouteKind kind) noexcept;

/// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Which requests go to which service, and what is promised to their callers.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Longest time from a request's arrival to its final answer.
    Milliseconds timeout{0};
    /// Time to the answer, or to a stream's first event, that callers count as prompt.
    Milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Most upstreams on which one request may run.
    std::uint32_t maxAttempts = 1;
    /// No key is asked for.
    bool allowsAnonymous = false;
    /// Requests carry prompts, whose cached prefixes are worth finding again.
    bool cachesPrompts = false;
    /// A broken stream may go on at another upstream.
    bool resumable = false;
    /// Longest pause between events that callers count as prompt; 0: not stated.
    Milliseconds maxEventInterval{0};
    /// Time to the first event after which callers leave a stream; 0: not stated.
    Milliseconds firstEventTimeout{0};
};

/// \returns whether a request of \a route may run more than once.
[[nodiscard]] bool isRetryable(const Route &route) noexcept;

/// A workspace, the keys that prove it and its own rank.
struct RoutedWorkspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the route's rank.
    std::optional<std::uint32_t> priority;
};

/// What an upstream of a service with prompt caches can hold.
struct EngineCapacity
{
    std::uint32_t maxConcurrency = 0;
    std::uint64_t cacheTokens = 0;
};

/// A service that routes lead to.
struct RoutedService
{
    std::string name;
    /// Most connections that one of its upstreams takes from all routers together; 0: not stated.
    std::uint32_t connectionLimit = 0;
    std::optional<EngineCapacity> engine;
};

/// What callers may send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// One version of the whole routing configuration.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::vector<RoutedWorkspace> workspaces;
    CallerLimits limits;
    /// Without workspaces no request needs a key.
    bool requiresKeys = false;
};

/// Finds routes, services and workspaces of one configuration; immutable once built.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfig config);

    [[nodiscard]] const RoutingConfig &config() const noexcept { return this->source; }
    /// \returns the route of \a host with the longest prefix of \a path, or nullptr.
    /// \param host as the caller sent it; case and port don't matter
    /// \param path without its query
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;
    /// \returns the workspace that holds \a key, or nullptr.
    [[nodiscard]] const RoutedWorkspace *findWorkspace(std::string_view key) const;
    /// \returns the service of that name, or nullptr.
    [[nodiscard]] const RoutedService *findService(std::string_view name) const;

private:
    using ByPrefix = std::unordered_map<std::string, std::size_t>;

    RoutingConfig source;
    std::unordered_map<std::string, ByPrefix> byHost;
    std::unordered_map<std::string, std::size_t> byKey;
    std::unordered_map<std::string, std::size_t> byService;
};

/// \returns the service that the request with \a hash goes to, by the route's weights, or an empty
/// name when the route leads nowhere.
[[nodiscard]] std::string_view serviceOf(const Route &route, std::uint64_t hash) noexcept;

/// \returns the rank of a request: the workspace's own, else the route's.
[[nodiscard]] std::uint32_t requestPriority(const Route &route,
                                            const RoutedWorkspace *workspace) noexcept;

} // namespace plantainswitch
