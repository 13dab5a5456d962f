#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/error.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/base/sharedmap.h"
#include "plantainswitch/catalogue/entry.h"

namespace plantainswitch {

/// An immutable view of the catalogue; a request uses one from beginning to end. The next view
/// shares all that an edit doesn't change.
struct CatalogueView
{
    SharedMap<std::string, DataClass> dataClasses;
    SharedMap<std::string, Workspace> workspaces;
    SharedMap<std::string, Service> services;
    /// Token hash to workspace names, so that look-up doesn't walk every workspace.
    SharedMap<std::uint64_t, std::vector<std::string>> workspacesByTokenHash;
    /// Highest version taken in.
    std::uint64_t version = 0;
};

/// How complete and how fresh a router's catalogue is.
struct CatalogueFreshness
{
    /// Every change up to this version is known.
    std::uint64_t completeVersion = 0;
    /// When the platform last confirmed that, if ever.
    std::optional<TimePoint> confirmedAt;
};

/// The catalogue in force on this router. Entries only move to higher versions.
class CatalogueTable
{
public:
    /// Takes each entry of \a batch that is newer than what is known.
    /// An old list of the platform or a peer that was cut off would otherwise turn an edit back,
    /// seen as data served in a place that was already forbidden. Comparing versions for each
    /// entry, tombstones included, is enough because the platform never reuses a version.
    /// \param batch of entries; the view changes once for all of them
    /// \returns how many were taken.
    std::size_t merge(const std::vector<Entry> &batch);

    /// Marks that every change up to \a version is known, and that the platform confirmed so at
    /// \a at, itself or through a peer. Neither ever goes back.
    void markComplete(std::uint64_t version, std::optional<TimePoint> at);
    /// Marks that a peer, complete to \a version, was fresh from the platform at \a at. Counts
    /// only when this table is complete to just there: a peer that knows less may have asked a
    /// platform that was set back.
    void markConfirmed(std::uint64_t version, TimePoint at);

    /// \returns the view in force, or nothing before any entry is known.
    [[nodiscard]] std::shared_ptr<const CatalogueView> view() const;
    /// \returns every entry with a version above \a version, tombstones included.
    [[nodiscard]] std::vector<Entry> entriesSince(std::uint64_t version) const;
    /// \returns how complete and how fresh the catalogue is.
    [[nodiscard]] CatalogueFreshness freshness() const;
    /// \returns the time since the catalogue was last confirmed; the longest if never.
    [[nodiscard]] Duration staleness(TimePoint now) const;
    /// \returns the entries whose newest version can't be read here.
    [[nodiscard]] std::vector<EntryKey> unreadable() const;

private:
    mutable RankedMutex mutex{LockRank::Catalogue};
    std::map<EntryKey, Entry> entries;
    std::shared_ptr<const CatalogueView> current;
    CatalogueFreshness currentFreshness;
};

/// What a caller may do, taken from one view of the catalogue.
struct Authorization
{
    std::string workspace;
    Workspace workspaceEntry;
    std::string service;
    Service serviceEntry;
    /// Places that both the workspace's and the service's data class permit.
    std::vector<std::string> dataCentres;
    std::uint64_t catalogueVersion = 0;
};

/// Admits a request.
/// \param view of the catalogue
/// \param token as the caller sent it, compared in constant time
/// \param service asked for
/// \param staleness time since the catalogue was last confirmed
/// \param reason receives why not
/// \returns the admission, or nothing.
[[nodiscard]] std::optional<Authorization> admit(const CatalogueView &view, std::string_view token,
                                                 std::string_view service, Duration staleness,
                                                 Reason &reason);

/// \returns whether \a admission permits \a place.
[[nodiscard]] bool permits(const Authorization &admission, std::string_view place) noexcept;

/// Compares in a time that depends on the lengths only.
[[nodiscard]] bool equalInConstantTime(std::string_view first, std::string_view second) noexcept;

} // namespace plantainswitch
