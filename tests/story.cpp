#include <catch2/catch.hpp>

#include "plantainswitch/observe/event.h"
#include "plantainswitch/observe/timeline.h"

using namespace plantainswitch;

namespace {

class TimelineFixture
{
protected:
    void add(const std::string &line)
    {
        if (auto read = readLogLine(line)) {
            this->collector.add(std::move(*read));
        }
    }

    TimelineCollector collector{"r1"};
};

} // namespace

TEST_CASE("logLine_writtenInEitherFormat_isReadBack", "[observe]")
{
    const std::vector<LogField> fields{{"request", "r1"}, {"why", "no \"route\" here"}};
    for (const LogFormat format : {LogFormat::KeyValue, LogFormat::Json}) {
        const std::string line =
            "time=1700000000000001 "
            + formatEvent(format, "router-1", eventRow(Event::RequestRefused), fields);
        const auto read = readLogLine("  12.5 collector " + line);
        REQUIRE(read);
        CHECK(read->time == 1'700'000'000'000'001);
        CHECK(read->event == 401);
        CHECK(read->name == "request-refused");
        CHECK(read->node == "router-1");
        CHECK(read->valueOf("why") == "no \"route\" here");
    }
}

TEST_CASE("logLine_notARouters_isNone", "[observe]")
{
    CHECK_FALSE(readLogLine(""));
    CHECK_FALSE(readLogLine("time=abc event=401 name=x"));
    CHECK_FALSE(readLogLine("time=17 something else"));
    CHECK_FALSE(readLogLine("time=17 {\"event\": "));
}

TEST_CASE_METHOD(TimelineFixture, "story_linesOfManyRouters_tellsOnlyTheRequestsOwn", "[observe]")
{
    // A caller reports a refusal. Its router had configuration version 7 for two seconds, and one
    // of the two upstreams had just been ejected.
    this->add("time=1000000 event=208 name=routing-taken severity=info node=a version=7");
    this->add("time=900000 event=208 name=routing-taken severity=info node=a version=6");
    this->add("time=1000000 event=208 name=routing-taken severity=info node=b version=5");
    this->add("time=2900000 event=504 name=upstream-avoided severity=warning node=a upstream=u1");
    this->add("time=2900000 event=504 name=upstream-avoided severity=warning node=a upstream=u9");
    this->add("time=3900000 event=505 name=upstream-used-again severity=info node=a upstream=u1");
    this->add("time=3000500 event=401 name=request-refused severity=info node=a request=r1 "
              "kind=upstream-unreachable");
    this->add("time=3000000 event=404 name=request-placed severity=info node=a request=r1 "
              "upstream=u1");
    this->add("time=3000000 event=404 name=request-placed severity=info node=a request=r2");
    const RequestTimeline timeline = this->collector.timeline();
    REQUIRE(timeline.steps.size() == 2);
    CHECK(timeline.steps.front().event == 404);
    REQUIRE(timeline.knownState.size() == 2);
    CHECK(timeline.knownState.front().valueOf("version") == "7");
    CHECK(timeline.knownState.back().event == 504);
    const std::string text = formatTimeline(timeline);
    CHECK(text.find("2000.0 ms  a  configuration: routing-taken version=7") != std::string::npos);
    CHECK(text.find("look next at the list entries") != std::string::npos);
}

TEST_CASE_METHOD(TimelineFixture, "story_unknownRequest_saysSo", "[observe]")
{
    CHECK(formatTimeline(this->collector.timeline()) == "no line names this request\n");
}
