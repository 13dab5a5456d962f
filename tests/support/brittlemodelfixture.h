#pragma once

#include <functional>
#include <random>

#include <catch2/catch.hpp>

#include "brittlemodel.h"

namespace plantainswitch {

class BrittleModelFixture
{
protected:
    static constexpr std::uint64_t seeds = 10;

    static BrittleOptions optionsOf(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        BrittleOptions options;
        options.routers = std::uniform_int_distribution<std::size_t>(6, 40)(random);
        options.upstreams = std::uniform_int_distribution<std::size_t>(3, 9)(random);
        options.slots = std::uniform_int_distribution<std::uint32_t>(4, 24)(random);
        options.waitingBefore = 2 * options.slots;
        options.waitingAfter = std::uniform_int_distribution<std::uint32_t>(0, 3)(random);
        options.maxRejections = std::uniform_int_distribution<std::uint32_t>(3, 12)(random);
        options.load = std::uniform_real_distribution<double>(0.9, 2.0)(random);
        return options;
    }

    /// Upstreams may crash twice, and once more for each ten of them, in one announced time.
    static void checkFalls(const std::function<void(BrittleOptions &)> &change)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            BrittleOptions options = optionsOf(seed);
            change(options);
            BrittleModel model(seed, options);
            model.run();
            INFO("seed " << seed << ", served " << model.served());
            CHECK(model.falls() <= 2 + options.upstreams / 10);
            CHECK(model.served() > 0);
        }
    }
};

} // namespace plantainswitch
