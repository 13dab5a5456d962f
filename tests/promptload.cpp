#include <catch2/catch.hpp>

#include "promptload.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

/// Three seeds: one lucky run proves nothing.
constexpr std::uint64_t seeds = 3;

class PromptLoadFixture
{
protected:
    PromptLoadResult play(std::uint64_t seed)
    {
        this->load.seed = seed;
        return playPromptLoad(this->load, SelectionPolicy{});
    }

    /// Plays all seeds: hardly a token is read twice, and no engine holds more than its bound.
    void checkReadOnce()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const PromptLoadResult result = this->play(seed);
            CHECK(result.readAgainTokens < 0.02 * result.readTokens);
            CHECK(result.highestAboveBound < 0.0);
        }
    }

    PromptLoad load;
};

} // namespace

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_returningHistories_areReadOnce", "[routing]")
{
    // 120 histories of 6,100 tokens fill most of the memory of nine engines, and each comes back
    // every few seconds. Reading one anew delays all others on its engine by 55 ms. What spills
    // over from a full engine goes to the chain's next one, which copies it: chosen by load alone,
    // the same chains were in so many engines that 600,000 tokens were read again for want of room.
    this->checkReadOnce();
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_oneHistoryOfAThird_isCopiedNotReadAgain",
                 "[routing]")
{
    // A third of all requests ask for one history, more than one engine may hold at once.
    this->load.hotShare = 0.3;
    this->checkReadOnce();
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_enginesReplaced_onlyTheirOwnIsReadAgain",
                 "[routing]")
{
    // Nine engines vanish one after the other and empty ones take their place. What only a lost one
    // had must be read again, some 90,000 tokens each; the empty ones copy what others still have.
    this->load.replaced = 9;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const PromptLoadResult result = this->play(seed);
        CHECK(result.readAgainTokens < 9 * 90'000.0);
        CHECK(result.copiedTokens > result.readAgainTokens);
    }
}

TEST_CASE_METHOD(PromptLoadFixture, "promptLoad_sameSeed_givesTheSame", "[routing]")
{
    const PromptLoadResult first = this->play(7);
    const PromptLoadResult second = this->play(7);
    CHECK(first.readTokens == second.readTokens);
    CHECK(first.p99FirstToken == second.p99FirstToken);
}
