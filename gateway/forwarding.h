#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "plantainswitch/routing/streamorigin.h"

#include "http1.h"

namespace plantainswitch::gateway {

/// Field of a forwarded request: the number of upstreams that may have run it.
inline constexpr std::string_view forwardedAttemptsField = "Plantain-Forwarded-Attempts";
/// Field of a forwarded request: the configuration by which the sender admitted it.
inline constexpr std::string_view forwardedConfigField = "Plantain-Forwarded-Config";
/// Field of a forwarded request: the version at which its stream may go on, as a hash.
inline constexpr std::string_view forwardedVersionField = "Plantain-Forwarded-Version";
/// Field of the response to a forwarded request: the version of the upstream that began its stream,
/// as a hash.
inline constexpr std::string_view respondingVersionField = "Plantain-Upstream-Version";
/// Field of the response to a forwarded request: the router has not processed it.
inline constexpr std::string_view notAcceptedField = "Plantain-Not-Accepted";
/// Field of the response to a forwarded request: the upstream that responded.
inline constexpr std::string_view respondingUpstreamField = "Plantain-Upstream";

/// Requests of other routers that a router processes at once.
inline constexpr std::size_t maxForwardedRunning = 128;

/// What a router states about a request that it forwards.
struct ForwardedRequest
{
    /// Upstreams that may have run the request.
    std::uint32_t attempts = 0;
    std::uint64_t configVersion = 0;
    /// The version to which the request's stream is bound; nothing if its caller has no event.
    std::optional<VersionKey> boundTo;
};

/// Reads what the sender states, and removes these fields from \a head, so that no upstream gets
/// them. \returns nothing if the request is not forwarded, or a field is malformed.
[[nodiscard]] std::optional<ForwardedRequest> takeForwardedFields(MessageHead &head);
/// Removes \a name from \a fields. \returns its value, or nothing.
std::optional<std::string> takeField(std::vector<HeaderField> &fields, std::string_view name);

} // namespace plantainswitch::gateway
