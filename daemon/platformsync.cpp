#include "platformsync.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds watchWait{5000};
/// Between two calls of a watcher, so that a burst of edits doesn't become a burst of calls.
constexpr milliseconds watchSpacing{200};
constexpr milliseconds retryDelay{500};
constexpr milliseconds roleSpacing{1000};
constexpr milliseconds vmPeriod{1000};
constexpr milliseconds pullSpacing{100};
/// A router that no watcher confirms the catalogue to for this long asks the platform itself,
/// seldom: else a place whose watchers alone are cut off would go stale as a whole.
constexpr Duration confirmationMissed = Seconds{20};
constexpr milliseconds unaidedSpacing{10'000};
/// An object that came without a usable name or version is looked for again after this.
constexpr Duration rereadDelay = Seconds{30};
/// Stamps of two watchers may cross; lines changed shortly before are fetched again.
constexpr std::uint64_t stampWindow = 10'000;
/// Every so many fetches in a row that left a difference, all lines are fetched.
constexpr std::uint64_t wholeListEvery = 8;
constexpr const char *watchedKinds = "dataclass,workspace,service";

std::optional<Entry> entryOf(const net::PlatformObject &object)
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
        entry.unread = object.body.dump();
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

Sync::Sync(asio::io_context &context, Node &node, net::HttpClient &http,
           std::shared_ptr<Beats> beats, PeerCalls &calls)
    : node(node)
    , platform(http, node.settings.platformUrl)
    , beats(std::move(beats))
    , calls(calls)
    , strand(asio::make_strand(context))
    , watchTimer(strand)
    , vmTimer(strand)
    , pullTimer(strand)
    , random(node.identity)
{}

void Sync::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->watchCatalogue();
        self->pollVms();
    });
}

void Sync::after(asio::steady_timer &timer, milliseconds delay, void (Sync::*next)())
{
    // A tenth more or less, so that routers that failed together don't come back together.
    std::uniform_int_distribution<milliseconds::rep> jitter(-delay.count() / 10,
                                                            delay.count() / 10);
    timer.expires_after(delay + milliseconds(jitter(this->random)));
    timer.async_wait([self = this->shared_from_this(), next](const asio::error_code &error) {
        if (!error) {
            ((*self).*next)();
        }
    });
}

void Sync::setWatching(bool chosen)
{
    if (this->watching != chosen) {
        this->watching = chosen;
        logEvent(chosen ? Event::WatchBegun : Event::WatchEnded, {});
    }
}

void Sync::watchCatalogue()
{
    const Settings &settings = this->node.settings;
    this->setWatching(isWatcher(settings.id, settings.place, *this->node.members.active()));
    if (this->watching) {
        this->callChanges(true);
    } else if (this->node.catalogue.staleness(this->node.clock.now()) > confirmationMissed) {
        this->callChanges(false);
    } else {
        this->after(this->watchTimer, roleSpacing, &Sync::watchCatalogue);
    }
}

void Sync::callChanges(bool waiting)
{
    this->node.metrics.count(Counter::PlatformCalls);
    std::uint64_t known = this->node.catalogue.standing().completeTo;
    if (this->rereadAt && this->node.clock.now() >= *this->rereadAt) {
        this->rereadAt.reset();
        known = 0;
    }
    this->platform.changes(
        watchedKinds, known, waiting && known > 0 ? watchWait : milliseconds{0},
        [self = this->shared_from_this(), known,
         waiting](std::optional<net::PlatformChanges> changes) {
            asio::post(self->strand, [self, known, waiting, changes = std::move(changes)] {
                if (changes) {
                    self->takeChanges(*changes, known);
                } else {
                    self->losePlatform();
                }
                const milliseconds spacing = changes ? watchSpacing : retryDelay;
                self->after(self->watchTimer, waiting ? spacing : unaidedSpacing,
                            &Sync::watchCatalogue);
            });
        });
}

void Sync::losePlatform()
{
    if (!this->platformLost) {
        this->platformLost = true;
        logEvent(Event::PlatformUnreachable, {});
    }
}

void Sync::takeChanges(const net::PlatformChanges &changes, std::uint64_t known)
{
    if (this->platformLost) {
        this->platformLost = false;
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
        if (auto entry = entryOf(object)) {
            entries.push_back(std::move(*entry));
        }
    }
    if (changes.unreadable > 0) {
        logEvent(Event::EntryInvalid, {{"objects", std::to_string(changes.unreadable)}});
        this->rereadAt = this->node.clock.now() + rereadDelay;
    }
    const std::size_t taken = this->node.catalogue.merge(entries);
    this->node.catalogue.complete(changes.version, this->node.clock.now());
    if (taken > 0) {
        logEvent(Event::CatalogueTaken, {{"from", "platform"},
                                         {"entries", std::to_string(taken)},
                                         {"version", std::to_string(changes.version)}});
        this->beats->tellVersion();
    }
}

void Sync::pollVms()
{
    const Settings &settings = this->node.settings;
    if (!isWatcher(settings.id, settings.place, *this->node.members.active())) {
        this->vmPolls = {};
        this->after(this->vmTimer, vmPeriod, &Sync::pollVms);
        return;
    }
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.vms([self = this->shared_from_this()](net::VmListPointer vms) {
        asio::post(self->strand, [self, vms = std::move(vms)] {
            if (vms) {
                self->takeVms(*vms);
            }
            self->after(self->vmTimer, vmPeriod, &Sync::pollVms);
        });
    });
}

void Sync::takeVms(const std::vector<Vm> &vms)
{
    const Settings &settings = this->node.settings;
    const auto watchers = watchersOf(settings.place, *this->node.members.active(), 1);
    if (!watchers.empty() && watchers.front().id != settings.id) {
        // The first watcher publishes a change when it sees it; the others only what the first
        // has not published for some polls.
        this->vmPolls.previous.clear();
    }
    const std::uint32_t shrunkBefore = this->vmPolls.shrunk;
    const std::size_t changed = this->node.vms.poll(this->vmPolls, vms, wallMilliseconds());
    if (this->vmPolls.shrunk > 0 && shrunkBefore == 0) {
        logEvent(Event::VmListShort, {{"lines", std::to_string(vms.size())}});
    }
    if (changed > 0) {
        this->putVmsInForce();
        this->beats->tellVersion();
    }
}

void Sync::putVmsInForce()
{
    const std::vector<Vm> vms = this->node.vms.vms();
    this->node.upstreams.replace(vms, this->node.clock.now());
    for (const Vm &vm : vms) {
        if (vm.role == VmRole::Router) {
            this->beats->addSeed(vm.endpoint);
        }
    }
}

void Sync::hearOf(const Heartbeat &peer)
{
    asio::post(this->strand, [self = this->shared_from_this(), peer] {
        if (!self->source || self->source->catalogueVersion <= peer.catalogueVersion) {
            self->source = peer;
        }
        if (!self->pulling) {
            self->pull();
        }
    });
}

void Sync::pull()
{
    const Heartbeat own = this->node.heartbeat();
    const bool sameVms = this->source && this->source->vmDigest == own.vmDigest;
    if (!this->source || (sameVms && this->source->catalogueVersion <= own.catalogueVersion)) {
        this->source.reset();
        this->pulling = false;
        return;
    }
    this->pulling = true;
    const Heartbeat peer = *std::exchange(this->source, std::nullopt);
    this->vmPulls = sameVms ? 0 : this->vmPulls + 1;
    this->calls.pull(
        peer, own.catalogueVersion, this->vmStampToAsk(own),
        [self = this->shared_from_this(), id = peer.id](const std::optional<Pulled> &pulled) {
            asio::post(self->strand, [self, id, pulled] {
                if (pulled) {
                    self->takePulled(id, *pulled);
                }
                self->after(self->pullTimer, pullSpacing, &Sync::pull);
            });
        });
}

std::uint64_t Sync::vmStampToAsk(const Heartbeat &own) const
{
    if (this->vmPulls == 0) {
        return own.vmStamp;
    }
    const bool whole = own.vmStamp <= stampWindow || this->vmPulls % wholeListEvery == 0;
    return whole ? 0 : own.vmStamp - stampWindow;
}

void Sync::takePulled(const std::string &peer, const Pulled &pulled)
{
    const std::size_t taken = this->node.catalogue.merge(pulled.entries);
    std::optional<TimePoint> confirmed;
    if (pulled.catalogueAge != neverConfirmed) {
        confirmed = this->node.clock.now() - Milliseconds{pulled.catalogueAge};
    }
    this->node.catalogue.complete(pulled.completeTo, confirmed);
    const std::size_t lines = this->node.vms.merge(pulled.vms);
    if (lines > 0) {
        this->putVmsInForce();
    }
    if (taken > 0) {
        logEvent(Event::CatalogueTaken, {{"from", peer}, {"entries", std::to_string(taken)}});
    }
    if (taken > 0 || lines > 0) {
        this->beats->tellVersion();
    }
}

} // namespace plantainswitch
