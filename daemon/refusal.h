#pragma once

#include <string>

#include "httpserver.h"

#include "plantainswitch/base/error.h"

namespace plantainswitch {

/// What the field "ran" of a refusal refers to.
enum class RefusalScope : std::uint8_t {
    /// The request, including earlier attempts with the same key.
    Request,
    /// This attempt only: an earlier one with the same key may have run elsewhere.
    Attempt,
};

/// \returns the JSON body of a refusal: kind, message, whether the request ran, when to retry.
[[nodiscard]] std::string refusalBody(const Reason &reason, const std::string &requestId,
                                      RefusalScope scope = RefusalScope::Request);

/// Responds with a refusal: its status, headers and JSON body.
void refuse(net::HttpResponder &reply, const Reason &reason, const std::string &requestId,
            RefusalScope scope = RefusalScope::Request);

} // namespace plantainswitch
