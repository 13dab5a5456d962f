#include "platformsync.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds longPollWait{5000};
/// Pause between two calls of a watcher, so that a burst of edits doesn't become a burst of calls.
constexpr milliseconds watchSpacing{200};
constexpr milliseconds retryDelay{500};
constexpr milliseconds roleCheckPeriod{1000};
constexpr milliseconds vmPollPeriod{1000};
constexpr milliseconds pullSpacing{100};
/// A router whose catalogue no watcher has confirmed for this long asks the platform itself, at a
/// low rate. Otherwise a data centre in which only the watchers are cut off would go stale as a
/// whole.
constexpr Duration confirmationTimeout = Seconds{20};
constexpr milliseconds fallbackSpacing{10'000};
/// After an object came without a usable name or version, all objects are read again after this
/// time.
constexpr Duration rereadDelay = Seconds{30};
/// Stamps of two watchers may interleave, so pulls also ask for lines that are this many
/// milliseconds older than the newest.
constexpr std::uint64_t stampOverlap = 10'000;
/// While pulls leave a difference, one in this many asks for all lines.
constexpr std::uint64_t fullVmListEvery = 8;
constexpr const char *watchedKinds = "dataclass,workspace,service";

std::optional<Entry> toEntry(const net::PlatformObject &object)
{
    const auto kind = entryKindOf(object.kind);
    if (!kind) {
        return std::nullopt;
    }
    Entry entry{{*kind, object.name}, object.version, std::nullopt};
    if (object.body.is_null()) {
        return entry;
    }
    std::vector<Fault> faults;
    entry.body = parseEntry(*kind, object.body, faults);
    if (!entry.body) {
        entry.unreadableText = object.body.dump();
        logEvent(
            Event::EntryInvalid,
            {{"kind", object.kind}, {"entry", object.name}, {"fault", toText(faults.front())}});
    }
    return entry;
}

std::uint64_t wallMilliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

} // namespace

PlatformSync::PlatformSync(asio::io_context &context, Node &node, net::HttpClient &http,
                           std::shared_ptr<MembershipService> beats, PeerCalls &calls)
    : node(node)
    , platform(http, node.settings.platformUrl)
    , membership(std::move(beats))
    , calls(calls)
    , strand(asio::make_strand(context))
    , watchTimer(strand)
    , vmTimer(strand)
    , pullTimer(strand)
    , random(node.identity)
{}

void PlatformSync::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->watchCatalogue();
        self->pollVms();
    });
}

void PlatformSync::scheduleAfter(asio::steady_timer &timer, milliseconds delay,
                                 void (PlatformSync::*next)())
{
    // Jitter of a tenth either way, so that routers that failed together don't retry together.
    std::uniform_int_distribution<milliseconds::rep> jitter(-delay.count() / 10,
                                                            delay.count() / 10);
    timer.expires_after(delay + milliseconds(jitter(this->random)));
    timer.async_wait([self = this->shared_from_this(), next](const asio::error_code &error) {
        if (!error) {
            ((*self).*next)();
        }
    });
}

void PlatformSync::setWatching(bool chosen)
{
    if (this->watching != chosen) {
        this->watching = chosen;
        logEvent(chosen ? Event::WatchBegun : Event::WatchEnded, {});
    }
}

void PlatformSync::watchCatalogue()
{
    const Settings &settings = this->node.settings;
    this->setWatching(isWatcher(settings.id, settings.dataCentre, *this->node.members.active()));
    if (this->watching) {
        this->requestChanges(true);
    } else if (this->node.catalogue.staleness(this->node.clock.now()) > confirmationTimeout) {
        this->requestChanges(false);
    } else {
        this->scheduleAfter(this->watchTimer, roleCheckPeriod, &PlatformSync::watchCatalogue);
    }
}

void PlatformSync::requestChanges(bool waiting)
{
    this->node.metrics.count(Counter::PlatformCalls);
    std::uint64_t known = this->node.catalogue.freshness().completeVersion;
    if (this->rereadAt && this->node.clock.now() >= *this->rereadAt) {
        this->rereadAt.reset();
        known = 0;
    }
    this->platform.listChanges(
        watchedKinds, known, waiting && known > 0 ? longPollWait : milliseconds{0},
        [self = this->shared_from_this(), known,
         waiting](std::optional<net::PlatformChanges> changes) {
            asio::post(self->strand, [self, known, waiting, changes = std::move(changes)] {
                if (changes) {
                    self->applyChanges(*changes, known);
                } else {
                    self->markPlatformUnreachable();
                }
                const milliseconds spacing = changes ? watchSpacing : retryDelay;
                self->scheduleAfter(self->watchTimer, waiting ? spacing : fallbackSpacing,
                                    &PlatformSync::watchCatalogue);
            });
        });
}

void PlatformSync::markPlatformUnreachable()
{
    if (!this->platformUnreachable) {
        this->platformUnreachable = true;
        logEvent(Event::PlatformUnreachable, {});
    }
}

void PlatformSync::applyChanges(const net::PlatformChanges &changes, std::uint64_t known)
{
    if (this->platformUnreachable) {
        this->platformUnreachable = false;
        logEvent(Event::PlatformBack, {});
    }
    const bool behind = changes.version < known;
    if (behind != this->platformBehind) {
        this->platformBehind = behind;
        if (behind) {
            logEvent(Event::PlatformBehind, {{"platform", std::to_string(changes.version)},
                                             {"inForce", std::to_string(known)}});
        }
    }
    std::vector<Entry> entries;
    for (const net::PlatformObject &object : changes.objects) {
        if (auto entry = toEntry(object)) {
            entries.push_back(std::move(*entry));
        }
    }
    if (changes.unreadable > 0) {
        logEvent(Event::EntryInvalid, {{"objects", std::to_string(changes.unreadable)}});
        this->rereadAt = this->node.clock.now() + rereadDelay;
    }
    const std::size_t taken = this->node.catalogue.merge(entries);
    this->node.catalogue.markComplete(changes.version, this->node.clock.now());
    if (taken > 0) {
        logEvent(Event::CatalogueTaken, {{"from", "platform"},
                                         {"entries", std::to_string(taken)},
                                         {"version", std::to_string(changes.version)}});
        this->membership->gossipVersion();
    }
}

void PlatformSync::pollVms()
{
    const Settings &settings = this->node.settings;
    if (!isWatcher(settings.id, settings.dataCentre, *this->node.members.active())) {
        this->vmPolls = {};
        this->scheduleAfter(this->vmTimer, vmPollPeriod, &PlatformSync::pollVms);
        return;
    }
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.listVms([self = this->shared_from_this()](net::VmListPointer vms) {
        asio::post(self->strand, [self, vms = std::move(vms)] {
            if (vms) {
                self->applyVmList(*vms);
            }
            self->scheduleAfter(self->vmTimer, vmPollPeriod, &PlatformSync::pollVms);
        });
    });
}

void PlatformSync::applyVmList(const std::vector<Vm> &vms)
{
    const Settings &settings = this->node.settings;
    const auto watchers = watchersOf(settings.dataCentre, *this->node.members.active(), 1);
    if (!watchers.empty() && watchers.front().id != settings.id) {
        // Only the first watcher publishes a change at once. The others publish only what the first
        // has not published for several polls.
        this->vmPolls.previous.clear();
    }
    const std::uint32_t shrunkBefore = this->vmPolls.shortPolls;
    const std::size_t changed = this->node.vms.applyPoll(this->vmPolls, vms, wallMilliseconds());
    if (this->vmPolls.shortPolls > 0 && shrunkBefore == 0) {
        logEvent(Event::VmListShort, {{"lines", std::to_string(vms.size())}});
    }
    if (changed > 0) {
        this->publishVms();
        this->membership->gossipVersion();
    }
}

void PlatformSync::publishVms()
{
    const std::vector<Vm> vms = this->node.vms.vms();
    this->node.upstreams.replace(vms, this->node.clock.now());
    for (const Vm &vm : vms) {
        if (vm.role == VmRole::Router) {
            this->membership->addSeed(vm.endpoint);
        }
    }
}

void PlatformSync::pullFrom(const Heartbeat &peer)
{
    asio::post(this->strand, [self = this->shared_from_this(), peer] {
        if (!self->pullSource || self->pullSource->catalogueVersion <= peer.catalogueVersion) {
            self->pullSource = peer;
        }
        if (!self->pulling) {
            self->pullFromSource();
        }
    });
}

void PlatformSync::pullFromSource()
{
    const Heartbeat own = this->node.heartbeat();
    const bool sameVms = this->pullSource && this->pullSource->vmListDigest == own.vmListDigest;
    if (!this->pullSource
        || (sameVms && this->pullSource->catalogueVersion <= own.catalogueVersion)) {
        this->pullSource.reset();
        this->pulling = false;
        return;
    }
    this->pulling = true;
    const Heartbeat peer = *std::exchange(this->pullSource, std::nullopt);
    this->vmPullsInRow = sameVms ? 0 : this->vmPullsInRow + 1;
    this->calls.pull(
        peer, own.catalogueVersion, this->vmStampForPull(own),
        [self = this->shared_from_this(), id = peer.id](const std::optional<PullResult> &pulled) {
            asio::post(self->strand, [self, id, pulled] {
                if (pulled) {
                    self->applyPulled(id, *pulled);
                }
                self->scheduleAfter(self->pullTimer, pullSpacing, &PlatformSync::pullFromSource);
            });
        });
}

std::uint64_t PlatformSync::vmStampForPull(const Heartbeat &own) const
{
    if (this->vmPullsInRow == 0) {
        return own.vmListVersion;
    }
    const bool whole =
        own.vmListVersion <= stampOverlap || this->vmPullsInRow % fullVmListEvery == 0;
    return whole ? 0 : own.vmListVersion - stampOverlap;
}

void PlatformSync::applyPulled(const std::string &peer, const PullResult &pulled)
{
    const std::size_t taken = this->node.catalogue.merge(pulled.entries);
    std::optional<TimePoint> confirmed;
    if (pulled.catalogueAge != neverConfirmed) {
        confirmed = this->node.clock.now() - Milliseconds{pulled.catalogueAge};
    }
    this->node.catalogue.markComplete(pulled.completeVersion, confirmed);
    const std::size_t lines = this->node.vms.merge(pulled.vms);
    if (lines > 0) {
        this->publishVms();
    }
    if (taken > 0) {
        logEvent(Event::CatalogueTaken, {{"from", peer}, {"entries", std::to_string(taken)}});
    }
    if (taken > 0 || lines > 0) {
        this->membership->gossipVersion();
    }
}

} // namespace plantainswitch
