#pragma once

#include <array>
#include <csignal>

namespace plantainswitch::gateway {

/// Signals that a router handles: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
inline constexpr std::array handledSignals{SIGTERM, SIGINT, SIGHUP};

/// Blocks the handled signals in this thread; they stay pending. Before the handlers are installed
/// and after they are destroyed, the default disposition would terminate the router: a stop
/// requested at its start, or a reload at its end, would look like a crash.
void blockHandledSignals();
/// Unblocks the handled signals, which delivers pending ones.
void unblockHandledSignals();

} // namespace plantainswitch::gateway
