#include <functional>

#include <catch2/catch.hpp>

#include "quarantinemodel.h"

using namespace plantainswitch;

// The model of quarantinemodel.h with requests that are all different. Their prompts share parts;
// those with one certain part crash each upstream that runs them.

namespace {

class PartQuarantineModelFixture
{
protected:
    static constexpr std::uint64_t seeds = 60;
    /// Requests with the crashing part that may reach upstreams late.
    static constexpr std::size_t maxLateAttempts = 3;

    static QuarantineOptions optionsOf(std::uint64_t seed)
    {
        QuarantineOptions options;
        options.traffic = SuspectTraffic::PromptParts;
        options.dataCentres = 2 + seed % 3;
        options.routers = options.dataCentres * (1 + seed % 4);
        options.upstreams = options.dataCentres * (2 + seed % 3);
        options.reportLoss = 0.05 * static_cast<double>(seed % 3);
        options.copyInterval = Milliseconds{100 + 200 * static_cast<int>(seed % 5)};
        options.innocentRun = Milliseconds{100 + 100 * static_cast<int>(seed % 4)};
        options.duration = Seconds{40};
        // Every other seed begins with routers that know no part.
        options.crashingFrom = Milliseconds{seed % 2 == 0 ? 5000 : 0};
        return options;
    }

    /// Checks the bound of late attempts, and that sound requests go on, with the options of each
    /// seed, changed by \a change.
    static void checkSeeds(const std::function<void(std::uint64_t, QuarantineOptions &)> &change)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            QuarantineOptions options = optionsOf(seed);
            change(seed, options);
            QuarantineModel model(seed, options);
            model.run();
            INFO("seed " << seed << ", crashes " << model.crashes());
            CHECK(model.lateAttempts() <= maxLateAttempts);
            CHECK(model.relativeInnocentShare() >= 0.5);
        }
    }
};

} // namespace

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptPart_crashesUpstreams_isHeldAndOthersGoOn",
                 "[routing]")
{
    // Guards against requests that crash one upstream after the other because no two of them are
    // alike, and against a quarantine of the parts that they share with sound ones.
    checkSeeds([](std::uint64_t, QuarantineOptions &) {});
}

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptPart_routersRestart_isHeldAndOthersGoOn",
                 "[routing]")
{
    // Guards against routers that forget a crashing part when they restart.
    checkSeeds([](std::uint64_t, QuarantineOptions &options) {
        options.restartInterval = Milliseconds{700};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptPart_allRoutersKilled_isHeldAndOthersGoOn",
                 "[routing]")
{
    // Guards against a fleet that forgets a crashing part when all routers are killed.
    checkSeeds([](std::uint64_t seed, QuarantineOptions &options) {
        options.killAllAt = Milliseconds{9000 + 100 * static_cast<int>(seed)};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptPart_dataCentresCutOff_isHeldAndOthersGoOn",
                 "[routing]")
{
    // Guards against two parts of the fleet that each count crashes on their own.
    checkSeeds([](std::uint64_t seed, QuarantineOptions &options) {
        options.cutAt = options.crashingFrom + Milliseconds{500 + 50 * static_cast<int>(seed)};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture,
                 "promptPart_upstreamsCrashByThemselves_isHeldAndOthersGoOn", "[routing]")
{
    // Guards against crashes for other reasons, single ones and of a whole data centre, that hide
    // the crashing part or count against sound ones.
    checkSeeds([](std::uint64_t seed, QuarantineOptions &options) {
        options.crashInterval = Milliseconds{1500};
        options.outageAt = options.crashingFrom + Milliseconds{300 + 30 * static_cast<int>(seed)};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture,
                 "promptPart_severalCrashUpstreams_areHeldAndOthersGoOn", "[routing]")
{
    // Guards against a crashing part that another one explains.
    checkSeeds([](std::uint64_t seed, QuarantineOptions &options) {
        options.crashingParts = seed % 2 == 0 ? 2 : 5;
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture,
                 "promptPart_oneFirstPartOrManyRareOnes_isHeldAndOthersGoOn", "[routing]")
{
    // Guards against evidence that holds only for parts in moderate use.
    checkSeeds([](std::uint64_t seed, QuarantineOptions &options) {
        options.firstParts = seed % 2 == 0 ? 1 : 4;
        options.secondParts = seed % 2 == 0 ? 30 : 2000;
        options.innocentRun = Milliseconds{seed % 2 == 0 ? 200 : 1000};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptPart_sixtyRoutersWithRareUpdates_isHeld",
                 "[routing]")
{
    // Guards against reports that arrive late in other data centres of a large fleet.
    checkSeeds([](std::uint64_t, QuarantineOptions &options) {
        options.routers = 60;
        options.dataCentres = 4;
        options.upstreams = 24;
        options.maxReportDelay = Milliseconds{1500};
    });
}

TEST_CASE_METHOD(PartQuarantineModelFixture, "promptParts_noneCrashesUpstreams_areNotRefused",
                 "[routing]")
{
    // Guards against parts that are quarantined because upstreams crash for other reasons.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuarantineOptions options = optionsOf(seed);
        options.copyInterval = Milliseconds{1'000'000};
        options.crashInterval = Milliseconds{1000};
        options.innocentRun = Milliseconds{600};
        QuarantineModel model(seed, options);
        model.run();
        INFO("seed " << seed);
        CHECK(model.innocentRefusalShare() <= 0.01);
    }
}
