#include "plantainswitch/catalogue/table.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

void insertBody(CatalogueView &view, const std::string &name, const EntryBody &body)
{
    if (const auto *dataClass = std::get_if<DataClass>(&body)) {
        view.dataClasses[name] = *dataClass;
    } else if (const auto *workspace = std::get_if<Workspace>(&body)) {
        view.workspaces[name] = *workspace;
        view.tokens.emplace(hashOf(workspace->token), name);
    } else if (const auto *service = std::get_if<Service>(&body)) {
        view.services[name] = *service;
    }
}

std::shared_ptr<const CatalogueView> buildView(const std::map<EntryKey, Entry> &entries)
{
    auto view = std::make_shared<CatalogueView>();
    for (const auto &[key, entry] : entries) {
        view->version = std::max(view->version, entry.version);
        if (entry.body) {
            insertBody(*view, key.name, *entry.body);
        }
    }
    return view;
}

const Workspace *findWorkspace(const CatalogueView &view, std::string_view token, std::string &name)
{
    const auto [first, last] = view.tokens.equal_range(hashOf(token));
    for (auto each = first; each != last; ++each) {
        const auto found = view.workspaces.find(each->second);
        if (found != view.workspaces.end() && equalInConstantTime(found->second.token, token)) {
            name = found->first;
            return &found->second;
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
    std::size_t taken = 0;
    for (const Entry &entry : batch) {
        Entry &known = this->entries[entry.key];
        if (known.version >= entry.version) {
            continue;
        }
        ++taken;
        if (entry.unread && !entry.body) {
            // The last version that could be read stays in force until this one is mended.
            known.key = entry.key;
            known.version = entry.version;
            known.unread = entry.unread;
            continue;
        }
        known = entry;
    }
    if (taken > 0) {
        this->current = buildView(this->entries);
    }
    return taken;
}

void CatalogueTable::complete(std::uint64_t version, std::optional<TimePoint> at)
{
    const RankedLock lock(this->mutex);
    this->reached.completeTo = std::max(this->reached.completeTo, version);
    if (at && version >= this->reached.completeTo
        && (!this->reached.confirmedAt || *this->reached.confirmedAt < *at)) {
        this->reached.confirmedAt = at;
    }
}

void CatalogueTable::confirm(std::uint64_t version, TimePoint at)
{
    const RankedLock lock(this->mutex);
    if (version == this->reached.completeTo
        && (!this->reached.confirmedAt || *this->reached.confirmedAt < at)) {
        this->reached.confirmedAt = at;
    }
}

std::shared_ptr<const CatalogueView> CatalogueTable::view() const
{
    const RankedLock lock(this->mutex);
    return this->current;
}

std::vector<Entry> CatalogueTable::entriesAbove(std::uint64_t version) const
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

CatalogueStanding CatalogueTable::standing() const
{
    const RankedLock lock(this->mutex);
    return this->reached;
}

Duration CatalogueTable::staleness(TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return this->reached.confirmedAt ? now - *this->reached.confirmedAt : Duration::max();
}

std::vector<EntryKey> CatalogueTable::unreadable() const
{
    const RankedLock lock(this->mutex);
    std::vector<EntryKey> result;
    for (const auto &[key, entry] : this->entries) {
        if (entry.unread) {
            result.push_back(key);
        }
    }
    return result;
}

std::optional<Admission> admit(const CatalogueView &view, std::string_view token,
                               std::string_view service, Duration staleness, Reason &reason)
{
    Admission admission;
    const Workspace *workspace = findWorkspace(view, token, admission.workspace);
    if (workspace == nullptr) {
        reason = {ErrorKind::Unauthorized, "", std::nullopt};
        return std::nullopt;
    }
    const auto found = view.services.find(service);
    if (found == view.services.end()) {
        reason = {ErrorKind::NotFound, "service " + std::string(service), std::nullopt};
        return std::nullopt;
    }
    const auto &allowed = workspace->services;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end()) {
        reason = {ErrorKind::NotPermitted, "service " + std::string(service), std::nullopt};
        return std::nullopt;
    }
    const auto own = view.dataClasses.find(workspace->dataClass);
    const auto other = view.dataClasses.find(found->second.dataClass);
    if (own == view.dataClasses.end() || other == view.dataClasses.end()) {
        reason = {ErrorKind::NoPermittedPlace, "a data class is not in the catalogue", {}};
        return std::nullopt;
    }
    if (isTooStale(own->second, staleness) || isTooStale(other->second, staleness)) {
        reason = {ErrorKind::NoCatalogue, "the catalogue is older than the class allows", {}};
        return std::nullopt;
    }
    for (const std::string &place : own->second.places) {
        const auto &others = other->second.places;
        if (std::find(others.begin(), others.end(), place) != others.end()) {
            admission.places.push_back(place);
        }
    }
    if (admission.places.empty()) {
        reason = {ErrorKind::NoPermittedPlace, "the data classes share no place", std::nullopt};
        return std::nullopt;
    }
    admission.limits = *workspace;
    admission.service = service;
    admission.serviceEntry = found->second;
    admission.catalogueVersion = view.version;
    return admission;
}

bool permits(const Admission &admission, std::string_view place) noexcept
{
    return std::find(admission.places.begin(), admission.places.end(), place)
           != admission.places.end();
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
