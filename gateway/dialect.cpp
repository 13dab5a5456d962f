#include "dialect.h"

#include <array>

namespace plantainswitch::gateway {

namespace {

constexpr std::array kindNames{std::string_view{"routing"},     std::string_view{"replicas"},
                               std::string_view{"routers"},     std::string_view{"evacuations"},
                               std::string_view{"quarantines"}, std::string_view{"versions"},
                               std::string_view{"origins"}};

} // namespace

std::string_view nameOf(StoreObjectKind kind) noexcept
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

} // namespace plantainswitch::gateway
