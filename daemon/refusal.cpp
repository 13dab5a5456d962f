#include "refusal.h"

#include <nlohmann/json.hpp>

namespace plantainswitch {

std::string refusalBody(const Reason &reason, const std::string &requestId, RefusalScope scope)
{
    const ErrorRow &row = errorRow(reason.kind);
    nlohmann::ordered_json error{{"kind", row.name},
                                 {"message", row.message},
                                 {"detail", reason.detail},
                                 {"ran", nameOf(row.ran)},
                                 {"scope", scope == RefusalScope::Request ? "request" : "attempt"},
                                 {"request", requestId}};
    const std::optional<int> retry = reason.retryAfter ? reason.retryAfter : row.retryAfter;
    error["retryAfterSeconds"] = retry ? nlohmann::ordered_json(*retry) : nlohmann::ordered_json();
    return nlohmann::ordered_json{{"error", error}}.dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
}

void refuse(net::HttpResponder &reply, const Reason &reason, const std::string &requestId,
            RefusalScope scope)
{
    const ErrorRow &row = errorRow(reason.kind);
    net::Headers headers{{"content-type", "application/json"}, {"x-request-id", requestId}};
    const std::optional<int> retry = reason.retryAfter ? reason.retryAfter : row.retryAfter;
    if (retry) {
        headers["retry-after"] = std::to_string(*retry);
    }
    reply.respond(row.status, headers, refusalBody(reason, requestId, scope));
}

} // namespace plantainswitch
