#pragma once

#include <string>

#include "httpserver.h"

#include "plantainswitch/base/error.h"

namespace plantainswitch {

/// What the "ran" of a refusal speaks of.
enum class RefusalScope : std::uint8_t {
    /// The request, however often it was sent.
    Request,
    /// This sending alone: an earlier one with the same key may have run elsewhere.
    Attempt,
};

/// \returns the JSON body of a refusal: kind, sentence, whether the request ran, when to return.
[[nodiscard]] std::string refusalBody(const Reason &reason, const std::string &requestId,
                                      RefusalScope scope = RefusalScope::Request);

/// Answers with the one form of refusal.
void refuse(net::HttpResponder &reply, const Reason &reason, const std::string &requestId,
            RefusalScope scope = RefusalScope::Request);

} // namespace plantainswitch
