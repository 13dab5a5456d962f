#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/replica.h"

namespace plantainswitch {

/// Identifies a caller's stream in the fleet.
using StreamKey = std::uint64_t;
/// Identifies a software version of a service's upstreams in the fleet.
using VersionKey = std::uint64_t;
/// Identifies a process of a router in the fleet.
using RouterProcess = std::uint64_t;

/// \param attempt the caller's attempt that received the stream's first event
/// \returns the key of a stream. A caller that names an attempt of another workspace or service
/// gets the key of no stream.
[[nodiscard]] StreamKey streamKeyOf(std::string_view attempt, std::string_view workspace,
                                    std::string_view service) noexcept;
/// \returns the key of the upstream's software version. One that states no version has a version of
/// its own in each incarnation.
[[nodiscard]] VersionKey versionKeyOf(const Replica &replica) noexcept;

/// \returns the key of the process of a router that was started at \a incarnation.
[[nodiscard]] RouterProcess routerProcessOf(std::string_view router,
                                            std::uint64_t incarnation) noexcept;

/// The software version at which a stream began.
struct StreamOrigin
{
    StreamKey stream = 0;
    VersionKey version = 0;
    /// When no caller can take the stream up again.
    TimePoint expiresAt;
    /// The router whose caller receives the stream, and which passes its origin on; 0 if not known.
    RouterProcess owner = 0;
};

/// The origins of streams that this router began, and of those that others have reported.
///
/// Invariant: a stream goes on only at an upstream of the version that its origin names, and one
/// without a known origin does not go on. No moment and no order of messages weakens this: an
/// origin never changes, and the router that gives the caller the first event records the version
/// of the upstream that wrote it. A lost record costs the stream its continuation.
class StreamOriginTable
{
public:
    /// Records an origin. Two of one stream that differ are no origin.
    /// \returns whether that is new.
    bool record(const StreamOrigin &origin, TimePoint now);
    /// \returns the origin of a stream, if it is known.
    [[nodiscard]] std::optional<StreamOrigin> find(StreamKey stream, TimePoint now) const;
    /// Records that a caller of this router has received the whole stream. Its origin is kept, but
    /// not passed on.
    void complete(StreamKey stream);
    /// \returns the origins of streams that are not complete, of the owners that \a isWanted
    /// accepts.
    [[nodiscard]] std::vector<StreamOrigin>
    incompleteOf(const std::function<bool(RouterProcess)> &isWanted, TimePoint now) const;
    /// Removes the origins of streams that can't be taken up any more.
    void removeExpired(TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->origins.size(); }

private:
    struct Entry
    {
        VersionKey version = 0;
        TimePoint expiresAt;
        RouterProcess owner = 0;
        bool isContradicted = false;
        bool isComplete = false;
    };

    /// The streams of one owner. Those that were removed, or have another owner now, are counted,
    /// and removed once they are the larger part.
    struct OwnedStreams
    {
        std::vector<StreamKey> streams;
        std::size_t staleCount = 0;
    };

    void removeFirstExpiring();
    void changeOwner(StreamKey stream, Entry &entry, RouterProcess owner);
    /// Records that a stream is no longer one of \a owner's.
    void disown(RouterProcess owner);

    std::unordered_map<StreamKey, Entry> origins;
    std::unordered_map<RouterProcess, OwnedStreams> byOwner;
    /// Streams by the second before which they do not expire. An entry whose time was extended is
    /// in several of them.
    std::map<Seconds, std::vector<StreamKey>> byExpiry;
};

/// Number of origins above which those that expire first are removed; about 10 MB.
inline constexpr std::size_t maxStreamOrigins = 1 << 17;

/// Which upstreams a caller's stream may go on at.
enum class BindingState : std::uint8_t {
    /// The caller has no event yet: any.
    Free,
    /// Those of one version.
    Bound,
    /// The version that wrote the caller's events is unknown: none.
    Unknown,
};
[[nodiscard]] std::string_view nameOf(BindingState state) noexcept;

/// The caller's stream of one request, across the attempts at upstreams.
struct StreamState
{
    /// The stream's key, by the request that received the first event, or this one if none has.
    StreamKey key = 0;
    BindingState binding = BindingState::Free;
    /// The version to which the stream is bound.
    VersionKey version = 0;
    /// Version of the upstream of the current attempt; nothing if unknown.
    std::optional<VersionKey> currentVersion;
};

/// Binds a stream of which the caller has events to \a version.
void bindTo(StreamState &stream, std::optional<VersionKey> version) noexcept;
/// Records that events of the current attempt are given to the caller.
/// \returns whether the stream is bound to a version since then.
bool recordEvents(StreamState &stream) noexcept;
/// \returns whether the stream may go on, or begin, at the upstream.
[[nodiscard]] bool isPermitted(const StreamState &stream, const Replica &replica) noexcept;

/// How long an origin is kept after a caller who waits for \a timeBudget has received the first
/// event.
[[nodiscard]] Milliseconds originRetention(Milliseconds timeBudget) noexcept;

} // namespace plantainswitch
