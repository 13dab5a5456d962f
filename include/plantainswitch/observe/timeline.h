#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch {

/// A parsed line of a router's log.
struct LogLine
{
    /// Microseconds since 1970, by the clock of the router's VM.
    std::int64_t time = 0;
    unsigned event = 0;
    std::string name;
    std::string node;
    /// All other fields.
    std::map<std::string, std::string> fields;

    /// \returns the value of \a field, or an empty string.
    [[nodiscard]] std::string valueOf(const std::string &field) const;
};

/// Parses a line in either log format. Text before its time, such as a log collector's timestamp,
/// is skipped. \returns nothing for a line that no router wrote.
[[nodiscard]] std::optional<LogLine> readLogLine(std::string_view line);

/// What the routers did with one request, and the state that they knew at the time.
struct RequestTimeline
{
    /// Lines that name the request, in order of time.
    std::vector<LogLine> steps;
    /// For each router of the request, the last earlier line about the configuration, the store,
    /// and each upstream that it was sent to.
    std::vector<LogLine> knownState;
};

/// Builds the timeline of one request from the log lines of many routers, in any order.
class TimelineCollector
{
public:
    explicit TimelineCollector(std::string request)
        : request(std::move(request))
    {}

    void add(LogLine line);
    [[nodiscard]] RequestTimeline timeline() const;

private:
    std::string request;
    std::vector<LogLine> steps;
    /// Lines that change the state known to a router.
    std::vector<LogLine> stateChanges;
};

/// \returns the timeline as text for an operator, one line per step: the time since the first one,
/// the router and what happened; then the age of each piece of known state, and where to look next.
[[nodiscard]] std::string formatTimeline(const RequestTimeline &timeline);

} // namespace plantainswitch
