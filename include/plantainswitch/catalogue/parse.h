#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "plantainswitch/catalogue/entry.h"

namespace plantainswitch {

/// One fault of a JSON document: where, what was found, what is allowed.
struct Fault
{
    std::string path;
    std::string found;
    std::string allowed;
};

/// \returns the fault as one line for an operator.
[[nodiscard]] std::string toText(const Fault &fault);

/// Reads the body of a catalogue entry.
/// \param kind of the entry
/// \param json the body; unknown fields are faults
/// \param faults receives every fault, not only the first
/// \returns the body, or nothing when there is a fault.
[[nodiscard]] std::optional<EntryBody> parseEntry(EntryKind kind, const nlohmann::json &json,
                                                  std::vector<Fault> &faults);

/// \returns the JSON form of \a body, which parseEntry() reads back.
[[nodiscard]] nlohmann::json toJson(const EntryBody &body);

/// Reads \a text as JSON without exceptions; a duplicate or malformed document is a fault.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text,
                                                      std::vector<Fault> &faults);

} // namespace plantainswitch
