#pragma once

#include <vector>

#include "plantainswitch/base/fields.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch {

/// Reads the object "log" of a program's settings; absent fields keep their defaults.
[[nodiscard]] LogSettings readLogSettings(FieldReader &parent, std::vector<Fault> &faults);

} // namespace plantainswitch
