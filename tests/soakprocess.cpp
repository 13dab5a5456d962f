#include <csignal>

#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include "process.h"

using namespace plantainswitch;

namespace {

/// Starts /bin/true, which ignores its arguments and exits at once.
class SoakProcessFixture
{
protected:
    static std::string outcomeOf(soak::RouterProcess &process)
    {
        auto outcome = process.reap();
        while (!outcome) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
            outcome = process.reap();
        }
        return *outcome;
    }

    soak::RouterProcess process{"/bin/true", "none", "/dev/null"};
};

} // namespace

// Guards against a SIGHUP that ends a router between its fork and the blocking of signals.
TEST_CASE_METHOD(SoakProcessFixture, "process_reloadRightAfterItsStart_isNotEndedByIt", "[soak]")
{
    constexpr int starts = 200;
    for (int i = 0; i < starts; ++i) {
        this->process.start();
        this->process.signal(SIGHUP);
        REQUIRE(outcomeOf(this->process) == "exit 0");
    }
}
