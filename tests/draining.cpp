#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

Vm engineOf(bool leaving, std::uint64_t started = 0)
{
    return {"engine", VmRole::Engine, "model", "hall-a", {"127.0.0.1", 1}, leaving, started};
}

class LeavingFixture
{
protected:
    [[nodiscard]] bool serves() const
    {
        return !this->table.ready("model", "hall-a", this->clock.now()).empty();
    }
    void list(const std::vector<Vm> &vms) { this->table.replace(vms, this->clock.now()); }

    ManualClock clock;
    UpstreamTable table;
};

/// A wrong implementation that doesn't track draining upstreams, to check that the property detects
/// it.
class ForgetfulTable
{
public:
    void replace(const std::vector<Vm> &vms, TimePoint now)
    {
        this->table = std::make_unique<UpstreamTable>();
        this->table->replace(vms, now);
    }
    void markDraining(const std::string &id, TimePoint now) { this->table->markDraining(id, now); }
    [[nodiscard]] std::vector<Upstream> ready(std::string_view service, std::string_view place,
                                              TimePoint now) const
    {
        return this->table->ready(service, place, now);
    }

private:
    std::unique_ptr<UpstreamTable> table = std::make_unique<UpstreamTable>();
};

/// Applies stale and flapping lists after a VM has reported that it is draining.
/// \returns whether it ever got work again within its incarnation.
template<typename Table>
bool worksAfterLeaving(const std::vector<std::uint32_t> &steps)
{
    ManualClock clock;
    Table table;
    table.replace({engineOf(false)}, clock.now());
    table.markDraining("engine", clock.now());
    for (const std::uint32_t step : steps) {
        clock.advance(Milliseconds{100 * (step % 10)});
        const bool listed = step % 3 != 0;
        table.replace(listed ? std::vector<Vm>{engineOf(step % 4 == 0)} : std::vector<Vm>{},
                      clock.now());
        if (!table.ready("model", "hall-a", clock.now()).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("leaving_anyLaggingLists_getNoWorkAgain", "[leaving]")
{
    // An engine reports that it is draining, while the platform's stale list still shows it as
    // ready, drops it and shows it again. Guards against sending requests that would be cut off
    // when the VM stops.
    const bool held = rc::check("no work after leaving", [] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 1000));
        RC_PRE(steps.size() < 60);
        RC_ASSERT_FALSE(worksAfterLeaving<UpstreamTable>(steps));
    });
    CHECK(held);
    CHECK(worksAfterLeaving<ForgetfulTable>({1, 2, 5}));
}

TEST_CASE_METHOD(LeavingFixture, "leaving_noticeBeforeList_sticks", "[leaving]")
{
    // A router's notice arrives before the list that first shows the VM.
    this->table.markDraining("engine", this->clock.now());
    this->list({engineOf(false, 5)});
    CHECK_FALSE(this->serves());
}

TEST_CASE_METHOD(LeavingFixture, "leaving_newLife_servesAgain", "[leaving]")
{
    this->list({engineOf(true, 1)});
    this->list({engineOf(false, 1)});
    CHECK_FALSE(this->serves());
    this->list({engineOf(false, 2)});
    CHECK(this->serves());
}

TEST_CASE_METHOD(LeavingFixture, "leaving_longOffTheList_servesAgain", "[leaving]")
{
    this->list({engineOf(true)});
    this->list({});
    this->clock.advance(newIncarnationAfter + Seconds{1});
    this->list({engineOf(false)});
    CHECK(this->serves());
}

TEST_CASE_METHOD(LeavingFixture, "leaving_heardTwice_isToldOnce", "[leaving]")
{
    this->list({engineOf(false)});
    this->table.markDraining("engine", this->clock.now());
    this->table.markDraining("engine", this->clock.now());
    CHECK(this->table.takeNewlyDraining().size() == 1);
    CHECK(this->table.takeNewlyDraining().empty());
}
