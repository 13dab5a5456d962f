#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>

#include "commands.h"
#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;
using namespace plantainswitch::ctl;

namespace {

constexpr std::uint16_t basePort = 29000;

class OperatorsFixture
{
protected:
    OperatorsFixture()
        : fleet(lowtherDeployment(basePort, 1))
        , platform("http://" + toText(platformOf(this->fleet.deployment)))
    {}

    /// \returns what `plantainctl get` prints.
    std::string getOutput(TokenVisibility tokens)
    {
        std::ostringstream text;
        std::streambuf *const before = std::cout.rdbuf(text.rdbuf());
        const int code = getEntry(this->platform, this->workspace, OutputFormat::Json, tokens);
        std::cout.rdbuf(before);
        REQUIRE(code == exitOk);
        return text.str();
    }

    int apply(const nlohmann::json &file)
    {
        const auto path = std::filesystem::temp_directory_path() / "plantainswitch-operators.json";
        std::ofstream(path) << file.dump();
        const int code = applyFile(this->platform, path.string(), OutputFormat::Json);
        std::filesystem::remove(path);
        return code;
    }

    Fleet fleet;
    BlockingPlatformClient platform;
    EntryKey workspace{EntryKind::Workspace, "workspace-0"};
    EntryKey regulated{EntryKind::DataClass, "regulated"};
};

} // namespace

TEST_CASE_METHOD(OperatorsFixture, "operators_racingEdits_oneWinsEachRoundAndNoneIsLost",
                 "[operators]")
{
    // Guards against lost updates: two operators repeatedly edit the same entry, each by the
    // version it has read. The loser of each round must get the stored object instead of
    // overwriting it.
    std::atomic<std::uint32_t> written = 0;
    const std::uint64_t first = this->platform.get(this->regulated).object->version;
    const auto edit = [this, &written](BlockingPlatformClient &calls) {
        for (int round = 0; round < 20; ++round) {
            const auto read = calls.get(this->regulated);
            auto body = read.object->body;
            body["maxStaleSeconds"] = body["maxStaleSeconds"].get<std::uint32_t>() + 1;
            const auto answer = calls.put(this->regulated, read.object->version, body);
            written += answer.status == net::PlatformStatus::Ok ? 1U : 0U;
            CHECK((answer.status == net::PlatformStatus::Ok || answer.object.has_value()));
        }
    };
    BlockingPlatformClient other("http://" + toText(platformOf(this->fleet.deployment)));
    std::thread second([&] { edit(other); });
    edit(this->platform);
    second.join();
    const auto last = this->platform.get(this->regulated).object;
    CHECK(last->body["maxStaleSeconds"] == written.load());
    CHECK(last->version >= first + written);
}

TEST_CASE_METHOD(OperatorsFixture, "operators_deleteOfUsedClass_isRefused", "[operators]")
{
    const auto version = this->platform.get(this->regulated).object->version;
    CHECK(deleteEntry(this->platform, this->regulated, version, OutputFormat::Json)
          == exitBadInput);
    CHECK(this->platform.get(this->regulated).status == net::PlatformStatus::Ok);
}

TEST_CASE("references_unknownClassOrService_areFaults", "[operators]")
{
    Workspace workspace;
    workspace.dataClass = "no-such-class";
    workspace.services = {"no-such-service"};
    CHECK(checkReferences(workspace, {}).size() == 2);
    const StoredEntries known{{{EntryKind::DataClass, "no-such-class"}, DataClass{}},
                              {{EntryKind::Service, "no-such-service"}, Service{}}};
    CHECK(checkReferences(workspace, known).empty());
}

TEST_CASE_METHOD(OperatorsFixture, "status_ofPlace_isWrittenByItsFirstWatcher", "[operators]")
{
    REQUIRE(this->fleet.start());
    CHECK(Fleet::eventually([this] {
        const auto reports = this->platform.list("status");
        return reports && reports->objects.size() == 1
               && reports->objects.front().body["lowestVersion"] > 0;
    }));
}

TEST_CASE_METHOD(OperatorsFixture, "get_workspace_hidesTokenUnlessAsked", "[operators]")
{
    CHECK(this->getOutput(TokenVisibility::Hidden).find("token-lowther-0") == std::string::npos);
    CHECK(this->getOutput(TokenVisibility::Shown).find("token-lowther-0") != std::string::npos);
}

TEST_CASE_METHOD(OperatorsFixture, "apply_hiddenMark_keepsTheStoredToken", "[operators]")
{
    // Guards against storing the placeholder of a hidden token as the token when an operator
    // applies an edited file. That would lock out all callers of the workspace.
    auto file = nlohmann::json::parse(this->getOutput(TokenVisibility::Hidden));
    file["body"]["weight"] = 7;
    REQUIRE(this->apply(file) == exitOk);
    const auto stored = this->platform.get(this->workspace).object;
    CHECK(stored->body["token"] == "token-lowther-0");
    CHECK(stored->body["weight"] == 7);
}

TEST_CASE_METHOD(OperatorsFixture, "apply_hiddenMarkAfterTokenChanged_losesTheRace", "[operators]")
{
    // Guards against restoring an old token that was changed between an operator's get and apply.
    const auto file = nlohmann::json::parse(this->getOutput(TokenVisibility::Hidden));
    auto newer = nlohmann::json::parse(this->getOutput(TokenVisibility::Shown));
    newer["body"]["token"] = "token-renewed";
    REQUIRE(this->apply(newer) == exitOk);
    CHECK(this->apply(file) == exitConflict);
    CHECK(this->platform.get(this->workspace).object->body["token"] == "token-renewed");
}

TEST_CASE_METHOD(OperatorsFixture, "apply_hiddenMarkOfNewWorkspace_isRefused", "[operators]")
{
    auto file = nlohmann::json::parse(this->getOutput(TokenVisibility::Hidden));
    file["name"] = "workspace-new";
    file["version"] = 0;
    CHECK(this->apply(file) == exitBadInput);
    CHECK(this->platform.get({EntryKind::Workspace, "workspace-new"}).status
          == net::PlatformStatus::NotFound);
}
