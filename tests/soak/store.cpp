#include "store.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace plantainswitch::soak {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusBusy = 503;
constexpr std::string_view objectsPath = "/objects/";
/// Maximum time that a watch waits for a change.
constexpr Milliseconds maxWatchTime{20'000};
/// Age of the contents in lists that allow staleness (serializable=1).
constexpr Milliseconds staleness{2000};
constexpr std::size_t maxHeadBytes = 16 << 10;

std::uint64_t parseNumberAfter(const std::string &target, std::string_view name)
{
    const std::size_t at = target.find(name);
    std::uint64_t number = 0;
    if (at != std::string::npos) {
        const char *const begin = target.data() + at + name.size();
        std::from_chars(begin, target.data() + target.size(), number);
    }
    return number;
}

std::string formatObject(const std::string &name, const std::string &spec, std::uint64_t revision)
{
    return fmt::format(R"({{"metadata":{{"name":"{}","rev":{}}},"spec":{}}})", name, revision,
                       spec);
}

} // namespace

SoakStore::SoakStore(asio::io_context &context, const Clock &clock, const Endpoint &endpoint,
                     std::uint64_t seed)
    : context(context)
    , clock(clock)
    , acceptor(context, {asio::ip::make_address(endpoint.host), endpoint.port})
    , random(seed)
{
    this->events.onRequest = [this](const std::shared_ptr<Connection> &connection,
                                    const gateway::IncomingRequest &request) {
        this->onRequest(connection, request.head.method, request.head.target, request.body);
    };
    this->events.onDisconnected = [this](Connection &connection) {
        this->watchers.erase(connection.id());
    };
    this->events.onClosed = [this](Connection &connection) {
        this->watchers.erase(connection.id());
        this->connections.erase(connection.id());
    };
    this->accept();
}

void SoakStore::accept()
{
    this->acceptor.async_accept(
        [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            gateway::prepareSocket(socket);
            CallerLimits limits;
            limits.maxHeaderBytes = maxHeadBytes;
            const auto connection = std::make_shared<Connection>(
                this->nextConnection++, std::make_shared<gateway::ByteStream>(std::move(socket)),
                limits, this->events, this->clock);
            this->connections.emplace(connection->id(), connection);
            connection->start();
            this->accept();
        });
}

void SoakStore::setMode(StoreMode newMode)
{
    this->mode = newMode;
    if (newMode == StoreMode::Unresponsive) {
        // Pending watches are lost: their connections stay open but never get a response.
        this->watchers.clear();
    }
    std::vector<std::uint64_t> endedWatches;
    for (const auto &[id, watcher] : this->watchers) {
        const bool hasChanges = newMode == StoreMode::Healthy
                                && !this->changesSince(watcher.kind, watcher.since).empty();
        const bool isAborted =
            newMode == StoreMode::Unavailable || newMode == StoreMode::ResetsConnections;
        if (hasChanges || isAborted) {
            endedWatches.push_back(id);
        }
    }
    for (const std::uint64_t id : endedWatches) {
        this->endWatch(id, newMode != StoreMode::Healthy);
    }
}

void SoakStore::onRequest(const std::shared_ptr<Connection> &connection, const std::string &method,
                          const std::string &target, const std::string &body)
{
    switch (this->mode) {
    case StoreMode::Unresponsive:
        return;
    case StoreMode::Unavailable:
        connection->respond(statusBusy, {}, {}, false);
        return;
    case StoreMode::ResetsConnections:
        connection->abort();
        return;
    case StoreMode::Healthy:
        break;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->delay);
    const std::weak_ptr<Connection> weak = connection;
    timer->async_wait([this, timer, weak, method, target, body](const asio::error_code &error) {
        if (const auto strong = weak.lock(); !error && strong && strong->isBusy()) {
            this->answer(strong, method, target, body);
        }
    });
}

void SoakStore::answer(const std::shared_ptr<Connection> &connection, const std::string &method,
                       const std::string &target, const std::string &body)
{
    if (!target.starts_with(objectsPath)) {
        connection->respond(statusNotFound, {}, {}, false);
        return;
    }
    const std::string rest = target.substr(objectsPath.size());
    const std::string kind = rest.substr(0, rest.find_first_of("/?"));
    if (method == "POST") {
        this->create(connection, kind, body);
        return;
    }
    if (std::uniform_real_distribution<double>()(this->random) < this->lossShare) {
        connection->abort();
        return;
    }
    if (target.find("watch=") != std::string::npos) {
        this->watch(connection, kind, parseNumberAfter(target, "watch="));
        return;
    }
    const std::size_t slash = rest.find('/');
    if (slash != std::string::npos) {
        this->answerObject(connection, method, kind, rest.substr(slash + 1), body);
        return;
    }
    this->list(connection, kind, target.find("serializable=1") != std::string::npos);
}

void SoakStore::answerObject(const std::shared_ptr<Connection> &connection,
                             const std::string &method, const std::string &kind,
                             const std::string &name, const std::string &body)
{
    const Objects::mapped_type &known = this->objects[kind];
    const auto found = known.find(name);
    if (found == known.end()) {
        connection->respond(statusNotFound, {}, {}, false);
        return;
    }
    const std::string current = formatObject(name, found->second.spec, found->second.revision);
    if (method == "DELETE") {
        this->remove(kind, name);
    } else if (method == "PUT") {
        const auto object = nlohmann::json::parse(body, nullptr, false);
        const bool isReadable =
            object.is_object() && object.contains("metadata") && object.contains("spec");
        if (!isReadable || object["metadata"].value("rev", 0U) != found->second.revision) {
            connection->respond(statusConflict, {}, current, false);
            return;
        }
        this->put(kind, name, object["spec"].dump());
    }
    connection->respond(statusOk, {}, current, false);
}

void SoakStore::list(const std::shared_ptr<Connection> &connection, const std::string &kind,
                     bool mayBeStale)
{
    const TimePoint asOf = this->clock.now() - staleness;
    while (!this->snapshots.empty() && this->snapshots.front().until <= asOf) {
        this->snapshots.pop_front();
    }
    const bool isStale = mayBeStale && !this->snapshots.empty();
    Objects &listed = isStale ? this->snapshots.front().objects : this->objects;
    std::string items;
    for (const auto &[name, object] : listed[kind]) {
        items += (items.empty() ? "" : ",") + formatObject(name, object.spec, object.revision);
    }
    connection->respond(statusOk, {},
                        fmt::format(R"({{"items":[{}],"hasMore":false,"asOf":{}}})", items,
                                    isStale ? this->snapshots.front().revision : this->revision),
                        false);
}

void SoakStore::watch(const std::shared_ptr<Connection> &connection, const std::string &kind,
                      std::uint64_t since)
{
    if (since < this->droppedRevision) {
        connection->respond(statusGone, {}, {}, false);
        return;
    }
    const std::string changes = this->changesSince(kind, since);
    if (!changes.empty()) {
        connection->respond(statusOk, {},
                            fmt::format(R"({{"events":[{}],"asOf":{}}})", changes, this->revision),
                            false);
        return;
    }
    Watcher watcher{connection, kind, since,
                    std::make_unique<asio::steady_timer>(this->context, maxWatchTime)};
    watcher.timer->async_wait([this, id = connection->id()](const asio::error_code &error) {
        if (!error) {
            this->endWatch(id, false);
        }
    });
    this->watchers[connection->id()] = std::move(watcher);
}

void SoakStore::endWatch(std::uint64_t connection, bool isAborted)
{
    const auto found = this->watchers.find(connection);
    if (found == this->watchers.end()) {
        return;
    }
    const Watcher watcher = std::move(found->second);
    this->watchers.erase(found);
    const auto strong = watcher.connection.lock();
    if (!strong) {
        return;
    }
    if (isAborted) {
        strong->abort();
        return;
    }
    strong->respond(statusOk, {},
                    fmt::format(R"({{"events":[{}],"asOf":{}}})",
                                this->changesSince(watcher.kind, watcher.since), this->revision),
                    false);
}

void SoakStore::create(const std::shared_ptr<Connection> &connection, const std::string &kind,
                       const std::string &body)
{
    const auto object = nlohmann::json::parse(body, nullptr, false);
    const bool isReadable = object.is_object() && object.contains("metadata")
                            && object["metadata"].contains("name") && object.contains("spec");
    if (!isReadable) {
        connection->respond(statusNotFound, {}, {}, false);
        return;
    }
    const std::string name = object["metadata"]["name"];
    const bool isKnown = this->objects[kind].contains(name);
    if (!isKnown) {
        this->put(kind, name, object["spec"].dump());
    }
    if (std::uniform_real_distribution<double>()(this->random) < this->lossShare) {
        connection->abort();
        return;
    }
    const auto &stored = this->objects[kind].at(name);
    connection->respond(isKnown ? statusConflict : statusCreated, {},
                        formatObject(name, stored.spec, stored.revision), false);
}

void SoakStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    this->applyChange({0, kind, name, spec, false});
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    this->applyChange({0, kind, name, {}, true});
}

void SoakStore::applyChange(Change entry)
{
    this->snapshots.push_back({this->clock.now(), this->revision, this->objects});
    entry.revision = ++this->revision;
    if (entry.deleted) {
        this->objects[entry.kind].erase(entry.name);
    } else {
        this->objects[entry.kind][entry.name] = {entry.spec, entry.revision};
    }
    const std::string kind = entry.kind;
    this->history.push_back(std::move(entry));
    if (this->mode != StoreMode::Healthy) {
        return;
    }
    std::vector<std::uint64_t> affectedWatches;
    for (const auto &[id, watcher] : this->watchers) {
        if (watcher.kind == kind) {
            affectedWatches.push_back(id);
        }
    }
    for (const std::uint64_t id : affectedWatches) {
        this->endWatch(id, false);
    }
}

void SoakStore::dropHistory()
{
    this->history.clear();
    this->droppedRevision = this->revision;
    while (!this->watchers.empty()) {
        this->endWatch(this->watchers.begin()->first, true);
    }
}

std::string SoakStore::changesSince(const std::string &kind, std::uint64_t since) const
{
    std::string text;
    for (const Change &entry : this->history) {
        if (entry.revision <= since || entry.kind != kind) {
            continue;
        }
        const std::string spec = entry.deleted ? std::string("{}") : entry.spec;
        text += fmt::format(R"({}{{"object":{},"deleted":{}}})", text.empty() ? "" : ",",
                            formatObject(entry.name, spec, entry.revision), entry.deleted);
    }
    return text;
}

} // namespace plantainswitch::soak
