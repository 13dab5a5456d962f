#include <catch2/catch.hpp>

#include "plantainswitch/routing/admission.h"

using namespace plantainswitch;

namespace {

class AdmissionFixture
{
protected:
    AdmissionRequest request{Milliseconds{100}, Milliseconds{2000}, Milliseconds{300}, 0, 1.2, 7};
    AdmissionPolicy policy;
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "admission_promptService_admits", "[routing]")
{
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
}

// Guards against prefills for callers that give up before their first token.
TEST_CASE_METHOD(AdmissionFixture, "admission_callerLeavesBeforeFirstToken_rejectsAtOnce",
                 "[routing]")
{
    this->request.expectedDelay = Milliseconds{2500};
    const AdmissionDecision admittance = admit(this->request, this->policy);
    CHECK(admittance.verdict == AdmissionVerdict::TooLate);
    CHECK(admittance.retryAfter > Milliseconds{0});
}

// Guards against a standing queue in which every request misses its objective.
TEST_CASE_METHOD(AdmissionFixture, "admission_overload_rejectsLeastUrgentRanksFirst", "[routing]")
{
    this->request.expectedDelay = Milliseconds{450};
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
    this->request.priority = 2;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Overloaded);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_anyRankWithinObjective_isAdmitted", "[routing]")
{
    this->request.expectedDelay = this->request.objective;
    this->request.priority = 9;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
}

// Guards against counting all requests of a route without an objective as late.
TEST_CASE_METHOD(AdmissionFixture, "admission_noObjectiveStated_rejectsOnlyWhatIsTooLate",
                 "[routing]")
{
    this->request.objective = Milliseconds{0};
    this->request.expectedDelay = Milliseconds{1500};
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
    this->request.expectedDelay = Milliseconds{2500};
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::TooLate);
}

// Guards against rejections while slots are free.
TEST_CASE_METHOD(AdmissionFixture, "admission_mostSlotsFree_admitsWhateverIsExpected", "[routing]")
{
    this->request.occupancy = 0.4;
    this->request.expectedDelay = Milliseconds{9000};
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
}

TEST_CASE_METHOD(AdmissionFixture, "retryAfter_manyCallers_returnSpreadAndUrgentOnesFirst",
                 "[routing]")
{
    this->request.expectedDelay = Milliseconds{1300};
    this->request.jitterSeed = 0;
    const Milliseconds first = admit(this->request, this->policy).retryAfter;
    this->request.jitterSeed = 1023;
    const Milliseconds last = admit(this->request, this->policy).retryAfter;
    CHECK(last > first + (first * 9) / 10);
    this->request.priority = 2;
    CHECK(admit(this->request, this->policy).retryAfter > last);
}
