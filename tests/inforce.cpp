#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

Entry classAt(std::uint64_t version, const std::string &dataCentre)
{
    return {{EntryKind::DataClass, "regulated"}, version, DataClass{"o", {dataCentre}, 0}};
}

/// A deliberately broken table that accepts whatever arrives last.
class LastWinsTable
{
public:
    void merge(const std::vector<Entry> &batch) { this->latest = batch.back().version; }
    [[nodiscard]] std::uint64_t version() const { return this->latest; }

private:
    std::uint64_t latest = 0;
};

class RealTable
{
public:
    void merge(const std::vector<Entry> &batch) { this->table.merge(batch); }
    [[nodiscard]] std::uint64_t version() const { return this->table.view()->version; }

private:
    CatalogueTable table;
};

/// Delivers the platform's edits to a table late, duplicated and out of order, from peers and stale
/// lists.
/// \returns whether the version in force ever decreased.
template<typename Table>
bool versionDecreases(const std::vector<std::uint64_t> &history)
{
    Table table;
    std::uint64_t earlier = 0;
    for (const std::uint64_t version : history) {
        table.merge({classAt(version, "hall-a")});
        if (table.version() < earlier) {
            return true;
        }
        earlier = table.version();
    }
    return false;
}

class InForceFixture
{
protected:
    ManualClock clock;
    CatalogueTable table;
};

} // namespace

TEST_CASE("inForce_anyHistory_versionNeverFalls", "[inforce]")
{
    const bool held = rc::check("versions never fall", [] {
        const auto history =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 50));
        RC_ASSERT_FALSE(versionDecreases<RealTable>(history));
    });
    CHECK(held);
    CHECK(versionDecreases<LastWinsTable>({3, 2}));
}

TEST_CASE_METHOD(InForceFixture, "inForce_unreadableEdit_keepsLastGoodAndTakesOthers", "[inforce]")
{
    // One batch holds an entry that this version can't parse and one that it can. The first keeps
    // its last good body in force and is passed on unchanged; the second is merged.
    this->table.merge({classAt(1, "hall-a")});
    const Entry unreadable{{EntryKind::DataClass, "regulated"}, 2, std::nullopt, "{\"new\":1}"};
    const Entry other{{EntryKind::DataClass, "other"}, 3, DataClass{"o", {"hall-b"}, 0}};
    CHECK(this->table.merge({unreadable, other}) == 2);
    CHECK(this->table.view()->dataClasses.at("regulated").dataCentres.front() == "hall-a");
    CHECK(this->table.view()->dataClasses.contains("other"));
    CHECK(this->table.unreadable().size() == 1);
    CHECK(this->table.entriesSince(1).front().version >= 2);
    this->table.merge({classAt(4, "hall-c")});
    CHECK(this->table.unreadable().empty());
}

TEST_CASE_METHOD(InForceFixture, "inForce_neverConfirmed_countsAsStale", "[inforce]")
{
    // A router starts from its peers while the platform is down. No router with a fresh catalogue
    // ever confirmed what it got, so a class with a staleness limit must not be served with it.
    this->table.merge({classAt(1, "hall-a")});
    this->table.markComplete(1, std::nullopt);
    CHECK(this->table.staleness(this->clock.now()) == Duration::max());
}

TEST_CASE_METHOD(InForceFixture, "inForce_peerFreshFromPlatform_confirms", "[inforce]")
{
    this->table.markComplete(5, this->clock.now());
    this->clock.advance(Seconds{100});
    this->table.markConfirmed(5, this->clock.now() - Seconds{3});
    CHECK(this->table.staleness(this->clock.now()) == Seconds{3});
}

TEST_CASE_METHOD(InForceFixture, "inForce_peerOrPlatformBehind_doesNotConfirm", "[inforce]")
{
    // The platform was rolled back to an older copy. It and its readers are fresh, but with a
    // catalogue older than this router's.
    this->table.markComplete(5, this->clock.now());
    this->clock.advance(Seconds{100});
    this->table.markConfirmed(4, this->clock.now());
    this->table.markComplete(4, this->clock.now());
    CHECK(this->table.freshness().completeVersion == 5);
    CHECK(this->table.staleness(this->clock.now()) == Seconds{100});
}
