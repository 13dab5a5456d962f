#include <fstream>
#include <iostream>

#include "plantainswitch/observe/timeline.h"

#include "commands.h"

namespace plantainswitch::ctl {

namespace {

void readLog(std::istream &log, StoryCollector &collector)
{
    std::string line;
    while (std::getline(log, line)) {
        if (auto read = readLogLine(line)) {
            collector.take(std::move(*read));
        }
    }
}

} // namespace

int explainRequest(const std::string &request, const std::vector<std::string> &logs)
{
    StoryCollector collector(request);
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
    const RequestStory story = collector.story();
    std::cout << tell(story);
    return story.steps.empty() ? exitNotFound : exitOk;
}

} // namespace plantainswitch::ctl
