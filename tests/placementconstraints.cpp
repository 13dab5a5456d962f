#include <catch2/catch.hpp>

#include "plantainswitch/routing/evacuations.h"
#include "plantainswitch/routing/placementconstraints.h"

using namespace plantainswitch;

namespace {

class PlacementConstraintsFixture
{
protected:
    [[nodiscard]] bool isPermitted(const std::string &dataCentre) const
    {
        return plantainswitch::isPermitted(dataCentre, this->constraints());
    }

    [[nodiscard]] PlacementConstraints constraints() const
    {
        return {this->areas, this->evacuations.dataCentres, this->routeHomes, this->workspaceHomes};
    }

    AreaMap areas{{"hall-a", "north"}, {"hall-b", "north"}, {"hall-c", "south"}};
    EvacuationSet evacuations;
    std::vector<std::string> routeHomes;
    std::vector<std::string> workspaceHomes;
};

} // namespace

TEST_CASE_METHOD(PlacementConstraintsFixture, "placement_noConstraints_permitsEveryDataCentre",
                 "[routing]")
{
    CHECK(isUnconstrained(this->constraints()));
    CHECK(this->isPermitted("hall-a"));
    CHECK(this->isPermitted("unknown"));
}

TEST_CASE_METHOD(PlacementConstraintsFixture, "placement_homesOfRouteAndWorkspace_bothApply",
                 "[routing]")
{
    this->routeHomes = {"north", "south"};
    this->workspaceHomes = {"south"};
    CHECK_FALSE(this->isPermitted("hall-a"));
    CHECK(this->isPermitted("hall-c"));
    CHECK_FALSE(this->isPermitted("unknown"));
    this->routeHomes = {"north"};
    CHECK_FALSE(this->isPermitted("hall-c"));
}

TEST_CASE_METHOD(PlacementConstraintsFixture, "placement_onlyHomeEvacuated_permitsNothing",
                 "[routing]")
{
    std::vector<UpstreamState> states(2);
    states[0].replica.dataCentre = "hall-a";
    states[1].replica.dataCentre = "hall-c";
    const std::vector<UpstreamState *> upstreams{&states[0], &states[1]};
    this->workspaceHomes = {"south"};
    CHECK(permittedUpstreams(upstreams, this->constraints()).size() == 1);
    applyEvacuations(this->evacuations, {5, {"hall-c"}});
    CHECK(permittedUpstreams(upstreams, this->constraints()).empty());
}

TEST_CASE_METHOD(PlacementConstraintsFixture, "evacuations_olderSetArrivesLate_isIgnored",
                 "[routing]")
{
    // Guards against a router that revives an evacuation, or its end, from before a later change.
    CHECK(applyEvacuations(this->evacuations, {5, {"hall-a"}}).begun.size() == 1);
    CHECK(applyEvacuations(this->evacuations, {4, {}}).isEmpty());
    CHECK(this->evacuations.dataCentres.contains("hall-a"));
    CHECK(applyEvacuations(this->evacuations, {9, {"hall-b"}}).ended
          == std::vector<std::string>{"hall-a"});
    CHECK(applyEvacuations(this->evacuations, {10, {"hall-b"}}).isEmpty());
}

TEST_CASE_METHOD(PlacementConstraintsFixture, "placement_loadOnHomesOnly_isMeasuredByTheService",
                 "[routing]")
{
    // Load: one area is evacuated and half of the requests have their home in the rest of it.
    // Guards against a bound by the mean of the permitted upstreams, which grows with their own
    // load.
    std::vector<UpstreamState> states(4);
    std::vector<UpstreamState *> upstreams;
    upstreams.reserve(states.size());
    for (UpstreamState &state : states) {
        upstreams.push_back(&state);
    }
    const std::vector<UpstreamState *> permitted{upstreams[0]};
    CHECK(relativeMeanLoad(upstreams, permitted) == Approx(1.0));
    states[0].ownRunning = 12;
    states[1].peersRunning = 4;
    CHECK(relativeMeanLoad(upstreams, permitted) == Approx(1.0 / 3.0));
    CHECK(relativeMeanLoad(upstreams, {&upstreams[3], 1}) == Approx(1.0));
}
