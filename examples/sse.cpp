#include <iostream>

#include "plantainswitch/plantainswitch.h"

/// Parses an engine's event stream from arbitrary chunks and accepts only the events of one
/// attempt.
int main()
{
    using namespace plantainswitch;
    const std::string stream = "data: {\"id\":\"7.1\",\"choices\":[{\"finish_reason\":null}]}\n\n"
                               "data: {\"id\":\"6.1\",\"choices\":[{\"finish_reason\":null}]}\n\n";
    constexpr std::size_t chunkSize = 5;
    SseParser parser;
    StreamProgress progress;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < stream.size(); at += chunkSize) {
        if (!parser.feed(std::string_view(stream).substr(at, chunkSize), events)) {
            std::cout << "not an event stream\n";
            return 1;
        }
    }
    for (const std::string &event : events) {
        const bool isAccepted = acceptEvent(event, "7.1", progress);
        std::cout << (isAccepted ? "relayed: " : "not relayed: ") << event << "\n";
    }
    std::cout << "whole: " << (progress.done ? "yes" : "no") << "\n";
    return 0;
}
