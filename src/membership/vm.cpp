#include "plantainswitch/membership/vm.h"

#include <array>

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

} // namespace plantainswitch
