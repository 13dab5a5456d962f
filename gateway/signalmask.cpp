#include "signalmask.h"

namespace plantainswitch::gateway {

namespace {

void changeMask(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : handledSignals) {
        sigaddset(&handled, signal);
    }
    pthread_sigmask(how, &handled, nullptr);
}

} // namespace

void blockHandledSignals()
{
    changeMask(SIG_BLOCK);
}

void unblockHandledSignals()
{
    changeMask(SIG_UNBLOCK);
}

} // namespace plantainswitch::gateway
