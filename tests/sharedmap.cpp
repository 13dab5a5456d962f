#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

using Plain = std::map<std::string, int>;
using Shared = SharedMap<std::string, int>;

Plain plainOf(const Shared &shared)
{
    Plain plain;
    std::string last;
    for (const auto &[key, value] : shared) {
        RC_ASSERT(plain.empty() || last < key);
        last = key;
        plain.emplace(key, value);
    }
    return plain;
}

} // namespace

TEST_CASE("sharedMap_anyEdits_everyCopyStaysAsItWasTaken", "[sharedmap]")
{
    // A request holds a snapshot while edits go on. A node changed in place would show it half of a
    // later edit: a workspace's new data class under the old snapshot's version.
    CHECK(rc::check([] {
        Plain plain;
        Shared shared;
        std::vector<std::pair<Plain, Shared>> copies;
        const auto edits = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 4)));
        for (const auto &[number, value] : edits) {
            const std::string key = std::to_string(number);
            if (value == 0) {
                plain.erase(key);
                shared.erase(key);
            } else {
                plain[key] = value;
                shared.set(key, value);
            }
            RC_ASSERT(shared.contains(key) == plain.contains(key));
            RC_ASSERT(shared.empty() == plain.empty());
            copies.emplace_back(plain, shared);
        }
        for (const auto &[expected, copy] : copies) {
            RC_ASSERT(plainOf(copy) == expected);
        }
    }));
}
