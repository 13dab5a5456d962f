#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::ctl {

/// Printed in place of a workspace's token, and accepted in an entry file to keep the stored one.
inline constexpr std::string_view tokenPlaceholder = "(hidden)";

/// A parsed and validated entry file.
struct EntryFile
{
    EntryKey key;
    /// Stored version that the edit is based on; 0 creates an entry.
    std::uint64_t version = 0;
    nlohmann::json body;
};

/// Parses an entry file. \returns nothing if it is invalid; \a faults lists every reason.
[[nodiscard]] std::optional<EntryFile> parseEntryFile(const std::string &text,
                                                      std::vector<Fault> &faults);

/// \returns whether the file contains tokenPlaceholder instead of a token.
[[nodiscard]] bool hasTokenPlaceholder(const EntryFile &file);

/// The entries that the platform stores, by key, without those whose body can't be parsed.
using StoredEntries = std::map<EntryKey, EntryBody>;

/// \returns a fault for each data class or service that \a body refers to and that does not exist.
/// Such a reference would reject every request of a workspace, which only its callers would see.
[[nodiscard]] std::vector<Fault> checkReferences(const EntryBody &body,
                                                 const StoredEntries &stored);

/// \returns the entries that refer to \a key and so prevent its deletion.
[[nodiscard]] std::vector<EntryKey> entriesReferringTo(const EntryKey &key,
                                                       const StoredEntries &stored);

} // namespace plantainswitch::ctl
