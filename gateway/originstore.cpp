#include "originstore.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// A caller waits for the response.
constexpr Milliseconds callTimeout{250};
/// How long after a successful call the store counts as responding.
constexpr Milliseconds respondingTime{1500};
constexpr Milliseconds probeInterval{500};
/// How long after a write that failed reads do not show that the store responds.
constexpr Milliseconds writeFailurePause{3000};
/// Searches that wait at once; further ones find nothing.
constexpr std::size_t maxSearches = 512;
/// Time after which a record is removed: no stream is taken up so late.
constexpr Seconds recordRetention{900};

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusConflict = 409;

} // namespace

void OriginStore::write(const StreamOrigin &origin, std::function<void(bool)> done)
{
    this->waitingWrites.push_back({origin, std::move(done)});
    this->startWrite();
}

void OriginStore::startWrite()
{
    if (this->waitingWrites.empty() || this->writer.isBusy()) {
        return;
    }
    this->writing = std::exchange(this->waitingWrites, {});
    OriginRecord record{mixHash(this->own, ++this->lastRecord), {}};
    for (const Write &write : this->writing) {
        record.versions.emplace(write.origin.stream, write.origin.version);
    }
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->writer.call(this->gateway.settings.store, "POST",
                      this->gateway.dialect.listTarget(StoreObjectKind::Origins, {},
                                                       ReadConsistency::Linearizable),
                      this->gateway.dialect.serializeOriginRecord(record), {callTimeout},
                      [this](const CallReply &reply) { this->onWritten(reply.status); });
}

void OriginStore::onWritten(int status)
{
    // A record of this name was written by this process.
    const bool isWritten =
        status == statusOk || status == statusCreated || status == statusConflict;
    const TimePoint now = this->gateway.clock.now();
    this->respondedAt = isWritten ? now : TimePoint{};
    this->writeFailedAt = isWritten ? TimePoint{} : now;
    logEvent(Event::OriginsRecorded, {{"streams", std::to_string(this->writing.size())},
                                      {"status", std::to_string(status)}});
    for (const Write &write : std::exchange(this->writing, {})) {
        write.done(isWritten);
    }
    this->startWrite();
}

void OriginStore::find(StreamKey stream, std::function<void(std::optional<VersionKey>)> done)
{
    if (this->waitingSearches.size() >= maxSearches) {
        done(std::nullopt);
        return;
    }
    this->waitingSearches.push_back({stream, std::move(done)});
    this->startSearches();
}

void OriginStore::startSearches()
{
    if (this->waitingSearches.empty() || this->reader.isBusy()) {
        return;
    }
    this->searching = std::exchange(this->waitingSearches, {});
    this->found.clear();
    this->readPage({});
}

void OriginStore::readPage(const std::string &after)
{
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->reader.call(this->gateway.settings.store, "GET",
                      this->gateway.dialect.listTarget(StoreObjectKind::Origins, after,
                                                       ReadConsistency::Linearizable),
                      {}, {callTimeout}, [this](const CallReply &reply) { this->onPage(reply); });
}

void OriginStore::onPage(const CallReply &reply)
{
    const auto page =
        reply.status == statusOk ? this->gateway.dialect.parseList(reply.body) : std::nullopt;
    this->respondedAt = page ? this->gateway.clock.now() : TimePoint{};
    if (!page) {
        this->finishSearches();
        return;
    }
    for (const StoreObject &item : page->objects) {
        this->firstSeen.try_emplace(item.name, this->gateway.clock.now());
        if (const auto record = this->gateway.dialect.parseOriginRecord(item)) {
            this->found.insert(record->versions.begin(), record->versions.end());
        }
    }
    if (page->hasMore && !page->objects.empty()) {
        this->readPage(page->objects.back().name);
        return;
    }
    this->finishSearches();
    this->removeExpired();
}

void OriginStore::finishSearches()
{
    for (const Search &search : std::exchange(this->searching, {})) {
        const auto version = this->found.find(search.stream);
        search.done(version == this->found.end() ? std::nullopt : std::optional(version->second));
    }
    this->startSearches();
}

void OriginStore::removeExpired()
{
    const TimePoint now = this->gateway.clock.now();
    const auto expired =
        std::find_if(this->firstSeen.begin(), this->firstSeen.end(),
                     [now](const auto &entry) { return now - entry.second > recordRetention; });
    if (expired == this->firstSeen.end() || this->reader.isBusy()) {
        return;
    }
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->reader.call(this->gateway.settings.store, "DELETE",
                      this->gateway.dialect.objectTarget(StoreObjectKind::Origins, expired->first),
                      {}, {callTimeout}, [this](const CallReply &) {
                          this->startSearches();
                          this->removeExpired();
                      });
    this->firstSeen.erase(expired);
}

void OriginStore::probe()
{
    const TimePoint now = this->gateway.clock.now();
    if (this->reader.isBusy() || now - this->probedAt < probeInterval) {
        return;
    }
    this->probedAt = now;
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->reader.call(
        this->gateway.settings.store, "GET",
        this->gateway.dialect.listTarget(StoreObjectKind::Origins, {}, ReadConsistency::Stale), {},
        {callTimeout}, [this](const CallReply &reply) {
            this->respondedAt = reply.status == statusOk ? this->gateway.clock.now() : TimePoint{};
            this->startSearches();
        });
}

bool OriginStore::isResponding() const
{
    const TimePoint now = this->gateway.clock.now();
    const bool isWritable =
        this->writeFailedAt == TimePoint{} || now - this->writeFailedAt >= writeFailurePause;
    return isWritable && this->respondedAt != TimePoint{}
           && now - this->respondedAt < respondingTime;
}

void OriginStore::stop()
{
    this->writer.cancel();
    this->reader.cancel();
    this->writing.clear();
    this->waitingWrites.clear();
    this->searching.clear();
    this->waitingSearches.clear();
}

} // namespace plantainswitch::gateway
