#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t fixedSeed = 20'261'202;
constexpr std::size_t rounds = 300;

class UpstreamPoolsFixture
{
protected:
    std::size_t below(std::size_t limit) { return this->random() % limit; }

    std::vector<Vm> randomList()
    {
        std::vector<Vm> vms;
        for (std::size_t number = 0; number < 20; ++number) {
            if (this->below(4) == 0) {
                continue;
            }
            Vm vm;
            vm.id = "vm-" + std::to_string(number);
            vm.role = this->below(5) == 0 ? VmRole::Router : VmRole::Engine;
            vm.service = "model-" + std::to_string(this->below(3));
            vm.dataCentre = "hall-" + std::to_string(this->below(3));
            vms.push_back(vm);
        }
        return vms;
    }

    std::mt19937_64 random{fixedSeed};
};

} // namespace

TEST_CASE_METHOD(UpstreamPoolsFixture, "upstreamPools_anyLists_matchAWalkOverAll", "[upstreams]")
{
    // VMs move between lists, services and data centres. Guards against a pool that keeps a VM of
    // an older list, which would send requests to a data centre that the VM has left, and against
    // one that misses a VM, which would stay idle.
    for (std::size_t round = 0; round < rounds; ++round) {
        UpstreamTable table;
        std::vector<Vm> vms;
        for (std::size_t list = 0; list < 3; ++list) {
            vms = this->randomList();
            table.replace(vms, TimePoint{Seconds{1}});
        }
        std::set<std::string> leaving;
        for (std::size_t each = this->below(4); each > 0 && !vms.empty(); --each) {
            const std::string id = vms[this->below(vms.size())].id;
            leaving.insert(id);
            table.markDraining(id, TimePoint{Seconds{1}});
        }
        for (const Vm &asked : vms) {
            std::set<std::string> wanted;
            for (const Vm &vm : vms) {
                if (vm.role != VmRole::Router && vm.service == asked.service
                    && vm.dataCentre == asked.dataCentre) {
                    wanted.insert(vm.id);
                }
            }
            for (const std::string &id : leaving) {
                wanted.erase(id);
            }
            std::set<std::string> found;
            for (const Upstream &each :
                 table.ready(asked.service, asked.dataCentre, TimePoint{Seconds{1}})) {
                found.insert(each.vm.id);
            }
            REQUIRE(found == wanted);
        }
    }
}

TEST_CASE("upstreamPools_unknownPool_isEmpty", "[upstreams]")
{
    const UpstreamTable table;
    CHECK(table.ready("model", "hall-a", TimePoint{}).empty());
}
