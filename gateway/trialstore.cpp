#include "trialstore.h"

#include <array>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// A caller waits for the permit, so that a slow store counts as unavailable.
constexpr Milliseconds callTimeout{300};
constexpr Milliseconds listTimeout{2500};
/// Interval between the lists at a start.
constexpr Seconds listInterval{5};
constexpr int requiredLists = 2;
/// Calls that wait at once. Further ones fail, which leaves a request quarantined for longer.
constexpr std::size_t maxWaitingCalls = 64;

constexpr int ok = 200;
constexpr int created = 201;
constexpr int notFound = 404;
constexpr int conflict = 409;

bool isSuccess(int status) noexcept
{
    return status == ok || status == created;
}

} // namespace

std::string_view nameOf(TrialPermit permit) noexcept
{
    constexpr std::array<std::string_view, 3> names{"permitted", "denied", "unavailable"};
    return names.at(static_cast<std::size_t>(permit));
}

TrialStore::TrialStore(GatewayState &gateway)
    : gateway(gateway)
    , client(gateway)
    , timer(gateway.context)
{}

void TrialStore::start()
{
    this->list();
}

void TrialStore::stop()
{
    this->timer.cancel();
    this->calls.clear();
    this->client.cancel();
}

void TrialStore::list()
{
    const std::string target =
        this->gateway.dialect.listTarget(StoreObjectKind::Quarantines, {}, ReadConsistency::Stale);
    this->enqueue({"GET", target, {}, listTimeout, [this](const CallReply &reply) {
                       this->onListed(reply);
                       if (this->lists >= requiredLists) {
                           return;
                       }
                       this->timer.expires_after(listInterval);
                       this->timer.async_wait([this](const asio::error_code &error) {
                           if (!error) {
                               this->list();
                           }
                       });
                   }});
}

void TrialStore::onListed(const CallReply &reply)
{
    const auto listed =
        reply.status == ok ? this->gateway.dialect.parseList(reply.body) : std::nullopt;
    logEvent(Event::ObjectsListed,
             {{"kind", std::string(nameOf(StoreObjectKind::Quarantines))},
              {"objects", std::to_string(listed ? listed->objects.size() : 0)},
              {"status", std::to_string(reply.status)}});
    if (!listed) {
        return;
    }
    this->lists += 1;
    for (const StoreObject &item : listed->objects) {
        if (const auto record = this->gateway.dialect.parseTrialRecord(item)) {
            // The list may be stale: what was answered lately goes before it.
            this->gateway.recordTrials({record->key, record->trials, {}, record->revision});
        }
    }
}

void TrialStore::create(SuspectKey key)
{
    const TimePoint readAt = this->gateway.clock.now();
    this->write({key, 0, false, 0}, TrialStep::Create, [this, key, readAt](TrialPermit permit) {
        if (permit == TrialPermit::Denied) {
            this->gateway.recordTrials({key, 0, readAt});
            return;
        }
        this->recordCreated(key);
        this->eraseIfAnswered(key);
    });
}

void TrialStore::eraseIfAnswered(SuspectKey key)
{
    if (this->gateway.crashQuarantine.crashCount(key) < crashesForNoRetry) {
        this->erase(key);
    }
}

void TrialStore::markQuarantined(SuspectKey key)
{
    this->read(key, [this, key](bool isAvailable, const std::optional<TrialRecord> &stored) {
        if (!isAvailable || (stored && stored->isQuarantined)) {
            return;
        }
        this->recordCreated(key);
        const TrialRecord marked{key, stored ? stored->trials : 0, true,
                                 stored ? stored->revision : 0};
        this->write(marked, stored ? TrialStep::Increment : TrialStep::Create,
                    [this, key](TrialPermit) { this->eraseIfAnswered(key); });
    });
}

void TrialStore::refresh(SuspectKey key)
{
    const TimePoint readAt = this->gateway.clock.now();
    this->read(key, [this, key, readAt](bool, const std::optional<TrialRecord> &stored) {
        if (stored && stored->isQuarantined) {
            this->gateway.recordTrials({key, stored->trials, readAt, stored->revision});
        }
    });
}

void TrialStore::requestTrial(SuspectKey key, std::function<void(TrialPermit)> done)
{
    CrashQuarantine &quarantine = this->gateway.crashQuarantine;
    const std::uint32_t known = quarantine.trialCount(key);
    const TimePoint readAt = this->gateway.clock.now();
    quarantine.deferTrial(key, readAt);
    this->read(key, [this, key, known, readAt, done = std::move(done)](
                        bool isAvailable, const std::optional<TrialRecord> &stored) {
        if (!isAvailable) {
            done(TrialPermit::Unavailable);
            return;
        }
        const TrialStep step = nextTrialStep(stored, known);
        if (step == TrialStep::Denied) {
            this->gateway.recordTrials({key, stored->trials, readAt, stored->revision});
            done(TrialPermit::Denied);
            return;
        }
        const TrialRecord next{key, stored ? stored->trials + 1 : 1, true,
                               stored ? stored->revision : 0};
        // A router that has no part in the quarantine may clear the suspect; it removes no record.
        this->recordCreated(key);
        this->write(next, step, [this, next, readAt, done](TrialPermit permit) {
            if (permit == TrialPermit::Permitted) {
                this->gateway.recordTrials({next.key, next.trials, readAt, next.revision + 1});
                this->gateway.crashQuarantine.beginTrial(next.key, next.trials,
                                                         this->gateway.clock.now());
            }
            done(permit);
        });
    });
}

void TrialStore::returnTrial(SuspectKey key)
{
    CrashQuarantine &quarantine = this->gateway.crashQuarantine;
    const std::uint32_t permitted = quarantine.trialCount(key);
    quarantine.returnTrial(key, this->gateway.clock.now());
    this->read(key, [this, key, permitted](bool, const std::optional<TrialRecord> &stored) {
        if (stored && stored->trials == permitted && permitted > 0) {
            const TrialRecord returned{key, permitted - 1, true, stored->revision};
            this->write(returned, TrialStep::Increment, [this, returned](TrialPermit permit) {
                if (permit == TrialPermit::Permitted) {
                    this->gateway.recordTrials({returned.key, returned.trials,
                                                this->gateway.clock.now(), returned.revision + 1});
                }
            });
        }
    });
}

void TrialStore::recordCreated(SuspectKey key)
{
    if (this->createdRecords.size() < maxCrashSuspects) {
        this->createdRecords.insert(key);
    }
}

void TrialStore::erase(SuspectKey key)
{
    this->createdRecords.erase(key);
    this->enqueue({"DELETE", this->targetOf(key), {}, callTimeout, [](const CallReply &) {}});
}

std::string TrialStore::targetOf(SuspectKey key) const
{
    return this->gateway.dialect.objectTarget(StoreObjectKind::Quarantines, formatHash(key));
}

std::optional<TrialRecord> TrialStore::recordIn(const std::string &body) const
{
    const auto item = this->gateway.dialect.parseObject(body);
    return item ? this->gateway.dialect.parseTrialRecord(*item) : std::nullopt;
}

void TrialStore::read(SuspectKey key, std::function<void(bool, std::optional<TrialRecord>)> done)
{
    this->enqueue({"GET",
                   this->targetOf(key),
                   {},
                   callTimeout,
                   [this, done = std::move(done)](const CallReply &reply) {
                       const auto record =
                           reply.status == ok ? this->recordIn(reply.body) : std::nullopt;
                       done(record || reply.status == notFound, record);
                   }});
}

void TrialStore::write(const TrialRecord &record, TrialStep step,
                       std::function<void(TrialPermit)> done)
{
    const bool creates = step == TrialStep::Create;
    const std::string target = creates ? this->gateway.dialect.listTarget(
                                   StoreObjectKind::Quarantines, {}, ReadConsistency::Linearizable)
                                       : this->targetOf(record.key);
    this->enqueue({creates ? "POST" : "PUT", target,
                   this->gateway.dialect.serializeTrialRecord(record), callTimeout,
                   [this, done = std::move(done)](const CallReply &reply) {
                       if (isSuccess(reply.status)) {
                           done(TrialPermit::Permitted);
                           return;
                       }
                       const auto stored =
                           reply.status == conflict ? this->recordIn(reply.body) : std::nullopt;
                       done(stored ? TrialPermit::Denied : TrialPermit::Unavailable);
                   }});
}

void TrialStore::enqueue(Call call)
{
    if (this->calls.size() >= maxWaitingCalls) {
        call.done({});
        return;
    }
    this->calls.push_back(std::move(call));
    this->startNext();
}

void TrialStore::startNext()
{
    if (this->calls.empty() || this->client.isBusy()) {
        return;
    }
    Call call = std::move(this->calls.front());
    this->calls.pop_front();
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->client.call(this->gateway.settings.store, call.method, call.target, call.body,
                      {call.timeout}, [this, done = std::move(call.done)](const CallReply &reply) {
                          done(reply);
                          this->startNext();
                      });
}

} // namespace plantainswitch::gateway
