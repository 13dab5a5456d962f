#pragma once

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Path under which routers serve their view of the store.
inline constexpr std::string_view storeViewPath = "/fleet/store";

/// What the querying router already knows.
struct StoreViewQuery
{
    /// Revision up to which it knows all changes of upstreams.
    std::uint64_t revision = 0;
    /// The version of its routing configuration.
    std::uint64_t configVersion = 0;
};

/// Value of a query's revision or version that nothing is newer than: that part is not requested.
inline constexpr std::uint64_t notRequested = std::numeric_limits<std::uint64_t>::max();

/// \returns path and query of a request for \a query.
[[nodiscard]] std::string storeViewTarget(const StoreViewQuery &query);
/// \returns the query in \a target, or nothing if it is not a request for a store view.
[[nodiscard]] std::optional<StoreViewQuery> parseStoreViewQuery(std::string_view target);

/// \returns the part of \a view that is newer than \a query: one line of JSON for the upstreams,
/// followed by the routing configuration as received from the store.
/// \param configVersion version of the view's routing configuration
[[nodiscard]] std::string serializeStoreView(const StoreView &view, std::uint64_t configVersion,
                                             const StoreViewQuery &query);
/// \returns the view in \a text, or nothing if it is malformed.
[[nodiscard]] std::optional<StoreView> parseStoreView(std::string_view text);

/// Records an upstream's entry in \a view as of \a revision. An unchanged entry keeps its older
/// revision.
void recordReplica(StoreView &view, const std::string &name, const std::string &document,
                   std::uint64_t revision);
/// Records that all changes up to \a revision are known. While \a directory retains entries that
/// may have lapsed, the view's revision does not advance: a router that read the newer revision
/// here would assume that no upstream was removed, and would never learn of those removals.
void advanceRevision(StoreView &view, std::uint64_t revision, const ReplicaDirectory &directory);
/// \returns whether objects as of \a revision are older than what \a view holds, because a list or
/// another router's response was requested earlier and arrived late. Applying them would undo the
/// draining of an upstream, here and by updates on other routers, until its entry is removed.
[[nodiscard]] bool isStale(const StoreView &view, std::uint64_t revision) noexcept;
/// Records that an upstream was removed.
/// \param knownRevision the store's revision up to which this router knows all changes
void recordRemoval(StoreView &view, const std::string &name, std::uint64_t knownRevision);

/// Size from which a view is large, and how many large views are sent at once. When twenty routers
/// fetch half a megabyte each over one slow link, all of them time out. A refused router asks
/// another one, and each that has got the view serves it in turn.
inline constexpr std::size_t largeViewBytes = 64 << 10;
inline constexpr std::size_t maxConcurrentLargeViews = 2;

/// Bounds the number of large views that are sent at the same time.
class StoreViewLimiter
{
public:
    /// \returns whether a view of \a size bytes may be sent now.
    /// \param isTransferDone returns whether all its bytes were sent or its receiver has
    /// disconnected
    bool tryBegin(std::size_t size, std::function<bool()> isTransferDone);

private:
    std::vector<std::function<bool()>> transfers;
};

} // namespace plantainswitch::gateway
