#include <functional>

#include <catch2/catch.hpp>

#include "quarantinemodel.h"

using namespace plantainswitch;

// A model of many routers before the upstreams of one service. Copies of one request crash each
// upstream that runs them; other requests are innocent. Reports between routers are delayed and
// lost, routers restart, one by one or all at once, and data centres are cut off from each other.

namespace {

class CrashQuarantineModelFixture
{
protected:
    static constexpr std::uint64_t seeds = 100;

    /// \returns options that vary with the seed.
    static QuarantineOptions optionsOf(std::uint64_t seed)
    {
        QuarantineOptions options;
        options.dataCentres = 2 + seed % 3;
        options.routers = options.dataCentres * (1 + seed % 4);
        options.upstreams = options.dataCentres * (1 + seed % 3);
        options.reportLoss = 0.05 * static_cast<double>(seed % 3);
        options.copyInterval = Milliseconds{50 + 150 * static_cast<int>(seed % 5)};
        return options;
    }

    /// Runs the model with the options of each seed, changed by \a change, and checks the bound of
    /// late attempts.
    static void checkBound(const std::function<void(std::uint64_t, QuarantineOptions &)> &change)
    {
        forEachSeed(change, [](const QuarantineModel &model) {
            CHECK(model.lateAttempts() <= maxLateAttempts);
        });
    }

    /// The same, and checks that innocent requests are mostly served.
    static void
    checkInnocents(const std::function<void(std::uint64_t, QuarantineOptions &)> &change,
                   const std::function<void(const QuarantineModel &)> &checkMore)
    {
        forEachSeed(change, [&checkMore](const QuarantineModel &model) {
            checkMore(model);
            CHECK(model.innocentRefusalShare() <= 0.05);
            // A record that nobody removes quarantines its request again at the next two crashes.
            CHECK(model.innocentRecords() == 0);
        });
    }

    /// Changes options to upstreams that crash for reasons of their own, and long requests.
    static void crashByThemselves(std::uint64_t, QuarantineOptions &options)
    {
        options.copyInterval = Milliseconds{1'000'000};
        options.upstreams = 8;
        options.crashInterval = Milliseconds{700};
        options.innocentRun = Milliseconds{150};
    }

    /// Runs the model with the options of one seed, changed by \a change, and calls \a check.
    static void runSeed(std::uint64_t seed,
                        const std::function<void(std::uint64_t, QuarantineOptions &)> &change,
                        const std::function<void(const QuarantineModel &)> &check)
    {
        QuarantineOptions options = optionsOf(seed);
        change(seed, options);
        QuarantineModel model(seed, options);
        model.run();
        INFO("seed " << seed << ", crashes " << model.crashes());
        check(model);
    }

private:
    static void forEachSeed(const std::function<void(std::uint64_t, QuarantineOptions &)> &change,
                            const std::function<void(const QuarantineModel &)> &check)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            runSeed(seed, change, check);
        }
    }
};

} // namespace

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_copiesOnManyUpstreamsAtOnce_lateAttemptsStayWithinBound",
                 "[routing]")
{
    // Guards against a crashing request that goes on reaching upstreams because crashes of several
    // copies at the same time, or of runs that were given up, do not count against it.
    checkBound([](std::uint64_t, QuarantineOptions &) {});
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_routersRestartOneByOne_lateAttemptsStayWithinBound", "[routing]")
{
    // Guards against routers that forget a crashing request when they restart.
    checkBound([](std::uint64_t, QuarantineOptions &options) {
        options.restartInterval = Milliseconds{700};
    });
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_allRoutersKilled_lateAttemptsStayWithinBound", "[routing]")
{
    // Guards against a fleet that forgets what crashes upstreams when all routers are killed.
    checkBound([](std::uint64_t seed, QuarantineOptions &options) {
        options.killAllAt = Milliseconds{15000 + 100 * static_cast<int>(seed)};
    });
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_dataCentresCutOff_lateAttemptsStayWithinBound", "[routing]")
{
    // Guards against two parts of the fleet that each count crashes and admit trials on their own.
    checkBound([](std::uint64_t seed, QuarantineOptions &options) {
        options.cutAt = Milliseconds{500 + 50 * static_cast<int>(seed)};
    });
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_innocentRequestsBesideCrashes_areServedAgainSoon", "[routing]")
{
    // Guards against a quarantine that keeps an innocent request from being served, because it ran
    // on upstreams that another one crashed, or that lost power together.
    constexpr Seconds longestRefusal{3};
    checkInnocents(
        [](std::uint64_t, QuarantineOptions &options) { options.outageAt = Milliseconds{20000}; },
        [longestRefusal](const QuarantineModel &model) {
            CHECK(model.longestInnocentRefusal() <= longestRefusal);
        });
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_noUpstreamAtTheFirstTrial_isTriedAgainByAllRouters", "[routing]")
{
    // Guards against routers that hold an innocent request for as long as after a second trial,
    // because the first one, of another router, found no upstream.
    const std::uint64_t seed = GENERATE(355, 1330, 1390, 1975);
    runSeed(
        seed,
        [](std::uint64_t, QuarantineOptions &options) { options.outageAt = Milliseconds{20000}; },
        [](const QuarantineModel &model) { CHECK(model.longestInnocentRefusal() <= Seconds{3}); });
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_longRequestsOnCrashingUpstreams_areMostlyServed", "[routing]")
{
    // Guards against innocent requests, of which many copies run for long on upstreams that crash
    // for reasons of their own, that are quarantined again and again by what routers and the store
    // remember of an earlier quarantine.
    checkInnocents(crashByThemselves, [](const QuarantineModel &) {});
}

TEST_CASE_METHOD(CrashQuarantineModelFixture,
                 "crashQuarantine_answeredWhileItsRecordIsMarked_leavesNoRecord", "[routing]")
{
    // Guards against records that nobody removes: the request was answered after its third crash
    // was counted and before the store was called, or before a router that did not know of the
    // answer wrote the record for a trial.
    const std::uint64_t seed = GENERATE(3818, 4378, 5824);
    runSeed(seed, crashByThemselves,
            [](const QuarantineModel &model) { CHECK(model.innocentRecords() == 0); });
}
