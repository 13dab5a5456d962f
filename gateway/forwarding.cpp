#include "forwarding.h"

#include <algorithm>
#include <limits>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/base/number.h"

namespace plantainswitch::gateway {

namespace {

std::optional<std::uint64_t> takeNumber(MessageHead &head, std::string_view name)
{
    const auto text = takeField(head.fields, name);
    return text ? parseUnsigned(*text) : std::nullopt;
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
    const auto attempts = takeNumber(head, forwardedAttemptsField);
    const auto version = takeNumber(head, forwardedConfigField);
    const auto boundTo = takeField(head.fields, forwardedVersionField);
    const std::optional<VersionKey> binding = boundTo ? parseHash(*boundTo) : std::nullopt;
    const bool isBindingMalformed = boundTo && !binding;
    if (!attempts || !version || isBindingMalformed
        || *attempts > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return ForwardedRequest{static_cast<std::uint32_t>(*attempts), *version, binding};
}

} // namespace plantainswitch::gateway
