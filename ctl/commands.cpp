#include "commands.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>

namespace plantainswitch::ctl {

namespace {

using net::PlatformResponse;
using net::PlatformStatus;
using nlohmann::ordered_json;

constexpr const char *entryKinds = "dataclass,workspace,service";

std::optional<EntryFile> loadEntryFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    std::vector<Fault> faults;
    auto file = parseEntryFile(text.str(), faults);
    for (const Fault &fault : faults) {
        std::cerr << path << ": " << toText(fault) << "\n";
    }
    return file;
}

nlohmann::json redactToken(nlohmann::json body)
{
    if (body.is_object() && body.contains("token")) {
        body["token"] = tokenPlaceholder;
    }
    return body;
}

ordered_json makeDifference(const nlohmann::json &from, const nlohmann::json &to)
{
    ordered_json result = ordered_json::array();
    for (const nlohmann::json &change : nlohmann::json::diff(from, to)) {
        const auto path = change["path"].get<std::string>();
        ordered_json line{{"op", change["op"]}, {"path", path}};
        if (change.contains("value")) {
            const bool isSecret = path.find("token") != std::string::npos;
            line["value"] =
                isSecret ? nlohmann::json(tokenPlaceholder) : redactToken(change["value"]);
        }
        result.push_back(std::move(line));
    }
    return result;
}

/// Prints \a result as JSON, or its "result" sentence and its "difference" as text.
void printResult(OutputFormat output, const ordered_json &result)
{
    if (output == OutputFormat::Json) {
        std::cout << result.dump(2) << "\n";
        return;
    }
    std::cout << result["result"].get<std::string>() << "\n";
    if (result.contains("difference")) {
        for (const auto &change : result["difference"]) {
            std::cout << "  " << change["op"].get<std::string>() << " "
                      << change["path"].get<std::string>() << " "
                      << (change.contains("value") ? change["value"].dump() : "") << "\n";
        }
    }
}

int reportConflict(const PlatformResponse &answer, const nlohmann::json &wanted,
                   OutputFormat output)
{
    if (!answer.object) {
        printResult(output, {{"result", "not written: there is no such entry any more"}});
        return exitConflict;
    }
    printResult(output, {{"result",
                          fmt::format("not written: version {} is there already; your file is kept "
                                      "as it is, and this leads from what is there to your text:",
                                      answer.object->version)},
                         {"version", answer.object->version},
                         {"difference", makeDifference(answer.object->body, wanted)}});
    return exitConflict;
}

int reportWrite(const PlatformResponse &answer, const nlohmann::json &wanted, OutputFormat output)
{
    switch (answer.status) {
    case PlatformStatus::Ok:
        printResult(output, {{"result", fmt::format("written, version {}", answer.object->version)},
                             {"version", answer.object->version}});
        return exitOk;
    case PlatformStatus::Conflict:
        return reportConflict(answer, wanted, output);
    case PlatformStatus::NotFound:
        printResult(output, {{"result", "there is no such entry"}});
        return exitNotFound;
    case PlatformStatus::Rejected:
        printResult(output, {{"result", "not written: " + answer.detail}});
        return exitFailed;
    case PlatformStatus::Unknown:
        break;
    }
    printResult(output, {{"result", "no answer: the write may have taken effect; look with get"}});
    return exitOutcomeUnknown;
}

std::optional<StoredEntries> loadStoredEntries(BlockingPlatformClient &platform)
{
    const auto changes = platform.list(entryKinds);
    if (!changes) {
        std::cerr << "the platform can't be reached\n";
        return std::nullopt;
    }
    StoredEntries entries;
    for (const net::PlatformObject &object : changes->objects) {
        const auto kind = entryKindOf(object.kind);
        std::vector<Fault> faults;
        auto body =
            kind && !object.body.is_null() ? parseEntry(*kind, object.body, faults) : std::nullopt;
        if (body) {
            entries.emplace(EntryKey{*kind, object.name}, std::move(*body));
        }
    }
    return entries;
}

/// Replaces tokenPlaceholder in \a file by the stored token.
/// A file made from the output of get without --show-token contains the placeholder. If it were
/// written as is, the placeholder would become the token and every caller of the workspace would
/// be rejected. The stored token is used only if the stored version is the file's version, on
/// which the write is conditional too, so a token changed in the meantime is never reverted.
/// \returns the exit code if the command must end here, otherwise nothing.
std::optional<int> restoreToken(BlockingPlatformClient &platform, EntryFile &file,
                                OutputFormat output)
{
    if (!hasTokenPlaceholder(file)) {
        return std::nullopt;
    }
    const PlatformResponse stored = platform.get(file.key);
    if (stored.status != PlatformStatus::Ok && stored.status != PlatformStatus::NotFound) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    const nlohmann::json body = stored.object ? stored.object->body : nlohmann::json();
    if (!body.is_object() || !body.contains("token") || body["token"] == tokenPlaceholder) {
        std::cerr << "/body/token: \"" << tokenPlaceholder
                  << "\" stands for the stored token, but none is stored; put the token itself in "
                     "the file\n";
        return exitBadInput;
    }
    if (stored.object->version != file.version) {
        return reportConflict(stored, file.body, output);
    }
    file.body["token"] = body["token"];
    return std::nullopt;
}

std::string toText(const EntryKey &key)
{
    return std::string(nameOf(key.kind)) + " " + key.name;
}

} // namespace

int listEntries(BlockingPlatformClient &platform, OutputFormat output)
{
    const auto changes = platform.list(entryKinds);
    if (!changes) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    ordered_json all = ordered_json::array();
    for (const net::PlatformObject &object : changes->objects) {
        if (object.body.is_null()) {
            continue;
        }
        all.push_back({{"kind", object.kind},
                       {"name", object.name},
                       {"version", object.version},
                       {"body", redactToken(object.body)}});
        if (output == OutputFormat::Table) {
            std::cout << fmt::format("{:<10} {:<32} {:>10}  {}\n", object.kind, object.name,
                                     object.version, object.body.value("owner", ""));
        }
    }
    if (output == OutputFormat::Json) {
        std::cout << all.dump(2) << "\n";
    }
    return exitOk;
}

int getEntry(BlockingPlatformClient &platform, const EntryKey &key, OutputFormat output,
             TokenVisibility tokens)
{
    const PlatformResponse answer = platform.get(key);
    if (answer.status == PlatformStatus::NotFound) {
        std::cerr << "there is no such entry\n";
        return exitNotFound;
    }
    if (answer.status != PlatformStatus::Ok) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    // In both formats the output is a valid input of apply, also with a token placeholder.
    auto object = toJson(*answer.object);
    if (tokens == TokenVisibility::Hidden) {
        object["body"] = redactToken(object["body"]);
    }
    std::cout << (output == OutputFormat::Json ? object.dump() : object.dump(2)) << "\n";
    return exitOk;
}

int applyFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output)
{
    auto file = loadEntryFile(path);
    if (!file) {
        return exitBadInput;
    }
    if (const auto exitCode = restoreToken(platform, *file, output)) {
        return *exitCode;
    }
    const auto storedEntries = loadStoredEntries(platform);
    if (!storedEntries) {
        return exitFailed;
    }
    std::vector<Fault> faults;
    const auto body = parseEntry(file->key.kind, file->body, faults);
    for (const Fault &fault : checkReferences(*body, *storedEntries)) {
        std::cerr << path << ": " << plantainswitch::toText(fault) << "\n";
        faults.push_back(fault);
    }
    if (!faults.empty()) {
        return exitBadInput;
    }
    return reportWrite(platform.put(file->key, file->version, file->body), file->body, output);
}

int diffFile(BlockingPlatformClient &platform, const std::string &path, OutputFormat output)
{
    auto file = loadEntryFile(path);
    if (!file) {
        return exitBadInput;
    }
    const PlatformResponse answer = platform.get(file->key);
    if (answer.status != PlatformStatus::Ok && answer.status != PlatformStatus::NotFound) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    const nlohmann::json stored = answer.object ? answer.object->body : nlohmann::json();
    if (hasTokenPlaceholder(*file) && stored.is_object() && stored.contains("token")) {
        file->body["token"] = stored["token"];
    }
    printResult(output, {{"result", "apply would change:"},
                         {"difference", makeDifference(stored, file->body)}});
    return exitOk;
}

int deleteEntry(BlockingPlatformClient &platform, const EntryKey &key, std::uint64_t ifVersion,
                OutputFormat output)
{
    const auto storedEntries = loadStoredEntries(platform);
    if (!storedEntries) {
        return exitFailed;
    }
    const std::vector<EntryKey> referrers = entriesReferringTo(key, *storedEntries);
    for (const EntryKey &referrer : referrers) {
        std::cerr << toText(key) << " is in use by " << toText(referrer) << "\n";
    }
    if (!referrers.empty()) {
        return exitBadInput;
    }
    return reportWrite(platform.remove(key, ifVersion), {}, output);
}

int showStatus(BlockingPlatformClient &platform, OutputFormat output)
{
    const auto entries = platform.list(entryKinds);
    const auto reports = platform.list("status");
    if (!entries || !reports) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    std::uint64_t newestVersion = 0;
    for (const net::PlatformObject &object : entries->objects) {
        newestVersion = std::max(newestVersion, object.version);
    }
    ordered_json dataCentres = ordered_json::array();
    for (const net::PlatformObject &object : reports->objects) {
        if (object.body.is_object()) {
            dataCentres.push_back(ordered_json(object.body));
        }
    }
    if (output == OutputFormat::Json) {
        std::cout << ordered_json{{"newestVersion", newestVersion}, {"places", dataCentres}}.dump(2)
                  << "\n";
        return exitOk;
    }
    std::cout << fmt::format("newest version {}\n{:<20} {:>8} {:>10} {:>8}  {}\n", newestVersion,
                             "place", "routers", "lowest", "behind", "unreadable");
    for (const auto &dataCentre : dataCentres) {
        std::cout << fmt::format(
            "{:<20} {:>8} {:>10} {:>8}  {}\n", dataCentre.value("place", ""),
            dataCentre.value("routers", 0U), dataCentre.value("lowestVersion", 0U),
            dataCentre.value("lowestVersion", 0U) < newestVersion ? "yes" : "no",
            dataCentre.value("unreadable", ordered_json::array()).dump());
    }
    return exitOk;
}

} // namespace plantainswitch::ctl
