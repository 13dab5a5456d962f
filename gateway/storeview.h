#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Where routers hand out what they know of the store.
inline constexpr std::string_view storeViewPath = "/fleet/store";

/// What a router that asks for a view knows already.
struct StoreViewQuery
{
    /// Up to which it has heard of changes of upstreams.
    std::uint64_t revision = 0;
    /// The version of its routing configuration.
    std::uint64_t configVersion = 0;
};

/// \returns path and query that ask \a question.
[[nodiscard]] std::string storeViewTarget(const StoreViewQuery &question);
/// \returns the question that \a target asks, or nothing when it is not of a view.
[[nodiscard]] std::optional<StoreViewQuery> parseStoreViewQuery(std::string_view target);

/// \returns the part of \a view that is newer than \a question: one line of JSON for the upstreams,
/// then the routing configuration as it came from the store.
/// \param configVersion of the view's routing configuration
[[nodiscard]] std::string serializeStoreView(const StoreView &view, std::uint64_t configVersion,
                                             const StoreViewQuery &question);
/// \returns the view that \a text holds, or nothing.
[[nodiscard]] std::optional<StoreView> parseStoreView(std::string_view text);

/// Notes an upstream's entry in \a view as of \a revision; an unchanged one keeps its older
/// revision.
void recordReplica(StoreView &view, const std::string &name, const std::string &document,
                   std::uint64_t revision);
/// Notes that all changes up to \a revision were heard. While \a directory keeps entries that may
/// have lapsed, the view stays at what it told before: a router that heard of the newer revision
/// here would take it that nobody is gone, and never hear of those removals.
void advanceRevision(StoreView &view, std::uint64_t revision, const ReplicaDirectory &directory);
/// \returns whether objects as of \a revision are older than what \a view has heard: a list or
/// another router's answer that was asked for earlier and came late. Taken, they would undo a
/// leaving that is known, here and, sent as an update, at others, until the upstream's entry is
/// removed.
[[nodiscard]] bool isStale(const StoreView &view, std::uint64_t revision) noexcept;
/// Notes that an upstream is gone.
/// \param heard the store's revision up to which this router has heard of changes
void recordRemoval(StoreView &view, const std::string &name, std::uint64_t heard);

/// Views of the store from this size on are handed to mostLargeViews routers at once. Twenty that
/// all take half a megabyte over one thin link run into their time-outs together; who is refused
/// asks another one, and each that has got it hands it on.
inline constexpr std::size_t largeViewBytes = 64 << 10;
inline constexpr std::size_t maxConcurrentLargeViews = 2;

/// Bounds how many large views are on their way at once.
class StoreViewLimiter
{
public:
    /// \returns whether a view of \a size may be handed out now.
    /// \param hasLeft whether its bytes have left, or its taker
    bool tryBegin(std::size_t size, std::function<bool()> hasLeft);

private:
    std::vector<std::function<bool()>> transfers;
};

} // namespace plantainswitch::gateway
