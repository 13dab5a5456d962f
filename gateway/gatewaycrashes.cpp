#include "gatewaystate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"
#include "trialstore.h"

namespace plantainswitch::gateway {

namespace {

/// How long after a run was given up its upstream is probed.
constexpr Milliseconds givenUpProbeDelay{250};
/// Interval at which the store is read for requests that are close to their quarantine.
constexpr Seconds suspectRefreshInterval{1};
/// Requests it is read for each time. If there are more, they take turns.
constexpr std::size_t maxRefreshedSuspects = 8;
/// How long a crash is in doubt while this router has no contact to any upstream.
constexpr Milliseconds crashDoubtTime{600};

} // namespace

void GatewayState::probeUpstream(const std::shared_ptr<UpstreamState> &upstream,
                                 std::function<void()> done)
{
    if (this->evacuations.dataCentres.contains(upstream->replica.dataCentre)) {
        done();
        return;
    }
    upstream->probeWaiters.push_back(std::move(done));
    if (upstream->isBeingProbed) {
        return;
    }
    upstream->isBeingProbed = true;
    const auto connection = std::make_shared<UpstreamConnection>(this->context, this->clock);
    connection->connect(
        upstream->replica.endpoint, upstreamConnectTimeout,
        [this, upstream, connection](bool isConnected) {
            upstream->isBeingProbed = false;
            logEvent(Event::UpstreamChecked, {{"upstream", upstream->replica.id},
                                              {"connected", isConnected ? "yes" : "no"}});
            if (isConnected) {
                recordConnected(this->reach[upstream->replica.service], this->clock.now());
                this->upstreams.release(*upstream, connection);
            } else {
                recordFault(upstream->health, UpstreamFault::Unreachable, this->clock.now());
                this->recordContactFailure(upstream->replica, ContactFailure::ConnectFailed);
                this->recordUpstreamDown(upstream->replica);
            }
            for (const auto &waiter : std::exchange(upstream->probeWaiters, {})) {
                waiter();
            }
        });
}

void GatewayState::scheduleProbe(const std::shared_ptr<UpstreamState> &upstream)
{
    if (upstream->isProbeScheduled) {
        return;
    }
    upstream->isProbeScheduled = true;
    const auto timer = std::make_shared<asio::steady_timer>(this->context, givenUpProbeDelay);
    const TimePoint since = this->clock.now();
    timer->async_wait([this, timer, upstream, since](const asio::error_code &error) {
        upstream->isProbeScheduled = false;
        if (!error && upstream->lastReceived <= since) {
            this->probeUpstream(upstream, [] {});
        }
    });
}

void GatewayState::recordUpstreamDown(const Replica &replica)
{
    if (const auto upstream = this->upstreams.find(replica.id)) {
        upstream->cold.recordDown(this->coldStartOf(replica.service).duration, this->clock.now());
    }
    if (this->reachesUpstreams()) {
        this->confirmCrash(incarnationOf(replica), replica.id);
        return;
    }
    // This router may have lost its way to all upstreams, which is no crash of any of them.
    const auto wait = std::make_shared<asio::steady_timer>(this->context, crashDoubtTime);
    wait->async_wait([this, wait, replica](const asio::error_code &error) {
        const bool isCutOffAlone =
            this->isCutOff(replica.service)
            && this->fleet->forwardTarget({hashOf(replica.service), 0, {}, {}}).has_value();
        if (!error && !isCutOffAlone) {
            this->confirmCrash(incarnationOf(replica), replica.id);
        }
    });
}

void GatewayState::confirmCrash(std::uint64_t incarnation, const std::string &upstreamId)
{
    const auto confirmed = this->crashQuarantine.confirmCrash(incarnation, this->clock.now());
    if (!confirmed.empty()) {
        // The caller may retry the request at once, through any router.
        this->fleet->scheduleBroadcast();
    }
    for (const ConfirmedCrash &crash : confirmed) {
        if (!isReported(crash, this->crashQuarantine)) {
            continue;
        }
        this->updateLog.recordCrash(crash.report, this->clock.now());
        logEvent(Event::UpstreamCrashed,
                 {{"upstream", upstreamId},
                  {"fingerprint", formatHash(crash.report.key)},
                  {"suspect", std::string(nameOf(kindOf(crash.report.key)))}});
        this->logCrash(crash, this->settings.id);
        this->publishSuspect(crash.report.key);
    }
}

void GatewayState::applyCrashReport(const CrashReport &report, std::string_view source)
{
    const UpstreamState *const upstream = this->upstreams.findIncarnation(report.incarnation);
    if (upstream != nullptr && refutes(*upstream, report)) {
        this->logCrash({report, CrashVerdict::UpstreamAlive}, source);
        return;
    }
    const TimePoint now = this->clock.now();
    const ConfirmedCrash crash{report, this->crashQuarantine.recordCrash(report, now)};
    this->logCrash(crash, source);
    if (crash.verdict == CrashVerdict::Counted) {
        this->publishSuspect(report.key);
        for (const CrashReport &each : this->crashQuarantine.reportsToForward(report)) {
            this->updateLog.recordCrash(each, now);
            this->fleet->scheduleBroadcast();
        }
    }
    // The crash may also have ended runs that this router gave up.
    this->confirmCrash(report.incarnation,
                       upstream == nullptr ? std::string() : upstream->replica.id);
}

void GatewayState::publishSuspect(SuspectKey key)
{
    if (!this->settings.mechanisms.quarantine || !this->fleet->isDesignatedFor(key)) {
        return;
    }
    const std::size_t crashes = this->crashQuarantine.crashCount(key);
    if (crashes == crashesForNoRetry) {
        this->trials->create(key);
    } else if (crashes >= quarantineThreshold) {
        this->trials->markQuarantined(key);
    }
}

void GatewayState::logCrash(const ConfirmedCrash &crash, std::string_view source) const
{
    const CrashReport &report = crash.report;
    logEvent(Event::CrashReported,
             {{"fingerprint", formatHash(report.key)},
              {"suspect", std::string(nameOf(kindOf(report.key)))},
              {"incarnation", formatHash(report.incarnation)},
              {"from", std::string(source)},
              {"age_ms", formatMilliseconds(this->clock.now() - report.brokenAt)},
              {"ran_ms", formatMilliseconds(report.brokenAt - report.sentAt)},
              {"verdict", std::string(nameOf(crash.verdict))},
              {"crashes", std::to_string(this->crashQuarantine.crashCount(report.key))}});
}

void GatewayState::recordTrials(const TrialCount &count)
{
    const TimePoint now = this->clock.now();
    if (this->crashQuarantine.recordTrials(count, now)) {
        this->updateLog.recordTrials(count, now);
        this->fleet->scheduleBroadcast();
    }
}

void GatewayState::recordAnswered(SuspectKey key)
{
    const TimePoint now = this->clock.now();
    const bool wasPublished = this->crashQuarantine.crashCount(key) >= crashesForNoRetry;
    if (!this->crashQuarantine.clearSuspect(key, now, now)) {
        return;
    }
    this->updateLog.recordCleared({key, now}, now);
    if (wasPublished) {
        this->fleet->scheduleBroadcast();
        this->trials->erase(key);
    }
}

void GatewayState::applyCleared(const ClearedSuspect &cleared)
{
    this->crashQuarantine.clearSuspect(cleared.key, cleared.answeredAt, this->clock.now());
    if (this->trials->hasCreated(cleared.key)) {
        this->trials->erase(cleared.key);
    }
}

void GatewayState::refreshSuspects()
{
    const TimePoint now = this->clock.now();
    if (now - this->suspectsRefreshedAt < suspectRefreshInterval) {
        return;
    }
    this->suspectsRefreshedAt = now;
    std::vector<SuspectKey> suspects = this->crashQuarantine.nearlyQuarantined();
    std::erase_if(suspects, [this](SuspectKey key) { return !this->fleet->isDesignatedFor(key); });
    const std::size_t count = std::min(suspects.size(), maxRefreshedSuspects);
    for (std::size_t i = 0; i < count; ++i) {
        this->trials->refresh(suspects[this->refreshedSuspects++ % suspects.size()]);
    }
    for (const SuspectKey key : this->crashQuarantine.removeExpired(now)) {
        if (this->fleet->isDesignatedFor(key) || this->trials->hasCreated(key)) {
            this->trials->erase(key);
        }
    }
}

} // namespace plantainswitch::gateway
