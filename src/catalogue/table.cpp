#include "plantainswitch/catalogue/table.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

template<typename Body>
void putBody(SharedMap<std::string, Body> &bodies, const Entry &entry)
{
    const Body *body = entry.body ? std::get_if<Body>(&*entry.body) : nullptr;
    if (body == nullptr) {
        bodies.erase(entry.key.name);
        return;
    }
    bodies.set(entry.key.name, *body);
}

void removeToken(CatalogueView &view, const std::string &workspace)
{
    const Workspace *known = view.workspaces.find(workspace);
    if (known == nullptr) {
        return;
    }
    const std::uint64_t hash = hashOf(known->token);
    std::vector<std::string> names = view.workspacesByTokenHash.at(hash);
    std::erase(names, workspace);
    if (names.empty()) {
        view.workspacesByTokenHash.erase(hash);
    } else {
        view.workspacesByTokenHash.set(hash, std::move(names));
    }
}

void addToken(CatalogueView &view, const std::string &workspace)
{
    const Workspace *known = view.workspaces.find(workspace);
    if (known == nullptr) {
        return;
    }
    const std::uint64_t hash = hashOf(known->token);
    const std::vector<std::string> *others = view.workspacesByTokenHash.find(hash);
    std::vector<std::string> names = others == nullptr ? std::vector<std::string>{} : *others;
    names.push_back(workspace);
    std::sort(names.begin(), names.end());
    view.workspacesByTokenHash.set(hash, std::move(names));
}

void putEntry(CatalogueView &view, const Entry &entry)
{
    switch (entry.key.kind) {
    case EntryKind::DataClass:
        putBody(view.dataClasses, entry);
        break;
    case EntryKind::Workspace:
        removeToken(view, entry.key.name);
        putBody(view.workspaces, entry);
        addToken(view, entry.key.name);
        break;
    case EntryKind::Service:
        putBody(view.services, entry);
        break;
    }
}

const Workspace *findWorkspace(const CatalogueView &view, std::string_view token, std::string &name)
{
    const std::vector<std::string> *names = view.workspacesByTokenHash.find(hashOf(token));
    if (names == nullptr) {
        return nullptr;
    }
    for (const std::string &each : *names) {
        const Workspace *found = view.workspaces.find(each);
        if (found != nullptr && equalInConstantTime(found->token, token)) {
            name = each;
            return found;
        }
    }
    return nullptr;
}

bool isTooStale(const DataClass &dataClass, Duration staleness) noexcept
{
    return dataClass.maxStaleSeconds != 0 && staleness > Seconds{dataClass.maxStaleSeconds};
}

} // namespace

std::size_t CatalogueTable::merge(const std::vector<Entry> &batch)
{
    const RankedLock lock(this->mutex);
    std::size_t mergedCount = 0;
    auto next = this->current ? std::make_shared<CatalogueView>(*this->current)
                              : std::make_shared<CatalogueView>();
    for (const Entry &entry : batch) {
        Entry &known = this->entries[entry.key];
        if (known.version >= entry.version) {
            continue;
        }
        ++mergedCount;
        next->version = std::max(next->version, entry.version);
        if (entry.unreadableText && !entry.body) {
            // The last version that could be parsed stays in force until this one is corrected.
            known.key = entry.key;
            known.version = entry.version;
            known.unreadableText = entry.unreadableText;
            continue;
        }
        known = entry;
        putEntry(*next, entry);
    }
    if (mergedCount > 0) {
        this->current = std::move(next);
    }
    return mergedCount;
}

void CatalogueTable::markComplete(std::uint64_t version, std::optional<TimePoint> at)
{
    const RankedLock lock(this->mutex);
    this->currentFreshness.completeVersion =
        std::max(this->currentFreshness.completeVersion, version);
    if (at && version >= this->currentFreshness.completeVersion
        && (!this->currentFreshness.confirmedAt || *this->currentFreshness.confirmedAt < *at)) {
        this->currentFreshness.confirmedAt = at;
    }
}

void CatalogueTable::markConfirmed(std::uint64_t version, TimePoint at)
{
    const RankedLock lock(this->mutex);
    if (version == this->currentFreshness.completeVersion
        && (!this->currentFreshness.confirmedAt || *this->currentFreshness.confirmedAt < at)) {
        this->currentFreshness.confirmedAt = at;
    }
}

std::shared_ptr<const CatalogueView> CatalogueTable::view() const
{
    const RankedLock lock(this->mutex);
    return this->current;
}

std::vector<Entry> CatalogueTable::entriesSince(std::uint64_t version) const
{
    const RankedLock lock(this->mutex);
    std::vector<Entry> result;
    for (const auto &[key, entry] : this->entries) {
        if (entry.version > version) {
            result.push_back(entry);
        }
    }
    return result;
}

CatalogueFreshness CatalogueTable::freshness() const
{
    const RankedLock lock(this->mutex);
    return this->currentFreshness;
}

Duration CatalogueTable::staleness(TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return this->currentFreshness.confirmedAt ? now - *this->currentFreshness.confirmedAt
                                              : Duration::max();
}

std::vector<EntryKey> CatalogueTable::unreadable() const
{
    const RankedLock lock(this->mutex);
    std::vector<EntryKey> result;
    for (const auto &[key, entry] : this->entries) {
        if (entry.unreadableText) {
            result.push_back(key);
        }
    }
    return result;
}

std::optional<Authorization> admit(const CatalogueView &view, std::string_view token,
                                   std::string_view service, Duration staleness, Reason &reason)
{
    Authorization authorization;
    const Workspace *workspace = findWorkspace(view, token, authorization.workspace);
    if (workspace == nullptr) {
        reason = {ErrorKind::Unauthorized, "", std::nullopt};
        return std::nullopt;
    }
    const Service *found = view.services.find(service);
    if (found == nullptr) {
        reason = {ErrorKind::NotFound, "service " + std::string(service), std::nullopt};
        return std::nullopt;
    }
    const auto &allowed = workspace->services;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end()) {
        reason = {ErrorKind::NotPermitted, "service " + std::string(service), std::nullopt};
        return std::nullopt;
    }
    const DataClass *workspaceClass = view.dataClasses.find(workspace->dataClass);
    const DataClass *serviceClass = view.dataClasses.find(found->dataClass);
    if (workspaceClass == nullptr || serviceClass == nullptr) {
        reason = {ErrorKind::NoPermittedPlace, "a data class is not in the catalogue", {}};
        return std::nullopt;
    }
    if (isTooStale(*workspaceClass, staleness) || isTooStale(*serviceClass, staleness)) {
        reason = {ErrorKind::NoCatalogue, "the catalogue is older than the class allows", {}};
        return std::nullopt;
    }
    for (const std::string &dataCentre : workspaceClass->dataCentres) {
        const auto &others = serviceClass->dataCentres;
        if (std::find(others.begin(), others.end(), dataCentre) != others.end()) {
            authorization.dataCentres.push_back(dataCentre);
        }
    }
    if (authorization.dataCentres.empty()) {
        reason = {ErrorKind::NoPermittedPlace, "the data classes share no place", std::nullopt};
        return std::nullopt;
    }
    authorization.workspaceEntry = *workspace;
    authorization.service = service;
    authorization.serviceEntry = *found;
    authorization.catalogueVersion = view.version;
    return authorization;
}

bool permits(const Authorization &authorization, std::string_view dataCentre) noexcept
{
    return std::find(authorization.dataCentres.begin(), authorization.dataCentres.end(), dataCentre)
           != authorization.dataCentres.end();
}

bool equalInConstantTime(std::string_view first, std::string_view second) noexcept
{
    unsigned difference = first.size() == second.size() ? 0U : 1U;
    const std::size_t length = std::min(first.size(), second.size());
    for (std::size_t index = 0; index < length; ++index) {
        difference |= static_cast<unsigned char>(first[index] ^ second[index]);
    }
    return difference == 0;
}

} // namespace plantainswitch
