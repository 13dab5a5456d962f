#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::ctl {

/// Stands in the place of a workspace's token where that is not shown.
inline constexpr std::string_view tokenPlaceholder = "(hidden)";

/// An entry file once it is checked.
struct EntryFile
{
    EntryKey key;
    /// Version that was read before the edit; 0 for a new entry.
    std::uint64_t version = 0;
    nlohmann::json body;
};

/// Reads an entry file's text; every fault is reported.
[[nodiscard]] std::optional<EntryFile> parseEntryFile(const std::string &text,
                                                      std::vector<Fault> &faults);

/// \returns whether the file holds the hidden mark in the place of a token.
[[nodiscard]] bool hasTokenPlaceholder(const EntryFile &file);

/// All entries that exist at the platform, by key; bodies that can't be read are left out.
using StoredEntries = std::map<EntryKey, EntryBody>;

/// \returns the faults of what \a body refers to: a data class or a service that does not exist
/// would refuse every request of a workspace, seen only by its callers.
[[nodiscard]] std::vector<Fault> checkReferences(const EntryBody &body, const StoredEntries &known);

/// \returns the entries that refer to \a key, which is to be deleted.
[[nodiscard]] std::vector<EntryKey> entriesReferringTo(const EntryKey &key,
                                                       const StoredEntries &known);

} // namespace plantainswitch::ctl
