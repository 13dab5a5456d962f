#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

TEST_CASE("events_docsPage_listsExactlyTheCodesEvents", "[events]")
{
    std::ifstream file(EVENTS_PAGE);
    REQUIRE(file);
    std::map<unsigned, std::string> documented;
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream cells(line);
        char bar = 0;
        unsigned number = 0;
        std::string name;
        if (cells >> bar >> number >> bar >> name && bar == '|') {
            documented[number] = name;
        }
    }
    std::map<unsigned, std::string> coded;
    for (const EventRow &row : eventTable()) {
        coded[static_cast<unsigned>(row.event)] = row.name;
    }
    CHECK(documented == coded);
}

TEST_CASE("errorTable_everyKind_standsAtItsOwnRow", "[errors]")
{
    for (unsigned index = 0; index <= static_cast<unsigned>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK(errorRow(kind).kind == kind);
        CHECK(errorKindOf(errorRow(kind).name) == kind);
    }
}

TEST_CASE("formatEvent_valueWithNewline_staysOneLine", "[events]")
{
    const std::vector<LogField> fields{{"detail", "a\nb"}};
    const std::string line =
        formatEvent(LogFormat::KeyValue, "n", eventRow(Event::Started), fields);
    CHECK(line.find('\n') == std::string::npos);
}
