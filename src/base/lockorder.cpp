#include "plantainswitch/base/lockorder.h"

#include <cassert>

namespace plantainswitch {

namespace {

thread_local int highestHeldRank = 0;

} // namespace

void RankedMutex::lock()
{
    assert(highestHeldRank < static_cast<int>(this->rank) && "locks taken out of order");
    this->mutex.lock();
    this->previous = highestHeldRank;
    highestHeldRank = static_cast<int>(this->rank);
}

void RankedMutex::unlock()
{
    highestHeldRank = this->previous;
    this->mutex.unlock();
}

} // namespace plantainswitch
