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

/// Immutable snapshot of the catalogue; a request uses one from beginning to end. Successive
/// snapshots share all that an edit doesn't change.
struct CatalogueView
{
    SharedMap<std::string, DataClass> dataClasses;
    SharedMap<std::string, Workspace> workspaces;
    SharedMap<std::string, Service> services;
    /// Token hash to workspace names, so that a look-up doesn't scan every workspace.
    SharedMap<std::uint64_t, std::vector<std::string>> workspacesByTokenHash;
    /// Highest version merged.
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

/// Thread-safe catalogue in force on this router. Entries only move to higher versions.
class CatalogueTable
{
public:
    /// Merges each entry of \a batch that is newer than the known one. Otherwise a stale list of
    /// the platform, or a peer that was cut off, would revert an edit, and data would be served in
    /// a data centre that is already forbidden. Comparing versions per entry, tombstones included,
    /// is enough because the platform never reuses a version.
    /// \param batch entries; the snapshot changes once for all of them
    /// \returns the number of merged entries.
    std::size_t merge(const std::vector<Entry> &batch);

    /// Records that every change up to \a version is known, and that the platform confirmed this at
    /// \a at, directly or through a peer. Neither value ever decreases.
    void markComplete(std::uint64_t version, std::optional<TimePoint> at);
    /// Records that a peer, complete to \a version, was confirmed by the platform at \a at. Counts
    /// only when this table is complete to exactly that version: a peer that knows less may have
    /// used a platform that was rolled back.
    void markConfirmed(std::uint64_t version, TimePoint at);

    /// \returns the snapshot in force, or null before any entry is known.
    [[nodiscard]] std::shared_ptr<const CatalogueView> view() const;
    /// \returns every entry with a version above \a version, tombstones included.
    [[nodiscard]] std::vector<Entry> entriesSince(std::uint64_t version) const;
    /// \returns how complete and how fresh the catalogue is.
    [[nodiscard]] CatalogueFreshness freshness() const;
    /// \returns the time since the catalogue was last confirmed; Duration::max() if never.
    [[nodiscard]] Duration staleness(TimePoint now) const;
    /// \returns the entries whose newest version can't be parsed here.
    [[nodiscard]] std::vector<EntryKey> unreadable() const;

private:
    mutable RankedMutex mutex{LockRank::Catalogue};
    std::map<EntryKey, Entry> entries;
    std::shared_ptr<const CatalogueView> current;
    CatalogueFreshness currentFreshness;
};

/// Permissions of a caller, from one snapshot of the catalogue.
struct Authorization
{
    std::string workspace;
    Workspace workspaceEntry;
    std::string service;
    Service serviceEntry;
    /// Data centres that both the workspace's and the service's data class permit.
    std::vector<std::string> dataCentres;
    std::uint64_t catalogueVersion = 0;
};

/// Authorizes a request.
/// \param view the catalogue
/// \param token as sent by the caller, compared in constant time
/// \param service requested service
/// \param staleness time since the catalogue was last confirmed
/// \param reason receives why not
/// \returns the authorization, or nothing.
[[nodiscard]] std::optional<Authorization> admit(const CatalogueView &view, std::string_view token,
                                                 std::string_view service, Duration staleness,
                                                 Reason &reason);

/// \returns whether \a authorization permits \a dataCentre.
[[nodiscard]] bool permits(const Authorization &authorization,
                           std::string_view dataCentre) noexcept;

/// Compares in a time that depends on the lengths only.
[[nodiscard]] bool equalInConstantTime(std::string_view first, std::string_view second) noexcept;

} // namespace plantainswitch
