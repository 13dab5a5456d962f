#include "entryfile.h"

#include <algorithm>

namespace plantainswitch::ctl {

namespace {

void checkDataClass(const std::string &name, const StoredEntries &stored,
                    std::vector<Fault> &faults)
{
    if (!stored.contains({EntryKind::DataClass, name})) {
        faults.push_back({"/dataClass", "\"" + name + "\"", "a data class that exists"});
    }
}

bool refersTo(const EntryBody &body, const EntryKey &key)
{
    if (const auto *service = std::get_if<Service>(&body)) {
        return key.kind == EntryKind::DataClass && service->dataClass == key.name;
    }
    const auto *workspace = std::get_if<Workspace>(&body);
    if (workspace == nullptr) {
        return false;
    }
    const bool usesService =
        std::find(workspace->services.begin(), workspace->services.end(), key.name)
        != workspace->services.end();
    return (key.kind == EntryKind::DataClass && workspace->dataClass == key.name)
           || (key.kind == EntryKind::Service && usesService);
}

} // namespace

std::optional<EntryFile> parseEntryFile(const std::string &text, std::vector<Fault> &faults)
{
    const auto json = parseJson(text, faults);
    if (!json) {
        return std::nullopt;
    }
    if (!json->is_object()) {
        faults.push_back({"/", "not an object", "an object with kind, name, version and body"});
        return std::nullopt;
    }
    EntryFile file;
    const auto kind = json->contains("kind") && (*json)["kind"].is_string()
                          ? entryKindOf((*json)["kind"].get<std::string>())
                          : std::nullopt;
    if (!kind) {
        faults.push_back({"/kind", "no known kind", "dataclass, workspace or service"});
        return std::nullopt;
    }
    file.key.kind = *kind;
    if (json->contains("name") && (*json)["name"].is_string()) {
        file.key.name = (*json)["name"].get<std::string>();
    }
    const bool isValidName =
        !file.key.name.empty()
        && file.key.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.")
               == std::string::npos;
    if (!isValidName) {
        faults.push_back({"/name", "an invalid name", "lower-case letters, digits, '-' and '.'"});
    }
    const auto version = json->find("version");
    if (version == json->end() || !version->is_number_unsigned()) {
        faults.push_back(
            {"/version", "no version", "the version that you read, or 0 to create the entry"});
    } else {
        file.version = version->get<std::uint64_t>();
    }
    file.body = json->value("body", nlohmann::json());
    const auto body = parseEntry(*kind, file.body, faults);
    if (!body || !faults.empty()) {
        return std::nullopt;
    }
    file.body = toJson(*body);
    return file;
}

bool hasTokenPlaceholder(const EntryFile &file)
{
    return file.key.kind == EntryKind::Workspace
           && file.body.value("token", "") == tokenPlaceholder;
}

std::vector<Fault> checkReferences(const EntryBody &body, const StoredEntries &stored)
{
    std::vector<Fault> faults;
    if (const auto *service = std::get_if<Service>(&body)) {
        checkDataClass(service->dataClass, stored, faults);
    } else if (const auto *workspace = std::get_if<Workspace>(&body)) {
        checkDataClass(workspace->dataClass, stored, faults);
        for (const std::string &name : workspace->services) {
            if (!stored.contains({EntryKind::Service, name})) {
                faults.push_back({"/services", "\"" + name + "\"", "services that exist"});
            }
        }
    }
    return faults;
}

std::vector<EntryKey> entriesReferringTo(const EntryKey &key, const StoredEntries &stored)
{
    std::vector<EntryKey> referrers;
    for (const auto &[other, body] : stored) {
        if (refersTo(body, key)) {
            referrers.push_back(other);
        }
    }
    return referrers;
}

} // namespace plantainswitch::ctl
