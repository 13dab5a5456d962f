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
    // An upstream is dropped some time after the store's last change. A router that had heard up
    // to that change would keep sending to it if its end were noted at that revision.
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
    // A router's data centre was cut off. Just after its return an upstream leaves, whose entry the
    // router keeps for two seconds, as it may have lapsed in the cut. A router elsewhere that had
    // no outage hears from it of the newer revision, with no word of the removal: it would send
    // that upstream work until the two seconds are over, beyond the time that it still serves.
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
    // Others have meanwhile heard elsewhere of changes up to the 25th.
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
    // A data centre of sixty routers starts at once, and three of them have the store's objects.
    // All others ask for half a megabyte over their thin links.
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
    // A router starts, asks another one what it knows, and lists the store. The list comes first
    // and says that an upstream leaves; the answer, of an older revision, still has it ready.
    // Taken, it sent requests there for five more seconds, on this router and on all that asked it,
    // since each of them took itself to have heard of the newer revision.
    StoreView view;
    recordReplica(view, "u-1", R"({"state":"leaving"})", 167);
    view.revision = 167;
    CHECK(isStale(view, 165));
    CHECK_FALSE(isStale(view, 167));
    CHECK_FALSE(isStale(StoreView{}, 0));
}
