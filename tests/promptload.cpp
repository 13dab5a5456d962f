#include <catch2/catch.hpp>

#include "promptload.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

/// Several seeds, because a single run may pass by chance.
constexpr std::uint64_t seeds = 3;

class PromptLoadFixture
{
protected:
    PromptLoadResult run(std::uint64_t seed)
    {
        this->load.seed = seed;
        return playPromptLoad(this->load, SelectionPolicy{});
    }

    /// Runs all seeds. At most 2% of the tokens may be prefilled again, and no engine may exceed
    /// its load bound.
    void checkPrefilledOnce()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const PromptLoadResult result = this->run(seed);
            CHECK(result.readAgainTokens < 0.02 * result.readTokens);
            CHECK(result.highestAboveBound < 0.0);
        }
    }

    PromptLoad load;
};

} // namespace

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_returningHistories_areReadOnce", "[routing]")
{
    // 120 histories of 6,100 tokens fill most of the cache of nine engines, and each recurs every
    // few seconds. Prefilling one again delays all other requests on its engine by 55 ms. Requests
    // that overflow a full engine go to the next engine of their preference list, which copies the
    // cache. Guards against choosing the overflow engine by load alone: the same prefixes were then
    // cached on so many engines that 600,000 tokens were evicted and prefilled again.
    this->checkPrefilledOnce();
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_oneHistoryOfAThird_isCopiedNotReadAgain",
                 "[routing]")
{
    // A third of all requests share one history, more than one engine's load bound allows.
    this->load.hotShare = 0.3;
    this->checkPrefilledOnce();
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_enginesReplaced_onlyTheirOwnIsReadAgain",
                 "[routing]")
{
    // Nine engines are replaced one after the other by empty ones. Only what no other engine has
    // cached may be prefilled again, some 90,000 tokens each; the rest has to be copied.
    this->load.replaced = 9;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const PromptLoadResult result = this->run(seed);
        CHECK(result.readAgainTokens < 9 * 90'000.0);
        CHECK(result.copiedTokens > result.readAgainTokens);
    }
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_sameSeed_givesTheSame", "[routing]")
{
    const PromptLoadResult first = this->run(7);
    const PromptLoadResult second = this->run(7);
    CHECK(first.readTokens == second.readTokens);
    CHECK(first.p99FirstToken == second.p99FirstToken);
}
