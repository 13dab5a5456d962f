#include "plantainswitch/base/jsontext.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr std::string_view blanks = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// \returns the position after the string that begins at \a at; npos if it doesn't end.
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (std::size_t i = at + 1; i < text.size(); ++i) {
        if (text[i] == '"') {
            return i + 1;
        }
        i += text[i] == '\\' ? 1 : 0;
    }
    return std::string_view::npos;
}

/// The parts of a JSON text between the commas of its outermost level.
struct Division
{
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    bool isBalanced = true;
};

/// Divides \a text, of which the first and the last character are not read.
Division divide(std::string_view text)
{
    Division division;
    std::size_t depth = 0;
    std::size_t begin = 1;
    const std::size_t end = text.size() - 1;
    for (std::size_t i = 1; i < end; ++i) {
        switch (text[i]) {
        case '"':
            i = std::min(endOfString(text, i), text.size()) - 1;
            break;
        case '{':
        case '[':
            depth += 1;
            division.depth = std::max(division.depth, depth);
            break;
        case '}':
        case ']':
            if (depth == 0) {
                division.isBalanced = false;
                return division;
            }
            depth -= 1;
            break;
        case ',':
            if (depth == 0) {
                division.parts.push_back(trimmed(text.substr(begin, i - begin)));
                begin = i + 1;
            }
            break;
        default:
            break;
        }
        // A string that doesn't end before the last character.
        division.isBalanced = division.isBalanced && i < end;
    }
    division.isBalanced = division.isBalanced && depth == 0;
    const std::string_view last =
        division.isBalanced ? trimmed(text.substr(begin, end - begin)) : std::string_view{};
    if (!last.empty() || !division.parts.empty()) {
        division.parts.push_back(last);
    }
    return division;
}

bool isEnclosed(std::string_view text, char first, char last)
{
    return text.size() >= 2 && text.front() == first && text.back() == last;
}

} // namespace

std::optional<std::vector<std::string_view>> elementsOf(std::string_view text)
{
    const std::string_view array = trimmed(text);
    if (!isEnclosed(array, '[', ']')) {
        return std::nullopt;
    }
    Division division = divide(array);
    return division.isBalanced ? std::optional(std::move(division.parts)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> membersOf(std::string_view text)
{
    const std::string_view object = trimmed(text);
    if (!isEnclosed(object, '{', '}')) {
        return std::nullopt;
    }
    const Division division = divide(object);
    if (!division.isBalanced) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    for (const std::string_view part : division.parts) {
        const std::size_t nameEnd =
            part.starts_with('"') ? endOfString(part, 0) : std::string_view::npos;
        const std::size_t colon = nameEnd == std::string_view::npos
                                      ? std::string_view::npos
                                      : part.find_first_not_of(blanks, nameEnd);
        if (colon == std::string_view::npos || part[colon] != ':') {
            return std::nullopt;
        }
        members.push_back({part.substr(1, nameEnd - 2), trimmed(part.substr(colon + 1))});
    }
    return members;
}

std::string_view valueOf(const std::vector<JsonMember> &members, std::string_view name) noexcept
{
    const auto found =
        std::find_if(members.rbegin(), members.rend(),
                     [name](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? std::string_view{} : found->value;
}

std::optional<nlohmann::json> parseNested(std::string_view text, std::size_t maxDepth)
{
    const std::string_view value = trimmed(text);
    if (value.size() >= 2 && divide(value).depth >= maxDepth) {
        return std::nullopt;
    }
    nlohmann::json parsed = nlohmann::json::parse(value, nullptr, false);
    return parsed.is_discarded() ? std::nullopt : std::optional(std::move(parsed));
}

} // namespace plantainswitch
