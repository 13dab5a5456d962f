#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "policytrace.h"

namespace plantainswitch::lab {

/// Runs a policy and plain hashing over the same trace.
/// \returns the report of the command `policy`.
[[nodiscard]] nlohmann::ordered_json reportPolicy(const PolicyOptions &options);

/// Runs the command `policy` with its own options: the policy bench.
/// \returns the exit code.
int runPolicyCommand(const std::vector<std::string> &arguments);

} // namespace plantainswitch::lab
