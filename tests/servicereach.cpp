#include <catch2/catch.hpp>

#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/servicereach.h"

using namespace plantainswitch;

namespace {

class ServiceReachFixture
{
protected:
    void fail(std::uint64_t incarnation, ContactFailure kind = ContactFailure::ConnectFailed)
    {
        recordContactFailure(this->reach, incarnation, kind, this->clock.now());
    }

    void failAtThree(ContactFailure kind)
    {
        recordContact(this->reach, this->clock.now());
        this->clock.advance(cutOffSilence);
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            this->fail(incarnation, kind);
        }
    }

    [[nodiscard]] bool isCutOff(std::size_t upstreams) const
    {
        return plantainswitch::isCutOff(this->reach, upstreams, this->clock.now());
    }

    ServiceReach reach;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_oneUpstreamSilent_isNoCut", "[routing]")
{
    // Guards against taking an upstream that falls silent for a second for a cut.
    recordContact(this->reach, this->clock.now());
    for (int i = 0; i < 10; ++i) {
        this->clock.advance(Milliseconds{100});
        this->fail(1, ContactFailure::NoResponse);
    }
    CHECK_FALSE(this->isCutOff(4));
}

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_threeFailInARow_isACut", "[routing]")
{
    this->failAtThree(ContactFailure::ConnectFailed);
    CHECK(this->isCutOff(9));
    CHECK(this->isCutOff(2));
}

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_dataArrivesBetweenFailures_isNoCut",
                 "[routing]")
{
    for (std::uint64_t incarnation = 1; incarnation <= 9; ++incarnation) {
        this->clock.advance(cutOffSilence);
        this->fail(incarnation);
        recordContact(this->reach, this->clock.now());
    }
    CHECK_FALSE(this->isCutOff(9));
}

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_connectionAfterRefusals_endsTheCut",
                 "[routing]")
{
    this->failAtThree(ContactFailure::ConnectFailed);
    recordConnected(this->reach, this->clock.now());
    CHECK_FALSE(this->isCutOff(9));
}

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_connectionWithoutResponses_letsTrialsThrough",
                 "[routing]")
{
    // Guards against a return of all callers to upstreams that accept connections and stay silent.
    this->failAtThree(ContactFailure::NoResponse);
    this->clock.advance(Milliseconds{10});
    recordConnected(this->reach, this->clock.now());
    CHECK(this->isCutOff(9));
    CHECK_FALSE(takeTrialRequest(this->reach, true, this->clock.now()));
    this->clock.advance(trialRequestInterval);
    recordConnected(this->reach, this->clock.now());
    CHECK_FALSE(takeTrialRequest(this->reach, false, this->clock.now()));
    CHECK(takeTrialRequest(this->reach, true, this->clock.now()));
    CHECK_FALSE(takeTrialRequest(this->reach, true, this->clock.now()));
}

TEST_CASE_METHOD(ServiceReachFixture, "serviceReach_noEvidenceForLong_isForgotten", "[routing]")
{
    this->failAtThree(ContactFailure::ConnectFailed);
    this->clock.advance(cutOffRetention + Milliseconds{1});
    CHECK_FALSE(this->isCutOff(9));
}

namespace {

class ForwardTargetFixture
{
protected:
    RouterContact &add(int number, const std::string &dataCentre)
    {
        RouterContact &contact = this->contacts.recordReceived(
            {"10.0.0." + std::to_string(number), 7000}, this->clock.now());
        contact.id = "router-" + std::to_string(number);
        contact.dataCentre = dataCentre;
        contact.acceptsForwards = true;
        return contact;
    }

    [[nodiscard]] std::optional<Endpoint> target(const ForwardQuery &query) const
    {
        return this->contacts.forwardTarget(query, this->clock.now());
    }

    RouterContacts contacts{"router-0", "hall-a"};
    ManualClock clock;
    ForwardQuery query{5, 9, {}, {}};
};

} // namespace

TEST_CASE_METHOD(ForwardTargetFixture, "forwardTarget_routersThatCannotServe_areLeftOut",
                 "[routing]")
{
    this->add(1, "hall-a").unreachableServices.insert(5);
    this->add(2, "hall-a").stopping = true;
    this->add(3, "hall-a").acceptsForwards = false;
    CHECK_FALSE(this->target(this->query));
    this->add(4, "hall-b");
    REQUIRE(this->target(this->query));
    CHECK(this->target(this->query)->host == "10.0.0.4");
    this->query.tried = {"10.0.0.4"};
    CHECK_FALSE(this->target(this->query));
}

TEST_CASE_METHOD(ForwardTargetFixture, "forwardTarget_dataCentreNotPermitted_isLeftOut",
                 "[routing]")
{
    // Guards against a body that is sent to a data centre outside its homes.
    this->add(1, "hall-b");
    this->query.isPermitted = [](const std::string &dataCentre) { return dataCentre == "hall-a"; };
    CHECK_FALSE(this->target(this->query));
    this->add(2, "hall-a");
    CHECK(this->target(this->query)->host == "10.0.0.2");
}

TEST_CASE_METHOD(ForwardTargetFixture, "forwardTarget_enoughLocalRouters_staysInTheDataCentre",
                 "[routing]")
{
    this->add(1, "hall-a");
    for (int number = 2; number <= 9; ++number) {
        this->add(number, "hall-b");
    }
    for (std::uint64_t request = 0; request < 50; ++request) {
        this->query.request = request;
        CHECK(this->target(this->query)->host == "10.0.0.1");
    }
}

TEST_CASE_METHOD(ForwardTargetFixture, "forwardTarget_fewLocalRoutersLeft_spreadsOverTheFleet",
                 "[routing]")
{
    // Guards against one router that gets the requests of all others of its data centre.
    this->add(1, "hall-a");
    for (int number = 2; number <= 6; ++number) {
        this->add(number, "hall-a").unreachableServices.insert(5);
    }
    for (int number = 7; number <= 9; ++number) {
        this->add(number, "hall-b");
    }
    std::map<std::string, int> counts;
    for (std::uint64_t request = 0; request < 400; ++request) {
        this->query.request = request;
        counts[this->target(this->query)->host] += 1;
    }
    CHECK(counts.size() == 4);
    CHECK(counts["10.0.0.1"] < 200);
}
