#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch {

/// One line of a router's log, read back.
struct LogLine
{
    /// Microseconds since 1970, by the clock of the router's VM.
    std::int64_t time = 0;
    unsigned event = 0;
    std::string name;
    std::string node;
    /// All other fields.
    std::map<std::string, std::string> fields;

    /// \returns the value of \a field, or an empty text.
    [[nodiscard]] std::string valueOf(const std::string &field) const;
};

/// Reads a line in either format of the log; what stands before its time, such as a collector's own
/// stamp, is skipped. \returns nothing for a line that no router wrote.
[[nodiscard]] std::optional<LogLine> readLogLine(std::string_view line);

/// What the routers did with one request, and what they believed then.
struct RequestTimeline
{
    /// Lines that name the request, in order of time.
    std::vector<LogLine> steps;
    /// For each of its routers: the last word before it of the configuration, the store, and each
    /// upstream that it was sent to.
    std::vector<LogLine> knownState;
};

/// Collects the story of one request from the lines of many routers' logs, taken in any order.
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
    /// Lines that change what a router believes.
    std::vector<LogLine> stateChanges;
};

/// \returns the story as text for a person, one line a step: the time since the first one, the
/// router and what happened; then how old each belief was, and where to look next.
[[nodiscard]] std::string formatTimeline(const RequestTimeline &story);

} // namespace plantainswitch
