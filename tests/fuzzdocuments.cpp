#include <catch2/catch.hpp>

#include "callerrequest.h"
#include "platformclient.h"
#include "refusal.h"
#include "settings.h"

#include "fuzzing.h"

using namespace plantainswitch;

namespace {

const std::string validSettings = R"({
    "id": "r0", "place": "hall-a", "workers": 4,
    "callers": { "address": "127.0.0.1", "port": 8080 },
    "operators": { "address": "127.0.0.1", "port": 8081 },
    "peer": { "address": "127.0.0.1", "datagramPort": 8082, "callPort": 8083 },
    "platform": { "url": "http://127.0.0.1:7000" },
    "largestBody": 65536, "lingerMilliseconds": 500,
    "log": { "format": "json", "level": "info" } })";

const std::vector<std::pair<EntryKind, std::string>> validEntries{
    {EntryKind::DataClass, R"({"owner":"o","places":["a","b"],"maxStaleSeconds":60})"},
    {EntryKind::Workspace,
     R"({"owner":"o","dataClass":"c","token":"secret","services":["m"],"requestsPerSecond":5,
         "maxInFlight":9,"weight":2,"priority":1})"},
    {EntryKind::Service,
     R"({"owner":"o","dataClass":"c","type":"plain","engineCapacity":8,"shards":4,
         "queueMilliseconds":100,"engines":{"model":"x","version":"2","checkFencing":true}})"}};

/// Checks that faults are useful to an operator: each has a path and stays short.
void checkFaults(const std::vector<Fault> &faults)
{
    constexpr std::size_t longestFault = 500;
    for (const Fault &fault : faults) {
        REQUIRE(fault.path.starts_with('/'));
        REQUIRE_FALSE(fault.found.empty());
        REQUIRE_FALSE(fault.allowed.empty());
        REQUIRE(toText(fault).size() < longestFault);
    }
}

bool isRelated(const std::string &first, const std::string &second)
{
    return first.starts_with(second) || second.starts_with(first);
}

std::string nested(std::size_t depth, const std::string &before, const std::string &after)
{
    return before + std::string(depth, '[') + std::string(depth, ']') + after;
}

constexpr std::size_t hostileDepth = 200'000;

} // namespace
TEST_CASE_METHOD(FuzzFixture, "settings_damagedBytes_giveSettingsOrFaults", "[fuzz]")
{
    for (std::size_t round = 0; round < byteRounds; ++round) {
        std::vector<Fault> faults;
        const auto settings = parseSettings(this->mutateBytes(validSettings), faults);
        REQUIRE(settings.has_value() == faults.empty());
        checkFaults(faults);
    }
}

TEST_CASE_METHOD(FuzzFixture, "settings_damagedField_isNamedByItsFault", "[fuzz]")
{
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        nlohmann::json document = nlohmann::json::parse(validSettings);
        const std::string path = this->mutateField(document);
        std::vector<Fault> faults;
        const auto settings = parseSettings(document.dump(), faults);
        REQUIRE(settings.has_value() == faults.empty());
        checkFaults(faults);
        for (const Fault &fault : faults) {
            INFO(path << " " << toText(fault));
            REQUIRE(isRelated(fault.path, path));
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "entry_damagedField_isNamedAndHidesTokens", "[fuzz]")
{
    for (std::size_t round = 0; round < fieldRounds; ++round) {
        const auto &[kind, text] = validEntries[round % validEntries.size()];
        nlohmann::json document = nlohmann::json::parse(text);
        const std::string path = this->mutateField(document);
        std::vector<Fault> faults;
        const auto body = parseEntry(kind, document, faults);
        REQUIRE(body.has_value() == faults.empty());
        checkFaults(faults);
        for (const Fault &fault : faults) {
            INFO(path << " " << toText(fault));
            REQUIRE(isRelated(fault.path, path));
            REQUIRE((path != "/token" || fault.found.find("secret") == std::string::npos));
        }
    }
}

TEST_CASE_METHOD(FuzzFixture, "entry_acceptedBody_readsBackEqual", "[fuzz]")
{
    std::size_t accepted = 0;
    for (std::size_t round = 0; round < byteRounds; ++round) {
        const auto &[kind, text] = validEntries[round % validEntries.size()];
        std::vector<Fault> faults;
        const auto json = parseJson(this->mutateBytes(text), faults);
        const auto body = json ? parseEntry(kind, *json, faults) : std::nullopt;
        if (!body) {
            REQUIRE_FALSE(faults.empty());
            checkFaults(faults);
            continue;
        }
        ++accepted;
        const auto again = parseEntry(kind, toJson(*body), faults);
        REQUIRE(again);
        REQUIRE(toJson(*again) == toJson(*body));
    }
    CHECK(accepted > 0);
}

TEST_CASE_METHOD(FuzzFixture, "catalogue_randomBatches_versionsNeverFall", "[fuzz]")
{
    CatalogueTable table;
    std::map<std::string, std::uint64_t> highest;
    std::uint64_t seen = 0;
    constexpr std::size_t rounds = 500;
    for (std::size_t round = 0; round < rounds; ++round) {
        std::vector<Entry> batch;
        for (std::size_t each = this->randomBelow(5); each > 0; --each) {
            const std::string name = "class-" + std::to_string(this->randomBelow(8));
            const std::uint64_t version = 1 + this->randomBelow(1000);
            Entry entry{{EntryKind::DataClass, name}, version, std::nullopt};
            if (this->randomBelow(3) > 0) {
                entry.body = DataClass{std::to_string(version), {"a"}, 0};
            }
            highest[name] = std::max(highest[name], version);
            batch.push_back(std::move(entry));
        }
        table.merge(batch);
        for (const Entry &entry : table.entriesSince(0)) {
            REQUIRE(entry.version == highest[entry.key.name]);
        }
        const std::uint64_t version = table.view() ? table.view()->version : 0;
        REQUIRE(version >= seen);
        seen = version;
    }
}

TEST_CASE("json_hostilelyNested_isAFaultAndNoCrash", "[fuzz]")
{
    // Guards against a stack overflow from an entry nested 200,000 deep, as a platform value of a
    // megabyte may be. Copying or printing such a value recurses once per level, so that every
    // router that watches the catalogue would crash at the same moment.
    const std::string text = nested(hostileDepth, R"({"owner":)", "}");
    std::vector<Fault> faults;
    CHECK_FALSE(parseJson(text, faults));
    CHECK_FALSE(faults.empty());
    CHECK_FALSE(parseSettings(text, faults));
    // It is skipped, and not the entries beside it.
    const auto changes =
        net::parseChanges(R"({"version":1,"objects":[{"kind":"workspace","name":"w",)"
                          R"("version":1,"body":)"
                          + text + "}]}");
    REQUIRE(changes);
    CHECK(changes->objects.empty());
    CHECK(changes->unreadable == 1);
}

TEST_CASE("json_sameFieldTwice_isAFault", "[fuzz]")
{
    // Guards against a duplicate "model" field. The router would admit the request by the last one
    // and an engine might run the first one, which nobody admitted.
    std::vector<Fault> faults;
    CHECK_FALSE(parseJson(R"({"a":{"model":"x","model":"y"}})", faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().found.find("model") != std::string::npos);
    CHECK(parseJson(R"({"a":{"model":"x"},"b":{"model":"y"}})", faults));
}

TEST_CASE_METHOD(FuzzFixture, "callerRequest_damaged_isUnderstoodOrRefusedAsNotRun", "[fuzz]")
{
    constexpr std::size_t largestBody = 4096;
    const std::string body =
        R"({"model":"sharpen-llm","stream":true,"messages":[{"role":"user","content":"hob"}]})";
    for (std::size_t round = 0; round < byteRounds; ++round) {
        net::HttpRequest http;
        http.method = this->randomBelow(4) == 0 ? "GET" : "POST";
        http.path = this->randomBelow(3) == 0 ? this->mutateBytes("/services/job-desk/tickets")
                                              : "/v1/chat/completions";
        http.headers = {
            {"authorization", this->mutateBytes("Bearer token")},
            {"x-chat-id", this->mutateBytes(std::string(199, 'c'))},
            {"x-non-idempotent", this->randomBelow(2) == 0 ? "true" : "false"},
            {"idempotency-key", this->randomBelow(3) == 0 ? "" : this->mutateBytes("key")}};
        http.body = this->mutateBytes(body);
        const std::string sent = http.body;
        Reason reason;
        const auto request = parseCallerRequest(std::move(http), largestBody, reason);
        if (!request) {
            REQUIRE(errorRow(reason.kind).ran == ExecutionStatus::No);
            REQUIRE(reason.kind != ErrorKind::Internal);
            REQUIRE(nlohmann::json::accept(refusalBody(reason, "1")));
            continue;
        }
        REQUIRE(request->body == sent);
        REQUIRE(request->chatId.size() <= maxChatIdOrKeyBytes);
        REQUIRE((!request->nonIdempotent || !request->idempotencyKey.empty()));
        REQUIRE_FALSE(request->service.empty());
    }
}

TEST_CASE("callerRequest_bodyBeyondTheLimit_isRefusedAsTooLarge", "[fuzz]")
{
    net::HttpRequest http;
    http.method = "POST";
    http.path = "/v1/chat/completions";
    http.body.assign(101, ' ');
    Reason reason;
    const auto request = parseCallerRequest(std::move(http), 100, reason);
    CHECK_FALSE(request);
    CHECK(reason.kind == ErrorKind::TooLarge);
}
