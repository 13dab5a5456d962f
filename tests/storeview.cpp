#include <catch2/catch.hpp>

#include "storeview.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class StoreViewFixture
{
protected:
    StoreViewFixture()
    {
        this->view.routingDocument = R"({"version":9,"text":"a\\nb"})";
        recordReplica(this->view, "a", R"({"state":"ready"})", 10);
        recordReplica(this->view, "b", R"({"state":"ready"})", 20);
        this->view.revision = 20;
    }

    [[nodiscard]] std::optional<StoreView> ask(const StoreViewQuery &question) const
    {
        return parseStoreView(serializeStoreView(this->view, 9, question));
    }

    StoreView view;
};

} // namespace

TEST_CASE_METHOD(StoreViewFixture, "storeView_askedByNewRouter_tellsAll", "[gateway]")
{
    const auto told = this->ask({0, 0});
    REQUIRE(told);
    CHECK(told->routingDocument == this->view.routingDocument);
    CHECK(told->replicas.size() == 2);
    CHECK(told->revision == 20);
}

TEST_CASE_METHOD(StoreViewFixture, "storeView_askedForNews_tellsOnlyWhatIsNewer", "[gateway]")
{
    const auto told = this->ask({10, 9});
    REQUIRE(told);
    CHECK(told->routingDocument.empty());
    REQUIRE(told->replicas.size() == 1);
    CHECK(told->replicas.contains("b"));
}

TEST_CASE_METHOD(StoreViewFixture, "storeView_upstreamGone_isToldToWhoeverAsksNext", "[gateway]")
{
    // Guards against a missed removal: an upstream is dropped some time after the store's last
    // change. If the removal were recorded at that revision, a router that knows it would keep
    // sending requests there.
    recordRemoval(this->view, "a", 20);
    const auto told = this->ask({20, 9});
    REQUIRE(told);
    REQUIRE(told->replicas.contains("a"));
    CHECK(told->replicas.at("a").removed);
}

TEST_CASE_METHOD(StoreViewFixture, "storeView_unchangedEntryListedAgain_keepsItsRevision",
                 "[gateway]")
{
    recordReplica(this->view, "a", R"({"state":"ready"})", 30);
    CHECK(this->view.replicas.at("a").revision == 10);
    recordReplica(this->view, "a", R"({"state":"draining"})", 30);
    CHECK(this->view.replicas.at("a").revision == 30);
}

TEST_CASE_METHOD(StoreViewFixture, "storeView_removalHeldBackAfterOutage_isToldOnceItHolds",
                 "[gateway]")
{
    // Guards against a missed removal after a partition: an upstream leaves just after this
    // router's data centre is back, and the router retains its entry for two seconds, as it may
    // have lapsed. A router without an outage would read the newer revision here without the
    // removal, and would send requests to the upstream for those two seconds, longer than it serves
    // them.
    ManualClock clock;
    ReplicaDirectory directory;
    Replica replica;
    replica.id = "a";
    directory.applyEntry(replica);
    directory.applyRemovals({"a"}, clock.now() + missingGracePeriod, clock.now());
    advanceRevision(this->view, 21, directory);
    CHECK(this->view.revision == 20);
    clock.advance(missingGracePeriod);
    directory.removeExpired(clock.now());
    recordRemoval(this->view, "a", 25);
    advanceRevision(this->view, 25, directory);
    CHECK(this->view.revision == 25);
    // Other routers have meanwhile learnt of changes up to revision 25.
    const auto told = this->ask({25, 9});
    REQUIRE(told);
    CHECK(told->replicas.contains("a"));
}

TEST_CASE("storeView_question_isReadBack", "[gateway]")
{
    const auto question = parseStoreViewQuery(storeViewTarget({123, 45}));
    REQUIRE(question);
    CHECK(question->revision == 123);
    CHECK(question->configVersion == 45);
    CHECK_FALSE(parseStoreViewQuery("/metrics"));
    CHECK_FALSE(parseStoreViewQuery("/fleet/store?since=x"));
}

TEST_CASE("storeView_damagedText_isNoView", "[gateway]")
{
    CHECK_FALSE(parseStoreView(""));
    CHECK_FALSE(parseStoreView("{}\n"));
    CHECK_FALSE(parseStoreView(R"({"revision":1,"replicas":{}})"));
    CHECK(parseStoreView("{\"revision\":1,\"replicas\":{}}\n"));
}

TEST_CASE("viewHandout_manyWantALargeView_twoGetItAtOnce", "[gateway]")
{
    // Guards against timeouts at the start of a large fleet: sixty routers of a data centre start
    // at once, three of them have the store's objects, and all others fetch half a megabyte over
    // slow links.
    StoreViewLimiter handout;
    bool hasLeft = false;
    const auto isDone = [&hasLeft] { return hasLeft; };
    CHECK(handout.tryBegin(largeViewBytes, isDone));
    CHECK(handout.tryBegin(largeViewBytes, isDone));
    CHECK_FALSE(handout.tryBegin(largeViewBytes, isDone));
    CHECK(handout.tryBegin(largeViewBytes - 1, isDone));
    hasLeft = true;
    CHECK(handout.tryBegin(largeViewBytes, isDone));
}

TEST_CASE("storeView_answerAskedForBeforeAList_undoesNoLeaving", "[gateway]")
{
    // Guards against undoing the draining of an upstream: a router queries another one and lists
    // the store. The list arrives first and says that the upstream is draining; the response, of an
    // older revision, still has it as ready. When it was applied, requests were sent there for five
    // more seconds, on this router and on all that queried it, since each of them took itself to be
    // at the newer revision.
    StoreView view;
    recordReplica(view, "u-1", R"({"state":"leaving"})", 167);
    view.revision = 167;
    CHECK(isStale(view, 165));
    CHECK_FALSE(isStale(view, 167));
    CHECK_FALSE(isStale(StoreView{}, 0));
}
