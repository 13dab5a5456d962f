#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Path of the query where a request would go now.
inline constexpr std::string_view wherePath = "/where";
/// Maximum size of a query; several times the longest prompt that fits into a caller's header.
inline constexpr std::size_t maxWhereQueryBytes = std::size_t{64} << 10;

/// The response to a query, with a JSON object as its body.
struct WhereReply
{
    int status = 0;
    std::string body;
};

/// Decides where a request would go now, by the functions that decide for requests, without sending
/// anything and without changing any state. Steps that would change state are left out and listed
/// in the response.
/// \param body JSON object with "route" and optionally "workspace", "key" and "prompt"
[[nodiscard]] WhereReply answerWhereQuery(const GatewayState &gateway, std::string_view body);

} // namespace plantainswitch::gateway
