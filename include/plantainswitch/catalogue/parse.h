#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainswitch/catalogue/entry.h"

namespace plantainswitch {

/// A fault in a JSON document: where it is, what was found, what is allowed.
struct Fault
{
    std::string path;
    std::string found;
    std::string allowed;
};

/// \returns the fault as one line for an operator.
[[nodiscard]] std::string toText(const Fault &fault);

/// Parses the body of a catalogue entry.
/// \param kind of the entry
/// \param json the body; unknown fields are faults
/// \param faults receives every fault, not only the first
/// \returns the body, or nothing when there is a fault.
[[nodiscard]] std::optional<EntryBody> parseEntry(EntryKind kind, const nlohmann::json &json,
                                                  std::vector<Fault> &faults);

/// \returns the JSON form of \a body, which parseEntry() reads back.
[[nodiscard]] nlohmann::json toJson(const EntryBody &body);

/// Maximum nesting depth of a document. Copying and printing a document recurse once per level:
/// without a bound one object of the platform would overflow every router's stack at once.
inline constexpr std::size_t maxJsonDepth = 100;

/// Parses \a text as JSON without exceptions. Malformed or too deeply nested text is a fault, and
/// so is a duplicate field, because two parsers may each use a different one of its values.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text,
                                                      std::vector<Fault> &faults);

} // namespace plantainswitch
