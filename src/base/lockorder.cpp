#include "plantainswitch/base/lockorder.h"

#include <cassert>

namespace plantainswitch {

namespace {

thread_local int highestHeld = 0;

} // namespace

void RankedMutex::lock()
{
    assert(highestHeld < static_cast<int>(this->rank) && "locks taken out of order");
    this->mutex.lock();
    this->previous = highestHeld;
    highestHeld = static_cast<int>(this->rank);
}

void RankedMutex::unlock()
{
    highestHeld = this->previous;
    this->mutex.unlock();
}

} // namespace plantainswitch
