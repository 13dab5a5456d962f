#include <catch2/catch.hpp>

#include "gatewaysettings.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class GatewaySettingsFixture
{
protected:
    std::optional<GatewaySettings> parse(const std::string &sections)
    {
        this->faults.clear();
        return parseGatewaySettings(R"({"id": "r1", "place": "hall-a", "callers": "127.0.0.1:1",
            "readiness": "127.0.0.1:2", "store": "127.0.0.1:3",
            "peer": {"address": "127.0.0.1", "datagramPort": 4, "callPort": 5})"
                                        + sections + "}",
                                    this->faults);
    }

    std::vector<Fault> faults;
};

} // namespace

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_noSections_allMechanismsAreOn",
                 "[settings]")
{
    const auto settings = this->parse("");
    REQUIRE(settings);
    CHECK(settings->mechanisms.estimates);
    CHECK(settings->mechanisms.exactCounts);
    CHECK(settings->admission.enabled);
    CHECK(settings->choice.transfers);
}

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_mechanismSwitchedOff_isTaken",
                 "[settings]")
{
    const auto settings = this->parse(R"(, "mechanisms": {"estimates": false},
        "choice": {"transfers": false, "interference": 0.25}, "admission": {"enabled": false})");
    REQUIRE(settings);
    CHECK_FALSE(settings->mechanisms.estimates);
    CHECK_FALSE(settings->choice.transfers);
    CHECK(settings->choice.interference == Approx(0.25));
    CHECK_FALSE(settings->admission.enabled);
}

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_severalFaults_reportsEachWithItsPath",
                 "[settings]")
{
    CHECK_FALSE(this->parse(R"(, "choice": {"interference": -1, "unknown": 1},
        "admission": {"enabled": 3})"));
    CHECK(this->faults.size() == 3);
}

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_coldStartAndAreas_areTaken", "[settings]")
{
    CHECK_FALSE(this->parse("")->coldStart);
    const auto settings = this->parse(R"(, "coldStart": {"factor": 1.5, "margin": 5},
        "evacuations": true, "areas": {"hall-a": "north", "hall-b": "south"})");
    REQUIRE(settings);
    REQUIRE(settings->coldStart);
    CHECK(settings->coldStart->factor == Approx(1.5));
    CHECK(settings->coldStart->margin == Approx(5.0));
    CHECK(settings->followsEvacuations);
    CHECK(settings->areas.at("hall-b") == "south");
    CHECK_FALSE(this->parse(R"(, "areas": {"hall-a": 3}, "coldStart": {"factor": "x"})"));
    CHECK(this->faults.size() == 2);
}

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_contention_isTakenAndChecked",
                 "[settings]")
{
    const auto defaults = this->parse("");
    REQUIRE(defaults);
    CHECK(defaults->contention.enabled);
    CHECK(defaults->contention.retention == Seconds{10});
    CHECK(defaults->contention.marginShare == Approx(1.0));
    const auto settings = this->parse(
        R"(, "contention": {"enabled": false, "retentionSeconds": 60, "marginShare": 0})");
    REQUIRE(settings);
    CHECK_FALSE(settings->contention.enabled);
    CHECK(settings->contention.retention == Seconds{60});
    CHECK(settings->contention.marginShare == Approx(0.0));
    CHECK_FALSE(
        this->parse(R"(, "contention": {"retentionSeconds": 0, "marginShare": 3, "x": 1})"));
    CHECK(this->faults.size() == 3);
}

// Guards against a minimum below 1, with which every workspace would surge.
TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_fairness_isTakenAndChecked", "[settings]")
{
    const auto settings = this->parse(R"(, "fairness": {"enabled": false, "minSurge": 2})");
    REQUIRE(settings);
    CHECK_FALSE(settings->fairness.enabled);
    CHECK(settings->fairness.minSurge == Approx(2.0));
    CHECK_FALSE(this->parse(R"(, "fairness": {"minSurge": 0.9})"));
}

TEST_CASE_METHOD(GatewaySettingsFixture, "gatewaySettings_learning_isTakenAndChecked", "[settings]")
{
    CHECK(this->parse("")->learning.speeds);
    CHECK_FALSE(this->parse("")->learning.limits);
    const auto settings = this->parse(R"(, "learning": {"speeds": false, "limits": true})");
    REQUIRE(settings);
    CHECK_FALSE(settings->learning.speeds);
    CHECK(settings->learning.limits);
    CHECK_FALSE(this->parse(R"(, "learning": {"limits": 2, "unknown": true})"));
    CHECK(this->faults.size() == 2);
}
