#pragma once

#include <functional>
#include <numeric>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "brittlemodel.h"

namespace plantainswitch {

class BrittleModelFixture
{
protected:
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

    /// \returns the first \a count seeds, and those that once exceeded the bound.
    static std::vector<std::uint64_t> seedsWith(std::uint64_t count,
                                                std::initializer_list<std::uint64_t> found)
    {
        std::vector<std::uint64_t> seeds(count);
        std::iota(seeds.begin(), seeds.end(), 1);
        seeds.insert(seeds.end(), found);
        return seeds;
    }

    /// Upstreams may crash twice, and once more for each ten of them, in one announced time.
    static void checkFalls(const std::function<void(BrittleOptions &)> &change,
                           const std::vector<std::uint64_t> &seeds = seedsWith(10, {}))
    {
        for (const std::uint64_t seed : seeds) {
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
