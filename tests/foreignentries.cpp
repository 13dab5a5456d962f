#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "plantainswitch/base/hash.h"
#include "plantainswitch/base/jsontext.h"
#include "platformclient.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

std::string nestedText(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// \returns \a text with one of \a values in the place of each @.
std::string withValues(std::string_view text, const std::vector<std::string> &values)
{
    std::string filled;
    auto value = values.begin();
    for (const char character : text) {
        if (character == '@') {
            filled.append(*value++);
        } else {
            filled.push_back(character);
        }
    }
    return filled;
}

/// Entries of other writers in the store, each beside sound ones.
class ForeignEntriesFixture
{
protected:
    static std::string entryOf(const std::string &id, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + id + R"(","rev":4},"spec":)" + spec + "}";
    }

    static std::string soundSpec()
    {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,)"
               R"("state":"ready","sequence":1})";
    }

    /// \returns the sound entry with \a value as its \a field.
    static std::string specWith(const std::string &field, const std::string &value)
    {
        std::string spec = soundSpec();
        spec.insert(1, "\"" + field + "\":" + value + ",");
        const std::string other = "\"" + field + "\":";
        const std::size_t first = spec.find(other) + other.size();
        const std::size_t second = spec.find(other, first);
        if (second != std::string::npos) {
            spec.erase(second, spec.find(',', second) + 1 - second);
        }
        return spec;
    }

    /// \returns objects of the store that can't be read, or have no usable name.
    static std::vector<std::string> unreadableObjects()
    {
        const std::string deep = nestedText(200'000);
        return {entryOf("odd", specWith("service", "\"\\udcff\\udcfe\"")),
                entryOf("odd", specWith("service", "\"\xff\xfe\"")),
                entryOf("odd", specWith("slots", "1e400")),
                entryOf("odd", specWith("note", deep)),
                entryOf("odd", deep),
                entryOf("odd", "\"a \\\" } ] text\""),
                entryOf("odd", "null"),
                entryOf("odd", "truth"),
                R"({"metadata":{"name":"odd","rev":1e400},"spec":{}})",
                R"({"metadata":{"name":"\ud800","rev":4},"spec":{}})",
                R"({"metadata":{"name":7},"spec":{}})",
                R"({"metadata":)" + deep + "}",
                R"({"spec":{}})",
                "null",
                "7",
                "[]",
                deep};
    }

    /// \returns specifications of upstreams that can be read, but name none to use.
    static std::vector<std::string> unusableSpecs()
    {
        return {specWith("address", R"("10.0.0.1:70000")"),
                specWith("address", R"("10.0.0.1:0")"),
                specWith("address", R"("10.0.0.1:-1")"),
                specWith("address", R"("host:80")"),
                specWith("address", "80"),
                specWith("slots", "1e300"),
                specWith("slots", "1" + std::string(30, '0')),
                specWith("slots", "\"4\""),
                specWith("born", "1e30"),
                specWith("born", "1.5"),
                specWith("state", "\"gone\""),
                specWith("version", "{}"),
                specWith("service", "[]"),
                "{}"};
    }

    /// \returns the upstreams among the objects of a response.
    [[nodiscard]] std::vector<std::string> upstreamsIn(const StoreResponse &response) const
    {
        std::vector<std::string> names;
        for (const StoreObject &object : response.objects) {
            std::string fault;
            if (this->dialect.parseReplica(object, fault)) {
                names.push_back(object.name);
            }
        }
        return names;
    }

    const std::vector<std::string> sound{"a", "b"};
    platform::PlatformDialect dialect;
};

} // namespace

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_unreadable_leavesTheListReadable",
                 "[platform]")
{
    // Guards against one entry that hides all others, or ends the routers that read it.
    for (const std::string &odd : unreadableObjects()) {
        CAPTURE(odd.substr(0, 200));
        const auto list =
            this->dialect.parseList(R"({"items":[)" + entryOf("a", soundSpec()) + "," + odd + ","
                                    + entryOf("b", soundSpec()) + R"(],"hasMore":true,"asOf":12})");
        REQUIRE(list);
        CHECK(list->revision == 12);
        CHECK(list->hasMore);
        CHECK(this->upstreamsIn(*list) == this->sound);
    }
}

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_unreadable_leavesTheChangesReadable",
                 "[platform]")
{
    // Guards against a router that follows no changes any more after one that it can't read.
    for (const std::string &odd : unreadableObjects()) {
        CAPTURE(odd.substr(0, 200));
        const auto changes = this->dialect.parseChanges(
            withValues(R"({"asOf":12,"events":[{"deleted":false,"object":@},)"
                       R"({"object":@,"deleted":true},@,{"object":@,"deleted":true}]})",
                       {entryOf("a", soundSpec()), odd, odd, entryOf("b", soundSpec())}));
        REQUIRE(changes);
        CHECK(this->upstreamsIn(*changes) == this->sound);
        CHECK(changes->objects.back().deleted);
        CHECK_FALSE(changes->objects.front().deleted);
    }
}

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_valueOutOfRange_namesNoUpstream",
                 "[platform]")
{
    for (const std::string &spec : unusableSpecs()) {
        CAPTURE(spec);
        const auto list = this->dialect.parseList(R"({"asOf":12,"items":[)" + entryOf("odd", spec)
                                                  + "," + entryOf("a", soundSpec()) + "]}");
        REQUIRE(list);
        CHECK(list->objects.size() == 2);
        CHECK(this->upstreamsIn(*list) == std::vector<std::string>{"a"});
    }
}

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_largeNumbers_areLimited", "[platform]")
{
    // Guards against conversions and sums that overflow.
    for (const std::string &number :
         {std::string("1e300"), std::string("18446744073709551615"), "1" + std::string(30, '0')}) {
        CAPTURE(number);
        StoreObject object;
        object.name = "u";
        object.document = specWith("coldLeftMs", number);
        std::string fault;
        const auto replica = this->dialect.parseReplica(object, fault);
        REQUIRE(replica);
        CHECK(replica->coldFor <= std::chrono::hours{24 * 31});
        const auto config = this->dialect.parseRouting(
            withValues(R"({"version":3,"routes":[{"timeoutMs":@,"goalMs":@,"gapGoalMs":@,)"
                       R"("kind":"streaming","maxAttempts":@}],"services":[{"name":"s",)"
                       R"("coldS":@,"connLimit":@}],"limits":{"idleTimeoutMs":@}})",
                       std::vector<std::string>(7, number)),
            fault);
        REQUIRE(config);
        CHECK(config->routes.front().timeout <= std::chrono::hours{24 * 31});
        CHECK(config->routes.front().firstEventTimeout <= std::chrono::hours{24 * 31 * 8});
        CHECK(config->services.front().coldStart.duration <= std::chrono::hours{24 * 31});
        CHECK(config->limits.idleTimeout <= std::chrono::hours{24 * 31});
    }
}

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_ofOtherKinds_isIgnored", "[platform]")
{
    // Guards against the same for routers, evacuations and the routers' own records.
    for (const std::string &odd : unreadableObjects()) {
        CAPTURE(odd.substr(0, 200));
        const auto object = this->dialect.parseObject(odd);
        if (!object) {
            continue;
        }
        std::string fault;
        const bool isEmptyObject = object->document == "{}";
        CHECK_FALSE(this->dialect.parseRouterEntry(*object));
        CHECK_FALSE(this->dialect.parseTrialRecord(*object));
        CHECK_FALSE(this->dialect.parseVersionRecord(*object));
        CHECK_FALSE(this->dialect.parseOriginRecord(*object));
        CHECK_FALSE(this->dialect.parseRouting(object->document, fault));
        CHECK(this->dialect.parseEvacuation(*object, fault).has_value() == isEmptyObject);
    }
    for (const char *const address : {"host:7", "10.0.0.1:70000", "10.0.0.1", ""}) {
        StoreObject object;
        object.name = "router-9";
        object.document = R"({"datagrams":")" + std::string(address) + R"("})";
        CHECK_FALSE(this->dialect.parseRouterEntry(object));
    }
}

TEST_CASE_METHOD(ForeignEntriesFixture, "foreignEntry_nameWithReservedCharacters_isEscaped",
                 "[platform]")
{
    // Guards against a list that never goes on after an entry whose name ends the request line.
    const std::string target = this->dialect.listTarget(StoreObjectKind::Replicas, "a b&c=\r\n/ü",
                                                        ReadConsistency::Linearizable);
    CHECK(target.ends_with("afterRev=a%20b%26c%3D%0D%0A%2F%C3%BC"));
    CHECK(this->dialect
              .listTarget(StoreObjectKind::Replicas, "i-7f3a91c2", ReadConsistency::Linearizable)
              .ends_with("afterRev=i-7f3a91c2"));
}

TEST_CASE_METHOD(GatewayFixture, "foreignEntry_inTheStore_callersAreServed", "[gateway]")
{
    // Guards against a router that never becomes ready, or ends, because of another writer's entry.
    this->addStoreItem(R"({"metadata":{"name":"x-1","rev":1},"spec":{"service":"\udcff"}})");
    this->addStoreItem(R"({"metadata":{"name":"x-2","rev":1},"spec":)" + nestedText(200'000) + "}");
    this->addUpstream("plain-0", "plain", [](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            connection.send(makeResponse(*request, "served"));
        }
    });
    this->addStoreItem(R"({"metadata":{"name":"x-3","rev":1},"spec":{"slots":1e400}})");
    this->start();
    CHECK(this->isReady());
    CHECK(this->call(makeRequest("/safe/x", "a")).body == "served");
}

TEST_CASE("foreignEntry_inThePlatformsCatalogue_leavesTheOthersReadable", "[platform]")
{
    // Guards against routers of the own dialect that stop following the platform.
    const std::string deep = nestedText(200'000);
    for (const std::string &odd : {deep, std::string("1e400"), std::string("\"\\udcff\""),
                                   std::string("\"\xff\""), std::string(R"({"a":1,"a":2})")}) {
        CAPTURE(odd.substr(0, 100));
        const std::string object = R"({"kind":"service","name":"s","version":9,"body":null})";
        const auto changes =
            net::parseChanges(withValues(R"({"version":9,"objects":[@,{"kind":"service",)"
                                         R"("name":"odd","version":9,"body":@},@]})",
                                         {object, odd, object}));
        REQUIRE(changes);
        CHECK(changes->objects.size() == 2);
        CHECK(changes->unreadable == 1);
        const std::string vm = R"({"id":"e","role":"engine","port":80,"host":"10.0.0.1"})";
        const auto vms =
            net::parseVmList(withValues(R"([@,{"id":"odd","port":@},@])", {vm, odd, vm}));
        REQUIRE(vms);
        CHECK(vms->size() == 2);
    }
}

TEST_CASE("jsonText_divided_keepsValuesApart", "[platform]")
{
    const auto elements = elementsOf(R"( [1, "a,]\"" , {"b":[2,3]} ,[]] )");
    REQUIRE(elements);
    CHECK(*elements == std::vector<std::string_view>{"1", R"("a,]\"")", R"({"b":[2,3]})", "[]"});
    CHECK(elementsOf("[ ]")->empty());
    const auto members = membersOf(R"({"a": {"x":1}, "b" :"}", "a":2})");
    REQUIRE(members);
    CHECK(members->size() == 3);
    CHECK(valueOf(*members, "a") == "2");
    CHECK(valueOf(*members, "b") == R"("}")");
    CHECK(valueOf(*members, "c").empty());
    for (const char *const text : {"", "[", "{}", "[\"]", "[1]]", "[[1]", "7"}) {
        CAPTURE(text);
        CHECK_FALSE(elementsOf(text));
    }
    for (const char *const text : {"", "{", "[]", R"({"a"})", R"({a:1})", R"({"a":1,})"}) {
        CAPTURE(text);
        CHECK_FALSE(membersOf(text));
    }
    CHECK(parseNested("[[1]]", 2));
    CHECK_FALSE(parseNested("[[1]]", 1));
}
