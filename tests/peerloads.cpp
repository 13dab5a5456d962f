#include <catch2/catch.hpp>

#include "plantainswitch/routing/peerloads.h"

using namespace plantainswitch;

namespace {

class PeerLoadsFixture
{
protected:
    static RouterUpdate newsOf(const std::string &id, std::uint64_t sequence, std::uint32_t running)
    {
        RouterUpdate news;
        news.id = id;
        news.incarnation = 1;
        news.sequence = sequence;
        news.loads = {{7, running, running * 100, Milliseconds{0}}};
        return news;
    }

    PeerLoads loads;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(PeerLoadsFixture, "peerLoads_severalRouters_areSummed", "[routing]")
{
    this->loads.applyUpdate(newsOf("a", 1, 2));
    this->loads.applyUpdate(newsOf("b", 1, 3));
    this->loads.applyUpdate(newsOf("a", 2, 1));
    CHECK(this->loads.totalAt(7).running == 4);
    CHECK(this->loads.totalAt(7).pendingPrefillTokens == Approx(400));
    CHECK(this->loads.totalAt(8).running == 0);
}

TEST_CASE_METHOD(PeerLoadsFixture, "peerLoads_newsThatOvertake_areDropped", "[routing]")
{
    CHECK(this->loads.applyUpdate(newsOf("a", 5, 2)));
    CHECK_FALSE(this->loads.applyUpdate(newsOf("a", 4, 9)));
    CHECK(this->loads.totalAt(7).running == 2);
}

TEST_CASE_METHOD(PeerLoadsFixture, "peerLoads_routerStartsAgain_itsOldLoadsAreGone", "[routing]")
{
    this->loads.applyUpdate(newsOf("a", 500, 2));
    RouterUpdate fresh = newsOf("a", 1, 1);
    fresh.incarnation = 2;
    CHECK(this->loads.applyUpdate(fresh));
    CHECK(this->loads.totalAt(7).running == 1);
}

TEST_CASE_METHOD(PeerLoadsFixture, "peerLoads_goneRouter_isForgottenWithItsLoads", "[routing]")
{
    // A router fails while it has requests on an engine; they end with its connections. Guards
    // against counting its load forever, which would keep requests away from an idle engine.
    this->loads.applyUpdate(newsOf("a", 1, 2));
    CHECK(this->loads.routerCount() == 1);
    this->loads.removeRouter("a");
    CHECK(this->loads.totalAt(7).running == 0);
    CHECK(this->loads.routerCount() == 0);
}
