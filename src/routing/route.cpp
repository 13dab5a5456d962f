#include "plantainswitch/routing/route.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

namespace {

constexpr std::array kindNames{std::string_view{"idempotent"}, std::string_view{"non-idempotent"},
                               std::string_view{"streaming"}};

std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

} // namespace

std::string_view nameOf(RouteKind kind) noexcept
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

bool isRetryable(const Route &route) noexcept
{
    return route.kind == RouteKind::Idempotent
           || (route.kind == RouteKind::Streaming && route.resumable);
}

RoutingTable::RoutingTable(RoutingConfig config)
    : source(std::move(config))
{
    for (std::size_t i = 0; i < this->source.routes.size(); ++i) {
        const Route &route = this->source.routes[i];
        this->byHost[normalizedHost(route.host)].emplace(route.pathPrefix, i);
        for (const WeightedService &target : route.services) {
            if (route.resumable) {
                Milliseconds &longest = this->takeUpTimes[target.service];
                longest = std::max(longest, originRetention(route.timeout));
            }
        }
    }
    for (std::size_t i = 0; i < this->source.workspaces.size(); ++i) {
        for (const std::string &key : this->source.workspaces[i].keys) {
            this->byKey.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < this->source.services.size(); ++i) {
        this->byService.emplace(this->source.services[i].name, i);
    }
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->byHost.find(normalizedHost(host));
    if (prefixes == this->byHost.end()) {
        return nullptr;
    }
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = prefixes->second.find(std::string(path.substr(0, end + 1)));
        if (found != prefixes->second.end()) {
            return &this->source.routes[found->second];
        }
    }
    return nullptr;
}

const RoutedWorkspace *RoutingTable::findWorkspace(std::string_view key) const
{
    const auto found = this->byKey.find(std::string(key));
    return found == this->byKey.end() ? nullptr : &this->source.workspaces[found->second];
}

const RoutedService *RoutingTable::findService(std::string_view name) const
{
    const auto found = this->byService.find(std::string(name));
    return found == this->byService.end() ? nullptr : &this->source.services[found->second];
}

Milliseconds RoutingTable::takeUpTimeOf(std::string_view service) const
{
    const auto found = this->takeUpTimes.find(std::string(service));
    return found == this->takeUpTimes.end() ? Milliseconds{0} : found->second;
}

std::string_view serviceOf(const Route &route, std::uint64_t hash) noexcept
{
    std::uint64_t sum = 0;
    for (const WeightedService &target : route.services) {
        sum += target.weight;
    }
    if (sum == 0) {
        return {};
    }
    std::uint64_t point = hash % sum;
    for (const WeightedService &target : route.services) {
        if (point < target.weight) {
            return target.service;
        }
        point -= target.weight;
    }
    return {};
}

std::uint32_t requestPriority(const Route &route, const RoutedWorkspace *workspace) noexcept
{
    return workspace != nullptr && workspace->priority ? *workspace->priority : route.priority;
}

} // namespace plantainswitch
