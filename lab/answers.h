#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "enginemodel.h"

namespace plantainswitch::lab {

/// \returns the blocks of a prompt, one a message.
[[nodiscard]] std::vector<PromptBlock> blocksOf(const nlohmann::json &messages);

/// \returns word \a index of the one right answer to a prompt, by which a caller recognises its
/// own whole answer.
[[nodiscard]] std::string answerWord(std::uint64_t promptHash, std::uint32_t index);

} // namespace plantainswitch::lab
