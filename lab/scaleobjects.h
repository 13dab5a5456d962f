#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

inline constexpr std::size_t placeCount = 23;
inline constexpr std::size_t modelCount = 30;
inline constexpr const char *modelName = "sharpen-llm-00";
inline constexpr const char *placeName = "place-00";

/// \returns "prefix-0042", so that names are as long as those of a large fleet.
[[nodiscard]] std::string numbered(const std::string &prefix, std::size_t number);
/// \returns the heartbeat of the router of that number, each with an address of its own.
[[nodiscard]] Heartbeat heartbeatOf(std::size_t number);
/// \returns an engine of one model, spread over \a places.
[[nodiscard]] Vm engineOf(std::size_t number, std::size_t places);
[[nodiscard]] Entry workspaceOf(std::size_t number, std::uint64_t version);
/// \returns the entries of a large catalogue: classes, services and \a workspaces.
[[nodiscard]] std::vector<Entry> catalogueOf(std::size_t workspaces);

} // namespace plantainswitch::lab
