#include "answers.h"

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"

namespace plantainswitch::lab {

namespace {

constexpr std::size_t bytesOfToken = 4;

} // namespace

std::vector<PromptBlock> blocksOf(const nlohmann::json &messages)
{
    std::vector<PromptBlock> blocks;
    std::uint64_t hash = 0;
    for (const nlohmann::json &message : messages) {
        const std::string content =
            message.is_object() ? message.value("content", std::string{}) : std::string{};
        hash = hashOf(content, hash);
        const auto tokens = static_cast<std::uint32_t>(content.size() / bytesOfToken + 1);
        blocks.push_back({hash, tokens});
    }
    return blocks;
}

std::string answerWord(std::uint64_t promptHash, std::uint32_t index)
{
    return fmt::format("w{}-{:08x} ", index, static_cast<std::uint32_t>(promptHash));
}

} // namespace plantainswitch::lab
