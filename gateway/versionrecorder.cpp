#include "versionrecorder.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

constexpr Milliseconds callTimeout{1000};
/// How long after its start a router takes part in the first start of the system.
constexpr Seconds firstStartTime{10};
/// Pause after a call that failed.
constexpr Milliseconds failurePause{500};

constexpr int statusOk = 200;
constexpr int statusCreated = 201;

} // namespace

std::optional<std::map<std::uint64_t, VersionRecord>> parseVersionRecords(const Dialect &dialect,
                                                                          const CallReply &reply)
{
    const auto list = reply.status == statusOk ? dialect.parseList(reply.body) : std::nullopt;
    if (!list || list->hasMore) {
        return std::nullopt;
    }
    std::map<std::uint64_t, VersionRecord> records;
    for (const StoreObject &item : list->objects) {
        if (const auto record = dialect.parseVersionRecord(item)) {
            records.emplace(record->service, *record);
        }
    }
    return records;
}

void VersionRecorder::update(bool isRecorder)
{
    if (!isRecorder) {
        // Another router may change them.
        this->stored.reset();
        return;
    }
    const bool isWaiting = this->client.isBusy() || this->gateway.clock.now() < this->pausedUntil;
    if (isWaiting || !this->gateway.routingTable) {
        return;
    }
    for (const RoutedService &service : this->gateway.routingTable->config().services) {
        if (this->gateway.takeUpTimeOf(service.name).count() == 0) {
            continue;
        }
        const auto listed = this->gateway.serviceVersions.listedOf(service.name);
        if (!this->stored || this->listedWhenRead[service.name] != listed) {
            this->read();
            return;
        }
        const std::uint64_t key = hashOf(service.name);
        const auto known = this->stored->find(key);
        const auto next = nextVersionRecord(
            key, known == this->stored->end() ? std::nullopt : std::optional(known->second),
            this->listedVersionsOf(service.name));
        if (next) {
            this->write(*next);
            return;
        }
    }
}

ListedVersions VersionRecorder::listedVersionsOf(const std::string &service) const
{
    const ServiceVersions &versions = this->gateway.serviceVersions;
    const TimePoint since = this->gateway.clock.now() - this->gateway.takeUpTimeOf(service);
    return {versions.listedOf(service), versions.onlyVersionSince(service, since),
            this->gateway.settings.isFirstStart
                && this->gateway.clock.now() - this->startedAt < firstStartTime};
}

void VersionRecorder::read()
{
    for (const RoutedService &service : this->gateway.routingTable->config().services) {
        this->listedWhenRead[service.name] = this->gateway.serviceVersions.listedOf(service.name);
    }
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->client.call(this->gateway.settings.store, "GET",
                      this->gateway.dialect.listTarget(StoreObjectKind::Versions, {},
                                                       ReadConsistency::Linearizable),
                      {}, {callTimeout}, [this](const CallReply &reply) {
                          this->stored = parseVersionRecords(this->gateway.dialect, reply);
                          if (!this->stored) {
                              this->pausedUntil = this->gateway.clock.now() + failurePause;
                              return;
                          }
                          this->update(true);
                      });
}

void VersionRecorder::write(const VersionRecord &record)
{
    const bool creates = record.revision == 0;
    const Dialect &dialect = this->gateway.dialect;
    const std::string target =
        creates ? dialect.listTarget(StoreObjectKind::Versions, {}, ReadConsistency::Linearizable)
                : dialect.objectTarget(StoreObjectKind::Versions, formatHash(record.service));
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->client.call(this->gateway.settings.store, creates ? "POST" : "PUT", target,
                      dialect.serializeVersionRecord(record), {callTimeout},
                      [this, record](const CallReply &reply) {
                          logEvent(Event::VersionsRecorded,
                                   {{"service", formatHash(record.service)},
                                    {"only", record.only ? formatHash(*record.only) : "none"},
                                    {"status", std::to_string(reply.status)}});
                          // The new revision, or what another router has written, is read.
                          this->stored.reset();
                          if (reply.status != statusOk && reply.status != statusCreated) {
                              this->pausedUntil = this->gateway.clock.now() + failurePause;
                          }
                      });
}

} // namespace plantainswitch::gateway
