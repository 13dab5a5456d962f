#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace plantainswitch {

/// A member of a JSON object, as text.
struct JsonMember
{
    /// Without quotation marks, with its escapes.
    std::string_view name;
    std::string_view value;
};

// The functions below divide a JSON text without reading its values, so that a value that can't be
// read does not make those beside it unreadable. They use no recursion.

/// \returns the elements of a JSON array, as text; nothing if \a text is no array.
[[nodiscard]] std::optional<std::vector<std::string_view>> elementsOf(std::string_view text);
/// \returns the members of a JSON object; nothing if \a text is no object.
[[nodiscard]] std::optional<std::vector<JsonMember>> membersOf(std::string_view text);
/// \returns the text of the last one of \a members with that name; empty if there is none.
[[nodiscard]] std::string_view valueOf(const std::vector<JsonMember> &members,
                                       std::string_view name) noexcept;
/// \returns the value in \a text; nothing if it is no JSON or has more than \a maxDepth levels,
/// which copying and printing it could not bear.
[[nodiscard]] std::optional<nlohmann::json> parseNested(std::string_view text,
                                                        std::size_t maxDepth);

} // namespace plantainswitch
