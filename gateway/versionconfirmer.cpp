#include "versionconfirmer.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

/// The store responds within milliseconds; a caller waits for the response.
constexpr Milliseconds callTimeout{250};
/// Shortest time for which the store can hold a call that reports changes.
constexpr Milliseconds watchWait{1};
/// Requests that wait at once; further ones get no version.
constexpr std::size_t maxWaiters = 512;

constexpr int statusOk = 200;
constexpr int statusGone = 410;

/// \returns the upstreams in a response to a watch or a list, if it is complete.
std::optional<StoreResponse> parseUpstreams(const Dialect &dialect, const CallReply &reply)
{
    if (reply.status != statusOk) {
        return std::nullopt;
    }
    const auto list = dialect.parseList(reply.body);
    if (list && list->hasMore) {
        return std::nullopt;
    }
    return list && !list->objects.empty() ? list : dialect.parseChanges(reply.body);
}

} // namespace

void VersionConfirmer::confirm(const std::string &service, TimePoint since, Handler done)
{
    const bool isOnly = this->gateway.serviceVersions.onlySeenSince(service, since).has_value();
    if (!isOnly || this->waiting.size() >= maxWaiters) {
        done(std::nullopt);
        return;
    }
    this->waiting.push_back({service, since, std::move(done)});
    if (!this->client.isBusy()) {
        this->call();
    }
}

void VersionConfirmer::stop()
{
    this->client.cancel();
    this->calling.clear();
    this->waiting.clear();
}

void VersionConfirmer::call()
{
    this->calling = std::exchange(this->waiting, {});
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->client.call(this->gateway.settings.store, "GET",
                      this->gateway.dialect.listTarget(StoreObjectKind::Versions, {},
                                                       ReadConsistency::Linearizable),
                      {}, {callTimeout}, [this](const CallReply &reply) {
                          const auto records = parseVersionRecords(this->gateway.dialect, reply);
                          if (records && !records->empty()) {
                              this->readChanges(*records);
                          } else {
                              this->finish({}, std::nullopt);
                          }
                      });
}

void VersionConfirmer::readChanges(const Records &records)
{
    const std::uint64_t revision = this->gateway.fleet->latestRevision();
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->client.call(
        this->gateway.settings.store, "GET",
        this->gateway.dialect.watchTarget(StoreObjectKind::Replicas, revision, watchWait), {},
        {callTimeout}, [this, records](const CallReply &reply) {
            if (reply.status != statusGone) {
                this->finish(records, parseUpstreams(this->gateway.dialect, reply));
                return;
            }
            // No upstream has changed for longer than the store keeps changes.
            this->gateway.metrics.count(Counter::PlatformCalls);
            this->client.call(this->gateway.settings.store, "GET",
                              this->gateway.dialect.listTarget(StoreObjectKind::Replicas, {},
                                                               ReadConsistency::Linearizable),
                              {}, {callTimeout}, [this, records](const CallReply &list) {
                                  this->finish(records,
                                               parseUpstreams(this->gateway.dialect, list));
                              });
        });
}

void VersionConfirmer::finish(const Records &records, const std::optional<StoreResponse> &changes)
{
    for (const Waiter &waiter : std::exchange(this->calling, {})) {
        const auto seen = this->gateway.serviceVersions.onlySeenSince(waiter.service, waiter.since);
        const auto record = records.find(hashOf(waiter.service));
        const bool isOnly = seen && record != records.end() && record->second.only == seen
                            && changes && this->agrees(*changes, waiter.service, *seen);
        waiter.done(isOnly ? seen : std::nullopt);
    }
    if (!this->waiting.empty() && !this->client.isBusy()) {
        this->call();
    }
}

bool VersionConfirmer::agrees(const StoreResponse &changes, const std::string &service,
                              VersionKey version) const
{
    return std::all_of(
        changes.objects.begin(), changes.objects.end(), [&](const StoreObject &object) {
            if (object.deleted) {
                // One that was never listed here may have had any version.
                return this->gateway.replicaDirectory.all().contains(object.name);
            }
            std::string fault;
            const auto replica = this->gateway.dialect.parseReplica(object, fault);
            return !replica || replica->service != service || versionKeyOf(*replica) == version;
        });
}

} // namespace plantainswitch::gateway
