#pragma once

#include <string>
#include <vector>

#include "blockingplatformclient.h"
#include "entryfile.h"

namespace plantainswitch::ctl {

/// Exit codes of the commands below; docs/operating/members.md documents them.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitBadInput = 2;
inline constexpr int exitConflict = 3;
inline constexpr int exitNotFound = 4;
inline constexpr int exitOutcomeUnknown = 5;

/// Format in which a command prints its result.
enum class OutputFormat : std::uint8_t { Table, Json };

/// Whether a workspace's token is printed or replaced by tokenPlaceholder.
enum class TokenVisibility : std::uint8_t { Hidden, Shown };

/// Prints all entries with their versions; tokens are replaced by tokenPlaceholder.
int listEntries(BlockingPlatformClient &platform, OutputFormat output);
/// Prints one entry in the form that applyFile() accepts.
int getEntry(BlockingPlatformClient &platform, const EntryKey &key, OutputFormat output,
             TokenVisibility tokens);
/// Checks that the entries that the file at \a path refers to exist, then writes its entry.
/// tokenPlaceholder in place of a token keeps the stored token. Fails with exitConflict when the
/// stored version is not the one in the file.
int applyFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output);
/// Prints what applyFile() would change, without writing.
int diffFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output);
/// Deletes an entry if no other entry refers to it and its version is still \a ifVersion.
int deleteEntry(BlockingPlatformClient &platform, const EntryKey &key, std::uint64_t ifVersion,
                OutputFormat output);
/// Prints how routers handled a request, reconstructed from their log files \a logs, or from
/// standard input when \a logs is empty.
int explainRequest(const std::string &request, const std::vector<std::string> &logs);
/// Prints the lowest catalogue version that the routers of each data centre have applied.
int showStatus(BlockingPlatformClient &platform, OutputFormat output);

} // namespace plantainswitch::ctl
