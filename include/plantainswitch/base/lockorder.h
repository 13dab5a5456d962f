#pragma once

#include <mutex>

namespace plantainswitch {

/// Lock order of the shared tables, defined only here: a thread acquires locks in rising rank.
enum class LockRank : int {
    Requests = 10,
    Queues = 15,
    Catalogue = 20,
    Members = 30,
    Vms = 35,
    Upstreams = 40,
    Limits = 50,
    Slots = 60,
    ShardCoordinator = 70,
    Claims = 80,
    Suspects = 90,
    Explain = 100,
    Metrics = 110,
};

/// A mutex with a rank. A wrong lock order would deadlock only under rare timing, and the router
/// would then answer nothing. Debug builds abort at the first wrong order whatever the timing, and
/// every test runs as a debug build.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank) noexcept
        : rank(rank)
    {}
    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;

    void lock();
    void unlock();

private:
    std::mutex mutex;
    LockRank rank;
    int previous = 0;
};

using RankedLock = std::lock_guard<RankedMutex>;

} // namespace plantainswitch
