#include <fstream>
#include <iostream>

#include "plantainswitch/observe/timeline.h"

#include "commands.h"

namespace plantainswitch::ctl {

namespace {

void readLog(std::istream &log, TimelineCollector &collector)
{
    std::string line;
    while (std::getline(log, line)) {
        if (auto read = readLogLine(line)) {
            collector.add(std::move(*read));
        }
    }
}

} // namespace

int explainRequest(const std::string &request, const std::vector<std::string> &logs)
{
    TimelineCollector collector(request);
    if (logs.empty()) {
        readLog(std::cin, collector);
    }
    for (const std::string &path : logs) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << path << ": can't be read\n";
            return exitBadInput;
        }
        readLog(log, collector);
    }
    const RequestTimeline story = collector.timeline();
    std::cout << formatTimeline(story);
    return story.steps.empty() ? exitNotFound : exitOk;
}

} // namespace plantainswitch::ctl
