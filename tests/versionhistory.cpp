#include <catch2/catch.hpp>

#include "history.h"

using namespace plantainswitch::lab;
using namespace std::chrono_literals;

namespace {

constexpr RecordedTime bound = 5s;
constexpr AcceptedEdit edit{7, 1s};
const std::vector<VersionObservation> validHistory{{0, 6, 0s}, {1, 6, 0s}, {0, 7, 2s},
                                                   {1, 6, 3s}, {1, 9, 6s}, {0, 9, 7s}};

} // namespace

TEST_CASE("versionHistory_goodRecording_passes", "[versionhistory]")
{
    CHECK_FALSE(checkVersionsMonotonic(validHistory));
    CHECK_FALSE(checkInForceWithin(validHistory, edit, 2, bound));
    CHECK(propagationTime(validHistory, edit, 0) == RecordedTime{1s});
}

TEST_CASE("versionHistory_brokenRecordings_areCaught", "[versionhistory]")
{
    CHECK(checkVersionsMonotonic({{0, 7, 1s}, {1, 9, 1s}, {0, 6, 2s}}));
    CHECK(checkInForceWithin({{0, 7, 2s}, {1, 6, 2s}, {1, 7, 7s}}, edit, 2, bound));
    CHECK(checkInForceWithin({{0, 7, 2s}, {1, 6, 9s}}, edit, 2, bound));
    CHECK(checkInForceWithin({{0, 7, 2s}}, edit, 2, bound));
}
