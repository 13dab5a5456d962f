#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "commands.h"

namespace plantainswitch::ctl {

/// What the where command asks a router.
struct WhereOptions
{
    /// HOST:PORT of the router's control or readiness listener.
    std::string router;
    std::string route;
    /// Empty if not stated.
    std::string workspace;
    /// Id of the attempt; empty if not stated.
    std::string key;
    /// Path of a file with the parts of the prompt, as callers send them; empty for a request
    /// without a prompt.
    std::string promptFile;
};

/// Prints where one router would send a request now, and why. The router sends nothing and changes
/// no state.
int showWhere(const WhereOptions &options, OutputFormat output);

/// \returns a router's response as a table.
[[nodiscard]] std::string formatWhereTable(const nlohmann::ordered_json &reply);

} // namespace plantainswitch::ctl
