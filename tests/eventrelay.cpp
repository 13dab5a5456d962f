#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/eventstream.h"

using namespace plantainswitch;

namespace {

std::string eventOf(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("eventRelay_bytesCutAnywhere_passesWholeEventsUnchanged", "[routing]")
{
    std::string stream;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        stream += eventOf(id);
    }
    std::mt19937_64 random(20'261'202);
    for (int round = 0; round < 200; ++round) {
        EventRelay relay;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t size = 1 + random() % 40;
            REQUIRE(relay.feed(std::string_view(stream).substr(at, size), out));
            at += size;
        }
        CHECK(out == stream);
        CHECK(relay.eventCount() == 50);
        CHECK_FALSE(relay.hasPartial());
    }
}

TEST_CASE("eventRelay_carriageReturns_endEventsToo", "[routing]")
{
    EventRelay relay;
    std::string out;
    REQUIRE(relay.feed("id: 4\r\ndata: x\r\n\r", out));
    CHECK(out.empty());
    REQUIRE(relay.feed("\n", out));
    CHECK(out == "id: 4\r\ndata: x\r\n\r\n");
    CHECK(relay.lastId() == 4U);
}

TEST_CASE("eventRelay_streamBreaksWithinEvent_goesOnAfterTheLastWholeOne", "[routing]")
{
    // The upstream fails in the middle of its third event, and the next one is asked to resume
    // after the second. Guards against joining the incomplete event to the resumed stream.
    EventRelay relay;
    std::string out;
    REQUIRE(relay.feed(eventOf(1) + eventOf(2) + "id: 3\ndata: pi", out));
    CHECK(relay.lastId() == 2U);
    CHECK(relay.hasPartial());
    relay.dropPartial();
    REQUIRE(relay.feed(eventOf(3) + eventOf(4), out));
    CHECK(out == eventOf(1) + eventOf(2) + eventOf(3) + eventOf(4));
}

TEST_CASE("eventRelay_eventSeenBefore_isRefused", "[routing]")
{
    EventRelay relay;
    std::string out;
    REQUIRE(relay.feed(eventOf(1) + eventOf(2), out));
    CHECK_FALSE(relay.feed(eventOf(2), out));
}

TEST_CASE("eventRelay_endlessEvent_isRefused", "[routing]")
{
    EventRelay relay;
    std::string out;
    CHECK_FALSE(relay.feed("data: " + std::string(maxStreamEventBytes, 'x'), out));
}
