#include "storeview.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace plantainswitch::gateway {

namespace {

std::optional<std::uint64_t> queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t at = target.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view text = target.substr(at + name.size());
    std::uint64_t number = 0;
    const auto [rest, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    return fault == std::errc{} ? std::optional(number) : std::nullopt;
}

bool isUnsigned(const nlohmann::json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

} // namespace

std::string storeViewTarget(const StoreViewQuery &query)
{
    return fmt::format("{}?since={}&config={}", storeViewPath, query.revision, query.configVersion);
}

std::optional<StoreViewQuery> parseStoreViewQuery(std::string_view target)
{
    if (!target.starts_with(storeViewPath)) {
        return std::nullopt;
    }
    const auto revision = queryParameter(target, "since=");
    const auto version = queryParameter(target, "config=");
    if (!revision || !version) {
        return std::nullopt;
    }
    return StoreViewQuery{*revision, *version};
}

std::string serializeStoreView(const StoreView &view, std::uint64_t configVersion,
                               const StoreViewQuery &query)
{
    nlohmann::json json{{"revision", view.revision}, {"replicas", nlohmann::json::object()}};
    for (const auto &[name, replica] : view.replicas) {
        if (replica.revision > query.revision) {
            json["replicas"][name] =
                replica.removed ? nlohmann::json() : nlohmann::json(replica.document);
        }
    }
    std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
    if (configVersion > query.configVersion) {
        // Appended unescaped: escaping hundreds of kilobytes would keep a small VM's processor busy
        // for a large part of a second.
        text += view.routingDocument;
    }
    return text;
}

std::optional<StoreView> parseStoreView(std::string_view text)
{
    const std::size_t end = text.find('\n');
    const nlohmann::json json = nlohmann::json::parse(text.substr(0, end), nullptr, false);
    if (end == std::string_view::npos || !json.is_object() || !isUnsigned(json, "revision")
        || !json.contains("replicas") || !json["replicas"].is_object()) {
        return std::nullopt;
    }
    StoreView view;
    view.revision = json["revision"].get<std::uint64_t>();
    view.routingDocument = text.substr(end + 1);
    for (const auto &[name, document] : json["replicas"].items()) {
        if (document.is_string()) {
            view.replicas[name] = {document.get<std::string>(), false, view.revision};
        } else if (document.is_null()) {
            view.replicas[name] = {{}, true, view.revision};
        }
    }
    return view;
}

void recordReplica(StoreView &view, const std::string &name, const std::string &document,
                   std::uint64_t revision)
{
    StoreViewReplica &known = view.replicas[name];
    if (known.removed || known.document != document || known.revision == 0) {
        known = {document, false, revision};
    }
}

void advanceRevision(StoreView &view, std::uint64_t revision, const ReplicaDirectory &directory)
{
    if (!directory.hasMissing()) {
        view.revision = std::max(view.revision, revision);
    }
}

bool isStale(const StoreView &view, std::uint64_t revision) noexcept
{
    return revision < view.revision;
}

void recordRemoval(StoreView &view, const std::string &name, std::uint64_t knownRevision)
{
    // Above every revision known here or to routers as recent as this one, so that the next query
    // of each returns the removal.
    view.replicas[name] = {{}, true, std::max(view.revision, knownRevision) + 1};
}

bool StoreViewLimiter::tryBegin(std::size_t size, std::function<bool()> isTransferDone)
{
    if (size < largeViewBytes) {
        return true;
    }
    std::erase_if(this->transfers, [](const auto &isDone) { return isDone(); });
    if (this->transfers.size() >= maxConcurrentLargeViews) {
        return false;
    }
    this->transfers.push_back(std::move(isTransferDone));
    return true;
}

} // namespace plantainswitch::gateway
