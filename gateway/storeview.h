#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Where routers hand out what they know of the store.
inline constexpr std::string_view storeViewPath = "/fleet/store";

/// \returns \a view as JSON, which readStoreView() reads back.
[[nodiscard]] std::string writeStoreView(const StoreView &view);
/// \returns the view that \a text holds, or nothing.
[[nodiscard]] std::optional<StoreView> readStoreView(std::string_view text);

} // namespace plantainswitch::gateway
