#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/coldstart.h"

namespace plantainswitch {

/// Whether a route's requests can be retried.
enum class RouteKind : std::uint8_t { Idempotent, NonIdempotent, Streaming };
[[nodiscard]] std::string_view nameOf(RouteKind kind) noexcept;

/// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Maps requests to services and states what is promised to their callers.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Maximum time from a request's arrival to the end of its response.
    Milliseconds timeout{0};
    /// Latency objective: time to the response, or to a stream's first event.
    Milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of upstreams on which one request may be attempted.
    std::uint32_t maxAttempts = 1;
    /// No API key is required.
    bool allowsAnonymous = false;
    /// Requests carry prompts whose prefixes engines cache, so that they are routed by prefix.
    bool cachesPrompts = false;
    /// An interrupted stream may be resumed on another upstream.
    bool resumable = false;
    /// Latency objective for the time between two events; 0 if not stated.
    Milliseconds maxEventInterval{0};
    /// Time without a first event after which callers give up on a stream; 0 if not stated.
    Milliseconds firstEventTimeout{0};
    /// Areas in which requests may be processed; empty if in all.
    std::vector<std::string> homes;
};

/// \returns whether a request of \a route may be executed more than once.
[[nodiscard]] bool isRetryable(const Route &route) noexcept;

/// A workspace, its API keys and its own priority.
struct RoutedWorkspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;
    /// Areas in which its requests may be processed; empty if in all.
    std::vector<std::string> homes;
};

/// Capacity of an upstream of a service with prompt caches.
struct EngineCapacity
{
    std::uint32_t maxConcurrency = 0;
    std::uint64_t cacheTokens = 0;
};

/// A service that routes refer to.
struct RoutedService
{
    std::string name;
    /// Maximum number of connections to one of its upstreams from all routers together; 0 if not
    /// stated.
    std::uint32_t connectionLimit = 0;
    std::optional<EngineCapacity> engine;
    ColdStart coldStart;
};

/// Limits on callers' requests.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// One version of the complete routing configuration.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::vector<RoutedWorkspace> workspaces;
    CallerLimits limits;
    /// Whether requests need an API key; false without workspaces.
    bool requiresKeys = false;
};

/// Looks up the routes, services and workspaces of one configuration; immutable.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfig config);

    [[nodiscard]] const RoutingConfig &config() const noexcept { return this->source; }
    /// \returns the route of \a host with the longest prefix of \a path, or nullptr.
    /// \param host as the caller sent it; case and port are ignored
    /// \param path without its query
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;
    /// \returns the workspace with API key \a key, or nullptr.
    [[nodiscard]] const RoutedWorkspace *findWorkspace(std::string_view key) const;
    /// \returns the service with that name, or nullptr.
    [[nodiscard]] const RoutedService *findService(std::string_view name) const;
    /// \returns the longest time after a stream of the service began in which its caller may take
    /// it up; 0 if no stream of the service may be taken up.
    [[nodiscard]] Milliseconds takeUpTimeOf(std::string_view service) const;

private:
    using ByPrefix = std::unordered_map<std::string, std::size_t>;

    RoutingConfig source;
    std::unordered_map<std::string, ByPrefix> byHost;
    std::unordered_map<std::string, std::size_t> byKey;
    std::unordered_map<std::string, std::size_t> byService;
    std::unordered_map<std::string, Milliseconds> takeUpTimes;
};

/// \returns the service to which the request with \a hash is routed by the route's weights; empty
/// if the sum of the weights is 0.
[[nodiscard]] std::string_view serviceOf(const Route &route, std::uint64_t hash) noexcept;

/// \returns the priority of a request: the workspace's own one, else the route's.
[[nodiscard]] std::uint32_t requestPriority(const Route &route,
                                            const RoutedWorkspace *workspace) noexcept;

} // namespace plantainswitch
