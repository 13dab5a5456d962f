#pragma once

#include <string>

#include "fleet.h"

namespace plantainswitch::lab {

/// \returns the "lowther" deployment with \a routers routers and ports from \a basePort on.
inline Deployment lowtherDeployment(std::uint16_t basePort, std::uint32_t routers)
{
    Deployment deployment = *deploymentOf("lowther");
    deployment.basePort = basePort;
    deployment.routers = routers;
    return deployment;
}

/// \returns the body of a chat request with one message, \a text, for at most \a tokens tokens.
inline nlohmann::json chatBody(const Fleet &fleet, const std::string &text,
                               std::uint32_t tokens = 16, bool stream = false)
{
    return {{"model", fleet.deployment.modelService},
            {"messages", {{{"role", "user"}, {"content", text}}}},
            {"max_tokens", tokens},
            {"stream", stream}};
}

/// \returns the error object of a refusal, or an empty object for any other response.
inline nlohmann::json errorOf(const net::HttpResponse &answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"] : nlohmann::json::object();
}

/// \returns the kind of a refusal, or an empty string for any other response.
inline std::string refusalKindOf(const net::HttpResponse &answer)
{
    return errorOf(answer).value("kind", "");
}

} // namespace plantainswitch::lab
