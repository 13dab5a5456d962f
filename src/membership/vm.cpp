#include "plantainswitch/membership/vm.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace plantainswitch {

namespace {

constexpr std::array roleNames{std::string_view{"router"}, std::string_view{"engine"},
                               std::string_view{"plain"}};

} // namespace

std::string_view nameOf(VmRole role) noexcept
{
    return roleNames.at(static_cast<std::size_t>(role));
}

std::optional<VmRole> vmRoleOf(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < roleNames.size(); ++index) {
        if (roleNames.at(index) == name) {
            return static_cast<VmRole>(index);
        }
    }
    return std::nullopt;
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> endpointOf(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    in6_addr parsed{};
    const bool isAddress = inet_pton(AF_INET, endpoint.host.c_str(), &parsed) == 1
                           || inet_pton(AF_INET6, endpoint.host.c_str(), &parsed) == 1;
    if (!isAddress || error != std::errc{} || parsedEnd != end || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace plantainswitch
