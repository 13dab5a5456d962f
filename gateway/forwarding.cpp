#include "forwarding.h"

#include <algorithm>
#include <charconv>

namespace plantainswitch::gateway {

namespace {

template<typename Number>
std::optional<Number> parseNumber(const std::optional<std::string> &text)
{
    Number number = 0;
    if (!text) {
        return std::nullopt;
    }
    const char *const end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, number);
    if (error != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<std::string> takeField(std::vector<HeaderField> &fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const HeaderField &field) {
        return isSameFieldName(field.name, name);
    });
    if (found == fields.end()) {
        return std::nullopt;
    }
    std::string value = std::move(found->value);
    fields.erase(found);
    return value;
}

std::optional<ForwardedRequest> takeForwardedFields(MessageHead &head)
{
    const auto attempts =
        parseNumber<std::uint32_t>(takeField(head.fields, forwardedAttemptsField));
    const auto version = parseNumber<std::uint64_t>(takeField(head.fields, forwardedConfigField));
    if (!attempts || !version) {
        return std::nullopt;
    }
    return ForwardedRequest{*attempts, *version};
}

} // namespace plantainswitch::gateway
