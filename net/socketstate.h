#pragma once

namespace plantainswitch::net {

/// \returns whether the peer has reset the connection of \a socket, also after the orderly end of
/// its side. The error is cleared.
[[nodiscard]] bool isReset(int socket) noexcept;
/// \returns whether the peer has acknowledged all bytes written to \a socket; true if the system
/// does not report it.
[[nodiscard]] bool isAcknowledged(int socket) noexcept;

} // namespace plantainswitch::net
