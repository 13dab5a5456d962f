#include "socketstate.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace plantainswitch::net {

bool isReset(int socket) noexcept
{
    int error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

bool isAcknowledged(int socket) noexcept
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

} // namespace plantainswitch::net
