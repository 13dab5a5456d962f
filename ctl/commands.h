#pragma once

#include <string>
#include <vector>

#include "blockingplatformclient.h"
#include "entryfile.h"

namespace plantainswitch::ctl {

/// Exit codes; docs/operating/members.md lists them.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitBadInput = 2;
inline constexpr int exitConflict = 3;
inline constexpr int exitNotFound = 4;
inline constexpr int exitOutcomeUnknown = 5;

/// How results are written.
enum class OutputFormat : std::uint8_t { Table, Json };

/// Whether a workspace's token is printed or hiddenToken in its place.
enum class TokenVisibility : std::uint8_t { Hidden, Shown };

/// Prints all entries with their versions; tokens are hidden.
int listEntries(BlockingPlatformClient &platform, OutputFormat output);
/// Prints one entry.
int getEntry(BlockingPlatformClient &platform, const EntryKey &key, OutputFormat output,
             TokenVisibility tokens);
/// Writes the entry file at \a path, after its references were checked. hiddenToken in it keeps the
/// stored token.
int applyFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output);
/// Prints what applyFile() would change.
int diffFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output);
/// Deletes an entry that nothing refers to, if it is still at \a ifVersion.
int deleteEntry(BlockingPlatformClient &platform, const EntryKey &key, std::uint64_t ifVersion,
                OutputFormat output);
/// Prints the story of a request from routers' logs, or from standard input without any.
int explainRequest(const std::string &request, const std::vector<std::string> &logs);
/// Prints which place's routers have which version in force.
int showStatus(BlockingPlatformClient &platform, OutputFormat output);

} // namespace plantainswitch::ctl
