#include <catch2/catch.hpp>

#include "plantainswitch/routing/route.h"

using namespace plantainswitch;

namespace {

class RoutesFixture
{
protected:
    static Route routeTo(const std::string &name, const std::string &host,
                         const std::string &prefix)
    {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.services = {{"service-" + name, 1}};
        return route;
    }

    static RoutingTable tableOf(std::vector<Route> routes)
    {
        RoutingConfig config;
        config.version = 1;
        config.routes = std::move(routes);
        config.workspaces = {{"alpha", {"key-a", "key-b"}, 1}, {"beta", {"key-c"}, std::nullopt}};
        config.requiresKeys = true;
        return RoutingTable(std::move(config));
    }

    static std::string found(const RoutingTable &table, std::string_view host,
                             std::string_view path)
    {
        const Route *const route = table.findRoute(host, path);
        return route == nullptr ? "none" : route->name;
    }
};

} // namespace

TEST_CASE_METHOD(RoutesFixture, "routes_severalPrefixesFit_longestWins", "[routing]")
{
    const RoutingTable table =
        tableOf({routeTo("whole", "h.example", "/"), routeTo("short", "h.example", "/a/"),
                 routeTo("long", "h.example", "/a/b/"), routeTo("other", "g.example", "/a/b/c/")});
    CHECK(found(table, "h.example", "/a/b/c/d") == "long");
    CHECK(found(table, "h.example", "/a/bc") == "short");
    CHECK(found(table, "h.example", "/ab/") == "whole");
    CHECK(found(table, "g.example", "/a/b/") == "none");
    CHECK(found(table, "nobody.example", "/") == "none");
}

TEST_CASE_METHOD(RoutesFixture, "routes_hostWithPortOrOtherCase_isTheSameHost", "[routing]")
{
    const RoutingTable table = tableOf({routeTo("one", "H.example", "/a/")});
    CHECK(found(table, "h.EXAMPLE:8080", "/a/") == "one");
}

TEST_CASE_METHOD(RoutesFixture, "routes_pathWithoutPrefixSlash_findsNothing", "[routing]")
{
    const RoutingTable table = tableOf({routeTo("one", "h", "/a/")});
    CHECK(found(table, "h", "/a") == "none");
    CHECK(found(table, "h", "") == "none");
    CHECK(found(table, "h", "a/") == "none");
}

TEST_CASE_METHOD(RoutesFixture, "routes_keyOfWorkspace_findsItsHolderOnly", "[routing]")
{
    const RoutingTable table = tableOf({});
    REQUIRE(table.findWorkspace("key-b") != nullptr);
    CHECK(table.findWorkspace("key-b")->name == "alpha");
    CHECK(table.findWorkspace("key-d") == nullptr);
    CHECK(table.findWorkspace("") == nullptr);
}

TEST_CASE_METHOD(RoutesFixture, "routes_weights_splitRequestsAsStated", "[routing]")
{
    Route route = routeTo("split", "h", "/");
    route.services = {{"most", 90}, {"few", 10}, {"none", 0}};
    std::size_t few = 0;
    constexpr std::uint64_t requests = 1000;
    for (std::uint64_t hash = 0; hash < requests; ++hash) {
        const std::string_view service = serviceOf(route, hash);
        CHECK(service != "none");
        few += service == "few" ? 1 : 0;
    }
    CHECK(few == requests / 10);
    route.services = {{"off", 0}};
    CHECK(serviceOf(route, 1).empty());
}

TEST_CASE_METHOD(RoutesFixture, "routes_workspaceWithRank_goesBeforeTheRoutes", "[routing]")
{
    Route route = routeTo("one", "h", "/");
    route.priority = 5;
    const RoutingTable table = tableOf({route});
    CHECK(requestPriority(route, table.findWorkspace("key-a")) == 1);
    CHECK(requestPriority(route, table.findWorkspace("key-c")) == 5);
    CHECK(requestPriority(route, nullptr) == 5);
}

TEST_CASE_METHOD(RoutesFixture, "mayRepeat_streamThatCannotResume_isNotRepeated", "[routing]")
{
    Route route;
    route.kind = RouteKind::Streaming;
    CHECK_FALSE(isRetryable(route));
    route.resumable = true;
    CHECK(isRetryable(route));
    route.kind = RouteKind::NonIdempotent;
    CHECK_FALSE(isRetryable(route));
    route.kind = RouteKind::Idempotent;
    CHECK(isRetryable(route));
}
