#pragma once

#include <optional>
#include <string>

#include "httpserver.h"

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch {

/// A caller's request once it is understood.
struct CallerRequest
{
    std::string id;
    std::string token;
    std::string service;
    std::string chatId;
    std::string method;
    /// Path at the upstream, with the query byte for byte as the caller sent it.
    std::string path;
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
    /// When the caller made its key, in milliseconds since 1970; 0: not said.
    std::uint64_t keyIssuedMilliseconds = 0;
    bool isModelCall = true;
    bool stream = false;
    bool nonIdempotent = false;
};

/// Names of the headers that callers use; docs/CALLERS.md explains them.
inline constexpr std::string_view chatHeader = "x-chat-id";
inline constexpr std::string_view idempotencyKeyHeader = "idempotency-key";
inline constexpr std::string_view nonIdempotentHeader = "x-non-idempotent";
inline constexpr std::string_view keyIssuedHeader = "x-key-issued";
inline constexpr std::string_view requestIdHeader = "x-request-id";

/// Longest chat id and idempotency key, in bytes.
inline constexpr std::size_t maxChatIdOrKeyBytes = 200;

/// Understands a caller's request, or says in \a reason why not.
[[nodiscard]] std::optional<CallerRequest>
parseCallerRequest(net::HttpRequest request, std::size_t largestBody, Reason &reason);

} // namespace plantainswitch
