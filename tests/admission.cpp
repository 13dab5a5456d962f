#include <catch2/catch.hpp>

#include "plantainswitch/base/hash.h"
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

// Guards against one workspace's surge that makes the requests of all others late.
TEST_CASE_METHOD(AdmissionFixture, "admission_workspaceSurges_rejectsItsExcessFirst", "[routing]")
{
    this->request.expectedDelay = Milliseconds{150};
    this->request.unqueuedDelay = Milliseconds{40};
    this->request.jitterSeed = std::uint64_t{0x8000} << 32U;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
    this->request.surge = 7.5;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Overloaded);
    this->request.surge = 3.0;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
}

// Guards against rejecting a surging workspace while slots are free, or while nothing waits.
TEST_CASE_METHOD(AdmissionFixture, "admission_surgeWithoutQueue_isAdmitted", "[routing]")
{
    this->request.jitterSeed = std::uint64_t{0xFFFF} << 32U;
    this->request.surge = 100.0;
    this->request.expectedDelay = Milliseconds{110};
    this->request.unqueuedDelay = Milliseconds{100};
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
    this->request.expectedDelay = Milliseconds{500};
    this->request.unqueuedDelay = Milliseconds{0};
    this->request.occupancy = 0.4;
    CHECK(admit(this->request, this->policy).verdict == AdmissionVerdict::Admitted);
}

// Guards against a surging workspace that gets less than before its surge, or ever less because its
// rejected requests come back and raise its rate.
TEST_CASE_METHOD(AdmissionFixture, "admission_rejectedRequestsComeBack_usualShareStays",
                 "[routing]")
{
    this->request.expectedDelay = Milliseconds{400};
    this->request.unqueuedDelay = Milliseconds{40};
    for (const int surge : {4, 8, 16}) {
        this->request.surge = surge;
        int admitted = 0;
        for (int i = 0; i < 1000 * surge; ++i) {
            this->request.jitterSeed = mixHash(static_cast<std::uint64_t>(i), 1);
            const AdmissionDecision decision = admit(this->request, this->policy);
            admitted += decision.verdict == AdmissionVerdict::Admitted ? 1 : 0;
            CHECK(decision.retryAfter <= Milliseconds{200});
        }
        CHECK(admitted == Approx(1000).epsilon(0.1));
    }
}
