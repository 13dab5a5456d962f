#pragma once

#include <optional>
#include <string>

#include "httpserver.h"

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch {

/// A caller's parsed and validated request.
struct CallerRequest
{
    std::string id;
    std::string token;
    std::string service;
    std::string chatId;
    std::string method;
    /// Path to request from the upstream, including the query byte for byte as the caller sent it.
    std::string path;
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
    /// When the caller created its idempotency key, in milliseconds since 1970; 0 if it did not
    /// say.
    std::uint64_t keyIssuedMilliseconds = 0;
    bool isModelCall = true;
    bool stream = false;
    bool nonIdempotent = false;
};

/// Header names of the callers' API; docs/CALLERS.md documents them.
inline constexpr std::string_view chatHeader = "x-chat-id";
inline constexpr std::string_view idempotencyKeyHeader = "idempotency-key";
inline constexpr std::string_view nonIdempotentHeader = "x-non-idempotent";
inline constexpr std::string_view keyIssuedHeader = "x-key-issued";
inline constexpr std::string_view requestIdHeader = "x-request-id";

/// Maximum length of a chat id and of an idempotency key, in bytes.
inline constexpr std::size_t maxChatIdOrKeyBytes = 200;

/// Parses and validates a caller's request.
/// \param maxBodyBytes size of the largest accepted body
/// \param reason receives the refusal if the request is not valid
/// \returns the request, or nothing if it must be refused.
[[nodiscard]] std::optional<CallerRequest>
parseCallerRequest(net::HttpRequest request, std::size_t maxBodyBytes, Reason &reason);

} // namespace plantainswitch
