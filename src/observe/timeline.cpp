#include "plantainswitch/observe/timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <set>

#include <nlohmann/json.hpp>

#include "plantainswitch/observe/event.h"

namespace plantainswitch {

namespace {

constexpr double microsecondsInMillisecond = 1000.0;
constexpr std::string_view timeField = "time=";

std::int64_t parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Removes one quoted value from the start of \a text. \returns it unescaped.
std::string takeQuoted(std::string_view &text)
{
    std::string value;
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        value.push_back(text.front());
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(1, text.size()));
    return value;
}

std::map<std::string, std::string> readPairs(std::string_view text)
{
    std::map<std::string, std::string> pairs;
    while (!text.empty()) {
        if (text.front() == ' ') {
            text.remove_prefix(1);
            continue;
        }
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        if (text.starts_with('"')) {
            pairs[key] = takeQuoted(text);
            continue;
        }
        const std::size_t end = text.find(' ');
        pairs[key] = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end);
    }
    return pairs;
}

std::map<std::string, std::string> readJson(std::string_view text)
{
    std::map<std::string, std::string> pairs;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return pairs;
    }
    for (const auto &[key, value] : json.items()) {
        pairs[key] = value.is_string() ? value.get<std::string>() : value.dump();
    }
    return pairs;
}

std::string extract(std::map<std::string, std::string> &pairs, const std::string &key)
{
    const auto found = pairs.find(key);
    if (found == pairs.end()) {
        return {};
    }
    std::string value = std::move(found->second);
    pairs.erase(found);
    return value;
}

bool isEvent(const LogLine &line, std::initializer_list<Event> events)
{
    return std::any_of(events.begin(), events.end(),
                       [&line](Event event) { return line.event == static_cast<unsigned>(event); });
}

/// \returns the name of the state that a line changes, or an empty text.
std::string changedStateOf(const LogLine &line)
{
    if (isEvent(line, {Event::Started})) {
        return "its start";
    }
    if (isEvent(line, {Event::RoutingTaken})) {
        return "configuration";
    }
    if (isEvent(line, {Event::PlatformUnreachable, Event::PlatformBack, Event::WatchCut,
                       Event::HistoryLost, Event::ObjectsListed, Event::CaughtUp, Event::WatchDeaf,
                       Event::StoreUnconfirmed})) {
        return "store";
    }
    if (isEvent(line, {Event::ReplicaChanged})) {
        return "list entry of " + line.valueOf("upstream");
    }
    if (isEvent(line, {Event::UpstreamAvoided, Event::UpstreamUsedAgain, Event::UpstreamCrashed})) {
        return "health of " + line.valueOf("upstream");
    }
    if (isEvent(line, {Event::Paused})) {
        return "a pause of the router";
    }
    return {};
}

bool namesUpstream(const LogLine &line)
{
    return !line.valueOf("upstream").empty();
}

std::string textOf(const LogLine &line)
{
    std::string text = line.name;
    for (const auto &[key, value] : line.fields) {
        if (key != "request" && !value.empty()) {
            text.append(" ").append(key).append("=").append(value);
        }
    }
    return text;
}

std::string formatMilliseconds(std::int64_t microseconds)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%10.1f ms",
                                   static_cast<double>(microseconds) / microsecondsInMillisecond);
    return {text.data(), static_cast<std::size_t>(std::max(size, 0))};
}

/// What to examine next, by the kind of refusal or the outcome.
struct NextStep
{
    std::string_view outcome;
    std::string_view next;
};

constexpr std::array nextSteps{
    NextStep{"unauthorized",
             "the configuration's version: was the key known, or already taken away?"},
    NextStep{"not-found", "the configuration's version: is the route in it?"},
    NextStep{"no-catalogue", "the router's start and its store: it knew no configuration yet"},
    NextStep{"upstream-unreachable", "the list entries and health of the service's upstreams"},
    NextStep{"queue-expired", "the pauses between the steps: no upstream took it in time"},
    NextStep{"overloaded", "the upstreams that turned it away, and their load"},
    NextStep{"quarantined", "the upstreams that crashed on the same request (events 550)"},
    NextStep{"deadline-exceeded",
             "the last upstream's health: it was silent until the time was over"},
    NextStep{"upstream-failed", "the last upstream: it broke off, and a repeat was not allowed"},
    NextStep{"failed-upstream", "the upstream's own log: it answered with a failure"},
    NextStep{"cut", "the last upstream, and the retry budget (event 417)"},
    NextStep{"cut-by-stop", "the router's stop: its grace was over"},
    NextStep{"caller-gone", "nothing here: the caller left"},
};

std::string_view nextStepFor(const RequestTimeline &timeline)
{
    for (auto step = timeline.steps.rbegin(); step != timeline.steps.rend(); ++step) {
        for (const NextStep &each : nextSteps) {
            if (step->valueOf("kind") == each.outcome || step->valueOf("outcome") == each.outcome) {
                return each.next;
            }
        }
    }
    return {};
}

} // namespace

std::string LogLine::valueOf(const std::string &field) const
{
    const auto found = this->fields.find(field);
    return found == this->fields.end() ? std::string() : found->second;
}

std::optional<LogLine> readLogLine(std::string_view line)
{
    const std::size_t at = line.find(timeField);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    line.remove_prefix(at + timeField.size());
    LogLine read;
    read.time = parseNumber(line);
    const std::size_t space = line.find(' ');
    if (read.time <= 0 || space == std::string_view::npos) {
        return std::nullopt;
    }
    line.remove_prefix(space + 1);
    auto pairs = line.starts_with('{') ? readJson(line) : readPairs(line);
    read.event = static_cast<unsigned>(parseNumber(extract(pairs, "event")));
    read.name = extract(pairs, "name");
    read.node = extract(pairs, "node");
    extract(pairs, "severity");
    read.fields = std::move(pairs);
    if (read.event == 0 || read.name.empty()) {
        return std::nullopt;
    }
    return read;
}

void TimelineCollector::add(LogLine line)
{
    if (line.valueOf("request") == this->request) {
        this->steps.push_back(line);
    }
    if (!changedStateOf(line).empty()) {
        this->stateChanges.push_back(std::move(line));
    }
}

RequestTimeline TimelineCollector::timeline() const
{
    const auto isEarlier = [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    };
    RequestTimeline result;
    result.steps = this->steps;
    std::stable_sort(result.steps.begin(), result.steps.end(), isEarlier);
    // By router: the time until which state is relevant. Also the upstreams that the request was
    // sent to.
    std::map<std::string, std::int64_t> ends;
    std::set<std::string> upstreams;
    for (const LogLine &step : result.steps) {
        ends[step.node] = std::max(ends[step.node], step.time);
        upstreams.insert(step.valueOf("upstream"));
    }
    std::map<std::pair<std::string, std::string>, LogLine> last;
    for (const LogLine &change : this->stateChanges) {
        const auto end = ends.find(change.node);
        const bool isRelevant =
            end != ends.end() && change.time <= end->second
            && (!namesUpstream(change) || upstreams.contains(change.valueOf("upstream")));
        if (!isRelevant) {
            continue;
        }
        const auto [known, isNew] = last.try_emplace({change.node, changedStateOf(change)}, change);
        if (!isNew && known->second.time <= change.time) {
            known->second = change;
        }
    }
    for (auto &[key, line] : last) {
        result.knownState.push_back(std::move(line));
    }
    std::stable_sort(result.knownState.begin(), result.knownState.end(), isEarlier);
    return result;
}

std::string formatTimeline(const RequestTimeline &timeline)
{
    if (timeline.steps.empty()) {
        return "no line names this request\n";
    }
    const std::int64_t begin = timeline.steps.front().time;
    std::string text = "what happened, since the first line\n";
    for (const LogLine &step : timeline.steps) {
        text +=
            formatMilliseconds(step.time - begin) + "  " + step.node + "  " + textOf(step) + "\n";
    }
    text += "what its routers believed, and how old that was\n";
    for (const LogLine &known : timeline.knownState) {
        text += formatMilliseconds(begin - known.time) + "  " + known.node + "  "
                + changedStateOf(known) + ": " + textOf(known) + "\n";
    }
    const std::string_view next = nextStepFor(timeline);
    if (!next.empty()) {
        text.append("look next at ").append(next).append("\n");
    }
    return text;
}

} // namespace plantainswitch
