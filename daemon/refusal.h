#pragma once

#include <string>

#include "httpserver.h"

#include "plantainswitch/base/error.h"

namespace plantainswitch {

/// \returns the JSON body of a refusal: kind, sentence, whether the request ran, when to return.
[[nodiscard]] std::string refusalBody(const Reason &reason, const std::string &requestId);

/// Answers with the one form of refusal.
void refuse(net::HttpReply &reply, const Reason &reason, const std::string &requestId);

} // namespace plantainswitch
