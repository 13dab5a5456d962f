#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

class CatalogueFixture
{
protected:
    CatalogueFixture()
    {
        Workspace workspace;
        workspace.owner = "o";
        workspace.dataClass = "narrow";
        workspace.token = "secret";
        workspace.services = {"model"};
        Service service;
        service.owner = "o";
        service.dataClass = "wide";
        this->table.merge({{{EntryKind::DataClass, "wide"}, 1, DataClass{"o", {"a", "b"}, 0}},
                           {{EntryKind::DataClass, "narrow"}, 2, DataClass{"o", {"b", "c"}, 0}},
                           {{EntryKind::Service, "model"}, 3, service},
                           {{EntryKind::Workspace, "w"}, 4, workspace}});
    }

    CatalogueTable table;
    Reason reason;
};

} // namespace

TEST_CASE_METHOD(CatalogueFixture, "catalogue_olderVersion_isNotTaken", "[catalogue]")
{
    // An operator narrows a data class, and a router then receives a stale list from a lagging
    // peer. Merging it would serve data in a data centre that is forbidden by now.
    const Entry old{{EntryKind::DataClass, "narrow"}, 1, DataClass{"o", {"a"}, 0}};
    CHECK(this->table.merge({old}) == 0);
    CHECK(this->table.view()->dataClasses.at("narrow").dataCentres.front() == "b");
}

TEST_CASE_METHOD(CatalogueFixture, "catalogue_deletedEntry_doesNotComeBack", "[catalogue]")
{
    const auto before = this->table.entriesSince(0);
    this->table.merge({{{EntryKind::Workspace, "w"}, 9, std::nullopt}});
    CHECK(this->table.merge(before) == 0);
    CHECK(this->table.view()->workspaces.empty());
}

TEST_CASE_METHOD(CatalogueFixture, "admit_twoDataClasses_permitsOnlySharedPlaces", "[catalogue]")
{
    const auto authorization =
        admit(*this->table.view(), "secret", "model", Duration{0}, this->reason);
    REQUIRE(authorization);
    CHECK(authorization->dataCentres == std::vector<std::string>{"b"});
}

TEST_CASE_METHOD(CatalogueFixture, "admit_wrongToken_isUnauthorized", "[catalogue]")
{
    CHECK_FALSE(admit(*this->table.view(), "secre", "model", Duration{0}, this->reason));
    CHECK(this->reason.kind == ErrorKind::Unauthorized);
}

TEST_CASE("parseEntry_unknownAndWrongFields_reportsEachFault", "[catalogue]")
{
    std::vector<Fault> faults;
    const auto json = nlohmann::json::parse(R"({"owner":"o","places":[],"colour":1})");
    CHECK_FALSE(parseEntry(EntryKind::DataClass, json, faults));
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].path == "/places");
    CHECK(faults[1].path == "/colour");
}

TEST_CASE_METHOD(CatalogueFixture, "catalogue_tokenChanged_onlyTheNewOneAdmits", "[catalogue]")
{
    // The next snapshot shares what the edit doesn't change. A token left in it would still
    // authorize a caller whose token was changed; a request that holds the old snapshot keeps it.
    const auto before = this->table.view();
    Workspace renewed = before->workspaces.at("w");
    renewed.token = "renewed";
    this->table.merge({{{EntryKind::Workspace, "w"}, 5, renewed},
                       {{EntryKind::Workspace, "x"}, 6, renewed},
                       {{EntryKind::Workspace, "x"}, 7, std::nullopt}});
    const auto after = this->table.view();
    CHECK_FALSE(admit(*after, "secret", "model", Duration{0}, this->reason));
    const auto authorization = admit(*after, "renewed", "model", Duration{0}, this->reason);
    REQUIRE(authorization);
    CHECK(authorization->workspace == "w");
    CHECK(authorization->catalogueVersion == 7);
    CHECK(admit(*before, "secret", "model", Duration{0}, this->reason));
}
