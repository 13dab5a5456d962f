#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

TEST_CASE("sse_anySplit_givesSameEvents", "[sse]")
{
    const std::string text =
        "data: one\n\n: note\ndata: two\r\ndata: three\r\n\r\ndata: [DONE]\n\n";
    const bool held = rc::check("the split does not matter", [&text] {
        const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
        SseParser parser;
        std::vector<std::string> events;
        RC_ASSERT(parser.feed(std::string_view(text).substr(0, cut), events));
        RC_ASSERT(parser.feed(std::string_view(text).substr(cut), events));
        RC_ASSERT(events == (std::vector<std::string>{"one", "two\nthree", "[DONE]"}));
    });
    CHECK(held);
}

TEST_CASE("acceptEvent_foreignAttempt_isNotRelayed", "[sse]")
{
    // An upstream mixes up two streams and sends an event of another request. Guards against
    // relaying it to the caller: the stream counts as invalid.
    StreamProgress progress;
    CHECK_FALSE(acceptEvent(R"({"id":"b.1","choices":[{"finish_reason":null}]})", "a.1", progress));
    CHECK(acceptEvent(R"({"id":"a.1","choices":[{"finish_reason":null}]})", "a.1", progress));
    CHECK_FALSE(acceptEvent("[DONE]", "a.1", progress));
}
