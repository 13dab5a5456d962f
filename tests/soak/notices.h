#pragma once

#include <vector>

#include "history.h"

namespace plantainswitch::soak {

/// Checks what routers did after an upstream had asked something of them in a response: nothing is
/// sent to it for the time of a back-off, and nothing new once it has announced that it is
/// draining. A restart or a pause of the router and the loss of the response excuse requests.
void checkNotices(const SoakHistory &history, const SoakBounds &bounds,
                  std::vector<Violation> &violations);

} // namespace plantainswitch::soak
