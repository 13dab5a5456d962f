#pragma once

#include <chrono>

namespace plantainswitch::net {

/// How long after the end of a response without a length its connection may still be reset, because
/// the server has closed it without reading the whole request: some round trips.
inline constexpr std::chrono::milliseconds resetGrace{10};

/// \returns whether the peer has reset the connection of \a socket, also after the orderly end of
/// its side. The error is cleared.
[[nodiscard]] bool isReset(int socket) noexcept;
/// \returns whether the peer has acknowledged all bytes written to \a socket; true if the system
/// does not report it.
[[nodiscard]] bool isAcknowledged(int socket) noexcept;

} // namespace plantainswitch::net
