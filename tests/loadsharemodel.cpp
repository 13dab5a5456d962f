#include <catch2/catch.hpp>

#include "loadsharemodel.h"

using namespace plantainswitch;

namespace {

class LoadShareFixture
{
protected:
    static constexpr std::uint64_t seeds = 3;
    /// Share of the requests of any five seconds that may reach an engine which holds more than its
    /// share.
    static constexpr double allowedShare = 0.03;

    static LoadShareOptions optionsOf(std::uint64_t seed)
    {
        constexpr std::size_t sizes[][2] = {{8, 9}, {24, 30}, {59, 89}};
        LoadShareOptions options;
        options.routers = sizes[seed % 3][0];
        options.upstreams = sizes[seed % 3][1];
        options.dataCentres = 2 + seed % 3;
        return options;
    }

    /// Partitions a third of the routers, or all of a data centre.
    static void partition(LoadShareOptions &options, std::uint64_t seed)
    {
        const std::size_t every = seed % 2 == 0 ? 3 : options.dataCentres;
        for (std::size_t i = 0; i < options.routers; i += every) {
            options.partitioned.push_back(i);
        }
    }

    static void check(std::uint64_t seed, const LoadShareOptions &options)
    {
        LoadShareModel model(seed, options);
        model.run();
        INFO("seed " << seed << ", routers " << options.routers << ", upstreams "
                     << options.upstreams << ", partitioned " << options.partitioned.size());
        CHECK(model.overloadedShare() <= allowedShare);
        CHECK(model.servedShare(true) >= 0.9 * model.servedShare(false));
        CHECK(model.servedShare(false) >= 0.99);
    }

    static void checkPartitions(PartitionKind kind)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadShareOptions options = optionsOf(seed);
            options.kind = kind;
            partition(options, seed);
            check(seed, options);
        }
    }
};

} // namespace

TEST_CASE_METHOD(LoadShareFixture, "loadShare_allRoutersReachAllEngines_isKept", "[routing]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check(seed, optionsOf(seed));
    }
}

TEST_CASE_METHOD(LoadShareFixture, "loadShare_partitionedRoutersKeepOpenConnections_isKept",
                 "[routing]")
{
    // Guards against routers that reach few engines and take the mean load of these for that of
    // the service: all their requests go there.
    checkPartitions(PartitionKind::NewRefused);
}

TEST_CASE_METHOD(LoadShareFixture, "loadShare_partitionedRoutersAreRefused_isKept", "[routing]")
{
    checkPartitions(PartitionKind::Refused);
}

TEST_CASE_METHOD(LoadShareFixture, "loadShare_connectionsOfPartitionedRoutersHang_isKept",
                 "[routing]")
{
    checkPartitions(PartitionKind::Hanging);
}

TEST_CASE_METHOD(LoadShareFixture, "loadShare_partitionedRoutersReachFewEngines_isKept",
                 "[routing]")
{
    // Guards against the few engines that partitioned routers still reach getting all requests of
    // these.
    checkPartitions(PartitionKind::FewLeft);
}
